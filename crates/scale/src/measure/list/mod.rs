//! `list`: a process of `nettleferry serve` with a worker list in a file, while calls flow. What the list costs it at
//! rest, at a change of one worker and when it is replaced whole, by the workers in the list.
//!
//! All workers of the list have the address of one stand-in worker: the list is long, the fleet behind it is not.

mod calls;
mod figures;

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry::WorkerState;
use nettleferry_config::form::Form;
use nettleferry_config::{Worker, workers};
use rand::RngExt;

use self::calls::{Calls, Stretch};
use self::figures::*;
use super::{Figure, Measure, MeasureError, Observations, Sizes};
use crate::children::ChildId;
use crate::context::Context;
use crate::process::{Process, Sample};
use crate::room::Needs;

/// Its key in a file.
pub const NAME: &str = "list";

/// Most changes of one worker at a size, and most calls a second.
const MOST_CHANGES: u64 = 100;
const MOST_RATE: f64 = 2_000.0;
/// A child has so long to listen, and a list to be taken.
const PATIENCE: Duration = Duration::from_secs(20);
/// The log line that tells of a list that was taken, and the filter that lets it through.
const TAKEN: &str = "worker list applied";
const LOG_FILTER: &str = "warn,nettleferry::worker_list=info";
/// The model that is called.
const MODEL: &str = "echo";
/// Zones and kinds of the workers in the list.
const ZONES: u64 = 15;

/// Estimates from above, for the refusal of sizes that can't fit.
const PROCESS_BYTES: u64 = 128 << 20;
const WORKER_BYTES: u64 = 20_000;
const PROCESSES: u64 = 2;
const DESCRIPTORS: u64 = 256;
const PORTS: u64 = 64;
/// Time of a change beyond the file's spans, at the least and for each worker.
const CHANGE_LEAST: Duration = Duration::from_millis(300);
const CHANGE_WORKER: Duration = Duration::from_micros(40);
const START_TIME: Duration = Duration::from_secs(2);

/// What `serve` is started with, beside its list.
const SETTINGS: &str = r#"(listen (grpc "127.0.0.1:0"))
(workers (file "workers.sexp") (check-every 200ms))
(class quick (effect safe) (aim 1s) (deadline 20s))
(model "echo" (class quick) (lanes 64))
"#;
/// What the stand-in worker is.
const STANDIN: &str =
    r#"(listen "127.0.0.1:0") (cores 8) (queue 10000) (model "" (lanes 64) (load-time 1ms) (work 1ms))"#;

/// Reads `(list ...)`.
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

    fn figures(&self) -> &'static [&'static Figure] {
        FIGURES
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
        let mut to = Observations::default();
        let mut gateway = Gateway::start(size, context, &mut to)?;
        let calls = Calls::start(gateway.address, MODEL, self.rate).map_err(MeasureError::system("calls"))?;
        let mut stretches = Vec::new();
        // The first call of the model loads it, and connects.
        context.wait(self.settle)?;
        take(&calls)?;
        let rest = self.rest(&gateway, context)?;
        to.add(&REST, rest);
        stretches.push((&REST_LONGEST, take(&calls)?));
        let cost = self.changes(&mut gateway, rest, self.changes, Gateway::change_one, context)?;
        to.add(&CHANGE, cost.processor);
        to.add(&CHANGE_READ, cost.read);
        stretches.push((&CHANGE_LONGEST, take(&calls)?));
        let cost = self.changes(&mut gateway, rest, 1, Gateway::change_all, context)?;
        to.add(&REPLACE, cost.processor);
        stretches.push((&REPLACE_LONGEST, take(&calls)?));
        to.add(&MEMORY_AFTER, gateway.sample()?.resident as f64);
        observe(stretches, &mut to)?;
        Ok(to)
    }
}

/// What a change cost, beyond what passes at rest.
struct ChangeCost {
    /// Microseconds of processor time.
    processor: f64,
    /// Bytes that read calls gave.
    read: f64,
}

impl List {
    /// Cores in use while nothing changes.
    fn rest(&self, gateway: &Gateway, context: &mut Context<'_>) -> Result<f64, MeasureError> {
        context.doing(&format!("{NAME} {}: at rest", gateway.workers.len()));
        let (before, began) = (gateway.sample()?, Instant::now());
        context.wait(self.rest)?;
        let used = gateway.sample()?.processor.saturating_sub(before.processor);
        Ok(used.as_secs_f64() / began.elapsed().as_secs_f64())
    }

    /// Changes the list so many times; the cost of one.
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
            context.doing(&format!("{NAME} {}: change {number} of {count}", gateway.workers.len()));
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

fn take(calls: &Calls) -> Result<Stretch, MeasureError> {
    calls.take().map_err(MeasureError::system("calls"))
}

fn observe(stretches: Vec<(&'static Figure, Stretch)>, to: &mut Observations) -> Result<(), MeasureError> {
    let mut not_served = 0;
    for (longest, stretch) in stretches {
        if stretch.latency.is_empty() {
            let what = format!("no call was served where {} is measured", longest.name);
            return Err(MeasureError::Unexpected(what));
        }
        to.add(longest, stretch.latency.max() as f64);
        not_served += stretch.failed + stretch.skipped;
    }
    to.add(&NOT_SERVED, not_served as f64);
    Ok(())
}

/// A process of `serve`, and its list.
struct Gateway {
    child: ChildId,
    process: Process,
    address: SocketAddr,
    list: PathBuf,
    workers: Vec<Worker>,
    made: u64,
    standin: SocketAddr,
}

impl Gateway {
    /// Starts a stand-in worker and `serve` with a list of `size` workers, and waits until the list is taken.
    fn start(size: u64, context: &mut Context<'_>, to: &mut Observations) -> Result<Self, MeasureError> {
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
        to.add(&LIST_BYTES, text as f64);
        let began = Instant::now();
        let arguments = ["--log", LOG_FILTER, "serve"].map(PathBuf::from).into_iter().chain([settings_file]);
        let (child, address) = listening("serve", arguments, context)?;
        to.add(&START, began.elapsed().as_secs_f64() * 1e6);
        wait_taken(child, 0, context)?;
        let process = context
            .children
            .process(child)
            .ok_or_else(|| MeasureError::Unexpected("serve was stopped".to_owned()))?;
        let gateway = Self { child, process, address, list, workers, made: size, standin };
        to.add(&MEMORY, gateway.sample()?.resident as f64);
        Ok(gateway)
    }

    fn sample(&self) -> Result<Sample, MeasureError> {
        self.process.sample().map_err(MeasureError::system("what serve uses"))
    }

    fn new_worker(&mut self) -> Worker {
        self.made += 1;
        worker(self.made, self.standin)
    }

    /// Replaces one worker, and waits until the list is taken.
    fn change_one(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let at = context.random.random_range(0..self.workers.len());
        self.workers[at] = self.new_worker();
        self.tell(context)
    }

    /// Replaces all workers, and waits until the list is taken.
    fn change_all(&mut self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        for at in 0..self.workers.len() {
            self.workers[at] = self.new_worker();
        }
        self.tell(context)
    }

    fn tell(&self, context: &mut Context<'_>) -> Result<(), MeasureError> {
        let logged = context.children.logged(self.child);
        write_list(&self.list, &self.workers)?;
        wait_taken(self.child, logged, context)
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

/// Puts the list in place at once; its bytes.
fn write_list(file: &Path, list: &[Worker]) -> Result<u64, MeasureError> {
    let text = workers::write(list);
    let beside = file.with_extension("new");
    write(&beside, &text)?;
    fs::rename(&beside, file).map_err(MeasureError::system(file.display().to_string()))?;
    Ok(text.len() as u64)
}

/// Starts a child that says where it listens for calls.
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
        None => Err(context.children.complaint(child, &format!("it said {line:?}"))),
    }
}

/// Waits until the child has logged that a list was taken, in a line after the first `after`.
fn wait_taken(child: ChildId, after: u64, context: &mut Context<'_>) -> Result<(), MeasureError> {
    let taken = context.wait_for(PATIENCE, |context| {
        let lines = context.children.logged_after(child, after);
        Ok(lines.iter().any(|line| line.contains(TAKEN)).then_some(()))
    })?;
    taken.ok_or_else(|| context.children.complaint(child, "it did not take the list in time"))
}
