//! Decisions of a front end (a *controller*) that sends calls to *workers* which load programs on demand.
//!
//! The library does no input or output and reads no clock. A [`Controller`] is built from [`Settings`] and
//! a seed; each thing the front end learns goes in as an [`Event`] with the time it was learnt, and what is
//! to be done comes out as [`Action`]s, to be carried out in order. Equal events give equal actions.
//!
//! What the embedding program does:
//!
//! * numbers its workers, functions, classes and requests with the id types here;
//! * gives the worker list it last held first ([`ListForm::Restored`]), then its changes;
//! * begins an attempt for each [`Action::Send`] and hands back exactly one [`Event::Outcome`] for it;
//! * sets a timer for each [`Action::SetTimer`] and hands back [`Event::Timer`]: held calls are answered in
//!   time by these, so a timer that never comes breaks the first rule;
//! * gives the client the final answer: the first [`Outcome::Ok`] by itself, or what [`Action::Refuse`] and
//!   [`Action::Fail`] say. A refusal tells the client that another try is harmless.
//!
//! ```
//! use nettleferry::*;
//!
//! let mut settings = Settings {
//!     controllers: 3,
//!     classes: vec![Class {
//!         latency_objective: 600_000,
//!         deadline: 4_000_000,
//!         effect: Effect::Idempotent,
//!         priority_weight: 1.0,
//!         late_share: 0.3,
//!         stream: false,
//!     }],
//!     event_interval: 1_000,
//!     ..Settings::default()
//! };
//! settings.limits.max_attempts = 3;
//! settings.loading.keep_alive = 8_000_000;
//! let mut controller = Controller::new(settings, 42).expect("the settings are valid");
//!
//! let on = WorkerState::On;
//! let entry = WorkerEntry { worker: WorkerId(7), weight: 1.0, state: on, ..WorkerEntry::default() };
//! let mut actions = Vec::new();
//! controller.handle(0, Event::Workers { form: ListForm::Restored, entries: vec![entry] }, &mut actions);
//!
//! let call = Request {
//!     id: RequestId(1),
//!     class: ClassId(0),
//!     tenant: None,
//!     function: FunctionId(99),
//!     time_left: 4_000_000,
//!     cpu_time_hint: None,
//!     lanes: 2,
//!     load_time: None,
//!     repeat: false,
//! };
//! controller.handle(1_000, Event::Request(call), &mut actions);
//! assert!(actions.contains(&Action::Send { request: RequestId(1), worker: WorkerId(7), timeout: None }));
//! assert!(actions.iter().any(|a| matches!(a, Action::SetTimer { .. })));
//! ```

#![forbid(unsafe_code)]

mod controller;
mod decision;
mod hash;
mod interface;
mod rendezvous;
mod state;
mod worker_order;

pub use controller::Controller;
pub use interface::*;
