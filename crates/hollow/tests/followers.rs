//! The protocol state of a hollow follower without sockets: its requests after each kind of response, its leases, and
//! the propagation measurement.

use std::time::{Duration, Instant};

use nettleferry_hollow::bounds::{PeerResources, SettingsError, check_count};
use nettleferry_hollow::followers::follower::{Exchange, Follower, Outcome, OutcomeKind, RequestKind};
use nettleferry_hollow::followers::propagation::Propagation;
use nettleferry_hollow::followers::shared_snapshot::SharedSnapshot;
use nettleferry_hollow::process::Machine;
use nettleferry_net::http1_client::{Answer, Http1Error};
use nettleferry_tenancy::{Change, Condition, Entry, TenantSnapshot};
use proptest::prelude::*;
use serde_json::{Value, json};

const LEASE_SPAN_MS: u64 = 6_000;

/// A test administration: its tenants and changes, from which its responses are made.
#[derive(Default)]
struct Administration {
    tenants: TenantSnapshot,
    entries: Vec<Entry>,
}

impl Administration {
    fn create(&mut self, name: &str) {
        let change = Change::Create { name: name.to_owned(), spec: json!({ "note": "n" }) };
        let applied = self.tenants.evaluate(&change, Condition::Any, "ada", 1_000).expect("change is valid");
        let entry = applied.entry.expect("change creates an entry");
        self.tenants.apply(&entry).expect("entry follows the current revision");
        self.entries.push(entry);
    }

    fn snapshot(&self) -> Result<Answer, Http1Error> {
        let (tenants, checksum) = (&self.tenants, self.tenants.checksum());
        answer(
            200,
            json!({ "store": "s", "epoch": 1, "sum": checksum, "book": tenants, "lease_ms": LEASE_SPAN_MS }),
        )
    }

    fn page(&self, after: u64) -> Result<Answer, Http1Error> {
        let entries: Vec<&Entry> = self.entries.iter().filter(|entry| entry.revision > after).collect();
        answer(200, json!({ "entries": entries, "next": null, "lease_ms": LEASE_SPAN_MS, "place": 4 }))
    }
}

fn answer(status: u16, body: Value) -> Result<Answer, Http1Error> {
    Ok(Answer { status, headers: Vec::new(), body: body.to_string().into_bytes() })
}

/// An administration with one tenant, and a follower of it.
struct Fixture {
    administration: Administration,
    shared: SharedSnapshot,
    follower: Follower,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let mut administration = Administration::default();
        administration.create("a");
        let follower = Follower::new(3, 77, true, 5, now);
        Self { administration, shared: SharedSnapshot::default(), follower, now }
    }

    fn next_request(&self) -> (RequestKind, String) {
        let request = self.follower.next_request(&self.shared);
        (request.kind, request.target)
    }

    fn respond(&mut self, answer: Result<Answer, Http1Error>) -> Outcome {
        let exchange = Exchange { kind: self.next_request().0, started_at: self.now, ended_at: self.now };
        self.follower.finish_exchange(exchange, &answer, &mut self.shared)
    }

    /// Creates a fixture whose follower has applied the first snapshot.
    fn with_snapshot() -> Self {
        let mut fixture = Self::new();
        let snapshot = fixture.administration.snapshot();
        assert_eq!(fixture.respond(snapshot).kind, OutcomeKind::Snapshot);
        fixture
    }
}

#[test]
fn a_follower_requests_the_snapshot_first_and_then_changes_with_its_version() {
    let mut fixture = Fixture::new();
    assert_eq!(
        fixture.next_request(),
        (
            RequestKind::Snapshot,
            "/v1/snapshot?controller=3&life=77&in_force=0&kept=0&ends=1&ended=0".to_owned()
        )
    );
    let snapshot = fixture.administration.snapshot();
    let outcome = fixture.respond(snapshot);
    assert_eq!((outcome.kind, outcome.retry_at), (OutcomeKind::Snapshot, fixture.now));
    fixture.administration.create("b");
    let page = fixture.administration.page(1);
    let outcome = fixture.respond(page);
    assert_eq!(outcome.kind, OutcomeKind::Page);
    assert_eq!(
        outcome.changes.iter().map(|change| (change.revision, change.at_ms)).collect::<Vec<_>>(),
        [(2, 1_000)]
    );
    let checksum = fixture.administration.tenants.checksum();
    let expected = format!(
        "/v1/watch?controller=3&life=77&in_force=2&kept=2&ends=1&ended=0\
         &store=s&epoch=1&after=2&sum={checksum}&limit=1000&wait_ms=1500"
    );
    assert_eq!(
        fixture.next_request(),
        (RequestKind::Watch, expected),
        "the watch reports the checksum that a real follower computes"
    );
}

#[test]
fn a_later_follower_uses_the_shared_snapshot_of_the_process() {
    let mut fixture = Fixture::with_snapshot();
    let snapshot = fixture.administration.snapshot();
    fixture.administration.create("b");
    let page = fixture.administration.page(1);
    fixture.respond(page);
    let mut late_follower = Follower::new(4, 78, true, 5, fixture.now);
    let exchange = Exchange { kind: RequestKind::Snapshot, started_at: fixture.now, ended_at: fixture.now };
    assert_eq!(
        late_follower.finish_exchange(exchange, &snapshot, &mut fixture.shared).kind,
        OutcomeKind::Snapshot
    );
    assert_eq!((late_follower.revision(), fixture.follower.revision()), (Some(1), Some(2)));
    let exchange = Exchange { kind: RequestKind::Watch, ..exchange };
    let page = fixture.administration.page(1);
    assert_eq!(late_follower.finish_exchange(exchange, &page, &mut fixture.shared).kind, OutcomeKind::Page);
    assert_eq!(
        late_follower
            .next_request(&fixture.shared)
            .target
            .replace("controller=4&life=78", "controller=3&life=77"),
        { fixture.next_request().1 }
    );
}

#[test]
fn missing_changes_lead_to_a_snapshot_request_and_grant_no_lease() {
    let mut fixture = Fixture::with_snapshot();
    fixture.administration.create("b");
    fixture.administration.create("c");
    let page_after_gap = fixture.administration.page(2);
    let after_expiry = fixture.now + Duration::from_millis(LEASE_SPAN_MS);
    fixture.now = after_expiry;
    let outcome = fixture.respond(page_after_gap);
    assert_eq!((outcome.kind, outcome.retry_at), (OutcomeKind::SnapshotRequired, after_expiry));
    assert!(!fixture.follower.leases().is_valid(after_expiry));
    assert_eq!(fixture.next_request().0, RequestKind::Snapshot);
    let snapshot = fixture.administration.snapshot();
    fixture.respond(snapshot);
    assert_eq!((fixture.follower.revision(), fixture.next_request().0), (Some(3), RequestKind::Watch));
    assert_eq!(fixture.respond(answer(410, json!({}))).kind, OutcomeKind::SnapshotRequired);
    assert_eq!(fixture.next_request().0, RequestKind::Snapshot);
}

#[test]
fn failures_back_off_exponentially_and_fencing_is_reported() {
    let mut fixture = Fixture::with_snapshot();
    let mut waits = Vec::new();
    for failure in [Err(Http1Error::Timeout), Err(Http1Error::Broken(String::new())), answer(503, json!({}))]
    {
        let outcome = fixture.respond(failure);
        waits.push(outcome.retry_at - fixture.now);
    }
    for (wait, max_wait_ms) in waits.iter().zip([100, 200, 400]) {
        let max_wait = Duration::from_millis(max_wait_ms);
        assert!((max_wait / 2..=max_wait).contains(wait), "{waits:?}");
    }
    let fenced = answer(403, json!({ "type": "/problems/fenced" }));
    assert_eq!(fixture.respond(fenced).kind, OutcomeKind::Fenced);
    assert!(fixture.follower.is_fenced() && fixture.next_request().1.contains("&ended=1"));
    assert_eq!(fixture.respond(answer(200, json!("no page"))).kind, OutcomeKind::Malformed);
}

#[test]
fn a_lease_is_counted_from_the_request_and_time_without_one_is_measured() {
    let mut fixture = Fixture::new();
    let start = fixture.now;
    let ms = Duration::from_millis;
    // The response to the first request takes a second. Its lease of 6 s expires 5,940 ms after the request: the span
    // is shortened by the maximum difference of two clocks, 1 %.
    let exchange = Exchange { kind: RequestKind::Snapshot, started_at: start, ended_at: start + ms(1_000) };
    let snapshot = fixture.administration.snapshot();
    fixture.follower.finish_exchange(exchange, &snapshot, &mut fixture.shared);
    let leases = fixture.follower.leases();
    assert!(leases.is_valid(start + ms(5_939)) && !leases.is_valid(start + ms(5_940)));
    // The next lease arrives 1,060 ms after the first has expired.
    let exchange =
        Exchange { kind: RequestKind::Watch, started_at: start + ms(7_000), ended_at: start + ms(7_000) };
    let page = fixture.administration.page(1);
    fixture.follower.finish_exchange(exchange, &page, &mut fixture.shared);
    let coverage = fixture.follower.leases().coverage(start + ms(8_000));
    assert_eq!(fixture.follower.leases().lapses, 1);
    assert_eq!(
        (coverage.total, coverage.since_first, coverage.leased),
        (ms(8_000), ms(7_000), ms(7_000 - 1_060))
    );
}

#[test]
fn a_page_without_a_lease_is_reported_as_such() {
    let mut fixture = Fixture::with_snapshot();
    let outcome = fixture.respond(answer(200, json!({ "entries": [], "lease_ms": null })));
    assert!(outcome.without_lease && outcome.kind == OutcomeKind::Page);
    assert!(
        fixture.next_request().1.ends_with("&wait_ms=20000"),
        "without a lease the watch uses the wait for an administration that grants none"
    );
}

#[test]
fn a_change_is_reported_once_the_last_follower_has_it() {
    let mut propagation = Propagation::new(100);
    for after_ms in 1..100 {
        assert_eq!(propagation.record(7, after_ms), None);
    }
    assert_eq!(propagation.record(8, 1), None);
    let change = propagation.record(7, 900).expect("change has reached the last follower");
    assert_eq!((change.revision, change.followers), (7, 100));
    assert_eq!((change.p50_ms, change.p99_ms, change.max_ms), (50, 99, 900));
    propagation.finish();
    assert_eq!((propagation.incomplete, propagation.to_last.len(), propagation.to_each.len()), (1, 1, 101));
}

#[test]
fn pending_changes_are_bounded() {
    let mut propagation = Propagation::new(2);
    for revision in 0..1_000 {
        propagation.record(revision, 1);
    }
    propagation.record(3, 1);
    propagation.finish();
    assert_eq!((propagation.incomplete, propagation.to_last.len()), (1_000, 0));
}

proptest! {
    #[test]
    fn accepted_peer_counts_fit(count in 1u64..200_000, descriptors in 0u64..100_000, memory in 0u64..1 << 34) {
        let machine = Machine { descriptors, memory };
        let each = PeerResources { descriptors: 2, memory: 64 << 10 };
        match check_count(count, each, machine) {
            Ok(()) => prop_assert!(count * 2 <= descriptors && count * each.memory <= memory),
            Err(SettingsError::TooMany { max_count, .. }) => {
                prop_assert!(max_count < count);
                prop_assert!(max_count == 0 || check_count(max_count, each, machine) == Ok(()));
            }
            Err(other) => prop_assert!(false, "{other}"),
        }
    }
}
