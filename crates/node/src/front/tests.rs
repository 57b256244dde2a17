//! Clients' connections about the end of their idle time, which is short here.

use std::io::{Read, Write};
use std::net::TcpStream;

use nettleferry_net::tcp::{TcpEvent, TcpLimits};
use nettleferry_platform::frames::kind;

use super::*;

/// No wait of these tests is longer; each is for an event.
const PATIENCE: Duration = Duration::from_secs(20);

/// A front that acts on what its connections tell.
struct Stand {
    tcp: Tcp,
    front: Front,
    client: TcpStream,
    key: Option<TcpKey>,
    events: Vec<ClientEvent>,
    counters: Counters,
}

impl Stand {
    /// One with a client that was answered and is idle.
    fn new() -> Self {
        let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
        let address = tcp.listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let bounds = Bounds::of(&nettleferry_platform::config::Limits::default(), None);
        let front = Front::new(&["safe".to_owned()], &[], vec![4_000.0], bounds);
        let client = TcpStream::connect(address).expect("it listens");
        client.set_nodelay(true).expect("set");
        client.set_read_timeout(Some(PATIENCE)).expect("set");
        let (events, counters) = (Vec::new(), Counters::default());
        let mut stand = Self { tcp, front, client, key: None, events, counters };
        let mut ready = Vec::new();
        frames::bare(&mut ready, kind::READY, 0);
        stand.client.write_all(&ready).expect("written");
        stand.until(|stand| stand.key.is_some_and(|key| stand.front.clients[&key].active));
        stand
    }

    fn turn(&mut self) {
        let mut happened = Vec::new();
        self.tcp.poll(Some(Duration::from_millis(1)), &mut happened).expect("polls");
        for event in happened {
            match event {
                TcpEvent::Accepted(key) => {
                    self.front.accepted(&mut self.tcp, key, &mut self.counters);
                    self.key = Some(key);
                }
                TcpEvent::Data(key) => {
                    self.front.data(&mut self.tcp, key, &mut self.events, &mut self.counters);
                }
                TcpEvent::Alarm(key) => {
                    self.front.alarm_due(&mut self.tcp, key, &mut self.events, &mut self.counters);
                }
                TcpEvent::Closed(key, _) => {
                    self.front.connection_closed(key, &mut self.events, &mut self.counters)
                }
                _ => {}
            }
        }
    }

    fn until(&mut self, holds: impl Fn(&Self) -> bool) {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            assert!(Instant::now() < end, "it did not come");
            self.turn();
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
fn a_connection_without_a_request_is_closed_when_its_idle_time_is_over() {
    let mut stand = Stand::new();
    stand.idle_for(Duration::from_millis(10));
    stand.until(|stand| stand.counters.closed_idle == 1);
    stand.tcp.flush_all();
    let mut rest = Vec::new();
    stand.client.read_to_end(&mut rest).expect("ended in order");
    assert_eq!(stand.front.clients(), 0);
}

#[test]
fn half_a_request_is_no_idleness_though_its_connection_s_idle_time_is_over() {
    let mut stand = Stand::new();
    let whole = request();
    let (half, rest) = whole.split_at(whole.len() / 2);
    stand.client.write_all(half).expect("written");
    stand.until(|stand| stand.front.clients[&stand.key.expect("connected")].frame_began.is_some());
    // By this clock it has been idle for long.
    stand.idle_for(Duration::ZERO);
    let key = stand.key.expect("connected");
    stand.front.alarm_due(&mut stand.tcp, key, &mut stand.events, &mut stand.counters);
    stand.turn();
    stand.client.write_all(rest).expect("still open");
    stand.until(|stand| !stand.events.is_empty());
    assert!(matches!(stand.events[..], [ClientEvent::Request(_)]));
    assert_eq!((stand.counters.closed_idle, stand.counters.closed_for_silence), (0, 0));
}

#[test]
fn a_request_that_crosses_the_end_of_its_connection_s_idle_time_is_taken() {
    let mut stand = Stand::new();
    stand.idle_for(Duration::ZERO);
    stand.client.write_all(&request()).expect("written");
    // Its alarm is acted on before a turn has told of the request: a last look finds it.
    let key = stand.key.expect("connected");
    stand.front.alarm_due(&mut stand.tcp, key, &mut stand.events, &mut stand.counters);
    stand.until(|stand| !stand.events.is_empty());
    assert!(matches!(stand.events[..], [ClientEvent::Request(_)]));
    assert_eq!(stand.counters.closed_idle, 0);
}

#[test]
fn a_connection_that_has_not_taken_its_answers_makes_no_room() {
    let mut stand = Stand::new();
    let key = stand.key.expect("connected");
    let idle = |stand: &mut Stand| stand.front.eviction_candidate(&mut stand.tcp, EvictionOrder::WithinFrame);
    assert_eq!(idle(&mut stand), Some(key), "it is idle");
    // Until the system takes no more of what its client does not read.
    let answer = vec![0; 256 << 10];
    while stand.tcp.unsent(key) == 0 {
        stand.tcp.send(key, &answer).expect("there is room");
        stand.tcp.flush(key);
    }
    assert_eq!(idle(&mut stand), None);
    assert_eq!(stand.counters.violations.total(), 0);
}
