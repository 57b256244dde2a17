//! Clients that cancel or disconnect while the node is stopped (SIGSTOP): after it resumes, it forwards none of their
//! waiting calls.

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

/// How a client leaves.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Cancel,
    HalfClose,
    Close,
    /// Closes the socket with an answer unread, which sends a reset.
    Reset,
}

/// A gate that threads wait at until it is opened, for at most `TEST_TIMEOUT`.
#[derive(Default)]
struct Gate(Mutex<bool>, Condvar);

impl Gate {
    fn open(&self) {
        *self.0.lock().expect("lock is not poisoned") = true;
        self.1.notify_all();
    }

    fn wait(&self) {
        let is_open = self.0.lock().expect("lock is not poisoned");
        drop(self.1.wait_timeout_while(is_open, TEST_TIMEOUT, |open| !*open).expect("lock is not poisoned"));
    }
}

/// Sends a request for a function that has one lane at each invoker. Returns its stream number.
fn ask(client: &mut Client, id: u64, body: &[u8]) -> u32 {
    let id = format!("{id:016x}");
    let tags = "memory_mb:9;lanes:1;load_ms:50";
    let row = "000000000000000b";
    client.send_request_with(
        &[("op", "safe"), ("call", &id), ("ttl", "4000"), ("row", row), ("tags", tags)],
        body,
    )
}

fn until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        std::thread::yield_now();
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn calls_of_clients_that_left_during_a_stop_are_not_forwarded() {
    for departure in [Departure::Cancel, Departure::HalfClose, Departure::Close, Departure::Reset] {
        let gate = Arc::new(Gate::default());
        let call_gate = Arc::clone(&gate);
        let invoker = Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
            "CALL" => {
                if command.parts[3] == b"hold" {
                    call_gate.wait();
                }
                Reaction::Answer("served", "n=w", command.parts[3].clone())
            }
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        });
        let listed = vec![ListedInvoker::new(0, invoker.address)];
        let directory = Directory::start(listed.clone());
        let dir = tempfile::tempdir().expect("temporary folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, config(directory.address, &listed).to_string()).expect("configuration written");
        let node = Node::wait_until_listening(Node::spawn(&path, 256));
        // The function has one lane: the first call occupies it, the others wait.
        let mut first = Client::connect(node.address);
        let warm_up = ask(&mut first, 1, b"x");
        assert_eq!(first.read_answer(warm_up).0, SERVED);
        let running = ask(&mut first, 2, b"hold");
        until("the first call runs", || {
            invoker.received().iter().any(|command| command == "CALL 0000000000000002")
        });
        let mut waiting: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
        let mut ready = Vec::new();
        frames::bare(&mut ready, kind::READY, 0);
        for (index, client) in waiting.iter_mut().enumerate() {
            ask(client, 100 + index as u64, b"y");
            // The READY answer shows that the node has read the request before it. The client leaves it unread.
            client.socket.write_all(&ready).expect("READY frame sent");
            client.socket.peek(&mut [0; 1]).expect("the READY answer arrives");
        }
        node.stop();
        // While the node is stopped, the lane is freed, 20 other requests arrive, and all waiting clients leave.
        gate.open();
        let mut flood: Vec<Client> = (0..20).map(|_| Client::connect(node.address)).collect();
        for (index, client) in flood.iter_mut().enumerate() {
            ask(client, 1_000 + index as u64, b"z");
        }
        let mut open_clients = Vec::new();
        for mut client in waiting {
            match departure {
                Departure::Cancel => {
                    let mut cancel = Vec::new();
                    frames::bare(&mut cancel, kind::CANCEL, 1);
                    client.socket.write_all(&cancel).expect("CANCEL frame sent");
                    open_clients.push(client);
                }
                Departure::HalfClose => {
                    client.socket.shutdown(Shutdown::Write).expect("socket is open");
                    open_clients.push(client);
                }
                Departure::Close => {
                    let _ = client.read_frame();
                }
                Departure::Reset => drop(client),
            }
        }
        node.signal("CONT");
        assert_eq!(first.read_answer(running).0, SERVED);
        // Once all others are served, any call forwarded for a departed client has reached the invoker too.
        for client in &mut flood {
            assert_eq!(client.read_answer(1).0, SERVED, "{departure:?}");
        }
        let received = invoker.received();
        let forwarded: Vec<_> =
            (100..140).map(|id| format!("CALL {id:016x}")).filter(|call| received.contains(call)).collect();
        assert_eq!(forwarded, Vec::<String>::new(), "{departure:?}");
    }
}
