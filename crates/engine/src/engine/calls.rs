//! The life cycle of calls: opening, client disconnects, slow clients and final answers.

use nettleferry::{Event as ModuleEvent, FunctionId, Micros, Request, RequestId, TenantId};

use super::Engine;
use super::answers::{call_outcome, failure, no_time_left, too_many_open, unserved};
use super::state::{Call, attempts_of};
use super::timers::Timer;
use crate::commands::{Command, FinalAnswer, Refusal};
use crate::events::{AttemptReport, ClientDisconnect, NewCall};
use crate::ids::{AttemptId, CallId};
use crate::measurements::{CallOutcome, Measurement, Step};
use crate::names::Model;
use crate::outcome::AttemptEnd;

impl Engine {
    /// Adds a new call to the ledger, or answers it at once if it can't be opened.
    pub(super) fn open_call(&mut self, id: CallId, new_call: NewCall) {
        let time_left = new_call.time_left.saturating_sub(self.limits.answer_margin);
        match self.register_model(&new_call, time_left) {
            Ok(function) => self.insert_call(id, function, time_left, new_call),
            Err(answer) => self.answer_unopened(id, &new_call, answer),
        }
    }

    /// Registers the model of a call that can be opened. `Err` contains the final answer of a call that can't.
    fn register_model(&mut self, new_call: &NewCall, time_left: Micros) -> Result<FunctionId, FinalAnswer> {
        if time_left == 0 {
            return Err(no_time_left());
        }
        if self.calls.len() >= self.limits.open_calls {
            return Err(too_many_open());
        }
        let model = Model { name: new_call.model.clone(), version: new_call.version.clone() };
        self.names.open(model, self.limits.models).ok_or_else(too_many_open)
    }

    fn answer_unopened(&mut self, id: CallId, new_call: &NewCall, answer: FinalAnswer) {
        let outcome = call_outcome(&answer);
        self.measure(Measurement::CallEnded {
            class: new_call.class,
            tenant: new_call.tenant,
            group: new_call.group,
            outcome,
            latency: 0,
        });
        self.record_step(new_call.front_token, Step::CallEnded(outcome));
        if outcome == CallOutcome::Refused {
            self.counters.over_open += 1;
        }
        self.push_answer(id, new_call.front_token, answer);
    }

    fn insert_call(&mut self, id: CallId, function: FunctionId, time_left: Micros, new_call: NewCall) {
        let answer_due = self.now + time_left;
        self.timers.insert(answer_due, Timer::Deadline(id));
        self.calls.insert(
            id,
            Call {
                front_token: new_call.front_token,
                class: new_call.class,
                tenant: new_call.tenant,
                group: new_call.group,
                arrived_at: self.now,
                function,
                streamed: new_call.streamed,
                body: new_call.body,
                answer_due,
                attempts: 0,
                started: false,
                slow: false,
                last_end: None,
                may_have_run: false,
            },
        );
        self.module_events.push_back(ModuleEvent::Request(Request {
            id: RequestId(id.0),
            class: new_call.class,
            tenant: new_call.tenant,
            function,
            time_left,
            cpu_time_hint: new_call.cost_hint,
            lanes: new_call.lanes.max(1),
            load_time: new_call.load_time,
            is_retry: new_call.is_retry,
            has_idempotency_key: new_call.has_idempotency_key,
        }));
    }

    /// Records whether a call's client is slow to read, and pauses or resumes the call's attempt on a change.
    pub(super) fn set_client_slow(&mut self, id: CallId, slow: bool) {
        let Some(call) = self.calls.get_mut(&id) else { return };
        if call.slow == slow {
            return;
        }
        call.slow = slow;
        for (&attempt, _) in self.attempts.range(attempts_of(id)) {
            let command = if slow { Command::Pause { attempt } } else { Command::Resume { attempt } };
            self.commands.push(command);
        }
    }

    /// Closes the call of a disconnected client without an answer.
    pub(super) fn client_disconnected(&mut self, call: CallId) {
        if self.calls.contains_key(&call) {
            self.counters.gone += 1;
            self.module_events.push_back(ModuleEvent::ClientGone { request: RequestId(call.0) });
            self.close(call, CallOutcome::ClientGone);
        }
    }

    /// Ends the calls of clients that disconnected together. All disconnects are queued for the decision module before
    /// any call is closed, so that capacity freed by one of the calls is not granted to another.
    pub(super) fn clients_disconnected(&mut self, clients: &[ClientDisconnect]) {
        let is_open = |client: &&ClientDisconnect| self.calls.contains_key(&client.call);
        let clients: Vec<ClientDisconnect> = clients.iter().filter(is_open).copied().collect();
        for client in &clients {
            self.module_events.push_back(ModuleEvent::ClientGone { request: RequestId(client.call.0) });
        }
        for client in clients {
            if !self.calls.contains_key(&client.call) {
                continue;
            }
            if client.expects_answer {
                let reason = Refusal::ClientDisconnected;
                let may_have_run = self.may_have_run(client.call);
                self.answer(client.call, unserved(may_have_run, reason, "its client's side ended"));
            } else {
                self.counters.gone += 1;
                self.close(client.call, CallOutcome::ClientGone);
            }
        }
    }

    /// Answers all open calls of a removed tenant. All of them are reported to the decision module as gone before any
    /// is answered, so that capacity freed by one of the calls is not granted to another.
    pub(super) fn tenant_removed(&mut self, tenant: TenantId) {
        let calls = self.calls.iter().filter(|(_, call)| call.tenant == Some(tenant));
        let calls: Vec<CallId> = calls.map(|(id, _)| *id).collect();
        for id in &calls {
            self.module_events.push_back(ModuleEvent::ClientGone { request: RequestId(id.0) });
        }
        for id in calls {
            let may_have_run = self.may_have_run(id);
            self.answer(id, unserved(may_have_run, Refusal::TenantRemoved, "its tenant was removed"));
        }
    }

    /// Whether an attempt of the call is in flight, or has ended without proof that it never ran.
    fn may_have_run(&self, id: CallId) -> bool {
        let in_flight = self.attempts.range(attempts_of(id)).next().is_some();
        in_flight || self.calls.get(&id).is_some_and(|call| call.may_have_run)
    }

    /// Fails a call whose final answer is due. For a call whose answer has not started this is the backstop, since the
    /// decision module should have ended the call. The module does not track deadlines of answers that have started.
    pub(super) fn answer_due(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        if !call.started {
            self.counters.backstop += 1;
            self.module_events.push_back(ModuleEvent::ClientGone { request: RequestId(id.0) });
        }
        self.answer(id, failure(&AttemptEnd::TimedOut, true));
    }

    /// Closes an open call and sends its final answer. All answers to open calls pass through here.
    pub(super) fn answer(&mut self, id: CallId, answer: FinalAnswer) {
        let Some(call) = self.calls.get(&id) else { return };
        let front_token = call.front_token;
        self.close(id, call_outcome(&answer));
        self.push_answer(id, front_token, answer);
    }

    fn push_answer(&mut self, call: CallId, front_token: u64, answer: FinalAnswer) {
        match &answer {
            FinalAnswer::Served { .. } => self.counters.served += 1,
            FinalAnswer::Rejected { .. } => self.counters.rejected += 1,
            FinalAnswer::Refused { .. } => self.counters.refused += 1,
            FinalAnswer::Failed { .. } => self.counters.failed += 1,
        }
        self.commands.push(Command::Answer { call, front_token, answer });
    }

    /// Removes a call from the ledger. Its attempt in flight is cancelled, or becomes an orphan if the settings forbid
    /// cancellation.
    fn close(&mut self, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        let latency = self.now.saturating_sub(call.arrived_at);
        let (class, tenant, group) = (call.class, call.tenant, call.group);
        self.measure(Measurement::CallEnded { class, tenant, group, outcome, latency });
        self.timers.remove(call.answer_due, Timer::Deadline(id));
        self.names.close(call.function);
        let in_flight: Vec<AttemptId> =
            self.attempts.range(attempts_of(id)).map(|(attempt, _)| *attempt).collect();
        for attempt in in_flight {
            if self.cancel {
                self.commands.push(Command::Cancel { attempt });
                self.attempt_ended(attempt, AttemptEnd::Cancelled, AttemptReport::default());
            } else {
                self.orphan_attempt(attempt, call.answer_due);
            }
        }
        self.record_step(call.front_token, Step::CallEnded(outcome));
    }
}
