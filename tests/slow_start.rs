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

/// Core time of a call.
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
    late: Micros,
    /// One in this many controllers restarts during the warm-up; 0 means none.
    restarts: u32,
    /// Number of times in a row that the worker disappears from all lists and returns during the warm-up.
    flaps: u32,
}

const PLAIN: Case = Case { controllers: 1, offered: 80.0, burst: None, late: 0, restarts: 0, flaps: 0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ScheduledEvent {
    ListUpdated(usize),
    Removed(usize),
    ControllerRestarts(usize),
    CallArrives(usize),
    Answered(usize, u64, u32),
    Timer(usize),
}

struct Fleet {
    case: Case,
    rng: ChaCha8Rng,
    controllers: Vec<Controller>,
    due: BinaryHeap<Reverse<(Micros, u64, ScheduledEvent)>>,
    order: u64,
    next: u64,
    /// Which controllers are notified of the start; sends of the others don't count.
    notified: Vec<bool>,
    sends: Vec<Micros>,
}

impl Fleet {
    fn settings(case: Case, me: u32) -> Settings {
        Settings { controller_index: me, controllers: case.controllers, ..settings() }
    }

    fn new(case: Case, seed: u64) -> Self {
        let start = |me| {
            Controller::new(Self::settings(case, me), seed ^ u64::from(me)).expect("the settings are valid")
        };
        let controllers = (0..case.controllers).map(start).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let notified = vec![false; case.controllers as usize];
        let due = BinaryHeap::new();
        let mut fleet = Self { case, rng, controllers, due, order: 0, next: 0, notified, sends: Vec::new() };
        for at in 0..fleet.controllers.len() {
            fleet.list(at, 100 * S, ListForm::Restored, None);
            // Each controller measures the core time of the class.
            for n in 0..40 {
                let now = 101 * S + n * S / 10;
                let id = fleet.call(at, now);
                fleet.handle(at, now + CPU_TIME, ended(id, 0));
            }
        }
        fleet.due.clear();
        fleet.sends.clear();
        for at in 0..fleet.controllers.len() {
            let notified = WORKER_START + fleet.rng.random_range(0..=fleet.case.late);
            fleet.at(notified, ScheduledEvent::ListUpdated(at));
            for n in 0..fleet.case.flaps {
                let gone = WORKER_START + 3 * S + u64::from(n) * 100 * MS;
                fleet.at(gone, ScheduledEvent::Removed(at));
                fleet.at(gone + 10 * MS, ScheduledEvent::ListUpdated(at));
            }
            let first = fleet.case.burst.map_or(110 * S, |(age, _)| WORKER_START + age);
            for _ in 0..fleet.case.burst.map_or(1, |(_, held)| held) {
                fleet.at(first, ScheduledEvent::CallArrives(at));
            }
            if case.restarts > 0 && fleet.rng.random_range(0..case.restarts) == 0 {
                let age = fleet.rng.random_range(0..15 * S);
                fleet.at(WORKER_START + age, ScheduledEvent::ControllerRestarts(at));
            }
        }
        fleet
    }

    fn at(&mut self, when: Micros, what: ScheduledEvent) {
        self.order += 1;
        self.due.push(Reverse((when, self.order, what)));
    }

    fn list(&mut self, at: usize, now: Micros, form: ListForm, started_at: Option<Micros>) {
        self.notified[at] = started_at.is_some();
        let entries = vec![WorkerEntry { started_at, ..entry(1) }];
        self.handle(at, now, Event::Workers { form, entries });
    }

    fn call(&mut self, at: usize, now: Micros) -> u64 {
        self.next += 1;
        self.handle(at, now, Event::Request(request(self.next, 0, 9, 64)));
        self.next
    }

    fn handle(&mut self, at: usize, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controllers[at].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    if self.notified[at] {
                        self.sends.push(now);
                    }
                    self.at(now + CPU_TIME, ScheduledEvent::Answered(at, request.0, 0));
                }
                Action::SetTimer { after, .. } => self.at(now + after, ScheduledEvent::Timer(at)),
                _ => {}
            }
        }
    }

    /// Runs until the worker has warmed up; returns the send times of its calls.
    fn run(mut self) -> Vec<Micros> {
        let until = WORKER_START + settings().rules.warm_up;
        while let Some(Reverse((now, _, what))) = self.due.pop() {
            if now >= until {
                break;
            }
            match what {
                ScheduledEvent::ListUpdated(at) => self.list(at, now, ListForm::Complete, Some(WORKER_START)),
                ScheduledEvent::Removed(at) => {
                    let entries = Vec::new();
                    self.handle(at, now, Event::Workers { form: ListForm::Complete, entries });
                }
                ScheduledEvent::ControllerRestarts(at) => {
                    self.controllers[at] = Controller::new(Self::settings(self.case, at as u32), now)
                        .expect("the settings are valid");
                    self.list(at, now, ListForm::Restored, Some(WORKER_START));
                }
                ScheduledEvent::CallArrives(at) => {
                    self.call(at, now);
                    if self.case.burst.is_none() {
                        // Calls arrive as a Poisson process.
                        let mean = f64::from(self.case.controllers) / self.case.offered;
                        let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() * mean * S as f64;
                        self.at(now + (wait as Micros).max(1), ScheduledEvent::CallArrives(at));
                    }
                }
                ScheduledEvent::Answered(at, id, number) => self.handle(at, now, ended(id, number)),
                ScheduledEvent::Timer(at) => self.handle(at, now, Event::Timer { tag: 1 }),
            }
        }
        self.sends
    }
}

fn ended(id: u64, attempt: u32) -> Event {
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
    over: f64,
    /// Number of calls sent.
    sent: usize,
    /// N at the start of the window.
    budget: f64,
}

/// Returns the window that exceeds the bound most, or comes closest to it.
fn worst_window(sends: &[Micros]) -> Window {
    let span = settings().rules.overload_span;
    let mut window = VecDeque::new();
    let mut worst = Window { over: f64::NEG_INFINITY, sent: 0, budget: 0.0 };
    for sent in sends {
        window.push_back(*sent);
        while window.front().is_some_and(|first| first + span <= *sent) {
            window.pop_front();
        }
        let budget = budget(sent.saturating_sub(span).saturating_sub(WORKER_START));
        let over = window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
        if over > worst.over {
            worst = Window { over, sent: window.len(), budget };
        }
    }
    worst
}

/// Runs the case with several seeds. All controllers together must stay within the bound in every window.
/// They must also use at least the share `useful` of the calls that the rule permits over the warm-up, as a
/// slow start that sends nothing is no solution.
fn assert_budget_holds(case: Case, seeds: u64, useful: f64) {
    let rules = settings().rules;
    let all = budget(rules.warm_up / 2) * rules.warm_up as f64 / rules.overload_span as f64;
    for seed in 0..seeds {
        let sends = Fleet::new(case, seed).run();
        let Window { over, sent, budget } = worst_window(&sends);
        let used = sends.len() as f64 / all;
        println!(
            "{case:?} seed {seed}: most {sent} of {budget:.1} in a window, {over:+.1}; {used:.2} of all used"
        );
        assert!(over <= 0.0, "{sent} in a window for {budget:.1}: {case:?}, seed {seed}");
        assert!(used >= useful, "{used:.2} of the budget used: {case:?}, seed {seed}");
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
    for (controllers, useful) in [(20, 0.4), (30, 0.4), (300, 0.2)] {
        assert_budget_holds(Case { controllers, offered: 40.0, ..PLAIN }, 4, useful);
    }
}

#[test]
fn the_budget_holds_with_late_lists_and_restarted_controllers() {
    for controllers in [3, 20, 30, 300] {
        let case = Case { controllers, offered: 200.0, late: 3 * S, restarts: 3, ..PLAIN };
        assert_budget_holds(case, 4, 0.25);
    }
}

#[test]
fn the_budget_holds_where_lists_lose_the_worker_for_a_moment() {
    for controllers in [1, 20, 300] {
        assert_budget_holds(Case { controllers, offered: 200.0, flaps: 10, ..PLAIN }, 2, 0.25);
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
