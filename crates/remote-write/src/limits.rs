//! Limits and delays of the queue.

use crate::Micros;

/// Limits and delays of a [`crate::Queue`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Number of shards. Each has at most one batch in flight.
    pub shards: usize,
    /// Maximum number of samples in a batch. A shard with this many samples sends them without delay.
    pub batch_samples: usize,
    /// Maximum time that a sample waits for further samples to fill its batch.
    pub batch_age: Micros,
    /// Maximum memory of the samples of all shards, in bytes. Beyond it the oldest samples are dropped.
    pub max_bytes: usize,
    /// Maximum age of a queued sample. Older samples are dropped, unless they are in flight.
    pub max_age: Micros,
    /// Backoff after the first failed attempt to send a batch.
    pub first_backoff: Micros,
    /// Maximum backoff between attempts to send a batch. A Retry-After may be longer.
    pub max_backoff: Micros,
    /// Maximum Retry-After. Longer values are shortened to this.
    pub max_retry_after: Micros,
    /// Maximum number of times that a batch and its parts are halved. Parts that are rejected after that are dropped.
    pub max_splits: u32,
    /// Time for which a series is excluded after the receiver rejected it while it accepted others of the batch.
    pub exclusion_period: Micros,
    /// Maximum number of series that are excluded at the same time. Further invalid series continue to be sent.
    pub max_excluded_series: usize,
    /// Maximum number of series whose last timestamp is stored, to keep their samples in order. Samples of further
    /// series are dropped.
    pub max_series: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shards: 4,
            batch_samples: 2_000,
            batch_age: 5_000_000,
            max_bytes: 32 << 20,
            max_age: 7_200_000_000,
            first_backoff: 30_000,
            max_backoff: 5_000_000,
            max_retry_after: 300_000_000,
            max_splits: 32,
            exclusion_period: 600_000_000,
            max_excluded_series: 1_000,
            max_series: 200_000,
        }
    }
}
