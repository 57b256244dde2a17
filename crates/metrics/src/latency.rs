//! The latency of a class: classic buckets, counted exactly, and an HdrHistogram, from which native buckets are computed.
//! A value always counts in the same HdrHistogram bucket, and that one always belongs to the same native bucket: both
//! only grow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;
use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::{MetricType, TypedMetric};

use crate::labels::LATENCY_BUCKETS;

const MICROS_PER_SECOND: f64 = 1e6;

/// Longest latency, microseconds; longer ones count as this long.
const MAX_LATENCY_MICROS: u64 = 3_600_000_000;
/// Significant digits of the HdrHistogram: within 1 %, a tenth of a native bucket's width.
const SIGNIFICANT_DIGITS: u8 = 2;
/// The schema of native histograms: buckets grow by 2^(1/8), 9 %.
pub const NATIVE_SCHEMA: i32 = 3;

/// A Prometheus native histogram: bucket `i` holds values up to `2^(i / 2^schema)` seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct NativeHistogram {
    /// See [`NATIVE_SCHEMA`].
    pub schema: i32,
    /// Observations.
    pub count: u64,
    /// Their sum, seconds.
    pub sum: f64,
    /// Index and count of each bucket that is not empty.
    pub buckets: Vec<(i32, u64)>,
}

struct Observations {
    classic_buckets: [u64; LATENCY_BUCKETS.len()],
    /// Microseconds: integers add up exactly.
    sum_micros: u64,
    histogram: Histogram<u64>,
}

/// Latencies of one class; a handle, cheap to clone.
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
        // After a panic one observation may be counted in part: that is harmless.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a latency, in microseconds.
    pub fn observe(&self, micros: u64) {
        let seconds = micros as f64 / MICROS_PER_SECOND;
        let mut observations = self.lock();
        if let Some(at) = LATENCY_BUCKETS.iter().position(|upper| seconds <= *upper) {
            observations.classic_buckets[at] += 1;
        }
        observations.sum_micros = observations.sum_micros.saturating_add(micros);
        observations.histogram.saturating_record(micros.max(1));
    }

    /// The observations as a native histogram.
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

/// The index of a latency's native bucket.
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
        // The last bucket has no upper bound: it holds the rest.
        let bounded: u64 = buckets.iter().map(|b| b.1).sum();
        buckets.push((f64::MAX, count - bounded));
        encoder.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}

#[cfg(test)]
mod tests;
