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

use nettleferry::WorkerState;
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

/// Maximum of `changes`, changes of one worker at each size.
const MOST_CHANGES: u64 = 100;
/// Maximum of `calls-per-second`.
const MOST_RATE: f64 = 2_000.0;
/// Time within which a child must listen, and a list must be applied.
const PATIENCE: Duration = Duration::from_secs(20);
/// Log message of `serve` for an applied list, and the log filter that includes it.
const LIST_APPLIED: &str = "worker list applied";
const LOG_FILTER: &str = "warn,nettleferry::worker_list=info";
/// Name of the model that is called.
const MODEL: &str = "echo";
/// Number of zones over which the workers of the list are distributed.
const ZONES: u64 = 15;

/// Upper estimates that are used to reject sizes that don't fit the machine.
const PROCESS_BYTES: u64 = 128 << 20;
const WORKER_BYTES: u64 = 20_000;
const PROCESSES: u64 = 2;
const DESCRIPTORS: u64 = 256;
const PORTS: u64 = 64;
/// Upper estimate of the time for a change beyond `settle`: a fixed part and a part for each worker of the list.
const CHANGE_LEAST: Duration = Duration::from_millis(300);
const CHANGE_WORKER: Duration = Duration::from_micros(40);
const START_TIME: Duration = Duration::from_secs(2);

/// Settings of the `serve` process.
const SETTINGS: &str = r#"(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 200ms))
(class quick (effect safe) (aim 1s) (deadline 20s))
(model "echo" (class quick) (lanes 64))
"#;
/// Settings of the stand-in worker.
const STANDIN: &str =
    r#"(listen "127.0.0.1:0") (cores 8) (queue 10000) (model "" (lanes 64) (load-time 1ms) (work 1ms))"#;

/// Parses `(list ...)`.
pub fn read(form: &mut Form) -> Option<Box<dyn Measure>> {
    let sizes = Sizes::read(form, "workers");
    let changes = form.value_or("changes", 5u64);
    if !(1..=MOST_CHANGES).contains(&changes) {
        form.error(format!("(changes ...): write 1 to {MOST_CHANGES}"));
    }
    let rate: f64 = form.value_or("calls-per-second", 200.0);
    if !(1.0..=MOST_RATE).contains(&rate) {
        form.error(format!("(calls-per-second ...): write 1 to {MOST_RATE}"));
    }
    let rest = form.micros_or("rest", 1_000_000);
    let settle = form.micros_or("settle", 400_000);
    if !(10_000..=60_000_000).contains(&rest) || !(10_000..=60_000_000).contains(&settle) {
        form.error("(rest ...) and (settle ...): write 10ms to 1min");
    }
    let sizes = sizes?;
    if sizes.values.iter().any(|size| *size > workers::MAX_WORKERS as u64) {
        form.error(format!("(workers ...): a list holds at most {}", workers::MAX_WORKERS));
    }
    Some(Box::new(List {
        sizes,
        changes: changes.clamp(1, MOST_CHANGES),
        rate: rate.clamp(1.0, MOST_RATE),
        rest: Duration::from_micros(rest),
        settle: Duration::from_micros(settle),
    }))
}

struct List {
    sizes: Sizes,
    changes: u64,
    rate: f64,
    rest: Duration,
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
        let change = self.settle + CHANGE_LEAST + CHANGE_WORKER.saturating_mul(workers);
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
            .map_err(MeasureError::system("can't make calls"))?;
        let mut stats_by_metric = Vec::new();
        // The first call connects to the worker and loads the model; its results are discarded.
        context.wait(self.settle)?;
        take_stats(&calls)?;
        let rest = self.rest(&gateway, context)?;
        observations.add(&REST, rest);
        stats_by_metric.push((&REST_LONGEST, take_stats(&calls)?));
        let cost = self.changes(&mut gateway, rest, self.changes, Gateway::change_one, context)?;
        observations.add(&CHANGE, cost.processor);
        observations.add(&CHANGE_READ, cost.read);
        stats_by_metric.push((&CHANGE_LONGEST, take_stats(&calls)?));
        let cost = self.changes(&mut gateway, rest, 1, Gateway::change_all, context)?;
        observations.add(&REPLACE, cost.processor);
        stats_by_metric.push((&REPLACE_LONGEST, take_stats(&calls)?));
        observations.add(&MEMORY_AFTER, gateway.sample()?.resident as f64);
        observe(stats_by_metric, &mut observations)?;
        Ok(observations)
    }
}

/// Cost of one change, beyond the usage at rest.
struct ChangeCost {
    /// Processor time, in microseconds.
    processor: f64,
    /// Bytes returned by read calls.
    read: f64,
}

impl List {
    /// Cores used while the list does not change.
    fn rest(&self, gateway: &Gateway, context: &mut Context<'_>) -> Result<f64, MeasureError> {
        context.begin_step(&format!("{NAME} {}: at rest", gateway.workers.len()));
        let (before, began) = (gateway.sample()?, Instant::now());
        context.wait(self.rest)?;
        let used = gateway.sample()?.processor.saturating_sub(before.processor);
        Ok(used.as_secs_f64() / began.elapsed().as_secs_f64())
    }

    /// Changes the list `count` times and returns the mean cost of a change; `rest` is the usage at rest in cores.
    fn changes(
        &self,
        gateway: &mut Gateway,
        rest: f64,
        count: u64,
        change: fn(&mut Gateway, &mut Context<'_>) -> Result<(), MeasureError>,
        context: &mut Context<'_>,
    ) -> Result<ChangeCost, MeasureError> {
        let (before, began) = (gateway.sample()?, Instant::now());
        for number in 1..=count {
            context.begin_step(&format!("{NAME} {}: change {number} of {count}", gateway.workers.len()));
            change(gateway, context)?;
            context.wait(self.settle)?;
        }
        let (after, elapsed) = (gateway.sample()?, began.elapsed());
        let used = after.processor.saturating_sub(before.processor).as_secs_f64();
        let beyond = used - rest * elapsed.as_secs_f64();
        let read = after.read.saturating_sub(before.read) as f64;
        Ok(ChangeCost { processor: beyond * 1e6 / count as f64, read: read / count as f64 })
    }
}

fn take_stats(calls: &Calls) -> Result<CallStats, MeasureError> {
    calls.take().map_err(MeasureError::system("can't make calls"))
}

fn observe(
    stats_by_metric: Vec<(&'static Metric, CallStats)>,
    observations: &mut Observations,
) -> Result<(), MeasureError> {
    let mut not_served = 0;
    for (longest, stats) in stats_by_metric {
        if stats.latency.is_empty() {
            let what = format!("no call was served where {} is measured", longest.name);
            return Err(MeasureError::Unexpected(what));
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
    list: PathBuf,
    workers: Vec<Worker>,
    workers_made: u64,
    standin: SocketAddr,
}

impl Gateway {
    /// Starts a stand-in worker and `serve` with a list of `size` workers, and waits until the list is applied.
    fn start(
        size: u64,
        context: &mut Context<'_>,
        observations: &mut Observations,
    ) -> Result<Self, MeasureError> {
        let folder = context.folder().to_owned();
        let standin_file = folder.join("worker.sexp");
        let settings_file = folder.join("settings.sexp");
        write(&standin_file, STANDIN)?;
        write(&settings_file, SETTINGS)?;
        let arguments = ["--log", "warn", "worker"].map(PathBuf::from).into_iter().chain([standin_file]);
        let (_, standin) = listening("stand-in worker", arguments, context)?;
        let list = folder.join("workers.sexp");
        let mut workers = Vec::new();
        for number in 1..=size {
            workers.push(worker(number, standin));
        }
        let text = write_list(&list, &workers)?;
        observations.add(&LIST_BYTES, text as f64);
        let began = Instant::now();
        let arguments = ["--log", LOG_FILTER, "serve"].map(PathBuf::from).into_iter().chain([settings_file]);
        let (child, address) = listening("serve", arguments, context)?;
        observations.add(&START, began.elapsed().as_secs_f64() * 1e6);
        wait_applied(child, 0, context)?;
        let process = context
            .children
            .process(child)
            .ok_or_else(|| MeasureError::Unexpected("serve was stopped".to_owned()))?;
        let gateway = Self { child, process, address, list, workers, workers_made: size, standin };
        observations.add(&MEMORY, gateway.sample()?.resident as f64);
        Ok(gateway)
    }

    fn sample(&self) -> Result<Sample, MeasureError> {
        self.process.sample().map_err(MeasureError::system("can't read the resource usage of serve"))
    }

    fn new_worker(&mut self) -> Worker {
        self.workers_made += 1;
        worker(self.workers_made, self.standin)
    }

    /// Replaces one worker and waits until the list is applied.
    fn change_one(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let at = context.random.random_range(0..self.workers.len());
        self.workers[at] = self.new_worker();
        self.publish(context)
    }

    /// Replaces all workers and waits until the list is applied.
    fn change_all(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        for at in 0..self.workers.len() {
            self.workers[at] = self.new_worker();
        }
        self.publish(context)
    }

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
    fs::write(file, text).map_err(MeasureError::system(file.display().to_string()))
}

/// Replaces the list file atomically and returns its size in bytes.
fn write_list(file: &Path, list: &[Worker]) -> Result<u64, MeasureError> {
    let text = workers::write(list);
    let beside = file.with_extension("new");
    write(&beside, &text)?;
    fs::rename(&beside, file).map_err(MeasureError::system(file.display().to_string()))?;
    Ok(text.len() as u64)
}

/// Starts a child and returns the address on which it reports to listen for calls.
fn listening(
    label: &str,
    arguments: impl IntoIterator<Item = PathBuf>,
    context: &mut Context<'_>,
) -> Result<(ChildId, SocketAddr), MeasureError> {
    let child = context.children.start(label, arguments)?;
    let line = context.children.next_line(child, PATIENCE)?;
    let address = line.strip_prefix("listening grpc ").and_then(|address| address.parse().ok());
    match address {
        Some(address) => Ok((child, address)),
        None => Err(context.children.child_error(child, &format!("unexpected output {line:?}"))),
    }
}

/// Waits until the child logs an applied list in a line after its first `after` log lines.
fn wait_applied(child: ChildId, after: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
    let taken = context.wait_for(PATIENCE, |context| {
        let lines = context.children.log_lines_after(child, after);
        Ok(lines.iter().any(|line| line.contains(LIST_APPLIED)).then_some(()))
    })?;
    taken.ok_or_else(|| context.children.child_error(child, "it did not take the list in time"))
}
