//! Nodes killed with SIGKILL: during startup, and with partly sent answers.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use common::{Client, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, TEST_TIMEOUT, config};
use nettleferry_platform::frames::{self, kind};
use process::Node;

/// Number of times that the node is killed before it is ready.
const KILLED_STARTS: u32 = 12;
/// Size of an answer in bytes.
const ANSWER_BYTES: usize = 60 << 10;
/// Number of requests of a client that reads nothing. Their long answers exceed the capacity of the socket buffers and
/// the node's limit on unsent output together. A request whose long answer would exceed the limit gets a short one.
/// With several hundred requests the short answers would exceed it too, and the node would close the connection, which
/// this test does not cover.
const UNREAD_REQUESTS: u64 = 200;

/// An invoker with long answers, and the configuration of a node with a fixed address and a directory that never
/// responds.
struct Fixture {
    invoker: Invoker,
    address: SocketAddr,
    path: PathBuf,
    _dir: tempfile::TempDir,
    _unresponsive_directory: UdpSocket,
}

impl Fixture {
    fn new() -> Self {
        let invoker = Invoker::start(|command: &ReceivedCommand| match command.keyword() {
            "CALL" => Reaction::Answer("served", "n=w", long_answer(command.id())),
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        });
        let unresponsive_directory = UdpSocket::bind("127.0.0.1:0").expect("a free port");
        let listed = vec![ListedInvoker::new(0, invoker.address)];
        let mut configuration =
            config(unresponsive_directory.local_addr().expect("the socket is bound"), &listed);
        // Fixed, so that each restart listens at the same address.
        let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port");
        configuration["listen"] = address.to_string().into();
        let dir = tempfile::tempdir().expect("temporary folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, configuration.to_string()).expect("configuration written");
        Self { invoker, address, path, _dir: dir, _unresponsive_directory: unresponsive_directory }
    }

    /// Starts the node and waits for its READY answer.
    fn start_node(&self) -> Node {
        let node = Node::wait_until_listening(Node::spawn(&self.path, 256));
        assert_eq!(node.address, self.address);
        let mut client = Client::connect(node.address);
        let mut frame = Vec::new();
        frames::bare(&mut frame, kind::READY, 0);
        client.socket.write_all(&frame).expect("READY frame sent");
        assert_eq!(client.read_frame(), Some((kind::READY_ANSWER, 0, vec![SERVED, 0])));
        node
    }
}

/// The long answer to the request with this id.
fn long_answer(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(ANSWER_BYTES).collect()
}

#[test]
fn node_killed_before_it_is_ready_can_be_restarted() {
    let fixture = Fixture::new();
    for start in 0..KILLED_STARTS {
        let mut child = Node::spawn(&fixture.path, 256);
        // The first node is killed immediately, each later one 1 ms later in its startup.
        let until = Instant::now() + Duration::from_millis(u64::from(start));
        while Instant::now() < until {
            std::thread::yield_now();
        }
        child.kill().expect("child killed");
        child.wait().expect("child reaped");
    }
    let node = fixture.start_node();
    let mut client = Client::connect(node.address);
    let stream = client.send_request("safe", 7, 9, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, long_answer("0000000000000007")));
}

#[test]
fn node_killed_during_an_answer_leaves_no_answer_that_looks_complete() {
    let fixture = Fixture::new();
    let node = fixture.start_node();
    let mut client = Client::connect(node.address);
    // The client reads nothing, so that unsent answers exceed the socket buffers of both sides at the kill.
    let mut sent = 0;
    while sent < UNREAD_REQUESTS {
        for _ in 0..16 {
            sent += 1;
            client.send_request("safe", sent, 9, b"ab");
        }
        let deadline = Instant::now() + TEST_TIMEOUT;
        let calls_received = || {
            let received = fixture.invoker.received();
            received.iter().filter(|command| command.starts_with("CALL")).count() as u64
        };
        while calls_received() < sent {
            assert!(Instant::now() < deadline, "the invoker did not receive all {sent} calls");
            std::thread::yield_now();
        }
    }
    // Dropping the node kills it (SIGKILL) while answers are still being written.
    drop(node);
    let mut received = Vec::new();
    // Bytes already in socket buffers still arrive; then the connection ends, with a FIN or a reset.
    let _ = client.socket.read_to_end(&mut received);
    let (mut rest, mut complete) = (received.as_slice(), 0);
    while let Some((head, after)) = rest.split_first_chunk::<9>() {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 5;
        let Some((payload, after)) = after.split_at_checked(length) else { break };
        rest = after;
        assert_eq!(head[4], kind::ANSWER);
        let id = format!("{:016x}", u32::from_be_bytes([head[5], head[6], head[7], head[8]]));
        if payload[0] == SERVED {
            assert_eq!(payload[2..], long_answer(&id), "a complete answer belongs to its request");
            complete += 1;
        }
    }
    println!("{complete} of {sent} answers are complete, {} bytes of the next one", rest.len());
    assert!(complete > 0 && complete < sent, "{complete} of {sent} answers are complete");
    assert!(!rest.is_empty(), "the last answer is truncated");
    // A restarted node at the same address serves new requests through the same invoker.
    let node = fixture.start_node();
    let mut client = Client::connect(node.address);
    let stream = client.send_request("safe", sent + 1, 9, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, long_answer(&format!("{:016x}", sent + 1))));
}
