//! Simulates the restart of all controllers at once after a power loss: workers have to warm up, all replicas are lost,
//! some controllers have lost their snapshots, and clients send their full load. Admission control and bootstrap are
//! those of `nettleferry-fleet`. Each controller limits its load orders by a window, as the platform requires.
//!
//! The rest is modelled in simple terms: each controller has its own share of the workers, a first-in-first-out queue,
//! and replicas that are loaded from one shared model store, which slows down as the number of concurrent loads grows.
//!
//! * [`plan`]: parameters and outcome. `calls`: admission, load orders and service. `bootstrap`: how controllers obtain
//!   a snapshot.

mod bootstrap;
mod calls;
pub mod plan;

use std::collections::{BTreeMap, VecDeque};

use nettleferry_fleet::bootstrap::Bootstrap;
use nettleferry_fleet::gate::{Gate, GateConfig};
use nettleferry_fleet::snapshot_version::SnapshotVersion;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::events::Events;
use crate::network::{Meter, Peak};
use crate::{Micros, ms};
pub use plan::{LeaderReturn, Outcome, Plan};

/// Length of the intervals in which calls are counted, by the time of their first attempt.
const INTERVAL: Micros = 250_000;
/// Interval at which every controller orders loads, updates its admission control and serves calls, even without an
/// event of its own.
const TICK: Micros = 50_000;
/// Time over which the starts of the controllers are distributed, since machines do not boot equally fast.
const START_JITTER: Micros = 100_000;
/// Number of workers of each controller.
const WORKERS: u32 = 2;
/// Share of calls served in time from which an interval is not degraded.
const READY_SHARE: f64 = 0.9;

enum Event {
    /// A client retries a call after a refusal.
    Retry(CallAttempt),
    /// A client of this controller makes a new call.
    NewCall(usize),
    /// The call that the workers of a controller are processing is finished.
    Served(usize),
    /// The load of a replica is finished.
    Loaded { controller: usize, model: u32 },
    /// A controller takes the next step to obtain a snapshot, unless it has one.
    Bootstrap(usize),
    /// A request for a snapshot is answered or times out.
    Response(SnapshotResponse),
    /// The periodic work of all controllers is done, see [`TICK`].
    Tick,
}

struct CallAttempt {
    controller: usize,
    /// Time of the client's first attempt.
    first: Micros,
    /// How often the call was refused.
    refusals: u32,
    model: u32,
}

struct SnapshotResponse {
    controller: usize,
    /// The peer that was asked; `None` if it was the leader.
    peer: Option<usize>,
    snapshot: Option<SnapshotVersion>,
    /// Number of the request that it answers.
    request: u64,
}

struct QueuedCall {
    first: Micros,
    model: u32,
    /// Number of the call at the admission control.
    number: u64,
}

/// The outcome of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    InTime,
    Late,
    Refused,
    Abandoned,
}

#[derive(Clone, Copy, Default)]
struct CallCounts {
    in_time: u64,
    late: u64,
    refused: u64,
    abandoned: u64,
}

/// Counts of the calls whose first attempt was in one interval.
#[derive(Clone, Copy, Default)]
struct Interval {
    ended: u64,
    in_time: u64,
}

struct SimulatedController {
    snapshot: Option<SnapshotVersion>,
    snapshot_since: Micros,
    bootstrap: Bootstrap,
    /// Number of the latest request for a snapshot; responses to earlier ones are ignored.
    request: u64,
    /// Whether the leader was asked in the current round.
    leader_asked: bool,
    admission: Gate,
    queue: VecDeque<QueuedCall>,
    serving: Option<QueuedCall>,
    /// Models with an ordered replica, and whether it is loaded.
    replicas: BTreeMap<u32, bool>,
    /// Models without a replica, in the order in which they were called.
    missing: VecDeque<u32>,
    /// Times of the load orders in the window of their limit.
    load_orders: VecDeque<Micros>,
    /// Times at which calls were admitted, in the same window.
    accepted: VecDeque<Micros>,
    served: u64,
}

struct Simulation {
    plan: Plan,
    random: ChaCha8Rng,
    events: Events<Event>,
    controllers: Vec<SimulatedController>,
    /// Number of replicas that are being loaded, over all controllers together.
    loading: u32,
    /// Number of calls admitted so far.
    calls: u64,
    intervals: Vec<Interval>,
    counts: CallCounts,
    refusals: u64,
    /// Requests for snapshots at the leader.
    leader: Meter,
    /// Requests for snapshots at each controller.
    peers: Vec<Meter>,
    load_orders: Meter,
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

/// The version of the snapshot, which is the same at the leader and at all controllers.
fn snapshot(plan: &Plan) -> SnapshotVersion {
    SnapshotVersion { store: "store".to_owned(), epoch: 1, revision: plan.tenants, checksum: 1 }
}

impl Simulation {
    fn new(plan: Plan) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(plan.seed);
        let mut events = Events::default();
        let count = plan.controllers as usize;
        let mut controllers = Vec::with_capacity(count);
        for number in 0..count {
            let start = random.random_range(0..START_JITTER);
            controllers.push(SimulatedController::new(&plan, start, &mut random));
            events.schedule(start, Event::Bootstrap(number));
            events.schedule(start, Event::NewCall(number));
        }
        events.schedule(0, Event::Tick);
        Self {
            plan,
            random,
            events,
            controllers,
            loading: 0,
            calls: 0,
            intervals: vec![Interval::default(); (plan.length / INTERVAL) as usize + 1],
            counts: CallCounts::default(),
            refusals: 0,
            leader: Meter::default(),
            peers: vec![Meter::default(); count],
            load_orders: Meter::default(),
        }
    }

    fn handle(&mut self, now: Micros, event: Event) {
        match event {
            Event::NewCall(controller) => {
                let model = self.random.random_range(0..self.plan.models);
                self.handle_call(now, CallAttempt { controller, first: now, refusals: 0, model });
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.calls_per_second;
                self.events.schedule(now + (gap * 1e6) as Micros, Event::NewCall(controller));
            }
            Event::Retry(attempt) => self.handle_call(now, attempt),
            Event::Served(controller) => self.finish_call(now, controller),
            Event::Loaded { controller, model } => {
                self.loading -= 1;
                self.controllers[controller].replicas.insert(model, true);
                self.serve(now, controller);
            }
            Event::Bootstrap(controller) => self.bootstrap(now, controller),
            Event::Response(response) => self.handle_snapshot_response(now, response),
            Event::Tick => {
                for number in 0..self.controllers.len() {
                    self.order_loads(now, number);
                    let controller = &mut self.controllers[number];
                    controller.admission.advance(ms(now), controller.served);
                    self.serve(now, number);
                }
                self.events.schedule(now + TICK, Event::Tick);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let peer_peak = self.peers.iter().map(Meter::peak).fold(Peak::default(), Peak::max);
        let with_snapshot = self.controllers.iter().filter(|controller| controller.snapshot.is_some());
        Outcome {
            plan: self.plan,
            ready_ms: self.ready_ms(),
            in_time: self.counts.in_time,
            late: self.counts.late,
            refused: self.counts.refused,
            given_up: self.counts.abandoned,
            refusals: self.refusals,
            with_snapshot: with_snapshot.clone().count() as u32,
            last_snapshot_ms: with_snapshot
                .map(|controller| ms(controller.snapshot_since))
                .max()
                .unwrap_or(0),
            leader_peak: self.leader.peak(),
            peer_peak,
            load_orders_peak: self.load_orders.peak().requests,
        }
    }

    /// End in milliseconds of the last degraded interval; `None` if the last complete interval is degraded.
    fn ready_ms(&self) -> Option<u64> {
        // Calls that were made within one deadline of the end of the run have not all ended.
        let complete = ((self.plan.length - self.plan.deadline) / INTERVAL) as usize;
        let intervals = &self.intervals[..complete.max(1)];
        let is_degraded =
            |interval: &Interval| (interval.in_time as f64) < READY_SHARE * interval.ended as f64;
        let ready = intervals.iter().rposition(is_degraded).map_or(0, |last| last + 1);
        (ready < intervals.len()).then_some(ready as u64 * INTERVAL / 1000)
    }

    /// Counts the outcome of a call, in total and in the interval of its first attempt.
    fn end_call(&mut self, first: Micros, end: CallEnd) {
        let count = match end {
            CallEnd::InTime => &mut self.counts.in_time,
            CallEnd::Late => &mut self.counts.late,
            CallEnd::Refused => &mut self.counts.refused,
            CallEnd::Abandoned => &mut self.counts.abandoned,
        };
        *count += 1;
        if let Some(interval) = self.intervals.get_mut((first / INTERVAL) as usize) {
            interval.ended += 1;
            interval.in_time += u64::from(end == CallEnd::InTime);
        }
    }
}

impl SimulatedController {
    fn new(plan: &Plan, start: Micros, random: &mut ChaCha8Rng) -> Self {
        let lost = random.random_bool(plan.lost_snapshots);
        let mut admission = Gate::new(GateConfig::default(), ms(start));
        admission.list_applied(ms(start), WORKERS, true);
        Self {
            snapshot: (!lost).then(|| snapshot(plan)),
            snapshot_since: 0,
            bootstrap: Bootstrap::new(plan.controllers as usize - 1, random.random()),
            request: 0,
            leader_asked: false,
            admission,
            queue: VecDeque::new(),
            serving: None,
            replicas: BTreeMap::new(),
            missing: VecDeque::new(),
            load_orders: VecDeque::new(),
            accepted: VecDeque::new(),
            served: 0,
        }
    }
}
