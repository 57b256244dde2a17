//! The worker model, without I/O and clock. Running calls share the cores. A worker that warms up has a part of them, and
//! falls over when it is sent too much. Equal inputs give equal outputs.
//!
//! This file has calls and capacity; [`replicas`] has loads, memory and eviction of replicas.

mod replicas;

use std::collections::{BTreeMap, VecDeque};

use crate::spec::Spec;
use crate::store::{Micros, Store};
use replicas::ReplicaSet;

/// The number of a call at this worker.
pub type CallNumber = u64;

/// The number of a load order at this worker.
pub type OrderNumber = u64;

/// What a call found, with the published numbers of load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaNote {
    /// A replica was loaded.
    Warm = 1,
    /// The call started a load.
    Began = 2,
    /// It waited for a load.
    Waited = 3,
}

/// Why a call is rejected before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// Queue or memory is full.
    Full,
    /// The model is not loaded, and calls load none here.
    Miss,
    /// The load it waited for failed.
    LoadFailed,
}

/// What the worker did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A call began to run: from here on it has an effect.
    Runs(CallNumber),
    /// A part of a call's answer is complete; the last part ends it.
    PartComplete {
        /// The call.
        call: CallNumber,
        /// The part, from 0.
        part: u32,
    },
    /// A call is rejected.
    Rejected {
        /// The call.
        call: CallNumber,
        /// Why.
        reason: Rejection,
    },
    /// A load order is answered.
    OrderAnswered {
        /// The order.
        order: OrderNumber,
        /// Replicas that are loaded.
        loaded: u32,
        /// Whether they are as many as were ordered.
        complete: bool,
    },
    /// It fell over: it was sent too much while it warmed up.
    Fell,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Share of the cores in use.
    pub util: f64,
    /// Calls running.
    pub inflight: usize,
    /// Calls waiting.
    pub queue: usize,
    /// Share of memory that working or loading replicas hold.
    pub memory_held: f64,
    /// Loads in progress or waiting.
    pub loads: usize,
}

/// A call that arrives.
#[derive(Clone, Copy, Debug)]
pub struct IncomingCall<'a> {
    /// Its number.
    pub number: CallNumber,
    /// Its model.
    pub model: &'a str,
    /// Core time of all parts.
    pub core_time: Micros,
    /// Parts of its answer.
    pub parts: u32,
}

struct Running {
    model: String,
    /// Complete parts, of so many.
    complete: u32,
    parts: u32,
    /// Core time of a part.
    part_time: f64,
    /// What is left of the present part.
    remaining: f64,
}

struct Waiting {
    number: CallNumber,
    model: String,
    parts: u32,
    core_time: Micros,
}

/// A load order that waits for its replicas.
struct PendingOrder {
    number: OrderNumber,
    model: String,
    replicas: u32,
}

/// Work that arrived while the worker warmed up.
struct Arrival {
    at: Micros,
    core_time: f64,
}

/// What the answer to a call reports of replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNote {
    /// What the call found.
    pub replica: ReplicaNote,
    /// Other calls of its model that were here.
    pub same_model_calls: u32,
}

/// A worker.
pub struct Worker {
    spec: Spec,
    /// When it began to warm up; `None`: it is warm.
    started: Option<Micros>,
    now: Micros,
    running: BTreeMap<CallNumber, Running>,
    waiting: VecDeque<Waiting>,
    replicas: BTreeMap<String, ReplicaSet>,
    orders: Vec<PendingOrder>,
    arrivals: VecDeque<Arrival>,
    notes: BTreeMap<CallNumber, CallNote>,
    down: bool,
    events: Vec<WorkerEvent>,
}

/// Arrivals that are remembered at the most.
const MAX_ARRIVALS: usize = 100_000;

impl Worker {
    /// A worker that starts now; `cold`: with a part of its capacity.
    pub fn new(spec: Spec, now: Micros, cold: bool) -> Self {
        Self {
            spec,
            started: cold.then_some(now),
            now,
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            replicas: BTreeMap::new(),
            orders: Vec::new(),
            arrivals: VecDeque::new(),
            notes: BTreeMap::new(),
            down: false,
            events: Vec::new(),
        }
    }

    /// Its description.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The part of its capacity that it has now.
    fn capacity(&self) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = self.now.saturating_sub(started) as f64;
        if self.spec.warm_up == 0 || age >= self.spec.warm_up as f64 {
            return 1.0;
        }
        self.spec.start_capacity + (1.0 - self.spec.start_capacity) * age / self.spec.warm_up as f64
    }

    /// Core time that a running call gets per microsecond.
    fn speed(&self) -> f64 {
        let cores = self.spec.cores * self.capacity();
        (cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// When [`Worker::advance_to`] is to be called next.
    pub fn next_event(&self) -> Option<Micros> {
        let speed = self.speed();
        let parts =
            self.running.values().map(|run| self.now + (run.remaining / speed).ceil().max(1.0) as Micros);
        let loads = self.replicas.values().filter_map(ReplicaSet::next_load_event);
        let idle = self.replicas.values().filter(|set| set.loaded > 0 && set.running == 0);
        let idle = idle.map(|set| set.last_used + self.spec.keep_alive);
        parts.chain(loads).chain(idle).min().map(|at| at.max(self.now + 1))
    }

    /// Lets time pass until `now`.
    pub fn advance_to(&mut self, now: Micros, store: &mut Store, out: &mut Vec<WorkerEvent>) {
        while let Some(at) = self.next_event().filter(|at| *at <= now) {
            self.advance(at);
            self.finish_loads(store);
            self.unload_idle();
            self.start_calls(store);
        }
        self.advance(now);
        out.append(&mut self.events);
    }

    fn advance(&mut self, now: Micros) {
        let passed = now.saturating_sub(self.now) as f64 * self.speed();
        self.now = now.max(self.now);
        let mut ended = Vec::new();
        for (number, run) in &mut self.running {
            run.remaining -= passed;
            while run.remaining <= 0.5 && run.complete < run.parts {
                self.events.push(WorkerEvent::PartComplete { call: *number, part: run.complete });
                run.complete += 1;
                run.remaining += run.part_time;
            }
            if run.complete == run.parts {
                ended.push(*number);
            }
        }
        for number in ended {
            self.end_call(number);
        }
    }

    fn end_call(&mut self, number: CallNumber) {
        if let Some(run) = self.running.remove(&number)
            && let Some(set) = self.replicas.get_mut(&run.model)
        {
            set.running = set.running.saturating_sub(1);
            set.last_used = self.now;
        }
    }

    /// A call arrives.
    pub fn call(&mut self, now: Micros, call: IncomingCall, store: &mut Store, out: &mut Vec<WorkerEvent>) {
        let IncomingCall { number, model, core_time, parts } = call;
        self.advance_to(now, store, out);
        self.check_overload(core_time as f64);
        if self.down {
            out.append(&mut self.events);
            return;
        }
        let replica = self.replica_note(model);
        self.notes.insert(number, CallNote { replica, same_model_calls: self.calls_of(model) });
        if let Some(reason) = self.rejection(model, replica) {
            self.events.push(WorkerEvent::Rejected { call: number, reason });
        } else {
            let (model, parts) = (model.to_owned(), parts.max(1));
            self.waiting.push_back(Waiting { number, model, parts, core_time });
            self.start_calls(store);
        }
        out.append(&mut self.events);
    }

    fn replica_note(&self, model: &str) -> ReplicaNote {
        match self.replicas.get(model) {
            Some(set) if set.loaded > 0 => ReplicaNote::Warm,
            Some(set) if !set.is_quiet() => ReplicaNote::Waited,
            _ => ReplicaNote::Began,
        }
    }

    /// Why a call is rejected. Where it starts a load, the load is queued.
    fn rejection(&mut self, model: &str, replica: ReplicaNote) -> Option<Rejection> {
        if self.waiting.len() >= self.spec.queue {
            return Some(Rejection::Full);
        }
        if replica != ReplicaNote::Began {
            return None;
        }
        if !self.spec.load_when_absent {
            return Some(Rejection::Miss);
        }
        if self.queue_loads(model, 1) { None } else { Some(Rejection::Full) }
    }

    /// What the answer to a call reports of replicas: taken once.
    pub fn take_note(&mut self, call: CallNumber) -> Option<CallNote> {
        self.notes.remove(&call)
    }

    /// Counts work that arrives while the worker warms up, also work that it rejects, and falls over by too much.
    fn check_overload(&mut self, core_time: f64) {
        if self.capacity() >= 1.0 {
            self.arrivals.clear();
            return;
        }
        self.arrivals.push_back(Arrival { at: self.now, core_time });
        if self.arrivals.len() > MAX_ARRIVALS {
            self.arrivals.pop_front();
        }
        let window = self.spec.overload_window;
        while self.arrivals.front().is_some_and(|arrival| arrival.at + window < self.now) {
            self.arrivals.pop_front();
        }
        let sent: f64 = self.arrivals.iter().map(|arrival| arrival.core_time).sum();
        let possible = self.spec.cores * self.capacity() * window as f64;
        // One call more is tolerated: a single one is never too much.
        if sent > self.spec.overload_factor * possible + core_time {
            self.down = true;
            self.events.push(WorkerEvent::Fell);
        }
    }

    /// Calls of a model that run or wait.
    fn calls_of(&self, model: &str) -> u32 {
        let running = self.replicas.get(model).map_or(0, |set| set.running);
        running + self.waiting.iter().filter(|waiting| waiting.model == model).count() as u32
    }

    /// Its caller cancelled a call: one that waits is dropped, a running one goes on to its end.
    pub fn cancel(&mut self, now: Micros, call: CallNumber, store: &mut Store, out: &mut Vec<WorkerEvent>) {
        self.advance_to(now, store, out);
        self.waiting.retain(|waiting| waiting.number != call);
        self.notes.remove(&call);
    }

    /// The load now.
    pub fn load_report(&self) -> LoadReport {
        let busy = self.running.len() as f64 / (self.spec.cores * self.capacity());
        let loads = self.replicas.values().map(|set| set.loading.len() + set.queued as usize).sum();
        let held: u64 = self.replicas.values().map(ReplicaSet::memory_in_use).sum();
        LoadReport {
            util: busy.min(1.0),
            inflight: self.running.len(),
            queue: self.waiting.len(),
            memory_held: held as f64 / self.spec.memory.max(1) as f64,
            loads,
        }
    }

    /// Starts the calls that have a lane, in order of arrival, and loads for the models of those that wait.
    fn start_calls(&mut self, store: &mut Store) {
        let mut short: Vec<String> = Vec::new();
        let mut still_waiting = VecDeque::new();
        while let Some(call) = self.waiting.pop_front() {
            let set = self.replicas.get_mut(&call.model);
            if let Some(set) = set.filter(|set| set.running < set.loaded * set.lanes) {
                set.running += 1;
                set.last_used = self.now;
                self.run_call(call);
            } else {
                if !short.contains(&call.model) {
                    short.push(call.model.clone());
                }
                still_waiting.push_back(call);
            }
        }
        self.waiting = still_waiting;
        for model in short {
            self.load_for_waiting(&model);
        }
        self.start_loads(store);
    }

    fn run_call(&mut self, call: Waiting) {
        let part_time = (call.core_time as f64 / f64::from(call.parts)).max(1.0);
        let (model, parts) = (call.model, call.parts);
        let run = Running { model, complete: 0, parts, part_time, remaining: part_time };
        self.running.insert(call.number, run);
        self.events.push(WorkerEvent::Runs(call.number));
    }
}

#[cfg(test)]
mod tests;
