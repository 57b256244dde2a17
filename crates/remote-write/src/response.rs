//! Kinds of responses of a receiver, and counters of what happened to samples.

use crate::Micros;

/// A receiver's response, classified by how the sender proceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The batch was accepted.
    Accepted,
    /// The batch is rejected permanently, independently of its contents. It is dropped.
    Rejected,
    /// The batch is rejected because of some of its samples. It is halved, since one half may be accepted.
    Invalid,
    /// The receiver can't accept the batch at present, or did not respond. The batch is sent again.
    Unavailable {
        /// The receiver's Retry-After, as a duration; `None` if it sent none.
        retry_after: Option<Micros>,
    },
}

/// Totals since the start. Each offered sample is counted in exactly one of `accepted`, `rejected` and the `dropped`
/// fields, or is still queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Samples offered to the queue.
    pub offered: u64,
    /// Samples accepted by the receiver.
    pub accepted: u64,
    /// Samples rejected permanently, including samples of excluded series.
    pub rejected: u64,
    /// Samples dropped because the queue was full.
    pub dropped_full: u64,
    /// Samples dropped because they exceeded the maximum age.
    pub dropped_old: u64,
    /// Samples dropped because their series already had one of the same or a later time, for example after a clock
    /// stepped back.
    pub dropped_order: u64,
    /// Samples dropped because the limit on the number of series was reached.
    pub dropped_series: u64,
    /// Attempts to send a batch or a part of one.
    pub batches: u64,
    /// Attempts to send a batch, or a part of one, after the first attempt.
    pub retries: u64,
    /// Number of times that a batch or a part of one was halved.
    pub splits: u64,
}
