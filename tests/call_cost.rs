//! The cost of a call and the size of the state must not grow with the number of workers. Cost is measured in
//! rendezvous hashes instead of time, so that the tests are deterministic.

mod common;
use common::*;
use nettleferry::*;

/// Number of functions called in one round.
const FUNCTIONS: u64 = 200;

struct Cost {
    /// Hashes per call, for the first call of each function.
    first: f64,
    /// Hashes per call, for a second call after some workers were replaced.
    repeated: f64,
    /// State entries per function.
    state_entries: f64,
}

/// Makes calls with consecutive ids.
struct Calls {
    harness: Harness,
    last_id: u64,
}

impl Calls {
    fn new(workers: u64) -> Self {
        Self { harness: Harness::new(settings(), workers), last_id: 0 }
    }

    /// Makes a call that is answered by the worker it was sent to.
    fn answered(&mut self, function: u64) {
        self.last_id += 1;
        let actions = self.harness.call(self.last_id, 0, function, 2);
        let worker = actions.iter().find_map(|action| match action {
            Action::Send { worker, .. } => Some(worker.0),
            _ => None,
        });
        self.harness.end_attempt(
            self.last_id,
            0,
            worker.expect("a worker takes the call"),
            Outcome::Ok,
            None,
        );
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
    let entries_before = calls.harness.controller.state_entries();
    let first = calls.round(0..0);
    let state_entries = (calls.harness.controller.state_entries() - entries_before) as f64 / FUNCTIONS as f64;
    let repeated = calls.round(1..11);
    Cost { first, repeated, state_entries }
}

#[test]
fn cost_and_state_of_a_known_function_do_not_grow_with_the_fleet() {
    let (small, large) = (cost(500), cost(8_000));
    let growth = |small: f64, large: f64| large / small.max(1.0);
    assert!(
        growth(small.state_entries, large.state_entries) < 1.5,
        "state entries per function: {} with 500 workers, {} with 8,000",
        small.state_entries,
        large.state_entries
    );
    assert!(
        growth(small.repeated, large.repeated) < 2.0,
        "hashes per repeated call: {} with 500 workers, {} with 8,000",
        small.repeated,
        large.repeated
    );
    assert!(large.repeated < 100.0, "{} hashes per repeated call", large.repeated);
    // The first call of a function makes a single pass over the list.
    assert!(large.first < 2.0 * 8_000.0, "{} hashes per first call", large.first);
}

/// Calls many functions once each, at a rate of 880,000 per hour. The size of the state must become constant
/// and correspond to the functions called within the retention time.
#[test]
fn functions_that_are_called_once_are_removed_from_the_state() {
    let mut calls = Calls::new(300);
    let mut most_at_once = vec![0; 6];
    for function in 0..30_000 {
        calls.harness.now += CALL_INTERVAL;
        calls.answered(1_000 + function);
        if function % 100 == 0 {
            // Sweeps run every ten seconds, so the maximum over twenty seconds is compared.
            let most = &mut most_at_once[function as usize / 5_000];
            *most = calls.harness.controller.state_entries().max(*most);
        }
    }
    let (least, most) = (most_at_once[3..].iter().min().unwrap(), most_at_once[3..].iter().max().unwrap());
    assert!(most * 20 <= least * 21, "the size of the state is constant: {most_at_once:?}");
    let entries_per_function = *most as f64 / (REMOVED_AFTER / CALL_INTERVAL) as f64;
    assert!(entries_per_function < 60.0, "only recent functions are kept: {most_at_once:?}");
}

/// Time between two calls at 880,000 calls per hour.
const CALL_INTERVAL: Micros = 4_091;
/// Longest time from the last call of a function to its removal: the retention of three ten-second windows,
/// plus the sweep interval and the steps of the sweep.
const REMOVED_AFTER: Micros = 45 * S;
