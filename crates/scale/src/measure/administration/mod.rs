//! `administration`: a real administration with hollow followers in other processes and some real ones beside them.
//! What it and a real follower spend while nothing changes and while changes are made, by the number of followers.

mod api;
mod figures;
mod fleet;
mod interval;

use std::time::{Duration, Instant};

use nettleferry::Micros;
use nettleferry_config::form::Form;
use nettleferry_fleet::lease::{MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::MAX_INCARNATIONS;

use self::figures::*;
use self::fleet::{Fleet, HOLLOW_A_PROCESS};
use self::interval::{Changes, Interval};
use super::{Figure, Measure, MeasureError, Observations, Sizes};
use crate::context::Context;
use crate::room::Needs;

/// Its key in a file.
pub const NAME: &str = "administration";

const MOST_REAL: u32 = 8;
const MOST_TENANTS: u64 = 20_000;
const MOST_RATE: f64 = 1_000.0;
const LONGEST_INTERVAL: Micros = 120_000_000;
/// Estimates from above, for the refusal of sizes that can't fit: bytes of a real process, of a hollow one and of a
/// follower in both; time to start, to make a tenant, and a change's longest wait for its word.
const PROCESS_BYTES: u64 = 64 << 20;
const FOLLOWER_BYTES: u64 = 256 << 10;
const START_TIME: Duration = Duration::from_secs(5);
const TENANT_TIME: Duration = Duration::from_millis(10);

/// Reads `(administration ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "followers");
    let script = Script {
        real: form.value_or("real", 1),
        lease: form.micros_or("lease", 6_000_000),
        tenants: form.value_or("tenants", 100),
        rate: form.value_or("changes-per-second", 5.0),
        interval: form.micros_or("interval", 6_000_000),
    };
    if script.real > MOST_REAL {
        form.error(format!("(real ...): write 0 to {MOST_REAL}"));
    }
    if !(MIN_SPAN * 1_000..=MAX_SPAN * 1_000).contains(&script.lease) {
        form.error("(lease ...): write 200ms to 60s");
    }
    if !(1..=MOST_TENANTS).contains(&script.tenants) {
        form.error(format!("(tenants ...): write 1 to {MOST_TENANTS}"));
    }
    if !(0.01..=MOST_RATE).contains(&script.rate) {
        form.error(format!("(changes-per-second ...): write 0.01 to {MOST_RATE}"));
    }
    if !(100_000..=LONGEST_INTERVAL).contains(&script.interval) {
        form.error("(interval ...): write 100ms to 2min");
    }
    let most = (MAX_INCARNATIONS as u64).saturating_sub(u64::from(script.real));
    if let Some(size) = sizes.as_ref().and_then(|sizes| sizes.values.iter().find(|size| **size > most)) {
        form.error(format!(
            "followers {size}: an administration gives leases to {MAX_INCARNATIONS} lives; write at most {most}"
        ));
    }
    Some(Box::new(Administration { sizes: sizes?, script }))
}

/// What is played at each size.
struct Script {
    /// Real followers beside the hollow ones.
    real: u32,
    /// Span of a lease.
    lease: Micros,
    /// Tenants in the book.
    tenants: u64,
    /// Changes a second in the second interval.
    rate: f64,
    /// How long each of the two intervals is.
    interval: Micros,
}

struct Administration {
    sizes: Sizes,
    script: Script,
}

impl Measure for Administration {
    fn name(&self) -> &'static str {
        NAME
    }

    fn sizes(&self) -> &Sizes {
        &self.sizes
    }

    fn figures(&self) -> &'static [&'static Figure] {
        FIGURES
    }

    fn needs(&self, size: u64) -> Needs {
        let hollow = size.div_ceil(HOLLOW_A_PROCESS);
        let processes = 1 + u64::from(self.script.real) + hollow;
        let tenants = TENANT_TIME.saturating_mul(u32::try_from(self.script.tenants).unwrap_or(u32::MAX));
        Needs {
            memory: processes
                .saturating_mul(PROCESS_BYTES)
                .saturating_add(size.saturating_mul(FOLLOWER_BYTES)),
            processes,
            descriptors: size.saturating_mul(2),
            ports: size.saturating_mul(2),
            time: START_TIME + tenants + 2 * Duration::from_micros(self.script.interval),
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let script = &self.script;
        let span = Duration::from_micros(script.interval);
        context.doing(&format!("{NAME} {size}: starts"));
        let mut fleet = Fleet::start(script, size, context)?;
        let begun = Instant::now();
        fleet.follow(script, size, context)?;
        let start = begun.elapsed();
        context.doing(&format!("{NAME} {size}: quiet"));
        let quiet = Interval::measure(&mut fleet, context, |_, context| context.wait(span))?;
        context.doing(&format!("{NAME} {size}: changes"));
        let mut changes = None;
        let busy = Interval::measure(&mut fleet, context, |fleet, context| {
            changes = Some(Changes::make(script.rate, span, script.tenants, fleet, context)?);
            Ok(())
        })?;
        let mut got = Observations::default();
        got.add(&START, start.as_micros() as f64);
        observe_quiet(&quiet, size, &mut got);
        if let Some(changes) = changes {
            observe_changes(&quiet, &busy, &changes, size, &mut got);
        }
        observe_ends(&quiet, &busy, &mut got);
        Ok(got)
    }
}

fn cores(processor: Duration, span: Duration) -> f64 {
    processor.as_secs_f64() / span.as_secs_f64()
}

fn observe_quiet(quiet: &Interval, size: u64, got: &mut Observations) {
    let seconds = quiet.span.as_secs_f64();
    let asks = quiet.sum(|summary| summary.counts.requests);
    let follower_seconds = size as f64 * seconds;
    got.add(&QUIET_PROCESSOR, cores(quiet.administration, quiet.span));
    got.add(&ASKS, asks / seconds);
    got.add(&ASK_PROCESSOR, quiet.administration.as_secs_f64() * 1e6 / asks);
    got.add(&QUIET_TO, quiet.sum(|summary| summary.counts.bytes_in) / follower_seconds);
    got.add(&QUIET_FROM, quiet.sum(|summary| summary.counts.bytes_out) / follower_seconds);
    if let Some(real) = quiet.real {
        got.add(&FOLLOWER_PROCESSOR, cores(real, quiet.span));
    }
}

/// What changes cost beyond what the quiet interval did.
fn observe_changes(quiet: &Interval, busy: &Interval, changes: &Changes, size: u64, got: &mut Observations) {
    let (made, seconds) = (changes.made as f64, busy.span.as_secs_f64());
    let beyond = |quiet_cores: f64, processor: Duration| processor.as_secs_f64() - quiet_cores * seconds;
    let administration = beyond(cores(quiet.administration, quiet.span), busy.administration);
    got.add(&CHANGE_RATE, made / seconds);
    got.add(&CHANGE_PROCESSOR, administration * 1e6 / made);
    got.add(&NOT_EVERYWHERE, changes.not_everywhere as f64);
    if !changes.everywhere.is_empty() {
        let at = |part| changes.everywhere.value_at_quantile(part) as f64;
        got.add(&EVERYWHERE_P50, at(0.5));
        got.add(&EVERYWHERE_P99, at(0.99));
        got.add(&EVERYWHERE_MAX, changes.everywhere.max() as f64);
    }
    got.add(&CHANGE_TO_EACH_P99, busy.greatest(|summary| summary.change_to_each.p99 as f64));
    let quiet_bytes = quiet.sum(|summary| summary.counts.bytes_in) / quiet.span.as_secs_f64() * seconds;
    let change_bytes = busy.sum(|summary| summary.counts.bytes_in) - quiet_bytes;
    got.add(&CHANGE_BYTES, change_bytes / made / size as f64);
    if let (Some(quiet_real), Some(real)) = (quiet.real, busy.real) {
        let real = beyond(cores(quiet_real, quiet.span), real);
        got.add(&FOLLOWER_CHANGE_PROCESSOR, real * 1e6 / made);
    }
}

fn observe_ends(quiet: &Interval, busy: &Interval, got: &mut Observations) {
    got.add(&MEMORY, busy.end.resident as f64);
    got.add(&DESCRIPTORS, busy.end.descriptors as f64);
    got.add(&UNLEASED, (quiet.unleased() + busy.unleased()) / 2.0);
    if let Some(resident) = busy.real_resident {
        got.add(&FOLLOWER_MEMORY, resident as f64);
    }
    let hollow =
        |interval: &Interval| interval.greatest(|s| s.processor_us as f64 / 1e3 / s.ran_ms.max(1) as f64);
    got.add(&HOLLOW_PROCESSOR, hollow(quiet).max(hollow(busy)));
}
