//! Prepares a run: starts the test workers and the remote-write receiver, and writes the controllers' settings.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::Sender;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use nettleferry::{Micros, WorkerState};
use nettleferry_config::{Config, Worker, settings};
use nettleferry_test_servers::receiver::{Mode, Receiver};
use nettleferry_test_servers::{Handle, Observation, Options, Store, spawn};

use crate::environment::Environment;
use crate::error::{ScenarioError, system};
use crate::evidence::Location;
use crate::fleet::{Controller, WorkerEntry, WorkerLists};
use crate::script::{Script, Watch};

/// The started test workers, with their list entries and locations.
pub(crate) struct Workers {
    pub(crate) handles: Vec<Handle>,
    pub(crate) entries: Vec<WorkerEntry>,
    pub(crate) locations: BTreeMap<String, Location>,
}

/// The resources that all workers of a run share.
pub(crate) struct WorkerContext {
    /// Zones of controllers. Each worker has one address for each.
    pub(crate) zones: Vec<String>,
    pub(crate) store: Arc<Mutex<Store>>,
    pub(crate) epoch: Instant,
    pub(crate) records: Sender<Observation>,
}

/// The controllers, not started yet, and the settings of the last one.
pub(crate) struct Controllers {
    pub(crate) controllers: Vec<Controller>,
    pub(crate) config: Config,
}

/// Returns the wall-clock time in microseconds since the Unix epoch.
pub(crate) fn unix_time() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Returns the zones without repetitions, in the order of their first occurrence.
pub(crate) fn distinct(zones: &[String]) -> Vec<String> {
    let mut distinct: Vec<String> = Vec::new();
    for zone in zones {
        if !distinct.contains(zone) {
            distinct.push(zone.clone());
        }
    }
    distinct
}

/// Starts a remote-write receiver with the alert rules of the scenario, if it has one.
pub(crate) fn start_receiver(script: &Script, folder: &Path) -> Result<Option<Receiver>, ScenarioError> {
    let Some(watch) = &script.watch else { return Ok(None) };
    let path = folder.join(&watch.rule_file);
    let text =
        std::fs::read_to_string(&path).map_err(system("can't read the alert rule file of the scenario"))?;
    let rules = nettleferry_alerts::rules::read(&path.display().to_string(), &text)?;
    let mut receiver =
        Receiver::start(Mode::Accept).map_err(system("can't start the remote-write receiver"))?;
    receiver
        .watch(rules, watch.speed)
        .map_err(system("can't start the thread that evaluates alert rules"))?;
    Ok(Some(receiver))
}

/// Starts the workers. Each sends records of what happens at its sockets until its thread ends.
pub(crate) fn start_workers(script: &Script, context: WorkerContext) -> Result<Workers, ScenarioError> {
    let mut workers = Workers { handles: Vec::new(), entries: Vec::new(), locations: BTreeMap::new() };
    for index in 0..script.workers.count {
        let zone = script.workers.zone(index).to_owned();
        let handle = spawn(Options {
            name: format!("w{}", index + 1),
            addresses: vec![SocketAddr::from(([127, 0, 0, 1], 0)); context.zones.len()],
            spec: script.spec.clone(),
            store: Arc::clone(&context.store),
            epoch: context.epoch,
            observations: Some(context.records.clone()),
            cold: script.start_cold,
            seed: script.seed.wrapping_add(index as u64),
        })
        .map_err(system("can't start a test worker"))?;
        let worker = Worker {
            name: handle.name.clone(),
            address: handle.addresses[0],
            zone: zone.clone(),
            kind: "stand-in".to_owned(),
            weight: 1.0,
            cell: handle.name.clone(),
            state: WorkerState::On,
            started_at: script.start_cold.then(unix_time),
        };
        workers.locations.insert(handle.name.clone(), Location { zone, cell: handle.name.clone() });
        workers.entries.push(WorkerEntry { addresses: handle.addresses.clone(), worker });
        workers.handles.push(handle);
    }
    Ok(workers)
}

/// Writes the controllers' settings files. The controllers are not started.
pub(crate) fn prepare_controllers(
    script: &Script,
    environment: &Environment,
    receiver: Option<&Receiver>,
) -> Result<Controllers, ScenarioError> {
    let mut controllers = Vec::new();
    let mut config = None;
    for number in 0..script.controllers.count {
        let zone = script.controllers.zone(number).to_owned();
        let mut text = controller_settings(script, number, &zone);
        if let (Some(watch), Some(receiver)) = (&script.watch, receiver) {
            text.push_str(&push_settings(watch, receiver, number));
        }
        let name = format!("controller-{number}.sexp");
        config = Some(settings::read(&name, &text).map_err(ScenarioError::Settings)?);
        let path = environment.dir.join(name);
        std::fs::write(&path, text).map_err(system("can't write a controller's settings"))?;
        let log = environment.dir.join(format!("controller-{number}.log"));
        controllers.push(Controller::new(number, zone, path, log, environment.log_filter.to_owned()));
    }
    Ok(Controllers { controllers, config: config.ok_or(ScenarioError::NoControllers)? })
}

/// Returns the settings by which a controller pushes its metrics to the receiver.
fn push_settings(watch: &Watch, receiver: &Receiver, number: usize) -> String {
    format!(
        "(figures (push (to \"{}\") (every {}us) (batch-age 20ms) (spool \"spool-{number}\") (label instance \"c{number}\")))\n",
        receiver.address, watch.push_interval
    )
}

/// Returns the settings of a controller: the parts that the run adds, followed by those of the scenario.
fn controller_settings(script: &Script, number: usize, zone: &str) -> String {
    format!(
        "(listen (grpc \"127.0.0.1:0\"))\n(controller (number {number}) (of {}) (zone \"{zone}\") (seed {}))\n\
         (workers (file \"{}\") (check-every 50ms) (kept \"kept-{number}.sexp\"))\n{}\n",
        script.controllers.count,
        script.seed.wrapping_add(number as u64) % (1 << 32),
        WorkerLists::file_name(zone),
        script.settings,
    )
}
