//! Decides which workers are ejected, for how long, and when they are back.
//!
//! A worker's failure rate is an exponentially weighted share of its recent outcomes that failed, whatever
//! the way. At half it is ejected; once the ejection is over, one call at a time tries it, and each failed
//! trial doubles the next ejection. Leaves silence to `response_timeout` and `health_check`. Guards:
//!
//! * fast failures, crashes, flapping: the rate itself;
//! * errors of a function that no worker ever served count against no worker (clients that call what
//!   does not exist);
//! * connections that broke while the process lived count half (spoilt answers, resets, half-dead links);
//! * a worker that is down is tried by probes alone (hundreds of controllers trying it by calls as it
//!   returns).

use std::fmt;

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Attempt, Worker};

/// Weight of one outcome in a worker's failure rate: two failures in a row eject it.
const FAILURE_WEIGHT: f64 = 0.3;
/// Weight of a connection that broke while its worker's process lived: many, and none served between, eject
/// it.
const BROKEN_CONNECTION_WEIGHT: f64 = 0.15;
/// Failure rate from which a worker is ejected.
pub(super) const EJECTION_FAILURE_RATE: f64 = 0.5;
/// Failure rate below which it returns, well below: one good answer of one that fails half is no recovery.
const RETURN_FAILURE_RATE: f64 = EJECTION_FAILURE_RATE / 2.0;
/// First ejection, doubled at each failed trial: a process restarts in seconds.
pub(super) const EJECTION_FIRST: Micros = 500_000;
/// Longest ejection.
const EJECTION_MAX: Micros = 4_000_000;

/// Why a worker is ejected.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum EjectionReason {
    /// Its failure rate is too high.
    Failures,
    /// Its process died.
    Down,
    /// It does not answer.
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
    /// Past failures say nothing of it any more.
    pub(super) fn reset_failures(&mut self) {
        self.failure_rate = 0.0;
        self.ejected = false;
        self.next_ejection = EJECTION_FIRST;
        self.down = false;
    }
}

impl Controller {
    /// Takes the end of an attempt into its worker's health.
    pub(super) fn record_health(&mut self, attempt: &Attempt, outcome: Outcome, elapsed: Micros) {
        let Some(worker) = self.workers.get_mut(&attempt.worker) else { return };
        let refused = outcome == Outcome::ConnectFailed && elapsed < self.settings.limits.connect_timeout / 2;
        match outcome {
            Outcome::Ok => self.record_outcome(attempt, None),
            Outcome::NotLoaded | Outcome::Rejected => worker.last_response = self.now,
            Outcome::Timeout | Outcome::Cancelled | Outcome::NeverSent => {}
            // What no worker ever served may itself be at fault: its errors tell nothing of the worker.
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

    /// Has any worker served this function, as far as is remembered?
    fn ever_served(&self, id: FunctionId) -> bool {
        self.functions.get(&id).is_some_and(|f| !f.latencies.is_empty() || !f.warm_replicas.is_empty())
    }

    /// Its process died: when it answers again it has restarted, whatever the list says.
    pub(super) fn process_died(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(&id) else { return };
        worker.restart(Some(self.now), None);
        self.remove_replicas(id);
        self.eject(id, EjectionReason::Down);
    }

    /// One outcome in a worker's failure rate: a failure of this weight, or `None`, an answer.
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

    /// Ejects a worker, or prolongs its ejection. One that is down is tried by probes: calls of hundreds
    /// would push it over as it returns.
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

    /// Is the worker ejected and not to be tried by a call now?
    pub(super) fn ejection_active(&self, worker: &Worker) -> bool {
        worker.ejected && (self.now < worker.ejected_until || worker.down || worker.trial_in_flight)
    }
}
