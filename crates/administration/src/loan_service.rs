//! Loans of limits: takes the demands that controllers report, and answers with what each may use. Who gets how much of a
//! limit is decided by `nettleferry_fleet::loans`.

use std::collections::BTreeMap;

use nettleferry_fleet::Millis;
use nettleferry_fleet::loans::{Lender, LimitKind, LoanConfig, LoanRequest, UsageReport};
use nettleferry_fleet::membership::Incarnation;
use nettleferry_tenancy::{Revision, Tenant, TenantSnapshot};

use crate::messages::{LimitDemand, LoanGrant};

/// Rows of a report that are looked at; tenants beyond them keep their reserves.
pub const MAX_DEMANDS: usize = 1_000;

/// When loans are granted, and when they are over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LoanPeriod {
    /// Now, in milliseconds on the leader's clock.
    pub(crate) now: Millis,
    /// When a lease that is granted now is over by every clock.
    pub(crate) until: Millis,
}

/// How many loans there are.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LoanCounts {
    /// Limits of which something is lent.
    pub(crate) limits: usize,
    /// The most incarnations that borrow of one limit.
    pub(crate) borrowers: usize,
}

/// The loans of all limits.
pub(crate) struct LoanService {
    config: LoanConfig,
    leader_incarnation: u64,
    /// The longest time that a call may take.
    max_call: Millis,
    /// The number of the last loan of any limit, so that no number is used again after a limit or borrower is forgotten.
    last_number: u64,
    lenders: BTreeMap<(Revision, LimitKind), Lender>,
}

impl LoanService {
    /// Nothing is lent yet by this incarnation of the leader.
    pub(crate) fn new(config: LoanConfig, leader_incarnation: u64, max_call: Millis) -> Self {
        Self { config, leader_incarnation, max_call, last_number: 0, lenders: BTreeMap::new() }
    }

    /// An incarnation that holds a lease reports its demands. Returns what it may use.
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
        let known = demand.leader_incarnation == self.leader_incarnation;
        let applied_loan = if known { demand.applied_loan } else { 0 };
        // What calls hold stays in use for as long as they may take.
        let over = if kind == LimitKind::Rate { until } else { until + self.max_call };
        let usage = UsageReport { demand: demand.demand, in_use: demand.in_use, applied_loan };
        let request = LoanRequest { borrower, usage, config: self.config, limit, now, until: over };
        let loan = lender.report(request, &mut self.last_number);
        let leader_incarnation = self.leader_incarnation;
        Some(LoanGrant { uid, kind, limit, number: loan.number, leader_incarnation, amount: loan.amount })
    }

    /// An incarnation accepts no calls any more: its loans are free.
    pub(crate) fn ended(&mut self, borrower: Incarnation) {
        self.lenders.values_mut().for_each(|lender| lender.ended(borrower));
    }

    /// Forgets limits of which nothing is lent.
    pub(crate) fn remove_unused(&mut self, now: Millis) {
        self.lenders.retain(|_, lender| lender.outstanding(now) > 0.0);
    }

    /// How many loans there are.
    pub(crate) fn counts(&self, now: Millis) -> LoanCounts {
        let borrowers = self.lenders.values().map(|lender| lender.borrowers(now)).max().unwrap_or(0);
        LoanCounts { limits: self.lenders.len(), borrowers }
    }
}

/// A tenant's limit of a kind.
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
