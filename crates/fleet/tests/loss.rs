//! Which snapshot is installed after disks were lost or damaged, and which one a follower without a snapshot gets. No
//! acknowledged change that a disk still has may be lost.

use nettleferry_fleet::authority::{Authority, Cause, Duty, MAX_REPORTS, Step};
use nettleferry_fleet::bootstrap::{self, Bootstrap, PeerResponse};
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use proptest::prelude::*;

fn version(epoch: u64, revision: u64) -> SnapshotVersion {
    SnapshotVersion { store: "s".to_owned(), epoch, revision, checksum: (epoch * 1000 + revision) as u32 }
}

#[test]
fn damaged_snapshot_is_replaced_only_when_all_have_reported() {
    let mut a = Authority::new(0, None, 3);
    assert_eq!(a.duty().0, Duty::Waiting(Cause::Damaged));
    assert_eq!(a.report_received(1, 1, Some(version(1, 7))), Step::None);
    assert_eq!(a.report_received(2, 2, None), Step::None);
    // The third has the newest snapshot. Installing the first one's would have lost an acknowledged change.
    assert_eq!(a.report_received(3, 3, Some(version(1, 9))), Step::Install(3, version(1, 9)));
    a.set_own(4, version(2, 9), true);
    assert_eq!(a.duty().0, Duty::Serving);
    assert_eq!(a.report_received(5, 1, Some(version(1, 7))), Step::None);
    assert_eq!(a.duty().0, Duty::Serving, "a controller that is behind has no effect");
}

#[test]
fn older_snapshot_is_not_served_and_an_empty_one_is_never_the_newest() {
    let mut older = Authority::new(0, Some(version(1, 5)), 2);
    assert_eq!(older.duty().0, Duty::Serving, "until a report says otherwise");
    assert_eq!(older.report_received(1, 1, Some(version(1, 6))), Step::None);
    assert_eq!(older.duty().0, Duty::Waiting(Cause::Behind));
    assert_eq!(older.report_received(2, 2, Some(version(1, 5))), Step::Install(1, version(1, 6)));
    let empty = SnapshotVersion { store: "new".to_owned(), epoch: 1, revision: 0, checksum: 0 };
    let mut emptied = Authority::new(0, Some(empty.clone()), 2);
    assert_eq!(emptied.duty().0, Duty::Waiting(Cause::Empty));
    assert_eq!(emptied.report_received(1, 1, Some(version(1, 6))), Step::None);
    assert_eq!(emptied.report_received(2, 2, Some(version(1, 6))), Step::Install(1, version(1, 6)));
    let mut first = Authority::new(0, Some(empty), 2);
    first.report_received(1, 1, None);
    assert_eq!(first.duty().0, Duty::Waiting(Cause::Empty));
    first.report_received(2, 2, None);
    assert_eq!(first.duty().0, Duty::Serving, "no controller has a snapshot: a new installation");
}

#[test]
fn forked_snapshots_wait_for_an_operator() {
    let forged = SnapshotVersion { checksum: 99, ..version(1, 6) };
    let mut a = Authority::new(0, None, 2);
    a.report_received(1, 1, Some(version(1, 6)));
    assert_eq!(a.report_received(2, 2, Some(forged.clone())), Step::None);
    assert_eq!(a.duty().0, Duty::Waiting(Cause::Disagreed));
    // The snapshot that an operator chooses supersedes both.
    let origin = a.superseding_origin().expect("snapshots are known");
    let decided = SnapshotVersion { store: origin.store, epoch: origin.epoch, ..version(0, 6) };
    assert_eq!(
        (decided.compare(&forged), decided.compare(&version(1, 6))),
        (VersionOrder::Ahead, VersionOrder::Ahead)
    );
    // The second controller reports the same snapshot as the first, so no operator is needed any more.
    assert_eq!(a.report_received(3, 2, Some(version(1, 6))), Step::Install(1, version(1, 6)));
}

#[test]
fn reported_newer_snapshot_is_not_retracted_by_a_later_report() {
    let mut a = Authority::new(0, Some(version(1, 5)), 2);
    assert_eq!(a.report_received(1, 1, Some(version(1, 6))), Step::None);
    assert_eq!(a.duty().0, Duty::Waiting(Cause::Behind));
    // The same controller reports an older snapshot or none, and the other one reports the leader's snapshot.
    for (now, reported) in [(2, Some(version(1, 5))), (3, None)] {
        assert_eq!(a.report_received(now, 1, reported), Step::None);
        assert_eq!(a.report_received(now, 2, Some(version(1, 5))), Step::None);
        assert_eq!(a.duty().0, Duty::Waiting(Cause::Behind), "only a decision ends it");
    }
    let origin = a.superseding_origin().expect("snapshots are known");
    a.set_own(4, SnapshotVersion { epoch: origin.epoch, ..version(1, 5) }, true);
    assert_eq!(a.duty().0, Duty::Serving, "an operator has decided");
    assert_eq!(a.report_received(5, 1, Some(version(1, 6))), Step::None);
    assert_eq!(a.duty().0, Duty::Serving, "the decided snapshot supersedes what was reported");
}

#[test]
fn lost_newest_snapshot_is_not_replaced_by_an_older_one_without_an_operator() {
    let mut damaged = Authority::new(0, None, 2);
    damaged.report_received(1, 1, Some(version(1, 7)));
    damaged.report_received(2, 1, None);
    assert_eq!(damaged.report_received(3, 2, Some(version(1, 5))), Step::None);
    assert_eq!(damaged.duty().0, Duty::Waiting(Cause::Damaged));
    let mut empty = Authority::new(0, Some(SnapshotVersion { revision: 0, ..SnapshotVersion::default() }), 1);
    empty.report_received(1, 1, Some(version(1, 7)));
    empty.report_received(2, 1, None);
    assert_eq!(empty.duty().0, Duty::Waiting(Cause::Empty), "this is not a new installation");
}

#[test]
fn late_report_of_a_superseded_incarnation_counts_only_if_it_is_ahead() {
    let mut a = Authority::new(0, Some(version(1, 5)), 2);
    let forged = SnapshotVersion { checksum: 99, ..version(1, 5) };
    a.report_received(1, 1, Some(forged));
    assert_eq!(a.duty().0, Duty::Waiting(Cause::Disagreed));
    a.superseded_report_received(2, &version(1, 5));
    assert_eq!(
        a.duty().0,
        Duty::Waiting(Cause::Disagreed),
        "the later report of its controller still applies"
    );
    let mut b = Authority::new(0, Some(version(1, 5)), 2);
    b.superseded_report_received(1, &version(1, 5));
    assert_eq!(b.duty().0, Duty::Serving);
    b.superseded_report_received(2, &version(1, 6));
    assert_eq!(b.duty().0, Duty::Waiting(Cause::Behind));
}

#[test]
fn controller_with_the_newest_snapshot_is_forgotten_last() {
    let mut a = Authority::new(0, Some(version(1, 5)), MAX_REPORTS + 1);
    a.report_received(0, 7, Some(version(1, 6)));
    for other in 0..MAX_REPORTS as u32 {
        a.report_received(1 + u64::from(other), 100 + other, Some(version(1, 5)));
    }
    assert_eq!(a.reports().count(), MAX_REPORTS);
    assert!(a.reports().any(|report| report.controller == 7), "its snapshot is the one to fetch");
    assert_eq!(a.duty().0, Duty::Waiting(Cause::Behind));
}

#[test]
fn follower_rejects_older_forked_and_foreign_snapshots() {
    let held = version(2, 6);
    assert_eq!(bootstrap::should_replace(None, &held), Ok(true));
    assert_eq!(bootstrap::should_replace(Some(&held), &held), Ok(false));
    assert_eq!(
        bootstrap::should_replace(Some(&held), &version(3, 4)),
        Ok(true),
        "a restored snapshot supersedes it"
    );
    assert_eq!(bootstrap::should_replace(Some(&held), &version(2, 5)), Err(VersionOrder::Behind));
    assert_eq!(bootstrap::should_replace(Some(&held), &version(1, 9)), Err(VersionOrder::Behind));
    assert_eq!(
        bootstrap::should_replace(Some(&held), &SnapshotVersion { checksum: 1, ..held.clone() }),
        Err(VersionOrder::Forked)
    );
    let empty = SnapshotVersion { store: "new".to_owned(), ..SnapshotVersion::default() };
    assert_eq!(bootstrap::should_replace(Some(&held), &empty), Err(VersionOrder::Foreign));
}

#[test]
fn bootstrap_asks_a_bounded_number_of_peers_and_installs_the_newest() {
    let mut bootstrap = Bootstrap::new(200, 9);
    let (mut now, mut asked, mut installed_from) = (0, Vec::new(), None);
    while installed_from.is_none() && now < 60_000 {
        match bootstrap.next(now) {
            bootstrap::Step::Wait(until) => now = until.max(now + 1),
            bootstrap::Step::Request(peer) => {
                asked.push(peer);
                let offered = PeerResponse::Snapshot(version(1, peer as u64 % 7));
                bootstrap
                    .peer_responded(peer, if peer % 3 == 0 { PeerResponse::NoSnapshot } else { offered });
            }
            bootstrap::Step::Install(peer) => installed_from = Some(peer),
            bootstrap::Step::Forked => panic!("all snapshots are of one store"),
        }
    }
    let installed_from = installed_from.expect("one of them has a snapshot");
    assert!(asked.len() <= bootstrap::MAX_PEERS_PER_ROUND, "{asked:?}");
    let newest = asked.iter().filter(|p| **p % 3 != 0).map(|p| p % 7).max();
    assert_eq!(newest, Some(installed_from % 7));
    assert!(now >= bootstrap::LEADER_HEAD_START, "the leader is asked first");
}

proptest! {
    /// No change that any disk has is lost, for any snapshots on the disks and any order of reports.
    #[test]
    fn no_acknowledged_change_is_given_up(
        own in proptest::option::of(0u64..6),
        held in proptest::collection::vec(proptest::option::of(1u64..6), 1..5),
        order in proptest::collection::vec(0usize..5, 1..30),
    ) {
        let mut a = Authority::new(0, own.map(|r| version(1, r)), held.len());
        let newest = held.iter().flatten().copied().chain(own).max().unwrap_or(0);
        let mut serving = own;
        for (now, who) in order.iter().enumerate() {
            let who = who % held.len();
            let step = a.report_received(now as u64, who as u32, held[who].map(|r| version(1, r)));
            if let Step::Install(from, version) = step {
                prop_assert_eq!(version.revision, newest, "the newest of all disks");
                prop_assert_eq!(held[from as usize], Some(newest), "installed from a controller that has it");
                serving = Some(version.revision);
                a.set_own(now as u64, SnapshotVersion { epoch: 2, ..version }, true);
                break;
            }
        }
        if a.duty().0 == Duty::Serving && order.iter().map(|w| w % held.len()).collect::<std::collections::BTreeSet<_>>().len() == held.len() {
            prop_assert_eq!(serving.unwrap_or(0), newest);
        }
    }
}
