//! Decides whether a call is retried, and sends final answers.
//!
//! The worker is chosen in `placement`. Guards:
//!
//! * of the calls that may have executed, those with an idempotency key are repeated only where and while
//!   workers drop duplicates, and non-idempotent ones never (effects that happen twice);
//! * a call of a keyed class without a key is non-idempotent: no worker recognises its repeat;
//! * each call gets exactly one answer, in time (calls without an answer);
//! * a call is refused only if the client may safely retry it, with a key while all workers remember it.

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{AttemptId, Call, Timer, TimerKind, Worker};

impl Effect {
    /// The effect of one request of a class with this effect. Workers recognise a repeat by its idempotency
    /// key, so a request without one must not be executed twice.
    pub fn of_request(self, has_idempotency_key: bool) -> Self {
        match self {
            Self::IdempotencyKey { .. } if !has_idempotency_key => Self::NonIdempotent,
            effect => effect,
        }
    }
}

impl Controller {
    /// Whether the call may be sent to this worker, given where it may already have executed.
    pub(super) fn idempotency_permits(&self, call: &Call, worker: &Worker) -> bool {
        let Some(first) = call.first_run else { return true };
        let first = self.workers.get(&first.worker).map(|w| &w.entry);
        let in_scope = match call.effect {
            Effect::IdempotencyKey { scope: KeyScope::Zone, .. } => {
                first.is_some_and(|first| first.zone == worker.entry.zone)
            }
            Effect::IdempotencyKey { scope: KeyScope::Cell, .. } => {
                first.is_some_and(|first| first.cell == worker.entry.cell)
            }
            _ => true,
        };
        in_scope && self.may_repeat(call)
    }

    /// Whether the call may be sent again after an attempt that may have executed. The key window is
    /// shortened by one event interval, as it may end before the attempt arrives.
    pub(super) fn may_repeat(&self, call: &Call) -> bool {
        let Some(first) = call.first_run else { return true };
        match call.effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey { window, .. } => {
                self.now + self.settings.event_interval < first.sent + window
            }
        }
    }

    /// Retries the call if its effect and the attempt limit permit it, otherwise sends its final answer.
    pub(super) fn retry_or_answer(&mut self, id: RequestId, outcome: Outcome) {
        let Some(call) = self.calls.get(&id) else { return };
        let no_attempt_left =
            call.attempts >= self.settings.limits.max_attempts || outcome == Outcome::NeverSent;
        if no_attempt_left || !self.may_repeat(call) || self.now >= call.answer_by {
            self.send_final_answer(id);
        } else {
            self.dispatch(id);
        }
    }

    /// The time at which the first attempt that may have executed, or may still execute, was sent.
    fn first_possible_run(&self, id: RequestId, call: &Call) -> Option<Micros> {
        let in_flight = || {
            let attempt = AttemptId { request: id, number: call.in_flight? };
            Some(self.attempts.get(&attempt).map_or(call.arrived, |attempt| attempt.sent))
        };
        call.first_run.map(|first| first.sent).or_else(in_flight)
    }

    /// Whether a retry of an open request by its client is harmless, as of the last event. `false` if the
    /// request is unknown.
    pub fn client_may_retry(&self, request: RequestId) -> bool {
        self.calls.get(&request).is_some_and(|call| self.client_may_retry_call(request, call))
    }

    /// Whether a retry by the client is harmless. It may reach any worker, up to the longest retry advice
    /// later, so a call with an idempotency key needs one that all workers then still recognise.
    fn client_may_retry_call(&self, id: RequestId, call: &Call) -> bool {
        let Some(sent) = self.first_possible_run(id, call) else { return true };
        match call.effect {
            Effect::Idempotent => true,
            Effect::IdempotencyKey { scope: KeyScope::All, window } => {
                let longest_advice = self.settings.limits.retry_after.unwrap_or(0);
                self.now + self.settings.event_interval + longest_advice < sent + window
            }
            _ => false,
        }
    }

    /// Sends the final answer to an unserved call: a refusal if the client may safely retry, otherwise a
    /// failure.
    pub(super) fn send_final_answer(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        self.actions.push(if self.client_may_retry_call(id, call) {
            Action::Refuse { request: id, retry_after: None }
        } else {
            Action::Fail { request: id }
        });
        // With a single attempt permitted, a miss ends the call and orders a replica for later calls; that
        // order must not be cancelled.
        if self.settings.limits.max_attempts > 1 {
            self.close_call_and_cancel_loads(id);
        } else {
            self.close_call(id);
        }
    }

    /// Ends a call and cancels its attempt in flight if that is permitted.
    fn close_call(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(attempt) = call.in_flight.filter(|_| self.settings.limits.cancel && !call.streaming) {
            self.actions.push(Action::Cancel { request: id, attempt });
        }
        self.finish_call(id);
    }

    /// Ends a call that needs no response any more: the client disconnected, or the final answer was sent. If
    /// no call of the function is then held and no attempt in flight, its load orders are cancelled unless
    /// they have already been sent.
    pub(super) fn close_call_and_cancel_loads(&mut self, id: RequestId) {
        let Some(function) = self.calls.get(&id).map(|call| call.function) else { return };
        self.close_call(id);
        let state = self.functions.get(&function);
        if let Some(state) = state.filter(|f| f.held_calls.is_empty() && f.in_flight.is_empty()) {
            let workers = state.pending_loads.keys();
            self.actions.extend(workers.map(|worker| Action::CancelLoad { worker: *worker, function }));
        }
    }

    /// Removes the call from the state, the hold queue and the answer timers. An attempt in flight is kept
    /// until it ends.
    pub(super) fn finish_call(&mut self, id: RequestId) {
        self.dequeue_held(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.remove(&Timer { at: call.answer_by, kind: TimerKind::AnswerDeadline(id) });
        }
    }
}
