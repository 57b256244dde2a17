//! Drives the decision module by its own clock: calls, answers, probes and timers in the order of their times, each
//! `handle` call timed.

use std::collections::BTreeMap;
use std::time::Instant;

use hdrhistogram::Histogram;
use nettleferry::{
    Action, ClassId, Controller, Event, FunctionId, LoadNote, Micros, Outcome, Report, Request, RequestId,
    WorkerId,
};

use crate::measure::MeasureError;

/// A client's patience: no scripted answer takes so long.
const CLIENT_TIMEOUT: Micros = 4_000_000;
/// A probe is answered after this span.
const PROBE_DELAY: Micros = 1_000;
/// Calls of one copy at once.
const LANES: u32 = 2;
/// What a scripted worker tells of itself.
const REPORT: Report =
    Report { inflight: Some(1.0), queue: Some(0.0), util: Some(0.3), memory_held: None, loads: None };
/// Longest time that the histograms tell apart, in nanoseconds.
const MAX_NANOSECONDS: u64 = 60_000_000_000;

/// A call that is under way.
#[derive(Default)]
struct OpenCall {
    attempts: u32,
    nanoseconds: u64,
}

/// What one stretch of calls cost.
pub struct Cost {
    /// Each `handle` call, in nanoseconds.
    pub handles: Histogram<u64>,
    /// Each call from its arrival to its end: all events that carry its id, in nanoseconds.
    pub calls: Histogram<u64>,
    /// All `handle` calls together, in nanoseconds.
    pub total: u64,
    /// Calls that began.
    pub begun: u64,
    /// Calls that were refused or failed.
    pub not_served: u64,
    /// Probes that were sent.
    pub probes: u64,
}

impl Cost {
    fn new() -> Result<Self, MeasureError> {
        let histogram = || {
            Histogram::new_with_bounds(1, MAX_NANOSECONDS, 3)
                .map_err(|error| MeasureError::Unexpected(format!("a histogram: {error}")))
        };
        let (handles, calls) = (histogram()?, histogram()?);
        Ok(Self { handles, calls, total: 0, begun: 0, not_served: 0, probes: 0 })
    }

    /// Adds another stretch to this one.
    pub fn merge(&mut self, other: &Self) -> Result<(), MeasureError> {
        let histogram_error = |error| MeasureError::Unexpected(format!("histograms: {error}"));
        self.handles.add(&other.handles).map_err(histogram_error)?;
        self.calls.add(&other.calls).map_err(histogram_error)?;
        self.total += other.total;
        self.begun += other.begun;
        self.not_served += other.not_served;
        self.probes += other.probes;
        Ok(())
    }
}

/// A controller on a clock of its own.
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
    /// Drives `controller` from the time `now` on; each call is answered `answer_after` its send.
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

    /// The module's clock.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Things that the module remembers.
    pub fn remembered(&self) -> usize {
        self.controller.state_entries()
    }

    /// The controller, when it is driven no further.
    pub fn into_controller(self) -> Controller {
        self.controller
    }

    /// The cost since the last time that it was taken.
    pub fn take_cost(&mut self) -> Result<Cost, MeasureError> {
        let empty = Cost::new()?;
        Ok(std::mem::replace(&mut self.cost, empty))
    }

    /// Hands in a change of the worker list; its time in nanoseconds, which counts for no call.
    pub fn change_list(&mut self, event: Event) -> u64 {
        self.timed(event)
    }

    /// Begins a call.
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

    /// Lets the clock run until `until`, and hands in what comes due.
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

    /// Hands in an event of calls and counts its cost.
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

    /// Times one `handle` call and schedules what its actions bring about.
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
