//! Few connections that carry many requests each, of many clients behind one front: what one of them does, and what this
//! process does late, costs no other its whole answer in time.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::harness::{Client, NodeHarness, name};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_node::limits::{
    CONSECUTIVE_FAULTS, OPENS_PER_ITERATION, SHORT_ANSWER_BYTES, STREAMS_PER_CLIENT,
};
use nettleferry_platform::{frames, resp};

const ROW: u64 = 9;
/// The deadline of the class `safe`, milliseconds.
const DEADLINE: u64 = 4_000;

/// A request with a time of its own, as bytes; its function runs many at once.
fn request(out: &mut Vec<u8>, stream: u32, id: u64, ttl_ms: u64) {
    let (id, row, ttl) = (name(id), name(ROW), ttl_ms.to_string());
    let tags = "memory_mb:9;lanes:64;load_ms:50";
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", &ttl), ("row", &row), ("tags", tags)];
    frames::request(out, stream, &fields, b"");
}

fn ask(client: &mut Client, stream: u32, id: u64, ttl_ms: u64) {
    let mut out = Vec::new();
    request(&mut out, stream, id, ttl_ms);
    client.socket.write_all(&out).expect("written");
}

/// As many as one connection may have open, in one piece; their ids are above `base`.
fn crowd(client: &mut Client, base: u64) {
    let mut out = Vec::new();
    (1..=STREAMS_PER_CLIENT as u32).for_each(|n| request(&mut out, n, base + u64::from(n), DEADLINE));
    client.socket.write_all(&out).expect("written");
}

/// What an invoker was told of a request's time, milliseconds.
fn patience(harness: &mut NodeHarness, id: u64) -> u64 {
    let conn = harness.at(0, "CALL", &name(id));
    let got =
        harness.invokers[0].conns[conn].got.iter().find(|got| got[1] == name(id)).expect("found").clone();
    let told = got[2].split(',').find_map(|field| field.strip_prefix("patience=")).expect("told");
    told.parse().expect("a number")
}

/// Turns until a stream has its answers; their codes.
fn answers(harness: &mut NodeHarness, client: &mut Client, stream: u32) -> Vec<u8> {
    harness.until("its answer", |harness| {
        harness.invokers[0].serve(|_| true);
        Some(client.codes(stream)).filter(|codes| !codes.is_empty())
    })
}

#[test]
fn ttl_above_the_class_deadline_is_limited_to_it() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // Its client counts its time from a moment that is still to come.
    ask(&mut client, 1, 1, DEADLINE + 14);
    assert!(patience(&mut harness, 1) <= DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    let count = harness.node.counters();
    assert_eq!((count.over_deadline, count.bad_requests), (1, 0));
}

#[test]
fn unusable_requests_do_not_affect_others_on_their_connection() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // The copy is found by a call that is served.
    ask(&mut client, 1, 1_000, DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    // NewCall all the while.
    ask(&mut client, 2, 1, DEADLINE);
    harness.at(0, "CALL", &name(1));
    let amiss = 3 * CONSECUTIVE_FAULTS;
    for n in 1..=amiss {
        let (bad, sound) = (2 * n + 1, 2 * n + 2);
        ask(&mut client, bad, u64::from(bad), DEADLINE * 1_000);
        ask(&mut client, sound, u64::from(sound), DEADLINE);
        harness.at(0, "CALL", &name(u64::from(sound)));
        harness.invokers[0].serve(|got| got[1] == name(u64::from(sound)));
        let codes = |client: &mut Client| (client.codes(bad), client.codes(sound));
        let both = harness.until("both", |_| Some(codes(&mut client)).filter(|(_, sound)| !sound.is_empty()));
        assert_eq!(both, (vec![FAILED], vec![SERVED]));
    }
    assert_eq!(answers(&mut harness, &mut client, 2), [SERVED]);
    let count = harness.node.counters();
    assert_eq!((count.bad_requests, count.closed_for_faults), (u64::from(amiss), 0));
}

#[test]
fn time_that_a_request_waited_unread_counts_against_its_deadline() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    ask(&mut client, 1, 1, DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    harness.turn();
    ask(&mut client, 2, 2, DEADLINE);
    let asked = Instant::now();
    // This process is not run for a while.
    std::thread::sleep(Duration::from_millis(150));
    let stopped = asked.elapsed().as_millis() as u64;
    harness.turn();
    let told = patience(&mut harness, 2);
    assert!(told <= DEADLINE - stopped, "{told} ms after {stopped} ms");
    assert!(harness.node.counters().longest_read_delay >= stopped * 1_000);
}

#[test]
fn iteration_opens_a_bounded_number_of_requests() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut clients: Vec<Client> = (0..3).map(|_| harness.client()).collect();
    harness.turn();
    harness.turn();
    let all = clients.len() * STREAMS_PER_CLIENT;
    assert!(all > OPENS_PER_ITERATION);
    for (at, client) in clients.iter_mut().enumerate() {
        crowd(client, 100 * at as u64);
    }
    harness.turn();
    assert_eq!(harness.node.engine_counters().opened, OPENS_PER_ITERATION as u64);
    // All leave now: of what was not opened, nothing ever is.
    for client in &mut clients {
        // In one piece: the system holds back small ones until the first of them are acknowledged.
        let mut out = Vec::new();
        (1..=STREAMS_PER_CLIENT)
            .for_each(|stream| frames::bare(&mut out, frames::kind::CANCEL, stream as u32));
        client.socket.write_all(&out).expect("written");
    }
    harness.turn();
    harness.fence(5_000);
    assert_eq!(
        harness.node.engine_counters().opened,
        OPENS_PER_ITERATION as u64 + 1,
        "the fence's is the other one"
    );
}

#[test]
fn due_answer_is_sent_before_new_requests_are_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    ask(&mut client, 1, 1, 100);
    let came = Instant::now();
    harness.at(0, "CALL", &name(1));
    let mut other = harness.client();
    harness.turn();
    harness.turn();
    // Its time is over, and a crowd is there.
    std::thread::sleep(Duration::from_millis(100).saturating_sub(came.elapsed()));
    crowd(&mut other, 100);
    assert!(client.codes(1).is_empty());
    harness.turn();
    // It may have run, and a new try of its class does no harm.
    assert_eq!(client.codes(1), [REFUSED], "in that very turn");
    assert_eq!(harness.node.engine_counters().opened, 1 + STREAMS_PER_CLIENT as u64);
}

#[test]
fn answer_over_the_output_bound_fails_alone() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let big = vec![b'b'; 60 << 10];
    let mut asked: u32 = 0;
    // It reads nothing, until the system and the bound on our side hold no more.
    while harness.node.counters().over_answers == 0 {
        assert!(asked < 4_096, "the bound was never hit");
        let streams = asked + 1..=asked + 16;
        asked += 16;
        for stream in streams.clone() {
            ask(&mut client, stream, u64::from(stream), DEADLINE);
        }
        for stream in streams {
            let conn = harness.at(0, "CALL", &name(u64::from(stream)));
            let mut out = Vec::new();
            resp::command(&mut out, &[name(u64::from(stream)).as_bytes(), b"served", b"n=w", &big]);
            let socket = &mut harness.invokers[0].conns[conn].socket;
            while !out.is_empty() {
                match socket.write(&out) {
                    Ok(n) => drop(out.drain(..n)),
                    Err(_) => harness.node.iterate(Some(Duration::ZERO)).expect("polls"),
                }
            }
        }
        harness.until("all have ended", |harness| {
            let ended = harness.node.engine_counters();
            (ended.served + ended.failed + ended.refused == u64::from(asked)).then_some(())
        });
    }
    // It reads at last: each request has its one whole answer, and the connection goes on.
    let frames = harness.until("all answers", |_| {
        let frames = client.frames();
        (frames.len() >= asked as usize).then_some(frames)
    });
    for stream in 1..=asked {
        let of: Vec<_> = frames.iter().filter(|(_, of, _)| *of == stream).collect();
        assert_eq!(of.len(), 1, "stream {stream}");
        let payload = &of[0].2;
        let whole = payload[0] == SERVED && payload.len() == 2 + big.len();
        assert!(whole || payload[0] == FAILED && payload.len() < SHORT_ANSWER_BYTES, "stream {stream}");
    }
    ask(&mut client, asked + 1, u64::from(asked + 1), DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, asked + 1), [SERVED]);
}

#[test]
fn burst_of_silent_connections_costs_no_request_its_answer() {
    // Half of 64 descriptors are clients'.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let crowd: Vec<Client> = (0..40).map(|_| harness.client()).collect();
    harness.until("the bound is hit", |harness| (harness.node.counters().over_clients > 0).then_some(()));
    // All at once, in the backlog before one turn.
    let mut clients: Vec<Client> = (0..30).map(|_| harness.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        ask(client, 1, 1 + at as u64, DEADLINE);
    }
    for client in &mut clients {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
    assert_eq!(harness.node.tcp_counters().over_accepted, 0);
    drop(crowd);
}

#[test]
fn newly_accepted_connection_is_not_evicted_by_the_next() {
    // All room that clients have is taken by connections that asked once and stay.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let mut stay: Vec<Client> = (0..32).map(|_| harness.client()).collect();
    let mut word = Vec::new();
    frames::bare(&mut word, frames::kind::READY, 0);
    for client in &mut stay {
        client.socket.write_all(&word).expect("written");
    }
    harness.until("they are answered", |_| stay.iter_mut().all(|c| !c.frames().is_empty()).then_some(()));
    // Each of these has its turn before it sends what it came for.
    let mut clients = Vec::new();
    for _ in 0..22 {
        clients.push(harness.client());
        harness.turn();
    }
    for (at, client) in clients.iter_mut().enumerate() {
        ask(client, 1, 1 + at as u64, DEADLINE);
    }
    for client in &mut clients {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
    assert!(harness.node.counters().made_room >= 16, "idle ones went for them");
}

#[test]
fn idle_connections_are_evicted_and_open_requests_stay() {
    // Clients may hold a third of 96 descriptors.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 96.into());
    let mut busy: Vec<Client> = (0..3).map(|_| harness.client()).collect();
    for (at, client) in busy.iter_mut().enumerate() {
        ask(client, 1, 1 + at as u64, DEADLINE);
    }
    harness.at(0, "CALL", &name(1));
    let mut word = Vec::new();
    frames::bare(&mut word, frames::kind::READY, 0);
    let mut stay: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = harness.client();
        client.socket.write_all(&word).expect("written");
        harness.until("it is answered", |_| (!client.frames().is_empty()).then_some(()));
        stay.push(client);
    }
    let ended = |client: &Client| matches!(client.socket.peek(&mut [0; 1]), Ok(0));
    let held = stay.iter().filter(|client| !ended(client)).count() + busy.len();
    assert!(held < 96 / 3, "{held} are held");
    for client in &mut busy {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
}
