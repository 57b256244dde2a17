//! Responses of a receiver, and what became of samples.

use crate::Micros;

/// A receiver's response, by what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The batch was accepted.
    Accepted,
    /// The batch is rejected for good, whatever is in it.
    Rejected,
    /// The batch is rejected for something in it: its halves may be accepted.
    Invalid,
    /// The receiver can't accept it now, or did not respond.
    Unavailable {
        /// Retry-After, where it was given.
        retry_after: Option<Micros>,
    },
}

/// What became of samples. Each sample that was offered is in one of the totals, or still queued.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Samples offered.
    pub offered: u64,
    /// Samples accepted by the receiver.
    pub accepted: u64,
    /// Samples rejected for good.
    pub rejected: u64,
    /// Samples dropped because the queue was full.
    pub dropped_full: u64,
    /// Samples dropped because they were too old.
    pub dropped_old: u64,
    /// Samples dropped because their series had a later one already, as after a clock stepped back.
    pub dropped_order: u64,
    /// Samples dropped because there are too many series.
    pub dropped_series: u64,
    /// Batches sent, repeated ones included.
    pub batches: u64,
    /// Batches sent again.
    pub retries: u64,
    /// Batches halved.
    pub splits: u64,
}
