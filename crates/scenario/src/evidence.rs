//! What was seen at the sockets of a day: by clients, by stand-ins, and what the day itself did. The
//! controllers' own records are not among it.

use std::collections::BTreeMap;

use nettleferry::{Effect, Micros, WorkerState};
use nettleferry_test_servers::{Record, Seen};

/// What a client saw of a call.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRecord {
    /// When.
    pub at: Micros,
    /// The call.
    pub id: String,
    /// What.
    pub what: ClientSaw,
}

/// What a client did or saw.
#[derive(Clone, Debug, PartialEq)]
pub enum ClientSaw {
    /// It sent the call.
    Sent {
        /// To this controller.
        controller: usize,
        /// For this model.
        model: String,
        /// It gives up then.
        deadline: Micros,
        /// What a repeat may do.
        effect: Effect,
        /// Its class.
        class: String,
        /// An answer within this span has its full worth.
        aim: Micros,
        /// The client reads slowly: when it has its answer says nothing of when it was given.
        slow: bool,
    },
    /// A part of the answer.
    Part,
    /// The final answer.
    Final(Final),
    /// It cancelled.
    Cancelled,
    /// Its connection broke, or none came about.
    Lost,
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// OK.
    Served,
    /// UNAVAILABLE with leave to try again.
    Refused,
    /// Any other status.
    Failed,
}

/// A controller's life.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// Which.
    pub controller: usize,
    /// Its zone.
    pub zone: String,
    /// It listened from then on.
    pub from: Micros,
    /// It was told to end then (SIGTERM): it owes answers to what it had taken.
    pub ending: Option<Micros>,
    /// Its process was gone then.
    pub to: Option<Micros>,
}

/// A span in which something held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct During {
    /// From.
    pub from: Micros,
    /// To.
    pub to: Micros,
}

impl During {
    /// Do they touch?
    pub fn meets(&self, from: Micros, to: Micros) -> bool {
        self.from <= to && from <= self.to
    }
}

/// A line of the list, as written for a zone's controllers.
#[derive(Clone, Debug, PartialEq)]
pub struct Told {
    /// When the file was written.
    pub at: Micros,
    /// The worker.
    pub worker: String,
    /// Its state.
    pub state: WorkerState,
}

/// The figures of the rules, as the controllers are told them.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Nothing new so long after word of a drain.
    pub drain_grace: Micros,
    /// How long a list file may stand unread.
    pub list_check: Micros,
    /// Span of the ration of load orders; 0: none.
    pub ration_window: Micros,
    /// Orders free in it.
    pub ration_floor: f64,
    /// Further orders per call.
    pub ration_share: f64,
}

/// A worker's place.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Place {
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: String,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// By clients.
    pub clients: Vec<ClientRecord>,
    /// By workers.
    pub workers: Vec<Record>,
    /// List lines as they changed.
    pub told: Vec<Told>,
    /// Controllers' lives.
    pub lives: Vec<Life>,
    /// Spans in which a controller stood still.
    pub stalls: Vec<(usize, During)>,
    /// Spans in which a worker's sockets for a zone were cut, as its own thread saw them: [`cuts`].
    pub cuts: Vec<(String, String, During)>,
    /// Figures.
    pub figures: Figures,
    /// Where workers are.
    pub places: BTreeMap<String, Place>,
    /// Everything was over.
    pub until: Micros,
}

/// Spans in which workers' doors, or connections at them, were cut; `zones` has the zone of each door.
pub fn cuts(workers: &[Record], zones: &[String]) -> Vec<(String, String, During)> {
    let mut open: BTreeMap<(&str, usize, Option<u64>), Micros> = BTreeMap::new();
    let mut cuts = Vec::new();
    let mut add = |worker: &str, door: usize, from, to| {
        let zone = zones.get(door).cloned().unwrap_or_default();
        cuts.push((worker.to_owned(), zone, During { from, to }));
    };
    for record in workers {
        let Seen::Link { door, conn, cut } = record.seen else { continue };
        let link = (record.worker.as_str(), door, conn);
        if cut {
            open.entry(link).or_insert(record.at);
        } else if let Some(from) = open.remove(&link) {
            add(&record.worker, door, from, record.at);
        }
    }
    for ((worker, door, _), from) in open {
        add(worker, door, from, Micros::MAX);
    }
    cuts
}
