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

/// Time that a client waits for its call, which is longer than any scripted answer takes.
const CLIENT_TIMEOUT: Micros = 4_000_000;
/// Delay of the answer to a probe.
const PROBE_DELAY: Micros = 1_000;
/// Concurrent calls of one replica.
const LANES: u32 = 2;
/// Load report of a scripted worker.
const REPORT: Report =
    Report { inflight: Some(1.0), queue: Some(0.0), util: Some(0.3), memory_held: None, loads: None };
/// Upper bound of the histograms, in nanoseconds.
const MAX_NANOSECONDS: u64 = 60_000_000_000;

/// An open call: its attempts so far, and the time of the `handle` calls for it.
#[derive(Default)]
struct OpenCall {
    attempts: u32,
    nanoseconds: u64,
}

/// Measured cost of a series of calls.
pub struct Cost {
    /// Duration of each `handle` call, in nanoseconds.
    pub handles: Histogram<u64>,
    /// Time spent on each call from arrival to end, summed over the `handle` calls of its events, in nanoseconds.
    pub calls: Histogram<u64>,
    /// Duration of all `handle` calls together, in nanoseconds.
    pub total: u64,
    /// Number of calls.
    pub begun: u64,
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
        Ok(Self { handles, calls, total: 0, begun: 0, not_served: 0, probes: 0 })
    }

    /// Adds the cost of another series of calls.
    pub fn merge(&mut self, other: &Self) -> Result<(), MeasureError> {
        let histogram_error = |error| MeasureError::Unexpected(format!("can't merge histograms: {error}"));
        self.handles.add(&other.handles).map_err(histogram_error)?;
        self.calls.add(&other.calls).map_err(histogram_error)?;
        self.total += other.total;
        self.begun += other.begun;
        self.not_served += other.not_served;
        self.probes += other.probes;
        Ok(())
    }
}

/// A controller on a simulated clock.
pub struct Driver {
    controller: Controller,
    now: Micros,
    answer_after: Micros,
    next_call: u64,
    sequence: u64,
    due: BTreeMap<(Micros, u64), Event>,
    open: BTreeMap<RequestId, OpenCall>,
    actions: Vec<Action>,
    cost: Cost,
}

impl Driver {
    /// Creates a driver of `controller` whose clock starts at `now`. Each attempt is answered `answer_after` it is
    /// sent.
    pub fn new(controller: Controller, now: Micros, answer_after: Micros) -> Result<Self, MeasureError> {
        Ok(Self {
            controller,
            now,
            answer_after,
            next_call: 0,
            sequence: 0,
            due: BTreeMap::new(),
            open: BTreeMap::new(),
            actions: Vec::new(),
            cost: Cost::new()?,
        })
    }

    /// Current time of the simulated clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Number of state entries of the module.
    pub fn remembered(&self) -> usize {
        self.controller.state_entries()
    }

    /// Returns the controller.
    pub fn into_controller(self) -> Controller {
        self.controller
    }

    /// Returns the cost since the last call of this function.
    pub fn take_cost(&mut self) -> Result<Cost, MeasureError> {
        let empty = Cost::new()?;
        Ok(std::mem::replace(&mut self.cost, empty))
    }

    /// Delivers a change of the worker list and returns the time to handle it in nanoseconds, which is not part of
    /// [`Cost`].
    pub fn change_list(&mut self, event: Event) -> u64 {
        self.timed(event)
    }

    /// Delivers a new call of a function.
    pub fn call(&mut self, function: FunctionId) {
        self.next_call += 1;
        let id = RequestId(self.next_call);
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            function,
            time_left: CLIENT_TIMEOUT,
            cpu_time_hint: None,
            lanes: LANES,
            load_time: None,
            repeat: false,
        };
        self.cost.begun += 1;
        self.open.insert(id, OpenCall::default());
        self.feed(Event::Request(request), Some(id));
    }

    /// Advances the clock to `until` and delivers the events that are due.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= until) {
            let ((at, _), event) = entry.remove_entry();
            self.now = self.now.max(at);
            let request = match &event {
                Event::Outcome { request, .. } => Some(*request),
                _ => None,
            };
            self.feed(event, request);
        }
        self.now = self.now.max(until);
    }

    /// Delivers an event other than a list change and records its cost, also for its call if it has one.
    fn feed(&mut self, event: Event, request: Option<RequestId>) {
        let served = matches!(event, Event::Outcome { finished: true, .. });
        let nanoseconds = self.timed(event);
        self.cost.handles.saturating_record(nanoseconds.max(1));
        self.cost.total += nanoseconds;
        let Some(id) = request else { return };
        if let Some(open) = self.open.get_mut(&id) {
            open.nanoseconds += nanoseconds;
        }
        if served {
            self.close(id);
        }
    }

    /// Measures one `handle` call in nanoseconds and schedules the events that follow from its actions.
    fn timed(&mut self, event: Event) -> u64 {
        let mut actions = std::mem::take(&mut self.actions);
        let began = Instant::now();
        self.controller.handle(self.now, event, &mut actions);
        let nanoseconds = began.elapsed().as_nanos() as u64;
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
        nanoseconds
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Send { request, worker, .. } => self.answer(request, worker),
            Action::Probe { worker } => {
                self.cost.probes += 1;
                let outcome = Outcome::Ok;
                self.schedule(PROBE_DELAY, Event::Probed { worker, outcome, report: Some(REPORT) });
            }
            Action::Load { worker, function, .. } => {
                let (outcome, replicas, elapsed) = (Outcome::Ok, 1, self.answer_after);
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

    fn answer(&mut self, request: RequestId, worker: WorkerId) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        let event = Event::Outcome {
            request,
            attempt,
            worker,
            outcome: Outcome::Ok,
            finished: true,
            elapsed: self.answer_after,
            note: Some(LoadNote::Warm),
            concurrent_calls: None,
            report: Some(REPORT),
        };
        self.schedule(self.answer_after, event);
    }

    fn schedule(&mut self, after: Micros, event: Event) {
        self.sequence += 1;
        self.due.insert((self.now + after, self.sequence), event);
    }

    fn close(&mut self, request: RequestId) {
        if let Some(open) = self.open.remove(&request) {
            self.cost.calls.saturating_record(open.nanoseconds.max(1));
        }
    }
}
