//! Decisions of sending samples by remote write to a receiver that may be away: no I/O, no clock.
//!
//! May know: samples, batches, responses by kind. Must not know: sockets, HTTP, encodings, files. Time is handed in, as
//! microseconds on any clock that never goes back; random numbers come from a seed. Equal events give equal actions.
//!
//! * [`queue`]: what is queued, what is dropped first, what is sent when, and what is retried. [`limits`]: its bounds.
//! * [`sample`]: samples and batches. [`response`]: responses, and what became of samples.
//! * [`negotiation`]: which protocol version a receiver gets.
//! * [`record_tracker`]: which record of a log holds which samples.
//! * [`sample_clock`]: the time of samples.

#![forbid(unsafe_code)]

mod excluded;
pub mod limits;
pub mod negotiation;
pub mod queue;
pub mod record_tracker;
pub mod response;
pub mod sample;
pub mod sample_clock;
mod shard;

pub use limits::Limits;
pub use negotiation::{Acceptance, Backoff, Negotiation, ProtocolVersion};
pub use queue::Queue;
pub use record_tracker::RecordTracker;
pub use response::{Counters, Response};
pub use sample::{Batch, HeapSize, SAMPLE_BYTES, Sample};
pub use sample_clock::SampleClock;

/// Microseconds.
pub type Micros = u64;
