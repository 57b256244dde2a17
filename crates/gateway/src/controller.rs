//! The running controller: one thread, one reactor; events in at the edge, the engine in the middle, commands
//! out at the edge. Nothing is decided here.

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::Interest;
use nettleferry::{ListForm, Micros, WorkerState};
use nettleferry_audit_log::{Event as AuditEvent, Recorder, View};
use nettleferry_config::settings::{Admin, GateWhen};
use nettleferry_config::{Config, Worker};
use nettleferry_engine::{Command, Engine, EngineLimits, Event};
use nettleferry_fleet::gate::{Gate, GateConfig, Step};
use nettleferry_fleet::lease::{self, Holder, Stage};
use nettleferry_net::{Hub, NetEvent, NetLimits};
use signal_hook_mio::v1_0::Signals;
use tracing::{debug, info, warn};

use crate::admin::{Desk, Told};
use crate::endpoint::Endpoint;
use crate::front::{self, Around, Front};
use crate::links::{LinkLimits, Links};
use crate::list::{Lists, News, members};
use crate::observe::{self, Observer};
use crate::push::Pusher;
use crate::tenants::Tenants;
use crate::trail::{Known, Log};
use nettleferry_net::clock::Clock;
use nettleferry_net::patience::Patience;

/// Why a controller could not start or go on.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The module does not take the settings.
    #[error("the settings can't work: {0}")]
    Settings(#[from] nettleferry::SettingsError),
    /// The front's address can't be had.
    #[error("can't listen on {address}: {source}{}", hint(source))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
    /// The administration could not start.
    #[error("the administration: {source}; is its address taken, or its key file missing?")]
    Admin {
        /// Why.
        source: io::Error,
    },
    /// The reactor failed.
    #[error("the reactor failed: {0}")]
    Io(#[from] io::Error),
}

/// A word on an address that is taken.
fn hint(error: &io::Error) -> &'static str {
    if error.kind() == io::ErrorKind::AddrInUse { "; is another process there?" } else { "" }
}

/// A step of the start, tried again while the system refuses it for a moment: for want of a descriptor or of memory. An
/// address that is taken or not ours does not pass by itself.
pub(crate) fn patiently<T>(step: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    use io::ErrorKind::{AddrInUse, AddrNotAvailable, InvalidInput, PermissionDenied};
    let lasting = |error: &io::Error| {
        matches!(error.kind(), AddrInUse | AddrNotAvailable | InvalidInput | PermissionDenied)
    };
    let held_up = |error: &io::Error| warn!(%error, "the start is held up: tried again");
    Patience::START.until(step, |error| !lasting(error), held_up)
}

/// How a controller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stopped {
    /// All open calls had their answers.
    Clean,
    /// A second signal, or the drain's time ran out with calls open.
    AtOnce,
}

/// A controller.
pub struct Controller {
    config: Arc<Config>,
    clock: Clock,
    hub: Hub,
    engine: Engine,
    front: Front,
    links: Links,
    lists: Lists,
    signals: Option<Signals>,
    observer: Observer,
    scrape: Option<Endpoint>,
    /// Pushes until it is dropped, with last words.
    pusher: Option<Pusher>,
    /// How many calls are taken after a restart, where that is judged.
    gate: Option<Gate>,
    gate_said: Option<Step>,
    /// What the gate had counted when it was taken away.
    gate_counted: nettleferry_fleet::gate::Counters,
    /// Until when it may act on what it last heard, where it follows another's administration.
    lease: Option<Holder>,
    stage_said: Option<Stage>,
    /// The record of what it acts on, and its log.
    trail: Option<(Recorder, Log)>,
    /// The book in force: store and epoch.
    book: (String, u64),
    /// Versions of the list so far.
    lists_taken: u64,
    /// Tenants of the administration, and the administration.
    tenants: Option<Tenants>,
    desk: Option<Desk>,
    /// Workers drained by hand, and the list as it was told last.
    drained: BTreeSet<String>,
    listed: Vec<Worker>,
    /// It is to be shown anew.
    list_changed: bool,
    refresh_at: Micros,
    commands: Vec<Command>,
    local: SocketAddr,
    /// Set at the first signal: when open calls must have ended.
    draining: Option<Micros>,
}

const SIGNALS: usize = 0;
/// How often slower figures (workers, limits) are brought up to date, at the most.
const REFRESH: Micros = 200_000;
/// A drain whose calls have all ended waits so long for clients to read and close.
const LAST_WORDS: Micros = 500_000;

impl Controller {
    /// Listens, with the last list restored. `signals`: SIGTERM and SIGINT drain it.
    pub fn new(config: Config, signals: bool) -> Result<Self, ControllerError> {
        let edge = &config.edge;
        let net_limits = NetLimits {
            connections: edge.connections,
            streams_per_connection: edge.streams_per_connection,
            message_bytes: edge.message_bytes,
            header_bytes: edge.header_bytes,
            stream_window: edge.stream_window,
            send_queue_bytes: edge.send_queue,
            reset_streams: edge.reset_streams,
            connect_timeout: Duration::from_micros(config.settings.limits.connect_timeout),
            handshake_timeout: Duration::from_micros(edge.handshake_timeout),
            idle: Duration::from_micros(edge.idle),
            ..NetLimits::default()
        };
        let mut hub = patiently(|| Hub::new(net_limits.clone()))?;
        let limits = EngineLimits {
            open_calls: edge.open_calls,
            models: edge.models,
            answer_margin: edge.answer_margin,
            probe_timeout: edge.probe_timeout,
        };
        let seed = config.seed.unwrap_or_else(rand::random);
        let (_, local) = patiently(|| hub.listen(config.grpc))
            .map_err(|source| ControllerError::Listen { address: config.grpc, source })?;
        let waker = hub.waker();
        let wake = move || _ = waker.wake();
        let (file, kept) = (config.workers.clone(), config.workers_kept.clone());
        let lists = Lists::start(file, kept, config.workers_check, wake)?;
        let first = lists.first();
        // An earlier life that kept a list may have given load orders just before it ended.
        let again = first.iter().any(|news| news.form == ListForm::Restored);
        let mut settings = config.settings.clone();
        settings.loading.spent = again;
        let mut engine = Engine::new(settings, config.zone.as_deref(), limits, seed)?;
        let signals = if signals { Some(patiently(|| watch_signals(&hub))?) } else { None };
        let links = LinkLimits { connections: edge.worker_connections, streams: edge.worker_streams };
        let observer = Observer::new(&config);
        let scrape = match config.figures.scrape {
            Some(address) => Some(
                patiently(|| observe::scrape(address, observer.figures()))
                    .map_err(|source| ControllerError::Listen { address, source })?,
            ),
            None => None,
        };
        let pusher =
            config.figures.push.clone().map(|push| Pusher::start(push, observer.figures())).transpose()?;
        if config.figures.count {
            engine.take_notes();
        }
        let clock = Clock::start();
        let (mut tenants, mut desk, mut lease) = (None, None, None);
        let (mut trail, mut book) = (None, (String::new(), 0));
        if let Some(admin) = &config.admin {
            let failed = |source| ControllerError::Admin { source };
            if let Some(of) = &admin.trail {
                let (log, tail) = Log::start(of.folder.clone(), of.bytes).map_err(failed)?;
                let (now, life) = (clock.now() / 1000, rand::random::<u64>().max(1));
                let program = env!("CARGO_PKG_VERSION");
                trail = Some((Recorder::new(now, life, config.settings.me, program, tail), log));
            }
            let held = trail.as_ref().map(|(_, log)| log.held());
            let longest =
                config.settings.classes.iter().map(|class| class.deadline / 1000).max().unwrap_or(0);
            let who = (config.settings.me, config.settings.controllers, longest);
            let started = Desk::start(admin, who, hub.waker(), held).map_err(failed)?;
            if let Some(whole) = &started.book {
                book = (whole.store.clone(), whole.epoch);
            }
            let (base, of) = (config.tenants.len(), config.settings.controllers);
            let terms =
                nettleferry_fleet::loans::LoanConfig { controllers: of.max(1), reserve: admin.reserve };
            let mut all = Tenants::new(base, &config.classes, admin.anonymous, admin.places, terms);
            match &started.book {
                Some(whole) => {
                    all.begin(&whole.book);
                    all.spend(clock.now());
                }
                None => all.blind(),
            }
            engine.take_phases();
            lease = holder(admin, clock.now());
            (tenants, desk) = (Some(all), Some(started));
        }
        let config = Arc::new(config);
        let mut controller = Self {
            clock,
            hub,
            engine,
            front: Front::new(Arc::clone(&config)),
            links: Links::new(links, config.settings.me),
            lists,
            signals,
            observer,
            scrape,
            pusher,
            gate: None,
            gate_said: None,
            gate_counted: nettleferry_fleet::gate::Counters::default(),
            lease,
            stage_said: None,
            trail,
            book,
            lists_taken: 0,
            tenants,
            desk,
            drained: BTreeSet::new(),
            listed: Vec::new(),
            list_changed: false,
            refresh_at: 0,
            commands: Vec::new(),
            local,
            draining: None,
            config,
        };
        let judged = match controller.config.recovery.gate {
            GateWhen::Never => false,
            GateWhen::Restart => again,
            GateWhen::Always => true,
        };
        let now = controller.clock.now() / 1000;
        controller.gate = judged.then(|| Gate::new(GateConfig::default(), now));
        if judged {
            controller.engine.take_phases();
        }
        for news in first {
            controller.listed(news);
        }
        Ok(controller)
    }

    /// Where the front listens.
    pub fn local(&self) -> SocketAddr {
        self.local
    }

    /// Where the figures can be scraped.
    pub fn scrape(&self) -> Option<SocketAddr> {
        self.scrape.as_ref().map(|s| s.local)
    }

    /// Where the administration listens.
    pub fn admin(&self) -> Option<SocketAddr> {
        self.desk.as_ref().and_then(|desk| desk.local)
    }

    /// Runs until told to stop.
    pub fn run(&mut self) -> Result<Stopped, ControllerError> {
        let mut events = Vec::new();
        loop {
            self.tick();
            if let Some(stopped) = self.stopped() {
                return Ok(self.farewell(stopped));
            }
            let wait = Duration::from_micros(self.next().saturating_sub(self.clock.now()));
            self.hub.turn(Some(wait), &mut events)?;
            for event in events.drain(..) {
                if matches!(event, NetEvent::Source(SIGNALS)) {
                    if self.signalled() {
                        return Ok(self.farewell(Stopped::AtOnce));
                    }
                } else if matches!(event, NetEvent::Woken) {
                    for news in self.lists.told() {
                        self.listed(news);
                    }
                    self.administered();
                } else {
                    self.event(event);
                }
            }
            self.observe();
        }
    }

    /// Counts what was noted; slower figures now and then, as events come.
    fn observe(&mut self) {
        self.steps();
        self.record(|recorder, now, known| recorder.tick(now, known));
        if let Some((recorder, log)) = &mut self.trail {
            log.hand_on(recorder);
        }
        self.observer.count(&mut self.engine);
        let now = self.clock.now();
        if now >= self.refresh_at {
            self.refresh_at = now + REFRESH;
            self.refresh();
        }
    }

    fn refresh(&mut self) {
        self.gate_steps();
        self.lease_stages();
        let (net, front) = (self.hub.counters(), self.front.counters());
        self.observer.refresh(&self.engine, &net, &front, self.links.no_room);
        let now = self.clock.now() / 1000;
        let lease = self.lease.as_ref().map(|holder| (holder.stage(now), holder.counters()));
        self.observer.fleet(self.gate.as_ref(), self.gate_counted, front.without_lease, lease);
        if let (Some(tenants), Some(desk)) = (&mut self.tenants, &self.desk) {
            self.observer.turned(tenants.turned());
            let mut shown = desk.shown();
            if tenants.lends()
                && let Some(demands) = tenants.demands(self.clock.now())
            {
                (shown.demands, shown.measured) = (demands, Some(Instant::now()));
            }
            shown.revision = tenants.revision();
            self.observer.lives(shown.lives_behind, shown.lives_fenced, shown.book_waits);
            tenants.show(&mut shown.usage);
            if std::mem::take(&mut self.list_changed) {
                shown.workers = self.listed.iter().map(|w| shown_as(w, &self.drained)).collect();
            }
        }
    }

    /// Says each step of the return; a gate that is whole is taken away.
    fn gate_steps(&mut self) {
        let Some(gate) = &mut self.gate else { return };
        gate.advance(self.clock.now() / 1000, self.engine.counters().served);
        let (step, since) = gate.step();
        if self.gate_said.replace(step) != Some(step) {
            let refused = gate.counters();
            info!(
                step = step.as_str(),
                at_ms = since,
                waits = gate.waiting_calls(),
                ?refused,
                "the return from a restart"
            );
        }
        if step == Step::Complete {
            self.gate_counted = gate.counters();
            self.gate = None;
            if self.tenants.is_none() {
                self.engine.leave_phases();
            }
        }
    }

    /// Says each step of a controller that has no lease, or has one again.
    fn lease_stages(&mut self) {
        let now = self.clock.now() / 1000;
        let Some(holder) = &self.lease else { return };
        let (stage, counted) = (holder.stage(now), holder.counters());
        if self.stage_said.replace(stage) != Some(stage) {
            let (step, left_ms) = (stage.as_str(), holder.remaining(now));
            if stage == Stage::Current {
                info!(step, left_ms, ?counted, "what it acts on is known to hold");
            } else {
                warn!(step, ?counted, "it is not known whether what it acts on still holds");
            }
        }
    }

    /// Something for the record, where one is kept.
    fn record(&mut self, what: impl FnOnce(&mut Recorder, u64, &Known)) {
        if let Some((recorder, _)) = &mut self.trail {
            let known = Known { tenants: self.tenants.as_ref(), engine: &self.engine };
            what(recorder, self.clock.now() / 1000, &known);
        }
    }

    /// What is acted on from now on.
    fn view(&mut self) {
        let view = View {
            store: self.book.0.clone(),
            epoch: self.book.1,
            revision: self.tenants.as_ref().map_or(0, Tenants::revision),
            list: self.lists_taken,
            settings: self.config.sum,
            program: env!("CARGO_PKG_VERSION").to_owned(),
        };
        self.record(|recorder, now, known| recorder.view_applied(now, view, known));
    }

    /// Tells admission what became of calls.
    fn steps(&mut self) {
        if self.tenants.is_none() && self.gate.is_none() {
            return;
        }
        let now = self.clock.now();
        for phase in self.engine.phases() {
            if let Some(gate) = &mut self.gate {
                front::gate_step(gate, now, &phase);
            }
            if let Some(tenants) = &mut self.tenants {
                tenants.step(now, phase);
            }
        }
    }

    /// Tenants that are gone: each of their calls has its one final answer before a place may be another's.
    fn evict(&mut self, gone: impl IntoIterator<Item = nettleferry::TenantId>) {
        for tenant in gone {
            self.engine.handle(self.clock.now(), Event::Evict { tenant }, &mut self.commands);
            self.carry_out();
            self.steps();
            if let Some(tenants) = &mut self.tenants {
                tenants.forget(tenant);
            }
        }
    }

    /// What the administration has told: changes in order, each whole.
    fn administered(&mut self) {
        let Some(desk) = &self.desk else { return };
        let told: Vec<Told> = desk.told().collect();
        for told in told {
            match told {
                Told::Changed(entry) => {
                    // Acts of before are closed while the names are known.
                    self.record(|recorder, _, known| recorder.close(known));
                    let gone = self.tenants.as_mut().and_then(|tenants| tenants.apply(&entry));
                    self.evict(gone);
                    self.view();
                    self.record(|recorder, now, known| {
                        if let Some(act) = tenant_act(&entry) {
                            recorder.event(now, act, known);
                        }
                    });
                }
                Told::Began(whole) => {
                    self.record(|recorder, _, known| recorder.close(known));
                    let gone = self.tenants.as_mut().map(|tenants| tenants.begin_anew(&whole.book));
                    self.evict(gone.into_iter().flatten());
                    self.book = (whole.store, whole.epoch);
                    self.view();
                }
                Told::Heard { asked, answered, by, at } => {
                    let span = (self.clock.at(asked) / 1000, self.clock.at(answered).div_ceil(1000));
                    self.record(|recorder, _, _| recorder.clock_exchange(span, by, at));
                }
                Told::Mark(mark) => self.desk.iter().for_each(|desk| desk.applied(mark)),
                Told::Leased { until, place } => {
                    if place > 0 {
                        self.links.fence(place);
                    }
                    // Our clock first: what passes between the two readings shortens the lease.
                    let now = self.clock.now() / 1000;
                    let left = until.saturating_duration_since(Instant::now()).as_millis() as u64;
                    if let Some(holder) = self.lease.as_mut().filter(|_| left > 0) {
                        holder.renewed(now + left);
                    }
                }
                Told::Lent { until, loans } => {
                    // Our clock first, as for leases.
                    let now = self.clock.now();
                    let left = until.saturating_duration_since(Instant::now()).as_micros() as u64;
                    if let Some(tenants) = &mut self.tenants {
                        tenants.lend(now, now + left, loans);
                    }
                }
                Told::Fenced => {
                    if let Some(holder) = &mut self.lease {
                        holder.fence();
                    }
                    self.record(|recorder, now, known| recorder.event(now, AuditEvent::Fenced, known));
                }
                Told::Drained(drained) => {
                    for worker in self.drained.symmetric_difference(&drained) {
                        let act =
                            AuditEvent::Drained { worker: worker.clone(), drained: drained.contains(worker) };
                        if let Some((recorder, _)) = &mut self.trail {
                            let known = Known { tenants: self.tenants.as_ref(), engine: &self.engine };
                            recorder.event(self.clock.now() / 1000, act, &known);
                        }
                    }
                    self.drained = drained;
                    let (form, workers) = (ListForm::Complete, self.listed.clone());
                    self.listed(News { form, workers });
                }
            }
        }
        // Those who ask next are shown what is in force.
        self.refresh();
    }

    fn next(&self) -> Micros {
        let engine = self.engine.next_timer().unwrap_or(Micros::MAX);
        let drain = self.draining.map_or(Micros::MAX, |until| until.min(self.clock.now() + 20_000));
        engine.min(drain)
    }

    /// What is due: engine timers.
    fn tick(&mut self) {
        let now = self.clock.now();
        if self.engine.next_timer().is_some_and(|at| at <= now) {
            self.engine.handle(now, Event::Tick, &mut self.commands);
            self.carry_out();
        }
    }

    fn event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Closed { conn, .. } => self.links.closed(conn),
            NetEvent::Head { stream, .. }
            | NetEvent::Message { stream, .. }
            | NetEvent::Trailers { stream, .. }
            | NetEvent::Failed { stream, .. }
                if self.links.owns(stream) =>
            {
                if let Some(told) = self.links.event(&mut self.hub, event) {
                    self.tell(told);
                }
            }
            event => self.at_front(|front, around| front.event(around, event)),
        }
        self.carry_out();
    }

    fn at_front<T>(&mut self, work: impl FnOnce(&mut Front, &mut Around) -> T) -> T {
        let (now, opened) = (self.clock.now(), self.front.opened);
        let mut around = Around {
            hub: &mut self.hub,
            engine: &mut self.engine,
            commands: &mut self.commands,
            tenants: self.tenants.as_mut(),
            gate: self.gate.as_mut(),
            lease: self.lease.as_mut(),
            trail: self.trail.as_mut().map(|(recorder, _)| recorder),
            now,
        };
        let done = work(&mut self.front, &mut around);
        if let Some(holder) = self.lease.as_mut().filter(|_| self.front.opened != opened) {
            let after = self.clock.now();
            if holder.action_finished(now / 1000, after / 1000) {
                warn!(
                    stood_us = after - now,
                    "calls were taken while the lease ran out: this process stood still"
                );
                let stood_ms = (after - now) / 1000;
                self.record(|recorder, now, known| {
                    recorder.event(now, AuditEvent::LeaseEndedMeanwhile { stalled_ms: stood_ms }, known)
                });
            }
        }
        done
    }

    fn tell(&mut self, told: Event) {
        if let Event::Ended { attempt, how, .. } = &told
            && *how != nettleferry_engine::Ended::Served
            && let Some((worker, model)) = self.engine.describe(*attempt)
        {
            debug!(call = attempt.call.0, attempt = attempt.number, %worker, model = %model.name, how = %how.words(), "attempt ended");
        }
        self.engine.handle(self.clock.now(), told, &mut self.commands);
    }

    /// Carries out what the engine commands, until nothing is left.
    fn carry_out(&mut self) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                let told = self.act(command);
                if let Some(told) = told {
                    self.tell(told);
                }
            }
        }
    }

    /// Carries out one command. `Some`: it ended at once.
    fn act(&mut self, command: Command) -> Option<Event> {
        let hub = &mut self.hub;
        match command {
            Command::Start { attempt, worker, streamed, left, body } => {
                if let Some((worker, model)) = self.engine.describe(attempt) {
                    debug!(call = attempt.call.0, attempt = attempt.number, %worker, model = %model.name, "attempt");
                }
                if let Some((recorder, _)) = &mut self.trail {
                    recorder.attempt(self.clock.now() / 1000, worker.0);
                }
                return self.links.start(hub, attempt, worker, streamed, left, body);
            }
            Command::Withdraw { attempt } | Command::Abandon { attempt } => self.links.withdraw(hub, attempt),
            // Its stream is open: it has left.
            Command::Unwanted { .. } => {}
            Command::Pause { attempt } => self.links.flow(hub, attempt, true),
            Command::Resume { attempt } => self.links.flow(hub, attempt, false),
            Command::Part { front, payload, .. } => self.at_front(|f, around| f.part(around, front, payload)),
            Command::End { call, front, end } => {
                debug!(call = call.0, ?end, "final answer");
                self.at_front(|f, around| f.end(around, call, front, end));
            }
            Command::Load { errand, worker, model, version, copies } => {
                debug!(worker = %self.engine.names().worker_name(worker), %model, copies, "load ordered");
                let memory = self.config.models.find(&model).and_then(|m| m.memory);
                if let Some((recorder, _)) = &mut self.trail {
                    recorder.order(self.clock.now() / 1000, worker.0);
                }
                return self.links.load(hub, errand, worker, (&model, &version, memory), copies);
            }
            Command::Unload { worker, model, .. } => self.links.unload(hub, worker, &model),
            Command::Probe { errand, worker } => return self.links.probe(hub, errand, worker),
            Command::Forget { errand } => self.links.forget(hub, errand),
            Command::WatchList | Command::FetchList => self.lists.ask(),
            Command::Log(line) => warn!("{line}"),
        }
        None
    }

    fn listed(&mut self, mut news: News) {
        let now = self.clock.now();
        if news.form != ListForm::Failed {
            self.listed.clone_from(&news.workers);
            self.list_changed = true;
            self.lists_taken += 1;
            // Drained by hand: the module is told what it would be told by the list.
            for worker in news.workers.iter_mut().filter(|w| w.state == WorkerState::On) {
                if self.drained.contains(&worker.name) {
                    worker.state = WorkerState::Draining;
                }
            }
        }
        if news.form == ListForm::Failed {
            self.engine.handle(
                now,
                Event::Workers { form: news.form, members: Vec::new() },
                &mut self.commands,
            );
            return self.carry_out();
        }
        let addresses: HashMap<_, _> = news
            .workers
            .iter()
            .filter(|w| w.state != WorkerState::Gone)
            .map(|w: &Worker| (self.engine.worker_id(&w.name), w.address))
            .collect();
        self.links.listed(&addresses);
        if let Some(gate) = &mut self.gate {
            let on = news.workers.iter().filter(|w| w.state == WorkerState::On).count();
            gate.list_applied(now / 1000, on as u32, news.form != ListForm::Restored);
        }
        self.front.ready = news.workers.iter().any(|w| w.state == WorkerState::On);
        self.view();
        let told = Event::Workers { form: news.form, members: members(&news.workers) };
        self.engine.handle(now, told, &mut self.commands);
        self.carry_out();
    }

    // ---- the end ----

    /// A signal came. True: it is not the first, stop at once.
    fn signalled(&mut self) -> bool {
        let came = self.signals.as_mut().map_or(0, |s| s.pending().count());
        for _ in 0..came {
            if self.draining.is_some() {
                warn!("second signal: stopped at once");
                return true;
            }
            info!(open_calls = self.engine.open_calls(), "signal: no new calls; open ones get their answers");
            self.draining = Some(self.clock.now() + self.config.edge.drain);
            self.hub.stop_listening();
            self.hub.go_away();
            self.at_front(|front, around| front.drain(around));
            self.carry_out();
        }
        false
    }

    fn stopped(&mut self) -> Option<Stopped> {
        let until = self.draining?;
        let now = self.clock.now();
        if self.engine.open_calls() == 0 {
            if self.hub.accepted_connections() == 0 {
                return Some(Stopped::Clean);
            }
            // All answers are given; clients have a moment to read them and to close.
            self.draining = Some(until.min(now + LAST_WORDS));
            return (now >= until).then_some(Stopped::Clean);
        }
        (now >= until).then(|| {
            warn!(open_calls = self.engine.open_calls(), "the drain's time ran out");
            Stopped::AtOnce
        })
    }

    fn farewell(&mut self, stopped: Stopped) -> Stopped {
        self.record(|recorder, _, known| recorder.close(known));
        if let Some((recorder, log)) = &mut self.trail {
            log.hand_on(recorder);
        }
        // The last round is to have what was counted last.
        self.observer.count(&mut self.engine);
        self.refresh();
        match (stopped, self.pusher.take()) {
            (Stopped::AtOnce, Some(pusher)) => pusher.abandon(),
            (_, pusher) => drop(pusher),
        }
        let (engine, net, front) = (self.engine.counters(), self.hub.counters(), self.front.counters());
        info!(
            ?engine,
            ?net,
            ?front,
            no_room = self.links.no_room,
            lists_refused = self.lists.refused(),
            "stopped"
        );
        stopped
    }
}

/// What a change does to a tenant, for the record; changes of limits are in its views.
fn tenant_act(entry: &nettleferry_tenancy::Entry) -> Option<AuditEvent> {
    let state = |t: &nettleferry_tenancy::Tenant| format!("{:?}", t.state).to_lowercase();
    let (before, after) = (entry.before.as_ref().map(state), entry.after.as_ref().map(state));
    let state = after.clone().unwrap_or_else(|| "gone".to_owned());
    (before != after).then(|| AuditEvent::Tenant { tenant: entry.tenant.clone(), state })
}

/// The lease of one that follows; its own administration's book always holds.
fn holder(admin: &Admin, now: Micros) -> Option<Holder> {
    let nettleferry_config::settings::Desk::Follow { straggler, .. } = &admin.desk else { return None };
    let leaves_after = straggler.leaves_after.map(|span| span / 1000);
    Some(Holder::new(
        now / 1000,
        lease::LeasePolicy { rejects: straggler.refuses, not_ready_after: leaves_after },
    ))
}

/// A worker as the administration shows it.
fn shown_as(worker: &Worker, drained: &BTreeSet<String>) -> nettleferry_admin::api::Worker {
    let listed = match worker.state {
        WorkerState::On => "on",
        WorkerState::Draining => "draining",
        WorkerState::Gone => "gone",
    };
    nettleferry_admin::api::Worker {
        name: worker.name.clone(),
        address: worker.address.to_string(),
        zone: worker.zone.clone(),
        listed: listed.to_owned(),
        drained: drained.contains(&worker.name),
    }
}

fn watch_signals(hub: &Hub) -> io::Result<Signals> {
    // The numbers are POSIX's; a crate for two constants would be more than they need.
    const SIGINT: i32 = 2;
    const SIGTERM: i32 = 15;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    hub.registry().register(&mut signals, hub.source_token(SIGNALS), Interest::READABLE)?;
    Ok(signals)
}
