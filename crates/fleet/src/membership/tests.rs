//! Unit tests of the membership.

use super::*;
use crate::follower_requests::WAIT_WITHOUT_LEASES;

const ONE: Incarnation = Incarnation { controller: 1, incarnation: 7 };
const TWO: Incarnation = Incarnation { controller: 2, incarnation: 8 };

fn version(revision: u64) -> Version {
    Version { epoch: 1, revision }
}

fn state(revision: u64, requires_lease: bool) -> MemberState {
    MemberState { in_force: version(revision), persisted: version(revision), requires_lease }
}

#[test]
fn change_is_in_force_when_all_have_applied_it_or_can_not_act() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    for who in [ONE, TWO] {
        membership.heartbeat(0, who, state(4, true));
        assert_eq!(membership.grant(0, who, version(4)), Ok(Some(1_000)));
    }
    let progress = membership.progress(10, version(5), 1);
    assert!(!progress.is_persisted() && progress.pending.len() == 2);
    membership.heartbeat(20, ONE, state(5, true));
    let progress = membership.progress(20, version(5), 1);
    assert!(progress.is_persisted() && !progress.is_in_force());
    assert_eq!(
        progress.bound(20),
        Some(1_010),
        "the lease of the silent member expires, by the slowest clock"
    );
    assert!(!membership.progress(1_009, version(5), 1).is_in_force());
    assert!(membership.progress(1_010, version(5), 1).is_in_force());
    assert_eq!(membership.lease_holders(500), 2);
}

#[test]
fn member_that_continues_without_a_lease_has_no_bound() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    membership.heartbeat(0, ONE, state(4, false));
    membership.grant(0, ONE, version(4)).expect("not fenced");
    let progress = membership.progress(5_000, version(5), 1);
    assert_eq!(
        (progress.bound(5_000), progress.is_persisted()),
        (None, true),
        "no member is reachable that could persist it"
    );
    membership.heartbeat(6_000, ONE, state(5, false));
    assert!(membership.progress(6_000, version(5), 1).is_in_force());
}

#[test]
fn leases_of_an_earlier_leader_are_waited_out() {
    let membership = Membership::new(100, Some(1_000), Some(3_000), 0);
    let progress = membership.progress(200, version(5), 1);
    assert_eq!(
        progress.pending,
        [PendingMember { incarnation: None, lease_expires_at: Some(100 + 3_000 + 30) }]
    );
    assert!(progress.is_persisted(), "earlier incarnations are not expected to persist it");
    assert!(membership.progress(3_130, version(5), 1).is_in_force());
}

#[test]
fn fencing_covers_the_known_incarnations_of_a_controller() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    let again = Incarnation { incarnation: 9, ..ONE };
    membership.heartbeat(0, ONE, state(4, true));
    membership.grant(0, ONE, version(4)).expect("a lease");
    assert_eq!(membership.fence(1), [ONE]);
    assert_eq!(membership.grant(10, ONE, version(4)), Err(LeaseDenied::Fenced));
    assert!(
        !membership.progress(10, version(5), 0).is_in_force(),
        "its lease continues until it is notified"
    );
    membership.ended(ONE);
    assert!(membership.progress(10, version(5), 0).is_in_force());
    membership.heartbeat(20, again, state(4, true));
    assert_eq!(membership.grant(20, again, version(4)), Ok(Some(1_000)), "another incarnation gets a lease");
    assert_eq!((membership.unfence(1), membership.is_fenced(ONE)), (1, false));
}

#[test]
fn member_with_a_running_lease_is_never_forgotten() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    for incarnation in 0..MAX_INCARNATIONS as u64 {
        let who = Incarnation { controller: 1, incarnation };
        membership.heartbeat(0, who, state(4, true));
        membership.grant(0, who, version(4)).expect("the membership has capacity");
    }
    membership.heartbeat(10, TWO, state(4, true));
    assert_eq!(
        (membership.grant(10, TWO, version(4)), membership.rejected_heartbeats()),
        (Err(LeaseDenied::Full), 1)
    );
    membership.heartbeat(1_010, TWO, state(4, true));
    assert_eq!(
        membership.grant(1_010, TWO, version(4)),
        Ok(Some(1_000)),
        "the leases of the other members have expired"
    );
}

#[test]
fn member_whose_responses_are_lost_delays_no_change() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    membership.heartbeat(0, ONE, state(4, true));
    membership.grant(0, ONE, version(4)).expect("a lease");
    // The change is made at 10. Further heartbeats are received, and each is granted a lease with the change.
    for now in (100..2_000).step_by(100) {
        membership.heartbeat(now, ONE, state(4, true));
        membership.grant(now, ONE, version(5)).expect("a lease");
        assert_eq!(membership.progress(now, version(5), 0).is_in_force(), now >= 1_010, "at {now}");
    }
    // A thousand changes per second: the tracked leases are bounded, and no change is in force too early.
    for n in 0..500 {
        membership.heartbeat(2_000 + n, ONE, state(4, true));
        membership.grant(2_000 + n, ONE, version(6 + n)).expect("a lease");
        let mut bounds: Vec<Millis> =
            (0..n).filter_map(|k| membership.progress(2_000 + n, version(6 + k + 1), 0).bound(0)).collect();
        assert!((0..n).all(|k| bounds[k as usize] >= 2_000 + k + 1_010), "{n}");
        bounds.dedup();
        assert!(bounds.len() <= MAX_TRACKED_LEASES + 1);
    }
}

#[test]
fn out_of_order_heartbeat_does_not_decrease_versions() {
    let mut membership = Membership::new(0, None, None, 0);
    membership.heartbeat(0, ONE, state(5, false));
    membership.heartbeat(1, ONE, state(4, false));
    let progress = membership.progress(1, version(5), 1);
    assert!(progress.is_persisted() && progress.is_in_force());
    assert_eq!(membership.grant(1, ONE, version(4)), Ok(None));
}

#[test]
fn incarnation_that_has_ended_gets_no_lease_and_reports_nothing_any_more() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    membership.heartbeat(0, ONE, state(4, false));
    membership.grant(0, ONE, version(4)).expect("a lease");
    membership.ended(ONE);
    // A heartbeat that was sent before the incarnation ended is received afterwards.
    membership.heartbeat(10, ONE, state(5, false));
    assert_eq!(membership.grant(10, ONE, version(5)), Err(LeaseDenied::Ended));
    let progress = membership.progress(10, version(5), 1);
    assert!(progress.is_in_force(), "the change does not wait for it");
    assert_eq!(progress.persisted, 0, "its state from before it ended counts");
    // Earlier versions of the program report no incarnation, so the leader can't distinguish the next run.
    let unreported = Incarnation { incarnation: UNREPORTED_INCARNATION, ..ONE };
    membership.heartbeat(20, unreported, state(4, true));
    membership.ended(unreported);
    membership.heartbeat(30, unreported, state(4, true));
    assert_eq!(membership.grant(30, unreported, version(4)), Ok(Some(1_000)));
}

#[test]
fn incarnations_of_a_controller_supersede_each_other_in_order_of_first_heartbeat() {
    let mut membership = Membership::new(0, Some(1_000), None, 0);
    let later = Incarnation { incarnation: 3, ..ONE };
    for who in [ONE, TWO, later] {
        assert!(!membership.is_superseded(who), "no heartbeat was received yet");
        membership.heartbeat(0, who, state(4, true));
    }
    assert!(membership.is_superseded(ONE) && !membership.is_superseded(later));
    assert!(!membership.is_superseded(TWO), "another controller");
}

/// If no leases are granted, a follower sends nothing while the leader delays the response to its watch. It
/// must count as reachable for all that time, or a change is acknowledged without a copy.
#[test]
fn follower_whose_watch_is_held_is_expected_to_persist_a_change() {
    let mut membership = Membership::new(0, None, None, 0);
    membership.heartbeat(0, ONE, state(4, false));
    let wait = WAIT_WITHOUT_LEASES.as_millis() as Millis;
    let progress = membership.progress(wait, version(5), 1);
    assert_eq!((progress.required, progress.is_persisted()), (1, false));
}
