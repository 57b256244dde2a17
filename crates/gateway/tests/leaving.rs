//! Clients that leave while the process is stopped: when it goes on, nothing more is begun for them.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::io::Write;
use std::net::Shutdown;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Instant;

use common::{
    Client, Directory, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, TEST_TIMEOUT, config,
};
use nettleferry_platform::frames::{self, kind};
use process::Node;

#[derive(Clone, Copy, Debug)]
enum Leaves {
    Withdraws,
    HalfCloses,
    Closes,
    /// It closes with an answer unread.
    Resets,
}

/// A gate that invokers wait at.
#[derive(Default)]
struct Gate(Mutex<bool>, Condvar);

impl Gate {
    fn open(&self) {
        *self.0.lock().expect("no panic holds it") = true;
        self.1.notify_all();
    }
    fn wait(&self) {
        let closed = self.0.lock().expect("no panic holds it");
        drop(self.1.wait_timeout_while(closed, TEST_TIMEOUT, |open| !*open).expect("no panic holds it"));
    }
}

fn ask(client: &mut Client, id: u64, body: &[u8]) -> u32 {
    let id = format!("{id:016x}");
    let tags = "memory_mb:9;lanes:1;load_ms:50";
    let row = "000000000000000b";
    client.send_request_with(
        &[("op", "safe"), ("call", &id), ("ttl", "4000"), ("row", row), ("tags", tags)],
        body,
    )
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        std::thread::yield_now();
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn calls_of_clients_that_left_during_a_stop_are_not_forwarded() {
    for way in [Leaves::Withdraws, Leaves::HalfCloses, Leaves::Closes, Leaves::Resets] {
        let gate = Arc::new(Gate::default());
        let held = Arc::clone(&gate);
        let invoker = Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
            "CALL" => {
                if command.parts[3] == b"hold" {
                    held.wait();
                }
                Reaction::Answer("served", "n=w", command.parts[3].clone())
            }
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        });
        let listed = vec![ListedInvoker::new(0, invoker.address)];
        let directory = Directory::start(listed.clone());
        let dir = tempfile::tempdir().expect("a folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config(directory.address, &listed).to_string()).expect("written");
        let node = Node::of(Node::spawn(&path, 256));
        // The function has one lane: the first has it, the others wait.
        let mut first = Client::connect(node.address);
        let warm = ask(&mut first, 1, b"x");
        assert_eq!(first.read_answer(warm).0, SERVED);
        let runs = ask(&mut first, 2, b"hold");
        until("the first runs", || invoker.received().iter().any(|got| got == "CALL 0000000000000002"));
        let mut waits: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
        let mut ready = Vec::new();
        frames::bare(&mut ready, kind::READY, 0);
        for (at, client) in waits.iter_mut().enumerate() {
            ask(client, 100 + at as u64, b"y");
            // Its answer shows that the request before it was read, and lies there unread from here on.
            client.socket.write_all(&ready).expect("written");
            client.socket.peek(&mut [0; 1]).expect("answered");
        }
        node.stop();
        // While it does not run, the lane is freed, a flood of others comes, and all that wait leave.
        gate.open();
        let mut flood: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
        for (at, client) in flood.iter_mut().enumerate() {
            ask(client, 1_000 + at as u64, b"z");
        }
        let mut kept = Vec::new();
        for mut client in waits {
            match way {
                Leaves::Withdraws => {
                    let mut out = Vec::new();
                    frames::bare(&mut out, kind::CANCEL, 1);
                    client.socket.write_all(&out).expect("written");
                    kept.push(client);
                }
                Leaves::HalfCloses => {
                    client.socket.shutdown(Shutdown::Write).expect("open");
                    kept.push(client);
                }
                Leaves::Closes => {
                    let _ = client.read_frame();
                }
                Leaves::Resets => drop(client),
            }
        }
        node.signal("CONT");
        assert_eq!(first.read_answer(runs).0, SERVED);
        // All others are served: by then anything that was sent on has come.
        for client in &mut flood {
            assert_eq!(client.read_answer(1).0, SERVED, "{way:?}");
        }
        let sent = invoker.received();
        let late: Vec<_> =
            (100..140).map(|id| format!("CALL {id:016x}")).filter(|id| sent.contains(id)).collect();
        assert_eq!(late, Vec::<String>::new(), "{way:?}");
    }
}
