//! Spans that end while something is on its way: a request's own time, and the window in which its repeats are dropped.

mod common;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::harness::{Client, NodeHarness, name};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_platform::frames;

const ROW: &str = "0000000000000009";
/// The window of the class `keyed`.
const WINDOW: Duration = Duration::from_millis(1_000);

/// A class whose repeats invokers drop for [`WINDOW`] in this scope; connections have long to come about.
fn keyed(config: &mut serde_json::Value, scope: &str) {
    let class = serde_json::json!({"name": "keyed", "deadline_ms": 8000, "goal_time_ms": 600,
        "effect": "guarded", "key_scope": scope, "repeat_window_ms": WINDOW.as_millis() as u64});
    config["settings"]["classes"].as_array_mut().expect("a list").push(class);
    config["settings"]["limits"]["connect_timeout_ms"] = 5_000.into();
}

/// Sends a request with the key `k-1`.
fn ask(client: &mut Client, stream: u32, id: u64, ttl_ms: u64) {
    use std::io::Write;
    let (id, ttl) = (name(id), ttl_ms.to_string());
    let tags = "memory_mb:9;lanes:64;load_ms:50";
    let fields = [
        ("op", "keyed"),
        ("call", id.as_str()),
        ("ttl", &ttl),
        ("row", ROW),
        ("tags", tags),
        ("dedupe", "k-1"),
    ];
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, b"");
    client.socket.write_all(&out).expect("written");
}

/// Turns until a request's next attempt has come; gives where: invoker and connection.
fn attempt(harness: &mut NodeHarness, id: u64, number: usize) -> (usize, usize) {
    harness.until("its attempt", |harness| {
        // Probes are answered: whose connection broke is alive.
        harness.invokers.iter_mut().for_each(|invoker| invoker.serve(|got| got[0] == "PING"));
        let sent = |conn: &common::harness::Conn| {
            conn.got.iter().any(|got| got[0] == "CALL" && got[1] == name(id)) && !conn.ended
        };
        let at = harness
            .invokers
            .iter()
            .enumerate()
            .find_map(|(at, invoker)| Some((at, invoker.conns.iter().position(sent)?)));
        at.filter(|_| harness.sends(&name(id)) == number)
    })
}

/// Ends a connection at an invoker: what is open on it may have run.
fn break_at(harness: &mut NodeHarness, (invoker, conn): (usize, usize)) {
    let conn = &mut harness.invokers[invoker].conns[conn];
    conn.socket.shutdown(Shutdown::Both).expect("open");
    conn.ended = true;
}

fn codes(harness: &mut NodeHarness, client: &mut Client, stream: u32) -> Vec<u8> {
    harness.until("its answer", |_| Some(client.codes(stream)).filter(|codes| !codes.is_empty()))
}

/// Waits, without a turn, until it is so late.
fn wait_until(at: Instant) {
    while Instant::now() < at {
        std::thread::yield_now();
    }
}

#[test]
fn connection_established_after_the_deadline_carries_nothing() {
    let mut harness = NodeHarness::start(1, |config| keyed(config, "all"));
    let mut client = harness.client();
    ask(&mut client, 1, 5, 150);
    harness.until("it is taken", |harness| (harness.node.counters().requests == 1).then_some(()));
    let taken = Instant::now();
    harness.until_looked("it connects", |harness| (!harness.invokers[0].conns.is_empty()).then_some(()));
    // Its connection is up only now, as far as this process sees.
    wait_until(taken + Duration::from_millis(150));
    assert_eq!(codes(&mut harness, &mut client, 1), [REFUSED], "nothing ran");
    harness.fence(500);
    assert_eq!(harness.sends(&name(5)), 0);
}

#[test]
fn retry_whose_connection_is_established_after_the_window_is_not_sent() {
    // Repeats are dropped at all invokers, or at those of one zone: then a refusal would promise too much.
    for (scope, code) in [("all", REFUSED), ("zone", FAILED)] {
        let mut harness = NodeHarness::start(2, |config| keyed(config, scope));
        let mut client = harness.client();
        ask(&mut client, 1, 5, 6_000);
        let begun = Instant::now();
        let first = attempt(&mut harness, 5, 1);
        let seen = Instant::now();
        // It may have run, and within the window it goes to the other one, over a new connection.
        break_at(&mut harness, first);
        harness.until("the connection for its repeat", |harness| {
            (!harness.invokers[1 - first.0].conns.is_empty()).then_some(())
        });
        assert!(begun.elapsed() < WINDOW, "the machine was held up: the test shows nothing");
        // It is up only now, as far as this process sees: the window is over.
        wait_until(seen + WINDOW);
        assert_eq!(codes(&mut harness, &mut client, 1), [code], "{scope}");
        assert_eq!(harness.sends(&name(5)), 1, "{scope}: its repeat would not be dropped");
    }
}

#[test]
fn retries_at_two_controllers_around_a_short_window() {
    let mut first = NodeHarness::start(2, |config| keyed(config, "all"));
    let known = first.config["known"].clone();
    // Another controller, of the same invokers.
    let mut second = NodeHarness::start(0, |config| {
        keyed(config, "all");
        config["known"] = known;
    });
    let (mut client, mut there) = (first.client(), second.client());
    ask(&mut client, 1, 1, 6_000);
    let begun = Instant::now();
    let one = attempt(&mut first, 1, 1);
    let seen = Instant::now();
    break_at(&mut first, one);
    // Within the window it goes out again here; its client comes to the other controller with the same key.
    let two = attempt(&mut first, 1, 2);
    assert!(begun.elapsed() < WINDOW, "the machine was held up: the test shows nothing");
    let mut repeat = |first: &mut NodeHarness, stream: u32, id: u64| {
        ask(&mut there, stream, id, 6_000);
        first.until("it is served", |first| {
            second.turn();
            first
                .invokers
                .iter_mut()
                .for_each(|invoker| invoker.serve(|got| got[1] == name(id) || got[0] == "PING"));
            let codes = there.codes(stream);
            (!codes.is_empty()).then(|| assert_eq!(codes, [SERVED]))
        });
    };
    repeat(&mut first, 1, 2);
    // Just after it, what is out here breaks, and the client comes again there.
    wait_until(seen + WINDOW);
    break_at(&mut first, two);
    assert_eq!(codes(&mut first, &mut client, 1), [REFUSED], "at once: repeats are dropped wherever they go");
    repeat(&mut first, 2, 3);
    first.fence(500);
    assert_eq!([1, 2, 3].map(|id| first.sends(&name(id))), [2, 1, 1], "no third attempt of the first");
    let all = first.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.got);
    let keyed =
        all.filter(|got| got[0].starts_with("CALL") && got[2].split(',').any(|field| field == "op=k-1"));
    assert_eq!(keyed.count(), 4, "the key is passed on as it came");
}
