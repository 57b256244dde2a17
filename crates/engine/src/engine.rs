//! The ledger of calls: each call's attempts, its timers and its one final answer.
//!
//! This file holds the state and the cycle of each input: apply the event, run the decision module until it asks for
//! nothing more, fire due timers. The files below it each add one concern:
//!
//! * `calls`: opening calls, clients, final answers. `attempts`: from start to end. `control_requests`: load orders and
//!   health checks. `workers`: the worker list.
//! * `actions`: executes what the decision module asks for.
//! * `state`, `timers`, `answers`: types and rules that the others use.

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
    Action, Controller, Event as ModuleEvent, Health, Micros, Settings, SettingsError, WorkerId, WorkerState,
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

/// Measurements that are held without growing the buffer.
const MEASUREMENTS_BUFFER: usize = 1024;
/// Phases that are held without growing the buffer.
const PHASES_BUFFER: usize = 256;

/// The engine: see the crate's documentation.
pub struct Engine {
    module: Controller,
    names: Names,
    limits: EngineLimits,
    order_timeout: Micros,
    /// Attempts may be cancelled.
    cancel: bool,
    calls: BTreeMap<CallId, Call>,
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    control_requests: BTreeMap<ControlRequestId, ControlRequest>,
    workers: BTreeMap<WorkerId, WorkerState>,
    timers: TimerQueue,
    /// Events that the decision module has not seen yet.
    module_events: VecDeque<ModuleEvent>,
    /// Kept between runs of the module for its allocation; empty in between.
    actions: Vec<Action>,
    /// Commands of the input that is being handled.
    commands: Vec<Command>,
    last_id: u64,
    now: Micros,
    counters: EngineCounters,
    measurements: Option<Vec<Measurement>>,
    phases: Option<Vec<Phase>>,
}

impl Engine {
    /// Creates an engine without calls. `seed` is the only source of randomness of the decision module; `zone` is this
    /// controller's zone.
    ///
    /// # Errors
    ///
    /// The decision module can't work with these settings.
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
        Ok(Self {
            module: Controller::new(settings, seed)?,
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

    /// Totals since the engine was created.
    pub fn counters(&self) -> EngineCounters {
        self.counters
    }

    /// Starts to record measurements, for [`Engine::drain_measurements`].
    pub fn record_measurements(&mut self) {
        self.measurements = Some(Vec::with_capacity(MEASUREMENTS_BUFFER));
    }

    /// Measurements since the last call. To be drained after each event: the buffer has no bound of its own.
    pub fn drain_measurements(&mut self) -> Drain<'_, Measurement> {
        self.measurements.get_or_insert_default().drain(..)
    }

    /// Starts to record the phases of calls, for [`Engine::drain_phases`].
    pub fn record_phases(&mut self) {
        self.phases = Some(Vec::with_capacity(PHASES_BUFFER));
    }

    /// Stops recording phases: nobody drains them any more.
    pub fn stop_recording_phases(&mut self) {
        self.phases = None;
    }

    /// Phases since the last call, in order. To be drained after each event: the buffer has no bound of its own.
    pub fn drain_phases(&mut self) -> Drain<'_, Phase> {
        self.phases.get_or_insert_default().drain(..)
    }

    /// Open calls that no worker has.
    pub fn waiting_calls(&self) -> usize {
        // Attempts of a call never overlap: each stands for one call, or for one that has ended.
        let orphans = if self.cancel { 0 } else { self.attempts.values().filter(|a| a.orphan).count() };
        (self.calls.len() + orphans).saturating_sub(self.attempts.len())
    }

    /// Health of the listed workers, as the decision module sees it.
    pub fn health(&self) -> impl Iterator<Item = Health> + '_ {
        self.module.health()
    }

    /// Calls without a final answer.
    pub fn open_calls(&self) -> usize {
        self.calls.len()
    }

    /// Entries remembered in total, by the decision module and here: does not grow with the engine's age.
    pub fn remembered(&self) -> usize {
        let own = self.calls.len() + self.attempts.len() + self.control_requests.len() + self.timers.len();
        self.module.state_entries() + own + self.workers.len() + self.names.models()
    }

    /// Names and numbers of models and workers.
    pub fn names(&self) -> &Names {
        &self.names
    }

    /// The number of a worker of the list.
    pub fn worker_id(&mut self, name: &str) -> WorkerId {
        self.names.worker(name)
    }

    /// The worker of an attempt in flight and the model of its call: for the log.
    pub fn describe(&self, attempt: AttemptId) -> Option<(Arc<str>, &Model)> {
        let in_flight = self.attempts.get(&attempt)?;
        let call = self.calls.get(&attempt.call)?;
        Some((self.names.worker_name(in_flight.worker), self.names.model(call.function)?))
    }

    /// When the next [`Event::Tick`] is due.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.next_at()
    }

    /// Opens a call and appends its commands, which may hold its final answer already, to `commands`.
    pub fn open(&mut self, now: Micros, new_call: NewCall, commands: &mut Vec<Command>) -> CallId {
        self.now = self.now.max(now);
        let call = CallId(self.next_id());
        self.counters.opened += 1;
        self.open_call(call, new_call);
        self.run_module();
        commands.append(&mut self.commands);
        call
    }

    /// Handles one event and appends the commands that follow from it to `commands`.
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
            Event::LoadEnded { request_id, end, copies } => {
                self.control_request_ended(request_id, &end, copies, None);
            }
            Event::ProbeEnded { request_id, end, load_report } => {
                self.control_request_ended(request_id, &end, 0, load_report);
            }
            Event::TenantRemoved { tenant } => self.tenant_removed(tenant),
            Event::Tick => {}
        }
    }

    /// Passes the waiting events to the decision module and executes its actions, until nothing is left.
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

    fn record_step(&mut self, front: u64, step: Step) {
        if let Some(phases) = &mut self.phases {
            phases.push(Phase { front, step });
        }
    }

    fn measure(&mut self, measurement: Measurement) {
        if let Some(measurements) = &mut self.measurements {
            measurements.push(measurement);
        }
    }
}
