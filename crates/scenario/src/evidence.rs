//! What was seen at the sockets of a run: by clients, by test workers, and what the run itself did. The controllers' own
//! records are not among it.

use std::collections::BTreeMap;

use nettleferry::{Effect, Micros, WorkerState};
use nettleferry_test_servers::{Observation, ObservationKind};

/// What a client saw of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRecord {
    /// When.
    pub at: Micros,
    /// The call.
    pub id: String,
    /// What.
    pub what: ClientObservation,
}

/// What a client did or saw.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientObservation {
    /// It sent the call.
    Sent {
        /// To this controller.
        controller: usize,
        /// For this model.
        model: String,
        /// When it gives up.
        deadline: Micros,
        /// Whether a retry may repeat its effect.
        effect: Effect,
        /// Its class.
        class: String,
        /// The time in which its class wants its answer.
        latency_objective: Micros,
        /// The client reads slowly: the time at which it has its answer is not the time at which it was sent.
        slow: bool,
    },
    /// A part of the answer.
    Part,
    /// The final answer.
    Final(FinalStatus),
    /// It cancelled.
    Cancelled,
    /// Its connection broke, or none could be opened.
    Lost,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// OK.
    Served,
    /// UNAVAILABLE, with the permission to retry.
    Refused,
    /// Any other status.
    Failed,
}

/// One incarnation of a controller: one run of its process.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerRun {
    /// Which.
    pub controller: usize,
    /// Its zone.
    pub zone: String,
    /// When it began to listen.
    pub from: Micros,
    /// When it got SIGTERM: it still answers the calls that it had accepted.
    pub ending: Option<Micros>,
    /// When its process had ended.
    pub to: Option<Micros>,
}

/// A time interval; both ends belong to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// From.
    pub from: Micros,
    /// To.
    pub to: Micros,
}

impl Interval {
    /// Whether it touches the interval from `from` to `to`.
    pub fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && from <= self.to
    }
}

/// A controller that did not run for a while.
#[derive(Clone, Debug, PartialEq)]
pub struct Stall {
    /// The controller.
    pub controller: usize,
    /// When.
    pub interval: Interval,
}

/// Links between a worker and a zone's controllers that were cut.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    /// The worker.
    pub worker: String,
    /// The zone of the controllers.
    pub zone: String,
    /// When.
    pub interval: Interval,
}

/// A worker's address, or one connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link<'a> {
    worker: &'a str,
    door: usize,
    conn: Option<u64>,
}

/// A change of a worker's line in the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListChange {
    /// Before the first file was written: from then on a controller may have read it.
    pub at: Micros,
    /// Once all files were written: every controller may read it from then on, however long the writing took.
    pub written: Micros,
    /// The worker.
    pub worker: String,
    /// Its state.
    pub state: WorkerState,
}

/// The parameters of the rules, as the controllers have them in their settings.
#[derive(Clone, Debug, Default)]
pub struct RuleParameters {
    /// A worker gets nothing new when this has passed since the list said that it drains.
    pub drain_grace: Micros,
    /// How often controllers read the list.
    pub list_check: Micros,
    /// The window of the limit on load orders; 0: no limit.
    pub ration_window: Micros,
    /// Load orders that are always permitted in it.
    pub ration_floor: f64,
    /// Further load orders for each call.
    pub ration_share: f64,
}

/// Where a worker is.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Location {
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// By clients.
    pub clients: Vec<ClientRecord>,
    /// By workers.
    pub workers: Vec<Observation>,
    /// Changes of the worker list.
    pub list_changes: Vec<ListChange>,
    /// Controllers' controller_runs.
    pub controller_runs: Vec<ControllerRun>,
    /// When controllers were stopped by SIGSTOP.
    pub stalls: Vec<Stall>,
    /// When links were cut, as the workers' own threads saw it: [`cuts`].
    pub cuts: Vec<Cut>,
    /// Parameters of the rules.
    pub parameters: RuleParameters,
    /// Where workers are.
    pub locations: BTreeMap<String, Location>,
    /// When the run was over.
    pub until: Micros,
}

/// Intervals in which workers' addresses, or connections to them, were cut; `zones` has the zone of each address.
pub fn cuts(workers: &[Observation], zones: &[String]) -> Vec<Cut> {
    let mut open: BTreeMap<Link, Micros> = BTreeMap::new();
    let mut cuts = Vec::new();
    let mut add = |worker: &str, door: usize, from, to| {
        let zone = zones.get(door).cloned().unwrap_or_default();
        cuts.push(Cut { worker: worker.to_owned(), zone, interval: Interval { from, to } });
    };
    for record in workers {
        let ObservationKind::Link { door, conn, cut } = record.seen else { continue };
        let link = Link { worker: &record.worker, door, conn };
        if cut {
            open.entry(link).or_insert(record.at);
        } else if let Some(from) = open.remove(&link) {
            add(&record.worker, door, from, record.at);
        }
    }
    for (Link { worker, door, .. }, from) in open {
        add(worker, door, from, Micros::MAX);
    }
    cuts
}
