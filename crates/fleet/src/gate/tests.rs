//! Unit tests of `gate`.

use super::*;

const CALL: CallInfo = CallInfo {
    remaining: 3_000,
    latency_objective: 600,
    priority_weight: 1.0,
    non_idempotent: false,
    model: 1,
};

fn taken(verdict: Verdict) -> bool {
    verdict == Verdict::Admit
}

fn open(now: Millis) -> Gate {
    let mut gate = Gate::new(GateConfig::default(), now);
    gate.list_applied(now, 1, true);
    gate
}

#[test]
fn nothing_is_taken_without_a_list_and_nothing_careful_on_an_earlier_life_s() {
    let mut gate = Gate::new(GateConfig::default(), 0);
    assert!(!taken(gate.admit(0, &CALL, 7)));
    gate.list_applied(10, 2, false);
    assert!(taken(gate.admit(10, &CALL, 7)));
    let careful = CallInfo { non_idempotent: true, ..CALL };
    assert!(!taken(gate.admit(10, &careful, 7)));
    gate.list_applied(20, 2, true);
    assert!(taken(gate.admit(20, &careful, 7)));
    assert_eq!(gate.counters(), Counters { no_list: 1, crowded: 0, unproven: 1 });
}

#[test]
fn a_model_that_is_not_served_holds_up_its_own_calls_alone() {
    let mut gate = open(0);
    gate.waiting(0, 1, CALL.model);
    assert!(taken(gate.admit(299, &CALL, 7)));
    assert!(!taken(gate.admit(300, &CALL, 7)), "the oldest has waited for half of the wanted time");
    assert!(taken(gate.admit(300, &CallInfo { model: 2, ..CALL }, 7)), "another model's first is taken");
    assert!(
        !taken(gate.admit(150, &CallInfo { priority_weight: 0.5, ..CALL }, 7)),
        "what is worth less leaves earlier"
    );
    gate.ended(1);
    assert!(taken(gate.admit(400, &CALL, 7)), "a worker has it: nothing of the model waits");
}

#[test]
fn a_call_that_comes_back_from_a_worker_waits_anew() {
    let mut gate = open(0);
    gate.waiting(0, 1, 9);
    gate.has_worker(1);
    assert_eq!((gate.waiting_calls(), gate.age(400, 9)), (0, 0));
    gate.returned_by_worker(500, 1);
    gate.returned_by_worker(600, 1);
    assert_eq!((gate.waiting_calls(), gate.age(600, 9)), (1, 100));
    gate.ended(1);
    gate.returned_by_worker(700, 1);
    assert_eq!(gate.waiting_calls(), 0, "it has had its end");
}

#[test]
fn a_gate_that_refuses_nothing_for_a_while_is_whole_and_holds_nothing() {
    let mut gate = open(0);
    gate.waiting(0, 1, 1);
    assert!(!taken(gate.admit(500, &CALL, 7)));
    gate.advance(1_499, 5);
    assert_eq!(gate.step().0, Step::Partial);
    gate.advance(1_500, 5);
    assert_eq!((gate.step(), gate.waiting_calls()), ((Step::Complete, 1_500), 0));
    assert!(taken(gate.admit(9_000, &CALL, 7)));
}

#[test]
fn a_gate_that_has_seen_no_answer_is_not_whole() {
    let mut gate = open(0);
    gate.advance(60_000, 0);
    assert_eq!(gate.step().0, Step::Partial);
}

#[test]
fn clients_that_are_refused_come_back_apart_and_never_later_than_told() {
    let mut gate = open(0);
    gate.waiting(0, 1, 1);
    let mut waits = std::collections::BTreeSet::new();
    for chance in 0..2_000u64 {
        if let Verdict::Reject(wait) = gate.admit(900, &CALL, chance.wrapping_mul(0x9e37_79b9)) {
            assert!((1..=GateConfig::default().max_retry_after).contains(&wait));
            waits.insert(wait);
        }
    }
    assert!(waits.len() > 200, "{} different spans", waits.len());
}

#[test]
fn what_is_followed_is_bounded() {
    let mut gate = open(0);
    for call in 0..MAX_WAITING as u64 + 9 {
        gate.waiting(0, call, call);
    }
    assert_eq!(gate.waiting_calls(), MAX_WAITING);
    assert!(!taken(gate.admit(1, &CallInfo { model: u64::MAX, ..CALL }, 7)));
}
