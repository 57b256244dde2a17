//! Samples and batches.

use crate::Micros;

/// Heap memory of a value, in addition to the size of its type.
pub trait HeapSize {
    /// Returns an upper bound of the value's heap memory, in bytes.
    fn heap_size(&self) -> usize;
}

impl HeapSize for f64 {
    fn heap_size(&self) -> usize {
        0
    }
}

/// A sample of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<V = f64> {
    /// Identifies the series; assigned by the owner of the queue.
    pub series: u64,
    /// Timestamp in milliseconds since the Unix epoch.
    pub at_ms: i64,
    /// Value of the sample.
    pub value: V,
}

/// The samples that are sent in one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<V = f64> {
    /// Index of the batch's shard, which has no other batch in flight.
    pub shard: usize,
    /// Unique number. A batch that is sent again keeps its number and, apart from samples that have expired since,
    /// its samples.
    pub number: u64,
    /// Number of previous attempts to send the batch.
    pub attempts: u32,
    /// Samples of the batch. Those of the same series are in order of time.
    pub samples: Vec<Sample<V>>,
}

/// Memory of a queued sample with an `f64` value, in bytes.
pub const SAMPLE_BYTES: usize = size_of::<QueuedSample<f64>>();

/// A sample in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedSample<V> {
    pub(crate) sample: Sample<V>,
    pub(crate) arrived: Micros,
    /// Position in the order of arrival across all shards.
    pub(crate) sequence: u64,
}

impl<V: HeapSize> QueuedSample<V> {
    /// Returns the memory of the sample in bytes, including the heap memory of its value.
    pub(crate) fn size(&self) -> usize {
        size_of::<Self>() + self.sample.value.heap_size()
    }
}
