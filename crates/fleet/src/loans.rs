//! Loans of a limit among controllers that see only their own calls: who may use how much of it, so that the amounts
//! in use never add up to more than the limit, whichever controller is late, cut off, stalled or dead.
//!
//! Each controller of the installation has a reserve that needs no loan. The rest is lent by demand, to incarnations
//! that hold leases, for the span of a lease: a borrower counts it from its request, the lender from its response,
//! each with what clocks may err ([`crate::lease`]). A loan that is replaced by a smaller one counts as it was until
//! the borrower has reported that it acts on the new one, or its span is over: a response that was lost frees nothing.
//!
//! Calls in flight stay open when an amount becomes smaller or a loan ends: an incarnation reports how much it has in
//! use, and that counts as well. Of what calls occupy, the report of an incarnation that is silent since counts for
//! the longest time that a call may take beyond its lease.
//!
//! So at every moment an incarnation may use at most the greatest of its loans that run and were not replaced for all
//! it knows, and the lender keeps the sum of these under what it may lend.
//!
//! Which limits there are, and when a lease is over, is left to the caller.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Incarnation;

/// Loans of one incarnation that may be in use at once, at the most: one that sends reports and never receives a
/// response keeps its greatest ones.
const MAX_OUTSTANDING: usize = 16;

/// How a limit is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanConfig {
    /// Controllers of the installation.
    pub controllers: u32,
    /// Part of a limit that is divided evenly for good, from 0 to 1. 1: nothing is lent.
    pub reserve: f64,
}

impl LoanConfig {
    /// What a controller may use without any loan.
    pub fn reserve_of(&self, limit: f64) -> f64 {
        limit * self.reserve / f64::from(self.controllers.max(1))
    }

    /// What may be lent in all.
    pub fn lendable(&self, limit: f64) -> f64 {
        limit * (1.0 - self.reserve)
    }
}

/// What a limit bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Calls a second.
    Rate,
    /// Open calls.
    Open,
    /// Open calls that no worker has.
    Held,
    /// Bytes of models in use.
    Memory,
}

/// Demand and use of a limit, as a borrower reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// How much it could use, its reserve included.
    pub demand: f64,
    /// How much calls in flight occupy, the reserve included; 0 for a rate.
    pub in_use: f64,
    /// The number of the loan that it acts on; 0: none. Measured at the same moment as `in_use`.
    pub applied_loan: u64,
}

/// What a borrower may use beyond its reserve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// A later loan has a higher number, and no lender assigns one twice: else an old report could be taken for one
    /// about a loan that is in use.
    pub number: u64,
    /// How much.
    pub amount: f64,
}

/// A borrower's report, and what its loan is to be based on.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest {
    /// The borrower, which holds a lease.
    pub borrower: Incarnation,
    /// What it reports.
    pub usage: UsageReport,
    /// How the limit is divided.
    pub config: LoanConfig,
    /// The limit.
    pub limit: f64,
    /// The present.
    pub now: Millis,
    /// When the lease that is sent with the loan is over by every clock.
    pub until: Millis,
}

/// A loan that may be in use.
#[derive(Clone, Copy, Debug)]
struct IssuedLoan {
    number: u64,
    amount: f64,
    /// When it is over by every clock.
    until: Millis,
}

#[derive(Clone, Debug)]
struct Borrower {
    /// Demand beyond the reserve.
    demand: f64,
    loans: Vec<IssuedLoan>,
    /// In use beyond the reserve at its last report.
    in_use: f64,
    /// Until when `in_use` counts.
    in_use_until: Millis,
}

impl Borrower {
    /// The most that it may use beyond its reserve.
    fn usable(&self, now: Millis) -> f64 {
        let in_use = if now < self.in_use_until { self.in_use } else { 0.0 };
        let running = self.loans.iter().filter(|loan| now < loan.until);
        running.map(|loan| loan.amount).fold(in_use, f64::max)
    }

    fn has_running_loan(&self, now: Millis) -> bool {
        self.loans.iter().any(|loan| now < loan.until)
    }

    fn add(&mut self, loan: IssuedLoan) {
        self.loans.push(loan);
        if self.loans.len() > MAX_OUTSTANDING {
            // The two oldest become one that covers both.
            let oldest = self.loans.remove(0);
            let next = &mut self.loans[0];
            next.amount = next.amount.max(oldest.amount);
            next.until = next.until.max(oldest.until);
        }
    }
}

/// The loans of one limit.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    borrowers: BTreeMap<Incarnation, Borrower>,
}

impl Lender {
    /// The most that may be in use beyond the reserves.
    pub fn outstanding(&self, now: Millis) -> f64 {
        self.borrowers.values().map(|borrower| borrower.usable(now)).sum()
    }

    /// Incarnations that may use some of it.
    pub fn borrowers(&self, now: Millis) -> usize {
        self.borrowers.values().filter(|borrower| borrower.usable(now) > 0.0).count()
    }

    /// Takes in a borrower's report, and lends it what it may use until the lease of this response is over.
    /// `last_number`: the number of the last loan of any limit, which is counted on.
    pub fn report(&mut self, request: LoanRequest, last_number: &mut u64) -> Loan {
        let LoanRequest { borrower: who, usage, config, limit, now, until } = request;
        // One that got an amount of 0 has a running loan all the same, and gets its part of what becomes free.
        self.borrowers.retain(|other, borrower| *other == who || borrower.has_running_loan(now));
        let reserve = config.reserve_of(limit);
        let borrower = self.borrowers.entry(who).or_insert(Borrower {
            demand: 0.0,
            loans: Vec::new(),
            in_use: 0.0,
            in_use_until: 0,
        });
        borrower.demand = if usage.demand.is_finite() { (usage.demand - reserve).max(0.0) } else { 0.0 };
        borrower.in_use = (usage.in_use - reserve).max(0.0);
        borrower.in_use_until = until;
        // Who acts on a later loan acts on no earlier one any more. A number that was never assigned proves nothing.
        if usage.applied_loan <= *last_number {
            borrower.loans.retain(|loan| loan.number >= usage.applied_loan && now < loan.until);
        }
        let lendable = config.lendable(limit).max(0.0);
        let others = self.borrowers.iter().filter(|(other, _)| **other != who);
        let used_by_others: f64 = others.map(|(_, borrower)| borrower.usable(now)).sum();
        let amount = self.fair_part(lendable, who).min((lendable - used_by_others).max(0.0));
        let Some(borrower) = self.borrowers.get_mut(&who) else { return Loan { number: 0, amount: 0.0 } };
        *last_number += 1;
        borrower.add(IssuedLoan { number: *last_number, amount, until });
        Loan { number: *last_number, amount }
    }

    /// An incarnation has ended, or reported that it accepts no calls any more: what it had is free at once.
    pub fn ended(&mut self, who: Incarnation) {
        self.borrowers.remove(&who);
    }

    /// A borrower's part by max-min fairness: nobody gets more than its demand, and what is left over goes to all in
    /// equal parts, since demand may grow before the next report.
    fn fair_part(&self, lendable: f64, who: Incarnation) -> f64 {
        let mut demands: Vec<(f64, Incarnation)> =
            self.borrowers.iter().map(|(other, borrower)| (borrower.demand, *other)).collect();
        demands.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        let (mut left, mut part) = (lendable, 0.0);
        let count = demands.len();
        for (index, (demand, borrower)) in demands.iter().enumerate() {
            let granted = demand.min(left / (count - index) as f64);
            left -= granted;
            if *borrower == who {
                part = granted;
            }
        }
        part + left.max(0.0) / count.max(1) as f64
    }
}

#[cfg(test)]
mod tests;
