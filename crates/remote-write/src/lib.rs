//! State machine of a Prometheus remote-write sender whose receiver may be unavailable. It does no I/O and reads no
//! clock.
//!
//! This crate depends on samples, batches and kinds of responses. It must not depend on sockets, HTTP, encodings or
//! files. Callers pass in the time, in microseconds of any monotonic clock, and the seed of the random numbers. The
//! same events always lead to the same actions.
//!
//! * [`queue`]: which samples are queued, dropped, sent and retried, and when.
//! * [`limits`]: limits and delays of the queue.
//! * [`sample`]: samples and batches.
//! * [`response`]: kinds of responses, and counters of what happened to samples.
//! * [`negotiation`]: choice of the protocol version.
//! * [`record_tracker`]: which records of the write-ahead log still have queued samples.
//! * [`sample_clock`]: timestamps of samples.

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

/// A time or duration in microseconds.
pub type Micros = u64;
