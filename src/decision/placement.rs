//! Decides which worker takes a call: the ordinary path, and what keeps a worker from taking a call now.
//!
//! The rule (design page; the study's section IV orders what waits): the worker last found warm for the
//! function while our requests there are under its lanes, else the next worker under that bound along the
//! function's rendezvous order, its hashed home first; else the call is held, lowest recent calls x mean
//! latency first.
//!
//! Leaves the wait to `hold_queue`, a worker's load to `worker_load`, its health to `outlier_ejection`, loads
//! to `replica_loading`. Guards here, each with what it guards against:
//!
//! * pressure: workers crowded by other controllers are passed over, the least loaded is taken where all are;
//! * the first absent worker under pressure: one more is looked at (functions whose home is crowded);
//! * a full home is waited for while our own loads fill it (replicas scattered over workers);
//! * the worker that just failed the call comes last (spending all attempts on one fault);
//! * idle cores lift the lanes bound (others' functions filling the bound of a worker that idles);
//! * draining, suspect and ejected workers take nothing, but with all ejected the least failing takes it (a
//!   false alarm everywhere).

use super::replica_loading::MAX_REJECTIONS;
use super::worker_load::{LOAD_PROBE_WAIT, PRESSURE_LIMIT, PRESSURE_MAX};
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Function, Worker};

/// Where no replica is known, a call looks at so many workers for one without pressure: memory holds no
/// replica of all everywhere.
const ABSENT_CANDIDATES: usize = 2;

/// Whether ejected workers may be chosen.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectedWorkers {
    /// No, but for trials.
    Excluded,
    /// Yes: all are ejected.
    Permitted,
}

impl Controller {
    /// Sends the call now, holds it, or answers it where no worker is in service.
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

    /// The worker for a call: last warm, else the first along the shared order that may take it.
    pub(super) fn select_worker(&mut self, id: RequestId) -> Option<WorkerId> {
        self.update_homes(self.calls.get(&id)?.function);
        let call = &self.calls[&id];
        let function = self.functions.get(&call.function)?;
        if !self.may_repeat(call) {
            return None;
        }
        // Last comes the worker that just failed this call.
        let last_failed = |w: &WorkerId| {
            self.pressure(function, *w, call.class) < PRESSURE_MAX
                && self.is_eligible(*w, call, function, EjectedWorkers::Excluded)
        };
        let found = self
            .select_warm(call, function)
            .or_else(|| self.select_without_replica(call, function))
            .or_else(|| call.failed_at.filter(last_failed));
        let in_service = |w: &Worker| w.entry.state == WorkerState::On && !w.ejected;
        if found.is_some() || self.workers.values().any(in_service) {
            return found;
        }
        self.select_least_failing(call, function)
    }

    /// Warm workers, by the order; where all are under pressure, the least so.
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
            all.filter(|w| warm(w) && is_eligible(*w) && call.failed_at != Some(*w))
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

    /// Workers without a known replica, where one may be loaded or is loading.
    fn select_without_replica(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        // Asked once for all workers: a healthy replica stands, so that none may be begun.
        let may_wait =
            self.settings.loading.when_absent == WhenAbsent::Load && !function.pending_loads.is_empty();
        let healthy_replica =
            function.warm_replicas.keys().any(|w| self.is_warm(function, *w) && self.is_healthy(*w));
        if !may_wait && healthy_replica {
            return None;
        }
        // None may be begun: it may at most wait where one is under way.
        let no_new_load = healthy_replica || self.load_in_progress(function);
        let pending_only = Some(&function.pending_loads).filter(|_| no_new_load);
        let pressure = |w: WorkerId| self.pressure(function, w, call.class);
        let usable = |w: &WorkerId| {
            call.failed_at != Some(*w)
                && !self.is_warm(function, *w)
                && pressure(*w) < PRESSURE_MAX
                && self.is_eligible(*w, call, function, EjectedWorkers::Excluded)
        };
        let order = || self.walk_order(call.function, function, call.class, pending_only);
        // Where only orders load, a full home is waited for: others would not look for a replica elsewhere.
        let only_orders_load =
            self.settings.loading.when_absent == WhenAbsent::Miss && pending_only.is_none();
        let home = if only_orders_load { self.home(call, function) } else { None };
        let has_pending_loads = |w: &WorkerId| self.workers.get(w).is_some_and(|w| w.pending_loads > 0);
        if let Some(home) = home.filter(has_pending_loads) {
            return Some(home).filter(usable);
        }
        let mut first = order().filter(|w| usable(w)).take(ABSENT_CANDIDATES);
        first.find(|w| pressure(*w) < PRESSURE_LIMIT).or_else(|| order().find(|w| usable(w)))
    }

    /// The first worker of the function's order that is open to it and did not lack room too often in a row.
    fn home(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        let rejected_too_often =
            |w: &WorkerId| function.avoided.get(w).is_some_and(|a| a.rejections >= MAX_REJECTIONS);
        let open = |w: &WorkerId| {
            self.workers.get(w).is_some_and(|w| !self.ejection_active(w) && !self.is_warming_up(w))
        };
        self.walk_order(call.function, function, call.class, None).find(|w| {
            open(w) && self.pressure(function, *w, call.class) < PRESSURE_MAX && !rejected_too_often(w)
        })
    }

    /// Never all ejected: with every worker suspect, the one that fails least takes the call.
    fn select_least_failing(&self, call: &Call, function: &Function) -> Option<WorkerId> {
        let is_eligible = |w: &WorkerId| self.is_eligible(*w, call, function, EjectedWorkers::Permitted);
        let failing = |w: &WorkerId| self.workers.get(w).map_or(1.0, |x| x.failure_rate);
        let score = |w: &WorkerId| self.fleet.position(call.function, *w).map_or(f64::INFINITY, |p| p.score);
        let better = |a: &WorkerId, b: &WorkerId| {
            failing(a).total_cmp(&failing(b)).then_with(|| score(a).total_cmp(&score(b)))
        };
        self.workers.keys().copied().filter(is_eligible).min_by(better)
    }

    /// May this worker take an attempt of the call now? All guards in one place.
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
        // An ejected worker takes one trial at a time once its ejection is over, none of them non-idempotent.
        let non_idempotent = self.settings.classes[call.class].effect == Effect::NonIdempotent;
        let excluded = self.ejection_active(worker) || worker.ejected && non_idempotent;
        // The design's bound. Calls that wait for a load use no core: they count for their own function only.
        // One call starts a load; the others wait here, not in the worker's slots.
        let at_bound =
            warm && worker.warm_in_flight >= function.lanes && !self.reports_idle_cores(worker, call.class);
        // Drains: nothing new from the moment it is notified.
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

    /// Was a replica found there no longer ago than it stays at least?
    pub(super) fn is_warm(&self, function: &Function, worker: WorkerId) -> bool {
        let found = function.warm_replicas.get(&worker);
        found.is_some_and(|&at| at + self.settings.loading.keep_alive > self.now)
    }

    /// In service, not ejected and past its slow start.
    pub(super) fn is_healthy(&self, id: WorkerId) -> bool {
        let healthy = |w: &Worker| w.entry.state == WorkerState::On && !w.ejected && !self.is_warming_up(w);
        self.workers.get(&id).is_some_and(healthy)
    }
}
