//! Tests of each step of the basic algorithm through the public interface.

mod common;
use common::*;
use nettleferry::*;

#[test]
fn a_call_goes_where_its_function_was_last_found_warm() {
    let mut harness = Harness::new(settings(), 6);
    let home = harness.serve_warm(1, 9, 2);
    assert_eq!(sent(&harness.call(2, 0, 9, 2)), Some(home));
}

#[test]
fn the_last_warm_worker_is_the_one_that_answered_even_if_not_first_in_order() {
    let mut harness = Harness::new(settings(), 6);
    let home = harness.serve_warm(1, 9, 2);
    // The home rejects the second call. Another worker serves it and becomes the last warm worker.
    let second_worker = sent(&harness.call(2, 0, 9, 2)).unwrap();
    assert_eq!(second_worker, home);
    harness.update_worker(home, WorkerState::Draining, None);
    let other = sent(&harness.end_attempt(2, 0, home, Outcome::Rejected, None)).unwrap();
    assert_ne!(other, home);
    harness.end_attempt(2, 1, other, Outcome::Ok, Some(LoadNote::Began));
    harness.update_worker(home, WorkerState::On, None);
    harness.advance(100 * MS);
    assert_eq!(sent(&harness.call(3, 0, 9, 2)), Some(other));
}

#[test]
fn the_last_warm_worker_is_forgotten_after_the_keep_alive() {
    let mut harness = Harness::new(settings(), 6);
    let home = harness.serve_warm(1, 9, 2);
    harness.update_worker(home, WorkerState::Draining, None);
    harness.advance(2 * MS);
    let other = sent(&harness.call(2, 0, 9, 2)).unwrap();
    harness.end_attempt(2, 0, other, Outcome::Ok, Some(LoadNote::Began));
    harness.update_worker(home, WorkerState::On, None);
    harness.advance(9 * S);
    assert_eq!(sent(&harness.call(3, 0, 9, 2)), Some(other));
    harness.end_attempt(3, 0, other, Outcome::Ok, Some(LoadNote::Warm));
    harness.advance(11 * S);
    assert_eq!(
        sent(&harness.call(4, 0, 9, 2)),
        Some(home),
        "the first worker of the order that all controllers share"
    );
}

#[test]
fn all_controllers_share_the_order() {
    let homes_of = |controller_index: u32, seed: u64| {
        let controller = Controller::new(Settings { controller_index, ..settings() }, seed).unwrap();
        let mut harness = Harness { controller, now: 50 * S, workers: vec![] };
        let entries: Vec<WorkerEntry> = (1..=9).map(entry).collect();
        harness.handle(Event::Workers { form: ListForm::Restored, entries });
        (0..20).map(|function| harness.serve_warm(function, function, 2)).collect::<Vec<_>>()
    };
    let homes = homes_of(0, 1);
    assert_eq!(homes, homes_of(2, 99));
    assert!(
        homes.iter().collect::<std::collections::BTreeSet<_>>().len() > 3,
        "functions spread over workers"
    );
}

#[test]
fn calls_below_the_lanes_bound_are_sent_and_the_next_is_held_until_a_response() {
    let mut harness = Harness::new(settings(), 1);
    harness.serve_warm(1, 9, 2);
    assert_eq!(sent(&harness.call(2, 0, 9, 2)), Some(1));
    assert_eq!(sent(&harness.call(3, 0, 9, 2)), Some(1));
    assert_eq!(sent(&harness.call(4, 0, 9, 2)), None);
    assert_eq!(sends(&harness.end_attempt(2, 0, 1, Outcome::Ok, Some(LoadNote::Warm))), vec![(4, 1)]);
}

#[test]
fn the_held_call_with_the_lowest_calls_times_latency_is_released_first() {
    let mut harness = Harness::new(settings(), 1);
    // Function 8 takes 200 ms, function 9 takes 10 ms; both are warm.
    for (id, function, elapsed) in [(1, 8, 200 * MS), (2, 9, 10 * MS)] {
        harness.call(id, 0, function, 1);
        harness.end_attempt_after(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm), elapsed);
    }
    harness.call(3, 0, 8, 1);
    assert!(sends(&harness.call(4, 0, 8, 1)).is_empty());
    assert!(sends(&harness.call(5, 0, 9, 1)).is_empty());
    let released = sends(&harness.end_attempt(3, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
    assert_eq!(released, vec![(5, 1)], "the call of the faster function is released first");
}

#[test]
fn latencies_that_include_a_load_are_excluded_from_the_mean() {
    // The only latency of function 8 includes a load of 3 s and is not recorded. Its held call therefore has
    // priority value zero and is released before that of function 9.
    let mut harness = Harness::new(settings(), 1);
    harness.call(1, 0, 8, 1);
    harness.end_attempt_after(1, 0, 1, Outcome::Ok, Some(LoadNote::Began), 3 * S);
    harness.serve_warm(2, 9, 1);
    harness.call(3, 0, 9, 1);
    assert!(sends(&harness.call(4, 0, 9, 1)).is_empty());
    assert!(sends(&harness.call(5, 0, 8, 1)).is_empty());
    let released = sends(&harness.end_attempt(3, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
    assert_eq!(released, vec![(5, 1)]);
}

/// Settings in which workers load functions only by order, and answer other calls with a miss.
fn settings_with_misses() -> Settings {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    settings
}

#[test]
fn a_miss_orders_one_replica_there_and_the_call_is_sent_once_it_is_loaded() {
    let mut harness = Harness::new(settings_with_misses(), 4);
    let worker = sent(&harness.call(1, 0, 9, 2)).unwrap();
    let actions = harness.end_attempt(1, 0, worker, Outcome::NotLoaded, None);
    assert!(actions.contains(&Action::Load { worker: WorkerId(worker), function: FunctionId(9), count: 1 }));
    assert_eq!(loads(&actions), 1);
    assert_eq!(sent(&actions), None, "a call sent now could arrive before the order");
    assert_eq!(sent(&harness.call(2, 0, 9, 2)), None, "no second load is started at another worker");
    let loaded = harness.handle(Event::Loaded {
        worker: WorkerId(worker),
        function: FunctionId(9),
        outcome: Outcome::Ok,
        replicas: 1,
        elapsed: S,
    });
    assert_eq!(sends(&loaded), vec![(1, worker), (2, worker)]);
}

/// Ends an attempt of function 9 at this worker with a miss, and answers the load order that follows.
fn miss_and_end_order(
    harness: &mut Harness,
    id: u64,
    attempt: u32,
    worker_id: u64,
    outcome: Outcome,
) -> Vec<Action> {
    let actions = harness.end_attempt(id, attempt, worker_id, Outcome::NotLoaded, None);
    assert_eq!(loads(&actions), 1);
    let (worker, function) = (WorkerId(worker_id), FunctionId(9));
    harness.handle(Event::Loaded { worker, function, outcome, replicas: 0, elapsed: 5 * MS })
}

#[test]
fn after_a_failed_order_the_call_is_sent_elsewhere() {
    let mut harness = Harness::new(settings_with_misses(), 4);
    let worker = sent(&harness.call(1, 0, 9, 2)).unwrap();
    let actions = miss_and_end_order(&mut harness, 1, 0, worker, Outcome::Error);
    assert_ne!(sent(&actions).expect("the call is sent again"), worker);
}

#[test]
fn a_call_waits_for_a_full_home_and_is_sent_elsewhere_if_it_stays_full() {
    let mut harness = Harness::new(settings_with_misses(), 4);
    let home = sent(&harness.call(1, 0, 9, 2)).unwrap();
    // A pending load of this controller fills the home throughout the test.
    let filling_function = (100..200).find(|function| {
        let worker = sent(&harness.call(*function, 0, *function, 2)).unwrap();
        worker == home && loads(&harness.end_attempt(*function, 0, worker, Outcome::NotLoaded, None)) == 1
    });
    assert!(filling_function.is_some());
    let mut actions = miss_and_end_order(&mut harness, 1, 0, home, Outcome::Rejected);
    for id in 2..4 {
        assert_eq!(sent(&actions), None, "a replica elsewhere would cost an additional load");
        harness.handle(Event::ClientGone { request: RequestId(id - 1) });
        harness.advance(600 * MS);
        assert_eq!(sent(&harness.call(id, 0, 9, 2)), Some(home));
        actions = miss_and_end_order(&mut harness, id, 0, home, Outcome::Rejected);
    }
    assert_ne!(sent(&actions).expect("the call is sent although the home stays full"), home);
}

#[test]
fn an_absent_function_is_loaded_by_one_call_and_the_others_wait() {
    let mut harness = Harness::new(settings(), 4);
    let worker = sent(&harness.call(1, 0, 9, 4)).unwrap();
    assert!(
        sends(&harness.call(2, 0, 9, 4)).is_empty(),
        "the controller holds the call instead of sending it to any worker"
    );
    let actions = harness.end_attempt(1, 0, worker, Outcome::Ok, Some(LoadNote::Began));
    assert_eq!(sends(&actions), vec![(2, worker)]);
}

#[test]
fn invalid_settings_are_rejected() {
    let no_classes = Settings { classes: vec![], ..settings() };
    assert_eq!(Controller::new(no_classes, 1).err(), Some(SettingsError::NoClasses));
    let no_controllers = Settings { controllers: 0, ..settings() };
    assert_eq!(Controller::new(no_controllers, 1).err(), Some(SettingsError::NoControllers));
    let index_out_of_range = Settings { controller_index: 3, ..settings() };
    assert_eq!(Controller::new(index_out_of_range, 1).err(), Some(SettingsError::ControllerIndexOutOfRange));
}
