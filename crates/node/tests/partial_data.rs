//! Messages that come in pieces: a request one byte at a time, an answer that is cut anywhere.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::disconnect::{served, with_something_unread};
use common::harness::{Client, NodeHarness, name, request};
use common::{FAILED, SERVED};
use nettleferry_platform::resp;

const ROW: u64 = 9;
/// What [`request`] tells of its time, milliseconds.
const TTL: u64 = 3_000;

/// Writes bytes one at a time, each read in a turn of its own.
fn byte_by_byte(harness: &mut NodeHarness, client: &mut Client, bytes: &[u8]) {
    for byte in bytes {
        client.socket.write_all(&[*byte]).expect("open");
        harness.turn();
    }
}

#[test]
fn request_received_byte_by_byte_is_opened_with_its_last_byte() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let bytes = request(1, "safe", 5, ROW, b"body");
    let (last, first) = bytes.split_last().expect("some");
    byte_by_byte(&mut harness, &mut client, first);
    assert_eq!((harness.node.counters().requests, harness.node.engine_counters().opened), (0, 0));
    let before = Instant::now();
    client.socket.write_all(&[*last]).expect("open");
    let conn = harness.at(0, "CALL", &name(5));
    let took = before.elapsed();
    let got = harness.invokers[0].conns[conn].got[0].clone();
    let told = got[2].split(',').find_map(|field| field.strip_prefix("patience=")).expect("told");
    let told = Duration::from_millis(told.parse().expect("a number"));
    assert!(told + took + Duration::from_millis(1) >= Duration::from_millis(TTL), "{told:?} after {took:?}");
    assert_eq!(got[3], "body");
    harness.invokers[0].serve(|_| true);
    let codes = harness.until("its answer", |_| Some(client.codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
}

/// How a connection ends within a frame.
#[derive(Clone, Copy, Debug)]
enum Goes {
    EndsItsSide,
    Closes,
    Resets,
}

#[test]
fn request_whose_client_disconnects_before_its_last_byte_is_not_opened() {
    for goes in [Goes::EndsItsSide, Goes::Closes, Goes::Resets] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut sound = harness.client();
        served(&mut harness, &mut sound, 77, ROW);
        let mut client = match goes {
            Goes::Resets => with_something_unread(&mut harness),
            _ => harness.client(),
        };
        let bytes = request(1, "safe", 5, ROW, b"body");
        byte_by_byte(&mut harness, &mut client, &bytes[..bytes.len() - 1]);
        let kept = match goes {
            Goes::EndsItsSide => {
                client.socket.shutdown(Shutdown::Write).expect("open");
                Some(client)
            }
            Goes::Closes | Goes::Resets => {
                drop(client);
                None
            }
        };
        harness.turn();
        // The very request comes anew over another connection: nothing of the half one stands in its way.
        let mut again = harness.client();
        again.ask(1, "safe", 5, ROW, b"body");
        harness.at(0, "CALL", &name(5));
        harness.invokers[0].serve(|_| true);
        let codes = harness.until("its answer", |_| Some(again.codes(1)).filter(|codes| !codes.is_empty()));
        assert_eq!(codes, [SERVED], "{goes:?}");
        assert_eq!(harness.sends(&name(5)), 1, "{goes:?}");
        assert_eq!(harness.node.counters().requests, 2, "{goes:?}: the half one is none");
        if let Some(mut client) = kept {
            harness.until("its connection ends", |_| client.ended().then_some(()));
            assert_eq!(client.frames(), [], "nothing is owed for half a request");
        }
    }
}

/// How an invoker ends a connection within an answer.
#[derive(Clone, Copy, Debug)]
enum Cut {
    /// In order.
    Ends,
    /// By a reset: it has not read what it was sent.
    Resets,
}

#[test]
fn truncated_response_fails_only_its_own_request() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    served(&mut harness, &mut client, 77, ROW);
    let whole = |id: u64| {
        let mut answer = Vec::new();
        resp::command(&mut answer, &[name(id).as_bytes(), b"served", b"n=w", b"whole"]);
        answer
    };
    let answered = |harness: &mut NodeHarness, client: &mut Client, id: u64| {
        harness.until("its answer", |harness| {
            harness.invokers[0].serve(|got| got[0] == "PING" || got[1] == name(id));
            Some(client.codes(1)).filter(|codes| !codes.is_empty())
        })
    };
    let mut id = 100;
    for (cut, how) in (1..whole(id).len()).flat_map(|cut| [(cut, Cut::Ends), (cut, Cut::Resets)]) {
        // Its attempt may have run, and its class may not be repeated.
        id += 1;
        let mut client = harness.client();
        client.ask(1, "once", id, ROW, b"");
        match how {
            Cut::Ends => {
                let conn = harness.at(0, "CALL", &name(id));
                let socket = &mut harness.invokers[0].conns[conn].socket;
                socket.write_all(&whole(id)[..cut]).expect("open");
                socket.shutdown(Shutdown::Write).expect("open");
            }
            Cut::Resets => {
                let conn = harness.unread_at(0, id);
                let mut gone = harness.invokers[0].conns.remove(conn);
                gone.socket.write_all(&whole(id)[..cut]).expect("open");
            }
        }
        assert_eq!(answered(&mut harness, &mut client, 0), [FAILED], "{how:?} after {cut} bytes");
        // Its invoker serves others at once, over another connection.
        id += 1;
        let mut other = harness.client();
        other.ask(1, "once", id, ROW, b"");
        assert_eq!(answered(&mut harness, &mut other, id), [SERVED], "{how:?} after {cut} bytes");
        assert!(harness.sends(&name(id - 1)) <= 1, "never again");
    }
    let count = harness.node.counters();
    assert_eq!((count.stray_answers, count.bad_answers), (0, 0), "each was cut, none spoilt");
}
