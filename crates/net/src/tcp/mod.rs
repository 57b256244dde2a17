//! Plain TCP connections under one mio poll: accept, connect, read, write, alarms; every buffer is bounded.
//!
//! The owner parses what is in a connection's input and queues bytes for it; what happened comes out as [`TcpEvent`]s.
//! Nothing here knows a protocol. A connection ends with exactly one [`TcpEvent::Closed`], unless its owner closed it
//! with [`Tcp::close`].
//!
//! * `events`, `limits`: what the owner learns and sets. `connection`: the state of one connection.
//! * `poll`: one iteration. `accept`, `connect`: how connections come about. `linger`: how their owner ends them.
//! * `input`, `output`: their bytes. `last_poll`: when they may have come.

mod accept;
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
pub use limits::{TcpCounters, TcpLimits};

/// Tokens of listeners begin here; those of connections are their indices.
const LISTENERS: usize = 1 << 40;
/// Tokens of the owner's sources begin here.
const SOURCES: usize = 1 << 41;
/// Sockets reported by one poll at the most; the others are reported by the next.
const MAX_EVENTS: usize = 8 << 10;

/// Owner of plain connections.
pub struct Tcp {
    poll: Poll,
    events: Events,
    conns: Slab<Conn>,
    /// How many of them were accepted.
    accepted: usize,
    listeners: Vec<TcpListener>,
    alarms: BTreeSet<(Instant, TcpKey)>,
    /// Connects to be retried, by the time of the retry.
    connect_retries: BTreeSet<(Instant, TcpKey)>,
    /// To be processed by this poll or the next.
    ready: VecDeque<TcpKey>,
    /// Bytes were queued there since the last flush.
    unflushed: Vec<TcpKey>,
    /// Ended by their peers, and reported: to be removed by the next poll.
    to_remove: Vec<TcpKey>,
    /// When accepting goes on, while it pauses.
    accept_at: Option<Instant>,
    /// Listeners with more to accept than one poll takes.
    unfinished_accepts: Vec<usize>,
    /// Since when connections may wait to be accepted.
    unaccepted_since: Option<Instant>,
    generation: u32,
    limits: TcpLimits,
    counters: TcpCounters,
    /// What the next return of a poll reports.
    out: Vec<TcpEvent>,
    /// Where bytes are read into.
    scratch: Vec<u8>,
    now: Instant,
    /// When the poll last returned: what had arrived by then was reported.
    last_poll: LastPoll,
    /// Since when what this poll reads may have arrived.
    earliest_arrival: Instant,
}

impl Tcp {
    /// An owner without connections.
    pub fn new(limits: TcpLimits) -> io::Result<Self> {
        let now = Instant::now();
        Ok(Self {
            poll: Poll::new()?,
            // All that can be ready at once: of what one poll leaves behind the arrival would not be known.
            events: Events::with_capacity((limits.accepted + limits.outgoing + 64).min(MAX_EVENTS)),
            conns: Slab::new(),
            accepted: 0,
            listeners: Vec::new(),
            alarms: BTreeSet::new(),
            connect_retries: BTreeSet::new(),
            ready: VecDeque::new(),
            unflushed: Vec::new(),
            to_remove: Vec::new(),
            accept_at: None,
            unfinished_accepts: Vec::new(),
            unaccepted_since: None,
            generation: 0,
            limits,
            counters: TcpCounters::default(),
            out: Vec::new(),
            scratch: vec![0; 16 << 10],
            now,
            last_poll: LastPoll::new(now),
            earliest_arrival: now,
        })
    }

    /// For sources of the owner, such as signals and datagrams.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The token under which a source is reported as [`TcpEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// Counts of connections, and of bounds that were hit.
    pub fn counters(&self) -> TcpCounters {
        self.counters
    }

    /// Outgoing connections that are established or being made.
    pub fn outgoing(&self) -> usize {
        self.conns.len() - self.accepted
    }

    /// Adds an accepted connection, or an outgoing one (with its `connect_attempt`), which may have no socket yet.
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
            // What was accepted may have received something since it arrived.
            unread_since: accepted.then_some(self.earliest_arrival),
            arrived_at: self.earliest_arrival,
            write_failed: false,
            is_broken: false,
            is_ready: false,
            has_unflushed: false,
            input: BytesMut::new(),
            output: BytesMut::new(),
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

    /// When the poll last returned.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Since when what the last poll has reported may have been there: its own return, or that of the one before where the
    /// process was delayed, stopped or interrupted.
    pub fn reported_since(&self) -> Instant {
        self.earliest_arrival
    }

    /// Sets the connection's one alarm, or removes it.
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

    /// Closes at once; what is queued is lost and no event follows.
    pub fn close(&mut self, key: TcpKey) {
        self.remove(key, None);
    }

    fn remove(&mut self, key: TcpKey, failure: Option<ConnectionFailure>) {
        if self.get(key).is_none() {
            return;
        }
        let mut conn = self.conns.remove(key.index());
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

    fn make_ready(&mut self, index: usize) {
        if let Some(conn) = self.conns.get_mut(index).filter(|c| !c.is_ready) {
            conn.is_ready = true;
            self.ready.push_back(conn.key);
        }
    }

    /// Whether the last poll has handled all that was there: no connection waits to be accepted for want of descriptors, and
    /// none was left half read.
    pub fn caught_up(&self) -> bool {
        let accepted = self.accept_at.is_none() && self.unfinished_accepts.is_empty();
        accepted && self.ready.is_empty() && self.out.is_empty()
    }
}
