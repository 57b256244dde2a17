//! The loop: sockets, signals and timers in; the engine; answers, attempts and orders out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::Interest;
use nettleferry::{Effect, ListForm, Reports, WorkerState};
use nettleferry_engine::{
    AttemptEnd, AttemptReport, Cause, ClientDisconnect, Command, Engine, EngineLimits, Event, FinalAnswer,
    Member, NewCall, Refusal,
};
use nettleferry_net::clock::Clock;
use nettleferry_net::retry::retry_startup;
use nettleferry_net::tcp::{Gone, Tcp, TcpCounters, TcpEvent, TcpKey, TcpLimits};
use nettleferry_platform::config::{Config, ConfigError};
use nettleferry_platform::directory::{List, ListError, State};
use nettleferry_platform::frames::MOST_PAYLOAD;
use nettleferry_platform::resp::{MOST_BODY, MOST_WORD};
use nettleferry_platform_settings::SettingsFault;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use tracing::{debug, info, warn};

use crate::directory::DiscoveryClient;
use crate::front::{ClientEvent, Front, Incoming};
use crate::guard::{self, Sending, Violation};
use crate::limits::{
    ACCEPTED_A_TURN, Bounds, Counters, LAST_REQUESTS, LOOK_EVERY, OPENED_A_TURN, until_kill,
};
use crate::links::{Attempt, Endpoint, Links};
use crate::reasons::{CloseReason, EndReason, RepeatReason};
use crate::starts::StartTimes;

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
    #[error("the settings: field {field}: {0}", field = module_field(.0))]
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

/// Which field of the settings the module can't work with.
fn module_field(error: &nettleferry::SettingsError) -> &'static str {
    match error {
        nettleferry::SettingsError::NoClasses => "classes",
        nettleferry::SettingsError::NoControllers => "n_instances",
        nettleferry::SettingsError::NotAmongControllers => "me",
        nettleferry::SettingsError::NoAttempts => "limits.max_attempts",
    }
}

const SIGNALS: usize = 0;
const DIRECTORY: usize = 1;
/// A configuration that could not be read is read again after this span: it may have been half written.
const RELOAD_AGAIN: Duration = Duration::from_millis(200);
/// Signals are looked for this often though nothing tells of one: the byte that tells may be lost.
const SIGNALS_EVERY: Duration = Duration::from_millis(250);
/// How often counters are logged.
const FIGURES_EVERY: Duration = Duration::from_secs(5);

/// The answer of a request that came with no time left.
const NO_TIME: FinalAnswer = FinalAnswer::Refused { reason: Refusal::NoRoom, retry_after: None };

/// What attempts of a class must know of it.
#[derive(Clone)]
struct ClassTerms {
    name: Arc<str>,
    effect: Effect,
    /// For how long invokers drop repeats, where it is keyed.
    window: Option<Duration>,
}

impl ClassTerms {
    fn of(name: &str, class: &nettleferry::Class) -> Self {
        let window = match class.effect {
            Effect::Keyed { window, .. } => Some(Duration::from_micros(window)),
            _ => None,
        };
        Self { name: Arc::from(name), effect: class.effect, window }
    }
}

/// What one turn brought that is acted on once all of it was read.
#[derive(Default)]
struct TurnEvents {
    list: bool,
    connected: Vec<TcpKey>,
}

/// A controller on the platform.
pub struct Node {
    path: PathBuf,
    clock: Clock,
    tcp: Tcp,
    engine: Engine,
    front: Front,
    links: Links,
    discovery: DiscoveryClient,
    starts: StartTimes,
    signals: Option<Signals>,
    classes: Vec<ClassTerms>,
    /// How long a client waits at the longest.
    longest: Duration,
    local: SocketAddr,
    count: Counters,
    /// Since SIGTERM, and when a client last came or sent something.
    draining: Option<Instant>,
    last_heard: Instant,
    /// When the newest turn began that has seen all there was, and in which no client came or sent anything.
    looked: Option<Instant>,
    /// When the configuration is to be read again.
    reload_at: Option<Instant>,
    next_figures: Instant,
    next_signals: Instant,
    happened: Vec<TcpEvent>,
    client_events: Vec<ClientEvent>,
    /// Requests read and not yet opened, [`OPENED_A_TURN`] a turn: no more than clients may have open.
    requests: VecDeque<Incoming>,
    told: Vec<Event>,
    commands: Vec<Command>,
}

impl Node {
    /// A node by the configuration in this file. `signals`: SIGHUP, SIGTERM and SIGINT are its.
    pub fn new(path: PathBuf, signals: bool) -> Result<Self, NodeError> {
        let config = read_patiently(&path)?;
        let site = nettleferry_platform_settings::read(&config.settings)?;
        let bounds = Bounds::of(&config.limits, site.open_calls);
        let longest = site.settings.classes.iter().map(|c| c.deadline).max().unwrap_or(0);
        let told = site.settings.limits.connect_timeout;
        let connect =
            if told > 0 { Duration::from_micros(told) } else { TcpLimits::default().connect_timeout };
        let limits = TcpLimits {
            // The front makes room for each that comes: a crowd waits in the system until it has.
            accepted: bounds.clients + ACCEPTED_A_TURN,
            accepted_a_turn: ACCEPTED_A_TURN,
            made: bounds.links,
            input: (MOST_PAYLOAD + 64).max(MOST_BODY + 4 * MOST_WORD),
            connect_timeout: connect,
            // Beyond that nobody waits for an answer.
            drain: Duration::from_micros(longest),
            ..TcpLimits::default()
        };
        let mut tcp = patiently("a poll", || Tcp::new(limits.clone()))?;
        // Signals first: from the moment in which clients can connect, none of them ends the node.
        let signals = if signals { Some(patiently("signals", || watch_signals(&tcp))?) } else { None };
        let local = patiently("listening", || tcp.listen(config.listen))?;
        let deadlines = site.settings.classes.iter().map(|c| c.deadline as f64 / 1000.0).collect();
        let idle = (site.idle > 0).then(|| Duration::from_micros(site.idle));
        let reports = site.settings.reports != Reports::None;
        let engine_limits = EngineLimits {
            open_calls: bounds.open_calls,
            models: bounds.functions,
            // The settings hold no figure of its own for a probe: it has as long as a connection has to come about, and
            // no longer than the longest call.
            probe_timeout: (connect.as_micros() as u64).min(longest.max(1)),
            ..EngineLimits::default()
        };
        let terms = site.classes.iter().zip(&site.settings.classes);
        let classes = terms.map(|(name, class)| ClassTerms::of(name, class)).collect();
        let discovery = DiscoveryClient::new(config.resolver, tcp.source_token(DIRECTORY), config.known.pos);
        let engine = Engine::new(site.settings, site.zone.as_deref(), engine_limits, config.seed_number())?;
        let now = Instant::now();
        let mut node = Self {
            path,
            clock: Clock::start(),
            tcp,
            engine,
            front: Front::new(&site.classes, &site.tenants, deadlines, bounds),
            links: Links::new(bounds, site.streams as usize, idle, reports),
            discovery,
            starts: StartTimes::default(),
            signals,
            classes,
            longest: Duration::from_micros(longest),
            local,
            count: Counters::default(),
            draining: None,
            last_heard: now,
            looked: None,
            reload_at: None,
            next_figures: now + FIGURES_EVERY,
            next_signals: now,
            happened: Vec::new(),
            client_events: Vec::new(),
            requests: VecDeque::new(),
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

    /// What the engine counted.
    pub fn engine_counters(&self) -> nettleferry_engine::EngineCounters {
        self.engine.counters()
    }

    /// What its connections counted.
    pub fn tcp_counters(&self) -> TcpCounters {
        self.tcp.counters()
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
        let open = self.engine.open_calls() + self.requests.len();
        if open > 0 {
            self.count.violations.report(Violation::EndWithRequests, &open);
        }
        self.figures();
        Ok(())
    }

    /// May it end: asked to, and nothing is owed or on its way? A process that did not run for a while finds its quiet
    /// span over by the clock, with connections in the backlog and requests in sockets: so a whole turn that began
    /// after that span must have looked and found nothing.
    pub fn done(&self) -> bool {
        self.draining.is_some_and(|since| {
            let quiet = self.looked.is_some_and(|at| at >= since.max(self.last_heard) + LAST_REQUESTS);
            // An answer is given when the system has it, not when it is queued.
            let open = self.engine.open_calls() + self.requests.len();
            quiet && open == 0 && self.tcp.unsent_to_peers() == 0
        })
    }

    /// One round; waits at most `most`. What came is read on all sockets first, and only then acted on: in this
    /// order, whatever the order in which it came within the turn.
    ///
    /// 1. What has broken, so that nothing is written to it. 2. Clients that left, all at once, so that nothing is sent
    ///    on for one of them. 3. The list, so that nothing goes to whom it takes out of service. 4. What invokers
    ///    answered. 5. Connections that came about: what waited for them leaves. 6. Answers that are due: they leave
    ///    before anything else is done. 7. New requests, [`OPENED_A_TURN`] of them: then clients are looked at again.
    pub fn turn(&mut self, most: Option<Duration>) -> Result<(), NodeError> {
        let wait = self.wait();
        let wait = most.map_or(wait, |most| most.min(wait));
        let began = Instant::now();
        let mut happened = std::mem::take(&mut self.happened);
        self.tcp.turn(Some(wait), &mut happened).map_err(NodeError::system("the poll"))?;
        let mut turn = TurnEvents { list: self.discovery.more(), ..TurnEvents::default() };
        // Those that have just come last: at the bound they push out who has nothing to lose, as far as was read.
        let new: BTreeSet<TcpKey> = happened.iter().filter_map(accepted).collect();
        let of_new = |event: &TcpEvent| event.key().is_some_and(|key| new.contains(&key));
        for event in happened.iter().filter(|event| !of_new(event)) {
            self.read(*event, &mut turn);
        }
        for event in happened.drain(..).filter(of_new) {
            self.read(event, &mut turn);
        }
        self.happened = happened;
        if began >= self.next_signals {
            self.next_signals = began + SIGNALS_EVERY;
            self.signalled();
        }
        self.act(turn);
        if self.reload_at.is_some_and(|at| Instant::now() >= at) {
            self.reload();
        }
        self.discovery.turn(self.tcp.registry(), &mut self.count);
        self.tell(Event::Tick);
        self.work();
        let now = Instant::now();
        let took = now.saturating_duration_since(self.tcp.now()).as_micros() as u64;
        self.count.turn_most = self.count.turn_most.max(took);
        if now >= self.next_figures {
            self.next_figures = now + FIGURES_EVERY;
            self.figures();
        }
        self.looked = Some(began).filter(|at| *at > self.last_heard && self.tcp.caught_up());
        Ok(())
    }

    fn wait(&self) -> Duration {
        if !self.requests.is_empty() {
            return Duration::ZERO;
        }
        let now = Instant::now();
        let timer =
            self.engine.next_timer().map(|at| Duration::from_micros(at.saturating_sub(self.clock.now())));
        let others = [
            Some(self.discovery.due()),
            Some(self.next_figures),
            self.reload_at,
            // The look for the end is a turn of its own, as soon as it may be the last.
            self.draining.map(|since| {
                let quiet = since.max(self.last_heard) + LAST_REQUESTS;
                match self.looked {
                    _ if now < quiet => quiet,
                    Some(at) if at >= quiet => now + LAST_REQUESTS / 8,
                    _ => now,
                }
            }),
        ];
        let others = others.into_iter().flatten().map(|at| at.saturating_duration_since(now));
        others.chain(timer).min().unwrap_or(FIGURES_EVERY).min(LOOK_EVERY)
    }

    /// Reads what one event brought; nothing is decided or sent on yet.
    fn read(&mut self, event: TcpEvent, turn: &mut TurnEvents) {
        let (tcp, count) = (&mut self.tcp, &mut self.count);
        let (events, told) = (&mut self.client_events, &mut self.told);
        let client = event.key().is_some_and(|key| self.front.owns(key));
        if client && matches!(event, TcpEvent::Data(_)) || matches!(event, TcpEvent::Accepted(_)) {
            self.last_heard = Instant::now();
        }
        match event {
            TcpEvent::Accepted(key) => self.front.accepted(tcp, key, count),
            TcpEvent::Data(key) if client => self.front.data(tcp, key, events, count),
            TcpEvent::Alarm(key) if client => self.front.alarm(tcp, key, events, count),
            TcpEvent::Ended(key) if client => {
                self.front.ended(tcp, key, CloseReason::ClientEnded, events, count);
            }
            TcpEvent::Closed(key, _) if client => self.front.closed(key, events, count),
            TcpEvent::Connected(key) => turn.connected.push(key),
            TcpEvent::Data(key) => self.links.data(tcp, key, told, count),
            TcpEvent::Alarm(key) => self.links.alarm(tcp, key, told, count),
            TcpEvent::Ended(key) => {
                self.links.closed(tcp, key, Gone::Broken, told);
                tcp.close(key);
            }
            TcpEvent::Closed(key, why) => self.links.closed(tcp, key, why, told),
            TcpEvent::Source(SIGNALS) => self.signalled(),
            TcpEvent::Source(_) => turn.list = true,
        }
    }

    /// Acts on what one turn brought: the order is told at [`Node::turn`].
    fn act(&mut self, turn: TurnEvents) {
        let mut left = Vec::new();
        for event in self.client_events.drain(..) {
            match event {
                // One whose connection broke since has nobody to be answered.
                ClientEvent::Left(one) => {
                    let answered = one.answered && self.front.awaits(one.call);
                    left.push(ClientDisconnect { answered, ..one });
                }
                ClientEvent::Request(request) => self.requests.push_back(request),
            }
        }
        if !left.is_empty() {
            self.tell(Event::ClientsDisconnected { clients: left });
        }
        if turn.list
            && let Some(list) = self.discovery.ready(&mut self.count)
        {
            info!(serial = list.serial, invokers = list.invokers.len(), "the list changed");
            self.list(ListForm::Complete, &list);
        }
        self.work();
        for key in turn.connected {
            let (awaited, now) = (|call| self.front.awaits(call), self.clock.now());
            self.links.connected(&mut self.tcp, key, now, awaited, &mut self.told, &mut self.count);
            self.work();
        }
        if self.requests.is_empty() {
            return;
        }
        self.tell(Event::Tick);
        self.work();
        self.tcp.flush_all();
        // What was withdrawn since it was read waits for nothing: a flood of such would hold up all that comes behind it,
        // and never be worked off.
        self.requests.retain(|request| self.front.waits(request.mark));
        let now = self.requests.len().min(OPENED_A_TURN);
        for request in self.requests.drain(..now).collect::<Vec<_>>() {
            self.open(request);
        }
        self.work();
    }

    /// Hands on what links told, and does what the engine says, until nothing is left.
    fn work(&mut self) {
        while !self.told.is_empty() {
            for event in std::mem::take(&mut self.told) {
                if let Event::AttemptEnded { attempt, end: how, .. } = &event
                    && let Some(call) = self.front.call(attempt.call)
                {
                    call.attempts.ended(how.never_ran());
                    call.last_end = Some(RepeatReason::of(how));
                }
                self.tell(event);
            }
        }
    }

    fn open(&mut self, request: Incoming) {
        let mark = request.mark;
        if !self.front.waits(mark) {
            return;
        }
        let waited = request.came.elapsed().as_micros() as u64;
        self.count.read_late_most = self.count.read_late_most.max(waited);
        let left = self.until_end(request.left.saturating_sub(waited));
        if left == 0 {
            // It could not be answered after it was tried: a try elsewhere does no harm.
            let why = EndReason::NoTime;
            return self.front.end_because(&mut self.tcp, mark, &NO_TIME, why, &mut self.count);
        }
        let open = NewCall {
            front: mark,
            class: request.class,
            tenant: request.tenant,
            model: request.function,
            version: Arc::from(""),
            time_left: left,
            cost_hint: request.cost_hint,
            lanes: request.lanes,
            load_time: request.load_time,
            repeat: request.repeat,
            group: 0,
            streamed: false,
            body: request.body,
        };
        let call = self.engine.open(self.clock.now(), open, &mut self.commands);
        self.front.opened(mark, call);
        self.obey();
    }

    /// The time that a call has, microseconds: what its client gives it, and after SIGTERM no more than is left until
    /// the platform kills this process. What comes so late has little of it, and its answer all the same.
    fn until_end(&mut self, left: u64) -> u64 {
        let Some(since) = self.draining else { return left };
        let most = until_kill(since, Instant::now(), self.longest, left);
        self.count.after_end += u64::from(most < left);
        most
    }

    fn tell(&mut self, event: Event) {
        self.engine.handle(self.clock.now(), event, &mut self.commands);
        self.obey();
    }

    fn obey(&mut self) {
        let (tcp, count) = (&mut self.tcp, &mut self.count);
        for command in self.commands.drain(..) {
            match command {
                Command::Start { attempt, worker, time_left: left, body, .. } => {
                    let class = |call: &crate::front::Call| self.classes.get(call.class.0).cloned();
                    let known = self.front.call(attempt.call).and_then(|call| class(call).zip(Some(call)));
                    let Some((class, call)) = known else {
                        // Its client has left, and the engine hears of it next.
                        let how = AttemptEnd::Cancelled;
                        self.told.push(Event::AttemptEnded {
                            attempt,
                            end: how,
                            report: AttemptReport::default(),
                        });
                        continue;
                    };
                    let sending = Sending {
                        out: call.attempts.is_out(),
                        may_have_run: call.attempts.may_have_run(),
                        effect: class.effect,
                    };
                    if let Err(violation) = sending.check() {
                        count.violations.report(violation, &call.name);
                        let how = AttemptEnd::Cancelled;
                        self.told.push(Event::AttemptEnded {
                            attempt,
                            end: how,
                            report: AttemptReport::default(),
                        });
                        continue;
                    }
                    if let Some(after) = call.last_end {
                        count.reasons.repeated(after);
                        debug!(id = %call.name, attempt = attempt.number, ?after, "sent again");
                    }
                    let now = Instant::now();
                    let begin = Attempt {
                        id: attempt,
                        name: Arc::clone(&call.name),
                        sort: class.name,
                        asset: Arc::clone(&call.function),
                        key: call.key.clone(),
                        until: now + Duration::from_micros(left),
                        leave_by: call.attempts.begin(now, class.window),
                        body,
                    };
                    self.links.start(tcp, worker, begin, &mut self.told, count);
                }
                Command::Abandon { attempt } => self.links.abandon(tcp, attempt),
                Command::CancelLoad { request_id } => self.links.unwanted(tcp, request_id, &mut self.told),
                Command::Cancel { attempt } => {
                    if let Some(call) = self.front.call(attempt.call) {
                        call.attempts.ended(false);
                        call.last_end = Some(RepeatReason::Withdrawn);
                    }
                    self.links.withdraw(tcp, attempt, &mut self.told, count);
                }
                Command::Answer { front, answer: end, .. } => {
                    let end = checked_end(&self.front, &self.classes, front, end, count);
                    self.front.end(tcp, front, &end, count);
                }
                Command::Load { request_id, worker, model, copies, .. } => {
                    self.links.load(tcp, worker, request_id, (&model, copies), &mut self.told, count);
                }
                Command::Unload { worker, model, .. } => self.links.unload(tcp, worker, &model),
                Command::Probe { request_id, worker } => {
                    self.links.probe(tcp, worker, request_id, &mut self.told, count);
                }
                Command::ForgetControlRequest { request_id } => self.links.forget(tcp, request_id),
                Command::WatchList | Command::FetchList => self.discovery.ask(),
                Command::Log(line) => info!("{line}"),
                // Answers here come whole: no parts, nothing to hold back.
                Command::ResponsePart { .. } | Command::Pause { .. } | Command::Resume { .. } => {}
            }
        }
    }

    fn list(&mut self, form: ListForm, list: &List) {
        let (now, since) = (self.clock.now(), self.discovery.heard_before().map(|at| self.clock.at(at)));
        let names: BTreeSet<&str> = list.invokers.iter().map(|invoker| invoker.id.as_str()).collect();
        self.starts.retain(|name| names.contains(name));
        let mut listed = BTreeMap::new();
        let mut members = Vec::with_capacity(list.invokers.len());
        for invoker in &list.invokers {
            let state = match invoker.state {
                State::Up => WorkerState::On,
                State::Draining => WorkerState::Draining,
                State::Removed => WorkerState::Gone,
            };
            let told = Some(invoker.started_ms).filter(|told| *told > 0);
            let started = told.map(|told| self.starts.take(&invoker.id, told, now, since));
            if let Some(address) = invoker.address.filter(|_| state != WorkerState::Gone) {
                let on = state == WorkerState::On;
                listed.insert(self.engine.worker_id(&invoker.id), Endpoint { address, started, on });
            }
            members.push(Member {
                name: invoker.id.clone(),
                zone: invoker.zone.clone(),
                kind: invoker.kind.clone(),
                weight: invoker.weight,
                cell: invoker.cell.clone(),
                state,
                born: started,
            });
        }
        let mut back = Vec::new();
        self.links.list(&mut self.tcp, &listed, &mut back);
        // What is given back is placed anew by the list that gave it back.
        self.tell(Event::Workers { form, members });
        self.told.append(&mut back);
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
        if self.draining.is_none() {
            info!("asked to end: what comes is served, and the end follows the last answer");
            self.draining = Some(Instant::now());
            self.looked = None;
            self.front.go_away(&mut self.tcp);
        }
    }

    /// A new configuration, as after SIGHUP: the directory's address counts; the rest stands until the next start.
    pub fn reload(&mut self) {
        match read(&self.path) {
            Ok(config) => {
                self.reload_at = None;
                self.discovery.moved(self.tcp.registry(), config.resolver);
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
        info!(clients, links, open = self.engine.open_calls(), held = self.engine.waiting_calls(), "figures");
        info!("figures {engine:?}");
        info!("figures {:?} {tcp:?}", self.count);
    }
}

/// The final answer of a request: one that may have run, and may run once, is never refused.
fn checked_end(
    front: &Front,
    classes: &[ClassTerms],
    mark: u64,
    end: FinalAnswer,
    count: &mut Counters,
) -> FinalAnswer {
    let Some(call) = front.call_of(mark) else {
        count.violations.report(Violation::AnswerForNobody, &mark);
        return end;
    };
    let effect = classes.get(call.class.0).map_or(Effect::Unsafe, |class| class.effect);
    let refused = matches!(end, FinalAnswer::Refused { .. });
    match guard::may_refuse(call.attempts.may_have_run(), effect) {
        Err(violation) if refused => {
            count.violations.report(violation, &call.name);
            let message = "nothing is promised: the call may have run".to_owned();
            FinalAnswer::Failed { cause: Cause::Aborted, message }
        }
        _ => end,
    }
}

fn accepted(event: &TcpEvent) -> Option<TcpKey> {
    if let TcpEvent::Accepted(key) = event { Some(*key) } else { None }
}

fn read(path: &PathBuf) -> Result<Config, NodeError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|source| NodeError::Read { path: path.clone(), source })?;
    Ok(Config::read(&text)?)
}

/// Reads the configuration, again while the system fails to read a file that is there.
fn read_patiently(path: &PathBuf) -> Result<Config, NodeError> {
    let may_pass = |error: &NodeError| matches!(error, NodeError::Read { source, .. } if passes(source));
    retry_startup("reading the configuration", || read(path), may_pass)
}

/// May this failure to read a file pass, as it tells of the system and not of the file?
fn passes(error: &io::Error) -> bool {
    use io::ErrorKind::{InvalidData, IsADirectory, NotADirectory, NotFound, PermissionDenied};
    !matches!(error.kind(), NotFound | PermissionDenied | IsADirectory | NotADirectory | InvalidData)
}

fn watch_signals(tcp: &Tcp) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGHUP, SIGTERM, SIGINT])?;
    tcp.registry().register(&mut signals, tcp.source_token(SIGNALS), Interest::READABLE)?;
    Ok(signals)
}

/// A step of the start, tried again while the system refuses it: for want of a descriptor or of memory, or as the address
/// is still held by the process before.
fn patiently<T>(what: &'static str, step: impl FnMut() -> io::Result<T>) -> Result<T, NodeError> {
    retry_startup(what, step, |_| true).map_err(NodeError::system(what))
}
