//! Listeners, incoming connections, and the start of outgoing ones.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};

use super::conn::Conn;
use super::{ConnKey, Hub, LISTENERS, Listener, ListenerKey, NetEvent, spare_descriptor};
use crate::wake::Due;

/// Time for which accepting pauses after `accept` has failed, usually for lack of file descriptors or memory.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(100);

impl Hub {
    /// Listens on `address` and returns the local address; port 0 lets the system choose a port.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<(ListenerKey, SocketAddr)> {
        let mut socket = TcpListener::bind(address)?;
        let local = socket.local_addr()?;
        let index = self.listeners.len();
        self.poll.registry().register(&mut socket, Token(LISTENERS + index), Interest::READABLE)?;
        self.listeners.push(Listener { socket, frozen: false });
        Ok((ListenerKey(index), local))
    }

    /// Closes all listening sockets; accepted connections stay open.
    pub fn stop_listening(&mut self) {
        for listener in &mut self.listeners {
            let _ = self.poll.registry().deregister(&mut listener.socket);
        }
        self.listeners.clear();
    }

    /// Starts to connect. An error means that the connect failed immediately; later failures are reported as
    /// [`NetEvent::Closed`].
    pub fn connect(&mut self, address: SocketAddr) -> io::Result<ConnKey> {
        let socket = TcpStream::connect(address)?;
        self.add_conn(socket, address, None)
    }

    /// Accepts all pending connections of a listener.
    pub(super) fn accept(&mut self, index: usize) {
        // Another thread, such as the watcher of the worker list, may have used the spare descriptor while it
        // was released. It is replaced before accepting, as clients could otherwise wait forever once the
        // descriptors run out.
        if self.spare_descriptor.is_none() {
            self.spare_descriptor = spare_descriptor();
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
                    // Out of descriptors or memory. The spare descriptor is released, and the connection is
                    // accepted and closed, so that the client fails immediately instead of waiting. Then
                    // accepting pauses.
                    self.counters.over_handles += 1;
                    if self.spare_descriptor.take().is_some() {
                        if let Some(listener) = self.listeners.get(index) {
                            drop(listener.socket.accept());
                        }
                        self.spare_descriptor = spare_descriptor();
                    }
                    self.accept_at = Some(self.now + ACCEPT_BACKOFF);
                    return;
                }
            }
        }
    }

    /// Adds an accepted connection, or an outgoing one if `listener` is `None`.
    pub(super) fn add_conn(
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
        let timeout =
            if listener.is_some() { self.limits.handshake_timeout } else { self.limits.connect_timeout };
        self.now = Instant::now();
        let alarm = self.now + timeout;
        entry.insert(Conn::new(key, socket, peer, listener, waker, alarm, &self.limits));
        self.alarms.insert((alarm, key));
        Ok(key)
    }
}
