//! A hollow follower without sockets: what it asks after which answer, its lease, and what is measured.

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

const SPAN: u64 = 6_000;

/// An administration's book, and its answers.
#[derive(Default)]
struct Administration {
    book: TenantSnapshot,
    entries: Vec<Entry>,
}

impl Administration {
    fn create(&mut self, name: &str) {
        let change = Change::Create { name: name.to_owned(), spec: json!({ "note": "n" }) };
        let applied = self.book.evaluate(&change, Condition::Any, "ada", 1_000).expect("sound");
        let entry = applied.entry.expect("a change");
        self.book.apply(&entry).expect("it follows");
        self.entries.push(entry);
    }

    fn snapshot(&self) -> Result<Answer, Http1Error> {
        let (book, sum) = (&self.book, self.book.checksum());
        answer(200, json!({ "store": "s", "epoch": 1, "sum": sum, "book": book, "lease_ms": SPAN }))
    }

    fn page(&self, after: u64) -> Result<Answer, Http1Error> {
        let entries: Vec<&Entry> = self.entries.iter().filter(|e| e.revision > after).collect();
        answer(200, json!({ "entries": entries, "next": null, "lease_ms": SPAN, "place": 4 }))
    }
}

fn answer(status: u16, body: Value) -> Result<Answer, Http1Error> {
    Ok(Answer { status, headers: Vec::new(), body: body.to_string().into_bytes() })
}

struct Rig {
    administration: Administration,
    shared: SharedSnapshot,
    follower: Follower,
    now: Instant,
}

impl Rig {
    fn new() -> Self {
        let now = Instant::now();
        let mut administration = Administration::default();
        administration.create("a");
        let follower = Follower::new(3, 77, true, 5, now);
        Self { administration, shared: SharedSnapshot::default(), follower, now }
    }

    fn asks(&self) -> (RequestKind, String) {
        let request = self.follower.request(&self.shared);
        (request.kind, request.target)
    }

    fn hears(&mut self, answer: Result<Answer, Http1Error>) -> Outcome {
        let exchange = Exchange { kind: self.asks().0, started_at: self.now, ended_at: self.now };
        self.follower.handle_answer(exchange, &answer, &mut self.shared)
    }

    fn begun() -> Self {
        let mut rig = Self::new();
        let snapshot = rig.administration.snapshot();
        assert_eq!(rig.hears(snapshot).kind, OutcomeKind::Snapshot);
        rig
    }
}

#[test]
fn it_asks_for_the_book_first_and_then_for_changes_with_what_it_holds() {
    let mut rig = Rig::new();
    assert_eq!(
        rig.asks(),
        (
            RequestKind::Snapshot,
            "/v1/snapshot?controller=3&life=77&in_force=0&kept=0&ends=1&ended=0".to_owned()
        )
    );
    let snapshot = rig.administration.snapshot();
    let outcome = rig.hears(snapshot);
    assert_eq!((outcome.kind, outcome.retry_at), (OutcomeKind::Snapshot, rig.now));
    rig.administration.create("b");
    let page = rig.administration.page(1);
    let outcome = rig.hears(page);
    assert_eq!(outcome.kind, OutcomeKind::Page);
    assert_eq!(outcome.changes.iter().map(|c| (c.revision, c.at_ms)).collect::<Vec<_>>(), [(2, 1_000)]);
    let sum = rig.administration.book.checksum();
    let expected = format!(
        "/v1/watch?controller=3&life=77&in_force=2&kept=2&ends=1&ended=0\
         &store=s&epoch=1&after=2&sum={sum}&limit=1000&wait_ms=1500"
    );
    assert_eq!(rig.asks(), (RequestKind::Watch, expected), "the checksum is that of a real follower's book");
}

#[test]
fn the_book_of_the_process_stands_for_a_follower_that_comes_later() {
    let mut rig = Rig::begun();
    let snapshot = rig.administration.snapshot();
    rig.administration.create("b");
    let page = rig.administration.page(1);
    rig.hears(page);
    let mut later = Follower::new(4, 78, true, 5, rig.now);
    let exchange = Exchange { kind: RequestKind::Snapshot, started_at: rig.now, ended_at: rig.now };
    assert_eq!(later.handle_answer(exchange, &snapshot, &mut rig.shared).kind, OutcomeKind::Snapshot);
    assert_eq!((later.revision(), rig.follower.revision()), (Some(1), Some(2)));
    let exchange = Exchange { kind: RequestKind::Watch, ..exchange };
    let page = rig.administration.page(1);
    assert_eq!(later.handle_answer(exchange, &page, &mut rig.shared).kind, OutcomeKind::Page);
    assert_eq!(later.request(&rig.shared).target.replace("controller=4&life=78", "controller=3&life=77"), {
        rig.asks().1
    });
}

#[test]
fn what_does_not_follow_leads_to_the_snapshot_and_gives_no_lease() {
    let mut rig = Rig::begun();
    rig.administration.create("b");
    rig.administration.create("c");
    let gap = rig.administration.page(2);
    let lapse = rig.now + Duration::from_millis(SPAN);
    rig.now = lapse;
    let outcome = rig.hears(gap);
    assert_eq!((outcome.kind, outcome.retry_at), (OutcomeKind::SnapshotRequired, lapse));
    assert!(!rig.follower.leases().is_valid(lapse));
    assert_eq!(rig.asks().0, RequestKind::Snapshot);
    let snapshot = rig.administration.snapshot();
    rig.hears(snapshot);
    assert_eq!((rig.follower.revision(), rig.asks().0), (Some(3), RequestKind::Watch));
    assert_eq!(rig.hears(answer(410, json!({}))).kind, OutcomeKind::SnapshotRequired);
    assert_eq!(rig.asks().0, RequestKind::Snapshot);
}

#[test]
fn failures_are_waited_out_ever_longer_and_a_fence_is_told_on() {
    let mut rig = Rig::begun();
    let mut waits = Vec::new();
    for failure in [Err(Http1Error::Timeout), Err(Http1Error::Broken(String::new())), answer(503, json!({}))]
    {
        let outcome = rig.hears(failure);
        waits.push(outcome.retry_at - rig.now);
    }
    for (wait, most) in waits.iter().zip([100, 200, 400]) {
        let most = Duration::from_millis(most);
        assert!((most / 2..=most).contains(wait), "{waits:?}");
    }
    let fenced = answer(403, json!({ "type": "/problems/fenced" }));
    assert_eq!(rig.hears(fenced).kind, OutcomeKind::Fenced);
    assert!(rig.follower.is_fenced() && rig.asks().1.contains("&ended=1"));
    assert_eq!(rig.hears(answer(200, json!("no page"))).kind, OutcomeKind::Malformed);
}

#[test]
fn a_lease_is_counted_from_the_ask_and_time_without_one_is_told() {
    let mut rig = Rig::new();
    let began = rig.now;
    let ms = Duration::from_millis;
    // The answer to the first ask takes a second, and its lease of 6 s ends 5,940 ms after the ask.
    let exchange = Exchange { kind: RequestKind::Snapshot, started_at: began, ended_at: began + ms(1_000) };
    let snapshot = rig.administration.snapshot();
    rig.follower.handle_answer(exchange, &snapshot, &mut rig.shared);
    let leases = rig.follower.leases();
    assert!(leases.is_valid(began + ms(5_939)) && !leases.is_valid(began + ms(5_940)));
    // The next one comes 1,060 ms after its end.
    let exchange =
        Exchange { kind: RequestKind::Watch, started_at: began + ms(7_000), ended_at: began + ms(7_000) };
    let page = rig.administration.page(1);
    rig.follower.handle_answer(exchange, &page, &mut rig.shared);
    let covered = rig.follower.leases().coverage(began + ms(8_000));
    assert_eq!(rig.follower.leases().lapses, 1);
    assert_eq!(
        (covered.total, covered.since_first, covered.leased),
        (ms(8_000), ms(7_000), ms(7_000 - 1_060))
    );
}

#[test]
fn an_answer_without_a_lease_is_counted_as_one() {
    let mut rig = Rig::begun();
    let outcome = rig.hears(answer(200, json!({ "entries": [], "lease_ms": null })));
    assert!(outcome.without_lease && outcome.kind == OutcomeKind::Page);
    assert!(rig.asks().1.ends_with("&wait_ms=20000"), "it waits as where none are given");
}

#[test]
fn a_change_is_told_when_the_last_follower_has_it() {
    let mut propagation = Propagation::new(100);
    for after in 1..100 {
        assert_eq!(propagation.record(7, after), None);
    }
    assert_eq!(propagation.record(8, 1), None);
    let change = propagation.record(7, 900).expect("the last one");
    assert_eq!((change.revision, change.followers), (7, 100));
    assert_eq!((change.p50_ms, change.p99_ms, change.max_ms), (50, 99, 900));
    propagation.finish();
    assert_eq!((propagation.incomplete, propagation.to_last.len(), propagation.to_each.len()), (1, 1, 101));
}

#[test]
fn changes_on_their_way_are_bounded() {
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
    fn what_is_said_to_fit_fits(count in 1u64..200_000, descriptors in 0u64..100_000, memory in 0u64..1 << 34) {
        let machine = Machine { descriptors, memory };
        let each = PeerResources { descriptors: 2, memory: 64 << 10 };
        match check_count(count, each, machine) {
            Ok(()) => prop_assert!(count * 2 <= descriptors && count * each.memory <= memory),
            Err(SettingsError::TooMany { fit, .. }) => {
                prop_assert!(fit < count);
                prop_assert!(fit == 0 || check_count(fit, each, machine) == Ok(()));
            }
            Err(other) => prop_assert!(false, "{other}"),
        }
    }
}
