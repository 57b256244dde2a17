//! Admission control while little can be served: after a start, workers are warming up, replicas are missing and all
//! clients return at once. A call that can't be answered in time is rejected on arrival, with a retry delay that
//! spreads the clients; as many are admitted as the fleet has shown that it bears.
//!
//! The measure is the age of what waits: the longest that a call of the same model has waited without a worker. While
//! that is short against the latency objective, one more is admitted. So a model that has a replica is not held up by
//! one that has none, the first call of each model is always admitted (it is what causes a load), and where all of the
//! fleet is too slow the calls of all models grow old. The gate judges no call that is in flight, and judges none at
//! all once service is complete.
//!
//! Sending the rejection is left to the caller.

use std::collections::{BTreeSet, HashMap};

use crate::Millis;

/// Steps of the return to service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// No worker list is in force: nothing can be served.
    NoList,
    /// Calls are admitted in part.
    Partial,
    /// Service is complete: the gate judges nothing.
    Complete,
}

impl Step {
    /// Its name in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoList => "no-list",
            Self::Partial => "part",
            Self::Complete => "whole",
        }
    }
}

/// Tuned values of the gate. They suit every deployment: each is relative to what the call itself states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// A call is admitted while the oldest of its model has waited less than this share of its latency objective.
    pub age_share: f64,
    /// Service is complete once nothing had to be rejected for this long, milliseconds.
    pub quiet_period: Millis,
    /// Longest retry delay, milliseconds.
    pub max_retry_after: Millis,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self { age_share: 0.5, quiet_period: 1_000, max_retry_after: 2_000 }
    }
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is admitted.
    Admit,
    /// It is rejected at once; the client is to retry after this many milliseconds.
    Reject(Millis),
}

/// A call as the gate sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallInfo {
    /// Time until its client gives up, milliseconds.
    pub remaining: Millis,
    /// The time in which its class wants an answer, milliseconds.
    pub latency_objective: Millis,
    /// Its class's weight relative to the highest: above 0, at most 1.
    pub priority_weight: f64,
    /// A repeat of it could do harm.
    pub non_idempotent: bool,
    /// Its model, by any number that tells models apart.
    pub model: u64,
}

/// Rejected calls, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// No worker list was in force.
    pub no_list: u64,
    /// What waits is too old for the call to be answered in time.
    pub crowded: u64,
    /// A repeat could do harm, and the worker list was persisted by an earlier incarnation.
    pub unproven: u64,
}

/// Calls that are tracked at the most; one more is rejected as crowded.
pub const MAX_WAITING: usize = 65_536;
/// Longest retry delay where no list is in force, or none that was read since the start: the next read is near.
const NO_LIST_RETRY_AFTER: Millis = 500;
/// Shortest retry delay, milliseconds.
const MIN_RETRY_AFTER: Millis = 50;
/// The least weight that a call is judged with.
const MIN_WEIGHT: f64 = 0.1;

/// A call that no worker has.
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
    /// The list in force was read since the start.
    list_is_proven: bool,
    waiting: HashMap<u64, WaitingCall>,
    /// Calls that a worker has, with their models.
    at_workers: HashMap<u64, u64>,
    /// Waiting calls of each model, the oldest first: since when, and which call.
    by_model: HashMap<u64, BTreeSet<(Millis, u64)>>,
    last_rejection: Millis,
    counters: Counters,
}

impl Gate {
    /// At the start of a controller.
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

    /// The step, and since when.
    pub fn step(&self) -> (Step, Millis) {
        (self.step, self.since)
    }

    /// Rejected calls since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// How many calls wait for a worker.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.len()
    }

    fn transition(&mut self, now: Millis, step: Step) {
        if self.step != step {
            (self.step, self.since) = (step, now);
        }
    }

    /// A worker list is in force, with so many workers. `proven`: it was read since the start.
    pub fn list_applied(&mut self, now: Millis, workers: u32, proven: bool) {
        self.list_is_proven |= proven;
        if self.step == Step::NoList && workers > 0 {
            self.last_rejection = now;
            self.transition(now, Step::Partial);
        }
    }

    /// How long the oldest call of a model has waited for a worker.
    fn oldest_age(&self, now: Millis, model: u64) -> Millis {
        let oldest = self.by_model.get(&model).and_then(BTreeSet::first);
        oldest.map_or(0, |(since, _)| now.saturating_sub(*since))
    }

    /// A call has arrived. `random`: any number, by which retry delays are spread.
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
        // Calls of less weight leave the capacity to others, and no call is answered after its client has left.
        let weight = call.priority_weight.clamp(MIN_WEIGHT, 1.0);
        let tolerated = call.latency_objective.min(call.remaining) as f64 * self.config.age_share * weight;
        if (age as f64) < tolerated && self.waiting.len() < MAX_WAITING {
            return Verdict::Admit;
        }
        self.counters.crowded += 1;
        self.last_rejection = now;
        // What waits now has waited for so long already: rejected clients return spread over as long again.
        self.reject((age / 2).max(MIN_RETRY_AFTER), (age * 2).max(call.latency_objective), random)
    }

    /// A rejection with a retry delay within these bounds.
    fn reject(&self, least: Millis, most: Millis, random: u64) -> Verdict {
        let most = most.clamp(least, self.config.max_retry_after.max(least));
        Verdict::Reject(least + random % (most - least + 1))
    }

    /// A call was admitted: it waits for a worker.
    pub fn call_admitted(&mut self, now: Millis, call: u64, model: u64) {
        if self.step == Step::Complete || self.waiting.len() >= MAX_WAITING {
            return;
        }
        self.remove_waiting(call);
        self.waiting.insert(call, WaitingCall { model, since: now });
        self.by_model.entry(model).or_default().insert((now, call));
    }

    /// A worker has this call: it waits no more, and is tracked until its end.
    pub fn call_assigned(&mut self, call: u64) {
        if let Some(model) = self.remove_waiting(call) {
            self.at_workers.insert(call, model);
        }
    }

    /// A worker has returned this call unanswered: it waits again.
    pub fn call_returned(&mut self, now: Millis, call: u64) {
        if let Some(model) = self.at_workers.remove(&call) {
            self.call_admitted(now, call, model);
        }
    }

    /// A call has ended.
    pub fn call_ended(&mut self, call: u64) {
        self.remove_waiting(call);
        self.at_workers.remove(&call);
    }

    /// Removes a waiting call; its model.
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

    /// Ends the gate's work once nothing was rejected for long enough. `answered`: calls answered since the start.
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
