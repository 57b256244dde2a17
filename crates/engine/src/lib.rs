//! The call ledger around the decision module: tracks calls and their attempts, and ensures that each call gets exactly
//! one final answer.
//!
//! The engine is a deterministic state machine without I/O and without a clock. Events carry the time at which they
//! were observed, the engine returns [`Command`]s, and the same settings, seed and events always yield the same
//! commands. Sockets, gRPC, MQTT and the parsing of settings belong to other crates.
//!
//! Front ends open calls; worker connections carry attempts and control requests. Neither depends on the other, so a
//! new front end needs no change here.
//!
//! * [`Engine`]: the call ledger. [`events`] and [`commands`]: its input and output.
//! * [`measurements`]: data for metrics and admission control.
//! * [`outcome`]: for each way in which an attempt can end, whether the attempt may have run.
//! * [`names`]: the mapping from names of models and workers to the decision module's ids.
//!
//! The decision module chooses the worker of each call and decides whether the call waits, is retried, is refused or
//! fails. The engine passes events to the module, executes its actions, and guarantees on its own that each call gets
//! one [`Command::Answer`] and that no command for the call follows. If the module leaves a call without an answer at
//! its deadline, a backstop in the engine answers it. That is not expected to happen, and
//! [`EngineCounters::backstop`] counts each occurrence.

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
pub use events::{AttemptReport, ClientDisconnect, Event, Member, NewCall, identifies_request};
pub use ids::{AttemptId, CallId, ControlRequestId};
pub use limits::{EngineCounters, EngineLimits};
pub use measurements::{CallOutcome, Measurement, Phase, Step};
pub use outcome::AttemptEnd;
