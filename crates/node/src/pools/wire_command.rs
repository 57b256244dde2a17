//! Commands to invokers, and their bytes: an attempt states the time that is left when they are made.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nettleferry_engine::{AttemptId, CallId};
use nettleferry_platform::resp;

use super::pending::PendingResponse;
use crate::guard::WriteCheck;

/// Half of a millisecond, in microseconds.
const HALF_MILLISECOND: u64 = 500;

/// What an attempt sends.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Which.
    pub id: AttemptId,
    /// The call's id as the client gave it.
    pub call_id: Arc<str>,
    /// The class.
    pub class: Arc<str>,
    /// The function.
    pub function: Arc<str>,
    /// The idempotency key, where the client gave one.
    pub key: Option<Arc<str>>,
    /// Until when its client waits.
    pub deadline: Instant,
    /// Until when it may be written, where retries of what may have run are dropped for a limited time.
    pub send_by: Option<Instant>,
    /// The body.
    pub body: Bytes,
}

impl Attempt {
    fn write(&self, out: &mut Vec<u8>, now: Instant) {
        let left = self.deadline.saturating_duration_since(now);
        // To the nearest: the way from the engine to here takes some microseconds.
        let patience_ms = (left.as_micros() as u64 + HALF_MILLISECOND) / 1000;
        let key = self.key.as_deref();
        resp::call(out, &self.call_id, &self.class, &self.function, key, patience_ms, &self.body);
    }
}

/// A command whose response is awaited.
pub(super) struct OutboundRequest {
    /// Its id on the wire.
    pub(super) tag: String,
    pub(super) response: PendingResponse,
    pub(super) command: WireCommand,
}

/// A command that is to be written: an attempt states the time that is left as of that moment.
pub(super) enum WireCommand {
    Attempt(Attempt),
    Control(Vec<u8>),
}

impl WireCommand {
    /// Its bytes, if it is written now.
    pub(super) fn write(&self, out: &mut Vec<u8>, now: Instant) {
        out.clear();
        match self {
            Self::Attempt(attempt) => attempt.write(out, now),
            Self::Control(bytes) => out.extend_from_slice(bytes),
        }
    }

    /// What is to be checked when it is written to a worker that is in service or not; `None` for control requests.
    pub(super) fn write_check(
        &self,
        awaited: impl Fn(CallId) -> bool,
        in_service: bool,
    ) -> Option<WriteCheck> {
        let Self::Attempt(attempt) = self else { return None };
        let awaited = awaited(attempt.id.call);
        Some(WriteCheck { awaited, in_service, deadline: attempt.deadline, send_by: attempt.send_by })
    }

    /// Whether its deadline has passed, or a retry would not be dropped any more.
    pub(super) fn is_expired(&self, now: Instant) -> bool {
        let expired = |attempt: &Attempt| {
            attempt.deadline <= now || attempt.send_by.is_some_and(|send_by| send_by <= now)
        };
        matches!(self, Self::Attempt(attempt) if expired(attempt))
    }
}
