//! Unit tests of `borrowed`.

use super::*;

const UID: Revision = 1;

fn grant(number: u64, leader_incarnation: u64, amount: f64) -> Vec<LoanGrant> {
    vec![LoanGrant { uid: UID, kind: LimitKind::Open, limit: 10.0, number, leader_incarnation, amount }]
}

fn borrowed() -> BorrowedLimits {
    BorrowedLimits::new(LoanConfig { controllers: 5, reserve: 0.5 })
}

#[test]
fn loan_adds_to_the_reserve_of_its_very_limit_until_it_is_over() {
    let mut borrowed = borrowed();
    let reserve = borrowed.reserve(10.0);
    assert!(borrowed.expire(0).is_none(), "there is no loan");
    assert_eq!(borrowed.grant(1_000, grant(1, 7, 4.0)), BTreeSet::from([UID]));
    assert_eq!(borrowed.share(UID, LimitKind::Open, 10.0), reserve + 4.0);
    assert_eq!(borrowed.share(UID, LimitKind::Open, 20.0), borrowed.reserve(20.0), "the limit has changed");
    assert_eq!(borrowed.share(UID, LimitKind::Held, 10.0), reserve, "another kind");
    assert!(borrowed.expire(999).is_none());
    assert_eq!(borrowed.expire(1_000), Some(BTreeSet::from([UID])));
    assert_eq!(borrowed.share(UID, LimitKind::Open, 10.0), reserve);
}

#[test]
fn overtaken_grant_replaces_no_later_one_of_the_same_leader() {
    let mut borrowed = borrowed();
    borrowed.grant(1_000, grant(2, 7, 4.0));
    borrowed.grant(1_000, grant(1, 7, 1.0));
    assert_eq!(borrowed.applied(UID, LimitKind::Open), AppliedLoan { number: 2, leader_incarnation: 7 });
    borrowed.grant(1_000, grant(1, 8, 1.0));
    assert_eq!(borrowed.applied(UID, LimitKind::Open), AppliedLoan { number: 1, leader_incarnation: 8 });
}
