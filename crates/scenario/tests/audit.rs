//! Tests of the audit on synthetic evidence: a valid run has no breach, and each kind of violation is found.

use nettleferry::{Effect, KeyScope, WorkerState};
use nettleferry_scenario::audit::{Breach, Slack, audit};
use nettleferry_scenario::evidence::*;
use nettleferry_test_servers::{Observation, ObservationKind};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;

/// A run of one controller and two workers in two zones, without events.
fn empty() -> Evidence {
    let location = |zone: &str, cell: &str| Location { zone: zone.into(), cell: cell.into() };
    Evidence {
        controller_runs: vec![ControllerRun {
            controller: 0,
            zone: "a".into(),
            from: 0,
            ending: None,
            to: None,
        }],
        parameters: RuleParameters {
            drain_grace: 500 * MS,
            list_check: 50 * MS,
            ration_window: 2 * S,
            ration_floor: 1.0,
            ration_share: 0.5,
        },
        locations: [("w1".to_owned(), location("a", "c1")), ("w2".to_owned(), location("b", "c2"))].into(),
        until: 60 * S,
        ..Evidence::default()
    }
}

fn client(evidence: &mut Evidence, at: u64, id: &str, observation: ClientObservation) {
    evidence.clients.push(ClientRecord { at, id: id.into(), observation });
}

fn worker(evidence: &mut Evidence, at: u64, name: &str, kind: ObservationKind) {
    evidence.workers.push(Observation { at, worker: name.into(), kind });
}

fn sent(evidence: &mut Evidence, at: u64, id: &str, effect: Effect) {
    sent_with(evidence, at, id, effect, true);
}

/// Records that a client sent a call, whose request has an id or not.
fn sent_with(evidence: &mut Evidence, at: u64, id: &str, effect: Effect, has_id: bool) {
    let observation = ClientObservation::Sent {
        controller: 0,
        model: "echo".into(),
        deadline: at + 3 * S,
        effect,
        class: "c".into(),
        latency_objective: S,
        has_id,
        slow: false,
    };
    client(evidence, at, id, observation);
}

/// Records the arrival of the next attempt of a call. Attempts are numbered in the order of these records.
fn arrive(evidence: &mut Evidence, at: u64, name: &str, stream: u64, id: &str) {
    let is_earlier =
        |r: &&Observation| matches!(&r.kind, ObservationKind::Call { id: other, .. } if other == id);
    let attempt = Some(evidence.workers.iter().filter(is_earlier).count() as u32);
    let (id, model, controller) = (id.into(), "echo".into(), "0".into());
    worker(
        evidence,
        at,
        name,
        ObservationKind::Call { stream, id, model, controller, attempt, core_time: 1000 },
    );
}

fn cut(evidence: &mut Evidence, name: &str, from: u64, to: u64) {
    evidence.cuts.push(Cut { worker: name.into(), zone: "a".into(), interval: Interval { from, to } });
}

fn gone(evidence: &mut Evidence, at: u64, name: &str, stream: u64) {
    worker(evidence, at, name, ObservationKind::Gone { stream });
}

fn answered(evidence: &mut Evidence, at: u64, name: &str, stream: u64, never_ran: bool) {
    worker(evidence, at, name, ObservationKind::Answered { stream, served: !never_ran, never_ran });
}

/// A run with a call of the given effect that ran at w1 and was served.
fn served(effect: Effect) -> Evidence {
    let mut evidence = empty();
    sent(&mut evidence, S, "x", effect);
    arrive(&mut evidence, S + 10 * MS, "w1", 1, "x");
    worker(&mut evidence, S + 11 * MS, "w1", ObservationKind::Runs { stream: 1 });
    client(&mut evidence, S + 19 * MS, "x", ClientObservation::Part);
    answered(&mut evidence, S + 20 * MS, "w1", 1, false);
    client(&mut evidence, S + 21 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    evidence
}

fn breaches(evidence: &Evidence) -> Vec<Breach> {
    audit(evidence, Slack::default())
}

/// Asserts that the audit finds only breaches of `rule`, one of which contains `words`.
#[track_caller]
fn assert_breach(evidence: &Evidence, rule: u8, words: &str) {
    let found = breaches(evidence);
    assert!(found.iter().all(|b| b.rule == rule), "a rule other than {rule} is broken: {found:?}");
    assert!(found.iter().any(|b| b.description.contains(words)), "no breach contains {words:?}: {found:?}");
}

const KEYED: Effect = Effect::IdempotencyKey { scope: KeyScope::Zone, window: 2 * S };

#[test]
fn valid_run_has_no_breach() {
    for effect in [Effect::Idempotent, Effect::NonIdempotent, KEYED] {
        assert_eq!(breaches(&served(effect)), vec![]);
    }
}

#[test]
fn rule_1_call_without_answer() {
    let mut evidence = empty();
    sent(&mut evidence, S, "x", Effect::Idempotent);
    assert_breach(&evidence, 1, "no final answer");
    client(&mut evidence, S + 5, "x", ClientObservation::Lost);
    assert_breach(&evidence, 1, "its connection broke");
    // A controller that is killed need not answer; one that gets SIGTERM has to answer the calls that it accepted.
    evidence.controller_runs[0].to = Some(2 * S);
    assert_eq!(breaches(&evidence), vec![]);
    (evidence.controller_runs[0].ending, evidence.controller_runs[0].to) = (Some(2 * S), Some(2 * S + 1));
    assert_breach(&evidence, 1, "no final answer");
}

#[test]
fn rule_1_second_answer_late_answer_and_part_after_it() {
    let mut twice = served(Effect::Idempotent);
    client(&mut twice, S + 30 * MS, "x", ClientObservation::Final(FinalStatus::Refused));
    assert_breach(&twice, 1, "2 final answers");
    let mut late = empty();
    sent(&mut late, S, "x", Effect::Idempotent);
    client(&mut late, 4 * S + 5 * MS, "x", ClientObservation::Final(FinalStatus::Failed));
    assert_breach(&late, 1, "5 ms after its deadline");
    late.stalls.push(Stall { controller: 0, interval: Interval { from: 2 * S, to: 4 * S } });
    assert_eq!(breaches(&late), vec![], "the controller was stopped");
    let mut part = served(Effect::Idempotent);
    client(&mut part, S + 40 * MS, "x", ClientObservation::Part);
    assert_breach(&part, 1, "a part after the final answer");
}

#[test]
fn rule_1_attempt_after_the_call_ended() {
    let mut evidence = served(Effect::Idempotent);
    arrive(&mut evidence, 2 * S, "w2", 1, "x");
    answered(&mut evidence, 2 * S + 1, "w2", 1, true);
    assert_breach(&evidence, 1, "reached w2 after the call had ended");
    let mut cancelled = empty();
    sent(&mut cancelled, S, "x", Effect::Idempotent);
    client(&mut cancelled, S + 1, "x", ClientObservation::Cancelled);
    assert_eq!(breaches(&cancelled), vec![]);
    arrive(&mut cancelled, 2 * S, "w2", 1, "x");
    answered(&mut cancelled, 2 * S + 1, "w2", 1, true);
    assert_breach(&cancelled, 1, "reached w2 after the call had ended");
}

#[test]
fn rule_2_unsafe_call_runs_twice() {
    let mut evidence = served(Effect::NonIdempotent);
    arrive(&mut evidence, S + 20 * MS, "w2", 1, "x");
    answered(&mut evidence, S + 20 * MS, "w2", 1, true);
    assert_eq!(breaches(&evidence), vec![], "sent twice but ran once");
    worker(&mut evidence, S + 20 * MS, "w2", ObservationKind::Runs { stream: 1 });
    // The audit orders records by time, whatever their order in the evidence.
    let at = evidence.workers.len() - 2;
    evidence.workers.swap(at, at + 1);
    assert_breach(&evidence, 2, "unsafe, and ran at w1 and at w2");
}

#[test]
fn rule_2_refusal_of_a_call_that_ran() {
    let refused = |effect| {
        let mut evidence = served(effect);
        evidence.clients.pop();
        client(&mut evidence, S + 30 * MS, "x", ClientObservation::Final(FinalStatus::Refused));
        evidence
    };
    assert_breach(&refused(Effect::NonIdempotent), 2, "refused, and ran at w1");
    assert_breach(&refused(KEYED), 2, "refused, and ran at w1");
    assert_eq!(breaches(&refused(Effect::Idempotent)), vec![]);
    assert_eq!(breaches(&refused(Effect::IdempotencyKey { scope: KeyScope::All, window: S })), vec![]);
}

// Guards against an audit that takes each call of a keyed class as one whose repeats are dropped.
#[test]
fn rule_2_keyed_call_without_an_id_runs_twice_or_is_refused() {
    for scope in [KeyScope::All, KeyScope::Zone, KeyScope::Cell] {
        let effect = Effect::IdempotencyKey { scope, window: 10 * S };
        let ran_at_w1 = |has_id: bool| {
            let mut evidence = empty();
            sent_with(&mut evidence, S, "x", effect, has_id);
            arrive(&mut evidence, S, "w1", 1, "x");
            worker(&mut evidence, S + 1, "w1", ObservationKind::Runs { stream: 1 });
            answered(&mut evidence, S + 2, "w1", 1, false);
            evidence
        };
        let ran_twice = |has_id: bool| {
            let mut evidence = ran_at_w1(has_id);
            arrive(&mut evidence, 2 * S, "w1", 2, "x");
            worker(&mut evidence, 2 * S + 1, "w1", ObservationKind::Runs { stream: 2 });
            answered(&mut evidence, 2 * S + 2, "w1", 2, false);
            client(&mut evidence, 2 * S + 3, "x", ClientObservation::Final(FinalStatus::Served));
            evidence
        };
        assert_eq!(breaches(&ran_twice(true)), vec![], "{scope:?}: the worker dropped the repeat");
        assert_breach(&ran_twice(false), 2, "unsafe, and ran at w1 and at w1");
        let mut refused = ran_at_w1(false);
        client(&mut refused, S + 3, "x", ClientObservation::Final(FinalStatus::Refused));
        assert_breach(&refused, 2, "refused, and ran at w1");
    }
}

#[test]
fn rule_2_refusal_after_the_window_of_a_keyed_call() {
    let refused_at = |at: u64| {
        let mut evidence = empty();
        sent(&mut evidence, S, "x", Effect::IdempotencyKey { scope: KeyScope::All, window: S });
        arrive(&mut evidence, S, "w1", 1, "x");
        worker(&mut evidence, S + 1, "w1", ObservationKind::Runs { stream: 1 });
        answered(&mut evidence, S + 2, "w1", 1, false);
        client(&mut evidence, at, "x", ClientObservation::Final(FinalStatus::Refused));
        evidence
    };
    assert_eq!(breaches(&refused_at(2 * S)), vec![]);
    assert_breach(&refused_at(3 * S), 2, "refused, and ran at w1");
}

#[test]
fn rule_2_keyed_call_leaves_its_group_or_window() {
    let repeat = |worker: &str, at: u64, first_never_ran: bool| {
        let mut evidence = empty();
        sent(&mut evidence, S, "x", KEYED);
        arrive(&mut evidence, S, "w1", 1, "x");
        answered(&mut evidence, S + 1, "w1", 1, first_never_ran);
        arrive(&mut evidence, at, worker, 2, "x");
        answered(&mut evidence, at + 1, worker, 2, false);
        client(&mut evidence, at + 2, "x", ClientObservation::Final(FinalStatus::Served));
        evidence
    };
    assert_eq!(breaches(&repeat("w1", 2 * S, false)), vec![]);
    assert_eq!(
        breaches(&repeat("w2", 2 * S, true)),
        vec![],
        "an attempt that provably did not run does not bind the call to its group"
    );
    assert_breach(&repeat("w2", 2 * S, false), 2, "outside the group");
    assert_breach(&repeat("w1", 3 * S + 900 * MS, false), 2, "after its window");
}

#[test]
fn rule_2_attempts_overlap() {
    let mut evidence = empty();
    sent(&mut evidence, S, "x", Effect::Idempotent);
    arrive(&mut evidence, S, "w1", 1, "x");
    arrive(&mut evidence, 2 * S, "w2", 1, "x");
    answered(&mut evidence, 2 * S + 1, "w2", 1, false);
    client(&mut evidence, 2 * S + 2, "x", ClientObservation::Final(FinalStatus::Served));
    assert_breach(&evidence, 2, "began while one at w1 was open");
    let mut cancelled = evidence.clone();
    worker(&mut cancelled, 2 * S - 1, "w1", ObservationKind::Gone { stream: 1 });
    assert_eq!(breaches(&cancelled), vec![]);
    let mut died = evidence.clone();
    worker(&mut died, 2 * S - 1, "w1", ObservationKind::Down);
    assert_eq!(breaches(&died), vec![]);
    cut(&mut evidence, "w1", S + 1, 5 * S);
    assert_breach(&evidence, 2, "began while one at w1 was open");
    gone(&mut evidence, 5 * S + 1, "w1", 1);
    assert_eq!(
        breaches(&evidence),
        vec![],
        "a cancellation behind a cut link arrives when the link is restored"
    );
}

/// The first attempt is sent to w2 over a cut link and cancelled; the second runs at w1 in the meantime. Once the link
/// is restored, the first attempt and its cancellation arrive at w2.
fn first_attempt_delayed(effect: Effect) -> Evidence {
    let mut evidence = empty();
    sent(&mut evidence, S, "x", effect);
    cut(&mut evidence, "w2", S - 500 * MS, 3 * S);
    arrive(&mut evidence, 3 * S + 12 * MS, "w2", 1, "x");
    gone(&mut evidence, 3 * S + 13 * MS, "w2", 1);
    arrive(&mut evidence, 2 * S, "w1", 1, "x");
    worker(&mut evidence, 2 * S + 1, "w1", ObservationKind::Runs { stream: 1 });
    answered(&mut evidence, 2 * S + 500 * MS, "w1", 1, false);
    client(&mut evidence, 2 * S + 501 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    evidence
}

/// The last record at a worker whose kind matches `is_kind`, for modification.
fn last_record<'a>(
    evidence: &'a mut Evidence,
    name: &str,
    is_kind: fn(&ObservationKind) -> bool,
) -> &'a mut Observation {
    evidence
        .workers
        .iter_mut()
        .rev()
        .find(|r| r.worker == name && is_kind(&r.kind))
        .expect("the worker has a record of this kind")
}

#[test]
fn attempt_delayed_by_a_cut_link_is_judged_by_number_and_link() {
    for effect in [Effect::Idempotent, KEYED] {
        let mut evidence = first_attempt_delayed(effect);
        if effect == KEYED {
            evidence.locations.get_mut("w2").expect("w2 has a location").zone = "a".into();
        }
        assert_eq!(breaches(&evidence), vec![], "the attempts do not overlap, effect {effect:?}");
    }
    // An answer that w2 sends right after the link was restored may precede its reading of the cancellation. One that
    // it sends 300 ms later shows that the first attempt was not cancelled.
    let mut ran = first_attempt_delayed(Effect::Idempotent);
    last_record(&mut ran, "w2", |s| matches!(s, ObservationKind::Gone { .. })).kind =
        ObservationKind::Answered { stream: 1, served: true, never_ran: false };
    assert_eq!(breaches(&ran), vec![], "answered before the worker read the cancellation");
    last_record(&mut ran, "w2", |s| matches!(s, ObservationKind::Answered { .. })).at = 3 * S + 300 * MS;
    let found = breaches(&ran);
    assert!(
        found.iter().any(|b| b.rule == 2 && b.description.contains("began while one at w2 was open")),
        "{found:?}"
    );
    // The cancellation arrives long after the link was restored, so it was sent too late.
    let mut late = first_attempt_delayed(Effect::Idempotent);
    last_record(&mut late, "w2", |s| matches!(s, ObservationKind::Gone { .. })).at = 4 * S;
    assert_breach(&late, 2, "began while one at w2 was open");
    // Without a cut link, an attempt that arrives late was sent late, after the end of the call.
    let mut uncut = first_attempt_delayed(Effect::Idempotent);
    uncut.cuts.clear();
    let found = breaches(&uncut);
    assert!(
        found.iter().any(|b| b.rule == 1 && b.description.contains("reached w2 after the call had ended"))
    );
    // A cut of the link to another worker does not explain the delay.
    let mut other_cut = first_attempt_delayed(Effect::Idempotent);
    other_cut.cuts[0].worker = "w3".into();
    assert_eq!(breaches(&other_cut), found);
}

#[test]
fn overlap_behind_a_cut_link_is_found() {
    // The first attempt is open at w1 when the link is cut, and the second begins at w2 before the link is restored. If
    // no cancellation of the first arrives when the link is restored, the attempts overlap.
    let overlap = |end: ObservationKind, at: u64| {
        let mut evidence = empty();
        sent(&mut evidence, S, "x", Effect::Idempotent);
        arrive(&mut evidence, S + 1, "w1", 1, "x");
        cut(&mut evidence, "w1", S + 100 * MS, 2 * S);
        arrive(&mut evidence, S + 500 * MS, "w2", 1, "x");
        answered(&mut evidence, S + 600 * MS, "w2", 1, false);
        client(&mut evidence, S + 601 * MS, "x", ClientObservation::Final(FinalStatus::Served));
        worker(&mut evidence, at, "w1", end);
        evidence
    };
    let cancelled = || ObservationKind::Gone { stream: 1 };
    let answered_ok = || ObservationKind::Answered { stream: 1, served: true, never_ran: false };
    assert_eq!(breaches(&overlap(cancelled(), 2 * S + 5 * MS)), vec![], "cancelled while the link was cut");
    assert_eq!(breaches(&overlap(answered_ok(), 2 * S - 5 * MS)), vec![], "answered while the link was cut");
    assert_breach(&overlap(answered_ok(), 2 * S + 200 * MS), 2, "began while one at w1 was open");
    assert_breach(&overlap(cancelled(), 3 * S), 2, "began while one at w1 was open");
    // A second cut right after the first delays the cancellation further; one that begins later does not explain it.
    let mut second_cut = overlap(cancelled(), 3 * S);
    cut(&mut second_cut, "w1", 2 * S + 10 * MS, 3 * S - 5 * MS);
    assert_eq!(breaches(&second_cut), vec![]);
    second_cut.cuts[1].interval.from = 2 * S + 900 * MS;
    assert_breach(&second_cut, 2, "began while one at w1 was open");
    // The first attempt overlaps with the third as well, not only with the next one.
    let mut third = overlap(cancelled(), 4 * S);
    arrive(&mut third, S + 550 * MS, "w3", 1, "x");
    answered(&mut third, S + 560 * MS, "w3", 1, false);
    let found = breaches(&third);
    assert!(
        found.iter().filter(|b| b.description.contains("while one at w1 was open")).count() == 2,
        "{found:?}"
    );
}

#[test]
fn unsafe_call_retried_behind_a_cut_link_is_found_when_it_runs() {
    let mut evidence = first_attempt_delayed(Effect::NonIdempotent);
    assert_eq!(breaches(&evidence), vec![], "the first attempt was cancelled before it ran");
    worker(&mut evidence, 3 * S + 12 * MS + 500, "w2", ObservationKind::Runs { stream: 1 });
    assert_breach(&evidence, 2, "unsafe, and ran at w2 and at w1");
}

#[test]
fn keyed_call_is_bound_by_its_lowest_attempt_number() {
    // The first attempt by number was sent to zone b and arrived last; the retry in zone a arrived before it.
    let evidence = first_attempt_delayed(KEYED);
    assert_breach(&evidence, 2, "keyed, repeated at w1 outside the group of w2");
    // The window began when the first attempt was sent, which is before the retry arrived, and not at its own arrival.
    let mut late = first_attempt_delayed(KEYED);
    late.locations.get_mut("w2").expect("w2 has a location").zone = "a".into();
    arrive(&mut late, 4 * S + 600 * MS, "w1", 2, "x");
    answered(&mut late, 4 * S + 601 * MS, "w1", 2, false);
    late.clients.pop();
    client(&mut late, 4 * S - 1, "y", ClientObservation::Lost);
    client(&mut late, 4 * S + 700 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    late.clients.iter_mut().for_each(|r| {
        if let ClientObservation::Sent { deadline, .. } = &mut r.observation {
            *deadline = 9 * S;
        }
    });
    assert_breach(&late, 2, "keyed, repeated after its window");
}

#[test]
fn attempt_numbers_are_present_and_distinct() {
    let mut evidence = first_attempt_delayed(Effect::Idempotent);
    if let ObservationKind::Call { attempt, .. } =
        &mut last_record(&mut evidence, "w1", |s| matches!(s, ObservationKind::Call { .. })).kind
    {
        *attempt = Some(0);
    }
    assert_breach(&evidence, 2, "with number 0 again");
    if let ObservationKind::Call { attempt, .. } =
        &mut last_record(&mut evidence, "w1", |s| matches!(s, ObservationKind::Call { .. })).kind
    {
        *attempt = None;
    }
    assert_breach(&evidence, 2, "with no number");
}

#[test]
fn cuts_are_derived_from_worker_records() {
    let mut evidence = empty();
    let link = |address_index, conn, cut| ObservationKind::Link { address_index, conn, cut };
    worker(&mut evidence, S, "w1", link(1, None, true));
    worker(&mut evidence, S + 1, "w1", link(0, Some(7), true));
    worker(&mut evidence, S + 2, "w1", link(0, Some(7), false));
    worker(&mut evidence, 2 * S, "w1", link(1, None, false));
    worker(&mut evidence, 3 * S, "w2", link(0, None, true));
    let zones = ["a".to_owned(), "b".to_owned()];
    let cut = |worker: &str, zone: &str, from, to| {
        let interval = Interval { from, to };
        Cut { worker: worker.to_owned(), zone: zone.to_owned(), interval }
    };
    assert_eq!(
        cuts(&evidence.workers, &zones),
        [cut("w1", "a", S + 1, S + 2), cut("w1", "b", S, 2 * S), cut("w2", "a", 3 * S, u64::MAX)]
    );
}

#[test]
fn rule_3_new_attempt_after_the_drain_grace() {
    let drained = |at: u64| {
        let mut evidence = served(Effect::Idempotent);
        evidence.list_changes.push(ListChange {
            at,
            written: at,
            worker: "w1".into(),
            state: WorkerState::Draining,
        });
        evidence
    };
    assert_eq!(breaches(&drained(S)), vec![], "within the drain grace");
    assert_breach(&drained(10 * MS), 3, "call x reached w1");
    let mut on_again = drained(10 * MS);
    on_again.list_changes.push(ListChange {
        at: 20 * MS,
        written: 20 * MS,
        worker: "w1".into(),
        state: WorkerState::On,
    });
    assert_eq!(breaches(&on_again), vec![], "the worker is on again");
    // The thread that writes the lists was delayed between the files, so a controller may have read its own file late.
    let mut slow_write = drained(10 * MS);
    slow_write.list_changes[0].written = S;
    assert_eq!(breaches(&slow_write), vec![], "the grace begins once all files are written");
    let mut order = empty();
    order.list_changes.push(ListChange { at: S, written: S, worker: "w1".into(), state: WorkerState::Gone });
    sent(&mut order, 3 * S, "y", Effect::Idempotent);
    client(&mut order, 3 * S + 1, "y", ClientObservation::Final(FinalStatus::Refused));
    let load_order = ObservationKind::Order { controller: "0".into(), model: "echo".into(), replicas: 1 };
    worker(&mut order, 3 * S, "w1", load_order);
    assert_breach(&order, 3, "an order to load echo reached w1");
}

#[test]
fn rule_4_warming_worker_is_overloaded() {
    let mut evidence = empty();
    worker(&mut evidence, S, "w1", ObservationKind::Up { cold: true });
    assert_eq!(breaches(&evidence), vec![]);
    worker(&mut evidence, 2 * S, "w1", ObservationKind::Overloaded);
    assert_breach(&evidence, 4, "w1 was overloaded while warming up");
}

#[test]
fn rule_5_load_orders_beyond_the_limit() {
    let orders = |times: &[u64], calls: u64| {
        let mut evidence = empty();
        for n in 0..calls {
            sent(&mut evidence, S + n, &format!("c{n}"), Effect::Idempotent);
            client(&mut evidence, S + n + 1, &format!("c{n}"), ClientObservation::Final(FinalStatus::Served));
        }
        for at in times {
            let load_order =
                ObservationKind::Order { controller: "0".into(), model: "echo".into(), replicas: 1 };
            worker(&mut evidence, *at, "w1", load_order);
        }
        evidence
    };
    // One load order is always permitted, and one more for every two calls.
    assert_eq!(breaches(&orders(&[2 * S, 2 * S + 1], 2)), vec![]);
    assert_breach(
        &orders(&[2 * S, 2 * S + 1, 2 * S + 2], 2),
        5,
        "3 load orders in the window, 2.0 permitted",
    );
    assert_eq!(breaches(&orders(&[2 * S, 5 * S, 8 * S], 0)), vec![], "each order has a window of its own");
    let mut restarted = orders(&[2 * S, 2 * S + 10], 0);
    restarted.controller_runs[0].to = Some(2 * S + 5);
    restarted.controller_runs.push(ControllerRun {
        controller: 0,
        zone: "a".into(),
        from: 2 * S + 6,
        ending: None,
        to: None,
    });
    assert_breach(&restarted, 5, "2 load orders in the window");
    restarted.workers[1].at = 5 * S;
    assert_eq!(breaches(&restarted), vec![], "the earlier incarnation's order is outside the window");
}
