//! The series and samples over which expressions are evaluated.

use std::collections::BTreeMap;

use crate::rules::Millis;

/// Label names and values of a series, including `__name__` if the series has a metric name.
pub type Labels = BTreeMap<String, String>;

/// Maximum age of a sample that an instant selector returns.
pub const LOOKBACK: Millis = 300_000;
/// The NaN bit pattern that Prometheus uses as a staleness marker.
const STALE_BITS: u64 = 0x7ff0_0000_0000_0002;

/// Returns a staleness marker: the NaN that Prometheus stores when a series ends.
pub fn staleness_marker() -> f64 {
    f64::from_bits(STALE_BITS)
}

/// Whether a value is a staleness marker, compared by bits because it is a NaN.
pub(super) fn is_stale(value: f64) -> bool {
    value.to_bits() == STALE_BITS
}

/// A sample of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Time of the sample.
    pub at: Millis,
    /// Value; a staleness marker ends the series.
    pub value: f64,
}

/// An in-memory set of series, each with its samples in order of time.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub(super) series: BTreeMap<Labels, Vec<Sample>>,
}

impl Store {
    /// Appends a sample to a series, which is created if it is new. The sample must be later than all earlier samples
    /// of the series.
    pub fn add(&mut self, labels: &Labels, at: Millis, value: f64) {
        match self.series.get_mut(labels) {
            Some(samples) => samples.push(Sample { at, value }),
            None => _ = self.series.insert(labels.clone(), vec![Sample { at, value }]),
        }
    }
}
