//! Every decision of the controller, and every tuned value. Its types are in `src/interface.rs`.
//!
//! The ordinary path is the design page's: a call goes to the worker last found warm for its function while
//! our requests there are under the function's lanes, else to the next worker under that bound along the
//! function's hash order, which all controllers share, else it is held at priority count x mean latency,
//! fixed at arrival; each answer releases the lowest held that has room. All else is a guard: on whether a
//! worker may take a request now (`may_take`), or at a request's end (`attempt_ended`, `out_of_time`).

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;

/// Served latencies kept per function, and the span over which its arrivals count: the design page's.
const SAMPLES: usize = 10;
const COUNT_SPAN: Micros = 10_000_000;
/// Held requests looked at for one answer: bounds the work per event.
const SCAN: usize = 512;
/// How often held requests are looked at without an answer: room also comes back with time. In steps, but
/// no oftener than this span, which is far under any aim that a load would fit in.
const TICK_STEPS: Micros = 4;
const TICK_LEAST: Micros = 20_000;
/// A load's time before any was told or seen: that of a middling program.
const LOAD_GUESS: f64 = 1_000_000.0;
/// A further copy is begun when our own traffic fills this share of the lanes of those that stand: copies
/// beyond that push others out of memory, and a fleet that loads what it just unloaded serves nobody.
const SPILL_FILL: f64 = 0.7;
/// Or when our calls held for it would wait this share of a load.
const SPILL_WAIT: f64 = 0.5;
/// ... and they are this share of all we hold.
const SPILL_QUEUE: f64 = 0.1;
/// For that, a latency counts up to this many times the work seen at idle workers: the rest is queueing.
const LATENCY_MOST: f64 = 2.0;
/// A load that has taken this many times what it should is taken for stuck: another may begin elsewhere.
const STUCK_LOADS: f64 = 3.0;
/// Loads of ours waited for at one worker at once: workers run few at a time.
const LOADS_AT_WORKER: usize = 2;
/// Weight of one outcome in a worker's failing share, and the share from which it is barred: two failures
/// in a row bar it, one amid successes does not.
const FAIL_WEIGHT: f64 = 0.3;
const FAIL_BAR: f64 = 0.5;
/// First span of a bar, doubled at each failed trial up to the longest: a process restarts in seconds.
const BAR_FIRST: Micros = 500_000;
const BAR_LONGEST: Micros = 4_000_000;
/// A worker that owes answers and has sent none for this many mean latencies of what it owes is silent.
/// The least is the aim of the class: a slow answer is no silence.
const SILENT_LATENCIES: f64 = 6.0;
/// Part of the cold allowance that is used: what is in flight between controllers is not seen.
const COLD_MARGIN: f64 = 0.7;
/// After a "full", a worker is left alone for this many of the function's mean latencies.
const FULL_LATENCIES: f64 = 1.0;
/// After a "full" we have at most this share of what was out there; each call served widens it again, up to
/// a width that binds nothing. All controllers that meet a full worker shrink, so their sum follows its room.
const WINDOW_CUT: f64 = 0.7;
const WINDOW_MOST: f64 = 64.0;
/// A worker where a load failed or found no room is left alone by that function for this share of a load.
const SHUN_LOADS: f64 = 0.5;
/// Time kept for the way of an answer, in steps, before the client's deadline.
const ANSWER_STEPS: Micros = 1;
/// Waits before asking a list that failed again: the first, doubled up to a share of `must_ask_in`.
const ASK_FIRST: Micros = 200_000;
/// Functions without calls for this many keep-alives or counting spans are forgotten.
const FORGET_SPANS: Micros = 3;
/// The module sets timers under one tag.
const TAG: u64 = 1;

struct Worker {
    entry: WorkerEntry,
    /// Attempts out: all, and those on copies thought warm (the bound of the design counts these).
    out: u32,
    busy: u32,
    loads: usize,
    /// Failing share, whether a bar stands, till when and how long the next one lasts, trial under way.
    failing: f64,
    barred: bool,
    barred_until: Micros,
    bar: Micros,
    trial: bool,
    /// When it last answered anything, and whether a check for its silence is set.
    heard: Micros,
    watched: bool,
    probed: Option<Micros>,
    full_until: Micros,
    /// What we may have out there at once: shrinks when it turns calls away, grows as it serves.
    window: f64,
    /// When it came up, as far as known; what we sent while cold: when and how much work.
    born: Option<Micros>,
    cold_sends: VecDeque<(Micros, f64)>,
}

#[derive(Default)]
struct Function {
    latencies: VecDeque<f64>,
    arrivals: VecDeque<Micros>,
    lanes: u32,
    load_time: Option<f64>,
    last_warm: Option<(WorkerId, Micros)>,
    warm: BTreeMap<WorkerId, Micros>,
    loading: BTreeMap<WorkerId, Micros>,
    shun: BTreeMap<WorkerId, Micros>,
    out: BTreeMap<WorkerId, u32>,
    held: u32,
    last: Micros,
    order: Vec<WorkerId>,
    epoch: u64,
}

impl Function {
    fn mean(&self) -> f64 {
        if self.latencies.is_empty() {
            0.0
        } else {
            self.latencies.iter().sum::<f64>() / self.latencies.len() as f64
        }
    }
}

type Priority = (bool, u64, u64);

struct Call {
    class: usize,
    function: FunctionId,
    arrived: Micros,
    answer_by: Micros,
    /// Late (past hope of its aim), count x mean, order of arrival.
    priority: Priority,
    attempts: u32,
    out: Option<u32>,
    held: bool,
    /// The first attempt that may have run: where and when.
    ran: Option<(WorkerId, Micros)>,
    /// Where the last attempt failed: tried again only when nothing else will do.
    avoid: Option<WorkerId>,
    streaming: bool,
}

struct Flight {
    worker: WorkerId,
    function: FunctionId,
    class: usize,
    sent: Micros,
    loading: bool,
    trial: bool,
}

/// What is eased when no worker may take a call: nothing, the bound at workers with a warm copy, or the bars.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ease {
    None,
    Crowd,
    Suspects,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Answer(RequestId),
    Late(RequestId),
    Silence(WorkerId),
    Tick,
    Ask,
}

/// One controller's decisions.
pub struct Controller {
    settings: Settings,
    random: u64,
    /// The time of the event in hand, and what has been decided on it so far.
    now: Micros,
    out: Vec<Action>,
    started: Option<Micros>,
    workers: BTreeMap<WorkerId, Worker>,
    epoch: u64,
    functions: BTreeMap<FunctionId, Function>,
    calls: BTreeMap<RequestId, Call>,
    held: BTreeMap<Priority, RequestId>,
    flights: BTreeMap<(RequestId, u32), Flight>,
    due: BTreeSet<(Micros, Due)>,
    armed: Option<Micros>,
    ticking: bool,
    sequence: u64,
    /// Mean latency per class at workers where we had nothing else out: near the work itself.
    class_work: Vec<Option<f64>>,
    load_mean: Option<f64>,
    orders: VecDeque<Micros>,
    taken: VecDeque<Micros>,
    tenant_taken: BTreeMap<TenantId, VecDeque<Micros>>,
    ask_wait: Micros,
    swept: Micros,
}

fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

impl Controller {
    /// A controller that has seen nothing yet. `seed` is its only source of chance.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        if settings.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if settings.controllers == 0 {
            return Err(SettingsError::NoControllers);
        }
        if settings.me >= settings.controllers {
            return Err(SettingsError::NotAmongControllers);
        }
        if settings.limits.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        Ok(Self {
            class_work: vec![None; settings.classes.len()],
            settings,
            random: seed,
            now: 0,
            out: Vec::new(),
            started: None,
            workers: BTreeMap::new(),
            epoch: 1,
            functions: BTreeMap::new(),
            calls: BTreeMap::new(),
            held: BTreeMap::new(),
            flights: BTreeMap::new(),
            due: BTreeSet::new(),
            armed: None,
            ticking: false,
            sequence: 0,
            load_mean: None,
            orders: VecDeque::new(),
            taken: VecDeque::new(),
            tenant_taken: BTreeMap::new(),
            ask_wait: ASK_FIRST,
            swept: 0,
        })
    }

    /// Takes in one event at the time `now`, and appends what is to be done to `actions`.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = now;
        if self.started.is_none() {
            self.started = Some(now);
            if self.settings.discovery == Discovery::Ask {
                self.out.push(Action::Watch);
            }
        }
        match event {
            Event::Workers { form, entries } => self.workers_told(form, entries),
            Event::Request(request) => self.request(request),
            Event::Outcome { request, attempt, outcome, finished, elapsed, note, .. } => {
                self.attempt_ended(request, attempt, outcome, finished, elapsed, note);
            }
            Event::Started { request, .. } => self.stream_started(request),
            Event::Loaded { worker, function, outcome, copies, elapsed } => {
                self.loaded(worker, function, outcome, copies, elapsed);
            }
            Event::Probed { worker, outcome, .. } => self.probed(worker, outcome),
            Event::Timer { .. } | Event::Message { .. } => {}
            Event::ClientGone { request } => self.client_gone(request),
        }
        self.run_due();
        self.arm();
        actions.append(&mut self.out);
    }

    // ---- the list of workers ----

    fn workers_told(&mut self, form: ListForm, entries: Vec<WorkerEntry>) {
        if form == ListForm::Failed {
            if self.settings.discovery == Discovery::Ask {
                // Asked again after a wait that grows, so that a fleet of askers does not keep the list down;
                // never so long that what the list held meanwhile is deemed told.
                self.random = mix(self.random);
                let wait = self.ask_wait / 2 + self.random % (self.ask_wait / 2).max(1);
                self.due.insert((self.now + wait, Due::Ask));
                let most = (self.settings.rules.must_ask_in / 4).max(ASK_FIRST);
                self.ask_wait = (self.ask_wait * 2).min(most);
            }
            return;
        }
        if form != ListForm::Restored {
            self.ask_wait = ASK_FIRST;
        }
        if form != ListForm::Changes {
            let named: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            for (id, worker) in &mut self.workers {
                if !named.contains(id) {
                    worker.entry.state = WorkerState::Gone;
                }
            }
        }
        for entry in entries {
            let id = entry.worker;
            let anew = match self.workers.get_mut(&id) {
                Some(known) => {
                    let anew = entry.born.is_some() && entry.born != known.entry.born;
                    known.entry = entry;
                    anew
                }
                None => {
                    let worker = Worker {
                        born: entry.born,
                        entry,
                        out: 0,
                        busy: 0,
                        loads: 0,
                        failing: 0.0,
                        barred: false,
                        barred_until: 0,
                        bar: BAR_FIRST,
                        trial: false,
                        heard: self.now,
                        watched: false,
                        probed: None,
                        full_until: 0,
                        window: WINDOW_MOST,
                        cold_sends: VecDeque::new(),
                    };
                    self.workers.insert(id, worker);
                    false
                }
            };
            if anew {
                // A restart: it is empty and cold, and past failures say nothing of it.
                let worker = self.workers.get_mut(&id).expect("just seen");
                worker.born = worker.entry.born;
                worker.failing = 0.0;
                worker.barred = false;
                worker.bar = BAR_FIRST;
                worker.trial = false;
                self.forget_copies(id);
            }
        }
        let gone: Vec<WorkerId> = self
            .workers
            .iter()
            .filter(|(_, w)| w.entry.state == WorkerState::Gone)
            .map(|(id, _)| *id)
            .collect();
        for id in gone {
            self.forget_copies(id);
            if self.workers[&id].out == 0 {
                self.workers.remove(&id);
            }
        }
        self.epoch += 1;
        self.release_all();
    }

    fn forget_copies(&mut self, id: WorkerId) {
        for function in self.functions.values_mut() {
            function.warm.remove(&id);
            function.loading.remove(&id);
            if function.last_warm.is_some_and(|(w, _)| w == id) {
                function.last_warm = None;
            }
        }
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.loads = 0;
        }
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
        let function = self.functions.entry(request.function).or_default();
        function.lanes = request.lanes.max(1);
        function.last = self.now;
        if let Some(told) = request.load_time {
            function.load_time = Some(told as f64);
        }
        function.arrivals.push_back(self.now);
        while function.arrivals.front().is_some_and(|&t| t + COUNT_SPAN < self.now) {
            function.arrivals.pop_front();
        }
        let mut priority = function.arrivals.len() as f64 * function.mean();
        if over {
            // A tenant beyond its quota waits behind the others, by what its calls are still worth.
            priority = (priority + 1.0) / self.settings.over_quota_worth.max(0.01);
        }
        self.sequence += 1;
        let answer_by = self.now + request.left.saturating_sub(ANSWER_STEPS * self.settings.step);
        let call = Call {
            class: request.class.0,
            function: request.function,
            arrived: self.now,
            answer_by,
            priority: (false, priority as u64, self.sequence),
            attempts: 0,
            out: None,
            held: false,
            ran: None,
            avoid: None,
            streaming: false,
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
        match self.pick(id) {
            Some(worker) => self.send(id, worker),
            None => self.hold(id),
        }
    }

    fn hold(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if !call.held {
            let mean = self.functions.get(&call.function).map_or(0.0, Function::mean) as Micros;
            let hope = call.arrived + self.settings.classes[call.class].aim.saturating_sub(mean);
            call.priority.0 = self.now >= hope;
            if !call.priority.0 {
                self.due.insert((hope, Due::Late(id)));
            }
            call.held = true;
            self.held.insert(call.priority, id);
            if let Some(function) = self.functions.get_mut(&call.function) {
                function.held += 1;
            }
        }
        if !self.ticking {
            self.ticking = true;
            self.due.insert((self.now + self.tick(), Due::Tick));
        }
    }

    /// A held call that can't meet its aim any more waits behind those that can: in overload, room spent on
    /// late answers makes the next ones late too.
    fn late(&mut self, id: RequestId) {
        if self.calls.get(&id).is_some_and(|call| call.held) {
            self.unhold(id);
            self.hold(id);
        }
    }

    fn unhold(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.held {
            call.held = false;
            self.held.remove(&call.priority);
            if let Some(function) = self.functions.get_mut(&call.function) {
                function.held = function.held.saturating_sub(1);
            }
        }
    }

    fn tick(&self) -> Micros {
        (self.settings.step * TICK_STEPS).max(TICK_LEAST)
    }

    /// The worker for a call: last warm, else the first along the shared order that may take it.
    fn pick(&mut self, id: RequestId) -> Option<WorkerId> {
        let call = self.calls.get(&id)?;
        self.order(call.function);
        let call = &self.calls[&id];
        let function = self.functions.get(&call.function)?;
        let keep = self.settings.loading.keep_alive;
        if let Some((worker, at)) = function.last_warm
            && at + keep > self.now
            && call.avoid != Some(worker)
            && self.may_take(worker, call, function, Ease::None)
        {
            return Some(worker);
        }
        let mut second = None;
        for &worker in &function.order {
            if self.may_take(worker, call, function, Ease::None) {
                if call.avoid != Some(worker) {
                    return Some(worker);
                }
                second = Some(worker);
            }
        }
        // Other functions' calls may fill the bound at every warm copy: its own lanes then decide.
        let crowd = || function.order.iter().find(|w| self.may_take(**w, call, function, Ease::Crowd));
        if let Some(worker) = second.or_else(|| crowd().copied()) {
            return Some(worker);
        }
        // Never all barred: with every worker suspect, the least bad takes it.
        let barred = |w: &Worker| w.entry.state == WorkerState::On && !w.barred;
        if self.workers.values().any(barred) {
            return None;
        }
        let mut best: Option<(f64, WorkerId)> = None;
        for &worker in &function.order {
            if self.may_take(worker, call, function, Ease::Suspects) {
                let failing = self.workers[&worker].failing;
                if best.is_none_or(|(f, _)| failing < f) {
                    best = Some((failing, worker));
                }
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// The function's rendezvous order, the same at every controller that holds the same list.
    fn order(&mut self, id: FunctionId) {
        let Some(function) = self.functions.get_mut(&id) else { return };
        if function.epoch == self.epoch {
            return;
        }
        let sized = matches!(self.settings.weights, Weights::Nominal | Weights::Rough);
        let mut scored: Vec<(f64, WorkerId)> = Vec::with_capacity(self.workers.len());
        for (worker, w) in &self.workers {
            if w.entry.state != WorkerState::On {
                continue;
            }
            let hash = mix(mix(id.0) ^ mix(worker.0.wrapping_mul(0x2545_f491_4f6c_dd1d)));
            let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            let weight = if sized && w.entry.weight > 0.0 { w.entry.weight } else { 1.0 };
            scored.push((-unit.min(0.999_999_999).ln() / weight, *worker));
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        function.order.clear();
        function.order.extend(scored.iter().map(|(_, w)| *w));
        function.epoch = self.epoch;
    }

    // ---- may this worker take this request now? ----

    fn may_take(&self, id: WorkerId, call: &Call, function: &Function, ease: Ease) -> bool {
        let Some(worker) = self.workers.get(&id) else { return false };
        // Drains: nothing new from the moment it is told.
        if worker.entry.state != WorkerState::On {
            return false;
        }
        // Keyed and unsafe calls that may have run stay where a repeat is dropped.
        if !self.effect_permits(call, worker) {
            return false;
        }
        let unsafe_call = self.settings.classes[call.class].effect == Effect::Unsafe;
        // Health: a barred worker takes one trial at a time once its bar is over, none of them unsafe.
        if worker.barred
            && ease != Ease::Suspects
            && (self.now < worker.barred_until || worker.trial || unsafe_call)
        {
            return false;
        }
        if self.now < worker.full_until {
            return false;
        }
        let warm = self.warm_at(function, id);
        let there = function.out.get(&id).copied().unwrap_or(0);
        // The design's bound. Calls that wait for a load use no core: they count for their own function only.
        // One call starts a load; the others wait here, not in the worker's slots.
        let most = if warm { function.lanes } else { 1 };
        if there >= most || (warm && worker.busy >= function.lanes) || f64::from(worker.out) >= worker.window
        {
            return false;
        }
        if function.shun.get(&id).is_some_and(|&until| self.now < until) {
            return false;
        }
        if !warm && (ease == Ease::Crowd || !self.may_load(id, worker, function, call)) {
            return false;
        }
        self.cold_room(worker, call.class)
    }

    fn effect_permits(&self, call: &Call, worker: &Worker) -> bool {
        let Some((first, since)) = call.ran else { return true };
        match self.settings.classes[call.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { group, window } => {
                // The last step may be over before the send counts.
                if self.now + self.settings.step >= since + window {
                    return false;
                }
                let Some(there) = self.workers.get(&first) else { return group == Group::All };
                match group {
                    Group::All => true,
                    Group::Zone => there.entry.zone == worker.entry.zone,
                    Group::Cell => there.entry.cell == worker.entry.cell,
                }
            }
        }
    }

    fn warm_at(&self, function: &Function, worker: WorkerId) -> bool {
        function.warm.get(&worker).is_some_and(|&at| at + self.settings.loading.keep_alive > self.now)
    }

    fn load_span(&self, function: &Function) -> f64 {
        function.load_time.or(self.load_mean).unwrap_or(LOAD_GUESS)
    }

    /// May a copy be begun (or waited for) there? Waiting for a warm copy is weighed against a load, one
    /// load for a function at a time, few at a worker.
    fn may_load(&self, id: WorkerId, worker: &Worker, function: &Function, call: &Call) -> bool {
        let miss = self.settings.loading.when_absent == WhenAbsent::Miss;
        if function.loading.contains_key(&id) {
            return !miss;
        }
        let span = self.load_span(function);
        let stuck = (span * STUCK_LOADS) as Micros;
        if function.loading.values().any(|&since| self.now < since + stuck) || worker.loads >= LOADS_AT_WORKER
        {
            return false;
        }
        let mut copies = 0;
        for &w in function.warm.keys() {
            let sound = self
                .workers
                .get(&w)
                .is_some_and(|x| x.entry.state == WorkerState::On && !x.barred && !self.cold(x));
            if sound && self.warm_at(function, w) {
                copies += 1;
            }
        }
        if copies == 0 {
            return true;
        }
        // The calls in work at once that our own traffic asks for; a swollen latency is no demand.
        let rate = function.arrivals.len() as f64 / COUNT_SPAN as f64;
        let each = function.mean().min(self.work(call.class) * LATENCY_MOST);
        let lanes = f64::from(copies * function.lanes);
        let wait = f64::from(function.held) * function.mean() / lanes;
        // A queue that all functions share is overload: copies would only push each other out.
        let own = f64::from(function.held) > self.held.len() as f64 * SPILL_QUEUE;
        rate * each > lanes * SPILL_FILL || (own && wait > span * SPILL_WAIT)
    }

    /// Rule on cold workers: what all controllers may send within a fall span, over their number.
    /// Also guards against a burst right after a start, and against our own restart: what an earlier life
    /// sent in the last fall span is not known, so nothing goes to a cold worker until that span is over.
    fn cold_room(&self, worker: &Worker, class: usize) -> bool {
        let rules = &self.settings.rules;
        let Some(born) = worker.born else { return true };
        let age = self.now.saturating_sub(born);
        if age >= rules.cold || rules.cold == 0 {
            return true;
        }
        if self.started.is_some_and(|s| self.now < s + rules.fall && s > born) {
            return false;
        }
        let share = rules.start_capacity + (1.0 - rules.start_capacity) * age as f64 / rules.cold as f64;
        let rate = rules.overload_factor * share * COLD_MARGIN / f64::from(self.settings.controllers);
        let work = self.work(class);
        // Less than one call in a span: the span is stretched, and controllers begin one after another.
        let span = (rules.fall as f64).max(work / rate);
        if worker.cold_sends.is_empty() && span > rules.fall as f64 {
            let turn = span * f64::from(self.settings.me) / f64::from(self.settings.controllers);
            if (age as f64) < turn {
                return false;
            }
        }
        let sent: f64 =
            worker.cold_sends.iter().filter(|(t, _)| (*t + span as Micros) > self.now).map(|(_, w)| w).sum();
        sent + work <= rate * span * 1.000_001
    }

    fn cold(&self, worker: &Worker) -> bool {
        worker.born.is_some_and(|born| self.now < born + self.settings.rules.cold)
    }

    /// Core time of a call of this class, as far as seen.
    fn work(&self, class: usize) -> f64 {
        self.class_work[class].unwrap_or(self.settings.classes[class].aim as f64 / 4.0)
    }

    // ---- sending ----

    fn send(&mut self, id: RequestId, to: WorkerId) {
        self.unhold(id);
        let Some(call) = self.calls.get_mut(&id) else { return };
        let number = call.attempts;
        call.attempts += 1;
        call.out = Some(number);
        let (class, fid) = (call.class, call.function);
        let work = self.work(class);
        let Some(function) = self.functions.get_mut(&fid) else { return };
        let keep = self.settings.loading.keep_alive;
        let warm = function.warm.get(&to).is_some_and(|&at| at + keep > self.now);
        *function.out.entry(to).or_insert(0) += 1;
        let Some(worker) = self.workers.get_mut(&to) else { return };
        if !warm
            && self.settings.loading.when_absent == WhenAbsent::Load
            && !function.loading.contains_key(&to)
        {
            function.loading.insert(to, self.now);
            worker.loads += 1;
        }
        if worker.out == 0 {
            worker.heard = self.now;
        }
        worker.out += 1;
        if warm {
            worker.busy += 1;
        }
        let trial = worker.barred;
        worker.trial |= trial;
        if worker.born.is_some_and(|b| self.now < b + self.settings.rules.cold) {
            worker.cold_sends.push_back((self.now, work));
            if worker.cold_sends.len() > 4 * SCAN {
                worker.cold_sends.pop_front();
            }
        } else {
            worker.cold_sends.clear();
        }
        self.flights.insert(
            (id, number),
            Flight { worker: to, function: fid, class, sent: self.now, loading: !warm, trial },
        );
        self.watch(to);
        self.out.push(Action::Send { request: id, worker: to, timeout: None });
    }

    /// Sets a check for the silence of a worker that owes answers, if none is set.
    fn watch(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        if worker.watched {
            return;
        }
        let owed = self.flights.values().filter(|f| f.worker == id);
        let next = owed.map(|f| f.sent.max(worker.heard) + self.silence(f)).min();
        if let Some(at) = next {
            let bar = if worker.barred { worker.barred_until } else { 0 };
            self.due.insert((at.max(bar).max(self.now + self.tick()), Due::Silence(id)));
            self.workers.get_mut(&id).expect("just seen").watched = true;
        }
    }

    /// How long a worker may owe an answer before its silence tells.
    fn silence(&self, flight: &Flight) -> Micros {
        let Some(function) = self.functions.get(&flight.function) else { return Micros::MAX / 4 };
        let load = if flight.loading { self.load_span(function) * STUCK_LOADS } else { 0.0 };
        let least = self.settings.classes[flight.class].aim as f64;
        ((function.mean() * SILENT_LATENCIES).max(least) + load) as Micros
    }

    // ---- what comes back ----

    fn attempt_ended(
        &mut self,
        id: RequestId,
        number: u32,
        outcome: Outcome,
        finished: bool,
        elapsed: Micros,
        note: Option<LoadNote>,
    ) {
        let Some(flight) = self.flights.remove(&(id, number)) else { return };
        let at = flight.worker;
        self.take_back(&flight);
        self.judge(&flight, outcome, elapsed);
        let mut order = false;
        if let Some(function) = self.functions.get_mut(&flight.function) {
            match outcome {
                Outcome::Ok => {
                    let loaded = matches!(note, Some(LoadNote::Began | LoadNote::Waited));
                    let mean = function.mean();
                    if loaded {
                        if note == Some(LoadNote::Began) {
                            let span = (elapsed as f64 - mean).max(0.0);
                            function.load_time =
                                Some(function.load_time.map_or(span, |t| t + (span - t) * FAIL_WEIGHT));
                            self.load_mean =
                                Some(self.load_mean.map_or(span, |t| t + (span - t) * FAIL_WEIGHT));
                        }
                    } else if note.is_some() || !flight.loading {
                        function.latencies.push_back(elapsed as f64);
                        if function.latencies.len() > SAMPLES {
                            function.latencies.pop_front();
                        }
                        if self.workers.get(&at).is_some_and(|w| w.out == 0) {
                            let work = &mut self.class_work[flight.class];
                            *work = Some(work.map_or(elapsed as f64, |m| m + (elapsed as f64 - m) * 0.05));
                        }
                    }
                    function.warm.insert(at, self.now);
                    function.last_warm = Some((at, self.now));
                    if let Some(worker) = self.workers.get_mut(&at) {
                        worker.window = (worker.window + 1.0 / worker.window).min(WINDOW_MOST);
                    }
                    self.load_over(flight.function, at);
                }
                Outcome::Miss => {
                    // The copy has gone, or its load failed: nothing waits for it to come back by itself.
                    function.warm.remove(&at);
                    if function.last_warm.is_some_and(|(w, _)| w == at) {
                        function.last_warm = None;
                    }
                    self.load_over(flight.function, at);
                    order = self.settings.loading.when_absent == WhenAbsent::Miss;
                }
                Outcome::Full => {
                    let wait = (function.mean() * FULL_LATENCIES) as Micros;
                    if let Some(worker) = self.workers.get_mut(&at) {
                        if self.now >= worker.full_until {
                            worker.window =
                                (f64::from(worker.out + 1).min(worker.window) * WINDOW_CUT).max(1.0);
                        }
                        worker.full_until = self.now + wait.max(self.settings.step);
                    }
                    self.load_over(flight.function, at);
                }
                _ => self.load_over(flight.function, at),
            }
        }
        if order {
            self.order_copy(flight.function, at);
        }
        if finished {
            self.finish(id);
        } else if let Some(call) = self.calls.get_mut(&id) {
            if call.out == Some(number) {
                call.out = None;
            }
            let proven =
                matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot | Outcome::Miss);
            if !proven && call.ran.is_none() {
                call.ran = Some((at, flight.sent));
            }
            if outcome != Outcome::Miss {
                call.avoid = Some(at);
            }
            self.again(id, outcome);
        }
        self.release(at);
    }

    /// Another attempt if the effect and the count permit, else the final answer.
    fn again(&mut self, id: RequestId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let spent = call.attempts >= self.settings.limits.max_attempts || outcome == Outcome::Moot;
        let window_over = match self.settings.classes[call.class].effect {
            Effect::Safe => false,
            Effect::Unsafe => call.ran.is_some(),
            Effect::Keyed { window, .. } => {
                call.ran.is_some_and(|(_, since)| self.now + self.settings.step >= since + window)
            }
        };
        if spent || window_over || self.now >= call.answer_by {
            self.answer(id);
        } else {
            self.place(id);
        }
    }

    /// The final answer by us: refused where a further try is harmless, else failed.
    fn answer(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        let clean = call.out.is_none() && call.ran.is_none();
        let refuse = clean
            || match self.settings.classes[call.class].effect {
                Effect::Safe => true,
                Effect::Keyed { group, .. } => group == Group::All,
                Effect::Unsafe => false,
            };
        let out = call.out;
        if refuse {
            self.out.push(Action::Refuse { request: id, retry_after: None });
        } else {
            self.out.push(Action::Fail { request: id });
        }
        if let Some(attempt) = out.filter(|_| self.settings.limits.cancel) {
            self.out.push(Action::Cancel { request: id, attempt });
        }
        self.finish(id);
    }

    fn finish(&mut self, id: RequestId) {
        self.unhold(id);
        if let Some(call) = self.calls.remove(&id) {
            self.due.remove(&(call.answer_by, Due::Answer(id)));
        }
    }

    fn client_gone(&mut self, id: RequestId) {
        if let Some(call) = self.calls.get(&id) {
            if let Some(attempt) = call.out.filter(|_| self.settings.limits.cancel && !call.streaming) {
                self.out.push(Action::Cancel { request: id, attempt });
            }
            self.finish(id);
        }
    }

    fn stream_started(&mut self, id: RequestId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.streaming = true;
            let by = call.answer_by;
            self.due.remove(&(by, Due::Answer(id)));
        }
    }

    fn take_back(&mut self, flight: &Flight) {
        if let Some(worker) = self.workers.get_mut(&flight.worker) {
            worker.out = worker.out.saturating_sub(1);
            if !flight.loading {
                worker.busy = worker.busy.saturating_sub(1);
            }
            if flight.trial {
                worker.trial = false;
            }
        }
        if let Some(function) = self.functions.get_mut(&flight.function)
            && let Some(out) = function.out.get_mut(&flight.worker)
        {
            *out = out.saturating_sub(1);
            if *out == 0 {
                function.out.remove(&flight.worker);
            }
        }
    }

    fn load_over(&mut self, function: FunctionId, worker: WorkerId) {
        if self.functions.get_mut(&function).is_some_and(|f| f.loading.remove(&worker).is_some())
            && let Some(w) = self.workers.get_mut(&worker)
        {
            w.loads = w.loads.saturating_sub(1);
        }
    }

    /// The one health estimate: a share of recent outcomes that failed, whatever the way.
    fn judge(&mut self, flight: &Flight, outcome: Outcome, elapsed: Micros) {
        let Some(worker) = self.workers.get_mut(&flight.worker) else { return };
        let failed = match outcome {
            Outcome::Ok => false,
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset => true,
            Outcome::Miss | Outcome::Full => {
                worker.heard = self.now;
                return;
            }
            Outcome::Timeout | Outcome::Cancelled | Outcome::Moot => return,
        };
        let refused = outcome == Outcome::ConnectFailed && elapsed < self.settings.limits.connect_timeout / 2;
        if refused || outcome == Outcome::Reset {
            // Its process died: when it answers again it has started anew, whatever the list says so far.
            worker.born = Some(self.now);
            self.forget_copies(flight.worker);
        }
        self.count(flight.worker, failed, flight.trial);
    }

    fn count(&mut self, id: WorkerId, failed: bool, trial: bool) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let target = if failed { 1.0 } else { 0.0 };
        if !failed {
            worker.heard = self.now;
        }
        worker.failing += (target - worker.failing) * FAIL_WEIGHT;
        // A bar lifts well below where it falls: one good answer of a worker that fails half is no recovery.
        if worker.barred && worker.failing < FAIL_BAR / 2.0 {
            worker.barred = false;
            worker.bar = BAR_FIRST;
            self.out.push(Action::Log(format!("worker {} serves again", id.0)));
        } else if failed && worker.barred && trial {
            worker.bar = (worker.bar * 2).min(BAR_LONGEST);
            worker.barred_until = self.now + worker.bar;
        } else if failed && !worker.barred && worker.failing >= FAIL_BAR {
            worker.barred = true;
            worker.barred_until = self.now + worker.bar;
            self.out.push(Action::Log(format!("worker {} barred: it fails", id.0)));
        }
    }

    fn probed(&mut self, id: WorkerId, outcome: Outcome) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let since = worker.probed.take();
        if outcome == Outcome::Ok {
            worker.heard = self.now;
            self.watch(id);
        } else if since.is_some_and(|t| worker.heard <= t) {
            self.bar_silent(id);
        }
    }

    // ---- loads ----

    /// After a miss one copy is ordered there, within the ration.
    fn order_copy(&mut self, id: FunctionId, at: WorkerId) {
        let on = self.workers.get(&at).is_some_and(|w| w.entry.state == WorkerState::On);
        let Some(function) = self.functions.get_mut(&id) else { return };
        if !on || !self.settings.loading.orders || function.loading.contains_key(&at) {
            return;
        }
        if !self.ration() {
            let span = self.load_span(&self.functions[&id]) * SHUN_LOADS;
            self.functions.get_mut(&id).expect("just seen").shun.insert(at, self.now + span as Micros);
            return;
        }
        let function = self.functions.get_mut(&id).expect("just seen");
        function.loading.insert(at, self.now);
        self.workers.get_mut(&at).expect("just seen").loads += 1;
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
        let most = loading.ration_floor + loading.ration_share * self.taken.len() as f64;
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
        self.load_over(id, at);
        let span = elapsed as f64;
        let shun = self.load_span(&self.functions[&id]) * SHUN_LOADS;
        let function = self.functions.get_mut(&id).expect("just seen");
        if outcome == Outcome::Ok || copies > 0 {
            function.warm.insert(at, self.now);
            if function.last_warm.is_none_or(|(_, t)| t + self.settings.loading.keep_alive <= self.now) {
                function.last_warm = Some((at, self.now));
            }
            function.load_time = Some(function.load_time.map_or(span, |t| t + (span - t) * FAIL_WEIGHT));
            self.load_mean = Some(self.load_mean.map_or(span, |t| t + (span - t) * FAIL_WEIGHT));
        } else {
            function.shun.insert(at, self.now + shun as Micros);
        }
        self.release_all();
    }

    // ---- releasing what is held ----

    /// An answer from a worker: the lowest held priority that has room there goes, while there is room.
    fn release(&mut self, at: WorkerId) {
        let waiting: Vec<RequestId> = self.held.values().take(SCAN).copied().collect();
        for id in waiting {
            let Some(call) = self.calls.get(&id) else { continue };
            let Some(function) = self.functions.get(&call.function) else { continue };
            if call.avoid != Some(at) && self.may_take(at, call, function, Ease::Crowd) {
                // The call keeps to its own order: the worker with room need not be its first.
                if let Some(worker) = self.pick(id) {
                    self.send(id, worker);
                }
            }
        }
    }

    fn release_all(&mut self) {
        let waiting: Vec<RequestId> = self.held.values().take(SCAN).copied().collect();
        let mut without = BTreeSet::new();
        for id in waiting {
            let Some(call) = self.calls.get(&id) else { continue };
            let key = (call.function, call.class, call.avoid, call.ran);
            if without.contains(&key) {
                continue;
            }
            match self.pick(id) {
                Some(worker) => self.send(id, worker),
                None => {
                    without.insert(key);
                }
            }
        }
    }

    // ---- time ----

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
                    self.release_all();
                    if !self.held.is_empty() && !self.ticking {
                        self.ticking = true;
                        self.due.insert((self.now + self.tick(), Due::Tick));
                    }
                }
            }
        }
        if self.now > self.swept + COUNT_SPAN {
            self.swept = self.now;
            let old = FORGET_SPANS * COUNT_SPAN.max(self.settings.loading.keep_alive);
            self.functions.retain(|_, f| {
                f.shun.retain(|_, until| *until > self.now);
                f.last + old > self.now || f.held > 0 || !f.out.is_empty() || !f.loading.is_empty()
            });
        }
    }

    /// A worker that owes answers and has sent nothing for long is barred; safe calls there are withdrawn and
    /// go elsewhere. Answers to silence of the machine, of the link, and of a process that hangs.
    fn silent(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.watched = false;
        let on = worker.entry.state == WorkerState::On;
        let worker = &self.workers[&id];
        if !self.flights.values().any(|f| self.overdue(id, worker, f)) {
            self.watch(id);
        } else if self.settings.limits.probes && on && worker.probed.is_none() {
            // A probe tells a machine that is silent from one that is slow.
            self.workers.get_mut(&id).expect("just seen").probed = Some(self.now);
            self.out.push(Action::Probe { worker: id });
        } else if worker.probed.is_none() {
            self.bar_silent(id);
        }
    }

    fn overdue(&self, id: WorkerId, worker: &Worker, flight: &Flight) -> bool {
        flight.worker == id && self.now >= flight.sent.max(worker.heard) + self.silence(flight)
    }

    fn bar_silent(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        let owed = self.flights.iter().filter(|(_, f)| self.overdue(id, worker, f)).map(|(key, _)| *key);
        let owed: Vec<(RequestId, u32)> = owed.collect();
        let worker = self.workers.get_mut(&id).expect("just seen");
        worker.failing = worker.failing.max(FAIL_BAR);
        if !worker.barred {
            worker.barred = true;
            self.out.push(Action::Log(format!("worker {} barred: it is silent", id.0)));
        }
        worker.barred_until = self.now + worker.bar;
        worker.bar = (worker.bar * 2).min(BAR_LONGEST);
        for (request, attempt) in owed {
            let Some(call) = self.calls.get(&request) else { continue };
            let safe = self.settings.classes[call.class].effect == Effect::Safe;
            let room = call.attempts < self.settings.limits.max_attempts;
            if safe && room && call.out == Some(attempt) && !call.streaming && self.settings.limits.cancel {
                self.out.push(Action::Cancel { request, attempt });
            }
        }
        self.watch(id);
    }

    fn arm(&mut self) {
        if self.armed.is_some_and(|t| t <= self.now) {
            self.armed = None;
        }
        if let Some(&(at, _)) = self.due.first()
            && self.armed.is_none_or(|t| at < t)
        {
            self.armed = Some(at);
            self.out.push(Action::SetTimer { after: at.saturating_sub(self.now), tag: TAG });
        }
    }
}
