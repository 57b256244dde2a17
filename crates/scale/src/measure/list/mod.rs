//! The measure `list`: the cost of a worker list in a file for a process of `nettleferry serve` that handles calls: at
//! rest, when one worker changes and when the whole list is replaced, by the number of workers in the list.
//!
//! All entries of the list have the address of a single stand-in worker, so that large lists need no large fleet.

mod calls;
mod metrics;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry::{Micros, WorkerState};
use nettleferry_config::form::Form;
use nettleferry_config::{Worker, workers};
use rand::RngExt;

use self::calls::{CallStats, Calls};
use self::metrics::*;
use super::{Measure, MeasureError, Metric, Observations, Sizes};
use crate::capacity::Needs;
use crate::children::ChildId;
use crate::context::Context;
use crate::process::{Process, Sample};

/// Key of the measure in the plan file.
pub const NAME: &str = "list";

/// Maximum of `changes`.
const MAX_CHANGES: u64 = 100;
/// Maximum of `calls-per-second`.
const MAX_RATE: f64 = 2_000.0;
/// Minimum of `rest` and `settle`.
const MIN_SPAN: Micros = 10_000;
/// Maximum of `rest` and `settle`.
const MAX_SPAN: Micros = 60_000_000;
/// Time within which a child must listen, and within which a list must be applied.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Log message of `serve` for an applied list.
const LIST_APPLIED: &str = "worker list applied";
/// Log filter that includes [`LIST_APPLIED`].
const LOG_FILTER: &str = "warn,nettleferry::worker_list=info";
/// Name of the model that is called.
const MODEL: &str = "echo";
/// Number of zones over which the workers of the list are distributed.
const ZONES: u64 = 15;

// Upper estimates of the resources that a size needs, to reject sizes that don't fit the machine.

/// Memory of a process without its worker list.
const PROCESS_BYTES: u64 = 128 << 20;
/// Memory that a worker of the list adds.
const WORKER_BYTES: u64 = 20_000;
/// Number of processes: `serve` and the stand-in worker.
const PROCESSES: u64 = 2;
/// Descriptors of one process.
const DESCRIPTORS: u64 = 256;
/// Local ports of both processes and of the calls.
const PORTS: u64 = 64;
/// Time to apply a change, in addition to `settle` and [`CHANGE_TIME_PER_WORKER`].
const CHANGE_TIME: Duration = Duration::from_millis(300);
/// Time to apply a change, for each worker of the list.
const CHANGE_TIME_PER_WORKER: Duration = Duration::from_micros(40);
/// Time to start both processes.
const START_TIME: Duration = Duration::from_secs(2);

/// Settings of the `serve` process.
const GATEWAY_SETTINGS: &str = r#"(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 200ms))
(class quick (effect safe) (aim 1s) (deadline 20s))
(model "echo" (class quick) (lanes 64))
"#;
/// Settings of the stand-in worker.
const STAND_IN_SETTINGS: &str =
    r#"(listen "127.0.0.1:0") (cores 8) (queue 10000) (model "" (lanes 64) (load-time 1ms) (work 1ms))"#;

/// Parses `(list ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "workers");
    let changes = form.value_or("changes", 5u64);
    if !(1..=MAX_CHANGES).contains(&changes) {
        form.error(format!("(changes ...): write 1 to {MAX_CHANGES}"));
    }
    let rate: f64 = form.value_or("calls-per-second", 200.0);
    if !(1.0..=MAX_RATE).contains(&rate) {
        form.error(format!("(calls-per-second ...): write 1 to {MAX_RATE}"));
    }
    let rest = form.micros_or("rest", 1_000_000);
    let settle = form.micros_or("settle", 400_000);
    if !(MIN_SPAN..=MAX_SPAN).contains(&rest) || !(MIN_SPAN..=MAX_SPAN).contains(&settle) {
        form.error("(rest ...) and (settle ...): write 10ms to 1min");
    }
    let sizes = sizes?;
    if sizes.values.iter().any(|size| *size > workers::MAX_WORKERS as u64) {
        form.error(format!("(workers ...): a list holds at most {}", workers::MAX_WORKERS));
    }
    Some(Box::new(List {
        sizes,
        changes: changes.clamp(1, MAX_CHANGES),
        rate: rate.clamp(1.0, MAX_RATE),
        rest: Duration::from_micros(rest),
        settle: Duration::from_micros(settle),
    }))
}

struct List {
    sizes: Sizes,
    /// Number of changes of one worker at each size.
    changes: u64,
    /// Calls per second.
    rate: f64,
    /// Length of the interval without changes.
    rest: Duration,
    /// Time to wait after each change, which is measured as part of the change.
    settle: Duration,
}

impl Measure for List {
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
        let workers = u32::try_from(size).unwrap_or(u32::MAX);
        let change = self.settle + CHANGE_TIME + CHANGE_TIME_PER_WORKER.saturating_mul(workers);
        let changes = change.saturating_mul(self.changes as u32 + 1);
        Needs {
            memory: (PROCESSES * PROCESS_BYTES).saturating_add(size.saturating_mul(WORKER_BYTES)),
            processes: PROCESSES,
            descriptors: DESCRIPTORS,
            ports: PORTS,
            time: START_TIME + self.rest + changes,
        }
    }

    fn run_at(&mut self, size: u64, context: &mut Context<'_>) -> Result<Observations, MeasureError> {
        let mut observations = Observations::default();
        let mut gateway = Gateway::start(size, context, &mut observations)?;
        let calls = Calls::start(gateway.address, MODEL, self.rate)
            .map_err(MeasureError::system("can't start calls"))?;
        let mut stats_by_metric = Vec::new();
        // The first call connects to the worker and loads the model; its results are discarded.
        context.wait(self.settle)?;
        take_stats(&calls)?;
        let rest_cores = self.measure_rest(&gateway, context)?;
        observations.add(&REST, rest_cores);
        stats_by_metric.push((&REST_LONGEST, take_stats(&calls)?));
        let cost =
            self.measure_changes(&mut gateway, rest_cores, self.changes, Gateway::change_one, context)?;
        observations.add(&CHANGE, cost.processor);
        observations.add(&CHANGE_READ, cost.bytes_read);
        stats_by_metric.push((&CHANGE_LONGEST, take_stats(&calls)?));
        let cost = self.measure_changes(&mut gateway, rest_cores, 1, Gateway::change_all, context)?;
        observations.add(&REPLACE, cost.processor);
        stats_by_metric.push((&REPLACE_LONGEST, take_stats(&calls)?));
        observations.add(&MEMORY_AFTER, gateway.sample()?.resident as f64);
        observe(stats_by_metric, &mut observations)?;
        Ok(observations)
    }
}

/// Mean cost of a change.
struct ChangeCost {
    /// Processor time beyond the usage at rest, in microseconds.
    processor: f64,
    /// Bytes returned by read calls, including those of the checks of an unchanged file.
    bytes_read: f64,
}

impl List {
    /// Measures the number of cores used while the list does not change.
    fn measure_rest(&self, gateway: &Gateway, context: &mut Context<'_>) -> Result<f64, MeasureError> {
        context.begin_step(&format!("{NAME} {}: at rest", gateway.workers.len()));
        let (before, started) = (gateway.sample()?, Instant::now());
        context.wait(self.rest)?;
        let used = gateway.sample()?.processor.saturating_sub(before.processor);
        Ok(used.as_secs_f64() / started.elapsed().as_secs_f64())
    }

    /// Changes the list `count` times and returns the mean cost of a change. `rest_cores` is the number of cores used
    /// at rest.
    fn measure_changes(
        &self,
        gateway: &mut Gateway,
        rest_cores: f64,
        count: u64,
        change: fn(&mut Gateway, &mut Context<'_>) -> Result<(), MeasureError>,
        context: &mut Context<'_>,
    ) -> Result<ChangeCost, MeasureError> {
        let (before, started) = (gateway.sample()?, Instant::now());
        for number in 1..=count {
            context.begin_step(&format!("{NAME} {}: change {number} of {count}", gateway.workers.len()));
            change(gateway, context)?;
            context.wait(self.settle)?;
        }
        let (after, elapsed) = (gateway.sample()?, started.elapsed());
        let used = after.processor.saturating_sub(before.processor).as_secs_f64();
        let beyond = used - rest_cores * elapsed.as_secs_f64();
        let bytes_read = after.read.saturating_sub(before.read) as f64;
        Ok(ChangeCost { processor: beyond * 1e6 / count as f64, bytes_read: bytes_read / count as f64 })
    }
}

fn take_stats(calls: &Calls) -> Result<CallStats, MeasureError> {
    calls.take().map_err(MeasureError::system("can't reset the statistics of the calls"))
}

/// Records the longest latency of each interval under its metric, and the failed calls of all intervals.
fn observe(
    stats_by_metric: Vec<(&'static Metric, CallStats)>,
    observations: &mut Observations,
) -> Result<(), MeasureError> {
    let mut not_served = 0;
    for (longest, stats) in stats_by_metric {
        if stats.latency.is_empty() {
            let message = format!("no call was served in the interval in which {} is measured", longest.name);
            return Err(MeasureError::Unexpected(message));
        }
        observations.add(longest, stats.latency.max() as f64);
        not_served += stats.failed + stats.skipped;
    }
    observations.add(&NOT_SERVED, not_served as f64);
    Ok(())
}

/// A `serve` process and its worker list.
struct Gateway {
    child: ChildId,
    process: Process,
    address: SocketAddr,
    /// Path of the list file.
    list: PathBuf,
    /// Workers of the current list.
    workers: Vec<Worker>,
    /// Number of workers created so far, which numbers the next one.
    workers_created: u64,
    /// Address of the stand-in worker, which all workers of the list have.
    stand_in: SocketAddr,
}

impl Gateway {
    /// Starts a stand-in worker and `serve` with a list of `size` workers, and waits until the list is applied.
    fn start(
        size: u64,
        context: &mut Context<'_>,
        observations: &mut Observations,
    ) -> Result<Self, MeasureError> {
        let folder = context.folder().to_owned();
        let stand_in_file = folder.join("worker.sexp");
        let settings_file = folder.join("settings.sexp");
        write(&stand_in_file, STAND_IN_SETTINGS)?;
        write(&settings_file, GATEWAY_SETTINGS)?;
        let arguments = ["--log", "warn", "worker"].map(PathBuf::from).into_iter().chain([stand_in_file]);
        let (_, stand_in) = start_listening("stand-in worker", arguments, context)?;
        let list = folder.join("workers.sexp");
        let mut workers = Vec::new();
        for number in 1..=size {
            workers.push(worker(number, stand_in));
        }
        let list_bytes = write_list(&list, &workers)?;
        observations.add(&LIST_BYTES, list_bytes as f64);
        let started = Instant::now();
        let arguments = ["--log", LOG_FILTER, "serve"].map(PathBuf::from).into_iter().chain([settings_file]);
        let (child, address) = start_listening("serve", arguments, context)?;
        observations.add(&START, started.elapsed().as_secs_f64() * 1e6);
        wait_applied(child, 0, context)?;
        let process = context.children.process(child).ok_or_else(|| {
            MeasureError::Unexpected("can't sample serve, which was already stopped".to_owned())
        })?;
        let gateway = Self { child, process, address, list, workers, workers_created: size, stand_in };
        observations.add(&MEMORY, gateway.sample()?.resident as f64);
        Ok(gateway)
    }

    fn sample(&self) -> Result<Sample, MeasureError> {
        self.process.sample().map_err(MeasureError::system("can't read the resource usage of serve"))
    }

    fn new_worker(&mut self) -> Worker {
        self.workers_created += 1;
        worker(self.workers_created, self.stand_in)
    }

    /// Replaces one worker and waits until the list is applied.
    fn change_one(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let index = context.random.random_range(0..self.workers.len());
        self.workers[index] = self.new_worker();
        self.publish(context)
    }

    /// Replaces all workers and waits until the list is applied.
    fn change_all(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        for index in 0..self.workers.len() {
            self.workers[index] = self.new_worker();
        }
        self.publish(context)
    }

    /// Writes the list file and waits until the list is applied.
    fn publish(&self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let log_line_count = context.children.log_line_count(self.child);
        write_list(&self.list, &self.workers)?;
        wait_applied(self.child, log_line_count, context)
    }
}

fn worker(number: u64, address: SocketAddr) -> Worker {
    let name = format!("w{number}");
    Worker {
        address,
        zone: format!("zone-{}", number % ZONES),
        kind: "kind-0".to_owned(),
        weight: 1.0,
        cell: name.clone(),
        name,
        state: WorkerState::On,
        started_at: None,
    }
}

fn write(file: &Path, text: &str) -> Result<(), MeasureError> {
    fs::write(file, text).map_err(MeasureError::system(format!("can't write {}", file.display())))
}

/// Replaces the list file atomically and returns its size in bytes.
fn write_list(file: &Path, list: &[Worker]) -> Result<u64, MeasureError> {
    let text = workers::write(list);
    let temporary = file.with_extension("new");
    write(&temporary, &text)?;
    fs::rename(&temporary, file)
        .map_err(MeasureError::system(format!("can't replace {}", file.display())))?;
    Ok(text.len() as u64)
}

/// Starts a child and returns it with the address on which it reports that it listens for calls.
fn start_listening(
    label: &str,
    arguments: impl IntoIterator<Item = PathBuf>,
    context: &mut Context<'_>,
) -> Result<(ChildId, SocketAddr), MeasureError> {
    let child = context.children.start(label, arguments)?;
    let line = context.children.next_line(child, RESPONSE_TIMEOUT)?;
    let address = line.strip_prefix("listening grpc ").and_then(|address| address.parse().ok());
    match address {
        Some(address) => Ok((child, address)),
        None => Err(context.children.child_error(child, &format!("no address in the output line {line:?}"))),
    }
}

/// Waits until the child logs that it applied a list; ignores its first `after` log lines.
fn wait_applied(child: ChildId, after: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
    let applied = context.wait_for(RESPONSE_TIMEOUT, |context| {
        let lines = context.children.log_lines_after(child, after);
        Ok(lines.iter().any(|line| line.contains(LIST_APPLIED)).then_some(()))
    })?;
    let what = format!("the worker list was not applied within {RESPONSE_TIMEOUT:?}");
    applied.ok_or_else(|| context.children.child_error(child, &what))
}
