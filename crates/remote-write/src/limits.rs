//! Bounds and waits of the queue.

use crate::Micros;

/// Bounds and waits of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Shards, each of which has at most one batch in flight.
    pub shards: usize,
    /// Most samples of a batch; a shard that has as many sends them at once.
    pub batch_samples: usize,
    /// Longest wait of a sample for its batch to fill.
    pub batch_age: Micros,
    /// Most bytes of all shards; the oldest samples are dropped first.
    pub max_bytes: usize,
    /// Samples older than this are dropped.
    pub max_age: Micros,
    /// First wait before a batch is sent again.
    pub first_backoff: Micros,
    /// Longest wait before a batch is sent again, apart from Retry-After.
    pub max_backoff: Micros,
    /// Longest Retry-After that is followed.
    pub max_retry_after: Micros,
    /// How often a batch and its parts are halved at most, before what is rejected is dropped.
    pub max_splits: u32,
    /// How long a series that was rejected alone is excluded.
    pub exclusion_period: Micros,
    /// Most series that are excluded at once; further ones are sent again each time.
    pub max_excluded_series: usize,
    /// Most series whose last time is remembered, to keep them in order; samples of others are dropped.
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
