//! Calls, attempts and the ledger of one final answer per call, around the decision module.
//!
//! Depends on the decision module, and on calls and workers as front ends name them. Leaves to others: sockets, gRPC,
//! MQTT, and the text of settings. No I/O and no clock: events carry the time at which they were observed, the engine
//! returns [`Command`]s, and equal events give equal commands.
//!
//! Front ends, which open calls, and worker connections, which carry attempts, do not know of each other: a front end
//! handles calls; a worker connection handles attempts and control requests. A further front end needs no change here.
//!
//! * [`Engine`]: the ledger of calls. [`events`] and [`commands`]: its input and output.
//! * [`measurements`]: what it reports for metrics and admission control.
//! * [`outcome`]: what each end of an attempt proves, in one table.
//! * [`names`]: models and workers as the decision module's numbers.
//!
//! The engine makes no decision on where a call goes, when it waits, is retried, refused or failed: it passes events
//! to the decision module and executes its actions. What it adds is bookkeeping that upholds the first rule in every
//! case: one [`Command::Answer`] per call, no command of the call after it, and a backstop at the deadline that should
//! never act and is counted when it does.

#![forbid(unsafe_code)]

pub mod commands;
pub mod engine;
pub mod events;
pub mod ids;
pub mod limits;
pub mod measurements;
pub mod names;
pub mod outcome;

pub use commands::{Cause, Command, FinalAnswer, Refusal};
pub use engine::Engine;
pub use events::{AttemptReport, ClientDisconnect, Event, Member, NewCall};
pub use ids::{AttemptId, CallId, ControlRequestId};
pub use limits::{EngineCounters, EngineLimits};
pub use measurements::{CallOutcome, Measurement, Phase, Step};
pub use outcome::AttemptEnd;
