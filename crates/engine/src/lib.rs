//! Calls, attempts and the one-final-answer ledger around the decision module.
//!
//! May know: the decision module; calls and workers as the edge names them. Must not know: sockets, gRPC,
//! MQTT, the text of settings. No I/O and no clock: events go in with the time at which they were learnt,
//! [`Command`]s come out, and equal events give equal commands.
//!
//! Fronts (who open calls) and links (who carry attempts) do not know of each other: a front speaks of calls, a
//! link of attempts, orders and probes. A second front joins without a change here.
//!
//! * [`Engine`]: the book of calls. [`types`]: events and commands. [`outcome`]: what each end of an attempt
//!   proves, in one table. [`names`]: models and workers as the module's numbers.
//!
//! The engine decides nothing on where a call goes, when it waits, is tried again, refused or failed: it asks
//! the module and carries its actions out. What it adds is book-keeping that holds the first rule whatever
//! happens: one [`Command::End`] a call, nothing of the call after it, and a backstop at the deadline that
//! should never act and is counted when it does.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod engine;
pub mod names;
pub mod outcome;
pub mod types;

pub use engine::{Engine, EngineCounters, EngineLimits};
pub use outcome::Ended;
pub use types::*;
