//! Control requests: load orders and health checks, which the engine sends on its own rather than for a client.

use nettleferry::{Event as ModuleEvent, FunctionId, Micros, Outcome, Report, WorkerId};

use super::Engine;
use super::state::ControlRequest;
use super::timers::Timer;
use crate::commands::Command;
use crate::ids::ControlRequestId;
use crate::measurements::Measurement;
use crate::names::Model;
use crate::outcome::AttemptEnd;

impl Engine {
    /// Sends a load order for `replicas` replicas of a function.
    pub(super) fn order_load(&mut self, worker: WorkerId, function: FunctionId, replicas: u32) {
        let Some(Model { name, version }) = self.names.model(function).cloned() else {
            // The model's name has been dropped, so no call for it is open.
            let outcome = Outcome::Error;
            let failed = ModuleEvent::Loaded { worker, function, outcome, replicas: 0, elapsed: 0 };
            return self.module_events.push_back(failed);
        };
        self.counters.orders += 1;
        self.measure(Measurement::LoadSent);
        let request_id = self.begin_control_request(worker, Some(function), self.order_timeout);
        self.commands.push(Command::Load { request_id, worker, model: name, version, replicas });
    }

    /// Cancels the outstanding load orders for a function at a worker. Each of them still ends with an event or a
    /// timeout.
    pub(super) fn cancel_load(&mut self, worker: WorkerId, function: FunctionId) {
        let wanted =
            |request: &ControlRequest| request.worker == worker && request.function == Some(function);
        let orders = self.control_requests.iter().filter(|(_, request)| wanted(request));
        self.commands.extend(orders.map(|(id, _)| Command::CancelLoad { request_id: *id }));
    }

    /// Tells a worker to unload its idle replicas of a function.
    pub(super) fn unload(&mut self, worker: WorkerId, function: FunctionId) {
        if let Some(Model { name, version }) = self.names.model(function).cloned() {
            self.commands.push(Command::Unload { worker, model: name, version });
        }
    }

    /// Sends a health check.
    pub(super) fn probe(&mut self, worker: WorkerId) {
        self.counters.probes += 1;
        let request_id = self.begin_control_request(worker, None, self.limits.probe_timeout);
        self.commands.push(Command::Probe { request_id, worker });
    }

    fn begin_control_request(
        &mut self,
        worker: WorkerId,
        function: Option<FunctionId>,
        timeout: Micros,
    ) -> ControlRequestId {
        let id = ControlRequestId(self.next_id());
        let times_out_at = self.now + timeout;
        self.timers.insert(times_out_at, Timer::ControlRequest(id));
        let request = ControlRequest { worker, function, sent_at: self.now, times_out_at };
        self.control_requests.insert(id, request);
        id
    }

    /// Ends a control request and reports it to the decision module. `replicas` applies to load orders only, and
    /// `load_report` to health checks only.
    pub(super) fn control_request_ended(
        &mut self,
        id: ControlRequestId,
        end: &AttemptEnd,
        replicas: u32,
        load_report: Option<Report>,
    ) {
        let Some(request) = self.control_requests.remove(&id) else { return };
        self.timers.remove(request.times_out_at, Timer::ControlRequest(id));
        let (worker, outcome) = (request.worker, end.outcome());
        let elapsed = self.now.saturating_sub(request.sent_at);
        self.measure(match request.function {
            Some(_) => Measurement::LoadEnded(outcome),
            None => Measurement::ProbeEnded { answered: outcome == Outcome::Ok },
        });
        self.module_events.push_back(match request.function {
            Some(function) => ModuleEvent::Loaded { worker, function, outcome, replicas, elapsed },
            None => ModuleEvent::Probed { worker, outcome, report: load_report },
        });
    }
}
