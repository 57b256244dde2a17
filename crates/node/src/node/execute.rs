//! Executes the engine's commands, after checking them against the invariants of [`crate::guard`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use nettleferry::{Effect, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, Cause, Command, Event, FinalAnswer};
use tracing::{debug, info};

use super::Node;
use crate::front::RequestToken;
use crate::guard::{self, AttemptCheck, Violation};
use crate::pools::{Attempt, LoadOrder, PoolContext};
use crate::reasons::RetryReason;

impl Node {
    pub(super) fn execute_commands(&mut self) {
        let mut commands = std::mem::take(&mut self.commands);
        for command in commands.drain(..) {
            self.execute(command);
        }
        // Executing a command never adds another one, so the vector can be reused.
        self.commands = commands;
    }

    fn execute(&mut self, command: Command) {
        let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
        let context = &mut PoolContext { tcp, events, counters };
        match command {
            Command::Start { attempt, worker, time_left, body, .. } => {
                self.start_attempt(attempt, worker, Duration::from_micros(time_left), body);
            }
            Command::Abandon { attempt } => self.pools.abandon(context.tcp, attempt),
            Command::Cancel { attempt } => self.cancel_attempt(attempt),
            Command::Answer { front_token, answer, .. } => {
                let token = RequestToken(front_token);
                let answer = self.checked_answer(token, answer);
                self.front.answer(&mut self.tcp, token, &answer, &mut self.counters);
            }
            Command::Load { request_id, worker, model, replicas, .. } => {
                let order = LoadOrder { id: request_id, function: &model, replicas };
                self.pools.load(context, worker, order);
            }
            Command::CancelLoad { request_id } => self.pools.cancel_load(context, request_id),
            Command::Unload { worker, model, .. } => self.pools.unload(worker, &model),
            Command::Probe { request_id, worker } => self.pools.probe(context, worker, request_id),
            Command::ForgetControlRequest { request_id } => self.pools.forget(context.tcp, request_id),
            Command::WatchList | Command::FetchList => self.discovery.query_now(),
            Command::Log(line) => {
                if let Some(left_out) = self.module_log.take(self.tcp.now()) {
                    info!(left_out, "{line}");
                }
            }
            // Responses on this platform arrive as a whole: there are no parts to forward, and no flow
            // control.
            Command::ResponsePart { .. } | Command::Pause { .. } | Command::Resume { .. } => {}
        }
    }

    fn start_attempt(&mut self, id: AttemptId, worker: WorkerId, time_left: Duration, body: Bytes) {
        let Some(call) = self.front.call_mut(id.call) else {
            // The client has disconnected; the engine gets that event next.
            return self.attempt_not_started(id);
        };
        let Some(class) = self.classes.get(call.class.0).cloned() else {
            return self.attempt_not_started(id);
        };
        let check = AttemptCheck {
            in_flight: call.attempts.is_pending(),
            may_have_run: call.attempts.may_have_run(),
            effect: call.effect(class.effect),
            time_left,
        };
        if let Err(violation) = check.run() {
            self.counters.violations.report(violation, &call.call_id);
            return self.attempt_not_started(id);
        }
        if let Some(after) = call.last_end {
            self.counters.reasons.retried(after);
            debug!(id = %call.call_id, attempt = id.number, ?after, "request retried");
        }
        let now = Instant::now();
        let attempt = Attempt {
            id,
            call_id: Arc::clone(&call.call_id),
            class: class.name,
            function: Arc::clone(&call.function),
            key: call.key.clone(),
            deadline: call.deadline,
            send_by: call.attempts.start(now, class.window),
            body,
        };
        let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
        self.pools.start(&mut PoolContext { tcp, events, counters }, worker, attempt);
    }

    fn attempt_not_started(&mut self, attempt: AttemptId) {
        let (end, report) = (AttemptEnd::Cancelled, AttemptReport::default());
        self.engine_events.push(Event::AttemptEnded { attempt, end, report });
    }

    fn cancel_attempt(&mut self, attempt: AttemptId) {
        if let Some(call) = self.front.call_mut(attempt.call) {
            call.attempts.ended(false);
            call.last_end = Some(RetryReason::Cancelled);
        }
        let (tcp, events, counters) = (&mut self.tcp, &mut self.engine_events, &mut self.counters);
        self.pools.cancel(&mut PoolContext { tcp, events, counters }, attempt);
    }

    /// Records the end of an attempt in its call's history, before the event is passed to the engine.
    pub(super) fn record_attempt_end(&mut self, event: &Event) {
        if let Event::AttemptEnded { attempt, end, .. } = event
            && let Some(call) = self.front.call_mut(attempt.call)
        {
            call.attempts.ended(end.never_ran());
            call.last_end = Some(RetryReason::of(end));
        }
    }

    /// Returns the final answer of a request. A refusal becomes a failure if the request may have run and
    /// must not run twice, because a refusal states that a retry is harmless.
    fn checked_answer(&mut self, token: RequestToken, answer: FinalAnswer) -> FinalAnswer {
        let Some(call) = self.front.call_by_token(token) else {
            self.counters.violations.report(Violation::AnswerWithoutRequest, &token.0);
            return answer;
        };
        let class_effect = self.classes.get(call.class.0).map_or(Effect::NonIdempotent, |class| class.effect);
        let refused = matches!(answer, FinalAnswer::Refused { .. });
        match guard::may_refuse(call.attempts.may_have_run(), call.effect(class_effect)) {
            Err(violation) if refused => {
                self.counters.violations.report(violation, &call.call_id);
                let message = "nothing is promised: the call may have run".to_owned();
                FinalAnswer::Failed { cause: Cause::Aborted, message }
            }
            _ => answer,
        }
    }
}
