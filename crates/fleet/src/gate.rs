//! How many calls are taken while little can be served: after a start, workers are cold, copies are gone and all
//! clients return at once. What can't be answered in time is refused when it comes, with a time to come back that
//! spreads the clients; what is taken is what the fleet has shown that it bears.
//!
//! The measure is the age of what waits: the longest that a call of the same model has waited without a worker. While
//! that is short against the wanted time, one more is taken. So a model whose copy stands is not held up by one whose
//! copy is missing, the first call of each model is always taken (it is what earns and begins a load), and where all
//! of the fleet is too slow all models' calls grow old. The gate judges no call that is in hand, and is out of the way
//! once service is whole.

use std::collections::{BTreeMap, HashMap};

use crate::Millis;

/// Steps of a return.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// No list is believed: nothing can be served.
    NoList,
    /// Calls are taken in part.
    Partial,
    /// Service is whole: the gate judges nothing.
    Complete,
}

impl Step {
    /// A word for logs, figures and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoList => "no-list",
            Self::Partial => "part",
            Self::Complete => "whole",
        }
    }
}

/// Tuned values of the gate. They are no deployment's: each is a share of what the call itself tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateConfig {
    /// A call is taken while the oldest of its model has waited less than this share of its wanted time.
    pub age_share: f64,
    /// Whole: nothing had to be refused for this long.
    pub quiet_period: Millis,
    /// Longest advice to stay away.
    pub max_retry_after: Millis,
}

impl Default for GateConfig {
    fn default() -> Self {
        Self { age_share: 0.5, quiet_period: 1_000, max_retry_after: 2_000 }
    }
}

/// What is decided of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Admit,
    /// It is refused at once; the client is to come back after this span.
    Reject(Millis),
}

/// A call, as the gate sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallInfo {
    /// Until its client gives up.
    pub remaining: Millis,
    /// The time in which its class wants an answer.
    pub latency_objective: Millis,
    /// Its worth beside the dearest class: above 0, at most 1.
    pub priority_weight: f64,
    /// A repeat of it could do harm.
    pub non_idempotent: bool,
    /// Its model, by any number that tells models apart.
    pub model: u64,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Refused while no list was believed.
    pub no_list: u64,
    /// Refused as what waits is too old for it to be answered in time.
    pub crowded: u64,
    /// Refused as a repeat could do harm and the list was an earlier life's.
    pub unproven: u64,
}

/// Calls that are followed at the most; one more is refused as crowded.
pub const MAX_WAITING: usize = 65_536;
/// Advice where no list is believed, or none that was read in this life: the next look is near.
const NO_LIST_RETRY_AFTER: Millis = 500;
/// Least advice to stay away, and the least part of its time that a call of little worth counts.
const MIN_RETRY_AFTER: Millis = 50;
const MIN_WEIGHT: f64 = 0.1;

/// The gate.
#[derive(Clone, Debug)]
pub struct Gate {
    config: GateConfig,
    step: Step,
    since: Millis,
    /// The list in force was read in this life.
    proven: bool,
    /// Calls that no worker has: which model's, and since when.
    waiting: HashMap<u64, (u64, Millis)>,
    /// Calls that a worker has, with their models.
    at_workers: HashMap<u64, u64>,
    /// Those that wait, by model, the oldest first.
    by_model: HashMap<u64, BTreeMap<(Millis, u64), ()>>,
    last_refusal: Millis,
    counters: Counters,
}

impl Gate {
    /// At the start of a life.
    pub fn new(config: GateConfig, now: Millis) -> Self {
        Self {
            config,
            step: Step::NoList,
            since: now,
            proven: false,
            waiting: HashMap::new(),
            at_workers: HashMap::new(),
            by_model: HashMap::new(),
            last_refusal: now,
            counters: Counters::default(),
        }
    }

    /// The step, and since when.
    pub fn step(&self) -> (Step, Millis) {
        (self.step, self.since)
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Calls that wait for a worker.
    pub fn waiting_calls(&self) -> usize {
        self.waiting.len()
    }

    fn transition(&mut self, now: Millis, step: Step) {
        if self.step != step {
            (self.step, self.since) = (step, now);
        }
    }

    /// A list is in force, with so many workers on. `proven`: it was read in this life.
    pub fn list_applied(&mut self, now: Millis, workers: u32, proven: bool) {
        self.proven |= proven;
        if self.step == Step::NoList && workers > 0 {
            self.last_refusal = now;
            self.transition(now, Step::Partial);
        }
    }

    /// How long the oldest call of a model has waited for a worker.
    fn age(&self, now: Millis, model: u64) -> Millis {
        let oldest = self.by_model.get(&model).and_then(|calls| calls.first_key_value());
        oldest.map_or(0, |((since, _), ())| now.saturating_sub(*since))
    }

    /// A call has come. `chance`: any number, it spreads those who are refused.
    pub fn admit(&mut self, now: Millis, call: &CallInfo, chance: u64) -> Verdict {
        let spread = |least: Millis, most: Millis| {
            let most = most.clamp(least, self.config.max_retry_after.max(least));
            Verdict::Reject(least + chance % (most - least + 1))
        };
        match self.step {
            Step::Complete => return Verdict::Admit,
            Step::NoList => {
                self.counters.no_list += 1;
                return spread(MIN_RETRY_AFTER, NO_LIST_RETRY_AFTER);
            }
            Step::Partial if call.non_idempotent && !self.proven => {
                self.counters.unproven += 1;
                return spread(MIN_RETRY_AFTER, NO_LIST_RETRY_AFTER);
            }
            Step::Partial => {}
        }
        let age = self.age(now, call.model);
        // What is worth less leaves the room to what is worth more, and no call's time is longer than its client's.
        let room = call.priority_weight.clamp(MIN_WEIGHT, 1.0);
        let bears = call.latency_objective.min(call.remaining) as f64 * self.config.age_share * room;
        if (age as f64) < bears && self.waiting.len() < MAX_WAITING {
            return Verdict::Admit;
        }
        self.counters.crowded += 1;
        self.last_refusal = now;
        // What waits now has waited for so long already: those who are refused come back over as long again.
        spread((age / 2).max(MIN_RETRY_AFTER), (age * 2).max(call.latency_objective))
    }

    /// A worker has this call: it waits no more, and is known until its end.
    pub fn has_worker(&mut self, call: u64) {
        if let Some(model) = self.unwait(call) {
            self.at_workers.insert(call, model);
        }
    }

    /// A worker gave it back: it waits anew.
    pub fn returned_by_worker(&mut self, now: Millis, call: u64) {
        if let Some(model) = self.at_workers.remove(&call) {
            self.waiting(now, call, model);
        }
    }

    /// A call was taken: it waits for a worker.
    pub fn waiting(&mut self, now: Millis, call: u64, model: u64) {
        if self.step == Step::Complete || self.waiting.len() >= MAX_WAITING {
            return;
        }
        self.unwait(call);
        self.waiting.insert(call, (model, now));
        self.by_model.entry(model).or_default().insert((now, call), ());
    }

    /// It has had its end.
    pub fn ended(&mut self, call: u64) {
        self.unwait(call);
        self.at_workers.remove(&call);
    }

    fn unwait(&mut self, call: u64) -> Option<u64> {
        let (model, since) = self.waiting.remove(&call)?;
        if let Some(calls) = self.by_model.get_mut(&model) {
            calls.remove(&(since, call));
            if calls.is_empty() {
                self.by_model.remove(&model);
            }
        }
        Some(model)
    }

    /// What is due by the passing of time; `answered`: answers in all.
    pub fn advance(&mut self, now: Millis, answered: u64) {
        let calm = now.saturating_sub(self.last_refusal) >= self.config.quiet_period;
        if self.step == Step::Partial && calm && answered > 0 {
            self.transition(now, Step::Complete);
            (self.waiting, self.by_model) = (HashMap::new(), HashMap::new());
            self.at_workers = HashMap::new();
        }
    }
}

#[cfg(test)]
mod tests;
