//! Compares the order in which calls use the workers with a complete sort of the list.

mod common;
use std::collections::BTreeMap;

use common::*;
use nettleferry::*;

/// The reference order: workers in service by ascending score, ties broken by id.
fn reference(function: u64, listed: &BTreeMap<u64, WorkerEntry>, weighted: bool) -> Vec<u64> {
    let mut scored: Vec<(f64, u64)> = listed
        .values()
        .filter(|entry| entry.state == WorkerState::On)
        .map(|entry| {
            let worker = entry.worker.0;
            let hash = mix(mix(function) ^ mix(worker.wrapping_mul(0x2545_f491_4f6c_dd1d)));
            let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            let weight = if weighted && entry.weight > 0.0 { entry.weight } else { 1.0 };
            (-unit.min(0.999_999_999).ln() / weight, worker)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, worker)| worker).collect()
}

/// SplitMix64, written out again so that the reference does not depend on the library.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A controller, and the worker list it received.
struct ListedController {
    harness: Harness,
    listed: BTreeMap<u64, WorkerEntry>,
    /// Whether the weights in the list count.
    weighted: bool,
    /// Number of calls so far; the ids of the calls count from 1.
    calls: u64,
}

impl ListedController {
    fn new(settings: Settings, entries: Vec<WorkerEntry>) -> Self {
        let weighted = matches!(settings.weights, Weights::Nominal | Weights::Rough);
        let mut controller =
            Self { harness: Harness::new(settings, 0), listed: BTreeMap::new(), weighted, calls: 0 };
        controller.update(ListForm::Complete, entries);
        controller
    }

    fn update(&mut self, form: ListForm, entries: Vec<WorkerEntry>) {
        if form == ListForm::Complete {
            self.listed.clear();
        }
        for entry in &entries {
            self.listed.insert(entry.worker.0, entry.clone());
        }
        self.harness.handle(Event::Workers { form, entries });
    }

    /// Returns the worker that a call of the function is sent to. The call is cancelled at once, so that it
    /// leaves no replica.
    fn first_worker(&mut self, function: u64) -> Option<u64> {
        self.calls += 1;
        let id = self.calls;
        let sent_to = sent(&self.harness.call(id, 0, function, 2), id);
        self.harness.handle(Event::ClientGone { request: RequestId(id) });
        if let Some(worker) = sent_to {
            self.harness.end_attempt(id, 0, worker, Outcome::Cancelled, None);
        }
        sent_to
    }

    /// Checks that calls of each function are sent to the first worker of its reference order.
    fn check(&mut self, functions: std::ops::Range<u64>) {
        for function in functions {
            let first = reference(function, &self.listed, self.weighted).first().copied();
            assert_eq!(self.first_worker(function), first, "the first home of function {function}");
        }
    }

    /// Ends each attempt of one call with the same outcome, and returns the workers that the call was sent to,
    /// in order.
    fn workers_tried(&mut self, function: u64, outcome: Outcome, attempts: u32) -> Vec<u64> {
        self.calls += 1;
        let id = self.calls;
        let mut sent_to = sent(&self.harness.call(id, 0, function, 2), id);
        let mut tried = Vec::new();
        while let Some(worker) = sent_to.filter(|_| tried.len() < attempts as usize) {
            tried.push(worker);
            let actions =
                self.harness.end_attempt_after(id, tried.len() as u32 - 1, worker, outcome, None, MS);
            sent_to = sent(&actions, id);
        }
        tried
    }
}

/// Returns the worker that the call is sent to by these actions.
fn sent(actions: &[Action], id: u64) -> Option<u64> {
    actions.iter().find_map(|action| match action {
        Action::Send { request, worker, .. } if request.0 == id => Some(worker.0),
        _ => None,
    })
}

fn entries(workers: std::ops::Range<u64>) -> Vec<WorkerEntry> {
    workers.map(entry).collect()
}

fn changed(worker: u64, state: WorkerState) -> WorkerEntry {
    WorkerEntry { state, ..entry(worker) }
}

#[test]
fn a_completely_replaced_list_leaves_nothing_of_the_old_order() {
    let mut controller = ListedController::new(settings(), entries(1..1_000));
    controller.check(0..100);
    controller.update(ListForm::Complete, entries(5_000..6_000));
    controller.check(0..200);
    controller.update(ListForm::Complete, entries(1..1_000));
    controller.check(0..200);
}

#[test]
fn two_thousand_workers_that_go_at_once_and_return_have_their_old_positions() {
    let mut controller = ListedController::new(settings(), entries(1..4_001));
    controller.check(0..50);
    let every_other_worker =
        |state| (1..4_001).step_by(2).map(|worker| changed(worker, state)).collect::<Vec<_>>();
    controller.update(ListForm::Changes, every_other_worker(WorkerState::Gone));
    controller.check(0..100);
    controller.harness.advance(5 * S);
    controller.update(ListForm::Changes, every_other_worker(WorkerState::On));
    controller.check(0..100);
}

#[test]
fn weights_that_all_differ_set_the_order() {
    let weighted_settings = Settings { weights: Weights::Nominal, ..settings() };
    let entries_with_weights = |shift: f64| {
        let weight = move |worker| 0.1 + shift + worker as f64 / 100.0;
        entries(1..800).into_iter().map(move |entry| WorkerEntry { weight: weight(entry.worker.0), ..entry })
    };
    let mut controller = ListedController::new(weighted_settings, entries_with_weights(0.0).collect());
    controller.check(0..200);
    controller.update(ListForm::Changes, entries_with_weights(3.0).step_by(50).collect());
    controller.check(0..200);
    controller.update(ListForm::Complete, entries_with_weights(1.5).collect());
    controller.check(0..200);
    let unusual_weights = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300];
    let unusual_entries = unusual_weights
        .iter()
        .zip(10..)
        .map(|(weight, worker)| WorkerEntry { weight: *weight, ..entry(worker) });
    controller.update(ListForm::Changes, unusual_entries.collect());
    controller.check(0..200);
}

#[test]
fn the_order_continues_after_forty_homes_have_drained() {
    for function in 0..20 {
        let mut controller = ListedController::new(settings(), entries(1..600));
        controller.check(function..function + 1);
        let order = reference(function, &controller.listed, false);
        // The homes are repaired after each change, and computed again when few are left.
        for (gone, next) in order.iter().zip(&order[1..]).take(40) {
            controller.update(ListForm::Changes, vec![changed(*gone, WorkerState::Draining)]);
            assert_eq!(controller.first_worker(function), Some(*next));
        }
    }
}

#[test]
fn the_order_continues_beyond_fifty_full_or_ejected_workers() {
    for (size, function) in [(60, 1), (600, 2), (600, 3), (3_000, 4)] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
            let mut settings = settings();
            settings.limits.max_attempts = 50;
            let mut controller = ListedController::new(settings, entries(1..size + 1));
            let order = reference(function, &controller.listed, false);
            assert_eq!(
                controller.workers_tried(function, outcome, 50),
                &order[..50],
                "{outcome:?} at {size} workers"
            );
        }
    }
}

#[test]
fn a_worker_that_is_back_under_its_id_has_its_old_position_and_no_replicas() {
    let mut controller = ListedController::new(settings(), entries(1..500));
    let order = reference(9, &controller.listed, false);
    let home = order[0];
    controller.harness.call(1_000_000, 0, 9, 2);
    controller.harness.end_attempt(1_000_000, 0, home, Outcome::Ok, None);
    for _ in 0..3 {
        controller.update(ListForm::Changes, vec![changed(home, WorkerState::Gone)]);
        assert_eq!(controller.first_worker(9), Some(order[1]));
        let started_at = Some(controller.harness.now - 60 * S);
        controller.update(ListForm::Changes, vec![WorkerEntry { started_at, ..entry(home) }]);
        assert_eq!(controller.first_worker(9), Some(home));
    }
}

/// The first controller receives each change on its own, with calls in between; the second receives batches
/// in which a worker may change more than once; the third receives only the complete list.
#[test]
fn controllers_that_received_the_same_changes_in_other_batches_have_the_same_order() {
    let all = entries(1..1_000);
    let mut controllers: Vec<ListedController> =
        (0..3).map(|_| ListedController::new(settings(), all.clone())).collect();
    let mut random = 11;
    for _ in 0..30 {
        let mut batch = Vec::new();
        for _ in 0..40 {
            random = mix(random);
            let state =
                [WorkerState::On, WorkerState::Gone, WorkerState::Draining][(random >> 20) as usize % 3];
            batch.push(changed(1 + random % 1_100, state));
        }
        for (index, entry) in batch.iter().enumerate() {
            controllers[0].update(ListForm::Changes, vec![entry.clone()]);
            let function = index as u64;
            controllers[0].check(function..function + 1);
        }
        controllers[1].update(ListForm::Changes, batch);
    }
    let listed: Vec<WorkerEntry> = controllers[0].listed.values().cloned().collect();
    controllers[2].update(ListForm::Complete, listed);
    for function in 0..300 {
        let first = controllers[0].first_worker(function);
        assert!(first.is_some());
        assert!(
            controllers.iter_mut().all(|controller| controller.first_worker(function) == first),
            "function {function}"
        );
    }
}
