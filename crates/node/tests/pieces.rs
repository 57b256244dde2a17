//! Messages that come in pieces: a request one byte at a time, an answer that is cut anywhere.

mod common;

use std::io::Write;
use std::net::Shutdown;
use std::time::{Duration, Instant};

use common::hand::{Client, Hand, name, request};
use common::leaving::{served, with_something_unread};
use common::{FAILED, SERVED};
use nettleferry_platform::resp;

const ROW: u64 = 9;
/// What [`request`] tells of its time, milliseconds.
const TTL: u64 = 3_000;

/// Writes bytes one at a time, each read in a turn of its own.
fn byte_by_byte(hand: &mut Hand, client: &mut Client, bytes: &[u8]) {
    for byte in bytes {
        client.socket.write_all(&[*byte]).expect("open");
        hand.turn();
    }
}

#[test]
fn a_request_that_comes_byte_by_byte_is_opened_with_its_last_byte_and_has_all_its_time() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    let bytes = request(1, "safe", 5, ROW, b"body");
    let (last, first) = bytes.split_last().expect("some");
    byte_by_byte(&mut hand, &mut client, first);
    assert_eq!((hand.node.counters().requests, hand.node.engine_counters().opened), (0, 0));
    let before = Instant::now();
    client.socket.write_all(&[*last]).expect("open");
    let conn = hand.at(0, "CALL", &name(5));
    let took = before.elapsed();
    let got = hand.invokers[0].conns[conn].got[0].clone();
    let told = got[2].split(',').find_map(|field| field.strip_prefix("patience=")).expect("told");
    let told = Duration::from_millis(told.parse().expect("a number"));
    assert!(told + took + Duration::from_millis(1) >= Duration::from_millis(TTL), "{told:?} after {took:?}");
    assert_eq!(got[3], "body");
    hand.invokers[0].serve(|_| true);
    let codes = hand.until("its answer", |_| Some(client.codes(1)).filter(|codes| !codes.is_empty()));
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
fn a_request_whose_client_goes_before_its_last_byte_is_never_opened_and_holds_nothing() {
    for goes in [Goes::EndsItsSide, Goes::Closes, Goes::Resets] {
        let mut hand = Hand::start(1, |_| ());
        let mut sound = hand.client();
        served(&mut hand, &mut sound, 77, ROW);
        let mut client = match goes {
            Goes::Resets => with_something_unread(&mut hand),
            _ => hand.client(),
        };
        let bytes = request(1, "safe", 5, ROW, b"body");
        byte_by_byte(&mut hand, &mut client, &bytes[..bytes.len() - 1]);
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
        hand.turn();
        // The very request comes anew over another connection: nothing of the half one stands in its way.
        let mut again = hand.client();
        again.ask(1, "safe", 5, ROW, b"body");
        hand.at(0, "CALL", &name(5));
        hand.invokers[0].serve(|_| true);
        let codes = hand.until("its answer", |_| Some(again.codes(1)).filter(|codes| !codes.is_empty()));
        assert_eq!(codes, [SERVED], "{goes:?}");
        assert_eq!(hand.sends(&name(5)), 1, "{goes:?}");
        assert_eq!(hand.node.counters().requests, 2, "{goes:?}: the half one is none");
        if let Some(mut client) = kept {
            hand.until("its connection ends", |_| client.ended().then_some(()));
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
fn an_answer_that_is_cut_anywhere_fails_its_own_request_alone() {
    let mut hand = Hand::start(1, |_| ());
    let mut client = hand.client();
    served(&mut hand, &mut client, 77, ROW);
    let whole = |id: u64| {
        let mut answer = Vec::new();
        resp::command(&mut answer, &[name(id).as_bytes(), b"served", b"n=w", b"whole"]);
        answer
    };
    let answered = |hand: &mut Hand, client: &mut Client, id: u64| {
        hand.until("its answer", |hand| {
            hand.invokers[0].serve(|got| got[0] == "PING" || got[1] == name(id));
            Some(client.codes(1)).filter(|codes| !codes.is_empty())
        })
    };
    let mut id = 100;
    for (cut, how) in (1..whole(id).len()).flat_map(|cut| [(cut, Cut::Ends), (cut, Cut::Resets)]) {
        // Its attempt may have run, and its class may not be repeated.
        id += 1;
        let mut client = hand.client();
        client.ask(1, "once", id, ROW, b"");
        match how {
            Cut::Ends => {
                let conn = hand.at(0, "CALL", &name(id));
                let socket = &mut hand.invokers[0].conns[conn].socket;
                socket.write_all(&whole(id)[..cut]).expect("open");
                socket.shutdown(Shutdown::Write).expect("open");
            }
            Cut::Resets => {
                let conn = hand.unread_at(0, id);
                let mut gone = hand.invokers[0].conns.remove(conn);
                gone.socket.write_all(&whole(id)[..cut]).expect("open");
            }
        }
        assert_eq!(answered(&mut hand, &mut client, 0), [FAILED], "{how:?} after {cut} bytes");
        // Its invoker serves others at once, over another connection.
        id += 1;
        let mut other = hand.client();
        other.ask(1, "once", id, ROW, b"");
        assert_eq!(answered(&mut hand, &mut other, id), [SERVED], "{how:?} after {cut} bytes");
        assert!(hand.sends(&name(id - 1)) <= 1, "never again");
    }
    let count = hand.node.counters();
    assert_eq!((count.stray_answers, count.bad_answers), (0, 0), "each was cut, none spoilt");
}
