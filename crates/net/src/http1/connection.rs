//! One connection of the server: requests are read, handled and answered in order.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::message::{Disposition, Http1Limits, Reply, Request};
use super::parse::{Parsed, parse};

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// A request that waits for its reply.
#[derive(Clone, Copy)]
pub(super) struct Waiting {
    /// When it came.
    since: Instant,
    /// When it is handled again, at the latest.
    pub(super) until: Instant,
    /// The ticket under which it was parked.
    ticket: Option<u64>,
}

pub(super) struct Connection {
    socket: TcpStream,
    received: Vec<u8>,
    out: Vec<u8>,
    /// Bytes of `out` that were sent.
    sent: usize,
    /// It closes when `out` is sent.
    closes: bool,
    /// When it is closed, unless its request waits.
    pub(super) deadline: Instant,
    pub(super) waiting: Option<Waiting>,
}

impl Connection {
    pub(super) fn new(socket: TcpStream, deadline: Instant) -> Self {
        let (received, out) = (Vec::new(), Vec::new());
        Self { socket, received, out, sent: 0, closes: false, deadline, waiting: None }
    }

    /// When something is due there.
    pub(super) fn due(&self) -> Instant {
        self.waiting.map_or(self.deadline, |waiting| waiting.until)
    }

    /// Reads, handles and writes as far as it goes. `max_received`: a connection that has received more of one request is
    /// closed. An error ends the connection.
    pub(super) fn advance(
        &mut self,
        limits: &Http1Limits,
        max_received: usize,
        handle: &mut impl FnMut(&Request<'_>, Option<Duration>) -> Disposition,
    ) -> io::Result<()> {
        loop {
            self.write()?;
            // No more is read than one request and its reply take.
            if self.sent < self.out.len() {
                return Ok(());
            }
            if self.closes {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let waited = self.waiting.take();
            let since = waited.map_or_else(Instant::now, |waiting| waiting.since);
            let ticket = waited.and_then(|waiting| waiting.ticket);
            let held_for = waited.map(|waiting| waiting.since.elapsed());
            let mut handle_request = |request: &Request<'_>| handle(request, held_for);
            match parse(&self.received, limits, ticket, &mut handle_request) {
                // No more is read meanwhile; a peer that has left is found when it is answered.
                Parsed::Wait(span, ticket) => {
                    self.waiting = Some(Waiting { since, until: since + span, ticket });
                    return Ok(());
                }
                Parsed::Done { length, reply, keep_alive } => {
                    self.received.drain(..length);
                    self.closes = !keep_alive;
                    self.reply(&reply);
                    self.deadline = Instant::now() + limits.timeout;
                }
                Parsed::Bad(reply) => {
                    self.closes = true;
                    self.reply(&reply);
                }
                Parsed::Partial => {
                    if !self.read(max_received)? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Reads some bytes. False: there are none now.
    fn read(&mut self, max_received: usize) -> io::Result<bool> {
        let mut chunk = [0; READ_BYTES];
        match self.socket.read(&mut chunk) {
            Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(n) if self.received.len() + n > max_received => Err(io::ErrorKind::ConnectionAborted.into()),
            Ok(n) => {
                self.received.extend_from_slice(&chunk[..n]);
                Ok(true)
            }
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(false),
            Err(e) if e.kind() == io::ErrorKind::Interrupted => Ok(true),
            Err(e) => Err(e),
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
        let connection = if self.closes { "close" } else { "keep-alive" };
        let mut head = format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n",
            reply.status,
            reply.content_type,
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
            self.closes = true;
        }
    }
}
