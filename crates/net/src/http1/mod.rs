//! A small HTTP/1.1 server (RFC 9110, RFC 9112) for secondary listeners such as metrics. It has its own mio
//! poll and runs in its own thread, so that it can't delay other work.
//!
//! A request body requires Content-Length; chunked bodies are rejected with 411. Connections are persistent
//! unless the client asks to close them, and the requests of one connection are answered in order.
//!
//! * `message`: requests, replies and limits. `parse`: the request parser. `connection`: the state of one
//!   connection.

mod connection;
mod message;
mod parse;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token, Waker};
use slab::Slab;

use connection::Connection;
pub use message::{Disposition, Http1Limits, Reply, Request};

/// A handle that stops or wakes a server from another thread.
#[derive(Clone)]
pub struct Stop {
    requested: Arc<AtomicBool>,
    waker: Arc<Waker>,
}

impl Stop {
    /// Wakes the server, which calls the handler again for every waiting request.
    pub fn wake(&self) {
        let _ = self.waker.wake();
    }

    /// Stops the server at its next iteration.
    pub fn stop(&self) {
        self.requested.store(true, Ordering::Release);
        let _ = self.waker.wake();
    }
}

/// An HTTP/1.1 server with one listener.
pub struct Http1Server {
    poll: Poll,
    listener: TcpListener,
    connections: Slab<Connection>,
    limits: Http1Limits,
    stop: Stop,
    /// Injected fault: see [`Http1Server::cut_requests`].
    cut_requests: Arc<AtomicUsize>,
}

const LISTEN: Token = Token(usize::MAX);
const WAKE: Token = Token(usize::MAX - 1);

impl Http1Server {
    /// Creates a server that listens on `address`; connections are accepted once it runs.
    pub fn bind(address: SocketAddr, limits: Http1Limits) -> io::Result<Self> {
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(address)?;
        poll.registry().register(&mut listener, LISTEN, Interest::READABLE)?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let stop = Stop { requested: Arc::default(), waker };
        let cut_requests = Arc::new(AtomicUsize::new(usize::MAX));
        Ok(Self { poll, listener, connections: Slab::new(), limits, stop, cut_requests })
    }

    /// The address on which the server listens.
    pub fn local_addr(&self) -> io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// A handle that stops or wakes the server.
    pub fn stop(&self) -> Stop {
        self.stop.clone()
    }

    /// An injected fault for test servers: a connection that has received more than this number of bytes of
    /// one request is closed.
    pub fn cut_requests(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.cut_requests)
    }

    /// Serves requests until stopped. Each request is answered as soon as `handle` returns.
    pub fn run(&mut self, mut handle: impl FnMut(&Request<'_>) -> Reply) -> io::Result<()> {
        self.run_waiting(|request, _| Disposition::Reply(handle(request)), || None)
    }

    /// Serves requests until stopped. `handle` may defer its reply and is then called again for the same
    /// request; its second argument is how long the request has waited, or `None` on the first call. `tick`
    /// is called in every iteration, and returns the maximum time until the next one.
    pub fn run_waiting(
        &mut self,
        mut handle: impl FnMut(&Request<'_>, Option<Duration>) -> Disposition,
        mut tick: impl FnMut() -> Option<Duration>,
    ) -> io::Result<()> {
        let mut events = Events::with_capacity(128);
        while !self.stop.requested.load(Ordering::Acquire) {
            let next_tick = tick();
            let now = Instant::now();
            let due = self.connections.iter().map(|(_, connection)| connection.due());
            let next_due = due.map(|at| at.saturating_duration_since(now)).min();
            let next = [next_due, next_tick].into_iter().flatten().min();
            match self.poll.poll(&mut events, next) {
                Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
                _ => {}
            }
            let tokens: Vec<Token> = events.iter().map(|event| event.token()).collect();
            let woken = tokens.contains(&WAKE);
            for token in tokens {
                match token {
                    LISTEN => self.accept(),
                    WAKE => {}
                    Token(index) => self.advance(index, &mut handle),
                }
            }
            let now = Instant::now();
            let is_due = |connection: &Connection| {
                connection.waiting.is_some_and(|waiting| woken || waiting.until <= now)
            };
            let due = self.connections.iter().filter(|(_, connection)| is_due(connection));
            for index in due.map(|(index, _)| index).collect::<Vec<usize>>() {
                self.advance(index, &mut handle);
            }
            self.connections
                .retain(|_, connection| connection.deadline > now || connection.waiting.is_some());
        }
        Ok(())
    }

    /// Accepts all pending connections; those above the limit are closed immediately.
    fn accept(&mut self) {
        while let Ok((mut socket, _)) = self.listener.accept() {
            if self.connections.len() >= self.limits.connections {
                continue;
            }
            let entry = self.connections.vacant_entry();
            let interest = Interest::READABLE | Interest::WRITABLE;
            if self.poll.registry().register(&mut socket, Token(entry.key()), interest).is_ok() {
                entry.insert(Connection::new(socket, Instant::now() + self.limits.timeout));
            }
        }
    }

    /// Lets a connection make progress, and removes it if it has ended.
    fn advance(
        &mut self,
        index: usize,
        handle: &mut impl FnMut(&Request<'_>, Option<Duration>) -> Disposition,
    ) {
        let max_received = self.cut_requests.load(Ordering::Relaxed);
        let Some(connection) = self.connections.get_mut(index) else { return };
        if connection.advance(&self.limits, max_received, handle).is_err() {
            self.connections.remove(index);
        }
    }
}

#[cfg(test)]
mod tests;
