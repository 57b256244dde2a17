//! Input of the engine: new calls and events. Times and spans are whole microseconds.

use std::sync::Arc;

use bytes::Bytes;
use nettleferry::{ClassId, ListForm, LoadNote, Micros, Report, TenantId, WorkerState};

use crate::ids::{AttemptId, CallId, ControlRequestId};
use crate::outcome::AttemptEnd;

/// A call that a front end opens.
#[derive(Clone, Debug)]
pub struct NewCall {
    /// The front end's own token, returned with each command of this call.
    pub front: u64,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// The model's name.
    pub model: Arc<str>,
    /// The model's version; empty: the worker's choice.
    pub version: Arc<str>,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// Expected execution time, where the client states it.
    pub cost_hint: Option<Micros>,
    /// Calls that one replica of the model runs at the same time.
    pub lanes: u32,
    /// Usual time of a load, where known.
    pub load_time: Option<Micros>,
    /// The client marked it as a retry.
    pub repeat: bool,
    /// The front end's group of models, returned in [`crate::Measurement::CallEnded`].
    pub group: u32,
    /// The answer may arrive in parts, each delivered when it arrives.
    pub streamed: bool,
    /// The request as received; passed on to workers unchanged.
    pub body: Bytes,
}

/// A worker of the worker list, by its names.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The worker's name, which survives a restart of its process.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its machine kind.
    pub kind: String,
    /// Its weight.
    pub weight: f64,
    /// Its cell: workers that share which idempotency keys they have seen.
    pub cell: String,
    /// Its state.
    pub state: WorkerState,
    /// When its process started, on the engine's clock.
    pub started_at: Option<Micros>,
}

/// An event that the engine handles. Calls are opened with [`crate::Engine::open`].
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list, complete or as changes.
    Workers {
        /// How the list is to be applied.
        form: ListForm,
        /// Its workers.
        members: Vec<Member>,
    },
    /// A client disconnected and gets no answer.
    ClientDisconnected {
        /// Its call.
        call: CallId,
    },
    /// All clients known to have disconnected at one moment. Reported together, so that capacity freed by one of
    /// them is not granted to another.
    ClientsDisconnected {
        /// The clients.
        clients: Vec<ClientDisconnect>,
    },
    /// The client does not read its answer: the attempt is to be paused.
    ClientSlow {
        /// Its call.
        call: CallId,
    },
    /// The client reads its answer again.
    ClientReady {
        /// Its call.
        call: CallId,
    },
    /// A part of an answer arrived.
    ResponsePart {
        /// The attempt.
        attempt: AttemptId,
        /// The part, as it is to be delivered.
        payload: Bytes,
        /// The worker marked it as the last.
        last: bool,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
        /// What the response reported besides.
        report: AttemptReport,
    },
    /// A load order ended.
    LoadEnded {
        /// The order.
        request_id: ControlRequestId,
        /// How it ended.
        end: AttemptEnd,
        /// Replicas loaded at the worker.
        copies: u32,
    },
    /// A health check ended.
    ProbeEnded {
        /// The health check.
        request_id: ControlRequestId,
        /// How it ended.
        end: AttemptEnd,
        /// The load report, where attached.
        load_report: Option<Report>,
    },
    /// A tenant was removed: its open calls get their final answers at once.
    TenantRemoved {
        /// The tenant.
        tenant: TenantId,
    },
    /// Time has passed.
    Tick,
}

/// A client that has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientDisconnect {
    /// Its call.
    pub call: CallId,
    /// Its connection still takes an answer: the call gets its final answer at once.
    pub expects_answer: bool,
}

/// What the end of an attempt reports besides its result.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptReport {
    /// State of the model's replicas at the worker.
    pub load_note: Option<LoadNote>,
    /// Calls of the model queued or running at the worker.
    pub queue_depth: Option<u32>,
    /// The worker's load report.
    pub load_report: Option<Report>,
}
