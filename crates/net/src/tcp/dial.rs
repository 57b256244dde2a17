//! Connections that we make: begun, tried again while what fails is this end or the way, and come about.
//!
//! Only a peer that refuses is gone. A socket or a connect that fails for a moment (no descriptor, no buffer, no local
//! port, no route) says nothing of the peer: it is tried again until [`super::TcpLimits::connect_timeout`].

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::TcpStream;
use mio::{Interest, Token};

use super::{Gone, Stage, Tcp, TcpEvent, TcpKey};

/// Pause before a connect is tried again: the first, doubled up to the longest.
const PAUSE_FIRST: Duration = Duration::from_millis(5);
const PAUSE_MOST: Duration = Duration::from_millis(40);

/// A connection that is being made.
#[derive(Clone, Copy, Debug)]
pub(super) struct Dial {
    address: SocketAddr,
    /// When it is tried again, while it has no socket.
    pub(super) again: Option<Instant>,
    pause: Duration,
}

impl Tcp {
    /// Begins to connect. `None`: [`super::TcpLimits::made`], or the peer has refused.
    pub fn connect(&mut self, address: SocketAddr) -> Option<TcpKey> {
        if self.made() >= self.limits.made {
            self.counters.over_made += 1;
            return None;
        }
        let socket = match TcpStream::connect(address) {
            Ok(socket) => Some(socket),
            Err(error) if passes(&error) => None,
            Err(_) => {
                self.counters.connect_failures += 1;
                return None;
            }
        };
        self.counters.begun += 1;
        let dial = Dial { address, again: None, pause: PAUSE_FIRST };
        let begun = socket.is_some();
        let key = self.add(socket, Some(dial))?;
        if !begun {
            self.pause(key);
        }
        Some(key)
    }

    /// Drops the socket of a connect that has failed for a moment; it is tried again after a pause.
    fn pause(&mut self, key: TcpKey) {
        let now = self.now;
        let Some(conn) = self.conns.get_mut(key.index()).filter(|conn| conn.key == key) else { return };
        if let Some(mut socket) = conn.socket.take() {
            let _ = self.poll.registry().deregister(&mut socket);
        }
        (conn.readable, conn.writable, conn.closing) = (false, false, false);
        let Some(dial) = &mut conn.dial else { return };
        let at = now + dial.pause;
        dial.again = Some(at);
        dial.pause = (dial.pause * 2).min(PAUSE_MOST);
        self.counters.connect_again += 1;
        self.dials.insert((at, key));
    }

    /// Tries again what is due.
    pub(super) fn redial(&mut self) {
        while let Some(&(at, key)) = self.dials.first() {
            if at > self.now {
                return;
            }
            self.dials.pop_first();
            let Some(dial) = self.get_mut(key).and_then(|conn| conn.dial.as_mut()) else { continue };
            dial.again = None;
            let address = dial.address;
            match TcpStream::connect(address) {
                Ok(socket) => self.dialled(key, socket),
                Err(error) if passes(&error) => self.pause(key),
                Err(_) => {
                    self.counters.connect_failures += 1;
                    self.end(key, Some(Gone::Refused));
                }
            }
        }
    }

    fn dialled(&mut self, key: TcpKey, mut socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let interest = Interest::READABLE | Interest::WRITABLE;
        let registered = self.poll.registry().register(&mut socket, Token(key.index()), interest);
        if let Some(conn) = self.get_mut(key) {
            conn.socket = Some(socket);
        }
        if registered.is_err() {
            self.pause(key);
        }
    }

    /// Looks whether a connection has come about, once its socket can be written to.
    pub(super) fn finish_dial(&mut self, key: TcpKey) {
        let Some(conn) = self.get_mut(key).filter(|conn| conn.stage == Stage::Connecting && conn.writable)
        else {
            return;
        };
        let Some(socket) = &conn.socket else { return };
        match established(socket) {
            Ok(false) => conn.writable = false,
            Ok(true) => {
                conn.stage = Stage::Open;
                conn.dial = None;
                if let Some(at) = conn.limit.take()
                    && conn.alarm != Some(at)
                {
                    self.alarms.remove(&(at, key));
                }
                self.out.push(TcpEvent::Connected(key));
            }
            Err(Gone::NotConnected) => self.pause(key),
            Err(gone) => {
                self.counters.connect_failures += 1;
                self.end(key, Some(gone));
            }
        }
    }
}

/// May this failure of a connect pass, as it tells of this end or of the way and not of the peer?
fn passes(error: &io::Error) -> bool {
    let lasting = matches!(
        error.kind(),
        io::ErrorKind::ConnectionRefused | io::ErrorKind::InvalidInput | io::ErrorKind::Unsupported
    );
    !lasting
}

/// Has a connection come about? One that was reset had come about: somebody listens there.
fn established(socket: &TcpStream) -> Result<bool, Gone> {
    let gone = |e: io::Error| match e.kind() {
        io::ErrorKind::ConnectionRefused => Gone::Refused,
        io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted | io::ErrorKind::BrokenPipe => {
            Gone::Broken
        }
        _ => Gone::NotConnected,
    };
    match socket.take_error() {
        Ok(Some(e)) | Err(e) => return Err(gone(e)),
        Ok(None) => {}
    }
    match socket.peer_addr() {
        Ok(_) => Ok(true),
        Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(e) => Err(gone(e)),
    }
}
