//! A configuration reload, a list with a draining invoker, and SIGTERM within milliseconds of each other, in every
//! order. Open requests are answered, new ones are served by the newest list, and the process exits with code 0.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use common::{
    Client, Directory, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, TEST_TIMEOUT, config,
};
use nettleferry_node::limits::{KILL_GRACE, LONGEST_COUNTED_DEADLINE};
use nettleferry_platform::frames::kind;
use process::Node;

/// An event that a test sends to the node. Those of one order follow each other without a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trigger {
    /// SIGHUP, with a configuration that names another directory.
    Reload,
    /// A new list, in which the old invoker drains and another one is added.
    Drain,
    /// SIGTERM.
    Terminate,
}

const ORDERS: [[Trigger; 3]; 6] = [
    [Trigger::Reload, Trigger::Drain, Trigger::Terminate],
    [Trigger::Reload, Trigger::Terminate, Trigger::Drain],
    [Trigger::Drain, Trigger::Reload, Trigger::Terminate],
    [Trigger::Drain, Trigger::Terminate, Trigger::Reload],
    [Trigger::Terminate, Trigger::Reload, Trigger::Drain],
    [Trigger::Terminate, Trigger::Drain, Trigger::Reload],
];

/// Blocks waiting threads until it is opened, for at most `TEST_TIMEOUT`.
#[derive(Default)]
struct Gate(Mutex<bool>, Condvar);

impl Gate {
    fn open(&self) {
        *self.0.lock().expect("lock is not poisoned") = true;
        self.1.notify_all();
    }
    fn wait(&self) {
        let closed = self.0.lock().expect("lock is not poisoned");
        drop(self.1.wait_timeout_while(closed, TEST_TIMEOUT, |open| !*open).expect("lock is not poisoned"));
    }
}

/// An invoker that echoes the request body; it answers the body `hold` only once the gate is open.
fn invoker(gate: &Arc<Gate>) -> Invoker {
    let gate = Arc::clone(gate);
    Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
        "CALL" => {
            if command.parts[3] == b"hold" {
                gate.wait();
            }
            Reaction::Answer("served", "n=w", command.parts[3].clone())
        }
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Ignore,
    })
}

/// Number of calls that an invoker has received.
fn calls(invoker: &Invoker) -> usize {
    invoker.received().iter().filter(|command| command.starts_with("CALL")).count()
}

fn wait_until_called(invoker: &Invoker, deadline: Instant, order: [Trigger; 3]) {
    while calls(invoker) == 0 {
        assert!(Instant::now() < deadline, "{order:?}: the invoker received no call");
        std::thread::yield_now();
    }
}

/// A request on a new connection is served, after a GOAWAY that asks the client to send no more.
fn assert_new_connection_is_served(node: &Node, order: [Trigger; 3]) {
    let mut client = Client::connect(node.address);
    let stream = client.send_request("safe", 50, 50, b"ab");
    assert_eq!(client.read_frame(), Some((kind::GO_AWAY, 0, vec![])), "{order:?}");
    assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()), "{order:?}");
}

fn run_order(order: [Trigger; 3]) {
    let gate = Arc::new(Gate::default());
    let (old, new) = (invoker(&gate), invoker(&gate));
    let first_list = vec![ListedInvoker::new(0, old.address)];
    let (old_directory, new_directory) =
        (Directory::start(first_list.clone()), Directory::start(first_list.clone()));
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    let mut configuration = config(old_directory.address, &first_list);
    std::fs::write(&path, configuration.to_string()).expect("configuration written");
    let mut node = Node::wait_until_listening(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    let held_request = client.send_request("once", 1, 9, b"hold");
    let deadline = Instant::now() + TEST_TIMEOUT;
    wait_until_called(&old, deadline, order);
    configuration["resolver"] = new_directory.address.to_string().into();
    std::fs::write(&path, configuration.to_string()).expect("configuration written");
    let list = vec![
        ListedInvoker { draining: true, ..ListedInvoker::new(0, old.address) },
        ListedInvoker::new(1, new.address),
    ];
    let (started, mut reloaded) = (Instant::now(), false);
    for trigger in order {
        match trigger {
            Trigger::Reload => {
                node.signal("HUP");
                reloaded = true;
            }
            Trigger::Drain => {
                // After a reload the node must use the new directory, so the old one does not get the new list.
                new_directory.change(list.clone());
                if !reloaded {
                    old_directory.change(list.clone());
                }
            }
            Trigger::Terminate => node.signal("TERM"),
        }
    }
    println!("{order:?} within {:?}", started.elapsed());
    // Requests on an open connection are served, and soon by the new invoker alone.
    let mut id = 100;
    let mut send_next = |client: &mut Client| {
        id += 1;
        let stream = client.send_request("safe", id, id, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()), "{order:?}");
    };
    while calls(&new) == 0 {
        assert!(Instant::now() < deadline, "{order:?}: the new invoker received no call");
        send_next(&mut client);
    }
    let calls_before = calls(&old);
    (0..5).for_each(|_| send_next(&mut client));
    assert_eq!(calls(&old), calls_before, "{order:?}: the draining invoker must get no new calls");
    assert_new_connection_is_served(&node, order);
    gate.open();
    assert_eq!(
        client.read_answer(held_request),
        (SERVED, b"hold".to_vec()),
        "{order:?}: the open request is answered"
    );
    assert_eq!(node.ended().code(), Some(0), "{order:?}");
    assert_eq!(client.read_frame(), None, "{order:?}: the connection ends with the process");
}

#[test]
fn reload_drain_and_stop_within_50_ms_in_every_order_lose_no_call() {
    let threads = ORDERS.map(|order| std::thread::spawn(move || run_order(order)));
    for thread in threads {
        thread.join().expect("no assertion fails in the thread of this order");
    }
}

/// The `patience` field of a command: the time that the invoker has for the call, in milliseconds.
fn patience_ms(command: &ReceivedCommand) -> Option<u64> {
    let fields = String::from_utf8_lossy(&command.parts[2]);
    fields.split(',').find_map(|field| field.strip_prefix("patience="))?.parse().ok()
}

#[test]
fn request_after_a_sigterm_that_came_during_a_stop_has_no_time_beyond_the_kill() {
    // Guards against counting the time until the kill from when a stopped process resumes instead of from the SIGTERM.
    let patiences_ms = Arc::new(Mutex::new(Vec::new()));
    let invoker = {
        let patiences_ms = Arc::clone(&patiences_ms);
        Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
            "CALL" => {
                patiences_ms.lock().expect("lock is not poisoned").extend(patience_ms(command));
                Reaction::Answer("served", "n=w", vec![])
            }
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        })
    };
    let listed = vec![ListedInvoker::new(0, invoker.address)];
    let directory = Directory::start(listed.clone());
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, config(directory.address, &listed).to_string()).expect("configuration written");
    let node = Node::wait_until_listening(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    let warm_up = client.send_request("safe", 1, 9, b"");
    assert_eq!(client.read_answer(warm_up).0, SERVED);
    node.stop();
    let signalled_at = Instant::now();
    node.signal("TERM");
    let wait_until = |after: Duration| {
        while signalled_at.elapsed() < after {
            std::thread::yield_now();
        }
    };
    wait_until(Duration::from_millis(600));
    node.signal("CONT");
    // A request that arrives later than KILL_GRACE after SIGTERM must be answered before the kill.
    wait_until(KILL_GRACE + Duration::from_millis(200));
    let late = client.send_request("safe", 2, 9, b"");
    assert_eq!(client.read_answer(late).0, SERVED);
    let answered_after = signalled_at.elapsed();
    let patience_ms =
        *patiences_ms.lock().expect("lock is not poisoned").last().expect("the call reached the invoker");
    let kill_after = LONGEST_COUNTED_DEADLINE + KILL_GRACE;
    let sent_after = KILL_GRACE + Duration::from_millis(200);
    assert!(
        sent_after + Duration::from_millis(patience_ms) <= kill_after,
        "{patience_ms} ms for a call that was sent at least {sent_after:?} after SIGTERM; \
         it was answered after {answered_after:?}"
    );
}
