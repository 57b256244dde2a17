//! The worker list, load reports, and a worker's health as the module sees it.

use super::{CellId, KindId, Micros, WorkerId, ZoneId};

/// State of a worker in the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WorkerState {
    /// Runs.
    On,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Is gone.
    #[default]
    Gone,
}

/// A line of the worker list.
#[derive(Clone, Debug, Default)]
pub struct WorkerEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its weight; see [`Settings::weights`](crate::Settings::weights).
    pub weight: f64,
    /// Its cell.
    pub cell: CellId,
    /// Its state.
    pub state: WorkerState,
    /// When it last started; `None`: long ago.
    pub started_at: Option<Micros>,
}

/// A listed worker's health, as the module sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Health {
    /// The worker.
    pub worker: WorkerId,
    /// Its state in the list.
    pub state: WorkerState,
    /// Its recent outcomes keep calls from it, but for trials.
    pub ejected: bool,
    /// Its process died or is silent.
    pub down: bool,
}

/// What a worker list event brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListForm {
    /// Changed lines only.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as last held before a restart; may be stale.
    Restored,
    /// A call failed or the subscription broke; no lines.
    Failed,
}

/// A load report. Late and noisy wherever it comes from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    /// Requests in work.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of the cores in use.
    pub util: Option<f64>,
    /// Share of memory that can't be freed.
    pub memory_held: Option<f64>,
    /// Loads under way or waiting.
    pub loads: Option<f64>,
}
