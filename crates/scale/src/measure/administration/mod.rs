//! The measure `administration`: resource usage of a real administration and of real followers, with and without
//! changes, by the number of hollow followers. These are simulated, and many of them share a process.

mod api;
mod fleet;
mod interval;
mod metrics;

use std::time::{Duration, Instant};

use nettleferry::Micros;
use nettleferry_config::form::Form;
use nettleferry_fleet::lease::{MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::MAX_INCARNATIONS;

use self::fleet::{FOLLOWERS_PER_PROCESS, Fleet};
use self::interval::{Changes, Interval};
use self::metrics::*;
use super::{Measure, MeasureError, Metric, Observations, Sizes};
use crate::capacity::Needs;
use crate::context::Context;

/// Key of the measure in the plan file.
pub const NAME: &str = "administration";

/// Maximum of `real`.
const MAX_REAL: u32 = 8;
/// Maximum of `tenants`.
const MAX_TENANTS: u64 = 20_000;
/// Minimum of `changes-per-second`.
const MIN_RATE: f64 = 0.01;
/// Maximum of `changes-per-second`.
const MAX_RATE: f64 = 1_000.0;
/// Minimum of `interval`.
const MIN_INTERVAL: Micros = 100_000;
/// Maximum of `interval`.
const MAX_INTERVAL: Micros = 120_000_000;

// Upper estimates of the resources that a size needs, to reject sizes that don't fit the machine.

/// Memory of a process, real or hollow.
const PROCESS_BYTES: u64 = 64 << 20;
/// Memory that a hollow follower adds, over all processes.
const FOLLOWER_BYTES: u64 = 256 << 10;
/// Time to start all processes.
const START_TIME: Duration = Duration::from_secs(5);
/// Time to create a tenant.
const TENANT_TIME: Duration = Duration::from_millis(10);

/// Parses `(administration ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "followers");
    let parameters = Parameters {
        real: form.value_or("real", 1),
        lease: form.micros_or("lease", 6_000_000),
        tenants: form.value_or("tenants", 100),
        rate: form.value_or("changes-per-second", 5.0),
        interval: form.micros_or("interval", 6_000_000),
    };
    if parameters.real > MAX_REAL {
        form.error(format!("(real ...): write 0 to {MAX_REAL}"));
    }
    if !(MIN_SPAN * 1_000..=MAX_SPAN * 1_000).contains(&parameters.lease) {
        form.error("(lease ...): write 200ms to 60s");
    }
    if !(1..=MAX_TENANTS).contains(&parameters.tenants) {
        form.error(format!("(tenants ...): write 1 to {MAX_TENANTS}"));
    }
    if !(MIN_RATE..=MAX_RATE).contains(&parameters.rate) {
        form.error(format!("(changes-per-second ...): write {MIN_RATE} to {MAX_RATE}"));
    }
    if !(MIN_INTERVAL..=MAX_INTERVAL).contains(&parameters.interval) {
        form.error("(interval ...): write 100ms to 2min");
    }
    let max_followers = (MAX_INCARNATIONS as u64).saturating_sub(u64::from(parameters.real));
    if let Some(size) =
        sizes.as_ref().and_then(|sizes| sizes.values.iter().find(|size| **size > max_followers))
    {
        form.error(format!(
            "followers {size}: an administration gives leases to {MAX_INCARNATIONS} lives; write at most {max_followers}"
        ));
    }
    Some(Box::new(Administration { sizes: sizes?, parameters }))
}

/// The parameters of the measurement, which are the same at each size.
struct Parameters {
    /// Number of real followers, in addition to the hollow ones.
    real: u32,
    /// Duration of a lease.
    lease: Micros,
    /// Number of tenants to create before the measurement.
    tenants: u64,
    /// Changes per second in the second interval.
    rate: f64,
    /// Length of each of the two intervals.
    interval: Micros,
}

struct Administration {
    sizes: Sizes,
    parameters: Parameters,
}

impl Measure for Administration {
    fn name(&self) -> &'static str {
        NAME
    }

    fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    fn metrics(&self) -> &'static [&'static Metric] {
        METRICS
    }

    fn needs(&self, size: u64) -> Needs {
        let hollow = size.div_ceil(FOLLOWERS_PER_PROCESS);
        let processes = 1 + u64::from(self.parameters.real) + hollow;
        let tenants = TENANT_TIME.saturating_mul(u32::try_from(self.parameters.tenants).unwrap_or(u32::MAX));
        Needs {
            memory: processes
                .saturating_mul(PROCESS_BYTES)
                .saturating_add(size.saturating_mul(FOLLOWER_BYTES)),
            processes,
            descriptors: size.saturating_mul(2),
            ports: size.saturating_mul(2),
            time: START_TIME + tenants + 2 * Duration::from_micros(self.parameters.interval),
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let parameters = &self.parameters;
        let span = Duration::from_micros(parameters.interval);
        context.begin_step(&format!("{NAME} {size}: starts"));
        let mut fleet = Fleet::start(parameters, size, context)?;
        let started = Instant::now();
        fleet.start_followers(parameters, size, context)?;
        let start = started.elapsed();
        context.begin_step(&format!("{NAME} {size}: quiet"));
        let quiet = Interval::measure(&mut fleet, context, |_, context| context.wait(span))?;
        context.begin_step(&format!("{NAME} {size}: changes"));
        let mut changes = None;
        let busy = Interval::measure(&mut fleet, context, |fleet, context| {
            changes = Some(Changes::make(parameters.rate, span, parameters.tenants, fleet, context)?);
            Ok(())
        })?;
        let mut observations = Observations::default();
        observations.add(&START, start.as_micros() as f64);
        observe_quiet(&quiet, size, &mut observations);
        if let Some(changes) = changes {
            observe_changes(&quiet, &busy, &changes, size, &mut observations);
        }
        observe_ends(&quiet, &busy, &mut observations);
        Ok(observations)
    }
}

/// Number of cores that used this processor time over `span`.
fn cores(processor: Duration, span: Duration) -> f64 {
    processor.as_secs_f64() / span.as_secs_f64()
}

/// Records the usage of the interval without changes.
fn observe_quiet(quiet: &Interval, size: u64, observations: &mut Observations) {
    let seconds = quiet.span.as_secs_f64();
    let requests = quiet.sum(|summary| summary.counts.requests);
    let follower_seconds = size as f64 * seconds;
    observations.add(&QUIET_PROCESSOR, cores(quiet.administration_processor, quiet.span));
    observations.add(&ASKS, requests / seconds);
    observations.add(&ASK_PROCESSOR, quiet.administration_processor.as_secs_f64() * 1e6 / requests);
    observations.add(&QUIET_TO, quiet.sum(|summary| summary.counts.bytes_in) / follower_seconds);
    observations.add(&QUIET_FROM, quiet.sum(|summary| summary.counts.bytes_out) / follower_seconds);
    if let Some(real) = quiet.follower_processor {
        observations.add(&FOLLOWER_PROCESSOR, cores(real, quiet.span));
    }
}

/// Records the cost of changes: the usage of the interval with changes, beyond that of the interval without.
fn observe_changes(
    quiet: &Interval,
    busy: &Interval,
    changes: &Changes,
    size: u64,
    observations: &mut Observations,
) {
    let (made, seconds) = (changes.made as f64, busy.span.as_secs_f64());
    let beyond = |quiet_cores: f64, processor: Duration| processor.as_secs_f64() - quiet_cores * seconds;
    let administration =
        beyond(cores(quiet.administration_processor, quiet.span), busy.administration_processor);
    observations.add(&CHANGE_RATE, made / seconds);
    observations.add(&CHANGE_PROCESSOR, administration * 1e6 / made);
    observations.add(&NOT_EVERYWHERE, changes.not_everywhere as f64);
    if !changes.everywhere.is_empty() {
        let quantile = |quantile| changes.everywhere.value_at_quantile(quantile) as f64;
        observations.add(&EVERYWHERE_P50, quantile(0.5));
        observations.add(&EVERYWHERE_P99, quantile(0.99));
        observations.add(&EVERYWHERE_MAX, changes.everywhere.max() as f64);
    }
    observations.add(&CHANGE_TO_EACH_P99, busy.maximum(|summary| summary.change_to_each.p99 as f64));
    let quiet_bytes = quiet.sum(|summary| summary.counts.bytes_in) / quiet.span.as_secs_f64() * seconds;
    let change_bytes = busy.sum(|summary| summary.counts.bytes_in) - quiet_bytes;
    observations.add(&CHANGE_BYTES, change_bytes / made / size as f64);
    if let (Some(quiet_real), Some(real)) = (quiet.follower_processor, busy.follower_processor) {
        let real = beyond(cores(quiet_real, quiet.span), real);
        observations.add(&FOLLOWER_CHANGE_PROCESSOR, real * 1e6 / made);
    }
}

/// Records the resource usage at the end, and the usage over both intervals.
fn observe_ends(quiet: &Interval, busy: &Interval, observations: &mut Observations) {
    observations.add(&MEMORY, busy.administration_at_end.resident as f64);
    observations.add(&DESCRIPTORS, busy.administration_at_end.descriptors as f64);
    observations.add(&UNLEASED, (quiet.unleased() + busy.unleased()) / 2.0);
    if let Some(resident) = busy.follower_resident {
        observations.add(&FOLLOWER_MEMORY, resident as f64);
    }
    let hollow_cores = |interval: &Interval| {
        interval.maximum(|summary| summary.processor_us as f64 / 1e3 / summary.ran_ms.max(1) as f64)
    };
    observations.add(&HOLLOW_PROCESSOR, hollow_cores(quiet).max(hollow_cores(busy)));
}
