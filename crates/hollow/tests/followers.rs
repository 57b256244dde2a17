//! A hollow follower without sockets: what it asks after which answer, its lease, and what is measured.

use std::time::{Duration, Instant};

use nettleferry_hollow::bounds::{Need, Refused, fits};
use nettleferry_hollow::followers::book::SharedBook;
use nettleferry_hollow::followers::follower::{Ask, Exchange, Follower, Meaning, Outcome};
use nettleferry_hollow::followers::spread::Spread;
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
    book: SharedBook,
    follower: Follower,
    now: Instant,
}

impl Rig {
    fn new() -> Self {
        let now = Instant::now();
        let mut administration = Administration::default();
        administration.create("a");
        let follower = Follower::new(3, 77, true, 5, now);
        Self { administration, book: SharedBook::default(), follower, now }
    }

    fn asks(&self) -> (Ask, String) {
        let request = self.follower.request(&self.book);
        (request.ask, request.target)
    }

    fn hears(&mut self, answer: Result<Answer, Http1Error>) -> Outcome {
        let exchange = Exchange { ask: self.asks().0, asked: self.now, now: self.now };
        self.follower.heard(exchange, &answer, &mut self.book)
    }

    fn begun() -> Self {
        let mut rig = Self::new();
        let snapshot = rig.administration.snapshot();
        assert_eq!(rig.hears(snapshot).meaning, Meaning::Snapshot);
        rig
    }
}

#[test]
fn it_asks_for_the_book_first_and_then_for_changes_with_what_it_holds() {
    let mut rig = Rig::new();
    assert_eq!(
        rig.asks(),
        (Ask::Snapshot, "/v1/snapshot?controller=3&life=77&in_force=0&kept=0&ends=1&ended=0".to_owned())
    );
    let snapshot = rig.administration.snapshot();
    let outcome = rig.hears(snapshot);
    assert_eq!((outcome.meaning, outcome.ask_again), (Meaning::Snapshot, rig.now));
    rig.administration.create("b");
    let page = rig.administration.page(1);
    let outcome = rig.hears(page);
    assert_eq!(outcome.meaning, Meaning::Page);
    assert_eq!(outcome.changes.iter().map(|c| (c.revision, c.at_ms)).collect::<Vec<_>>(), [(2, 1_000)]);
    let sum = rig.administration.book.checksum();
    let expected = format!(
        "/v1/watch?controller=3&life=77&in_force=2&kept=2&ends=1&ended=0\
         &store=s&epoch=1&after=2&sum={sum}&limit=1000&wait_ms=1500"
    );
    assert_eq!(rig.asks(), (Ask::Watch, expected), "the checksum is that of a real follower's book");
}

#[test]
fn the_book_of_the_process_stands_for_a_follower_that_comes_later() {
    let mut rig = Rig::begun();
    let snapshot = rig.administration.snapshot();
    rig.administration.create("b");
    let page = rig.administration.page(1);
    rig.hears(page);
    let mut later = Follower::new(4, 78, true, 5, rig.now);
    let exchange = Exchange { ask: Ask::Snapshot, asked: rig.now, now: rig.now };
    assert_eq!(later.heard(exchange, &snapshot, &mut rig.book).meaning, Meaning::Snapshot);
    assert_eq!((later.revision(), rig.follower.revision()), (Some(1), Some(2)));
    let exchange = Exchange { ask: Ask::Watch, ..exchange };
    let page = rig.administration.page(1);
    assert_eq!(later.heard(exchange, &page, &mut rig.book).meaning, Meaning::Page);
    assert_eq!(later.request(&rig.book).target.replace("controller=4&life=78", "controller=3&life=77"), {
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
    assert_eq!((outcome.meaning, outcome.ask_again), (Meaning::Elsewhere, lapse));
    assert!(!rig.follower.leases().runs(lapse));
    assert_eq!(rig.asks().0, Ask::Snapshot);
    let snapshot = rig.administration.snapshot();
    rig.hears(snapshot);
    assert_eq!((rig.follower.revision(), rig.asks().0), (Some(3), Ask::Watch));
    assert_eq!(rig.hears(answer(410, json!({}))).meaning, Meaning::Elsewhere);
    assert_eq!(rig.asks().0, Ask::Snapshot);
}

#[test]
fn failures_are_waited_out_ever_longer_and_a_fence_is_told_on() {
    let mut rig = Rig::begun();
    let mut waits = Vec::new();
    for failure in [Err(Http1Error::Timeout), Err(Http1Error::Broken(String::new())), answer(503, json!({}))]
    {
        let outcome = rig.hears(failure);
        waits.push(outcome.ask_again - rig.now);
    }
    for (wait, most) in waits.iter().zip([100, 200, 400]) {
        let most = Duration::from_millis(most);
        assert!((most / 2..=most).contains(wait), "{waits:?}");
    }
    let fenced = answer(403, json!({ "type": "/problems/fenced" }));
    assert_eq!(rig.hears(fenced).meaning, Meaning::Fenced);
    assert!(rig.follower.is_fenced() && rig.asks().1.contains("&ended=1"));
    assert_eq!(rig.hears(answer(200, json!("no page"))).meaning, Meaning::Malformed);
}

#[test]
fn a_lease_is_counted_from_the_ask_and_time_without_one_is_told() {
    let mut rig = Rig::new();
    let began = rig.now;
    let ms = Duration::from_millis;
    // The answer to the first ask takes a second, and its lease of 6 s ends 5,940 ms after the ask.
    let exchange = Exchange { ask: Ask::Snapshot, asked: began, now: began + ms(1_000) };
    let snapshot = rig.administration.snapshot();
    rig.follower.heard(exchange, &snapshot, &mut rig.book);
    let leases = rig.follower.leases();
    assert!(leases.runs(began + ms(5_939)) && !leases.runs(began + ms(5_940)));
    // The next one comes 1,060 ms after its end.
    let exchange = Exchange { ask: Ask::Watch, asked: began + ms(7_000), now: began + ms(7_000) };
    let page = rig.administration.page(1);
    rig.follower.heard(exchange, &page, &mut rig.book);
    let covered = rig.follower.leases().covered(began + ms(8_000));
    assert_eq!(rig.follower.leases().lapses, 1);
    assert_eq!((covered.whole, covered.since_first, covered.with), (ms(8_000), ms(7_000), ms(7_000 - 1_060)));
}

#[test]
fn an_answer_without_a_lease_is_counted_as_one() {
    let mut rig = Rig::begun();
    let outcome = rig.hears(answer(200, json!({ "entries": [], "lease_ms": null })));
    assert!(outcome.without_lease && outcome.meaning == Meaning::Page);
    assert!(rig.asks().1.ends_with("&wait_ms=20000"), "it waits as where none are given");
}

#[test]
fn a_change_is_told_when_the_last_follower_has_it() {
    let mut spread = Spread::new(100);
    for after in 1..100 {
        assert_eq!(spread.took(7, after), None);
    }
    assert_eq!(spread.took(8, 1), None);
    let change = spread.took(7, 900).expect("the last one");
    assert_eq!((change.revision, change.followers), (7, 100));
    assert_eq!((change.p50_ms, change.p99_ms, change.max_ms), (50, 99, 900));
    spread.finish();
    assert_eq!((spread.incomplete, spread.to_last.len(), spread.to_each.len()), (1, 1, 101));
}

#[test]
fn changes_on_their_way_are_bounded() {
    let mut spread = Spread::new(2);
    for revision in 0..1_000 {
        spread.took(revision, 1);
    }
    spread.took(3, 1);
    spread.finish();
    assert_eq!((spread.incomplete, spread.to_last.len()), (1_000, 0));
}

proptest! {
    #[test]
    fn what_is_said_to_fit_fits(count in 1u64..200_000, descriptors in 0u64..100_000, memory in 0u64..1 << 34) {
        let machine = Machine { descriptors, memory };
        let each = Need { descriptors: 2, memory: 64 << 10 };
        match fits(count, each, machine) {
            Ok(()) => prop_assert!(count * 2 <= descriptors && count * each.memory <= memory),
            Err(Refused::TooMany { fit, .. }) => {
                prop_assert!(fit < count);
                prop_assert!(fit == 0 || fits(fit, each, machine) == Ok(()));
            }
            Err(other) => prop_assert!(false, "{other}"),
        }
    }
}
