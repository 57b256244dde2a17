//! The loans of limits that this controller holds, and its share of each limit.

use std::collections::{BTreeSet, HashMap};

use nettleferry::Micros;
use nettleferry_administration::LoanGrant;
use nettleferry_fleet::loans::{LimitKind, LoanConfig};
use nettleferry_tenancy::Revision;

/// Identifies the loan that a controller holds for a limit, as it is reported to the leader with the demand.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct AppliedLoan {
    /// The loan's number, which the leader assigned; 0 where the controller holds no loan.
    pub(super) number: u64,
    /// The incarnation of the leader that granted the loan.
    pub(super) leader_incarnation: u64,
}

/// A loan in force.
struct Loan {
    applied: AppliedLoan,
    /// The value that the limit had when a part of it was lent. Once the limit has another value, the loan is not
    /// applied.
    limit: f64,
    /// The amount by which the controller's share exceeds its reserve, in the unit of the limit.
    amount: f64,
    /// Time on the controller's clock at which the loan expires.
    until: Micros,
}

/// The loans in force, by tenant and kind of limit.
pub(super) struct BorrowedLimits {
    config: LoanConfig,
    loans: HashMap<(Revision, LimitKind), Loan>,
    /// The earliest time at which a loan expires; [`Micros::MAX`] where there is none.
    next_expiry: Micros,
}

impl BorrowedLimits {
    /// Creates an empty set of loans.
    pub(super) fn new(config: LoanConfig) -> Self {
        Self { config, loans: HashMap::new(), next_expiry: Micros::MAX }
    }

    /// Whether limits are lent at all. Where the reserve is the whole limit, they are not.
    pub(super) fn is_enabled(&self) -> bool {
        self.config.reserve < 1.0
    }

    /// Applies granted loans, which expire at `until`, except for those that are older than the loan in force. Returns
    /// the uids of the tenants of all granted loans.
    pub(super) fn grant(&mut self, until: Micros, loans: Vec<LoanGrant>) -> BTreeSet<Revision> {
        let mut tenants = BTreeSet::new();
        for LoanGrant { uid, kind, limit, number, leader_incarnation, amount } in loans {
            tenants.insert(uid);
            // Responses may arrive out of order: an earlier loan does not replace a later one of the same incarnation
            // of the leader.
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

    /// Removes expired loans. Returns the uids of their tenants, or `None` if no loan has expired.
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

    /// The loan that this controller holds for a limit of a tenant, even if the limit has another value since the
    /// grant. Its number is 0 if there is none.
    pub(super) fn applied(&self, uid: Revision, kind: LimitKind) -> AppliedLoan {
        self.loans.get(&(uid, kind)).map_or_else(AppliedLoan::default, |loan| loan.applied)
    }

    /// This controller's share of a limit: its reserve, and the loan if it was granted for this value of the limit.
    pub(super) fn share(&self, uid: Revision, kind: LimitKind, limit: f64) -> f64 {
        let loan = self.loans.get(&(uid, kind)).filter(|loan| loan.limit == limit);
        self.reserve(limit) + loan.map_or(0.0, |loan| loan.amount)
    }

    /// The part of a limit that this controller may use without a loan.
    pub(super) fn reserve(&self, limit: f64) -> f64 {
        self.config.reserve_of(limit)
    }

    /// The fixed, equal part that each controller has of a limit that is not lent.
    pub(super) fn equal_part(&self, limit: f64) -> f64 {
        limit / f64::from(self.config.controllers.max(1))
    }
}

#[cfg(test)]
mod tests;
