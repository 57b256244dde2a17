//! The measure `worker`: the cost of connections and calls for a stand-in worker process, by the number of hollow
//! controllers that are connected to it.

mod metrics;

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use nettleferry::Micros;
use nettleferry_config::form::Form;
use nettleferry_hollow::controllers::report::Summary;
use nettleferry_hollow::report::Line;
use rand::RngExt;

use self::metrics::*;
use super::{Measure, MeasureError, Metric, Observations, Sizes};
use crate::capacity::Needs;
use crate::children::ChildId;
use crate::context::Context;
use crate::process::Sample;

/// Key of the measure in the plan file.
pub const NAME: &str = "worker";

const MOST_RATE: f64 = 50_000.0;
const MAX_INTERVAL: Micros = 120_000_000;
/// Maximum number of hollow controllers in one process.
const CONTROLLERS_PER_PROCESS: u64 = 2_500;
/// Rate at which connections are opened. It is limited so that the listen queue of the system does not overflow.
const CONNECTS_PER_SECOND: u64 = 2_000;
/// Upper estimates that are used to reject sizes that don't fit the machine.
const PROCESS_BYTES: u64 = 128 << 20;
const CONNECTION_BYTES: u64 = 256 << 10;
const START_TIME: Duration = Duration::from_secs(5);
const PATIENCE: Duration = Duration::from_secs(30);
/// Settings of the stand-in worker, whose calls take almost no work.
const WORKER: &str = "(listen \"127.0.0.1:0\") (cores 8) (queue 10000)\n\
    (model \"\" (lanes 10000) (load-time 1ms) (work 1us))\n";

/// Parses `(worker ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "controllers");
    let script = Script {
        calls: form.value_or("calls-per-second", 1_000.0),
        probes: form.value_or("probes-per-second", 0.0),
        interval: form.micros_or("interval", 3_000_000),
    };
    let in_range = |rate: f64| (0.0..=MOST_RATE).contains(&rate);
    if !in_range(script.calls) || !in_range(script.probes) || script.calls <= 0.0 {
        form.error(format!("(calls-per-second ...), (probes-per-second ...): write up to {MOST_RATE}"));
    }
    if !(100_000..=MAX_INTERVAL).contains(&script.interval) {
        form.error("(interval ...): write 100ms to 2min");
    }
    Some(Box::new(Worker { sizes: sizes?, script }))
}

/// The steps of the measurement at each size.
struct Script {
    /// Calls per second, over all controllers.
    calls: f64,
    /// Probes per second, over all controllers.
    probes: f64,
    /// Length of each of the two intervals, at rest and with calls.
    interval: Micros,
}

struct Worker {
    sizes: Sizes,
    script: Script,
}

impl Measure for Worker {
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
        let processes = 1 + 2 * size.div_ceil(CONTROLLERS_PER_PROCESS);
        let connecting = Duration::from_secs(2 * size / CONNECTS_PER_SECOND);
        Needs {
            memory: processes
                .saturating_mul(PROCESS_BYTES)
                .saturating_add(size.saturating_mul(CONNECTION_BYTES)),
            processes,
            descriptors: size.saturating_add(64),
            ports: size.saturating_mul(2),
            time: START_TIME + connecting + 2 * Duration::from_micros(self.script.interval),
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let span = Duration::from_micros(self.script.interval);
        let mut observations = Observations::default();
        context.begin_step(&format!("{NAME} {size}: connections"));
        let (worker, address) = start_worker(context)?;
        let idle = sample(worker, context)?;
        let idle_controllers = self.start_controllers(address, size, 0.0, context)?;
        context.wait(connecting(size))?;
        let connected = sample(worker, context)?;
        context.wait(span)?;
        let rested = sample(worker, context)?;
        let rest = (rested.processor.saturating_sub(connected.processor)).as_secs_f64() / span.as_secs_f64();
        let connections = summaries(&idle_controllers, context)?;
        let connect = connected.processor.saturating_sub(idle.processor);
        observe_connections(connect, &rested, rest, &connections, &mut observations);
        idle_controllers.into_iter().for_each(|child| context.children.stop(child));
        context.begin_step(&format!("{NAME} {size}: calls"));
        let calling = self.start_controllers(address, size, 1.0, context)?;
        context.wait(connecting(size))?;
        summaries(&calling, context)?;
        let before = sample(worker, context)?;
        context.wait(span)?;
        let after = sample(worker, context)?;
        let calls = summaries(&calling, context)?;
        observe_calls(&before, &after, rest * span.as_secs_f64(), &calls, &mut observations);
        Ok(observations)
    }
}

/// Time within which all controllers have connected.
fn connecting(size: u64) -> Duration {
    Duration::from_millis(1_000 + size * 1_000 / CONNECTS_PER_SECOND)
}

impl Worker {
    /// Starts `size` hollow controllers, which together make `part` (0 to 1) of the script's calls and probes.
    fn start_controllers(
        &self,
        worker: SocketAddr,
        size: u64,
        part: f64,
        context: &mut Context<'_>,
    ) -> Result<Vec<ChildId>, MeasureError> {
        let mut children = Vec::new();
        let mut started = 0;
        while started < size {
            let count = CONTROLLERS_PER_PROCESS.min(size - started);
            let share = part * count as f64 / size as f64;
            let arguments = [
                "hollow".to_owned(),
                "controllers".to_owned(),
                format!("--worker={worker}"),
                format!("--count={count}"),
                format!("--first-number={}", started + 1),
                format!("--seed={}", context.random.random::<u32>()),
                format!("--begin-within={}", size * 1_000 / CONNECTS_PER_SECOND),
                format!("--calls-per-second={}", self.script.calls * share),
                format!("--probes-per-second={}", self.script.probes * share),
            ];
            let label = format!("hollow controllers from {}", started + 1);
            children.push(context.children.start(&label, arguments)?);
            started += count;
        }
        Ok(children)
    }
}

/// Starts a stand-in worker and returns the address on which it listens.
fn start_worker(context: &mut Context<'_>) -> Result<(ChildId, SocketAddr), MeasureError> {
    let file = context.folder().join("worker.sexp");
    fs::write(&file, WORKER).map_err(MeasureError::system("can't write the worker's file"))?;
    let arguments = ["worker".to_owned(), file.display().to_string()];
    let child = context.children.start("worker", arguments)?;
    let line = context.children.next_line(child, PATIENCE)?;
    let address = line.strip_prefix("listening grpc ").and_then(|address| address.parse().ok());
    let address = address
        .ok_or_else(|| context.children.child_error(child, &format!("no address in the output: {line}")))?;
    Ok((child, address))
}

fn sample(child: ChildId, context: &Context<'_>) -> Result<Sample, MeasureError> {
    let process = context.children.process(child);
    let process = process.ok_or_else(|| MeasureError::Unexpected("the worker was stopped".to_owned()))?;
    process.sample().map_err(MeasureError::system("can't read the resource usage of the worker"))
}

/// Requests the counts of the hollow controllers since the last request, one summary for each process.
fn summaries(children: &[ChildId], context: &mut Context<'_>) -> Result<Vec<Summary>, MeasureError> {
    for child in children {
        context.children.write_line(*child, "summary")?;
    }
    children.iter().map(|child| summary(*child, context)).collect()
}

fn summary(child: ChildId, context: &mut Context<'_>) -> Result<Summary, MeasureError> {
    loop {
        let line = context.children.next_line(child, PATIENCE)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(Line::ControllersSummary(summary)) => return Ok(*summary),
            Ok(_) => {}
            Err(error) => return Err(context.children.child_error(child, &format!("{error}: {line}"))),
        }
    }
}

fn sum(summaries: &[Summary], value: impl Fn(&Summary) -> u64) -> f64 {
    summaries.iter().map(value).sum::<u64>() as f64
}

fn maximum(summaries: &[Summary], value: impl Fn(&Summary) -> f64) -> f64 {
    summaries.iter().map(value).fold(0.0, f64::max)
}

fn observe_connections(
    processor: Duration,
    rested: &Sample,
    rest: f64,
    summaries: &[Summary],
    observations: &mut Observations,
) {
    let connected = sum(summaries, |summary| summary.counts.connected);
    observations.add(&CONNECTIONS, sum(summaries, |summary| summary.connections));
    observations.add(&NOT_CONNECTED, sum(summaries, |summary| summary.counts.not_connected));
    observations.add(&CLOSED, sum(summaries, |summary| summary.counts.closed));
    observations.add(&MEMORY, rested.resident as f64);
    observations.add(&DESCRIPTORS, rested.descriptors as f64);
    observations.add(&REST, rest);
    observations.add(&CONNECT_PROCESSOR, processor.as_secs_f64() * 1e6 / connected);
}

fn observe_calls(
    before: &Sample,
    after: &Sample,
    at_rest: f64,
    summaries: &[Summary],
    observations: &mut Observations,
) {
    let answered = sum(summaries, |summary| summary.counts.served + summary.counts.probes_served);
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64() - at_rest;
    let seconds = maximum(summaries, |summary| summary.ran_ms as f64) / 1e3;
    observations.add(&CALL_PROCESSOR, processor * 1e6 / answered);
    observations.add(&CALLS, sum(summaries, |summary| summary.counts.served) / seconds);
    observations
        .add(&NOT_SERVED, sum(summaries, |summary| summary.counts.not_served + summary.counts.broken));
    observations.add(&CALL_P50, maximum(summaries, |summary| summary.call_time.p50 as f64));
    observations.add(&CALL_P99, maximum(summaries, |summary| summary.call_time.p99 as f64));
    observations.add(&MEMORY_AFTER, after.resident as f64);
    let cores = |summary: &Summary| summary.processor_us as f64 / 1e3 / summary.ran_ms.max(1) as f64;
    observations.add(&HOLLOW_PROCESSOR, maximum(summaries, cores));
}
