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
    Part,
    /// Service is whole: the gate judges nothing.
    Whole,
}

impl Step {
    /// A word for logs, figures and the API.
    pub fn word(self) -> &'static str {
        match self {
            Self::NoList => "no-list",
            Self::Part => "part",
            Self::Whole => "whole",
        }
    }
}

/// Tuned values of the gate. They are no deployment's: each is a share of what the call itself tells.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// A call is taken while the oldest of its model has waited less than this share of its wanted time.
    pub age_share: f64,
    /// Whole: nothing had to be refused for this long.
    pub calm: Millis,
    /// Longest advice to stay away.
    pub most_wait: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Self { age_share: 0.5, calm: 1_000, most_wait: 2_000 }
    }
}

/// What is decided of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is taken.
    Take,
    /// It is refused at once; the client is to come back after this span.
    Refuse(Millis),
}

/// A call, as the gate sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Asked {
    /// Until its client gives up.
    pub left: Millis,
    /// The time in which its class wants an answer.
    pub aim: Millis,
    /// Its worth beside the dearest class: above 0, at most 1.
    pub worth: f64,
    /// A repeat of it could do harm.
    pub careful: bool,
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
pub const MOST_WAITING: usize = 65_536;
/// Advice where no list is believed, or none that was read in this life: the next look is near.
const NO_LIST_WAIT: Millis = 500;
/// Least advice to stay away, and the least part of its time that a call of little worth counts.
const LEAST_WAIT: Millis = 50;
const LEAST_ROOM: f64 = 0.1;

/// The gate.
#[derive(Clone, Debug)]
pub struct Gate {
    terms: Terms,
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
    pub fn new(terms: Terms, now: Millis) -> Self {
        Self {
            terms,
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
    pub fn waits(&self) -> usize {
        self.waiting.len()
    }

    fn turn(&mut self, now: Millis, step: Step) {
        if self.step != step {
            (self.step, self.since) = (step, now);
        }
    }

    /// A list is in force, with so many workers on. `proven`: it was read in this life.
    pub fn listed(&mut self, now: Millis, workers: u32, proven: bool) {
        self.proven |= proven;
        if self.step == Step::NoList && workers > 0 {
            self.last_refusal = now;
            self.turn(now, Step::Part);
        }
    }

    /// How long the oldest call of a model has waited for a worker.
    fn age(&self, now: Millis, model: u64) -> Millis {
        let oldest = self.by_model.get(&model).and_then(|calls| calls.first_key_value());
        oldest.map_or(0, |((since, _), ())| now.saturating_sub(*since))
    }

    /// A call has come. `chance`: any number, it spreads those who are refused.
    pub fn ask(&mut self, now: Millis, call: &Asked, chance: u64) -> Verdict {
        let spread = |least: Millis, most: Millis| {
            let most = most.clamp(least, self.terms.most_wait.max(least));
            Verdict::Refuse(least + chance % (most - least + 1))
        };
        match self.step {
            Step::Whole => return Verdict::Take,
            Step::NoList => {
                self.counters.no_list += 1;
                return spread(LEAST_WAIT, NO_LIST_WAIT);
            }
            Step::Part if call.careful && !self.proven => {
                self.counters.unproven += 1;
                return spread(LEAST_WAIT, NO_LIST_WAIT);
            }
            Step::Part => {}
        }
        let age = self.age(now, call.model);
        // What is worth less leaves the room to what is worth more, and no call's time is longer than its client's.
        let room = call.worth.clamp(LEAST_ROOM, 1.0);
        let bears = call.aim.min(call.left) as f64 * self.terms.age_share * room;
        if (age as f64) < bears && self.waiting.len() < MOST_WAITING {
            return Verdict::Take;
        }
        self.counters.crowded += 1;
        self.last_refusal = now;
        // What waits now has waited for so long already: those who are refused come back over as long again.
        spread((age / 2).max(LEAST_WAIT), (age * 2).max(call.aim))
    }

    /// A worker has this call: it waits no more, and is known until its end.
    pub fn has_worker(&mut self, call: u64) {
        if let Some(model) = self.unwait(call) {
            self.at_workers.insert(call, model);
        }
    }

    /// A worker gave it back: it waits anew.
    pub fn given_back(&mut self, now: Millis, call: u64) {
        if let Some(model) = self.at_workers.remove(&call) {
            self.waiting(now, call, model);
        }
    }

    /// A call was taken: it waits for a worker.
    pub fn waiting(&mut self, now: Millis, call: u64, model: u64) {
        if self.step == Step::Whole || self.waiting.len() >= MOST_WAITING {
            return;
        }
        self.unwait(call);
        self.waiting.insert(call, (model, now));
        self.by_model.entry(model).or_default().insert((now, call), ());
    }

    /// It has had its end.
    pub fn gone(&mut self, call: u64) {
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
    pub fn count(&mut self, now: Millis, answered: u64) {
        let calm = now.saturating_sub(self.last_refusal) >= self.terms.calm;
        if self.step == Step::Part && calm && answered > 0 {
            self.turn(now, Step::Whole);
            (self.waiting, self.by_model) = (HashMap::new(), HashMap::new());
            self.at_workers = HashMap::new();
        }
    }
}

#[cfg(test)]
mod tests;
