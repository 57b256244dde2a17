//! Construction of final answers.

use crate::commands::{Cause, FinalAnswer, Refusal};
use crate::measurements::CallOutcome;
use crate::outcome::AttemptEnd;

/// The answer of a call that failed. `last_end` is the end of its last attempt; `past_deadline` is whether the final
/// answer is due.
pub(super) fn failure(last_end: &AttemptEnd, past_deadline: bool) -> FinalAnswer {
    let cause = match last_end {
        _ if past_deadline => Cause::Deadline,
        AttemptEnd::TimedOut => Cause::Deadline,
        AttemptEnd::Status { .. } => Cause::Internal,
        _ => Cause::Aborted,
    };
    let message = if cause == Cause::Deadline {
        "the deadline came before an answer; the call may have run".to_owned()
    } else {
        format!("{last_end}; the call may have run")
    };
    FinalAnswer::Failed { cause, message }
}

/// The answer of a call that is ended before a worker has served it: a failure if an attempt may have run, a refusal
/// with `reason` otherwise. The failure's message starts with `explanation`.
pub(super) fn unserved(may_have_run: bool, reason: Refusal, explanation: &str) -> FinalAnswer {
    if may_have_run {
        let message = format!("{explanation}; the call may have run");
        FinalAnswer::Failed { cause: Cause::Aborted, message }
    } else {
        FinalAnswer::Refused { reason, retry_after: None }
    }
}

/// The answer of a call that would exceed [`crate::EngineLimits::open_calls`] or [`crate::EngineLimits::models`].
pub(super) fn too_many_open() -> FinalAnswer {
    FinalAnswer::Refused { reason: Refusal::TooManyOpen, retry_after: None }
}

/// The answer of a call that arrived too late to be answered before its deadline.
pub(super) fn no_time_left() -> FinalAnswer {
    let message = "no time was left when the call came".to_owned();
    FinalAnswer::Failed { cause: Cause::Deadline, message }
}

/// The variant of a final answer, as reported in measurements.
pub(super) fn call_outcome(answer: &FinalAnswer) -> CallOutcome {
    match answer {
        FinalAnswer::Served { .. } => CallOutcome::Served,
        FinalAnswer::Rejected { .. } => CallOutcome::Rejected,
        FinalAnswer::Refused { .. } => CallOutcome::Refused,
        FinalAnswer::Failed { .. } => CallOutcome::Failed,
    }
}
