//! Simulates what all controllers together send to a worker in slow start. The budget must hold in every
//! window of the overload span, aligned or not, regardless of when controllers start, restart or are notified
//! of the worker.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::*;
use nettleferry::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Core time of a call, and the latency of each attempt.
const CPU_TIME: Micros = 50 * MS;
/// Start time of the worker; the controllers run since 100 s.
const WORKER_START: Micros = 120 * S;

/// Load on one worker in slow start.
#[derive(Clone, Copy, Debug)]
struct Case {
    controllers: u32,
    /// Calls per second offered by all controllers together.
    offered: f64,
    /// Age of the worker at which the calls begin, and number of calls that each controller then holds at
    /// once.
    burst: Option<(Micros, usize)>,
    /// Maximum delay until a controller receives the list with the started worker; random per controller.
    list_delay_max: Micros,
    /// One in this many controllers restarts during the warm-up; 0 means none.
    restarts: u32,
    /// Number of times that the worker disappears from all lists and returns, in a row during the warm-up.
    list_flaps: u32,
}

/// One controller with calls at a constant mean rate, and no disturbance.
const PLAIN: Case =
    Case { controllers: 1, offered: 80.0, burst: None, list_delay_max: 0, restarts: 0, list_flaps: 0 };

/// An event of the simulation, with the index of the controller that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    /// The controller receives a list with the started worker.
    ListUpdated(usize),
    /// The controller receives an empty list.
    Removed(usize),
    ControllerRestarts(usize),
    CallArrives(usize),
    /// The attempt with this request id and number is answered.
    Answered(usize, u64, u32),
    Timer(usize),
}

/// The controllers of a case, with the events scheduled for them.
struct Fleet {
    case: Case,
    rng: ChaCha8Rng,
    controllers: Vec<Controller>,
    /// Scheduled events by time, then in the order of their scheduling.
    schedule: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    last_sequence: u64,
    last_request: u64,
    /// Whether each controller is notified of the start; sends of the others don't count.
    notified: Vec<bool>,
    /// Send times of the calls of notified controllers.
    sends: Vec<Micros>,
}

impl Fleet {
    fn settings(case: Case, controller_index: u32) -> Settings {
        Settings { controller_index, controllers: case.controllers, ..settings() }
    }

    fn new(case: Case, seed: u64) -> Self {
        let start = |index| {
            Controller::new(Self::settings(case, index), seed ^ u64::from(index))
                .expect("the settings are valid")
        };
        let controllers = (0..case.controllers).map(start).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let notified = vec![false; case.controllers as usize];
        let schedule = BinaryHeap::new();
        let mut fleet = Self {
            case,
            rng,
            controllers,
            schedule,
            last_sequence: 0,
            last_request: 0,
            notified,
            sends: Vec::new(),
        };
        for index in 0..fleet.controllers.len() {
            fleet.send_list(index, 100 * S, ListForm::Restored, None);
            // Each controller measures the core time of the class.
            for n in 0..40 {
                let now = 101 * S + n * S / 10;
                let id = fleet.call(index, now);
                fleet.handle(index, now + CPU_TIME, served(id, 0));
            }
        }
        fleet.schedule.clear();
        fleet.sends.clear();
        for index in 0..fleet.controllers.len() {
            let notified = WORKER_START + fleet.rng.random_range(0..=fleet.case.list_delay_max);
            fleet.schedule_event(notified, ScheduledEvent::ListUpdated(index));
            for n in 0..fleet.case.list_flaps {
                let gone = WORKER_START + 3 * S + u64::from(n) * 100 * MS;
                fleet.schedule_event(gone, ScheduledEvent::Removed(index));
                fleet.schedule_event(gone + 10 * MS, ScheduledEvent::ListUpdated(index));
            }
            let first = fleet.case.burst.map_or(110 * S, |(age, _)| WORKER_START + age);
            for _ in 0..fleet.case.burst.map_or(1, |(_, held)| held) {
                fleet.schedule_event(first, ScheduledEvent::CallArrives(index));
            }
            if case.restarts > 0 && fleet.rng.random_range(0..case.restarts) == 0 {
                let age = fleet.rng.random_range(0..15 * S);
                fleet.schedule_event(WORKER_START + age, ScheduledEvent::ControllerRestarts(index));
            }
        }
        fleet
    }

    fn schedule_event(&mut self, time: Micros, event: ScheduledEvent) {
        self.last_sequence += 1;
        self.schedule.push(Reverse((time, self.last_sequence, event)));
    }

    /// Passes a list with only the worker to a controller.
    fn send_list(&mut self, index: usize, now: Micros, form: ListForm, started_at: Option<Micros>) {
        self.notified[index] = started_at.is_some();
        let entries = vec![WorkerEntry { started_at, ..entry(1) }];
        self.handle(index, now, Event::Workers { form, entries });
    }

    /// Passes a new request to a controller and returns its id.
    fn call(&mut self, index: usize, now: Micros) -> u64 {
        self.last_request += 1;
        self.handle(index, now, Event::Request(request(self.last_request, 0, 9, 64)));
        self.last_request
    }

    /// Passes an event to a controller and schedules the effects of the resulting actions.
    fn handle(&mut self, index: usize, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controllers[index].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    if self.notified[index] {
                        self.sends.push(now);
                    }
                    self.schedule_event(now + CPU_TIME, ScheduledEvent::Answered(index, request.0, 0));
                }
                Action::SetTimer { after, .. } => {
                    self.schedule_event(now + after, ScheduledEvent::Timer(index))
                }
                _ => {}
            }
        }
    }

    /// Runs until the worker has warmed up; returns the send times of its calls.
    fn run(mut self) -> Vec<Micros> {
        let until = WORKER_START + settings().rules.warm_up;
        while let Some(Reverse((now, _, event))) = self.schedule.pop() {
            if now >= until {
                break;
            }
            match event {
                ScheduledEvent::ListUpdated(index) => {
                    self.send_list(index, now, ListForm::Complete, Some(WORKER_START))
                }
                ScheduledEvent::Removed(index) => {
                    let entries = Vec::new();
                    self.handle(index, now, Event::Workers { form: ListForm::Complete, entries });
                }
                ScheduledEvent::ControllerRestarts(index) => {
                    self.controllers[index] = Controller::new(Self::settings(self.case, index as u32), now)
                        .expect("the settings are valid");
                    self.send_list(index, now, ListForm::Restored, Some(WORKER_START));
                }
                ScheduledEvent::CallArrives(index) => {
                    self.call(index, now);
                    if self.case.burst.is_none() {
                        // Calls arrive as a Poisson process.
                        let mean = f64::from(self.case.controllers) / self.case.offered;
                        let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() * mean * S as f64;
                        self.schedule_event(
                            now + (wait as Micros).max(1),
                            ScheduledEvent::CallArrives(index),
                        );
                    }
                }
                ScheduledEvent::Answered(index, id, number) => self.handle(index, now, served(id, number)),
                ScheduledEvent::Timer(index) => self.handle(index, now, Event::Timer { tag: 1 }),
            }
        }
        self.sends
    }
}

/// The event that an attempt was served.
fn served(id: u64, attempt: u32) -> Event {
    Event::Outcome {
        request: RequestId(id),
        attempt,
        worker: WorkerId(1),
        outcome: Outcome::Ok,
        finished: true,
        elapsed: CPU_TIME,
        note: Some(LoadNote::Warm),
        concurrent_calls: None,
        report: None,
    }
}

/// Calls that a worker of this age may be sent in an overload span: N in the site's rule.
fn budget(age: Micros) -> f64 {
    let rules = settings().rules;
    let share = rules.start_capacity + (1.0 - rules.start_capacity) * age as f64 / rules.warm_up as f64;
    rules.overload_factor * share.min(1.0) * rules.overload_span as f64 / CPU_TIME as f64
}

/// The calls sent in one overload span.
struct Window {
    /// Calls above the bound of N + 2 sqrt(N) + 2; negative if below.
    excess: f64,
    /// Number of calls sent.
    sent: usize,
    /// N at the start of the window.
    budget: f64,
}

/// Returns the window that exceeds the bound most, or comes closest to it.
fn worst_window(sends: &[Micros]) -> Window {
    let span = settings().rules.overload_span;
    let mut window = VecDeque::new();
    let mut worst = Window { excess: f64::NEG_INFINITY, sent: 0, budget: 0.0 };
    for sent in sends {
        window.push_back(*sent);
        while window.front().is_some_and(|first| first + span <= *sent) {
            window.pop_front();
        }
        let budget = budget(sent.saturating_sub(span).saturating_sub(WORKER_START));
        let excess = window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
        if excess > worst.excess {
            worst = Window { excess, sent: window.len(), budget };
        }
    }
    worst
}

/// Runs the case with several seeds. All controllers together must stay within the bound in every window.
/// They must also use at least the share `min_used` of the calls that the rule permits over the warm-up, as a
/// slow start that sends nothing would keep the bound too.
fn assert_budget_holds(case: Case, seeds: u64, min_used: f64) {
    let rules = settings().rules;
    let permitted = budget(rules.warm_up / 2) * rules.warm_up as f64 / rules.overload_span as f64;
    for seed in 0..seeds {
        let sends = Fleet::new(case, seed).run();
        let Window { excess, sent, budget } = worst_window(&sends);
        let used = sends.len() as f64 / permitted;
        println!(
            "{case:?} seed {seed}: at most {sent} calls in a window with a budget of {budget:.1}, \
             {excess:+.1} above the bound; {used:.2} of the budget used"
        );
        assert!(
            excess <= 0.0,
            "{sent} calls in a window with a budget of {budget:.1}: {case:?}, seed {seed}"
        );
        assert!(used >= min_used, "{used:.2} of the budget used: {case:?}, seed {seed}");
    }
}

#[test]
fn the_slow_start_budget_holds_for_one_to_three_hundred_controllers_under_overload() {
    for controllers in [1, 3, 20, 30, 300] {
        assert_budget_holds(Case { controllers, offered: 200.0, ..PLAIN }, 4, 0.4);
    }
}

#[test]
fn the_budget_holds_where_many_controllers_call_seldom() {
    for (controllers, min_used) in [(20, 0.4), (30, 0.4), (300, 0.2)] {
        assert_budget_holds(Case { controllers, offered: 40.0, ..PLAIN }, 4, min_used);
    }
}

#[test]
fn the_budget_holds_with_late_lists_and_restarted_controllers() {
    for controllers in [3, 20, 30, 300] {
        let case = Case { controllers, offered: 200.0, list_delay_max: 3 * S, restarts: 3, ..PLAIN };
        assert_budget_holds(case, 4, 0.25);
    }
}

#[test]
fn the_budget_holds_where_lists_lose_the_worker_for_a_moment() {
    for controllers in [1, 20, 300] {
        assert_budget_holds(Case { controllers, offered: 200.0, list_flaps: 10, ..PLAIN }, 2, 0.25);
    }
}

#[test]
fn the_budget_holds_where_all_controllers_begin_to_call_at_once_long_after_the_start() {
    for controllers in [1, 3, 20, 30, 300] {
        for age in [S, 4 * S, 8 * S, 12 * S] {
            assert_budget_holds(Case { controllers, burst: Some((age, 8)), ..PLAIN }, 1, 0.0);
        }
    }
}
