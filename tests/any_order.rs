//! One property test: random but legal event orders from a fixed seed, with the rules asserted throughout.

mod common;
use std::collections::BTreeMap;

use common::*;
use nettleferry::*;

struct Chance(u64);

impl Chance {
    fn below(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % n
    }
}

struct Seen {
    class: usize,
    due: Micros,
    /// Where and when an attempt went, and how it ended.
    attempts: Vec<(u64, Micros, Option<Outcome>)>,
    over: bool,
}

fn proven(outcome: Outcome) -> bool {
    matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::NotLoaded)
}

#[expect(clippy::too_many_lines, reason = "one random scenario and the checks of each step")]
fn run(when_absent: WhenAbsent, seed: u64) {
    let mut settings = settings();
    settings.loading.when_absent = when_absent;
    settings.loading.ration_window = S;
    settings.loading.ration_floor = 3.0;
    settings.loading.ration_share = 0.1;
    let mut chance = Chance(seed);
    let mut harness = Harness::new(settings.clone(), 6);
    let mut seen: BTreeMap<u64, Seen> = BTreeMap::new();
    let mut state: BTreeMap<u64, WorkerState> = (1..=6).map(|w| (w, WorkerState::On)).collect();
    let mut owed: Vec<(u64, u64)> = Vec::new();
    let mut loads: Vec<Micros> = Vec::new();
    let mut taken: Vec<Micros> = Vec::new();
    let (mut next, mut answered) = (1, 0);
    for step in 0..4_000 {
        seen.retain(|_, s| !s.over || s.attempts.iter().any(|a| a.2.is_none()));
        harness.now += chance.below(6) * MS;
        let open: Vec<(u64, u32)> = seen
            .iter()
            .flat_map(|(id, s)| s.attempts.iter().enumerate().map(move |(n, a)| (*id, n as u32, a.2)))
            .filter(|(_, _, end)| end.is_none())
            .map(|(id, n, _)| (id, n))
            .collect();
        let pick = chance.below(10);
        let actions = if pick < 3 && step < 3_500 {
            let class = chance.below(3) as usize;
            let left = (50 + chance.below(3_000)) * MS;
            seen.insert(next, Seen { class, due: harness.now + left, attempts: vec![], over: false });
            taken.push(harness.now);
            next += 1;
            let asked =
                Request { left, ..request(next - 1, class, chance.below(12), 1 + chance.below(3) as u32) };
            harness.handle(Event::Request(asked))
        } else if pick < 7 && !open.is_empty() {
            let (id, n) = open[chance.below(open.len() as u64) as usize];
            let ends = [
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Ok,
                Outcome::Error,
                Outcome::Rejected,
                Outcome::Timeout,
                Outcome::ConnectFailed,
                Outcome::Reset,
                Outcome::NotLoaded,
            ];
            let outcome = ends[chance.below(9) as usize];
            let call = seen.get_mut(&id).unwrap();
            call.attempts[n as usize].2 = Some(outcome);
            let was_over = call.over;
            call.over |= outcome == Outcome::Ok;
            answered += usize::from(call.over && !was_over);
            let event = Event::Outcome {
                request: RequestId(id),
                attempt: n,
                worker: WorkerId(call.attempts[n as usize].0),
                outcome,
                finished: call.over,
                elapsed: chance.below(200) * MS,
                note: Some(LoadNote::Warm).filter(|_| outcome == Outcome::Ok),
                concurrent_calls: None,
                report: None,
            };
            harness.handle(event)
        } else if pick == 7 && !owed.is_empty() {
            let (worker, function) = owed.swap_remove(chance.below(owed.len() as u64) as usize);
            let outcome = [Outcome::Ok, Outcome::Rejected, Outcome::Timeout][chance.below(3) as usize];
            harness.handle(Event::Loaded {
                worker: WorkerId(worker),
                function: FunctionId(function),
                outcome,
                copies: u32::from(outcome == Outcome::Ok),
                elapsed: 400 * MS,
            })
        } else if pick == 8 && chance.below(20) == 0 {
            let worker = 1 + chance.below(6);
            let to = [WorkerState::On, WorkerState::On, WorkerState::Draining][chance.below(3) as usize];
            let born = Some(harness.now).filter(|_| chance.below(2) == 0);
            state.insert(worker, to);
            harness.update_worker(worker, to, born)
        } else {
            harness.handle(Event::Timer { tag: 1 })
        };
        for action in &actions {
            match action {
                Action::Send { request, worker, .. } => {
                    let call = seen.get_mut(&request.0).expect("nothing is sent for a call that is over");
                    assert!(!call.over, "nothing is sent after the answer");
                    assert!(call.attempts.iter().all(|a| a.2.is_some()), "one attempt at a time");
                    assert_eq!(state[&worker.0], WorkerState::On, "drains are kept");
                    if let Some((first, since, _)) = call.attempts.iter().find(|a| !proven(a.2.unwrap())) {
                        assert_ne!(call.class, 1, "an unsafe call that may have run is not repeated");
                        if call.class == 2 {
                            assert!(harness.now < since + 2 * S && worker.0 % 2 == first % 2);
                        }
                    }
                    call.attempts.push((worker.0, harness.now, None));
                    assert!(call.attempts.len() <= 3);
                }
                Action::Refuse { request, .. } => {
                    let call = seen.get_mut(&request.0).unwrap();
                    let clean = call.attempts.iter().all(|a| a.2.is_some_and(proven));
                    assert!(clean || call.class == 0, "refused though it may have run");
                    assert!(!std::mem::replace(&mut call.over, true), "answered once");
                    answered += 1;
                }
                Action::Fail { request } => {
                    let call = seen.get_mut(&request.0).unwrap();
                    assert!(!std::mem::replace(&mut call.over, true), "answered once");
                    answered += 1;
                }
                Action::Load { worker, function, .. } => {
                    assert_eq!(state[&worker.0], WorkerState::On, "drains are kept");
                    loads.push(harness.now);
                    let inside = |t: &&Micros| **t + S >= harness.now;
                    let asked = taken.iter().filter(inside).count() as f64;
                    assert!(
                        loads.iter().filter(inside).count() as f64 <= 3.0 + 0.1 * asked,
                        "the ration is kept"
                    );
                    owed.push((worker.0, function.0));
                }
                _ => {}
            }
        }
        let late = seen.values().filter(|s| !s.over && s.due + 8 * MS < harness.now).count();
        assert_eq!(late, 0, "every call is answered in time");
    }
    harness.advance(4 * S);
    assert!(answered > 300, "{answered}");
}

#[test]
fn the_rules_hold_in_any_order_of_events() {
    for seed in 1..=4 {
        run(WhenAbsent::Load, seed);
        run(WhenAbsent::Miss, seed + 100);
    }
}
