//! All controllers return at once after a loss of power: workers warm up, replicas are gone, some snapshots are lost, and
//! the clients are all there. Admission and bootstrap are those of `nettleferry-fleet`; load orders have the limit that
//! the platform's rules give.
//!
//! What is not decided by the fleet is simple: each controller has its part of the workers, one queue in order, and
//! replicas that are loaded through one model store, which slows down as more load at once.
//!
//! * [`plan`]: input and outcome. `calls`: admission, load orders, service. `bootstrap`: how controllers get a snapshot.

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

/// Calls are counted by the time of their first attempt, in intervals of this length.
const INTERVAL: Micros = 250_000;
/// How often controllers are looked after without an event of their own.
const TICK: Micros = 50_000;
/// Starts of the controllers are spread over this time, as machines differ.
const START_JITTER: Micros = 100_000;
/// Workers that each controller sees.
const WORKERS: u32 = 2;

enum Event {
    /// A client calls, or calls again after a refusal.
    Call(CallAttempt),
    /// The next client of this controller calls.
    NextClient(usize),
    /// The call that a controller serves is served.
    Served(usize),
    /// A replica is loaded.
    Loaded { controller: usize, model: u32 },
    /// A controller without a snapshot asks for one.
    Bootstrap(usize),
    /// A request for a snapshot is answered, or is not answered in time.
    Response(SnapshotResponse),
    /// All controllers are looked after.
    Tick,
}

struct CallAttempt {
    controller: usize,
    /// When the client first called.
    first: Micros,
    /// How often it was refused.
    refusals: u32,
    model: u32,
}

struct SnapshotResponse {
    controller: usize,
    /// `None`: the leader.
    peer: Option<usize>,
    snapshot: Option<SnapshotVersion>,
    /// Which request it answers.
    request: u64,
}

struct QueuedCall {
    first: Micros,
    model: u32,
    /// Its number at the admission.
    number: u64,
}

/// What became of a call.
#[derive(Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    InTime,
    PastObjective,
    Refused,
    Abandoned,
}

#[derive(Clone, Copy, Default)]
struct CallCounts {
    in_time: u64,
    late: u64,
    refused: u64,
    given_up: u64,
}

/// Calls of one interval.
#[derive(Clone, Copy, Default)]
struct Interval {
    ended: u64,
    in_time: u64,
}

struct SimulatedController {
    snapshot: Option<SnapshotVersion>,
    snapshot_since: Micros,
    bootstrap: Bootstrap,
    /// The number of the newest request for a snapshot.
    request: u64,
    leader_asked: bool,
    admission: Gate,
    queue: VecDeque<QueuedCall>,
    serving: Option<QueuedCall>,
    /// Replicas that are ordered, and whether they are loaded.
    replicas: BTreeMap<u32, bool>,
    /// Models without a replica, in the order in which they were called.
    missing: VecDeque<u32>,
    load_orders: VecDeque<Micros>,
    accepted: VecDeque<Micros>,
    served: u64,
}

struct Simulation {
    plan: Plan,
    random: ChaCha8Rng,
    events: Events<Event>,
    controllers: Vec<SimulatedController>,
    /// Replicas that are being loaded, over all controllers.
    loading: u32,
    /// Calls accepted so far.
    calls: u64,
    intervals: Vec<Interval>,
    counts: CallCounts,
    refusals: u64,
    leader: Meter,
    peers: Vec<Meter>,
    load_orders: Meter,
}

/// Simulates one plan. Equal plans give equal outcomes.
pub fn simulate(plan: Plan) -> Outcome {
    let mut simulation = Simulation::new(plan);
    while let Some((now, event)) = simulation.events.take() {
        if now >= plan.length {
            break;
        }
        simulation.handle(now, event);
    }
    simulation.outcome()
}

/// The version of the one snapshot that there is.
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
            events.at(start, Event::Bootstrap(number));
            events.at(start, Event::NextClient(number));
        }
        events.at(0, Event::Tick);
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
            Event::NextClient(controller) => {
                let model = self.random.random_range(0..self.plan.models);
                self.call(now, CallAttempt { controller, first: now, refusals: 0, model });
                let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.calls_per_second;
                self.events.at(now + (gap * 1e6) as Micros, Event::NextClient(controller));
            }
            Event::Call(attempt) => self.call(now, attempt),
            Event::Served(controller) => self.served(now, controller),
            Event::Loaded { controller, model } => {
                self.loading -= 1;
                self.controllers[controller].replicas.insert(model, true);
                self.serve(now, controller);
            }
            Event::Bootstrap(controller) => self.bootstrap(now, controller),
            Event::Response(response) => self.snapshot_response(now, response),
            Event::Tick => {
                for number in 0..self.controllers.len() {
                    self.order_loads(now, number);
                    let controller = &mut self.controllers[number];
                    controller.admission.advance(ms(now), controller.served);
                    self.serve(now, number);
                }
                self.events.at(now + TICK, Event::Tick);
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
            given_up: self.counts.given_up,
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

    fn ready_ms(&self) -> Option<u64> {
        // Calls of the last deadline have not all ended.
        let complete = ((self.plan.length - self.plan.deadline) / INTERVAL) as usize;
        let intervals = &self.intervals[..complete.max(1)];
        let is_bad = |interval: &Interval| (interval.in_time as f64) < 0.9 * interval.ended as f64;
        let ready = intervals.iter().rposition(is_bad).map_or(0, |last| last + 1);
        (ready < intervals.len()).then_some(ready as u64 * INTERVAL / 1000)
    }

    /// Counts a call's end.
    fn end_call(&mut self, first: Micros, end: CallEnd) {
        let count = match end {
            CallEnd::InTime => &mut self.counts.in_time,
            CallEnd::PastObjective => &mut self.counts.late,
            CallEnd::Refused => &mut self.counts.refused,
            CallEnd::Abandoned => &mut self.counts.given_up,
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
