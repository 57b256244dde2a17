//! Plain TCP connections on one mio poll, with bounded buffers and one alarm per connection. This module is
//! independent of the protocol.
//!
//! The owner parses the input of each connection, queues output, and calls [`Tcp::poll`], which reports
//! [`TcpEvent`]s. A connection ends with exactly one [`TcpEvent::Closed`], unless its owner ends it with
//! [`Tcp::close`] or [`Tcp::finish`].
//!
//! * `events`, `limits`: events, limits and counters. `connection`: the state of one connection.
//! * `poll`: the event loop. `accept`, `connect`: incoming and outgoing connections. `linger`: orderly close
//!   by the owner.
//! * `accounting`: the bytes held for all connections together.
//! * `input`, `output`: received and queued bytes. `last_poll`: when received bytes may have arrived.

mod accept;
mod accounting;
mod connect;
mod connection;
mod events;
mod input;
mod last_poll;
mod limits;
mod linger;
mod output;
mod poll;

use std::collections::{BTreeSet, VecDeque};
use std::io;
use std::time::Instant;

use bytes::BytesMut;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;

use connection::{Conn, ConnectAttempt, Stage};
pub use events::{ConnectionFailure, TcpEvent, TcpKey};
use last_poll::LastPoll;
pub use limits::{MIN_READ_QUOTA, TcpCounters, TcpLimits};

/// First token of listeners; the token of a connection is its index.
const LISTENERS: usize = 1 << 40;
/// First token of event sources registered by the owner.
const SOURCES: usize = 1 << 41;
/// Maximum events of one poll; further ones are reported by the next poll.
const MAX_EVENTS: usize = 8 << 10;

/// Size of the buffer that bytes are read into.
const SCRATCH_BYTES: usize = 64 << 10;

/// A set of plain TCP connections and listeners with their poll.
pub struct Tcp {
    poll: Poll,
    events: Events,
    conns: Slab<Conn>,
    /// Number of accepted connections in `conns`.
    accepted: usize,
    listeners: Vec<TcpListener>,
    alarms: BTreeSet<(Instant, TcpKey)>,
    /// Failed connects by the time of their retry.
    connect_retries: BTreeSet<(Instant, TcpKey)>,
    /// Connections to be processed by this poll or the next.
    ready: VecDeque<TcpKey>,
    /// Accepted connections whose peer has closed them, as the poll in progress has reported.
    ending: Vec<TcpKey>,
    /// Connections whose input was lent to the owner since it was last accounted for.
    lent: Vec<TcpKey>,
    /// Connections that wait to be read because of [`TcpLimits::input_sum`], the longest waiting first.
    starved: VecDeque<TcpKey>,
    /// Bytes of input that count towards [`TcpLimits::input_sum`].
    input_held: usize,
    /// Bytes of output that count towards [`TcpLimits::output_sum`].
    output_held: usize,
    /// Connections with bytes queued since the last flush.
    unflushed: Vec<TcpKey>,
    /// Connections that broke, and finished ones whose peer has closed its sending direction; the next poll
    /// removes them.
    to_remove: Vec<TcpKey>,
    /// Time at which accepting is resumed; `None` unless it is paused.
    accept_at: Option<Instant>,
    /// Listeners with more pending connections than one poll accepts.
    unfinished_accepts: Vec<usize>,
    /// Time since which pending connections may have been waiting to be accepted; `None` if none were left.
    unaccepted_since: Option<Instant>,
    generation: u32,
    limits: TcpLimits,
    counters: TcpCounters,
    /// Events that the next return of a poll reports.
    out: Vec<TcpEvent>,
    /// Buffer that bytes are read into.
    scratch: Vec<u8>,
    now: Instant,
    /// The last poll of the sockets, which reported everything that had arrived by then.
    last_poll: LastPoll,
    /// The earliest time at which the data that this poll reads may have arrived.
    earliest_arrival: Instant,
}

impl Tcp {
    /// Creates a set without connections and listeners.
    pub fn new(limits: TcpLimits) -> io::Result<Self> {
        let now = Instant::now();
        Ok(Self {
            poll: Poll::new()?,
            // Large enough for all sockets at once: for an event left to the next poll, the arrival time
            // would be unknown.
            events: Events::with_capacity((limits.accepted + limits.outgoing + 64).min(MAX_EVENTS)),
            conns: Slab::new(),
            accepted: 0,
            listeners: Vec::new(),
            alarms: BTreeSet::new(),
            connect_retries: BTreeSet::new(),
            ready: VecDeque::new(),
            ending: Vec::new(),
            lent: Vec::new(),
            starved: VecDeque::new(),
            input_held: 0,
            output_held: 0,
            unflushed: Vec::new(),
            to_remove: Vec::new(),
            accept_at: None,
            unfinished_accepts: Vec::new(),
            unaccepted_since: None,
            generation: 0,
            limits,
            counters: TcpCounters::default(),
            out: Vec::new(),
            scratch: vec![0; SCRATCH_BYTES],
            now,
            last_poll: LastPoll::new(now),
            earliest_arrival: now,
        })
    }

    /// The registry for event sources of the owner, such as signals and datagrams.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The token with which the owner must register source `number` to have it reported as
    /// [`TcpEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// Counts of connections, and of limits that were reached.
    pub fn counters(&self) -> TcpCounters {
        self.counters
    }

    /// Number of outgoing connections, established or connecting.
    pub fn outgoing(&self) -> usize {
        self.conns.len() - self.accepted
    }

    /// Adds an accepted connection, or an outgoing one with its `connect_attempt`, which may have no socket
    /// yet.
    fn add(
        &mut self,
        mut socket: Option<TcpStream>,
        connect_attempt: Option<ConnectAttempt>,
    ) -> Option<TcpKey> {
        let accepted = connect_attempt.is_none();
        self.generation = self.generation.wrapping_add(1);
        let entry = self.conns.vacant_entry();
        let (index, key) = (entry.key(), TcpKey::new(self.generation, entry.key()));
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(socket) = &mut socket {
            let _ = socket.set_nodelay(true);
            self.poll.registry().register(socket, Token(index), interest).ok()?;
        }
        let deadline = (!accepted).then(|| self.now + self.limits.connect_timeout);
        entry.insert(Conn {
            key,
            socket,
            connect_attempt,
            stage: if accepted { Stage::Open } else { Stage::Connecting },
            accepted,
            readable: accepted,
            writable: accepted,
            read_closed: false,
            input_ended: false,
            write_closed: false,
            is_lingering: false,
            // An accepted connection may have received data since it was established by the kernel.
            unread_since: accepted.then_some(self.earliest_arrival),
            arrived_at: self.earliest_arrival,
            write_failed: false,
            is_broken: false,
            is_ready: false,
            has_unflushed: false,
            input: BytesMut::new(),
            input_charge: 0,
            input_allocated: 0,
            input_lent: false,
            is_starved: false,
            output: BytesMut::new(),
            output_allocated: 0,
            output_charge: 0,
            queued: 0,
            written: 0,
            alarm: None,
            deadline,
        });
        if accepted {
            self.accepted += 1;
            self.make_ready(index);
        }
        if let Some(at) = deadline {
            self.alarms.insert((at, key));
        }
        Some(key)
    }

    fn get(&self, key: TcpKey) -> Option<&Conn> {
        self.conns.get(key.index()).filter(|c| c.key == key)
    }

    fn get_mut(&mut self, key: TcpKey) -> Option<&mut Conn> {
        self.conns.get_mut(key.index()).filter(|c| c.key == key)
    }

    /// The time at which the last poll of the sockets returned, or the creation of this set before the first
    /// one.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// The earliest time at which the events of the last poll may have occurred: the return of that poll, or
    /// of the one before if the process was delayed, stopped or interrupted.
    pub fn reported_since(&self) -> Instant {
        self.earliest_arrival
    }

    /// Sets the alarm of a connection, replacing an earlier one, or removes it if `at` is `None`.
    pub fn alarm(&mut self, key: TcpKey, at: Option<Instant>) {
        let Some(conn) = self.get_mut(key) else { return };
        let old = std::mem::replace(&mut conn.alarm, at);
        let deadline = conn.deadline;
        if let Some(old) = old.filter(|old| Some(*old) != deadline) {
            self.alarms.remove(&(old, key));
        }
        if let Some(at) = at {
            self.alarms.insert((at, key));
        }
    }

    /// Closes a connection immediately. Queued bytes are lost, and no event follows.
    pub fn close(&mut self, key: TcpKey) {
        self.remove(key, None);
    }

    /// Removes a connection. A `failure` is reported unless its owner has finished the connection.
    fn remove(&mut self, key: TcpKey, failure: Option<ConnectionFailure>) {
        if self.get(key).is_none() {
            return;
        }
        let mut conn = self.conns.remove(key.index());
        if conn.is_starved {
            self.starved.retain(|starved| *starved != key);
        }
        self.input_held -= conn.input_charge;
        self.output_held -= conn.output_charge;
        for at in [conn.alarm, conn.deadline].into_iter().flatten() {
            self.alarms.remove(&(at, key));
        }
        if let Some(at) = conn.connect_attempt.and_then(|attempt| attempt.retry_at) {
            self.connect_retries.remove(&(at, key));
        }
        if let Some(socket) = &mut conn.socket {
            let _ = self.poll.registry().deregister(socket);
        }
        if conn.accepted {
            self.accepted -= 1;
        }
        if let Some(failure) = failure.filter(|_| conn.stage != Stage::Lingering) {
            self.out.push(TcpEvent::Closed(key, failure));
        }
    }

    /// Queues a connection for processing.
    fn make_ready(&mut self, index: usize) {
        if let Some(conn) = self.conns.get_mut(index).filter(|c| !c.is_ready) {
            conn.is_ready = true;
            self.ready.push_back(conn.key);
        }
    }

    /// Whether the last poll left nothing unhandled: no pending connection because of a lack of descriptors
    /// or of a limit, no unread data and no unreported event.
    pub fn caught_up(&self) -> bool {
        let accepted = self.accept_at.is_none() && self.unfinished_accepts.is_empty();
        accepted && self.ready.is_empty() && self.starved.is_empty() && self.out.is_empty()
    }
}
