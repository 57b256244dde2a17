//! Connections that carry the requests of many clients, as those of a proxy do: neither the faults of one client nor a
//! delay of this process may keep the others from their complete answers in time.

mod common;

use std::io::Write;
use std::time::{Duration, Instant};

use common::harness::{Client, NodeHarness, wire_id};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_node::limits::{
    CONSECUTIVE_FAULTS, OPENS_PER_ITERATION, SHORT_ANSWER_BYTES, STREAMS_PER_CLIENT,
};
use nettleferry_platform::{frames, resp};

const ROW: u64 = 9;
/// The deadline of the class `safe`, milliseconds.
const DEADLINE: u64 = 4_000;

/// Appends a request with this time to live, for a function with many lanes.
fn request(out: &mut Vec<u8>, stream: u32, id: u64, ttl_ms: u64) {
    let (id, row, ttl) = (wire_id(id), wire_id(ROW), ttl_ms.to_string());
    let tags = "memory_mb:9;lanes:64;load_ms:50";
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", &ttl), ("row", &row), ("tags", tags)];
    frames::request(out, stream, &fields, b"");
}

fn send_request(client: &mut Client, stream: u32, id: u64, ttl_ms: u64) {
    let mut out = Vec::new();
    request(&mut out, stream, id, ttl_ms);
    client.socket.write_all(&out).expect("written");
}

/// Sends as many requests as one connection may have open, in one write. Their ids follow `base`.
fn send_max_requests(client: &mut Client, base: u64) {
    let mut out = Vec::new();
    (1..=STREAMS_PER_CLIENT as u32).for_each(|n| request(&mut out, n, base + u64::from(n), DEADLINE));
    client.socket.write_all(&out).expect("written");
}

/// The time left that was stated to an invoker for a request, milliseconds.
fn stated_patience(harness: &mut NodeHarness, id: u64) -> u64 {
    let conn = harness.wait_for_command(0, "CALL", &wire_id(id));
    let command = harness.invokers[0].conns[conn]
        .commands
        .iter()
        .find(|command| command[1] == wire_id(id))
        .expect("found")
        .clone();
    let stated =
        command[2].split(',').find_map(|field| field.strip_prefix("patience=")).expect("a stated time");
    stated.parse().expect("a number")
}

/// Serves all calls until there is an answer on a stream. Returns the codes of the answers.
fn answers(harness: &mut NodeHarness, client: &mut Client, stream: u32) -> Vec<u8> {
    harness.until("an answer", |harness| {
        harness.invokers[0].serve(|_| true);
        Some(client.answer_codes(stream)).filter(|codes| !codes.is_empty())
    })
}

#[test]
fn ttl_above_the_class_deadline_is_limited_to_it() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // The client sends the request 14 ms early by its own clock.
    send_request(&mut client, 1, 1, DEADLINE + 14);
    assert!(stated_patience(&mut harness, 1) <= DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    let count = harness.node.counters();
    assert_eq!((count.over_deadline, count.bad_requests), (1, 0));
}

#[test]
fn unusable_requests_do_not_affect_others_on_their_connection() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    // A call that is served shows the node where the replica is.
    send_request(&mut client, 1, 1_000, DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    // This request stays open all the while.
    send_request(&mut client, 2, 1, DEADLINE);
    harness.wait_for_command(0, "CALL", &wire_id(1));
    let bad_count = 3 * CONSECUTIVE_FAULTS;
    for n in 1..=bad_count {
        let (bad, valid) = (2 * n + 1, 2 * n + 2);
        send_request(&mut client, bad, u64::from(bad), DEADLINE * 1_000);
        send_request(&mut client, valid, u64::from(valid), DEADLINE);
        harness.wait_for_command(0, "CALL", &wire_id(u64::from(valid)));
        harness.invokers[0].serve(|command| command[1] == wire_id(u64::from(valid)));
        let codes = |client: &mut Client| (client.answer_codes(bad), client.answer_codes(valid));
        let both = harness
            .until("both answers", |_| Some(codes(&mut client)).filter(|(_, valid)| !valid.is_empty()));
        assert_eq!(both, (vec![FAILED], vec![SERVED]));
    }
    assert_eq!(answers(&mut harness, &mut client, 2), [SERVED]);
    let count = harness.node.counters();
    assert_eq!((count.bad_requests, count.closed_for_faults), (u64::from(bad_count), 0));
}

#[test]
fn time_that_a_request_waited_unread_counts_against_its_deadline() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    send_request(&mut client, 1, 1, DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, 1), [SERVED]);
    harness.iterate();
    send_request(&mut client, 2, 2, DEADLINE);
    let asked = Instant::now();
    // The process is suspended for a while.
    std::thread::sleep(Duration::from_millis(150));
    let suspended = asked.elapsed().as_millis() as u64;
    harness.iterate();
    let stated = stated_patience(&mut harness, 2);
    assert!(stated <= DEADLINE - suspended, "{stated} ms after {suspended} ms");
    assert!(harness.node.counters().longest_read_delay >= suspended * 1_000);
}

#[test]
fn iteration_opens_a_bounded_number_of_requests() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut clients: Vec<Client> = (0..3).map(|_| harness.client()).collect();
    harness.iterate();
    harness.iterate();
    let all = clients.len() * STREAMS_PER_CLIENT;
    assert!(all > OPENS_PER_ITERATION);
    for (at, client) in clients.iter_mut().enumerate() {
        send_max_requests(client, 100 * at as u64);
    }
    harness.iterate();
    assert_eq!(harness.node.engine_counters().opened, OPENS_PER_ITERATION as u64);
    // All requests are cancelled: those that are not opened yet must never be.
    for client in &mut clients {
        // In one write: the kernel may delay small writes until earlier ones are acknowledged.
        let mut out = Vec::new();
        (1..=STREAMS_PER_CLIENT)
            .for_each(|stream| frames::bare(&mut out, frames::kind::CANCEL, stream as u32));
        client.socket.write_all(&out).expect("written");
    }
    harness.iterate();
    harness.fence(5_000);
    assert_eq!(
        harness.node.engine_counters().opened,
        OPENS_PER_ITERATION as u64 + 1,
        "one more for the fence request"
    );
}

#[test]
fn due_answer_is_sent_before_new_requests_are_forwarded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    send_request(&mut client, 1, 1, 100);
    let sent = Instant::now();
    harness.wait_for_command(0, "CALL", &wire_id(1));
    let mut other = harness.client();
    harness.iterate();
    harness.iterate();
    // The deadline has passed, and many new requests have arrived.
    std::thread::sleep(Duration::from_millis(100).saturating_sub(sent.elapsed()));
    send_max_requests(&mut other, 100);
    assert!(client.answer_codes(1).is_empty());
    harness.iterate();
    // The request may have run, and a retry is harmless for its class.
    assert_eq!(client.answer_codes(1), [REFUSED], "answered in the same iteration");
    assert_eq!(harness.node.engine_counters().opened, 1 + STREAMS_PER_CLIENT as u64);
}

#[test]
fn answer_over_the_output_bound_fails_alone() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let big = vec![b'b'; 60 << 10];
    let mut asked: u32 = 0;
    // The client reads nothing until both the socket's send buffer and the output limit are full.
    while harness.node.counters().over_answers == 0 {
        assert!(asked < 4_096, "the output limit was never reached");
        let streams = asked + 1..=asked + 16;
        asked += 16;
        for stream in streams.clone() {
            send_request(&mut client, stream, u64::from(stream), DEADLINE);
        }
        for stream in streams {
            let conn = harness.wait_for_command(0, "CALL", &wire_id(u64::from(stream)));
            let mut out = Vec::new();
            resp::command(&mut out, &[wire_id(u64::from(stream)).as_bytes(), b"served", b"n=w", &big]);
            let socket = &mut harness.invokers[0].conns[conn].socket;
            while !out.is_empty() {
                match socket.write(&out) {
                    Ok(n) => drop(out.drain(..n)),
                    Err(_) => harness.node.iterate(Some(Duration::ZERO)).expect("polls"),
                }
            }
        }
        harness.until("all requests to end", |harness| {
            let ended = harness.node.engine_counters();
            (ended.served + ended.failed + ended.refused == u64::from(asked)).then_some(())
        });
    }
    // The client reads again: each request has exactly one complete answer, and the connection stays open.
    let frames = harness.until("all answers", |_| {
        let frames = client.frames();
        (frames.len() >= asked as usize).then_some(frames)
    });
    for stream in 1..=asked {
        let of: Vec<_> = frames.iter().filter(|(_, of, _)| *of == stream).collect();
        assert_eq!(of.len(), 1, "stream {stream}");
        let payload = &of[0].2;
        let complete = payload[0] == SERVED && payload.len() == 2 + big.len();
        assert!(complete || payload[0] == FAILED && payload.len() < SHORT_ANSWER_BYTES, "stream {stream}");
    }
    send_request(&mut client, asked + 1, u64::from(asked + 1), DEADLINE);
    assert_eq!(answers(&mut harness, &mut client, asked + 1), [SERVED]);
}

#[test]
fn burst_of_silent_connections_costs_no_request_its_answer() {
    // Half of the 64 descriptors are allotted to clients.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let connections: Vec<Client> = (0..40).map(|_| harness.client()).collect();
    harness.until("the client limit to be exceeded", |harness| {
        (harness.node.counters().over_clients > 0).then_some(())
    });
    // All of them are in the backlog before one iteration.
    let mut clients: Vec<Client> = (0..30).map(|_| harness.client()).collect();
    for (at, client) in clients.iter_mut().enumerate() {
        send_request(client, 1, 1 + at as u64, DEADLINE);
    }
    for client in &mut clients {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
    assert_eq!(harness.node.tcp_counters().over_accepted, 0);
    drop(connections);
}

#[test]
fn newly_accepted_connection_is_not_evicted_by_the_next() {
    // Connections that were used once and stay open reach the client limit.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 64.into());
    let mut stay: Vec<Client> = (0..32).map(|_| harness.client()).collect();
    let mut ready = Vec::new();
    frames::bare(&mut ready, frames::kind::READY, 0);
    for client in &mut stay {
        client.socket.write_all(&ready).expect("written");
    }
    harness.until("all connections to be answered", |_| {
        stay.iter_mut().all(|c| !c.frames().is_empty()).then_some(())
    });
    // Each new connection is accepted in an iteration before its client sends a request.
    let mut clients = Vec::new();
    for _ in 0..22 {
        clients.push(harness.client());
        harness.iterate();
    }
    for (at, client) in clients.iter_mut().enumerate() {
        send_request(client, 1, 1 + at as u64, DEADLINE);
    }
    for client in &mut clients {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
    assert!(harness.node.counters().made_room >= 16, "idle connections were evicted for them");
}

#[test]
fn idle_connections_are_evicted_and_open_requests_stay() {
    // Clients may hold a third of 96 descriptors.
    let mut harness = NodeHarness::start(1, |config| config["limits"]["sockets"] = 96.into());
    let mut busy: Vec<Client> = (0..3).map(|_| harness.client()).collect();
    for (at, client) in busy.iter_mut().enumerate() {
        send_request(client, 1, 1 + at as u64, DEADLINE);
    }
    harness.wait_for_command(0, "CALL", &wire_id(1));
    let mut ready = Vec::new();
    frames::bare(&mut ready, frames::kind::READY, 0);
    let mut stay: Vec<Client> = Vec::new();
    for _ in 0..60 {
        let mut client = harness.client();
        client.socket.write_all(&ready).expect("written");
        harness.until("an answer", |_| (!client.frames().is_empty()).then_some(()));
        stay.push(client);
    }
    let ended = |client: &Client| matches!(client.socket.peek(&mut [0; 1]), Ok(0));
    let open = stay.iter().filter(|client| !ended(client)).count() + busy.len();
    assert!(open < 96 / 3, "{open} connections are open");
    for client in &mut busy {
        assert_eq!(answers(&mut harness, client, 1), [SERVED]);
    }
}
