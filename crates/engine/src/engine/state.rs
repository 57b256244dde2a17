//! What the engine remembers of each open call, attempt and control request.

use bytes::Bytes;
use nettleferry::{ClassId, FunctionId, Micros, TenantId, WorkerId};

use crate::ids::{AttemptId, CallId};
use crate::outcome::AttemptEnd;

/// A call without its final answer.
pub(super) struct Call {
    pub(super) front: u64,
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) group: u32,
    pub(super) arrived_at: Micros,
    pub(super) function: FunctionId,
    pub(super) streamed: bool,
    pub(super) body: Bytes,
    /// When its final answer is due at the latest.
    pub(super) answer_due: Micros,
    /// Attempts started so far.
    pub(super) attempts: u32,
    /// A part was delivered: the call can't be retried any more.
    pub(super) started: bool,
    /// Its client does not read.
    pub(super) slow: bool,
    /// How its last attempt ended: the message of a failure tells it.
    pub(super) last_end: Option<AttemptEnd>,
    /// An attempt ended without proof that it never ran.
    pub(super) may_have_run: bool,
}

/// An attempt without its end.
pub(super) struct InFlightAttempt {
    pub(super) front: u64,
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    pub(super) times_out_at: Option<Micros>,
    /// A part that is not delivered until the end is certain.
    pub(super) held_back: Option<Bytes>,
    /// Its call has ended, and the settings allow no cancellation: it occupies the worker until its answer, which
    /// nobody gets.
    pub(super) orphan: bool,
}

/// A load order or a health check without its end.
pub(super) struct ControlRequest {
    pub(super) worker: WorkerId,
    /// The function of a load order; a health check has none.
    pub(super) function: Option<FunctionId>,
    pub(super) sent_at: Micros,
    pub(super) times_out_at: Micros,
}

/// All attempts that a call can have, as a range of an ordered map.
pub(super) fn attempts_of(call: CallId) -> std::ops::RangeInclusive<AttemptId> {
    AttemptId { call, number: 0 }..=AttemptId { call, number: u32::MAX }
}
