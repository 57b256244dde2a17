//! The latency of a class: classic buckets, counted exactly, and an HdrHistogram from which native buckets are
//! told. A value's place in the HdrHistogram never changes, nor does the native bucket that the place belongs
//! to: both only grow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use hdrhistogram::Histogram;
use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::{MetricType, TypedMetric};

use crate::BUCKETS;

/// Longest latency told apart, microseconds; longer ones count as this long.
const MOST: u64 = 3_600_000_000;
/// Significant digits of the HdrHistogram: within 1 %, a tenth of a native bucket's width.
const DIGITS: u8 = 2;
/// Native buckets grow by 2^(1/8), 9 %.
pub const SCHEMA: i32 = 3;

/// A native histogram, as Prometheus has them: bucket `i` holds values up to `2^(i / 2^schema)` seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Native {
    /// See [`SCHEMA`].
    pub schema: i32,
    /// Observations.
    pub count: u64,
    /// Their sum, seconds.
    pub sum: f64,
    /// Buckets that hold any, by index, each with its own count.
    pub buckets: Vec<(i32, u64)>,
}

struct Inner {
    classic: [u64; BUCKETS.len()],
    /// Microseconds: whole ones add up exactly.
    sum: u64,
    all: Histogram<u64>,
}

/// Latencies of one class; a handle, cheap to clone.
#[derive(Clone)]
pub struct Latency(Arc<Mutex<Inner>>);

impl std::fmt::Debug for Latency {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Latency").field("count", &self.lock().all.len()).finish()
    }
}

impl Default for Latency {
    fn default() -> Self {
        // The bounds are constants that the crate takes.
        let all = Histogram::new_with_bounds(1, MOST, DIGITS).expect("sound bounds");
        Self(Arc::new(Mutex::new(Inner { classic: [0; BUCKETS.len()], sum: 0, all })))
    }
}

impl Latency {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Whole between any two statements that change it, but for one observation.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts one, microseconds.
    pub fn observe(&self, micros: u64) {
        let seconds = micros as f64 / 1e6;
        let mut inner = self.lock();
        if let Some(at) = BUCKETS.iter().position(|upper| seconds <= *upper) {
            inner.classic[at] += 1;
        }
        inner.sum = inner.sum.saturating_add(micros);
        inner.all.saturating_record(micros.max(1));
    }

    /// As a native histogram.
    pub fn native(&self) -> Native {
        let inner = self.lock();
        let mut buckets: Vec<(i32, u64)> = Vec::new();
        for value in inner.all.iter_recorded() {
            let index = index(value.value_iterated_to());
            match buckets.last_mut() {
                Some((last, count)) if *last == index => *count += value.count_since_last_iteration(),
                _ => buckets.push((index, value.count_since_last_iteration())),
            }
        }
        Native { schema: SCHEMA, count: inner.all.len(), sum: inner.sum as f64 / 1e6, buckets }
    }
}

/// The native bucket of a latency.
fn index(micros: u64) -> i32 {
    let seconds = micros as f64 / 1e6;
    (seconds.log2() * f64::from(1 << SCHEMA)).ceil() as i32
}

impl TypedMetric for Latency {
    const TYPE: MetricType = MetricType::Histogram;
}

impl EncodeMetric for Latency {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), std::fmt::Error> {
        let (sum, count, mut buckets) = {
            let inner = self.lock();
            let counts = BUCKETS.iter().copied().zip(inner.classic).collect::<Vec<_>>();
            (inner.sum as f64 / 1e6, inner.all.len(), counts)
        };
        // What is in no bucket with an upper bound is in the last one, which has none.
        let within: u64 = buckets.iter().map(|b| b.1).sum();
        buckets.push((f64::MAX, count - within));
        encoder.encode_histogram::<NoLabelSet>(sum, count, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        Self::TYPE
    }
}

#[cfg(test)]
mod tests;
