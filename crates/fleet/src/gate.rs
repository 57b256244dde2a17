//! Admission control while a fleet returns to service. After a start, workers warm up, replicas are missing
//! and all clients reconnect at once. A call that can't be answered in time is rejected on arrival, with a
//! retry delay that spreads the clients. The number of admitted calls adapts to what the fleet serves.
//!
//! A call waits while it is not assigned to a worker. A new call is admitted while the oldest waiting call of
//! the same model has waited for less than a share of the latency objective. Therefore a model without a
//! replica does not affect the calls of other models. Once a worker list is in force, a call of a model for
//! which none waits is admitted, because it is what causes a load order. This does not apply while
//! [`MAX_WAITING`] calls wait, nor to a non-idempotent call before the list was read since the start. If the
//! whole fleet is too slow, the waiting calls of all models grow old and further calls are rejected. Calls in
//! flight are not affected, and once service is complete all calls are admitted.
//!
//! The caller sends the rejections.

use std::collections::{BTreeSet, HashMap};

use crate::Millis;

/// The phases of the return to service, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// No worker list is in force, or it has no workers: all calls are rejected.
    NoList,
    /// Calls are admitted as far as they can be answered in time.
    Partial,
    /// Service is complete: all calls are admitted.
    Complete,
}

impl Step {
    /// Returns the name used in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoList => "no-list",
            Self::Partial => "part",
            Self::Complete => "whole",
        }
    }
}

/// Parameters of the gate. They need no adjustment to a deployment, because calls are judged relative to
/// their own latency objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// A call is admitted while the oldest waiting call of its model has waited less than this share of the
    /// call's latency objective.
    pub age_share: f64,
    /// Service is complete if no call was rejected as crowded for this long, in milliseconds: see
    /// [`Gate::advance`].
    pub quiet_period: Millis,
    /// Maximum retry delay in milliseconds.
    pub max_retry_after: Millis,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self { age_share: 0.5, quiet_period: 1_000, max_retry_after: 2_000 }
    }
}

/// Whether a call is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call is admitted.
    Admit,
    /// The call is rejected. The client is asked to retry after this many milliseconds.
    Reject(Millis),
}

/// The properties of a call that decide on its admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallInfo {
    /// Time until the deadline of the call, in milliseconds.
    pub remaining: Millis,
    /// Latency objective of the call's class, in milliseconds.
    pub latency_objective: Millis,
    /// Weight of the call's class relative to the highest one, above 0 and at most 1.
    pub priority_weight: f64,
    /// Whether executing the call twice could do harm.
    pub non_idempotent: bool,
    /// A number that identifies the call's model.
    pub model: u64,
}

/// Totals of rejected calls by cause, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls rejected because no worker list was in force.
    pub no_list: u64,
    /// Calls rejected because waiting calls of the same model were too old, or too many calls were waiting.
    pub crowded: u64,
    /// Non-idempotent calls rejected because the worker list was persisted by an earlier incarnation and not
    /// read since the start.
    pub unproven: u64,
}

/// Maximum number of tracked waiting calls. Further calls are rejected as crowded.
pub const MAX_WAITING: usize = 65_536;
/// Maximum retry delay in milliseconds while no worker list was read since the start. It is short because the
/// next read is imminent.
const NO_LIST_RETRY_AFTER: Millis = 500;
/// Minimum retry delay in milliseconds.
const MIN_RETRY_AFTER: Millis = 50;
/// Lower bound of the weight with which a call is judged.
const MIN_WEIGHT: f64 = 0.1;

/// A call that is not assigned to a worker.
#[derive(Clone, Copy, Debug)]
struct WaitingCall {
    model: u64,
    since: Millis,
}

/// Admission control from the start until service is complete.
#[derive(Clone, Debug)]
pub struct Gate {
    config: GateConfig,
    step: Step,
    since: Millis,
    /// Whether a worker list was read since the start.
    list_is_proven: bool,
    /// Calls that are not assigned to a worker, by call.
    waiting: HashMap<u64, WaitingCall>,
    /// Calls that are assigned to a worker, with their models.
    at_workers: HashMap<u64, u64>,
    /// Waiting calls by model, each with the time at which it began to wait; the oldest is the first.
    by_model: HashMap<u64, BTreeSet<(Millis, u64)>>,
    last_rejection: Millis,
    counters: Counters,
}

impl Gate {
    /// Creates the gate of a controller that starts at `now`.
    pub fn new(config: GateConfig, now: Millis) -> Self {
        Self {
            config,
            step: Step::NoList,
            since: now,
            list_is_proven: false,
            waiting: HashMap::new(),
            at_workers: HashMap::new(),
            by_model: HashMap::new(),
            last_rejection: now,
            counters: Counters::default(),
        }
    }

    /// Returns the current step and the time at which it began.
    pub fn step(&self) -> (Step, Millis) {
        (self.step, self.since)
    }

    /// Returns the totals of rejected calls.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the number of tracked calls that are not assigned to a worker.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.len()
    }

    fn transition(&mut self, now: Millis, step: Step) {
        if self.step != step {
            (self.step, self.since) = (step, now);
        }
    }

    /// Records that a list of `workers` workers is in force. `proven` means that it was read since the start,
    /// and not persisted by an earlier incarnation.
    pub fn list_applied(&mut self, now: Millis, workers: u32, proven: bool) {
        self.list_is_proven |= proven;
        if self.step == Step::NoList && workers > 0 {
            self.last_rejection = now;
            self.transition(now, Step::Partial);
        }
    }

    /// Returns how long the oldest waiting call of a model has waited; 0 if none waits.
    fn oldest_age(&self, now: Millis, model: u64) -> Millis {
        let oldest = self.by_model.get(&model).and_then(BTreeSet::first);
        oldest.map_or(0, |(since, _)| now.saturating_sub(*since))
    }

    /// Decides whether a new call is admitted. `random` is a random number that spreads the retry delays.
    pub fn admit(&mut self, now: Millis, call: &CallInfo, random: u64) -> Verdict {
        match self.step {
            Step::Complete => return Verdict::Admit,
            Step::NoList => {
                self.counters.no_list += 1;
                return self.reject(MIN_RETRY_AFTER, NO_LIST_RETRY_AFTER, random);
            }
            Step::Partial if call.non_idempotent && !self.list_is_proven => {
                self.counters.unproven += 1;
                return self.reject(MIN_RETRY_AFTER, NO_LIST_RETRY_AFTER, random);
            }
            Step::Partial => {}
        }
        let age = self.oldest_age(now, call.model);
        // Calls of lower weight are rejected earlier, which leaves the capacity to others. The remaining time
        // bounds the age so that no call is admitted that would be answered after its deadline.
        let weight = call.priority_weight.clamp(MIN_WEIGHT, 1.0);
        let tolerated = call.latency_objective.min(call.remaining) as f64 * self.config.age_share * weight;
        if (age as f64) < tolerated && self.waiting.len() < MAX_WAITING {
            return Verdict::Admit;
        }
        self.counters.crowded += 1;
        self.last_rejection = now;
        // The retry delays are spread over a time in proportion to how long the oldest call has waited.
        self.reject((age / 2).max(MIN_RETRY_AFTER), (age * 2).max(call.latency_objective), random)
    }

    /// Returns a rejection with a retry delay between these bounds, and at most
    /// [`GateConfig::max_retry_after`] unless that is below the lower bound.
    fn reject(&self, min_delay: Millis, max_delay: Millis, random: u64) -> Verdict {
        let max_delay = max_delay.clamp(min_delay, self.config.max_retry_after.max(min_delay));
        Verdict::Reject(min_delay + random % (max_delay - min_delay + 1))
    }

    /// Tracks an admitted call as waiting for a worker. Does nothing if service is complete or too many calls
    /// wait.
    pub fn call_admitted(&mut self, now: Millis, call: u64, model: u64) {
        if self.step == Step::Complete || self.waiting.len() >= MAX_WAITING {
            return;
        }
        self.remove_waiting(call);
        self.waiting.insert(call, WaitingCall { model, since: now });
        self.by_model.entry(model).or_default().insert((now, call));
    }

    /// Records that a waiting call was assigned to a worker.
    pub fn call_assigned(&mut self, call: u64) {
        if let Some(model) = self.remove_waiting(call) {
            self.at_workers.insert(call, model);
        }
    }

    /// Records that a worker has returned a call unanswered, so that the call waits again.
    pub fn call_returned(&mut self, now: Millis, call: u64) {
        if let Some(model) = self.at_workers.remove(&call) {
            self.call_admitted(now, call, model);
        }
    }

    /// Stops tracking a call that has ended.
    pub fn call_ended(&mut self, call: u64) {
        self.remove_waiting(call);
        self.at_workers.remove(&call);
    }

    /// Removes a call from the waiting calls and returns its model; `None` if the call does not wait.
    fn remove_waiting(&mut self, call: u64) -> Option<u64> {
        let WaitingCall { model, since } = self.waiting.remove(&call)?;
        if let Some(calls) = self.by_model.get_mut(&model) {
            calls.remove(&(since, call));
            if calls.is_empty() {
                self.by_model.remove(&model);
            }
        }
        Some(model)
    }

    /// Completes the return to service after a quiet period, provided that at least one call was answered.
    /// The period begins when the first list with workers comes into force, and again with each call that is
    /// rejected as crowded. `answered` is the number of calls answered since the start.
    pub fn advance(&mut self, now: Millis, answered: u64) {
        let quiet = now.saturating_sub(self.last_rejection) >= self.config.quiet_period;
        if self.step == Step::Partial && quiet && answered > 0 {
            self.transition(now, Step::Complete);
            (self.waiting, self.by_model) = (HashMap::new(), HashMap::new());
            self.at_workers = HashMap::new();
        }
    }
}

#[cfg(test)]
mod tests;
