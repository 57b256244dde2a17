//! A small HTTP/1.1 server (RFC 9110, RFC 9112) on a mio poll of its own, for side listeners: scraping and the
//! like. It runs in a thread of its own and can hold up nothing else.
//!
//! Requests have a body by Content-Length or none; chunked bodies are answered 411. Connections are kept as
//! the client wishes, requests on one connection are answered in order.

use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct Http1Limits {
    /// Connections at once; one more is closed at once.
    pub connections: usize,
    /// Bytes of a request's line and headers; more is 431.
    pub head_bytes: usize,
    /// Bytes of a request's body; more is 413.
    pub body_bytes: usize,
    /// A connection that has not finished a request, or taken its answer, within this span is closed.
    pub patience: Duration,
}

impl Default for Http1Limits {
    fn default() -> Self {
        Self { connections: 64, head_bytes: 8 << 10, body_bytes: 1 << 20, patience: Duration::from_secs(10) }
    }
}

/// A request.
#[derive(Debug)]
pub struct Request<'a> {
    /// `GET` and the like.
    pub method: &'a str,
    /// The target as sent: path and query.
    pub target: &'a str,
    /// Headers in order; names as sent.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// The body.
    pub body: &'a [u8],
    /// It was parked under this ticket: it is not done again, its answer is asked for.
    pub ticket: Option<u64>,
}

impl Request<'_> {
    /// The first header of a name, whatever its case, where it is text.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.and_then(|(_, value)| std::str::from_utf8(value).ok())
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Content-Type.
    pub kind: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// A fault, for stand-ins: only so many bytes of the answer leave, then the connection closes.
    pub cut: Option<usize>,
}

impl Reply {
    /// An answer in plain text.
    pub fn text(status: u16, text: impl Into<String>) -> Self {
        let body = text.into().into_bytes();
        Self { status, kind: "text/plain; charset=utf-8", headers: Vec::new(), body, cut: None }
    }
}

/// What a request gets for now.
#[derive(Clone, Debug)]
pub enum Turn {
    /// Its answer.
    Reply(Reply),
    /// Nothing yet: it is asked again when the server is woken, and when so long has passed since it came.
    Wait(Duration),
    /// It was done and its answer comes later: it is asked again as after a wait, with this ticket.
    Park(Duration, u64),
}

/// Ends or wakes a server from another thread.
#[derive(Clone)]
pub struct Stop {
    told: Arc<AtomicBool>,
    waker: Arc<Waker>,
}

impl Stop {
    /// Requests that wait are asked again.
    pub fn wake(&self) {
        let _ = self.waker.wake();
    }

    /// Ends it.
    pub fn stop(&self) {
        self.told.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}

struct Conn {
    socket: TcpStream,
    came: Vec<u8>,
    out: Vec<u8>,
    sent: usize,
    last: bool,
    until: Instant,
    /// Its request came then and waits until then, under a ticket where it was done.
    waits: Option<(Instant, Instant, Option<u64>)>,
}

/// A server.
pub struct Http1 {
    poll: Poll,
    listener: TcpListener,
    conns: Slab<Conn>,
    limits: Http1Limits,
    stop: Stop,
    cut_requests: Arc<AtomicUsize>,
}

const LISTEN: Token = Token(usize::MAX);
const WAKE: Token = Token(usize::MAX - 1);
const MOST_HEADERS: usize = 64;

impl Http1 {
    /// Listens.
    pub fn bind(address: SocketAddr, limits: Http1Limits) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(address)?;
        poll.registry().register(&mut listener, LISTEN, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let stop = Stop { told: Arc::default(), waker };
        let cut_requests = Arc::new(AtomicUsize::new(usize::MAX));
        Ok(Self { poll, listener, conns: Slab::new(), limits, stop, cut_requests })
    }

    /// Where it listens.
    pub fn local(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// The handle that ends it.
    pub fn stop(&self) -> Stop {
        self.stop.clone()
    }

    /// A fault, for stand-ins: a connection that has brought more bytes than this of one request is closed.
    pub fn cut_requests(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.cut_requests)
    }

    /// Serves until stopped.
    pub fn run(&mut self, mut answer: impl FnMut(&Request<'_>) -> Reply) -> io::Result<()> {
        self.run_waiting(|request, _| Turn::Reply(answer(request)), || None)
    }

    /// Serves until stopped. A request may be told to wait; it is asked again with how long ago it came. `tick` is
    /// called in every round and says when it wants the next one at the latest.
    pub fn run_waiting(
        &mut self,
        mut answer: impl FnMut(&Request<'_>, Duration) -> Turn,
        mut tick: impl FnMut() -> Option<Duration>,
    ) -> io::Result<()> {
        let mut events = Events::with_capacity(128);
        while !self.stop.told.load(Ordering::Acquire) {
            let wanted = tick();
            let now = Instant::now();
            let ends = self.conns.iter().map(|(_, c)| c.waits.map_or(c.until, |(_, until, _)| until));
            let next = ends.map(|at| at.saturating_duration_since(now)).min();
            let next = [next, wanted].into_iter().flatten().min();
            match self.poll.poll(&mut events, next) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            let due: Vec<Token> = events.iter().map(|e| e.token()).collect();
            let woken = due.contains(&WAKE);
            for token in due {
                match token {
                    LISTEN => self.accept(),
                    WAKE => {}
                    Token(at) => self.work(at, &mut answer),
                }
            }
            let now = Instant::now();
            let again = |c: &Conn| c.waits.is_some_and(|(_, until, _)| woken || until <= now);
            let waiting: Vec<usize> = self.conns.iter().filter(|(_, c)| again(c)).map(|(at, _)| at).collect();
            for at in waiting {
                self.work(at, &mut answer);
            }
            self.conns.retain(|_, c| c.until > now || c.waits.is_some());
        }
        Ok(())
    }

    fn accept(&mut self) {
        while let Ok((mut socket, _)) = self.listener.accept() {
            if self.conns.len() >= self.limits.connections {
                continue;
            }
            let entry = self.conns.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut socket, Token(entry.key()), interest).is_ok() {
                let until = Instant::now() + self.limits.patience;
                let (came, out, sent, last, waits) = Default::default();
                entry.insert(Conn { socket, came, out, sent, last, until, waits });
            }
        }
    }

    fn work(&mut self, at: usize, answer: &mut impl FnMut(&Request<'_>, Duration) -> Turn) {
        let limits = self.limits;
        let Some(conn) = self.conns.get_mut(at) else { return };
        let most = self.cut_requests.load(Ordering::Relaxed);
        if conn.turn(&limits, most, answer).is_err() {
            self.conns.remove(at);
        }
    }
}

/// What stands at the beginning of the bytes that came.
enum Parsed {
    Partial,
    /// The request waits, so long after it came, and under a ticket where it was done.
    Wait(Duration, Option<u64>),
    /// One request of so many bytes is answered; keep the connection?
    Done(usize, Reply, bool),
    Bad(Reply),
}

impl Conn {
    /// Reads, answers and writes as far as it goes. An error ends the connection.
    fn turn(
        &mut self,
        limits: &Http1Limits,
        most: usize,
        answer: &mut impl FnMut(&Request<'_>, Duration) -> Turn,
    ) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        loop {
            self.write()?;
            // No more is read than one request and its answer take.
            if self.sent < self.out.len() {
                return Ok(());
            }
            if self.last {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let (since, ticket) =
                self.waits.map_or_else(|| (Instant::now(), None), |(since, _, ticket)| (since, ticket));
            let parsed = parse(&self.came, limits, ticket, &mut |request| answer(request, since.elapsed()));
            self.waits = None;
            match parsed {
                // No more is read meanwhile; a peer that has left is found when it is answered.
                Parsed::Wait(span, ticket) => {
                    self.waits = Some((since, since + span, ticket));
                    return Ok(());
                }
                Parsed::Done(used, reply, keep) => {
                    self.came.drain(..used);
                    self.last = !keep;
                    self.reply(&reply);
                    self.until = Instant::now() + limits.patience;
                    continue;
                }
                Parsed::Bad(reply) => {
                    self.last = true;
                    self.reply(&reply);
                    continue;
                }
                Parsed::Partial => {}
            }
            match self.socket.read(&mut chunk) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(n) if self.came.len() + n > most => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                Ok(n) => self.came.extend_from_slice(&chunk[..n]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
    }

    fn write(&mut self) -> io::Result<()> {
        while self.sent < self.out.len() {
            match self.socket.write(&self.out[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.out.clear();
        self.sent = 0;
        Ok(())
    }

    fn reply(&mut self, reply: &Reply) {
        let reason =
            http::StatusCode::from_u16(reply.status).ok().and_then(|s| s.canonical_reason()).unwrap_or("");
        let keep = if self.last { "close" } else { "keep-alive" };
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {keep}\r\n",
            reply.status,
            reply.kind,
            reply.body.len()
        );
        for (name, value) in &reply.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        self.out.extend_from_slice(head.as_bytes());
        self.out.extend_from_slice(&reply.body);
        if let Some(cut) = reply.cut {
            self.out.truncate(cut);
            self.last = true;
        }
    }
}

fn parse(
    came: &[u8],
    limits: &Http1Limits,
    ticket: Option<u64>,
    answer: &mut dyn FnMut(&Request<'_>) -> Turn,
) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let used = match head.parse(came) {
        Ok(httparse::Status::Complete(used)) if used <= limits.head_bytes => used,
        Ok(httparse::Status::Partial) if came.len() <= limits.head_bytes => return Parsed::Partial,
        Ok(_) | Err(httparse::Error::TooManyHeaders) => {
            let what = format!("at most {} bytes and {MOST_HEADERS} headers are taken\n", limits.head_bytes);
            return Parsed::Bad(Reply::text(431, what));
        }
        Err(error) => return Parsed::Bad(Reply::text(400, format!("no HTTP/1.1 request: {error}\n"))),
    };
    let request = Request {
        method: head.method.unwrap_or(""),
        target: head.path.unwrap_or(""),
        headers: head.headers.iter().map(|h| (h.name, h.value)).collect(),
        body: &[],
        ticket,
    };
    if request.header("transfer-encoding").is_some() {
        return Parsed::Bad(Reply::text(411, "chunked bodies are not taken: send Content-Length\n"));
    }
    // Two lengths that differ are an attack on whoever stands between (RFC 9112, 6.3).
    let mut lengths = request.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let length = match (lengths.next(), lengths.next()) {
        (None, _) => Some(0),
        (Some((_, value)), None) => {
            std::str::from_utf8(value).ok().and_then(|v| v.trim().parse::<usize>().ok())
        }
        _ => None,
    };
    let Some(length) = length else {
        return Parsed::Bad(Reply::text(400, "Content-Length is not one whole number\n"));
    };
    if length > limits.body_bytes {
        return Parsed::Bad(Reply::text(
            413,
            format!("at most {} bytes of body are taken\n", limits.body_bytes),
        ));
    }
    let Some(body) = came.get(used..used + length) else { return Parsed::Partial };
    let connection = request.header("connection").unwrap_or("").to_ascii_lowercase();
    let keep = if head.version == Some(1) { connection != "close" } else { connection == "keep-alive" };
    match answer(&Request { body, ..request }) {
        Turn::Reply(reply) => Parsed::Done(used + length, reply, keep),
        Turn::Wait(span) => Parsed::Wait(span, None),
        Turn::Park(span, ticket) => Parsed::Wait(span, Some(ticket)),
    }
}

#[cfg(test)]
mod tests;
