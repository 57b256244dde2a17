//! Final answers as they follow from what is known of a call.

use crate::commands::{Cause, FinalAnswer, Refusal};
use crate::measurements::CallOutcome;
use crate::outcome::AttemptEnd;

/// The answer of a failed call whose last attempt ended so. `past_deadline`: its answer is due.
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

/// The answer of a call that ends before a worker has served it: a refusal only where no attempt can have run.
/// `explanation` begins the message of a failure.
pub(super) fn unserved(may_have_run: bool, reason: Refusal, explanation: &str) -> FinalAnswer {
    if may_have_run {
        let message = format!("{explanation}; the call may have run");
        FinalAnswer::Failed { cause: Cause::Aborted, message }
    } else {
        FinalAnswer::Refused { reason, retry_after: None }
    }
}

/// The answer of a call for which the engine has no place.
pub(super) fn too_many_open() -> FinalAnswer {
    FinalAnswer::Refused { reason: Refusal::TooManyOpen, retry_after: None }
}

/// The answer of a call that arrived with no time left.
pub(super) fn no_time_left() -> FinalAnswer {
    let message = "no time was left when the call came".to_owned();
    FinalAnswer::Failed { cause: Cause::Deadline, message }
}

/// The kind of a final answer.
pub(super) fn call_outcome(answer: &FinalAnswer) -> CallOutcome {
    match answer {
        FinalAnswer::Served { .. } => CallOutcome::Served,
        FinalAnswer::Rejected { .. } => CallOutcome::Rejected,
        FinalAnswer::Refused { .. } => CallOutcome::Refused,
        FinalAnswer::Failed { .. } => CallOutcome::Failed,
    }
}
