//! The JSON lines of a run: one when it has started, one a second, and summaries.

use std::io::{self, Write};

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::controllers::report as controllers;
use crate::followers::report as followers;

/// A line of a run's standard output.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Line {
    /// The peers are there, and begin.
    Started(Started),
    /// What hollow followers did in a second.
    FollowersSecond(followers::Second),
    /// All hollow followers have a change.
    FollowersChange(followers::Change),
    /// What hollow followers saw since the start or the last summary.
    FollowersSummary(Box<followers::Summary>),
    /// What hollow controllers did in a second.
    ControllersSecond(controllers::Second),
    /// What hollow controllers saw since the start or the last summary.
    ControllersSummary(Box<controllers::Summary>),
}

/// A run begins.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Started {
    /// The role of its peers.
    pub role: String,
    /// How many.
    pub count: u64,
    /// What its draws begin with.
    pub seed: u64,
    /// Its process.
    pub process: u32,
}

/// Times of something, microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// How many there were.
    pub count: u64,
    /// Their mean.
    pub mean: f64,
    /// 50 of 100 took at most so long.
    pub p50: u64,
    /// 90 of 100.
    pub p90: u64,
    /// 99 of 100.
    pub p99: u64,
    /// 999 of 1,000.
    pub p999: u64,
    /// All.
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

/// The longest time that a histogram tells apart, microseconds: ten minutes.
const LONGEST: u64 = 600_000_000;
/// Decimal digits of its values.
const DIGITS: u8 = 3;

/// A histogram of microseconds; longer times count as the longest.
pub fn histogram() -> Histogram<u64> {
    let made = Histogram::new_with_bounds(1, LONGEST, DIGITS);
    made.expect("the bounds are sound, being constants")
}

/// Where lines go; each is written out at once.
pub struct LineWriter<W> {
    out: W,
}

impl<W: Write> LineWriter<W> {
    /// LineWriter to `out`.
    pub fn new(out: W) -> Self {
        Self { out }
    }

    /// Writes one.
    pub fn write(&mut self, line: &Line) -> io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.out.write_all(&text)?;
        self.out.flush()
    }
}
