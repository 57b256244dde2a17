//! Latency histogram of a call class. Classic buckets are counted exactly. Native buckets are computed from an
//! HdrHistogram. The assignment of values to HdrHistogram buckets, and of these to native buckets, is fixed, so the
//! count of a native bucket never decreases.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;
use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::{MetricType, TypedMetric};

use crate::labels::LATENCY_BUCKETS;

const MICROS_PER_SECOND: f64 = 1e6;

/// Maximum latency of the HdrHistogram, in microseconds. Longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant digits of the HdrHistogram. The error is at most 1 %, about a tenth of the width of a native bucket.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Schema of the native histograms: each bucket bound is 2^(1/8) times the previous one, about 9 % larger.
pub const NATIVE_SCHEMA: i32 = 3;

/// A Prometheus native histogram. Bucket `i` counts values above the bound of bucket `i - 1` and up to
/// `2^(i / 2^schema)` seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct NativeHistogram {
    /// Resolution of the buckets; see [`NATIVE_SCHEMA`].
    pub schema: i32,
    /// Number of observations, which is the sum of the counts in `buckets`.
    pub count: u64,
    /// Sum of the observations, in seconds.
    pub sum: f64,
    /// Index and count of each non-empty bucket, in ascending order of the index.
    pub buckets: Vec<(i32, u64)>,
}

struct Observations {
    classic_buckets: [u64; LATENCY_BUCKETS.len()],
    /// Sum in microseconds, as an integer because a sum of floats accumulates rounding errors.
    sum_micros: u64,
    histogram: Histogram<u64>,
}

/// Latency histogram of one class. Clones share the same observations.
#[derive(Clone)]
pub struct LatencyHistogram(Arc<Mutex<Observations>>);

impl std::fmt::Debug for LatencyHistogram {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LatencyHistogram").field("count", &self.lock().histogram.len()).finish()
    }
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds that the crate accepts");
        Self(Arc::new(Mutex::new(Observations {
            classic_buckets: [0; LATENCY_BUCKETS.len()],
            sum_micros: 0,
            histogram,
        })))
    }
}

impl LatencyHistogram {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        // If a thread panicked while it held the lock, at most one observation is partly counted, which is tolerable.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a latency in microseconds.
    pub fn observe(&self, micros: u64) {
        let seconds = micros as f64 / MICROS_PER_SECOND;
        let mut observations = self.lock();
        if let Some(bucket) = LATENCY_BUCKETS.iter().position(|upper| seconds <= *upper) {
            observations.classic_buckets[bucket] += 1;
        }
        observations.sum_micros = observations.sum_micros.saturating_add(micros);
        observations.histogram.saturating_record(micros.max(1));
    }

    /// Returns the observations as a native histogram.
    pub fn native(&self) -> NativeHistogram {
        let observations = self.lock();
        let mut buckets: Vec<(i32, u64)> = Vec::new();
        for value in observations.histogram.iter_recorded() {
            let index = native_index(value.value_iterated_to());
            match buckets.last_mut() {
                Some((last, count)) if *last == index => *count += value.count_since_last_iteration(),
                _ => buckets.push((index, value.count_since_last_iteration())),
            }
        }
        NativeHistogram {
            schema: NATIVE_SCHEMA,
            count: observations.histogram.len(),
            sum: observations.sum_micros as f64 / MICROS_PER_SECOND,
            buckets,
        }
    }
}

/// Returns the index of the native bucket that a latency belongs to.
fn native_index(micros: u64) -> i32 {
    let seconds = micros as f64 / MICROS_PER_SECOND;
    (seconds.log2() * f64::from(1 << NATIVE_SCHEMA)).ceil() as i32
}

impl TypedMetric for LatencyHistogram {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for LatencyHistogram {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), std::fmt::Error> {
        let observations = self.lock();
        let mut buckets: Vec<(f64, u64)> =
            LATENCY_BUCKETS.iter().copied().zip(observations.classic_buckets).collect();
        let sum = observations.sum_micros as f64 / MICROS_PER_SECOND;
        let count = observations.histogram.len();
        drop(observations);
        // The last bucket (+Inf) counts the observations above the largest bound.
        let bounded: u64 = buckets.iter().map(|(_, count)| count).sum();
        buckets.push((f64::MAX, count - bounded));
        encoder.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}

#[cfg(test)]
mod tests;
