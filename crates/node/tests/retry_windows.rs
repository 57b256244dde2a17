//! Time limits that pass while an attempt waits for its connection: the deadline of the request, and the window in
//! which invokers drop duplicates.

mod common;

use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::harness::{Client, NodeHarness, wire_id};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_platform::frames;

const ROW: &str = "0000000000000009";
/// The time for which invokers drop duplicates of the class `keyed`.
const WINDOW: Duration = Duration::from_millis(1_000);

/// Adds a class whose duplicates invokers drop for [`WINDOW`] in this scope, and sets a long connect timeout.
fn keyed(config: &mut serde_json::Value, scope: &str) {
    let class = serde_json::json!({"name": "keyed", "deadline_ms": 8000, "goal_time_ms": 600,
        "effect": "guarded", "key_scope": scope, "repeat_window_ms": WINDOW.as_millis() as u64});
    config["settings"]["classes"].as_array_mut().expect("a list").push(class);
    config["settings"]["limits"]["connect_timeout_ms"] = 5_000.into();
}

/// Sends a request with the key `k-1`.
fn send_request(client: &mut Client, stream: u32, id: u64, ttl_ms: u64) {
    send_with_key(client, stream, id, ttl_ms, Some("k-1"));
}

/// Sends a request with this idempotency key, or without one.
fn send_with_key(client: &mut Client, stream: u32, id: u64, ttl_ms: u64, key: Option<&str>) {
    use std::io::Write;
    let (id, ttl) = (wire_id(id), ttl_ms.to_string());
    let tags = "memory_mb:9;lanes:64;load_ms:50";
    let mut fields =
        vec![("op", "keyed"), ("call", id.as_str()), ("ttl", &ttl), ("row", ROW), ("tags", tags)];
    fields.extend(key.map(|key| ("dedupe", key)));
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, b"");
    client.socket.write_all(&out).expect("written");
}

/// Runs iterations until attempt `number` of a request has arrived. Returns the indexes of its invoker and connection.
fn attempt(harness: &mut NodeHarness, id: u64, number: usize) -> (usize, usize) {
    harness.until("an attempt", |harness| {
        // Health checks are answered, so an invoker whose connection broke stays in use.
        harness.invokers.iter_mut().for_each(|invoker| invoker.serve(|command| command[0] == "PING"));
        let sent = |conn: &common::harness::Conn| {
            conn.commands.iter().any(|command| command[0] == "CALL" && command[1] == wire_id(id))
                && !conn.ended
        };
        let at = harness
            .invokers
            .iter()
            .enumerate()
            .find_map(|(at, invoker)| Some((at, invoker.conns.iter().position(sent)?)));
        at.filter(|_| harness.call_count(&wire_id(id)) == number)
    })
}

/// Closes a connection at an invoker: attempts that are open on it may have run.
fn break_at(harness: &mut NodeHarness, (invoker, conn): (usize, usize)) {
    let conn = &mut harness.invokers[invoker].conns[conn];
    conn.socket.shutdown(Shutdown::Both).expect("open");
    conn.ended = true;
}

fn codes(harness: &mut NodeHarness, client: &mut Client, stream: u32) -> Vec<u8> {
    harness.until("an answer", |_| Some(client.answer_codes(stream)).filter(|codes| !codes.is_empty()))
}

/// Waits until this time without an iteration of the node.
fn wait_until(at: Instant) {
    while Instant::now() < at {
        std::thread::yield_now();
    }
}

#[test]
fn connection_established_after_the_deadline_carries_nothing() {
    let mut harness = NodeHarness::start(1, |config| keyed(config, "all"));
    let mut client = harness.client();
    send_request(&mut client, 1, 5, 150);
    harness.until("the request to be read", |harness| (harness.node.counters().requests == 1).then_some(()));
    let read_at = Instant::now();
    harness
        .until_at_invokers("a connection", |harness| (!harness.invokers[0].conns.is_empty()).then_some(()));
    // The node does not see the established connection before the deadline has passed.
    wait_until(read_at + Duration::from_millis(150));
    assert_eq!(codes(&mut harness, &mut client, 1), [REFUSED], "no attempt was made");
    harness.fence(500);
    assert_eq!(harness.call_count(&wire_id(5)), 0);
}

#[test]
fn retry_whose_connection_is_established_after_the_window_is_not_sent() {
    // Duplicates are dropped at all invokers, or only within a zone. After the window no invoker drops them: a refusal
    // would wrongly state that a retry is harmless.
    for scope in ["all", "zone"] {
        let mut harness = NodeHarness::start(2, |config| keyed(config, scope));
        let mut client = harness.client();
        send_request(&mut client, 1, 5, 6_000);
        let begun = Instant::now();
        let first = attempt(&mut harness, 5, 1);
        let received_at = Instant::now();
        // The attempt may have run. Within the window it is retried at the other invoker, over a new connection.
        break_at(&mut harness, first);
        harness.until("the connection for the retry", |harness| {
            (!harness.invokers[1 - first.0].conns.is_empty()).then_some(())
        });
        assert!(begun.elapsed() < WINDOW, "the machine was too slow: the test shows nothing");
        // The node does not see the established connection before the window has passed.
        wait_until(received_at + WINDOW);
        assert_eq!(codes(&mut harness, &mut client, 1), [FAILED], "{scope}");
        assert_eq!(harness.call_count(&wire_id(5)), 1, "{scope}: a duplicate would not be dropped any more");
    }
}

#[test]
fn retries_at_two_controllers_around_a_short_window() {
    let mut first = NodeHarness::start(2, |config| keyed(config, "all"));
    let known = first.config["known"].clone();
    // Another controller with the same invokers.
    let mut second = NodeHarness::start(0, |config| {
        keyed(config, "all");
        config["known"] = known;
    });
    let (mut client, mut there) = (first.client(), second.client());
    send_request(&mut client, 1, 1, 6_000);
    let begun = Instant::now();
    let one = attempt(&mut first, 1, 1);
    let received_at = Instant::now();
    break_at(&mut first, one);
    // Within the window the first controller retries, and the client retries at the other controller with the same key.
    let two = attempt(&mut first, 1, 2);
    assert!(begun.elapsed() < WINDOW, "the machine was too slow: the test shows nothing");
    let mut repeat = |first: &mut NodeHarness, stream: u32, id: u64| {
        send_request(&mut there, stream, id, 6_000);
        first.until("the retry to be served", |first| {
            second.iterate();
            first.invokers.iter_mut().for_each(|invoker| {
                invoker.serve(|command| command[1] == wire_id(id) || command[0] == "PING")
            });
            let codes = there.answer_codes(stream);
            (!codes.is_empty()).then(|| assert_eq!(codes, [SERVED]))
        });
    };
    repeat(&mut first, 1, 2);
    // Just after the window, the attempt of the first controller fails, and the client retries at the other one again.
    wait_until(received_at + WINDOW);
    break_at(&mut first, two);
    assert_eq!(
        codes(&mut first, &mut client, 1),
        [FAILED],
        "failed at once: no invoker remembers the key, so a refusal would wrongly state that a retry is harmless"
    );
    repeat(&mut first, 2, 3);
    first.fence(500);
    assert_eq!(
        [1, 2, 3].map(|id| first.call_count(&wire_id(id))),
        [2, 1, 1],
        "the first request has no third attempt"
    );
    let all = first.invokers.iter().flat_map(|i| &i.conns).flat_map(|c| &c.commands);
    let keyed = all.filter(|command| {
        command[0].starts_with("CALL") && command[2].split(',').any(|field| field == "op=k-1")
    });
    assert_eq!(keyed.count(), 4, "the key is forwarded unchanged");
}

// Guards against a refusal, which states that a retry is harmless, where some invokers run the retry: those outside the
// scope, and after the window all of them (see the tests above).
#[test]
fn request_that_may_have_run_is_refused_within_the_window_of_all_invokers_only() {
    for (scope, code) in [("all", REFUSED), ("zone", FAILED)] {
        let mut harness = NodeHarness::start(2, |config| {
            keyed(config, scope);
            config["settings"]["limits"]["max_attempts"] = 1.into();
        });
        let mut client = harness.client();
        send_request(&mut client, 1, 5, 6_000);
        let begun = Instant::now();
        let first = attempt(&mut harness, 5, 1);
        break_at(&mut harness, first);
        let answered = codes(&mut harness, &mut client, 1);
        assert!(begun.elapsed() < WINDOW, "the machine was too slow: the test shows nothing");
        assert_eq!(answered, [code], "{scope}");
    }
}

// Guards against a second run of a keyed request that no invoker can recognise as a repeat, and against a refusal,
// which would state that a retry is harmless.
#[test]
fn keyed_request_without_a_key_is_not_repeated_after_it_may_have_run() {
    for scope in ["all", "zone", "cell"] {
        for key in [None, Some(""), Some(" ")] {
            let mut harness = NodeHarness::start(2, |config| keyed(config, scope));
            let mut client = harness.client();
            send_with_key(&mut client, 1, 5, 6_000, key);
            let first = attempt(&mut harness, 5, 1);
            break_at(&mut harness, first);
            assert_eq!(codes(&mut harness, &mut client, 1), [FAILED], "{scope}, key {key:?}");
            harness.fence(500);
            assert_eq!(harness.call_count(&wire_id(5)), 1, "{scope}, key {key:?}");
            assert_eq!(harness.node.counters().violations.total(), 0, "the decision module decided it");
        }
    }
}
