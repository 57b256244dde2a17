//! Division of a limit among controllers that see only their own calls. The amounts in use never add up to
//! more than the limit, even if controllers are delayed, partitioned, stalled or dead.
//!
//! Each controller of the installation has a reserve that needs no loan. The rest of the limit is lent
//! according to demand to incarnations with a lease, for the span of a lease. The borrower measures the span
//! from its request and the lender from its response, both with the allowance for clock drift of
//! [`crate::lease`]. A loan that was replaced by a smaller one counts in full until the borrower has reported
//! that it applies the new one, or until it expires. A lost response therefore frees nothing.
//!
//! Calls in flight continue when a loan shrinks or expires. For this reason an incarnation also reports how
//! much its calls occupy, and the lender counts that amount too. For all limits but rates, the last report of
//! an incarnation that has become silent counts until its lease has expired and the longest possible call has
//! ended.
//!
//! At any time, an incarnation may use at most the largest of its unexpired loans that it may still apply,
//! and the lender keeps the sum of these amounts within what may be lent.
//!
//! The caller determines the limits and the expiry of leases.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::Millis;
use crate::membership::Incarnation;

/// Maximum number of loans tracked for one incarnation. Beyond it the two oldest are merged, which bounds the
/// memory for an incarnation that sends reports but never receives a response.
const MAX_OUTSTANDING: usize = 16;

/// The division of a limit into the reserves of the controllers and the part that is lent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoanConfig {
    /// Number of controllers of the installation.
    pub controllers: u32,
    /// Fraction of a limit that is divided evenly among the controllers and never lent, from 0 to 1.
    pub reserve: f64,
}

impl LoanConfig {
    /// Returns the amount of a limit that each controller may use without a loan.
    pub fn reserve_of(&self, limit: f64) -> f64 {
        limit * self.reserve / f64::from(self.controllers.max(1))
    }

    /// Returns the amount of a limit that may be lent in total.
    pub fn lendable(&self, limit: f64) -> f64 {
        limit * (1.0 - self.reserve)
    }
}

/// The quantity that a limit bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LimitKind {
    /// Calls per second of a tenant.
    Rate,
    /// Concurrent open calls of a tenant.
    Open,
    /// Concurrent open calls that are not assigned to a worker.
    Held,
    /// Memory of the models in use, in bytes.
    Memory,
}

/// Demand and use of a limit, as a borrower reports them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageReport {
    /// Amount that the borrower could use, including its reserve.
    pub demand: f64,
    /// Amount that calls in flight occupy, including the reserve; 0 for a rate.
    pub in_use: f64,
    /// Number of the loan that the borrower applied when it measured `in_use`; 0 if it had none.
    pub applied_loan: u64,
}

/// An amount that a borrower may use beyond its reserve.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Loan {
    /// Number of the loan, higher than that of any earlier one. Numbers are not reused: otherwise an old
    /// report could be mistaken for one about a loan that is in use.
    pub number: u64,
    /// Amount that is lent.
    pub amount: f64,
}

/// The report of a borrower with the parameters of the loan that it is to get.
#[derive(Clone, Copy, Debug)]
pub struct LoanRequest {
    /// The borrower, which has a lease.
    pub borrower: Incarnation,
    /// Demand and use that the borrower reported.
    pub usage: UsageReport,
    /// The division into reserves and the part that is lent.
    pub config: LoanConfig,
    /// The limit to divide.
    pub limit: f64,
    /// Current time by the lender's clock.
    pub now: Millis,
    /// Until when the loan counts as in use: the latest possible expiry of the lease that is granted with it,
    /// plus the longest duration of a call if calls occupy the limit.
    pub until: Millis,
}

/// A loan that may be in use.
#[derive(Clone, Copy, Debug)]
struct IssuedLoan {
    number: u64,
    amount: f64,
    /// Until when the loan may be in use; see [`LoanRequest::until`].
    until: Millis,
}

#[derive(Clone, Debug)]
struct Borrower {
    /// Demand beyond the reserve.
    demand: f64,
    /// Loans that may be in use, oldest first.
    loans: Vec<IssuedLoan>,
    /// Amount in use beyond the reserve, from the last report.
    in_use: f64,
    /// Until when `in_use` counts.
    in_use_until: Millis,
}

impl Borrower {
    /// Returns the maximum amount that the borrower may use beyond its reserve.
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
            // The two oldest are merged into one that covers both.
            let oldest = self.loans.remove(0);
            let next = &mut self.loans[0];
            next.amount = next.amount.max(oldest.amount);
            next.until = next.until.max(oldest.until);
        }
    }
}

/// Lends one limit of one tenant to the incarnations of controllers.
#[derive(Clone, Debug, Default)]
pub struct Lender {
    borrowers: BTreeMap<Incarnation, Borrower>,
}

impl Lender {
    /// Returns the maximum total amount that may be in use beyond the reserves.
    pub fn outstanding(&self, now: Millis) -> f64 {
        self.borrowers.values().map(|borrower| borrower.usable(now)).sum()
    }

    /// Returns the number of incarnations that may use more than their reserve.
    pub fn borrowers(&self, now: Millis) -> usize {
        self.borrowers.values().filter(|borrower| borrower.usable(now) > 0.0).count()
    }

    /// Records the report of a borrower and returns its new loan, valid for the lease that is granted with
    /// it. `last_number` is the number of the last loan of any limit and is incremented.
    pub fn report(&mut self, request: LoanRequest, last_number: &mut u64) -> Loan {
        let LoanRequest { borrower: incarnation, usage, config, limit, now, until } = request;
        // A borrower whose loan has an amount of 0 is kept until the loan expires, so that its demand counts
        // in the division.
        self.borrowers.retain(|other, borrower| *other == incarnation || borrower.has_running_loan(now));
        let reserve = config.reserve_of(limit);
        let borrower = self.borrowers.entry(incarnation).or_insert(Borrower {
            demand: 0.0,
            loans: Vec::new(),
            in_use: 0.0,
            in_use_until: 0,
        });
        borrower.demand = if usage.demand.is_finite() { (usage.demand - reserve).max(0.0) } else { 0.0 };
        borrower.in_use = (usage.in_use - reserve).max(0.0);
        borrower.in_use_until = until;
        // A borrower that has applied a loan applies no earlier one any more. A number that was never
        // assigned is ignored.
        if usage.applied_loan <= *last_number {
            borrower.loans.retain(|loan| loan.number >= usage.applied_loan && now < loan.until);
        }
        let lendable = config.lendable(limit).max(0.0);
        let others = self.borrowers.iter().filter(|(other, _)| **other != incarnation);
        let used_by_others: f64 = others.map(|(_, borrower)| borrower.usable(now)).sum();
        let amount = self.fair_part(lendable, incarnation).min((lendable - used_by_others).max(0.0));
        let Some(borrower) = self.borrowers.get_mut(&incarnation) else {
            return Loan { number: 0, amount: 0.0 };
        };
        *last_number += 1;
        borrower.add(IssuedLoan { number: *last_number, amount, until });
        Loan { number: *last_number, amount }
    }

    /// Frees the loans of an incarnation that has ended or reported that it accepts no calls any more.
    pub fn ended(&mut self, incarnation: Incarnation) {
        self.borrowers.remove(&incarnation);
    }

    /// Returns the amount due to a borrower by max-min fairness. What remains once all demands are met is
    /// divided evenly, since demand may grow before the next report.
    fn fair_part(&self, lendable: f64, incarnation: Incarnation) -> f64 {
        let mut demands: Vec<(f64, Incarnation)> =
            self.borrowers.iter().map(|(other, borrower)| (borrower.demand, *other)).collect();
        demands.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        let (mut left, mut part) = (lendable, 0.0);
        let count = demands.len();
        for (index, (demand, borrower)) in demands.iter().enumerate() {
            let granted = demand.min(left / (count - index) as f64);
            left -= granted;
            if *borrower == incarnation {
                part = granted;
            }
        }
        part + left.max(0.0) / count.max(1) as f64
    }
}

#[cfg(test)]
mod tests;
