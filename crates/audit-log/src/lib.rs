//! The audit log: what each controller acted on and when, and what follows from that for a fleet.
//!
//! * [`view`]: what a controller acts on, as one number with its parts. [`entry`]: an entry of the log, chained by a
//!   hash to the one before. [`recorder`]: a controller's own log: counters on the ordinary path, entries at a change
//!   of view and at intervals.
//! * [`chain`]: is a log complete? [`clock`]: which moments on the leader's clock a controller's moment may be.
//! * [`audit`]: who acted on which version after another was in force. [`findings`]: its report, in which each
//!   statement is certain or doubtful.
//!
//! May know: versions, counts, times as values. Must not know: sockets, files, clocks, randomness, calls.

#![forbid(unsafe_code)]

pub mod audit;
pub mod chain;
pub mod clock;
pub mod entry;
pub mod findings;
pub mod recorder;
pub mod view;

pub use audit::Audit;
pub use entry::{Entry, EntryKind, Event};
pub use findings::Report;
pub use recorder::Recorder;
pub use view::{Version, View};

/// Milliseconds of a monotonic clock: a controller's or the leader's, each since its own start.
pub type Millis = u64;
