//! Orders replicas, decides where a load may start, and handles the end of loads.
//!
//! `load_ration` limits the rate of orders, `replicas` keeps the index of replicas. Guards:
//!
//! * one load per function at a time, unless the load is stuck (load storms, evictions, a slow model store);
//! * few loads per worker at a time;
//! * a worker that rejected or failed a load is avoided for a while (full memory, failing loads);
//! * an additional replica is ordered if all replicas are under pressure (hot functions under many
//!   controllers);
//! * an order that was lost with its connection is sent again (connections cut during long loads).

use super::worker_load::PRESSURE_LIMIT;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Function, ReplicaKey, Worker, update_mean};

/// Assumed load time before any was reported or measured: that of a medium-sized program.
const DEFAULT_LOAD_TIME_US: f64 = 1_000_000.0;
/// A load that takes this many times the expected time counts as stuck; another may start elsewhere.
pub(super) const STUCK_LOAD_FACTOR: f64 = 3.0;
/// Maximum number of pending loads of this controller per worker: workers run few loads concurrently.
const MAX_LOADS_PER_WORKER: usize = 2;
/// Weight of one sample in the mean load time.
const LOAD_TIME_WEIGHT: f64 = 0.3;
/// Longest time in which an order is answered if the replica was already loaded. Such an answer is not used
/// as a load time sample.
const ALREADY_LOADED_ANSWER_MAX: Micros = 20_000;
/// Time for which a function avoids a worker after a failed or rejected load, as a share of the function's
/// expected load time.
const AVOIDANCE_LOAD_TIME_SHARE: f64 = 0.5;
/// Number of consecutive rejections after which a worker is not used as a home, until a load succeeds there
/// or the record of the rejections expires. A failed load counts as this many.
pub(super) const MAX_REJECTIONS: u32 = 3;

impl Controller {
    /// Whether a call may start a load at the worker or wait for one there. One load per function, few per
    /// worker.
    pub(super) fn may_load(&self, id: WorkerId, worker: &Worker, function: &Function) -> bool {
        if function.pending_loads.contains_key(&id) {
            return self.settings.loading.when_absent == WhenAbsent::Load;
        }
        if self.load_in_progress(function) || worker.pending_loads >= MAX_LOADS_PER_WORKER {
            return false;
        }
        !function.warm_replicas.keys().any(|w| self.is_warm(function, *w) && self.is_healthy(*w))
    }

    /// Whether a load of this controller is pending that does not count as stuck.
    pub(super) fn load_in_progress(&self, function: &Function) -> bool {
        let stuck = (self.expected_load_time(function) * STUCK_LOAD_FACTOR) as Micros;
        function.pending_loads.values().any(|&since| self.now < since + stuck)
    }

    /// The expected load time in microseconds.
    pub(super) fn expected_load_time(&self, function: &Function) -> f64 {
        function.load_time.or(self.mean_load_time).unwrap_or(DEFAULT_LOAD_TIME_US)
    }

    /// Orders an additional replica if all warm workers are under pressure. It is ordered at the next worker
    /// in the rendezvous order, which is the same at every controller. If that worker already has a replica,
    /// the answer to the order reports it.
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

    /// Orders one replica, unless the worker is not in service, orders are not permitted, or a load is
    /// already pending there. If the ration does not permit the order, the function avoids the worker for a
    /// while, as after a rejection.
    pub(super) fn order_replica(&mut self, replica: ReplicaKey) {
        let ReplicaKey { worker: worker_id, function: function_id } = replica;
        self.apply_sweep(function_id);
        let on = self.workers.get(&worker_id).is_some_and(|w| w.entry.state == WorkerState::On);
        let ordered =
            self.functions.get(&function_id).is_none_or(|f| f.pending_loads.contains_key(&worker_id));
        if !on || !self.settings.loading.orders || ordered {
            return;
        }
        if !self.ration_permits_order() {
            return self.avoid_worker(replica, 1);
        }
        let function = self.functions.get_mut(&function_id).expect("just seen");
        function.last_order = Some(self.now);
        self.load_started(replica);
        self.actions.push(Action::Load { worker: worker_id, function: function_id, count: 1 });
    }

    /// Handles the end of a load order, with or without an answer.
    pub(super) fn load_ended(
        &mut self,
        replica: ReplicaKey,
        outcome: Outcome,
        replicas: u32,
        elapsed: Micros,
    ) {
        let ReplicaKey { worker: worker_id, function: function_id } = replica;
        if !self.functions.get(&function_id).is_some_and(|f| f.pending_loads.contains_key(&worker_id)) {
            return;
        }
        let connection_broke = matches!(outcome, Outcome::Reset | Outcome::PartlySent | Outcome::Timeout)
            && self.settings.limits.probes
            && elapsed < self.settings.loading.order_timeout;
        let lost = |w: &&mut Worker| connection_broke && w.entry.state == WorkerState::On;
        if let Some(worker) = self.workers.get_mut(&worker_id).filter(lost) {
            // The order may have arrived before the connection broke. It is sent again after an answered
            // probe.
            worker.lost_orders.insert(function_id);
            self.suspect_connection(worker_id);
            return;
        }
        self.load_finished(replica);
        if outcome == Outcome::Ok || replicas > 0 {
            self.replica_found(replica);
            self.functions.get_mut(&function_id).expect("just seen").avoided.remove(&worker_id);
            if elapsed > ALREADY_LOADED_ANSWER_MAX {
                self.record_load_time(function_id, elapsed as f64);
            }
        } else if outcome != Outcome::Cancelled {
            self.avoid_worker(replica, if outcome == Outcome::Rejected { 1 } else { MAX_REJECTIONS });
        }
        self.release_held(None, Some(function_id));
    }

    /// Makes the function avoid the worker for a share of its expected load time, and adds to the number of
    /// rejections.
    pub(super) fn avoid_worker(&mut self, replica: ReplicaKey, rejections: u32) {
        let Some(function) = self.functions.get(&replica.function) else { return };
        let until = self.now + (self.expected_load_time(function) * AVOIDANCE_LOAD_TIME_SHARE) as Micros;
        let function = self.functions.get_mut(&replica.function).expect("just seen");
        let avoidance = function.avoided.entry(replica.worker).or_default();
        avoidance.until = until;
        avoidance.rejections = avoidance.rejections.saturating_add(rejections);
    }

    /// Adds a load time sample, in microseconds, to the means.
    pub(super) fn record_load_time(&mut self, id: FunctionId, load_time: f64) {
        if let Some(function) = self.functions.get_mut(&id) {
            update_mean(&mut function.load_time, load_time, LOAD_TIME_WEIGHT);
        }
        update_mean(&mut self.mean_load_time, load_time, LOAD_TIME_WEIGHT);
    }
}
