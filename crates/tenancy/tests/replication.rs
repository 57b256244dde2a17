//! Replication with lost, late and repeated responses, and with a peer that restarts with another store.

use nettleferry_tenancy::replication::{
    Follower, MAX_BACKOFF, ReplicationRequest, ReplicationResponse, Update,
};
use nettleferry_tenancy::{Change, Condition, Entry, TenantSnapshot};
use proptest::prelude::*;
use serde_json::json;

/// The controller that is replicated, with its audit trail.
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
            self.snapshot.apply(&entry).expect("the entry has the next revision");
            self.audit_trail.push(entry);
        }
        while let Some(entry) = self.snapshot.due_removal(n) {
            self.snapshot.apply(&entry).expect("the entry has the next revision");
            self.audit_trail.push(entry);
        }
    }

    fn response(&self, request: ReplicationRequest, limit: usize) -> ReplicationResponse {
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
                self.audit_trail.iter().filter(|e| e.revision > after).take(limit).cloned().collect(),
            ),
        }
    }
}

/// Applies the follower's updates to the snapshot that the controller enforces.
fn apply(in_force: &mut TenantSnapshot, updates: &mut Vec<Update>) {
    for update in updates.drain(..) {
        match update {
            Update::Changed(entry) => in_force.apply(&entry).expect("the updates are in order and complete"),
            Update::Replaced(snapshot) => *in_force = snapshot,
        }
    }
}

#[test]
fn restarted_peer_is_replicated_from_a_snapshot_and_waits_grow() {
    let mut peer = Peer::default();
    (0..30).for_each(|n| peer.change(n));
    let mut follower = Follower::new(None, 7);
    let (mut updates, mut in_force) = (Vec::new(), TenantSnapshot::default());
    assert_eq!(follower.next(), (ReplicationRequest::Snapshot, 0));
    follower.response_received(0, peer.response(ReplicationRequest::Snapshot, 9), &mut updates);
    apply(&mut in_force, &mut updates);
    assert_eq!(in_force, peer.snapshot);
    let mut delays = Vec::new();
    for _ in 0..12 {
        follower.response_received(1_000, ReplicationResponse::Failed, &mut updates);
        delays.push(follower.next().1 - 1_000);
    }
    assert!(
        delays[0] <= 100 && delays.iter().all(|delay| *delay <= MAX_BACKOFF) && delays[11] >= MAX_BACKOFF / 2,
        "{delays:?}"
    );
    // The peer restarts with another store, in which the same revision numbers stand for other changes.
    let mut other = Peer { store: "restored", ..Peer::default() };
    (0..20).for_each(|n| other.change(n * 3));
    let (request, _) = follower.next();
    follower.response_received(2_000, other.response(request, 9), &mut updates);
    for _ in 0..3 {
        let (request, _) = follower.next();
        follower.response_received(3_000, other.response(request, 9), &mut updates);
    }
    apply(&mut in_force, &mut updates);
    assert_eq!(in_force, other.snapshot);
}

proptest! {
    #[test]
    fn follower_converges_to_the_snapshot_of_its_peer(
        steps in prop::collection::vec((0u8..6, 0u64..200, 1usize..4), 1..200), persisted in any::<bool>(),
    ) {
        let mut peer = Peer::default();
        peer.change(0);
        let mut follower = Follower::new(persisted.then(|| (String::new(), peer.snapshot.clone())), 3);
        let mut in_force = follower.snapshot().clone();
        let mut updates = Vec::new();
        for (step, n, limit) in steps {
            let (request, _) = follower.next();
            match step {
                0 | 1 => peer.change(n),
                2 => follower.response_received(n, ReplicationResponse::Failed, &mut updates),
                3 => {
                    // The response to an earlier request is received again.
                    let earlier = ReplicationRequest::Watch { store: String::new(), after: 0 };
                    follower.response_received(n, peer.response(earlier, limit), &mut updates);
                }
                _ => follower.response_received(n, peer.response(request, limit), &mut updates),
            }
            apply(&mut in_force, &mut updates);
            prop_assert_eq!(&in_force, follower.snapshot());
            prop_assert!(in_force.revision() <= peer.snapshot.revision());
        }
        for _ in 0..400 {
            let (request, _) = follower.next();
            follower.response_received(0, peer.response(request, 2), &mut updates);
        }
        apply(&mut in_force, &mut updates);
        prop_assert_eq!(&in_force, &peer.snapshot);
    }
}
