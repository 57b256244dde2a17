//! A client's request as it is passed to the engine, and its state until it is answered.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nettleferry::{ClassId, Effect, TenantId};
use nettleferry_engine::{CallId, ClientDisconnect, identifies_request};
use nettleferry_net::tcp::TcpKey;

use crate::attempt_history::AttemptHistory;
use crate::reasons::RetryReason;

/// Identifies an open request, uniquely within one run of the process. The engine returns it with the final
/// answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// A valid request that is to be opened at the engine.
pub struct IncomingRequest {
    /// The token of the request.
    pub token: RequestToken,
    /// The connection that it arrived on.
    pub connection: TcpKey,
    /// The class, by its position in the settings.
    pub class: ClassId,
    /// Name of the function to run.
    pub function: Arc<str>,
    /// The tenant, if the request states one and the settings have tenants.
    pub tenant: Option<TenantId>,
    /// The client states that this is a retry.
    pub is_retry: bool,
    /// The request carries an idempotency key, by which invokers recognise its repeats.
    pub has_idempotency_key: bool,
    /// Expected execution time, microseconds.
    pub cost_hint: Option<u64>,
    /// The earliest time at which the last byte of the request may have arrived.
    pub arrived: Instant,
    /// Time from arrival until the client stops waiting, at most the deadline of the class, microseconds.
    pub time_left: u64,
    /// Number of requests that one replica of the function runs at the same time; 1 if the request states
    /// none.
    pub lanes: u32,
    /// Expected time to load the function, microseconds.
    pub load_time: Option<u64>,
    /// Body of the request, which is forwarded unchanged.
    pub body: Bytes,
}

/// An event from a client that the node passes to the engine.
pub enum ClientEvent {
    /// A valid request arrived.
    Request(IncomingRequest),
    /// A client cancelled its request or disconnected.
    Disconnected(ClientDisconnect),
}

impl ClientEvent {
    /// The event that a client does not wait for this call any more and gets no answer.
    pub(super) fn cancelled(call: CallId) -> Self {
        Self::Disconnected(ClientDisconnect { call, expects_answer: false })
    }
}

/// The connection and stream of a request, and the time of its arrival.
#[derive(Clone, Copy)]
pub(super) struct RequestOrigin {
    pub(super) connection: TcpKey,
    pub(super) stream: u32,
    /// The earliest time at which the last byte of the request may have arrived.
    pub(super) arrived: Instant,
}

/// The state of a request that has no final answer yet.
pub struct Call {
    pub(super) connection: TcpKey,
    pub(super) stream: u32,
    /// The numeric value of `call_id`.
    pub(super) id: u64,
    pub(super) body_bytes: usize,
    /// Memory of the request beside its body, as counted by [`crate::limits::Bounds::call_bytes`].
    pub(super) call_bytes: usize,
    /// The engine's call id, once the request is opened there.
    pub(super) engine_id: Option<CallId>,
    /// The request's id as the client stated it.
    pub call_id: Arc<str>,
    /// The class, by its position in the settings.
    pub class: ClassId,
    /// Name of the function to run.
    pub function: Arc<str>,
    /// The idempotency key, if the client stated one.
    pub key: Option<Arc<str>>,
    /// Time at which the client stops waiting; during shutdown at most the time by which this process must
    /// answer.
    pub deadline: Instant,
    /// The attempts of the request so far.
    pub attempts: AttemptHistory,
    /// The end of the last attempt that has ended; `None` before the first end.
    pub last_end: Option<RetryReason>,
}

impl Call {
    /// Whether this request may run more than once, given the effect of its class.
    pub fn effect(&self, class_effect: Effect) -> Effect {
        class_effect.of_request(self.key.as_deref().is_some_and(identifies_request))
    }
}
