//! A client's request on its way to the engine, and what is known of it until it is answered.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nettleferry::{ClassId, TenantId};
use nettleferry_engine::{CallId, ClientDisconnect};
use nettleferry_net::tcp::TcpKey;

use crate::attempt_history::AttemptHistory;
use crate::reasons::RetryReason;

/// The front's number of an open request, unique within one run of the process. The engine returns it with its commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// A valid request that is to be opened at the engine.
pub struct IncomingRequest {
    /// Its token.
    pub token: RequestToken,
    /// Its class.
    pub class: ClassId,
    /// Its function.
    pub function: Arc<str>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// The client states that it is a retry.
    pub repeat: bool,
    /// Expected execution time, microseconds.
    pub cost_hint: Option<u64>,
    /// The earliest moment at which its last byte can have arrived.
    pub arrived: Instant,
    /// Time until the client gives up, microseconds, as of its arrival.
    pub time_left: u64,
    /// Requests that one replica runs at the same time.
    pub lanes: u32,
    /// Usual time of a load, microseconds.
    pub load_time: Option<u64>,
    /// Its body.
    pub body: Bytes,
}

/// What clients did.
pub enum ClientEvent {
    /// A request arrived.
    Request(IncomingRequest),
    /// A client cancelled its request, or its side of the connection has ended.
    Disconnected(ClientDisconnect),
}

impl ClientEvent {
    /// The client of this call does not wait any more: it gets no answer.
    pub(super) fn cancelled(call: CallId) -> Self {
        Self::Disconnected(ClientDisconnect { call, expects_answer: false })
    }
}

/// Where a request came from.
#[derive(Clone, Copy)]
pub(super) struct RequestOrigin {
    pub(super) connection: TcpKey,
    pub(super) stream: u32,
    /// The earliest moment at which its last byte can have arrived.
    pub(super) arrived: Instant,
}

/// A request without its final answer.
pub struct Call {
    pub(super) connection: TcpKey,
    pub(super) stream: u32,
    pub(super) id: u64,
    pub(super) body_bytes: usize,
    /// The engine's number, once it is opened there.
    pub(super) engine_id: Option<CallId>,
    /// Its id as the client gave it.
    pub name: Arc<str>,
    /// Its class.
    pub class: ClassId,
    /// Its function.
    pub function: Arc<str>,
    /// Its idempotency key.
    pub key: Option<Arc<str>>,
    /// Until when its client waits, and no longer than this process has.
    pub deadline: Instant,
    /// Its attempts.
    pub attempts: AttemptHistory,
    /// How its last attempt ended.
    pub last_end: Option<RetryReason>,
}
