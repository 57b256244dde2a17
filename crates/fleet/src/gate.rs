//! How many calls are taken while little can be served: after a start, workers are cold, copies are gone and all
//! clients return at once. What can't be answered in time is refused when it comes, with a time to come back that
//! spreads the clients; what is taken is what the fleet has shown that it bears.
//!
//! The measure is Little's law on what this controller sees: calls that no worker has yet, over answers a second, is
//! how long the next one waits. A small number may always wait, so that there is something to measure. The gate
//! judges no call that is in hand, and is out of the way once service is whole.

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
    /// Calls that may wait whatever is measured, for each worker that is on.
    pub first_each: u32,
    /// A call is taken where it would wait no longer than this share of its time.
    pub wait_share: f64,
    /// Answers are counted over this span.
    pub span: Millis,
    /// Whole: nothing had to be refused for this long.
    pub calm: Millis,
    /// Longest advice to stay away.
    pub most_wait: Millis,
}

impl Default for Terms {
    fn default() -> Self {
        Self { first_each: 2, wait_share: 0.5, span: 500, calm: 1_000, most_wait: 2_000 }
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
    /// Its worth beside the dearest class: above 0, at most 1.
    pub worth: f64,
    /// A repeat of it could do harm.
    pub careful: bool,
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Refused while no list was believed.
    pub no_list: u64,
    /// Refused as more were in hand than would be answered in time.
    pub crowded: u64,
    /// Refused as a repeat could do harm and the list was an earlier life's.
    pub unproven: u64,
}

/// The gate.
#[derive(Clone, Debug)]
pub struct Gate {
    terms: Terms,
    step: Step,
    since: Millis,
    /// The list in force was read in this life.
    proven: bool,
    workers: u32,
    /// Answers in all when the span in which they are counted began, and when that was.
    served: u64,
    from: Millis,
    /// Answers a second, as last counted.
    rate: f64,
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
            workers: 0,
            served: 0,
            from: now,
            rate: 0.0,
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

    /// Answers a second, as last counted.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn turn(&mut self, now: Millis, step: Step) {
        if self.step != step {
            (self.step, self.since) = (step, now);
        }
    }

    /// A list is in force, with so many workers on. `proven`: it was read in this life.
    pub fn listed(&mut self, now: Millis, workers: u32, proven: bool) {
        (self.workers, self.proven) = (workers, self.proven || proven);
        if self.step == Step::NoList && workers > 0 {
            (self.from, self.last_refusal) = (now, now);
            self.turn(now, Step::Part);
        }
    }

    /// A call has come. `held`: calls that no worker has; `served`: answers in all; `chance`: any number, it spreads
    /// those who are refused.
    pub fn ask(&mut self, now: Millis, call: &Asked, held: usize, served: u64, chance: u64) -> Verdict {
        self.count(now, served);
        let spread = |least: Millis, most: Millis| {
            let most = most.clamp(least, self.terms.most_wait.max(least));
            Verdict::Refuse(least + chance % (most - least + 1))
        };
        match self.step {
            Step::Whole => return Verdict::Take,
            Step::NoList => {
                self.counters.no_list += 1;
                return spread(LEAST_WAIT, self.terms.span);
            }
            Step::Part if call.careful && !self.proven => {
                self.counters.unproven += 1;
                return spread(LEAST_WAIT, self.terms.span);
            }
            Step::Part => {}
        }
        // What is worth less leaves room for what is worth more.
        let room = call.worth.clamp(LEAST_ROOM, 1.0);
        let first = f64::from(self.terms.first_each * self.workers.max(1)) * room;
        let wait = held as f64 / self.rate.max(f64::MIN_POSITIVE) * 1000.0;
        let bears = call.left as f64 * self.terms.wait_share * room;
        if (held as f64) < first || wait < bears {
            return Verdict::Take;
        }
        self.counters.crowded += 1;
        self.last_refusal = now;
        // By then what waits now has its answers; those who are refused now come back over as long again.
        let clear = (wait - bears).clamp(0.0, self.terms.most_wait as f64 / 2.0) as Millis;
        spread(clear.max(LEAST_WAIT), (clear * 2).max(self.terms.span))
    }

    /// What is due by the passing of time; `served`: answers in all.
    pub fn count(&mut self, now: Millis, served: u64) {
        if self.step != Step::Part {
            return;
        }
        let span = now.saturating_sub(self.from);
        if span >= self.terms.span {
            let came = served.saturating_sub(self.served);
            self.rate = came as f64 * 1000.0 / span as f64;
            (self.served, self.from) = (served, now);
        }
        if now.saturating_sub(self.last_refusal) >= self.terms.calm && self.rate > 0.0 {
            self.turn(now, Step::Whole);
        }
    }
}

/// Least advice to stay away, and the least part of the room that a call of little worth has.
const LEAST_WAIT: Millis = 50;
const LEAST_ROOM: f64 = 0.1;

#[cfg(test)]
mod tests {
    use super::*;

    const CALL: Asked = Asked { left: 3_000, worth: 1.0, careful: false };

    fn taken(verdict: Verdict) -> bool {
        verdict == Verdict::Take
    }

    #[test]
    fn nothing_is_taken_without_a_list_and_nothing_careful_on_an_earlier_life_s() {
        let mut gate = Gate::new(Terms::default(), 0);
        assert!(!taken(gate.ask(0, &CALL, 0, 0, 7)));
        gate.listed(10, 2, false);
        assert!(taken(gate.ask(10, &CALL, 0, 0, 7)));
        let careful = Asked { careful: true, ..CALL };
        assert!(!taken(gate.ask(10, &careful, 0, 0, 7)));
        gate.listed(20, 2, true);
        assert!(taken(gate.ask(20, &careful, 0, 0, 7)));
        assert_eq!(gate.counters(), Counters { no_list: 1, crowded: 0, unproven: 1 });
    }

    /// Asks a hundred times; each call that is taken waits.
    fn hundred(gate: &mut Gate, now: Millis, call: &Asked, held: usize, served: u64) -> usize {
        (0..100).fold(0, |taken_now, _| {
            let verdict = gate.ask(now, call, held + taken_now, served, 1);
            taken_now + usize::from(taken(verdict))
        })
    }

    #[test]
    fn what_may_wait_is_what_answers_have_shown_and_the_rest_is_refused_at_once() {
        let mut gate = Gate::new(Terms::default(), 0);
        gate.listed(0, 4, true);
        assert_eq!(hundred(&mut gate, 1, &CALL, 0, 0), 8, "two for each worker, until an answer has come");
        // 8 answers in half a second: 16 a second, and half of 3 s bears 24 that wait.
        assert_eq!(hundred(&mut gate, 500, &CALL, 0, 8), 24);
        let cheap = Asked { worth: 0.1, ..CALL };
        assert_eq!(hundred(&mut gate, 501, &cheap, 0, 8), 3, "a tenth of it");
        assert_eq!(gate.step().0, Step::Part);
        // Nothing refused for a second: whole, and out of the way.
        gate.count(1_501, 40);
        assert_eq!(gate.step(), (Step::Whole, 1_501));
        assert_eq!(hundred(&mut gate, 1_502, &CALL, 10_000, 40), 100);
    }

    #[test]
    fn those_who_are_refused_come_back_apart_and_never_later_than_told() {
        let mut gate = Gate::new(Terms::default(), 0);
        gate.listed(0, 1, true);
        let mut waits = std::collections::BTreeSet::new();
        for chance in 0..2_000u64 {
            if let Verdict::Refuse(wait) = gate.ask(1, &CALL, 50, 0, chance.wrapping_mul(0x9e37_79b9)) {
                assert!((1..=Terms::default().most_wait).contains(&wait));
                waits.insert(wait);
            }
        }
        assert!(waits.len() > 200, "{} different spans", waits.len());
    }

    #[test]
    fn a_fleet_that_serves_nothing_keeps_the_gate_at_its_first_number() {
        let mut gate = Gate::new(Terms::default(), 0);
        gate.listed(0, 3, true);
        let mut held = 0;
        for now in (0..20_000).step_by(10) {
            held += usize::from(taken(gate.ask(now, &CALL, held, 0, now)));
        }
        assert_eq!((held, gate.step().0), (6, Step::Part), "it proves nothing by waiting");
    }
}
