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
use crate::membership::Incarnation;

/// Loans of one life that may be in use at once: one that asks and never hears holds its greatest ones.
const MAX_OUTSTANDING: usize = 16;

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanConfig {
    /// Controllers of the installation.
    pub controllers: u32,
    /// Part of a limit that is divided for good, from 0 to 1. 1: nothing is lent.
    pub reserve: f64,
}

impl LoanConfig {
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
pub struct UsageReport {
    /// How much it could use, in all.
    pub demand: f64,
    /// How much of it is in use: of what calls hold, by calls in hand; nothing of a rate.
    pub in_use: f64,
    /// The number of the loan that it acts on; 0: none. Of the same moment as `in_use`.
    pub applied_loan: u64,
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
    borrowers: BTreeMap<Incarnation, Borrower>,
}

impl Lender {
    /// The most of it that may be in use now.
    pub fn outstanding(&self, now: Millis) -> f64 {
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
        (terms, limit): (LoanConfig, f64),
        who: Incarnation,
        UsageReport { demand, in_use, applied_loan: acts_on }: UsageReport,
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
        if borrower.out.len() > MAX_OUTSTANDING {
            // Two become one that covers both.
            let (_, amount, over) = borrower.out.remove(0);
            let first = &mut borrower.out[0];
            (first.1, first.2) = (first.1.max(amount), first.2.max(over));
        }
        Loan { number: *next, amount }
    }

    /// A life has ended, in order or by its own word that it takes no calls: what it had is free at once.
    pub fn ended(&mut self, who: Incarnation) {
        self.borrowers.remove(&who);
    }

    /// A life's part by max-min fairness: nobody gets more than it asks for, and what is left over goes to all in
    /// equal parts, since demand may grow before the next report.
    fn part(&self, lendable: f64, who: Incarnation) -> f64 {
        let mut demands: Vec<(f64, Incarnation)> =
            self.borrowers.iter().map(|(w, b)| (b.demand, *w)).collect();
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
mod tests;
