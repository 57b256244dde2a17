//! Output of the engine: what the process has to do, and the final answers of calls. Spans are whole microseconds.

use std::sync::Arc;

use bytes::Bytes;
use nettleferry::{Micros, WorkerId};

use crate::ids::{AttemptId, CallId, ControlRequestId};

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// An attempt was lost and may have run.
    Aborted,
    /// A worker returned an error.
    Internal,
    /// Its deadline passed.
    Deadline,
}

/// Why a call was refused. Only the message to the client depends on it; every refusal states that the call did not
/// take effect and may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// [`crate::EngineLimits::open_calls`] or [`crate::EngineLimits::models`] was reached.
    TooManyOpen,
    /// No worker of the list accepts calls.
    NoWorker,
    /// No worker had capacity in time, or each attempt was rejected.
    NoCapacity,
    /// [`crate::Event::TenantRemoved`], and no attempt can have run.
    TenantRemoved,
    /// [`crate::Event::ClientsDisconnected`], and no attempt can have run.
    ClientDisconnected,
}

/// The one final answer of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served.
    Served {
        /// The last part, or the complete answer of a call that is not streamed.
        last: Option<Bytes>,
    },
    /// The worker answered that the call itself is invalid.
    Rejected {
        /// The worker's message.
        message: String,
    },
    /// Not served, and a retry is harmless.
    Refused {
        /// Why.
        reason: Refusal,
        /// The span that the decision module advises to wait before a retry.
        retry_after: Option<Micros>,
    },
    /// Failed; the call may have run.
    Failed {
        /// Why.
        cause: Cause,
        /// What is known, for people.
        message: String,
    },
}

/// Something that the process has to do. Commands are executed in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
        /// The answer may arrive in parts.
        streamed: bool,
        /// Time until the client gives up.
        time_left: Micros,
        /// The request.
        body: Bytes,
    },
    /// Cancel an attempt; no event about it is expected any more.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Stop reading an attempt's answer for now.
    Pause {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Read an attempt's answer again.
    Resume {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Deliver a part of the answer to the client.
    ResponsePart {
        /// The call.
        call: CallId,
        /// The front end's token.
        front: u64,
        /// The part.
        payload: Bytes,
    },
    /// Give the client its final answer. No command of the call follows.
    Answer {
        /// The call.
        call: CallId,
        /// The front end's token.
        front: u64,
        /// The answer.
        answer: FinalAnswer,
    },
    /// Order replicas; answered by [`crate::Event::LoadEnded`].
    Load {
        /// The order.
        request_id: ControlRequestId,
        /// The worker.
        worker: WorkerId,
        /// The model's name.
        model: Arc<str>,
        /// The model's version.
        version: Arc<str>,
        /// Replicas wanted.
        copies: u32,
    },
    /// Unload idle replicas. No answer is expected.
    Unload {
        /// The worker.
        worker: WorkerId,
        /// The model's name.
        model: Arc<str>,
        /// The model's version.
        version: Arc<str>,
    },
    /// Send a health check; answered by [`crate::Event::ProbeEnded`].
    Probe {
        /// The health check.
        request_id: ControlRequestId,
        /// The worker.
        worker: WorkerId,
    },
    /// A control request timed out; no event about it is expected any more.
    ForgetControlRequest {
        /// The control request.
        request_id: ControlRequestId,
    },
    /// A load order is not needed any more: where it has not been sent, it is answered by
    /// [`crate::Event::LoadEnded`] with [`crate::AttemptEnd::Cancelled`]; where it has, it continues.
    CancelLoad {
        /// The order.
        request_id: ControlRequestId,
    },
    /// Stop waiting for an attempt that can't be cancelled: nothing is sent to the worker.
    Abandon {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Subscribe to the worker list.
    WatchList,
    /// Fetch the complete worker list once.
    FetchList,
    /// A message of the decision module for the log.
    Log(String),
}
