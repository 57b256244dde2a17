//! The event loop of a run: all followers share one poll. Each has the two connections of a real follower, a timer
//! and a simulated link.

use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mio::{Events, Poll, Token, Waker};
use nettleferry_fleet::follower_requests::{DEREGISTRATION_TIMEOUT, deregistration_target};
use nettleferry_net::clock::wall;
use nettleferry_net::http1_client_connection::{Answer, ClientConnection, Http1Error, encode_request};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Settings;
use super::follower::{Coverage, Exchange, Follower, Request, RequestKind};
use super::link::Link;
use super::propagation::Propagation;
use super::report::{Counts, Second, Summary};
use super::shared_snapshot::SharedSnapshot;
use crate::control::Control;
use crate::process;
use crate::report::{Line, LineWriter, Percentiles, Started, histogram};
use crate::timers::Timers;

/// Connections per follower: one for watches, and one for snapshots and the deregistration.
const CONNECTIONS_PER_FOLLOWER: usize = 2;
const WATCH_CONNECTION: usize = 0;
const SNAPSHOT_CONNECTION: usize = 1;
const WAKER_TOKEN: Token = Token(usize::MAX);
/// Maximum number of events per poll.
const EVENT_CAPACITY: usize = 1_024;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// State of a follower's exchange. The follower's timer ends each state; a response can end `AwaitingAnswer` earlier.
#[derive(Debug)]
enum Phase {
    /// No request is active; the timer starts the next one.
    Idle,
    /// The request is delayed by the simulated link. The time is the start of the exchange.
    RequestInTransit(Request, Instant),
    /// The request was sent. The timer is set to its deadline.
    AwaitingAnswer(SentRequest),
    /// The response is delayed by the simulated link.
    AnswerInTransit(Exchange, Result<Answer, Http1Error>),
}

/// A request without a response yet.
#[derive(Clone, Copy, Debug)]
struct SentRequest {
    kind: RequestKind,
    started_at: Instant,
    /// A response that arrives later counts as a timeout.
    deadline: Instant,
}

struct Peer {
    follower: Follower,
    link: Link,
    phase: Phase,
    connections: [ClientConnection; CONNECTIONS_PER_FOLLOWER],
}

/// Returns the index of the connection for requests of this kind.
fn connection_of(kind: RequestKind) -> usize {
    match kind {
        RequestKind::Watch => WATCH_CONNECTION,
        RequestKind::Snapshot => SNAPSHOT_CONNECTION,
    }
}

/// A run of hollow followers.
pub struct Followers {
    settings: Settings,
    authorization: String,
    poll: Poll,
    waker: Arc<Waker>,
    peers: Vec<Peer>,
    timers: Timers,
    shared: SharedSnapshot,
    propagation: Propagation,
    counts: Counts,
    timer_delay: Histogram<u64>,
    second: CurrentSecond,
    interval: Interval,
    started_at: Instant,
}

/// Counters and usage at the start of the interval of the next summary.
struct Interval {
    started_at: Instant,
    counts: Counts,
    coverage: Coverage,
    lapses: u64,
    processor_time: Duration,
}

/// Counters and usage at the start of the current second, and the maximum timer delay during it.
struct CurrentSecond {
    ends_at: Instant,
    counts: Counts,
    processor_time: Duration,
    max_timer_delay: Duration,
}

impl Followers {
    /// Creates the followers, each with a random time of its first request within `begin_within`. The caller has
    /// checked the settings. Fails if the poll can't be created.
    pub fn new(settings: Settings) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        let (started_at, count) = (Instant::now(), settings.count as usize);
        let mut timers = Timers::new(count);
        let peers = (0..settings.count).map(|index| {
            let (peer, first_request_at) = new_peer(&settings, index, started_at);
            timers.set(index as usize, first_request_at);
            peer
        });
        let peers = peers.collect();
        let second = CurrentSecond {
            ends_at: started_at + REPORT_INTERVAL,
            counts: Counts::default(),
            processor_time: process::processor_time(),
            max_timer_delay: Duration::ZERO,
        };
        let interval = Interval {
            started_at,
            counts: Counts::default(),
            coverage: Coverage::default(),
            lapses: 0,
            processor_time: second.processor_time,
        };
        Ok(Self {
            authorization: format!("Bearer {}", settings.token),
            settings,
            poll,
            waker,
            peers,
            timers,
            shared: SharedSnapshot::default(),
            propagation: Propagation::new(count),
            counts: Counts::default(),
            timer_delay: histogram(),
            second,
            interval,
            started_at,
        })
    }

    /// Runs until `input` is closed or the configured duration is over, and writes report lines to `out`. Each line of
    /// `input` requests a summary. At the end all followers deregister. Returns the last summary; fails if the poll or
    /// `out` fails.
    pub fn run(mut self, input: impl Read + Send + 'static, out: impl Write) -> io::Result<Summary> {
        let deadline = self.settings.duration.map(|duration| self.started_at + duration);
        let mut control = Control::listen(input, Arc::clone(&self.waker), deadline)?;
        let mut lines = LineWriter::new(out);
        lines.write(&Line::Started(Started {
            role: "followers".to_owned(),
            count: u64::from(self.settings.count),
            seed: self.settings.seed,
            process: std::process::id(),
        }))?;
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = Instant::now();
            if control.is_over(now) {
                break;
            }
            if control.take_summary_request() {
                let summary = self.end_interval(now);
                lines.write(&Line::FollowersSummary(Box::new(summary)))?;
            }
            if now >= self.second.ends_at {
                let second = self.end_second(now);
                lines.write(&Line::FollowersSecond(second))?;
            }
            self.run_due_timers(now, &mut lines)?;
            let wakeups = [Some(self.second.ends_at), self.timers.next_due(), control.deadline()];
            let wait = wakeups.into_iter().flatten().min();
            let wait = wait.map(|at| at.saturating_duration_since(Instant::now()));
            poll(&mut self.poll, &mut events, wait)?;
            for event in events.iter().filter(|event| event.token() != WAKER_TOKEN) {
                self.poll_connection(event.token().0, &mut lines)?;
            }
        }
        self.propagation.finish();
        let summary = self.end_interval(Instant::now());
        self.deregister_all()?;
        lines.write(&Line::FollowersSummary(Box::new(summary.clone())))?;
        Ok(summary)
    }

    /// Advances the followers whose timers are due.
    fn run_due_timers<W: Write>(&mut self, now: Instant, lines: &mut LineWriter<W>) -> io::Result<()> {
        while let Some((index, at)) = self.timers.pop_due(now) {
            let delay = now.saturating_duration_since(at);
            self.timer_delay.saturating_record(delay.as_micros() as u64);
            self.second.max_timer_delay = self.second.max_timer_delay.max(delay);
            match std::mem::replace(&mut self.peers[index].phase, Phase::Idle) {
                Phase::Idle => self.start_request(index, now, lines)?,
                Phase::RequestInTransit(request, started_at) => {
                    self.send(index, request, started_at, lines)?
                }
                Phase::AwaitingAnswer(sent) => {
                    self.peers[index].phase = Phase::AwaitingAnswer(sent);
                    self.poll_connection(index * CONNECTIONS_PER_FOLLOWER + connection_of(sent.kind), lines)?;
                }
                Phase::AnswerInTransit(exchange, answer) => {
                    self.finish_exchange(index, Exchange { ended_at: now, ..exchange }, &answer, lines)?;
                }
            }
        }
        Ok(())
    }

    /// Starts the next request of a follower, delayed by its simulated link.
    fn start_request<W: Write>(
        &mut self,
        index: usize,
        now: Instant,
        lines: &mut LineWriter<W>,
    ) -> io::Result<()> {
        let peer = &mut self.peers[index];
        let (request, delay) = (peer.follower.next_request(&self.shared), peer.link.next_delay());
        if delay.is_zero() {
            return self.send(index, request, now, lines);
        }
        peer.phase = Phase::RequestInTransit(request, now);
        self.timers.set(index, now + delay);
        Ok(())
    }

    /// Sends a request after its simulated delay. The timeout is counted from `started_at`.
    fn send<W: Write>(
        &mut self,
        index: usize,
        request: Request,
        started_at: Instant,
        lines: &mut LineWriter<W>,
    ) -> io::Result<()> {
        let Request { kind, target, timeout } = request;
        let address = self.settings.administration;
        let bytes = encode_request(address, "GET", &target, &[("Authorization", &self.authorization)], b"");
        self.counts.requests += 1;
        self.counts.bytes_out += bytes.len() as u64;
        let (connection, deadline) = (connection_of(kind), started_at + timeout);
        let token = Token(index * CONNECTIONS_PER_FOLLOWER + connection);
        let peer = &mut self.peers[index];
        peer.connections[connection].send(self.poll.registry(), token, address, bytes, deadline);
        peer.phase = Phase::AwaitingAnswer(SentRequest { kind, started_at, deadline });
        self.timers.set(index, deadline);
        self.poll_connection(token.0, lines)
    }

    /// Reads and writes on the connection of `token` as far as possible. Handles the response once it is complete or
    /// the request has failed.
    fn poll_connection<W: Write>(&mut self, token: usize, lines: &mut LineWriter<W>) -> io::Result<()> {
        let (index, connection) = (token / CONNECTIONS_PER_FOLLOWER, token % CONNECTIONS_PER_FOLLOWER);
        let Some(peer) = self.peers.get_mut(index) else { return Ok(()) };
        let now = Instant::now();
        let Some(answer) = peer.connections[connection].poll(now) else { return Ok(()) };
        let Phase::AwaitingAnswer(SentRequest { kind, started_at, deadline }) = peer.phase else {
            return Ok(());
        };
        let exchange = Exchange { kind, started_at, ended_at: now };
        let delay = peer.link.next_delay();
        if delay.is_zero() || answer.is_err() {
            return self.finish_exchange(index, exchange, &answer, lines);
        }
        let arrives_at = now + delay;
        let in_time = arrives_at < deadline;
        let answer = if in_time { answer } else { Err(Http1Error::Timeout) };
        if !in_time {
            peer.connections[connection].close();
        }
        peer.phase = Phase::AnswerInTransit(exchange, answer);
        self.timers.set(index, arrives_at.min(deadline));
        Ok(())
    }

    /// Handles the end of an exchange: updates the follower, the counters and the propagation times, and schedules the
    /// next request.
    fn finish_exchange<W: Write>(
        &mut self,
        index: usize,
        exchange: Exchange,
        answer: &Result<Answer, Http1Error>,
        lines: &mut LineWriter<W>,
    ) -> io::Result<()> {
        let peer = &mut self.peers[index];
        let bytes_in = peer.connections[connection_of(exchange.kind)].received();
        let outcome = peer.follower.finish_exchange(exchange, answer, &mut self.shared);
        self.counts.record(&outcome, bytes_in as u64);
        peer.phase = Phase::Idle;
        self.timers.set(index, outcome.retry_at);
        let wall_ms = wall() / 1_000;
        for change in outcome.changes {
            let after_ms = wall_ms.saturating_sub(change.at_ms);
            if let Some(change) = self.propagation.record(change.revision, after_ms) {
                lines.write(&Line::FollowersChange(change))?;
            }
        }
        Ok(())
    }

    /// Returns the report of the current second and starts the next one.
    fn end_second(&mut self, now: Instant) -> Second {
        let processor_time = process::processor_time();
        let revisions = || self.peers.iter().map(|peer| peer.follower.revision().unwrap_or(0));
        let second = Second {
            at_ms: (now - self.started_at).as_millis() as u64,
            followers: self.peers.len() as u64,
            leased: self.leased(now),
            oldest_revision: revisions().min().unwrap_or(0),
            newest_revision: revisions().max().unwrap_or(0),
            counts: self.counts.since(&self.second.counts),
            processor_us: processor_time.saturating_sub(self.second.processor_time).as_micros() as u64,
            timer_delay_us: self.second.max_timer_delay.as_micros() as u64,
        };
        let ends_at = (self.second.ends_at + REPORT_INTERVAL).max(now);
        self.second =
            CurrentSecond { ends_at, counts: self.counts, processor_time, max_timer_delay: Duration::ZERO };
        second
    }

    /// Returns the number of followers with a valid lease at `now`.
    fn leased(&self, now: Instant) -> u64 {
        self.peers.iter().filter(|peer| peer.follower.leases().is_valid(now)).count() as u64
    }

    /// Returns the summary of the current interval and starts the next one.
    fn end_interval(&mut self, now: Instant) -> Summary {
        let interval = Interval {
            started_at: now,
            counts: self.counts,
            coverage: self.coverage(now),
            lapses: self.peers.iter().map(|peer| peer.follower.leases().lapses).sum(),
            processor_time: process::processor_time(),
        };
        let before = std::mem::replace(&mut self.interval, interval);
        let counts = self.counts.since(&before.counts);
        let coverage = self.interval.coverage.since(&before.coverage);
        let leased_fraction =
            |total: Duration| coverage.leased.as_secs_f64() / total.as_secs_f64().max(f64::MIN_POSITIVE);
        let per_follower_second =
            |count: u64| count as f64 / coverage.total.as_secs_f64().max(f64::MIN_POSITIVE);
        let summary = Summary {
            followers: self.peers.len() as u64,
            ran_ms: (now - before.started_at).as_millis() as u64,
            counts,
            never_leased: self.peers.iter().filter(|peer| !peer.follower.leases().ever_granted()).count()
                as u64,
            leased: self.leased(now),
            lapses: self.interval.lapses - before.lapses,
            coverage: leased_fraction(coverage.total),
            coverage_since_first: leased_fraction(coverage.since_first),
            requests_per_follower_second: per_follower_second(counts.requests),
            bytes_in_per_follower_second: per_follower_second(counts.bytes_in - counts.snapshot_bytes_in),
            bytes_out_per_follower_second: per_follower_second(counts.bytes_out),
            change_to_each: Percentiles::from(&self.propagation.to_each),
            change_to_last: Percentiles::from(&self.propagation.to_last),
            changes_incomplete: self.propagation.incomplete,
            processor_us: self.interval.processor_time.saturating_sub(before.processor_time).as_micros()
                as u64,
            resident_kib: process::resident_kib(),
            timer_delay: Percentiles::from(&self.timer_delay),
        };
        self.propagation.reset();
        self.timer_delay.reset();
        summary
    }

    /// Returns the coverage by leases, summed over all followers.
    fn coverage(&self, now: Instant) -> Coverage {
        let coverages = self.peers.iter().map(|peer| peer.follower.leases().coverage(now));
        coverages.fold(Coverage::default(), |sum, coverage| Coverage {
            total: sum.total + coverage.total,
            since_first: sum.since_first + coverage.since_first,
            leased: sum.leased + coverage.leased,
        })
    }

    /// Deregisters all followers that ever had a lease, as a real follower does at an orderly shutdown. Waits until all
    /// requests have ended or timed out.
    fn deregister_all(&mut self) -> io::Result<()> {
        let (address, deadline) = (self.settings.administration, Instant::now() + DEREGISTRATION_TIMEOUT);
        for (index, peer) in self.peers.iter_mut().enumerate() {
            peer.connections[WATCH_CONNECTION].close();
            if !peer.follower.leases().ever_granted() {
                continue;
            }
            let (number, incarnation) = peer.follower.identity();
            let headers = [("Authorization", self.authorization.as_str())];
            let bytes =
                encode_request(address, "GET", &deregistration_target(number, incarnation), &headers, b"");
            let token = Token(index * CONNECTIONS_PER_FOLLOWER + SNAPSHOT_CONNECTION);
            peer.connections[SNAPSHOT_CONNECTION].send(self.poll.registry(), token, address, bytes, deadline);
        }
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        loop {
            let now = Instant::now();
            let is_waiting = |peer: &mut Peer| {
                let connection = &mut peer.connections[SNAPSHOT_CONNECTION];
                connection.deadline().is_some() && connection.poll(now).is_none()
            };
            let waiting = self.peers.iter_mut().map(is_waiting).filter(|waiting| *waiting).count();
            if waiting == 0 {
                return Ok(());
            }
            poll(&mut self.poll, &mut events, Some(deadline.saturating_duration_since(now)))?;
        }
    }
}

/// Creates the follower with this index. Returns it and the time of its first request.
fn new_peer(settings: &Settings, index: u32, started_at: Instant) -> (Peer, Instant) {
    let number = settings.first_number + index;
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    random.set_stream(u64::from(number) << 1);
    // 0 is reserved: followers of earlier versions of the program, which report no incarnation, are read as 0.
    let (incarnation, jitter_seed) = (random.random::<u64>().max(1), random.random::<u64>());
    let first_request_at = started_at + settings.begin_within.mul_f64(random.random::<f64>());
    let stream = (u64::from(number) << 1) + 1;
    let peer = Peer {
        follower: Follower::new(
            number,
            incarnation,
            !settings.serves_without_lease,
            jitter_seed,
            first_request_at,
        ),
        link: Link::new(settings.delay, settings.loss, settings.seed, stream),
        phase: Phase::Idle,
        connections: Default::default(),
    };
    (peer, first_request_at)
}

/// Waits for events, for at most `wait`. Returns early without an error if a signal interrupts the wait.
fn poll(poll: &mut Poll, events: &mut Events, wait: Option<Duration>) -> io::Result<()> {
    match poll.poll(events, wait) {
        Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
        _ => Ok(()),
    }
}
