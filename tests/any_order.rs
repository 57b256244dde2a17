//! Property test: plays random but legal sequences of events from fixed seeds and checks the rules at every
//! action.

mod common;
use std::collections::BTreeMap;

use common::*;
use nettleferry::*;

/// A deterministic random generator, so that the tests use the same values on every platform.
struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

/// An attempt as recorded by the test.
struct SeenAttempt {
    worker: u64,
    sent: Micros,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

/// A call as recorded by the test.
struct SeenCall {
    class: usize,
    has_idempotency_key: bool,
    /// Time by which the call must be answered.
    deadline: Micros,
    attempts: Vec<SeenAttempt>,
    answered: bool,
}

/// Whether the outcome proves that the attempt did not execute.
fn proven_not_run(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotLoaded)
}

/// Outcomes to draw from; repeated entries are more likely.
const ATTEMPT_OUTCOMES: [Outcome; 9] = [
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::NotLoaded,
];

/// One random sequence of events, and what the test recorded of it.
struct Run {
    random: Random,
    harness: Harness,
    calls: BTreeMap<u64, SeenCall>,
    states: BTreeMap<u64, WorkerState>,
    /// Unanswered load orders, as pairs of worker and function.
    pending_orders: Vec<(u64, u64)>,
    /// Times of all load orders.
    orders: Vec<Micros>,
    /// Times of all requests.
    arrivals: Vec<Micros>,
    last_id: u64,
    /// Number of calls with a final answer.
    answered: usize,
}

impl Run {
    fn new(when_absent: WhenAbsent, seed: u64) -> Self {
        let mut settings = settings();
        settings.loading.when_absent = when_absent;
        settings.loading.ration_window = S;
        settings.loading.ration_floor = 3.0;
        settings.loading.ration_share = 0.1;
        Self {
            random: Random(seed),
            harness: Harness::new(settings, 6),
            calls: BTreeMap::new(),
            states: (1..=6).map(|w| (w, WorkerState::On)).collect(),
            pending_orders: Vec::new(),
            orders: Vec::new(),
            arrivals: Vec::new(),
            last_id: 0,
            answered: 0,
        }
    }

    /// Plays the events, and checks the actions and that each call is answered in time.
    fn run(mut self) {
        for step in 0..4_000 {
            self.calls.retain(|_, call| !call.answered || call.attempts.iter().any(|a| a.outcome.is_none()));
            self.harness.now += self.random.below(6) * MS;
            for action in &self.next_event(step) {
                self.check(action);
            }
            let now = self.harness.now;
            let late =
                self.calls.values().filter(|call| !call.answered && call.deadline + 8 * MS < now).count();
            assert_eq!(late, 0, "every call is answered in time");
        }
        self.harness.advance(4 * S);
        let answered = self.answered;
        assert!(answered > 300, "{answered} calls were answered");
    }

    /// Generates a random event that is legal in the current state.
    fn next_event(&mut self, step: u32) -> Vec<Action> {
        let in_flight: Vec<(u64, u32)> = self
            .calls
            .iter()
            .flat_map(|(id, call)| call.attempts.iter().enumerate().map(move |(n, a)| (*id, n as u32, a)))
            .filter(|(_, _, attempt)| attempt.outcome.is_none())
            .map(|(id, n, _)| (id, n))
            .collect();
        let pick = self.random.below(10);
        if pick < 3 && step < 3_500 {
            self.arrive()
        } else if pick < 7 && !in_flight.is_empty() {
            let (id, number) = in_flight[self.random.below(in_flight.len() as u64) as usize];
            self.end_attempt(id, number)
        } else if pick == 7 && !self.pending_orders.is_empty() {
            self.end_order()
        } else if pick == 8 && self.random.below(20) == 0 {
            self.change_worker()
        } else {
            self.harness.handle(Event::Timer { tag: 1 })
        }
    }

    fn arrive(&mut self) -> Vec<Action> {
        let class = self.random.below(3) as usize;
        let time_left = (50 + self.random.below(3_000)) * MS;
        let now = self.harness.now;
        self.last_id += 1;
        let has_idempotency_key = !self.last_id.is_multiple_of(3);
        let call = SeenCall {
            class,
            has_idempotency_key,
            deadline: now + time_left,
            attempts: vec![],
            answered: false,
        };
        self.calls.insert(self.last_id, call);
        self.arrivals.push(now);
        let function = self.random.below(12);
        let lanes = 1 + self.random.below(3) as u32;
        let request = request(self.last_id, class, function, lanes);
        self.harness.handle(Event::Request(Request { time_left, has_idempotency_key, ..request }))
    }

    /// Ends an attempt in flight with a random outcome.
    fn end_attempt(&mut self, id: u64, number: u32) -> Vec<Action> {
        let outcome = ATTEMPT_OUTCOMES[self.random.below(9) as usize];
        let call = self.calls.get_mut(&id).unwrap();
        let attempt = &mut call.attempts[number as usize];
        attempt.outcome = Some(outcome);
        let was_answered = call.answered;
        call.answered |= outcome == Outcome::Ok;
        self.answered += usize::from(call.answered && !was_answered);
        self.harness.handle(Event::Outcome {
            request: RequestId(id),
            attempt: number,
            worker: WorkerId(attempt.worker),
            outcome,
            finished: call.answered,
            elapsed: self.random.below(200) * MS,
            note: Some(LoadNote::Warm).filter(|_| outcome == Outcome::Ok),
            concurrent_calls: None,
            report: None,
        })
    }

    /// Answers a pending load order with a random outcome.
    fn end_order(&mut self) -> Vec<Action> {
        let index = self.random.below(self.pending_orders.len() as u64) as usize;
        let (worker, function) = self.pending_orders.swap_remove(index);
        let outcome = [Outcome::Ok, Outcome::Rejected, Outcome::Timeout][self.random.below(3) as usize];
        self.harness.handle(Event::Loaded {
            worker: WorkerId(worker),
            function: FunctionId(function),
            outcome,
            replicas: u32::from(outcome == Outcome::Ok),
            elapsed: 400 * MS,
        })
    }

    /// Puts a random worker into service, with or without a restart, or drains it.
    fn change_worker(&mut self) -> Vec<Action> {
        let worker = 1 + self.random.below(6);
        let states = [WorkerState::On, WorkerState::On, WorkerState::Draining];
        let state = states[self.random.below(3) as usize];
        let now = self.harness.now;
        let started_at = Some(now).filter(|_| self.random.below(2) == 0);
        self.states.insert(worker, state);
        self.harness.update_worker(worker, state, started_at)
    }

    /// Checks the rules for one action.
    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { request, worker, .. } => self.check_send(request.0, worker.0),
            Action::Refuse { request, .. } => {
                let call = self.calls.get_mut(&request.0).unwrap();
                let never_executed = call.attempts.iter().all(|a| a.outcome.is_some_and(proven_not_run));
                assert!(
                    never_executed || call.class == 0,
                    "a call that may have executed is refused only if it is idempotent"
                );
                assert!(!std::mem::replace(&mut call.answered, true), "each call is answered once");
                self.answered += 1;
            }
            Action::Fail { request } => {
                let call = self.calls.get_mut(&request.0).unwrap();
                assert!(!std::mem::replace(&mut call.answered, true), "each call is answered once");
                self.answered += 1;
            }
            Action::Load { worker, function, .. } => {
                let now = self.harness.now;
                assert_eq!(self.states[&worker.0], WorkerState::On, "nothing new goes to a draining worker");
                self.orders.push(now);
                let in_window = |t: &&Micros| **t + S >= now;
                let arrived = self.arrivals.iter().filter(in_window).count() as f64;
                let ordered = self.orders.iter().filter(in_window).count() as f64;
                assert!(ordered <= 3.0 + 0.1 * arrived, "orders stay within the ration");
                self.pending_orders.push((worker.0, function.0));
            }
            _ => {}
        }
    }

    fn check_send(&mut self, id: u64, worker: u64) {
        let now = self.harness.now;
        let call = self.calls.get_mut(&id).expect("nothing is sent for a completed call");
        assert!(!call.answered, "nothing is sent after the answer");
        assert!(call.attempts.iter().all(|a| a.outcome.is_some()), "one attempt at a time");
        assert_eq!(self.states[&worker], WorkerState::On, "nothing new goes to a draining worker");
        if let Some(first) = call.attempts.iter().find(|a| !proven_not_run(a.outcome.unwrap())) {
            assert_ne!(call.class, 1, "a non-idempotent call that may have executed is not repeated");
            if call.class == 2 {
                assert!(call.has_idempotency_key, "no worker recognises a repeat without a key");
                assert!(now < first.sent + 2 * S && worker % 2 == first.worker % 2);
            }
        }
        call.attempts.push(SeenAttempt { worker, sent: now, outcome: None });
        assert!(call.attempts.len() <= 3);
    }
}

#[test]
fn the_rules_hold_in_any_order_of_events() {
    for seed in 1..=4 {
        Run::new(WhenAbsent::Load, seed).run();
        Run::new(WhenAbsent::Miss, seed + 100).run();
    }
}
