//! Executes a plan: starts all parties, applies the disturbances at their times, and collects the findings.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustix::process::Signal;

use crate::audit::{Audit, Interval};
use crate::client::Client;
use crate::controller::{
    Controller, DRAIN_GRACE, EARLIEST_KILL, Fleet, KILL_AFTER, Termination, TerminationOutcome,
};
use crate::directory::{Directory, Entry, List};
use crate::judge::{Finding, Rule, Subject, Verdict, judge};
use crate::plan::{Disturbance, Plan, SignalSeries};
use crate::proxy::{self, CONNECTION_STACK_BYTES, Link};
use crate::report::Report;
use crate::shim::{self, ShimError};
use crate::worker::Worker;

/// A run could not be executed.
#[derive(Debug, thiserror::Error)]
pub enum SoakError {
    /// The operating system reported an error.
    #[error("{0}")]
    System(#[from] io::Error),
    /// The fault library could not be built.
    #[error("{0}")]
    Shim(#[from] ShimError),
}

/// Number of idle connections of a connection flood, more than a controller has descriptors.
const FLOOD_IDLE_CONNECTIONS: usize = 300;
/// Connect timeout of a connection flood.
const FLOOD_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// Pause between the short connections of a connection flood.
const FLOOD_PAUSE: Duration = Duration::from_millis(2);

/// Interval at which the test measures the lag of its own threads.
const LAG_INTERVAL: Duration = Duration::from_millis(10);
/// Text by which a controller's log line reports a broken invariant.
const GUARD_MARKER: &str = "invariant broken";
/// Text by which a controller's log line reports a panic.
const PANIC_MARKER: &str = "panicked at";

/// A run in progress.
struct Run {
    plan: Plan,
    fleet: Fleet,
    audit: Arc<Audit>,
    directory: Arc<Directory>,
    workers: Vec<Worker>,
    links: Vec<Arc<Link>>,
    controllers: Vec<Arc<Controller>>,
    /// Findings that do not come from the judge: failed starts, signals and exits of controllers.
    findings: std::sync::Mutex<Vec<Finding>>,
}

/// Executes a plan with `program` as the controllers' executable. Configurations and logs are written to `dir`.
pub fn execute(plan: Plan, program: &Path, dir: &Path) -> Result<Report, SoakError> {
    let shims = plan.faults.iter().any(|faults| *faults != shim::Faults::default());
    let library = if shims { Some(shim::compile(dir)?) } else { None };
    let run = Arc::new(Run::start(plan, program, library.as_deref(), dir)?);
    let stop = Arc::new(AtomicBool::new(false));
    let lag = watch_lag(&run.audit, &stop)?;
    run.start_controllers()?;
    let clients = run.start_clients(&stop);
    let disturbances = run.start_disturbances();
    std::thread::sleep(run.plan.size.span);
    stop.store(true, Ordering::Release);
    for thread in disturbances.into_iter().chain(clients).chain([lag]) {
        let _ = thread.join();
    }
    run.end_controllers();
    Ok(run.report())
}

/// Starts a thread that measures the lag of the test's own threads until `stop` is set. The lag is the greater of two
/// times: how much longer than requested a sleep takes, and how long a new connection takes to exchange one byte with a
/// thread of its own, as at the proxies.
fn watch_lag(audit: &Arc<Audit>, stop: &Arc<AtomicBool>) -> io::Result<JoinHandle<()>> {
    let (audit, stop) = (Arc::clone(audit), Arc::clone(stop));
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    std::thread::spawn(move || {
        for mut socket in listener.incoming().flatten() {
            let answer = move || {
                let mut byte = [0];
                let _ = socket.read_exact(&mut byte).and_then(|()| socket.write_all(&byte));
            };
            let _ = std::thread::Builder::new().stack_size(CONNECTION_STACK_BYTES).spawn(answer);
        }
    });
    let exchange_byte = move || -> io::Result<()> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        socket.write_all(b"x")?;
        socket.read_exact(&mut [0])
    };
    Ok(std::thread::spawn(move || {
        while !stop.load(Ordering::Acquire) {
            let began = Instant::now();
            std::thread::sleep(LAG_INTERVAL);
            let oversleep = began.elapsed().saturating_sub(LAG_INTERVAL);
            let began = Instant::now();
            let answered = exchange_byte().is_ok();
            let lag = if answered { oversleep.max(began.elapsed()) } else { oversleep };
            if lag > LAG_INTERVAL {
                audit.lag_measured(lag);
            }
        }
    }))
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

impl Run {
    fn start(plan: Plan, program: &Path, library: Option<&Path>, dir: &Path) -> io::Result<Self> {
        let audit = Arc::new(Audit::default());
        let (mut workers, mut links, mut entries) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..plan.size.workers {
            let worker = Worker::start(number, plan.seed ^ (number as u64) << 32, Arc::clone(&audit))?;
            let link = Arc::new(Link::default());
            let address = proxy::start(number, worker.address, Arc::clone(&link), Arc::clone(&audit))?;
            entries.push(Entry { address, in_service: true, listed: true, started_ms: 0 });
            workers.push(worker);
            links.push(link);
        }
        let directory = Arc::new(Directory::new(List { serial: 1, entries }));
        let controllers = plan.faults.iter().enumerate().map(|(number, faults)| {
            let shim = library.filter(|_| *faults != shim::Faults::default()).map(Path::to_owned);
            Controller::new(number, program, shim, *faults, dir).map(Arc::new)
        });
        let controllers = controllers.collect::<io::Result<Vec<_>>>()?;
        let fleet = Fleet { controllers: plan.size.controllers };
        let findings = std::sync::Mutex::default();
        Ok(Self { plan, fleet, audit, directory, workers, links, controllers, findings })
    }

    fn record_finding(&self, rule: Rule, description: String) {
        let mut findings = self.findings.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        findings.push(Finding { rule, subject: Subject::Run, occurrence: None, description });
    }

    fn start_controller(&self, controller: &Controller) {
        match controller.start(self.fleet, &self.directory, &self.audit) {
            Ok(true) => {}
            Ok(false) => {
                let log = controller.logs().pop().unwrap_or_default();
                let last_line = log.lines().last().unwrap_or("no log output");
                self.record_finding(
                    Rule::Process,
                    format!(
                        "controller {} ({:?}) did not become ready: {last_line}",
                        controller.number, controller.faults
                    ),
                );
            }
            Err(error) => {
                let description = format!("starting controller {} failed: {error}", controller.number);
                self.record_finding(Rule::Process, description);
            }
        }
    }

    fn start_controllers(self: &Arc<Self>) -> io::Result<()> {
        let starts = self.controllers.iter().map(|controller| {
            let (run, controller) = (Arc::clone(self), Arc::clone(controller));
            std::thread::spawn(move || run.start_controller(&controller))
        });
        for start in starts.collect::<Vec<_>>() {
            let _ = start.join();
        }
        Ok(())
    }

    fn start_clients(&self, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<()>> {
        let ids = Arc::new(AtomicU64::new(self.plan.seed << 40 | 1));
        let client_numbers =
            self.controllers.iter().flat_map(|c| (0..self.plan.size.clients).map(move |n| (c, n)));
        let clients = client_numbers.map(|(controller, number)| {
            let seed = self.plan.seed ^ ((controller.number * 64 + number) as u64) << 20;
            let (audit, ids, stop) = (Arc::clone(&self.audit), Arc::clone(&ids), Arc::clone(stop));
            let extras = self.plan.extras;
            let client = Client::new(Arc::clone(controller), audit, seed, ids, stop, extras);
            std::thread::spawn(move || client.run())
        });
        clients.collect()
    }

    fn start_disturbances(self: &Arc<Self>) -> Vec<JoinHandle<()>> {
        let began = Instant::now();
        let disturbances = self.plan.disturbances.iter().map(|(at, disturbance)| {
            let (run, at, disturbance) = (Arc::clone(self), *at, *disturbance);
            std::thread::spawn(move || {
                std::thread::sleep(at.saturating_sub(began.elapsed()));
                run.apply(disturbance);
            })
        });
        disturbances.collect()
    }

    fn apply(&self, disturbance: Disturbance) {
        match disturbance {
            Disturbance::Restart(number) => self.restart(&self.controllers[number], false),
            Disturbance::ReloadsThenRestart(number) => self.restart(&self.controllers[number], true),
            Disturbance::Kill(number) => {
                let controller = &self.controllers[number];
                if controller.kill(&self.audit) {
                    self.start_controller(controller);
                }
            }
            Disturbance::Reload(number, half) => self.reload(&self.controllers[number], half),
            Disturbance::Freeze(number, span) => {
                self.controllers[number].freeze(span, &self.audit);
            }
            Disturbance::RollingReplace(number) => self.replace_worker(number),
            Disturbance::Crash(number) => self.crash(number),
            Disturbance::Hang(number, span) => {
                set_for(&self.workers[number].disturbances.hangs, span);
            }
            Disturbance::Blackhole(number, span) => {
                set_for(&self.links[number].unresponsive, span);
                // Connections that lost bytes are useless, as the bytes are not sent again.
                self.links[number].close_all(true);
            }
            Disturbance::Reset(number, reset) => self.links[number].close_all(reset),
            Disturbance::Fail(number, span) => set_for(&self.workers[number].disturbances.fails, span),
            Disturbance::Slow(number, span) => {
                self.links[number].delay.store(40, Ordering::Release);
                set_for(&self.links[number].pieces, span);
                self.links[number].delay.store(0, Ordering::Release);
            }
            Disturbance::DirectoryUnresponsive(span) => set_for(&self.directory.unresponsive, span),
            Disturbance::DirectorySlow(span) => {
                self.directory.delay.store(span.as_millis() as u64, Ordering::Release);
                std::thread::sleep(span * 4);
                self.directory.delay.store(0, Ordering::Release);
            }
            Disturbance::Signals(number, series, gap) => self.signals(&self.controllers[number], series, gap),
            Disturbance::ConnectionFlood(number, span) => {
                self.directory.unresponsive.store(true, Ordering::Release);
                flood_connections(self.controllers[number].address, span);
                self.directory.unresponsive.store(false, Ordering::Release);
            }
        }
    }

    /// Returns the span between SIGTERM and SIGKILL for a process that does not exit.
    fn kill_after(&self) -> Duration {
        if self.plan.extras.shutdowns { EARLIEST_KILL } else { KILL_AFTER }
    }

    fn signals(&self, controller: &Controller, series: SignalSeries, gap: Duration) {
        let kill_after = self.kill_after();
        let termination = Termination::series(series, gap, kill_after / 4, kill_after);
        if !self.terminate(controller, &termination) {
            return;
        }
        if series == SignalSeries::EndBeforeReady {
            self.end_before_ready(controller, gap);
        }
        self.start_controller(controller);
    }

    /// Starts a process and sends SIGTERM before it is ready. The process may have no signal handler yet, so
    /// termination by the signal is as valid as a successful exit.
    fn end_before_ready(&self, controller: &Controller, after: Duration) {
        let (fleet, kill_after) = (self.fleet, self.kill_after());
        let exit = controller.end_before_ready(fleet, &self.directory, &self.audit, after, kill_after);
        let description = match exit {
            Ok(Some(status)) if status.success() || status.signal() == Some(Signal::TERM.as_raw()) => return,
            Ok(Some(status)) => format!("exited ({status})"),
            Ok(None) => format!("still ran {kill_after:?} later"),
            Err(error) => error.to_string(),
        };
        self.record_finding(
            Rule::Process,
            format!("controller {}, SIGTERM {after:?} after its start: {description}", controller.number),
        );
    }

    /// Terminates a controller and records a finding if it exits unsuccessfully. Returns false if it was not in
    /// service, as during another disturbance.
    fn terminate(&self, controller: &Controller, termination: &Termination) -> bool {
        match controller.terminate(termination, &self.audit) {
            Ok(TerminationOutcome::NotServing) => return false,
            Ok(TerminationOutcome::Exited(status)) if status.success() => {}
            Ok(TerminationOutcome::Exited(status)) => {
                let description = format!("controller {} exited ({status})", controller.number);
                self.record_finding(Rule::Process, description);
            }
            // The platform kills such a process too, so the kill is not a finding. Requests that the process left open
            // count as lost, unless they were sent just before the kill.
            Ok(TerminationOutcome::Killed) => {}
            Err(error) => {
                let description = format!("terminating controller {} failed: {error}", controller.number);
                self.record_finding(Rule::Process, description);
            }
        }
        true
    }

    fn restart(&self, controller: &Controller, reloads: bool) {
        if controller.phase() != crate::controller::Phase::Serving {
            return;
        }
        if reloads {
            for half in [false, true, false] {
                self.reload(controller, half);
            }
        }
        if self.terminate(controller, &Termination::plain(self.kill_after())) {
            self.start_controller(controller);
        }
    }

    fn reload(&self, controller: &Controller, half: bool) {
        if controller.phase() != crate::controller::Phase::Serving {
            return;
        }
        if let Err(error) = controller.reload(self.fleet, &self.directory, &self.audit, half) {
            let description = format!("reloading controller {} failed: {error}", controller.number);
            self.record_finding(Rule::Process, description);
        }
    }

    fn replace_worker(&self, number: usize) {
        self.directory.change(number, &self.audit, |entry| entry.in_service = false);
        std::thread::sleep(DRAIN_GRACE + Duration::from_millis(800));
        self.links[number].closed.store(true, Ordering::Release);
        let before = self.audit.now();
        self.workers[number].restart();
        self.links[number].close_all(true);
        self.links[number].closed.store(false, Ordering::Release);
        let started = Interval { earliest: before, latest: self.audit.now() };
        let serial = self.directory.change(number, &self.audit, |entry| {
            (entry.in_service, entry.started_ms) = (true, unix_ms());
        });
        self.audit.worker_started(number, started, serial);
    }

    fn crash(&self, number: usize) {
        self.links[number].closed.store(true, Ordering::Release);
        self.workers[number].restart();
        self.links[number].close_all(true);
        std::thread::sleep(Duration::from_millis(300));
        self.links[number].closed.store(false, Ordering::Release);
        self.directory.change(number, &self.audit, |entry| entry.started_ms = unix_ms());
    }

    fn end_controllers(self: &Arc<Self>) {
        let ends = self.controllers.iter().map(|controller| {
            let (run, controller) = (Arc::clone(self), Arc::clone(controller));
            std::thread::spawn(move || {
                if controller.phase() != crate::controller::Phase::Serving {
                    return;
                }
                match controller.terminate(&Termination::plain(KILL_AFTER), &run.audit) {
                    Ok(TerminationOutcome::NotServing) => {}
                    Ok(TerminationOutcome::Exited(status)) if status.success() => {}
                    Ok(TerminationOutcome::Exited(status)) => {
                        let description = format!("controller {} exited ({status})", controller.number);
                        run.record_finding(Rule::Process, description);
                    }
                    Ok(TerminationOutcome::Killed) => {
                        let number = controller.number;
                        let description = format!(
                            "controller {number} still ran {KILL_AFTER:?} after SIGTERM and was killed"
                        );
                        run.record_finding(Rule::Process, description);
                    }
                    Err(error) => {
                        let description =
                            format!("terminating controller {} failed: {error}", controller.number);
                        run.record_finding(Rule::Process, description);
                    }
                }
            })
        });
        for end in ends.collect::<Vec<_>>() {
            let _ = end.join();
        }
    }

    fn report(&self) -> Report {
        let record = self.audit.record();
        let Verdict { broken: mut findings, undecided } = judge(&record);
        findings.append(&mut self.findings.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
        for controller in &self.controllers {
            for line in controller.logs().iter().flat_map(|log| log.lines()) {
                let rule = match line {
                    line if line.contains(GUARD_MARKER) => Rule::Guard,
                    line if line.contains(PANIC_MARKER) => Rule::Process,
                    _ => continue,
                };
                let subject = Subject::Controller(controller.number);
                let description = format!("controller {}: {line}", controller.number);
                findings.push(Finding { rule, subject, occurrence: None, description });
            }
        }
        Report::new(self.plan.seed, self.plan.disturbances.len(), record, findings, undecided)
    }
}

/// For a span, uses up a controller's descriptors with idle connections, and opens and closes further connections.
fn flood_connections(address: SocketAddr, span: Duration) {
    let end = Instant::now() + span;
    let connect = || TcpStream::connect_timeout(&address, FLOOD_CONNECT_TIMEOUT).ok();
    let idle: Vec<TcpStream> =
        (0..FLOOD_IDLE_CONNECTIONS).take_while(|_| Instant::now() < end).filter_map(|_| connect()).collect();
    while Instant::now() < end {
        drop(connect());
        std::thread::sleep(FLOOD_PAUSE);
    }
    drop(idle);
}

fn set_for(flag: &AtomicBool, span: Duration) {
    flag.store(true, Ordering::Release);
    std::thread::sleep(span);
    flag.store(false, Ordering::Release);
}
