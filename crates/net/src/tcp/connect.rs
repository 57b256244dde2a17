//! Outgoing connections: connecting, and retries of transient failures.
//!
//! Only a refusal by the peer is final. Other failures (no descriptor, buffer space, local port or route) say
//! nothing about the peer and are retried until [`super::TcpLimits::connect_timeout`].

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::connection::{ConnectAttempt, Stage};
use super::{ConnectionFailure, Tcp, TcpEvent, TcpKey};

/// Initial delay before a connect is retried; it doubles with each retry.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Maximum delay before a connect is retried.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(40);

impl Tcp {
    /// Starts to connect. `None` if [`super::TcpLimits::outgoing`] is reached, the connect failed permanently
    /// or its socket can't be registered with the poll; later failures are reported as [`TcpEvent::Closed`].
    pub fn connect(&mut self, address: SocketAddr) -> Option<TcpKey> {
        if self.outgoing() >= self.limits.outgoing {
            self.counters.over_outgoing += 1;
            return None;
        }
        let socket = match TcpStream::connect(address) {
            Ok(socket) => Some(socket),
            Err(error) if is_transient(&error) => None,
            Err(_) => {
                self.counters.connect_failures += 1;
                return None;
            }
        };
        self.counters.connects += 1;
        let attempt = ConnectAttempt { address, retry_at: None, delay: MIN_RETRY_DELAY };
        let has_socket = socket.is_some();
        let key = self.add(socket, Some(attempt))?;
        if !has_socket {
            self.schedule_retry(key);
        }
        Some(key)
    }

    /// Drops the socket of a connect that failed transiently, and schedules a retry.
    pub(super) fn schedule_retry(&mut self, key: TcpKey) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(key.index()).filter(|conn| conn.key == key) else { return };
        if let Some(mut socket) = conn.socket.take() {
            let _ = self.poll.registry().deregister(&mut socket);
        }
        (conn.readable, conn.writable, conn.read_closed) = (false, false, false);
        let Some(attempt) = &mut conn.connect_attempt else { return };
        let at = now + attempt.delay;
        attempt.retry_at = Some(at);
        attempt.delay = (attempt.delay * 2).min(MAX_RETRY_DELAY);
        self.counters.connect_retries += 1;
        self.connect_retries.insert((at, key));
    }

    /// Retries the connects whose delay is over.
    pub(super) fn retry_connects(&mut self) {
        while let Some(&(at, key)) = self.connect_retries.first() {
            if at > self.now {
                return;
            }
            self.connect_retries.pop_first();
            let Some(attempt) = self.get_mut(key).and_then(|conn| conn.connect_attempt.as_mut()) else {
                continue;
            };
            attempt.retry_at = None;
            let address = attempt.address;
            match TcpStream::connect(address) {
                Ok(socket) => self.attach_socket(key, socket),
                Err(error) if is_transient(&error) => self.schedule_retry(key),
                Err(_) => {
                    self.counters.connect_failures += 1;
                    self.remove(key, Some(ConnectionFailure::Refused));
                }
            }
        }
    }

    /// Registers the socket of a retried connect with its connection.
    fn attach_socket(&mut self, key: TcpKey, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut socket, Token(key.index()), interest);
        if let Some(conn) = self.get_mut(key) {
            conn.socket = Some(socket);
        }
        if registered.is_err() {
            self.schedule_retry(key);
        }
    }

    /// Checks whether a connecting connection is established once its socket is writable, and reports the
    /// result.
    pub(super) fn check_connected(&mut self, key: TcpKey) {
        let Some(conn) = self.get_mut(key).filter(|conn| conn.stage == Stage::Connecting && conn.writable)
        else {
            return;
        };
        let Some(socket) = &conn.socket else { return };
        match is_established(socket) {
            Ok(false) => conn.writable = false,
            Ok(true) => {
                conn.stage = Stage::Open;
                conn.connect_attempt = None;
                if let Some(at) = conn.deadline.take()
                    && conn.alarm != Some(at)
                {
                    self.alarms.remove(&(at, key));
                }
                self.out.push(TcpEvent::Connected(key));
            }
            Err(ConnectionFailure::NotConnected) => self.schedule_retry(key),
            Err(failure) => {
                self.counters.connect_failures += 1;
                self.remove(key, Some(failure));
            }
        }
    }
}

/// Whether a failed connect may succeed later: neither refused by the peer nor invalid.
fn is_transient(error: &io::Error) -> bool {
    let is_permanent = matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::InvalidInput | io::ErrorKind::Unsupported
    );
    !is_permanent
}

/// Whether a connection is established. A reset is [`ConnectionFailure::Broken`]: the peer had accepted the
/// connection.
fn is_established(socket: &TcpStream) -> Result<bool, ConnectionFailure> {
    let failure = |e: io::Error| match e.kind() {
        io::ErrorKind::ConnectionRefused => ConnectionFailure::Refused,
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted | io::ErrorKind::BrokenPipe => {
            ConnectionFailure::Broken
        }
        _ => ConnectionFailure::NotConnected,
    };
    match socket.take_error() {
        Ok(Some(e)) | Err(e) => return Err(failure(e)),
        Ok(None) => {}
    }
    match socket.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(failure(e)),
    }
}
