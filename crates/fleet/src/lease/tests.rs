//! Unit tests of the lease holder.

use super::*;

const REJECTS: LeasePolicy = LeasePolicy { rejects: true, not_ready_after: Some(500) };

#[test]
fn holder_starts_without_a_lease_and_restricts_itself_by_its_policy() {
    let mut holder = Holder::new(100, REJECTS);
    assert_eq!(holder.check_call(100), Stage::Rejecting);
    holder.renewed(expires_at(120, 1_000));
    assert_eq!(holder.remaining(120), Some(990));
    assert_eq!((holder.check_call(1_109), holder.check_call(1_110)), (Stage::Current, Stage::Rejecting));
    assert_eq!((holder.check_call(1_609), holder.check_call(1_610)), (Stage::Rejecting, Stage::NotReady));
    assert_eq!(holder.next_change(1_200), Some(1_610));
    let counters = holder.counters();
    assert_eq!((counters.leases, counters.expiries, counters.rejected), (1, 1, 4));
    holder.renewed(expires_at(1_700, 1_000));
    assert!(holder.check_call(1_700).accepts_calls(), "a new lease ends the rejection");
    holder.fence();
    assert_eq!(holder.check_call(1_701), Stage::Fenced);
    let mut permissive = Holder::new(0, LeasePolicy { rejects: false, not_ready_after: None });
    assert_eq!(
        (permissive.check_call(9_999_999), permissive.stage(9_999_999).is_ready()),
        (Stage::Unleased, true)
    );
}

#[test]
fn late_or_repeated_response_extends_no_lease() {
    let mut holder = Holder::new(0, REJECTS);
    holder.renewed(expires_at(5_000, 1_000));
    holder.renewed(expires_at(1_000, 1_000));
    assert_eq!(holder.remaining(5_000), Some(990), "the response to an older request shortens nothing");
    assert_eq!(Holder::new(0, REJECTS).remaining(0), None);
    // A response that is received five seconds late grants a lease that has already expired.
    let mut late = Holder::new(0, REJECTS);
    late.renewed(expires_at(0, 1_000));
    assert_eq!(late.check_call(5_000), Stage::NotReady);
}

#[test]
fn action_across_the_end_of_a_lease_is_doubtful() {
    let mut holder = Holder::new(0, REJECTS);
    holder.renewed(expires_at(0, 1_000));
    assert!(!holder.action_finished(980, 989));
    assert!(holder.action_finished(989, 4_000));
    assert!(!holder.action_finished(4_000, 4_001), "there was no lease at the start of the action");
    assert_eq!(holder.counters().doubtful, 1);
}

#[test]
fn clock_error_is_never_rounded_away() {
    assert_eq!(
        (max_clock_difference(1), max_clock_difference(1_000), max_clock_difference(60_000)),
        (1, 10, 600)
    );
    assert_eq!(expires_at(7, MAX_SPAN * 9), 7 + MAX_SPAN - max_clock_difference(MAX_SPAN));
}
