//! A new configuration, a list in which an invoker drains, and the word to end, in every order one right behind another:
//! what is open is answered, what comes is served by the newest list, and the process ends in order.

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

/// What comes, one right behind another.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Word {
    /// SIGHUP: the directory has another address.
    Reload,
    /// The list: one invoker drains, another is new.
    Drain,
    /// SIGTERM.
    End,
}

const ORDERS: [[Word; 3]; 6] = [
    [Word::Reload, Word::Drain, Word::End],
    [Word::Reload, Word::End, Word::Drain],
    [Word::Drain, Word::Reload, Word::End],
    [Word::Drain, Word::End, Word::Reload],
    [Word::End, Word::Reload, Word::Drain],
    [Word::End, Word::Drain, Word::Reload],
];

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

/// An invoker that serves with the body that it got, and holds what says so until the gate opens.
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

fn calls(invoker: &Invoker) -> usize {
    invoker.received().iter().filter(|got| got.starts_with("CALL")).count()
}

fn plays(order: [Word; 3]) {
    let gate = Arc::new(Gate::default());
    let (old, new) = (invoker(&gate), invoker(&gate));
    let at_first = vec![ListedInvoker::new(0, old.address)];
    let (here, there) = (Directory::start(at_first.clone()), Directory::start(at_first.clone()));
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    let mut configuration = config(here.address, &at_first);
    std::fs::write(&path, configuration.to_string()).expect("written");
    let mut node = Node::of(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    let held = client.send_request("once", 1, 9, b"hold");
    let end = Instant::now() + TEST_TIMEOUT;
    while calls(&old) == 0 {
        assert!(Instant::now() < end, "{order:?}: it runs");
        std::thread::yield_now();
    }
    configuration["resolver"] = there.address.to_string().into();
    std::fs::write(&path, configuration.to_string()).expect("written");
    let list = vec![
        ListedInvoker { draining: true, ..ListedInvoker::new(0, old.address) },
        ListedInvoker::new(1, new.address),
    ];
    let (began, mut reloaded) = (Instant::now(), false);
    for word in order {
        match word {
            Word::Reload => {
                node.signal("HUP");
                reloaded = true;
            }
            Word::Drain => {
                // Where the directory has moved, its old address tells nothing new.
                there.change(list.clone());
                if !reloaded {
                    here.change(list.clone());
                }
            }
            Word::End => node.signal("TERM"),
        }
    }
    println!("{order:?} within {:?}", began.elapsed());
    // What comes on an open connection is served, and soon by the new one alone.
    let mut id = 100;
    let mut next = |client: &mut Client| {
        id += 1;
        let stream = client.send_request("safe", id, id, b"ab");
        assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()), "{order:?}");
    };
    while calls(&new) == 0 {
        assert!(Instant::now() < end, "{order:?}: the list is heard");
        next(&mut client);
    }
    let before = calls(&old);
    (0..5).for_each(|_| next(&mut client));
    assert_eq!(calls(&old), before, "{order:?}: nothing new goes to one that drains");
    // So is what comes on a new connection, which is asked for no more.
    let mut late = Client::connect(node.address);
    let stream = late.send_request("safe", 50, 50, b"ab");
    assert_eq!(late.read_frame(), Some((kind::GO_AWAY, 0, vec![])), "{order:?}");
    assert_eq!(late.read_answer(stream), (SERVED, b"ab".to_vec()), "{order:?}");
    gate.open();
    assert_eq!(client.read_answer(held), (SERVED, b"hold".to_vec()), "{order:?}: what was open is answered");
    assert_eq!(node.ended().code(), Some(0), "{order:?}");
    assert_eq!(client.read_frame(), None, "{order:?}: its connection ends with the process");
}

#[test]
fn reload_drain_and_stop_within_50_ms_in_every_order_lose_no_call() {
    let plays = ORDERS.map(|order| std::thread::spawn(move || plays(order)));
    for play in plays {
        play.join().expect("no panic");
    }
}

/// The time that an invoker was told for a call, milliseconds.
fn patience(command: &ReceivedCommand) -> Option<u64> {
    let fields = String::from_utf8_lossy(&command.parts[2]);
    fields.split(',').find_map(|field| field.strip_prefix("patience="))?.parse().ok()
}

#[test]
fn request_after_a_sigterm_that_came_during_a_stop_has_no_time_beyond_the_kill() {
    // Guards against a kill that is counted from when a stopped process goes on, and not from its signal.
    let told = Arc::new(Mutex::new(Vec::new()));
    let invoker = {
        let told = Arc::clone(&told);
        Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
            "CALL" => {
                told.lock().expect("no panic holds it").extend(patience(command));
                Reaction::Answer("served", "n=w", vec![])
            }
            "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
            "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
            _ => Reaction::Ignore,
        })
    };
    let listed = vec![ListedInvoker::new(0, invoker.address)];
    let directory = Directory::start(listed.clone());
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, config(directory.address, &listed).to_string()).expect("written");
    let node = Node::of(Node::spawn(&path, 256));
    let mut client = Client::connect(node.address);
    let warm = client.send_request("safe", 1, 9, b"");
    assert_eq!(client.read_answer(warm).0, SERVED);
    node.stop();
    let signalled = Instant::now();
    node.signal("TERM");
    let wait_until = |after: Duration| {
        while signalled.elapsed() < after {
            std::thread::yield_now();
        }
    };
    wait_until(Duration::from_millis(600));
    node.signal("CONT");
    // Later than the platform lets requests come: this one must have its answer before the kill.
    wait_until(KILL_GRACE + Duration::from_millis(200));
    let late = client.send_request("safe", 2, 9, b"");
    assert_eq!(client.read_answer(late).0, SERVED);
    let sent = signalled.elapsed();
    let told = *told.lock().expect("no panic holds it").last().expect("it ran");
    let kill = LONGEST_COUNTED_DEADLINE + KILL_GRACE;
    let asked = KILL_GRACE + Duration::from_millis(200);
    assert!(asked + Duration::from_millis(told) <= kill, "told {told} ms between {asked:?} and {sent:?}");
}
