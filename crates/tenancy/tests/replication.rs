//! Followers whose responses are lost or late, or whose peer restarts with another store.

use nettleferry_tenancy::replication::{
    Follower, MAX_BACKOFF, ReplicationRequest, ReplicationResponse, Update,
};
use nettleferry_tenancy::{Change, Condition, Entry, TenantSnapshot};
use proptest::prelude::*;
use serde_json::json;

/// A peer with its audit trail.
#[derive(Default)]
struct Peer {
    store: &'static str,
    snapshot: TenantSnapshot,
    audit_trail: Vec<Entry>,
}

impl Peer {
    fn change(&mut self, n: u64) {
        let name = format!("t{}", n % 5);
        let change = match n % 4 {
            0 => Change::Create { name, spec: json!({}) },
            1 => Change::Patch { name, patch: json!({"limits": {"open_calls": n}}) },
            2 => Change::Suspend { name },
            _ => Change::Remove { name, grace_ms: 0 },
        };
        if let Ok(applied) = self.snapshot.evaluate(&change, Condition::Any, "p", n)
            && let Some(entry) = applied.entry
        {
            self.snapshot.apply(&entry).expect("the next");
            self.audit_trail.push(entry);
        }
        while let Some(entry) = self.snapshot.due_removal(n) {
            self.snapshot.apply(&entry).expect("the next");
            self.audit_trail.push(entry);
        }
    }

    fn answer(&self, request: ReplicationRequest, most: usize) -> ReplicationResponse {
        match request {
            ReplicationRequest::Snapshot => ReplicationResponse::Snapshot {
                store: self.store.to_owned(),
                snapshot: self.snapshot.clone(),
            },
            ReplicationRequest::Watch { store, .. } if store != self.store => ReplicationResponse::Diverged,
            ReplicationRequest::Watch { after, .. } if after > self.snapshot.revision() => {
                ReplicationResponse::Diverged
            }
            ReplicationRequest::Watch { after, .. } => ReplicationResponse::Entries(
                self.audit_trail.iter().filter(|e| e.revision > after).take(most).cloned().collect(),
            ),
        }
    }
}

/// Applies updates to what is in force.
fn apply(force: &mut TenantSnapshot, updates: &mut Vec<Update>) {
    for one in updates.drain(..) {
        match one {
            Update::Changed(entry) => force.apply(&entry).expect("in order, none left out"),
            Update::Replaced(snapshot) => *force = snapshot,
        }
    }
}

#[test]
fn restarted_peer_is_replicated_from_a_snapshot_and_waits_grow() {
    let mut peer = Peer::default();
    (0..30).for_each(|n| peer.change(n));
    let mut follower = Follower::new(None, 7);
    let (mut updates, mut force) = (Vec::new(), TenantSnapshot::default());
    assert_eq!(follower.next(), (ReplicationRequest::Snapshot, 0));
    follower.response_received(0, peer.answer(ReplicationRequest::Snapshot, 9), &mut updates);
    apply(&mut force, &mut updates);
    assert_eq!(force, peer.snapshot);
    let mut waits = Vec::new();
    for _ in 0..12 {
        follower.response_received(1_000, ReplicationResponse::Failed, &mut updates);
        waits.push(follower.next().1 - 1_000);
    }
    assert!(
        waits[0] <= 100 && waits.iter().all(|w| *w <= MAX_BACKOFF) && waits[11] >= MAX_BACKOFF / 2,
        "{waits:?}"
    );
    // Its store was restored to an earlier revision, and changed since: another truth under the same numbers.
    let mut other = Peer { store: "restored", ..Peer::default() };
    (0..20).for_each(|n| other.change(n * 3));
    let (request, _) = follower.next();
    follower.response_received(2_000, other.answer(request, 9), &mut updates);
    for _ in 0..3 {
        let (request, _) = follower.next();
        follower.response_received(3_000, other.answer(request, 9), &mut updates);
    }
    apply(&mut force, &mut updates);
    assert_eq!(force, other.snapshot);
}

proptest! {
    #[test]
    fn follower_ends_with_its_peers_snapshot_whatever_is_lost(
        steps in prop::collection::vec((0u8..6, 0u64..200, 1usize..4), 1..200), kept in any::<bool>(),
    ) {
        let mut peer = Peer::default();
        peer.change(0);
        let mut follower = Follower::new(kept.then(|| (String::new(), peer.snapshot.clone())), 3);
        let mut force = follower.snapshot().clone();
        let mut updates = Vec::new();
        for (what, n, most) in steps {
            let (request, _) = follower.next();
            match what {
                0 | 1 => peer.change(n),
                2 => follower.response_received(n, ReplicationResponse::Failed, &mut updates),
                3 => {
                    // An answer to an earlier question comes again.
                    follower.response_received(n, peer.answer(ReplicationRequest::Watch { store: String::new(), after: 0 }, most), &mut updates);
                }
                _ => follower.response_received(n, peer.answer(request, most), &mut updates),
            }
            apply(&mut force, &mut updates);
            prop_assert_eq!(&force, follower.snapshot());
            prop_assert!(force.revision() <= peer.snapshot.revision());
        }
        for _ in 0..400 {
            let (request, _) = follower.next();
            follower.response_received(0, peer.answer(request, 2), &mut updates);
        }
        apply(&mut force, &mut updates);
        prop_assert_eq!(&force, &peer.snapshot);
    }
}
