//! The loop: sockets, signals and timers in; the engine; answers, attempts and orders out.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::Interest;
use nettleferry::{ListForm, Reports, WorkerState};
use nettleferry_engine::{Command, Engine, EngineLimits, Event, Member, Open};
use nettleferry_net::clock::Clock;
use nettleferry_net::tcp::{Gone, Tcp, TcpEvent, TcpLimits};
use nettleferry_platform::config::{Config, ConfigError};
use nettleferry_platform::directory::{List, ListError, State};
use nettleferry_platform::frames::MOST_PAYLOAD;
use nettleferry_platform::resp::{MOST_BODY, MOST_WORD};
use nettleferry_settings::SettingsFault;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use tracing::{info, warn};

use crate::directory::Asker;
use crate::front::{Front, Heard};
use crate::limits::{Bounds, Counters, LAST_REQUESTS};
use crate::links::{Attempt, Links};

/// Why a node could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum NodeError {
    /// The configuration can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// It is not sound.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// Its settings are not.
    #[error("the settings: {0}")]
    Settings(#[from] SettingsFault),
    /// The module can't work with them.
    #[error("the settings: {0}")]
    Module(#[from] nettleferry::SettingsError),
    /// Its list is not sound.
    #[error("the list: {0}")]
    List(#[from] ListError),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: &'static str,
        /// Why.
        source: io::Error,
    },
}

impl NodeError {
    fn system(what: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |source| Self::System { what, source }
    }
}

const SIGNALS: usize = 0;
const DIRECTORY: usize = 1;
/// A configuration that could not be read is read again after this span: it may have been half written.
const RELOAD_AGAIN: Duration = Duration::from_millis(200);
/// How often counters are logged.
const FIGURES_EVERY: Duration = Duration::from_secs(5);

/// A controller on the platform.
pub struct Node {
    path: PathBuf,
    clock: Clock,
    tcp: Tcp,
    engine: Engine,
    front: Front,
    links: Links,
    asker: Asker,
    signals: Option<Signals>,
    classes: Vec<String>,
    local: SocketAddr,
    count: Counters,
    /// Since SIGTERM, and when the last request came.
    leaving: Option<Instant>,
    last_request: Instant,
    /// When the configuration is to be read again.
    reload_at: Option<Instant>,
    next_figures: Instant,
    happened: Vec<TcpEvent>,
    heard: Vec<Heard>,
    told: Vec<Event>,
    commands: Vec<Command>,
}

impl Node {
    /// A node by the configuration in this file. `signals`: SIGHUP, SIGTERM and SIGINT are its.
    pub fn new(path: PathBuf, signals: bool) -> Result<Self, NodeError> {
        let config = read(&path)?;
        let site = nettleferry_settings::read(&config.settings)?;
        let bounds = Bounds::of(&config.limits, site.open_calls);
        let connect =
            Duration::from_micros(site.settings.limits.connect_timeout).max(Duration::from_millis(1));
        let limits = TcpLimits {
            accepted: bounds.clients + 8,
            made: bounds.links,
            input: (MOST_PAYLOAD + 64).max(MOST_BODY + 4 * MOST_WORD),
            connect_timeout: connect,
            ..TcpLimits::default()
        };
        let mut tcp = Tcp::new(limits).map_err(NodeError::system("a poll"))?;
        // Signals first: from the moment in which clients can connect, none of them ends the node.
        let signals = if signals { Some(watch_signals(&tcp)?) } else { None };
        let local = tcp.listen(config.listen).map_err(NodeError::system("listening"))?;
        let deadlines = site.settings.classes.iter().map(|c| c.deadline as f64 / 1000.0).collect();
        let idle = (site.idle > 0).then(|| Duration::from_micros(site.idle));
        let reports = site.settings.reports != Reports::None;
        let engine_limits = EngineLimits {
            open_calls: bounds.open_calls,
            models: bounds.functions,
            // The settings hold no figure of its own for a probe: it has as long as a connection has to come about.
            probe_timeout: site.settings.limits.connect_timeout,
            ..EngineLimits::default()
        };
        let asker = Asker::new(config.resolver, tcp.source_token(DIRECTORY), config.known.pos);
        let engine = Engine::new(site.settings, site.zone.as_deref(), engine_limits, config.seed_number())?;
        let now = Instant::now();
        let mut node = Self {
            path,
            clock: Clock::start(),
            tcp,
            engine,
            front: Front::new(&site.classes, deadlines, bounds),
            links: Links::new(bounds, site.streams as usize, idle, reports),
            asker,
            signals,
            classes: site.classes,
            local,
            count: Counters::default(),
            leaving: None,
            last_request: now,
            reload_at: None,
            next_figures: now + FIGURES_EVERY,
            happened: Vec::new(),
            heard: Vec::new(),
            told: Vec::new(),
            commands: Vec::new(),
        };
        node.list(ListForm::Restored, &config.known.list()?);
        Ok(node)
    }

    /// Where it listens.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.count
    }

    /// Runs until a signal has stopped it and all that was taken is answered.
    pub fn run(&mut self) -> Result<(), NodeError> {
        while !self.done() {
            self.turn(None)?;
        }
        self.figures();
        Ok(())
    }

    /// May it end: asked to, and nothing is owed or on its way?
    pub fn done(&self) -> bool {
        self.leaving.is_some_and(|since| {
            let quiet = Instant::now() >= since.max(self.last_request) + LAST_REQUESTS;
            // An answer is given when the system has it, not when it is queued.
            quiet && self.engine.open_calls() == 0 && self.tcp.unsent_to_peers() == 0
        })
    }

    /// One round; waits at most `most`.
    pub fn turn(&mut self, most: Option<Duration>) -> Result<(), NodeError> {
        let wait = self.wait();
        let wait = most.map_or(wait, |most| most.min(wait));
        let mut happened = std::mem::take(&mut self.happened);
        self.tcp.turn(Some(wait), &mut happened).map_err(NodeError::system("the poll"))?;
        // Links first: what has just broken is not written to.
        happened.sort_by_key(|event| !event.key().is_some_and(|key| self.links.owns(key)));
        for event in happened.drain(..) {
            self.take(event);
        }
        self.happened = happened;
        if self.reload_at.is_some_and(|at| Instant::now() >= at) {
            self.reload();
        }
        self.asker.turn(self.tcp.registry(), &mut self.count);
        self.tell(Event::Tick);
        self.work();
        if Instant::now() >= self.next_figures {
            self.next_figures = Instant::now() + FIGURES_EVERY;
            self.figures();
        }
        Ok(())
    }

    fn wait(&self) -> Duration {
        let now = Instant::now();
        let timer =
            self.engine.next_timer().map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        let others = [
            Some(self.asker.due()),
            Some(self.next_figures),
            self.reload_at,
            self.leaving.map(|_| now + LAST_REQUESTS / 8),
        ];
        let others = others.into_iter().flatten().map(|at| at.saturating_duration_since(now));
        others.chain(timer).min().unwrap_or(FIGURES_EVERY)
    }

    fn take(&mut self, event: TcpEvent) {
        let (tcp, count) = (&mut self.tcp, &mut self.count);
        let (heard, told) = (&mut self.heard, &mut self.told);
        let client = event.key().is_some_and(|key| self.front.owns(key));
        match event {
            TcpEvent::Accepted(key) => self.front.accepted(tcp, key, count),
            TcpEvent::Data(key) if client => self.front.data(tcp, key, heard, count),
            TcpEvent::Alarm(key) if client => self.front.alarm(tcp, key, count),
            TcpEvent::Ended(key) if client => self.front.ended(tcp, key),
            TcpEvent::Closed(key, _) if client => self.front.closed(key, heard),
            TcpEvent::Connected(key) => self.links.connected(tcp, key),
            TcpEvent::Data(key) => self.links.data(tcp, key, told, count),
            TcpEvent::Alarm(key) => self.links.alarm(tcp, key, told, count),
            TcpEvent::Ended(key) => {
                self.links.closed(tcp, key, Gone::Broken, told);
                tcp.close(key);
            }
            TcpEvent::Closed(key, why) => self.links.closed(tcp, key, why, told),
            TcpEvent::Source(SIGNALS) => self.signalled(),
            TcpEvent::Source(_) => {
                if let Some(list) = self.asker.ready(count) {
                    info!(serial = list.serial, invokers = list.invokers.len(), "the list changed");
                    self.list(ListForm::Complete, &list);
                }
            }
        }
        self.work();
    }

    /// Hands on what was heard and told, and does what the engine says, until nothing is left.
    fn work(&mut self) {
        loop {
            if !self.heard.is_empty() {
                for heard in std::mem::take(&mut self.heard) {
                    match heard {
                        Heard::Request(taken) => self.open(taken),
                        Heard::Gone(call) => self.tell(Event::ClientGone { call }),
                    }
                }
            } else if !self.told.is_empty() {
                for event in std::mem::take(&mut self.told) {
                    self.tell(event);
                }
            } else {
                return;
            }
        }
    }

    fn open(&mut self, taken: crate::front::Taken) {
        self.last_request = Instant::now();
        let mark = taken.mark;
        if !self.front.waits(mark) {
            return;
        }
        let open = Open {
            front: mark,
            class: taken.class,
            tenant: None,
            model: taken.row,
            version: Arc::from(""),
            left: taken.left,
            work_hint: None,
            lanes: taken.lanes,
            load_time: taken.load_time,
            repeat: false,
            group: 0,
            streamed: false,
            body: taken.body,
        };
        let call = self.engine.open(self.clock.now(), open, &mut self.commands);
        self.front.opened(mark, call);
        self.obey();
    }

    fn tell(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.commands);
        self.obey();
    }

    fn obey(&mut self) {
        let (tcp, count) = (&mut self.tcp, &mut self.count);
        for command in self.commands.drain(..) {
            match command {
                Command::Start { attempt, worker, left, body, .. } => {
                    let Some(call) = self.front.call(attempt.call) else { continue };
                    let sort = self.classes.get(call.class.0).map_or("", String::as_str);
                    let begin = Attempt {
                        id: attempt,
                        name: &call.name,
                        sort,
                        asset: &call.row,
                        patience_ms: left / 1000,
                        body: &body,
                    };
                    self.links.start(tcp, worker, &begin, &mut self.told, count);
                }
                Command::Withdraw { attempt } => self.links.withdraw(tcp, attempt, &mut self.told, count),
                Command::End { front, end, .. } => self.front.end(tcp, front, &end),
                Command::Load { errand, worker, model, copies, .. } => {
                    self.links.load(tcp, worker, errand, (&model, copies), &mut self.told, count);
                }
                Command::Unload { worker, model, .. } => self.links.unload(tcp, worker, &model),
                Command::Probe { errand, worker } => {
                    self.links.probe(tcp, worker, errand, &mut self.told, count);
                }
                Command::Forget { errand } => self.links.forget(tcp, errand),
                Command::WatchList | Command::FetchList => self.asker.ask(),
                Command::Log(line) => info!("{line}"),
                // Answers here come whole: no parts, nothing to hold back.
                Command::Part { .. } | Command::Pause { .. } | Command::Resume { .. } => {}
            }
        }
    }

    fn list(&mut self, form: ListForm, list: &List) {
        let mut addresses = BTreeMap::new();
        let mut members = Vec::with_capacity(list.invokers.len());
        for invoker in &list.invokers {
            let state = match invoker.state {
                State::Up => WorkerState::On,
                State::Draining => WorkerState::Draining,
                State::Removed => WorkerState::Gone,
            };
            if let Some(address) = invoker.address {
                addresses.insert(self.engine.worker_id(&invoker.id), address);
            }
            members.push(Member {
                name: invoker.id.clone(),
                zone: invoker.zone.clone(),
                kind: invoker.kind.clone(),
                weight: invoker.weight,
                cell: invoker.cell.clone(),
                state,
                born: (invoker.started_ms > 0).then(|| invoker.started_ms.saturating_mul(1000)),
            });
        }
        self.links.list(&mut self.tcp, &addresses);
        self.tell(Event::Workers { form, members });
    }

    fn signalled(&mut self) {
        let pending: Vec<i32> = self.signals.as_mut().map(|s| s.pending().collect()).unwrap_or_default();
        for signal in pending {
            match signal {
                SIGHUP => self.reload(),
                _ => self.leave(),
            }
        }
    }

    /// Asks it to end, as SIGTERM does: what comes is served, and the end follows the last answer.
    pub fn leave(&mut self) {
        if self.leaving.is_none() {
            info!("asked to end: what comes is served, and the end follows the last answer");
            self.leaving = Some(Instant::now());
            self.front.go_away(&mut self.tcp);
        }
    }

    /// A new configuration, as after SIGHUP: the directory's address counts; the rest stands until the next start.
    pub fn reload(&mut self) {
        match read(&self.path) {
            Ok(config) => {
                self.reload_at = None;
                self.asker.moved(self.tcp.registry(), config.resolver);
            }
            Err(error) => {
                warn!(%error, "the new configuration is not used yet");
                self.reload_at = Some(Instant::now() + RELOAD_AGAIN);
            }
        }
    }

    fn figures(&self) {
        let (tcp, engine) = (self.tcp.counters(), self.engine.counters());
        let (clients, links) = (self.front.clients(), self.tcp.made());
        info!(clients, links, open = self.engine.open_calls(), held = self.engine.held_calls(), "figures");
        info!("figures {engine:?}");
        info!("figures {:?} {tcp:?}", self.count);
    }
}

fn read(path: &PathBuf) -> Result<Config, NodeError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| NodeError::Read { path: path.clone(), source })?;
    Ok(Config::read(&text)?)
}

fn watch_signals(tcp: &Tcp) -> Result<Signals, NodeError> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT]).map_err(NodeError::system("signals"))?;
    let token = tcp.source_token(SIGNALS);
    tcp.registry().register(&mut signals, token, Interest::READABLE).map_err(NodeError::system("signals"))?;
    Ok(signals)
}
