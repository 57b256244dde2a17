//! Decides when functions are forgotten, in steps that stay short however many there are.
//!
//! Every sweep has a time (`Controller::swept_at`), and what it forgets is set by the function's state at
//! that time alone. Only functions with calls or loads are swept at once; the others go through the sweep
//! when they are next called, or when a step of the queue `idle_functions` comes to them. As nothing
//! touches them in between, no decision can tell the difference. Leaves replicas to `replicas`. Guards
//! against memory that grows with the number of functions ever called.

use std::collections::{BTreeMap, BTreeSet};

use super::arrivals::ARRIVAL_WINDOW;
use crate::controller::Controller;
use crate::interface::{FunctionId, Micros};
use crate::rendezvous::Homes;
use crate::state::{Function, ReplicaKey};

/// A function is remembered for so many arrival windows, or keep-alives where these are longer, after its
/// last call.
const RETENTION_WINDOWS: Micros = 3;
/// Idle functions are looked at in groups of this span.
const IDLE_BUCKET: Micros = ARRIVAL_WINDOW;
/// How many idle functions are looked at for one event.
const IDLE_SWEEP_STEP: usize = 32;
/// Beyond this many functions, idle ones keep no homes: a further call computes them again.
const FUNCTIONS_WITH_HOMES: usize = 65_536;

impl Function {
    /// Takes the function through the sweep of time `swept`; `retention` is how long functions are
    /// remembered. False: it is forgotten.
    fn apply_sweep(&mut self, swept: Micros, retention: Micros) -> bool {
        if self.swept_at == swept {
            return true;
        }
        self.swept_at = swept;
        self.avoided.retain(|_, avoided| avoided.until + ARRIVAL_WINDOW > swept);
        self.reported_pressure.retain(|_, sample| sample.at + ARRIVAL_WINDOW > swept);
        self.last_call + retention > swept
            || self.held_calls > 0
            || !self.in_flight.is_empty()
            || !self.pending_loads.is_empty()
    }

    /// Gives back the memory of what is empty or counts no more: a map that was emptied keeps a node.
    fn compact(&mut self, swept: Micros) {
        fn drop_if_empty<K: Ord, V>(map: &mut BTreeMap<K, V>) {
            if map.is_empty() {
                *map = BTreeMap::new();
            }
        }
        drop_if_empty(&mut self.avoided);
        drop_if_empty(&mut self.reported_pressure);
        drop_if_empty(&mut self.in_flight);
        drop_if_empty(&mut self.pending_loads);
        // The next call drops these in any case.
        self.arrivals.retain(|at| at + ARRIVAL_WINDOW >= swept);
        self.arrivals.shrink_to_fit();
        self.latencies.shrink_to_fit();
    }
}

impl Controller {
    /// How long functions are remembered after their last call.
    fn retention(&self) -> Micros {
        RETENTION_WINDOWS * ARRIVAL_WINDOW.max(self.settings.loading.keep_alive)
    }

    /// The function's state, as the last sweep left it, created where there is none.
    pub(super) fn function_mut(&mut self, id: FunctionId) -> &mut Function {
        self.apply_sweep(id);
        if !self.functions.contains_key(&id) {
            self.functions.insert(id, Function { swept_at: self.swept_at, ..Function::default() });
            self.schedule_idle_sweep(id, self.now + RETENTION_WINDOWS * ARRIVAL_WINDOW);
        }
        self.functions.entry(id).or_default()
    }

    /// Takes one function through the last sweep.
    pub(super) fn apply_sweep(&mut self, id: FunctionId) {
        let retention = self.retention();
        if self.functions.get_mut(&id).is_some_and(|f| !f.apply_sweep(self.swept_at, retention))
            && let Some(function) = self.functions.remove(&id)
        {
            for worker in function.warm_replicas.keys() {
                self.replicas.remove(&ReplicaKey { worker: *worker, function: id });
            }
        }
    }

    /// A sweep at this time, for all functions with calls or loads.
    pub(super) fn sweep(&mut self) {
        self.swept_at = self.now;
        let mut busy: BTreeSet<FunctionId> = self.loading_functions.clone();
        busy.extend(self.calls.values().map(|call| call.function));
        busy.extend(self.attempts.values().map(|attempt| attempt.function));
        for id in busy {
            self.apply_sweep(id);
        }
    }

    /// Takes some of the idle functions through the last sweep.
    pub(super) fn sweep_idle_functions(&mut self) {
        for _ in 0..IDLE_SWEEP_STEP {
            let Some(mut bucket) = self.idle_functions.first_entry() else { return };
            if bucket.key() * IDLE_BUCKET > self.swept_at {
                return;
            }
            let bucket_key = *bucket.key();
            match bucket.get_mut().pop() {
                Some(id) => self.sweep_idle_function(id, bucket_key),
                None => _ = bucket.remove(),
            }
        }
    }

    fn sweep_idle_function(&mut self, id: FunctionId, bucket_key: Micros) {
        if self.functions.get(&id).is_none_or(|f| f.idle_bucket != bucket_key) {
            // Forgotten meanwhile, and perhaps called again since: that one has its own entry in the queue.
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
        let forgotten = function.last_call + retention;
        self.schedule_idle_sweep(id, forgotten.max(swept + IDLE_BUCKET));
    }

    fn schedule_idle_sweep(&mut self, id: FunctionId, due: Micros) {
        let bucket = due.div_ceil(IDLE_BUCKET);
        if let Some(function) = self.functions.get_mut(&id) {
            function.idle_bucket = bucket;
            self.idle_functions.entry(bucket).or_default().push(id);
        }
    }
}
