//! Nodes whose clients exhaust the file descriptors during a directory outage, and many nodes that start at the same
//! time.

#[path = "../../node/tests/common/mod.rs"]
mod common;
#[path = "common/process.rs"]
mod process;

use std::collections::VecDeque;
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

/// The smallest limit on descriptors that a node supports.
const DESCRIPTORS: usize = 64;
/// Time within which the platform requires a restarted process to be ready.
const READY_WITHIN: Duration = Duration::from_secs(10);

/// Serves every command.
fn serve_all(command: &ReceivedCommand) -> Reaction {
    match command.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Ignore,
    }
}

/// A bound socket that never responds, like a directory during an outage, and its address.
fn unresponsive_directory() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = socket.local_addr().expect("the socket is bound");
    (socket, address)
}

/// Opens idle connections from 8 threads until stopped; every other thread sends one READY per connection. Each thread
/// keeps 12 connections open and opens the next one after it has closed its oldest. It returns how many it opened.
fn flood(address: SocketAddr, stop: Arc<AtomicBool>) -> Vec<std::thread::JoinHandle<usize>> {
    let open_connections = move |thread: usize, stop: Arc<AtomicBool>| {
        let mut open: VecDeque<TcpStream> = VecDeque::new();
        let mut opened = 0;
        while !stop.load(Ordering::Acquire) && opened < 50_000 {
            if let Ok(mut socket) = TcpStream::connect(address) {
                if thread.is_multiple_of(2) {
                    let mut frame = Vec::new();
                    frames::bare(&mut frame, kind::READY, 0);
                    let _ = socket.write_all(&frame);
                }
                open.push_back(socket);
                opened += 1;
            }
            if open.len() > 12
                && let Some(mut oldest) = open.pop_front()
            {
                // Waits until the node closes it, for at most 20 ms, so that the accept queue does not overflow.
                let _ = oldest.set_read_timeout(Some(Duration::from_millis(20)));
                let _ = oldest.read(&mut [0; 64]);
            }
        }
        opened
    };
    (0..8)
        .map(|thread| (thread, Arc::clone(&stop)))
        .map(|(thread, stop)| std::thread::spawn(move || open_connections(thread, stop)))
        .collect()
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario over several processes, step by step")]
fn clients_that_take_every_descriptor_during_a_directory_outage_delay_nothing() {
    let (release, released) = mpsc::channel::<()>();
    let released = std::sync::Mutex::new(released);
    let first = Invoker::start(move |command| {
        if command.keyword() == "CALL" && command.parts[3] == b"long" {
            released
                .lock()
                .expect("lock is not poisoned")
                .recv_timeout(TEST_TIMEOUT)
                .expect("the test releases the call");
        }
        serve_all(command)
    });
    let second = Invoker::start(serve_all);
    let listed = |invokers: &[&Invoker]| -> Vec<_> {
        invokers
            .iter()
            .map(|invoker| ListedInvoker::new(invoker.address.port().into(), invoker.address))
            .collect()
    };
    let (_unresponsive_socket, unresponsive) = unresponsive_directory();
    let mut configuration = config(unresponsive, &listed(&[&first]));
    configuration["limits"]["sockets"] = DESCRIPTORS.into();
    // The long call stays within its deadline, and its latency objective causes no second attempt.
    for class in configuration["settings"]["classes"].as_array_mut().expect("an array of classes") {
        (class["deadline_ms"], class["goal_time_ms"]) = (60_000.into(), 30_000.into());
    }
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("config.json");
    std::fs::write(&path, configuration.to_string()).expect("configuration written");
    let node = Node::wait_until_listening(Node::spawn(&path, DESCRIPTORS));
    let fields = |id: &'static str| {
        let tags = "memory_mb:9;lanes:4;load_ms:50";
        [("op", "safe"), ("call", id), ("ttl", "20000"), ("row", "000000000000000b"), ("tags", tags)]
    };
    let mut long = Client::connect(node.address);
    let stream = long.send_request_with(&fields("00000000000000aa"), b"long");
    let stop = Arc::new(AtomicBool::new(false));
    let flood_threads = flood(node.address, Arc::clone(&stop));
    let mut next_id = 0x100;
    let mut assert_serves = |step: &str| {
        for _ in 0..20 {
            next_id += 1;
            let mut client = Client::connect(node.address);
            let stream = client.send_request("safe", next_id, next_id, b"ab");
            assert_eq!(client.read_answer(stream), (SERVED, b"ab".to_vec()), "{step}");
        }
        let (files, memory) = node.resource_usage();
        println!("{step}: {files} of {DESCRIPTORS} descriptors, {memory} KiB resident");
        assert!(files <= DESCRIPTORS, "{step}");
    };
    assert_serves("the directory does not respond");
    // The directory moves: the node must use the list from the new address.
    let directory = Directory::start(listed(&[&first, &second]));
    directory.change(listed(&[&second]));
    configuration["resolver"] = directory.address.to_string().into();
    std::fs::write(&path, configuration.to_string()).expect("configuration written");
    node.signal("HUP");
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !second.received().iter().any(|command| command.starts_with("CALL")) {
        assert!(Instant::now() < deadline, "the list from the new address is not used");
        assert_serves("the directory has moved");
    }
    // A new list at the same address.
    directory.change(listed(&[&first]));
    let received_before = first.received().len();
    while first.received().len() == received_before {
        assert!(Instant::now() < deadline, "the next list is not used");
        assert_serves("the directory has another list");
    }
    release.send(()).expect("the invoker waits");
    assert_eq!(
        long.read_answer(stream),
        (SERVED, b"long".to_vec()),
        "a connection with an open request is not closed"
    );
    stop.store(true, Ordering::Release);
    let opened: usize =
        flood_threads.into_iter().map(|thread| thread.join().expect("thread did not panic")).sum();
    println!("{opened} idle connections were opened");
    assert!(opened > 20 * DESCRIPTORS, "too few connections to use up all descriptors repeatedly: {opened}");
}

#[test]
fn processes_that_start_together_are_ready_in_time_whatever_the_directory_does() {
    let invoker = Invoker::start(serve_all);
    // A long list, which each node reads at startup.
    let mut listed: Vec<_> = (0..400)
        .map(|index| ListedInvoker { id: format!("s-{index:08x}"), address: invoker.address, draining: true })
        .collect();
    let ready = ListedInvoker { id: "s-ready".to_owned(), address: invoker.address, draining: false };
    listed.push(ready.clone());
    let (_unresponsive_socket, unresponsive) = unresponsive_directory();
    let closed_port = unresponsive_directory().1;
    let responsive = Directory::start(vec![ready]);
    let dir = tempfile::tempdir().expect("temporary folder");
    let configs: Vec<_> = (0..30)
        .map(|index| {
            let path = dir.path().join(format!("{index}.json"));
            let configuration = config([unresponsive, closed_port, responsive.address][index % 3], &listed);
            std::fs::write(&path, configuration.to_string()).expect("configuration written");
            path
        })
        .collect();
    let started_at = Instant::now();
    let children: Vec<Child> = configs.iter().map(|path| Node::spawn(path, 256)).collect();
    let threads: Vec<_> = children
        .into_iter()
        .map(|child| {
            std::thread::spawn(move || {
                let node = Node::wait_until_listening(child);
                let mut client = Client::connect(node.address);
                let mut frame = Vec::new();
                frames::bare(&mut frame, kind::READY, 0);
                client.socket.write_all(&frame).expect("READY frame sent");
                assert_eq!(client.read_frame(), Some((kind::READY_ANSWER, 0, vec![SERVED, 0])));
                let ready = started_at.elapsed();
                // A node that reports to be ready must serve a request.
                let stream = client.send_request("safe", 7, 7, b"ab");
                let code = client.read_answer(stream).0;
                (ready, code)
            })
        })
        .collect();
    let mut results: Vec<_> =
        threads.into_iter().map(|thread| thread.join().expect("thread did not panic")).collect();
    results.sort();
    println!(
        "ready: median {:?}, the 27th of 30 {:?}, the last {:?}",
        results[15].0, results[26].0, results[29].0
    );
    assert!(results[26].0 <= READY_WITHIN, "nine in ten nodes must be ready in time: {results:?}");
    assert!(results.iter().all(|(_, code)| *code == SERVED), "{results:?}");
}
