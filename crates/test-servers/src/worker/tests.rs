//! Unit tests of `worker`.

use super::*;
use crate::spec::ModelSpec;
use proptest::prelude::*;

const MS: Micros = 1_000;

fn spec() -> Spec {
    let model =
        ModelSpec { lanes: 1, load_time: 100 * MS, work: 10 * MS, memory: 1 << 30, ..ModelSpec::any() };
    Spec { cores: 2.0, memory: 2 << 30, queue: 4, own_copies: false, models: vec![model], ..Spec::default() }
}

struct Bench {
    worker: Worker,
    store: Store,
    seen: Vec<(Micros, Done)>,
}

impl Bench {
    fn new(spec: Spec, cold: bool) -> Self {
        Self { worker: Worker::new(spec, 0, cold), store: Store::default(), seen: Vec::new() }
    }
    fn call(&mut self, at: Micros, no: CallNo, model: &str) {
        let mut out = Vec::new();
        let asked = Asked { no, model, work: 10 * MS, steps: 1 };
        self.worker.call(at, asked, &mut self.store, &mut out);
        self.seen.extend(out.into_iter().map(|d| (at, d)));
    }
    fn run(&mut self, until: Micros) {
        while let Some(at) = self.worker.next().filter(|at| *at <= until) {
            let mut out = Vec::new();
            self.worker.pass(at, &mut self.store, &mut out);
            self.seen.extend(out.into_iter().map(|d| (at, d)));
        }
    }
    fn when(&self, what: &Done) -> Option<Micros> {
        self.seen.iter().find(|(_, d)| d == what).map(|(at, _)| *at)
    }
}

#[test]
fn a_call_waits_for_its_load_and_the_next_finds_the_copy() {
    let mut bench = Bench::new(spec(), false);
    bench.call(0, 1, "m");
    bench.run(150 * MS);
    assert_eq!(bench.when(&Done::Runs(1)), Some(100 * MS));
    let done = bench.when(&Done::Step(1, 0)).expect("served");
    assert!((110 * MS..111 * MS).contains(&done), "{done}");
    assert_eq!(bench.worker.note(1), Some((Note::Began, 0)));
    bench.call(200 * MS, 2, "m");
    assert_eq!(bench.worker.note(2).map(|n| n.0), Some(Note::Warm));
}

#[test]
fn lanes_bound_what_runs_and_the_queue_what_waits() {
    let mut bench = Bench::new(spec(), false);
    for no in 0..6 {
        bench.call(0, no, "m");
    }
    assert_eq!(bench.when(&Done::Away(4, Away::Full)), Some(0));
    bench.run(500 * MS);
    let starts: Vec<Micros> = (0..4).map(|no| bench.when(&Done::Runs(no)).expect("runs")).collect();
    assert!(starts.windows(2).all(|w| w[1] >= w[0] + 10 * MS), "one lane: {starts:?}");
}

#[test]
fn idle_copies_give_way_and_working_ones_do_not() {
    let mut bench = Bench::new(spec(), false);
    bench.call(0, 1, "a");
    bench.call(0, 2, "b");
    bench.run(300 * MS);
    bench.call(300 * MS, 3, "c");
    bench.run(600 * MS);
    assert!(bench.when(&Done::Runs(3)).is_some());
    assert_eq!(bench.worker.standing("a") + bench.worker.standing("b"), 1);
    // Both copies load: nothing can give way.
    let mut full = Bench::new(spec(), false);
    full.call(0, 1, "a");
    full.call(0, 2, "b");
    full.call(0, 3, "c");
    assert_eq!(full.when(&Done::Away(3, Away::Full)), Some(0));
}

#[test]
fn a_miss_waits_for_an_order() {
    let mut bench = Bench::new(Spec { load_when_absent: false, ..spec() }, false);
    bench.call(0, 1, "m");
    assert_eq!(bench.when(&Done::Away(1, Away::Miss)), Some(0));
    let mut out = Vec::new();
    bench.worker.order(0, 9, "m", 1, &mut bench.store, &mut out);
    bench.run(200 * MS);
    assert_eq!(bench.when(&Done::Order(9, 1, true)), Some(100 * MS));
    bench.call(200 * MS, 2, "m");
    assert_eq!(bench.when(&Done::Runs(2)), Some(200 * MS));
}

#[test]
fn a_store_that_refuses_fails_the_load_and_its_calls() {
    let mut bench = Bench::new(spec(), false);
    bench.store = Store::new(1, 1);
    bench.call(0, 1, "a");
    bench.call(0, 2, "b");
    assert_eq!(bench.when(&Done::Away(2, Away::LoadFailed)), Some(0));
}

#[test]
fn a_cold_worker_falls_over_when_sent_too_much_and_a_warm_one_does_not() {
    let cold = Spec { cold: 10_000 * MS, start_capacity: 0.2, fall: 500 * MS, queue: 10_000, ..spec() };
    let flood = |cold_start| {
        let mut bench = Bench::new(cold.clone(), cold_start);
        for no in 0..200 {
            bench.call(no * MS, no, "m");
        }
        bench.when(&Done::Fell).is_some()
    };
    // 0.2 x 2 cores x 500 ms x 2 = 400 ms of work; 200 calls of 10 ms are five times that.
    assert!(flood(true));
    assert!(!flood(false));
}

#[test]
fn running_calls_share_the_cores() {
    let model = ModelSpec { lanes: 8, ..spec().models[0].clone() };
    let mut bench = Bench::new(Spec { models: vec![model], queue: 9, ..spec() }, false);
    for no in 0..4 {
        bench.call(0, no, "m");
    }
    bench.run(200 * MS);
    // Four calls of 10 ms on two cores take 20 ms.
    let done = bench.when(&Done::Step(3, 0)).expect("served");
    assert!((119 * MS..122 * MS).contains(&done), "{done}");
}

proptest! {
    #[test]
    fn memory_lanes_and_queue_are_never_exceeded_and_all_calls_end(
        calls in prop::collection::vec((0u64..3_000, 0usize..5, any::<bool>()), 1..60)
    ) {
        let mut calls = calls;
        calls.sort_by_key(|c| c.0);
        let mut bench = Bench::new(spec(), false);
        let mut cancelled = std::collections::BTreeSet::new();
        for (no, (at, model, cancel)) in calls.iter().enumerate() {
            bench.call(at * MS, no as u64, ["a", "b", "c", "d", "e"][*model]);
            if *cancel {
                cancelled.insert(no as u64);
                let mut out = Vec::new();
                bench.worker.cancel(at * MS, no as u64, &mut bench.store, &mut out);
                bench.seen.extend(out.into_iter().map(|d| (at * MS, d)));
            }
            let held: u64 = bench.worker.copies.values()
                .map(|c| (u64::from(c.standing) + c.loading.len() as u64 + u64::from(c.wanted)) * c.memory).sum();
            prop_assert!(held <= spec().memory);
            prop_assert!(bench.worker.waiting.len() <= spec().queue);
            for c in bench.worker.copies.values() {
                prop_assert!(c.running <= c.standing * c.lanes);
            }
        }
        bench.run(3_600_000 * MS);
        for no in 0..calls.len() as u64 {
            let ends = bench.seen.iter().filter(|(_, d)| matches!(d, Done::Step(n, _) | Done::Away(n, _) if *n == no));
            prop_assert!(ends.count() == 1 || cancelled.contains(&no), "call {no}");
        }
    }
}
