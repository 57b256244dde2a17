//! Plain TCP connections under one mio poll: accept, connect, read, write, alarms; every buffer bounded.
//!
//! The owner parses what stands in a connection's input and queues bytes for it; what happened comes out as
//! [`TcpEvent`]s. Nothing here knows a protocol. A connection ends with exactly one [`TcpEvent::Closed`],
//! unless its owner closed it with [`Tcp::close`].

use std::collections::{BTreeSet, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::{Duration, Instant};

use bytes::{Buf, BytesMut};
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;

use crate::clock::shorter;
use dial::Dial;
use look::{LastLook, Polled};

mod dial;
mod look;

/// A plain connection, unique in its owner's life until 2^32 of them were made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TcpKey(u64);

impl TcpKey {
    fn new(generation: u32, index: usize) -> Self {
        Self(u64::from(generation) << 32 | index as u64)
    }
    fn index(self) -> usize {
        (self.0 & 0xffff_ffff) as usize
    }
}

/// Bounds of plain connections.
#[derive(Clone, Debug)]
pub struct TcpLimits {
    /// Accepted connections at once; one more is closed at once.
    pub accepted: usize,
    /// Connections accepted in one turn; the others wait in the system for the next, before which the owner may make
    /// room.
    pub accepted_a_turn: usize,
    /// Connections made at once; one more is not begun.
    pub made: usize,
    /// Bytes read from a connection and not yet taken by the owner; more waits in the kernel.
    pub input: usize,
    /// Bytes queued for a connection; one whose peer takes too little is closed.
    pub output: usize,
    /// Bytes read from one connection before the others have their turn.
    pub turn: usize,
    /// A connection that does not come about within this span has failed.
    pub connect_timeout: Duration,
    /// After [`Tcp::finish`] a peer has this long to take what is queued for it.
    pub drain: Duration,
    /// After that what still comes is thrown away for this long, so that the peer gets our last words rather than a
    /// reset; no longer than until its side has ended as well.
    pub linger: Duration,
}

impl Default for TcpLimits {
    fn default() -> Self {
        Self {
            accepted: 1024,
            accepted_a_turn: 64,
            made: 256,
            input: 64 << 10,
            output: 1 << 20,
            turn: 64 << 10,
            connect_timeout: Duration::from_millis(250),
            drain: Duration::from_secs(10),
            linger: Duration::from_millis(200),
        }
    }
}

/// What came, went and hit a bound.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TcpCounters {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections begun by us.
    pub begun: u64,
    /// [`TcpLimits::accepted`].
    pub over_accepted: u64,
    /// [`TcpLimits::made`].
    pub over_made: u64,
    /// Accepting rested because the process had no handle left.
    pub over_handles: u64,
    /// Finished connections that were let go before their linger was over, for a new one.
    pub linger_cut: u64,
    /// [`TcpLimits::output`].
    pub over_output: u64,
    /// [`TcpLimits::connect_timeout`], and connections refused.
    pub connect_failures: u64,
    /// Connects that failed for a moment, as this end or the way did, and were tried again.
    pub connect_again: u64,
}

/// Why a connection is gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gone {
    /// Nobody listens there.
    Refused,
    /// It never came about: unreachable, or not in time.
    NotConnected,
    /// It was reset or broke.
    Broken,
    /// [`TcpLimits::output`].
    Slow,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TcpEvent {
    /// A peer connected.
    Accepted(TcpKey),
    /// A connection that we make has come about.
    Connected(TcpKey),
    /// Bytes stand in its input.
    Data(TcpKey),
    /// An alarm came due.
    Alarm(TcpKey),
    /// The peer sends no more; what stood in its input was told before. It may still take answers: the owner
    /// ends the connection.
    Ended(TcpKey),
    /// It is gone. What stood in its input was told before.
    Closed(TcpKey, Gone),
    /// A source that the owner registered under [`Tcp::source_token`] is ready.
    Source(usize),
}

impl TcpEvent {
    /// Whose it is; a source's is no connection's.
    pub fn key(&self) -> Option<TcpKey> {
        match self {
            Self::Accepted(key) | Self::Connected(key) | Self::Data(key) => Some(*key),
            Self::Alarm(key) | Self::Ended(key) | Self::Closed(key, _) => Some(*key),
            Self::Source(_) => None,
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Connecting,
    Open,
    /// Our side is ended: input is thrown away.
    Lingering,
}

struct Conn {
    key: TcpKey,
    /// None while a connect that failed for a moment is to be tried again.
    socket: Option<TcpStream>,
    dial: Option<Dial>,
    stage: Stage,
    accepted: bool,
    readable: bool,
    writable: bool,
    /// The poll told that the peer's side has ended: its end stands behind the bytes that are still to be read, and
    /// no further event tells of it.
    closing: bool,
    /// The peer sends no more, and all that it sent was read.
    halved: bool,
    /// Our side is ended.
    shut: bool,
    /// What is queued has left and [`TcpLimits::linger`] runs.
    rests: bool,
    /// Since when bytes may stand in the system that were not read yet: a turn reads only so much of each connection.
    unread: Option<Instant>,
    /// When what was read last may have come at the earliest.
    came: Instant,
    /// A write failed.
    failed: bool,
    /// It broke, and that was told.
    ended: bool,
    ready: bool,
    dirty: bool,
    input: BytesMut,
    output: BytesMut,
    queued: u64,
    written: u64,
    alarm: Option<Instant>,
    /// Own deadline: for connecting and lingering.
    limit: Option<Instant>,
}

const LISTENERS: usize = 1 << 40;
const SOURCES: usize = 1 << 41;
/// How long accepting rests after the system said that it has no handle or memory for a connection.
const ACCEPT_REST: Duration = Duration::from_millis(50);
/// Sockets told of in one turn at the most; the rest are told of in the next.
const MOST_EVENTS: usize = 8 << 10;
/// Bytes kept for reuse in an empty buffer: an idle connection holds next to none.
const KEPT: usize = 4 << 10;

/// Owner of plain connections.
pub struct Tcp {
    poll: Poll,
    events: Events,
    conns: Slab<Conn>,
    accepted: usize,
    listeners: Vec<TcpListener>,
    alarms: BTreeSet<(Instant, TcpKey)>,
    /// Connects to be tried again.
    dials: BTreeSet<(Instant, TcpKey)>,
    ready: VecDeque<TcpKey>,
    dirty: Vec<TcpKey>,
    /// Ended by their peers, and told: to be taken off.
    parting: Vec<TcpKey>,
    accept_at: Option<Instant>,
    /// Listeners with more to accept than one turn takes.
    accept_next: Vec<usize>,
    /// Since when connections may wait to be accepted.
    accept_since: Option<Instant>,
    generation: u32,
    limits: TcpLimits,
    counters: TcpCounters,
    out: Vec<TcpEvent>,
    scratch: Vec<u8>,
    now: Instant,
    /// When the poll last returned: what had come by then was told.
    looked: LastLook,
    /// Since when what this turn reads may have come.
    since: Instant,
}

impl Tcp {
    /// An owner without connections.
    pub fn new(limits: TcpLimits) -> io::Result<Self> {
        let now = Instant::now();
        Ok(Self {
            poll: Poll::new()?,
            // All that can be ready at once: what one turn leaves behind would be judged by its clock alone.
            events: Events::with_capacity((limits.accepted + limits.made + 64).min(MOST_EVENTS)),
            conns: Slab::new(),
            accepted: 0,
            listeners: Vec::new(),
            alarms: BTreeSet::new(),
            dials: BTreeSet::new(),
            ready: VecDeque::new(),
            dirty: Vec::new(),
            parting: Vec::new(),
            accept_at: None,
            accept_next: Vec::new(),
            accept_since: None,
            generation: 0,
            limits,
            counters: TcpCounters::default(),
            out: Vec::new(),
            scratch: vec![0; 16 << 10],
            now,
            looked: LastLook::new(now),
            since: now,
        })
    }

    /// For sources of the owner, such as signals and datagrams.
    pub fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    /// The token under which a source is told as [`TcpEvent::Source`].
    pub fn source_token(&self, number: usize) -> Token {
        Token(SOURCES + number)
    }

    /// What came, went and hit a bound.
    pub fn counters(&self) -> TcpCounters {
        self.counters
    }

    /// Connections of ours that stand or are being made.
    pub fn made(&self) -> usize {
        self.conns.len() - self.accepted
    }

    /// Listens; port 0 lets the system choose.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = TcpListener::bind(address)?;
        let local = socket.local_addr()?;
        let token = Token(LISTENERS + self.listeners.len());
        self.poll.registry().register(&mut socket, token, Interest::READABLE)?;
        self.listeners.push(socket);
        Ok(local)
    }

    /// Adds an accepted connection, or one that is being made (`dial`), which may have no socket yet.
    fn add(&mut self, mut socket: Option<TcpStream>, dial: Option<Dial>) -> Option<TcpKey> {
        let accepted = dial.is_none();
        self.generation = self.generation.wrapping_add(1);
        let entry = self.conns.vacant_entry();
        let (index, key) = (entry.key(), TcpKey::new(self.generation, entry.key()));
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Some(socket) = &mut socket {
            let _ = socket.set_nodelay(true);
            self.poll.registry().register(socket, Token(index), interest).ok()?;
        }
        let limit = (!accepted).then(|| self.now + self.limits.connect_timeout);
        entry.insert(Conn {
            key,
            socket,
            dial,
            stage: if accepted { Stage::Open } else { Stage::Connecting },
            accepted,
            readable: accepted,
            writable: accepted,
            closing: false,
            halved: false,
            shut: false,
            rests: false,
            // What was accepted may hold something since it may have come.
            unread: accepted.then_some(self.since),
            came: self.since,
            failed: false,
            ended: false,
            ready: false,
            dirty: false,
            input: BytesMut::new(),
            output: BytesMut::new(),
            queued: 0,
            written: 0,
            alarm: None,
            limit,
        });
        if accepted {
            self.accepted += 1;
            self.make_ready(index);
        }
        if let Some(at) = limit {
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

    /// What was read and not taken yet. The owner takes bytes off its front.
    pub fn input(&mut self, key: TcpKey) -> Option<&mut BytesMut> {
        self.get_mut(key).filter(|c| c.stage == Stage::Open).map(|c| &mut c.input)
    }

    /// When what was read there last may have come at the earliest: what a process reads late has waited in the system,
    /// and its sender's time has run since. What is known is that it was not there when the poll returned the time before; a
    /// process that slept and was woken within the span it asked for is taken to have read it at once.
    pub fn came(&self, key: TcpKey) -> Instant {
        self.get(key).map_or(self.now, |conn| conn.came)
    }

    /// Has the peer ended its side, as far as the poll told, though bytes that it sent before may still be unread?
    pub fn ending(&self, key: TcpKey) -> bool {
        self.get(key).is_some_and(|conn| conn.closing || conn.halved)
    }

    /// When the poll last returned.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Bytes that may still be queued there: [`TcpLimits::output`]. None where the connection takes nothing.
    pub fn room(&self, key: TcpKey) -> Option<usize> {
        let conn = self.get(key).filter(|c| c.stage != Stage::Lingering && !c.ended)?;
        Some(self.limits.output.saturating_sub(conn.output.len()))
    }

    /// Queues bytes; they leave at the end of the turn. Gives the place of their end among all bytes queued
    /// there, to be held against [`Tcp::written`]. `None`: the connection is gone, or goes as
    /// [`Gone::Slow`].
    pub fn send(&mut self, key: TcpKey, bytes: &[u8]) -> Option<u64> {
        let most = self.limits.output;
        let conn = self.get_mut(key).filter(|c| c.stage != Stage::Lingering && !c.ended)?;
        if conn.output.len() + bytes.len() > most {
            self.counters.over_output += 1;
            self.end(key, Some(Gone::Slow));
            return None;
        }
        conn.output.extend_from_slice(bytes);
        conn.queued += bytes.len() as u64;
        let queued = conn.queued;
        if !conn.dirty {
            conn.dirty = true;
            self.dirty.push(key);
        }
        Some(queued)
    }

    /// Bytes handed to the system so far.
    pub fn written(&self, key: TcpKey) -> u64 {
        self.get(key).map_or(0, |c| c.written)
    }

    /// Bytes queued there that the system has not taken.
    pub fn unsent(&self, key: TcpKey) -> usize {
        self.get(key).map_or(0, |conn| conn.output.len())
    }

    /// Bytes queued for accepted connections that the system has not taken.
    pub fn unsent_to_peers(&self) -> usize {
        self.conns.iter().filter(|(_, c)| c.accepted).map(|(_, c)| c.output.len()).sum()
    }

    /// Sets the connection's one alarm, or takes it off.
    pub fn alarm(&mut self, key: TcpKey, at: Option<Instant>) {
        let Some(conn) = self.get_mut(key) else { return };
        let old = std::mem::replace(&mut conn.alarm, at);
        let limit = conn.limit;
        if let Some(old) = old.filter(|old| Some(*old) != limit) {
            self.alarms.remove(&(old, key));
        }
        if let Some(at) = at {
            self.alarms.insert((at, key));
        }
    }

    /// Closes at once; what is queued is lost and no event follows.
    pub fn close(&mut self, key: TcpKey) {
        self.end(key, None);
    }

    /// Sends what is queued, ends our side then, and throws away what still comes. The peer has [`TcpLimits::drain`] to
    /// take it; then the connection closes as soon as the peer's side has ended, after [`TcpLimits::linger`] at the
    /// latest. No event follows.
    pub fn finish(&mut self, key: TcpKey) {
        let until = self.now + self.limits.drain;
        self.alarm(key, None);
        let Some(conn) = self.get_mut(key) else { return };
        if conn.stage != Stage::Open || conn.ended {
            return self.close(key);
        }
        conn.stage = Stage::Lingering;
        conn.input = BytesMut::new();
        flush(conn);
        conn.limit = Some(until);
        self.alarms.insert((until, key));
        self.make_ready(key.index());
        self.rest(key);
    }

    /// A finished connection whose last bytes have left rests for [`TcpLimits::linger`], or not at all where its peer
    /// has ended its side too: nothing can come any more, and its handle is another's.
    fn rest(&mut self, key: TcpKey) {
        let until = self.now + self.limits.linger;
        let Some(conn) = self.get_mut(key).filter(|c| c.shut && !c.rests) else { return };
        conn.rests = true;
        if conn.halved {
            return self.end(key, None);
        }
        let old = conn.limit.replace(until);
        if let Some(old) = old {
            self.alarms.remove(&(old, key));
        }
        self.alarms.insert((until, key));
    }

    /// Lets go of the finished connection that matters least: one whose last bytes have left, the longest since, else
    /// the one that was finished first. False: there is none.
    fn cut_lingering(&mut self) -> bool {
        let finished = self.conns.iter().map(|(_, c)| c).filter(|c| c.stage == Stage::Lingering);
        let least = finished.map(|c| (!c.rests, c.limit, c.key)).min();
        let Some((.., key)) = least else { return false };
        self.counters.linger_cut += 1;
        self.end(key, None);
        true
    }

    fn end(&mut self, key: TcpKey, why: Option<Gone>) {
        if self.get(key).is_none() {
            return;
        }
        let mut conn = self.conns.remove(key.index());
        for at in [conn.alarm, conn.limit].into_iter().flatten() {
            self.alarms.remove(&(at, key));
        }
        if let Some(at) = conn.dial.and_then(|dial| dial.again) {
            self.dials.remove(&(at, key));
        }
        if let Some(socket) = &mut conn.socket {
            let _ = self.poll.registry().deregister(socket);
        }
        if conn.accepted {
            self.accepted -= 1;
        }
        if let Some(why) = why.filter(|_| conn.stage != Stage::Lingering) {
            self.out.push(TcpEvent::Closed(key, why));
        }
    }

    fn make_ready(&mut self, index: usize) {
        if let Some(conn) = self.conns.get_mut(index).filter(|c| !c.ready) {
            conn.ready = true;
            self.ready.push_back(conn.key);
        }
    }

    /// One round: what is queued leaves, the kernel is asked (waiting at most `wait` where nothing is due), what
    /// came is read. Appends what happened to `out`.
    pub fn turn(&mut self, wait: Option<Duration>, out: &mut Vec<TcpEvent>) -> io::Result<()> {
        self.now = Instant::now();
        for key in std::mem::take(&mut self.parting) {
            self.end(key, None);
        }
        self.flush_all();
        let busy = !self.out.is_empty() || !self.ready.is_empty() || !self.accept_next.is_empty();
        let alarm = self.alarms.first().map(|(at, _)| *at);
        let dial = self.dials.first().map(|(at, _)| *at);
        let due = [alarm, dial, self.accept_at];
        let wait = if busy { Some(Duration::ZERO) } else { shorter(wait, self.now, &due) };
        let asleep = Instant::now();
        let interrupted = match self.poll.poll(&mut self.events, wait) {
            Ok(()) => false,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => true,
            Err(e) => return Err(e),
        };
        self.now = Instant::now();
        self.since = self.looked.polled(Polled { began: asleep, returned: self.now, wait, interrupted });
        self.redial();
        self.read_events();
        for _ in 0..self.ready.len() {
            let Some(key) = self.ready.pop_front() else { break };
            self.work(key);
        }
        // Alarms after what came: a request and the end of its connection's idle time may fall into one turn, and
        // a connection may have come about in the turn in which its time is over.
        self.ring();
        out.append(&mut self.out);
        Ok(())
    }

    /// Takes a piece out of what is queued there, by its places among all bytes queued ([`Tcp::send`] gives the
    /// place of its end). False: some of it has left, or is gone with its connection. What was queued behind it
    /// moves up by its length.
    pub fn unsend(&mut self, key: TcpKey, from: u64, to: u64) -> bool {
        let Some(conn) = self.get_mut(key) else { return false };
        if from < conn.written || to > conn.queued || from > to {
            return false;
        }
        let (at, end) = ((from - conn.written) as usize, (to - conn.written) as usize);
        let rest = conn.output.split_off(end);
        conn.output.truncate(at);
        conn.output.unsplit(rest);
        conn.queued -= to - from;
        true
    }

    /// Looks once more whether something came, as an owner does before it closes what was idle. True: nothing
    /// has; else it is told in the next turn.
    pub fn silent(&mut self, key: TcpKey) -> bool {
        let before = match self.get_mut(key) {
            Some(conn) if conn.stage == Stage::Open && !conn.halved => {
                conn.readable = true;
                conn.input.len()
            }
            _ => return true,
        };
        self.work(key);
        self.get(key).is_some_and(|c| c.input.len() == before && !c.halved)
    }

    /// Has a turn seen all that was there to be seen: no connection waits to be accepted for want of handles,
    /// and none was left half read?
    pub fn caught_up(&self) -> bool {
        let accepted = self.accept_at.is_none() && self.accept_next.is_empty();
        accepted && self.ready.is_empty() && self.out.is_empty()
    }

    /// Hands what is queued there to the system now. True: it has taken all of it.
    pub fn flush(&mut self, key: TcpKey) -> bool {
        let Some(conn) = self.get_mut(key) else { return false };
        flush(conn);
        let all = conn.output.is_empty();
        if conn.readable {
            self.make_ready(key.index());
        }
        self.rest(key);
        all
    }

    /// Hands what is queued to the system now.
    pub fn flush_all(&mut self) {
        for key in std::mem::take(&mut self.dirty) {
            let Some(conn) = self.get_mut(key) else { continue };
            conn.dirty = false;
            flush(conn);
            if conn.readable {
                self.make_ready(key.index());
            }
            self.rest(key);
        }
    }

    fn read_events(&mut self) {
        let mut accept = std::mem::take(&mut self.accept_next);
        let mut ready = Vec::new();
        for event in &self.events {
            let token = event.token().0;
            if token >= SOURCES {
                self.out.push(TcpEvent::Source(token - SOURCES));
            } else if token >= LISTENERS {
                if !accept.contains(&(token - LISTENERS)) {
                    accept.push(token - LISTENERS);
                }
            } else if let Some(conn) = self.conns.get_mut(token) {
                conn.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
                conn.closing |= event.is_read_closed() || event.is_error();
                conn.writable |= event.is_writable() || event.is_write_closed() || event.is_error();
                ready.push(token);
            }
        }
        for token in ready {
            self.make_ready(token);
        }
        if self.accept_at.is_some_and(|at| at <= self.now) {
            self.accept_at = None;
            accept = (0..self.listeners.len()).collect();
        }
        // What waited to be accepted has waited since accepting was last left unfinished.
        let since = self.since;
        self.since = self.accept_since.map_or(since, |rested| rested.min(since));
        for index in accept {
            self.accept(index);
        }
        self.since = since;
        if self.accept_at.is_none() && self.accept_next.is_empty() {
            self.accept_since = None;
        }
    }

    fn accept(&mut self, index: usize) {
        let mut accepted = 0;
        loop {
            if accepted >= self.limits.accepted_a_turn {
                self.accept_next.push(index);
                self.accept_since.get_or_insert(self.since);
                return;
            }
            let Some(listener) = self.listeners.get(index) else { return };
            match listener.accept() {
                Ok((socket, _)) if self.accepted >= self.limits.accepted && !self.cut_lingering() => {
                    self.counters.over_accepted += 1;
                    drop(socket);
                }
                Ok((socket, _)) => {
                    self.counters.accepted += 1;
                    accepted += 1;
                    if let Some(key) = self.add(Some(socket), None) {
                        self.out.push(TcpEvent::Accepted(key));
                    }
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                // No handle is left: that of a finished connection will do.
                Err(_) if self.cut_lingering() => {}
                Err(_) => {
                    self.counters.over_handles += 1;
                    self.accept_at = Some(self.now + ACCEPT_REST);
                    self.accept_since.get_or_insert(self.since);
                    return;
                }
            }
        }
    }

    fn ring(&mut self) {
        while let Some(&(at, key)) = self.alarms.first() {
            if at > self.now {
                return;
            }
            self.alarms.pop_first();
            let Some(conn) = self.get_mut(key) else { continue };
            if conn.alarm == Some(at) {
                conn.alarm = None;
                self.out.push(TcpEvent::Alarm(key));
            }
            let Some(conn) = self.get_mut(key) else { continue };
            if conn.limit == Some(at) {
                conn.limit = None;
                if conn.stage == Stage::Connecting {
                    self.counters.connect_failures += 1;
                    self.end(key, Some(Gone::NotConnected));
                } else if conn.stage == Stage::Lingering {
                    self.end(key, None);
                }
            }
        }
    }

    fn work(&mut self, key: TcpKey) {
        let (most, turn, since) = (self.limits.input, self.limits.turn, self.since);
        let mut scratch = std::mem::take(&mut self.scratch);
        let Some(conn) = self.get_mut(key) else {
            self.scratch = scratch;
            return;
        };
        conn.ready = false;
        self.finish_dial(key);
        if let Some(conn) = self.get_mut(key).filter(|c| c.stage != Stage::Connecting && !c.ended) {
            flush(conn);
            conn.came = conn.unread.unwrap_or(since);
            let more = read(conn, &mut scratch, most, turn);
            conn.unread = matches!(more, Ok(true)).then_some(conn.came);
            let told = conn.stage == Stage::Open;
            let data = told && !conn.input.is_empty();
            if let Err(gone) = &more {
                (conn.halved, conn.ended) = (true, gone.is_some());
            }
            if data {
                self.out.push(TcpEvent::Data(key));
            }
            match more {
                Ok(true) => self.make_ready(key.index()),
                Ok(false) => {}
                Err(gone) => {
                    if told {
                        self.out.push(gone.map_or(TcpEvent::Ended(key), |gone| TcpEvent::Closed(key, gone)));
                    }
                    // The owner takes the last bytes from this turn's events: it is taken off in the next.
                    if gone.is_some() || !told {
                        self.parting.push(key);
                    }
                }
            }
            self.rest(key);
        }
        self.scratch = scratch;
    }
}

/// Hands over what is queued. An error is left for reading to find: what came before it is still to be taken.
fn flush(conn: &mut Conn) {
    let Some(socket) = &mut conn.socket else { return };
    while conn.writable && !conn.output.is_empty() && conn.stage != Stage::Connecting {
        match socket.write(&conn.output) {
            Ok(n) => {
                conn.written += n as u64;
                conn.output.advance(n);
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => {
                conn.writable = false;
                let broke = e.kind() != io::ErrorKind::WouldBlock;
                conn.readable |= broke;
                conn.failed |= broke;
            }
        }
    }
    if conn.output.is_empty() && conn.output.capacity() > KEPT {
        conn.output = BytesMut::new();
    }
    // Once: each shutdown wakes the poll, and would be followed by the next.
    if conn.output.is_empty() && conn.stage == Stage::Lingering && !conn.shut {
        conn.shut = true;
        let _ = socket.shutdown(Shutdown::Write);
    }
}

/// Reads what came, within the bounds. `Ok(true)`: there may be more; `Err(None)`: the peer sends no more.
fn read(conn: &mut Conn, scratch: &mut [u8], most: usize, turn: usize) -> Result<bool, Option<Gone>> {
    let Some(socket) = &mut conn.socket else { return Ok(false) };
    if conn.halved {
        // Nothing comes but word that it broke.
        let broke = conn.failed || conn.readable && !matches!(socket.take_error(), Ok(None));
        conn.readable = false;
        return if broke { Err(Some(Gone::Broken)) } else { Ok(false) };
    }
    if conn.input.is_empty() && conn.input.capacity() > KEPT {
        conn.input = BytesMut::new();
    }
    let mut taken = 0;
    while conn.readable {
        let room =
            if conn.stage == Stage::Lingering { scratch.len() } else { most - conn.input.len().min(most) };
        let room = room.min(scratch.len());
        if room == 0 || taken >= turn {
            return Ok(true);
        }
        match socket.read(&mut scratch[..room]) {
            Ok(0) => return Err(None),
            Ok(n) => {
                taken += n;
                if conn.stage == Stage::Open {
                    conn.input.extend_from_slice(&scratch[..n]);
                }
            }
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => conn.readable = false,
            Err(_) => return Err(Some(Gone::Broken)),
        }
    }
    Ok(false)
}
