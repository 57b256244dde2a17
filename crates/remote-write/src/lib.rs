//! Decisions of pushing samples to a receiver that will be away: no I/O, no clock.
//!
//! May know: samples, batches, answers as kinds. Must not know: sockets, HTTP, encodings, files. Time is handed
//! in, microseconds on any clock that never goes back; chance comes from a seed. Equal events give equal
//! actions.
//!
//! * [`record_tracker`]: which record of a spool holds which samples.
//! * [`negotiation`]: which form of the messages a receiver is spoken to in.
//! * [`sample_clock`]: the time of samples.
//! * [`queue`]: what is kept, what is dropped first, what is sent when, and what is tried again.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod negotiation;
pub mod queue;
pub mod record_tracker;
pub mod sample_clock;

pub use negotiation::{Acceptance, Backoff, Negotiation, ProtocolVersion};
pub use queue::{Answer, Batch, Counters, HeapSize, Limits, Queue, Sample};
pub use record_tracker::RecordTracker;
pub use sample_clock::SampleClock;
