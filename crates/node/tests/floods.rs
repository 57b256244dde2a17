//! A client that floods its connection must not delay clients on other connections.

mod common;

use std::io::{ErrorKind, Write};

use common::SERVED;
use common::disconnect::serve_call;
use common::harness::{Client, NodeHarness, request, wire_id};
use nettleferry_net::tcp::TcpLimits;
use nettleferry_platform::frames;

const ROW: u64 = 9;

/// Builds one message of a flood, for a stream.
type Kind = fn(u32) -> Vec<u8>;

/// A request that is cancelled at once.
fn cancelled(stream: u32) -> Vec<u8> {
    let mut out = request(stream, "safe", 1 << 40 | u64::from(stream), ROW, &[7; 200]);
    frames::bare(&mut out, frames::kind::CANCEL, stream);
    out
}

/// A query whether the controller is ready.
fn ready_queries(stream: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frames::bare(&mut out, frames::kind::READY, stream);
    out
}

/// A large frame of an unknown type, which the node skips.
fn oversized(_: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frames::request(&mut out, 1, &[], &[0; 60_000]);
    out[4] = 9;
    out
}

/// A client that floods its connection.
struct Flood {
    client: Client,
    kind: Kind,
    queued: Vec<u8>,
    next: u32,
    written: usize,
}

impl Flood {
    /// Writes until the socket accepts no more. Reads the answers, so that only the input of the node is flooded.
    fn fill(&mut self) {
        loop {
            if self.queued.is_empty() {
                for _ in 0..64 {
                    self.next += 1;
                    self.queued.extend((self.kind)(self.next));
                }
            }
            match self.client.socket.write(&self.queued) {
                Ok(n) => {
                    self.written += n;
                    self.queued.drain(..n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                // The node has closed the connection.
                Err(_) => break,
            }
        }
        self.client.frames();
    }
}

#[test]
fn flood_on_one_connection_does_not_delay_other_clients() {
    // The requests that one iteration may read from a connection; its last read may exceed the quota.
    let max_requests = (TcpLimits::default().read_quota * 5 / 4 / cancelled(1).len()) as u64 + 1;
    for kind in [cancelled as Kind, ready_queries, oversized] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut other = harness.client();
        serve_call(&mut harness, &mut other, 77, ROW);
        let client = harness.client();
        harness.iterate();
        harness.iterate();
        let mut flood = Flood { client, kind, queued: Vec::new(), next: 0, written: 0 };
        for id in 100..108 {
            flood.fill();
            other.send_request(id as u32, "safe", id, ROW, b"");
            // The iteration that reads the other client's request reads a bounded part of the flood.
            let before = harness.node.counters().requests;
            harness.iterate();
            let accepted = harness.node.counters().requests - before;
            assert!(
                accepted <= max_requests,
                "{accepted} requests in one iteration, {max_requests} are allowed"
            );
            assert!(
                harness.node.engine_counters().opened >= id - 98,
                "{id} is not opened in the iteration that reads it"
            );
            let mut iterations = 0;
            while other.answer_codes(id as u32).is_empty() {
                iterations += 1;
                assert!(iterations < 100, "{id} is not served during the flood");
                flood.fill();
                harness.iterate();
                harness.invokers[0].serve(|command| command[1] == wire_id(id));
            }
            assert_eq!(other.answer_codes(id as u32), [SERVED]);
        }
        assert!(flood.written > 1 << 20, "{} bytes are too few for a flood", flood.written);
        let sent = harness.invokers[0].conns.iter().flat_map(|c| &c.commands);
        let flooded =
            sent.filter(|command| command[0].starts_with("CALL") && command[1].starts_with("00000100"));
        assert_eq!(flooded.count(), 0, "requests cancelled in the same data are not forwarded");
        assert_eq!(
            harness.node.engine_counters().opened,
            9,
            "requests cancelled in the same data are not opened"
        );
    }
}
