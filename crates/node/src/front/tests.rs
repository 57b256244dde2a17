//! Clients' connections about the end of their idle time, which is short here.

use std::io::{Read, Write};
use std::net::TcpStream;

use nettleferry_net::tcp::{TcpEvent, TcpLimits};
use nettleferry_platform::frames::kind;

use super::*;

/// No wait of these tests is longer; each is for an event.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A front that acts on what its connections tell.
struct FrontHarness {
    tcp: Tcp,
    front: Front,
    client: TcpStream,
    key: Option<TcpKey>,
    events: Vec<ClientEvent>,
    counters: Counters,
}

impl FrontHarness {
    /// One with a client that was answered and is idle.
    fn new() -> Self {
        let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
        let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let bounds = Bounds::of(&nettleferry_platform::config::Limits::default(), None);
        let front = Front::new(&["safe".to_owned()], &[], vec![4_000.0], bounds);
        let client = TcpStream::connect(address).expect("it listens");
        client.set_nodelay(true).expect("set");
        client.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
        let (events, counters) = (Vec::new(), Counters::default());
        let mut harness = Self { tcp, front, client, key: None, events, counters };
        let mut ready = Vec::new();
        frames::bare(&mut ready, kind::READY, 0);
        harness.client.write_all(&ready).expect("written");
        harness.until(|harness| harness.key.is_some_and(|key| harness.front.clients[&key].active));
        harness
    }

    fn with_context(&mut self, act: impl FnOnce(&mut Front, &mut FrontContext)) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.events, &mut self.counters);
        act(&mut self.front, &mut FrontContext { tcp, events, counters });
    }

    fn iterate(&mut self) {
        let mut happened = Vec::new();
        self.tcp.poll(Some(Duration::from_millis(1)), &mut happened).expect("polls");
        for event in happened {
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

    fn until(&mut self, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + TEST_TIMEOUT;
        while !holds(self) {
            assert!(Instant::now() < end, "it did not come");
            self.iterate();
        }
    }

    /// It is idle for no longer than that from here on.
    fn idle_for(&mut self, span: Duration) {
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
    harness.idle_for(Duration::from_millis(10));
    harness.until(|harness| harness.counters.closed_idle == 1);
    harness.tcp.flush_all();
    let mut rest = Vec::new();
    harness.client.read_to_end(&mut rest).expect("ended in order");
    assert_eq!(harness.front.clients(), 0);
}

#[test]
fn connection_within_a_frame_is_not_closed_as_idle() {
    let mut harness = FrontHarness::new();
    let whole = request();
    let (half, rest) = whole.split_at(whole.len() / 2);
    harness.client.write_all(half).expect("written");
    harness.until(|harness| harness.front.clients[&harness.key.expect("connected")].frame_began.is_some());
    // By this clock it has been idle for long.
    harness.idle_for(Duration::ZERO);
    let key = harness.key.expect("connected");
    harness.with_context(|front, context| front.alarm_due(context, key));
    harness.iterate();
    harness.client.write_all(rest).expect("still open");
    harness.until(|harness| !harness.events.is_empty());
    assert!(matches!(harness.events[..], [ClientEvent::Request(_)]));
    assert_eq!((harness.counters.closed_idle, harness.counters.closed_for_silence), (0, 0));
}

#[test]
fn request_that_crosses_the_end_of_the_idle_time_is_accepted() {
    let mut harness = FrontHarness::new();
    harness.idle_for(Duration::ZERO);
    harness.client.write_all(&request()).expect("written");
    // Its alarm is acted on before a turn has told of the request: a last look finds it.
    let key = harness.key.expect("connected");
    harness.with_context(|front, context| front.alarm_due(context, key));
    harness.until(|harness| !harness.events.is_empty());
    assert!(matches!(harness.events[..], [ClientEvent::Request(_)]));
    assert_eq!(harness.counters.closed_idle, 0);
}

#[test]
fn connection_with_unsent_answers_is_not_evicted() {
    let mut harness = FrontHarness::new();
    let key = harness.key.expect("connected");
    let idle = |harness: &mut FrontHarness| {
        harness.front.eviction_candidate(&mut harness.tcp, EvictionOrder::WithinFrame)
    };
    assert_eq!(idle(&mut harness), Some(key), "it is idle");
    // Until the system takes no more of what its client does not read.
    let answer = vec![0; 256 << 10];
    while harness.tcp.unsent(key) == 0 {
        harness.tcp.send(key, &answer).expect("there is room");
        harness.tcp.flush(key);
    }
    assert_eq!(idle(&mut harness), None);
    assert_eq!(harness.counters.violations.total(), 0);
}
