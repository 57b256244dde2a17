//! Every decision of the controller, and every tuned value. Its types are in
//! `src/interface.rs`; what is remembered is laid out in `src/state.rs`, which decides nothing.
//!
//! The ordinary path is the design page's: a call goes to the worker last found warm for its function while
//! our requests there are under the function's lanes, else to the next worker under that bound along the
//! function's hash order, which all controllers share, else it is held at priority count x mean latency,
//! fixed at arrival; each answer releases the lowest held that has room. All else is a guard: on whether a
//! worker may take a request now (`may_take`), or at a request's end (`attempt_ended`, `answer`).

use std::cell::OnceCell;
use std::collections::BTreeSet;

use crate::interface::*;
use crate::rendezvous::Candidates;
use crate::state::*;

/// Served latencies kept per function, and the span over which its arrivals count: the design page's.
const SAMPLES: usize = 10;
pub(crate) const COUNT_SPAN: Micros = 10_000_000;
/// Held requests looked at for one answer: bounds the work per event.
const SCAN: usize = 512;
/// How often held requests are looked at without an answer, in steps and at the least: room comes with time.
const TICK_STEPS: Micros = 4;
const TICK_LEAST: Micros = 20_000;
/// A load's time before any was told or seen: that of a middling program.
const LOAD_GUESS: f64 = 1_000_000.0;
/// A load that has taken this many times what it should is taken for stuck: another may begin elsewhere.
const STUCK_LOADS: f64 = 3.0;
/// Loads of ours waited for at one worker at once: workers run few at a time.
const LOADS_AT_WORKER: usize = 2;
/// Weight of one outcome in a worker's failing share, and the share that bars it: two failures in a row.
const FAIL_WEIGHT: f64 = 0.3;
const FAIL_BAR: f64 = 0.5;
/// Weight of a connection that broke while its worker's process lived: many, and none served between, bar it.
const BROKE_WEIGHT: f64 = 0.15;
/// How long a worker in doubt is left alone when the probe's connection broke as well.
const DOUBT_WAIT: Micros = 100_000;
/// Weights of one load in a load's usual time, and of one answer in a class's work.
const LOAD_WEIGHT: f64 = 0.3;
const WORK_WEIGHT: f64 = 0.05;
/// First span of a bar, doubled at each failed trial up to the longest: a process restarts in seconds.
const BAR_FIRST: Micros = 500_000;
const BAR_LONGEST: Micros = 4_000_000;
/// An answer owed for this many mean latencies, and this share of an aim at the least, is late.
const SILENT_LATENCIES: f64 = 6.0;
const SILENT_AIMS: f64 = 0.5;
/// Part of what a cold worker bears that is dealt out as time passes; the rest covers what is used late.
const COLD_DEALT: f64 = 0.7;
/// Strain is what answers tell of others at a worker: calls over the function's lanes, or latency over this
/// share of its aim. From 1 it is at its bound for us, from the most left alone; one aim takes one off.
const STRAIN_AIM: f64 = 0.6;
const STRAIN_MOST: f64 = 2.5;
const STRAIN_FULL: f64 = 3.0;
/// A worker not heard of for so many aims is probed before a call goes there, for so many workers a call:
/// most controllers call it too seldom to know of a crowd. A probe late by this share tells of one.
const NEWS_AIMS: f64 = 1.0;
const NEWS_PROBES: u32 = 2;
const NEWS_WAIT: f64 = 0.1;
/// Where no copy is known, a call looks only so far for ease: memory holds no copy of all everywhere.
const ABSENT: usize = 2;
/// Cores in use below this share leave room, whatever a worker holds; else what it holds counts over this
/// many cores: their number is not told, and the work as learnt holds some of others' queueing.
const UTIL_ROOM: f64 = 0.85;
const CORES: f64 = 8.0;
/// A worker where a load failed or found no room is left alone by that function for this share of a load.
const SHUN_LOADS: f64 = 0.5;
/// One that did so this often in a row is no home for a while; a load that failed counts as so many.
const TURNED_AWAY: u32 = 3;
/// Waits before asking a list that failed again: the first, doubled up to a share of `must_poll_within`.
const ASK_FIRST: Micros = 200_000;
pub(crate) const FORGET_SPANS: Micros = 3;

impl Controller {
    /// A controller that has seen nothing yet. `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        let found = [
            (settings.classes.is_empty(), SettingsError::NoClasses),
            (settings.controllers == 0, SettingsError::NoControllers),
            (settings.me >= settings.controllers, SettingsError::NotAmongControllers),
            (settings.limits.max_attempts == 0, SettingsError::NoAttempts),
        ];
        if let Some((_, error)) = found.into_iter().find(|(wrong, _)| *wrong) {
            return Err(error);
        }
        let class_work = vec![None; settings.classes.len()];
        let open = settings.classes.iter().map(|_| OnceCell::new()).collect();
        Ok(Self { settings, random: seed, class_work, open, ask_wait: ASK_FIRST, ..Self::default() })
    }

    /// Takes in one event at the time `now`, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        self.forget_open();
        if self.started.is_none() {
            self.started = Some(now);
            if self.settings.discovery == Discovery::Poll {
                self.out.push(Action::Watch);
            }
        }
        match event {
            Event::Workers { form, entries } => self.workers_told(form, entries),
            Event::Request(request) => self.request(request),
            Event::Outcome {
                request,
                attempt,
                outcome,
                finished,
                elapsed,
                note,
                concurrent_calls: crowd,
                report,
                ..
            } => {
                let key = (request, attempt);
                if let (Some(at), Some(report)) = (self.flights.get(&key).map(|f| f.worker), report) {
                    self.news(at, report);
                }
                self.attempt_ended(key, outcome, finished, elapsed, (note, crowd));
            }
            Event::Started { request, .. } => self.stream_started(request),
            Event::Loaded { worker, function, outcome, copies, elapsed } => {
                self.loaded(worker, function, outcome, copies, elapsed);
            }
            Event::Probed { worker, outcome, report } => self.probed(worker, outcome, report),
            Event::Timer { .. } | Event::Message { .. } => {}
            Event::ClientGone { request } => self.client_gone(request),
        }
        self.run_due();
        self.arm();
        actions.append(&mut self.out);
    }

    fn workers_told(&mut self, form: ListForm, entries: Vec<WorkerEntry>) {
        if form == ListForm::Failed {
            if self.settings.discovery == Discovery::Poll {
                // Asked again after a wait that grows, never so long that what it held is deemed told.
                self.random = mix(self.random);
                let wait = self.ask_wait / 2 + self.random % (self.ask_wait / 2).max(1);
                self.due.insert((self.now + wait, Due::Ask));
                self.ask_wait =
                    (self.ask_wait * 2).min((self.settings.rules.must_poll_within / 4).max(ASK_FIRST));
            }
            return;
        }
        if form != ListForm::Restored {
            self.ask_wait = ASK_FIRST;
        }
        if form != ListForm::Changes {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !named.contains(id)) {
                worker.entry.state = WorkerState::Gone;
                self.fleet.set(*id, None);
                self.gone.insert(*id);
            }
        }
        for entry in entries {
            let id = entry.worker;
            let fresh = || Worker { bar: BAR_FIRST, heard: self.now, ..Worker::default() };
            let known = self.workers.contains_key(&id);
            let worker = self.workers.entry(id).or_insert_with(fresh);
            let anew = entry.started_at.is_some() && entry.started_at != worker.entry.started_at;
            self.fleet.set(id, (entry.state == WorkerState::On).then(|| weight(&self.settings, &entry)));
            let gone = entry.state == WorkerState::Gone;
            _ = if gone { self.gone.insert(id) } else { self.gone.remove(&id) };
            worker.entry = entry;
            if anew {
                // A restart: it is empty and cold, and past failures say nothing of it.
                // What an earlier life of ours sent it is not known: a fall span passes first.
                let before = self.started.filter(|s| worker.entry.started_at < Some(*s));
                worker.starts(worker.entry.started_at, before.map(|s| s + self.settings.rules.overload_span));
                (worker.failing, worker.barred, worker.bar, worker.down) = (0.0, false, BAR_FIRST, false);
                if known {
                    self.forget_copies(id);
                }
            }
        }
        for id in self.gone.clone() {
            self.forget_copies(id);
            // A cold one may be back, as cold as it was.
            if self.workers[&id].out == 0 && !self.cold(&self.workers[&id]) {
                self.workers.remove(&id);
                self.gone.remove(&id);
            }
        }
        self.release(None);
        if self.nobody() {
            for id in self.held.values().copied().collect::<Vec<_>>() {
                self.answer(id);
            }
        }
    }

    /// No worker is in service: waiting would be silence, so that calls are answered at once. Harm: where a
    /// replacement leaves none in service for a moment, calls are refused that might have waited.
    fn nobody(&self) -> bool {
        self.fleet.is_empty()
    }

    // ---- the ordinary path ----

    fn request(&mut self, request: Request) {
        if self.calls.contains_key(&request.id) || request.class.0 >= self.settings.classes.len() {
            return;
        }
        if self.settings.loading.ration_window > 0 {
            self.taken.push_back(self.now);
        }
        let over = self.over_quota(request.tenant);
        let now = self.now;
        let function = self.remember(request.function);
        function.lanes = request.lanes.max(1);
        function.last = now;
        function.load_time = request.load_time.map(|told| told as f64).or(function.load_time);
        function.arrivals.push_back(now);
        while function.arrivals.front().is_some_and(|&t| t + COUNT_SPAN < now) {
            function.arrivals.pop_front();
        }
        let mut priority = function.arrivals.len() as f64 * function.mean();
        if over {
            // A tenant beyond its quota waits behind the others, by what its calls are still worth.
            priority = (priority + 1.0) / self.settings.over_quota_worth.max(0.01);
        }
        self.sequence += 1;
        let answer_by = self.now + request.left.saturating_sub(self.settings.step);
        let call = Call {
            class: request.class.0,
            function: request.function,
            arrived: self.now,
            answer_by,
            priority: (false, priority as u64, self.sequence),
            ..Call::default()
        };
        self.calls.insert(request.id, call);
        self.due.insert((answer_by, Due::Answer(request.id)));
        self.place(request.id);
    }

    /// Counts a tenant's calls in the last second against this controller's part of its quota.
    fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(id) = tenant else { return false };
        let Some(quota) = self.settings.tenants.get(id.0).and_then(|t| t.quota_per_s) else { return false };
        let taken = self.tenant_taken.entry(id).or_default();
        taken.push_back(self.now);
        while taken.front().is_some_and(|&t| t + 1_000_000 < self.now) {
            taken.pop_front();
        }
        taken.len() as f64 > (quota / f64::from(self.settings.controllers)).max(1.0)
    }

    fn place(&mut self, id: RequestId) {
        if self.nobody() {
            return self.answer(id);
        }
        if let Some((function, class)) = self.calls.get(&id).map(|call| (call.function, call.class)) {
            self.spread(function, class);
        }
        match self.pick(id) {
            Some(worker) if self.known(id, worker) => self.send(id, worker),
            _ => self.hold(id),
        }
    }

    fn known(&mut self, id: RequestId, at: WorkerId) -> bool {
        let Some(call) = self.calls.get_mut(&id) else { return true };
        let Some(worker) = self.workers.get_mut(&at) else { return true };
        // Where only orders load and no copy is known, its worker says so at once, and costs no probe.
        let there = |f: &Function| !f.warm.is_empty() || !f.loading.is_empty();
        let miss = self.settings.loading.when_absent == WhenAbsent::Miss
            && !self.functions.get(&call.function).is_some_and(there);
        let aim = self.settings.classes[call.class].latency_objective as f64;
        let heard = worker.told.map_or(0, |t| t.1).max(worker.strained.1);
        let asks = self.settings.limits.probes && self.settings.reports != Reports::None;
        let blind = worker.told.is_some_and(|(report, _)| report.util.is_none());
        if !asks || blind || miss || worker.barred || (self.now - heard) as f64 <= aim * NEWS_AIMS {
            return true;
        }
        if worker.probed.is_none() && call.probes < NEWS_PROBES {
            call.probes += 1;
            self.probe(at);
            return false;
        }
        worker.probed.is_none_or(|since| (self.now - since) as f64 > aim * NEWS_WAIT)
    }

    fn hold(&mut self, id: RequestId) {
        let asks = self.settings.limits.probes && self.settings.reports != Reports::None;
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.held {
            let (aim, function) = (self.settings.classes[call.class].latency_objective, call.function);
            let mean = self.functions.get(&function).map_or(0.0, Function::mean) as Micros;
            let hope = call.arrived + aim.saturating_sub(mean);
            call.priority.0 = self.now >= hope;
            if !call.priority.0 {
                self.due.insert((hope, Due::Late(id)));
            }
            call.held = true;
            self.held.insert(call.priority, id);
            if let Some(function) = self.functions.get_mut(&function) {
                function.held += 1;
                // Others' calls fill the bound where its copy stands: asked whether the cores are idle.
                let full =
                    |w: &Worker| w.busy >= function.lanes && w.told.is_some_and(|t| t.1 + aim < self.now);
                let home = |id: &&WorkerId| self.workers.get(id).is_some_and(full);
                if let Some(at) = function.warm.keys().find(home).copied().filter(|_| asks) {
                    self.probe(at);
                }
            }
        }
        self.tick_on();
    }

    /// A held call that can't meet its aim waits behind those that can: late answers make others late.
    fn late(&mut self, id: RequestId) {
        if self.calls.get(&id).is_some_and(|call| call.held) {
            self.unhold(id);
            self.hold(id);
        }
    }

    fn tick_on(&mut self) {
        if !self.held.is_empty() && !self.ticking {
            self.ticking = true;
            self.due.insert((self.now + self.tick(), Due::Tick));
        }
    }

    fn tick(&self) -> Micros {
        (self.settings.step * TICK_STEPS).max(TICK_LEAST)
    }

    /// The worker for a call: last warm, else the first along the shared order that may take it.
    fn pick(&mut self, id: RequestId) -> Option<WorkerId> {
        self.order(self.calls.get(&id)?.function);
        let call = &self.calls[&id];
        let function = self.functions.get(&call.function)?;
        if !self.repeatable(call) {
            return None;
        }
        let warm = |w: &WorkerId| self.warm_at(function, *w);
        let last =
            function.warm.iter().filter(|(w, _)| warm(w)).max_by_key(|(w, at)| (**at, **w)).map(|(w, _)| *w);
        let strain = |w: WorkerId| self.strain(function, w, call.class);
        let may = |w: WorkerId| self.may_take(w, call, function, false);
        // Warm workers first, by the order; where all are strained, the least strained; then absent ones.
        let order = |only| self.along(call.function, function, call.class, only);
        let along = || last.into_iter().chain(order(Some(&function.warm)));
        let stand = || along().filter(|w| warm(w) && may(*w) && call.avoid != Some(*w));
        let aim = self.settings.classes[call.class].latency_objective as f64;
        let wait = (aim * NEWS_WAIT) as Micros;
        let asked = function.loading.values().any(|&t| self.now < t + wait);
        let eased = stand().find(|w| strain(*w) < 1.0);
        let least = || stand().map(|w| (strain(w), w)).min_by(|a, b| a.0.total_cmp(&b.0));
        let found = eased.or_else(|| least().filter(|(s, _)| *s < STRAIN_MOST && !asked).map(|(_, w)| w));
        // Last comes the worker that just failed this call.
        let fits = |w: &WorkerId| call.avoid != Some(*w) && !warm(w) && strain(*w) < STRAIN_MOST && may(*w);
        // Asked once for all workers: a sound copy stands, so that none may be begun.
        let began = self.settings.loading.when_absent == WhenAbsent::Load && !function.loading.is_empty();
        let sound = function.warm.keys().any(|w| warm(w) && self.sound(*w));
        let closed = !began && sound;
        // None may be begun: it may at most wait where one is under way.
        let under_way = Some(&function.loading).filter(|_| sound || self.begun(function));
        let first = || {
            let first = order(under_way).filter(|w| fits(w)).take(ABSENT).find(|w| strain(*w) < 1.0);
            first.or_else(|| order(under_way).find(|w| fits(w)))
        };
        // Where only orders load, a full home is waited for: others would not look for a copy elsewhere.
        let turned = |w: WorkerId| function.shun.get(&w).is_some_and(|(_, turned)| *turned >= TURNED_AWAY);
        let open = |w: &WorkerId| self.workers.get(w).is_some_and(|w| !self.shut(w) && !self.cold(w));
        let home = |w: &WorkerId| open(w) && strain(*w) < STRAIN_MOST && !turned(*w);
        let only = self.settings.loading.when_absent == WhenAbsent::Miss && under_way.is_none();
        let home = || if only { order(None).find(home) } else { None };
        let awaited = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.loads > 0);
        let absent = || home().filter(awaited).map_or_else(first, |w| Some(w).filter(fits));
        let found = found
            .or_else(|| if closed { None } else { absent() })
            .or_else(|| call.avoid.filter(|w| strain(*w) < STRAIN_MOST && may(*w)));
        if found.is_some() || self.workers.values().any(|w| w.entry.state == WorkerState::On && !w.barred) {
            return found;
        }
        // Never all barred: with every worker suspect, the least bad takes it.
        let may = |w: &WorkerId| self.may_take(*w, call, function, true);
        let failing = |w: &WorkerId| self.workers.get(w).map_or(1.0, |x| x.failing);
        let place = |w: &WorkerId| self.fleet.place(call.function, *w).map_or(f64::INFINITY, |place| place.0);
        let better = |a: &WorkerId, b: &WorkerId| {
            failing(a).total_cmp(&failing(b)).then_with(|| place(a).total_cmp(&place(b)))
        };
        self.workers.keys().copied().filter(may).min_by(better)
    }

    /// Workers that calls of this class may go to, or be ordered at, as far as it depends on no function.
    pub(crate) fn open(&self, class: usize) -> Candidates {
        let mut open = Candidates::default();
        for (id, worker) in &self.workers {
            let on = worker.entry.state == WorkerState::On;
            if on && !self.shut(worker) && self.cold_room(worker, class) {
                open.push(*id, weight(&self.settings, &worker.entry));
            }
        }
        open
    }

    fn may_take(&self, id: WorkerId, call: &Call, function: &Function, desperate: bool) -> bool {
        let Some(worker) = self.workers.get(&id) else { return false };
        let warm = self.warm_at(function, id);
        let there = function.out.get(&id).copied().unwrap_or(0);
        // Health: a barred worker takes one trial at a time once its bar is over, none of them unsafe.
        let unsafe_call = self.settings.classes[call.class].effect == Effect::NonIdempotent;
        let barred = self.shut(worker) || worker.barred && unsafe_call;
        // The design's bound. Calls that wait for a load use no core: they count for their own function only.
        // One call starts a load; the others wait here, not in the worker's slots.
        let bound = warm && worker.busy >= function.lanes && !self.idle(worker, call.class);
        // Drains: nothing new from the moment it is told.
        worker.entry.state == WorkerState::On
            && !worker.doubt
            && self.effect_permits(call, worker)
            && (!barred || desperate)
            && !bound
            && there < if warm { function.lanes } else { 1 }
            && function.shun.get(&id).is_none_or(|&(until, _)| self.now >= until)
            && (warm || self.may_load(id, worker, function))
            && self.cold_room(worker, call.class)
    }

    /// Its report, no older than an aim, tells of idle cores: others' calls there do not fill the bound.
    fn idle(&self, worker: &Worker, class: usize) -> bool {
        let since = self.now.saturating_sub(self.settings.classes[class].latency_objective);
        worker.told.is_some_and(|(r, at)| at >= since && r.util.is_some_and(|u| u < UTIL_ROOM))
    }

    /// Keyed and unsafe calls that may have run stay where, and while, a repeat is dropped.
    fn effect_permits(&self, call: &Call, worker: &Worker) -> bool {
        let Some((first, _)) = call.ran else { return true };
        let there = self.workers.get(&first).map(|w| &w.entry);
        let scope = match self.settings.classes[call.class].effect {
            Effect::IdempotencyKey { scope: KeyScope::Zone, .. } => {
                there.is_some_and(|t| t.zone == worker.entry.zone)
            }
            Effect::IdempotencyKey { scope: KeyScope::Cell, .. } => {
                there.is_some_and(|t| t.cell == worker.entry.cell)
            }
            _ => true,
        };
        scope && self.repeatable(call)
    }

    /// May this call be sent again, given what may have run? A window's last step may be over when it counts.
    fn repeatable(&self, call: &Call) -> bool {
        let Some((_, since)) = call.ran else { return true };
        match self.settings.classes[call.class].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey { window, .. } => self.now + self.settings.step < since + window,
        }
    }

    fn shut(&self, worker: &Worker) -> bool {
        worker.barred && (self.now < worker.barred_until || worker.down || worker.trial)
    }

    fn sound(&self, id: WorkerId) -> bool {
        let sound = |w: &Worker| w.entry.state == WorkerState::On && !w.barred && !self.cold(w);
        self.workers.get(&id).is_some_and(sound)
    }

    fn load_span(&self, function: &Function) -> f64 {
        function.load_time.or(self.load_mean).unwrap_or(LOAD_GUESS)
    }

    /// May a copy be begun (or waited for) there? One load for a function at a time, few at a worker.
    fn may_load(&self, id: WorkerId, worker: &Worker, function: &Function) -> bool {
        if function.loading.contains_key(&id) {
            return self.settings.loading.when_absent == WhenAbsent::Load;
        }
        if self.begun(function) || worker.loads >= LOADS_AT_WORKER {
            return false;
        }
        !function.warm.keys().any(|w| self.warm_at(function, *w) && self.sound(*w))
    }

    /// Is a load of ours under way that is not taken for stuck?
    fn begun(&self, function: &Function) -> bool {
        let stuck = (self.load_span(function) * STUCK_LOADS) as Micros;
        function.loading.values().any(|&since| self.now < since + stuck)
    }

    /// Rule on cold workers: what one may be sent is dealt out call by call, to one controller after another.
    fn cold_room(&self, worker: &Worker, class: usize) -> bool {
        !self.cold(worker) || self.settings.rules.overload_span == 0 || self.cold_part(worker, class).0
    }

    /// Is a part at a cold worker ours now, and how much will have been dealt out when our next one is?
    fn cold_part(&self, worker: &Worker, class: usize) -> (bool, f64) {
        let (work, all) = (self.work(class).max(1.0), u64::from(self.settings.controllers));
        // Each worker begins with another controller.
        let turn = (u64::from(self.settings.me) + mix(worker.entry.worker.0) % all) % all;
        let (first, round) = (work * (turn + 1) as f64, work * all as f64);
        let (dealt, borne) = self.dealt(worker, self.now);
        // What is not used lapses, or all that had waited would send together: so much may be out at once.
        let kept = (1.0 - COLD_DEALT) * borne + 2.0 * (borne * work).sqrt();
        let before = worker.cold_from.map_or(0.0, |from| self.dealt(worker, from).0);
        let lapsed = ((dealt - kept).max(before) - first) / round;
        let part = (worker.cold_used / round - 1e-6).ceil().max(lapsed.floor() + 1.0);
        (part * round + first <= dealt, (part + 1.0) * round)
    }

    /// Work dealt out to all controllers for a cold worker by a time, and what it bears in a fall span: as of
    /// the span before, as it grows and no window may hold more than what it bore at its beginning.
    fn dealt(&self, worker: &Worker, by: Micros) -> (f64, f64) {
        let (rules, age) = (&self.settings.rules, by.saturating_sub(worker.born.unwrap_or(by)));
        let (fall, late) = (rules.overload_span as f64, age.saturating_sub(rules.overload_span) as f64);
        let grown = late * (1.0 - rules.start_capacity) / rules.warm_up as f64;
        let borne = |from: f64| rules.overload_factor * (rules.start_capacity + grown * from);
        let dealt = borne(0.0) * age as f64 + (borne(0.5) - borne(0.0)) * late;
        (COLD_DEALT * dealt + (1.0 - COLD_DEALT) * borne(0.0) * fall, borne(1.0) * fall)
    }

    /// Core time of a call of this class, as far as seen.
    fn work(&self, class: usize) -> f64 {
        self.class_work[class].unwrap_or(self.settings.classes[class].latency_objective as f64 / 4.0)
    }

    fn send(&mut self, id: RequestId, to: WorkerId) {
        self.unhold(id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let number = call.attempts;
        call.attempts += 1;
        call.out = Some(number);
        let (class, fid) = (call.class, call.function);
        let used = self.workers.get(&to).map_or(0.0, |w| self.cold_part(w, class).1);
        let Some(function) = self.functions.get_mut(&fid) else { return };
        let warm = function.warm.get(&to).is_some_and(|&at| at + self.settings.loading.keep_alive > self.now);
        let loads = !warm && self.settings.loading.when_absent == WhenAbsent::Load;
        let begins = loads && !function.loading.contains_key(&to);
        *function.out.entry(to).or_insert(0) += 1;
        if begins {
            self.load_begins(fid, to);
        }
        let Some(worker) = self.workers.get_mut(&to) else { return };
        if worker.out == 0 {
            worker.heard = self.now;
        }
        worker.out += 1;
        if warm {
            worker.busy += 1;
        }
        let trial = worker.barred;
        worker.trial |= trial;
        worker.cold_used = used;
        self.flights.insert(
            (id, number),
            Flight { worker: to, function: fid, class, sent: self.now, loading: !warm, trial, asked: false },
        );
        self.watch(to);
        self.out.push(Action::Send { request: id, worker: to, timeout: None });
    }

    /// Sets a check for the silence of a worker that owes answers, unless one is set that comes no later.
    fn watch(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        let owed = self.flights.values().filter(|f| f.worker == id);
        let since = |f: &Flight| if f.asked { f.sent.max(worker.heard) } else { f.sent };
        let Some(at) = owed.map(|f| since(f) + self.silence(f)).min() else { return };
        let bar = if worker.barred { worker.barred_until } else { 0 };
        let at = at.max(bar).max(self.now + self.tick());
        if worker.watched.is_none_or(|set| at < set) {
            self.check_at(id, at);
        }
    }

    /// How long a worker may owe an answer before its silence tells.
    fn silence(&self, flight: &Flight) -> Micros {
        let Some(function) = self.functions.get(&flight.function) else { return Micros::MAX / 4 };
        let load = if flight.loading { self.load_span(function) * STUCK_LOADS } else { 0.0 };
        let least = self.settings.classes[flight.class].latency_objective as f64 * SILENT_AIMS;
        ((function.mean() * SILENT_LATENCIES).max(least) + load) as Micros
    }

    fn attempt_ended(
        &mut self,
        key: (RequestId, u32),
        outcome: Outcome,
        finished: bool,
        elapsed: Micros,
        (note, crowd): (Option<LoadNote>, Option<u32>),
    ) {
        let Some(flight) = self.flights.remove(&key) else { return };
        let (id, number) = key;
        let at = flight.worker;
        self.take_back(&flight);
        self.judge(&flight, outcome, elapsed);
        // Where only orders load, what is under way there is an order, and ends with its own answer.
        if self.settings.loading.when_absent == WhenAbsent::Load {
            self.load_over(flight.function, at);
        }
        match outcome {
            Outcome::Ok => self.served(&flight, elapsed as f64, note, crowd),
            Outcome::NotLoaded => {
                // The copy has gone, or its load failed: nothing brings it back by itself. Missed again after
                // an order, it is a new version: what was found warm before that order is void as well.
                let begun = self.functions.get(&flight.function).is_some_and(|f| self.begun(f));
                let ordered = self.functions.get(&flight.function).and_then(|f| f.ordered);
                self.missed(flight.function, at, ordered);
                if self.settings.loading.when_absent == WhenAbsent::Miss && !begun {
                    self.order_copy(flight.function, at);
                }
            }
            // No room for a copy says nothing of the cores: that function goes elsewhere for a while.
            Outcome::Rejected if flight.loading => self.shun(flight.function, at, 1),
            Outcome::Rejected => self.strained(at, STRAIN_FULL),
            _ => {}
        }
        if finished {
            self.finish(id);
        } else if let Some(call) = self.calls.get_mut(&id) {
            call.out = call.out.filter(|out| *out != number);
            let unsent = matches!(outcome, Outcome::ConnectFailed | Outcome::PartlySent | Outcome::NeverSent);
            if !unsent && !matches!(outcome, Outcome::Rejected | Outcome::NotLoaded) {
                call.ran = call.ran.or(Some((at, flight.sent)));
            }
            if outcome != Outcome::NotLoaded {
                call.avoid = Some(at);
            }
            self.again(id, outcome);
        }
        self.release(Some(at));
    }

    fn served(&mut self, flight: &Flight, elapsed: f64, note: Option<LoadNote>, crowd: Option<u32>) {
        let at = flight.worker;
        self.found(flight.function, at);
        let Some(function) = self.functions.get_mut(&flight.function) else { return };
        let loaded = matches!(note, Some(LoadNote::Began | LoadNote::Waited));
        let aim = self.settings.classes[flight.class].latency_objective.max(1) as f64;
        let ours = function.out.get(&at).copied().unwrap_or(0);
        let held = f64::from(crowd.unwrap_or(0).max(ours)) / f64::from(function.lanes.max(1));
        function.told.insert(at, (held, self.now));
        if note == Some(LoadNote::Began) && flight.loading {
            let span = (elapsed - function.mean()).max(0.0);
            self.learn_load(flight.function, span);
        } else if !loaded && (note.is_some() || !flight.loading) {
            function.latencies.push_back(elapsed);
            if function.latencies.len() > SAMPLES {
                function.latencies.pop_front();
            }
            if self.workers.get(&at).is_some_and(|w| w.out == 0) {
                blend(&mut self.class_work[flight.class], elapsed, WORK_WEIGHT);
            }
        }
        self.strained(at, if loaded { 0.0 } else { elapsed / (aim * STRAIN_AIM) });
    }

    /// Where all workers known to hold the function are strained, a copy is ordered at the next of the shared
    /// order, the same at every controller; one that stands there already is found by the same order.
    fn spread(&mut self, id: FunctionId, class: usize) {
        self.order(id);
        let Some(function) = self.functions.get(&id) else { return };
        let stands = |w: &WorkerId| self.warm_at(function, *w);
        let eased = |w: &WorkerId| self.sound(*w) && self.strain(function, *w, class) < 1.0;
        let mut standing = function.warm.keys().filter(|w| stands(w)).peekable();
        if !function.loading.is_empty() || standing.peek().is_none() || standing.any(eased) {
            return;
        }
        let shunned = |w: &WorkerId| function.shun.get(w).is_some_and(|&(until, _)| until > self.now);
        let next = self.along(id, function, class, None).find(|w| !stands(w) && !shunned(w) && eased(w));
        if let Some(at) = next {
            self.order_copy(id, at);
        }
    }

    fn strain(&self, function: &Function, id: WorkerId, class: usize) -> f64 {
        let aim = self.settings.classes[class].latency_objective.max(1) as f64;
        let aged = |(s, at): (f64, Micros)| s - self.now.saturating_sub(at) as f64 / aim;
        let there = function.told.get(&id).map_or(0.0, |told| aged(*told));
        let Some(worker) = self.workers.get(&id) else { return there };
        if worker.probed.is_some_and(|since| self.now.saturating_sub(since) as f64 > aim * NEWS_WAIT) {
            return STRAIN_FULL;
        }
        let told = worker.told.map_or(0.0, |(report, at)| {
            let util = report.util.unwrap_or(1.0);
            let held =
                report.inflight.map_or(util, |n| (n + 1.0) * self.work(class) / CORES / (aim * STRAIN_AIM));
            aged((if util < UTIL_ROOM { util } else { held }, at))
        });
        aged(worker.strained).max(there).max(told)
    }

    fn learn_load(&mut self, id: FunctionId, span: f64) {
        if let Some(function) = self.functions.get_mut(&id) {
            blend(&mut function.load_time, span, LOAD_WEIGHT);
        }
        blend(&mut self.load_mean, span, LOAD_WEIGHT);
    }

    /// Another attempt if the effect and the count permit, else the final answer.
    fn again(&mut self, id: RequestId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let spent = call.attempts >= self.settings.limits.max_attempts || outcome == Outcome::NeverSent;
        if spent || !self.repeatable(call) || self.now >= call.answer_by {
            self.answer(id);
        } else {
            self.place(id);
        }
    }

    /// The final answer by us: refused where a further try is harmless, else failed.
    fn answer(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        let clean = call.out.is_none() && call.ran.is_none();
        let effect = self.settings.classes[call.class].effect;
        let harmless =
            matches!(effect, Effect::Idempotent | Effect::IdempotencyKey { scope: KeyScope::All, .. });
        self.out.push(if clean || harmless {
            Action::Refuse { request: id, retry_after: None }
        } else {
            Action::Fail { request: id }
        });
        // With one attempt permitted, a miss that ends its call orders a copy for the calls to come.
        if self.settings.limits.max_attempts > 1 { self.client_gone(id) } else { self.close(id) }
    }

    /// Ends a call: what is out for it is stopped where that is permitted.
    fn close(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(attempt) = call.out.filter(|_| self.settings.limits.cancel && !call.streaming) {
            self.out.push(Action::Cancel { request: id, attempt });
        }
        self.finish(id);
    }

    /// A load that only this call waited for is not wanted any more, where its order has not left.
    fn client_gone(&mut self, id: RequestId) {
        let Some(function) = self.calls.get(&id).map(|call| call.function) else { return };
        self.close(id);
        if let Some(f) = self.functions.get(&function).filter(|f| f.held == 0 && f.out.is_empty()) {
            self.out.extend(f.loading.keys().map(|at| Action::CancelLoad { worker: *at, function }));
        }
    }

    /// An answer that has begun belongs to the client, and shows that its copy stands: taken for a load, a
    /// long stream would hold others back. Harm: a load's time as learnt here holds work up to a part.
    fn stream_started(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.streaming = true;
        let (by, key) = (call.answer_by, call.out.map(|number| (id, number)));
        self.due.remove(&(by, Due::Answer(id)));
        let Some(flight) = key.and_then(|key| self.flights.get_mut(&key)).filter(|f| f.loading) else {
            return;
        };
        flight.loading = false;
        let (at, function, span) = (flight.worker, flight.function, (self.now - flight.sent) as f64);
        if let Some(worker) = self.workers.get_mut(&at) {
            worker.busy += 1;
        }
        self.load_over(function, at);
        self.found(function, at);
        self.learn_load(function, span);
        self.release(Some(at));
    }

    /// The one health estimate: a share of recent outcomes that failed, whatever the way.
    fn judge(&mut self, flight: &Flight, outcome: Outcome, elapsed: Micros) {
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        let refused = outcome == Outcome::ConnectFailed && elapsed < self.settings.limits.connect_timeout / 2;
        match outcome {
            Outcome::Ok => self.count(flight.worker, None, flight.trial),
            Outcome::NotLoaded | Outcome::Rejected => worker.heard = self.now,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NeverSent => {}
            // What no worker ever served may itself be at fault: its errors tell nothing of the worker.
            Outcome::Error if !self.served_before(flight.function) => {}
            Outcome::Reset | Outcome::PartlySent if self.settings.limits.probes => {
                if self.doubt(flight.worker) {
                    self.count(flight.worker, Some(BROKE_WEIGHT), flight.trial);
                }
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::PartlySent => {
                if refused || outcome == Outcome::Reset {
                    self.died(flight.worker);
                }
                self.count(flight.worker, Some(FAIL_WEIGHT), flight.trial);
            }
        }
    }

    /// Its process died: when it answers again it has started anew, whatever the list says.
    fn died(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.starts(Some(self.now), None);
        self.forget_copies(id);
        self.bar(id, "it is down", true);
    }

    /// A connection that broke, or is silent, may have failed alone: nothing new goes there until a probe has
    /// told. What breaks together counts once: true for the first. Harm: in `docs/design.md`.
    fn doubt(&mut self, id: WorkerId) -> bool {
        let Some(worker) = self.workers.get_mut(&id) else { return false };
        let first = !std::mem::replace(&mut worker.doubt, true);
        if first {
            self.probe(id);
        }
        first
    }

    fn probe(&mut self, id: WorkerId) {
        if let Some(worker) = self.workers.get_mut(&id).filter(|w| w.probed.is_none()) {
            worker.probed = Some(self.now);
            self.out.push(Action::Probe { worker: id });
        }
    }

    /// One outcome in a worker's failing share: a failure of this weight, or `None`, an answer.
    fn count(&mut self, id: WorkerId, failure: Option<f64>, trial: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let failed = failure.is_some();
        if !failed {
            worker.heard = self.now;
        }
        worker.failing += (f64::from(u8::from(failed)) - worker.failing) * failure.unwrap_or(FAIL_WEIGHT);
        // A bar lifts well below where it falls: one good answer of a worker that fails half is no recovery.
        if worker.barred && worker.failing < FAIL_BAR / 2.0 {
            (worker.barred, worker.bar) = (false, BAR_FIRST);
            self.out.push(Action::Log(format!("worker {} serves again", id.0)));
        } else if failed && !worker.down && if worker.barred { trial } else { worker.failing >= FAIL_BAR } {
            self.bar(id, "it fails", false);
        }
    }

    /// A worker that is down is tried by probes: calls of hundreds would push it over as it returns, cold.
    fn bar(&mut self, id: WorkerId, why: &str, down: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if !worker.barred {
            self.out.push(Action::Log(format!("worker {} barred: {why}", id.0)));
        }
        worker.barred = true;
        worker.down |= down && self.settings.limits.probes;
        worker.barred_until = self.now + worker.bar;
        worker.bar = (worker.bar * 2).min(BAR_LONGEST);
        if worker.down {
            let at = worker.barred_until;
            self.check_at(id, at);
        }
    }

    fn probed(&mut self, id: WorkerId, outcome: Outcome, report: Option<Report>) {
        if let Some(report) = report {
            self.news(id, report);
        }
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let since = worker.probed.take();
        let (doubted, again) = (std::mem::take(&mut worker.doubt), std::mem::take(&mut worker.unanswered));
        let quick = since.is_some_and(|t| self.now < t + self.settings.limits.connect_timeout / 2);
        if outcome == Outcome::Ok {
            worker.heard = self.now;
            if worker.down {
                (worker.failing, worker.barred, worker.bar, worker.down) = (0.0, false, BAR_FIRST, false);
                if worker.born != worker.entry.started_at {
                    worker.starts(Some(self.now), None);
                }
            }
            for function in std::mem::take(&mut worker.lost) {
                self.load_over(function, id);
                self.order_copy(function, id);
            }
        } else if outcome == Outcome::ConnectFailed && quick {
            self.died(id);
        } else {
            let broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent);
            if !broke {
                // One that waits in a queue and times out tells of a crowd; silence is told by what is owed.
                self.strained(id, STRAIN_FULL);
            }
            let worker = &self.workers[&id];
            let owed = since.is_some_and(|t| worker.heard <= t)
                && self.flights.values().any(|f| self.overdue(id, worker, f));
            let asked = self.flights.values().any(|f| f.worker == id && f.asked);
            if outcome == Outcome::ConnectFailed || worker.down || owed && again {
                self.bar_silent(id);
            } else if broke {
                // It tells nothing: asked once more in a while.
                self.workers.get_mut(&id).expect("just seen").doubt = true;
                self.check_at(id, self.now + DOUBT_WAIT);
            } else if (owed || asked || doubted) && !again {
                // Its connection may have failed alone: asked at once on another.
                self.probe(id);
                let worker = self.workers.get_mut(&id).expect("just seen");
                (worker.unanswered, worker.doubt) = (true, owed || doubted);
            }
        }
        self.watch(id);
        self.release(None);
    }

    /// After a miss one copy is ordered there, within the ration.
    fn order_copy(&mut self, id: FunctionId, at: WorkerId) {
        self.settle(id);
        let on = self.workers.get(&at).is_some_and(|w| w.entry.state == WorkerState::On);
        let ordered = self.functions.get(&id).is_none_or(|f| f.loading.contains_key(&at));
        if !on || !self.settings.loading.orders || ordered {
            return;
        }
        if !self.ration() {
            return self.shun(id, at, 1);
        }
        let function = self.functions.get_mut(&id).expect("just seen");
        function.ordered = Some(self.now);
        self.load_begins(id, at);
        self.out.push(Action::Load { worker: at, function: id, count: 1 });
    }

    fn ration(&mut self) -> bool {
        let loading = &self.settings.loading;
        if loading.ration_window == 0 {
            return true;
        }
        // Orders count a step longer and requests a step shorter than told: edges fall our way.
        let step = self.settings.step;
        while self.orders.front().is_some_and(|&t| t + loading.ration_window + step < self.now) {
            self.orders.pop_front();
        }
        while self.taken.front().is_some_and(|&t| t + loading.ration_window < self.now + step) {
            self.taken.pop_front();
        }
        // What an earlier life gave within the window is not known: at its worst, all of the floor.
        let fresh = self.started.is_some_and(|s| self.now < s + loading.ration_window + step);
        let floor = if loading.unknown_prior_orders && fresh { 0.0 } else { loading.ration_floor };
        let most = floor + loading.ration_share * self.taken.len() as f64;
        if (self.orders.len() + 1) as f64 > most {
            return false;
        }
        self.orders.push_back(self.now);
        true
    }

    fn loaded(&mut self, at: WorkerId, id: FunctionId, outcome: Outcome, copies: u32, elapsed: Micros) {
        if !self.functions.get(&id).is_some_and(|f| f.loading.contains_key(&at)) {
            return;
        }
        let broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent | Outcome::Timeout)
            && self.settings.limits.probes
            && elapsed < self.settings.loading.order_timeout;
        let on = |w: &&mut Worker| broke && w.entry.state == WorkerState::On;
        if let Some(worker) = self.workers.get_mut(&at).filter(on) {
            // It stands if it came whole: given again once a probe was answered.
            worker.lost.insert(id);
            self.doubt(at);
            return;
        }
        self.load_over(id, at);
        if outcome == Outcome::Ok || copies > 0 {
            self.found(id, at);
            self.functions.get_mut(&id).expect("just seen").shun.remove(&at);
            if elapsed > TICK_LEAST {
                // One answered at once found a copy that stood: no load.
                self.learn_load(id, elapsed as f64);
            }
        } else if outcome != Outcome::Cancelled {
            self.shun(id, at, if outcome == Outcome::Rejected { 1 } else { TURNED_AWAY });
        }
        self.release(None);
    }

    fn shun(&mut self, id: FunctionId, at: WorkerId, times: u32) {
        let Some(function) = self.functions.get(&id) else { return };
        let until = self.now + (self.load_span(function) * SHUN_LOADS) as Micros;
        let shun = &mut self.functions.get_mut(&id).expect("just seen").shun;
        let turned = shun.get(&at).map_or(0, |(_, turned)| *turned);
        shun.insert(at, (until, turned.saturating_add(times)));
    }

    /// An answer, or a change anywhere: the lowest held that have room go, each along its own order.
    fn release(&mut self, at: Option<WorkerId>) {
        let mut without = BTreeSet::new();
        for id in self.held.values().take(SCAN).copied().collect::<Vec<_>>() {
            let Some(call) = self.calls.get(&id) else { continue };
            let key = (call.function, call.class, call.avoid, call.ran);
            if without.contains(&key) {
                continue;
            }
            let Some(function) = self.functions.get(&call.function) else { continue };
            let room = at.is_none_or(|w| self.may_take(w, call, function, false));
            match if room { self.pick(id) } else { None } {
                Some(worker) if !self.known(id, worker) => {}
                Some(worker) => self.send(id, worker),
                None => _ = without.insert(key),
            }
        }
    }

    fn run_due(&mut self) {
        while let Some(&(at, due)) = self.due.first() {
            if at > self.now {
                break;
            }
            self.due.pop_first();
            match due {
                Due::Answer(id) => self.answer(id),
                Due::Late(id) => self.late(id),
                Due::Silence(id) => self.silent(id),
                Due::Ask => self.out.push(Action::Watch),
                Due::Tick => {
                    self.ticking = false;
                    self.release(None);
                    self.tick_on();
                }
            }
        }
        if self.now > self.swept + COUNT_SPAN {
            self.sweep();
        }
        self.sweep_resting();
    }

    /// A worker that owes answers and has sent nothing for long is barred; safe calls there are withdrawn and
    /// go elsewhere. Answers to silence of the machine, of the link, and of a process that hangs.
    fn silent(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.watched = None;
        let worker = &self.workers[&id];
        let (state, down, doubt) = (worker.entry.state, worker.down, worker.doubt);
        let overdue = self.flights.values().any(|f| self.overdue(id, worker, f));
        let late = |f: &Flight| f.worker == id && !f.asked && self.now >= f.sent + self.silence(f);
        let late: Vec<_> = self.flights.iter().filter(|(_, f)| late(f)).map(|(key, _)| *key).collect();
        for key in &late {
            self.flights.get_mut(key).expect("just seen").asked = true;
            // Others that went there were answered since, and it is not crowded: this one is lost.
            let flight = &self.flights[key];
            let eased = |f| self.strain(f, id, flight.class) < 1.0;
            let eased = self.functions.get(&flight.function).is_some_and(eased);
            if flight.sent < self.workers[&id].heard && !flight.loading && eased {
                self.recall(*key);
            }
        }
        if !down && !doubt && !overdue && late.is_empty() {
            self.watch(id);
        } else if self.settings.limits.probes && state == WorkerState::On {
            // A probe tells a machine that is silent from one that is slow.
            self.probe(id);
        } else if self.workers[&id].probed.is_none() && (down || overdue) {
            self.bar_silent(id);
        }
    }

    fn overdue(&self, id: WorkerId, worker: &Worker, flight: &Flight) -> bool {
        flight.worker == id && self.now >= flight.sent.max(worker.heard) + self.silence(flight)
    }

    /// Withdraws a safe attempt, so that its call may go elsewhere. Harm: slow work is done twice.
    fn recall(&mut self, (request, attempt): (RequestId, u32)) {
        let Some(call) = self.calls.get(&request) else { return };
        let safe = self.settings.classes[call.class].effect == Effect::Idempotent;
        let room = call.attempts < self.settings.limits.max_attempts;
        if safe && room && call.out == Some(attempt) && !call.streaming && self.settings.limits.cancel {
            self.out.push(Action::Cancel { request, attempt });
        }
    }

    fn bar_silent(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        let owed = self.flights.iter().filter(|(_, f)| self.overdue(id, worker, f)).map(|(key, _)| *key);
        for key in owed.collect::<Vec<_>>() {
            self.recall(key);
        }
        let worker = self.workers.get_mut(&id).expect("just seen");
        worker.failing = worker.failing.max(FAIL_BAR);
        self.bar(id, "it is silent", true);
        self.watch(id);
    }
}

fn weight(settings: &Settings, entry: &WorkerEntry) -> f64 {
    let sized = matches!(settings.weights, Weights::Nominal | Weights::Rough);
    if sized && entry.weight > 0.0 { entry.weight } else { 1.0 }
}
