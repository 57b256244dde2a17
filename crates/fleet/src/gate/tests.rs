//! Unit tests of the admission gate.

use super::*;

const CALL: CallInfo = CallInfo {
    remaining: 3_000,
    latency_objective: 600,
    priority_weight: 1.0,
    non_idempotent: false,
    model: 1,
};

fn admitted(verdict: Verdict) -> bool {
    verdict == Verdict::Admit
}

fn gate_with_list(now: Millis) -> Gate {
    let mut gate = Gate::new(GateConfig::default(), now);
    gate.list_applied(now, 1, true);
    gate
}

#[test]
fn no_call_is_admitted_without_a_list_and_no_non_idempotent_one_with_a_persisted_list() {
    let mut gate = Gate::new(GateConfig::default(), 0);
    assert!(!admitted(gate.admit(0, &CALL, 7)));
    gate.list_applied(10, 2, false);
    assert!(admitted(gate.admit(10, &CALL, 7)));
    let non_idempotent = CallInfo { non_idempotent: true, ..CALL };
    assert!(!admitted(gate.admit(10, &non_idempotent, 7)));
    gate.list_applied(20, 2, true);
    assert!(admitted(gate.admit(20, &non_idempotent, 7)));
    assert_eq!(gate.counters(), Counters { no_list: 1, crowded: 0, unproven: 1 });
}

#[test]
fn model_without_a_replica_delays_only_its_own_calls() {
    let mut gate = gate_with_list(0);
    gate.call_admitted(0, 1, CALL.model);
    assert!(admitted(gate.admit(299, &CALL, 7)));
    assert!(
        !admitted(gate.admit(300, &CALL, 7)),
        "the oldest call has waited for half of the latency objective"
    );
    assert!(
        admitted(gate.admit(300, &CallInfo { model: 2, ..CALL }, 7)),
        "the first call of another model is admitted"
    );
    assert!(
        !admitted(gate.admit(150, &CallInfo { priority_weight: 0.5, ..CALL }, 7)),
        "a call of lower weight is rejected earlier"
    );
    gate.call_ended(1);
    assert!(admitted(gate.admit(400, &CALL, 7)), "no call of the model waits any more");
}

#[test]
fn call_returned_by_a_worker_waits_again() {
    let mut gate = gate_with_list(0);
    gate.call_admitted(0, 1, 9);
    gate.call_assigned(1);
    assert_eq!((gate.waiting_calls(), gate.oldest_age(400, 9)), (0, 0));
    gate.call_returned(500, 1);
    gate.call_returned(600, 1);
    assert_eq!((gate.waiting_calls(), gate.oldest_age(600, 9)), (1, 100));
    gate.call_ended(1);
    gate.call_returned(700, 1);
    assert_eq!(gate.waiting_calls(), 0, "the call has ended");
}

#[test]
fn gate_is_complete_after_a_quiet_period_and_tracks_nothing() {
    let mut gate = gate_with_list(0);
    gate.call_admitted(0, 1, 1);
    assert!(!admitted(gate.admit(500, &CALL, 7)));
    gate.advance(1_499, 5);
    assert_eq!(gate.step().0, Step::Partial);
    gate.advance(1_500, 5);
    assert_eq!((gate.step(), gate.waiting_calls()), ((Step::Complete, 1_500), 0));
    assert!(admitted(gate.admit(9_000, &CALL, 7)));
}

#[test]
fn gate_is_not_complete_before_the_first_answer() {
    let mut gate = gate_with_list(0);
    gate.advance(60_000, 0);
    assert_eq!(gate.step().0, Step::Partial);
}

#[test]
fn retry_delays_are_spread_and_bounded() {
    let mut gate = gate_with_list(0);
    gate.call_admitted(0, 1, 1);
    let mut delays = std::collections::BTreeSet::new();
    for random in 0..2_000u64 {
        if let Verdict::Reject(delay) = gate.admit(900, &CALL, random.wrapping_mul(0x9e37_79b9)) {
            assert!((1..=GateConfig::default().max_retry_after).contains(&delay));
            delays.insert(delay);
        }
    }
    assert!(delays.len() > 200, "{} different delays", delays.len());
}

#[test]
fn tracked_calls_are_bounded() {
    let mut gate = gate_with_list(0);
    for call in 0..MAX_WAITING as u64 + 9 {
        gate.call_admitted(0, call, call);
    }
    assert_eq!(gate.waiting_calls(), MAX_WAITING);
    assert!(!admitted(gate.admit(1, &CallInfo { model: u64::MAX, ..CALL }, 7)));
}
