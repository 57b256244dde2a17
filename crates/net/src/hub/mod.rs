//! Connections and streams under one mio poll.
//!
//! The owner opens streams, queues messages and calls [`Hub::poll`] in a loop; what happened comes out as
//! [`NetEvent`]s. Equal for fronts (accepted connections) and links (made ones): a stream is one gRPC call in
//! either role.
//!
//! Ends of a stream, exactly one of each:
//! * a stream that we opened: [`NetEvent::Trailers`] or [`NetEvent::Failed`];
//! * a stream that a peer opened: [`NetEvent::Sent`] once all of ours was handed to HTTP/2, or
//!   [`NetEvent::Failed`]. After [`Hub::reset`] neither comes.

mod conn;
mod stream;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::Reason;
use http::{HeaderMap, request, response};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;

use crate::clock::shorter;
use crate::framing::FrameError;
use crate::limits::{NetCounters, NetLimits};
use crate::wake::{Due, DueQueue};
use conn::Conn;
use stream::Stream;

macro_rules! key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub(crate) u64);

        impl $name {
            fn new(generation: u32, index: usize) -> Self {
                Self(u64::from(generation) << 32 | index as u64)
            }
            fn index(self) -> usize {
                (self.0 & 0xffff_ffff) as usize
            }
            /// The key as a number, unique in this hub's life until 2^32 keys were given.
            pub fn number(self) -> u64 {
                self.0
            }
        }
    };
}

key!(
    /// A connection.
    ConnKey);
key!(
    /// A stream: one call.
    StreamKey);

/// A listening socket, by the order in which they were opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ListenerKey(pub usize);

/// How a stream failed, as a fact of the wire. Whether the call may have run is for the engine's table.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StreamError {
    /// No connection came about.
    #[error("no connection came about")]
    NotConnected,
    /// Not one byte was written since the request was queued, or the connection took no new streams.
    #[error("the request was not written")]
    NotWritten,
    /// RST_STREAM with REFUSED_STREAM (RFC 9113, 8.7).
    #[error("the peer refused the stream unseen")]
    Refused,
    /// A GOAWAY whose last stream id is below this stream (RFC 9113, 6.8).
    #[error("the peer went away before it looked at the stream")]
    GoneAway,
    /// RST_STREAM with another reason.
    #[error("the peer reset the stream: {0}")]
    Reset(String),
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
    /// A message could not be taken.
    #[error("{0}")]
    Message(#[from] FrameError),
    /// A protocol error.
    #[error("HTTP/2: {0}")]
    Protocol(String),
}

/// Why a connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Closing {
    /// It was never established.
    NotConnected,
    /// The peer closed it, or it broke.
    Ended,
    /// A protocol error of the peer.
    Protocol,
    /// The HTTP/2 preface did not come in time.
    Handshake,
    /// It stood without streams for [`NetLimits::idle`].
    Idle,
}

/// What happened.
#[derive(Debug)]
pub enum NetEvent {
    /// A peer connected.
    Accepted {
        /// The connection.
        conn: ConnKey,
        /// Where.
        listener: ListenerKey,
        /// From where.
        peer: SocketAddr,
    },
    /// A connection that we make is established.
    Connected {
        /// The connection.
        conn: ConnKey,
    },
    /// A connection is gone; its streams have had their ends.
    Closed {
        /// The connection.
        conn: ConnKey,
        /// Why.
        why: Closing,
    },
    /// A peer opened a stream.
    Request {
        /// Its connection.
        conn: ConnKey,
        /// The stream.
        stream: StreamKey,
        /// Method, path and headers.
        head: request::Parts,
    },
    /// The headers of an answer.
    Head {
        /// The stream.
        stream: StreamKey,
        /// Status and headers.
        head: response::Parts,
    },
    /// A whole message.
    Message {
        /// The stream.
        stream: StreamKey,
        /// Its bytes, unpacked.
        payload: Bytes,
    },
    /// The peer that opened the stream sends no more.
    HalfClosed {
        /// The stream.
        stream: StreamKey,
    },
    /// A message of the peer that opened the stream can't be taken; the stream still wants its answer.
    Malformed {
        /// The stream.
        stream: StreamKey,
        /// What is wrong.
        error: FrameError,
    },
    /// The end of an answer to a stream of ours.
    Trailers {
        /// The stream.
        stream: StreamKey,
        /// The trailers; empty where none came.
        trailers: HeaderMap,
    },
    /// All of our answer was handed to HTTP/2.
    Sent {
        /// The stream.
        stream: StreamKey,
    },
    /// The stream ended otherwise.
    Failed {
        /// The stream.
        stream: StreamKey,
        /// How.
        why: StreamError,
    },
    /// A stream that was full has room again.
    Drained {
        /// The stream.
        stream: StreamKey,
    },
    /// Another thread woke the hub.
    Woken,
    /// A source that the owner registered with [`Hub::registry`] and [`Hub::source_token`] is ready.
    Source(usize),
}

struct Listener {
    socket: TcpListener,
    /// Accepts nothing for now: a cut link, for stand-ins.
    frozen: bool,
}

const WAKE: Token = Token(usize::MAX);
const LISTENERS: usize = 1 << 40;
const SOURCES: usize = 1 << 41;
/// How long accepting rests after the system said that it has no handle or memory for a connection.
const ACCEPT_REST: Duration = Duration::from_millis(100);
/// Messages taken from one stream before the others have their turn.
pub(crate) const FAIR: usize = 64;

/// Owner of all connections.
pub struct Hub {
    poll: Poll,
    events: Events,
    waker: Arc<mio::Waker>,
    due: Arc<DueQueue>,
    taken: Vec<Due>,
    conns: Slab<Conn>,
    streams: Slab<Stream>,
    listeners: Vec<Listener>,
    alarms: BTreeSet<(Instant, ConnKey)>,
    accept_at: Option<Instant>,
    spare: Option<std::fs::File>,
    generation: u32,
    limits: NetLimits,
    counters: NetCounters,
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
            spare: spare_handle(),
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

    /// The token under which a source is told as [`NetEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// What came, went and was turned away.
    pub fn counters(&self) -> NetCounters {
        self.counters
    }

    /// The bounds given.
    pub fn limits(&self) -> &NetLimits {
        &self.limits
    }

    /// Connections that stand or are being made.
    pub fn open_connections(&self) -> usize {
        self.conns.len()
    }

    /// Accepted connections that stand.
    pub fn accepted_connections(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.listener.is_some()).count()
    }

    /// Streams that have not ended.
    pub fn open_streams(&self) -> usize {
        self.streams.len()
    }

    /// Listens; port 0 lets the system choose.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerKey, SocketAddr)> {
        let mut socket = TcpListener::bind(address)?;
        let local = socket.local_addr()?;
        let index = self.listeners.len();
        self.poll.registry().register(&mut socket, Token(LISTENERS + index), Interest::READABLE)?;
        self.listeners.push(Listener { socket, frozen: false });
        Ok((ListenerKey(index), local))
    }

    /// Closes all listening sockets: no new connections.
    pub fn stop_listening(&mut self) {
        for listener in &mut self.listeners {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
        self.listeners.clear();
    }

    /// Begins to connect. An address that can't be tried at all gives its error at once.
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnKey> {
        let socket = TcpStream::connect(address)?;
        self.add_conn(socket, address, None)
    }

    /// Begins a call on a connection of ours: it may still be connecting. `None`: the connection is gone.
    pub fn open(&mut self, conn: ConnKey, request: http::Request<()>) -> Option<StreamKey> {
        let connection = self.conns.get_mut(conn.index()).filter(|c| c.key == conn)?;
        self.generation = self.generation.wrapping_add(1);
        let entry = self.streams.vacant_entry();
        let key = StreamKey::new(self.generation, entry.key());
        let waker = self.due.waker(Due::Stream(key.0));
        entry.insert(Stream::ours(key, conn, waker, request, &self.limits));
        connection.streams.insert(key);
        connection.waiting.push_back(key);
        connection.waker.wake_by_ref();
        self.counters.streams += 1;
        Some(key)
    }

    /// May a stream be opened there that would leave at once? Asks the peer's limits and GOAWAY.
    pub fn can_open(&mut self, conn: ConnKey) -> bool {
        self.conns.get_mut(conn.index()).filter(|c| c.key == conn).is_some_and(Conn::can_open)
    }

    /// Has the peer said that it takes no new streams there (GOAWAY), or is the connection gone? What runs on it
    /// goes on.
    pub fn is_leaving(&self, conn: ConnKey) -> bool {
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

    fn stream(&mut self, key: StreamKey) -> Option<&mut Stream> {
        self.streams.get_mut(key.index()).filter(|s| s.key == key)
    }

    /// Does this stream still stand?
    pub fn is_open(&self, key: StreamKey) -> bool {
        self.streams.get(key.index()).is_some_and(|s| s.key == key)
    }

    /// Sends the headers of an answer.
    pub fn respond(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, false);
        }
    }

    /// Answers with headers alone: status and headers are the end (gRPC's Trailers-Only).
    pub fn respond_only(&mut self, key: StreamKey, head: http::Response<()>) {
        if let Some(stream) = self.stream(key) {
            stream.respond(head, true);
        }
    }

    /// Queues a message. Bounded by the owner: see [`Hub::is_full`].
    pub fn send(&mut self, key: StreamKey, message: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue(message);
        }
    }

    /// Queues raw bytes of the body without a prefix: for stand-ins that break off inside a message.
    pub fn send_raw(&mut self, key: StreamKey, bytes: Bytes) {
        if let Some(stream) = self.stream(key) {
            stream.queue_raw(bytes);
        }
    }

    /// Ends our side: with trailers (answers) or without (requests).
    pub fn finish(&mut self, key: StreamKey, trailers: Option<HeaderMap>) {
        if let Some(stream) = self.stream(key) {
            stream.finish(trailers);
        }
    }

    /// Is more queued for sending than [`NetLimits::send_queue_bytes`]? [`NetEvent::Drained`] tells its end.
    pub fn is_full(&mut self, key: StreamKey) -> bool {
        let most = self.limits.send_queue_bytes;
        self.stream(key).is_some_and(|s| s.full(most))
    }

    /// Bytes queued for sending.
    pub fn queued(&self, key: StreamKey) -> usize {
        self.streams.get(key.index()).filter(|s| s.key == key).map_or(0, |s| s.out_bytes)
    }

    /// Stops taking messages: the peer's window closes and it must wait.
    pub fn pause(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.paused = true;
        }
    }

    /// Takes messages again.
    pub fn resume(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key)
            && stream.paused
        {
            stream.paused = false;
            stream.waker.wake_by_ref();
        }
    }

    /// Takes gzip messages on this stream (`grpc-encoding: gzip` was told).
    pub fn allow_gzip(&mut self, key: StreamKey) {
        if let Some(stream) = self.stream(key) {
            stream.decoder.allow_gzip();
        }
    }

    /// Ends a stream at once with RST_STREAM; it is forgotten. No event follows.
    pub fn reset(&mut self, key: StreamKey, reason: Reason) {
        if !self.is_open(key) {
            return;
        }
        let mut stream = self.streams.remove(key.index());
        stream.reset(reason);
        self.unlink(&stream);
    }

    /// Closes a connection at once; its streams fail.
    pub fn close(&mut self, conn: ConnKey) {
        if self.conns.get(conn.index()).is_some_and(|c| c.key == conn) {
            self.end_conn(conn, Closing::Ended);
        }
    }

    /// Sends GOAWAY on every accepted connection and takes no new streams there; open ones go on, and each
    /// connection closes after its last.
    pub fn go_away(&mut self) {
        for (_, conn) in self.conns.iter_mut() {
            conn.go_away();
        }
    }

    /// Sends GOAWAY at once, with the last stream seen, on one connection: streams not yet seen never run.
    pub fn go_away_abruptly(&mut self, conn: ConnKey, reason: Reason) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.go_away_abruptly(reason);
        }
    }

    /// Accepted connections, by the listener they came to.
    pub fn accepted_at(&self, listener: ListenerKey) -> Vec<ConnKey> {
        self.conns.iter().filter(|(_, c)| c.listener == Some(listener)).map(|(_, c)| c.key).collect()
    }

    /// A fault: neither reads nor writes on a connection until thawed.
    pub fn freeze(&mut self, conn: ConnKey, frozen: bool) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.frozen.set(frozen);
            c.waker.wake_by_ref();
        }
    }

    /// A fault: a listener accepts nothing until thawed; the kernel completes connections all the same.
    pub fn freeze_listener(&mut self, listener: ListenerKey, frozen: bool) {
        if let Some(l) = self.listeners.get_mut(listener.0) {
            l.frozen = frozen;
            if !frozen {
                self.accept(listener.0);
            }
        }
    }

    /// A fault: breaks a connection once `more` further bytes were written.
    pub fn cut_after(&mut self, conn: ConnKey, more: u64) {
        if let Some(c) = self.conns.get_mut(conn.index()).filter(|c| c.key == conn) {
            c.shared.cut_at.set(Some(c.shared.written.get() + more));
            c.waker.wake_by_ref();
        }
    }

    /// One round: what is due is polled, the kernel is asked, what came is polled. Waits at most `wait`
    /// (`None`: without end) where nothing is due, and appends what happened to `out`.
    pub fn poll(&mut self, wait: Option<Duration>, out: &mut Vec<NetEvent>) -> io::Result<()> {
        self.now = Instant::now();
        self.run_due();
        let busy = !self.out.is_empty() || !self.due.is_empty();
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let wait =
            if busy { Some(Duration::ZERO) } else { shorter(wait, self.now, &[alarm, self.accept_at]) };
        match self.poll.poll(&mut self.events, wait) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.counters.wakeups += 1;
        self.now = Instant::now();
        self.read_events();
        self.ring_alarms();
        self.run_due();
        out.append(&mut self.out);
        Ok(())
    }

    fn read_events(&mut self) {
        let mut accept = Vec::new();
        for event in &self.events {
            let token = event.token().0;
            if event.token() == WAKE {
                self.out.push(NetEvent::Woken);
            } else if token >= SOURCES {
                self.out.push(NetEvent::Source(token - SOURCES));
            } else if token >= LISTENERS {
                accept.push(token - LISTENERS);
            } else if let Some(conn) = self.conns.get(token) {
                // A token of an older connection at this place wakes the new one once in vain.
                if event.is_readable() || event.is_read_closed() || event.is_error() {
                    conn.shared.readable.set(true);
                }
                if event.is_writable() || event.is_write_closed() || event.is_error() {
                    conn.shared.writable.set(true);
                }
                conn.waker.wake_by_ref();
            }
        }
        for index in accept {
            self.accept(index);
        }
        if self.accept_at.is_some_and(|at| at <= self.now) {
            self.accept_at = None;
            for index in 0..self.listeners.len() {
                self.accept(index);
            }
        }
    }

    fn accept(&mut self, index: usize) {
        // Another thread, such as the one that reads the list, may have taken the spare handle in the moment in which it
        // was given back. It is had again before anybody is accepted: without it clients would wait in silence for good.
        if self.spare.is_none() {
            self.spare = spare_handle();
        }
        loop {
            let Some(listener) = self.listeners.get(index).filter(|l| !l.frozen) else { return };
            match listener.socket.accept() {
                Ok((socket, peer)) => {
                    if self.conns.len() >= self.limits.connections {
                        self.counters.over_connections += 1;
                        continue;
                    }
                    let _ = socket.set_nodelay(true);
                    if let Ok(conn) = self.add_conn(socket, peer, Some(ListenerKey(index))) {
                        self.counters.accepted += 1;
                        self.out.push(NetEvent::Accepted { conn, listener: ListenerKey(index), peer });
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e)
                    if matches!(e.kind(), io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted) => {}
                Err(_) => {
                    // Out of handles or memory. With the spare handle given back the connection is taken and
                    // closed, so that the client is told at once; then accepting rests for a moment.
                    self.counters.over_handles += 1;
                    if self.spare.take().is_some() {
                        if let Some(listener) = self.listeners.get(index) {
                            drop(listener.socket.accept());
                        }
                        self.spare = spare_handle();
                    }
                    self.accept_at = Some(self.now + ACCEPT_REST);
                    return;
                }
            }
        }
    }

    fn add_conn(
        &mut self,
        mut socket: TcpStream,
        peer: SocketAddr,
        listener: Option<ListenerKey>,
    ) -> io::Result<ConnKey> {
        self.generation = self.generation.wrapping_add(1);
        let entry = self.conns.vacant_entry();
        let key = ConnKey::new(self.generation, entry.key());
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut socket, Token(entry.key()), interest)?;
        let waker = self.due.waker(Due::Conn(key.0));
        let wait =
            if listener.is_some() { self.limits.handshake_timeout } else { self.limits.connect_timeout };
        self.now = Instant::now();
        let alarm = self.now + wait;
        entry.insert(Conn::new(key, socket, peer, listener, waker, alarm, &self.limits));
        self.alarms.insert((alarm, key));
        Ok(key)
    }

    fn run_due(&mut self) {
        // Bounded, so that two peers that wake each other can't keep the loop from its timers.
        for _ in 0..FAIR {
            let mut taken = std::mem::take(&mut self.taken);
            self.due.take(&mut taken);
            if taken.is_empty() {
                self.taken = taken;
                return;
            }
            for due in taken.drain(..) {
                match due {
                    Due::Stream(key) => self.run_stream(StreamKey(key)),
                    Due::Conn(key) => self.run_conn(ConnKey(key)),
                }
            }
            self.taken = taken;
        }
    }

    fn run_stream(&mut self, key: StreamKey) {
        let Some(stream) = self.streams.get_mut(key.index()).filter(|s| s.key == key) else { return };
        let written = self.conns.get(stream.conn.index()).map_or(0, |c| c.shared.written.get());
        let over = stream.poll(written, &self.limits, &mut self.counters, &mut self.out);
        if over {
            let stream = self.streams.remove(key.index());
            self.unlink(&stream);
        }
    }

    /// Takes a stream that has ended off its connection.
    fn unlink(&mut self, stream: &Stream) {
        let Some(conn) = self.conns.get_mut(stream.conn.index()).filter(|c| c.key == stream.conn) else {
            return;
        };
        conn.streams.remove(&stream.key);
        if stream.waits() {
            conn.waiting.retain(|k| *k != stream.key);
        }
        if conn.streams.is_empty() && conn.established() {
            self.alarms.remove(&(conn.alarm, conn.key));
            conn.alarm = self.now + self.limits.idle;
            self.alarms.insert((conn.alarm, conn.key));
        }
    }

    fn run_conn(&mut self, key: ConnKey) {
        let Some(conn) = self.conns.get_mut(key.index()).filter(|c| c.key == key) else { return };
        let ended = conn.poll(&mut self.streams);
        if conn.just_established {
            conn.just_established = false;
            self.alarms.remove(&(conn.alarm, key));
            conn.alarm = self.now + self.limits.idle;
            self.alarms.insert((conn.alarm, key));
            if conn.listener.is_none() {
                self.out.push(NetEvent::Connected { conn: key });
            }
        }
        // Streams that a peer opened.
        let mut came = std::mem::take(&mut conn.came);
        let failed = std::mem::take(&mut conn.failed);
        for (request, answer) in came.drain(..) {
            self.generation = self.generation.wrapping_add(1);
            let entry = self.streams.vacant_entry();
            let stream = StreamKey::new(self.generation, entry.key());
            let waker = self.due.waker(Due::Stream(stream.0));
            let (head, body) = request.into_parts();
            entry.insert(Stream::theirs(stream, key, waker, body, answer, &self.limits));
            conn.streams.insert(stream);
            self.counters.streams += 1;
            self.out.push(NetEvent::Request { conn: key, stream, head });
            if let Some(s) = self.streams.get(stream.index()) {
                s.waker.wake_by_ref();
            }
        }
        for (stream, why) in failed {
            if self.is_open(stream) {
                let gone = self.streams.remove(stream.index());
                self.unlink(&gone);
                self.out.push(NetEvent::Failed { stream, why });
            }
        }
        if let Some(why) = ended {
            self.end_conn(key, why);
        }
    }

    fn end_conn(&mut self, key: ConnKey, why: Closing) {
        // What had come for its streams is told first, and each is asked how it ended.
        let streams: Vec<StreamKey> = self.conns[key.index()].streams.iter().copied().collect();
        for stream in streams.iter().copied() {
            self.run_stream(stream);
        }
        let mut conn = self.conns.remove(key.index());
        self.alarms.remove(&(conn.alarm, key));
        match why {
            Closing::NotConnected => self.counters.connect_failures += 1,
            Closing::Protocol => self.counters.protocol_errors += 1,
            Closing::Handshake => self.counters.handshake_timeouts += 1,
            Closing::Idle => self.counters.idle_closed += 1,
            Closing::Ended => {}
        }
        let written = conn.shared.written.get();
        for stream in streams {
            if self.is_open(stream) {
                let gone = self.streams.remove(stream.index());
                let why = if why == Closing::NotConnected && gone.waits() {
                    StreamError::NotConnected
                } else if gone.unwritten(written) {
                    StreamError::NotWritten
                } else {
                    StreamError::Broken
                };
                self.out.push(NetEvent::Failed { stream, why });
            }
        }
        conn.shut();
        self.out.push(NetEvent::Closed { conn: key, why });
    }

    fn ring_alarms(&mut self) {
        while let Some(&(at, key)) = self.alarms.first() {
            if at > self.now {
                return;
            }
            self.alarms.pop_first();
            let Some(conn) = self.conns.get(key.index()).filter(|c| c.key == key) else { continue };
            if !conn.established() {
                let why = if conn.listener.is_some() { Closing::Handshake } else { Closing::NotConnected };
                self.end_conn(key, why);
            } else if conn.streams.is_empty() {
                self.end_conn(key, Closing::Idle);
            }
            // Else its alarm is set again when its last stream ends.
        }
    }
}

/// A handle kept back for the moment when there is none: see [`Hub::accept`].
fn spare_handle() -> Option<std::fs::File> {
    std::fs::File::open("/dev/null").ok()
}
