//! Loans of limits: receives the demands that controllers report and grants each a share beyond its reserve. How a
//! limit is divided is decided by `nettleferry_fleet::loans`.

use std::collections::BTreeMap;

use nettleferry_fleet::Millis;
use nettleferry_fleet::loans::{Lender, LimitKind, LoanConfig, LoanRequest, UsageReport};
use nettleferry_fleet::membership::Incarnation;
use nettleferry_tenancy::{Revision, Tenant, TenantSnapshot};

use crate::messages::{LimitDemand, LoanGrant};

/// Maximum number of demands that are read from one report; the limits of further ones stay at their reserves.
pub const MAX_DEMANDS: usize = 1_000;

/// The time at which loans are granted, and the time at which they expire.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanPeriod {
    /// The current time, in milliseconds on the leader's clock.
    pub(crate) now: Millis,
    /// The time at which a lease that is granted now has expired on every clock, clock error included.
    pub(crate) until: Millis,
}

/// Counts of outstanding loans, for the fleet status.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoanCounts {
    /// The number of limits with an outstanding loan, including those whose last loan has ended since
    /// [`LoanService::remove_unused`] was called.
    pub(crate) limits: usize,
    /// The largest number of incarnations that borrow from the same limit.
    pub(crate) borrowers: usize,
}

/// The leader's loans of all limits.
pub(crate) struct LoanService {
    config: LoanConfig,
    leader_incarnation: u64,
    /// The longest deadline of a call, in milliseconds from its arrival.
    max_call_duration: Millis,
    /// The number of the last loan of any limit. Shared by all limits, so that no number is reused after a limit or a
    /// borrower is removed.
    last_number: u64,
    lenders: BTreeMap<(Revision, LimitKind), Lender>,
}

impl LoanService {
    /// Creates a service without loans, for this incarnation of the leader.
    pub(crate) fn new(config: LoanConfig, leader_incarnation: u64, max_call_duration: Millis) -> Self {
        Self { config, leader_incarnation, max_call_duration, last_number: 0, lenders: BTreeMap::new() }
    }

    /// Grants loans for the demands that an incarnation with a lease reports. Demands for a tenant or limit that does
    /// not exist get no loan.
    pub(crate) fn grant(
        &mut self,
        period: LoanPeriod,
        snapshot: &TenantSnapshot,
        borrower: Incarnation,
        demands: &[LimitDemand],
    ) -> Vec<LoanGrant> {
        let demands = demands.iter().take(MAX_DEMANDS);
        demands.filter_map(|demand| self.grant_one(period, snapshot, borrower, demand)).collect()
    }

    fn grant_one(
        &mut self,
        LoanPeriod { now, until }: LoanPeriod,
        snapshot: &TenantSnapshot,
        borrower: Incarnation,
        demand: &LimitDemand,
    ) -> Option<LoanGrant> {
        let LimitDemand { uid, kind, .. } = *demand;
        let tenant = snapshot.get(&demand.tenant).filter(|tenant| tenant.uid == uid)?;
        let limit = limit_of(tenant, kind)?;
        let lender = self.lenders.entry((uid, kind)).or_default();
        let is_own_loan = demand.leader_incarnation == self.leader_incarnation;
        let applied_loan = if is_own_loan { demand.applied_loan } else { 0 };
        // Calls that were admitted under a loan may still use it until their deadline, which can be after its expiry.
        let until = if kind == LimitKind::Rate { until } else { until + self.max_call_duration };
        let usage = UsageReport { demand: demand.demand, in_use: demand.in_use, applied_loan };
        let request = LoanRequest { borrower, usage, config: self.config, limit, now, until };
        let loan = lender.report(request, &mut self.last_number);
        let leader_incarnation = self.leader_incarnation;
        Some(LoanGrant { uid, kind, limit, number: loan.number, leader_incarnation, amount: loan.amount })
    }

    /// Frees the loans of an incarnation that has stopped accepting calls.
    pub(crate) fn free_loans(&mut self, borrower: Incarnation) {
        self.lenders.values_mut().for_each(|lender| lender.ended(borrower));
    }

    /// Removes limits without an outstanding loan.
    pub(crate) fn remove_unused(&mut self, now: Millis) {
        self.lenders.retain(|_, lender| lender.outstanding(now) > 0.0);
    }

    /// Counts the loans that are outstanding at `now`.
    pub(crate) fn counts(&self, now: Millis) -> LoanCounts {
        let borrowers = self.lenders.values().map(|lender| lender.borrowers(now)).max().unwrap_or(0);
        LoanCounts { limits: self.lenders.len(), borrowers }
    }
}

/// A tenant's limit of this kind; `None` if the tenant is not limited.
fn limit_of(tenant: &Tenant, kind: LimitKind) -> Option<f64> {
    let limits = &tenant.spec.limits;
    match kind {
        LimitKind::Rate => limits.rate_per_second,
        LimitKind::Open => limits.open_calls.map(f64::from),
        LimitKind::Held => limits.held_calls.map(f64::from),
        LimitKind::Memory => limits.loaded_memory_bytes.map(|bytes| bytes as f64),
    }
}

#[cfg(test)]
mod tests;
