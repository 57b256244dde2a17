//! Processes that are killed outright: before they are ready, and with answers half sent.

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

/// Lives of one name that end before they are ready.
const LIVES: u32 = 12;
/// Bytes of an answer.
const BIG: usize = 60 << 10;
/// Requests of a client that reads nothing: their answers are more than the system holds and the node's output bound
/// together. A request whose long answer finds no room gets a short one, and of several hundred these fill the bound
/// as well: the node then closes the connection, which is its rule and not what is shown here.
const UNREAD_REQUESTS: u64 = 200;

/// An invoker whose answers are long, and the configuration of a node at an address of its own, whose directory says
/// nothing.
struct Place {
    invoker: Invoker,
    address: SocketAddr,
    path: PathBuf,
    _dir: tempfile::TempDir,
    _silent: UdpSocket,
}

impl Place {
    fn new() -> Self {
        let invoker = Invoker::start(|command: &ReceivedCommand| match command.keyword() {
            "CALL" => Reaction::Answer("served", "n=w", long(command.id())),
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        });
        let silent = UdpSocket::bind("127.0.0.1:0").expect("a port");
        let listed = vec![ListedInvoker::new(0, invoker.address)];
        let mut configuration = config(silent.local_addr().expect("bound"), &listed);
        // An address that its later lives have as well.
        let address = TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port");
        configuration["listen"] = address.to_string().into();
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, configuration.to_string()).expect("written");
        Self { invoker, address, path, _dir: dir, _silent: silent }
    }

    /// A life that says that it is ready, and is.
    fn ready(&self) -> Node {
        let node = Node::of(Node::spawn(&self.path, 256));
        assert_eq!(node.address, self.address);
        let mut client = Client::connect(node.address);
        let mut word = Vec::new();
        frames::bare(&mut word, kind::READY, 0);
        client.socket.write_all(&word).expect("written");
        assert_eq!(client.read_frame(), Some((kind::READY_ANSWER, 0, vec![SERVED, 0])));
        node
    }
}

/// The answer to a request with this id.
fn long(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(BIG).collect()
}

#[test]
fn node_killed_before_it_is_ready_can_be_restarted() {
    let place = Place::new();
    for life in 0..LIVES {
        let mut child = Node::spawn(&place.path, 256);
        // At once, and ever later into its start.
        let until = Instant::now() + Duration::from_millis(u64::from(life));
        while Instant::now() < until {
            std::thread::yield_now();
        }
        child.kill().expect("ours");
        child.wait().expect("ours");
    }
    let node = place.ready();
    let mut client = Client::connect(node.address);
    let stream = client.send_request("safe", 7, 9, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, long("0000000000000007")));
}

#[test]
fn node_killed_during_an_answer_leaves_no_answer_that_looks_complete() {
    let place = Place::new();
    let node = place.ready();
    let mut client = Client::connect(node.address);
    // It reads nothing: more than the system holds on both sides is on its way when the process is killed.
    let mut asked = 0;
    while asked < UNREAD_REQUESTS {
        for _ in 0..16 {
            asked += 1;
            client.send_request("safe", asked, 9, b"ab");
        }
        let end = Instant::now() + TEST_TIMEOUT;
        while (place.invoker.received().iter().filter(|got| got.starts_with("CALL")).count() as u64) < asked {
            assert!(Instant::now() < end, "{asked} are sent on");
            std::thread::yield_now();
        }
    }
    // Its own request, whose answer has only begun to come to the process.
    drop(node);
    let mut all = Vec::new();
    // What was on its way still comes; then the connection ends, in order or by a reset.
    let _ = client.socket.read_to_end(&mut all);
    let (mut rest, mut whole) = (all.as_slice(), 0);
    while let Some((head, after)) = rest.split_first_chunk::<9>() {
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize - 5;
        let Some((payload, after)) = after.split_at_checked(length) else { break };
        rest = after;
        assert_eq!(head[4], kind::ANSWER);
        let id = format!("{:016x}", u32::from_be_bytes([head[5], head[6], head[7], head[8]]));
        if payload[0] == SERVED {
            assert_eq!(payload[2..], long(&id), "a whole answer is its own");
            whole += 1;
        }
    }
    println!("{whole} of {asked} answers are whole, {} bytes of the next", rest.len());
    assert!(whole > 0 && whole < asked, "{whole} of {asked}");
    assert!(!rest.is_empty(), "the last one was cut");
    // Its next life, at the same address, serves the request that was cut, and the invoker has lost nothing else.
    let node = place.ready();
    let mut client = Client::connect(node.address);
    let stream = client.send_request("safe", asked + 1, 9, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, long(&format!("{:016x}", asked + 1))));
}
