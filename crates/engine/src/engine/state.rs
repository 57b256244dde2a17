//! Records of open calls, attempts in flight and outstanding control requests.

use bytes::Bytes;
use nettleferry::{ClassId, FunctionId, Micros, TenantId, WorkerId};

use crate::ids::{AttemptId, CallId};
use crate::outcome::AttemptEnd;

/// A call that has no final answer yet.
pub(super) struct Call {
    pub(super) front_token: u64,
    pub(super) class: ClassId,
    pub(super) tenant: Option<TenantId>,
    pub(super) group: u32,
    pub(super) arrived_at: Micros,
    pub(super) function: FunctionId,
    pub(super) streamed: bool,
    pub(super) body: Bytes,
    /// Latest time for the final answer: the client's deadline less [`crate::EngineLimits::answer_margin`].
    pub(super) answer_due: Micros,
    /// Number of attempts started so far.
    pub(super) attempts: u32,
    /// Whether a part of the answer was delivered, after which the call can't be retried.
    pub(super) started: bool,
    /// Whether the client has stopped reading its answer.
    pub(super) slow: bool,
    /// How the call's last attempt ended; `None` before the first end. Part of the message if the call fails.
    pub(super) last_end: Option<AttemptEnd>,
    /// Whether an attempt ended without proof that it never ran.
    pub(super) may_have_run: bool,
}

/// An attempt in flight, whose call is open unless the attempt is an orphan.
pub(super) struct InFlightAttempt {
    pub(super) front_token: u64,
    pub(super) worker: WorkerId,
    pub(super) sent_at: Micros,
    pub(super) times_out_at: Option<Micros>,
    /// A part of the answer that is not delivered until the attempt has ended successfully.
    pub(super) held_back: Option<Bytes>,
    /// Whether the call has ended while the settings forbid cancellation. The attempt then occupies the worker until
    /// the worker answers, and the answer is dropped.
    pub(super) orphan: bool,
}

/// An outstanding load order or health check.
pub(super) struct ControlRequest {
    pub(super) worker: WorkerId,
    /// The function of a load order; `None` for a health check.
    pub(super) function: Option<FunctionId>,
    pub(super) sent_at: Micros,
    pub(super) times_out_at: Micros,
}

/// The range of ids that covers all attempts of a call, for lookups in an ordered map.
pub(super) fn attempts_of(call: CallId) -> std::ops::RangeInclusive<AttemptId> {
    AttemptId { call, number: 0 }..=AttemptId { call, number: u32::MAX }
}
