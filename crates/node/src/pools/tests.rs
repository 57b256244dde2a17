//! Requests to an invoker that reads nothing: what is written, what is taken back, what ends with its connection.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;

use bytes::Bytes;
use nettleferry_engine::{AttemptId, CallId};
use nettleferry_net::tcp::{TcpEvent, TcpLimits};
use nettleferry_platform::resp;

use super::pending::OutputRange;
use super::*;
use crate::limits::{Counters, OUTDATED_READ};

const W: WorkerId = WorkerId(7);

/// Pools with one invoker that accepts and reads nothing, over one or two connections.
struct PoolHarness {
    tcp: Tcp,
    pools: ConnectionPools,
    peer: TcpListener,
    sockets: Vec<TcpStream>,
    events: Vec<Event>,
    counters: Counters,
    next: u64,
    time_left: Duration,
}

impl PoolHarness {
    fn new() -> Self {
        let peer = TcpListener::bind("127.0.0.1:0").expect("a port");
        let mut tcp = Tcp::new(TcpLimits::default()).expect("a poll");
        let bounds = Bounds {
            clients: 1,
            idle_clients: 1,
            pool_connections: 2,
            open_calls: 9,
            body_bytes: 9,
            functions: 9,
        };
        let mut pools = ConnectionPools::new(bounds, 10_000, None, false);
        let listed = Endpoint { address: peer.local_addr().expect("bound"), started: None, in_service: true };
        pools.update_endpoints(&mut tcp, &BTreeMap::from([(W, listed)]), &mut Vec::new());
        Self {
            tcp,
            pools,
            peer,
            sockets: Vec::new(),
            events: Vec::new(),
            counters: Counters::default(),
            next: 0,
            time_left: Duration::from_secs(60),
        }
    }

    fn start(&mut self, bytes: usize) -> AttemptId {
        self.next += 1;
        let id = AttemptId { call: CallId(self.next), number: 0 };
        let (call_id, body) = (format!("{:016x}", self.next), Bytes::from(vec![b'x'; bytes]));
        let deadline = Instant::now() + self.time_left;
        let (call_id, class, function) = (Arc::from(call_id), Arc::from("safe"), Arc::from("f"));
        let attempt = Attempt { id, call_id, class, function, key: None, deadline, send_by: None, body };
        self.with_context(|pools, context| pools.start(context, W, attempt));
        id
    }

    fn with_context(&mut self, act: impl FnOnce(&mut ConnectionPools, &mut PoolContext)) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.events, &mut self.counters);
        act(&mut self.pools, &mut PoolContext { tcp, events, counters });
    }

    fn iterate(&mut self) {
        let mut events = Vec::new();
        self.tcp.poll(Some(Duration::from_millis(1)), &mut events).expect("a poll");
        for event in events {
            if let TcpEvent::Connected(key) = event {
                self.with_context(|pools, context| pools.connected(context, key, 0, |_| true));
                self.sockets.push(self.peer.accept().expect("connected").0);
            }
        }
        self.with_context(|pools, context| pools.flush(context, |_| true));
    }

    /// The connection of an attempt in flight, and its place in the output there.
    fn location(&self, id: AttemptId) -> (TcpKey, Option<OutputRange>) {
        let location = self.pools.pending.get(&PendingResponse::Attempt(id)).expect("it is in flight");
        let request = &self.pools.connections[&location.connection].open[&location.tag];
        (location.connection, request.output)
    }

    fn connection_of(&self, id: AttemptId) -> TcpKey {
        self.location(id).0
    }

    fn is_written(&self, id: AttemptId) -> bool {
        let (key, output) = self.location(id);
        output.is_some_and(|output| output.end <= self.tcp.written(key))
    }

    /// Starts an attempt and waits until the system has it.
    fn written(&mut self, bytes: usize) -> AttemptId {
        let id = self.start(bytes);
        while !self.is_written(id) {
            self.iterate();
        }
        id
    }

    fn cancel(&mut self, id: AttemptId) {
        self.with_context(|pools, context| pools.cancel(context, id));
    }
}

#[test]
fn cancellation_is_written_before_anything_that_follows() {
    let mut harness = PoolHarness::new();
    // Three on two connections: one of them carries two.
    let all: Vec<AttemptId> = (0..3).map(|_| harness.start(10)).collect();
    while !all.iter().all(|id| harness.is_written(*id)) {
        harness.iterate();
    }
    let shared = all
        .iter()
        .find(|id| harness.pools.connections[&harness.connection_of(**id)].open.len() == 2)
        .expect("shared");
    let key = harness.connection_of(*shared);
    let before = harness.tcp.written(key);
    harness.cancel(*shared);
    assert!(harness.tcp.written(key) > before, "it has left, without a turn");
    assert_eq!(
        (harness.counters.cut_to_withdraw, harness.events.len()),
        (0, 0),
        "what shares its connection goes on"
    );
}

#[test]
fn connection_that_cannot_take_a_cancellation_is_closed_first() {
    let mut harness = PoolHarness::new();
    let first = harness.written(10);
    let key = harness.connection_of(first);
    let mut there = vec![first];
    // Until the system takes no more of what is sent there.
    for _ in 0..20_000 {
        let id = harness.start(16 << 10);
        if harness.connection_of(id) == key {
            there.push(id);
        }
        harness.iterate();
        if !there.iter().all(|id| harness.is_written(*id)) {
            break;
        }
    }
    let unsent: Vec<AttemptId> = there.iter().copied().filter(|id| !harness.is_written(*id)).collect();
    assert!(
        !unsent.is_empty() && harness.is_written(first),
        "the connection takes no more, and the first has left"
    );
    harness.cancel(first);
    assert_eq!(harness.counters.cut_to_withdraw, 1);
    assert!(!harness.pools.owns(key) && harness.tcp.input(key).is_none(), "the connection is gone at once");
    let mut ends = BTreeMap::new();
    for event in &harness.events {
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
    let _ = harness.sockets[0].read_to_end(&mut seen);
    assert!(!seen.is_empty());
}

#[test]
fn unwritten_request_is_taken_back() {
    let mut harness = PoolHarness::new();
    harness.written(10);
    // Its connection is the only one that the bound allows besides the first's: they share them from here on.
    harness.written(10);
    // Queued in one turn behind each other, none of them handed to the system.
    let (third, fourth, fifth) = (harness.start(20), harness.start(30), harness.start(40));
    let shared = [third, fourth, fifth].map(|id| harness.connection_of(id));
    assert!(shared[0] == shared[2], "the third and the fifth share one: {shared:?}");
    let key = shared[0];
    let written = harness.tcp.written(key);
    harness.cancel(third);
    assert_eq!(
        (harness.tcp.written(key), harness.events.len()),
        (written, 0),
        "nothing leaves for it, and nobody is hurt"
    );
    while !(harness.is_written(fourth) && harness.is_written(fifth)) {
        harness.iterate();
    }
    assert_eq!(
        harness.location(fifth).1.map(|output| output.end),
        Some(harness.tcp.written(key)),
        "what stood behind it has moved up"
    );
    let mut seen = vec![0; 4096];
    let mut all = String::new();
    for socket in &mut harness.sockets {
        let n = socket.read(&mut seen).expect("something came");
        all.push_str(&String::from_utf8_lossy(&seen[..n]));
    }
    let sent = |n: u64| all.contains(&format!("{n:016x}"));
    assert!(!sent(3) && sent(4) && sent(5) && !all.contains("CANCEL"), "{all}");
}

#[test]
fn request_expired_while_connecting_is_not_written() {
    let mut harness = PoolHarness::new();
    harness.time_left = Duration::ZERO;
    let late = harness.start(10);
    harness.time_left = Duration::from_secs(60);
    while harness.events.is_empty() {
        harness.iterate();
    }
    let Some(Event::AttemptEnded { attempt, end: how, .. }) = harness.events.first() else {
        panic!("{:?}", harness.events)
    };
    assert_eq!((attempt, how), (&late, &AttemptEnd::NotWritten), "proven not to have left");
    harness.written(10);
    let mut seen = vec![0; 4096];
    let n = harness.sockets[0].read(&mut seen).expect("something came");
    let seen = String::from_utf8_lossy(&seen[..n]);
    assert!(seen.contains(&format!("{:016x}", 2)) && !seen.contains(&format!("{:016x}", 1)), "{seen}");
}

#[test]
fn request_that_expires_before_it_is_written_ends_without_a_violation() {
    // Guards against a process that stands still between a decision and its sending, taken for a broken invariant.
    let mut harness = PoolHarness::new();
    harness.written(10);
    harness.written(10);
    harness.time_left = Duration::ZERO;
    let late = harness.start(10);
    harness.iterate();
    let ends: Vec<_> = harness
        .events
        .iter()
        .map(|event| match event {
            Event::AttemptEnded { attempt, end, .. } => (*attempt, end.clone()),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(ends, [(late, AttemptEnd::NotWritten)]);
    assert_eq!(harness.counters.violations.total(), 0);
}

#[test]
fn request_of_a_process_that_stood_still_is_written_after_another_read() {
    // Guards against attempts for clients that have left while the process stood still in the middle of an iteration.
    let mut harness = PoolHarness::new();
    let all = [harness.start(10), harness.start(10)];
    while !all.iter().all(|id| harness.is_written(*id)) {
        harness.iterate();
    }
    let stand_still = |harness: &PoolHarness| {
        let until = harness.tcp.now() + OUTDATED_READ + Duration::from_millis(1);
        while Instant::now() < until {
            std::thread::yield_now();
        }
    };
    let (left, waits) = (harness.start(10), harness.start(10));
    stand_still(&harness);
    for _ in 0..2 {
        harness.with_context(|pools, context| pools.flush(context, |_| true));
        assert!(harness.location(left).1.is_none() && harness.location(waits).1.is_none(), "both wait");
        assert!(harness.pools.awaits_read());
    }
    // What the next read tells takes it back.
    harness.tcp.poll(Some(Duration::ZERO), &mut Vec::new()).expect("a poll");
    harness.cancel(left);
    assert!(harness.pools.awaits_read());
    // A process that stands still again and again goes on writing.
    stand_still(&harness);
    harness.with_context(|pools, context| pools.flush(context, |_| true));
    assert!(harness.is_written(waits) && !harness.pools.awaits_read());
    // Where all of it is taken back, nothing waits any more.
    harness.iterate();
    let last = harness.start(10);
    stand_still(&harness);
    harness.with_context(|pools, context| pools.flush(context, |_| true));
    harness.cancel(last);
    harness.iterate();
    assert!(!harness.pools.awaits_read());
    let (mut all, mut buffer) = (Vec::new(), vec![0; 4096]);
    for socket in &mut harness.sockets {
        let length = socket.read(&mut buffer).expect("something came");
        all.extend_from_slice(&buffer[..length]);
    }
    let all = String::from_utf8_lossy(&all);
    assert!(!all.contains(&format!("{:016x}", left.call.0)) && !all.contains("CANCEL"), "{all}");
}

#[test]
fn connection_past_its_idle_time_is_not_chosen() {
    let mut harness = PoolHarness::new();
    harness.pools.idle = Some(Duration::from_millis(1));
    let first = harness.written(10);
    let key = harness.connection_of(first);
    let mut answer = Vec::new();
    resp::command(&mut answer, &[format!("{:016x}", 1).as_bytes(), b"served", b"-", b"x"]);
    harness.sockets[0].write_all(&answer).expect("written");
    while harness.pools.connections[&key].idle_since.is_none() {
        let mut events = Vec::new();
        harness.tcp.poll(Some(Duration::from_millis(1)), &mut events).expect("a poll");
        if events.contains(&TcpEvent::Data(key)) {
            harness.with_context(|pools, context| pools.data(context, key));
        }
    }
    // No turn comes between the end of its idle time and the next command.
    let over = harness.pools.connections[&key].idle_since.expect("just seen") + Duration::from_millis(1);
    while Instant::now() < over {
        std::thread::yield_now();
    }
    let second = harness.start(10);
    assert_ne!(harness.connection_of(second), key);
}

/// A connection that takes nothing for so many iterations is full.
const STUCK_ITERATIONS: usize = 100;

#[test]
fn request_that_a_full_connection_takes_late_states_the_time_left_by_then() {
    // Guards against time that is reckoned when a request is queued and is over when its bytes leave.
    let mut harness = PoolHarness::new();
    let mut all = Vec::new();
    // Until the system takes no more of what is sent there, and goes on to take nothing.
    loop {
        all.push(harness.start(16 << 10));
        let newest = all[all.len() - 1];
        let is_stuck = harness.connection_of(newest) == harness.connection_of(all[0])
            && (0..STUCK_ITERATIONS).all(|_| {
                harness.iterate();
                !harness.is_written(newest)
            });
        if is_stuck {
            break;
        }
    }
    let key = harness.connection_of(all[0]);
    let mut last = harness.start(10);
    while harness.connection_of(last) != key {
        last = harness.start(10);
    }
    let deadline = Instant::now() + harness.time_left;
    let later = Instant::now() + Duration::from_millis(300);
    while Instant::now() < later {
        harness.iterate();
    }
    assert!(!harness.is_written(last), "nothing was read yet");
    let left = deadline.saturating_duration_since(Instant::now());
    let call = format!("{:016x}", last.call.0);
    let (mut seen, mut buffer) = (vec![Vec::new(); harness.sockets.len()], vec![0; 64 << 10]);
    let told = loop {
        harness.iterate();
        for (socket, seen) in harness.sockets.iter_mut().zip(&mut seen) {
            socket.set_nonblocking(true).expect("set");
            if let Ok(length) = socket.read(&mut buffer) {
                seen.extend_from_slice(&buffer[..length]);
            }
        }
        if let Some(told) = seen.iter().find_map(|seen| patience_of(seen, &call)) {
            break told;
        }
    };
    assert!(
        u128::from(told) <= left.as_millis() + 1,
        "told {told} ms, {left:?} were left before it was written"
    );
}

/// The time that an invoker was told for a call, milliseconds, once the whole field has come.
fn patience_of(bytes: &[u8], call: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(bytes);
    let fields = &text[text.find(call)?..];
    let value = &fields[fields.find("patience=")? + "patience=".len()..];
    let end = value.find(|c: char| !c.is_ascii_digit())?;
    value[..end].parse().ok()
}
