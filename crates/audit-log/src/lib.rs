//! The audit log, in which each controller records on which version of its inputs it acted and when, and the audit that
//! compares the logs of a fleet. An act is an accepted call, a sent attempt or a sent load order; calls that were
//! rejected without a lease are counted as well.
//!
//! The crate does no I/O, reads no clock and uses no randomness; times are passed in. It depends on versions and
//! counts, not on sockets, files or calls.
//!
//! * [`view`]: the versions of all inputs of a controller's decisions. [`entry`]: a log entry, which contains the hash
//!   of the previous one. [`recorder`]: writes a controller's own log; it counts acts and appends entries when the view
//!   changes and at intervals.
//! * [`chain`]: checks a log for missing and altered entries. [`clock`]: converts a controller's times into bounds on
//!   the leader's clock.
//! * [`audit`]: finds acts on a version after a newer one was in force. [`findings`]: the report, in which each finding
//!   is certain or doubtful.

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

/// Milliseconds on the monotonic clock of one process, a controller or the leader, since that process started.
pub type Millis = u64;
