//! What was observed during a run: by the clients and the test workers at their sockets, and the actions of the run
//! itself. It contains nothing that the controllers report about themselves.

use std::collections::BTreeMap;

use nettleferry::{Effect, Micros, WorkerState};
use nettleferry_test_servers::{Observation, ObservationKind};

/// An event of a call as recorded by its client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRecord {
    /// Time at which the client recorded the event.
    pub at: Micros,
    /// Id of the call.
    pub id: String,
    /// What the client did or observed.
    pub observation: ClientObservation,
}

/// What a client did or observed.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientObservation {
    /// The client sent the call.
    Sent {
        /// Number of the controller to which it was sent.
        controller: usize,
        /// Name of the model.
        model: String,
        /// Time after which the client no longer wants an answer.
        deadline: Micros,
        /// Effect of the call, which decides how it may be retried.
        effect: Effect,
        /// Name of the call's class.
        class: String,
        /// Latency objective of the class.
        latency_objective: Micros,
        /// Whether the request has an id, by which workers recognise its repeats.
        has_id: bool,
        /// Whether the client reads slowly, so that it records the answer later than the answer arrived.
        slow: bool,
    },
    /// A message of a streamed response arrived that is not the final one.
    Part,
    /// The final answer arrived.
    Final(FinalStatus),
    /// The client cancelled the call.
    Cancelled,
    /// The connection failed before a final answer arrived, or could not be opened.
    Lost,
}

/// The outcome that a final answer reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalStatus {
    /// The call was served: status OK.
    Served,
    /// The call was refused: its RPC ended with status UNAVAILABLE and trailers that permit a retry, or a message of a
    /// stream reported UNAVAILABLE.
    Refused,
    /// The call ended with any other status.
    Failed,
}

/// One incarnation of a controller, which is one run of its process.
#[derive(Clone, Debug, PartialEq)]
pub struct ControllerRun {
    /// Number of the controller.
    pub controller: usize,
    /// Zone of the controller.
    pub zone: String,
    /// Time at which the process was observed to listen.
    pub from: Micros,
    /// Time at which SIGTERM was sent; `None` if it was not sent before the end of the run. The process still has to
    /// answer the calls that it had accepted.
    pub ending: Option<Micros>,
    /// Time at which the end of the process was observed; `None` if it was running until the end of the run.
    pub to: Option<Micros>,
}

/// A time interval that includes both ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Start of the interval.
    pub from: Micros,
    /// End of the interval.
    pub to: Micros,
}

impl Interval {
    /// Whether the interval has a point in common with the one from `from` to `to`.
    pub fn overlaps(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && from <= self.to
    }
}

/// An interval during which a controller was stopped by SIGSTOP.
#[derive(Clone, Debug, PartialEq)]
pub struct Stall {
    /// Number of the controller.
    pub controller: usize,
    /// Scripted time from SIGSTOP to SIGCONT.
    pub interval: Interval,
}

/// An interval during which links between a worker and a zone's controllers were cut.
#[derive(Clone, Debug, PartialEq)]
pub struct Cut {
    /// Name of the worker.
    pub worker: String,
    /// Zone of the controllers.
    pub zone: String,
    /// Time from the cut to the restoration, which is [`Micros::MAX`] if the links were not restored.
    pub interval: Interval,
}

/// One of a worker's addresses (`conn` is `None`), or one connection to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link<'a> {
    worker: &'a str,
    address_index: usize,
    conn: Option<u64>,
}

/// A change of a worker's entry in the worker lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ListChange {
    /// Time just before the first file was written. From then on a controller may have read the change.
    pub at: Micros,
    /// Time at which all files were written. From then on every controller can read the change.
    pub written: Micros,
    /// Name of the worker.
    pub worker: String,
    /// New state of the worker.
    pub state: WorkerState,
}

/// The parameters of the rules, taken from the controllers' settings.
#[derive(Clone, Debug, Default)]
pub struct RuleParameters {
    /// Time after the start of a drain from which a worker must not receive anything new.
    pub drain_grace: Micros,
    /// Interval at which controllers read the worker list.
    pub list_check: Micros,
    /// Window of the limit on load orders; 0 means no limit.
    pub ration_window: Micros,
    /// Number of load orders that are always permitted in a window.
    pub ration_floor: f64,
    /// Number of further load orders permitted for each call in the window.
    pub ration_share: f64,
}

/// The location of a worker.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Location {
    /// Zone of the worker.
    pub zone: String,
    /// Cell of the worker.
    pub cell: String,
}

/// Everything that was observed during a run. Times are microseconds since the start of the run.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Events recorded by the clients.
    pub clients: Vec<ClientRecord>,
    /// Events recorded by the test workers.
    pub workers: Vec<Observation>,
    /// Changes of the worker lists.
    pub list_changes: Vec<ListChange>,
    /// Incarnations of the controllers, in the order of their starts.
    pub controller_runs: Vec<ControllerRun>,
    /// Scripted intervals during which controllers were stopped by SIGSTOP.
    pub stalls: Vec<Stall>,
    /// Intervals during which links were cut, derived from the workers' records by [`cuts`].
    pub cuts: Vec<Cut>,
    /// Parameters of the rules.
    pub parameters: RuleParameters,
    /// Locations of the workers by name.
    pub locations: BTreeMap<String, Location>,
    /// Time at which the run ended.
    pub until: Micros,
}

/// Derives from the workers' records the intervals during which their addresses, or connections to them, were cut.
/// `zones` holds the zone of the controllers for each of a worker's addresses.
pub fn cuts(workers: &[Observation], zones: &[String]) -> Vec<Cut> {
    let mut open: BTreeMap<Link, Micros> = BTreeMap::new();
    let mut cuts = Vec::new();
    let mut add_cut = |worker: &str, address_index: usize, from, to| {
        let zone = zones.get(address_index).cloned().unwrap_or_default();
        cuts.push(Cut { worker: worker.to_owned(), zone, interval: Interval { from, to } });
    };
    for record in workers {
        let ObservationKind::Link { address_index, conn, cut } = record.kind else { continue };
        let link = Link { worker: &record.worker, address_index, conn };
        if cut {
            open.entry(link).or_insert(record.at);
        } else if let Some(from) = open.remove(&link) {
            add_cut(&record.worker, address_index, from, record.at);
        }
    }
    for (Link { worker, address_index, .. }, from) in open {
        add_cut(worker, address_index, from, Micros::MAX);
    }
    cuts
}
