//! Holds calls that no worker can take, and decides when and in which order they are released.
//!
//! Held calls are released in priority order: the number of recent calls of the function times its mean
//! latency, computed at arrival, lowest first (Fair-Choice, section IV of the paper cited in [`super`]). Each
//! response releases the first calls that a worker can take.
//!
//! The worker is chosen in `placement`, the final answer is sent in `retry`. Guards:
//!
//! * calls that can no longer meet their objective are released after those that can (overload, retry
//!   storms);
//! * if a call is held although its function has a replica, the worker of that replica is probed for idle
//!   cores (lanes bound reached by calls of other functions).

use std::collections::BTreeSet;

use super::placement::EjectedWorkers;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, FirstRun, Function, Timer, TimerKind, Worker};

/// Held calls examined per response; bounds the time to handle an event.
const RELEASE_SCAN: usize = 512;
/// Interval, in event intervals, at which held calls are examined while no response arrives, as capacity also
/// becomes free with time.
const RELEASE_INTERVAL_STEPS: Micros = 4;
/// Lower bound of the interval between two examinations without a response.
const RELEASE_INTERVAL_MIN: Micros = 20_000;

/// What decides which workers are eligible for a call: its function, its class, the worker that last failed
/// it, and the first attempt that may have run.
type Constraints = (FunctionId, usize, Option<WorkerId>, Option<FirstRun>);

impl Controller {
    pub(super) fn hold(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        if !call.held {
            self.enqueue_held(id);
        }
        self.set_release_timer();
    }

    fn enqueue_held(&mut self, id: RequestId) {
        let may_probe = self.may_probe_load();
        let Some(call) = self.calls.get_mut(&id) else { return };
        let objective = self.settings.classes[call.class].latency_objective;
        let mean = self.functions.get(&call.function).map_or(0.0, Function::mean_latency) as Micros;
        let latest_start = call.arrived + objective.saturating_sub(mean);
        call.priority.objective_missed = self.now >= latest_start;
        if !call.priority.objective_missed {
            self.timers.insert(Timer { at: latest_start, kind: TimerKind::ObjectivePassed(id) });
        }
        call.held = true;
        self.hold_queue.insert(call.priority, id);
        let Some(function) = self.functions.get_mut(&call.function) else { return };
        function.held_calls.insert(call.priority, id);
        // Calls of other functions may fill the lanes bound at its replica's worker: probe it for idle cores.
        let full = |w: &Worker| {
            let outdated = w.last_report.is_some_and(|r| r.at + objective < self.now);
            w.warm_in_flight >= function.lanes && outdated
        };
        let full_home = |id: &&WorkerId| self.workers.get(id).is_some_and(full);
        let full_home = function.warm_replicas.keys().find(full_home).copied();
        if let Some(at) = full_home.filter(|_| may_probe) {
            self.send_probe(at);
        }
    }

    /// Moves a held call that can no longer meet its objective behind those that can, because serving it
    /// first would delay them.
    pub(super) fn objective_passed(&mut self, id: RequestId) {
        if self.calls.get(&id).is_some_and(|call| call.held) {
            self.dequeue_held(id);
            self.hold(id);
        }
    }

    pub(super) fn dequeue_held(&mut self, id: RequestId) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.held {
            call.held = false;
            self.hold_queue.remove(&call.priority);
            if let Some(function) = self.functions.get_mut(&call.function) {
                function.held_calls.remove(&call.priority);
            }
        }
    }

    /// Releases the first held calls that a worker can take, after a response of `responder` to a call of
    /// `function` or, with `None`, after any other change. Each call follows its own worker order.
    pub(super) fn release_held(&mut self, responder: Option<WorkerId>, function: Option<FunctionId>) {
        let first: Vec<RequestId> = self.hold_queue.values().take(RELEASE_SCAN).copied().collect();
        let mut unplaceable = BTreeSet::new();
        for id in first {
            self.release_if_placeable(id, responder, &mut unplaceable);
        }
        // Functions that nobody serves have no latency and come first. Many calls of theirs must not keep
        // those of a function from the capacity that its own response has freed.
        if self.hold_queue.len() >= RELEASE_SCAN
            && let Some(id) = function.and_then(|id| self.first_held_call(id))
        {
            self.release_if_placeable(id, responder, &mut unplaceable);
        }
    }

    fn first_held_call(&self, function: FunctionId) -> Option<RequestId> {
        self.functions.get(&function)?.held_calls.values().next().copied()
    }

    /// Sends a held call if a worker can take it. Calls with the constraints in `unplaceable` are passed
    /// over.
    fn release_if_placeable(
        &mut self,
        id: RequestId,
        responder: Option<WorkerId>,
        unplaceable: &mut BTreeSet<Constraints>,
    ) {
        // After a pause of the process, a call may be past its deadline; its timer answers it next.
        let in_time = |call: &&Call| self.now < call.answer_by;
        let Some(call) = self.calls.get(&id).filter(in_time) else { return };
        let constraints = (call.function, call.class, call.last_failed_worker, call.first_run);
        if unplaceable.contains(&constraints) {
            return;
        }
        let Some(function) = self.functions.get(&call.function) else { return };
        let eligible =
            responder.is_none_or(|w| self.is_eligible(w, call, function, EjectedWorkers::Excluded));
        match if eligible { self.select_worker(id) } else { None } {
            Some(worker) if !self.ensure_recent_load(id, worker) => {}
            Some(worker) => self.send_attempt(id, worker),
            None => _ = unplaceable.insert(constraints),
        }
    }

    pub(super) fn set_release_timer(&mut self) {
        if !self.hold_queue.is_empty() && !self.release_timer_set {
            self.release_timer_set = true;
            let at = self.now + self.release_interval();
            self.timers.insert(Timer { at, kind: TimerKind::ReleaseHeld });
        }
    }

    /// Interval at which held calls and pending responses are checked if no response arrives.
    pub(super) fn release_interval(&self) -> Micros {
        (self.settings.event_interval * RELEASE_INTERVAL_STEPS).max(RELEASE_INTERVAL_MIN)
    }
}
