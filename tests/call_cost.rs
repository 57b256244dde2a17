//! The cost of a call and the size of the state must not grow with the number of workers. Cost is measured in
//! rendezvous hashes instead of time, so that the tests are deterministic.

mod common;
use common::*;
use nettleferry::*;

const FUNCTIONS: u64 = 200;

/// Hashes per call for first and repeated calls of functions, and state entries per function.
struct Cost {
    first: f64,
    seen: f64,
    state: f64,
}

struct Calls {
    harness: Harness,
    next: u64,
}

impl Calls {
    fn new(workers: u64) -> Self {
        Self { harness: Harness::new(settings(), workers), next: 0 }
    }

    /// Makes a call that is answered by the worker it was sent to.
    fn answered(&mut self, function: u64) {
        self.next += 1;
        let actions = self.harness.call(self.next, 0, function, 2);
        let to = actions.iter().find_map(|action| match action {
            Action::Send { worker, .. } => Some(worker.0),
            _ => None,
        });
        self.harness.end_attempt(self.next, 0, to.expect("there is room"), Outcome::Ok, None);
    }

    /// Calls each function once and replaces some workers in between; returns the hashes per call.
    fn round(&mut self, replaced: std::ops::Range<u64>) -> f64 {
        let before = self.harness.controller.hashes_computed();
        for function in 0..FUNCTIONS {
            if function % 20 == 0 && !replaced.is_empty() {
                let worker = replaced.start + function / 20;
                let gone = WorkerEntry { state: WorkerState::Gone, ..entry(worker) };
                let entries = vec![gone, entry(1_000_000 + worker)];
                self.harness.handle(Event::Workers { form: ListForm::Changes, entries });
            }
            self.answered(function);
        }
        (self.harness.controller.hashes_computed() - before) as f64 / FUNCTIONS as f64
    }
}

fn cost(workers: u64) -> Cost {
    let mut calls = Calls::new(workers);
    let empty = calls.harness.controller.state_entries();
    let first = calls.round(0..0);
    let state = (calls.harness.controller.state_entries() - empty) as f64 / FUNCTIONS as f64;
    let seen = calls.round(1..11);
    Cost { first, seen, state }
}

#[test]
fn cost_and_state_of_a_known_function_do_not_grow_with_the_fleet() {
    let (small, large) = (cost(500), cost(8_000));
    let grown = |small: f64, large: f64| large / small.max(1.0);
    assert!(grown(small.state, large.state) < 1.5, "state {} and {}", small.state, large.state);
    assert!(grown(small.seen, large.seen) < 2.0, "hashes a call {} and {}", small.seen, large.seen);
    assert!(large.seen < 100.0, "{} hashes a call", large.seen);
    // The first call of a function makes a single pass over the list.
    assert!(large.first < 2.0 * 8_000.0, "{} hashes for a first call", large.first);
}

/// Calls many functions once each, at a rate of 880,000 per hour. The size of the state must become constant
/// and correspond to the functions called within the retention time.
#[test]
fn functions_that_are_called_once_are_removed_from_the_state() {
    let mut calls = Calls::new(300);
    let mut most_at_once = vec![0; 6];
    for function in 0..30_000 {
        calls.harness.now += 4_091;
        calls.answered(1_000 + function);
        if function % 100 == 0 {
            // Sweeps run every ten seconds, so the maximum over twenty seconds is compared.
            let most = &mut most_at_once[function as usize / 5_000];
            *most = calls.harness.controller.state_entries().max(*most);
        }
    }
    let (least, most) = (most_at_once[3..].iter().min().unwrap(), most_at_once[3..].iter().max().unwrap());
    assert!(most * 20 <= least * 21, "the size of the state is constant: {most_at_once:?}");
    let by_function = *most as f64 / (FORGOTTEN_AFTER / 4_091) as f64;
    assert!(by_function < 60.0, "only recent functions are kept: {most_at_once:?}");
}

/// Retention of three ten-second windows, plus the sweep interval and the steps of the sweep.
const FORGOTTEN_AFTER: Micros = 45 * S;
