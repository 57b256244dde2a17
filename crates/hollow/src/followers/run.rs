//! The run: all followers on one poll, each with the two connections of a real one, a timer and an imitated link.

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

/// Connections of a follower: one for watches, one for snapshots and the last word.
const CONNECTIONS: usize = 2;
const WATCHES: usize = 0;
const SNAPSHOTS: usize = 1;
const WAKE: Token = Token(usize::MAX);
/// Events taken in one round.
const EVENTS: usize = 1_024;
const A_SECOND: Duration = Duration::from_secs(1);

/// What a follower waits for; its timer ends each wait.
#[derive(Debug)]
enum Phase {
    /// It asks again then.
    Rests,
    /// Its request is on the imitated way to the administration, since then.
    Sends(Request, Instant),
    /// Its request is out.
    Asks(Asked),
    /// The answer is on the imitated way back.
    Hears(Exchange, Result<Answer, Http1Error>),
}

/// A request that is out.
#[derive(Clone, Copy, Debug)]
struct Asked {
    kind: RequestKind,
    since: Instant,
    /// An answer that comes later is too late.
    until: Instant,
}

struct Peer {
    follower: Follower,
    link: Link,
    phase: Phase,
    connections: [ClientConnection; CONNECTIONS],
}

fn connection_of(kind: RequestKind) -> usize {
    match kind {
        RequestKind::Watch => WATCHES,
        RequestKind::Snapshot => SNAPSHOTS,
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
    second: SecondSoFar,
    interval: Interval,
    begun: Instant,
}

/// What stood when the interval of the next summary began.
struct Interval {
    began: Instant,
    counts: Counts,
    covered: Coverage,
    lapses: u64,
    processor: Duration,
}

/// What stood when this second began.
struct SecondSoFar {
    ends: Instant,
    counts: Counts,
    processor: Duration,
    timer_delay: Duration,
}

impl Followers {
    /// Makes them; they begin to ask within the span that the settings say. The settings were checked.
    pub fn new(settings: Settings) -> io::Result<Self> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKE)?);
        let (begun, count) = (Instant::now(), settings.count as usize);
        let mut timers = Timers::new(count);
        let peers = (0..settings.count).map(|n| {
            let (peer, first_ask) = peer(&settings, n, begun);
            timers.set(n as usize, first_ask);
            peer
        });
        let peers = peers.collect();
        let second = SecondSoFar {
            ends: begun + A_SECOND,
            counts: Counts::default(),
            processor: process::processor_time(),
            timer_delay: Duration::ZERO,
        };
        let interval = Interval {
            began: begun,
            counts: Counts::default(),
            covered: Coverage::default(),
            lapses: 0,
            processor: second.processor,
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
            begun,
        })
    }

    /// Runs until `input` closes or the time of the settings is over, and writes its lines to `out`. A line of `input`
    /// asks for a summary.
    pub fn run(mut self, input: impl Read + Send + 'static, out: impl Write) -> io::Result<Summary> {
        let until = self.settings.duration.map(|duration| self.begun + duration);
        let mut control = Control::listen(input, Arc::clone(&self.waker), until)?;
        let mut lines = LineWriter::new(out);
        lines.write(&Line::Started(Started {
            role: "followers".to_owned(),
            count: u64::from(self.settings.count),
            seed: self.settings.seed,
            process: std::process::id(),
        }))?;
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let now = Instant::now();
            if control.is_over(now) {
                break;
            }
            if control.take_summary_request() {
                let summary = self.summary(now);
                lines.write(&Line::FollowersSummary(Box::new(summary)))?;
            }
            if now >= self.second.ends {
                let second = self.end_second(now);
                lines.write(&Line::FollowersSecond(second))?;
            }
            self.due(now, &mut lines)?;
            let wakes = [Some(self.second.ends), self.timers.next_due(), control.deadline()];
            let wait = wakes.into_iter().flatten().min();
            let wait = wait.map(|at| at.saturating_duration_since(Instant::now()));
            poll(&mut self.poll, &mut events, wait)?;
            for event in events.iter().filter(|event| event.token() != WAKE) {
                self.progress(event.token().0, &mut lines)?;
            }
        }
        self.propagation.finish();
        let summary = self.summary(Instant::now());
        self.farewell()?;
        lines.write(&Line::FollowersSummary(Box::new(summary.clone())))?;
        Ok(summary)
    }

    /// Timers that are due.
    fn due<W: Write>(&mut self, now: Instant, lines: &mut LineWriter<W>) -> io::Result<()> {
        while let Some((n, at)) = self.timers.pop_due(now) {
            let late = now.saturating_duration_since(at);
            self.timer_delay.saturating_record(late.as_micros() as u64);
            self.second.timer_delay = self.second.timer_delay.max(late);
            match std::mem::replace(&mut self.peers[n].phase, Phase::Rests) {
                Phase::Rests => self.ask(n, now, lines)?,
                Phase::Sends(request, since) => self.send(n, request, since, lines)?,
                Phase::Asks(asked) => {
                    self.peers[n].phase = Phase::Asks(asked);
                    self.progress(n * CONNECTIONS + connection_of(asked.kind), lines)?;
                }
                Phase::Hears(exchange, answer) => {
                    self.heard(n, Exchange { ended_at: now, ..exchange }, &answer, lines)?;
                }
            }
        }
        Ok(())
    }

    /// A follower begins an ask.
    fn ask<W: Write>(&mut self, n: usize, now: Instant, lines: &mut LineWriter<W>) -> io::Result<()> {
        let peer = &mut self.peers[n];
        let (request, way) = (peer.follower.request(&self.shared), peer.link.next_delay());
        if way.is_zero() {
            return self.send(n, request, now, lines);
        }
        peer.phase = Phase::Sends(request, now);
        self.timers.set(n, now + way);
        Ok(())
    }

    /// Its request leaves.
    fn send<W: Write>(
        &mut self,
        n: usize,
        to_send: Request,
        since: Instant,
        lines: &mut LineWriter<W>,
    ) -> io::Result<()> {
        let Request { kind, target, timeout } = to_send;
        let to = self.settings.administration;
        let bytes = encode_request(to, "GET", &target, &[("Authorization", &self.authorization)], b"");
        self.counts.requests += 1;
        self.counts.bytes_out += bytes.len() as u64;
        let (lane, until) = (connection_of(kind), since + timeout);
        let token = Token(n * CONNECTIONS + lane);
        let peer = &mut self.peers[n];
        peer.connections[lane].send(self.poll.registry(), token, to, bytes, until);
        peer.phase = Phase::Asks(Asked { kind, since, until });
        self.timers.set(n, until);
        self.progress(token.0, lines)
    }

    /// A connection may have more to give or to take.
    fn progress<W: Write>(&mut self, token: usize, lines: &mut LineWriter<W>) -> io::Result<()> {
        let (n, lane) = (token / CONNECTIONS, token % CONNECTIONS);
        let Some(peer) = self.peers.get_mut(n) else { return Ok(()) };
        let now = Instant::now();
        let Some(answer) = peer.connections[lane].poll(now) else { return Ok(()) };
        let Phase::Asks(Asked { kind, since, until }) = peer.phase else { return Ok(()) };
        let exchange = Exchange { kind, started_at: since, ended_at: now };
        let way = peer.link.next_delay();
        if way.is_zero() || answer.is_err() {
            return self.heard(n, exchange, &answer, lines);
        }
        let comes = now + way;
        let in_time = comes < until;
        let answer = if in_time { answer } else { Err(Http1Error::Timeout) };
        if !in_time {
            peer.connections[lane].close();
        }
        peer.phase = Phase::Hears(exchange, answer);
        self.timers.set(n, comes.min(until));
        Ok(())
    }

    /// What came of an exchange.
    fn heard<W: Write>(
        &mut self,
        n: usize,
        exchange: Exchange,
        answer: &Result<Answer, Http1Error>,
        lines: &mut LineWriter<W>,
    ) -> io::Result<()> {
        let peer = &mut self.peers[n];
        let received = peer.connections[connection_of(exchange.kind)].received();
        let outcome = peer.follower.handle_answer(exchange, answer, &mut self.shared);
        self.counts.record(&outcome, received as u64);
        peer.phase = Phase::Rests;
        self.timers.set(n, outcome.retry_at);
        let wall_ms = wall() / 1_000;
        for change in outcome.changes {
            let after = wall_ms.saturating_sub(change.at_ms);
            if let Some(change) = self.propagation.record(change.revision, after) {
                lines.write(&Line::FollowersChange(change))?;
            }
        }
        Ok(())
    }

    fn end_second(&mut self, now: Instant) -> Second {
        let processor = process::processor_time();
        let revisions = || self.peers.iter().map(|peer| peer.follower.revision().unwrap_or(0));
        let second = Second {
            at_ms: (now - self.begun).as_millis() as u64,
            followers: self.peers.len() as u64,
            leased: self.leased(now),
            oldest_revision: revisions().min().unwrap_or(0),
            newest_revision: revisions().max().unwrap_or(0),
            counts: self.counts.since(&self.second.counts),
            processor_us: processor.saturating_sub(self.second.processor).as_micros() as u64,
            timer_delay_us: self.second.timer_delay.as_micros() as u64,
        };
        let ends = (self.second.ends + A_SECOND).max(now);
        self.second = SecondSoFar { ends, counts: self.counts, processor, timer_delay: Duration::ZERO };
        second
    }

    fn leased(&self, now: Instant) -> u64 {
        self.peers.iter().filter(|peer| peer.follower.leases().is_valid(now)).count() as u64
    }

    /// The interval since the last summary, and another begins.
    fn summary(&mut self, now: Instant) -> Summary {
        let interval = Interval {
            began: now,
            counts: self.counts,
            covered: self.covered(now),
            lapses: self.peers.iter().map(|peer| peer.follower.leases().lapses).sum(),
            processor: process::processor_time(),
        };
        let before = std::mem::replace(&mut self.interval, interval);
        let counts = self.counts.since(&before.counts);
        let covered = self.interval.covered.since(&before.covered);
        let part = |of: Duration| covered.leased.as_secs_f64() / of.as_secs_f64().max(f64::MIN_POSITIVE);
        let a_second = |count: u64| count as f64 / covered.total.as_secs_f64().max(f64::MIN_POSITIVE);
        let summary = Summary {
            followers: self.peers.len() as u64,
            ran_ms: (now - before.began).as_millis() as u64,
            counts,
            never_leased: self.peers.iter().filter(|peer| !peer.follower.leases().ever_granted()).count()
                as u64,
            leased: self.leased(now),
            lapses: self.interval.lapses - before.lapses,
            coverage: part(covered.total),
            coverage_since_first: part(covered.since_first),
            requests_per_follower_second: a_second(counts.requests),
            bytes_in_per_follower_second: a_second(counts.bytes_in - counts.snapshot_bytes_in),
            bytes_out_per_follower_second: a_second(counts.bytes_out),
            change_to_each: Percentiles::from(&self.propagation.to_each),
            change_to_last: Percentiles::from(&self.propagation.to_last),
            changes_incomplete: self.propagation.incomplete,
            processor_us: (self.interval.processor.saturating_sub(before.processor)).as_micros() as u64,
            resident_kib: process::resident_kib(),
            timer_delay: Percentiles::from(&self.timer_delay),
        };
        self.propagation.reset();
        self.timer_delay.reset();
        summary
    }

    fn covered(&self, now: Instant) -> Coverage {
        let covered = self.peers.iter().map(|peer| peer.follower.leases().coverage(now));
        covered.fold(Coverage::default(), |sum, one| Coverage {
            total: sum.total + one.total,
            since_first: sum.since_first + one.since_first,
            leased: sum.leased + one.leased,
        })
    }

    /// All of them say that they end, as a follower does that ends in order.
    fn farewell(&mut self) -> io::Result<()> {
        let (to, until) = (self.settings.administration, Instant::now() + DEREGISTRATION_TIMEOUT);
        for (n, peer) in self.peers.iter_mut().enumerate() {
            peer.connections[WATCHES].close();
            if !peer.follower.leases().ever_granted() {
                continue;
            }
            let (number, life) = peer.follower.identity();
            let headers = [("Authorization", self.authorization.as_str())];
            let bytes = encode_request(to, "GET", &deregistration_target(number, life), &headers, b"");
            let token = Token(n * CONNECTIONS + SNAPSHOTS);
            peer.connections[SNAPSHOTS].send(self.poll.registry(), token, to, bytes, until);
        }
        let mut events = Events::with_capacity(EVENTS);
        loop {
            let now = Instant::now();
            let waits = |peer: &mut Peer| {
                let connection = &mut peer.connections[SNAPSHOTS];
                connection.deadline().is_some() && connection.poll(now).is_none()
            };
            let waiting = self.peers.iter_mut().map(waits).filter(|waits| *waits).count();
            if waiting == 0 {
                return Ok(());
            }
            poll(&mut self.poll, &mut events, Some(until.saturating_duration_since(now)))?;
        }
    }
}

/// The follower of this place, and when it asks first.
fn peer(settings: &Settings, n: u32, begun: Instant) -> (Peer, Instant) {
    let number = settings.first_number + n;
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    random.set_stream(u64::from(number) << 1);
    // 0 is that of earlier versions, which tell none.
    let (life, jitter) = (random.random::<u64>().max(1), random.random::<u64>());
    let first_ask = begun + settings.begin_within.mul_f64(random.random::<f64>());
    let stream = (u64::from(number) << 1) + 1;
    let peer = Peer {
        follower: Follower::new(number, life, !settings.serves_without_lease, jitter, first_ask),
        link: Link::new(settings.delay, settings.loss, settings.seed, stream),
        phase: Phase::Rests,
        connections: Default::default(),
    };
    (peer, first_ask)
}

fn poll(poll: &mut Poll, events: &mut Events, wait: Option<Duration>) -> io::Result<()> {
    match poll.poll(events, wait) {
        Err(error) if error.kind() != io::ErrorKind::Interrupted => Err(error),
        _ => Ok(()),
    }
}
