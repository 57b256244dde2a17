//! Events that the embedding program reports to a controller.

use super::{
    ClassId, FunctionId, ListForm, Micros, PeerId, Report, RequestId, TenantId, WorkerEntry, WorkerId,
};

/// The outcome of an attempt, a probe or a load order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served, or answered without an error.
    Ok,
    /// The worker returned an error; the request may have executed.
    Error,
    /// Rejected by the worker before any processing.
    Rejected,
    /// No response in time; the request may have executed.
    Timeout,
    /// The connection could not be established.
    ConnectFailed,
    /// The connection broke before the request was sent completely; it did not execute.
    PartlySent,
    /// The connection broke; the request may have executed.
    Reset,
    /// Cancelled; the request may have executed.
    Cancelled,
    /// The request did not execute, as it was not sent or had already ended when it arrived. It is not
    /// retried.
    NeverSent,
    /// The function is not loaded and no load is pending at the worker, or the load failed.
    NotLoaded,
}

/// Replica state reported with an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadNote {
    /// A replica was already loaded.
    Warm,
    /// The request triggered a load.
    Began,
    /// The request waited for a load that was already in progress.
    Waited,
    /// The load that the request waited for failed.
    Failed,
}

/// A call requested by a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Unique id of the request.
    pub id: RequestId,
    /// The class of the request.
    pub class: ClassId,
    /// Tenant of the client; `None` if it has none.
    pub tenant: Option<TenantId>,
    /// The function to call.
    pub function: FunctionId,
    /// Time from the arrival of the request until the client stops waiting for an answer.
    pub time_left: Micros,
    /// Expected execution time on a standard core.
    pub cpu_time_hint: Option<Micros>,
    /// Number of calls that one replica runs concurrently.
    pub lanes: u32,
    /// Expected time to load the function.
    pub load_time: Option<Micros>,
    /// The client marked the request as a retry.
    pub is_retry: bool,
    /// The request carries an idempotency key, by which workers recognise its repeats (see
    /// [`Effect::of_request`](crate::Effect::of_request)).
    pub has_idempotency_key: bool,
}

/// An observation reported to the controller.
#[derive(Clone, Debug)]
pub enum Event {
    /// The worker list was updated.
    Workers {
        /// The kind of update.
        form: ListForm,
        /// The entries of the update.
        entries: Vec<WorkerEntry>,
    },
    /// A client sent a request. Its id must not have been used before.
    Request(Request),
    /// An attempt ended. Reported exactly once for each [`Action::Send`](crate::Action::Send).
    Outcome {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
        /// The worker that the attempt was sent to.
        worker: WorkerId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// The request is complete: the client expects no further response.
        finished: bool,
        /// Time since the attempt was sent.
        elapsed: Micros,
        /// Replica state reported by the worker.
        note: Option<LoadNote>,
        /// Concurrent calls of the function at the worker, if reported.
        concurrent_calls: Option<u32>,
        /// Load report attached to the response.
        report: Option<Report>,
    },
    /// The response stream of a request started; it is forwarded to the client, so the request can't be
    /// retried.
    Started {
        /// The request of the attempt.
        request: RequestId,
        /// Number of the attempt, from 0.
        attempt: u32,
    },
    /// A load order, or a query of the number of replicas, was answered or ended without an answer.
    Loaded {
        /// The worker of the order.
        worker: WorkerId,
        /// The function of the order.
        function: FunctionId,
        /// The outcome of the order.
        outcome: Outcome,
        /// Number of replicas loaded at the worker.
        replicas: u32,
        /// Time since the order was sent.
        elapsed: Micros,
    },
    /// A health probe ended.
    Probed {
        /// The worker that the probe was sent to.
        worker: WorkerId,
        /// The outcome of the probe.
        outcome: Outcome,
        /// Load report attached to the answer.
        report: Option<Report>,
    },
    /// A timer that was started for an [`Action::SetTimer`](crate::Action::SetTimer) expired.
    Timer {
        /// The tag of that action.
        tag: u64,
    },
    /// The client disconnected; the request needs no answer.
    ClientGone {
        /// The request of the client.
        request: RequestId,
    },
    /// A message from another controller arrived. Messages are currently ignored.
    Message {
        /// The controller that sent the message.
        from: PeerId,
        /// The content of the message.
        bytes: Vec<u8>,
    },
}
