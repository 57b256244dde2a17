//! Asks the directory for the list of invokers, over and over, by DNS over UDP.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use nettleferry_platform::directory::{self, List, ListError, MOST_ANSWER};
use rand::RngExt;
use tracing::{debug, info};

use crate::limits::{ASK_AGAIN, ASK_EVERY, ASK_WAIT, Counters, OLD_ADDRESS, QUERIES, UNSENT_MOST};

/// Datagrams taken in one turn: a flood of them must not keep the node from its work.
const TURN: usize = 16;

/// A socket to one address of the directory, and the queries whose answers may still come there.
struct Line {
    socket: UdpSocket,
    /// The newest last.
    queries: VecDeque<u16>,
}

impl Line {
    fn open(registry: &Registry, token: Token, resolver: SocketAddr) -> io::Result<Self> {
        let any = if resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let any: SocketAddr = any.parse().map_err(io::Error::other)?;
        let mut socket = UdpSocket::bind(any)?;
        socket.connect(resolver)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(Self { socket, queries: VecDeque::new() })
    }

    fn close(mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }
}

/// What one datagram told.
enum Answer {
    List(List),
    /// An answer of ours that can't be used.
    Bad,
    /// None of ours.
    Other,
}

/// The client of the directory.
pub struct DiscoveryClient {
    line: Option<Line>,
    /// The directory's address before it moved: what it had said by then counts as told.
    old: Option<(Line, Instant)>,
    resolver: SocketAddr,
    token: Token,
    /// When the newest query is taken for lost, while its answer has not come.
    lost: Option<Instant>,
    next: Instant,
    serial: u32,
    /// When a list was last heard, whether it was news or not, and when the one before it was.
    heard: [Option<Instant>; 2],
    /// Queries in a row that could not be sent.
    unsent: u32,
    /// More datagrams stand than one turn takes.
    more: bool,
    buffer: Vec<u8>,
}

impl DiscoveryClient {
    /// One that knows the list as of event `serial`.
    pub fn new(resolver: SocketAddr, token: Token, serial: u32) -> Self {
        Self {
            line: None,
            old: None,
            resolver,
            token,
            lost: None,
            next: Instant::now(),
            serial,
            heard: [None; 2],
            unsent: 0,
            more: false,
            buffer: vec![0; MOST_ANSWER + 1],
        }
    }

    /// The directory has another address; the numbers of its events go on. What its old address has said, or still
    /// says within [`OLD_ADDRESS`], is heard.
    pub fn moved(&mut self, registry: &Registry, resolver: SocketAddr) {
        info!(%resolver, "the directory is asked there from now on");
        if let Some((old, _)) = self.old.take() {
            old.close(registry);
        }
        self.resolver = resolver;
        self.old = self.line.take().map(|line| (line, Instant::now() + OLD_ADDRESS));
        self.lost = None;
        self.ask();
    }

    /// Asks as soon as may be.
    pub fn ask(&mut self) {
        self.next = Instant::now();
    }

    /// When [`DiscoveryClient::turn`] is wanted.
    pub fn due(&self) -> Instant {
        let due = self.lost.unwrap_or(self.next);
        if self.more { Instant::now() } else { due }
    }

    /// Sends what is due.
    pub fn turn(&mut self, registry: &Registry, count: &mut Counters) {
        let now = Instant::now();
        if self.old.as_ref().is_some_and(|(_, until)| now >= *until)
            && let Some((old, _)) = self.old.take()
        {
            old.close(registry);
        }
        if let Some(lost) = self.lost {
            if now < lost {
                return;
            }
            // Its answer is taken all the same, should it still come: what an answer tells counts as told.
            count.lost_lists += 1;
            self.lost = None;
            self.next = now;
        }
        if now < self.next {
            return;
        }
        match self.send(registry) {
            Ok(()) => {
                self.unsent = 0;
                self.lost = Some(now + ASK_WAIT);
                self.next = now + ASK_EVERY;
            }
            Err(error) => {
                debug!(%error, "the directory can't be asked");
                count.unsent_queries += 1;
                self.unsent += 1;
                self.next = now + ASK_AGAIN;
                // Answers may stand in the socket: what they tell counts as told. One that never sends is made anew.
                if self.unsent >= UNSENT_MOST
                    && let Some(line) = self.line.take()
                {
                    line.close(registry);
                    self.unsent = 0;
                }
            }
        }
    }

    fn send(&mut self, registry: &Registry) -> io::Result<()> {
        let id: u16 = rand::rng().random();
        let query = directory::query(id).map_err(io::Error::other)?;
        let line = match &mut self.line {
            Some(line) => line,
            none => none.insert(Line::open(registry, self.token, self.resolver)?),
        };
        line.socket.send(&query)?;
        line.queries.push_back(id);
        if line.queries.len() > QUERIES {
            line.queries.pop_front();
        }
        Ok(())
    }

    /// When the list before the newest was heard.
    pub fn heard_before(&self) -> Option<Instant> {
        self.heard[1]
    }

    /// Are datagrams left over from the last time?
    pub fn more(&self) -> bool {
        self.more
    }

    /// Takes what came. A list newer than the last, if there is one.
    pub fn ready(&mut self, count: &mut Counters) -> Option<List> {
        let mut heard = Vec::new();
        self.more = false;
        for line in self.old.iter_mut().map(|(old, _)| old) {
            self.more |= take(line, &mut self.buffer, |what, _| heard.push(what));
        }
        let mut answered = false;
        if let Some(line) = &mut self.line {
            self.more |= take(line, &mut self.buffer, |what, newest| {
                answered |= newest;
                if newest && matches!(what, Answer::Bad) {
                    // Asked again soon, but not at the pace of its answers.
                    self.next = self.next.min(Instant::now() + ASK_AGAIN);
                }
                heard.push(what);
            });
        }
        if answered {
            self.lost = None;
        }
        let mut newest = None;
        for what in heard {
            match what {
                Answer::List(list) if list.serial >= self.serial => {
                    self.heard = [Some(Instant::now()), self.heard[0]];
                    if list.serial == self.serial {
                        continue;
                    }
                    self.serial = list.serial;
                    newest = Some(list);
                }
                Answer::List(_) => count.old_lists += 1,
                Answer::Bad | Answer::Other => count.bad_lists += 1,
            }
        }
        newest
    }
}

/// Takes datagrams off a line, and tells of each whether it answers the newest query. True: more may stand there.
fn take(line: &mut Line, buffer: &mut [u8], mut tell: impl FnMut(Answer, bool)) -> bool {
    for _ in 0..TURN {
        let length = match line.socket.recv(buffer) {
            Ok(length) => length,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
            // Nobody is there just now: the query counts as lost in its time.
            Err(_) => continue,
        };
        let bytes = buffer.get(..length).unwrap_or_default();
        let id = bytes.get(..2).map(|id| u16::from_be_bytes([id[0], id[1]]));
        let Some(at) = line.queries.iter().position(|query| Some(*query) == id) else {
            tell(Answer::Other, false);
            continue;
        };
        let query = line.queries[at];
        let newest = at + 1 == line.queries.len();
        let what = match directory::answer(query, bytes) {
            Ok(list) => Answer::List(list),
            Err(ListError::Other) => Answer::Other,
            Err(error) => {
                debug!(%error, "an answer of the directory can't be used");
                Answer::Bad
            }
        };
        // Answered once: what comes again under its number is no answer.
        if !matches!(what, Answer::Other) {
            line.queries.remove(at);
        }
        tell(what, newest);
    }
    true
}
