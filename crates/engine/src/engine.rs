//! The book of calls: each call's attempts, its timers and its one final answer.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use nettleferry::{
    Action, Controller, Event as Told, FunctionId, ListForm, Micros, Outcome, Request, RequestId, Settings,
    SettingsError, WorkerId, WorkerState,
};

use crate::names::{Model, Names};
use crate::outcome::Ended;
use crate::types::*;

/// Bounds of an engine.
#[derive(Clone, Debug)]
pub struct EngineLimits {
    /// Calls open at once; one more is refused at once.
    pub open_calls: usize,
    /// Models remembered by name.
    pub models: usize,
    /// An answer is given this long before the client's deadline: its way back takes time.
    pub answer_margin: Micros,
    /// A probe without an answer ends after this span.
    pub probe_timeout: Micros,
}

impl Default for EngineLimits {
    fn default() -> Self {
        Self { open_calls: 20_000, models: 65_536, answer_margin: 10_000, probe_timeout: 1_000_000 }
    }
}

/// What the engine counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounters {
    /// Calls opened.
    pub opened: u64,
    /// Calls served.
    pub served: u64,
    /// Calls that the worker found wrong.
    pub rejected: u64,
    /// Calls refused.
    pub refused: u64,
    /// Calls failed.
    pub failed: u64,
    /// Calls whose client left first.
    pub gone: u64,
    /// Attempts begun.
    pub attempts: u64,
    /// Load orders sent.
    pub orders: u64,
    /// Probes sent.
    pub probes: u64,
    /// Calls refused because of [`EngineLimits::open_calls`] or [`EngineLimits::models`].
    pub over_open: u64,
    /// Calls that the backstop at the deadline had to end: the module should have.
    pub backstop: u64,
}

struct Call {
    front: u64,
    class: nettleferry::ClassId,
    tenant: Option<nettleferry::TenantId>,
    group: u32,
    came: Micros,
    function: FunctionId,
    streamed: bool,
    body: Bytes,
    /// When its answer is due at the latest.
    due: Micros,
    attempts: u32,
    /// A part was delivered: the answer belongs to the client.
    started: bool,
    slow: bool,
    /// How its last attempt ended: why it fails, for people.
    last: Option<Ended>,
    /// An attempt ended without proof that it never ran.
    may_have_run: bool,
}

struct Flight {
    front: u64,
    worker: WorkerId,
    sent: Micros,
    times_out: Option<Micros>,
    /// A part that is not delivered until the end is certain.
    kept: Option<Bytes>,
    /// Its call has ended, and the settings allow no word that would stop it: its answer is waited for in vain, as
    /// the worker is busy with it until then.
    orphan: bool,
}

struct Errand {
    worker: WorkerId,
    /// The function of an order; a probe has none.
    function: Option<FunctionId>,
    sent: Micros,
    by: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    // In this order at one time: the module first, the backstop last.
    Module(u64),
    Attempt(AttemptId),
    Errand(ErrandId),
    Deadline(CallId),
}

/// The engine: see the crate's documentation.
pub struct Engine {
    module: Controller,
    names: Names,
    limits: EngineLimits,
    order_timeout: Micros,
    /// Attempts may be stopped.
    cancel: bool,
    calls: BTreeMap<CallId, Call>,
    flights: BTreeMap<AttemptId, Flight>,
    errands: BTreeMap<ErrandId, Errand>,
    listed: BTreeMap<WorkerId, WorkerState>,
    timers: BTreeSet<(Micros, Timer)>,
    queue: VecDeque<Told>,
    actions: Vec<Action>,
    out: Vec<Command>,
    next: u64,
    now: Micros,
    counters: EngineCounters,
    notes: Option<Vec<Note>>,
    phases: Option<Vec<Phase>>,
}

impl Engine {
    /// An engine without calls. `seed` is the module's only source of chance; `zone` this controller's zone.
    pub fn new(
        mut settings: Settings,
        zone: Option<&str>,
        limits: EngineLimits,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let mut names = Names::default();
        settings.zone = zone.map(|zone| names.zone(zone));
        let order_timeout = settings.loading.order_timeout;
        let cancel = settings.limits.cancel;
        Ok(Self {
            module: Controller::new(settings, seed)?,
            names,
            limits,
            order_timeout,
            cancel,
            calls: BTreeMap::new(),
            flights: BTreeMap::new(),
            errands: BTreeMap::new(),
            listed: BTreeMap::new(),
            timers: BTreeSet::new(),
            queue: VecDeque::new(),
            actions: Vec::new(),
            out: Vec::new(),
            next: 0,
            now: 0,
            counters: EngineCounters::default(),
            notes: None,
            phases: None,
        })
    }

    /// What it counts.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// From now on what is worth counting is noted, for [`Engine::notes`].
    pub fn take_notes(&mut self) {
        self.notes = Some(Vec::with_capacity(1024));
    }

    /// What was noted since the last time. To be drained after each event: it is not bounded by itself.
    pub fn notes(&mut self) -> std::vec::Drain<'_, Note> {
        self.notes.get_or_insert_default().drain(..)
    }

    /// From now on steps of calls are noted, for [`Engine::phases`].
    pub fn take_phases(&mut self) {
        self.phases = Some(Vec::with_capacity(256));
    }

    /// Steps are noted no more: nobody drains them.
    pub fn leave_phases(&mut self) {
        self.phases = None;
    }

    /// Steps since the last time, in order. To be drained after each event: they are not bounded by themselves.
    pub fn phases(&mut self) -> std::vec::Drain<'_, Phase> {
        self.phases.get_or_insert_default().drain(..)
    }

    fn step(&mut self, front: u64, step: Step) {
        if let Some(phases) = &mut self.phases {
            phases.push(Phase { front, step });
        }
    }

    fn note(&mut self, note: Note) {
        if let Some(notes) = &mut self.notes {
            notes.push(note);
        }
    }

    /// Open calls that no worker has.
    pub fn held_calls(&self) -> usize {
        // Attempts of a call never overlap: each stands for one call, or for one that has ended.
        let orphans = if self.cancel { 0 } else { self.flights.values().filter(|f| f.orphan).count() };
        (self.calls.len() + orphans).saturating_sub(self.flights.len())
    }

    /// Health of the listed workers, as the module sees it.
    pub fn health(&self) -> impl Iterator<Item = nettleferry::Health> + '_ {
        self.module.health()
    }

    /// Calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Things remembered in all, by the module and here: flat over a long life.
    pub fn remembered(&self) -> usize {
        let ours = self.calls.len() + self.flights.len() + self.errands.len() + self.timers.len();
        self.module.remembered() + ours + self.listed.len() + self.names.models()
    }

    /// Names and numbers.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The number of a worker of the list.
    pub fn worker_id(&mut self, name: &str) -> WorkerId {
        self.names.worker(name)
    }

    /// Where an attempt that has not ended went, and the model of its call: for the log.
    pub fn describe(&self, attempt: AttemptId) -> Option<(std::sync::Arc<str>, &Model)> {
        let flight = self.flights.get(&attempt)?;
        let call = self.calls.get(&attempt.call)?;
        Some((self.names.worker_name(flight.worker), self.names.model(call.function)?))
    }

    /// When [`Event::Tick`] is wanted.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.first().map(|(at, _)| *at)
    }

    /// Opens a call. Its commands, which may hold its end already, are appended to `out`.
    pub fn open(&mut self, now: Micros, open: Open, out: &mut Vec<Command>) -> CallId {
        self.now = self.now.max(now);
        let call = CallId(self.fresh());
        self.counters.opened += 1;
        let front = open.front;
        let left = open.left.saturating_sub(self.limits.answer_margin);
        let (class, tenant, group) = (open.class, open.tenant, open.group);
        let note = |how| Note::Ended { class, tenant, group, how, took: 0 };
        if left == 0 {
            self.note(note(EndKind::Failed));
            self.step(front, Step::Ended(EndKind::Failed));
            let message = "no time was left when the call came".to_owned();
            self.end_unheld(call, front, End::Failed { cause: Cause::Deadline, message });
        } else if self.calls.len() >= self.limits.open_calls {
            self.note(note(EndKind::Refused));
            self.step(front, Step::Ended(EndKind::Refused));
            self.refuse_unheld(call, front);
        } else {
            let model = Model { name: open.model.clone(), version: open.version.clone() };
            match self.names.open(model, self.limits.models) {
                None => {
                    self.note(note(EndKind::Refused));
                    self.step(front, Step::Ended(EndKind::Refused));
                    self.refuse_unheld(call, front);
                }
                Some(function) => self.take(call, function, left, open),
            }
        }
        self.work();
        out.append(&mut self.out);
        call
    }

    fn refuse_unheld(&mut self, call: CallId, front: u64) {
        self.counters.over_open += 1;
        self.end_unheld(call, front, End::Refused { why: Refusal::TooManyOpen, retry_after: None });
    }

    fn take(&mut self, call: CallId, function: FunctionId, left: Micros, open: Open) {
        let due = self.now + left;
        self.timers.insert((due, Timer::Deadline(call)));
        self.calls.insert(
            call,
            Call {
                front: open.front,
                class: open.class,
                tenant: open.tenant,
                group: open.group,
                came: self.now,
                function,
                streamed: open.streamed,
                body: open.body,
                due,
                attempts: 0,
                started: false,
                slow: false,
                last: None,
                may_have_run: false,
            },
        );
        self.queue.push_back(Told::Request(Request {
            id: RequestId(call.0),
            class: open.class,
            tenant: open.tenant,
            function,
            left,
            cpu_time_hint: open.work_hint,
            lanes: open.lanes.max(1),
            load_time: open.load_time,
            repeat: open.repeat,
        }));
    }

    /// Takes in one event and appends what is to be done to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Command>) {
        self.now = self.now.max(now);
        match event {
            Event::Workers { form, members } => self.workers(form, &members),
            Event::ClientGone { call } => {
                if self.calls.contains_key(&call) {
                    self.counters.gone += 1;
                    self.queue.push_back(Told::ClientGone { request: RequestId(call.0) });
                    self.close(call, EndKind::Gone);
                }
            }
            Event::ClientsLeft { calls } => self.left(&calls),
            Event::ClientSlow { call } => self.flow(call, true),
            Event::ClientReady { call } => self.flow(call, false),
            Event::Part { attempt, payload, last } => self.part(attempt, payload, last),
            Event::Ended { attempt, how, news } => self.ended(attempt, how, news),
            Event::Loaded { errand, how, copies } => self.errand_done(errand, &how, copies, None),
            Event::Probed { errand, how, report } => self.errand_done(errand, &how, 0, report),
            Event::Evict { tenant } => self.evict(tenant),
            Event::Tick => {}
        }
        self.work();
        self.ring();
        out.append(&mut self.out);
    }

    fn fresh(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn ring(&mut self) {
        while let Some(&(at, timer)) = self.timers.first() {
            if at > self.now {
                return;
            }
            self.timers.pop_first();
            match timer {
                Timer::Module(tag) => self.queue.push_back(Told::Timer { tag }),
                Timer::Attempt(attempt) => {
                    let orphan = self.flights.get(&attempt).is_some_and(|f| f.orphan);
                    self.out.push(if orphan {
                        Command::Abandon { attempt }
                    } else {
                        Command::Withdraw { attempt }
                    });
                    self.ended(attempt, Ended::TimedOut, News::default());
                }
                Timer::Errand(errand) => {
                    self.out.push(Command::Forget { errand });
                    self.errand_done(errand, &Ended::TimedOut, 0, None);
                }
                Timer::Deadline(call) => self.deadline(call),
            }
            self.work();
        }
    }

    /// Gives the module what stands in the queue, and carries out what it says, until nothing is left.
    fn work(&mut self) {
        while let Some(told) = self.queue.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now, told, &mut actions);
            for action in actions.drain(..) {
                self.act(action);
            }
            self.actions = actions;
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => self.send(CallId(request.0), worker, timeout),
            Action::Cancel { request, attempt } => {
                let attempt = AttemptId { call: CallId(request.0), number: attempt };
                if self.flights.contains_key(&attempt) {
                    self.out.push(Command::Withdraw { attempt });
                    self.ended(attempt, Ended::Cancelled, News::default());
                }
            }
            Action::Refuse { request, retry_after } => {
                let call = CallId(request.0);
                let on = self.listed.values().any(|s| *s == WorkerState::On);
                let why = if on { Refusal::NoRoom } else { Refusal::NoWorker };
                self.end(call, End::Refused { why, retry_after });
            }
            Action::Fail { request } => {
                let call = CallId(request.0);
                let last = self.calls.get(&call).and_then(|c| c.last.clone());
                let late =
                    self.calls.get(&call).is_some_and(|c| self.now + self.limits.answer_margin >= c.due);
                let end = failure(last.as_ref().unwrap_or(&Ended::TimedOut), late);
                self.end(call, end);
            }
            Action::Load { worker, function, count } => {
                let Some(model) = self.names.model(function).cloned() else {
                    // Forgotten since: nobody waits for it.
                    let outcome = Outcome::Error;
                    self.queue.push_back(Told::Loaded { worker, function, outcome, copies: 0, elapsed: 0 });
                    return;
                };
                self.counters.orders += 1;
                self.note(Note::OrderSent);
                let errand = self.begin_errand(worker, Some(function), self.order_timeout);
                let Model { name, version } = model;
                self.out.push(Command::Load { errand, worker, model: name, version, copies: count });
            }
            Action::CancelLoad { worker, function } => {
                let ours = |e: &Errand| e.worker == worker && e.function == Some(function);
                let ours = self.errands.iter().filter(|(_, e)| ours(e)).map(|(errand, _)| *errand);
                self.out.extend(ours.map(|errand| Command::Unwanted { errand }));
            }
            Action::Unload { worker, function } => {
                if let Some(Model { name, version }) = self.names.model(function).cloned() {
                    self.out.push(Command::Unload { worker, model: name, version });
                }
            }
            Action::Probe { worker } => {
                self.counters.probes += 1;
                let errand = self.begin_errand(worker, None, self.limits.probe_timeout);
                self.out.push(Command::Probe { errand, worker });
            }
            Action::SetTimer { after, tag } => {
                self.timers.insert((self.now + after, Timer::Module(tag)));
            }
            Action::Watch => self.out.push(Command::WatchList),
            Action::Fetch => self.out.push(Command::FetchList),
            Action::Log(line) => self.out.push(Command::Log(self.in_names(line))),
        }
    }

    /// The module speaks of workers by number; people know them by name.
    fn in_names(&self, line: String) -> String {
        let Some(rest) = line.strip_prefix("worker ") else { return line };
        let Some((number, rest)) = rest.split_once(' ') else { return line };
        match number.parse() {
            Ok(id) => format!("worker {} {rest}", self.names.worker_name(WorkerId(id))),
            Err(_) => line,
        }
    }

    // ---- attempts ----

    fn send(&mut self, id: CallId, worker: WorkerId, timeout: Option<Micros>) {
        let Some(call) = self.calls.get_mut(&id) else {
            // It has ended while the module did not know yet: told so, or it would count this attempt for ever.
            return self.never_began(id, worker);
        };
        let attempt = AttemptId { call: id, number: call.attempts };
        call.attempts += 1;
        let left = (call.due + self.limits.answer_margin).saturating_sub(self.now);
        let times_out = timeout.map(|span| self.now + span).filter(|at| *at < call.due);
        if let Some(at) = times_out {
            self.timers.insert((at, Timer::Attempt(attempt)));
        }
        let front = call.front;
        let flight = Flight { front, worker, sent: self.now, times_out, kept: None, orphan: false };
        self.flights.insert(attempt, flight);
        self.counters.attempts += 1;
        let (streamed, body, slow) = (call.streamed, call.body.clone(), call.slow);
        let after = call.last.as_ref().map(Ended::outcome);
        self.note(Note::Attempt { after });
        self.step(front, Step::Began);
        self.out.push(Command::Start { attempt, worker, streamed, left, body });
        if slow {
            self.out.push(Command::Pause { attempt });
        }
    }

    fn never_began(&mut self, id: CallId, worker: WorkerId) {
        let Some(attempt) = self.module.last_attempt(RequestId(id.0)) else { return };
        self.queue.push_back(Told::Outcome {
            request: RequestId(id.0),
            attempt,
            worker,
            outcome: Outcome::Cancelled,
            finished: true,
            elapsed: 0,
            note: None,
            concurrent_calls: None,
            report: None,
        });
    }

    fn flow(&mut self, id: CallId, slow: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.slow == slow {
            return;
        }
        call.slow = slow;
        let all = AttemptId { call: id, number: 0 }..=AttemptId { call: id, number: u32::MAX };
        for (&attempt, _) in self.flights.range(all) {
            self.out.push(if slow { Command::Pause { attempt } } else { Command::Resume { attempt } });
        }
    }

    fn part(&mut self, attempt: AttemptId, payload: Bytes, last: bool) {
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let Some(flight) = self.flights.get_mut(&attempt) else { return };
        // What might be the end is held until the end is certain: it is handed over with the final answer.
        let deliver = if !call.streamed || last { flight.kept.replace(payload) } else { Some(payload) };
        let Some(payload) = deliver.filter(|_| call.streamed) else { return };
        if !call.started {
            call.started = true;
            self.queue
                .push_back(Told::Started { request: RequestId(attempt.call.0), attempt: attempt.number });
        }
        self.out.push(Command::Part { call: attempt.call, front: call.front, payload });
    }

    fn ended(&mut self, attempt: AttemptId, how: Ended, news: News) {
        let Some(flight) = self.flights.remove(&attempt) else { return };
        self.step(flight.front, Step::Back);
        if let Some(copy) = news.note {
            self.note(Note::Copy(copy));
        }
        if let Some(at) = flight.times_out {
            self.timers.remove(&(at, Timer::Attempt(attempt)));
        }
        let call = self.calls.get_mut(&attempt.call);
        let empty =
            how == Ended::Served && flight.kept.is_none() && call.as_ref().is_some_and(|c| !c.streamed);
        let how = if empty {
            Ended::Status { message: "the worker answered OK without a message".into() }
        } else {
            how
        };
        let served = matches!(how, Ended::Served | Ended::Rejected(_));
        // The break of an answer that has begun is the call's end: nobody can begin it again.
        let finished = served || call.as_ref().is_none_or(|c| c.started);
        if let Some(call) = call {
            call.last = Some(how.clone());
            call.may_have_run |= !how.never_ran();
        }
        self.queue.push_back(Told::Outcome {
            request: RequestId(attempt.call.0),
            attempt: attempt.number,
            worker: flight.worker,
            outcome: how.outcome(),
            finished,
            elapsed: self.now.saturating_sub(flight.sent),
            note: news.note,
            concurrent_calls: news.crowd,
            report: news.report,
        });
        match how {
            Ended::Served => self.end(attempt.call, End::Served { last: flight.kept }),
            Ended::Rejected(message) => self.end(attempt.call, End::Rejected { message }),
            how if finished => {
                if let Some(call) = self.calls.get(&attempt.call) {
                    let late = self.now >= call.due;
                    self.end(attempt.call, failure(&how, late));
                }
            }
            _ => {}
        }
    }

    // ---- ends ----

    /// The one place from which a call that is held gets its final answer.
    fn end(&mut self, id: CallId, end: End) {
        let Some(call) = self.calls.get(&id) else { return };
        let front = call.front;
        self.close(id, kind(&end));
        self.end_unheld(id, front, end);
    }

    fn end_unheld(&mut self, call: CallId, front: u64, end: End) {
        match &end {
            End::Served { .. } => self.counters.served += 1,
            End::Rejected { .. } => self.counters.rejected += 1,
            End::Refused { .. } => self.counters.refused += 1,
            End::Failed { .. } => self.counters.failed += 1,
        }
        self.out.push(Command::End { call, front, end });
    }

    /// Takes a call off the book; what is still out for it is withdrawn.
    fn close(&mut self, id: CallId, how: EndKind) {
        let Some(call) = self.calls.remove(&id) else { return };
        let took = self.now.saturating_sub(call.came);
        self.note(Note::Ended { class: call.class, tenant: call.tenant, group: call.group, how, took });
        self.timers.remove(&(call.due, Timer::Deadline(id)));
        self.names.close(call.function);
        let all = AttemptId { call: id, number: 0 }..=AttemptId { call: id, number: u32::MAX };
        let out: Vec<AttemptId> = self.flights.range(all).map(|(attempt, _)| *attempt).collect();
        for attempt in out {
            if self.cancel {
                self.out.push(Command::Withdraw { attempt });
                self.ended(attempt, Ended::Cancelled, News::default());
            } else {
                self.orphan(attempt, call.due);
            }
        }
        self.step(call.front, Step::Ended(how));
    }

    /// What may not be stopped goes on, until its answer or the end of the time that the worker was told.
    fn orphan(&mut self, attempt: AttemptId, due: Micros) {
        let until = (due + self.limits.answer_margin).max(self.now + 1);
        let Some(flight) = self.flights.get_mut(&attempt) else { return };
        flight.orphan = true;
        if let Some(at) = flight.times_out.replace(until) {
            self.timers.remove(&(at, Timer::Attempt(attempt)));
        }
        self.timers.insert((until, Timer::Attempt(attempt)));
    }

    /// Clients that left: the module hears of all of them before anything that they free is given away.
    fn left(&mut self, calls: &[Left]) {
        let open = |left: &&Left| self.calls.contains_key(&left.call);
        let calls: Vec<Left> = calls.iter().filter(open).copied().collect();
        for left in &calls {
            self.queue.push_back(Told::ClientGone { request: RequestId(left.call.0) });
        }
        for left in calls {
            if !self.calls.contains_key(&left.call) {
                continue;
            }
            if left.answered {
                let end = self.unserved(left.call, Refusal::ClientLeft, "its client's side ended");
                self.end(left.call, end);
            } else {
                self.counters.gone += 1;
                self.close(left.call, EndKind::Gone);
            }
        }
    }

    /// The final answer of a call that ends for a reason of its own: what no worker can have run is refused;
    /// nothing is promised of the rest.
    fn unserved(&self, id: CallId, why: Refusal, reason: &str) -> End {
        let all = AttemptId { call: id, number: 0 }..=AttemptId { call: id, number: u32::MAX };
        let out = self.flights.range(all).next().is_some();
        if out || self.calls.get(&id).is_some_and(|c| c.may_have_run) {
            End::Failed { cause: Cause::Aborted, message: format!("{reason}; the call may have run") }
        } else {
            End::Refused { why, retry_after: None }
        }
    }

    /// A tenant is gone.
    fn evict(&mut self, tenant: nettleferry::TenantId) {
        let ours = self.calls.iter().filter(|(_, call)| call.tenant == Some(tenant));
        let ours: Vec<CallId> = ours.map(|(id, _)| *id).collect();
        for id in &ours {
            self.queue.push_back(Told::ClientGone { request: RequestId(id.0) });
        }
        for id in ours {
            let end = self.unserved(id, Refusal::TenantGone, "its tenant was removed");
            self.end(id, end);
        }
    }

    /// The backstop. For an answer that has begun it is the deadline itself: the module leaves those to us.
    fn deadline(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        if !call.started {
            self.counters.backstop += 1;
            self.queue.push_back(Told::ClientGone { request: RequestId(id.0) });
        }
        self.end(id, failure(&Ended::TimedOut, true));
    }

    // ---- orders, probes, the list ----

    fn begin_errand(&mut self, worker: WorkerId, function: Option<FunctionId>, within: Micros) -> ErrandId {
        let errand = ErrandId(self.fresh());
        let by = self.now + within;
        self.timers.insert((by, Timer::Errand(errand)));
        self.errands.insert(errand, Errand { worker, function, sent: self.now, by });
        errand
    }

    fn errand_done(&mut self, id: ErrandId, how: &Ended, copies: u32, report: Option<nettleferry::Report>) {
        let Some(errand) = self.errands.remove(&id) else { return };
        self.timers.remove(&(errand.by, Timer::Errand(id)));
        let (worker, outcome) = (errand.worker, how.outcome());
        let elapsed = self.now.saturating_sub(errand.sent);
        self.note(match errand.function {
            Some(_) => Note::Order(outcome),
            None => Note::Probe { answered: outcome == Outcome::Ok },
        });
        self.queue.push_back(match errand.function {
            Some(function) => Told::Loaded { worker, function, outcome, copies, elapsed },
            None => Told::Probed { worker, outcome, report },
        });
    }

    fn workers(&mut self, form: ListForm, members: &[Member]) {
        let entries: Vec<_> = members.iter().map(|member| self.names.entry(member)).collect();
        if matches!(form, ListForm::Complete | ListForm::Restored) {
            self.listed.clear();
        }
        for entry in &entries {
            if entry.state == WorkerState::Gone {
                self.listed.remove(&entry.worker);
            } else {
                self.listed.insert(entry.worker, entry.state);
            }
        }
        let used: BTreeSet<WorkerId> = self
            .flights
            .values()
            .map(|f| f.worker)
            .chain(self.errands.values().map(|e| e.worker))
            .chain(self.listed.keys().copied())
            .chain(entries.iter().map(|e| e.worker))
            .collect();
        self.names.retain_workers(|id| used.contains(&id));
        self.queue.push_back(Told::Workers { form, entries });
    }
}

/// What a failed call's client is told.
fn failure(how: &Ended, late: bool) -> End {
    let cause = match how {
        _ if late => Cause::Deadline,
        Ended::TimedOut => Cause::Deadline,
        Ended::Status { .. } => Cause::Internal,
        _ => Cause::Aborted,
    };
    let message = if cause == Cause::Deadline {
        "the deadline came before an answer; the call may have run".to_owned()
    } else {
        format!("{}; the call may have run", how.words())
    };
    End::Failed { cause, message }
}

fn kind(end: &End) -> EndKind {
    match end {
        End::Served { .. } => EndKind::Served,
        End::Rejected { .. } => EndKind::Rejected,
        End::Refused { .. } => EndKind::Refused,
        End::Failed { .. } => EndKind::Failed,
    }
}
