//! Compares the lazily computed order with the complete list, hashed and sorted from scratch.

use super::*;

/// A deterministic random generator, so that the tests use the same values on every platform.
struct TestRng(u64);

impl TestRng {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(1);
        splitmix64(self.0) % n
    }
}

/// The reference order: all workers in service, hashed and sorted.
fn reference(function: FunctionId, listed: &BTreeMap<WorkerId, f64>) -> Vec<WorkerId> {
    let mut scored: Vec<(f64, WorkerId)> = Vec::with_capacity(listed.len());
    for (worker, weight) in listed {
        let hash =
            splitmix64(splitmix64(function.0) ^ splitmix64(worker.0.wrapping_mul(0x2545_f491_4f6c_dd1d)));
        let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
        scored.push((-unit.min(0.999_999_999).ln() / weight, *worker));
    }
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.iter().map(|(_, worker)| *worker).collect()
}

/// The complete order, as seen by an iteration that does not end early.
fn complete_order(
    function: FunctionId,
    homes: &Homes,
    fleet: &Fleet,
    open: Option<&Candidates>,
) -> Vec<WorkerId> {
    let beyond_homes = (0..).map_while(|part| fleet.beyond_homes(function, homes, part, open));
    homes.workers().iter().copied().chain(beyond_homes.flatten()).collect()
}

/// A fleet, and the same list as a plain map.
#[derive(Default)]
struct FleetWithReference {
    fleet: Fleet,
    listed: BTreeMap<WorkerId, f64>,
}

impl FleetWithReference {
    fn set(&mut self, worker: u64, weight: Option<f64>) {
        self.fleet.set(WorkerId(worker), weight);
        match weight {
            Some(weight) => _ = self.listed.insert(WorkerId(worker), weight),
            None => _ = self.listed.remove(&WorkerId(worker)),
        }
    }

    /// Updates the homes, and compares them and the rest of the order with the reference.
    fn check(&mut self, function: FunctionId, homes: &mut Homes) {
        homes.update(function, &mut self.fleet);
        let complete = reference(function, &self.listed);
        assert_eq!(
            homes.workers(),
            &complete[..homes.workers().len()],
            "the homes are the first workers of the order"
        );
        assert_eq!(homes.covers_all(), homes.workers().len() == complete.len() || complete.is_empty());
        assert!(homes.workers().len() >= MIN_HOMES.min(complete.len()), "fewer homes than the minimum");
        assert!(homes.workers().len() <= COMPLETE_ORDER_MAX, "more homes than the maximum");
        assert_eq!(
            complete_order(function, homes, &self.fleet, None),
            complete,
            "the order continues beyond the homes"
        );
    }

    /// Checks that an iteration over the open workers returns these and the homes, in order.
    fn check_open(&self, function: FunctionId, homes: &Homes, rng: &mut TestRng) {
        let mut open = Candidates::default();
        for (worker, weight) in &self.listed {
            if rng.below(5) == 0 {
                open.push(*worker, *weight);
            }
        }
        let mut expected = reference(function, &self.listed);
        expected.retain(|w| homes.workers().contains(w) || open.workers.contains(w));
        assert_eq!(complete_order(function, homes, &self.fleet, Some(&open)), expected);
    }

    /// Checks that `ranked` returns those of some given workers that are in service, in order.
    fn check_ranked(&self, function: FunctionId, rng: &mut TestRng) {
        let given_workers: Vec<WorkerId> = (0..9).map(|_| WorkerId(rng.below(900))).collect();
        let mut expected = reference(function, &self.listed);
        expected.retain(|w| given_workers.contains(w));
        let mut ranked = self.fleet.ranked(function, given_workers.into_iter());
        ranked.dedup();
        assert_eq!(ranked, expected);
    }
}

/// Weights as they may occur in a list: equal, all different, far apart, and at the limits of the float
/// range.
fn weight(rng: &mut TestRng, kind: u64) -> f64 {
    let edges = [f64::INFINITY, f64::MAX, f64::MIN_POSITIVE, 5e-324, 1e9, 1e-9, 1.0];
    match kind {
        0 => 1.0,
        1 => 0.25 * (1 + rng.below(16)) as f64,
        2 => 0.1 + rng.below(1 << 40) as f64 / 1e11,
        _ => edges[rng.below(edges.len() as u64) as usize],
    }
}

#[test]
fn the_order_equals_that_of_sorting_all_workers() {
    for seed in 0..40 {
        let mut rng = TestRng(seed << 32);
        let (size, kind) = ([1, 9, 70, 200, 700][seed as usize % 5], rng.below(4));
        let mut fleet = FleetWithReference::default();
        for worker in 0..size {
            let weight = weight(&mut rng, kind);
            fleet.set(worker, Some(weight));
        }
        let mut functions: Vec<(FunctionId, Homes)> =
            (0..6).map(|_| (FunctionId(rng.below(u64::MAX)), Homes::default())).collect();
        for _ in 0..60 {
            let max_changes = [1, 3, 12, size][rng.below(4) as usize];
            for _ in 0..1 + rng.below(max_changes) {
                let worker = rng.below(size + size / 4 + 1);
                let weight = Some(weight(&mut rng, kind)).filter(|_| rng.below(3) > 0);
                fleet.set(worker, weight);
            }
            // Some functions are updated after every change, others miss many.
            for (function, homes) in &mut functions {
                if rng.below(3) == 0 {
                    fleet.check(*function, homes);
                    fleet.check_open(*function, homes, &mut rng);
                    fleet.check_ranked(*function, &mut rng);
                }
            }
        }
    }
}

#[test]
fn homes_are_refilled_in_order_as_workers_leave_one_by_one() {
    let mut fleet = FleetWithReference::default();
    (0..500).for_each(|worker| fleet.set(worker, Some(1.0)));
    let (function, mut homes) = (FunctionId(7), Homes::default());
    fleet.check(function, &mut homes);
    for _ in 0..450 {
        let home = homes.workers()[0];
        fleet.set(home.0, None);
        fleet.check(function, &mut homes);
    }
}

#[test]
fn a_completely_replaced_list_and_its_return_are_applied() {
    let mut fleet = FleetWithReference::default();
    let (function, mut homes) = (FunctionId(99), Homes::default());
    for round in 0..4 {
        let (first_added, first_removed) = if round % 2 == 0 { (0, 10_000) } else { (10_000, 0) };
        (0..1_500).for_each(|worker| fleet.set(first_removed + worker, None));
        (0..1_500).for_each(|worker| fleet.set(first_added + worker, Some(1.0)));
        fleet.check(function, &mut homes);
    }
}

/// Changes are applied one at a time, all at once, or in groups, so that a worker may be removed and added
/// again between two updates of the homes.
#[test]
fn the_grouping_of_changes_makes_no_difference() {
    let function = FunctionId(3);
    for step in [1, 7, 40, 4_000] {
        let (mut fleet, mut homes, mut rng) = (FleetWithReference::default(), Homes::default(), TestRng(5));
        (0..300).for_each(|worker| fleet.set(worker, Some(1.0)));
        fleet.check(function, &mut homes);
        for change in 0..3_000 {
            let worker = rng.below(400);
            let weight = Some(1.0).filter(|_| rng.below(4) > 0);
            fleet.set(worker, weight);
            if change % step == 0 {
                fleet.check(function, &mut homes);
            }
        }
        // All groupings draw the same changes and therefore end with the same reference order.
        fleet.check(function, &mut homes);
    }
}

#[test]
fn a_changed_list_costs_a_known_function_hashes_by_change_not_by_worker() {
    let hashes = |size: u64| {
        let (mut fleet, mut homes) = (Fleet::default(), Homes::default());
        (0..size).for_each(|worker| fleet.set(WorkerId(worker), Some(1.0)));
        homes.update(FunctionId(1), &mut fleet);
        let before = fleet.hashes_computed();
        for change in 0..100 {
            fleet.set(WorkerId(change), None);
            fleet.set(WorkerId(size + change), Some(1.0));
            homes.update(FunctionId(1), &mut fleet);
        }
        fleet.hashes_computed() - before
    };
    let (few, many) = (hashes(1_000), hashes(16_000));
    assert!(many <= 2 * few.max(200), "{few} hashes for 200 changes of 1,000 workers, {many} of 16,000");
}
