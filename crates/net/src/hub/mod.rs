//! Connections and streams under one mio poll.
//!
//! The owner opens streams, queues messages and calls [`Hub::poll`] in a loop; what happened comes out as [`NetEvent`]s.
//! Accepted and outgoing connections are alike: a stream is one gRPC call in either role.
//!
//! A stream ends with exactly one event:
//! * a stream that we opened: [`NetEvent::Trailers`] or [`NetEvent::Failed`];
//! * a stream that a peer opened: [`NetEvent::Sent`] once all of ours was handed to HTTP/2, or [`NetEvent::Failed`].
//!
//! After [`Hub::reset`] neither follows.
//!
//! * `events`: what the owner learns. `streams`: what it does with a stream. `accept`: how connections begin.
//! * `poll`: one iteration. `conn`, `stream`: one connection, one stream. `faults`: for test servers.

mod accept;
mod conn;
mod events;
mod faults;
mod poll;
mod stream;
mod streams;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use mio::net::TcpListener;
use mio::{Events, Poll, Registry, Token};
use slab::Slab;

use crate::limits::{NetCounters, NetLimits};
use crate::wake::{Due, DueQueue};
use conn::Conn;
pub use events::{CloseReason, ConnKey, ListenerKey, NetEvent, StreamError, StreamKey};
use stream::Stream;

/// A listening socket.
struct Listener {
    socket: TcpListener,
    /// Accepts nothing: a fault of test servers.
    frozen: bool,
}

/// The token of the waker.
const WAKE: Token = Token(usize::MAX);
/// Tokens of listeners begin here; those of connections are their indices.
const LISTENERS: usize = 1 << 40;
/// Tokens of the owner's sources begin here.
const SOURCES: usize = 1 << 41;

/// Owner of all connections.
pub struct Hub {
    poll: Poll,
    events: Events,
    waker: Arc<mio::Waker>,
    /// Connections and streams to be polled.
    due: Arc<DueQueue>,
    /// Reused for what is taken off the queue.
    taken: Vec<Due>,
    conns: Slab<Conn>,
    streams: Slab<Stream>,
    listeners: Vec<Listener>,
    alarms: BTreeSet<(Instant, ConnKey)>,
    /// When accepting goes on, while it pauses.
    accept_at: Option<Instant>,
    /// Released when the system has no descriptor left: see [`Hub::accept`].
    spare_descriptor: Option<std::fs::File>,
    generation: u32,
    limits: NetLimits,
    counters: NetCounters,
    /// What the next return of a poll reports.
    out: Vec<NetEvent>,
    now: Instant,
}

impl Hub {
    /// A hub without connections.
    pub fn new(limits: NetLimits) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(mio::Waker::new(poll.registry(), WAKE)?);
        Ok(Self {
            poll,
            events: Events::with_capacity(1024),
            waker,
            due: Arc::default(),
            taken: Vec::new(),
            conns: Slab::new(),
            streams: Slab::new(),
            listeners: Vec::new(),
            alarms: BTreeSet::new(),
            accept_at: None,
            spare_descriptor: spare_descriptor(),
            generation: 0,
            limits,
            counters: NetCounters::default(),
            out: Vec::new(),
            now: Instant::now(),
        })
    }

    /// Wakes [`Hub::poll`] from another thread.
    pub fn waker(&self) -> Arc<mio::Waker> {
        Arc::clone(&self.waker)
    }

    /// For sources of the owner, such as signals.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The token under which a source is reported as [`NetEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// Counts of connections and streams, and of bounds that were hit.
    pub fn counters(&self) -> NetCounters {
        self.counters
    }

    /// The bounds in force.
    pub fn limits(&self) -> &NetLimits {
        &self.limits
    }

    /// Connections that are established or being made.
    pub fn open_connections(&self) -> usize {
        self.conns.len()
    }

    /// Accepted connections that are open.
    pub fn accepted_connections(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.listener.is_some()).count()
    }

    /// Streams that have not ended.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Whether a stream that is opened there starts at once, by the peer's limits and GOAWAY.
    pub fn can_open(&mut self, conn: ConnKey) -> bool {
        self.conns.get_mut(conn.index()).filter(|c| c.key == conn).is_some_and(Conn::can_open)
    }

    /// Whether the peer accepts no new streams there (GOAWAY), or the connection is gone. Open streams go on.
    pub fn is_going_away(&self, conn: ConnKey) -> bool {
        self.conns.get(conn.index()).filter(|c| c.key == conn).is_none_or(|c| c.closed_to_new)
    }

    /// Streams open on a connection.
    pub fn streams_on(&self, conn: ConnKey) -> usize {
        self.conns.get(conn.index()).filter(|c| c.key == conn).map_or(0, |c| c.streams.len())
    }

    /// The other end's address.
    pub fn peer(&self, conn: ConnKey) -> Option<SocketAddr> {
        self.conns.get(conn.index()).filter(|c| c.key == conn).map(|c| c.peer)
    }

    /// Accepted connections, by the listener they came to.
    pub fn accepted_at(&self, listener: ListenerKey) -> Vec<ConnKey> {
        self.conns.iter().filter(|(_, c)| c.listener == Some(listener)).map(|(_, c)| c.key).collect()
    }

    /// Closes a connection at once; its streams fail.
    pub fn close(&mut self, conn: ConnKey) {
        if self.conns.get(conn.index()).is_some_and(|c| c.key == conn) {
            self.close_conn(conn, CloseReason::Ended);
        }
    }

    /// Sends GOAWAY on every accepted connection and accepts no new streams there; open ones go on, and each connection
    /// closes after its last.
    pub fn go_away(&mut self) {
        for (_, conn) in self.conns.iter_mut() {
            conn.go_away();
        }
    }
}

/// Opens a descriptor that is held in reserve.
fn spare_descriptor() -> Option<std::fs::File> {
    std::fs::File::open("/dev/null").ok()
}
