//! Unit tests of `loan_service`.

use nettleferry_tenancy::{Limits, Spec, State};

use super::*;

const LEADER: u64 = 42;
const BORROWER: Incarnation = Incarnation { controller: 1, incarnation: 7 };
const PERIOD: LoanPeriod = LoanPeriod { now: 0, until: 1_000 };

fn snapshot() -> TenantSnapshot {
    let limits = Limits { open_calls: Some(10), ..Limits::default() };
    let tenant = Tenant {
        name: "kalahari".to_owned(),
        uid: 1,
        revision: 1,
        state: State::Active,
        created_ms: 0,
        gone_at_ms: None,
        spec: Spec { limits, ..Spec::default() },
    };
    TenantSnapshot::from_tenants(1, [tenant])
}

fn demand(kind: LimitKind) -> LimitDemand {
    LimitDemand {
        tenant: "kalahari".to_owned(),
        uid: 1,
        kind,
        demand: 8.0,
        in_use: 0.0,
        applied_loan: 0,
        leader_incarnation: 0,
    }
}

fn service() -> LoanService {
    LoanService::new(LoanConfig { controllers: 2, reserve: 0.5 }, LEADER, 4_000)
}

#[test]
fn loans_are_granted_for_known_limits_only() {
    let mut service = service();
    let other_uid = LimitDemand { uid: 2, ..demand(LimitKind::Open) };
    let granted = service.grant(
        PERIOD,
        &snapshot(),
        BORROWER,
        &[demand(LimitKind::Open), demand(LimitKind::Rate), other_uid],
    );
    assert_eq!(granted.len(), 1, "{granted:?}");
    let loan = &granted[0];
    assert_eq!((loan.uid, loan.kind, loan.limit), (1, LimitKind::Open, 10.0));
    assert_eq!((loan.number, loan.leader_incarnation), (1, LEADER));
    assert!(loan.amount > 0.0);
}

#[test]
fn loans_of_an_ended_borrower_are_freed_and_loan_numbers_are_not_reused() {
    let mut service = service();
    service.grant(PERIOD, &snapshot(), BORROWER, &[demand(LimitKind::Open)]);
    let counts = service.counts(0);
    assert_eq!((counts.limits, counts.borrowers), (1, 1));
    service.free_loans(BORROWER);
    service.remove_unused(0);
    assert_eq!(service.counts(0).limits, 0);
    let granted = service.grant(PERIOD, &snapshot(), BORROWER, &[demand(LimitKind::Open)]);
    assert_eq!(granted[0].number, 2, "a forgotten limit's numbers are not used again");
}

#[test]
fn demands_beyond_the_maximum_get_no_loan() {
    let mut service = service();
    let demands = vec![demand(LimitKind::Open); MAX_DEMANDS + 5];
    assert_eq!(service.grant(PERIOD, &snapshot(), BORROWER, &demands).len(), MAX_DEMANDS);
}
