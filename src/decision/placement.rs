//! Chooses the worker of a call, or finds that no worker can take it now.
//!
//! The basic rule of the design document: a call goes to the worker where its function was last found warm,
//! if this controller has fewer requests in flight there than the function has lanes; otherwise to the next
//! worker below that bound in the function's rendezvous order, starting with its home. If there is none, the
//! call is held.
//!
//! `hold_queue` holds calls, `worker_load` computes the pressure of a worker, `outlier_ejection` evaluates
//! its health, and `replica_loading` orders replicas. Guards, with the failure that each prevents:
//!
//! * workers under pressure are passed over; if all are, the one with the least pressure is taken (load from
//!   other controllers);
//! * if the first worker without a replica is under pressure, one more is considered (functions with an
//!   overloaded home);
//! * if loads of this controller fill the home, the call waits for it (replicas scattered over many workers);
//! * the worker that just failed the call is tried last (all attempts spent on one fault);
//! * a worker with idle cores may exceed the lanes bound (a bound filled by calls of other functions);
//! * draining, suspect and ejected workers get no calls, but if all workers are ejected, the one with the
//!   lowest failure rate does (false alarms at all workers at once).

use super::replica_loading::MAX_REJECTIONS;
use super::worker_load::{LOAD_PROBE_WAIT, PRESSURE_LIMIT, PRESSURE_MAX};
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Function, Worker};

/// Number of workers without a replica that are considered before pressure is ignored. It is small because
/// the workers' memory can't hold a replica of each function everywhere.
const ABSENT_CANDIDATES: usize = 2;

/// Whether ejected workers are eligible.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectedWorkers {
    /// Ejected workers are eligible only for trial calls.
    Excluded,
    /// Ejected workers are eligible, because all workers are ejected.
    Permitted,
}

impl Controller {
    /// Sends the call, holds it, or sends its final answer if no worker is in service.
    pub(super) fn dispatch(&mut self, id: RequestId) {
        if self.no_worker_in_service() {
            return self.send_final_answer(id);
        }
        if let Some((function, class)) = self.calls.get(&id).map(|call| (call.function, call.class)) {
            self.order_additional_replica(function, class);
        }
        match self.select_worker(id) {
            Some(worker) if self.ensure_recent_load(id, worker) => self.send_attempt(id, worker),
            _ => self.hold(id),
        }
    }

    /// Returns the worker for a call: the last warm one, or else the first eligible one in the rendezvous
    /// order. `None` if no worker can take the call now.
    pub(super) fn select_worker(&mut self, id: RequestId) -> Option<WorkerId> {
        self.update_homes(self.calls.get(&id)?.function);
        let call = &self.calls[&id];
        let function = self.functions.get(&call.function)?;
        if !self.may_repeat(call) {
            return None;
        }
        // The worker that just failed the call is considered last.
        let last_failed = |w: &WorkerId| {
            self.pressure(function, *w, call.class) < PRESSURE_MAX
                && self.is_eligible(*w, call, function, EjectedWorkers::Excluded)
        };
        let found = self
            .select_warm(call, function)
            .or_else(|| self.select_without_replica(call, function))
            .or_else(|| call.last_failed_worker.filter(last_failed));
        let in_service = |w: &Worker| w.entry.state == WorkerState::On && !w.ejected;
        if found.is_some() || self.workers.values().any(in_service) {
            return found;
        }
        self.select_least_failing(call, function)
    }

    /// Selects the first warm worker in order that is not under pressure. If all are under pressure, selects
    /// the one with the least pressure, or none while a load of the function has just been started.
    fn select_warm(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        let warm = |w: &WorkerId| self.is_warm(function, *w);
        let last_warm = function
            .warm_replicas
            .iter()
            .filter(|(w, _)| warm(w))
            .max_by_key(|(w, at)| (**at, **w))
            .map(|(w, _)| *w);
        let order = || self.walk_order(call.function, function, call.class, Some(&function.warm_replicas));
        let is_eligible = |w: WorkerId| self.is_eligible(w, call, function, EjectedWorkers::Excluded);
        let usable = || {
            let all = last_warm.into_iter().chain(order());
            all.filter(|w| warm(w) && is_eligible(*w) && call.last_failed_worker != Some(*w))
        };
        let pressure = |w: WorkerId| self.pressure(function, w, call.class);
        if let Some(worker) = usable().find(|w| pressure(*w) < PRESSURE_LIMIT) {
            return Some(worker);
        }
        let objective = self.settings.classes[call.class].latency_objective as f64;
        let wait = (objective * LOAD_PROBE_WAIT) as Micros;
        let just_ordered = function.pending_loads.values().any(|&t| self.now < t + wait);
        let least = usable().map(|w| (pressure(w), w)).min_by(|a, b| a.0.total_cmp(&b.0));
        least.filter(|(pressure, _)| *pressure < PRESSURE_MAX && !just_ordered).map(|(_, w)| w)
    }

    /// Selects among the workers without a known replica: one that may load the function or is loading it.
    fn select_without_replica(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        // This check is the same for all workers: with a healthy replica, no other load may start.
        let may_wait =
            self.settings.loading.when_absent == WhenAbsent::Load && !function.pending_loads.is_empty();
        let healthy_replica =
            function.warm_replicas.keys().any(|w| self.is_warm(function, *w) && self.is_healthy(*w));
        if !may_wait && healthy_replica {
            return None;
        }
        // If no load may start, the call can only wait at a worker with a pending load.
        let no_new_load = healthy_replica || self.load_in_progress(function);
        let pending_only = Some(&function.pending_loads).filter(|_| no_new_load);
        let pressure = |w: WorkerId| self.pressure(function, w, call.class);
        let usable = |w: &WorkerId| {
            call.last_failed_worker != Some(*w)
                && !self.is_warm(function, *w)
                && pressure(*w) < PRESSURE_MAX
                && self.is_eligible(*w, call, function, EjectedWorkers::Excluded)
        };
        let order = || self.walk_order(call.function, function, call.class, pending_only);
        // Where only orders load functions, the call waits while loads of this controller occupy the home: a
        // replica elsewhere would not be found by the other controllers, which look at the home.
        let only_orders_load =
            self.settings.loading.when_absent == WhenAbsent::Miss && pending_only.is_none();
        let home = if only_orders_load { self.home(call, function) } else { None };
        let has_pending_loads = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.pending_loads > 0);
        if let Some(home) = home.filter(has_pending_loads) {
            return Some(home).filter(usable);
        }
        let mut candidates = order().filter(|w| usable(w)).take(ABSENT_CANDIDATES);
        candidates.find(|w| pressure(*w) < PRESSURE_LIMIT).or_else(|| order().find(|w| usable(w)))
    }

    /// The first worker in the function's order that is past its slow start, below [`PRESSURE_MAX`], not
    /// excluded by an ejection, and has not rejected the function too often in a row.
    fn home(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        let rejected_too_often =
            |w: &WorkerId| function.avoided.get(w).is_some_and(|a| a.rejections >= MAX_REJECTIONS);
        let available = |w: &WorkerId| {
            self.workers.get(w).is_some_and(|w| !self.ejection_active(w) && !self.is_warming_up(w))
        };
        self.walk_order(call.function, function, call.class, None).find(|w| {
            available(w) && self.pressure(function, *w, call.class) < PRESSURE_MAX && !rejected_too_often(w)
        })
    }

    /// Selects the worker with the lowest failure rate when all workers are ejected, so that calls are still
    /// sent.
    fn select_least_failing(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        let is_eligible = |w: &WorkerId| self.is_eligible(*w, call, function, EjectedWorkers::Permitted);
        let failure_rate = |w: &WorkerId| self.workers.get(w).map_or(1.0, |x| x.failure_rate);
        let score = |w: &WorkerId| self.fleet.position(call.function, *w).map_or(f64::INFINITY, |p| p.score);
        let compare = |a: &WorkerId, b: &WorkerId| {
            failure_rate(a).total_cmp(&failure_rate(b)).then_with(|| score(a).total_cmp(&score(b)))
        };
        self.workers.keys().copied().filter(is_eligible).min_by(compare)
    }

    /// Whether the worker may take an attempt of the call now. All guards are combined here.
    pub(super) fn is_eligible(
        &self,
        id: WorkerId,
        call: &Call,
        function: &Function,
        ejected: EjectedWorkers,
    ) -> bool {
        let Some(worker) = self.workers.get(&id) else { return false };
        let warm = self.is_warm(function, id);
        let in_flight = function.in_flight.get(&id).copied().unwrap_or(0);
        // A worker whose ejection time has passed gets one trial call at a time, never a non-idempotent one.
        let non_idempotent = call.effect == Effect::NonIdempotent;
        let excluded = self.ejection_active(worker) || worker.ejected && non_idempotent;
        // The lanes bound of the design. Calls that wait for a load use no core, so they count only for their
        // own function. One call starts a load; the others are held by the controller and don't occupy slots
        // of the worker.
        let at_bound =
            warm && worker.warm_in_flight >= function.lanes && !self.reports_idle_cores(worker, call.class);
        // A draining worker gets nothing new from the moment the drain is announced.
        worker.entry.state == WorkerState::On
            && !worker.connection_suspect
            && self.idempotency_permits(call, worker)
            && (!excluded || ejected == EjectedWorkers::Permitted)
            && !at_bound
            && in_flight < if warm { function.lanes } else { 1 }
            && function.avoided.get(&id).is_none_or(|avoided| self.now >= avoided.until)
            && (warm || self.may_load(id, worker, function))
            && self.slow_start_permits(worker, call.class)
    }

    /// Whether a replica was found at the worker within the keep-alive time, during which it stays loaded.
    pub(super) fn is_warm(&self, function: &Function, worker: WorkerId) -> bool {
        let found = function.warm_replicas.get(&worker);
        found.is_some_and(|&at| at + self.settings.loading.keep_alive > self.now)
    }

    /// Whether the worker is in service, not ejected and past its slow start.
    pub(super) fn is_healthy(&self, id: WorkerId) -> bool {
        let healthy = |w: &Worker| w.entry.state == WorkerState::On && !w.ejected && !self.is_warming_up(w);
        self.workers.get(&id).is_some_and(healthy)
    }
}
