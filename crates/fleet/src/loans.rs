//! Loans of a limit among controllers that see only their own calls: who may use how much of it, so that the parts in
//! use never add up to more than the limit, whoever is late, cut off, stalled or dead.
//!
//! Each of the installation's controllers has a reserve that needs nobody's word. The rest is lent by demand, to lives
//! that hold leases, for the span of a lease: a borrower counts it from its ask, the lender from its answer, each with
//! what clocks may err ([`crate::lease`]). A loan that is replaced by a smaller one counts as it was until the borrower
//! has told that it acts on the new one, or its span is over: an answer that was lost frees nothing.
//!
//! Calls in hand stay open when a part becomes smaller or a loan ends: a life tells with its word how much it has in use,
//! and that counts as well; and for what calls hold, a life that is not heard any more counts for the longest time that a
//! call may take beyond its lease.
//!
//! So at every moment what a life may use is at most the greatest of its loans that are out and were not replaced for
//! all it knows, and the lender keeps the sum of these under what it may lend.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::roll::Who;

/// Loans of one life that may be in use at once: one that asks and never hears holds its greatest ones.
const MOST_OUT: usize = 16;

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Terms {
    /// Controllers of the installation.
    pub controllers: u32,
    /// Part of a limit that is divided for good, from 0 to 1. 1: nothing is lent.
    pub reserve: f64,
}

impl Terms {
    /// What a controller has without any loan.
    pub fn reserve_of(&self, limit: f64) -> f64 {
        limit * self.reserve / f64::from(self.controllers.max(1))
    }

    /// What is lent in all.
    pub fn lendable(&self, limit: f64) -> f64 {
        limit * (1.0 - self.reserve)
    }
}

/// What is lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Calls a second.
    Rate,
    /// Open calls.
    Open,
    /// Open calls that no worker has.
    Held,
    /// Bytes of models in use.
    Memory,
}

/// What a life tells of a limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Word {
    /// How much it could use, in all.
    pub demand: f64,
    /// How much of it is in use: of what calls hold, by calls in hand; nothing of a rate.
    pub in_use: f64,
    /// The number of the loan that it acts on; 0: none. Of the same moment as `in_use`.
    pub acts_on: u64,
}

/// A loan: so much beyond the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Its number: a later loan has a higher one, and none is ever given twice by one lender. A number that came again
    /// would let an old word pass for news of a loan that is in use.
    pub number: u64,
    /// How much.
    pub amount: f64,
}

#[derive(Clone, Debug)]
struct Borrower {
    demand: f64,
    /// Loans that may be in use: number, amount, and when it is over by every clock.
    out: Vec<(u64, f64, Millis)>,
    /// In use beyond the reserve when it told its word, and until when that counts.
    in_use: (f64, Millis),
}

impl Borrower {
    fn uses(&self, now: Millis) -> f64 {
        let told = if now < self.in_use.1 { self.in_use.0 } else { 0.0 };
        self.out
            .iter()
            .filter(|(_, _, until)| now < *until)
            .map(|(_, amount, _)| *amount)
            .fold(told, f64::max)
    }
}

/// Loans of one limit.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    borrowers: BTreeMap<Who, Borrower>,
}

impl Lender {
    /// The most of it that may be in use now.
    pub fn lent(&self, now: Millis) -> f64 {
        self.borrowers.values().map(|b| b.uses(now)).sum()
    }

    /// Lives that may use some.
    pub fn borrowers(&self, now: Millis) -> usize {
        self.borrowers.values().filter(|b| b.uses(now) > 0.0).count()
    }

    /// A life that holds a lease tells its word. What it may use beyond its reserve, until the lease of this answer is over: at `until` by every
    /// clock. `next`: the number of the last loan that was given, of any limit; it is counted on.
    pub fn report(
        &mut self,
        (now, until): (Millis, Millis),
        (terms, limit): (Terms, f64),
        who: Who,
        Word { demand, in_use, acts_on }: Word,
        next: &mut u64,
    ) -> Loan {
        // One that got nothing is there all the same, and wants its part.
        let here = |b: &Borrower| b.out.iter().any(|(_, _, until)| now < *until);
        self.borrowers.retain(|other, b| *other == who || here(b));
        let beyond = if demand.is_finite() { (demand - terms.reserve_of(limit)).max(0.0) } else { 0.0 };
        let borrower =
            self.borrowers.entry(who).or_insert(Borrower { demand: 0.0, out: Vec::new(), in_use: (0.0, 0) });
        borrower.demand = beyond;
        borrower.in_use = ((in_use - terms.reserve_of(limit)).max(0.0), until);
        // Who acts on a later loan acts on no earlier one any more; a number that was never given proves nothing.
        if acts_on <= *next {
            borrower.out.retain(|(number, _, over)| *number >= acts_on && now < *over);
        }
        let lendable = terms.lendable(limit).max(0.0);
        let others: f64 = self.borrowers.iter().filter(|(w, _)| **w != who).map(|(_, b)| b.uses(now)).sum();
        let amount = self.part(lendable, who).min((lendable - others).max(0.0));
        let Some(borrower) = self.borrowers.get_mut(&who) else { return Loan { number: 0, amount: 0.0 } };
        *next += 1;
        borrower.out.push((*next, amount, until));
        if borrower.out.len() > MOST_OUT {
            // Two become one that covers both.
            let (_, amount, over) = borrower.out.remove(0);
            let first = &mut borrower.out[0];
            (first.1, first.2) = (first.1.max(amount), first.2.max(over));
        }
        Loan { number: *next, amount }
    }

    /// A life has ended, in order or by its own word that it takes no calls: what it had is free at once.
    pub fn ended(&mut self, who: Who) {
        self.borrowers.remove(&who);
    }

    /// A life's part by max-min fairness: nobody gets more than it asks for, and what is left over goes to all in
    /// equal parts, since demand may grow before the next report.
    fn part(&self, lendable: f64, who: Who) -> f64 {
        let mut demands: Vec<(f64, Who)> = self.borrowers.iter().map(|(w, b)| (b.demand, *w)).collect();
        demands.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        let (mut left, mut part) = (lendable, 0.0);
        let count = demands.len();
        for (place, (demand, of)) in demands.iter().enumerate() {
            let given = demand.min(left / (count - place) as f64);
            left -= given;
            if *of == who {
                part = given;
            }
        }
        part + left.max(0.0) / count.max(1) as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const TERMS: Terms = Terms { controllers: 4, reserve: 0.2 };

    fn who(number: u32) -> Who {
        Who { number, life: 1 }
    }

    #[test]
    fn the_rest_follows_demand_and_a_smaller_loan_frees_nothing_before_it_is_known_to_be_acted_on() {
        let mut lender = Lender::default();
        let mut next = 0;
        let mut ask = |lender: &mut Lender, now: Millis, n, demand, acts_on| {
            lender.report(
                (now, now + 1_000),
                (TERMS, 100.0),
                who(n),
                Word { demand, in_use: 0.0, acts_on },
                &mut next,
            )
        };
        assert_eq!(TERMS.reserve_of(100.0), 5.0);
        let first = ask(&mut lender, 0, 1, 1_000.0, 0);
        assert_eq!(first.amount, 80.0, "alone, it gets all that is lent");
        assert_eq!(ask(&mut lender, 10, 2, 1_000.0, 0).amount, 0.0, "nothing is free");
        let smaller = ask(&mut lender, 20, 1, 1_000.0, first.number);
        assert_eq!(smaller.amount, 40.0);
        assert_eq!(ask(&mut lender, 30, 2, 1_000.0, 2).amount, 0.0, "it may not have heard of it");
        ask(&mut lender, 40, 1, 1_000.0, smaller.number);
        assert_eq!(ask(&mut lender, 50, 2, 1_000.0, 4).amount, 40.0);
        assert_eq!(lender.lent(60), 80.0);
    }

    #[test]
    fn what_a_dead_or_ended_life_had_comes_back() {
        let mut lender = Lender::default();
        let mut next = 0;
        let mut ask = |lender: &mut Lender, now, n| {
            lender
                .report(
                    (now, now + 1_000),
                    (TERMS, 100.0),
                    who(n),
                    Word { demand: 1_000.0, in_use: 0.0, acts_on: 0 },
                    &mut next,
                )
                .amount
        };
        assert_eq!(ask(&mut lender, 0, 1), 80.0);
        assert_eq!((ask(&mut lender, 999, 2), ask(&mut lender, 1_000, 2)), (0.0, 80.0));
        lender.ended(who(2));
        assert_eq!(ask(&mut lender, 1_001, 3), 80.0, "one that left in order gives back at once");
        assert_eq!(lender.borrowers(1_001), 1);
    }

    #[test]
    fn calls_in_hand_count_until_they_have_ended() {
        let (mut lender, mut next) = (Lender::default(), 0);
        let mut word = |lender: &mut Lender, now: Millis, n, in_use, acts_on| {
            let word = Word { demand: 1_000.0, in_use, acts_on };
            lender.report((now, now + 1_000), (TERMS, 100.0), who(n), word, &mut next).amount
        };
        assert_eq!(word(&mut lender, 0, 1, 0.0, 0), 80.0);
        assert_eq!(word(&mut lender, 10, 2, 0.0, 0), 0.0);
        assert_eq!(word(&mut lender, 20, 1, 85.0, 1), 40.0);
        // It acts on the smaller part, and has 60 calls in hand still.
        word(&mut lender, 30, 1, 60.0, 3);
        assert_eq!(word(&mut lender, 40, 2, 0.0, 2), 25.0, "80 less 55 beyond its reserve");
        word(&mut lender, 50, 1, 30.0, 4);
        assert_eq!(word(&mut lender, 60, 2, 0.0, 5), 40.0);
    }

    /// A borrower as the program has it: it acts on the last loan that it heard, until its own clock says it is over.
    #[derive(Clone, Copy, Default)]
    struct Acts {
        number: u64,
        amount: f64,
        until: Millis,
    }

    proptest! {
        #[test]
        fn parts_in_use_never_add_up_to_more_than_the_limit(
            reserve in 0.0f64..=1.0,
            steps in prop::collection::vec((0u32..6, 0.0f64..3_000.0, 0u64..700, 0u8..4, any::<bool>()), 1..400),
        ) {
            let (terms, limit, span) = (Terms { controllers: 6, reserve }, 1_000.0, 2_000);
            let mut lender = Lender::default();
            let mut acts = [Acts::default(); 6];
            // What each told at some time before: words are measured now and then, and may be old.
            let mut told = [0u64; 6];
            let (mut now, mut next) = (0, 0);
            for (n, demand, gap, lost, restarts) in steps {
                now += gap;
                // The word may be as old as it likes, or none at all.
                if restarts {
                    told[n as usize] = acts[n as usize].number;
                }
                let known = if lost == 3 { 0 } else { told[n as usize] };
                let until = now + span + crate::lease::error_of(span);
                let loan = lender.report((now, until), (terms, limit), who(n), Word { demand, in_use: 0.0, acts_on: known }, &mut next);
                if lost != 0 {
                    let over = crate::lease::ends(now, span);
                    acts[n as usize] = Acts { number: loan.number, amount: loan.amount, until: over };
                }
                let used: f64 = acts.iter().filter(|a| now < a.until).map(|a| a.amount).sum();
                prop_assert!(used + 6.0 * terms.reserve_of(limit) <= limit + 1e-6, "{used} lent of {limit}");
            }
        }
    }

    #[test]
    fn all_of_a_limit_passes_under_twice_its_demand() {
        for controllers in [2u32, 8, 64, 1_000] {
            let (terms, limit) = (Terms { controllers, reserve: 0.2 }, 1_000.0);
            let mut lender = Lender::default();
            let mut has = vec![(0u64, 0.0f64); controllers as usize];
            let mut next = 0;
            let weight = |rank: u32| 1.0 / f64::from(rank + 1);
            let all: f64 = (0..controllers).map(weight).sum();
            let (mut passed, mut fixed, mut rounds) = (0.0, 0.0, 0u32);
            for round in 0..160u64 {
                let (mut now, mut of_static) = (0.0, 0.0);
                for n in 0..controllers {
                    // Zipf's law, and the ranks move every twenty reports.
                    let rank = (n + (round / 20) as u32 * 3) % controllers;
                    let demand = 2.0 * limit * weight(rank) / all;
                    now += demand.min(terms.reserve_of(limit) + has[n as usize].1);
                    of_static += demand.min(limit / f64::from(controllers));
                    let at = round * 1_500;
                    let loan = lender.report(
                        (at, at + 6_060),
                        (terms, limit),
                        who(n),
                        Word { demand, in_use: 0.0, acts_on: has[n as usize].0 },
                        &mut next,
                    );
                    has[n as usize] = (loan.number, loan.amount);
                }
                assert!(now <= limit + 1e-6, "{controllers}: {now}");
                // The first rounds and those after a move are the price of lending.
                (passed, fixed, rounds) = (passed + now, fixed + of_static, rounds + 1);
            }
            let (lent, fixed) = (passed / f64::from(rounds) / limit, fixed / f64::from(rounds) / limit);
            println!(
                "{controllers} controllers: {lent:.3} of the limit passes with loans, {fixed:.3} by static parts"
            );
            assert!(lent > 0.9 && lent > fixed - 0.02, "{controllers}: {lent} {fixed}");
        }
    }
}
