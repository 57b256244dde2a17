//! Samples for remote write, whose values are numbers or native histograms.

use std::sync::Arc;

use nettleferry_proto::remote_write::NativeHistogram;
use nettleferry_remote_write::HeapSize;

/// A queued sample.
pub(super) type Sample = nettleferry_remote_write::Sample<SampleValue>;
/// A batch of queued samples.
pub(super) type Batch = nettleferry_remote_write::Batch<SampleValue>;

/// The value of a sample.
#[derive(Clone, Debug)]
pub(super) enum SampleValue {
    /// A floating-point number.
    Number(f64),
    /// A native histogram.
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
