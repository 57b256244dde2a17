//! The replicas of the worker model: loads from the model store, memory, eviction of idle replicas, and load orders.

use super::{CallNumber, OrderNumber, PendingOrder, Rejection, Worker, WorkerEvent};
use crate::store::{Micros, Store};

/// A load in progress.
pub(super) struct ReplicaLoad {
    /// Time at which the fetch from the model store ends.
    fetched_at: Micros,
    /// Time at which the load is complete.
    loaded_at: Micros,
    /// The fetch has ended, and [`Store::end`] was called for it.
    fetched: bool,
}

/// The replicas of one model.
#[derive(Default)]
pub(super) struct ReplicaSet {
    /// Number of loaded replicas.
    pub(super) loaded: u32,
    /// Number of calls that run on the replicas.
    pub(super) running: u32,
    /// Loads in progress, up to the limit of concurrent loads.
    pub(super) loading: Vec<ReplicaLoad>,
    /// Number of loads that wait because the worker is at its limit of concurrent loads.
    pub(super) queued: u32,
    /// Time at which a call or an order last used the set, or a load for it was last queued or completed.
    pub(super) last_used: Micros,
    /// Memory of one replica, in bytes.
    pub(super) memory: u64,
    /// Number of calls that one replica runs concurrently.
    pub(super) lanes: u32,
}

impl ReplicaSet {
    /// Returns the number of replicas that run calls, if calls are packed on as few replicas as possible.
    fn working(&self) -> u32 {
        self.running.div_ceil(self.lanes.max(1))
    }

    /// Returns the number of replicas that are loaded, loading or queued.
    fn total(&self) -> u32 {
        self.loaded + self.loading.len() as u32 + self.queued
    }

    /// Whether no load is in progress or queued.
    pub(super) fn loads_finished(&self) -> bool {
        self.loading.is_empty() && self.queued == 0
    }

    /// Returns the memory of the replicas that run calls or are loading, in bytes.
    pub(super) fn memory_in_use(&self) -> u64 {
        (u64::from(self.working()) + self.loading.len() as u64) * self.memory
    }

    /// Returns the time at which the next fetch or load ends.
    pub(super) fn next_load_event(&self) -> Option<Micros> {
        let next = |load: &ReplicaLoad| {
            if load.fetched { load.loaded_at } else { load.fetched_at.min(load.loaded_at) }
        };
        self.loading.iter().map(next).min()
    }
}

impl Worker {
    /// Accepts an order to have at least `replicas` replicas of a model loaded. An order of 0 only queries how many are
    /// loaded. The order ends with [`WorkerEvent::OrderAnswered`], which is appended to `out` by this method or later
    /// by another one.
    pub fn order(
        &mut self,
        now: Micros,
        number: OrderNumber,
        model: &str,
        replicas: u32,
        store: &mut Store,
        out: &mut Vec<WorkerEvent>,
    ) {
        self.advance_to(now, store, out);
        let (total, loaded) = self.replicas.get(model).map_or((0, 0), |set| (set.total(), set.loaded));
        if let Some(set) = self.replicas.get_mut(model) {
            set.last_used = self.now;
        }
        let answered = |complete| WorkerEvent::OrderAnswered { order: number, loaded, complete };
        if replicas <= loaded {
            self.events.push(answered(true));
        } else if replicas > total && !self.queue_loads(model, replicas - total) {
            self.events.push(answered(false));
        } else {
            self.orders.push(PendingOrder { number, model: model.to_owned(), replicas });
            self.start_calls(store);
        }
        out.append(&mut self.events);
    }

    /// Unloads the idle replicas of a model. Replicas that run calls stay loaded.
    pub fn unload(&mut self, model: &str) {
        if let Some(set) = self.replicas.get_mut(model) {
            set.loaded = set.working();
        }
    }

    /// Returns the number of loaded replicas of a model.
    pub fn loaded(&self, model: &str) -> u32 {
        self.replicas.get(model).map_or(0, |set| set.loaded)
    }

    /// Unloads the idle replicas of all models with this prefix, as after a new release of the models.
    pub fn invalidate(&mut self, prefix: &str) {
        for (_, set) in self.replicas.iter_mut().filter(|(model, _)| model.starts_with(prefix)) {
            set.loaded = set.working();
        }
    }

    /// Drops all loads and ends their fetches at the model store. Called when the worker dies.
    pub fn release_store(&mut self, store: &mut Store) {
        for set in self.replicas.values_mut() {
            let fetching = set.loading.drain(..).filter(|load| !load.fetched).count();
            (0..fetching).for_each(|_| store.end());
        }
    }

    /// Queues loads of `count` further replicas of a model. Idle replicas of other models are evicted if memory is
    /// needed. Returns false if memory is still insufficient. Nothing is queued then, but replicas may have been
    /// evicted.
    pub(super) fn queue_loads(&mut self, model: &str, count: u32) -> bool {
        let spec = self.spec.model(model);
        let needed = spec.memory * u64::from(count);
        let used: u64 = self.replicas.values().map(|set| u64::from(set.total()) * set.memory).sum();
        let mut free = self.spec.memory.saturating_sub(used);
        while free < needed {
            // The least recently used idle replica is evicted first.
            let idle = self
                .replicas
                .iter_mut()
                .filter(|(name, set)| name.as_str() != model && set.loaded > set.working());
            let Some((_, evicted)) = idle.min_by_key(|(_, set)| set.last_used) else { return false };
            evicted.loaded -= 1;
            free += evicted.memory;
        }
        let set = self.replicas.entry(model.to_owned()).or_default();
        (set.memory, set.lanes, set.last_used) = (spec.memory, spec.lanes, self.now);
        set.queued += count;
        true
    }

    /// Queues a load for waiting calls of a model if no load is pending.
    pub(super) fn load_for_waiting(&mut self, model: &str) {
        let set = self.replicas.get(model);
        let loads_finished = set.is_none_or(|set| set.loads_finished());
        let absent = set.is_none_or(|set| set.loaded == 0);
        // If the last replica was unloaded while calls waited, a replica is loaded again.
        if loads_finished && (absent || self.spec.load_extra_replicas) {
            let queued = self.queue_loads(model, 1);
            if absent && !queued {
                self.load_failed(model);
            }
        }
    }

    /// Starts queued loads up to the limit of concurrent loads.
    pub(super) fn start_loads(&mut self, store: &mut Store) {
        let mut loading: usize = self.replicas.values().map(|set| set.loading.len()).sum();
        let queued = self.replicas.iter().filter(|(_, set)| set.queued > 0);
        let models: Vec<String> = queued.map(|(name, _)| name.clone()).collect();
        for model in models {
            while loading < self.spec.loads_at_once && self.replicas[&model].queued > 0 {
                let spec = self.spec.model(&model);
                let full_speed_fetch_time = (spec.load_time as f64 * spec.fetch_share) as Micros;
                let fetch = store.begin(full_speed_fetch_time);
                let Some(set) = self.replicas.get_mut(&model) else { break };
                set.queued -= 1;
                match fetch {
                    Some(duration) => {
                        let fetched_at = self.now + duration;
                        let loaded_at = fetched_at + (spec.load_time - full_speed_fetch_time);
                        set.loading.push(ReplicaLoad { fetched_at, loaded_at, fetched: false });
                        loading += 1;
                    }
                    None => self.load_failed(&model),
                }
            }
        }
    }

    /// Handles a failed load. If the model has no other replica that is loaded or pending, its waiting calls and orders
    /// fail.
    fn load_failed(&mut self, model: &str) {
        let Some(set) = self.replicas.get(model) else { return };
        if set.loaded > 0 || !set.loads_finished() {
            return;
        }
        let waiting = self.waiting.iter().filter(|call| call.model == model);
        let calls: Vec<CallNumber> = waiting.map(|call| call.number).collect();
        self.waiting.retain(|call| call.model != model);
        let rejected = |call| WorkerEvent::Rejected { call, reason: Rejection::LoadFailed };
        self.events.extend(calls.into_iter().map(rejected));
        let pending = self.orders.iter().filter(|order| order.model == model);
        let orders: Vec<OrderNumber> = pending.map(|order| order.number).collect();
        self.orders.retain(|order| order.model != model);
        let failed = |order| WorkerEvent::OrderAnswered { order, loaded: 0, complete: false };
        self.events.extend(orders.into_iter().map(failed));
    }

    /// Completes the fetches and loads that are due, and the orders that are fulfilled by them.
    pub(super) fn finish_loads(&mut self, store: &mut Store) {
        for set in self.replicas.values_mut() {
            for load in &mut set.loading {
                if !load.fetched && load.fetched_at <= self.now {
                    load.fetched = true;
                    store.end();
                }
            }
            let before = set.loading.len();
            set.loading.retain(|load| load.loaded_at > self.now);
            let loaded = (before - set.loading.len()) as u32;
            if loaded > 0 {
                set.loaded += loaded;
                set.last_used = self.now;
            }
        }
        let (replicas, events) = (&self.replicas, &mut self.events);
        self.orders.retain(|order| {
            let loaded = replicas.get(&order.model).map_or(0, |set| set.loaded);
            let complete = loaded >= order.replicas;
            if complete {
                events.push(WorkerEvent::OrderAnswered { order: order.number, loaded, complete });
            }
            !complete
        });
    }

    /// Unloads replicas whose keep-alive time has passed, and removes the entries of unused models.
    pub(super) fn unload_idle(&mut self) {
        let keep_alive = self.spec.keep_alive;
        for set in self.replicas.values_mut() {
            if set.running == 0 && set.last_used + keep_alive <= self.now {
                set.loaded = 0;
            }
        }
        let waiting = &self.waiting;
        self.replicas.retain(|name, set| {
            let in_use = set.loaded > 0 || !set.loads_finished() || set.running > 0;
            in_use || waiting.iter().any(|call| call.model == *name)
        });
    }
}
