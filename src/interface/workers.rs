//! The worker list, load reports and worker health.

use super::{CellId, KindId, Micros, WorkerId, ZoneId};

/// State of a worker in the worker list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// In service: the worker may be sent calls.
    On,
    /// Completes its running calls but must get no new ones.
    Draining,
    /// Removed from service: the worker gets no calls or load orders.
    #[default]
    Gone,
}

/// An entry of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The id of the worker.
    pub worker: WorkerId,
    /// The zone that the worker runs in.
    pub zone: ZoneId,
    /// The kind of machine that the worker runs on.
    pub kind: KindId,
    /// Weight of the worker, with the meaning that [`Settings::weights`](crate::Settings::weights) defines.
    pub weight: f64,
    /// The cell that the worker belongs to.
    pub cell: CellId,
    /// Whether the worker is in service, draining or gone.
    pub state: WorkerState,
    /// Time at which the worker's process last started; `None` means long ago.
    pub started_at: Option<Micros>,
}

/// Health of a listed worker as derived from events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// The id of the worker.
    pub worker: WorkerId,
    /// State in the worker list.
    pub state: WorkerState,
    /// Ejected for its failure rate or because it is down; it gets no calls except trials.
    pub ejected: bool,
    /// The process is dead or unresponsive.
    pub down: bool,
}

/// The kind of a worker list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// The update contains only the entries that changed.
    Changes,
    /// The update is the complete list; workers missing from it are gone.
    Complete,
    /// The last complete list known before a restart of the controller; may be stale.
    Restored,
    /// A request for the list failed or the subscription broke; there are no entries.
    Failed,
}

/// A load report of a worker. Reports are delayed and noisy.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of requests being processed.
    pub inflight: Option<f64>,
    /// Number of requests waiting.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Share of memory that can't be freed.
    pub memory_held: Option<f64>,
    /// Number of loads in progress or queued.
    pub loads: Option<f64>,
}
