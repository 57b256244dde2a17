//! Messages that arrive in parts: a request one byte at a time, and a response that is truncated at any byte.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::disconnect::{client_with_unread_data, serve_call};
use common::harness::{Client, NodeHarness, request, wire_id};
use common::{FAILED, SERVED};
use nettleferry_platform::resp;

const ROW: u64 = 9;
/// The time to live that [`request`] states, milliseconds.
const TTL: u64 = 3_000;

/// Writes bytes one at a time, each read in a separate iteration.
fn byte_by_byte(harness: &mut NodeHarness, client: &mut Client, bytes: &[u8]) {
    for byte in bytes {
        client.socket.write_all(&[*byte]).expect("open");
        harness.iterate();
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
    let conn = harness.wait_for_command(0, "CALL", &wire_id(5));
    let took = before.elapsed();
    let command = harness.invokers[0].conns[conn].commands[0].clone();
    let stated =
        command[2].split(',').find_map(|field| field.strip_prefix("patience=")).expect("a stated time");
    let stated = Duration::from_millis(stated.parse().expect("a number"));
    assert!(
        stated + took + Duration::from_millis(1) >= Duration::from_millis(TTL),
        "{stated:?} after {took:?}"
    );
    assert_eq!(command[3], "body");
    harness.invokers[0].serve(|_| true);
    let codes =
        harness.until("an answer", |_| Some(client.answer_codes(1)).filter(|codes| !codes.is_empty()));
    assert_eq!(codes, [SERVED]);
}

/// How a client ends its connection in the middle of a frame.
#[derive(Clone, Copy, Debug)]
enum Disconnection {
    HalfClose,
    Close,
    Reset,
}

#[test]
fn request_whose_client_disconnects_before_its_last_byte_is_not_opened() {
    for disconnection in [Disconnection::HalfClose, Disconnection::Close, Disconnection::Reset] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut sound = harness.client();
        serve_call(&mut harness, &mut sound, 77, ROW);
        let mut client = match disconnection {
            Disconnection::Reset => client_with_unread_data(&mut harness),
            _ => harness.client(),
        };
        let bytes = request(1, "safe", 5, ROW, b"body");
        byte_by_byte(&mut harness, &mut client, &bytes[..bytes.len() - 1]);
        let still_open = match disconnection {
            Disconnection::HalfClose => {
                client.socket.shutdown(Shutdown::Write).expect("open");
                Some(client)
            }
            Disconnection::Close | Disconnection::Reset => {
                drop(client);
                None
            }
        };
        harness.iterate();
        // The same request arrives over another connection: the incomplete one must not count as open.
        let mut again = harness.client();
        again.send_request(1, "safe", 5, ROW, b"body");
        harness.wait_for_command(0, "CALL", &wire_id(5));
        harness.invokers[0].serve(|_| true);
        let codes =
            harness.until("an answer", |_| Some(again.answer_codes(1)).filter(|codes| !codes.is_empty()));
        assert_eq!(codes, [SERVED], "{disconnection:?}");
        assert_eq!(harness.call_count(&wire_id(5)), 1, "{disconnection:?}");
        assert_eq!(
            harness.node.counters().requests,
            2,
            "{disconnection:?}: the incomplete request is not counted"
        );
        if let Some(mut client) = still_open {
            harness.until("the connection to close", |_| client.is_closed().then_some(()));
            assert_eq!(client.frames(), [], "an incomplete request gets no answer");
        }
    }
}

/// How an invoker ends a connection in the middle of a response.
#[derive(Clone, Copy, Debug)]
enum ConnectionEnd {
    /// The invoker shuts down its side.
    Close,
    /// The invoker closes with the request unread, which resets the connection.
    Reset,
}

#[test]
fn truncated_response_fails_only_its_own_request() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    serve_call(&mut harness, &mut client, 77, ROW);
    let whole = |id: u64| {
        let mut answer = Vec::new();
        resp::command(&mut answer, &[wire_id(id).as_bytes(), b"served", b"n=w", b"whole"]);
        answer
    };
    let answered = |harness: &mut NodeHarness, client: &mut Client, id: u64| {
        harness.until("an answer", |harness| {
            harness.invokers[0].serve(|command| command[0] == "PING" || command[1] == wire_id(id));
            Some(client.answer_codes(1)).filter(|codes| !codes.is_empty())
        })
    };
    let mut id = 100;
    for (cut, end) in
        (1..whole(id).len()).flat_map(|cut| [(cut, ConnectionEnd::Close), (cut, ConnectionEnd::Reset)])
    {
        // The attempt may have run, and its class must not be retried.
        id += 1;
        let mut client = harness.client();
        client.send_request(1, "once", id, ROW, b"");
        match end {
            ConnectionEnd::Close => {
                let conn = harness.wait_for_command(0, "CALL", &wire_id(id));
                let socket = &mut harness.invokers[0].conns[conn].socket;
                socket.write_all(&whole(id)[..cut]).expect("open");
                socket.shutdown(Shutdown::Write).expect("open");
            }
            ConnectionEnd::Reset => {
                let conn = harness.wait_for_unread(0, id);
                let mut removed = harness.invokers[0].conns.remove(conn);
                removed.socket.write_all(&whole(id)[..cut]).expect("open");
            }
        }
        assert_eq!(answered(&mut harness, &mut client, 0), [FAILED], "{end:?} after {cut} bytes");
        // The invoker serves other requests at once, over another connection.
        id += 1;
        let mut other = harness.client();
        other.send_request(1, "once", id, ROW, b"");
        assert_eq!(answered(&mut harness, &mut other, id), [SERVED], "{end:?} after {cut} bytes");
        assert!(harness.call_count(&wire_id(id - 1)) <= 1, "the request is not retried");
    }
    let count = harness.node.counters();
    assert_eq!(
        (count.stray_answers, count.bad_answers),
        (0, 0),
        "truncated responses are counted as neither"
    );
}
