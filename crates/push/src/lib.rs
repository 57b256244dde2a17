//! Decisions of pushing samples to a receiver that will be away: no I/O, no clock.
//!
//! May know: samples, batches, answers as kinds. Must not know: sockets, HTTP, encodings, files. Time is handed
//! in, microseconds on any clock that never goes back; chance comes from a seed. Equal events give equal
//! actions.
//!
//! * [`keeper`]: which record of a spool holds which samples.
//! * [`speech`]: which form of the messages a receiver is spoken to in.
//! * [`wall`]: the time of samples.
//! * [`queue`]: what is kept, what is dropped first, what is sent when, and what is tried again.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod keeper;
pub mod queue;
pub mod speech;
pub mod wall;

pub use keeper::Keeper;
pub use queue::{Answer, Batch, Counters, Limits, Queue, Sample, Weigh};
pub use speech::{Form, Speech, Understood, Waits};
pub use wall::Wall;
