//! What a controller learns: requests, the ends of attempts, probes and loads, and timers.

use super::{
    ClassId, FunctionId, ListForm, Micros, PeerId, Report, RequestId, TenantId, WorkerEntry, WorkerId,
};

/// How an attempt, a probe or an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The worker failed it; it may have run.
    Error,
    /// Rejected by the worker before it was looked at.
    Rejected,
    /// No answer in time; it may have run.
    Timeout,
    /// No connection came about.
    ConnectFailed,
    /// The connection came about but broke before all of it had left; it never ran.
    PartlySent,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// The function is not loaded there and no load is under way, or the load failed.
    NotLoaded,
}

/// What an outcome reports of loaded replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadNote {
    /// A replica was loaded already.
    Warm,
    /// This request began a load.
    Began,
    /// It waited for a load begun before.
    Waited,
    /// The load failed.
    Failed,
}

/// A call a client wants made.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id.
    pub id: RequestId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, where there are tenants.
    pub tenant: Option<TenantId>,
    /// The function it calls.
    pub function: FunctionId,
    /// Time until the client gives up.
    pub time_left: Micros,
    /// Time that it is thought to need on a standard core.
    pub cpu_time_hint: Option<Micros>,
    /// Calls that one replica runs at once.
    pub lanes: u32,
    /// Usual time of a load.
    pub load_time: Option<Micros>,
    /// The client marked it as a repeat.
    pub repeat: bool,
}

/// Something the controller learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list changed.
    Workers {
        /// What kind of update it is.
        form: ListForm,
        /// Its lines.
        entries: Vec<WorkerEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// An attempt ended.
    Outcome {
        /// The request.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// The request is finished: the client is owed nothing more.
        finished: bool,
        /// Time since it was sent.
        elapsed: Micros,
        /// What it reports of loaded replicas.
        note: Option<LoadNote>,
        /// Calls of the function that the worker held, where reported.
        concurrent_calls: Option<u32>,
        /// Load report, where attached.
        report: Option<Report>,
    },
    /// The answer of a streamed request began; it now belongs to the client.
    Started {
        /// The request.
        request: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// An order to load, or a query, was answered.
    Loaded {
        /// The worker.
        worker: WorkerId,
        /// The function.
        function: FunctionId,
        /// How it ended.
        outcome: Outcome,
        /// Replicas that are loaded there.
        replicas: u32,
        /// Time since the order.
        elapsed: Micros,
    },
    /// A probe ended.
    Probed {
        /// The worker.
        worker: WorkerId,
        /// How it ended.
        outcome: Outcome,
        /// Load report, where attached.
        report: Option<Report>,
    },
    /// A timer came due.
    Timer {
        /// The tag given when it was set.
        tag: u64,
    },
    /// The client left; the request is finished.
    ClientGone {
        /// The request.
        request: RequestId,
    },
    /// Another controller sent a message.
    Message {
        /// The sender.
        from: PeerId,
        /// The payload.
        bytes: Vec<u8>,
    },
}
