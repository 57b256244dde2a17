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

/// Maximum of `calls-per-second` and `probes-per-second`.
const MAX_RATE: f64 = 50_000.0;
/// Minimum of `interval`.
const MIN_INTERVAL: Micros = 100_000;
/// Maximum of `interval`.
const MAX_INTERVAL: Micros = 120_000_000;
/// Maximum number of hollow controllers in one process.
const CONTROLLERS_PER_PROCESS: u64 = 2_500;
/// Rate at which connections are opened. It is limited so that the listen queue of the system does not overflow.
const CONNECTS_PER_SECOND: u64 = 2_000;
/// Time within which a process must print an expected line.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);
/// Settings of the stand-in worker, whose calls take almost no work.
const WORKER_SETTINGS: &str = "(listen \"127.0.0.1:0\") (cores 8) (queue 10000)\n\
    (model \"\" (lanes 10000) (load-time 1ms) (work 1us))\n";

// Upper estimates of the resources that a size needs, to reject sizes that don't fit the machine.

/// Memory of a process.
const PROCESS_BYTES: u64 = 128 << 20;
/// Memory that a connection adds, over all processes.
const CONNECTION_BYTES: u64 = 256 << 10;
/// Time to start all processes.
const START_TIME: Duration = Duration::from_secs(5);

/// Parses `(worker ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "controllers");
    let parameters = Parameters {
        calls: form.value_or("calls-per-second", 1_000.0),
        probes: form.value_or("probes-per-second", 0.0),
        interval: form.micros_or("interval", 3_000_000),
    };
    let in_range = |rate: f64| (0.0..=MAX_RATE).contains(&rate);
    if !in_range(parameters.calls) || !in_range(parameters.probes) || parameters.calls <= 0.0 {
        form.error(format!("(calls-per-second ...), (probes-per-second ...): write up to {MAX_RATE}"));
    }
    if !(MIN_INTERVAL..=MAX_INTERVAL).contains(&parameters.interval) {
        form.error("(interval ...): write 100ms to 2min");
    }
    Some(Box::new(Worker { sizes: sizes?, parameters }))
}

/// The parameters of the measurement, which are the same at each size.
struct Parameters {
    /// Calls per second, over all controllers.
    calls: f64,
    /// Probes per second, over all controllers.
    probes: f64,
    /// Length of each of the two intervals, at rest and with calls.
    interval: Micros,
}

struct Worker {
    sizes: Sizes,
    parameters: Parameters,
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
        let connect_times = Duration::from_secs(2 * size / CONNECTS_PER_SECOND);
        Needs {
            memory: processes
                .saturating_mul(PROCESS_BYTES)
                .saturating_add(size.saturating_mul(CONNECTION_BYTES)),
            processes,
            descriptors: size.saturating_add(64),
            ports: size.saturating_mul(2),
            time: START_TIME + connect_times + 2 * Duration::from_micros(self.parameters.interval),
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let span = Duration::from_micros(self.parameters.interval);
        let mut observations = Observations::default();
        context.begin_step(&format!("{NAME} {size}: connections"));
        let (worker, address) = start_worker(context)?;
        let unconnected = sample(worker, context)?;
        let idle_controllers = self.start_controllers(address, size, 0.0, context)?;
        context.wait(connect_time(size))?;
        let connected = sample(worker, context)?;
        context.wait(span)?;
        let at_rest = sample(worker, context)?;
        let rest_cores =
            at_rest.processor.saturating_sub(connected.processor).as_secs_f64() / span.as_secs_f64();
        let connections = summaries(&idle_controllers, context)?;
        let connect_processor = connected.processor.saturating_sub(unconnected.processor);
        observe_connections(connect_processor, &at_rest, rest_cores, &connections, &mut observations);
        idle_controllers.into_iter().for_each(|child| context.children.stop(child));
        context.begin_step(&format!("{NAME} {size}: calls"));
        let calling_controllers = self.start_controllers(address, size, 1.0, context)?;
        context.wait(connect_time(size))?;
        // Resets the counters, so that the summaries after the interval don't include the time of connecting.
        summaries(&calling_controllers, context)?;
        let before = sample(worker, context)?;
        context.wait(span)?;
        let after = sample(worker, context)?;
        let calls = summaries(&calling_controllers, context)?;
        let rest_seconds = rest_cores * span.as_secs_f64();
        observe_calls(&before, &after, rest_seconds, &calls, &mut observations);
        Ok(observations)
    }
}

/// Time within which `size` controllers connect.
fn connect_time(size: u64) -> Duration {
    Duration::from_millis(1_000 + size * 1_000 / CONNECTS_PER_SECOND)
}

impl Worker {
    /// Starts `size` hollow controllers, which together make `load_fraction` (0 to 1) of the configured calls and
    /// probes.
    fn start_controllers(
        &self,
        worker: SocketAddr,
        size: u64,
        load_fraction: f64,
        context: &mut Context<'_>,
    ) -> Result<Vec<ChildId>, MeasureError> {
        let mut children = Vec::new();
        let mut started = 0;
        while started < size {
            let count = CONTROLLERS_PER_PROCESS.min(size - started);
            let share = load_fraction * count as f64 / size as f64;
            let arguments = [
                "hollow".to_owned(),
                "controllers".to_owned(),
                format!("--worker={worker}"),
                format!("--count={count}"),
                format!("--first-number={}", started + 1),
                format!("--seed={}", context.random.random::<u32>()),
                format!("--begin-within={}", size * 1_000 / CONNECTS_PER_SECOND),
                format!("--calls-per-second={}", self.parameters.calls * share),
                format!("--probes-per-second={}", self.parameters.probes * share),
            ];
            let label = format!("hollow controllers from {}", started + 1);
            children.push(context.children.start(&label, arguments)?);
            started += count;
        }
        Ok(children)
    }
}

/// Starts a stand-in worker and returns it with the address on which it listens.
fn start_worker(context: &mut Context<'_>) -> Result<(ChildId, SocketAddr), MeasureError> {
    let file = context.folder().join("worker.sexp");
    fs::write(&file, WORKER_SETTINGS)
        .map_err(MeasureError::system("can't write the settings of the worker"))?;
    let arguments = ["worker".to_owned(), file.display().to_string()];
    let child = context.children.start("worker", arguments)?;
    let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
    let address = line.strip_prefix("listening grpc ").and_then(|address| address.parse().ok());
    let address = address.ok_or_else(|| {
        context.children.child_error(child, &format!("no address in the output line {line:?}"))
    })?;
    Ok((child, address))
}

fn sample(child: ChildId, context: &Context<'_>) -> Result<Sample, MeasureError> {
    let process = context.children.process(child);
    let process = process.ok_or_else(|| {
        MeasureError::Unexpected("can't sample the worker, which was already stopped".to_owned())
    })?;
    process.sample().map_err(MeasureError::system("can't read the resource usage of the worker"))
}

/// Requests the counts of the hollow controllers since the last request, one summary for each process.
fn summaries(children: &[ChildId], context: &mut Context<'_>) -> Result<Vec<Summary>, MeasureError> {
    for child in children {
        context.children.write_line(*child, "summary")?;
    }
    children.iter().map(|child| read_summary(*child, context)).collect()
}

/// Reads the output of a process of hollow controllers up to its next summary.
fn read_summary(child: ChildId, context: &mut Context<'_>) -> Result<Summary, MeasureError> {
    loop {
        let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
        match serde_json::from_str::<Line>(&line) {
            Ok(Line::ControllersSummary(summary)) => return Ok(*summary),
            Ok(_) => {}
            Err(error) => {
                return Err(context
                    .children
                    .child_error(child, &format!("can't parse the output line {line:?}: {error}")));
            }
        }
    }
}

fn sum(summaries: &[Summary], value: impl Fn(&Summary) -> u64) -> f64 {
    summaries.iter().map(value).sum::<u64>() as f64
}

fn maximum(summaries: &[Summary], value: impl Fn(&Summary) -> f64) -> f64 {
    summaries.iter().map(value).fold(0.0, f64::max)
}

/// Records the cost of the connections. `connect_processor` is the processor time of the worker while they were opened,
/// `rest_cores` its usage in cores after that.
fn observe_connections(
    connect_processor: Duration,
    at_rest: &Sample,
    rest_cores: f64,
    summaries: &[Summary],
    observations: &mut Observations,
) {
    let connected = sum(summaries, |summary| summary.counts.connected);
    observations.add(&CONNECTIONS, sum(summaries, |summary| summary.connections));
    observations.add(&NOT_CONNECTED, sum(summaries, |summary| summary.counts.not_connected));
    observations.add(&CLOSED, sum(summaries, |summary| summary.counts.closed));
    observations.add(&MEMORY, at_rest.resident as f64);
    observations.add(&DESCRIPTORS, at_rest.descriptors as f64);
    observations.add(&REST, rest_cores);
    observations.add(&CONNECT_PROCESSOR, connect_processor.as_secs_f64() * 1e6 / connected);
}

/// Records the cost of the calls between two samples of the worker. `rest_seconds` is the processor time that the
/// worker uses at rest in the same interval.
fn observe_calls(
    before: &Sample,
    after: &Sample,
    rest_seconds: f64,
    summaries: &[Summary],
    observations: &mut Observations,
) {
    let served = sum(summaries, |summary| summary.counts.served + summary.counts.probes_served);
    let processor = after.processor.saturating_sub(before.processor).as_secs_f64() - rest_seconds;
    let seconds = maximum(summaries, |summary| summary.ran_ms as f64) / 1e3;
    observations.add(&CALL_PROCESSOR, processor * 1e6 / served);
    observations.add(&CALLS, sum(summaries, |summary| summary.counts.served) / seconds);
    observations
        .add(&NOT_SERVED, sum(summaries, |summary| summary.counts.not_served + summary.counts.broken));
    observations.add(&CALL_P50, maximum(summaries, |summary| summary.call_time.p50 as f64));
    observations.add(&CALL_P99, maximum(summaries, |summary| summary.call_time.p99 as f64));
    observations.add(&MEMORY_AFTER, after.resident as f64);
    let cores = |summary: &Summary| summary.processor_us as f64 / 1e3 / summary.ran_ms.max(1) as f64;
    observations.add(&HOLLOW_PROCESSOR, maximum(summaries, cores));
}
