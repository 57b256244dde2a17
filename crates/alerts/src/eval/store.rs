//! Series and samples that expressions are evaluated over.

use std::collections::BTreeMap;

use crate::rules::Millis;

/// Labels, `__name__` among them where there is one.
pub type Labels = BTreeMap<String, String>;

/// How old the newest sample of an instant may be, milliseconds.
pub const LOOKBACK: Millis = 300_000;
/// The bits of a staleness marker.
const STALE_BITS: u64 = 0x7ff0_0000_0000_0002;

/// A staleness marker.
pub fn stale() -> f64 {
    f64::from_bits(STALE_BITS)
}

/// Whether a value is a staleness marker.
pub(super) fn is_stale(value: f64) -> bool {
    value.to_bits() == STALE_BITS
}

/// A sample of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Its time.
    pub at: Millis,
    /// Its value.
    pub value: f64,
}

/// Series with their samples.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub(super) series: BTreeMap<Labels, Vec<Sample>>,
}

impl Store {
    /// Adds a sample, which is later than those of its series.
    pub fn add(&mut self, labels: &Labels, at: Millis, value: f64) {
        match self.series.get_mut(labels) {
            Some(samples) => samples.push(Sample { at, value }),
            None => _ = self.series.insert(labels.clone(), vec![Sample { at, value }]),
        }
    }
}
