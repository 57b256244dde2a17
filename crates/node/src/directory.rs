//! Polls the directory for the list of invokers with DNS queries over UDP.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use nettleferry_platform::directory::{self, List, ListError, MAX_RESPONSE_BYTES};
use rand::RngExt;
use tracing::{debug, info};

use crate::limits::{
    Counters, MAX_UNSENT_QUERIES, OLD_LIST_AGE, OLD_RESOLVER_GRACE, QUERY_INTERVAL, QUERY_RETRY_DELAY,
    QUERY_TIMEOUT, REMEMBERED_QUERIES,
};

/// Maximum number of datagrams received from a socket per iteration, so that a flood of them does not block
/// the event loop.
const DATAGRAMS_PER_ITERATION: usize = 16;

/// A socket connected to one address of the directory, and the queries whose responses may still arrive on
/// it.
struct ResolverSocket {
    socket: UdpSocket,
    /// Ids of the last [`REMEMBERED_QUERIES`] queries that have no response, the latest last.
    queries: VecDeque<u16>,
}

/// The socket to the directory's previous address, which stays open for a limited time.
struct OldResolver {
    socket: ResolverSocket,
    /// The socket is closed at this time: [`OLD_RESOLVER_GRACE`] after the address changed.
    until: Instant,
}

/// Times at which the last two lists were received, including lists that did not change.
#[derive(Default)]
struct ReceivedLists {
    latest: Option<Instant>,
    previous: Option<Instant>,
}

impl ResolverSocket {
    fn open(registry: &Registry, token: Token, resolver: SocketAddr) -> io::Result<Self> {
        let any = if resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
        let any: SocketAddr = any.parse().map_err(io::Error::other)?;
        let mut socket = UdpSocket::bind(any)?;
        socket.connect(resolver)?;
        registry.register(&mut socket, token, Interest::READABLE)?;
        Ok(Self { socket, queries: VecDeque::new() })
    }

    fn close(mut self, registry: &Registry) {
        // A failure is harmless: closing the descriptor removes the registration as well.
        let _ = registry.deregister(&mut self.socket);
    }

    /// Matches a datagram to a query and parses it.
    fn read(&mut self, bytes: &[u8]) -> Received {
        let id = bytes.get(..2).map(|id| u16::from_be_bytes([id[0], id[1]]));
        let Some(at) = self.queries.iter().position(|query| Some(*query) == id) else {
            return Received { answer: Answer::Foreign, newest: false };
        };
        let query = self.queries[at];
        let newest = at + 1 == self.queries.len();
        let answer = match directory::parse_response(query, bytes) {
            Ok(list) => Answer::List(list),
            Err(ListError::Unexpected) => Answer::Foreign,
            Err(error) => {
                debug!(%error, "directory answer is unusable");
                Answer::Unusable
            }
        };
        // Each query is answered once: another datagram with the same id is foreign.
        if !matches!(answer, Answer::Foreign) {
            self.queries.remove(at);
        }
        Received { answer, newest }
    }
}

/// The content of one datagram.
enum Answer {
    /// A valid response to one of our queries.
    List(List),
    /// An invalid response to one of our queries.
    Unusable,
    /// Not a response to any of our open queries.
    Foreign,
}

/// A datagram that was received.
struct Received {
    answer: Answer,
    /// Whether it responds to the latest query.
    newest: bool,
}

/// Polls the directory and keeps track of the age and serial of the list.
pub struct DiscoveryClient {
    socket: Option<ResolverSocket>,
    /// The socket to the directory's previous address, whose responses are accepted for
    /// [`OLD_RESOLVER_GRACE`].
    old: Option<OldResolver>,
    resolver: SocketAddr,
    token: Token,
    /// Timeout of the latest query; `None` once the query was answered or has timed out.
    times_out_at: Option<Instant>,
    next_query_at: Instant,
    serial: u32,
    received: ReceivedLists,
    /// Consecutive queries that could not be sent.
    unsent: u32,
    /// Creation of this client, from which the age of the initial list counts.
    began: Instant,
    /// The list is older than [`OLD_LIST_AGE`], and this was logged.
    is_old: bool,
    /// More datagrams may be waiting than one iteration receives.
    has_more: bool,
    buffer: Vec<u8>,
}

impl DiscoveryClient {
    /// Creates a client that has the list as of event `serial`.
    pub fn new(resolver: SocketAddr, token: Token, serial: u32) -> Self {
        Self {
            socket: None,
            old: None,
            resolver,
            token,
            times_out_at: None,
            next_query_at: Instant::now(),
            serial,
            received: ReceivedLists::default(),
            unsent: 0,
            began: Instant::now(),
            is_old: false,
            has_more: false,
            buffer: vec![0; MAX_RESPONSE_BYTES + 1],
        }
    }

    /// Changes the directory's address. Serials continue: lists from the new address are compared with those
    /// from the old one. Responses from the old address are accepted for [`OLD_RESOLVER_GRACE`].
    pub fn set_resolver(&mut self, registry: &Registry, resolver: SocketAddr) {
        info!(%resolver, "directory address changed");
        if let Some(old) = self.old.take() {
            old.socket.close(registry);
        }
        self.resolver = resolver;
        let until = Instant::now() + OLD_RESOLVER_GRACE;
        self.old = self.socket.take().map(|socket| OldResolver { socket, until });
        self.times_out_at = None;
        self.query_now();
    }

    /// Makes the next query due at once.
    pub fn query_now(&mut self) {
        self.next_query_at = Instant::now();
    }

    /// Returns when [`DiscoveryClient::query_if_due`] must be called next. That is now if datagrams may be
    /// left to receive.
    pub fn due(&self) -> Instant {
        let due = self.times_out_at.unwrap_or(self.next_query_at);
        if self.has_more { Instant::now() } else { due }
    }

    /// Sends a query if one is due, and counts the previous one as lost if it has timed out. Also closes the
    /// socket to the previous address once [`OLD_RESOLVER_GRACE`] is over.
    pub fn query_if_due(&mut self, registry: &Registry, counters: &mut Counters) {
        let now = Instant::now();
        self.close_old_socket(registry, now);
        if let Some(times_out_at) = self.times_out_at {
            if now < times_out_at {
                return;
            }
            // A late response is still accepted if it arrives.
            counters.lost_lists += 1;
            self.times_out_at = None;
            self.next_query_at = now;
        }
        if now < self.next_query_at {
            return;
        }
        match self.send(registry) {
            Ok(()) => {
                self.unsent = 0;
                self.times_out_at = Some(now + QUERY_TIMEOUT);
                self.next_query_at = now + QUERY_INTERVAL;
            }
            Err(error) => {
                debug!(%error, "directory query not sent");
                counters.unsent_queries += 1;
                self.next_query_at = now + QUERY_RETRY_DELAY;
                self.count_unsent(registry);
            }
        }
    }

    fn close_old_socket(&mut self, registry: &Registry, now: Instant) {
        if self.old.as_ref().is_some_and(|old| now >= old.until)
            && let Some(old) = self.old.take()
        {
            old.socket.close(registry);
        }
    }

    /// Counts a query that could not be sent. After several in a row the socket is replaced, but not earlier:
    /// responses may still wait in it.
    fn count_unsent(&mut self, registry: &Registry) {
        self.unsent += 1;
        if self.unsent >= MAX_UNSENT_QUERIES
            && let Some(socket) = self.socket.take()
        {
            socket.close(registry);
            self.unsent = 0;
        }
    }

    fn send(&mut self, registry: &Registry) -> io::Result<()> {
        let id: u16 = rand::rng().random();
        let query = directory::build_query(id).map_err(io::Error::other)?;
        let socket = match &mut self.socket {
            Some(socket) => socket,
            none => none.insert(ResolverSocket::open(registry, self.token, self.resolver)?),
        };
        socket.socket.send(&query)?;
        socket.queries.push_back(id);
        if socket.queries.len() > REMEMBERED_QUERIES {
            socket.queries.pop_front();
        }
        Ok(())
    }

    /// Returns when a response last confirmed or changed the list; `None` before the first one.
    pub fn confirmed_at(&self) -> Option<Instant> {
        self.received.latest
    }

    /// Returns when the list before the latest one was received; `None` before the second list.
    pub fn previous_list(&self) -> Option<Instant> {
        self.received.previous
    }

    /// Returns the time since a response last confirmed or changed the list, or since this client was created
    /// if none has.
    pub fn list_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received.latest.unwrap_or(self.began))
    }

    /// Logs and counts when the list becomes old. [`DiscoveryClient::receive`] logs the response that ends
    /// this state.
    pub fn check_list_age(&mut self, now: Instant, counters: &mut Counters) {
        let age = self.list_age(now);
        if age < OLD_LIST_AGE || self.is_old {
            return;
        }
        self.is_old = true;
        counters.list_outages += 1;
        info!(?age, resolver = %self.resolver, serial = self.serial, "list is old: the directory does not answer");
    }

    /// Whether datagrams may be left over from the last call of [`DiscoveryClient::receive`].
    pub fn has_more(&self) -> bool {
        self.has_more
    }

    /// Receives the datagrams that have arrived. Returns the newest list among them if it is newer than the
    /// current one.
    pub fn receive(&mut self, counters: &mut Counters) -> Option<List> {
        let mut all = Vec::new();
        self.has_more = false;
        for old in self.old.iter_mut() {
            self.has_more |= receive_from(&mut old.socket, &mut self.buffer, |received| all.push(received));
        }
        let mut answered = false;
        if let Some(socket) = &mut self.socket {
            self.has_more |= receive_from(socket, &mut self.buffer, |received| {
                answered |= received.newest;
                if received.newest && matches!(received.answer, Answer::Unusable) {
                    // Query again soon, but after a delay, so that invalid responses don't cause a flood of
                    // queries.
                    self.next_query_at = self.next_query_at.min(Instant::now() + QUERY_RETRY_DELAY);
                }
                all.push(received);
            });
        }
        if answered {
            self.times_out_at = None;
        }
        let answers = all.into_iter().map(|received| received.answer);
        answers.fold(None, |newest, answer| self.handle_answer(answer, counters).or(newest))
    }

    /// Updates the state with one datagram. Returns its list if it is newer than the current one.
    fn handle_answer(&mut self, answer: Answer, counters: &mut Counters) -> Option<List> {
        match answer {
            Answer::List(list) if list.serial >= self.serial => {
                let now = Instant::now();
                if std::mem::take(&mut self.is_old) {
                    info!(age = ?self.list_age(now), serial = list.serial, "list is confirmed again");
                }
                let latest = self.received.latest.replace(now);
                self.received.previous = latest;
                if list.serial == self.serial {
                    return None;
                }
                self.serial = list.serial;
                return Some(list);
            }
            Answer::List(_) => counters.old_lists += 1,
            Answer::Unusable | Answer::Foreign => counters.bad_lists += 1,
        }
        None
    }
}

/// Receives datagrams from a socket and passes each one to `handle`. Returns whether more may be waiting.
fn receive_from(socket: &mut ResolverSocket, buffer: &mut [u8], mut handle: impl FnMut(Received)) -> bool {
    for _ in 0..DATAGRAMS_PER_ITERATION {
        let length = match socket.socket.recv(buffer) {
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            // The directory is unreachable at the moment: the query times out.
            Err(_) => continue,
        };
        handle(socket.read(buffer.get(..length).unwrap_or_default()));
    }
    true
}
