//! The loans of limits that this controller may use, and its share of each limit with them.

use std::collections::{BTreeSet, HashMap};

use nettleferry::Micros;
use nettleferry_administration::LoanGrant;
use nettleferry_fleet::loans::{LimitKind, LoanConfig};
use nettleferry_tenancy::Revision;

/// A loan, as a demand reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AppliedLoan {
    /// Its number; 0: there is none.
    pub(super) number: u64,
    /// The leader's incarnation that granted it.
    pub(super) leader_incarnation: u64,
}

/// A loan in force.
struct Loan {
    applied: AppliedLoan,
    /// The limit that it is a part of.
    limit: f64,
    amount: f64,
    until: Micros,
}

/// The loans, by tenant and kind of limit.
pub(super) struct BorrowedLimits {
    config: LoanConfig,
    loans: HashMap<(Revision, LimitKind), Loan>,
    /// When the first of them is over.
    next_expiry: Micros,
}

impl BorrowedLimits {
    /// No loans yet.
    pub(super) fn new(config: LoanConfig) -> Self {
        Self { config, loans: HashMap::new(), next_expiry: Micros::MAX }
    }

    /// Whether limits are divided by loans.
    pub(super) fn is_enabled(&self) -> bool {
        self.config.reserve < 1.0
    }

    /// Takes granted loans. Returns the uids of their tenants.
    pub(super) fn grant(&mut self, until: Micros, loans: Vec<LoanGrant>) -> BTreeSet<Revision> {
        let mut tenants = BTreeSet::new();
        for LoanGrant { uid, kind, limit, number, leader_incarnation, amount } in loans {
            tenants.insert(uid);
            // A response that was overtaken by a later one of the same incarnation takes nothing back.
            let is_newer = |current: &Loan| {
                current.applied.leader_incarnation != leader_incarnation || number > current.applied.number
            };
            if self.loans.get(&(uid, kind)).is_none_or(is_newer) {
                let applied = AppliedLoan { number, leader_incarnation };
                self.loans.insert((uid, kind), Loan { applied, limit, amount, until });
            }
        }
        self.update_next_expiry();
        tenants
    }

    /// Drops loans that are over. Returns the uids of their tenants; `None`: none is over.
    pub(super) fn expire(&mut self, now: Micros) -> Option<BTreeSet<Revision>> {
        if now < self.next_expiry {
            return None;
        }
        let expired = self.loans.iter().filter(|(_, loan)| loan.until <= now);
        let tenants = expired.map(|((uid, _), _)| *uid).collect();
        self.loans.retain(|_, loan| loan.until > now);
        self.update_next_expiry();
        Some(tenants)
    }

    fn update_next_expiry(&mut self) {
        self.next_expiry = self.loans.values().map(|loan| loan.until).min().unwrap_or(Micros::MAX);
    }

    /// The loan of a tenant's limit.
    pub(super) fn applied(&self, uid: Revision, kind: LimitKind) -> AppliedLoan {
        self.loans.get(&(uid, kind)).map_or_else(AppliedLoan::default, |loan| loan.applied)
    }

    /// This controller's share of a limit: its reserve, and what it borrowed of this very limit.
    pub(super) fn share(&self, uid: Revision, kind: LimitKind, limit: f64) -> f64 {
        let loan = self.loans.get(&(uid, kind)).filter(|loan| loan.limit == limit);
        self.reserve(limit) + loan.map_or(0.0, |loan| loan.amount)
    }

    /// The part of a limit that is this controller's without a loan.
    pub(super) fn reserve(&self, limit: f64) -> f64 {
        self.config.reserve_of(limit)
    }

    /// An equal part of a limit that is divided once and for all.
    pub(super) fn equal_part(&self, limit: f64) -> f64 {
        limit / f64::from(self.config.controllers.max(1))
    }
}

#[cfg(test)]
mod tests;
