//! Test harness for one controller: default settings, and helpers to send events and inspect actions.
#![allow(dead_code, reason = "each test file uses a part of this one")]

use nettleferry::*;

pub(crate) const MS: Micros = 1_000;
pub(crate) const S: Micros = 1_000_000;

/// Settings of three controllers with an idempotent, a non-idempotent and a keyed class; calls of absent
/// functions load them.
pub(crate) fn settings() -> Settings {
    let class = |effect| Class {
        latency_objective: 500 * MS,
        deadline: 4 * S,
        effect,
        priority_weight: 1.0,
        late_share: 0.2,
        stream: false,
    };
    Settings {
        controller_index: 0,
        controllers: 3,
        zone: Some(ZoneId(0)),
        classes: vec![
            class(Effect::Idempotent),
            class(Effect::NonIdempotent),
            class(Effect::IdempotencyKey { scope: KeyScope::Zone, window: 2 * S }),
        ],
        tenants: vec![],
        over_quota_weight: 0.1,
        discovery: Discovery::Push,
        reports: Reports::None,
        weights: Weights::None,
        loading: Loading {
            when_absent: WhenAbsent::Load,
            keep_alive: 10 * S,
            orders: true,
            order_timeout: 10 * S,
            notes: true,
            reports_concurrency: false,
            ration_window: 0,
            ration_floor: 0.0,
            ration_share: 0.0,
            unknown_prior_orders: false,
            memory_price: 0.0,
        },
        limits: Limits {
            max_attempts: 3,
            parallel_attempts: false,
            probes: true,
            cancel: true,
            retry_after: None,
            connect_timeout: 250 * MS,
        },
        rules: Rules {
            answer_grace: 8 * MS,
            drain_grace: 500 * MS,
            must_poll_within: 10 * S,
            start_capacity: 0.2,
            warm_up: 15 * S,
            overload_factor: 2.0,
            overload_span: 2 * S,
        },
        event_interval: 2 * MS,
    }
}

/// A controller, the time, and the worker list that it received first.
pub(crate) struct Harness {
    pub(crate) controller: Controller,
    pub(crate) now: Micros,
    pub(crate) workers: Vec<WorkerEntry>,
}

/// The list entry of a worker in service. Even and odd ids are in different zones; ids that are equal modulo 4
/// are in the same cell.
pub(crate) fn entry(id: u64) -> WorkerEntry {
    WorkerEntry {
        worker: WorkerId(id),
        zone: ZoneId(id as u32 % 2),
        kind: KindId(0),
        weight: 1.0,
        cell: CellId(id % 4),
        state: WorkerState::On,
        started_at: None,
    }
}

impl Harness {
    /// Creates a controller that has received a list of `n` workers, at time 100 s.
    pub(crate) fn new(settings: Settings, n: u64) -> Self {
        let controller = Controller::new(settings, 7).expect("the settings are valid");
        let workers = (1..=n).map(entry).collect();
        let mut harness = Self { controller, now: 100 * S, workers };
        let entries = harness.workers.clone();
        harness.handle(Event::Workers { form: ListForm::Restored, entries });
        harness
    }

    /// Passes the event to the controller at the current time, and returns the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the time by `span`, in steps of one event interval with a timer event in each, and returns all
    /// actions.
    pub(crate) fn advance(&mut self, span: Micros) -> Vec<Action> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now = (self.now + 2 * MS).min(end);
            all.extend(self.handle(Event::Timer { tag: 1 }));
        }
        all
    }

    /// Reports a request with 4 s left to answer it.
    pub(crate) fn call(&mut self, id: u64, class: usize, function: u64, lanes: u32) -> Vec<Action> {
        self.handle(Event::Request(request(id, class, function, lanes)))
    }

    /// Reports a request without an idempotency key, with 4 s left to answer it.
    pub(crate) fn call_without_key(&mut self, id: u64, class: usize, function: u64) -> Vec<Action> {
        let request = Request { has_idempotency_key: false, ..request(id, class, function, 2) };
        self.handle(Event::Request(request))
    }

    /// Ends an attempt 50 ms after it was sent. The call is complete if the outcome is [`Outcome::Ok`].
    pub(crate) fn end_attempt(
        &mut self,
        id: u64,
        attempt: u32,
        worker: u64,
        outcome: Outcome,
        note: Option<LoadNote>,
    ) -> Vec<Action> {
        self.end_attempt_after(id, attempt, worker, outcome, note, 50 * MS)
    }

    pub(crate) fn end_attempt_after(
        &mut self,
        id: u64,
        attempt: u32,
        worker: u64,
        outcome: Outcome,
        note: Option<LoadNote>,
        elapsed: Micros,
    ) -> Vec<Action> {
        self.handle(Event::Outcome {
            request: RequestId(id),
            attempt,
            worker: WorkerId(worker),
            outcome,
            finished: outcome == Outcome::Ok,
            elapsed,
            note,
            concurrent_calls: None,
            report: None,
        })
    }

    /// Calls the function and ends the call as served by a loaded replica, so that the worker becomes the
    /// function's last warm one. Returns the worker.
    pub(crate) fn serve_warm(&mut self, id: u64, function: u64, lanes: u32) -> u64 {
        let worker = sent(&self.call(id, 0, function, lanes)).expect("a first call is sent");
        self.end_attempt(id, 0, worker, Outcome::Ok, Some(LoadNote::Warm));
        worker
    }

    /// Reports a list update with only this worker.
    pub(crate) fn update_worker(
        &mut self,
        id: u64,
        state: WorkerState,
        started_at: Option<Micros>,
    ) -> Vec<Action> {
        let changed = WorkerEntry { state, started_at, ..entry(id) };
        self.handle(Event::Workers { form: ListForm::Changes, entries: vec![changed] })
    }
}

pub(crate) fn request(id: u64, class: usize, function: u64, lanes: u32) -> Request {
    Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        function: FunctionId(function),
        time_left: 4 * S,
        cpu_time_hint: None,
        lanes,
        load_time: None,
        is_retry: false,
        has_idempotency_key: true,
    }
}

/// Returns the worker of the first send among the actions.
pub(crate) fn sent(actions: &[Action]) -> Option<u64> {
    actions.iter().find_map(|a| if let Action::Send { worker, .. } = a { Some(worker.0) } else { None })
}

/// Returns all sends among the actions, as pairs of request and worker.
pub(crate) fn sends(actions: &[Action]) -> Vec<(u64, u64)> {
    let pair = |a: &Action| {
        if let Action::Send { request, worker, .. } = a { Some((request.0, worker.0)) } else { None }
    };
    actions.iter().filter_map(pair).collect()
}

/// Whether the call is refused by these actions.
pub(crate) fn refused(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Refuse { request, .. } if request.0 == id))
}

/// Whether the call is failed by these actions.
pub(crate) fn failed(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail { request } if request.0 == id))
}

/// Whether an attempt of the call is cancelled by these actions.
pub(crate) fn cancels(actions: &[Action], id: u64) -> bool {
    actions.iter().any(|a| matches!(a, Action::Cancel { request, .. } if request.0 == id))
}

/// Number of load orders among the actions, without queries.
pub(crate) fn loads(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Load { count, .. } if *count > 0)).count()
}

/// Number of probes among the actions.
pub(crate) fn probes(actions: &[Action]) -> usize {
    actions.iter().filter(|a| matches!(a, Action::Probe { .. })).count()
}
