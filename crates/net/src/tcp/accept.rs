//! Listeners and incoming connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use mio::net::TcpListener;
use mio::{Interest, Token};

use super::{LISTENERS, Tcp, TcpEvent};

/// Time for which accepting pauses after `accept` has failed, usually for lack of file descriptors or memory.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

impl Tcp {
    /// Listens on `address` and returns the local address; port 0 lets the system choose a port.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<SocketAddr> {
        let mut socket = TcpListener::bind(address)?;
        let local = socket.local_addr()?;
        let token = Token(LISTENERS + self.listeners.len());
        self.poll.registry().register(&mut socket, token, Interest::READABLE)?;
        self.listeners.push(socket);
        Ok(local)
    }

    /// Accepts the pending connections of a listener within the limits.
    pub(super) fn accept(&mut self, index: usize) {
        let mut accepted = 0;
        loop {
            if accepted >= self.limits.accepts_per_poll {
                self.unfinished_accepts.push(index);
                self.unaccepted_since.get_or_insert(self.earliest_arrival);
                return;
            }
            let Some(listener) = self.listeners.get(index) else { return };
            match listener.accept() {
                Ok((socket, _)) if self.accepted >= self.limits.accepted && !self.evict_lingering() => {
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
                // No descriptor is left: closing a finished connection frees one.
                Err(_) if self.evict_lingering() => {}
                Err(_) => {
                    self.counters.over_handles += 1;
                    self.accept_at = Some(self.now + ACCEPT_BACKOFF);
                    self.unaccepted_since.get_or_insert(self.earliest_arrival);
                    return;
                }
            }
        }
    }
}
