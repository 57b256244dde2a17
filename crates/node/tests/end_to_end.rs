//! A node on the loopback interface, with clients, invokers and a directory that behave well or badly.

mod common;
use std::io::Write;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, mpsc};

use common::*;
use nettleferry_platform::{frames, resp};

/// The reaction of an invoker that has every function loaded and serves every call with its body reversed.
fn serve_all(received: &ReceivedCommand) -> Reaction {
    match received.keyword() {
        "CALL" => Reaction::Answer("served", "n=w", received.parts[3].iter().rev().copied().collect()),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        _ => Reaction::Ignore,
    }
}

/// An invoker that reacts as [`serve_all`], but delays each call with the body "slow" until the test releases it.
fn gated_invoker() -> (Invoker, mpsc::Sender<()>) {
    let (release, wait) = mpsc::channel::<()>();
    let wait = std::sync::Mutex::new(wait);
    let invoker = Invoker::start(move |received| {
        if received.keyword() == "CALL" && received.parts[3] == b"slow" {
            wait.lock().expect("not poisoned").recv_timeout(TEST_TIMEOUT).expect("released");
        }
        serve_all(received)
    });
    (invoker, release)
}

#[test]
fn call_returns_the_body_of_the_invoker() {
    let invoker = Invoker::start(serve_all);
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let mut query = Vec::new();
    frames::bare(&mut query, frames::kind::READY, 0);
    client.socket.write_all(&query).expect("written");
    assert_eq!(client.read_frame(), Some((frames::kind::READY_ANSWER, 0, vec![SERVED, 0])));
    let streams: Vec<u32> =
        (0..20).map(|n| client.send_request("safe", n + 1, n % 3, &[1, 2, n as u8])).collect();
    for (n, stream) in streams.into_iter().enumerate().rev() {
        assert_eq!(client.read_answer(stream), (SERVED, vec![n as u8, 2, 1]));
    }
}

#[test]
fn miss_is_followed_by_a_load_order_and_the_call_is_served() {
    let loaded = Arc::new(AtomicBool::new(false));
    let is_loaded = Arc::clone(&loaded);
    let invoker = Invoker::start(move |received| match received.keyword() {
        "CALL" if !is_loaded.load(Ordering::Acquire) => Reaction::Answer("not_here", "-", vec![]),
        "LOAD" => {
            is_loaded.store(true, Ordering::Release);
            Reaction::Answer("served", "instances=1", vec![])
        }
        _ => serve_all(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let stream = client.send_request("once", 7, 9, b"ab");
    assert_eq!(client.read_answer(stream), (SERVED, b"ba".to_vec()));
    let received = invoker.received();
    let keywords: Vec<_> = received.iter().map(|command| command.split(' ').next().unwrap_or("")).collect();
    assert_eq!(keywords, ["CALL", "LOAD", "CALL"]);
}

#[test]
fn broken_connection_fails_only_its_own_unsafe_call() {
    let broke = AtomicBool::new(false);
    let invoker = Invoker::start(move |received| match received.keyword() {
        "CALL" if received.parts[3] == b"break" && !broke.swap(true, Ordering::AcqRel) => Reaction::Close,
        _ => serve_all(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.send_request("once", 1, 9, b"fine");
    assert_eq!(client.read_answer(first).0, SERVED);
    let lost = client.send_request("once", 2, 9, b"break");
    assert_eq!(client.read_answer(lost).0, FAILED, "it may have run");
    // The only worker stays in use at full capacity: a health check found its process alive.
    for id in 3..9 {
        let next = client.send_request("once", id, 9, b"fine");
        assert_eq!(client.read_answer(next).0, SERVED);
    }
    let received = invoker.received();
    assert_eq!(
        received.iter().filter(|command| command.as_str() == "CALL 0000000000000002").count(),
        1,
        "the call is not retried: {received:?}"
    );
    assert!(received.iter().any(|command| command.starts_with("PING")));
}

#[test]
fn invalid_responses_are_not_forwarded_and_safe_calls_are_retried() {
    let invalid: Vec<Vec<u8>> = vec![
        b"HTTP/1.1 200 OK\r\n\r\n".to_vec(),
        b"*1000000000\r\n".to_vec(),
        b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$1\r\n-\r\n$3000000000\r\nxxxx".to_vec(),
        b"*4\r\n$16\r\n0000000000000001\r\n$6\r\nserved\r\n$1\r\n-\r\n$9\r\nhal".to_vec(),
        b"*4\r\n$99999999999999999999999999".to_vec(),
    ];
    let count = invalid.len() as u64;
    let sent = AtomicUsize::new(0);
    let invoker = Invoker::start(move |received| {
        let corrupt = received.keyword() == "CALL" && received.parts[3] == b"spoil";
        match corrupt.then(|| sent.fetch_add(1, Ordering::AcqRel)) {
            // Every second attempt gets an invalid response, and the retry is served.
            Some(n) if n % 2 == 0 => Reaction::Write(invalid[n / 2 % invalid.len()].clone()),
            _ => serve_all(received),
        }
    });
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    for id in 1..=count {
        let stream = client.send_request("safe", id, 9, b"spoil");
        assert_eq!(client.read_answer(stream), (SERVED, b"liops".to_vec()));
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
        _ => serve_all(received),
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    for id in 1..30 {
        let stream = client.send_request("safe", id, 9, &[id as u8]);
        assert_eq!(client.read_answer(stream), (SERVED, vec![id as u8]));
    }
}

#[test]
fn unresponsive_connection_is_closed_when_a_probe_is_answered_elsewhere() {
    // The connection on which the body "hang" was received is unresponsive from then on; others are not.
    let hung = Arc::new(AtomicUsize::new(usize::MAX));
    let invoker = Invoker::start(move |received| {
        if received.keyword() == "CALL"
            && received.parts[3] == b"hang"
            && hung.load(Ordering::Acquire) == usize::MAX
        {
            hung.store(received.connection, Ordering::Release);
        }
        if hung.load(Ordering::Acquire) == received.connection {
            Reaction::Ignore
        } else {
            serve_all(received)
        }
    });
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.send_request("safe", 1, 9, b"fine");
    assert_eq!(client.read_answer(first).0, SERVED);
    let stream = client.send_request("safe", 2, 9, b"hang");
    assert_eq!(client.read_answer(stream), (SERVED, b"gnah".to_vec()), "retried within the deadline");
}

#[test]
fn invalid_client_input_is_answered_or_closed_and_affects_no_other_client() {
    let invoker = Invoker::start(serve_all);
    let mut node = RunningNode::start(&[&invoker]);
    let mut other = node.client();
    let stream = other.send_request("safe", 4, 2, b"ab");
    assert_eq!(other.read_answer(stream).0, SERVED);
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
        let stream = client.send_request_with(fields, b"");
        assert_eq!(client.read_answer(stream).0, FAILED, "{fields:?}");
    }
    let long = client.send_request("safe", 1, 2, &[0; 100_000]);
    assert_eq!(client.read_answer(long).0, FAILED, "skipped, not stored");
    let after = client.send_request("safe", 1, 2, b"ab");
    assert_eq!(client.read_answer(after), (SERVED, b"ba".to_vec()), "the frames that follow are read");

    for length in [0u32, 4, 60_000_000, u32::MAX] {
        let mut client = node.client();
        client.socket.write_all(&length.to_be_bytes()).expect("written");
        assert!(matches!(client.read_frame(), Some((frames::kind::ANSWER, 0, _))));
        assert_eq!(client.read_frame(), None, "closed");
    }
    // Two requests on one stream.
    let mut twice = Vec::new();
    for _ in 0..2 {
        frames::request(&mut twice, 1, &[("op", "safe")], b"");
    }
    let mut client = node.client();
    client.socket.write_all(&twice).expect("written");
    assert!(matches!(client.read_frame(), Some((frames::kind::ANSWER, 1, _))));
    assert!(matches!(client.read_frame(), Some((frames::kind::ANSWER, 0, _))));
    assert_eq!(client.read_frame(), None);
    // A client that ends its side after a complete request gets one answer at once, and its connection closes. The
    // tests in `races.rs` check what happens to the request, as they control in which iteration the end is read.
    let mut half_closed = node.client();
    let stream = half_closed.send_request("safe", 6, 2, b"ab");
    half_closed.socket.shutdown(std::net::Shutdown::Write).expect("open");
    let (kind, on, _) = half_closed.read_frame().expect("an answer");
    assert_eq!((kind, on), (frames::kind::ANSWER, stream));
    assert_eq!(half_closed.read_frame(), None, "closed after the last answer");
    // A client that sends nothing, and one that stops in the middle of a frame.
    let mut silent = node.client();
    let mut partial = node.client();
    partial.socket.write_all(&[0, 0, 1]).expect("written");
    assert!(matches!(silent.read_frame(), Some((frames::kind::ANSWER, 0, _))));
    assert!(matches!(partial.read_frame(), Some((frames::kind::ANSWER, 0, _))));

    let stream = other.send_request("safe", 5, 2, b"ab");
    assert_eq!(other.read_answer(stream).0, SERVED);
    let count = node.stop();
    assert_eq!((count.bad_requests, count.closed_for_faults, count.closed_for_silence), (7, 5, 2));
}

#[test]
fn requests_over_the_bound_are_refused_and_open_ones_answered() {
    let (invoker, release) = gated_invoker();
    let node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let streams: Vec<u32> = (1..=32).map(|id| client.send_request("safe", id, id, b"slow")).collect();
    for id in 33..=50 {
        let stream = client.send_request("safe", id, id, b"slow");
        if id <= 40 {
            assert_eq!(client.read_answer(stream).0, REFUSED);
        }
    }
    // The connection closes because of the excess requests: its open requests get one answer at once, while the invoker
    // still runs them.
    for stream in streams {
        assert!(matches!(client.read_answer(stream).0, REFUSED | FAILED), "{stream}");
    }
    while let Some((_, stream, _)) = client.read_frame() {
        assert!(stream == 0 || stream > 32, "{stream}");
    }
    for _ in 0..64 {
        let _ = release.send(());
    }
}

#[test]
fn request_cancelled_in_the_same_bytes_never_starts() {
    let invoker = Invoker::start(serve_all);
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
    assert_eq!(client.read_answer(21), (SERVED, b"ba".to_vec()));
    assert_eq!(
        invoker.received().iter().filter(|command| command.starts_with("CALL")).count(),
        1,
        "{:?}",
        invoker.received()
    );
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
            _ => serve_all(received),
        }
    });
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let split = client.send_request("safe", 1, 9, b"split");
    assert_eq!(client.read_answer(split).0, SERVED);
    let rest = client.send_request("safe", 2, 9, b"rest");
    let (_, connection) = client.read_answer(rest);
    // Longer than the timeout of an incomplete response.
    let until = std::time::Instant::now() + nettleferry_node::limits::RESPONSE_TIMEOUT * 2;
    let mut id = 3;
    while std::time::Instant::now() < until {
        let late = client.send_request("safe", id, 9, b"late");
        assert_eq!(client.read_answer(late), (SERVED, connection.clone()), "on the same connection");
        id += 1;
    }
    assert_eq!(node.stop().bad_answers, 0);
}

#[test]
fn last_answers_are_sent_before_the_process_ends() {
    let (invoker, release) = gated_invoker();
    let mut node = RunningNode::start(&[&invoker]);
    let mut client = node.client();
    let first = client.send_request("safe", 1, 9, b"fine");
    assert_eq!(client.read_answer(first).0, SERVED);
    let slow = client.send_request("safe", 2, 9, b"slow");
    while !invoker.received().iter().any(|command| command.ends_with('2')) {
        std::thread::yield_now();
    }
    node.begin_shutdown();
    assert_eq!(client.read_frame(), Some((frames::kind::GO_AWAY, 0, vec![])));
    // A request on a new connection is still served.
    let mut late = node.client();
    let stream = late.send_request("safe", 3, 9, b"ab");
    assert_eq!(late.read_answer(stream).0, SERVED);
    release.send(()).expect("it waits");
    assert_eq!(client.read_answer(slow), (SERVED, b"wols".to_vec()));
    assert_eq!(node.join().requests, 3);
}

#[test]
fn draining_invoker_gets_no_new_requests() {
    let (one, two) = (Invoker::start(serve_all), Invoker::start(serve_all));
    let node = RunningNode::start(&[&one]);
    let mut client = node.client();
    let first = client.send_request("safe", 1, 9, b"ab");
    assert_eq!(client.read_answer(first).0, SERVED);
    node.directory.change(vec![
        ListedInvoker { draining: true, ..ListedInvoker::new(0, one.address) },
        ListedInvoker::new(1, two.address),
    ]);
    let mut id = 1;
    while two.received().is_empty() {
        id += 1;
        let stream = client.send_request("safe", id, 9, b"ab");
        assert_eq!(client.read_answer(stream).0, SERVED);
    }
    let before = one.received().len();
    for id in 10_000..10_020 {
        let stream = client.send_request("safe", id, id, b"ab");
        assert_eq!(client.read_answer(stream).0, SERVED);
    }
    assert_eq!(one.received().len(), before);
}
