//! An HTTP/1.1 client on its own mio poll, with a fixed number of connections to one address and one request
//! at a time on each. It runs in the thread of its owner.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token, Waker};

pub use crate::http1_client_connection::{Answer, Http1Error};
use crate::http1_client_connection::{ClientConnection, encode_request};

const WAKE: Token = Token(usize::MAX);

/// An HTTP/1.1 client with a fixed number of connections to one address; they are established by their first
/// request.
pub struct Http1Client {
    poll: Poll,
    waker: Arc<Waker>,
    address: SocketAddr,
    connections: Vec<ClientConnection>,
    timeout: Duration,
}

impl Http1Client {
    /// Creates a client with `connections` connections to `address`. A request without a complete response
    /// after `timeout` ends with [`Http1Error::Timeout`].
    pub fn new(address: SocketAddr, connections: usize, timeout: Duration) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let connections = (0..connections).map(|_| ClientConnection::default()).collect();
        Ok(Self { poll, waker, address, connections, timeout })
    }

    /// A waker that makes [`Http1Client::poll`] return, for use by other threads.
    pub fn waker(&self) -> Arc<Waker> {
        Arc::clone(&self.waker)
    }

    /// Sets the timeout of requests that are sent afterwards.
    pub fn set_timeout(&mut self, timeout: Duration) {
        self.timeout = timeout;
    }

    /// Sends a POST request on a connection by its index; the connection must have no request in flight.
    pub fn post(&mut self, connection: usize, path: &str, headers: &[(&str, &str)], body: &[u8]) {
        self.send(connection, "POST", path, headers, body);
    }

    /// Sends a request on a connection by its index; the connection must have no request in flight. An
    /// unknown index is ignored.
    pub fn send(
        &mut self,
        connection: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let token = Token(connection);
        let Some(connection) = self.connections.get_mut(connection) else { return };
        let request = encode_request(self.address, method, path, headers, body);
        let deadline = Instant::now() + self.timeout;
        connection.send(self.poll.registry(), token, self.address, request, deadline);
    }

    /// Runs one iteration: waits for at most `timeout`, or not at all if a request has ended already, and
    /// appends the index of each connection whose request has ended, with the result, to `out`.
    pub fn poll(
        &mut self,
        timeout: Option<Duration>,
        out: &mut Vec<(usize, Result<Answer, Http1Error>)>,
    ) -> io::Result<()> {
        self.poll_connections(out);
        let now = Instant::now();
        let next = self
            .connections
            .iter()
            .filter_map(ClientConnection::deadline)
            .min()
            .map(|at| at.saturating_duration_since(now));
        let wait =
            if out.is_empty() { [timeout, next].into_iter().flatten().min() } else { Some(Duration::ZERO) };
        let mut events = Events::with_capacity(64);
        match self.poll.poll(&mut events, wait) {
            Err(e) if e.kind() != io::ErrorKind::Interrupted => return Err(e),
            _ => {}
        }
        self.poll_connections(out);
        Ok(())
    }

    fn poll_connections(&mut self, out: &mut Vec<(usize, Result<Answer, Http1Error>)>) {
        let now = Instant::now();
        let ended =
            |(index, connection): (usize, &mut ClientConnection)| Some((index, connection.poll(now)?));
        out.extend(self.connections.iter_mut().enumerate().filter_map(ended));
    }
}

#[cfg(test)]
mod tests;
