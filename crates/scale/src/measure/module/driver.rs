//! Drives the decision module on a simulated clock: delivers calls, answers, probes and timers in the order of their
//! times, and measures the duration of each `handle` call.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use nettleferry::{
    Action, ClassId, Controller, Event, FunctionId, LoadNote, Micros, Outcome, Report, Request, RequestId,
    WorkerId,
};

use crate::measure::MeasureError;

/// Time that a client waits for its call; longer than the largest possible delay of an answer.
const CLIENT_TIMEOUT: Micros = 4_000_000;
/// Delay of the answer to a probe.
const PROBE_DELAY: Micros = 1_000;
/// Number of concurrent calls of one replica.
const LANES: u32 = 2;
/// Load report in each answer of a simulated worker.
const REPORT: Report =
    Report { inflight: Some(1.0), queue: Some(0.0), util: Some(0.3), memory_held: None, loads: None };
/// Upper bound of the histograms, in nanoseconds.
const MAX_NANOSECONDS: u64 = 60_000_000_000;

/// A call that has not ended.
#[derive(Default)]
struct OpenCall {
    /// Number of attempts so far.
    attempts: u32,
    /// Time spent so far on the `handle` calls for its events, in nanoseconds.
    nanoseconds: u64,
}

/// Cost of a series of calls.
pub struct Cost {
    /// Duration of each `handle` call except list changes, in nanoseconds.
    pub handles: Histogram<u64>,
    /// Time spent on each call from arrival to end, summed over the `handle` calls of its events, in nanoseconds.
    pub calls: Histogram<u64>,
    /// Sum of the durations in `handles`, in nanoseconds.
    pub total: u64,
    /// Number of calls that were started.
    pub started: u64,
    /// Number of calls that were refused or failed.
    pub not_served: u64,
    /// Number of probes that were sent.
    pub probes: u64,
}

impl Cost {
    fn new() -> Result<Self, MeasureError> {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_NANOSECONDS, 3)
                .map_err(|error| MeasureError::Unexpected(format!("can't create a histogram: {error}")))
        };
        let (handles, calls) = (histogram()?, histogram()?);
        Ok(Self { handles, calls, total: 0, started: 0, not_served: 0, probes: 0 })
    }

    /// Adds the cost of another series of calls.
    pub fn merge(&mut self, other: &Self) -> Result<(), MeasureError> {
        let histogram_error = |error| MeasureError::Unexpected(format!("can't merge histograms: {error}"));
        self.handles.add(&other.handles).map_err(histogram_error)?;
        self.calls.add(&other.calls).map_err(histogram_error)?;
        self.total += other.total;
        self.started += other.started;
        self.not_served += other.not_served;
        self.probes += other.probes;
        Ok(())
    }
}

/// A controller on a simulated clock.
pub struct Driver {
    controller: Controller,
    now: Micros,
    answer_delay: Micros,
    /// Id of the last call.
    last_call: u64,
    /// Number of the last scheduled event, which orders events of equal times.
    last_sequence: u64,
    /// Scheduled events by their time and number.
    scheduled: BTreeMap<(Micros, u64), Event>,
    open_calls: BTreeMap<RequestId, OpenCall>,
    /// Buffer for the actions of a `handle` call.
    actions: Vec<Action>,
    cost: Cost,
}

impl Driver {
    /// Creates a driver of `controller` whose clock starts at `now`. Each attempt is answered `answer_delay`
    /// after it was sent.
    pub fn new(controller: Controller, now: Micros, answer_delay: Micros) -> Result<Self, MeasureError> {
        Ok(Self {
            controller,
            now,
            answer_delay,
            last_call: 0,
            last_sequence: 0,
            scheduled: BTreeMap::new(),
            open_calls: BTreeMap::new(),
            actions: Vec::new(),
            cost: Cost::new()?,
        })
    }

    /// Current time of the simulated clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of state entries of the module.
    pub fn state_entries(&self) -> usize {
        self.controller.state_entries()
    }

    /// Ends the simulation and returns its controller, with the state.
    pub fn into_controller(self) -> Controller {
        self.controller
    }

    /// Returns the cost of the calls since the last use of this function, and resets it.
    pub fn take_cost(&mut self) -> Result<Cost, MeasureError> {
        let empty = Cost::new()?;
        Ok(std::mem::replace(&mut self.cost, empty))
    }

    /// Delivers a list or a change of workers and returns the time to handle it in nanoseconds, which is not part of
    /// [`Cost`].
    pub fn change_list(&mut self, event: Event) -> u64 {
        self.handle(event)
    }

    /// Delivers a new call of a function at the current time.
    pub fn call(&mut self, function: FunctionId) {
        self.last_call += 1;
        let id = RequestId(self.last_call);
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            function,
            time_left: CLIENT_TIMEOUT,
            cpu_time_hint: None,
            lanes: LANES,
            load_time: None,
            is_retry: false,
            has_idempotency_key: true,
        };
        self.cost.started += 1;
        self.open_calls.insert(id, OpenCall::default());
        self.deliver(Event::Request(request), Some(id));
    }

    /// Advances the clock to `until` and delivers the events that are due.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(entry) = self.scheduled.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            let request = match &event {
                Event::Outcome { request, .. } => Some(*request),
                _ => None,
            };
            self.deliver(event, request);
        }
        self.now = self.now.max(until);
    }

    /// Delivers an event other than a list change and records its cost, also for its call if it has one.
    fn deliver(&mut self, event: Event, request: Option<RequestId>) {
        let ends_call = matches!(event, Event::Outcome { finished: true, .. });
        let nanoseconds = self.handle(event);
        self.cost.handles.saturating_record(nanoseconds.max(1));
        self.cost.total += nanoseconds;
        let Some(id) = request else { return };
        if let Some(open) = self.open_calls.get_mut(&id) {
            open.nanoseconds += nanoseconds;
        }
        if ends_call {
            self.close(id);
        }
    }

    /// Handles an event in the controller, schedules the events that follow from its actions, and returns the duration
    /// of the `handle` call in nanoseconds.
    fn handle(&mut self, event: Event) -> u64 {
        let mut actions = std::mem::take(&mut self.actions);
        let started = Instant::now();
        self.controller.handle(self.now, event, &mut actions);
        let nanoseconds = started.elapsed().as_nanos() as u64;
        for action in actions.drain(..) {
            self.apply(action);
        }
        self.actions = actions;
        nanoseconds
    }

    /// Simulates the effect of an action.
    fn apply(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.schedule_answer(request, worker),
            Action::Probe { worker } => {
                self.cost.probes += 1;
                let outcome = Outcome::Ok;
                self.schedule(PROBE_DELAY, Event::Probed { worker, outcome, report: Some(REPORT) });
            }
            Action::Load { worker, function, .. } => {
                let (outcome, replicas, elapsed) = (Outcome::Ok, 1, self.answer_delay);
                self.schedule(elapsed, Event::Loaded { worker, function, outcome, replicas, elapsed });
            }
            Action::SetTimer { after, tag } => self.schedule(after, Event::Timer { tag }),
            Action::Refuse { request, .. } | Action::Fail { request } => {
                self.cost.not_served += 1;
                self.close(request);
            }
            Action::Cancel { .. }
            | Action::CancelLoad { .. }
            | Action::Unload { .. }
            | Action::Watch
            | Action::Fetch
            | Action::Log(_) => {}
        }
    }

    fn schedule_answer(&mut self, request: RequestId, worker: WorkerId) {
        let Some(open) = self.open_calls.get_mut(&request) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let event = Event::Outcome {
            request,
            attempt,
            worker,
            outcome: Outcome::Ok,
            finished: true,
            elapsed: self.answer_delay,
            note: Some(LoadNote::Warm),
            concurrent_calls: None,
            report: Some(REPORT),
        };
        self.schedule(self.answer_delay, event);
    }

    fn schedule(&mut self, delay: Micros, event: Event) {
        self.last_sequence += 1;
        self.scheduled.insert((self.now + delay, self.last_sequence), event);
    }

    /// Removes a call that has ended and records its time.
    fn close(&mut self, request: RequestId) {
        if let Some(open) = self.open_calls.remove(&request) {
            self.cost.calls.saturating_record(open.nanoseconds.max(1));
        }
    }
}
