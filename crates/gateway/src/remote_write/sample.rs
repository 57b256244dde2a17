//! Samples for remote write, whose values are numbers or native histograms.

use std::sync::Arc;

use nettleferry_proto::remote_write::NativeHistogram;
use nettleferry_remote_write::HeapSize;

/// A sample as the queue holds it: the number of its series, its time, and its value.
pub(super) type Sample = nettleferry_remote_write::Sample<SampleValue>;
/// The samples that one request sends, taken from the queue.
pub(super) type Batch = nettleferry_remote_write::Batch<SampleValue>;

/// The value of a sample: a number, or the buckets of a histogram.
#[derive(Clone, Debug)]
pub(super) enum SampleValue {
    /// A number, which may be the NaN that marks a series as stale.
    Number(f64),
    /// A native histogram: all buckets of a histogram in a single sample.
    Native(Arc<NativeHistogram>),
}

impl HeapSize for SampleValue {
    fn heap_size(&self) -> usize {
        match self {
            Self::Number(_) => 0,
            Self::Native(native) => {
                size_of::<NativeHistogram>() + native.buckets.len() * size_of::<(i32, u64)>()
            }
        }
    }
}
