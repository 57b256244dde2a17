//! The node on loopback: clients, invokers and a directory that do well, and that do not.

mod common;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use common::*;
use nettleferry_platform::{frames, resp};

/// Holds every function, serves every call with its body turned round.
fn good(received: &ReceivedCommand) -> Reaction {
    match received.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", received.parts[3].iter().rev().copied().collect()),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Ignore,
    }
}

/// As [`good`], but each call with the body "slow" waits until it is released.
fn gated() -> (Invoker, mpsc::Sender<()>) {
    let (release, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let invoker = Invoker::start(move |received| {
        if received.keyword() == "CALL" && received.parts[3] == b"slow" {
            wait.lock().expect("no panic holds it").recv_timeout(TEST_TIMEOUT).expect("released");
        }
        good(received)
    });
    (invoker, release)
}

#[test]
fn call_returns_the_body_of_the_invoker() {
    let invoker = Invoker::start(good);
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let mut word = Vec::new();
    frames::bare(&mut word, frames::kind::READY, 0);
    client.socket.write_all(&word).expect("written");
    assert_eq!(client.frame(), Some((frames::kind::READY_ANSWER, 0, vec![SERVED, 0])));
    let streams: Vec<u32> = (0..20).map(|n| client.ask("safe", n + 1, n % 3, &[1, 2, n as u8])).collect();
    for (n, stream) in streams.into_iter().enumerate().rev() {
        assert_eq!(client.answer(stream), (SERVED, vec![n as u8, 2, 1]));
    }
}

#[test]
fn miss_is_followed_by_a_load_order_and_the_call_is_served() {
    let loaded = Arc::new(AtomicBool::new(false));
    let held = Arc::clone(&loaded);
    let invoker = Invoker::start(move |received| match received.keyword() {
        "CALL" if !held.load(Ordering::Acquire) => Reaction::Answer("not_here", "-", vec![]),
        "LOAD" => {
            held.store(true, Ordering::Release);
            Reaction::Answer("served", "instances=1", vec![])
        }
        _ => good(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let stream = client.ask("once", 7, 9, b"ab");
    assert_eq!(client.answer(stream), (SERVED, b"ba".to_vec()));
    let got = invoker.got();
    let words: Vec<_> = got.iter().map(|g| g.split(' ').next().unwrap_or("")).collect();
    assert_eq!(words, ["CALL", "LOAD", "CALL"]);
}

#[test]
fn broken_connection_fails_only_its_own_unsafe_call() {
    let broke = AtomicBool::new(false);
    let invoker = Invoker::start(move |received| match received.keyword() {
        "CALL" if received.parts[3] == b"break" && !broke.swap(true, Ordering::AcqRel) => Reaction::Close,
        _ => good(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.ask("once", 1, 9, b"fine");
    assert_eq!(client.answer(first).0, SERVED);
    let lost = client.ask("once", 2, 9, b"break");
    assert_eq!(client.answer(lost).0, FAILED, "it may have run");
    // The only worker is neither barred nor cold: a probe found its process alive.
    for id in 3..9 {
        let next = client.ask("once", id, 9, b"fine");
        assert_eq!(client.answer(next).0, SERVED);
    }
    let got = invoker.got();
    assert_eq!(got.iter().filter(|g| g.as_str() == "CALL 0000000000000002").count(), 1, "once: {got:?}");
    assert!(got.iter().any(|g| g.starts_with("PING")));
}

#[test]
fn invalid_responses_are_not_forwarded_and_safe_calls_are_retried() {
    let spoils: Vec<Vec<u8>> = vec![
        b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
        b"*1000000000\r\n".to_vec(),
        b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$1\r\n-\r\n$3000000000\r\nxxxx".to_vec(),
        b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$1\r\n-\r\n$9\r\nhal".to_vec(),
        b"*4\r\n$99999999999999999999999999".to_vec(),
    ];
    let count = spoils.len() as u64;
    let spoilt = AtomicUsize::new(0);
    let invoker = Invoker::start(move |received| {
        let spoil = received.keyword() == "CALL" && received.parts[3] == b"spoil";
        match spoil.then(|| spoilt.fetch_add(1, Ordering::AcqRel)) {
            // Every second one: a try that follows is served.
            Some(n) if n % 2 == 0 => Reaction::Write(spoils[n / 2 % spoils.len()].clone()),
            _ => good(received),
        }
    });
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    for id in 1..=count {
        let stream = client.ask("safe", id, 9, b"spoil");
        assert_eq!(client.answer(stream), (SERVED, b"liops".to_vec()));
    }
    assert_eq!(node.stop().bad_answers, count);
}

#[test]
fn surplus_responses_are_not_matched_to_other_requests() {
    let invoker = Invoker::start(|received| match received.keyword() {
        "CALL" => {
            let mut out = Vec::new();
            resp::command(&mut out, &[b"ffffffffffffffff", b"served", b"-", b"of nobody"]);
            for _ in 0..2 {
                resp::command(&mut out, &[&received.parts[1], b"served", b"n=w", &received.parts[3]]);
            }
            Reaction::Write(out)
        }
        _ => good(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    for id in 1..30 {
        let stream = client.ask("safe", id, 9, &[id as u8]);
        assert_eq!(client.answer(stream), (SERVED, vec![id as u8]));
    }
}

#[test]
fn unresponsive_connection_is_closed_when_a_probe_is_answered_elsewhere() {
    // The connection on which the body "hang" came says nothing any more; others do.
    let hung = Arc::new(AtomicUsize::new(usize::MAX));
    let invoker = Invoker::start(move |received| {
        if received.keyword() == "CALL"
            && received.parts[3] == b"hang"
            && hung.load(Ordering::Acquire) == usize::MAX
        {
            hung.store(received.connection, Ordering::Release);
        }
        if hung.load(Ordering::Acquire) == received.connection { Reaction::Ignore } else { good(received) }
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.ask("safe", 1, 9, b"fine");
    assert_eq!(client.answer(first).0, SERVED);
    let stream = client.ask("safe", 2, 9, b"hang");
    assert_eq!(client.answer(stream), (SERVED, b"gnah".to_vec()), "tried again within its time");
}

#[test]
fn invalid_client_input_is_answered_or_closed_and_affects_no_other_client() {
    let invoker = Invoker::start(good);
    let mut node = RunningNode::start(&[&invoker]);
    let mut sound = node.client();
    let stream = sound.ask("safe", 4, 2, b"ab");
    assert_eq!(sound.answer(stream).0, SERVED);
    let id = "00000000000000aa";
    let bad: [&[(&str, &str)]; 5] = [
        &[("op", "safe"), ("ttl", "100"), ("row", id)],
        &[("op", "none"), ("call", id), ("ttl", "100"), ("row", id)],
        &[("op", "safe"), ("call", id), ("ttl", "-100"), ("row", id)],
        &[("op", "safe"), ("call", id), ("ttl", "100000"), ("row", id)],
        &[("op", "safe"), ("call", id), ("ttl", "100"), ("row", id), ("tags", "lanes:x")],
    ];
    let mut client = node.client();
    for fields in bad {
        let stream = client.ask_with(fields, b"");
        assert_eq!(client.answer(stream).0, FAILED, "{fields:?}");
    }
    let long = client.ask("safe", 1, 2, &[0; 100_000]);
    assert_eq!(client.answer(long).0, FAILED, "skipped, not kept");
    let after = client.ask("safe", 1, 2, b"ab");
    assert_eq!(client.answer(after), (SERVED, b"ba".to_vec()), "and what follows is read");

    for length in [0u32, 4, 60_000_000, u32::MAX] {
        let mut client = node.client();
        client.socket.write_all(&length.to_be_bytes()).expect("written");
        assert!(matches!(client.frame(), Some((frames::kind::ANSWER, 0, _))));
        assert_eq!(client.frame(), None, "closed");
    }
    // Two requests under one number, and more than 32 at once.
    let mut twice = Vec::new();
    for _ in 0..2 {
        frames::request(&mut twice, 1, &[("op", "safe")], b"");
    }
    let mut client = node.client();
    client.socket.write_all(&twice).expect("written");
    assert!(matches!(client.frame(), Some((frames::kind::ANSWER, 1, _))));
    assert!(matches!(client.frame(), Some((frames::kind::ANSWER, 0, _))));
    assert_eq!(client.frame(), None);
    // One that ends its side after a whole request has one answer, at once, and the end: what becomes of its request
    // is in `crossings.rs`, where the turn in which the end is seen is the test's.
    let mut halved = node.client();
    let stream = halved.ask("safe", 6, 2, b"ab");
    halved.socket.shutdown(std::net::Shutdown::Write).expect("open");
    let (kind, on, _) = halved.frame().expect("its answer");
    assert_eq!((kind, on), (frames::kind::ANSWER, stream));
    assert_eq!(halved.frame(), None, "closed after the last answer");
    // One that sends nothing, and one that stops within a frame.
    let mut silent = node.client();
    let mut halfway = node.client();
    halfway.socket.write_all(&[0, 0, 1]).expect("written");
    assert!(matches!(silent.frame(), Some((frames::kind::ANSWER, 0, _))));
    assert!(matches!(halfway.frame(), Some((frames::kind::ANSWER, 0, _))));

    let stream = sound.ask("safe", 5, 2, b"ab");
    assert_eq!(sound.answer(stream).0, SERVED);
    let count = node.stop();
    assert_eq!((count.bad_requests, count.closed_for_faults, count.closed_for_silence), (7, 5, 2));
}

#[test]
fn requests_over_the_bound_are_refused_and_open_ones_answered() {
    let (invoker, release) = gated();
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let streams: Vec<u32> = (1..=32).map(|id| client.ask("safe", id, id, b"slow")).collect();
    for id in 33..=50 {
        let stream = client.ask("safe", id, id, b"slow");
        if id <= 40 {
            assert_eq!(client.answer(stream).0, REFUSED);
        }
    }
    // The connection is given up for what it went on to send: what is open there has one answer at once, while the
    // invoker still has it.
    for stream in streams {
        assert!(matches!(client.answer(stream).0, REFUSED | FAILED), "{stream}");
    }
    while let Some((_, stream, _)) = client.frame() {
        assert!(stream == 0 || stream > 32, "{stream}");
    }
    for _ in 0..64 {
        let _ = release.send(());
    }
}

#[test]
fn request_cancelled_in_the_same_bytes_never_starts() {
    let invoker = Invoker::start(good);
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let mut both = Vec::new();
    let fields = [("op", "safe"), ("call", "00000000000000aa"), ("ttl", "3000"), ("row", "0000000000000009")];
    for stream in 1..=20 {
        frames::request(&mut both, stream, &fields, b"ab");
        frames::bare(&mut both, frames::kind::CANCEL, stream);
    }
    frames::request(&mut both, 21, &fields, b"ab");
    client.socket.write_all(&both).expect("written");
    assert_eq!(client.answer(21), (SERVED, b"ba".to_vec()));
    assert_eq!(invoker.got().iter().filter(|g| g.starts_with("CALL")).count(), 1, "{:?}", invoker.got());
}

#[test]
fn stray_response_in_two_parts_does_not_end_its_connection() {
    let mut stray = Vec::new();
    resp::command(&mut stray, &[b"ffffffffffffffff", b"served", b"-", b"of nobody"]);
    let (first, rest) = (stray[..20].to_vec(), stray[20..].to_vec());
    let invoker = Invoker::start(move |received| {
        let mut out = Vec::new();
        match (received.keyword(), received.parts.get(3).map(Vec::as_slice)) {
            ("CALL", Some(b"split")) => {
                resp::command(&mut out, &[&received.parts[1], b"served", b"n=w", b"1"]);
                out.extend_from_slice(&first);
                Reaction::Write(out)
            }
            ("CALL", Some(b"rest")) => {
                out.extend_from_slice(&rest);
                resp::command(
                    &mut out,
                    &[&received.parts[1], b"served", b"n=w", received.connection.to_string().as_bytes()],
                );
                Reaction::Write(out)
            }
            ("CALL", Some(b"late")) => {
                Reaction::Answer("served", "n=w", received.connection.to_string().into_bytes())
            }
            _ => good(received),
        }
    });
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let split = client.ask("safe", 1, 9, b"split");
    assert_eq!(client.answer(split).0, SERVED);
    let rest = client.ask("safe", 2, 9, b"rest");
    let (_, one) = client.answer(rest);
    // Beyond the time in which an answer must have come whole.
    let until = std::time::Instant::now() + nettleferry_node::limits::RESPONSE_TIMEOUT * 2;
    let mut id = 3;
    while std::time::Instant::now() < until {
        let late = client.ask("safe", id, 9, b"late");
        assert_eq!(client.answer(late), (SERVED, one.clone()), "on the same connection");
        id += 1;
    }
    assert_eq!(node.stop().bad_answers, 0);
}

#[test]
fn last_answers_are_sent_before_the_process_ends() {
    let (invoker, release) = gated();
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.ask("safe", 1, 9, b"fine");
    assert_eq!(client.answer(first).0, SERVED);
    let slow = client.ask("safe", 2, 9, b"slow");
    while !invoker.got().iter().any(|g| g.ends_with('2')) {
        std::thread::yield_now();
    }
    node.begin_shutdown();
    assert_eq!(client.frame(), Some((frames::kind::GO_AWAY, 0, vec![])));
    // What comes on a new connection is served all the same.
    let mut late = node.client();
    let stream = late.ask("safe", 3, 9, b"ab");
    assert_eq!(late.answer(stream).0, SERVED);
    release.send(()).expect("it waits");
    assert_eq!(client.answer(slow), (SERVED, b"wols".to_vec()));
    assert_eq!(node.ended().requests, 3);
}

#[test]
fn draining_invoker_gets_no_new_requests() {
    let (one, two) = (Invoker::start(good), Invoker::start(good));
    let node = RunningNode::start(&[&one]);
    let mut client = node.client();
    let first = client.ask("safe", 1, 9, b"ab");
    assert_eq!(client.answer(first).0, SERVED);
    node.directory.change(vec![
        ListedInvoker { draining: true, ..ListedInvoker::new(0, one.address) },
        ListedInvoker::new(1, two.address),
    ]);
    let mut id = 1;
    while two.got().is_empty() {
        id += 1;
        let stream = client.ask("safe", id, 9, b"ab");
        assert_eq!(client.answer(stream).0, SERVED);
    }
    let before = one.got().len();
    for id in 10_000..10_020 {
        let stream = client.ask("safe", id, id, b"ab");
        assert_eq!(client.answer(stream).0, SERVED);
    }
    assert_eq!(one.got().len(), before);
}
