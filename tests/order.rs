//! The shared order of workers, as calls follow it, held against the order sorted whole in the test.

mod common;
use std::collections::BTreeMap;

use common::*;
use nettleferry::*;

/// The workers in service by rising score, equal scores by id: the expression as it was when all were sorted.
fn reference(function: u64, listed: &BTreeMap<u64, WorkerEntry>, sized: bool) -> Vec<u64> {
    let mut scored: Vec<(f64, u64)> = listed
        .values()
        .filter(|entry| entry.state == WorkerState::On)
        .map(|entry| {
            let worker = entry.worker.0;
            let hash = mix(mix(function) ^ mix(worker.wrapping_mul(0x2545_f491_4f6c_dd1d)));
            let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
            let weight = if sized && entry.weight > 0.0 { entry.weight } else { 1.0 };
            (-unit.min(0.999_999_999).ln() / weight, worker)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    scored.into_iter().map(|(_, worker)| worker).collect()
}

fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A controller, and the list as it was told.
struct Told {
    stand: Stand,
    listed: BTreeMap<u64, WorkerEntry>,
    sized: bool,
    calls: u64,
}

impl Told {
    fn new(settings: Settings, entries: Vec<WorkerEntry>) -> Self {
        let sized = matches!(settings.weights, Weights::Nominal | Weights::Rough);
        let mut told = Self { stand: Stand::new(settings, 0), listed: BTreeMap::new(), sized, calls: 0 };
        told.tell(ListForm::Complete, entries);
        told
    }

    fn tell(&mut self, form: ListForm, entries: Vec<WorkerEntry>) {
        if form == ListForm::Complete {
            self.listed.clear();
        }
        for entry in &entries {
            self.listed.insert(entry.worker.0, entry.clone());
        }
        self.stand.feed(Event::Workers { form, entries });
    }

    /// Where a call of the function goes; it is withdrawn at once and leaves no copy.
    fn first(&mut self, function: u64) -> Option<u64> {
        self.calls += 1;
        let id = self.calls;
        let to = sent(&self.stand.ask(id, 0, function, 2), id);
        self.stand.feed(Event::ClientGone { request: RequestId(id) });
        if let Some(worker) = to {
            self.stand.end(id, 0, worker, Outcome::Cancelled, None);
        }
        to
    }

    fn check(&mut self, functions: std::ops::Range<u64>) {
        for function in functions {
            let first = reference(function, &self.listed, self.sized).first().copied();
            assert_eq!(self.first(function), first, "the first home of function {function}");
        }
    }

    /// One call whose attempts all end in this way goes along the function's order.
    fn follow(&mut self, function: u64, outcome: Outcome, attempts: u32) -> Vec<u64> {
        self.calls += 1;
        let id = self.calls;
        let mut to = sent(&self.stand.ask(id, 0, function, 2), id);
        let mut path = Vec::new();
        while let Some(worker) = to.filter(|_| path.len() < attempts as usize) {
            path.push(worker);
            let actions = self.stand.ended(id, path.len() as u32 - 1, worker, outcome, None, MS);
            to = sent(&actions, id);
        }
        path
    }
}

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
fn a_list_replaced_whole_leaves_nothing_of_the_old_order() {
    let mut told = Told::new(settings(), entries(1..1_000));
    told.check(0..100);
    told.tell(ListForm::Complete, entries(5_000..6_000));
    told.check(0..200);
    told.tell(ListForm::Complete, entries(1..1_000));
    told.check(0..200);
}

#[test]
fn two_thousand_workers_that_go_at_once_and_return_have_their_old_places() {
    let mut told = Told::new(settings(), entries(1..4_001));
    told.check(0..50);
    let half = |state| (1..4_001).step_by(2).map(|worker| changed(worker, state)).collect::<Vec<_>>();
    told.tell(ListForm::Changes, half(WorkerState::Gone));
    told.check(0..100);
    told.stand.pass(5 * S);
    told.tell(ListForm::Changes, half(WorkerState::On));
    told.check(0..100);
}

#[test]
fn weights_that_all_differ_set_the_order() {
    let sized = Settings { weights: Weights::Nominal, ..settings() };
    let weighed = |shift: f64| {
        let weight = move |worker| 0.1 + shift + worker as f64 / 100.0;
        entries(1..800).into_iter().map(move |e| WorkerEntry { weight: weight(e.worker.0), ..e })
    };
    let mut told = Told::new(sized, weighed(0.0).collect());
    told.check(0..200);
    told.tell(ListForm::Changes, weighed(3.0).step_by(50).collect());
    told.check(0..200);
    told.tell(ListForm::Complete, weighed(1.5).collect());
    told.check(0..200);
    let odd = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300];
    let odd = odd.iter().zip(10..).map(|(weight, worker)| WorkerEntry { weight: *weight, ..entry(worker) });
    told.tell(ListForm::Changes, odd.collect());
    told.check(0..200);
}

#[test]
fn beyond_thirty_homes_that_drain_the_order_goes_on() {
    for function in 0..20 {
        let mut told = Told::new(settings(), entries(1..600));
        told.check(function..function + 1);
        let order = reference(function, &told.listed, false);
        // One after another: the function's homes are mended, and made anew when few are left.
        for (gone, next) in order.iter().zip(&order[1..]).take(40) {
            told.tell(ListForm::Changes, vec![changed(*gone, WorkerState::Draining)]);
            assert_eq!(told.first(function), Some(*next));
        }
    }
}

#[test]
fn beyond_thirty_homes_that_are_full_or_barred_the_order_goes_on() {
    for (size, function) in [(60, 1), (600, 2), (600, 3), (3_000, 4)] {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
            let mut many = settings();
            many.limits.max_attempts = 50;
            let mut told = Told::new(many, entries(1..size + 1));
            let order = reference(function, &told.listed, false);
            assert_eq!(told.follow(function, outcome, 50), &order[..50], "{outcome:?} at {size} workers");
        }
    }
}

#[test]
fn a_worker_that_is_back_under_its_id_has_its_old_place_and_no_copies() {
    let mut told = Told::new(settings(), entries(1..500));
    let order = reference(9, &told.listed, false);
    let home = order[0];
    told.stand.ask(1_000_000, 0, 9, 2);
    told.stand.end(1_000_000, 0, home, Outcome::Ok, None);
    for _ in 0..3 {
        told.tell(ListForm::Changes, vec![changed(home, WorkerState::Gone)]);
        assert_eq!(told.first(9), Some(order[1]));
        let born = Some(told.stand.now - 60 * S);
        told.tell(ListForm::Changes, vec![WorkerEntry { started_at: born, ..entry(home) }]);
        assert_eq!(told.first(9), Some(home));
    }
}

/// One hears every change by itself and calls in between; one hears them in groups of lines that undo each
/// other; one hears only whole lists.
#[test]
fn controllers_that_heard_the_same_in_other_groups_end_with_the_same_order() {
    let all = entries(1..1_000);
    let mut told: Vec<Told> = (0..3).map(|_| Told::new(settings(), all.clone())).collect();
    let mut state = 11;
    for _ in 0..30 {
        let mut group = Vec::new();
        for _ in 0..40 {
            state = mix(state);
            let to = [WorkerState::On, WorkerState::Gone, WorkerState::Draining][(state >> 20) as usize % 3];
            group.push(changed(1 + state % 1_100, to));
        }
        for (change, line) in group.iter().enumerate() {
            told[0].tell(ListForm::Changes, vec![line.clone()]);
            let function = change as u64;
            told[0].check(function..function + 1);
        }
        told[1].tell(ListForm::Changes, group);
    }
    let listed: Vec<WorkerEntry> = told[0].listed.values().cloned().collect();
    told[2].tell(ListForm::Complete, listed);
    for function in 0..300 {
        let first = told[0].first(function);
        assert!(first.is_some());
        assert!(told.iter_mut().all(|told| told.first(function) == first), "function {function}");
    }
}
