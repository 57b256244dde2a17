//! Clients and invokers that have gone: nothing is sent for a client that has closed its connection, an id runs once, and
//! a new process at an invoker's old address gets no work before a list names it.

#[path = "common/abuse.rs"]
mod abuse;
#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use abuse::{Abuse, BURST, connect, new_names, request};
use common::{
    Client, Directory, FAILED, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, TEST_TIMEOUT,
    config, read_command,
};
use nettleferry_platform::resp;
use process::Node;

/// File descriptors in the settings and of the process.
const DESCRIPTORS: usize = 1_024;
/// An attempt may begin this long after its client has closed, with the platform's slack on sockets.
const AFTER_CLOSE: Duration = Duration::from_millis(150);

/// A node process with its directory.
struct Platform {
    node: Node,
    directory: Directory,
    _dir: tempfile::TempDir,
}

impl Platform {
    fn start(listed: &[ListedInvoker], directory: Directory) -> Self {
        let mut configuration = config(directory.address, listed);
        configuration["limits"] = serde_json::json!({"cores": 1, "memory_mb": 64, "sockets": DESCRIPTORS});
        let dir = tempfile::tempdir().expect("temporary folder");
        let path = dir.path().join("config.json");
        std::fs::write(&path, configuration.to_string()).expect("configuration written");
        let node = Node::wait_until_listening(Node::spawn(&path, DESCRIPTORS));
        Self { node, directory, _dir: dir }
    }

    fn with(invokers: &[&Invoker]) -> Self {
        let listed: Vec<_> =
            invokers.iter().enumerate().map(|(at, i)| ListedInvoker::new(at, i.address)).collect();
        Self::start(&listed, Directory::start(listed.clone()))
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + TEST_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::yield_now();
    }
}

#[test]
fn request_of_a_client_that_closed_is_not_sent_afterwards() {
    const LEAVING: u64 = 1 << 62;
    let calls = Arc::new(Mutex::new(Vec::<(u64, Instant)>::new()));
    let record = Arc::clone(&calls);
    let invoker = Invoker::start(move |command: &ReceivedCommand| match command.keyword() {
        "CALL" => {
            let id = u64::from_str_radix(command.id(), 16).unwrap_or(0);
            record.lock().expect("lock is not poisoned").push((id, Instant::now()));
            Reaction::Answer("served", "n=w", vec![])
        }
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        _ => Reaction::Ignore,
    });
    let platform = Platform::with(&[&invoker]);
    let address = platform.node.address;
    let abuse = Abuse::start(6, move |thread, round| new_names(address, thread, round));
    abuse.wait_until_done(4_000, TEST_TIMEOUT);
    let mut closed = Vec::new();
    for round in 0..40 {
        let mut clients: Vec<TcpStream> = (0..3).filter_map(|_| connect(address)).collect();
        for (number, client) in (0..).zip(&mut clients) {
            let first = LEAVING | round << 16 | number << 8;
            let build = |stream: u32| {
                let id = first | u64::from(stream);
                request(stream, "safe", id, id, &[], &[7; 16 << 10])
            };
            let bytes: Vec<u8> = (1..=BURST + 1).flat_map(build).collect();
            let _ = client.write_all(&bytes);
            let _ = client.shutdown(Shutdown::Both);
            closed.push((first, Instant::now()));
        }
        drop(clients);
        std::thread::sleep(Duration::from_millis(20));
    }
    let rest = abuse.done.load(Ordering::Acquire) + 1_000;
    abuse.wait_until_done(rest, TEST_TIMEOUT);
    abuse.finish();
    let calls = calls.lock().expect("lock is not poisoned");
    let late: Vec<Duration> = closed
        .iter()
        .flat_map(|(first, closed)| {
            let own = calls.iter().filter(move |(id, _)| id >> 8 == first >> 8);
            own.map(|(_, at)| at.saturating_duration_since(*closed)).filter(|after| *after > AFTER_CLOSE)
        })
        .collect();
    println!(
        "{} calls of {} requests, longest {:?}",
        calls.iter().filter(|(id, _)| id >> 62 == 1).count(),
        closed.len() * 32,
        closed
            .iter()
            .flat_map(|(first, closed)| calls
                .iter()
                .filter(move |(id, _)| id >> 8 == first >> 8)
                .map(|(_, at)| at.saturating_duration_since(*closed)))
            .max()
    );
    assert!(late.is_empty(), "{} requests were sent after their client had closed: {late:?}", late.len());
}

#[test]
fn id_that_comes_again_after_its_client_left_runs_once() {
    let invoker = Invoker::start(|command: &ReceivedCommand| match command.keyword() {
        "CALL" if command.parts[3] == b"held" => Reaction::Ignore,
        "CALL" => Reaction::Answer("served", "n=w", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        _ => Reaction::Ignore,
    });
    let platform = Platform::with(&[&invoker]);
    let received = |text: &str| invoker.received().iter().filter(|command| *command == text).count();
    for id in 1..=8 {
        let mut client = Client::connect(platform.node.address);
        client.send_request("once", id, 9, b"held");
        wait_until("the call to be sent", || received(&format!("CALL {id:016x}")) > 0);
        drop(client);
        wait_until("the call to be cancelled", || received(&format!("CANCEL {id:016x}")) > 0);
        let mut client = Client::connect(platform.node.address);
        let stream = client.send_request("once", id, 9, b"again");
        assert_eq!(
            client.read_answer(stream).0,
            FAILED,
            "an id that may have run is not refused as harmless"
        );
        assert_eq!(received(&format!("CALL {id:016x}")), 1, "an id of a class that may run once ran twice");
    }
}

/// An invoker's process, which can end and leave its address to another one.
struct Process {
    address: SocketAddr,
    /// Bodies of the calls received.
    calls: Arc<Mutex<Vec<Vec<u8>>>>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

impl Process {
    /// Listens on `address`. A function is loaded once it was ordered from this process.
    fn start(address: &str) -> Self {
        let mut listener = TcpListener::bind(address);
        wait_until("the address", || {
            if listener.is_err() {
                listener = TcpListener::bind(address);
            }
            listener.is_ok()
        });
        let listener = listener.expect("bound");
        listener.set_nonblocking(true).expect("socket option set");
        let address = listener.local_addr().expect("bound");
        let calls = Arc::new(Mutex::new(Vec::new()));
        let sockets = Arc::new(Mutex::new(Vec::<TcpStream>::new()));
        let ended = Arc::new(AtomicBool::new(false));
        let loaded = Arc::new(Mutex::new(BTreeSet::new()));
        let (all_calls, all_sockets, has_ended) =
            (Arc::clone(&calls), Arc::clone(&sockets), Arc::clone(&ended));
        std::thread::spawn(move || {
            while !has_ended.load(Ordering::Acquire) {
                let Ok((socket, _)) = listener.accept() else {
                    std::thread::yield_now();
                    continue;
                };
                socket.set_nonblocking(false).expect("socket option set");
                all_sockets.lock().expect("lock is not poisoned").push(socket.try_clone().expect("a handle"));
                let (calls, loaded) = (Arc::clone(&all_calls), Arc::clone(&loaded));
                std::thread::spawn(move || Self::serve(socket, &calls, &loaded));
            }
        });
        Self { address, calls, sockets, ended }
    }

    fn serve(mut socket: TcpStream, calls: &Mutex<Vec<Vec<u8>>>, loaded: &Mutex<BTreeSet<String>>) {
        let mut reader = BufReader::new(socket.try_clone().expect("a handle"));
        while let Some(parts) = read_command(&mut reader) {
            let text = |at: usize| String::from_utf8_lossy(&parts[at]).into_owned();
            let field = |name: &str| {
                let value = text(2).split(',').find_map(|field| field.strip_prefix(name).map(str::to_owned));
                value.unwrap_or_default()
            };
            let (kind, fields) = match text(0).as_str() {
                "CALL" => {
                    calls.lock().expect("lock is not poisoned").push(parts[3].clone());
                    let warm = loaded.lock().expect("lock is not poisoned").contains(&field("asset="));
                    if warm { ("served", "n=w".to_owned()) } else { ("not_here", "-".to_owned()) }
                }
                "LOAD" => {
                    let mut loaded = loaded.lock().expect("lock is not poisoned");
                    if field("instances=") != "0" {
                        loaded.insert(field("asset="));
                    }
                    ("served", format!("instances={}", u8::from(loaded.contains(&field("asset=")))))
                }
                "PING" | "STATS" => ("green", "-".to_owned()),
                _ => continue,
            };
            let mut out = Vec::new();
            resp::command(&mut out, &[&parts[1], kind.as_bytes(), fields.as_bytes(), b""]);
            let _ = socket.write_all(&out);
        }
    }

    /// Ends the process: nothing listens any more, and its connections end.
    fn end(&self) {
        self.ended.store(true, Ordering::Release);
        for socket in self.sockets.lock().expect("lock is not poisoned").drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    fn calls(&self) -> usize {
        self.calls.lock().expect("lock is not poisoned").len()
    }
}

#[test]
fn new_process_at_an_old_address_gets_no_work_before_a_list_names_it() {
    let old = Process::start("127.0.0.1:0");
    let other = Process::start("127.0.0.1:0");
    let listed = [ListedInvoker::new(0, old.address), ListedInvoker::new(1, other.address)];
    let platform = Platform::start(&listed, Directory::start(listed.to_vec()));
    let mut client = Client::connect(platform.node.address);
    let mut id = 0;
    let mut send = |functions: std::ops::Range<u64>| {
        for function in functions {
            id += 1;
            let stream = client.send_request("safe", id, function, b"x");
            assert_eq!(client.read_answer(stream).0, SERVED, "each request is served");
        }
    };
    // Sixteen functions have their homes at both invokers.
    wait_until("calls at both invokers", || {
        send(1..17);
        old.calls() > 0 && other.calls() > 0
    });
    old.end();
    let new = Process::start(&old.address.to_string());
    // The directory hears of the new process late, as the platform permits.
    let listed_at = Instant::now() + Duration::from_millis(900);
    while Instant::now() < listed_at {
        send(1..17);
    }
    assert_eq!(new.calls(), 0, "a process that no list had named got calls that were meant for the old one");
    let successor = ListedInvoker { id: "s-2".to_owned(), ..ListedInvoker::new(0, new.address) };
    platform.directory.change(vec![successor, ListedInvoker::new(1, other.address)]);
    // Of the functions that nobody has called yet some have their homes there.
    let mut next = 100;
    wait_until("a call at the new process", || {
        next += 1;
        send(next..next + 1);
        new.calls() > 0
    });
}
