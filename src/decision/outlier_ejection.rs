//! Ejects workers with a high failure rate and returns them to service.
//!
//! The failure rate of a worker is an exponentially weighted share of its failed outcomes of any kind. At one
//! half the worker is ejected. After the ejection it gets one trial call at a time, and each failed trial
//! doubles the next ejection. Unresponsive workers are detected in `response_timeout` and `health_check`.
//! Guards:
//!
//! * the failure rate itself (fast failures, crashes, flapping);
//! * errors of a function that no worker ever served are not counted (clients that call a function that does
//!   not exist);
//! * where probes are permitted, a broken connection counts half, as the probe shows whether the process died
//!   (corrupted responses, resets, half-open connections);
//! * a worker that is down is tried only with probes (trial calls from hundreds of controllers while it
//!   restarts).

use std::fmt;

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Attempt, Worker};

/// Weight of one outcome in the failure rate: two failures in a row eject the worker.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a broken connection where a probe can show whether the process died: only several in a row,
/// without a served call in between, eject the worker.
const BROKEN_CONNECTION_WEIGHT: f64 = 0.15;
/// Failure rate at which a worker is ejected.
pub(super) const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Failure rate below which a worker returns. It is well below the ejection rate, so that a single success
/// does not return a worker that fails every other call.
const RETURN_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 2.0;
/// Duration of the first ejection, doubled each time the ejection is extended. A process restarts within
/// seconds.
pub(super) const EJECTION_FIRST: Micros = 500_000;
/// Upper bound of the duration of an ejection.
const EJECTION_MAX: Micros = 4_000_000;

/// The reason for an ejection, as written to the log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    /// The failure rate is too high.
    Failures,
    /// The process is taken for dead: it refused a connection, or reset one where no probe can be sent.
    Down,
    /// Probes failed, or responses are overdue where no probe can be sent.
    Unresponsive,
}

impl fmt::Display for EjectionReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "too many failures",
            Self::Down => "process down",
            Self::Unresponsive => "unresponsive",
        })
    }
}

impl Worker {
    /// Resets the failure statistics, as past failures no longer apply.
    pub(super) fn reset_failures(&mut self) {
        self.failure_rate = 0.0;
        self.ejected = false;
        self.next_ejection = EJECTION_FIRST;
        self.down = false;
    }
}

impl Controller {
    /// Records the outcome of an attempt in the health of its worker.
    pub(super) fn record_health(&mut self, attempt: &Attempt, outcome: Outcome, elapsed: Micros) {
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        let refused = outcome == Outcome::ConnectFailed && elapsed < self.settings.limits.connect_timeout / 2;
        match outcome {
            Outcome::Ok => self.record_outcome(attempt, None),
            Outcome::NotLoaded | Outcome::Rejected => worker.last_response = self.now,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NeverSent => {}
            // The function itself may be at fault if no worker ever served it.
            Outcome::Error if !self.ever_served(attempt.function) => {}
            Outcome::Reset | Outcome::PartlySent if self.settings.limits.probes => {
                if self.suspect_connection(attempt.worker) {
                    self.record_outcome(attempt, Some(BROKEN_CONNECTION_WEIGHT));
                }
            }
            Outcome::Error | Outcome::ConnectFailed | Outcome::Reset | Outcome::PartlySent => {
                if refused || outcome == Outcome::Reset {
                    self.process_died(attempt.worker);
                }
                self.record_outcome(attempt, Some(FAILURE_WEIGHT));
            }
        }
    }

    /// Whether the function's state shows that a worker served it. State is removed some time after the last
    /// call.
    fn ever_served(&self, id: FunctionId) -> bool {
        self.functions.get(&id).is_some_and(|f| !f.latencies.is_empty() || !f.warm_replicas.is_empty())
    }

    /// Handles the death of a worker's process: drops its replicas, ejects it, and lets its slow start begin
    /// now. Once the worker responds again its process has restarted, whatever start time the list states.
    pub(super) fn process_died(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.restart(Some(self.now), None);
        self.remove_replicas(id);
        self.eject(id, EjectionReason::Down);
    }

    /// Updates the failure rate with one outcome: a failure of the given weight, or a success for `None`.
    fn record_outcome(&mut self, attempt: &Attempt, failure: Option<f64>) {
        let id = attempt.worker;
        let Some(worker) = self.workers.get_mut(&id) else { return };
        let failed = failure.is_some();
        if !failed {
            worker.last_response = self.now;
        }
        let sample = f64::from(u8::from(failed));
        worker.failure_rate += (sample - worker.failure_rate) * failure.unwrap_or(FAILURE_WEIGHT);
        if worker.ejected && worker.failure_rate < RETURN_FAILURE_RATE {
            worker.ejected = false;
            worker.next_ejection = EJECTION_FIRST;
            self.actions.push(Action::Log(format!("worker {} returned to service", id.0)));
            return;
        }
        let over_limit =
            if worker.ejected { attempt.trial } else { worker.failure_rate >= EJECTION_FAILURE_RATE };
        if failed && !worker.down && over_limit {
            self.eject(id, EjectionReason::Failures);
        }
    }

    /// Ejects a worker or extends its ejection. A worker that is down is tried only with probes, as trial
    /// calls from hundreds of controllers would overload it while it restarts.
    pub(super) fn eject(&mut self, id: WorkerId, reason: EjectionReason) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        if !worker.ejected {
            self.actions.push(Action::Log(format!("worker {} ejected: {reason}", id.0)));
        }
        worker.ejected = true;
        worker.down |= reason != EjectionReason::Failures && self.settings.limits.probes;
        worker.ejected_until = self.now + worker.next_ejection;
        worker.next_ejection = (worker.next_ejection * 2).min(EJECTION_MAX);
        if worker.down {
            let at = worker.ejected_until;
            self.set_timeout_check(id, at);
        }
    }

    /// Whether the worker is ejected and not available for a trial call now.
    pub(super) fn ejection_active(&self, worker: &Worker) -> bool {
        worker.ejected && (self.now < worker.ejected_until || worker.down || worker.trial_in_flight)
    }
}
