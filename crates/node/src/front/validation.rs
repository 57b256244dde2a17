//! Validates requests from clients and registers them as open calls.

use std::num::ParseIntError;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use nettleferry::{ClassId, TenantId};
use nettleferry_engine::identifies_request;
use nettleferry_net::tcp::TcpKey;
use nettleferry_platform::frames::Code;
use nettleferry_platform::request::{Request, RequestError};
use tracing::debug;

use super::Front;
use super::call::{Call, IncomingRequest, RequestOrigin, RequestToken};
use crate::attempt_history::AttemptHistory;
use crate::limits::{CALL_BYTES, CALLS_WHEN_SHORT, Counters, MAX_TTL_FACTOR};

/// Why a request is rejected. The text is sent to the client as the answer.
#[derive(Debug, thiserror::Error)]
pub(super) enum RequestRejected {
    #[error(transparent)]
    Unreadable(#[from] RequestError),
    #[error("there is no such class")]
    UnknownClass,
    #[error("its class or key can't be named to an invoker")]
    NotForwardable,
    #[error("ttl is far longer than the class's deadline")]
    TtlTooLong,
    #[error(transparent)]
    InvalidId(#[from] ParseIntError),
    #[error("this id is open already")]
    DuplicateId,
    #[error("a request with this id may have run")]
    UsedId,
    #[error("there is no such tenant")]
    UnknownTenant,
    #[error("too many bytes are held")]
    TooManyBytes,
    #[error("too many requests are open")]
    TooManyOpen,
}

impl RequestRejected {
    /// The code of the answer. An id that is open or was used is not refused: the first request with it may run, and a
    /// refusal would state that a retry is harmless.
    pub(super) fn code(&self) -> Code {
        match self {
            Self::TooManyBytes | Self::TooManyOpen => Code::Refused,
            _ => Code::Failed,
        }
    }

    /// Whether the client sent something unusable. A request that a limit of the node keeps out is usable.
    pub(super) fn is_client_fault(&self) -> bool {
        match self {
            Self::TooManyBytes | Self::TooManyOpen => false,
            Self::Unreadable(_)
            | Self::UnknownClass
            | Self::NotForwardable
            | Self::TtlTooLong
            | Self::InvalidId(_)
            | Self::DuplicateId
            | Self::UsedId
            | Self::UnknownTenant => true,
        }
    }

    fn count(&self, counters: &mut Counters) {
        match self {
            Self::DuplicateId => counters.ids_open += 1,
            Self::UsedId => counters.ids_used += 1,
            Self::TooManyBytes => counters.over_bodies += 1,
            Self::TooManyOpen => counters.over_calls += 1,
            _ => counters.bad_requests += 1,
        }
    }
}

/// The values of a request that were derived by validation.
struct ValidRequest {
    class: ClassId,
    tenant: Option<TenantId>,
    id: u64,
    /// Time to live, limited to the deadline of the class, milliseconds.
    ttl_ms: f64,
    /// What the request adds to the memory of the open requests beside its body, bytes.
    call_bytes: usize,
}

impl Front {
    /// Parses and validates a request, and registers it as an open call. Counts it if it is rejected.
    pub(super) fn accept_request(
        &mut self,
        origin: RequestOrigin,
        payload: &[u8],
        counters: &mut Counters,
    ) -> Result<IncomingRequest, RequestRejected> {
        let checked = Request::parse(payload).map_err(RequestRejected::from);
        let checked = checked.and_then(|request| Ok((self.validate(origin, &request, counters)?, request)));
        match checked {
            Ok((valid, request)) => Ok(self.register(origin, &valid, &request)),
            Err(rejected) => {
                rejected.count(counters);
                Err(rejected)
            }
        }
    }

    fn validate(
        &self,
        origin: RequestOrigin,
        request: &Request,
        counters: &mut Counters,
    ) -> Result<ValidRequest, RequestRejected> {
        let class = self.classes.get(request.class).copied().ok_or(RequestRejected::UnknownClass)?;
        if !is_plain(request.class) || !request.idempotency_key.is_none_or(is_plain) {
            return Err(RequestRejected::NotForwardable);
        }
        // A client counts its time by its own clock, and may state slightly more than the deadline of its
        // class.
        let deadline = self.deadlines.get(class.0).copied().unwrap_or(0.0);
        if request.timeout_ms > deadline * MAX_TTL_FACTOR {
            return Err(RequestRejected::TtlTooLong);
        }
        counters.over_deadline += u64::from(request.timeout_ms > deadline);
        let id = u64::from_str_radix(request.id, 16)?;
        if self.ids.contains(&id) {
            return Err(RequestRejected::DuplicateId);
        }
        if self.finished_ids.contains(id) {
            return Err(RequestRejected::UsedId);
        }
        let tenant = self.tenant_of(request)?;
        if self.body_bytes + request.body.len() > self.bounds.body_bytes {
            return Err(RequestRejected::TooManyBytes);
        }
        let call_bytes = CALL_BYTES + request.idempotency_key.map_or(0, str::len);
        if self.call_bytes + call_bytes > self.max_call_bytes(origin.connection) {
            return Err(RequestRejected::TooManyOpen);
        }
        Ok(ValidRequest { class, tenant, id, ttl_ms: request.timeout_ms.min(deadline), call_bytes })
    }

    /// The memory that all open requests may have taken for a connection to open one more: a connection with many
    /// open requests leaves the last quarter to others.
    fn max_call_bytes(&self, connection: TcpKey) -> usize {
        let open = self.clients.get(&connection).map_or(0, |client| client.streams.len());
        let all = self.bounds.call_bytes;
        if open < CALLS_WHEN_SHORT { all } else { all - all / 4 }
    }

    /// Returns the tenant of a request, if the settings have tenants. A tenant that they don't name is
    /// rejected.
    fn tenant_of(&self, request: &Request) -> Result<Option<TenantId>, RequestRejected> {
        let Some(org) = request.tenant.filter(|_| !self.tenants.is_empty()) else { return Ok(None) };
        let tenant = self.tenants.get(org).copied();
        tenant.map(Some).ok_or(RequestRejected::UnknownTenant)
    }

    fn register(
        &mut self,
        origin: RequestOrigin,
        valid: &ValidRequest,
        request: &Request,
    ) -> IncomingRequest {
        let RequestOrigin { connection, stream, arrived } = origin;
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        debug!(
            conn = ?connection,
            stream,
            waited = ?arrived.elapsed(),
            id = request.id,
            op = request.class,
            function = request.function,
            ttl = request.timeout_ms,
            bytes = request.body.len(),
            "request accepted"
        );
        self.ids.insert(valid.id);
        self.body_bytes += request.body.len();
        self.call_bytes += valid.call_bytes;
        let function: Arc<str> = request.function.into();
        let time_left = microseconds(valid.ttl_ms);
        let call = Call {
            connection,
            stream,
            id: valid.id,
            body_bytes: request.body.len(),
            call_bytes: valid.call_bytes,
            engine_id: None,
            call_id: request.id.into(),
            class: valid.class,
            function: Arc::clone(&function),
            key: request.idempotency_key.map(Arc::from),
            deadline: arrived + Duration::from_micros(time_left),
            attempts: AttemptHistory::default(),
            last_end: None,
        };
        self.calls.insert(token, call);
        if let Some(client) = self.clients.get_mut(&connection) {
            client.streams.insert(stream, token);
        }
        IncomingRequest {
            token,
            connection,
            class: valid.class,
            function,
            tenant: valid.tenant,
            is_retry: request.is_retry,
            has_idempotency_key: request.idempotency_key.is_some_and(identifies_request),
            cost_hint: request.service_time_ms.map(microseconds),
            arrived,
            time_left,
            lanes: request.lanes.unwrap_or(1),
            load_time: request.load_ms.map(microseconds),
            body: Bytes::copy_from_slice(request.body),
        }
    }
}

/// Whether a text can be forwarded as a field value. One that contains a field separator would be parsed as
/// other fields, for which invokers close the connection.
fn is_plain(text: &str) -> bool {
    !text.contains([',', '='])
}

fn microseconds(milliseconds: f64) -> u64 {
    (milliseconds * 1000.0) as u64
}
