//! Requests to an invoker that reads nothing: which are written, which are withdrawn, and which end with
//! their connection.

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

/// Pools with one invoker that accepts up to two connections and reads nothing.
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
            call_bytes: 9,
            body_bytes: 9,
            finished_ids: 9,
            buffer_bytes: 9,
            buffer_reserve: 9,
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

    /// Starts an attempt with a body of this size.
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

    /// The connection of an attempt in flight, and its range in the output there.
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

    /// Starts an attempt and waits until it is written to the socket.
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
    // Three attempts on two connections: one connection carries two.
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
    assert!(harness.tcp.written(key) > before, "the cancellation is written without another iteration");
    assert_eq!(
        (harness.counters.cut_to_withdraw, harness.events.len()),
        (0, 0),
        "the other attempt on the connection continues"
    );
}

#[test]
fn connection_that_cannot_take_a_cancellation_is_closed_first() {
    let mut harness = PoolHarness::new();
    let first = harness.written(10);
    let key = harness.connection_of(first);
    let mut on_connection = vec![first];
    // Fills the send buffer of the connection.
    for _ in 0..20_000 {
        let id = harness.start(16 << 10);
        if harness.connection_of(id) == key {
            on_connection.push(id);
        }
        harness.iterate();
        if !on_connection.iter().all(|id| harness.is_written(*id)) {
            break;
        }
    }
    let unsent: Vec<AttemptId> =
        on_connection.iter().copied().filter(|id| !harness.is_written(*id)).collect();
    assert!(
        !unsent.is_empty() && harness.is_written(first),
        "the connection accepts no more, and the first attempt is written"
    );
    harness.cancel(first);
    assert_eq!(harness.counters.cut_to_withdraw, 1);
    assert!(!harness.pools.owns(key) && harness.tcp.input(key).is_none(), "the connection is closed at once");
    let mut ends = BTreeMap::new();
    for event in &harness.events {
        if let Event::AttemptEnded { attempt, end, .. } = event {
            assert!(ends.insert(*attempt, end.clone()).is_none(), "one end event per attempt");
        }
    }
    assert_eq!(
        ends.len(),
        on_connection.len() - 1,
        "all others on the connection have ended, the cancelled one without an event"
    );
    for id in &on_connection[1..] {
        let end = if unsent.contains(id) { AttemptEnd::NotWritten } else { AttemptEnd::Broken };
        assert_eq!(ends.get(id), Some(&end));
    }
    // The invoker sees the end of the connection.
    let mut seen = Vec::new();
    let _ = harness.sockets[0].read_to_end(&mut seen);
    assert!(!seen.is_empty());
}

#[test]
fn unwritten_request_is_withdrawn() {
    let mut harness = PoolHarness::new();
    harness.written(10);
    // The second connection reaches the limit: later attempts share the two.
    harness.written(10);
    // Queued in one iteration, none of them written.
    let (third, fourth, fifth) = (harness.start(20), harness.start(30), harness.start(40));
    let shared = [third, fourth, fifth].map(|id| harness.connection_of(id));
    assert!(shared[0] == shared[2], "the third and the fifth share a connection: {shared:?}");
    let key = shared[0];
    let written = harness.tcp.written(key);
    harness.cancel(third);
    assert_eq!(
        (harness.tcp.written(key), harness.events.len()),
        (written, 0),
        "nothing is written for it, and no other attempt ends"
    );
    while !(harness.is_written(fourth) && harness.is_written(fifth)) {
        harness.iterate();
    }
    assert_eq!(
        harness.location(fifth).1.map(|output| output.end),
        Some(harness.tcp.written(key)),
        "the request queued behind it is written in its place"
    );
    let mut seen = vec![0; 4096];
    let mut all = String::new();
    for socket in &mut harness.sockets {
        let n = socket.read(&mut seen).expect("data arrived");
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
    let Some(Event::AttemptEnded { attempt, end, .. }) = harness.events.first() else {
        panic!("{:?}", harness.events)
    };
    assert_eq!((attempt, end), (&late, &AttemptEnd::NotWritten), "proven not to be written");
    harness.written(10);
    let mut seen = vec![0; 4096];
    let n = harness.sockets[0].read(&mut seen).expect("data arrived");
    let seen = String::from_utf8_lossy(&seen[..n]);
    assert!(seen.contains(&format!("{:016x}", 2)) && !seen.contains(&format!("{:016x}", 1)), "{seen}");
}

#[test]
fn request_that_expires_before_it_is_written_ends_without_a_violation() {
    // Guards against a false violation: the process is suspended between the engine's decision and the write,
    // so that the attempt expires.
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
fn request_is_written_after_another_read_when_the_process_was_suspended() {
    // Guards against attempts for clients that disconnect while the process is suspended in the middle of an
    // iteration.
    let mut harness = PoolHarness::new();
    let all = [harness.start(10), harness.start(10)];
    while !all.iter().all(|id| harness.is_written(*id)) {
        harness.iterate();
    }
    let suspend = |harness: &PoolHarness| {
        let until = harness.tcp.now() + OUTDATED_READ + Duration::from_millis(1);
        while Instant::now() < until {
            std::thread::yield_now();
        }
    };
    let (cancelled, waits) = (harness.start(10), harness.start(10));
    suspend(&harness);
    for _ in 0..2 {
        harness.with_context(|pools, context| pools.flush(context, |_| true));
        assert!(harness.location(cancelled).1.is_none() && harness.location(waits).1.is_none(), "both wait");
        assert!(harness.pools.awaits_read());
    }
    // The next read reports that a client has disconnected: its attempt is withdrawn.
    harness.tcp.poll(Some(Duration::ZERO), &mut Vec::new()).expect("a poll");
    harness.cancel(cancelled);
    assert!(harness.pools.awaits_read());
    // A second suspension in a row does not postpone writes again.
    suspend(&harness);
    harness.with_context(|pools, context| pools.flush(context, |_| true));
    assert!(harness.is_written(waits) && !harness.pools.awaits_read());
    // If all postponed requests are withdrawn, nothing waits for another read.
    harness.iterate();
    let last = harness.start(10);
    suspend(&harness);
    harness.with_context(|pools, context| pools.flush(context, |_| true));
    harness.cancel(last);
    harness.iterate();
    assert!(!harness.pools.awaits_read());
    let (mut all, mut buffer) = (Vec::new(), vec![0; 4096]);
    for socket in &mut harness.sockets {
        let length = socket.read(&mut buffer).expect("data arrived");
        all.extend_from_slice(&buffer[..length]);
    }
    let all = String::from_utf8_lossy(&all);
    assert!(!all.contains(&format!("{:016x}", cancelled.call.0)) && !all.contains("CANCEL"), "{all}");
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
    // No iteration runs between the end of the idle timeout and the next command.
    let timeout =
        harness.pools.connections[&key].idle_since.expect("checked above") + Duration::from_millis(1);
    while Instant::now() < timeout {
        std::thread::yield_now();
    }
    let second = harness.start(10);
    assert_ne!(harness.connection_of(second), key);
}

/// Iterations without a write after which a connection counts as full.
const STUCK_ITERATIONS: usize = 100;

#[test]
fn request_delayed_by_a_full_connection_states_the_time_left_when_written() {
    // Guards against stating the time left as of queueing the request, which may have passed when it is
    // written.
    let mut harness = PoolHarness::new();
    let mut all = Vec::new();
    // Fills the connection until the socket accepts nothing for several iterations.
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
    assert!(!harness.is_written(last), "the invoker has not read anything yet");
    let left = deadline.saturating_duration_since(Instant::now());
    let call = format!("{:016x}", last.call.0);
    let (mut seen, mut buffer) = (vec![Vec::new(); harness.sockets.len()], vec![0; 64 << 10]);
    let stated = loop {
        harness.iterate();
        for (socket, seen) in harness.sockets.iter_mut().zip(&mut seen) {
            socket.set_nonblocking(true).expect("set");
            if let Ok(length) = socket.read(&mut buffer) {
                seen.extend_from_slice(&buffer[..length]);
            }
        }
        if let Some(stated) = seen.iter().find_map(|seen| stated_patience(seen, &call)) {
            break stated;
        }
    };
    assert!(
        u128::from(stated) <= left.as_millis() + 1,
        "stated {stated} ms, {left:?} were left before the write"
    );
}

/// The time left that was stated to the invoker for a call, milliseconds; `None` until the field has arrived
/// completely.
fn stated_patience(bytes: &[u8], call: &str) -> Option<u64> {
    let text = String::from_utf8_lossy(bytes);
    let fields = &text[text.find(call)?..];
    let value = &fields[fields.find("patience=")? + "patience=".len()..];
    let end = value.find(|c: char| !c.is_ascii_digit())?;
    value[..end].parse().ok()
}
