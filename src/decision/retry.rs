//! Decides whether a call gets a further attempt, where its effect permits one, and its final answer.
//!
//! Leaves the worker to `placement`. Guards: keyed and non-idempotent calls that may have run stay where,
//! and while, a repeat is dropped (an effect that happens twice); a call is answered once, in time
//! (silence), refused only where another try is harmless.

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Timer, TimerKind, Worker};

impl Controller {
    /// May the call go to this worker, given where it may have run?
    pub(super) fn idempotency_permits(&self, call: &Call, worker: &Worker) -> bool {
        let Some(first) = call.first_run else { return true };
        let first = self.workers.get(&first.worker).map(|w| &w.entry);
        let in_scope = match self.settings.classes[call.class].effect {
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

    /// May this call be sent again, given what may have run? A window's last step may be over when it counts.
    pub(super) fn may_repeat(&self, call: &Call) -> bool {
        let Some(first) = call.first_run else { return true };
        match self.settings.classes[call.class].effect {
            Effect::Idempotent => true,
            Effect::NonIdempotent => false,
            Effect::IdempotencyKey { window, .. } => {
                self.now + self.settings.event_interval < first.sent + window
            }
        }
    }

    /// Another attempt if the effect and the count permit, else the final answer.
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

    /// The final answer by us: refused where a further try is harmless, else failed.
    pub(super) fn send_final_answer(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        let never_ran = call.in_flight.is_none() && call.first_run.is_none();
        let effect = self.settings.classes[call.class].effect;
        let harmless =
            matches!(effect, Effect::Idempotent | Effect::IdempotencyKey { scope: KeyScope::All, .. });
        self.actions.push(if never_ran || harmless {
            Action::Refuse { request: id, retry_after: None }
        } else {
            Action::Fail { request: id }
        });
        // With one attempt permitted, a miss that ends its call orders a replica for the calls to come.
        if self.settings.limits.max_attempts > 1 {
            self.client_disconnected(id);
        } else {
            self.close_call(id);
        }
    }

    /// Ends a call: what is in flight for it is stopped where that is permitted.
    fn close_call(&mut self, id: RequestId) {
        let Some(call) = self.calls.get(&id) else { return };
        if let Some(attempt) = call.in_flight.filter(|_| self.settings.limits.cancel && !call.streaming) {
            self.actions.push(Action::Cancel { request: id, attempt });
        }
        self.finish_call(id);
    }

    /// Ends a call whose client is owed nothing more. A load that only this call waited for is cancelled,
    /// where its order has not left.
    pub(super) fn client_disconnected(&mut self, id: RequestId) {
        let Some(function) = self.calls.get(&id).map(|call| call.function) else { return };
        self.close_call(id);
        let state = self.functions.get(&function);
        if let Some(state) = state.filter(|f| f.held_calls == 0 && f.in_flight.is_empty()) {
            let workers = state.pending_loads.keys();
            self.actions.extend(workers.map(|worker| Action::CancelLoad { worker: *worker, function }));
        }
    }

    /// Forgets a call.
    pub(super) fn finish_call(&mut self, id: RequestId) {
        self.dequeue_held(id);
        if let Some(call) = self.calls.remove(&id) {
            self.timers.remove(&Timer { at: call.answer_by, kind: TimerKind::AnswerDeadline(id) });
        }
    }
}
