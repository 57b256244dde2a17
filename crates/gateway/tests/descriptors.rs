//! Processes whose clients take all the descriptors that they can get while the directory says nothing, and processes
//! that start all at once.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream, UdpSocket};
use std::process::Child;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, mpsc};
use std::time::{Duration, Instant};

use common::{
    Client, Directory, Invoker, ListedInvoker, Reaction, ReceivedCommand, SERVED, TEST_TIMEOUT, config,
};
use nettleferry_platform::frames::{self, kind};
use process::Node;

/// The least number of descriptors that a node is made for.
const DESCRIPTORS: usize = 64;
/// The platform's term for a process that was started anew.
const READY_WITHIN: Duration = Duration::from_secs(10);

fn good(command: &ReceivedCommand) -> Reaction {
    match command.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Ignore,
    }
}

/// A socket that takes queries and says nothing.
fn silent() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = socket.local_addr().expect("bound");
    (socket, address)
}

/// Connections that send nothing, or ask once whether it is ready and stay: 12 at a time, each as soon as the one before
/// it was closed, until told to stop.
fn flood(address: SocketAddr, stop: Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<usize>> {
    let one = move |at: usize, stop: Arc<AtomicBool>| {
        let mut held: std::collections::VecDeque<TcpStream> = std::collections::VecDeque::new();
        let mut made = 0;
        while !stop.load(Ordering::Acquire) && made < 50_000 {
            if let Ok(mut socket) = TcpStream::connect(address) {
                if at.is_multiple_of(2) {
                    let mut word = Vec::new();
                    frames::bare(&mut word, kind::READY, 0);
                    let _ = socket.write_all(&word);
                }
                held.push_back(socket);
                made += 1;
            }
            if held.len() > 12
                && let Some(mut old) = held.pop_front()
            {
                // Until it is closed, or has stayed: the system's queue of new connections is not to overflow.
                let _ = old.set_read_timeout(Some(Duration::from_millis(20)));
                let _ = old.read(&mut [0; 64]);
            }
        }
        made
    };
    (0..8)
        .map(|at| (at, Arc::clone(&stop)))
        .map(|(at, stop)| std::thread::spawn(move || one(at, stop)))
        .collect()
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn clients_that_take_every_descriptor_during_a_directory_outage_delay_nothing() {
    let (release, held) = mpsc::channel::<()>();
    let held = std::sync::Mutex::new(held);
    let first = Invoker::start(move |command| {
        if command.keyword() == "CALL" && command.parts[3] == b"long" {
            held.lock().expect("no panic holds it").recv_timeout(TEST_TIMEOUT).expect("released");
        }
        good(command)
    });
    let second = Invoker::start(good);
    let listed = |all: &[&Invoker]| -> Vec<_> {
        all.iter().map(|i| ListedInvoker::new(i.address.port().into(), i.address)).collect()
    };
    let (_quiet, nowhere) = silent();
    let mut configuration = config(nowhere, &listed(&[&first]));
    configuration["limits"]["sockets"] = DESCRIPTORS.into();
    // Its long call is no longer than its time, and its silence no reason to look elsewhere.
    for class in configuration["settings"]["classes"].as_array_mut().expect("classes") {
        (class["deadline_ms"], class["goal_time_ms"]) = (60_000.into(), 30_000.into());
    }
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).expect("written");
    let node = Node::of(Node::spawn(&path, DESCRIPTORS));
    let fields = |id: &'static str| {
        let tags = "memory_mb:9;lanes:4;load_ms:50";
        [("op", "safe"), ("call", id), ("ttl", "20000"), ("row", "000000000000000b"), ("tags", tags)]
    };
    let mut long = Client::connect(node.address);
    let stream = long.send_request_with(&fields("00000000000000aa"), b"long");
    let stop = Arc::new(AtomicBool::new(false));
    let crowd = flood(node.address, Arc::clone(&stop));
    let mut next = 0x100;
    let mut served = |step: &str| {
        for _ in 0..20 {
            next += 1;
            let mut client = Client::connect(node.address);
            let stream = client.send_request("safe", next, next, b"ab");
            assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()), "{step}");
        }
        let (files, memory) = node.holds();
        println!("{step}: {files} of {DESCRIPTORS} descriptors, {memory} KiB resident");
        assert!(files <= DESCRIPTORS, "{step}");
    };
    served("the directory is silent");
    // Moved: what it says there is heard.
    let directory = Directory::start(listed(&[&first, &second]));
    directory.change(listed(&[&second]));
    configuration["resolver"] = directory.address.to_string().into();
    std::fs::write(&path, configuration.to_string()).expect("written");
    node.signal("HUP");
    let end = Instant::now() + TEST_TIMEOUT;
    while !second.received().iter().any(|got| got.starts_with("CALL")) {
        assert!(Instant::now() < end, "the new list is heard");
        served("the directory has moved");
    }
    // A new list at the same address, and another move.
    directory.change(listed(&[&first]));
    let before = first.received().len();
    while first.received().len() == before {
        assert!(Instant::now() < end, "the next list is heard");
        served("the directory is back");
    }
    release.send(()).expect("it waits");
    assert_eq!(long.read_answer(stream), (SERVED, b"long".to_vec()), "who has a request open is not closed");
    stop.store(true, Ordering::Release);
    let made: usize = crowd.into_iter().map(|thread| thread.join().expect("no panic")).sum();
    println!("{made} idle connections came");
    assert!(made > 20 * DESCRIPTORS, "the descriptors were wanted over and over: {made}");
}

#[test]
fn processes_that_start_together_are_ready_in_time_whatever_the_directory_does() {
    let invoker = Invoker::start(good);
    // A long list, which each of them reads at its start.
    let mut listed: Vec<_> = (0..400)
        .map(|at| ListedInvoker { id: format!("s-{at:08x}"), address: invoker.address, draining: true })
        .collect();
    let ready = ListedInvoker { id: "s-ready".to_owned(), address: invoker.address, draining: false };
    listed.push(ready.clone());
    let (_quiet, nowhere) = silent();
    let gone = silent().1;
    let up = Directory::start(vec![ready]);
    let dir = tempfile::tempdir().expect("a folder");
    let configs: Vec<_> = (0..30)
        .map(|at| {
            let path = dir.path().join(format!("{at}.json"));
            let configuration = config([nowhere, gone, up.address][at % 3], &listed);
            std::fs::write(&path, configuration.to_string()).expect("written");
            path
        })
        .collect();
    let began = Instant::now();
    let started: Vec<Child> = configs.iter().map(|path| Node::spawn(path, 256)).collect();
    let waits: Vec<_> = started
        .into_iter()
        .map(|child| {
            std::thread::spawn(move || {
                let node = Node::of(child);
                let mut client = Client::connect(node.address);
                let mut word = Vec::new();
                frames::bare(&mut word, kind::READY, 0);
                client.socket.write_all(&word).expect("written");
                assert_eq!(client.read_frame(), Some((kind::READY_ANSWER, 0, vec![SERVED, 0])));
                let ready = began.elapsed();
                // Said to be ready, it takes a request.
                let stream = client.send_request("safe", 7, 7, b"ab");
                let code = client.read_answer(stream).0;
                (ready, code)
            })
        })
        .collect();
    let mut all: Vec<_> = waits.into_iter().map(|wait| wait.join().expect("no panic")).collect();
    all.sort();
    println!("ready: median {:?}, the 27th of 30 {:?}, the last {:?}", all[15].0, all[26].0, all[29].0);
    assert!(all[26].0 <= READY_WITHIN, "nine in ten of them: {all:?}");
    assert!(all.iter().all(|(_, code)| *code == SERVED), "{all:?}");
}
