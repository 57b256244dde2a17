//! Decides where a replica is ordered or may begin to load, and what the end of a load means.
//!
//! Leaves the count of orders to `load_ration` and the index of replicas to `replicas`. Guards: one load of
//! a function at a time (load storms, evictions, a slow store), though a stuck one holds no other back; few
//! loads at a worker; a worker without room is left alone for a while (full memory, failing loads); a
//! further replica where all are under pressure (hot functions under many controllers); an order that was
//! lost with its connection is given again (connections cut under long loads).

use super::worker_load::PRESSURE_LIMIT;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Function, ReplicaKey, Worker, update_mean};

/// A load's time before any was reported or seen, microseconds: that of a middling program.
const DEFAULT_LOAD_TIME: f64 = 1_000_000.0;
/// A load that has taken this many times what it should is taken for stuck: another may begin elsewhere.
pub(super) const STUCK_LOAD_FACTOR: f64 = 3.0;
/// Loads of ours waited for at one worker at once: workers run few at a time.
const MAX_LOADS_PER_WORKER: usize = 2;
/// Weight of one load in a load's usual time.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// An order answered within this time found a replica that was loaded already: no load.
const ALREADY_LOADED: Micros = 20_000;
/// A worker where a load failed or found no room is left alone by that function for this share of a load.
const AVOID_LOADS: f64 = 0.5;
/// A worker without room this often in a row is no home for a while; a load that failed counts as so many.
pub(super) const MAX_REJECTIONS: u32 = 3;

impl Controller {
    /// May a replica be begun (or waited for) there? One load for a function at a time, few at a worker.
    pub(super) fn may_load(&self, id: WorkerId, worker: &Worker, function: &Function) -> bool {
        if function.pending_loads.contains_key(&id) {
            return self.settings.loading.when_absent == WhenAbsent::Load;
        }
        if self.load_in_progress(function) || worker.pending_loads >= MAX_LOADS_PER_WORKER {
            return false;
        }
        !function.warm_replicas.keys().any(|w| self.is_warm(function, *w) && self.is_healthy(*w))
    }

    /// Is a load of ours under way that is not taken for stuck?
    pub(super) fn load_in_progress(&self, function: &Function) -> bool {
        let stuck = (self.expected_load_time(function) * STUCK_LOAD_FACTOR) as Micros;
        function.pending_loads.values().any(|&since| self.now < since + stuck)
    }

    /// A load's usual time, microseconds.
    pub(super) fn expected_load_time(&self, function: &Function) -> f64 {
        function.load_time.or(self.mean_load_time).unwrap_or(DEFAULT_LOAD_TIME)
    }

    /// Where all workers known to hold the function are under pressure, a replica is ordered at the next of
    /// the shared order, the same at every controller; one that stands there already is found by the same
    /// order.
    pub(super) fn order_additional_replica(&mut self, id: FunctionId, class: usize) {
        self.update_homes(id);
        let Some(function) = self.functions.get(&id) else { return };
        let warm = |w: &WorkerId| self.is_warm(function, *w);
        let has_capacity =
            |w: &WorkerId| self.is_healthy(*w) && self.pressure(function, *w, class) < PRESSURE_LIMIT;
        let mut warm_workers = function.warm_replicas.keys().filter(|w| warm(w)).peekable();
        if !function.pending_loads.is_empty()
            || warm_workers.peek().is_none()
            || warm_workers.any(has_capacity)
        {
            return;
        }
        let avoided = |w: &WorkerId| function.avoided.get(w).is_some_and(|avoided| avoided.until > self.now);
        let next =
            self.walk_order(id, function, class, None).find(|w| !warm(w) && !avoided(w) && has_capacity(w));
        if let Some(worker) = next {
            self.order_replica(ReplicaKey { worker, function: id });
        }
    }

    /// Orders one replica there, within the ration.
    pub(super) fn order_replica(&mut self, replica: ReplicaKey) {
        let ReplicaKey { worker: at, function: id } = replica;
        self.apply_sweep(id);
        let on = self.workers.get(&at).is_some_and(|w| w.entry.state == WorkerState::On);
        let ordered = self.functions.get(&id).is_none_or(|f| f.pending_loads.contains_key(&at));
        if !on || !self.settings.loading.orders || ordered {
            return;
        }
        if !self.ration_permits_order() {
            return self.avoid_worker(replica, 1);
        }
        let function = self.functions.get_mut(&id).expect("just seen");
        function.last_order = Some(self.now);
        self.load_started(replica);
        self.actions.push(Action::Load { worker: at, function: id, count: 1 });
    }

    /// An order was answered, or ended without an answer.
    pub(super) fn load_ended(
        &mut self,
        replica: ReplicaKey,
        outcome: Outcome,
        replicas: u32,
        elapsed: Micros,
    ) {
        let ReplicaKey { worker: at, function: id } = replica;
        if !self.functions.get(&id).is_some_and(|f| f.pending_loads.contains_key(&at)) {
            return;
        }
        let connection_broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent | Outcome::Timeout)
            && self.settings.limits.probes
            && elapsed < self.settings.loading.order_timeout;
        let lost = |w: &&mut Worker| connection_broke && w.entry.state == WorkerState::On;
        if let Some(worker) = self.workers.get_mut(&at).filter(lost) {
            // It stands if it arrived complete: given again once a probe was answered.
            worker.lost_orders.insert(id);
            self.suspect_connection(at);
            return;
        }
        self.load_finished(replica);
        if outcome == Outcome::Ok || replicas > 0 {
            self.replica_found(replica);
            self.functions.get_mut(&id).expect("just seen").avoided.remove(&at);
            if elapsed > ALREADY_LOADED {
                self.record_load_time(id, elapsed as f64);
            }
        } else if outcome != Outcome::Cancelled {
            self.avoid_worker(replica, if outcome == Outcome::Rejected { 1 } else { MAX_REJECTIONS });
        }
        self.release_held(None);
    }

    /// The function leaves the worker alone for a while, and counts so many rejections.
    pub(super) fn avoid_worker(&mut self, replica: ReplicaKey, rejections: u32) {
        let Some(function) = self.functions.get(&replica.function) else { return };
        let until = self.now + (self.expected_load_time(function) * AVOID_LOADS) as Micros;
        let function = self.functions.get_mut(&replica.function).expect("just seen");
        let avoidance = function.avoided.entry(replica.worker).or_default();
        avoidance.until = until;
        avoidance.rejections = avoidance.rejections.saturating_add(rejections);
    }

    /// Takes one load's time, microseconds, into the means.
    pub(super) fn record_load_time(&mut self, id: FunctionId, load_time: f64) {
        if let Some(function) = self.functions.get_mut(&id) {
            update_mean(&mut function.load_time, load_time, LOAD_TIME_WEIGHT);
        }
        update_mean(&mut self.mean_load_time, load_time, LOAD_TIME_WEIGHT);
    }
}
