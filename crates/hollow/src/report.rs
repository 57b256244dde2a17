//! The JSON lines of a run: one at the start, one per second, and summaries.

use std::io::{self, Write};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::controllers::report as controllers;
use crate::followers::report as followers;

/// One line of a run's standard output; the field `kind` names the variant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// The run has started; written first.
    Started(Started),
    /// Activity of hollow followers during one second.
    FollowersSecond(followers::Second),
    /// A change that has reached all hollow followers.
    FollowersChange(followers::ChangePropagation),
    /// Totals of hollow followers since the start or the previous summary.
    FollowersSummary(Box<followers::Summary>),
    /// Activity of hollow controllers during one second.
    ControllersSecond(controllers::Second),
    /// Totals of hollow controllers since the start or the previous summary.
    ControllersSummary(Box<controllers::Summary>),
}

/// Parameters of a run, reported at its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// Role of the simulated peers: `followers` or `controllers`.
    pub role: String,
    /// Number of peers.
    pub count: u64,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Id of the process that runs the peers.
    pub process: u32,
}

/// Distribution of a duration, in microseconds. All fields are 0 if there are no samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of samples.
    pub count: u64,
    /// Arithmetic mean.
    pub mean: f64,
    /// Median.
    pub p50: u64,
    /// 90th percentile.
    pub p90: u64,
    /// 99th percentile.
    pub p99: u64,
    /// 99.9th percentile.
    pub p999: u64,
    /// Largest sample.
    pub max: u64,
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        if histogram.is_empty() {
            return Self::default();
        }
        Self {
            count: histogram.len(),
            mean: histogram.mean(),
            p50: histogram.value_at_quantile(0.5),
            p90: histogram.value_at_quantile(0.9),
            p99: histogram.value_at_quantile(0.99),
            p999: histogram.value_at_quantile(0.999),
            max: histogram.max(),
        }
    }
}

/// Highest value that a histogram tracks, in microseconds: ten minutes.
const MAX_TRACKED_US: u64 = 600_000_000;
/// Precision of histogram values, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Creates an empty histogram of microseconds. Durations over ten minutes, recorded with saturation, count as ten
/// minutes.
pub fn histogram() -> Histogram<u64> {
    let created = Histogram::new_with_bounds(1, MAX_TRACKED_US, SIGNIFICANT_DIGITS);
    created.expect("constant histogram bounds are valid")
}

/// Writes report lines as JSON, one per line, and flushes after each.
pub struct LineWriter<W> {
    out: W,
}

impl<W: Write> LineWriter<W> {
    /// Creates a writer to `out`.
    pub fn new(out: W) -> Self {
        Self { out }
    }

    /// Writes one line and flushes it. Fails if `out` can't be written.
    pub fn write(&mut self, line: &Line) -> io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.out.write_all(&text)?;
        self.out.flush()
    }
}
