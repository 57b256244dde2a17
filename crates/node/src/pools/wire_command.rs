//! Commands to invokers and their encoding. An attempt is encoded right before it is written, as it states
//! the time left.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nettleferry_engine::{AttemptId, CallId};
use nettleferry_platform::resp;

use super::pending::PendingResponse;
use crate::guard::WriteCheck;

/// Added before a division by 1000, to round microseconds to the nearest millisecond.
const HALF_MILLISECOND: u64 = 500;

/// The content of an attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The engine's id of the attempt.
    pub id: AttemptId,
    /// The request's id as the client stated it.
    pub call_id: Arc<str>,
    /// Name of the class.
    pub class: Arc<str>,
    /// Name of the function.
    pub function: Arc<str>,
    /// The idempotency key, if the client stated one.
    pub key: Option<Arc<str>>,
    /// Deadline of the request, at which its client stops waiting.
    pub deadline: Instant,
    /// For a retry of a request that may have run: until when it may be written, if invokers drop duplicates
    /// for a limited time.
    pub send_by: Option<Instant>,
    /// Body of the request.
    pub body: Bytes,
}

impl Attempt {
    fn write(&self, out: &mut Vec<u8>, now: Instant) {
        let left = self.deadline.saturating_duration_since(now);
        // Rounded to the nearest millisecond: some microseconds have passed since the engine started the
        // attempt.
        let patience_ms = (left.as_micros() as u64 + HALF_MILLISECOND) / 1000;
        let key = self.key.as_deref();
        resp::call(out, &self.call_id, &self.class, &self.function, key, patience_ms, &self.body);
    }
}

/// A command that expects a response.
pub(super) struct OutboundRequest {
    /// The request's id on the wire.
    pub(super) tag: String,
    pub(super) response: PendingResponse,
    pub(super) command: WireCommand,
}

/// A command to be written. An attempt is encoded when it is written; control requests are encoded in
/// advance.
pub(super) enum WireCommand {
    Attempt(Attempt),
    Control(Vec<u8>),
}

impl WireCommand {
    /// Replaces the content of `out` with the encoded command, as of `now`.
    pub(super) fn write(&self, out: &mut Vec<u8>, now: Instant) {
        out.clear();
        match self {
            Self::Attempt(attempt) => attempt.write(out, now),
            Self::Control(bytes) => out.extend_from_slice(bytes),
        }
    }

    /// Returns the invariants to check before the command is written; `None` for control requests. `awaited`:
    /// whether a client waits for a call; `in_service`: whether the worker is in service.
    pub(super) fn write_check(
        &self,
        awaited: impl Fn(CallId) -> bool,
        in_service: bool,
    ) -> Option<WriteCheck> {
        let Self::Attempt(attempt) = self else { return None };
        let awaited = awaited(attempt.id.call);
        Some(WriteCheck { awaited, in_service, deadline: attempt.deadline, send_by: attempt.send_by })
    }

    /// The function of an attempt; `None` for control requests.
    pub(super) fn function(&self) -> Option<&Arc<str>> {
        match self {
            Self::Attempt(attempt) => Some(&attempt.function),
            Self::Control(_) => None,
        }
    }

    /// Whether this is an attempt whose deadline, or time limit for retries, has passed.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let expired = |attempt: &Attempt| {
            attempt.deadline <= now || attempt.send_by.is_some_and(|send_by| send_by <= now)
        };
        matches!(self, Self::Attempt(attempt) if expired(attempt))
    }
}
