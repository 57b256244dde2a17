//! What all controllers together send one cold worker, over made-up time: in any window of the told fall span, not only in
//! aligned ones, and whoever started, restarted or heard of it when.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use common::*;
use nettleferry::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Core time of a call.
const WORK: Micros = 50 * MS;
/// When the worker starts; all controllers run since 100 s.
const BORN: Micros = 120 * S;

/// A day of one cold worker.
#[derive(Clone, Copy, Debug)]
struct Day {
    controllers: u32,
    /// Calls a second that all controllers together would send there.
    offered: f64,
    /// Nobody asks for anything before this age of the worker; then all at once hold so many calls each.
    burst: Option<(Micros, usize)>,
    /// The list that tells of the start comes so much later at the most, to each at a time of its own.
    late: Micros,
    /// One of so many controllers starts anew while the worker is cold; 0: none.
    restarts: u32,
    /// All see it gone and back this often in a row while it is cold.
    flaps: u32,
}

const PLAIN: Day = Day { controllers: 1, offered: 80.0, burst: None, late: 0, restarts: 0, flaps: 0 };

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Happens {
    Told(usize),
    Gone(usize),
    Restarts(usize),
    Asked(usize),
    Answered(usize, u64, u32),
    Timer(usize),
}

struct Fleet {
    day: Day,
    rng: ChaCha8Rng,
    controllers: Vec<Controller>,
    due: BinaryHeap<Reverse<(Micros, u64, Happens)>>,
    order: u64,
    next: u64,
    /// Who has been told of the start: what the others send, none of them can help.
    told: Vec<bool>,
    sends: Vec<Micros>,
}

impl Fleet {
    fn settings(day: Day, me: u32) -> Settings {
        Settings { me, controllers: day.controllers, ..settings() }
    }

    fn new(day: Day, seed: u64) -> Self {
        let start = |me| Controller::new(Self::settings(day, me), seed ^ u64::from(me)).expect("sound");
        let controllers = (0..day.controllers).map(start).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let told = vec![false; day.controllers as usize];
        let due = BinaryHeap::new();
        let mut fleet = Self { day, rng, controllers, due, order: 0, next: 0, told, sends: Vec::new() };
        for at in 0..fleet.controllers.len() {
            fleet.list(at, 100 * S, ListForm::Restored, None);
            // Each knows what a call of the class takes.
            for n in 0..40 {
                let now = 101 * S + n * S / 10;
                let id = fleet.ask(at, now);
                fleet.feed(at, now + WORK, ended(id, 0));
            }
        }
        fleet.due.clear();
        fleet.sends.clear();
        for at in 0..fleet.controllers.len() {
            let told = BORN + fleet.rng.random_range(0..=fleet.day.late);
            fleet.at(told, Happens::Told(at));
            for n in 0..fleet.day.flaps {
                let gone = BORN + 3 * S + u64::from(n) * 100 * MS;
                fleet.at(gone, Happens::Gone(at));
                fleet.at(gone + 10 * MS, Happens::Told(at));
            }
            let first = fleet.day.burst.map_or(110 * S, |(age, _)| BORN + age);
            for _ in 0..fleet.day.burst.map_or(1, |(_, held)| held) {
                fleet.at(first, Happens::Asked(at));
            }
            if day.restarts > 0 && fleet.rng.random_range(0..day.restarts) == 0 {
                let age = fleet.rng.random_range(0..15 * S);
                fleet.at(BORN + age, Happens::Restarts(at));
            }
        }
        fleet
    }

    fn at(&mut self, when: Micros, what: Happens) {
        self.order += 1;
        self.due.push(Reverse((when, self.order, what)));
    }

    fn list(&mut self, at: usize, now: Micros, form: ListForm, born: Option<Micros>) {
        self.told[at] = born.is_some();
        let entries = vec![WorkerEntry { started_at: born, ..entry(1) }];
        self.feed(at, now, Event::Workers { form, entries });
    }

    fn ask(&mut self, at: usize, now: Micros) -> u64 {
        self.next += 1;
        self.feed(at, now, Event::Request(request(self.next, 0, 9, 64)));
        self.next
    }

    fn feed(&mut self, at: usize, now: Micros, event: Event) {
        let mut actions = Vec::new();
        self.controllers[at].handle(now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send { request, .. } => {
                    if self.told[at] {
                        self.sends.push(now);
                    }
                    self.at(now + WORK, Happens::Answered(at, request.0, 0));
                }
                Action::SetTimer { after, .. } => self.at(now + after, Happens::Timer(at)),
                _ => {}
            }
        }
    }

    /// Plays until the worker is warm; gives when what was sent to it.
    fn play(mut self) -> Vec<Micros> {
        let until = BORN + settings().rules.warm_up;
        while let Some(Reverse((now, _, what))) = self.due.pop() {
            if now >= until {
                break;
            }
            match what {
                Happens::Told(at) => self.list(at, now, ListForm::Complete, Some(BORN)),
                Happens::Gone(at) => {
                    let entries = Vec::new();
                    self.feed(at, now, Event::Workers { form: ListForm::Complete, entries });
                }
                Happens::Restarts(at) => {
                    self.controllers[at] =
                        Controller::new(Self::settings(self.day, at as u32), now).expect("sound");
                    self.list(at, now, ListForm::Restored, Some(BORN));
                }
                Happens::Asked(at) => {
                    self.ask(at, now);
                    if self.day.burst.is_none() {
                        // Each by itself, at random.
                        let mean = f64::from(self.day.controllers) / self.day.offered;
                        let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() * mean * S as f64;
                        self.at(now + (wait as Micros).max(1), Happens::Asked(at));
                    }
                }
                Happens::Answered(at, id, number) => self.feed(at, now, ended(id, number)),
                Happens::Timer(at) => self.feed(at, now, Event::Timer { tag: 1 }),
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
        elapsed: WORK,
        note: Some(LoadNote::Warm),
        concurrent_calls: None,
        report: None,
    }
}

/// Calls that a worker of this age may be sent in a fall span: the rule's N.
fn budget(age: Micros) -> f64 {
    let rules = settings().rules;
    let share = rules.start_capacity + (1.0 - rules.start_capacity) * age as f64 / rules.warm_up as f64;
    rules.overload_factor * share.min(1.0) * rules.overload_span as f64 / WORK as f64
}

/// The window that comes nearest to what is put down to chance, 2 sqrt(N) + 2 over N, N as of its beginning: by how much it
/// is over (below 0: under), its sends, its N.
fn worst(sends: &[Micros]) -> (f64, usize, f64) {
    let fall = settings().rules.overload_span;
    let (mut window, mut worst) = (VecDeque::new(), (f64::NEG_INFINITY, 0, 0.0));
    for sent in sends {
        window.push_back(*sent);
        while window.front().is_some_and(|first| first + fall <= *sent) {
            window.pop_front();
        }
        let budget = budget(sent.saturating_sub(fall).saturating_sub(BORN));
        let over = window.len() as f64 - (budget + 2.0 * budget.sqrt() + 2.0);
        if over > worst.0 {
            worst = (over, window.len(), budget);
        }
    }
    worst
}

/// Plays the day over seeds; its sum must hold in every window, and at least this share of all that the rule allows over the
/// cold time must be used: a ramp that sends nothing is no answer.
fn holds(day: Day, seeds: u64, useful: f64) {
    let rules = settings().rules;
    let all = budget(rules.warm_up / 2) * rules.warm_up as f64 / rules.overload_span as f64;
    for seed in 0..seeds {
        let sends = Fleet::new(day, seed).play();
        let (over, sent, budget) = worst(&sends);
        let used = sends.len() as f64 / all;
        println!(
            "{day:?} seed {seed}: most {sent} of {budget:.1} in a window, {over:+.1}; {used:.2} of all used"
        );
        assert!(over <= 0.0, "{sent} in a window for {budget:.1}: {day:?}, seed {seed}");
        assert!(used >= useful, "{used:.2} of the budget used: {day:?}, seed {seed}");
    }
}

#[test]
fn the_sum_of_one_to_three_hundred_controllers_holds_under_overload() {
    for controllers in [1, 3, 20, 30, 300] {
        holds(Day { controllers, offered: 200.0, ..PLAIN }, 4, 0.4);
    }
}

#[test]
fn it_holds_where_many_ask_seldom() {
    for (controllers, useful) in [(20, 0.4), (30, 0.4), (300, 0.2)] {
        holds(Day { controllers, offered: 40.0, ..PLAIN }, 4, useful);
    }
}

#[test]
fn it_holds_with_lists_that_come_late_and_controllers_that_start_anew() {
    for controllers in [3, 20, 30, 300] {
        let day = Day { controllers, offered: 200.0, late: 3 * S, restarts: 3, ..PLAIN };
        holds(day, 4, 0.25);
    }
}

#[test]
fn it_holds_where_lists_lose_the_worker_and_find_it_again() {
    for controllers in [1, 20, 300] {
        holds(Day { controllers, offered: 200.0, flaps: 10, ..PLAIN }, 2, 0.25);
    }
}

#[test]
fn it_holds_where_all_begin_to_ask_at_once_long_after_the_start() {
    for controllers in [1, 3, 20, 30, 300] {
        for age in [S, 4 * S, 8 * S, 12 * S] {
            holds(Day { controllers, burst: Some((age, 8)), ..PLAIN }, 1, 0.0);
        }
    }
}
