//! Detects overdue responses and decides the consequences for the worker and the call.
//!
//! `health_check` sends probes, `outlier_ejection` ejects workers. Guards:
//!
//! * a worker with pending responses that has sent nothing for a long time (unresponsive machines, broken
//!   links, hanging processes);
//! * a single call that was lost while its worker answered others (responses that never arrive).

use super::outlier_ejection::{EJECTION_FAILURE_RATE, EjectionReason};
use super::replica_loading::STUCK_LOAD_FACTOR;
use super::worker_load::PRESSURE_LIMIT;
use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Attempt, AttemptId, Timer, TimerKind, Worker};

/// A response is overdue after this multiple of the function's mean latency.
const TIMEOUT_LATENCIES: f64 = 6.0;
/// Share of the latency objective before which no response is overdue, however short the mean latency is.
const TIMEOUT_OBJECTIVES: f64 = 0.5;
/// Timeout of the attempts of a function without state: never, but small enough to be added to a timestamp.
const NO_TIMEOUT: Micros = Micros::MAX / 4;

impl Controller {
    /// Schedules a check of the worker's pending responses, unless an earlier one is already scheduled.
    pub(super) fn schedule_timeout_check(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        let pending = self.attempts.values().filter(|a| a.worker == id);
        let since = |a: &Attempt| if a.late { a.sent.max(worker.last_response) } else { a.sent };
        let Some(at) = pending.map(|a| since(a) + self.response_timeout(a)).min() else { return };
        let ejected_until = if worker.ejected { worker.ejected_until } else { 0 };
        let at = at.max(ejected_until).max(self.now + self.release_interval());
        if worker.timeout_check.is_none_or(|set| at < set) {
            self.set_timeout_check(id, at);
        }
    }

    /// Schedules the worker's timeout check, replacing the previous one.
    pub(super) fn set_timeout_check(&mut self, id: WorkerId, at: Micros) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if let Some(set) = worker.timeout_check.replace(at) {
            self.timers.remove(&Timer { at: set, kind: TimerKind::ResponseTimeout(id) });
        }
        self.timers.insert(Timer { at, kind: TimerKind::ResponseTimeout(id) });
    }

    /// Probes a worker that is down, suspect or has overdue responses. Where no probe can be sent and none is
    /// in flight, a worker that is down or overdue is ejected instead. Lost idempotent attempts are cancelled
    /// and retried elsewhere.
    pub(super) fn check_timeouts(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.timeout_check = None;
        let worker = &self.workers[&id];
        let (state, down, suspect) = (worker.entry.state, worker.down, worker.connection_suspect);
        let overdue = self.attempts.values().any(|a| self.is_overdue(id, worker, a));
        let late_attempts = self.cancel_lost_attempts(id);
        if !down && !suspect && !overdue && !late_attempts {
            self.schedule_timeout_check(id);
        } else if self.settings.limits.probes && state == WorkerState::On {
            // A probe distinguishes an unresponsive machine from a slow one.
            self.send_probe(id);
        } else if self.workers[&id].probe_sent.is_none() && (down || overdue) {
            self.eject_unresponsive(id);
        }
    }

    /// Marks the attempts whose response timeout has passed since they were sent, and cancels the idempotent
    /// ones among them that are lost: the worker responded after they were sent, and is not under pressure.
    /// Returns whether any attempt was marked.
    fn cancel_lost_attempts(&mut self, id: WorkerId) -> bool {
        let newly_late =
            |a: &Attempt| a.worker == id && !a.late && self.now >= a.sent + self.response_timeout(a);
        let late: Vec<_> = self.attempts.iter().filter(|(_, a)| newly_late(a)).map(|(id, _)| *id).collect();
        for attempt_id in &late {
            self.attempts.get_mut(attempt_id).expect("just seen").late = true;
            let attempt = &self.attempts[attempt_id];
            let function = self.functions.get(&attempt.function);
            let low_pressure = function.is_some_and(|f| self.pressure(f, id, attempt.class) < PRESSURE_LIMIT);
            if attempt.sent < self.workers[&id].last_response && !attempt.loading && low_pressure {
                self.cancel_if_idempotent(*attempt_id);
            }
        }
        !late.is_empty()
    }

    /// Time since the attempt was sent after which its response is overdue. Includes the time of a load that
    /// the attempt may wait for.
    fn response_timeout(&self, attempt: &Attempt) -> Micros {
        let Some(function) = self.functions.get(&attempt.function) else { return NO_TIMEOUT };
        let load = if attempt.loading { self.expected_load_time(function) * STUCK_LOAD_FACTOR } else { 0.0 };
        let least = self.settings.classes[attempt.class].latency_objective as f64 * TIMEOUT_OBJECTIVES;
        ((function.mean_latency() * TIMEOUT_LATENCIES).max(least) + load) as Micros
    }

    /// Whether the attempt is at this worker, and its timeout has passed since it was sent and since the
    /// worker's last response.
    pub(super) fn is_overdue(&self, id: WorkerId, worker: &Worker, attempt: &Attempt) -> bool {
        let since = || attempt.sent.max(worker.last_response);
        attempt.worker == id && self.now >= since() + self.response_timeout(attempt)
    }

    /// Cancels the attempt so that the call can be retried elsewhere, if cancellation is permitted and the
    /// call is idempotent, not streaming and has attempts left. Drawback: slow calls may run twice.
    fn cancel_if_idempotent(&mut self, id: AttemptId) {
        let AttemptId { request, number } = id;
        let Some(call) = self.calls.get(&request) else { return };
        let idempotent = call.effect == Effect::Idempotent;
        let attempts_left = call.attempts < self.settings.limits.max_attempts;
        let in_flight = call.in_flight == Some(number) && !call.streaming;
        if idempotent && attempts_left && in_flight && self.settings.limits.cancel {
            self.actions.push(Action::Cancel { request, attempt: number });
        }
    }

    /// Ejects an unresponsive worker and cancels its overdue idempotent attempts.
    pub(super) fn eject_unresponsive(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(&id) else { return };
        let overdue = self.attempts.iter().filter(|(_, a)| self.is_overdue(id, worker, a));
        for attempt in overdue.map(|(attempt, _)| *attempt).collect::<Vec<_>>() {
            self.cancel_if_idempotent(attempt);
        }
        let worker = self.workers.get_mut(&id).expect("just seen");
        worker.failure_rate = worker.failure_rate.max(EJECTION_FAILURE_RATE);
        self.eject(id, EjectionReason::Unresponsive);
        self.schedule_timeout_check(id);
    }
}
