//! A client that sends without end on its connection, beside sound clients on theirs.

mod common;

use std::io::{ErrorKind, Write};

use common::SERVED;
use common::disconnect::served;
use common::harness::{Client, NodeHarness, name, request};
use nettleferry_net::tcp::TcpLimits;
use nettleferry_platform::frames;

const ROW: u64 = 9;

/// What a flood consists of, for so many streams from this one on.
type Kind = fn(u32) -> Vec<u8>;

/// Requests that are withdrawn at once.
fn withdrawn(stream: u32) -> Vec<u8> {
    let mut out = request(stream, "safe", 1 << 40 | u64::from(stream), ROW, &[7; 200]);
    frames::bare(&mut out, frames::kind::CANCEL, stream);
    out
}

/// Questions whether it is ready.
fn questions(stream: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frames::bare(&mut out, frames::kind::READY, stream);
    out
}

/// A frame of a type that is skipped, as long as may be.
fn long(_: u32) -> Vec<u8> {
    let mut out = Vec::new();
    frames::request(&mut out, 1, &[], &[0; 60_000]);
    out[4] = 9;
    out
}

struct Flood {
    client: Client,
    kind: Kind,
    queued: Vec<u8>,
    next: u32,
    written: usize,
}

impl Flood {
    /// Writes until the system takes no more. Its answers are read, so that nothing but its input is at stake.
    fn pour(&mut self) {
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
                // It was closed for what it sent.
                Err(_) => break,
            }
        }
        self.client.frames();
    }
}

#[test]
fn flood_on_one_connection_does_not_delay_other_clients() {
    // So many fit into what a turn reads of one connection: its last piece may go beyond the bound.
    let most = (TcpLimits::default().read_quota * 5 / 4 / withdrawn(1).len()) as u64 + 1;
    for kind in [withdrawn as Kind, questions, long] {
        let mut harness = NodeHarness::start(1, |_| ());
        let mut sound = harness.client();
        served(&mut harness, &mut sound, 77, ROW);
        let client = harness.client();
        harness.turn();
        harness.turn();
        let mut flood = Flood { client, kind, queued: Vec::new(), next: 0, written: 0 };
        for id in 100..108 {
            flood.pour();
            sound.ask(id as u32, "safe", id, ROW, b"");
            // The turn that finds it there reads so much of the flood, and no more.
            let before = harness.node.counters().requests;
            harness.turn();
            let taken = harness.node.counters().requests - before;
            assert!(taken <= most, "{taken} requests in one turn, {most} at the most");
            assert!(harness.node.engine_counters().opened >= id - 98, "{id}: in the turn that finds it");
            let mut turns = 0;
            while sound.codes(id as u32).is_empty() {
                turns += 1;
                assert!(turns < 100, "{id} is not served beside the flood");
                flood.pour();
                harness.turn();
                harness.invokers[0].serve(|got| got[1] == name(id));
            }
            assert_eq!(sound.codes(id as u32), [SERVED]);
        }
        assert!(flood.written > 1 << 20, "{} bytes are no flood", flood.written);
        let sent = harness.invokers[0].conns.iter().flat_map(|c| &c.got);
        let flooded = sent.filter(|got| got[0].starts_with("CALL") && got[1].starts_with("00000100"));
        assert_eq!(flooded.count(), 0, "what is withdrawn with its bytes is not sent on");
        assert_eq!(harness.node.engine_counters().opened, 9, "nor opened");
    }
}
