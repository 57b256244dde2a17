//! Unit tests of `worker`.

use super::*;
use crate::spec::ModelSpec;
use proptest::prelude::*;

const MS: Micros = 1_000;

fn spec() -> Spec {
    let model =
        ModelSpec { lanes: 1, load_time: 100 * MS, core_time: 10 * MS, memory: 1 << 30, ..ModelSpec::any() };
    Spec {
        cores: 2.0,
        memory: 2 << 30,
        queue: 4,
        load_extra_replicas: false,
        models: vec![model],
        ..Spec::default()
    }
}

/// A worker with a model store, and the events of the worker so far with their times.
struct TestWorker {
    worker: Worker,
    store: Store,
    events: Vec<(Micros, WorkerEvent)>,
}

impl TestWorker {
    fn new(spec: Spec, cold: bool) -> Self {
        Self { worker: Worker::new(spec, 0, cold), store: Store::default(), events: Vec::new() }
    }
    fn call(&mut self, at: Micros, number: CallNumber, model: &str) {
        let mut out = Vec::new();
        let call = IncomingCall { number, model, core_time: 10 * MS, parts: 1 };
        self.worker.call(at, call, &mut self.store, &mut out);
        self.events.extend(out.into_iter().map(|event| (at, event)));
    }
    fn run(&mut self, until: Micros) {
        while let Some(at) = self.worker.next_event().filter(|at| *at <= until) {
            let mut out = Vec::new();
            self.worker.advance_to(at, &mut self.store, &mut out);
            self.events.extend(out.into_iter().map(|event| (at, event)));
        }
    }
    fn time_of(&self, wanted: &WorkerEvent) -> Option<Micros> {
        self.events.iter().find(|(_, event)| event == wanted).map(|(at, _)| *at)
    }
}

#[test]
fn call_waits_for_its_load_and_the_next_finds_the_replica() {
    let mut test = TestWorker::new(spec(), false);
    test.call(0, 1, "m");
    test.run(150 * MS);
    assert_eq!(test.time_of(&WorkerEvent::Runs(1)), Some(100 * MS));
    let done = test.time_of(&WorkerEvent::PartComplete { call: 1, part: 0 }).expect("the call is complete");
    assert!((110 * MS..111 * MS).contains(&done), "{done}");
    assert_eq!(test.worker.take_note(1), Some(CallNote { replica: ReplicaNote::Began, same_model_calls: 0 }));
    test.call(200 * MS, 2, "m");
    assert_eq!(test.worker.take_note(2).map(|note| note.replica), Some(ReplicaNote::Warm));
}

#[test]
fn lanes_limit_running_calls_and_the_queue_limits_waiting_calls() {
    let mut test = TestWorker::new(spec(), false);
    for number in 0..6 {
        test.call(0, number, "m");
    }
    assert_eq!(test.time_of(&WorkerEvent::Rejected { call: 4, reason: Rejection::Full }), Some(0));
    test.run(500 * MS);
    let starts: Vec<Micros> =
        (0..4).map(|number| test.time_of(&WorkerEvent::Runs(number)).expect("the call runs")).collect();
    assert!(
        starts.windows(2).all(|pair| pair[1] >= pair[0] + 10 * MS),
        "calls run one after another on the only lane: {starts:?}"
    );
}

#[test]
fn idle_replicas_are_evicted_and_working_ones_are_not() {
    let mut test = TestWorker::new(spec(), false);
    test.call(0, 1, "a");
    test.call(0, 2, "b");
    test.run(300 * MS);
    test.call(300 * MS, 3, "c");
    test.run(600 * MS);
    assert!(test.time_of(&WorkerEvent::Runs(3)).is_some());
    assert_eq!(test.worker.loaded("a") + test.worker.loaded("b"), 1);
    // Both replicas are still loading, so none can be evicted.
    let mut full = TestWorker::new(spec(), false);
    full.call(0, 1, "a");
    full.call(0, 2, "b");
    full.call(0, 3, "c");
    assert_eq!(full.time_of(&WorkerEvent::Rejected { call: 3, reason: Rejection::Full }), Some(0));
}

#[test]
fn missing_model_is_served_after_a_load_order() {
    let mut test = TestWorker::new(Spec { load_when_absent: false, ..spec() }, false);
    test.call(0, 1, "m");
    assert_eq!(test.time_of(&WorkerEvent::Rejected { call: 1, reason: Rejection::Miss }), Some(0));
    let mut out = Vec::new();
    test.worker.order(0, 9, "m", 1, &mut test.store, &mut out);
    test.run(200 * MS);
    assert_eq!(
        test.time_of(&WorkerEvent::OrderAnswered { order: 9, loaded: 1, complete: true }),
        Some(100 * MS)
    );
    test.call(200 * MS, 2, "m");
    assert_eq!(test.time_of(&WorkerEvent::Runs(2)), Some(200 * MS));
}

#[test]
fn refused_fetch_fails_the_load_and_its_calls() {
    let mut test = TestWorker::new(spec(), false);
    test.store = Store::new(1, 1);
    test.call(0, 1, "a");
    test.call(0, 2, "b");
    assert_eq!(test.time_of(&WorkerEvent::Rejected { call: 2, reason: Rejection::LoadFailed }), Some(0));
}

#[test]
fn overload_stops_a_warming_worker_and_not_a_warm_one() {
    let overload_spec = Spec {
        warm_up: 10_000 * MS,
        start_capacity: 0.2,
        overload_window: 500 * MS,
        queue: 10_000,
        ..spec()
    };
    let stops_under_overload = |cold_start| {
        let mut test = TestWorker::new(overload_spec.clone(), cold_start);
        for number in 0..200 {
            test.call(number * MS, number, "m");
        }
        test.time_of(&WorkerEvent::Overloaded).is_some()
    };
    // At the start, the limit is 0.2 x 2 cores x 500 ms x 2 = 400 ms of work. 200 calls of 10 ms are five times that.
    assert!(stops_under_overload(true));
    assert!(!stops_under_overload(false));
}

#[test]
fn running_calls_share_the_cores() {
    let model = ModelSpec { lanes: 8, ..spec().models[0].clone() };
    let mut test = TestWorker::new(Spec { models: vec![model], queue: 9, ..spec() }, false);
    for number in 0..4 {
        test.call(0, number, "m");
    }
    test.run(200 * MS);
    // Four calls of 10 ms on two cores take 20 ms.
    let done = test.time_of(&WorkerEvent::PartComplete { call: 3, part: 0 }).expect("the call is complete");
    assert!((119 * MS..122 * MS).contains(&done), "{done}");
}

proptest! {
    #[test]
    fn memory_lanes_and_queue_are_never_exceeded_and_all_calls_end(
        calls in prop::collection::vec((0u64..3_000, 0usize..5, any::<bool>()), 1..60)
    ) {
        let mut calls = calls;
        calls.sort_by_key(|c| c.0);
        let mut test = TestWorker::new(spec(), false);
        let mut cancelled = std::collections::BTreeSet::new();
        for (index, (at, model, cancel)) in calls.iter().enumerate() {
            let number = index as u64;
            test.call(at * MS, number, ["a", "b", "c", "d", "e"][*model]);
            if *cancel {
                cancelled.insert(number);
                let mut out = Vec::new();
                test.worker.cancel(at * MS, number, &mut test.store, &mut out);
                test.events.extend(out.into_iter().map(|event| (at * MS, event)));
            }
            let memory_of = |set: &ReplicaSet| {
                (u64::from(set.loaded) + set.loading.len() as u64 + u64::from(set.queued)) * set.memory
            };
            let memory: u64 = test.worker.replicas.values().map(memory_of).sum();
            prop_assert!(memory <= spec().memory);
            prop_assert!(test.worker.waiting.len() <= spec().queue);
            for set in test.worker.replicas.values() {
                prop_assert!(set.running <= set.loaded * set.lanes);
            }
        }
        test.run(3_600_000 * MS);
        for number in 0..calls.len() as u64 {
            let is_end = |event: &WorkerEvent| {
                matches!(
                    event,
                    WorkerEvent::PartComplete { call, .. } | WorkerEvent::Rejected { call, .. } if *call == number
                )
            };
            let ends = test.events.iter().filter(|(_, event)| is_end(event));
            prop_assert!(ends.count() == 1 || cancelled.contains(&number), "call {number}");
        }
    }
}
