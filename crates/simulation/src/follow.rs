//! Followers of one leader while tenants change, over a network that loses packets: the leases and the membership of
//! `nettleferry-fleet`, heartbeats and backoff as the program has them.

use hdrhistogram::Histogram;
use nettleferry_fleet::lease::{self, HEARTBEATS_PER_SPAN, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use nettleferry_tenancy::replication::{MAX_BACKOFF, MIN_BACKOFF};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::events::Events;
use crate::network::{Meter, Network};
use crate::{Micros, ms};

/// Bytes of a change, and of a heartbeat or a response without one.
const CHANGE_BYTES: u64 = 700;
const EMPTY_BYTES: u64 = 400;
/// How long the leader's thread works on one request or response.
const PROCESSING_TIME: Micros = 30;
/// A heartbeat that is not answered within so many heartbeat intervals has failed, as in the program's follower.
const TIMEOUT_INTERVALS: u64 = 2;
/// The timeout of a heartbeat before the first lease, milliseconds.
const FIRST_TIMEOUT_MS: u64 = 2_000;
/// The first heartbeats are spread over this time.
const START_JITTER: Micros = 200_000;
/// When the first change is made.
const FIRST_CHANGE_AT: Micros = 1_000_000;
/// How often it is counted which followers have a lease.
const SAMPLING_INTERVAL: Micros = 20_000;
/// The largest exponent of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Times until a change is in force are counted in units of this length, up to a hundred seconds.
const TIME_UNIT: Micros = 100;
const MAX_TIME_UNITS: u64 = 1_000_000;

/// What is simulated.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Followers.
    pub controllers: u32,
    /// The network.
    pub network: Network,
    /// Span of a lease, milliseconds.
    pub lease_ms: u64,
    /// Changes a second; each restricts a tenant.
    pub changes: f64,
    /// Length of the run.
    pub length: Micros,
    /// Seed of all random numbers.
    pub seed: u64,
}

/// What a run gave.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// What was simulated.
    pub plan: Plan,
    /// Changes made.
    pub made: u64,
    /// Changes acknowledged as in force everywhere.
    pub acknowledged: u64,
    /// Median time from a change to its acknowledgement, milliseconds.
    pub p50_ms: f64,
    /// The time that 99 in 100 do not exceed.
    pub p99_ms: f64,
    /// The longest time.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// Part of the followers' time without a lease, though all run and only packets are lost.
    #[serde(rename = "shut_out")]
    pub without_lease: f64,
    /// Followers that might have accepted calls without an acknowledged change; 0, or the leases are wrong.
    #[serde(rename = "wrong")]
    pub violations: u64,
    /// Heartbeats and responses a second at the leader.
    #[serde(rename = "asks_mean")]
    pub requests_mean: f64,
    /// Heartbeats and responses of the busiest second.
    #[serde(rename = "asks_peak")]
    pub requests_peak: u64,
    /// Bytes of the busiest second.
    pub bytes_peak: u64,
    /// Part of the time in which the leader's thread works.
    pub busy: f64,
}

/// A heartbeat that waits at the leader for a change.
#[derive(Clone, Copy)]
struct WaitingHeartbeat {
    sent: Micros,
    number: u64,
}

/// A heartbeat on its way to the leader.
struct Heartbeat {
    follower: usize,
    sent: Micros,
    number: u64,
    revision: u64,
}

/// A response on its way to a follower.
struct Response {
    follower: usize,
    /// When its heartbeat was sent: the lease begins then.
    sent: Micros,
    number: u64,
    revision: u64,
    lease_ms: Option<u64>,
}

/// A change that is not acknowledged yet.
struct OpenChange {
    revision: u64,
    made: Micros,
}

enum Event {
    /// A tenant is changed.
    Change,
    /// A follower sends a heartbeat.
    Send(usize),
    /// A heartbeat arrives at the leader.
    Arrival(Heartbeat),
    /// A heartbeat that waits at the leader is answered, also without a change.
    ResponseDue { follower: usize, number: u64 },
    /// A response arrives at its follower.
    Response(Response),
    /// A follower stops waiting for a response.
    Timeout { follower: usize, number: u64 },
    /// It is counted which followers have a lease.
    Sample,
}

struct Follower {
    revision: u64,
    lease: Holder,
    /// The number of its newest heartbeat.
    number: u64,
    failures: u32,
    lease_ms: Option<u64>,
}

/// How many samples there were, and how many without a lease.
#[derive(Default)]
struct LeaseSamples {
    all: u64,
    without: u64,
}

struct Simulation {
    plan: Plan,
    random: ChaCha8Rng,
    events: Events<Event>,
    membership: Membership,
    revision: u64,
    followers: Vec<Follower>,
    /// By follower.
    waiting: Vec<Option<WaitingHeartbeat>>,
    open: Vec<OpenChange>,
    acknowledged: u64,
    times: Histogram<u64>,
    meter: Meter,
    /// The leader's thread is busy until then.
    busy_until: Micros,
    busy_time: Micros,
    samples: LeaseSamples,
    violations: u64,
}

fn incarnation(follower: usize) -> Incarnation {
    Incarnation { controller: follower as u32, incarnation: 1 }
}

fn version(revision: u64) -> Version {
    Version { epoch: 1, revision }
}

/// Simulates one plan. Equal plans give equal outcomes.
pub fn play(plan: Plan) -> Outcome {
    let mut simulation = Simulation::new(plan);
    while let Some((now, event)) = simulation.events.take() {
        if now >= plan.length {
            break;
        }
        simulation.handle(now, event);
    }
    simulation.outcome()
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut events = Events::default();
        let count = plan.controllers as usize;
        for follower in 0..count {
            events.at(random.random_range(0..START_JITTER), Event::Send(follower));
        }
        events.at(FIRST_CHANGE_AT, Event::Change);
        events.at(0, Event::Sample);
        let policy = LeasePolicy { rejects: true, not_ready_after: None };
        let follower = |_| Follower {
            revision: 0,
            lease: Holder::new(0, policy),
            number: 0,
            failures: 0,
            lease_ms: None,
        };
        Self {
            plan,
            random,
            events,
            membership: Membership::new(0, Some(plan.lease_ms), None, 0),
            revision: 0,
            followers: (0..count).map(follower).collect(),
            waiting: vec![None; count],
            open: Vec::new(),
            acknowledged: 0,
            times: Histogram::new_with_bounds(1, MAX_TIME_UNITS, 3)
                .unwrap_or_else(|_| Histogram::new(3).expect("three digits")),
            meter: Meter::default(),
            busy_until: 0,
            busy_time: 0,
            samples: LeaseSamples::default(),
            violations: 0,
        }
    }

    fn outcome(self) -> Outcome {
        let peak = self.meter.peak();
        let units_per_ms = (1_000 / TIME_UNIT) as f64;
        Outcome {
            plan: self.plan,
            made: self.revision,
            acknowledged: self.acknowledged,
            p50_ms: self.times.value_at_quantile(0.5) as f64 / units_per_ms,
            p99_ms: self.times.value_at_quantile(0.99) as f64 / units_per_ms,
            max_ms: self.times.max() as f64 / units_per_ms,
            without_lease: self.samples.without as f64 / self.samples.all.max(1) as f64,
            violations: self.violations,
            requests_mean: self.meter.total() as f64 / (self.plan.length as f64 / 1e6),
            requests_peak: peak.requests,
            bytes_peak: peak.bytes,
            busy: self.busy_time as f64 / self.plan.length as f64,
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::Change => self.change(now),
            Event::Send(follower) => self.send_heartbeat(now, follower),
            Event::Arrival(heartbeat) => self.heartbeat(now, &heartbeat),
            Event::ResponseDue { follower, number } => {
                let due = self.waiting[follower].take_if(|waiting| waiting.number == number);
                if let Some(waiting) = due {
                    self.respond(now, follower, waiting);
                }
            }
            Event::Response(response) => self.response(now, &response),
            Event::Timeout { follower, number } => self.timeout(now, follower, number),
            Event::Sample => self.sample(now),
        }
    }

    fn change(&mut self, now: Micros) {
        self.revision += 1;
        self.open.push(OpenChange { revision: self.revision, made: now });
        for follower in 0..self.waiting.len() {
            if let Some(waiting) = self.waiting[follower].take() {
                self.respond(now, follower, waiting);
            }
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.changes;
        self.events.at(now + (gap * 1e6) as Micros, Event::Change);
    }

    fn send_heartbeat(&mut self, now: Micros, number_of_follower: usize) {
        let follower = &self.followers[number_of_follower];
        let timeout_ms =
            follower.lease_ms.map_or(FIRST_TIMEOUT_MS, |span| span / HEARTBEATS_PER_SPAN * TIMEOUT_INTERVALS);
        let (number, revision) = (follower.number, follower.revision);
        let timeout = Event::Timeout { follower: number_of_follower, number };
        self.events.at(now + timeout_ms * 1000, timeout);
        if let Some(duration) = self.plan.network.transfer_time(&mut self.random, EMPTY_BYTES) {
            let heartbeat = Heartbeat { follower: number_of_follower, sent: now, number, revision };
            self.events.at(now + duration, Event::Arrival(heartbeat));
        }
    }

    /// Lets the leader's thread work on something after all that it has to do; when that is done.
    fn process(&mut self, now: Micros) -> Micros {
        self.busy_until = self.busy_until.max(now) + PROCESSING_TIME;
        self.busy_time += PROCESSING_TIME;
        self.busy_until
    }

    fn heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) {
        let Heartbeat { follower, sent, number, revision } = *heartbeat;
        self.meter.count(now, EMPTY_BYTES);
        let done = self.process(now);
        let at = version(revision);
        let state = MemberState { in_force: at, persisted: at, requires_lease: true };
        self.membership.heartbeat(ms(done), incarnation(follower), state);
        self.acknowledge(done);
        let waiting = WaitingHeartbeat { sent, number };
        let is_first = self.followers[follower].lease_ms.is_none();
        if revision < self.revision || is_first {
            return self.respond(done, follower, waiting);
        }
        self.waiting[follower] = Some(waiting);
        let wait_ms = self.plan.lease_ms / HEARTBEATS_PER_SPAN;
        self.events.at(done + wait_ms * 1000, Event::ResponseDue { follower, number });
    }

    fn respond(&mut self, now: Micros, follower: usize, heartbeat: WaitingHeartbeat) {
        let done = self.process(now);
        let revision = self.revision;
        let granted = self.membership.grant(ms(done), incarnation(follower), version(revision));
        let Ok(lease_ms) = granted else { return };
        let behind = revision - self.followers[follower].revision.min(revision);
        let bytes = EMPTY_BYTES + CHANGE_BYTES * behind;
        self.meter.count(done, bytes);
        if let Some(duration) = self.plan.network.transfer_time(&mut self.random, bytes) {
            let WaitingHeartbeat { sent, number } = heartbeat;
            let response = Response { follower, sent, number, revision, lease_ms };
            self.events.at(done + duration, Event::Response(response));
        }
    }

    fn response(&mut self, now: Micros, response: &Response) {
        let follower = &mut self.followers[response.follower];
        if follower.number != response.number {
            return;
        }
        follower.number += 1;
        follower.failures = 0;
        follower.lease_ms = response.lease_ms.or(follower.lease_ms);
        follower.revision = follower.revision.max(response.revision);
        if let Some(span) = response.lease_ms {
            follower.lease.renewed(lease::expires_at(ms(response.sent), span));
        }
        self.send_heartbeat(now, response.follower);
    }

    fn timeout(&mut self, now: Micros, number_of_follower: usize, number: u64) {
        let follower = &mut self.followers[number_of_follower];
        if follower.number != number {
            return;
        }
        follower.number += 1;
        follower.failures += 1;
        let doublings = (follower.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let longest_ms = (MIN_BACKOFF << doublings).min(MAX_BACKOFF);
        let wait_ms = self.random.random_range(longest_ms / 2..=longest_ms);
        self.events.at(now + wait_ms * 1000, Event::Send(number_of_follower));
    }

    /// Acknowledges the changes that are in force everywhere, and counts followers that do not have one of them and may
    /// accept calls.
    fn acknowledge(&mut self, now: Micros) {
        while let Some(&OpenChange { revision, made }) = self.open.first() {
            if !self.membership.progress(ms(now), version(revision), 0).is_in_force() {
                return;
            }
            self.open.remove(0);
            self.acknowledged = revision;
            let _ = self.times.record(((now - made) / TIME_UNIT).max(1));
            let violates = |follower: &&Follower| {
                follower.revision < revision && follower.lease.stage(ms(now)).accepts_calls()
            };
            self.violations += self.followers.iter().filter(violates).count() as u64;
        }
    }

    fn sample(&mut self, now: Micros) {
        self.acknowledge(now);
        // Within the first span all are starting.
        if ms(now) > self.plan.lease_ms {
            for follower in &self.followers {
                self.samples.all += 1;
                self.samples.without += u64::from(!follower.lease.stage(ms(now)).accepts_calls());
            }
        }
        self.events.at(now + SAMPLING_INTERVAL, Event::Sample);
    }
}
