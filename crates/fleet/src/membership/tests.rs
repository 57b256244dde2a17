//! Unit tests of `roll`.

use super::*;

const ONE: Incarnation = Incarnation { controller: 1, incarnation: 7 };
const TWO: Incarnation = Incarnation { controller: 2, incarnation: 8 };

fn at(revision: u64) -> Version {
    Version { epoch: 1, revision }
}

fn told(revision: u64, ends: bool) -> MemberState {
    MemberState { in_force: at(revision), persisted: at(revision), requires_lease: ends }
}

#[test]
fn a_change_is_everywhere_when_all_have_it_or_can_act_no_more() {
    let mut roll = Membership::new(0, Some(1_000), None, 0);
    for who in [ONE, TWO] {
        roll.heartbeat(0, who, told(4, true));
        assert_eq!(roll.grant(0, who, at(4)), Ok(Some(1_000)));
    }
    let progress = roll.progress(10, at(5), 1);
    assert!(!progress.is_persisted() && progress.pending.len() == 2);
    roll.heartbeat(20, ONE, told(5, true));
    let progress = roll.progress(20, at(5), 1);
    assert!(progress.is_persisted() && !progress.is_in_force());
    assert_eq!(progress.bound(20), Some(1_010), "the silent one's lease, by the slowest clock");
    assert!(!roll.progress(1_009, at(5), 1).is_in_force());
    assert!(roll.progress(1_010, at(5), 1).is_in_force());
    assert_eq!(roll.lease_holders(500), 2);
}

#[test]
fn one_that_goes_on_without_a_lease_has_no_bound() {
    let mut roll = Membership::new(0, Some(1_000), None, 0);
    roll.heartbeat(0, ONE, told(4, false));
    roll.grant(0, ONE, at(4)).expect("not fenced");
    let progress = roll.progress(5_000, at(5), 1);
    assert_eq!((progress.bound(5_000), progress.is_persisted()), (None, true), "nobody is there to hold it");
    roll.heartbeat(6_000, ONE, told(5, false));
    assert!(roll.progress(6_000, at(5), 1).is_in_force());
}

#[test]
fn leases_of_an_earlier_administration_are_waited_out() {
    let roll = Membership::new(100, Some(1_000), Some(3_000), 0);
    let progress = roll.progress(200, at(5), 1);
    assert_eq!(progress.pending, [PendingMember { incarnation: None, lease_over: Some(100 + 3_000 + 30) }]);
    assert!(progress.is_persisted(), "but they are nobody to count on");
    assert!(roll.progress(3_130, at(5), 1).is_in_force());
}

#[test]
fn two_lives_of_one_number_are_two_and_a_fence_shuts_out_those_that_are_known() {
    let mut roll = Membership::new(0, Some(1_000), None, 0);
    let again = Incarnation { incarnation: 9, ..ONE };
    roll.heartbeat(0, ONE, told(4, true));
    roll.grant(0, ONE, at(4)).expect("a lease");
    assert_eq!(roll.fence(1), [ONE]);
    assert_eq!(roll.grant(10, ONE, at(4)), Err(LeaseDenied::Fenced));
    assert!(!roll.progress(10, at(5), 0).is_in_force(), "its lease runs until it hears of it");
    roll.ended(ONE);
    assert!(roll.progress(10, at(5), 0).is_in_force());
    roll.heartbeat(20, again, told(4, true));
    assert_eq!(roll.grant(20, again, at(4)), Ok(Some(1_000)), "another life is let in");
    assert_eq!((roll.unfence(1), roll.is_fenced(ONE)), (1, false));
}

#[test]
fn nobody_whose_lease_runs_is_forgotten_for_another() {
    let mut roll = Membership::new(0, Some(1_000), None, 0);
    for life in 0..MAX_INCARNATIONS as u64 {
        let who = Incarnation { controller: 1, incarnation: life };
        roll.heartbeat(0, who, told(4, true));
        roll.grant(0, who, at(4)).expect("room");
    }
    roll.heartbeat(10, TWO, told(4, true));
    assert_eq!((roll.grant(10, TWO, at(4)), roll.rejected()), (Err(LeaseDenied::Full), 1));
    roll.heartbeat(1_010, TWO, told(4, true));
    assert_eq!(roll.grant(1_010, TWO, at(4)), Ok(Some(1_000)), "the leases of the others are over");
}

#[test]
fn one_that_asks_and_hears_nothing_holds_no_change_up() {
    let mut roll = Membership::new(0, Some(1_000), None, 0);
    roll.heartbeat(0, ONE, told(4, true));
    roll.grant(0, ONE, at(4)).expect("a lease");
    // The change is made at 10; it asks on, and is answered each time, with the change.
    for now in (100..2_000).step_by(100) {
        roll.heartbeat(now, ONE, told(4, true));
        roll.grant(now, ONE, at(5)).expect("a lease");
        assert_eq!(roll.progress(now, at(5), 0).is_in_force(), now >= 1_010, "at {now}");
    }
    // A hundred changes a second: what is remembered is bounded, and never too early.
    for n in 0..500 {
        roll.heartbeat(2_000 + n, ONE, told(4, true));
        roll.grant(2_000 + n, ONE, at(6 + n)).expect("a lease");
        let mut outs: Vec<Millis> =
            (0..n).filter_map(|k| roll.progress(2_000 + n, at(6 + k + 1), 0).bound(0)).collect();
        assert!((0..n).all(|k| outs[k as usize] >= 2_000 + k + 1_010), "{n}");
        outs.dedup();
        assert!(outs.len() <= MAX_TRACKED_LEASES + 1);
    }
}

#[test]
fn an_old_word_takes_nothing_back() {
    let mut roll = Membership::new(0, None, None, 0);
    roll.heartbeat(0, ONE, told(5, false));
    roll.heartbeat(1, ONE, told(4, false));
    let progress = roll.progress(1, at(5), 1);
    assert!(progress.is_persisted() && progress.is_in_force());
    assert_eq!(roll.grant(1, ONE, at(4)), Ok(None));
}
