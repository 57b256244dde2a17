//! Simulates followers that replicate tenant changes from one leader over a network that loses packets. Leases and
//! membership are those of `nettleferry-fleet`. Timeouts and backoff of heartbeats equal those of the program.

use hdrhistogram::Histogram;
use nettleferry_fleet::lease::{self, HEARTBEATS_PER_SPAN, Holder, LeasePolicy};
use nettleferry_fleet::membership::{Incarnation, MemberState, Membership, Version};
use nettleferry_tenancy::replication::{INITIAL_BACKOFF, MAX_BACKOFF};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::events::Events;
use crate::network::{Meter, Network};
use crate::{Micros, ms};

/// Bytes of a change in a response.
const CHANGE_BYTES: u64 = 700;
/// Bytes of a heartbeat, and of a response without changes.
const EMPTY_BYTES: u64 = 400;
/// Time that the leader's thread takes to process one request or response.
const PROCESSING_TIME: Micros = 30;
/// Number of heartbeat intervals after which a heartbeat without a response has failed, as in the program's follower.
const TIMEOUT_INTERVALS: u64 = 2;
/// Timeout in milliseconds of a heartbeat before the first lease.
const FIRST_TIMEOUT_MS: u64 = 2_000;
/// Time over which the first heartbeats of the followers are distributed.
const START_JITTER: Micros = 200_000;
/// Time of the first change.
const FIRST_CHANGE_AT: Micros = 1_000_000;
/// Interval at which the followers without a lease are counted.
const SAMPLING_INTERVAL: Micros = 20_000;
/// Maximum number of doublings of the backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;
/// Unit of the histogram of the times from a change to its acknowledgement.
const TIME_UNIT: Micros = 100;
/// Upper bound of that histogram: 100 seconds.
const MAX_TIME_UNITS: u64 = 1_000_000;

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Plan {
    /// Number of followers.
    pub controllers: u32,
    /// Network between the followers and the leader.
    pub network: Network,
    /// Duration of a lease in milliseconds.
    pub lease_ms: u64,
    /// Mean number of changes per second at the leader. Each change restricts a tenant.
    pub changes: f64,
    /// Length of the run in virtual time.
    pub length: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// The outcome of a simulation.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Parameters of the simulation.
    pub plan: Plan,
    /// Number of changes made.
    pub made: u64,
    /// Number of changes that were acknowledged as in force everywhere.
    pub acknowledged: u64,
    /// Median time in milliseconds from a change to its acknowledgement.
    pub p50_ms: f64,
    /// 99th percentile of that time in milliseconds.
    pub p99_ms: f64,
    /// Maximum of that time in milliseconds.
    #[serde(rename = "most_ms")]
    pub max_ms: f64,
    /// Share of the followers' time without a lease, although all followers run and only packets are lost.
    #[serde(rename = "shut_out")]
    pub without_lease: f64,
    /// Number of times that a follower without an acknowledged change was allowed to accept calls. Any value other than
    /// 0 means that the leases are incorrect.
    #[serde(rename = "wrong")]
    pub violations: u64,
    /// Mean number of heartbeats and responses per second at the leader.
    #[serde(rename = "asks_mean")]
    pub requests_mean: f64,
    /// Maximum number of heartbeats and responses in one second at the leader.
    #[serde(rename = "asks_peak")]
    pub requests_peak: u64,
    /// Maximum number of bytes in one second at the leader.
    pub bytes_peak: u64,
    /// Share of the time for which the leader's thread is busy.
    pub busy: f64,
}

/// A heartbeat whose response the leader delays until there is a change.
#[derive(Clone, Copy)]
struct WaitingHeartbeat {
    sent: Micros,
    number: u64,
}

/// A heartbeat in transit to the leader.
struct Heartbeat {
    follower: usize,
    sent: Micros,
    number: u64,
    revision: u64,
}

/// A response in transit to a follower.
struct Response {
    follower: usize,
    /// When the heartbeat was sent, which is when the lease begins.
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
    /// The leader changes a tenant.
    Change,
    /// A follower sends a heartbeat.
    Send(usize),
    /// A heartbeat arrives at the leader.
    Arrival(Heartbeat),
    /// The delay of a waiting heartbeat ends: the leader responds to it without a change.
    ResponseDue { follower: usize, number: u64 },
    /// A response arrives at the follower.
    Response(Response),
    /// The timeout of a follower's heartbeat expires.
    Timeout { follower: usize, number: u64 },
    /// Followers without a lease are counted.
    Sample,
}

struct Follower {
    revision: u64,
    lease: Holder,
    /// Number of the latest heartbeat.
    number: u64,
    /// Consecutive heartbeats without a response.
    failures: u32,
    /// Duration of the latest lease in milliseconds; `None` before the first.
    lease_ms: Option<u64>,
}

/// Number of samples of followers, and how many of them had no lease.
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
    /// Heartbeats that wait at the leader, by follower.
    waiting: Vec<Option<WaitingHeartbeat>>,
    open_changes: Vec<OpenChange>,
    /// Revision of the latest acknowledged change, which is also the number of acknowledged changes.
    acknowledged: u64,
    /// Times from a change to its acknowledgement, in units of [`TIME_UNIT`].
    acknowledgement_times: Histogram<u64>,
    meter: Meter,
    /// Time until which the leader's thread is busy.
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

/// Runs the simulation. Equal plans give equal outcomes.
pub fn simulate(plan: Plan) -> Outcome {
    let mut simulation = Simulation::new(plan);
    while let Some((now, event)) = simulation.events.pop() {
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
            events.schedule(random.random_range(0..START_JITTER), Event::Send(follower));
        }
        events.schedule(FIRST_CHANGE_AT, Event::Change);
        events.schedule(0, Event::Sample);
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
            open_changes: Vec::new(),
            acknowledged: 0,
            acknowledgement_times: Histogram::new_with_bounds(1, MAX_TIME_UNITS, 3).unwrap_or_else(|_| {
                Histogram::new(3).expect("three is a valid number of significant digits")
            }),
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
            p50_ms: self.acknowledgement_times.value_at_quantile(0.5) as f64 / units_per_ms,
            p99_ms: self.acknowledgement_times.value_at_quantile(0.99) as f64 / units_per_ms,
            max_ms: self.acknowledgement_times.max() as f64 / units_per_ms,
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
            Event::Change => self.make_change(now),
            Event::Send(follower) => self.send_heartbeat(now, follower),
            Event::Arrival(heartbeat) => self.handle_heartbeat(now, &heartbeat),
            Event::ResponseDue { follower, number } => {
                let due = self.waiting[follower].take_if(|waiting| waiting.number == number);
                if let Some(waiting) = due {
                    self.respond(now, follower, waiting);
                }
            }
            Event::Response(response) => self.handle_response(now, &response),
            Event::Timeout { follower, number } => self.handle_timeout(now, follower, number),
            Event::Sample => self.sample(now),
        }
    }

    /// Makes a change and sends it to the followers whose heartbeats are waiting.
    fn make_change(&mut self, now: Micros) {
        self.revision += 1;
        self.open_changes.push(OpenChange { revision: self.revision, made: now });
        for follower in 0..self.waiting.len() {
            if let Some(waiting) = self.waiting[follower].take() {
                self.respond(now, follower, waiting);
            }
        }
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.changes;
        self.events.schedule(now + (gap * 1e6) as Micros, Event::Change);
    }

    fn send_heartbeat(&mut self, now: Micros, follower_index: usize) {
        let follower = &self.followers[follower_index];
        let timeout_ms = follower
            .lease_ms
            .map_or(FIRST_TIMEOUT_MS, |duration_ms| duration_ms / HEARTBEATS_PER_SPAN * TIMEOUT_INTERVALS);
        let (number, revision) = (follower.number, follower.revision);
        let timeout = Event::Timeout { follower: follower_index, number };
        self.events.schedule(now + timeout_ms * 1000, timeout);
        if let Some(duration) = self.plan.network.transfer_time(&mut self.random, EMPTY_BYTES) {
            let heartbeat = Heartbeat { follower: follower_index, sent: now, number, revision };
            self.events.schedule(now + duration, Event::Arrival(heartbeat));
        }
    }

    /// Queues one request or response at the leader's thread and returns when its processing ends.
    fn process(&mut self, now: Micros) -> Micros {
        self.busy_until = self.busy_until.max(now) + PROCESSING_TIME;
        self.busy_time += PROCESSING_TIME;
        self.busy_until
    }

    /// Processes a heartbeat at the leader. The response is delayed if the follower has every change and a lease.
    fn handle_heartbeat(&mut self, now: Micros, heartbeat: &Heartbeat) {
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
        self.events.schedule(done + wait_ms * 1000, Event::ResponseDue { follower, number });
    }

    /// Sends a follower the changes that it does not have, with a lease if leases are granted. Sends nothing if the
    /// membership refuses the follower.
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
            self.events.schedule(done + duration, Event::Response(response));
        }
    }

    /// Processes a response at the follower, which renews its lease and sends the next heartbeat.
    fn handle_response(&mut self, now: Micros, response: &Response) {
        let follower = &mut self.followers[response.follower];
        if follower.number != response.number {
            return;
        }
        follower.number += 1;
        follower.failures = 0;
        follower.lease_ms = response.lease_ms.or(follower.lease_ms);
        follower.revision = follower.revision.max(response.revision);
        if let Some(duration_ms) = response.lease_ms {
            follower.lease.renewed(lease::expires_at(ms(response.sent), duration_ms));
        }
        self.send_heartbeat(now, response.follower);
    }

    /// Schedules the next heartbeat after a backoff, unless the response arrived in time.
    fn handle_timeout(&mut self, now: Micros, follower_index: usize, number: u64) {
        let follower = &mut self.followers[follower_index];
        if follower.number != number {
            return;
        }
        follower.number += 1;
        follower.failures += 1;
        let doublings = (follower.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
        let longest_ms = (INITIAL_BACKOFF << doublings).min(MAX_BACKOFF);
        let wait_ms = self.random.random_range(longest_ms / 2..=longest_ms);
        self.events.schedule(now + wait_ms * 1000, Event::Send(follower_index));
    }

    /// Acknowledges the changes that are in force everywhere. A follower that lacks such a change and is allowed to
    /// accept calls is counted as a violation.
    fn acknowledge(&mut self, now: Micros) {
        while let Some(&OpenChange { revision, made }) = self.open_changes.first() {
            if !self.membership.progress(ms(now), version(revision), 0).is_in_force() {
                return;
            }
            self.open_changes.remove(0);
            self.acknowledged = revision;
            let _ = self.acknowledgement_times.record(((now - made) / TIME_UNIT).max(1));
            let violates = |follower: &&Follower| {
                follower.revision < revision && follower.lease.stage(ms(now)).accepts_calls()
            };
            self.violations += self.followers.iter().filter(violates).count() as u64;
        }
    }

    fn sample(&mut self, now: Micros) {
        self.acknowledge(now);
        // Followers that start have no lease yet, so the first lease duration is not counted.
        if ms(now) > self.plan.lease_ms {
            for follower in &self.followers {
                self.samples.all += 1;
                self.samples.without += u64::from(!follower.lease.stage(ms(now)).accepts_calls());
            }
        }
        self.events.schedule(now + SAMPLING_INTERVAL, Event::Sample);
    }
}
