//! Runs a scenario with test workers and clients in threads of this process and each controller as a process of its
//! own. The thread that calls [`run`] injects the scripted faults at their times.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use nettleferry::Micros;
use nettleferry_config::Config;
use nettleferry_test_servers::receiver::Receiver;
use nettleferry_test_servers::{Fault, Handle, Observation, Store};

use crate::alerting;
use crate::error::system;
use crate::evidence::{
    self, ClientRecord, ControllerRun, Evidence, Interval, Location, RuleParameters, Stall,
};
use crate::fleet::{Controller, WorkerLists};
use crate::script::{FaultKind, Script, ScriptedFault};
use crate::setup::{self, WorkerContext, unix_time};
use crate::timeline::{Action, Timeline};
use crate::traffic::{self, Addresses, ClientCommand};

pub use crate::environment::Environment;
pub use crate::error::ScenarioError;

/// Time within which a controller must exit after SIGTERM at the end of the run.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of retries of a failed restart of a controller. Its listening address may still be in use right after
/// the previous process has ended.
const MAX_START_RETRIES: u32 = 50;
/// Delay before a retry of a failed restart.
const START_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Interval at which due actions and ended processes are checked.
const TICK: Duration = Duration::from_millis(2);
/// Delay before a scripted start is tried again while the previous process of the controller is still running.
const RUNNING_RETRY_DELAY: Micros = 50_000;

/// The results of a run.
pub struct RunOutcome {
    /// Observations and actions of the run.
    pub evidence: Evidence,
    /// Descriptions of processes that ended without SIGTERM, or not with exit code 0.
    pub unexpected_exits: Vec<String>,
    /// Alerts and errors that the remote-write receiver recorded; `None` if the scenario has none.
    pub alerts: Option<alerting::ReceiverReport>,
}

/// A run in progress.
struct Run<'a> {
    script: &'a Script,
    program: &'a Path,
    epoch: Instant,
    handles: Vec<Handle>,
    locations: BTreeMap<String, Location>,
    lists: WorkerLists,
    controllers: Vec<Controller>,
    addresses: Addresses,
    store: Arc<Mutex<Store>>,
    clients: Sender<ClientCommand>,
    controller_runs: Vec<ControllerRun>,
    stalls: Vec<Stall>,
    unexpected_exits: Vec<String>,
    timeline: Timeline,
}

/// Returns a path in the system's temporary folder for the files of a run, which contains the id of this process. The
/// folder is not created.
pub fn default_dir() -> PathBuf {
    std::env::temp_dir().join(format!("nettleferry-day-{}", std::process::id()))
}

/// Runs a scenario and returns the evidence for the audit.
///
/// # Errors
/// The settings or alert rules of the scenario are invalid, a system call fails, a controller can't be started, or the
/// thread of the clients panics.
pub fn run(script: &Script, environment: &Environment<'_>) -> Result<RunOutcome, ScenarioError> {
    std::fs::create_dir_all(environment.dir).map_err(system("can't create the folder of the run"))?;
    let receiver = setup::start_receiver(script, environment.script_folder)?;
    let epoch = Instant::now();
    let epoch_ms = i64::try_from(unix_time() / 1000).unwrap_or(0);
    let zones = setup::distinct(&script.controllers.zones);
    let store = Arc::new(Mutex::new(Store::new(script.store.full_speed_fetches, script.store.max_fetches)));
    let (records, observations) = channel();
    let context = WorkerContext { zones: zones.clone(), store: Arc::clone(&store), epoch, records };
    let workers = setup::start_workers(script, context)?;
    let mut lists = WorkerLists::new(environment.dir.to_owned(), zones, workers.entries);
    lists.write(|| 0).map_err(system("can't write the worker list"))?;
    let prepared = setup::prepare_controllers(script, environment, receiver.as_ref())?;
    let parameters = rule_parameters(&prepared.config);
    let (clients, commands) = channel();
    let mut run = Run {
        script,
        program: environment.program,
        epoch,
        handles: workers.handles,
        locations: workers.locations,
        lists,
        addresses: Arc::new(Mutex::new(vec![None; prepared.controllers.len()])),
        controllers: prepared.controllers,
        store,
        clients,
        controller_runs: Vec::new(),
        stalls: Vec::new(),
        unexpected_exits: Vec::new(),
        timeline: Timeline::new(script.list_lag),
    };
    let client_records = run.run_clients(prepared.config, commands)?;
    run.stop_controllers();
    let observations = observations.into_iter();
    let (evidence, unexpected_exits) = run.finish(client_records, observations, parameters);
    let alerts = receiver.map(|receiver| receiver_report(&receiver, epoch_ms));
    Ok(RunOutcome { evidence, unexpected_exits, alerts })
}

fn rule_parameters(config: &Config) -> RuleParameters {
    RuleParameters {
        drain_grace: config.settings.rules.drain_grace,
        list_check: config.workers_check_interval,
        ration_window: config.settings.loading.ration_window,
        ration_floor: config.settings.loading.ration_floor,
        ration_share: config.settings.loading.ration_share,
    }
}

fn receiver_report(receiver: &Receiver, epoch_ms: i64) -> alerting::ReceiverReport {
    let data = receiver.data();
    let watch = data.watch.as_ref();
    let episodes = watch.map_or(&[][..], |watch| watch.episodes());
    let mut faults = data.faults.clone();
    faults.extend(watch.into_iter().flat_map(|watch| watch.errors.iter().cloned()));
    let alerts = episodes.iter().map(|episode| alerting::FiredAlert::new(episode, epoch_ms)).collect();
    alerting::ReceiverReport { alerts, faults, samples: data.series.values().map(Vec::len).sum() }
}

impl Run<'_> {
    fn now(&self) -> Micros {
        self.epoch.elapsed().as_micros() as Micros
    }

    /// Starts the controllers and the clients, and performs scripted actions until the clients have ended and no action
    /// is left. Returns the clients' records.
    fn run_clients(
        &mut self,
        config: Config,
        commands: std::sync::mpsc::Receiver<ClientCommand>,
    ) -> Result<Vec<ClientRecord>, ScenarioError> {
        for number in 0..self.controllers.len() {
            self.start(number)?;
        }
        let begin = self.now();
        let plan = traffic::Plan {
            traffic: self.script.traffic.clone(),
            config,
            addresses: Arc::clone(&self.addresses),
            epoch: self.epoch,
            until: begin + self.script.length,
            seed: self.script.seed,
            commands,
        };
        let thread = std::thread::Builder::new().name("clients".to_owned());
        let clients = thread
            .spawn(move || traffic::run(plan))
            .map_err(system("can't start the thread of the clients"))?;
        for fault in &self.script.faults {
            self.add_fault(begin, fault);
        }
        while !clients.is_finished() || !self.timeline.is_empty() {
            self.perform_due()?;
            std::thread::sleep(TICK);
        }
        clients
            .join()
            .map_err(|_| ScenarioError::ClientsPanicked)?
            .map_err(system("the clients failed with an I/O error"))
    }

    fn add_fault(&mut self, begin: Micros, fault: &ScriptedFault) {
        let workers: Vec<String> = if fault.workers.is_empty() {
            self.handles.iter().map(|handle| handle.name.clone()).collect()
        } else {
            fault.workers.clone()
        };
        let controllers: Vec<usize> = if fault.controllers.is_empty() {
            (0..self.controllers.len()).collect()
        } else {
            fault.controllers.clone()
        };
        if fault.kind == FaultKind::Stall {
            let from = begin + fault.at;
            let interval = Interval { from, to: from + fault.span };
            self.stalls.extend(controllers.iter().map(|&controller| Stall { controller, interval }));
        }
        self.timeline.add_fault(begin, fault, &workers, &controllers);
    }

    /// Performs the actions that are due, and records processes that have ended.
    fn perform_due(&mut self) -> Result<(), ScenarioError> {
        while let Some(action) = self.timeline.take_due(self.now()) {
            self.perform(action)?;
        }
        for number in 0..self.controllers.len() {
            if let Some(code) = self.controllers[number].try_wait() {
                self.record_end(number, code);
                self.set_address(number, None);
            }
        }
        Ok(())
    }

    /// Records the end of a process that was not killed by the run. The exit is expected only after SIGTERM and with
    /// code 0.
    fn record_end(&mut self, number: usize, code: Option<i32>) {
        let now = self.now();
        let runs = self.controller_runs.iter_mut().rev();
        let run = runs.into_iter().find(|run| run.controller == number && run.to.is_none());
        let ending = run.and_then(|run| {
            run.to = Some(now);
            run.ending
        });
        if ending.is_none() || code != Some(0) {
            let signal = if ending.is_some() { "after SIGTERM" } else { "without SIGTERM" };
            self.unexpected_exits.push(format!("controller {number} exited {signal} with code {code:?}"));
        }
    }

    fn perform(&mut self, action: Action) -> Result<(), ScenarioError> {
        match action {
            Action::Fault { worker, fault } => {
                if let Some(handle) = self.handles.iter().find(|handle| handle.name == worker) {
                    handle.inject(fault);
                }
            }
            Action::List { worker, state, restarted } => {
                // The list states when the worker started, which is `list_lag` before the list changes.
                let started_at = restarted.then(|| unix_time() - self.script.list_lag);
                self.lists.change(&worker, state, started_at);
                self.write_lists()?;
            }
            Action::StaleList(stale) => {
                self.lists.stale = stale;
                self.write_lists()?;
            }
            Action::Kill(number) => {
                self.set_address(number, None);
                self.controllers[number].kill();
                let now = self.now();
                if let Some(run) = self.last_run(number) {
                    run.to = Some(now);
                }
            }
            Action::Terminate(number) => {
                self.set_address(number, None);
                let now = self.now();
                if let Some(run) = self.last_run(number) {
                    run.ending = Some(now);
                }
                self.controllers[number].terminate();
            }
            Action::Start(number) if self.controllers[number].is_running() => {
                // The previous process got SIGTERM and still answers calls. The start is tried again until it ends.
                let retry_at = self.now() + RUNNING_RETRY_DELAY;
                self.timeline.add(retry_at, Action::Start(number));
            }
            Action::Start(number) => self.start(number)?,
            Action::Stall { controller, stalled } => self.controllers[controller].stall(stalled),
            Action::StoreSlowness(factor) => {
                self.store.lock().unwrap_or_else(PoisonError::into_inner).slowness = factor;
            }
            Action::OneOff { rate, until } => {
                // Sending fails only after the clients have ended, when they need no command.
                let _ = self.clients.send(ClientCommand::OneOff { rate, until });
            }
            Action::CutZone { zone, cut } => self.set_zone_cut(&zone, cut),
        }
        Ok(())
    }

    /// The latest incarnation of a controller.
    fn last_run(&mut self, number: usize) -> Option<&mut ControllerRun> {
        self.controller_runs.iter_mut().rev().find(|run| run.controller == number)
    }

    fn write_lists(&mut self) -> Result<(), ScenarioError> {
        let epoch = self.epoch;
        let now = || epoch.elapsed().as_micros() as Micros;
        self.lists.write(now).map_err(system("can't write the worker list"))
    }

    /// Cuts (`cut`) or restores the links between a zone and all other zones.
    fn set_zone_cut(&self, zone: &str, cut: bool) {
        for handle in &self.handles {
            let worker_zone = self.locations.get(&handle.name).map_or("", |location| location.zone.as_str());
            for (address_index, controller_zone) in self.lists.zones.iter().enumerate() {
                if (worker_zone == zone) != (controller_zone == zone) {
                    handle.inject(Fault::Cut { address_index, cut });
                }
            }
        }
    }

    /// Sets the address at which clients reach a controller. With `None`, they send it no calls.
    fn set_address(&self, number: usize, address: Option<SocketAddr>) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)[number] = address;
    }

    /// Starts a controller, with retries if it was started before, and makes its address known to the clients.
    fn start(&mut self, number: usize) -> Result<(), ScenarioError> {
        let mut retries = 0;
        loop {
            match self.controllers[number].start(self.program) {
                Ok(()) => break,
                Err(_) if retries < MAX_START_RETRIES && self.controllers[number].address.is_some() => {
                    retries += 1;
                    std::thread::sleep(START_RETRY_DELAY);
                }
                Err(source) => {
                    return Err(ScenarioError::System { operation: "can't start a controller", source });
                }
            }
        }
        let zone = self.controllers[number].zone.clone();
        let from = self.now();
        self.controller_runs.push(ControllerRun { controller: number, zone, from, ending: None, to: None });
        self.set_address(number, self.controllers[number].address);
        Ok(())
    }

    /// Sends SIGTERM to all running controllers and waits for their end.
    fn stop_controllers(&mut self) {
        for number in 0..self.controllers.len() {
            self.set_address(number, None);
            self.controllers[number].stall(false);
            self.controllers[number].terminate();
        }
        for number in 0..self.controllers.len() {
            if self.controllers[number].is_running() {
                let code = self.controllers[number].wait(SHUTDOWN_TIMEOUT);
                if code != Some(0) {
                    self.unexpected_exits
                        .push(format!("controller {number} exited after SIGTERM with code {code:?}"));
                }
            }
        }
    }

    /// Stops the workers and returns the evidence and the unexpected exits of controllers.
    fn finish(
        self,
        clients: Vec<ClientRecord>,
        observations: impl Iterator<Item = Observation>,
        parameters: RuleParameters,
    ) -> (Evidence, Vec<String>) {
        let until = self.now();
        for handle in self.handles {
            handle.stop();
        }
        // The channel closes when the last worker thread has ended.
        let workers: Vec<Observation> = observations.collect();
        let evidence = Evidence {
            cuts: evidence::cuts(&workers, &self.lists.zones),
            clients,
            workers,
            list_changes: self.lists.changes,
            controller_runs: self.controller_runs,
            stalls: self.stalls,
            parameters,
            locations: self.locations,
            until,
        };
        (evidence, self.unexpected_exits)
    }
}
