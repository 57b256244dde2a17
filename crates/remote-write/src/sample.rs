//! Samples, as they are offered, queued and sent.

use crate::Micros;

/// The size of a value beyond that of its type.
pub trait HeapSize {
    /// Most bytes that it takes on the heap.
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
    /// The owner's number of the series.
    pub series: u64,
    /// Its time, milliseconds since 1970.
    pub at_ms: i64,
    /// Its value.
    pub value: V,
}

/// What is sent in one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<V = f64> {
    /// The shard that it comes from, which has no other batch in flight.
    pub shard: usize,
    /// Its unique number; a batch that is sent again keeps its number and its samples.
    pub number: u64,
    /// How often it was sent before.
    pub attempts: u32,
    /// Its samples, each series in order.
    pub samples: Vec<Sample<V>>,
}

/// Bytes that a queued sample of a number takes.
pub const SAMPLE_BYTES: usize = size_of::<QueuedSample<f64>>();

/// A sample in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedSample<V> {
    pub(crate) sample: Sample<V>,
    pub(crate) arrived: Micros,
    /// Order of arrival over all shards.
    pub(crate) sequence: u64,
}

impl<V: HeapSize> QueuedSample<V> {
    /// Bytes that it takes.
    pub(crate) fn size(&self) -> usize {
        size_of::<Self>() + self.sample.value.heap_size()
    }
}
