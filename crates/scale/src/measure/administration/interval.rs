//! Resource usage of the processes over one interval of the measure, and the changes that are made in it.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use nettleferry_hollow::followers::report::Summary;

use super::fleet::{Fleet, tenant_name};
use crate::children::ChildId;
use crate::context::Context;
use crate::measure::MeasureError;
use crate::process::Sample;

/// Upper bound of the histogram of changes, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Resource usage of the real processes at one moment.
struct UsageSnapshot {
    at: Instant,
    administration: Sample,
    real: Vec<Sample>,
}

impl UsageSnapshot {
    fn now(fleet: &Fleet, context: &Context<'_>) -> Result<Self, MeasureError> {
        let real = fleet.real.iter().map(|child| sample(*child, context)).collect::<Result<_, _>>()?;
        Ok(Self { at: Instant::now(), administration: sample(fleet.administration, context)?, real })
    }
}

fn sample(child: ChildId, context: &Context<'_>) -> Result<Sample, MeasureError> {
    let process = context.children.process(child);
    let process = process.ok_or_else(|| {
        MeasureError::Unexpected("can't sample a process that was already stopped".to_owned())
    })?;
    process.sample().map_err(MeasureError::system("can't read the resource usage of a process"))
}

/// The measurements of a completed interval.
pub struct Interval {
    /// Length of the interval.
    pub span: Duration,
    /// Processor time of the administration in the interval.
    pub administration_processor: Duration,
    /// Resource usage of the administration at the end of the interval.
    pub administration_at_end: Sample,
    /// Mean processor time of a real follower in the interval; none without real followers.
    pub follower_processor: Option<Duration>,
    /// Mean resident memory of a real follower at the end, in bytes; none without real followers.
    pub follower_resident: Option<u64>,
    /// Summaries of the hollow followers for the interval, one for each process.
    pub hollow: Vec<Summary>,
}

impl Interval {
    /// Runs `work` and measures the interval that it takes.
    pub fn measure(
        fleet: &mut Fleet,
        context: &mut Context<'_>,
        work: impl FnOnce(&mut Fleet, &mut Context<'_>) -> Result<(), MeasureError>,
    ) -> Result<Self, MeasureError> {
        // Each request of the summaries resets the counters of the hollow followers.
        fleet.summaries(context)?;
        let begin = UsageSnapshot::now(fleet, context)?;
        work(fleet, context)?;
        let end = UsageSnapshot::now(fleet, context)?;
        let hollow = fleet.summaries(context)?;
        let processor = |begin: &Sample, end: &Sample| end.processor.saturating_sub(begin.processor);
        let count = end.real.len() as u32;
        let real: Duration = begin.real.iter().zip(&end.real).map(|(begin, end)| processor(begin, end)).sum();
        let resident: u64 = end.real.iter().map(|sample| sample.resident).sum();
        Ok(Self {
            span: end.at - begin.at,
            administration_processor: processor(&begin.administration, &end.administration),
            administration_at_end: end.administration,
            follower_processor: (count > 0).then(|| real / count),
            follower_resident: resident.checked_div(u64::from(count)),
            hollow,
        })
    }

    /// Sum of a count over the hollow processes.
    pub fn sum(&self, value: impl Fn(&Summary) -> u64) -> f64 {
        self.hollow.iter().map(value).sum::<u64>() as f64
    }

    /// Maximum of a value over the hollow processes; 0 without any.
    pub fn maximum(&self, value: impl Fn(&Summary) -> f64) -> f64 {
        self.hollow.iter().map(value).fold(0.0, f64::max)
    }

    /// Share of the hollow followers' time in which they had no lease, each counted from its first lease.
    pub fn unleased(&self) -> f64 {
        let followers = self.sum(|summary| summary.followers).max(1.0);
        let unleased = |summary: &Summary| (1.0 - summary.coverage_since_first) * summary.followers as f64;
        self.hollow.iter().map(unleased).sum::<f64>() / followers
    }
}

/// The changes of an interval and their results.
pub struct Changes {
    /// Number of changes that were made.
    pub made: u64,
    /// Time from a change's request to the response that it is in force everywhere, in microseconds.
    pub everywhere: Histogram<u64>,
    /// Number of changes whose response did not report that they are in force everywhere.
    pub not_everywhere: u64,
}

impl Changes {
    /// Makes changes for `span`, at `rate` per second at most, to each tenant in turn. Each change waits for the
    /// response to the previous one.
    pub fn make(
        rate: f64,
        span: Duration,
        tenants: u64,
        fleet: &mut Fleet,
        context: &mut Context<'_>,
    ) -> Result<Self, MeasureError> {
        let everywhere = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
            .map_err(|error| MeasureError::Unexpected(format!("can't create a histogram: {error}")))?;
        let mut changes = Self { made: 0, everywhere, not_everywhere: 0 };
        let started = Instant::now();
        loop {
            let due = started + Duration::from_secs_f64(changes.made as f64 / rate);
            if due >= started + span || started.elapsed() >= span {
                context.wait((started + span).saturating_duration_since(Instant::now()))?;
                return Ok(changes);
            }
            context.wait(due.saturating_duration_since(Instant::now()))?;
            let sent_at = Instant::now();
            let name = tenant_name(changes.made % tenants);
            if fleet.api.lower_limit(&name, context)? {
                changes.everywhere.saturating_record(sent_at.elapsed().as_micros() as u64);
            } else {
                changes.not_everywhere += 1;
            }
            changes.made += 1;
        }
    }
}
