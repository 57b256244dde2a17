//! Replicas at the worker model: loads from the store, memory, eviction of idle ones, and load orders.

use super::{CallNumber, OrderNumber, PendingOrder, Rejection, Worker, WorkerEvent};
use crate::store::{Micros, Store};

/// A load in progress.
pub(super) struct ReplicaLoad {
    /// When the fetch from the store ends; the store is free then.
    fetched_at: Micros,
    /// When the replica is loaded.
    loaded_at: Micros,
    /// The store was told that the fetch has ended.
    fetched: bool,
}

/// The replicas of one model.
#[derive(Default)]
pub(super) struct ReplicaSet {
    /// Replicas that are loaded.
    pub(super) loaded: u32,
    /// Calls that run on them.
    pub(super) running: u32,
    pub(super) loading: Vec<ReplicaLoad>,
    /// Loads that wait for their turn.
    pub(super) queued: u32,
    pub(super) last_used: Micros,
    /// Bytes of one replica.
    pub(super) memory: u64,
    /// Calls that one replica runs at once.
    pub(super) lanes: u32,
}

impl ReplicaSet {
    /// Replicas on which calls run.
    fn working(&self) -> u32 {
        self.running.div_ceil(self.lanes.max(1))
    }

    /// Replicas that are loaded, loading or queued.
    fn total(&self) -> u32 {
        self.loaded + self.loading.len() as u32 + self.queued
    }

    /// No load is in progress or queued.
    pub(super) fn is_quiet(&self) -> bool {
        self.loading.is_empty() && self.queued == 0
    }

    /// Bytes of working and of loading replicas.
    pub(super) fn memory_in_use(&self) -> u64 {
        (u64::from(self.working()) + self.loading.len() as u64) * self.memory
    }

    /// When a fetch or a load ends next.
    pub(super) fn next_load_event(&self) -> Option<Micros> {
        let next = |load: &ReplicaLoad| {
            if load.fetched { load.loaded_at } else { load.fetched_at.min(load.loaded_at) }
        };
        self.loading.iter().map(next).min()
    }
}

impl Worker {
    /// An order to have at least `replicas` loaded; 0 asks how many are.
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

    /// Unloads the idle replicas of a model.
    pub fn unload(&mut self, model: &str) {
        if let Some(set) = self.replicas.get_mut(model) {
            set.loaded = set.working();
        }
    }

    /// Replicas of a model that are loaded.
    pub fn loaded(&self, model: &str) -> u32 {
        self.replicas.get(model).map_or(0, |set| set.loaded)
    }

    /// Models with this prefix got a new release: all their replicas but the working ones are gone.
    pub fn invalidate(&mut self, prefix: &str) {
        for (_, set) in self.replicas.iter_mut().filter(|(model, _)| model.starts_with(prefix)) {
            set.loaded = set.working();
        }
    }

    /// Ends its fetches at the store, when it dies.
    pub fn release_store(&mut self, store: &mut Store) {
        for set in self.replicas.values_mut() {
            let fetching = set.loading.drain(..).filter(|load| !load.fetched).count();
            (0..fetching).for_each(|_| store.end());
        }
    }

    /// Frees memory for further replicas of a model and queues their loads. False: there is not enough memory.
    pub(super) fn queue_loads(&mut self, model: &str, count: u32) -> bool {
        let spec = self.spec.model(model);
        let needed = spec.memory * u64::from(count);
        let used: u64 = self.replicas.values().map(|set| u64::from(set.total()) * set.memory).sum();
        let mut free = self.spec.memory.saturating_sub(used);
        while free < needed {
            // Idle replicas of other models are evicted, the least recently used first.
            let idle = self
                .replicas
                .iter_mut()
                .filter(|(name, set)| name.as_str() != model && set.loaded > set.working());
            let Some((_, oldest)) = idle.min_by_key(|(_, set)| set.last_used) else { return false };
            oldest.loaded -= 1;
            free += oldest.memory;
        }
        let set = self.replicas.entry(model.to_owned()).or_default();
        (set.memory, set.lanes, set.last_used) = (spec.memory, spec.lanes, self.now);
        set.queued += count;
        true
    }

    /// Loads a replica for calls that wait, where none is on its way.
    pub(super) fn load_for_waiting(&mut self, model: &str) {
        let set = self.replicas.get(model);
        let quiet = set.is_none_or(|set| set.is_quiet());
        let absent = set.is_none_or(|set| set.loaded == 0);
        // The last replica may have been unloaded while its calls waited: it is loaded again.
        if quiet && (absent || self.spec.load_extra_replicas) {
            let queued = self.queue_loads(model, 1);
            if absent && !queued {
                self.load_failed(model);
            }
        }
    }

    /// Starts queued loads, as many as the worker does at once.
    pub(super) fn start_loads(&mut self, store: &mut Store) {
        let mut loading: usize = self.replicas.values().map(|set| set.loading.len()).sum();
        let queued = self.replicas.iter().filter(|(_, set)| set.queued > 0);
        let models: Vec<String> = queued.map(|(name, _)| name.clone()).collect();
        for model in models {
            while loading < self.spec.loads_at_once && self.replicas[&model].queued > 0 {
                let spec = self.spec.model(&model);
                let fetch_alone = (spec.load_time as f64 * spec.fetch_share) as Micros;
                let fetch = store.begin(fetch_alone);
                let Some(set) = self.replicas.get_mut(&model) else { break };
                set.queued -= 1;
                match fetch {
                    Some(duration) => {
                        let fetched_at = self.now + duration;
                        let loaded_at = fetched_at + (spec.load_time - fetch_alone);
                        set.loading.push(ReplicaLoad { fetched_at, loaded_at, fetched: false });
                        loading += 1;
                    }
                    None => self.load_failed(&model),
                }
            }
        }
    }

    /// A load failed: where no other replica is there or on its way, its calls and orders fail with it.
    fn load_failed(&mut self, model: &str) {
        let Some(set) = self.replicas.get(model) else { return };
        if set.loaded > 0 || !set.is_quiet() {
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

    /// Ends fetches and loads that are due, and answers the orders that are complete with them.
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

    /// Unloads replicas that were idle for too long, and forgets models that are not in use.
    pub(super) fn unload_idle(&mut self) {
        let keep_alive = self.spec.keep_alive;
        for set in self.replicas.values_mut() {
            if set.running == 0 && set.last_used + keep_alive <= self.now {
                set.loaded = 0;
            }
        }
        let waiting = &self.waiting;
        self.replicas.retain(|name, set| {
            let in_use = set.loaded > 0 || !set.is_quiet() || set.running > 0;
            in_use || waiting.iter().any(|call| call.model == *name)
        });
    }
}
