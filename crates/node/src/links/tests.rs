//! Commands to an invoker that reads nothing: what has left, what is taken back, what ends with its connection.

use super::*;

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use bytes::Bytes;
use nettleferry_engine::{AttemptId, CallId};
use nettleferry_net::tcp::{TcpEvent, TcpLimits};
use nettleferry_platform::resp;

use crate::limits::Counters;

const W: WorkerId = WorkerId(7);

/// Links to one invoker that accepts and reads nothing, over one or two connections.
struct Rig {
    tcp: Tcp,
    links: Links,
    peer: TcpListener,
    sockets: Vec<TcpStream>,
    told: Vec<Event>,
    count: Counters,
    next: u64,
    time: Duration,
}

impl Rig {
    fn new() -> Self {
        let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
        let bounds =
            Bounds { clients: 1, idle_clients: 1, links: 2, open_calls: 9, body_bytes: 9, functions: 9 };
        let mut links = Links::new(bounds, 10_000, None, false);
        let listed = Endpoint { address: peer.local_addr().expect("bound"), started: None, on: true };
        links.list(&mut tcp, &BTreeMap::from([(W, listed)]), &mut Vec::new());
        Self {
            tcp,
            links,
            peer,
            sockets: Vec::new(),
            told: Vec::new(),
            count: Counters::default(),
            next: 0,
            time: Duration::from_secs(60),
        }
    }

    fn start(&mut self, bytes: usize) -> AttemptId {
        self.next += 1;
        let id = AttemptId { call: CallId(self.next), number: 0 };
        let (name, body) = (format!("{:016x}", self.next), Bytes::from(vec![b'x'; bytes]));
        let until = Instant::now() + self.time;
        let (name, sort, asset) = (Arc::from(name), Arc::from("safe"), Arc::from("f"));
        let attempt = Attempt { id, name, sort, asset, key: None, until, leave_by: None, body };
        self.links.start(&mut self.tcp, W, attempt, &mut self.told, &mut self.count);
        id
    }

    fn turn(&mut self) {
        let mut events = Vec::new();
        self.tcp.turn(Some(Duration::from_millis(1)), &mut events).expect("a poll");
        for event in events {
            if let TcpEvent::Connected(key) = event {
                let count = &mut self.count;
                self.links.connected(&mut self.tcp, key, 0, |_| true, &mut self.told, count);
                self.sockets.push(self.peer.accept().expect("connected").0);
            }
        }
    }

    fn at(&self, id: AttemptId) -> (TcpKey, Option<u64>) {
        let (key, tag) = self.links.owed.get(&Owed::Attempt(id)).expect("it is out");
        (*key, self.links.links[key].items[tag].place.map(|(_, end)| end))
    }

    fn left(&self, id: AttemptId) -> bool {
        let (key, end) = self.at(id);
        end.is_some_and(|end| end <= self.tcp.written(key))
    }

    fn withdraw(&mut self, id: AttemptId) {
        self.links.withdraw(&mut self.tcp, id, &mut self.told, &mut self.count);
    }
}

#[test]
fn the_word_that_ends_an_attempt_leaves_before_anything_that_follows() {
    let mut rig = Rig::new();
    // Three on two connections: one of them carries two.
    let all: Vec<AttemptId> = (0..3).map(|_| rig.start(10)).collect();
    while !all.iter().all(|id| rig.left(*id)) {
        rig.turn();
    }
    let shared = all.iter().find(|id| rig.links.links[&rig.at(**id).0].items.len() == 2).expect("shared");
    let key = rig.at(*shared).0;
    let before = rig.tcp.written(key);
    rig.withdraw(*shared);
    assert!(rig.tcp.written(key) > before, "it has left, without a turn");
    assert_eq!((rig.count.cut_to_withdraw, rig.told.len()), (0, 0), "what shares its connection goes on");
}

#[test]
fn where_an_attempt_s_end_can_t_be_told_its_connection_ends_before_its_call_goes_on() {
    let mut rig = Rig::new();
    let first = rig.start(10);
    while !rig.left(first) {
        rig.turn();
    }
    let key = rig.at(first).0;
    let mut there = vec![first];
    // Until the system takes no more of what is sent there.
    for _ in 0..20_000 {
        let id = rig.start(16 << 10);
        if rig.at(id).0 == key {
            there.push(id);
        }
        rig.turn();
        if !there.iter().all(|id| rig.left(*id)) {
            break;
        }
    }
    let unsent: Vec<AttemptId> = there.iter().copied().filter(|id| !rig.left(*id)).collect();
    assert!(!unsent.is_empty() && rig.left(first), "the connection takes no more, and the first has left");
    rig.withdraw(first);
    assert_eq!(rig.count.cut_to_withdraw, 1);
    assert!(!rig.links.owns(key) && rig.tcp.input(key).is_none(), "the connection is gone at once");
    let mut ends = BTreeMap::new();
    for event in &rig.told {
        if let Event::AttemptEnded { attempt, end: how, .. } = event {
            assert!(ends.insert(*attempt, how.clone()).is_none(), "one end each");
        }
    }
    assert_eq!(ends.len(), there.len() - 1, "all that shared it have ended, the withdrawn one in silence");
    for id in &there[1..] {
        let how = if unsent.contains(id) { AttemptEnd::NotWritten } else { AttemptEnd::Broken };
        assert_eq!(ends.get(id), Some(&how));
    }
    // Its invoker sees the end as soon as it looks.
    let mut seen = Vec::new();
    let _ = rig.sockets[0].read_to_end(&mut seen);
    assert!(!seen.is_empty());
}

#[test]
fn what_has_not_begun_to_leave_is_taken_back_whole() {
    let mut rig = Rig::new();
    let first = rig.start(10);
    while !rig.left(first) {
        rig.turn();
    }
    // Its connection is the only one that the bound allows besides the first's: they share them from here on.
    let second = rig.start(10);
    while !rig.left(second) {
        rig.turn();
    }
    // Queued in one turn behind each other, none of them handed to the system.
    let (third, fourth, fifth) = (rig.start(20), rig.start(30), rig.start(40));
    let shared = [third, fourth, fifth].map(|id| rig.at(id).0);
    assert!(shared[0] == shared[2], "the third and the fifth share one: {shared:?}");
    let key = shared[0];
    let written = rig.tcp.written(key);
    rig.withdraw(third);
    assert_eq!(
        (rig.tcp.written(key), rig.told.len()),
        (written, 0),
        "nothing leaves for it, and nobody is hurt"
    );
    while !(rig.left(fourth) && rig.left(fifth)) {
        rig.turn();
    }
    assert_eq!(rig.at(fifth).1, Some(rig.tcp.written(key)), "what stood behind it has moved up");
    let mut seen = vec![0; 4096];
    let mut all = String::new();
    for socket in &mut rig.sockets {
        let n = socket.read(&mut seen).expect("something came");
        all.push_str(&String::from_utf8_lossy(&seen[..n]));
    }
    let sent = |n: u64| all.contains(&format!("{n:016x}"));
    assert!(!sent(3) && sent(4) && sent(5) && !all.contains("CANCEL"), "{all}");
}

#[test]
fn what_waited_for_its_connection_beyond_its_time_is_not_written() {
    let mut rig = Rig::new();
    rig.time = Duration::ZERO;
    let late = rig.start(10);
    rig.time = Duration::from_secs(60);
    while rig.told.is_empty() {
        rig.turn();
    }
    let Some(Event::AttemptEnded { attempt, end: how, .. }) = rig.told.first() else {
        panic!("{:?}", rig.told)
    };
    assert_eq!((attempt, how), (&late, &AttemptEnd::NotWritten), "proven not to have left");
    let next = rig.start(10);
    while !rig.left(next) {
        rig.turn();
    }
    let mut seen = vec![0; 4096];
    let n = rig.sockets[0].read(&mut seen).expect("something came");
    let seen = String::from_utf8_lossy(&seen[..n]);
    assert!(seen.contains(&format!("{:016x}", 2)) && !seen.contains(&format!("{:016x}", 1)), "{seen}");
}

#[test]
fn a_connection_whose_idle_time_is_over_is_not_chosen_before_its_alarm() {
    let mut rig = Rig::new();
    rig.links.idle = Some(Duration::from_millis(1));
    let first = rig.start(10);
    while !rig.left(first) {
        rig.turn();
    }
    let key = rig.at(first).0;
    let mut answer = Vec::new();
    resp::command(&mut answer, &[format!("{:016x}", 1).as_bytes(), b"served", b"-", b"x"]);
    rig.sockets[0].write_all(&answer).expect("written");
    while rig.links.links[&key].idle_since.is_none() {
        let mut events = Vec::new();
        rig.tcp.turn(Some(Duration::from_millis(1)), &mut events).expect("a poll");
        if events.contains(&TcpEvent::Data(key)) {
            rig.links.data(&mut rig.tcp, key, &mut rig.told, &mut rig.count);
        }
    }
    // No turn comes between the end of its idle time and the next command.
    let over = rig.links.links[&key].idle_since.expect("just seen") + Duration::from_millis(1);
    while Instant::now() < over {
        std::thread::yield_now();
    }
    let second = rig.start(10);
    assert_ne!(rig.at(second).0, key);
}
