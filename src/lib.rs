//! Load balancing decisions of a front end (a *controller*) that sends calls to *workers*, which load
//! functions on demand.
//!
//! The library does no I/O and reads no clock. A [`Controller`] is built from [`Settings`] and a random seed.
//! The embedding program reports everything it observes as an [`Event`] with a timestamp, and executes the
//! returned [`Action`]s in order. The same settings, seed and events always produce the same actions.
//!
//! The embedding program:
//!
//! * assigns the ids of workers, functions, classes and requests;
//! * passes the last known worker list first ([`ListForm::Restored`]), then every update;
//! * starts an attempt for each [`Action::Send`] and reports exactly one [`Event::Outcome`] for it;
//! * starts a timer for each [`Action::SetTimer`] and reports [`Event::Timer`] when it expires: held calls
//!   are answered by timer, so a lost timer leaves calls without an answer;
//! * sends the final response to the client: the first [`Outcome::Ok`] without any action, otherwise the one
//!   that [`Action::Refuse`] or [`Action::Fail`] asks for. A refusal tells the client that it may safely
//!   retry.
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
//!     is_retry: false,
//!     has_idempotency_key: true,
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
