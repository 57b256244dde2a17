//! What each controller acted on and when, and what follows from that for a fleet.
//!
//! * [`view`]: what a controller acts on, as one number with its parts. [`line`]: a line of the record, chained by a
//!   hash to the one before. [`recorder`]: a controller's own record: counters on the ordinary path, lines at a
//!   change of view and now and then.
//! * [`chain`]: is a record whole? [`clock`]: which moments of the administration a moment of a controller may be.
//! * [`audit`]: who acted on which version after another was in force, each statement certain or told as doubtful.
//!
//! May know: versions, counts, times as values. Must not know: sockets, files, clocks, chance, calls.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

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

/// Milliseconds of a clock that never steps: a controller's since its start, the administration's since its own.
pub type Millis = u64;
