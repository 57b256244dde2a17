//! Execution of the decision module's actions.

use nettleferry::{Action, Micros, WorkerId, WorkerState};

use super::Engine;
use super::answers::failure;
use super::timers::Timer;
use crate::commands::{Command, FinalAnswer, Refusal};
use crate::ids::{AttemptId, CallId};
use crate::outcome::AttemptEnd;

impl Engine {
    pub(super) fn execute(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, timeout } => {
                self.start_attempt(CallId(request.0), worker, timeout);
            }
            Action::Cancel { request, attempt } => {
                self.cancel_attempt(AttemptId { call: CallId(request.0), number: attempt });
            }
            Action::Refuse { request, retry_after } => self.refuse(CallId(request.0), retry_after),
            Action::Fail { request } => self.fail(CallId(request.0)),
            Action::Load { worker, function, count } => self.order_load(worker, function, count),
            Action::CancelLoad { worker, function } => self.cancel_load(worker, function),
            Action::Unload { worker, function } => self.unload(worker, function),
            Action::Probe { worker } => self.probe(worker),
            Action::SetTimer { after, tag } => self.timers.insert(self.now + after, Timer::Module(tag)),
            Action::Watch => self.commands.push(Command::WatchList),
            Action::Fetch => self.commands.push(Command::FetchList),
            Action::Log(line) => {
                let line = self.with_worker_name(line);
                self.commands.push(Command::Log(line));
            }
        }
    }

    fn refuse(&mut self, call: CallId, retry_after: Option<Micros>) {
        let in_service = self.workers.values().any(|state| *state == WorkerState::On);
        let reason = if in_service { Refusal::NoCapacity } else { Refusal::NoWorker };
        self.answer(call, FinalAnswer::Refused { reason, retry_after });
    }

    fn fail(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let past_deadline = self.now + self.limits.answer_margin >= call.answer_due;
        let answer = failure(call.last_end.as_ref().unwrap_or(&AttemptEnd::TimedOut), past_deadline);
        self.answer(id, answer);
    }

    /// Replaces the worker id at the start of a decision module's log line by the worker's name, which operators know.
    fn with_worker_name(&self, line: String) -> String {
        let Some(rest) = line.strip_prefix("worker ") else { return line };
        let Some((number, rest)) = rest.split_once(' ') else { return line };
        match number.parse() {
            Ok(id) => format!("worker {} {rest}", self.names.worker_name(WorkerId(id))),
            Err(_) => line,
        }
    }
}
