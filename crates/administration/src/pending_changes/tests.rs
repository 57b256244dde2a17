//! Unit tests of `pending_changes`.

use nettleferry_fleet::membership::{Incarnation, MemberState};

use super::*;

const FOLLOWER: Incarnation = Incarnation { controller: 1, incarnation: 7 };
const LEASE: Millis = 1_000;

fn version(revision: u64) -> Version {
    Version { epoch: 1, revision }
}

fn heartbeat(membership: &mut Membership, now: Millis, revision: u64) {
    let (in_force, persisted) = (version(revision), version(revision));
    membership.heartbeat(now, FOLLOWER, MemberState { in_force, persisted, requires_lease: true });
}

/// A follower with a lease on revision 4.
fn membership() -> Membership {
    let mut membership = Membership::new(0, Some(LEASE), None, 0);
    heartbeat(&mut membership, 0, 4);
    assert_eq!(membership.grant(0, FOLLOWER, version(4)), Ok(Some(LEASE)));
    membership
}

fn fleet(membership: &Membership, own_revision: u64, now: Millis) -> FleetState<'_> {
    FleetState { membership, own_in_force: version(own_revision), required_copies: 1, now }
}

fn change(restricts: bool) -> CommittedChange {
    let response = Response {
        status: 200,
        content_type: "application/json",
        headers: Vec::new(),
        body: "{}".to_owned(),
    };
    CommittedChange { response, version: version(5), restricts }
}

fn ticket(response: ChangeResponse) -> u64 {
    match response {
        ChangeResponse::Wait { ticket, .. } => ticket,
        ChangeResponse::Ready(response) => panic!("sent at once: {response:?}"),
    }
}

fn ready_response(response: Option<ChangeResponse>) -> Response {
    match response {
        Some(ChangeResponse::Ready(response)) => response,
        Some(ChangeResponse::Wait { timeout, .. }) => panic!("waits for {timeout} ms more"),
        None => panic!("no response waits under this ticket"),
    }
}

fn header<'a>(response: &'a Response, name: &str) -> &'a str {
    let found = response.headers.iter().find(|(header, _)| *header == name);
    found.map_or("", |(_, value)| value.as_str())
}

#[test]
fn restricting_change_waits_until_it_is_persisted_and_in_force_everywhere() {
    let (mut membership, mut changes) = (membership(), PendingChanges::default());
    let ticket = ticket(changes.add(&fleet(&membership, 5, 10), change(true)));
    assert!(!changes.is_any_ready(&fleet(&membership, 5, 20)));
    heartbeat(&mut membership, 30, 5);
    assert!(!changes.is_any_ready(&fleet(&membership, 4, 30)), "the leader's own controller is behind");
    assert!(changes.is_any_ready(&fleet(&membership, 5, 30)));
    let response = ready_response(changes.resume(&fleet(&membership, 5, 30), ticket));
    assert_eq!((response.status, header(&response, "Nettleferry-In-Force")), (200, "everywhere"));
    assert_eq!(header(&response, "Nettleferry-Held"), "1 of 1");
    assert_eq!(changes.take_confirmed(), [version(5)]);
    assert!(changes.take_confirmed().is_empty(), "each is confirmed once");
    assert!(changes.resume(&fleet(&membership, 5, 30), ticket).is_none(), "each is sent once");
}

#[test]
fn granting_change_is_sent_once_it_is_persisted() {
    let (mut membership, mut changes) = (membership(), PendingChanges::default());
    let ticket = ticket(changes.add(&fleet(&membership, 4, 10), change(false)));
    heartbeat(&mut membership, 30, 5);
    let response = ready_response(changes.resume(&fleet(&membership, 4, 30), ticket));
    assert_eq!(response.status, 200, "though the leader's own controller is behind");
    assert!(changes.take_confirmed().is_empty());
}

#[test]
fn change_that_no_follower_persists_is_answered_with_an_error_at_its_deadline() {
    let (mut membership, mut changes) = (membership(), PendingChanges::default());
    let now = 10;
    let ticket = ticket(changes.add(&fleet(&membership, 5, now), change(false)));
    let deadline = now + MAX_UNBOUNDED_WAIT;
    assert_eq!(changes.next_due(&fleet(&membership, 5, now)), Some(LEASE + 10), "first its lease is over");
    heartbeat(&mut membership, 900, 4);
    assert_eq!(membership.grant(900, FOLLOWER, version(5)), Ok(Some(LEASE)));
    heartbeat(&mut membership, 1_800, 4);
    assert_eq!(membership.grant(1_800, FOLLOWER, version(5)), Ok(Some(LEASE)));
    assert!(!changes.is_any_ready(&fleet(&membership, 5, deadline - 1)));
    let response = ready_response(changes.resume(&fleet(&membership, 5, deadline), ticket));
    assert_eq!(response.status, 503, "{}", response.body);
}

#[test]
fn responses_that_are_not_resumed_are_removed() {
    let (membership, mut changes) = (membership(), PendingChanges::default());
    let ticket = ticket(changes.add(&fleet(&membership, 5, 0), change(false)));
    changes.remove_abandoned(2 * MAX_UNBOUNDED_WAIT - 1);
    assert!(changes.resume(&fleet(&membership, 5, 1), ticket).is_some());
    changes.remove_abandoned(2 * MAX_UNBOUNDED_WAIT);
    assert!(changes.resume(&fleet(&membership, 5, 1), ticket).is_none());
}
