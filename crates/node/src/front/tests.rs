//! Client connections around the end of their idle timeout, which these tests shorten, and eviction.

use std::io::{Read, Write};
use std::net::TcpStream;

use bytes::BytesMut;
use nettleferry_net::tcp::{TcpEvent, TcpLimits};
use nettleferry_platform::frames::{Frame, kind};

use super::*;
use crate::limits::CONSECUTIVE_FAULTS;
use crate::reasons::Reasons;

/// Timeout for each event that a test waits for.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A front with one client. The test runs its iterations.
struct FrontHarness {
    tcp: Tcp,
    front: Front,
    client: TcpStream,
    key: Option<TcpKey>,
    events: Vec<ClientEvent>,
    counters: Counters,
}

impl FrontHarness {
    /// Creates a front with a client that has got an answer and is idle.
    fn new() -> Self {
        let mut harness = Self::connect(|_| ());
        let mut ready = Vec::new();
        frames::bare(&mut ready, kind::READY, 0);
        harness.client.write_all(&ready).expect("written");
        harness.until(|harness| harness.client_state().is_some_and(|client| client.active));
        harness
    }

    /// Creates a front with a client that has sent nothing; `change` may alter the limits.
    fn connect(change: impl FnOnce(&mut Bounds)) -> Self {
        let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
        let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let mut bounds = Bounds::of(&nettleferry_platform::config::Limits::default(), None);
        change(&mut bounds);
        let front = Front::new(&["safe".to_owned()], &[], vec![4_000.0], vec![true], bounds);
        let client = TcpStream::connect(address).expect("it listens");
        client.set_nodelay(true).expect("set");
        client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let (events, counters) = (Vec::new(), Counters::default());
        Self { tcp, front, client, key: None, events, counters }
    }

    /// The state of the client's connection, while it is open.
    fn client_state(&self) -> Option<&Client> {
        self.front.clients.get(&self.key?)
    }

    fn with_context(&mut self, act: impl FnOnce(&mut Front, &mut FrontContext)) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.events, &mut self.counters);
        act(&mut self.front, &mut FrontContext { tcp, events, counters });
    }

    fn iterate(&mut self) {
        let mut events = Vec::new();
        self.tcp.poll(Some(Duration::from_millis(1)), &mut events).expect("polls");
        for event in events {
            match event {
                TcpEvent::Accepted(key) => {
                    self.front.accepted(&mut self.tcp, key, &mut self.counters);
                    self.key = Some(key);
                }
                TcpEvent::Data(key) => {
                    self.with_context(|front, context| front.data(context, key));
                }
                TcpEvent::Alarm(key) => {
                    self.with_context(|front, context| front.alarm_due(context, key));
                }
                TcpEvent::Closed(key, _) => {
                    self.with_context(|front, context| front.connection_closed(context, key))
                }
                _ => {}
            }
        }
    }

    /// Runs iterations until `condition` is true.
    fn until(&mut self, condition: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !condition(self) {
            assert!(Instant::now() < end, "timed out waiting for a condition");
            self.iterate();
        }
    }

    /// Sets the idle timeout.
    fn set_idle_timeout(&mut self, span: Duration) {
        self.front.idle = span;
        let key = self.key.expect("connected");
        self.front.set_alarm(&mut self.tcp, key);
    }
}

fn request() -> Vec<u8> {
    let id = "00000000000000aa";
    let fields = [("op", "safe"), ("call", id), ("ttl", "3000"), ("row", id)];
    let mut out = Vec::new();
    frames::request(&mut out, 1, &fields, b"body");
    out
}

#[test]
fn connection_without_a_request_is_closed_after_its_idle_time() {
    let mut harness = FrontHarness::new();
    harness.set_idle_timeout(Duration::from_millis(10));
    harness.until(|harness| harness.counters.closed_idle == 1);
    harness.tcp.flush_all();
    let mut rest = Vec::new();
    harness.client.read_to_end(&mut rest).expect("closed in order");
    assert_eq!(harness.front.clients(), 0);
}

#[test]
fn connection_within_a_frame_is_not_closed_as_idle() {
    let mut harness = FrontHarness::new();
    let whole = request();
    let (first, rest) = whole.split_at(whole.len() / 2);
    harness.client.write_all(first).expect("written");
    harness.until(|harness| harness.front.clients[&harness.key.expect("connected")].frame_began.is_some());
    // The idle timeout has passed.
    harness.set_idle_timeout(Duration::ZERO);
    let key = harness.key.expect("connected");
    harness.with_context(|front, context| front.alarm_due(context, key));
    harness.iterate();
    harness.client.write_all(rest).expect("still open");
    harness.until(|harness| !harness.events.is_empty());
    assert!(matches!(harness.events[..], [ClientEvent::Request(_)]));
    assert_eq!((harness.counters.closed_idle, harness.counters.closed_for_silence), (0, 0));
}

#[test]
fn request_that_arrives_as_the_idle_alarm_fires_is_accepted() {
    let mut harness = FrontHarness::new();
    harness.set_idle_timeout(Duration::ZERO);
    harness.client.write_all(&request()).expect("written");
    // The alarm is handled before a poll has reported the request: the last check before closing finds it.
    let key = harness.key.expect("connected");
    harness.with_context(|front, context| front.alarm_due(context, key));
    harness.until(|harness| !harness.events.is_empty());
    assert!(matches!(harness.events[..], [ClientEvent::Request(_)]));
    assert_eq!(harness.counters.closed_idle, 0);
}

/// Guards against sound clients that lose their connection because their first requests were refused for a limit of the
/// node.
#[test]
fn connection_whose_first_request_is_refused_for_a_limit_is_not_unresponsive() {
    let mut harness = FrontHarness::connect(|bounds| bounds.body_bytes = 0);
    harness.client.write_all(&request()).expect("written");
    harness.until(|harness| harness.counters.over_bodies == 1);
    let key = harness.key.expect("connected");
    let client = harness.front.clients.get_mut(&key).expect("open");
    client.accepted_at = Instant::now().checked_sub(FIRST_FRAME_TIMEOUT).expect("the clock began earlier");
    assert_eq!(client.eviction_rank(Instant::now()).order, EvictionOrder::Idle);
    harness.with_context(|front, context| front.alarm_due(context, key));
    assert_eq!(harness.counters.closed_for_silence, 0);
    assert!(harness.client_state().is_some(), "the connection stays open");
}

#[test]
fn connection_with_unsent_answers_is_not_evicted() {
    let mut harness = FrontHarness::new();
    let key = harness.key.expect("connected");
    let candidate = |harness: &mut FrontHarness| {
        harness.front.eviction_candidate(&mut harness.tcp, EvictionOrder::WithinFrame)
    };
    assert_eq!(candidate(&mut harness), Some(key), "the connection is idle");
    // The client does not read: fills the send buffer of the socket.
    let answer = vec![0; 256 << 10];
    while harness.tcp.unsent(key) == 0 {
        harness.tcp.send(key, &answer).expect("there is room");
        harness.tcp.flush(key);
    }
    assert_eq!(candidate(&mut harness), None);
    assert_eq!(harness.counters.violations.total(), 0);
}

/// Guards against answers that are lost because the connection on which they were sent is reset for a new one.
#[test]
fn connection_that_closes_for_faults_is_evicted_only_at_the_bound_and_keeps_its_answers() {
    let mut harness = FrontHarness::new();
    let key = harness.key.expect("connected");
    let mut faults = Vec::new();
    (1..=CONSECUTIVE_FAULTS + 1).for_each(|stream| frames::request(&mut faults, stream, &[], b""));
    harness.client.write_all(&faults).expect("written");
    harness.until(|harness| harness.counters.closed_for_faults == 1);
    // Below the bound on connections, and at it.
    for (last, found) in [(EvictionOrder::StalledFrame, None), (EvictionOrder::WithinFrame, Some(key))] {
        assert_eq!(harness.front.eviction_candidate(&mut harness.tcp, last), found);
    }
    harness.front.evict(&mut harness.tcp, key, &mut harness.counters);
    let mut reasons = Reasons::default();
    reasons.closed(CloseReason::Faults, 0);
    assert_eq!(harness.counters.reasons, reasons, "its close was counted before");
    // A request that was on its way.
    harness.client.write_all(&request()).expect("the socket is open");
    harness.iterate();
    let mut received = Vec::new();
    harness.client.read_to_end(&mut received).expect("closed in order");
    let (mut received, mut reader) = (BytesMut::from(&received[..]), frames::Reader::default());
    let read = std::iter::from_fn(|| reader.next(&mut received).expect("a frame"));
    let answered = read.filter_map(|frame| match frame {
        Frame::Complete { kind: kind::ANSWER, stream, .. } => Some(stream),
        _ => None,
    });
    let all = (1..=CONSECUTIVE_FAULTS + 1).chain([0]);
    assert_eq!(answered.collect::<Vec<_>>(), all.collect::<Vec<_>>(), "stream 0 tells of the close");
}
