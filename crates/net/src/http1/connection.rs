//! One connection of the server. Its requests are read, handled and answered in order.

use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use mio::net::TcpStream;

use super::message::{Disposition, Http1Limits, Reply, Request};
use super::parse::{Parsed, parse};

/// Maximum bytes of one read.
const READ_BYTES: usize = 16 << 10;

/// A request whose reply is deferred.
#[derive(Clone, Copy)]
pub(super) struct Waiting {
    /// Time at which the request was first handled.
    since: Instant,
    /// Latest time at which the request is handled again.
    pub(super) until: Instant,
    /// Ticket of a parked request; `None` if the request waits without being parked.
    ticket: Option<u64>,
}

pub(super) struct Connection {
    socket: TcpStream,
    /// Bytes received and not handled yet.
    received: Vec<u8>,
    /// The reply that is being sent.
    output: Vec<u8>,
    /// Number of bytes of `output` that were sent.
    sent: usize,
    /// Whether the connection is closed once `output` is sent.
    close_after_output: bool,
    /// Time at which the connection is closed, unless a request is waiting.
    pub(super) deadline: Instant,
    pub(super) waiting: Option<Waiting>,
}

impl Connection {
    pub(super) fn new(socket: TcpStream, deadline: Instant) -> Self {
        let (received, output) = (Vec::new(), Vec::new());
        Self { socket, received, output, sent: 0, close_after_output: false, deadline, waiting: None }
    }

    /// The time at which the connection must be processed next: its deadline, or the time to handle a waiting
    /// request again.
    pub(super) fn due(&self) -> Instant {
        self.waiting.map_or(self.deadline, |waiting| waiting.until)
    }

    /// Reads, handles and answers requests until the socket would block or a request has to wait. More than
    /// `max_received` unhandled bytes are an error. An error ends the connection.
    pub(super) fn advance(
        &mut self,
        limits: &Http1Limits,
        max_received: usize,
        handle: &mut impl FnMut(&Request<'_>, Option<Duration>) -> Disposition,
    ) -> io::Result<()> {
        loop {
            self.write()?;
            // The next request is read only after the reply to this one was sent, which bounds both buffers.
            if self.sent < self.output.len() {
                return Ok(());
            }
            if self.close_after_output {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            let waited = self.waiting.take();
            let since = waited.map_or_else(Instant::now, |waiting| waiting.since);
            let ticket = waited.and_then(|waiting| waiting.ticket);
            let held_for = waited.map(|waiting| waiting.since.elapsed());
            let mut handle_request = |request: &Request<'_>| handle(request, held_for);
            match parse(&self.received, limits, ticket, &mut handle_request) {
                // Nothing is read while a request waits: a peer that has disconnected is detected when the
                // reply is sent.
                Parsed::Wait(span, ticket) => {
                    self.waiting = Some(Waiting { since, until: since + span, ticket });
                    return Ok(());
                }
                Parsed::Done { length, reply, keep_alive } => {
                    self.received.drain(..length);
                    self.close_after_output = !keep_alive;
                    self.reply(&reply);
                    self.deadline = Instant::now() + limits.timeout;
                }
                Parsed::Bad(reply) => {
                    self.close_after_output = true;
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

    /// Reads once. False if the socket would block.
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

    /// Sends the output until the socket would block, and clears it once all of it was sent.
    fn write(&mut self) -> io::Result<()> {
        while self.sent < self.output.len() {
            match self.socket.write(&self.output[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.output.clear();
        self.sent = 0;
        Ok(())
    }

    /// Encodes a reply into the output.
    fn reply(&mut self, reply: &Reply) {
        let reason =
            http::StatusCode::from_u16(reply.status).ok().and_then(|s| s.canonical_reason()).unwrap_or("");
        let connection = if self.close_after_output { "close" } else { "keep-alive" };
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
        self.output.extend_from_slice(head.as_bytes());
        self.output.extend_from_slice(&reply.body);
        if let Some(cut) = reply.cut {
            self.output.truncate(cut);
            self.close_after_output = true;
        }
    }
}
