//! Executes the commands of the engine, and passes events on to it and to the front.

use nettleferry::Micros;
use nettleferry_audit_log::Event as AuditEvent;
use nettleferry_engine::{AttemptEnd, Command, Event};
use tracing::{debug, warn};

use super::Controller;
use crate::front::{Front, FrontContext};
use crate::worker_links::LoadOrder;

impl Controller {
    /// Executes all pending commands, including those that follow from their execution.
    pub(super) fn execute_commands(&mut self) {
        while !self.commands.is_empty() {
            for command in std::mem::take(&mut self.commands) {
                if let Some(event) = self.execute(command) {
                    self.notify_engine(event);
                }
            }
        }
    }

    /// Executes one command. Returns an event for the engine where the operation has already ended.
    fn execute(&mut self, command: Command) -> Option<Event> {
        let hub = &mut self.hub;
        match command {
            Command::Start { attempt, worker, streamed, time_left, body } => {
                if let Some((worker, model)) = self.engine.describe(attempt) {
                    debug!(call = attempt.call.0, attempt = attempt.number, %worker, model = %model.name, "attempt started");
                }
                if let Some(audit_log) = &mut self.audit_log {
                    audit_log.recorder.attempt_sent(self.clock.now_ms(), worker.0);
                }
                return self.worker_links.start_attempt(hub, attempt, worker, streamed, time_left, body);
            }
            Command::Cancel { attempt } | Command::Abandon { attempt } => {
                self.worker_links.cancel(hub, attempt)
            }
            // Applies only to orders that have not been sent; here they are sent as soon as they are commanded.
            Command::CancelLoad { .. } => {}
            Command::Pause { attempt } => self.worker_links.pause(hub, attempt),
            Command::Resume { attempt } => self.worker_links.resume(hub, attempt),
            Command::ResponsePart { front_token, payload, .. } => {
                self.with_front(|handler, context| handler.send_part(context, front_token, payload));
            }
            Command::Answer { call, front_token, answer } => {
                debug!(call = call.0, ?answer, "final answer");
                self.with_front(|handler, context| handler.answer(context, call, front_token, answer));
            }
            Command::Load { request_id, worker, model, version, replicas } => {
                debug!(worker = %self.engine.names().worker_name(worker), %model, copies = replicas, "load ordered");
                let memory_bytes = self.config.models.find(&model).and_then(|model| model.memory);
                if let Some(audit_log) = &mut self.audit_log {
                    audit_log.recorder.load_order_sent(self.clock.now_ms(), worker.0);
                }
                let order = LoadOrder { model: &model, version: &version, memory_bytes, replicas };
                return self.worker_links.load(hub, request_id, worker, &order);
            }
            Command::Unload { worker, model, .. } => self.worker_links.unload(hub, worker, &model),
            Command::Probe { request_id, worker } => return self.worker_links.probe(hub, request_id, worker),
            Command::ForgetControlRequest { request_id } => {
                self.worker_links.cancel_control_request(hub, request_id)
            }
            Command::WatchList | Command::FetchList => self.list_watcher.request_update(),
            Command::Log(line) => warn!("{line}"),
        }
        None
    }

    /// Passes an event on to the engine; an unsuccessful end of an attempt is logged.
    pub(super) fn notify_engine(&mut self, event: Event) {
        if let Event::AttemptEnded { attempt, end, .. } = &event
            && *end != AttemptEnd::Served
            && let Some((worker, model)) = self.engine.describe(*attempt)
        {
            debug!(call = attempt.call.0, attempt = attempt.number, %worker, model = %model.name, %end, "attempt ended");
        }
        self.engine.handle(self.clock.now(), event, &mut self.commands);
    }

    /// Calls `handle` with the front and its context, and returns its result. If `handle` opened a call, checks that
    /// the lease has not expired meanwhile.
    pub(super) fn with_front<T>(&mut self, handle: impl FnOnce(&mut Front, &mut FrontContext) -> T) -> T {
        let (now, opened_before) = (self.clock.now(), self.front.opened_calls);
        let mut context = FrontContext {
            hub: &mut self.hub,
            engine: &mut self.engine,
            commands: &mut self.commands,
            tenants: self.tenants.as_mut(),
            limiter: self.restart_admission.limiter.as_mut(),
            lease: self.lease.as_mut(),
            recorder: self.audit_log.as_mut().map(|audit_log| &mut audit_log.recorder),
            now,
        };
        let result = handle(&mut self.front, &mut context);
        if self.front.opened_calls != opened_before {
            self.check_lease_after_accepting(now);
        }
        result
    }

    /// Logs and records the case that the process was paused between the clock reading at `started_at` and the
    /// acceptance of a call, and the lease expired in between.
    fn check_lease_after_accepting(&mut self, started_at: Micros) {
        let Some(lease) = &mut self.lease else { return };
        let now = self.clock.now();
        if lease.action_finished(started_at / 1000, now / 1000) {
            let paused_us = now - started_at;
            warn!(paused_us, "lease expired while calls were being accepted: the process was paused");
            let event = AuditEvent::LeaseExpiredDuringPause { stalled_ms: paused_us / 1000 };
            self.record(|recorder, now, names| recorder.event(now, event, names));
        }
    }
}
