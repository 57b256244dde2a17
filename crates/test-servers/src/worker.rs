//! A deterministic model of a worker, without I/O or a clock. Running calls share the cores. A worker that warms up has
//! only part of its capacity, and stops for good if it is sent too much work.
//!
//! This module handles calls and capacity. [`replicas`] handles loads, memory and the eviction of replicas.

mod replicas;

use std::collections::{BTreeMap, VecDeque};

use crate::spec::Spec;
use crate::store::{Micros, Store};
use replicas::ReplicaSet;

/// Identifies a call at one worker.
pub type CallNumber = u64;

/// Identifies a load order at one worker.
pub type OrderNumber = u64;

/// The state of the replicas of a model when a call arrived. The values are those of the load note in load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicaNote {
    /// A replica was already loaded.
    Warm = 1,
    /// The call started a load.
    Began = 2,
    /// The call waited for a load that was already in progress or queued.
    Waited = 3,
}

/// The reason for which a call is rejected before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The queue is full, or there is no memory for a replica.
    Full,
    /// The model is not loaded, and calls do not start loads at this worker.
    Miss,
    /// The load for which the call waited has failed.
    LoadFailed,
}

/// An event of the worker model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerEvent {
    /// A call began to run. From then on it may have had an effect.
    Runs(CallNumber),
    /// A part of the result of a call is complete. The last part ends the call.
    PartComplete {
        /// Number of the call.
        call: CallNumber,
        /// Index of the part, from 0.
        part: u32,
    },
    /// A call was rejected.
    Rejected {
        /// Number of the call.
        call: CallNumber,
        /// The reason for the rejection.
        reason: Rejection,
    },
    /// A load order is complete or has failed.
    OrderAnswered {
        /// Number of the order.
        order: OrderNumber,
        /// Number of loaded replicas of the model.
        loaded: u32,
        /// Whether at least the ordered number of replicas is loaded.
        complete: bool,
    },
    /// The worker stopped because it was sent too much work while it warmed up.
    Overloaded,
}

/// The load of a worker at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Utilization of the cores, 0 to 1, relative to the current capacity.
    pub utilization: f64,
    /// Number of running calls.
    pub inflight: usize,
    /// Number of waiting calls.
    pub queue: usize,
    /// Share of memory, 0 to 1, that is used by replicas which run calls or are loading. Idle replicas are not
    /// included.
    pub memory_held: f64,
    /// Number of loads that are in progress or queued.
    pub loads: usize,
}

/// A call that arrives at the worker.
#[derive(Clone, Copy, Debug)]
pub struct IncomingCall<'a> {
    /// Number of the call, unique at this worker.
    pub number: CallNumber,
    /// Name of the model.
    pub model: &'a str,
    /// CPU time of the whole call on one core.
    pub core_time: Micros,
    /// Number of parts of the result. 0 counts as 1.
    pub parts: u32,
}

struct Running {
    model: String,
    /// Number of complete parts.
    complete: u32,
    parts: u32,
    /// CPU time of each part, in microseconds.
    part_time: f64,
    /// Remaining CPU time of the current part, in microseconds.
    remaining: f64,
}

struct Waiting {
    number: CallNumber,
    model: String,
    parts: u32,
    core_time: Micros,
}

/// A load order whose replicas are not all loaded yet.
struct PendingOrder {
    number: OrderNumber,
    model: String,
    /// Number of replicas ordered.
    replicas: u32,
}

/// A call that arrived while the worker warmed up. Its core time counts towards the overload limit.
struct Arrival {
    at: Micros,
    core_time: f64,
}

/// The load note of a call, which is sent with its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallNote {
    /// State of the replicas of its model when the call arrived.
    pub replica: ReplicaNote,
    /// Number of other calls of the same model that ran or waited when the call arrived.
    pub same_model_calls: u32,
}

/// The state of a worker model.
pub struct Worker {
    spec: Spec,
    /// Time of a cold start. `None` if the worker started warm.
    started: Option<Micros>,
    now: Micros,
    running: BTreeMap<CallNumber, Running>,
    waiting: VecDeque<Waiting>,
    replicas: BTreeMap<String, ReplicaSet>,
    orders: Vec<PendingOrder>,
    arrivals: VecDeque<Arrival>,
    /// Load notes that have not been taken yet.
    notes: BTreeMap<CallNumber, CallNote>,
    /// The worker has stopped after an overload and ignores all calls.
    down: bool,
    events: Vec<WorkerEvent>,
}

/// Maximum number of arrivals that are kept for the overload limit.
const MAX_ARRIVALS: usize = 100_000;

impl Worker {
    /// Creates a worker that starts at `now`. If `cold`, it starts with part of its capacity and warms up.
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

    /// Returns the description of the worker.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the current capacity, as a share of full capacity.
    fn capacity(&self) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = self.now.saturating_sub(started) as f64;
        if self.spec.warm_up == 0 || age >= self.spec.warm_up as f64 {
            return 1.0;
        }
        self.spec.start_capacity + (1.0 - self.spec.start_capacity) * age / self.spec.warm_up as f64
    }

    /// Returns the number of cores, at most 1, that each running call gets.
    fn speed(&self) -> f64 {
        let cores = self.spec.cores * self.capacity();
        (cores / self.running.len().max(1) as f64).min(1.0)
    }

    /// Returns the time at which [`Worker::advance_to`] must be called next: the end of a part, a fetch, a load or a
    /// keep-alive time. Returns `None` if nothing is pending.
    pub fn next_event(&self) -> Option<Micros> {
        let speed = self.speed();
        let parts =
            self.running.values().map(|run| self.now + (run.remaining / speed).ceil().max(1.0) as Micros);
        let loads = self.replicas.values().filter_map(ReplicaSet::next_load_event);
        let idle = self.replicas.values().filter(|set| set.loaded > 0 && set.running == 0);
        let idle = idle.map(|set| set.last_used + self.spec.keep_alive);
        parts.chain(loads).chain(idle).min().map(|at| at.max(self.now + 1))
    }

    /// Advances the model to `now` and appends the events that happen until then to `out`.
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

    /// Accepts a call, which is started, queued or rejected. Events are appended to `out`. A worker that has stopped
    /// ignores the call.
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
            Some(set) if !set.loads_finished() => ReplicaNote::Waited,
            _ => ReplicaNote::Began,
        }
    }

    /// Returns the reason to reject a call, or `None` to accept it. If an accepted call needs a load, the load is
    /// queued.
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

    /// Removes and returns the load note of a call. Returns `None` if the call is unknown or its note was already
    /// taken.
    pub fn take_note(&mut self, call: CallNumber) -> Option<CallNote> {
        self.notes.remove(&call)
    }

    /// Adds up the work that arrives during the warm-up, including rejected work, and stops the worker if it exceeds
    /// the overload limit.
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
        // The work of the arriving call is added to the limit, so that a single call never exceeds it.
        if sent > self.spec.overload_factor * possible + core_time {
            self.down = true;
            self.events.push(WorkerEvent::Overloaded);
        }
    }

    /// Returns the number of calls of a model that run or wait.
    fn calls_of(&self, model: &str) -> u32 {
        let running = self.replicas.get(model).map_or(0, |set| set.running);
        running + self.waiting.iter().filter(|waiting| waiting.model == model).count() as u32
    }

    /// Cancels a call. A waiting call is dropped. A running call still runs to its end.
    pub fn cancel(&mut self, now: Micros, call: CallNumber, store: &mut Store, out: &mut Vec<WorkerEvent>) {
        self.advance_to(now, store, out);
        self.waiting.retain(|waiting| waiting.number != call);
        self.notes.remove(&call);
    }

    /// Returns the current load.
    pub fn load_report(&self) -> LoadReport {
        let busy = self.running.len() as f64 / (self.spec.cores * self.capacity());
        let loads = self.replicas.values().map(|set| set.loading.len() + set.queued as usize).sum();
        let held: u64 = self.replicas.values().map(ReplicaSet::memory_in_use).sum();
        LoadReport {
            utilization: busy.min(1.0),
            inflight: self.running.len(),
            queue: self.waiting.len(),
            memory_held: held as f64 / self.spec.memory.max(1) as f64,
            loads,
        }
    }

    /// Starts waiting calls that have a free lane, in order of arrival, and loads replicas for those that still wait.
    fn start_calls(&mut self, store: &mut Store) {
        let mut models_without_lane: Vec<String> = Vec::new();
        let mut still_waiting = VecDeque::new();
        while let Some(call) = self.waiting.pop_front() {
            let set = self.replicas.get_mut(&call.model);
            if let Some(set) = set.filter(|set| set.running < set.loaded * set.lanes) {
                set.running += 1;
                set.last_used = self.now;
                self.run_call(call);
            } else {
                if !models_without_lane.contains(&call.model) {
                    models_without_lane.push(call.model.clone());
                }
                still_waiting.push_back(call);
            }
        }
        self.waiting = still_waiting;
        for model in models_without_lane {
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
