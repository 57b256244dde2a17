//! Removes the state of functions that are no longer called, in steps of bounded cost.
//!
//! Each sweep has a timestamp (`Controller::swept_at`), and its effect on a function depends only on the
//! function's state at that time. Only functions with calls or loads are swept immediately. The others are
//! swept when they are next called, or when their turn in `idle_functions` comes. As nothing changes them in
//! between, the delay affects no decision. Replicas are indexed in `replicas`. Guards against memory that
//! grows with the number of functions ever called.

use std::collections::{BTreeMap, BTreeSet};

use super::arrivals::ARRIVAL_WINDOW;
use crate::controller::Controller;
use crate::interface::{FunctionId, Micros};
use crate::rendezvous::Homes;
use crate::state::{Function, ReplicaKey};

/// State of a function is kept after its last call for this many arrival windows, or keep-alive times if
/// those are longer.
const RETENTION_WINDOWS: Micros = 3;
/// Length of one time bucket of `Controller::idle_functions`.
const IDLE_BUCKET: Micros = ARRIVAL_WINDOW;
/// Maximum number of idle functions swept per event.
const IDLE_SWEEP_STEP: usize = 32;
/// When the limit on functions is reached, this share of it is evicted at once, which bounds the cost of the
/// search for each new function.
const EVICTED_SHARE: usize = 16;
/// With more functions than this, idle ones keep no homes; the next call computes them again.
const FUNCTIONS_WITH_HOMES: usize = 65_536;

impl Function {
    /// Applies the sweep of time `swept`, where `retention` is how long functions are kept after their last
    /// call. Returns false if the function is to be removed.
    fn apply_sweep(&mut self, swept: Micros, retention: Micros) -> bool {
        if self.swept_at == swept {
            return true;
        }
        self.swept_at = swept;
        self.avoided.retain(|_, avoided| avoided.until + ARRIVAL_WINDOW > swept);
        self.reported_pressure.retain(|_, sample| sample.at + ARRIVAL_WINDOW > swept);
        self.last_call + retention > swept || self.is_busy()
    }

    /// Whether the function has a call, an attempt in flight or a pending load.
    fn is_busy(&self) -> bool {
        !self.held_calls.is_empty() || !self.in_flight.is_empty() || !self.pending_loads.is_empty()
    }

    /// Releases the memory of empty and expired collections. An emptied `BTreeMap` keeps a node allocated.
    fn compact(&mut self, swept: Micros) {
        fn drop_if_empty<K: Ord, V>(map: &mut BTreeMap<K, V>) {
            if map.is_empty() {
                *map = BTreeMap::new();
            }
        }
        drop_if_empty(&mut self.avoided);
        drop_if_empty(&mut self.reported_pressure);
        drop_if_empty(&mut self.in_flight);
        drop_if_empty(&mut self.held_calls);
        drop_if_empty(&mut self.pending_loads);
        // The next call would remove these arrivals anyway.
        self.arrivals.retain(|at| at + ARRIVAL_WINDOW >= swept);
        self.arrivals.shrink_to_fit();
        self.latencies.shrink_to_fit();
    }
}

impl Controller {
    /// Time since its last call after which the state of a function may be removed.
    fn retention(&self) -> Micros {
        RETENTION_WINDOWS * ARRIVAL_WINDOW.max(self.settings.loading.keep_alive)
    }

    /// Applies the last sweep to the function and returns its state; creates the state if there is none.
    pub(super) fn function_mut(&mut self, id: FunctionId) -> &mut Function {
        self.apply_sweep(id);
        if !self.functions.contains_key(&id) {
            self.evict_functions();
            self.functions.insert(id, Function { swept_at: self.swept_at, ..Function::default() });
            self.schedule_idle_sweep(id, self.now + RETENTION_WINDOWS * ARRIVAL_WINDOW);
        }
        self.functions.entry(id).or_default()
    }

    /// Applies the last sweep to one function, and removes its state and replicas if it is no longer used.
    pub(super) fn apply_sweep(&mut self, id: FunctionId) {
        let retention = self.retention();
        if self.functions.get_mut(&id).is_some_and(|f| !f.apply_sweep(self.swept_at, retention)) {
            self.remove_function(id);
        }
    }

    fn remove_function(&mut self, id: FunctionId) {
        let Some(function) = self.functions.remove(&id) else { return };
        for worker in function.warm_replicas.keys() {
            self.replicas.remove(&ReplicaKey { worker: *worker, function: id });
        }
        // Other functions' entries in the bucket stay, and a stale entry would outlive the function.
        if let Some(bucket) = self.idle_functions.get_mut(&function.idle_bucket) {
            bucket.remove(&id);
        }
    }

    /// Evicts idle functions if the limit is reached: first those without a replica, the least recently
    /// called first. A function without a replica has only been asked for, so a flood of names evicts its
    /// own.
    fn evict_functions(&mut self) {
        let Some(max) = self.max_functions.filter(|max| self.functions.len() >= *max) else { return };
        let idle = self.functions.iter().filter(|(_, function)| !function.is_busy());
        let mut idle: Vec<_> = idle.map(|(id, f)| (!f.warm_replicas.is_empty(), f.last_call, *id)).collect();
        let count = (self.functions.len() - max + 1).max(max / EVICTED_SHARE).min(idle.len());
        if count == 0 {
            return;
        }
        idle.select_nth_unstable(count - 1);
        for (_, _, id) in &idle[..count] {
            self.remove_function(*id);
        }
    }

    /// Starts a sweep and applies it to all functions with calls or loads.
    pub(super) fn sweep(&mut self) {
        self.swept_at = self.now;
        let mut busy: BTreeSet<FunctionId> = self.loading_functions.clone();
        busy.extend(self.calls.values().map(|call| call.function));
        busy.extend(self.attempts.values().map(|attempt| attempt.function));
        for id in busy {
            self.apply_sweep(id);
        }
    }

    /// Applies the last sweep to a limited number of idle functions.
    pub(super) fn sweep_idle_functions(&mut self) {
        for _ in 0..IDLE_SWEEP_STEP {
            let Some(mut bucket) = self.idle_functions.first_entry() else { return };
            if bucket.key() * IDLE_BUCKET > self.swept_at {
                return;
            }
            let bucket_key = *bucket.key();
            match bucket.get_mut().pop_last() {
                Some(id) => self.sweep_idle_function(id, bucket_key),
                None => _ = bucket.remove(),
            }
        }
    }

    fn sweep_idle_function(&mut self, id: FunctionId, bucket_key: Micros) {
        if self.functions.get(&id).is_none_or(|f| f.idle_bucket != bucket_key) {
            // A stale entry: the function was removed, and has a new entry if it was called again.
            return;
        }
        self.apply_sweep(id);
        let (over_homes_limit, swept, retention) =
            (self.functions.len() > FUNCTIONS_WITH_HOMES, self.swept_at, self.retention());
        let Some(function) = self.functions.get_mut(&id) else { return };
        let idle_from = function.last_call + RETENTION_WINDOWS * ARRIVAL_WINDOW;
        if idle_from > swept {
            return self.schedule_idle_sweep(id, idle_from);
        }
        if over_homes_limit {
            function.homes = Homes::default();
        }
        function.compact(swept);
        let kept_until = function.last_call + retention;
        self.schedule_idle_sweep(id, kept_until.max(swept + IDLE_BUCKET));
    }

    fn schedule_idle_sweep(&mut self, id: FunctionId, due: Micros) {
        let bucket = due.div_ceil(IDLE_BUCKET);
        if let Some(function) = self.functions.get_mut(&id) {
            function.idle_bucket = bucket;
            self.idle_functions.entry(bucket).or_default().insert(id);
        }
    }
}
