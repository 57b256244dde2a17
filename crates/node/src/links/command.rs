//! Commands as they leave: an attempt tells the time that is left when it does.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use nettleferry_engine::{AttemptId, CallId};
use nettleferry_platform::resp;

use super::link::Owed;
use crate::guard::Leaving;

/// What an attempt sends.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Which.
    pub id: AttemptId,
    /// The call's id as the client gave it.
    pub name: Arc<str>,
    /// The class.
    pub sort: Arc<str>,
    /// The function.
    pub asset: Arc<str>,
    /// The key by which repeats are dropped, where the client gave one.
    pub key: Option<Arc<str>>,
    /// Until when we wait.
    pub until: Instant,
    /// Until when it may leave, where repeats of what may have run are dropped for a while only.
    pub leave_by: Option<Instant>,
    /// The body.
    pub body: Bytes,
}

impl Attempt {
    fn write(&self, out: &mut Vec<u8>, now: Instant) {
        let left = self.until.saturating_duration_since(now);
        // To the nearest: the way from the engine to here takes some microseconds.
        let patience_ms = (left.as_micros() as u64 + 500) / 1000;
        resp::call(out, &self.name, &self.sort, &self.asset, self.key.as_deref(), patience_ms, &self.body);
    }
}

/// A command to a worker, whose answer is awaited.
pub(super) struct Outbound {
    /// Its id on the wire.
    pub(super) tag: String,
    pub(super) owed: Owed,
    pub(super) command: Outgoing,
}

/// A command as it is to leave: how long we wait is told as of the moment in which it leaves.
pub(super) enum Outgoing {
    Call(Attempt),
    Other(Vec<u8>),
}

impl Outgoing {
    /// Its bytes, as it leaves now.
    pub(super) fn write(&self, out: &mut Vec<u8>, now: Instant) {
        out.clear();
        match self {
            Self::Call(call) => call.write(out, now),
            Self::Other(bytes) => out.extend_from_slice(bytes),
        }
    }

    /// A request that is handed on now, to a worker that takes something new or not.
    pub(super) fn leaving(&self, awaited: impl Fn(CallId) -> bool, in_service: bool) -> Option<Leaving> {
        let Self::Call(call) = self else { return None };
        let awaited = awaited(call.id.call);
        Some(Leaving { awaited, in_service, until: call.until, leave_by: call.leave_by })
    }

    /// Its time is over, or a repeat of it would not be dropped any more.
    pub(super) fn late(&self, now: Instant) -> bool {
        let over = |call: &Attempt| call.until <= now || call.leave_by.is_some_and(|by| by <= now);
        matches!(self, Self::Call(call) if over(call))
    }
}
