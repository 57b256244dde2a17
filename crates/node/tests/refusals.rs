//! Requests that are refused without having been opened: for a limit of the node, or because their connection closes
//! for the faults of others. Each sound request gets its answer.

mod common;

use std::io::Write;

use common::harness::{Client, NodeHarness, request, wire_id};
use common::{FAILED, REFUSED, SERVED};
use nettleferry_node::limits::{CONSECUTIVE_FAULTS, STREAMS_PER_CLIENT};
use nettleferry_platform::frames::{self, MAX_BODY_BYTES};

const ROW: u64 = 9;
/// The least memory that a node assumes, megabytes.
const MEMORY_MB: usize = 16;
/// A quarter of the memory may be taken by the bodies of open requests.
const BODY_BOUND: usize = MEMORY_MB << 18;
const BODY: [u8; MAX_BODY_BYTES] = [7; MAX_BODY_BYTES];

/// A node whose bound on bodies is reached by the open requests of some clients.
struct FullNode {
    harness: NodeHarness,
    /// The clients of the open requests. Dropping one cancels its requests.
    holders: Vec<Client>,
}

impl FullNode {
    fn start() -> Self {
        let mut harness = NodeHarness::start(1, |config| {
            config["limits"]["memory_mb"] = MEMORY_MB.into();
            // The requests stay open for the whole test.
            config["settings"]["classes"][0]["deadline_ms"] = 120_000.into();
        });
        let (all, per_client) = (BODY_BOUND / BODY.len(), STREAMS_PER_CLIENT);
        let mut holders = Vec::new();
        for first in (0..all).step_by(per_client) {
            let mut holder = harness.client();
            for n in 0..per_client {
                let id = 1_000 + (first + n) as u64;
                write_to_node(&mut harness, &mut holder, &held_request(n as u32 + 1, id));
            }
            holders.push(holder);
        }
        harness.until("the open requests", |harness| {
            (harness.node.counters().requests == all as u64).then_some(())
        });
        Self { harness, holders }
    }

    /// Ends the requests that hold the bound.
    fn make_room(&mut self) {
        self.holders.clear();
        self.harness.iterate();
        self.harness.iterate();
    }
}

/// A request with a body of the largest size and a long time to live.
fn held_request(stream: u32, id: u64) -> Vec<u8> {
    let (id, row) = (wire_id(id), wire_id(ROW));
    let tags = "memory_mb:9;lanes:64;load_ms:50";
    let fields = [("op", "safe"), ("call", id.as_str()), ("ttl", "120000"), ("row", &row), ("tags", tags)];
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, &BODY);
    out
}

/// A request of a class that does not exist.
fn unusable_request(stream: u32, id: u64) -> Vec<u8> {
    request(stream, "none", id, ROW, b"")
}

/// Writes bytes of any number to a connection, while the node reads.
fn write_to_node(harness: &mut NodeHarness, client: &mut Client, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match client.socket.write(bytes) {
            Ok(n) => bytes = &bytes[n..],
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => harness.iterate(),
            Err(error) => panic!("not written: {error}"),
        }
    }
}

/// Waits until each of these streams has an answer. Returns the codes by stream.
fn codes_of(
    harness: &mut NodeHarness,
    client: &mut Client,
    streams: impl Iterator<Item = u32>,
) -> Vec<Vec<u8>> {
    let streams: Vec<u32> = streams.collect();
    harness.until("an answer on each stream", |_| {
        let codes: Vec<_> = streams.iter().map(|stream| client.answer_codes(*stream)).collect();
        codes.iter().all(|codes| !codes.is_empty()).then_some(codes)
    })
}

/// Guards against sound requests that are lost because the node closes their connection for refusals of its own.
#[test]
fn requests_refused_for_the_bound_on_bodies_do_not_close_their_connection() {
    let mut full = FullNode::start();
    let mut client = full.harness.client();
    // A request without a body is within the bound, and stays open all the while.
    client.send_request(1, "safe", 1, ROW, b"");
    let refused = 2..=3 * CONSECUTIVE_FAULTS;
    for stream in refused.clone() {
        write_to_node(&mut full.harness, &mut client, &held_request(stream, u64::from(stream)));
    }
    let codes = codes_of(&mut full.harness, &mut client, refused.clone());
    assert_eq!(codes, vec![vec![REFUSED]; refused.count()]);
    assert!(client.answer_codes(1).is_empty(), "the open request is not ended for the refusals");
    let count = full.harness.node.counters();
    let over_bodies = u64::from(3 * CONSECUTIVE_FAULTS) - 1;
    assert_eq!((count.over_bodies, count.closed_for_faults, count.bad_requests), (over_bodies, 0, 0));

    full.make_room();
    let next = 3 * CONSECUTIVE_FAULTS + 1;
    write_to_node(&mut full.harness, &mut client, &held_request(next, u64::from(next)));
    for stream in [1, next] {
        full.harness.wait_for_command(0, "CALL", &wire_id(u64::from(stream)));
        full.harness.invokers[0].serve(|command| command[1] == wire_id(u64::from(stream)));
        assert_eq!(codes_of(&mut full.harness, &mut client, stream..=stream), [[SERVED]]);
    }
}

/// Guards against a client that opens requests without end on a connection that a shutdown has to leave.
#[test]
fn client_whose_first_request_is_refused_during_shutdown_gets_go_away() {
    let mut full = FullNode::start();
    full.harness.node.begin_shutdown();
    let mut client = full.harness.client();
    write_to_node(&mut full.harness, &mut client, &held_request(1, 1));
    assert_eq!(codes_of(&mut full.harness, &mut client, 1..=1), [[REFUSED]]);
    full.harness.until("the go-away frame", |_| {
        client.frames().iter().any(|(kind, ..)| *kind == frames::kind::GO_AWAY).then_some(())
    });
}

/// Guards against sound requests that are lost because they were written behind the faults for which their connection
/// closes.
#[test]
fn sound_requests_behind_the_faults_that_close_their_connection_are_refused() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    client.send_request(1, "safe", 1, ROW, b"");
    harness.wait_for_command(0, "CALL", &wire_id(1));
    // All of it arrives before the client can know of the close.
    let faults = 2..=CONSECUTIVE_FAULTS + 2;
    let behind = CONSECUTIVE_FAULTS + 3..=CONSECUTIVE_FAULTS + 6;
    let mut out = Vec::new();
    faults.clone().for_each(|stream| out.extend(unusable_request(stream, u64::from(stream))));
    behind.clone().for_each(|stream| out.extend(request(stream, "safe", u64::from(stream), ROW, b"")));
    client.socket.write_all(&out).expect("written");
    harness.iterate();
    // As does this: the client has read nothing yet.
    let last = CONSECUTIVE_FAULTS + 7;
    client.send_request(last, "safe", u64::from(last), ROW, b"");
    harness.until("the close", |_| client.is_closed().then_some(()));

    let codes = |client: &mut Client, streams: std::ops::RangeInclusive<u32>| -> Vec<Vec<u8>> {
        streams.map(|stream| client.answer_codes(stream)).collect()
    };
    assert_eq!(codes(&mut client, faults.clone()), vec![vec![FAILED]; faults.count()]);
    assert_eq!(codes(&mut client, behind.clone()), vec![vec![REFUSED]; behind.clone().count()]);
    assert_eq!(client.answer_codes(last), [REFUSED]);
    assert_eq!(client.answer_codes(1).len(), 1, "the open request has its final answer");
    let sent: usize = behind.map(|stream| harness.call_count(&wire_id(u64::from(stream)))).sum();
    assert_eq!(sent + harness.call_count(&wire_id(u64::from(last))), 0, "refused: it must not run");
    assert_eq!(harness.node.counters().closed_for_faults, 1);
}

/// Guards against a client that keeps the node at refusing requests on a connection that closes for its faults.
#[test]
fn requests_refused_on_a_closing_connection_are_bounded() {
    let mut harness = NodeHarness::start(1, |_| ());
    let mut client = harness.client();
    let faults = CONSECUTIVE_FAULTS + 1;
    let last_refused = faults + STREAMS_PER_CLIENT as u32;
    let mut out = Vec::new();
    (1..=2 * last_refused).for_each(|stream| out.extend(unusable_request(stream, u64::from(stream))));
    client.socket.write_all(&out).expect("written");
    harness.until("the close", |_| client.is_closed().then_some(()));
    let answered: Vec<(u32, u8)> = client
        .frames()
        .iter()
        .filter(|f| f.0 == frames::kind::ANSWER && f.1 > 0)
        .map(|f| (f.1, f.2[0]))
        .collect();
    let expected = (1..=last_refused).map(|stream| (stream, if stream <= faults { FAILED } else { REFUSED }));
    assert_eq!(answered, expected.collect::<Vec<_>>());
    assert_eq!(harness.node.counters().refused_at_close, STREAMS_PER_CLIENT as u64);
}
