//! Runs a day: stand-ins in threads, controllers as processes, clients in a thread, troubles by the clock.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nettleferry::{Micros, WorkerState};
use nettleferry_config::{Worker, settings};
use nettleferry_test_servers::receiver::{Mode, Receiver};
use nettleferry_test_servers::{Fault, Handle, Options, Store, spawn};

use crate::alerting;
use crate::evidence::{self, During, Evidence, Figures, Life, Place};
use crate::fleet::{Controller, Lists};
use crate::script::{Kind, Script, Trouble, Watch};
use crate::traffic::{self, Addresses, Tell};

/// Why a day could not be played.
#[derive(Debug, thiserror::Error)]
pub enum DayError {
    /// The settings in it are not sound.
    #[error("the day's (settings ...) with what the day fills in: {0}")]
    Settings(nettleferry_config::Errors),
    /// The receiver's rule file is not sound.
    #[error("the day's rules: {0}")]
    Rules(#[from] nettleferry_alerts::rules::RuleError),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
    /// The clients' thread ended.
    #[error("the clients failed")]
    Clients,
}

fn system(what: &'static str) -> impl FnOnce(io::Error) -> DayError {
    move |source| DayError::System { what, source }
}

/// What came of a day.
pub struct Played {
    /// What was seen.
    pub evidence: Evidence,
    /// Controllers that ended otherwise than told.
    pub odd_ends: Vec<String>,
    /// What the receiver saw, where the day has one.
    pub alerts: Option<alerting::Seen>,
}

/// One thing to do at a time.
#[derive(Clone, Debug)]
enum Act {
    Fault(String, Fault),
    List(String, WorkerState, bool),
    Stale(bool),
    Kill(usize),
    Terminate(usize),
    Start(usize),
    Stall(usize, bool),
    Slowness(f64),
    OneOff(f64, Micros),
    CutZone(String, bool),
}

struct Day<'a> {
    script: &'a Script,
    program: &'a Path,
    epoch: Instant,
    handles: Vec<Handle>,
    places: BTreeMap<String, Place>,
    lists: Lists,
    controllers: Vec<Controller>,
    addresses: Addresses,
    store: Arc<Mutex<Store>>,
    clients: Sender<Tell>,
    lives: Vec<Life>,
    stalls: Vec<(usize, During)>,
    odd_ends: Vec<String>,
    acts: BTreeMap<(Micros, u64), Act>,
    next: u64,
}

/// How long after the traffic's end controllers may take to end.
const END_LIMIT: Duration = Duration::from_secs(20);
/// A listening address of a worker or controller that comes back may be taken for a moment.
const TRIES: u32 = 50;

/// Where a day is played.
pub struct Stage<'a> {
    /// The controllers' program.
    pub program: &'a Path,
    /// Files of the day go there.
    pub dir: &'a Path,
    /// Files that the day names are seen from there.
    pub beside: &'a Path,
    /// What the controllers log.
    pub log: &'a str,
}

/// A receiver with the rules of the day, where it has one.
fn receiver(script: &Script, beside: &Path) -> Result<Option<Receiver>, DayError> {
    let Some(watch) = &script.watch else { return Ok(None) };
    let path = beside.join(&watch.rules);
    let text = std::fs::read_to_string(&path).map_err(system("can't read the day's rule file"))?;
    let rules = nettleferry_alerts::rules::read(&path.display().to_string(), &text)?;
    let mut receiver = Receiver::start(Mode::Take).map_err(system("can't start a receiver"))?;
    receiver.watch(rules, watch.speed).map_err(system("can't start a thread"))?;
    Ok(Some(receiver))
}

/// Plays a day.
pub fn play(script: &Script, stage: &Stage<'_>) -> Result<Played, DayError> {
    let Stage { program, dir, beside, log } = *stage;
    std::fs::create_dir_all(dir).map_err(system("can't make the day's folder"))?;
    let receiver = receiver(script, beside)?;
    let epoch = Instant::now();
    let epoch_ms = i64::try_from(unix() / 1000).unwrap_or(0);
    let mut zones: Vec<String> = Vec::new();
    for zone in &script.controllers.1 {
        if !zones.contains(zone) {
            zones.push(zone.clone());
        }
    }
    let store = Arc::new(Mutex::new(Store::new(script.store.0, script.store.1)));
    let (records, seen) = channel();
    let (mut handles, mut lines, mut places) = (Vec::new(), Vec::new(), BTreeMap::new());
    for n in 0..script.workers.0 {
        let zone = script.workers.1[n % script.workers.1.len()].clone();
        let handle = spawn(Options {
            name: format!("w{}", n + 1),
            doors: vec![SocketAddr::from(([127, 0, 0, 1], 0)); zones.len()],
            spec: script.spec.clone(),
            store: Arc::clone(&store),
            epoch,
            records: Some(records.clone()),
            cold: script.cold,
            seed: script.seed.wrapping_add(n as u64),
        })
        .map_err(system("can't start a stand-in worker"))?;
        let line = Worker {
            name: handle.name.clone(),
            address: handle.doors[0],
            zone: zone.clone(),
            kind: "stand-in".to_owned(),
            weight: 1.0,
            cell: handle.name.clone(),
            state: WorkerState::On,
            born: script.cold.then(unix),
        };
        places.insert(handle.name.clone(), Place { zone, cell: handle.name.clone() });
        lines.push((handle.doors.clone(), line));
        handles.push(handle);
    }
    drop(records);
    let mut lists = Lists::new(dir.to_owned(), zones, lines);
    lists.write(0).map_err(system("can't write the worker list"))?;
    let mut controllers = Vec::new();
    let mut config = None;
    for n in 0..script.controllers.0 {
        let zone = script.controllers.1[n % script.controllers.1.len()].clone();
        let mut text = controller_settings(script, n, &zone);
        if let (Some(watch), Some(receiver)) = (&script.watch, &receiver) {
            text.push_str(&pushing(watch, receiver, n));
        }
        let name = format!("controller-{n}.sexp");
        config = Some(settings::read(&name, &text).map_err(DayError::Settings)?);
        let path = dir.join(name);
        std::fs::write(&path, text).map_err(system("can't write a controller's settings"))?;
        let told = dir.join(format!("controller-{n}.log"));
        controllers.push(Controller::new(n, zone, path, told, log.to_owned()));
    }
    let config = config.ok_or(DayError::Clients)?;
    let figures = Figures {
        drain_grace: config.settings.rules.drain_grace,
        list_check: config.workers_check_interval,
        ration_window: config.settings.loading.ration_window,
        ration_floor: config.settings.loading.ration_floor,
        ration_share: config.settings.loading.ration_share,
    };
    let addresses: Addresses = Arc::new(Mutex::new(vec![None; controllers.len()]));
    let (clients, told) = channel();
    let mut day = Day {
        script,
        program,
        epoch,
        handles,
        places,
        lists,
        controllers,
        addresses: Arc::clone(&addresses),
        store,
        clients,
        lives: Vec::new(),
        stalls: Vec::new(),
        odd_ends: Vec::new(),
        acts: BTreeMap::new(),
        next: 0,
    };
    for n in 0..script.controllers.0 {
        day.start(n)?;
    }
    let begin = day.now();
    let until = begin + script.length;
    let plan = traffic::Plan {
        traffic: script.traffic.clone(),
        config,
        addresses,
        epoch,
        until,
        seed: script.seed,
        told,
    };
    let clients = std::thread::Builder::new().name("clients".to_owned()).spawn(move || traffic::run(plan));
    let clients = clients.map_err(system("can't start a thread"))?;
    for (at, trouble) in &script.troubles {
        day.plan(begin + at, trouble);
    }
    while !clients.is_finished() || !day.acts.is_empty() {
        day.act_due()?;
        std::thread::sleep(Duration::from_millis(2));
    }
    let seen_by_clients =
        clients.join().map_err(|_| DayError::Clients)?.map_err(system("the clients failed"))?;
    day.stop_all();
    let until = day.now();
    let Day { handles, lives, stalls, odd_ends, lists, places, .. } = day;
    for handle in handles {
        handle.stop();
    }
    let workers: Vec<_> = seen.into_iter().collect();
    let cuts = evidence::cuts(&workers, &lists.zones);
    let told = lists.told;
    let clients = seen_by_clients;
    let evidence = Evidence { clients, workers, told, lives, stalls, cuts, figures, places, until };
    let alerts = receiver.map(|receiver| {
        let kept = receiver.kept();
        let watch = kept.watch.as_ref();
        let episodes = watch.map_or(&[][..], |w| w.episodes());
        let mut faults = kept.faults.clone();
        faults.extend(watch.into_iter().flat_map(|w| w.faults.iter().cloned()));
        let alerts = episodes.iter().map(|e| alerting::Fired::new(e, epoch_ms)).collect();
        alerting::Seen { alerts, faults, samples: kept.series.values().map(Vec::len).sum() }
    });
    Ok(Played { evidence, odd_ends, alerts })
}

fn unix() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Settings that push a controller's figures to the day's receiver.
fn pushing(watch: &Watch, receiver: &Receiver, number: usize) -> String {
    format!(
        "(figures (push (to \"{}\") (every {}us) (batch-age 20ms) (spool \"spool-{number}\") (label instance \"c{number}\")))\n",
        receiver.address, watch.every
    )
}

fn controller_settings(script: &Script, number: usize, zone: &str) -> String {
    format!(
        "(listen (grpc \"127.0.0.1:0\"))\n(controller (number {number}) (of {}) (zone \"{zone}\") (seed {}))\n\
         (workers (file \"{}\") (check-every 50ms) (kept \"kept-{number}.sexp\"))\n{}\n",
        script.controllers.0,
        script.seed.wrapping_add(number as u64) % (1 << 32),
        Lists::file(zone),
        script.settings,
    )
}

impl Day<'_> {
    fn now(&self) -> Micros {
        self.epoch.elapsed().as_micros() as Micros
    }

    fn at(&mut self, when: Micros, act: Act) {
        self.next += 1;
        self.acts.insert((when, self.next), act);
    }

    fn workers(&self, named: &[String]) -> Vec<String> {
        if named.is_empty() { self.handles.iter().map(|h| h.name.clone()).collect() } else { named.to_vec() }
    }

    /// Lays a trouble out on the clock: its beginning and its end.
    fn plan(&mut self, at: Micros, trouble: &Trouble) {
        let end = at + trouble.span;
        let lag = self.script.list_lag;
        let workers = self.workers(&trouble.workers);
        let controllers: Vec<usize> = if trouble.controllers.is_empty() {
            (0..self.controllers.len()).collect()
        } else {
            trouble.controllers.clone()
        };
        let both = |day: &mut Self, on: Fault, off: Fault| {
            for worker in &workers {
                day.at(at, Act::Fault(worker.clone(), on.clone()));
                day.at(end, Act::Fault(worker.clone(), off.clone()));
            }
        };
        match &trouble.kind {
            Kind::Crash => {
                for worker in &workers {
                    self.at(at, Act::Fault(worker.clone(), Fault::Die));
                    self.at(at + lag, Act::List(worker.clone(), WorkerState::Gone, false));
                    self.come_back(end, worker);
                }
            }
            Kind::Silence => {
                for worker in &workers {
                    self.at(at, Act::Fault(worker.clone(), Fault::Silent(true)));
                    self.at(end, Act::Fault(worker.clone(), Fault::Die));
                    self.come_back(end + 50_000, worker);
                }
            }
            Kind::FastErrors(share) => both(self, Fault::FailFast(*share), Fault::FailFast(0.0)),
            Kind::Slow(factor) => both(self, Fault::Slow(*factor), Fault::Slow(1.0)),
            Kind::LateReports(late) => both(self, Fault::LateReports(*late), Fault::LateReports(0)),
            Kind::Hang(models) => both(self, Fault::Hang(Some(models.clone())), Fault::Hang(None)),
            Kind::Refuse => both(self, Fault::Refuse(true), Fault::Refuse(false)),
            Kind::SlowHandshakes(delay) => both(self, Fault::SlowHandshake(*delay), Fault::SlowHandshake(0)),
            Kind::GoAway => self.each(at, &workers, &Fault::GoAway),
            Kind::CutAfter(messages) => self.each(at, &workers, &Fault::CutAfter(Some(*messages))),
            Kind::HalfFrame => self.each(at, &workers, &Fault::HalfFrame),
            Kind::Release(models) => self.each(at, &workers, &Fault::Void(models.clone())),
            Kind::Cut(zone) => {
                self.at(at, Act::CutZone(zone.clone(), true));
                self.at(end, Act::CutZone(zone.clone(), false));
            }
            Kind::Roll(each) => {
                for (n, worker) in workers.iter().enumerate() {
                    let from = at + each * n as Micros;
                    self.at(from, Act::List(worker.clone(), WorkerState::Draining, false));
                    self.at(from + each * 6 / 10, Act::Fault(worker.clone(), Fault::Die));
                    self.at(from + each * 6 / 10, Act::List(worker.clone(), WorkerState::Gone, false));
                    self.come_back(from + each * 8 / 10, worker);
                }
            }
            Kind::StaleList => {
                self.at(at, Act::Stale(true));
                self.at(end, Act::Stale(false));
            }
            Kind::Kill => {
                for number in controllers {
                    self.at(at, Act::Kill(number));
                    self.at(end, Act::Start(number));
                }
            }
            Kind::Stop => {
                for number in controllers {
                    self.at(at, Act::Terminate(number));
                    self.at(end, Act::Start(number));
                }
            }
            Kind::Stall => {
                for number in controllers {
                    self.at(at, Act::Stall(number, true));
                    self.at(end, Act::Stall(number, false));
                    self.stalls.push((number, During { from: at, to: end }));
                }
            }
            Kind::SlowStore(factor) => {
                self.at(at, Act::Slowness(*factor));
                self.at(end, Act::Slowness(1.0));
            }
            Kind::OneOff(rate) => self.at(at, Act::OneOff(*rate, end)),
        }
    }

    fn each(&mut self, at: Micros, workers: &[String], fault: &Fault) {
        for worker in workers {
            self.at(at, Act::Fault(worker.clone(), fault.clone()));
        }
    }

    fn come_back(&mut self, at: Micros, worker: &str) {
        self.at(at, Act::Fault(worker.to_owned(), Fault::Rise));
        self.at(at + self.script.list_lag, Act::List(worker.to_owned(), WorkerState::On, true));
    }

    fn act_due(&mut self) -> Result<(), DayError> {
        while let Some((&key, _)) = self.acts.first_key_value() {
            if key.0 > self.now() {
                break;
            }
            if let Some(act) = self.acts.remove(&key) {
                self.act(act)?;
            }
        }
        for number in 0..self.controllers.len() {
            if let Some(code) = self.controllers[number].ended() {
                let now = self.now();
                let told = self.lives.iter_mut().rev().find(|l| l.controller == number && l.to.is_none());
                let ending = told.and_then(|life| {
                    life.to = Some(now);
                    life.ending
                });
                if ending.is_none() || code != Some(0) {
                    let told = if ending.is_some() { "told to end" } else { "not told to end" };
                    self.odd_ends.push(format!("controller {number}, {told}, ended with {code:?}"));
                }
                self.address(number, None);
            }
        }
        Ok(())
    }

    fn act(&mut self, act: Act) -> Result<(), DayError> {
        match act {
            Act::Fault(worker, fault) => {
                if let Some(handle) = self.handles.iter().find(|h| h.name == worker) {
                    handle.tell(fault);
                }
            }
            Act::List(worker, state, anew) => {
                // The list has what the system knows of the start: a moment before the word of it.
                let born = anew.then(|| unix() - self.script.list_lag);
                self.lists.change(&worker, state, born);
                self.write_lists()?;
            }
            Act::Stale(stale) => {
                self.lists.stale = stale;
                self.write_lists()?;
            }
            Act::Kill(number) => {
                self.address(number, None);
                self.controllers[number].kill();
                let now = self.now();
                if let Some(life) = self.lives.iter_mut().rev().find(|l| l.controller == number) {
                    life.to = Some(now);
                }
            }
            Act::Terminate(number) => {
                self.address(number, None);
                let now = self.now();
                if let Some(life) = self.lives.iter_mut().rev().find(|l| l.controller == number) {
                    life.ending = Some(now);
                }
                self.controllers[number].terminate();
            }
            Act::Start(number) if self.controllers[number].runs() => {
                // It was told to end and still answers: it is started once it is gone.
                let again = self.now() + 50_000;
                self.at(again, Act::Start(number));
            }
            Act::Start(number) => self.start(number)?,
            Act::Stall(number, still) => self.controllers[number].stall(still),
            Act::Slowness(factor) => {
                self.store.lock().unwrap_or_else(PoisonError::into_inner).slowness = factor;
            }
            Act::OneOff(rate, until) => {
                // Clients that have ended want nothing more.
                let _ = self.clients.send(Tell::OneOff { rate, until });
            }
            Act::CutZone(zone, cut) => self.cut(&zone, cut),
        }
        Ok(())
    }

    fn write_lists(&mut self) -> Result<(), DayError> {
        let now = self.now();
        self.lists.write(now).map_err(system("can't write the worker list"))
    }

    /// Links between a zone and all others.
    fn cut(&self, zone: &str, cut: bool) {
        for handle in &self.handles {
            let home = self.places.get(&handle.name).map_or("", |p| p.zone.as_str());
            for (door, from) in self.lists.zones.iter().enumerate() {
                if (home == zone) != (from == zone) {
                    handle.tell(Fault::Cut { door, cut });
                }
            }
        }
    }

    fn address(&self, number: usize, address: Option<SocketAddr>) {
        self.addresses.lock().unwrap_or_else(PoisonError::into_inner)[number] = address;
    }

    fn start(&mut self, number: usize) -> Result<(), DayError> {
        let mut tries = 0;
        loop {
            match self.controllers[number].start(self.program) {
                Ok(()) => break,
                Err(_) if tries < TRIES && self.controllers[number].address.is_some() => {
                    tries += 1;
                    std::thread::sleep(Duration::from_millis(100));
                }
                Err(source) => return Err(DayError::System { what: "can't start a controller", source }),
            }
        }
        let zone = self.controllers[number].zone.clone();
        self.lives.push(Life { controller: number, zone, from: self.now(), ending: None, to: None });
        self.address(number, self.controllers[number].address);
        Ok(())
    }

    fn stop_all(&mut self) {
        for number in 0..self.controllers.len() {
            self.address(number, None);
            self.controllers[number].stall(false);
            self.controllers[number].terminate();
        }
        for number in 0..self.controllers.len() {
            if self.controllers[number].runs() {
                let code = self.controllers[number].wait(END_LIMIT);
                if code != Some(0) {
                    self.odd_ends.push(format!("controller {number}, told to end, ended with {code:?}"));
                }
            }
        }
    }
}

/// A folder for a day's files.
pub fn folder() -> PathBuf {
    std::env::temp_dir().join(format!("nettleferry-day-{}", std::process::id()))
}
