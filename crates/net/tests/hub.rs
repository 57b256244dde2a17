//! Tests of the hub with both ends of each connection in one hub over loopback: which event each situation on the
//! connection is reported as. No test sleeps; each waits for its event with a generous timeout.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use nettleferry_net::grpc::{Code, Status};
use nettleferry_net::*;

/// A hub with an outgoing connection `conn` to its own listener, accepted there as `server`.
struct Pair {
    hub: Hub,
    conn: ConnKey,
    server: ConnKey,
    listener: ListenerKey,
    events: Vec<NetEvent>,
}

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

impl Pair {
    fn new(limits: NetLimits) -> Self {
        let mut hub = Hub::new(limits).expect("a hub");
        let (listener, address) = hub.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let conn = hub.connect(address).expect("started");
        let mut pair = Self { hub, conn, server: conn, listener, events: Vec::new() };
        let server = pair.wait(|e| match e {
            NetEvent::Accepted { conn, .. } => Some(*conn),
            _ => None,
        });
        pair.server = server;
        pair
    }

    /// Polls until `pick` selects an event, which is removed from the pending events.
    fn wait<T>(&mut self, mut pick: impl FnMut(&NetEvent) -> Option<T>) -> T {
        let until = Instant::now() + TEST_TIMEOUT;
        loop {
            if let Some((at, found)) =
                self.events.iter().enumerate().find_map(|(i, e)| pick(e).map(|v| (i, v)))
            {
                self.events.remove(at);
                return found;
            }
            assert!(Instant::now() < until, "the event did not happen; seen: {:?}", self.events);
            self.hub.poll(Some(Duration::from_millis(50)), &mut self.events).expect("polls");
        }
    }

    fn open(&mut self) -> StreamKey {
        let request = Request::post("http://worker/inference.GRPCInferenceService/ModelInfer")
            .body(())
            .expect("a request");
        self.hub.open(self.conn, request).expect("connection exists")
    }

    fn request(&mut self) -> StreamKey {
        self.wait(|e| match e {
            NetEvent::Request { stream, .. } => Some(*stream),
            _ => None,
        })
    }

    fn message(&mut self, of: StreamKey) -> Bytes {
        self.wait(|e| match e {
            NetEvent::Message { stream, payload } if *stream == of => Some(payload.clone()),
            _ => None,
        })
    }

    fn failure(&mut self, of: StreamKey) -> StreamError {
        self.wait(|e| match e {
            NetEvent::Failed { stream, why } if *stream == of => Some(why.clone()),
            _ => None,
        })
    }

    fn trailers(&mut self, of: StreamKey) -> HeaderMap {
        self.wait(|e| match e {
            NetEvent::Trailers { stream, trailers } if *stream == of => Some(trailers.clone()),
            _ => None,
        })
    }
}

#[test]
fn call_is_answered_with_its_status() {
    let mut pair = Pair::new(NetLimits::default());
    let client_stream = pair.open();
    pair.hub.send(client_stream, Bytes::from_static(b"tensors"));
    pair.hub.finish(client_stream, None);
    let server_stream = pair.request();
    assert_eq!(pair.message(server_stream), Bytes::from_static(b"tensors"));
    pair.wait(|e| matches!(e, NetEvent::HalfClosed { stream } if *stream == server_stream).then_some(()));
    pair.hub.respond(server_stream, Response::new(()));
    pair.hub.send(server_stream, Bytes::from(vec![7; 3 << 20]));
    pair.hub.finish(server_stream, Some(Status::new(Code::Ok, "").trailers()));
    assert_eq!(pair.message(client_stream).len(), 3 << 20);
    assert_eq!(Status::read(&pair.trailers(client_stream)).expect("a status").code, Code::Ok);
    pair.wait(|e| matches!(e, NetEvent::Sent { stream } if *stream == server_stream).then_some(()));
    assert_eq!(pair.hub.open_streams(), 0);
}

#[test]
fn refused_connection_fails_its_streams_as_not_connected() {
    let mut hub = Hub::new(NetLimits::default()).expect("a hub");
    // A port that was free a moment ago: nothing listens there.
    let address = {
        let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        closed.local_addr().expect("bound")
    };
    let conn = hub.connect(address).expect("started");
    let stream =
        hub.open(conn, Request::post("http://w/x").body(()).expect("a request")).expect("connection exists");
    let (mut events, until) = (Vec::new(), Instant::now() + TEST_TIMEOUT);
    while Instant::now() < until {
        hub.poll(Some(Duration::from_millis(50)), &mut events).expect("polls");
        let failure = events.iter().find_map(|e| match e {
            NetEvent::Failed { stream: s, why } if *s == stream => Some(why.clone()),
            _ => None,
        });
        if let Some(why) = failure {
            assert_eq!(why, StreamError::NotConnected);
            return;
        }
    }
    panic!("the stream did not end");
}

#[test]
fn call_that_waits_for_its_connection_states_the_time_left_when_it_is_sent() {
    // Guards against a timeout that is computed when a call is queued and is too long when its headers are sent.
    let mut hub = Hub::new(NetLimits::default()).expect("a hub");
    let (_, address) = hub.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let conn = hub.connect(address).expect("started");
    let head = || Request::post("http://w/x").body(()).expect("a request");
    let (deadline, later) = (Instant::now() + TEST_TIMEOUT, Instant::now() + Duration::from_millis(200));
    let expired = hub.open_until(conn, head(), later).expect("connection exists");
    let waiting = hub.open_until(conn, head(), deadline).expect("connection exists");
    // Nothing is sent before the first poll.
    while Instant::now() < later {
        std::thread::yield_now();
    }
    let left = deadline - Instant::now();
    let (mut events, mut timeouts, mut failed) = (Vec::new(), Vec::new(), Vec::new());
    while timeouts.is_empty() || failed.is_empty() {
        assert!(Instant::now() < deadline, "{events:?}");
        hub.poll(Some(Duration::from_millis(50)), &mut events).expect("polls");
        for event in events.drain(..) {
            match event {
                NetEvent::Request { head, .. } => timeouts.push(head.headers["grpc-timeout"].clone()),
                NetEvent::Failed { stream, why } => failed.push((stream, why)),
                _ => {}
            }
        }
    }
    let timeouts: Vec<_> = timeouts
        .iter()
        .map(|value| grpc::read_timeout(value.to_str().expect("text")).expect("a timeout"))
        .collect();
    assert!(
        timeouts.len() == 1 && timeouts[0] <= left,
        "sent {timeouts:?}, {left:?} were left before the request was sent"
    );
    assert_eq!(failed, [(expired, StreamError::NotWritten)]);
    assert!(hub.is_open(waiting));
}

#[test]
fn refused_reset_and_broken_streams_are_distinguished() {
    let mut pair = Pair::new(NetLimits::default());
    let (a, b, c) = (pair.open(), pair.open(), pair.open());
    let (server_a, server_b, _) = (pair.request(), pair.request(), pair.request());
    pair.hub.reset(server_a, h2::Reason::REFUSED_STREAM);
    assert_eq!(pair.failure(a), StreamError::Refused);
    pair.hub.reset(server_b, h2::Reason::INTERNAL_ERROR);
    assert!(matches!(pair.failure(b), StreamError::Reset(_)));
    pair.hub.close(pair.server);
    assert_eq!(pair.failure(c), StreamError::Broken);
}

#[test]
fn goaway_applies_only_to_streams_above_its_last_id() {
    let mut pair = Pair::new(NetLimits::default());
    let seen = pair.open();
    pair.request();
    // The server is frozen until it sends GOAWAY: the second stream is sent, but not received.
    pair.hub.freeze(pair.server, true);
    let unseen = pair.open();
    pair.hub.poll(Some(Duration::ZERO), &mut pair.events).expect("polls");
    pair.hub.poll(Some(Duration::ZERO), &mut pair.events).expect("polls");
    pair.hub.go_away_abruptly(pair.server, h2::Reason::NO_ERROR);
    pair.hub.freeze(pair.server, false);
    assert_eq!(pair.failure(unseen), StreamError::GoneAway);
    assert!(!pair.hub.can_open(pair.conn));
    let why = pair.failure(seen);
    assert!(
        !matches!(why, StreamError::GoneAway | StreamError::NotWritten | StreamError::Refused),
        "{why:?}"
    );
}

#[test]
fn only_requests_that_were_never_written_are_reported_as_not_written() {
    let mut pair = Pair::new(NetLimits::default());
    pair.wait(|e| matches!(e, NetEvent::Connected { .. }).then_some(()));
    while pair.hub.poll(Some(Duration::ZERO), &mut pair.events).is_ok() && !pair.hub.can_open(pair.conn) {}
    pair.hub.freeze(pair.conn, true);
    let unwritten = pair.open();
    pair.hub.poll(Some(Duration::ZERO), &mut pair.events).expect("polls");
    pair.hub.close(pair.conn);
    assert_eq!(pair.failure(unwritten), StreamError::NotWritten);
}

#[test]
fn connection_cut_inside_a_frame_is_broken() {
    let mut pair = Pair::new(NetLimits::default());
    let client_stream = pair.open();
    let server_stream = pair.request();
    pair.hub.respond(server_stream, Response::new(()));
    pair.wait(|e| matches!(e, NetEvent::Head { .. }).then_some(()));
    pair.hub.cut_after(pair.server, 40);
    pair.hub.send(server_stream, Bytes::from(vec![1; 1000]));
    assert_eq!(pair.failure(client_stream), StreamError::Broken);
}

#[test]
fn paused_reader_blocks_only_its_own_writer() {
    let limits = NetLimits { stream_window: 64 << 10, send_queue_bytes: 32 << 10, ..NetLimits::default() };
    let mut pair = Pair::new(limits);
    let (slow, quick) = (pair.open(), pair.open());
    let (to_slow, to_quick) = (pair.request(), pair.request());
    pair.hub.pause(slow);
    pair.hub.respond(to_slow, Response::new(()));
    pair.hub.respond(to_quick, Response::new(()));
    for _ in 0..64 {
        pair.hub.send(to_slow, Bytes::from(vec![0; 16 << 10]));
    }
    assert!(pair.hub.is_full(to_slow));
    pair.hub.send(to_quick, Bytes::from_static(b"quick"));
    assert_eq!(pair.message(quick), Bytes::from_static(b"quick"));
    // No more than the window was sent.
    assert!(pair.hub.queued(to_slow) > 900 << 10, "{}", pair.hub.queued(to_slow));
    pair.hub.resume(slow);
    for _ in 0..64 {
        assert_eq!(pair.message(slow).len(), 16 << 10);
    }
    pair.wait(|e| matches!(e, NetEvent::Drained { stream } if *stream == to_slow).then_some(()));
}

#[test]
fn stream_with_too_large_a_message_can_still_be_answered() {
    let mut pair = Pair::new(NetLimits { message_bytes: 1000, ..NetLimits::default() });
    let client_stream = pair.open();
    pair.hub.send(client_stream, Bytes::from(vec![0; 1001]));
    let server_stream = pair.request();
    let error = pair.wait(|e| match e {
        NetEvent::Malformed { stream, error } if *stream == server_stream => Some(error.clone()),
        _ => None,
    });
    assert_eq!(error, framing::FrameError::TooLarge { got: 1001, most: 1000 });
    let status = Status::new(Code::ResourceExhausted, error.to_string());
    let mut head = Response::new(());
    *head.headers_mut() = status.trailers();
    pair.hub.respond_only(server_stream, head);
    assert_eq!(Status::read(&pair.trailers(client_stream)).expect("a status"), status);
    assert_eq!(pair.hub.counters().bad_messages, 1);
}

#[test]
fn cancel_is_reported_after_the_client_has_sent_everything() {
    let mut pair = Pair::new(NetLimits::default());
    let client_stream = pair.open();
    pair.hub.send(client_stream, Bytes::from_static(b"x"));
    pair.hub.finish(client_stream, None);
    let server_stream = pair.request();
    pair.message(server_stream);
    pair.hub.reset(client_stream, h2::Reason::CANCEL);
    assert!(matches!(pair.failure(server_stream), StreamError::Reset(_)));
}

#[test]
fn rapid_resets_end_only_their_connection() {
    let mut pair = Pair::new(NetLimits { reset_streams: 20, ..NetLimits::default() });
    let other = pair.hub.connect(pair.hub.peer(pair.conn).expect("connection exists")).expect("started");
    // All streams are opened and reset before the server reads.
    pair.wait(|e| matches!(e, NetEvent::Connected { conn } if *conn == other).then_some(()));
    for _ in 0..60 {
        let key = pair.open();
        pair.hub.freeze(pair.server, true);
        pair.hub.poll(Some(Duration::ZERO), &mut pair.events).expect("polls");
        pair.hub.reset(key, h2::Reason::CANCEL);
    }
    pair.hub.poll(Some(Duration::ZERO), &mut pair.events).expect("polls");
    pair.hub.freeze(pair.server, false);
    let server = pair.server;
    let why = pair.wait(|e| match e {
        NetEvent::Closed { conn, why } if *conn == server => Some(*why),
        _ => None,
    });
    assert_eq!(why, CloseReason::Protocol);
    let other_stream = pair
        .hub
        .open(other, Request::post("http://w/x").body(()).expect("a request"))
        .expect("connection exists");
    let server_stream = pair.wait(|e| match e {
        NetEvent::Request { stream, conn, .. } if *conn != server => Some(*stream),
        _ => None,
    });
    pair.hub.respond_only(server_stream, Response::new(()));
    pair.trailers(other_stream);
}

#[test]
fn connection_without_a_preface_is_closed() {
    let limits = NetLimits { handshake_timeout: Duration::from_millis(30), ..NetLimits::default() };
    let mut hub = Hub::new(limits).expect("a hub");
    let (_, address) = hub.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let silent = std::net::TcpStream::connect(address).expect("connects");
    let (mut events, until) = (Vec::new(), Instant::now() + TEST_TIMEOUT);
    while hub.counters().handshake_timeouts == 0 {
        assert!(Instant::now() < until);
        hub.poll(Some(Duration::from_millis(50)), &mut events).expect("polls");
    }
    assert_eq!(hub.open_connections(), 0);
    drop(silent);
}

#[test]
fn idle_hub_does_not_wake() {
    let mut pair = Pair::new(NetLimits::default());
    pair.wait(|e| matches!(e, NetEvent::Connected { .. }).then_some(()));
    // Settings and acknowledgements are exchanged until both sides are idle.
    let mut wakeups = pair.hub.counters().wakeups;
    let began = Instant::now();
    loop {
        let before = Instant::now();
        pair.hub.poll(Some(Duration::from_millis(400)), &mut pair.events).expect("polls");
        wakeups += 1;
        if before.elapsed() >= Duration::from_millis(400) {
            break;
        }
        assert!(began.elapsed() < TEST_TIMEOUT, "{wakeups} wakeups without an event");
    }
    assert_eq!(pair.hub.counters().wakeups, wakeups);
    assert_eq!(pair.hub.accepted_at(pair.listener).len(), 1);
}

/// Bytes of a response that the buffers of the sockets and of the stream can't hold.
const LARGE: usize = 16 << 20;

/// Opens a stream, and answers it with a large response that its client does not read. Returns the client's stream.
fn unread_response(pair: &mut Pair) -> StreamKey {
    let client_stream = pair.open();
    pair.hub.finish(client_stream, None);
    pair.hub.pause(client_stream);
    let server_stream = pair.request();
    pair.hub.respond(server_stream, Response::new(()));
    pair.hub.send(server_stream, Bytes::from(vec![7; LARGE]));
    pair.hub.finish(server_stream, Some(Status::new(Code::Ok, "").trailers()));
    client_stream
}

#[test]
fn response_counts_as_undelivered_until_its_client_has_closed_the_connection() {
    let mut pair = Pair::new(NetLimits::default());
    assert!(pair.hub.undelivered().is_empty());
    let client_stream = unread_response(&mut pair);
    pair.hub.go_away();
    let undelivered = pair.hub.undelivered();
    assert_eq!((undelivered.connections, undelivered.streams), (1, 1));
    assert!(undelivered.bytes > LARGE / 2);
    pair.hub.resume(client_stream);
    assert_eq!(pair.message(client_stream).len(), LARGE);
    assert_eq!(Status::read(&pair.trailers(client_stream)).expect("a status").code, Code::Ok);
    let server = pair.server;
    pair.wait(|e| matches!(e, NetEvent::Closed { conn, .. } if *conn == server).then_some(()));
    assert!(pair.hub.undelivered().is_empty());
    assert_eq!(pair.hub.counters().undelivered, 0);
}

#[test]
fn only_a_connection_with_undelivered_responses_is_closed_as_stalled() {
    let mut pair = Pair::new(NetLimits::default());
    let stall = Duration::from_millis(20);
    // A connection without responses: it is open, and it makes no progress.
    let until = Instant::now() + 3 * stall;
    while Instant::now() < until {
        pair.hub.poll(Some(stall), &mut pair.events).expect("polls");
        assert!(pair.hub.close_stalled(stall).is_empty());
    }
    assert_eq!(pair.hub.open_connections(), 2);
    let client_stream = unread_response(&mut pair);
    let until = Instant::now() + TEST_TIMEOUT;
    let lost = loop {
        assert!(Instant::now() < until, "the stalled connection was not closed");
        pair.hub.poll(Some(stall), &mut pair.events).expect("polls");
        let lost = pair.hub.close_stalled(stall);
        if !lost.is_empty() {
            break lost;
        }
    };
    assert_eq!((lost.connections, lost.streams), (1, 1));
    assert_eq!(pair.hub.counters().undelivered, 1);
    assert!(matches!(pair.failure(client_stream), StreamError::Broken));
}

/// Guards against a request that is lost, though it may have run for all that its client knows, because it arrives as
/// its idle connection is closed.
#[test]
fn request_that_arrives_as_the_idle_time_ends_is_served() {
    let idle = Duration::from_millis(50);
    let mut pair = Pair::new(NetLimits { idle, ..NetLimits::default() });
    let conn = pair.conn;
    pair.wait(|e| matches!(e, NetEvent::Connected { conn: c } if *c == conn).then_some(()));
    // The process stands still until the idle time is over, and the request arrives meanwhile.
    let client_stream = pair.open();
    pair.hub.finish(client_stream, None);
    std::thread::sleep(2 * idle);
    let server_stream = pair.request();
    pair.hub.respond(server_stream, Response::new(()));
    pair.hub.finish(server_stream, Some(Status::new(Code::Ok, "").trailers()));
    assert_eq!(Status::read(&pair.trailers(client_stream)).expect("a status").code, Code::Ok);
}

#[test]
fn idle_connection_is_closed_after_go_away() {
    let mut pair = Pair::new(NetLimits { idle: Duration::from_millis(20), ..NetLimits::default() });
    let server = pair.server;
    pair.wait(|e| matches!(e, NetEvent::Closed { conn, .. } if *conn == server).then_some(()));
    let conn = pair.conn;
    pair.wait(|e| matches!(e, NetEvent::Closed { conn: c, .. } if *c == conn).then_some(()));
    assert_eq!(pair.hub.open_connections(), 0);
}

/// Guards against messages that clients have half sent and that together take all memory.
#[test]
fn incomplete_messages_of_all_streams_together_are_limited() {
    let (half, sum) = (64 << 10, 256 << 10);
    let mut pair = Pair::new(NetLimits { message_sum: sum, ..NetLimits::default() });
    let streams: Vec<StreamKey> = (0..6).map(|_| pair.open()).collect();
    let received: Vec<StreamKey> = streams.iter().map(|_| pair.request()).collect();
    let announced = u32::try_from(2 * half).expect("fits");
    let half_message = |_: usize| {
        let prefix = [&[0][..], &announced.to_be_bytes()].concat();
        Bytes::from([prefix, vec![7; half]].concat())
    };
    for stream in &streams[1..] {
        pair.hub.send_raw(*stream, half_message(0));
    }
    let given_up = pair.wait(|e| match e {
        NetEvent::Malformed { stream, error: framing::FrameError::NoRoom } => Some(*stream),
        _ => None,
    });
    assert!(received.contains(&given_up) && pair.hub.is_open(given_up), "its response is still sent");
    pair.hub.send(streams[0], Bytes::from_static(b"small"));
    assert_eq!(pair.message(received[0]), Bytes::from_static(b"small"), "a complete message is received");
    assert!(pair.hub.counters().over_message_sum >= 1);
}
