//! The call ledger: the attempts, the timers and the final answer of each call.
//!
//! This module holds the engine's state and its main cycle: apply an event, run the decision module until it returns
//! no more actions, fire due timers. Each submodule handles one concern:
//!
//! * `calls`: opening calls, client disconnects, final answers. `attempts`: the life cycle of attempts.
//!   `control_requests`: load orders and health checks. `workers`: the worker list.
//! * `actions`: execution of the decision module's actions.
//! * `state`, `timers`, `answers`: shared types, and the construction of final answers.

mod actions;
mod answers;
mod attempts;
mod calls;
mod control_requests;
mod state;
mod timers;
mod workers;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::vec::Drain;

use nettleferry::{
    Action, Controller, Event as ModuleEvent, Health, Micros, RequestId, Settings, SettingsError, WorkerId,
    WorkerState,
};

use self::state::{Call, ControlRequest, InFlightAttempt};
use self::timers::{Timer, TimerQueue};
use crate::commands::Command;
use crate::events::{AttemptReport, Event, NewCall};
use crate::ids::{AttemptId, CallId, ControlRequestId};
use crate::limits::{EngineCounters, EngineLimits};
use crate::measurements::{Measurement, Phase, Step};
use crate::names::{Model, Names};
use crate::outcome::AttemptEnd;

/// Initial capacity of the buffer of measurements.
const MEASUREMENTS_BUFFER: usize = 1024;
/// Initial capacity of the buffer of phases.
const PHASES_BUFFER: usize = 256;

/// The call ledger around the decision module; see the documentation of the crate.
pub struct Engine {
    module: Controller,
    names: Names,
    limits: EngineLimits,
    order_timeout: Micros,
    /// Whether the settings allow attempts to be cancelled. If not, an attempt whose call ends becomes an orphan.
    cancel: bool,
    calls: BTreeMap<CallId, Call>,
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    control_requests: BTreeMap<ControlRequestId, ControlRequest>,
    workers: BTreeMap<WorkerId, WorkerState>,
    timers: TimerQueue,
    /// Events that are queued for the decision module.
    module_events: VecDeque<ModuleEvent>,
    /// Buffer for the decision module's actions, kept to reuse its allocation; empty between runs.
    actions: Vec<Action>,
    /// Commands produced so far by the input that is being handled.
    commands: Vec<Command>,
    last_id: u64,
    now: Micros,
    counters: EngineCounters,
    measurements: Option<Vec<Measurement>>,
    phases: Option<Vec<Phase>>,
}

impl Engine {
    /// Creates an engine without calls. `zone` is this controller's zone. `seed` is the decision module's only source
    /// of randomness.
    ///
    /// # Errors
    ///
    /// Returns an error if the decision module rejects the settings.
    pub fn new(
        mut settings: Settings,
        zone: Option<&str>,
        limits: EngineLimits,
        seed: u64,
    ) -> Result<Self, SettingsError> {
        let mut names = Names::default();
        settings.zone = zone.map(|zone| names.zone(zone));
        let order_timeout = settings.loading.order_timeout;
        let cancel = settings.limits.cancel;
        let mut module = Controller::new(settings, seed)?;
        module.limit_functions(limits.models);
        Ok(Self {
            module,
            names,
            limits,
            order_timeout,
            cancel,
            calls: BTreeMap::new(),
            attempts: BTreeMap::new(),
            control_requests: BTreeMap::new(),
            workers: BTreeMap::new(),
            timers: TimerQueue::default(),
            module_events: VecDeque::new(),
            actions: Vec::new(),
            commands: Vec::new(),
            last_id: 0,
            now: 0,
            counters: EngineCounters::default(),
            measurements: None,
            phases: None,
        })
    }

    /// Event totals since the engine was created.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Starts to record measurements; [`Engine::drain_measurements`] returns them.
    pub fn record_measurements(&mut self) {
        self.measurements = Some(Vec::with_capacity(MEASUREMENTS_BUFFER));
    }

    /// Removes and returns the measurements recorded since the last call, in order. The buffer is unbounded, so drain
    /// it after each event. If measurements are not being recorded, this starts the recording.
    pub fn drain_measurements(&mut self) -> Drain<'_, Measurement> {
        self.measurements.get_or_insert_default().drain(..)
    }

    /// Starts to record the phases of calls; [`Engine::drain_phases`] returns them.
    pub fn record_phases(&mut self) {
        self.phases = Some(Vec::with_capacity(PHASES_BUFFER));
    }

    /// Stops recording phases and discards those not drained. Call this when no one drains them any more.
    pub fn stop_recording_phases(&mut self) {
        self.phases = None;
    }

    /// Removes and returns the phases recorded since the last call, in order. The buffer is unbounded, so drain it
    /// after each event. If phases are not being recorded, this starts the recording.
    pub fn drain_phases(&mut self) -> Drain<'_, Phase> {
        self.phases.get_or_insert_default().drain(..)
    }

    /// Number of open calls that have no attempt in flight.
    pub fn waiting_calls(&self) -> usize {
        // A call has at most one attempt in flight, so each attempt that is not an orphan belongs to one open call.
        let orphans = if self.cancel { 0 } else { self.attempts.values().filter(|a| a.orphan).count() };
        (self.calls.len() + orphans).saturating_sub(self.attempts.len())
    }

    /// Number of functions whose state the decision module keeps.
    pub fn functions(&self) -> usize {
        self.module.functions()
    }

    /// The health of each listed worker as judged by the decision module.
    pub fn health(&self) -> impl Iterator<Item = Health> + '_ {
        self.module.health()
    }

    /// Whether a retry of an open call by its client is harmless, as of the last event.
    pub fn client_may_retry(&self, call: CallId) -> bool {
        self.module.client_may_retry(RequestId(call.0))
    }

    /// Number of calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Number of entries that the engine and the decision module together keep for calls, attempts, control requests,
    /// timers, workers and models. It is bounded and does not grow with the engine's uptime.
    pub fn remembered(&self) -> usize {
        let own = self.calls.len() + self.attempts.len() + self.control_requests.len() + self.timers.len();
        self.module.state_entries() + own + self.workers.len() + self.names.models()
    }

    /// The mapping from names of models and workers to ids.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The id of a worker. A new name is assigned an id.
    pub fn worker_id(&mut self, name: &str) -> WorkerId {
        self.names.worker(name)
    }

    /// The worker's name and the model of an attempt in flight, for log messages. `None` if the attempt or its call has
    /// ended.
    pub fn describe(&self, attempt: AttemptId) -> Option<(Arc<str>, &Model)> {
        let in_flight = self.attempts.get(&attempt)?;
        let call = self.calls.get(&attempt.call)?;
        Some((self.names.worker_name(in_flight.worker), self.names.model(call.function)?))
    }

    /// Time at which the next timer fires; the caller sends [`Event::Tick`] then. `None` if no timer is set.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_at()
    }

    /// Opens a call and appends the resulting commands to `commands`. They already contain the final answer of a call
    /// that can't be opened or is refused at once.
    pub fn open(&mut self, now: Micros, new_call: NewCall, commands: &mut Vec<Command>) -> CallId {
        self.now = self.now.max(now);
        let call = CallId(self.next_id());
        self.counters.opened += 1;
        self.open_call(call, new_call);
        self.run_module();
        commands.append(&mut self.commands);
        call
    }

    /// Handles one event, fires the timers that are due at `now`, and appends the resulting commands to `commands`.
    pub fn handle(&mut self, now: Micros, event: Event, commands: &mut Vec<Command>) {
        self.now = self.now.max(now);
        self.apply(event);
        self.run_module();
        self.fire_timers();
        commands.append(&mut self.commands);
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Workers { form, members } => self.update_workers(form, &members),
            Event::ClientDisconnected { call } => self.client_disconnected(call),
            Event::ClientsDisconnected { clients } => self.clients_disconnected(&clients),
            Event::ClientSlow { call } => self.set_client_slow(call, true),
            Event::ClientReady { call } => self.set_client_slow(call, false),
            Event::ResponsePart { attempt, payload, last } => self.response_part(attempt, payload, last),
            Event::AttemptEnded { attempt, end, report } => self.attempt_ended(attempt, end, report),
            Event::LoadEnded { request_id, end, replicas } => {
                self.control_request_ended(request_id, &end, replicas, None);
            }
            Event::ProbeEnded { request_id, end, load_report } => {
                self.control_request_ended(request_id, &end, 0, load_report);
            }
            Event::TenantRemoved { tenant } => self.tenant_removed(tenant),
            Event::Tick => {}
        }
    }

    /// Passes queued events to the decision module and executes its actions until the queue is empty. The actions may
    /// queue further events.
    fn run_module(&mut self) {
        while let Some(event) = self.module_events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute(action);
            }
            self.actions = actions;
        }
    }

    fn fire_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.fire(timer);
            self.run_module();
        }
    }

    fn fire(&mut self, timer: Timer) {
        match timer {
            Timer::Module(tag) => self.module_events.push_back(ModuleEvent::Timer { tag }),
            Timer::Attempt(attempt) => {
                let orphan = self.attempts.get(&attempt).is_some_and(|in_flight| in_flight.orphan);
                let command = if orphan { Command::Abandon { attempt } } else { Command::Cancel { attempt } };
                self.commands.push(command);
                self.attempt_ended(attempt, AttemptEnd::TimedOut, AttemptReport::default());
            }
            Timer::ControlRequest(request_id) => {
                self.commands.push(Command::ForgetControlRequest { request_id });
                self.control_request_ended(request_id, &AttemptEnd::TimedOut, 0, None);
            }
            Timer::Deadline(call) => self.answer_due(call),
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn record_step(&mut self, front_token: u64, step: Step) {
        if let Some(phases) = &mut self.phases {
            phases.push(Phase { front_token, step });
        }
    }

    fn measure(&mut self, measurement: Measurement) {
        if let Some(measurements) = &mut self.measurements {
            measurements.push(measurement);
        }
    }
}
