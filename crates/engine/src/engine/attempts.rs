//! The life cycle of attempts.

use bytes::Bytes;
use nettleferry::{Event as ModuleEvent, Micros, Outcome, RequestId, WorkerId};

use super::Engine;
use super::answers::failure;
use super::state::InFlightAttempt;
use super::timers::Timer;
use crate::commands::{Command, FinalAnswer};
use crate::events::AttemptReport;
use crate::ids::{AttemptId, CallId};
use crate::measurements::{Measurement, Step};
use crate::outcome::AttemptEnd;

impl Engine {
    /// Starts an attempt for [`nettleferry::Action::Send`].
    pub(super) fn start_attempt(&mut self, id: CallId, worker: WorkerId, timeout: Option<Micros>) {
        let Some(call) = self.calls.get_mut(&id) else {
            // The call ended before the module could process its end. Without an outcome the module would count this
            // attempt as in flight forever.
            return self.attempt_never_started(id, worker);
        };
        let attempt = AttemptId { call: id, number: call.attempts };
        call.attempts += 1;
        let time_left = (call.answer_due + self.limits.answer_margin).saturating_sub(self.now);
        let times_out_at = timeout.map(|span| self.now + span).filter(|at| *at < call.answer_due);
        if let Some(at) = times_out_at {
            self.timers.insert(at, Timer::Attempt(attempt));
        }
        let front_token = call.front_token;
        self.attempts.insert(
            attempt,
            InFlightAttempt {
                front_token,
                worker,
                sent_at: self.now,
                times_out_at,
                held_back: None,
                orphan: false,
            },
        );
        self.counters.attempts += 1;
        let (streamed, body, slow) = (call.streamed, call.body.clone(), call.slow);
        let after = call.last_end.as_ref().map(AttemptEnd::outcome);
        self.measure(Measurement::AttemptStarted { after });
        self.record_step(front_token, Step::AttemptStarted);
        self.commands.push(Command::Start { attempt, worker, streamed, time_left, body });
        if slow {
            self.commands.push(Command::Pause { attempt });
        }
    }

    /// Reports a cancelled outcome for an attempt that the decision module requested after its call had ended.
    fn attempt_never_started(&mut self, id: CallId, worker: WorkerId) {
        let Some(attempt) = self.module.last_attempt(RequestId(id.0)) else { return };
        self.module_events.push_back(ModuleEvent::Outcome {
            request: RequestId(id.0),
            attempt,
            worker,
            outcome: Outcome::Cancelled,
            finished: true,
            elapsed: 0,
            note: None,
            concurrent_calls: None,
            report: None,
        });
    }

    /// Cancels an attempt for [`nettleferry::Action::Cancel`]. Does nothing if the attempt has ended.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        if self.attempts.contains_key(&attempt) {
            self.commands.push(Command::Cancel { attempt });
            self.attempt_ended(attempt, AttemptEnd::Cancelled, AttemptReport::default());
        }
    }

    /// Delivers a part of an answer to the client, or holds it back until the attempt has ended successfully.
    ///
    /// An answer that is not streamed and a part that is marked as the last are held back and delivered with the final
    /// answer. Until a part has been delivered, a failed attempt can still be retried.
    pub(super) fn response_part(&mut self, attempt: AttemptId, payload: Bytes, last: bool) {
        let Some(call) = self.calls.get_mut(&attempt.call) else { return };
        let Some(in_flight) = self.attempts.get_mut(&attempt) else { return };
        let hold_back = !call.streamed || last;
        let deliverable = if hold_back { in_flight.held_back.replace(payload) } else { Some(payload) };
        let Some(payload) = deliverable.filter(|_| call.streamed) else { return };
        if !call.started {
            call.started = true;
            let request = RequestId(attempt.call.0);
            self.module_events.push_back(ModuleEvent::Started { request, attempt: attempt.number });
        }
        self.commands.push(Command::ResponsePart {
            call: attempt.call,
            front_token: call.front_token,
            payload,
        });
    }

    /// Ends an attempt, reports its outcome to the decision module, and answers the call if the outcome settles it.
    pub(super) fn attempt_ended(&mut self, attempt: AttemptId, end: AttemptEnd, report: AttemptReport) {
        let Some(in_flight) = self.attempts.remove(&attempt) else { return };
        self.record_step(in_flight.front_token, Step::AttemptEnded);
        if let Some(load_note) = report.load_note {
            self.measure(Measurement::LoadNote(load_note));
        }
        if let Some(at) = in_flight.times_out_at {
            self.timers.remove(at, Timer::Attempt(attempt));
        }
        let end = self.checked_end(attempt, &in_flight, end);
        let settled = self.settles_call(attempt.call, &end);
        if let Some(call) = self.calls.get_mut(&attempt.call) {
            call.last_end = Some(end.clone());
            call.may_have_run |= !end.never_ran();
        }
        self.module_events.push_back(ModuleEvent::Outcome {
            request: RequestId(attempt.call.0),
            attempt: attempt.number,
            worker: in_flight.worker,
            outcome: end.outcome(),
            finished: settled,
            elapsed: self.now.saturating_sub(in_flight.sent_at),
            note: report.load_note,
            concurrent_calls: report.queue_depth,
            report: report.load_report,
        });
        if settled {
            self.answer_settled(attempt.call, end, in_flight.held_back);
        }
    }

    /// Replaces `Served` by an error if an answer that is not streamed has no message: OK without a message is a worker
    /// error.
    fn checked_end(&self, attempt: AttemptId, in_flight: &InFlightAttempt, end: AttemptEnd) -> AttemptEnd {
        let needs_message = self.calls.get(&attempt.call).is_some_and(|call| !call.streamed);
        if end == AttemptEnd::Served && in_flight.held_back.is_none() && needs_message {
            AttemptEnd::Status { message: "the worker answered OK without a message".into() }
        } else {
            end
        }
    }

    /// Whether this end of an attempt also ends its call, so that no retry can follow. A streamed answer that breaks
    /// off after its first part ends the call, because the client has received that part. Also true if the call is
    /// closed already.
    fn settles_call(&self, call: CallId, end: &AttemptEnd) -> bool {
        let served = matches!(end, AttemptEnd::Served | AttemptEnd::Rejected(_));
        served || self.calls.get(&call).is_none_or(|call| call.started)
    }

    fn answer_settled(&mut self, id: CallId, end: AttemptEnd, last: Option<Bytes>) {
        match end {
            AttemptEnd::Served => self.answer(id, FinalAnswer::Served { last }),
            AttemptEnd::Rejected(message) => self.answer(id, FinalAnswer::Rejected { message }),
            end => {
                if let Some(call) = self.calls.get(&id) {
                    let past_deadline = self.now >= call.answer_due;
                    self.answer(id, failure(&end, past_deadline));
                }
            }
        }
    }

    /// Marks an attempt that can't be cancelled as an orphan. It stays in flight until the worker answers or the
    /// deadline that was sent to the worker has passed.
    pub(super) fn orphan_attempt(&mut self, attempt: AttemptId, answer_due: Micros) {
        let until = (answer_due + self.limits.answer_margin).max(self.now + 1);
        let Some(in_flight) = self.attempts.get_mut(&attempt) else { return };
        in_flight.orphan = true;
        if let Some(at) = in_flight.times_out_at.replace(until) {
            self.timers.remove(at, Timer::Attempt(attempt));
        }
        self.timers.insert(until, Timer::Attempt(attempt));
    }
}
