//! Output of the engine: commands for the process to execute, and final answers of calls. Durations are in whole
//! microseconds.

use std::sync::Arc;

use bytes::Bytes;
use nettleferry::{Micros, WorkerId};

use crate::ids::{AttemptId, CallId, ControlRequestId};

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An attempt ended without a response and may have run, for example because its connection broke or the call was
    /// ended while the attempt was in flight.
    Aborted,
    /// A worker returned an error.
    Internal,
    /// The call's deadline passed, or its last attempt timed out.
    Deadline,
}

/// Why a call was refused. It determines only the message to the client. Every refusal states that a retry of the call
/// is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The limit [`crate::EngineLimits::open_calls`] or [`crate::EngineLimits::models`] was reached.
    TooManyOpen,
    /// No listed worker accepts calls: all are draining or gone.
    NoWorker,
    /// Workers were in service, but none served the call: none had free capacity in time, or the attempts were rejected
    /// or failed.
    NoCapacity,
    /// The call's tenant was removed ([`crate::Event::TenantRemoved`]), and no attempt of the call can have run.
    TenantRemoved,
    /// The call's client disconnected ([`crate::Event::ClientsDisconnected`]), and no attempt of the call can have run.
    ClientDisconnected,
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// A worker served the call.
    Served {
        /// The last part of a streamed answer, or the complete answer of a call that is not streamed.
        last: Option<Bytes>,
    },
    /// A worker answered that the call itself is invalid.
    Rejected {
        /// The worker's error message.
        message: String,
    },
    /// The call was not served, and the client may safely retry it.
    Refused {
        /// Why the call was refused.
        reason: Refusal,
        /// Time that the client should wait before a retry; `None` if the decision module gives no advice.
        retry_after: Option<Micros>,
    },
    /// The call failed and may have run.
    Failed {
        /// Why the call failed.
        cause: Cause,
        /// How the last attempt ended, or why the call was ended, in human-readable form.
        message: String,
    },
}

/// An operation that the process has to perform. Commands must be executed in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt: send the call's request to a worker.
    Start {
        /// The id of the new attempt.
        attempt: AttemptId,
        /// The worker that receives the request.
        worker: WorkerId,
        /// Whether the answer may arrive in parts.
        streamed: bool,
        /// Time until the client's deadline.
        time_left: Micros,
        /// The request as received from the client.
        body: Bytes,
    },
    /// Cancel an attempt. Later events about it are ignored.
    Cancel {
        /// The attempt to cancel.
        attempt: AttemptId,
    },
    /// Stop reading an attempt's answer until [`Command::Resume`], because the client does not read.
    Pause {
        /// The attempt to pause.
        attempt: AttemptId,
    },
    /// Continue to read the answer of a paused attempt.
    Resume {
        /// The attempt to resume.
        attempt: AttemptId,
    },
    /// Deliver a part of a streamed answer to the client.
    ResponsePart {
        /// The call that the part belongs to.
        call: CallId,
        /// The front end's token for the call ([`crate::NewCall::front_token`]).
        front_token: u64,
        /// The content of the part, as the client receives it.
        payload: Bytes,
    },
    /// Deliver the final answer to the client. No command for the call follows, except [`Command::Abandon`] for an
    /// attempt that can't be cancelled.
    Answer {
        /// The call that is answered.
        call: CallId,
        /// The front end's token for the call ([`crate::NewCall::front_token`]).
        front_token: u64,
        /// The final answer.
        answer: FinalAnswer,
    },
    /// Send a load order. Its result is reported as [`crate::Event::LoadEnded`].
    Load {
        /// The id of the load order.
        request_id: ControlRequestId,
        /// The worker that is to load the replicas.
        worker: WorkerId,
        /// The name of the model to load.
        model: Arc<str>,
        /// The version of the model, as clients state it; may be empty.
        version: Arc<str>,
        /// Number of replicas that the worker should have loaded.
        replicas: u32,
    },
    /// Tell a worker to unload its idle replicas of a model. No response is expected.
    Unload {
        /// The worker that is to unload them.
        worker: WorkerId,
        /// The name of the model to unload.
        model: Arc<str>,
        /// The version of the model, as clients state it; may be empty.
        version: Arc<str>,
    },
    /// Send a health check. Its result is reported as [`crate::Event::ProbeEnded`].
    Probe {
        /// The id of the health check.
        request_id: ControlRequestId,
        /// The worker to check.
        worker: WorkerId,
    },
    /// Drop the state of a control request that timed out. Later events about it are ignored.
    ForgetControlRequest {
        /// The control request that timed out.
        request_id: ControlRequestId,
    },
    /// Cancel a load order that is no longer needed. An order that has not been sent ends with
    /// [`crate::Event::LoadEnded`] and [`crate::AttemptEnd::Cancelled`]; one that has been sent continues.
    CancelLoad {
        /// The load order to cancel.
        request_id: ControlRequestId,
    },
    /// Stop waiting for an attempt that can't be cancelled. Nothing is sent to the worker.
    Abandon {
        /// The attempt to abandon.
        attempt: AttemptId,
    },
    /// Subscribe to updates of the worker list.
    WatchList,
    /// Fetch the complete worker list once.
    FetchList,
    /// Write a message of the decision module to the log.
    Log(String),
}
