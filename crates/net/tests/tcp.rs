//! Tests of plain TCP connections over loopback.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use nettleferry_net::tcp::{ConnectionFailure, Tcp, TcpEvent, TcpKey, TcpLimits};

/// Maximum wait for an event.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Polls until `wanted` returns a value for an event.
fn poll_until<T>(tcp: &mut Tcp, mut wanted: impl FnMut(&mut Tcp, TcpEvent) -> Option<T>) -> T {
    let (end, mut out) = (std::time::Instant::now() + TEST_TIMEOUT, Vec::new());
    while std::time::Instant::now() < end {
        tcp.poll(Some(Duration::from_millis(20)), &mut out).expect("polls");
        for event in std::mem::take(&mut out) {
            if let Some(found) = wanted(tcp, event) {
                return found;
            }
        }
    }
    panic!("the event did not happen");
}

/// Polls until a connection is accepted.
fn accepted(tcp: &mut Tcp) -> TcpKey {
    poll_until(tcp, |_, event| if let TcpEvent::Accepted(key) = event { Some(key) } else { None })
}

#[test]
fn queued_bytes_are_sent_before_the_connection_is_shut_down() {
    // More than the socket buffers hold at once.
    let size = 64 << 20;
    let limits = TcpLimits { output: size, linger: TEST_TIMEOUT, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    assert_eq!(tcp.send(key, &vec![7; size]), Some(size as u64));
    tcp.finish(key);
    assert!(tcp.unsent_to_peers() > 0, "the test requires more bytes than the socket buffers hold");
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        client.read_to_end(&mut all).map(|_| all.len())
    });
    let mut out = Vec::new();
    while !reader.is_finished() {
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
    }
    assert_eq!(reader.join().expect("no panic").expect("ended in order"), size);
    assert_eq!(out, [], "no event follows");
}

#[test]
fn half_close_is_reported_after_the_last_bytes_and_answers_still_arrive() {
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    client.write_all(b"last").expect("written");
    client.shutdown(Shutdown::Write).expect("open");
    let mut seen = Vec::new();
    let key = poll_until(&mut tcp, |tcp, event| match event {
        TcpEvent::Data(key) => {
            seen.extend_from_slice(&tcp.input(key).expect("open").split());
            None
        }
        TcpEvent::Ended(key) => Some(key),
        _ => None,
    });
    assert_eq!(seen, b"last");
    tcp.send(key, b"answer").expect("the connection accepts output");
    tcp.finish(key);
    tcp.flush_all();
    let mut answer = Vec::new();
    client.read_to_end(&mut answer).expect("ended in order");
    assert_eq!(answer, b"answer");
}

#[test]
fn lingering_connection_does_not_wake_the_poll() {
    let limits = TcpLimits { linger: TEST_TIMEOUT, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let _client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    tcp.finish(key);
    let (end, mut polls, mut out) = (std::time::Instant::now() + Duration::from_millis(300), 0, Vec::new());
    while std::time::Instant::now() < end {
        tcp.poll(Some(Duration::from_millis(50)), &mut out).expect("polls");
        polls += 1;
    }
    assert!(polls < 30, "{polls} polls in 300 ms");
}

#[test]
fn refused_connection_is_distinguished_from_other_failures() {
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port").local_addr().expect("an address");
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let key = tcp.connect(free).expect("started");
    let why = poll_until(&mut tcp, |_, event| match event {
        TcpEvent::Closed(closed, why) if closed == key => Some(why),
        _ => None,
    });
    assert_eq!(why, ConnectionFailure::Refused);
    assert_eq!(tcp.written(key), 0);
}

#[test]
fn reached_limits_are_counted() {
    let limits = TcpLimits { accepted: 1, output: 10, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let _first = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    let mut second = TcpStream::connect(address).expect("it listens");
    let mut out = Vec::new();
    while tcp.counters().over_accepted == 0 {
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
    }
    assert_eq!(second.read(&mut [0; 1]).expect("closed in order"), 0);
    assert_eq!(tcp.send(key, b"more than ten"), None);
    let why =
        poll_until(&mut tcp, |_, event| if let TcpEvent::Closed(_, why) = event { Some(why) } else { None });
    assert_eq!(
        (why, tcp.counters().over_output, tcp.counters().over_accepted),
        (ConnectionFailure::Slow, 1, 1)
    );
}

#[test]
fn end_is_reported_in_the_same_poll_as_the_last_bytes() {
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    let mut out = Vec::new();
    // Consumes the first event of the connection, which only reports that it is writable.
    tcp.poll(Some(Duration::ZERO), &mut out).expect("polls");
    client.write_all(b"last").expect("written");
    client.shutdown(Shutdown::Write).expect("open");
    out.clear();
    tcp.poll(Some(Duration::ZERO), &mut out).expect("polls");
    assert_eq!(out, [TcpEvent::Data(key), TcpEvent::Ended(key)]);
}

#[test]
fn data_is_reported_before_an_alarm_of_the_same_poll() {
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    tcp.alarm(key, Some(std::time::Instant::now()));
    client.write_all(b"request").expect("written");
    let mut out = Vec::new();
    tcp.poll(Some(Duration::ZERO), &mut out).expect("polls");
    assert_eq!(out, [TcpEvent::Data(key), TcpEvent::Alarm(key)]);
}

#[test]
fn confirm_idle_finds_what_arrived_after_the_poll() {
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    assert!(tcp.confirm_idle(key));
    client.set_nodelay(true).expect("set");
    client.write_all(b"request").expect("written");
    assert!(!tcp.confirm_idle(key), "data has arrived that no poll has reported yet");
    let reported =
        poll_until(&mut tcp, |_, event| if let TcpEvent::Data(key) = event { Some(key) } else { None });
    assert_eq!(reported, key);
    assert_eq!(&tcp.input(key).expect("open")[..], b"request");
    assert!(tcp.confirm_idle(key), "data that was reported before is not new");
    client.shutdown(Shutdown::Write).expect("open");
    assert!(!tcp.confirm_idle(key), "the end of the connection has arrived");
}

#[test]
fn queued_bytes_can_be_removed_until_they_are_sent() {
    let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    let one = tcp.send(key, b"one").expect("open");
    let two = tcp.send(key, b"two").expect("open");
    let three = tcp.send(key, b"three").expect("open");
    assert_eq!((one, two, three), (3, 6, 11));
    assert!(tcp.remove_queued(key, one, two));
    assert!(!tcp.remove_queued(key, one, three), "the range ends after the bytes queued now");
    tcp.flush_all();
    assert_eq!(tcp.written(key), 8);
    assert!(!tcp.remove_queued(key, 0, one), "the bytes were sent");
    let mut seen = [0; 8];
    client.read_exact(&mut seen).expect("sent");
    assert_eq!(&seen, b"onethree");
}

#[test]
fn finished_connection_whose_peer_has_ended_frees_its_descriptor() {
    let limits = TcpLimits { accepted: 1, linger: TEST_TIMEOUT, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    for _ in 0..3 {
        let client = TcpStream::connect(address).expect("it listens");
        accepted(&mut tcp);
        drop(client);
        let key = poll_until(&mut tcp, |_, event| match event {
            TcpEvent::Ended(key) => Some(key),
            _ => None,
        });
        tcp.finish(key);
    }
    assert_eq!((tcp.counters().over_accepted, tcp.counters().lingering_evicted), (0, 0));
}

#[test]
fn lingering_connection_is_closed_for_a_new_one_at_the_limit() {
    let limits = TcpLimits { accepted: 1, linger: TEST_TIMEOUT, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut old = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    tcp.send(key, b"last words");
    tcp.finish(key);
    // The old client has not closed its sending direction, so that the connection lingers.
    let _new = TcpStream::connect(address).expect("it listens");
    accepted(&mut tcp);
    assert_eq!((tcp.counters().over_accepted, tcp.counters().lingering_evicted), (0, 1));
    let mut received = Vec::new();
    old.read_to_end(&mut received).expect("ended in order");
    assert_eq!(received, b"last words");
}

#[test]
fn linger_begins_when_the_last_bytes_were_sent() {
    // More than the socket buffers hold at once, and a peer that starts to read only after the linger time.
    let size = 32 << 20;
    let limits = TcpLimits { output: size, linger: Duration::from_millis(1), ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    tcp.send(key, &vec![7; size]);
    tcp.finish(key);
    let (finished, mut out) = (std::time::Instant::now(), Vec::new());
    while finished.elapsed() < Duration::from_millis(20) {
        tcp.poll(Some(Duration::from_millis(1)), &mut out).expect("polls");
    }
    assert!(tcp.unsent_to_peers() > 0, "the peer has not read");
    let reader = std::thread::spawn(move || {
        let mut all = Vec::new();
        client.read_to_end(&mut all).map(|_| all.len())
    });
    while !reader.is_finished() {
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
    }
    assert_eq!(reader.join().expect("no panic").expect("ended in order"), size);
}

#[test]
fn bytes_read_by_a_later_poll_keep_their_first_arrival_time() {
    let limits = TcpLimits { input: 1 << 10, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    client.write_all(&[1; 4 << 10]).expect("written");
    let written = std::time::Instant::now();
    let (mut seen, mut reads, mut out) = (0, 0, Vec::new());
    while seen < 4 << 10 {
        tcp.poll(Some(Duration::ZERO), &mut out).expect("polls");
        for event in out.drain(..) {
            if matches!(event, TcpEvent::Data(_)) {
                seen += tcp.input(key).expect("open").split().len();
                reads += 1;
                assert!(tcp.earliest_arrival(key) <= written, "the last bytes had arrived by then as well");
            }
        }
    }
    assert!(reads > 1, "the input limit requires several reads");
}

#[test]
fn accepts_per_poll_are_limited_so_that_the_owner_can_close_connections() {
    let limits = TcpLimits { accepted: 3, accepts_per_poll: 1, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let clients: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    let mut open = std::collections::VecDeque::new();
    for _ in &clients {
        open.push_back(accepted(&mut tcp));
        if open.len() > 2 {
            tcp.close(open.pop_front().expect("one of three"));
        }
    }
    assert_eq!((tcp.counters().accepted, tcp.counters().over_accepted), (20, 0));
}

#[test]
fn input_of_all_connections_together_is_limited_and_read_once_there_is_room() {
    let (reserve, sum, sent) = (1 << 10, 8 << 10, 4 << 10);
    let limits = TcpLimits { input_reserve: reserve, input_sum: sum, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let connect = |_| {
        let mut client = TcpStream::connect(address).expect("it listens");
        client.write_all(&vec![1; sent]).expect("written");
        client
    };
    let clients: Vec<TcpStream> = (0..10).map(connect).collect();
    let (mut keys, mut out) = (Vec::new(), Vec::new());
    while keys.len() < clients.len() || !tcp.is_input_short() {
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
        let is_accepted = |event: &TcpEvent| matches!(event, TcpEvent::Accepted(_));
        keys.extend(out.drain(..).filter(is_accepted).filter_map(|event| event.key()));
    }
    let held: usize = keys.iter().map(|key| tcp.input(*key).expect("open").len()).sum();
    assert!(held <= sum + keys.len() * reserve, "{held} bytes are held");
    assert!(keys.iter().all(|key| tcp.input(*key).expect("open").len() >= reserve), "each has its reserve");
    let mut consumed = 0;
    while consumed < keys.len() * sent {
        consumed += keys.iter().map(|key| tcp.input(*key).expect("open").split().len()).sum::<usize>();
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
        assert!(tcp.held().0 <= sum + reserve, "{:?}", tcp.held());
    }
    let _ = keys.iter().map(|key| tcp.input(*key).expect("open").len()).sum::<usize>();
    tcp.poll(Some(Duration::ZERO), &mut out).expect("polls");
    assert_eq!(tcp.held().0, 0, "nothing is held once all is consumed");
}

#[test]
fn client_that_reads_is_answered_while_another_holds_all_of_the_output() {
    let (reserve, sum) = (1 << 10, 256 << 10);
    let limits = TcpLimits { output_reserve: reserve, output_sum: sum, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let _slow = TcpStream::connect(address).expect("it listens");
    let slow_key = accepted(&mut tcp);
    let mut sound = TcpStream::connect(address).expect("it listens");
    let sound_key = accepted(&mut tcp);
    let answer = vec![7; 32 << 10];
    while tcp.send_capacity(slow_key).is_some_and(|room| room >= answer.len()) {
        tcp.send(slow_key, &answer).expect("within the limits");
        tcp.flush(slow_key);
    }
    assert!(tcp.held().1 >= sum && tcp.held().1 <= sum + answer.len(), "{:?}", tcp.held());
    assert_eq!(tcp.send_capacity(sound_key), Some(reserve), "the reserve is left");
    for _ in 0..64 {
        assert!(tcp.send(sound_key, &answer).is_some() && tcp.flush(sound_key));
        sound.read_exact(&mut answer.clone()).expect("answered");
    }
    assert!(tcp.send(slow_key, &vec![7; 2 * sum]).is_none(), "the one that does not read is closed");
    assert_eq!((tcp.counters().over_output_sum, tcp.held().1), (1, 0));
}

/// Guards against a shutdown that ends while requests are unread because others hold all of the input.
#[test]
fn connection_that_waits_for_room_is_not_caught_up_with_until_it_is_read_or_closed() {
    let limits = TcpLimits { input_reserve: 1 << 10, input_sum: 1 << 10, ..TcpLimits::default() };
    let mut tcp = Tcp::new(limits).expect("a poll");
    let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let mut client = TcpStream::connect(address).expect("it listens");
    let key = accepted(&mut tcp);
    client.write_all(&[1; 16 << 10]).expect("written");
    let mut out = Vec::new();
    while !tcp.is_input_short() {
        tcp.poll(Some(Duration::from_millis(5)), &mut out).expect("polls");
    }
    assert!(!tcp.caught_up(), "bytes of the client are unread");
    tcp.close(key);
    assert!(!tcp.is_input_short() && tcp.caught_up(), "a closed connection waits for nothing");
}
