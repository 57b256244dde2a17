//! Loans over the administration's exchange: what followers report and what they are told. Who gets how much is decided
//! by `nettleferry_fleet::loans`.

use std::collections::BTreeMap;

use nettleferry_fleet::Millis;
use nettleferry_fleet::loans::{Kind, Lender, LoanConfig, LoanRequest, UsageReport};
use nettleferry_fleet::membership::Incarnation;
use nettleferry_tenancy::{Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};

/// Rows of a report at the most; tenants beyond keep their reserves.
pub const MOST_ROWS: usize = 1_000;

/// What a controller could use of a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Whose.
    pub tenant: String,
    /// Which tenant of that name.
    pub uid: Revision,
    /// Of what.
    pub kind: Kind,
    /// How much it could use, in all.
    pub demand: f64,
    /// How much is in use, by calls in hand; nothing of a rate.
    pub in_use: f64,
    /// The number of the loan that its calls' thread acts on; 0: none.
    pub acts_on: u64,
    /// The life of the administration that gave it: its numbers are of no other one.
    pub by: u64,
}

/// What it may use beyond its reserve.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Lent {
    /// Which tenant.
    pub uid: Revision,
    /// Of what.
    pub kind: Kind,
    /// The limit of which this is a part: it is of no other one.
    pub limit: f64,
    /// The loan's number, and the life of the administration that gave it.
    pub number: u64,
    /// See `number`.
    pub by: u64,
    /// How much.
    pub amount: f64,
}

/// A tenant's limit of a kind.
pub fn limit_of(tenant: &Tenant, kind: Kind) -> Option<f64> {
    let limits = &tenant.spec.limits;
    match kind {
        Kind::Rate => limits.rate_per_second,
        Kind::Open => limits.open_calls.map(f64::from),
        Kind::Held => limits.held_calls.map(f64::from),
        Kind::Memory => limits.loaded_memory_bytes.map(|bytes| bytes as f64),
    }
}

/// Loans of all limits.
pub struct Lending {
    terms: LoanConfig,
    by: u64,
    /// The longest time that a call may take.
    longest: Millis,
    /// The number of the last loan of all limits: forgotten limits and borrowers get none that was given before.
    next: u64,
    lenders: BTreeMap<(Revision, Kind), Lender>,
}

impl Lending {
    /// Nothing is lent yet, by this life of the administration.
    pub fn new(terms: LoanConfig, by: u64, longest: Millis) -> Self {
        Self { terms, by, longest, next: 0, lenders: BTreeMap::new() }
    }

    /// A life that holds a lease reports; leases given now are over at `until` by every clock.
    pub fn report(
        &mut self,
        (now, until): (Millis, Millis),
        book: &TenantSnapshot,
        who: Incarnation,
        rows: &[Demand],
    ) -> Vec<Lent> {
        let mut all = Vec::new();
        for row in rows.iter().take(MOST_ROWS) {
            let tenant = book.get(&row.tenant).filter(|tenant| tenant.uid == row.uid);
            let Some(limit) = tenant.and_then(|tenant| limit_of(tenant, row.kind)) else { continue };
            let lender = self.lenders.entry((row.uid, row.kind)).or_default();
            let acts_on = if row.by == self.by { row.acts_on } else { 0 };
            // What calls hold stays in use for as long as they may take.
            let over = if row.kind == Kind::Rate { until } else { until + self.longest };
            let usage = UsageReport { demand: row.demand, in_use: row.in_use, applied_loan: acts_on };
            let request = LoanRequest { borrower: who, usage, config: self.terms, limit, now, until: over };
            let loan = lender.report(request, &mut self.next);
            let (number, amount) = (loan.number, loan.amount);
            all.push(Lent { uid: row.uid, kind: row.kind, limit, number, by: self.by, amount });
        }
        all
    }

    /// A life that takes no calls any more.
    pub fn ended(&mut self, who: Incarnation) {
        self.lenders.values_mut().for_each(|lender| lender.ended(who));
    }

    /// Forgets limits of which nothing is out.
    pub fn sweep(&mut self, now: Millis) {
        self.lenders.retain(|_, lender| lender.outstanding(now) > 0.0);
    }

    /// Limits of which something is lent, and to how many lives.
    pub fn shown(&self, now: Millis) -> (usize, usize) {
        let lives = self.lenders.values().map(|lender| lender.borrowers(now)).max().unwrap_or(0);
        (self.lenders.len(), lives)
    }
}
