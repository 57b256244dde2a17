//! Asks the directory for the list of invokers, over and over, by DNS over UDP.

use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use nettleferry_platform::directory::{self, List, ListError, MOST_ANSWER};
use rand::RngExt;
use tracing::{debug, info};

use crate::limits::{ASK_EVERY, ASK_WAIT, Counters};

/// Datagrams taken in one turn: a flood of them must not keep the node from its work.
const TURN: usize = 16;

/// The asker.
pub struct Asker {
    socket: Option<UdpSocket>,
    resolver: SocketAddr,
    token: Token,
    /// The query in hand, and when it is taken for lost.
    out: Option<(u16, Instant)>,
    next: Instant,
    serial: u32,
    buffer: Vec<u8>,
}

impl Asker {
    /// An asker that knows the list as of event `serial`.
    pub fn new(resolver: SocketAddr, token: Token, serial: u32) -> Self {
        Self {
            socket: None,
            resolver,
            token,
            out: None,
            next: Instant::now(),
            serial,
            buffer: vec![0; MOST_ANSWER + 1],
        }
    }

    /// The directory has another address; the numbers of its events go on.
    pub fn moved(&mut self, registry: &Registry, resolver: SocketAddr) {
        info!(%resolver, "the directory is asked there from now on");
        self.resolver = resolver;
        self.drop_socket(registry);
        self.ask();
    }

    fn drop_socket(&mut self, registry: &Registry) {
        if let Some(mut socket) = self.socket.take() {
            let _ = registry.deregister(&mut socket);
        }
        self.out = None;
    }

    /// Asks as soon as may be.
    pub fn ask(&mut self) {
        self.next = Instant::now();
    }

    /// When [`Asker::turn`] is wanted.
    pub fn due(&self) -> Instant {
        self.out.map_or(self.next, |(_, lost)| lost)
    }

    /// Sends what is due.
    pub fn turn(&mut self, registry: &Registry, count: &mut Counters) {
        let now = Instant::now();
        if let Some((_, lost)) = self.out {
            if now < lost {
                return;
            }
            count.lost_lists += 1;
            // A new port as well: an answer to the lost query can't come in its place.
            self.drop_socket(registry);
            self.next = now;
        }
        if now < self.next {
            return;
        }
        let id: u16 = rand::rng().random();
        if let Err(error) = self.send(registry, id) {
            debug!(%error, "the directory can't be asked");
            self.drop_socket(registry);
        }
        self.out = Some((id, now + ASK_WAIT));
        self.next = now + ASK_EVERY;
    }

    fn send(&mut self, registry: &Registry, id: u16) -> io::Result<()> {
        let query = directory::query(id).map_err(io::Error::other)?;
        if self.socket.is_none() {
            let any = if self.resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
            let any: SocketAddr = any.parse().map_err(io::Error::other)?;
            let mut socket = UdpSocket::bind(any)?;
            socket.connect(self.resolver)?;
            registry.register(&mut socket, self.token, Interest::READABLE)?;
            self.socket = Some(socket);
        }
        if let Some(socket) = &self.socket {
            socket.send(&query)?;
        }
        Ok(())
    }

    /// Takes what came. A list newer than the last, if there is one.
    pub fn ready(&mut self, count: &mut Counters) -> Option<List> {
        let mut newest = None;
        for _ in 0..TURN {
            let Some(socket) = &self.socket else { break };
            let length = match socket.recv(&mut self.buffer) {
                Ok(length) => length,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
                // Nobody is there just now: the query counts as lost in its time.
                Err(_) => continue,
            };
            let Some((id, _)) = self.out else { continue };
            let bytes = self.buffer.get(..length).unwrap_or_default();
            match directory::answer(id, bytes) {
                Ok(list) => {
                    self.out = None;
                    if list.serial > self.serial {
                        self.serial = list.serial;
                        newest = Some(list);
                    }
                }
                Err(ListError::Other) => count.bad_lists += 1,
                Err(error) => {
                    debug!(%error, "an answer of the directory can't be used");
                    count.bad_lists += 1;
                    self.out = None;
                    self.next = Instant::now();
                }
            }
        }
        newest
    }
}
