//! HTTP/2 connections and their streams on one mio poll.
//!
//! The owner opens streams, queues messages and calls [`Hub::poll`] in a loop, which reports [`NetEvent`]s. A
//! stream is one gRPC call, on accepted connections as well as on outgoing ones.
//!
//! A stream ends with exactly one event:
//! * an outgoing stream with [`NetEvent::Trailers`] or [`NetEvent::Failed`];
//! * an incoming stream with [`NetEvent::Sent`] once its response was passed to HTTP/2, or with
//!   [`NetEvent::Failed`].
//!
//! A stream that the owner ends with [`Hub::reset`] reports neither.
//!
//! * `events`: keys, events and errors. `streams`: operations on streams. `accept`: listening and connecting.
//! * `undelivered`: responses that clients have yet to receive, before the owner exits.
//! * `poll`: the event loop. `conn`, `stream`: the state of one connection and one stream. `faults`: fault
//!   injection.

mod accept;
mod conn;
mod events;
mod faults;
mod poll;
mod stream;
mod streams;
mod undelivered;

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
pub use undelivered::Undelivered;

/// A listening socket, with its injected fault.
struct Listener {
    socket: TcpListener,
    /// Injected fault of test servers: no connection is accepted.
    frozen: bool,
}

/// Token of the waker.
const WAKE: Token = Token(usize::MAX);
/// First token of listeners; the token of a connection is its index.
const LISTENERS: usize = 1 << 40;
/// First token of event sources registered by the owner.
const SOURCES: usize = 1 << 41;

/// A set of HTTP/2 connections, streams and listeners with their poll.
pub struct Hub {
    poll: Poll,
    events: Events,
    waker: Arc<mio::Waker>,
    /// Queue of connections and streams to be polled.
    due: Arc<DueQueue>,
    /// Reused buffer for keys dequeued from `due`.
    taken: Vec<Due>,
    conns: Slab<Conn>,
    streams: Slab<Stream>,
    /// Bytes of the incomplete messages of all incoming streams.
    received_held: usize,
    listeners: Vec<Listener>,
    alarms: BTreeSet<(Instant, ConnKey)>,
    /// Time at which accepting is resumed; `None` unless it is paused.
    accept_at: Option<Instant>,
    /// Descriptor that is released when no other is left: see [`Hub::accept`].
    spare_descriptor: Option<std::fs::File>,
    generation: u32,
    limits: NetLimits,
    counters: NetCounters,
    /// Events that the next return of a poll reports.
    out: Vec<NetEvent>,
    now: Instant,
}

impl Hub {
    /// Creates a hub without connections and listeners.
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
            received_held: 0,
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

    /// A waker that makes [`Hub::poll`] return with [`NetEvent::Woken`], for use by other threads.
    pub fn waker(&self) -> Arc<mio::Waker> {
        Arc::clone(&self.waker)
    }

    /// The registry for event sources of the owner, such as signals.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The token with which the owner must register source `number` to have it reported as
    /// [`NetEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// Counts of connections and streams, and of limits that were reached.
    pub fn counters(&self) -> NetCounters {
        self.counters
    }

    /// The limits of this hub.
    pub fn limits(&self) -> &NetLimits {
        &self.limits
    }

    /// Number of connections, established or connecting.
    pub fn open_connections(&self) -> usize {
        self.conns.len()
    }

    /// Number of open accepted connections.
    pub fn accepted_connections(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.listener.is_some()).count()
    }

    /// Number of streams that have not ended.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Whether a new stream on a connection may start without waiting for the stream limit of the peer; false
    /// after GOAWAY, and on an accepted connection. Always true while an outgoing connection is being
    /// established.
    pub fn can_open(&mut self, conn: ConnKey) -> bool {
        self.conns.get_mut(conn.index()).filter(|c| c.key == conn).is_some_and(Conn::can_open)
    }

    /// Whether a connection accepts no new streams, because the peer sent GOAWAY or the connection no longer
    /// exists. Open streams continue.
    pub fn is_going_away(&self, conn: ConnKey) -> bool {
        self.conns.get(conn.index()).filter(|c| c.key == conn).is_none_or(|c| c.closed_to_new)
    }

    /// Number of open streams of a connection, including those that wait to be started.
    pub fn streams_on(&self, conn: ConnKey) -> usize {
        self.conns.get(conn.index()).filter(|c| c.key == conn).map_or(0, |c| c.streams.len())
    }

    /// The address of the peer; `None` if the connection no longer exists.
    pub fn peer(&self, conn: ConnKey) -> Option<SocketAddr> {
        self.conns.get(conn.index()).filter(|c| c.key == conn).map(|c| c.peer)
    }

    /// Open connections that were accepted by a listener.
    pub fn accepted_at(&self, listener: ListenerKey) -> Vec<ConnKey> {
        self.conns.iter().filter(|(_, c)| c.listener == Some(listener)).map(|(_, c)| c.key).collect()
    }

    /// Closes a connection immediately; its streams fail.
    pub fn close(&mut self, conn: ConnKey) {
        if self.conns.get(conn.index()).is_some_and(|c| c.key == conn) {
            self.close_conn(conn, CloseReason::Ended);
        }
    }

    /// Shuts down all accepted connections gracefully: sends GOAWAY and accepts no new streams. Open streams
    /// continue. After its last one a connection sends no more, and it is closed once its peer has closed it,
    /// or by [`Hub::close_stalled`].
    pub fn go_away(&mut self) {
        for (_, conn) in self.conns.iter_mut() {
            conn.go_away();
        }
    }
}

/// Opens the spare descriptor; `None` if no descriptor is left.
fn spare_descriptor() -> Option<std::fs::File> {
    std::fs::File::open("/dev/null").ok()
}
