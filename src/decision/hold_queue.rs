//! Decides the order in which held calls leave, and when they are looked at.
//!
//! A call is held when no worker may take it. Held calls leave lowest priority first: recent calls of the
//! function times their mean latency, fixed at arrival (the study's Fair-Choice, section IV). Each answer
//! releases the lowest that has room.
//!
//! Leaves the worker to `placement` and the final answer to `retry`. Guards: calls that can't meet their
//! objective any more wait behind those that can (overload, retry storms); a call that is held where its
//! replica stands has that worker probed for idle cores (a bound filled by others).

use std::collections::BTreeSet;

use super::placement::EjectedWorkers;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Function, Timer, TimerKind, Worker};

/// Held calls looked at for one answer: bounds the time of an event.
const RELEASE_SCAN: usize = 512;
/// Held calls are looked at without an answer after so many steps, as room comes with time ...
const RELEASE_INTERVAL_STEPS: Micros = 4;
/// ... and no more often than this.
const RELEASE_INTERVAL_MIN: Micros = 20_000;

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
        function.held_calls += 1;
        // Others' calls fill the bound where its replica stands: probed for idle cores.
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

    /// A held call that can't meet its objective waits behind those that can: late answers make others late.
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
                function.held_calls = function.held_calls.saturating_sub(1);
            }
        }
    }

    /// An answer of `at`, or a change anywhere: the lowest held that have room go, each along its own order.
    pub(super) fn release_held(&mut self, at: Option<WorkerId>) {
        let mut unplaceable = BTreeSet::new();
        for id in self.hold_queue.values().take(RELEASE_SCAN).copied().collect::<Vec<_>>() {
            // One whose deadline has passed while the process stood still is answered by its timer next.
            let in_time = |call: &&Call| self.now < call.answer_by;
            let Some(call) = self.calls.get(&id).filter(in_time) else { continue };
            // Calls that agree in these have the same workers open to them.
            let constraints = (call.function, call.class, call.failed_at, call.first_run);
            if unplaceable.contains(&constraints) {
                continue;
            }
            let Some(function) = self.functions.get(&call.function) else { continue };
            let eligible = at.is_none_or(|w| self.is_eligible(w, call, function, EjectedWorkers::Excluded));
            match if eligible { self.select_worker(id) } else { None } {
                Some(worker) if !self.ensure_recent_load(id, worker) => {}
                Some(worker) => self.send_attempt(id, worker),
                None => _ = unplaceable.insert(constraints),
            }
        }
    }

    pub(super) fn set_release_timer(&mut self) {
        if !self.hold_queue.is_empty() && !self.release_timer_set {
            self.release_timer_set = true;
            let at = self.now + self.release_interval();
            self.timers.insert(Timer { at, kind: TimerKind::ReleaseHeld });
        }
    }

    /// How often held calls and pending responses are looked at without an answer.
    pub(super) fn release_interval(&self) -> Micros {
        (self.settings.event_interval * RELEASE_INTERVAL_STEPS).max(RELEASE_INTERVAL_MIN)
    }
}
