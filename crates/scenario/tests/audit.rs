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

fn client(e: &mut Evidence, at: u64, id: &str, what: ClientObservation) {
    e.clients.push(ClientRecord { at, id: id.into(), what });
}

fn worker(e: &mut Evidence, at: u64, name: &str, kind: ObservationKind) {
    e.workers.push(Observation { at, worker: name.into(), kind });
}

fn sent(e: &mut Evidence, at: u64, id: &str, effect: Effect) {
    let what = ClientObservation::Sent {
        controller: 0,
        model: "echo".into(),
        deadline: at + 3 * S,
        effect,
        class: "c".into(),
        latency_objective: S,
        slow: false,
    };
    client(e, at, id, what);
}

/// Records the arrival of the next attempt of a call. Attempts are numbered in the order of these records.
fn arrive(e: &mut Evidence, at: u64, name: &str, stream: u64, id: &str) {
    let is_earlier =
        |r: &&Observation| matches!(&r.kind, ObservationKind::Call { id: other, .. } if other == id);
    let attempt = Some(e.workers.iter().filter(is_earlier).count() as u32);
    let (id, model, controller) = (id.into(), "echo".into(), "0".into());
    worker(e, at, name, ObservationKind::Call { stream, id, model, controller, attempt, core_time: 1000 });
}

fn cut(e: &mut Evidence, name: &str, from: u64, to: u64) {
    e.cuts.push(Cut { worker: name.into(), zone: "a".into(), interval: Interval { from, to } });
}

fn gone(e: &mut Evidence, at: u64, name: &str, stream: u64) {
    worker(e, at, name, ObservationKind::Gone { stream });
}

fn answered(e: &mut Evidence, at: u64, name: &str, stream: u64, never_ran: bool) {
    worker(e, at, name, ObservationKind::Answered { stream, served: !never_ran, never_ran });
}

/// A run with a call of the given effect that ran at w1 and was served.
fn served(effect: Effect) -> Evidence {
    let mut e = empty();
    sent(&mut e, S, "x", effect);
    arrive(&mut e, S + 10 * MS, "w1", 1, "x");
    worker(&mut e, S + 11 * MS, "w1", ObservationKind::Runs { stream: 1 });
    client(&mut e, S + 19 * MS, "x", ClientObservation::Part);
    answered(&mut e, S + 20 * MS, "w1", 1, false);
    client(&mut e, S + 21 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    e
}

fn breaches(e: &Evidence) -> Vec<Breach> {
    audit(e, Slack::default())
}

/// Asserts that the audit finds only breaches of `rule`, one of which contains `words`.
#[track_caller]
fn assert_breach(e: &Evidence, rule: u8, words: &str) {
    let found = breaches(e);
    assert!(found.iter().all(|b| b.rule == rule), "a rule other than {rule} is broken: {found:?}");
    assert!(found.iter().any(|b| b.what.contains(words)), "{words:?} in {found:?}");
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
    let mut e = empty();
    sent(&mut e, S, "x", Effect::Idempotent);
    assert_breach(&e, 1, "no final answer");
    client(&mut e, S + 5, "x", ClientObservation::Lost);
    assert_breach(&e, 1, "its connection broke");
    // A controller that is killed need not answer; one that gets SIGTERM has to answer the calls that it accepted.
    e.controller_runs[0].to = Some(2 * S);
    assert_eq!(breaches(&e), vec![]);
    (e.controller_runs[0].ending, e.controller_runs[0].to) = (Some(2 * S), Some(2 * S + 1));
    assert_breach(&e, 1, "no final answer");
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
    let mut e = served(Effect::Idempotent);
    arrive(&mut e, 2 * S, "w2", 1, "x");
    answered(&mut e, 2 * S + 1, "w2", 1, true);
    assert_breach(&e, 1, "reached w2 after the call had ended");
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
    let mut e = served(Effect::NonIdempotent);
    arrive(&mut e, S + 20 * MS, "w2", 1, "x");
    answered(&mut e, S + 20 * MS, "w2", 1, true);
    assert_eq!(breaches(&e), vec![], "sent twice but ran once");
    worker(&mut e, S + 20 * MS, "w2", ObservationKind::Runs { stream: 1 });
    // The audit orders records by time, whatever their order in the evidence.
    let at = e.workers.len() - 2;
    e.workers.swap(at, at + 1);
    assert_breach(&e, 2, "unsafe, and ran at w1 and at w2");
}

#[test]
fn rule_2_refusal_of_a_call_that_ran() {
    let refused = |effect| {
        let mut e = served(effect);
        e.clients.pop();
        client(&mut e, S + 30 * MS, "x", ClientObservation::Final(FinalStatus::Refused));
        e
    };
    assert_breach(&refused(Effect::NonIdempotent), 2, "refused, and ran at w1");
    assert_breach(&refused(KEYED), 2, "refused, and ran at w1");
    assert_eq!(breaches(&refused(Effect::Idempotent)), vec![]);
    assert_eq!(breaches(&refused(Effect::IdempotencyKey { scope: KeyScope::All, window: S })), vec![]);
}

#[test]
fn rule_2_keyed_call_leaves_its_group_or_window() {
    let repeat = |worker: &str, at: u64, proof: bool| {
        let mut e = empty();
        sent(&mut e, S, "x", KEYED);
        arrive(&mut e, S, "w1", 1, "x");
        answered(&mut e, S + 1, "w1", 1, proof);
        arrive(&mut e, at, worker, 2, "x");
        answered(&mut e, at + 1, worker, 2, false);
        client(&mut e, at + 2, "x", ClientObservation::Final(FinalStatus::Served));
        e
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
    let mut e = empty();
    sent(&mut e, S, "x", Effect::Idempotent);
    arrive(&mut e, S, "w1", 1, "x");
    arrive(&mut e, 2 * S, "w2", 1, "x");
    answered(&mut e, 2 * S + 1, "w2", 1, false);
    client(&mut e, 2 * S + 2, "x", ClientObservation::Final(FinalStatus::Served));
    assert_breach(&e, 2, "began while one at w1 was open");
    let mut cancelled = e.clone();
    worker(&mut cancelled, 2 * S - 1, "w1", ObservationKind::Gone { stream: 1 });
    assert_eq!(breaches(&cancelled), vec![]);
    let mut died = e.clone();
    worker(&mut died, 2 * S - 1, "w1", ObservationKind::Down);
    assert_eq!(breaches(&died), vec![]);
    cut(&mut e, "w1", S + 1, 5 * S);
    assert_breach(&e, 2, "began while one at w1 was open");
    gone(&mut e, 5 * S + 1, "w1", 1);
    assert_eq!(breaches(&e), vec![], "a cancellation behind a cut link arrives when the link is restored");
}

/// The first attempt is sent to w2 over a cut link and cancelled; the second runs at w1 in the meantime. Once the link
/// is restored, the first attempt and its cancellation arrive at w2.
fn first_attempt_delayed(effect: Effect) -> Evidence {
    let mut e = empty();
    sent(&mut e, S, "x", effect);
    cut(&mut e, "w2", S - 500 * MS, 3 * S);
    arrive(&mut e, 3 * S + 12 * MS, "w2", 1, "x");
    gone(&mut e, 3 * S + 13 * MS, "w2", 1);
    arrive(&mut e, 2 * S, "w1", 1, "x");
    worker(&mut e, 2 * S + 1, "w1", ObservationKind::Runs { stream: 1 });
    answered(&mut e, 2 * S + 500 * MS, "w1", 1, false);
    client(&mut e, 2 * S + 501 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    e
}

/// The last record at a worker that matches `is`, for modification.
fn record<'a>(e: &'a mut Evidence, name: &str, is: fn(&ObservationKind) -> bool) -> &'a mut Observation {
    e.workers
        .iter_mut()
        .rev()
        .find(|r| r.worker == name && is(&r.kind))
        .expect("the worker has such a record")
}

#[test]
fn attempt_delayed_by_a_cut_link_is_judged_by_number_and_link() {
    for effect in [Effect::Idempotent, KEYED] {
        let mut e = first_attempt_delayed(effect);
        if effect == KEYED {
            e.locations.get_mut("w2").expect("w2 has a location").zone = "a".into();
        }
        assert_eq!(breaches(&e), vec![], "the attempts do not overlap: {effect:?}");
    }
    // An answer that w2 sends right after the link was restored may precede its reading of the cancellation. One that
    // it sends 300 ms later shows that the first attempt was not cancelled.
    let mut ran = first_attempt_delayed(Effect::Idempotent);
    record(&mut ran, "w2", |s| matches!(s, ObservationKind::Gone { .. })).kind =
        ObservationKind::Answered { stream: 1, served: true, never_ran: false };
    assert_eq!(breaches(&ran), vec![], "answered before the worker read the cancellation");
    record(&mut ran, "w2", |s| matches!(s, ObservationKind::Answered { .. })).at = 3 * S + 300 * MS;
    let found = breaches(&ran);
    assert!(
        found.iter().any(|b| b.rule == 2 && b.what.contains("began while one at w2 was open")),
        "{found:?}"
    );
    // The cancellation arrives long after the link was restored, so it was sent too late.
    let mut late = first_attempt_delayed(Effect::Idempotent);
    record(&mut late, "w2", |s| matches!(s, ObservationKind::Gone { .. })).at = 4 * S;
    assert_breach(&late, 2, "began while one at w2 was open");
    // Without a cut link, an attempt that arrives late was sent late, after the end of the call.
    let mut whole = first_attempt_delayed(Effect::Idempotent);
    whole.cuts.clear();
    let found = breaches(&whole);
    assert!(found.iter().any(|b| b.rule == 1 && b.what.contains("reached w2 after the call had ended")));
    // A cut of the link to another worker does not explain the delay.
    let mut other = first_attempt_delayed(Effect::Idempotent);
    other.cuts[0].worker = "w3".into();
    assert_eq!(breaches(&other), found);
}

#[test]
fn overlap_behind_a_cut_link_is_found() {
    // The first attempt is open at w1 when the link is cut, and the second begins at w2 before the link is restored. If
    // no cancellation of the first arrives when the link is restored, the attempts overlap.
    let overlap = |end: ObservationKind, at: u64| {
        let mut e = empty();
        sent(&mut e, S, "x", Effect::Idempotent);
        arrive(&mut e, S + 1, "w1", 1, "x");
        cut(&mut e, "w1", S + 100 * MS, 2 * S);
        arrive(&mut e, S + 500 * MS, "w2", 1, "x");
        answered(&mut e, S + 600 * MS, "w2", 1, false);
        client(&mut e, S + 601 * MS, "x", ClientObservation::Final(FinalStatus::Served));
        worker(&mut e, at, "w1", end);
        e
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
    assert!(found.iter().filter(|b| b.what.contains("while one at w1 was open")).count() == 2, "{found:?}");
}

#[test]
fn unsafe_call_retried_behind_a_cut_link_is_found_when_it_runs() {
    let mut e = first_attempt_delayed(Effect::NonIdempotent);
    assert_eq!(breaches(&e), vec![], "the first attempt was cancelled before it ran");
    worker(&mut e, 3 * S + 12 * MS + 500, "w2", ObservationKind::Runs { stream: 1 });
    assert_breach(&e, 2, "unsafe, and ran at w2 and at w1");
}

#[test]
fn keyed_call_is_bound_by_its_lowest_attempt_number() {
    // The first attempt by number was sent to zone b and arrived last; the retry in zone a arrived before it.
    let e = first_attempt_delayed(KEYED);
    assert_breach(&e, 2, "keyed, repeated at w1 outside the group of w2");
    // The window began when the first attempt was sent, which is before the retry arrived, and not at its own arrival.
    let mut late = first_attempt_delayed(KEYED);
    late.locations.get_mut("w2").expect("w2 has a location").zone = "a".into();
    arrive(&mut late, 4 * S + 600 * MS, "w1", 2, "x");
    answered(&mut late, 4 * S + 601 * MS, "w1", 2, false);
    late.clients.pop();
    client(&mut late, 4 * S - 1, "y", ClientObservation::Lost);
    client(&mut late, 4 * S + 700 * MS, "x", ClientObservation::Final(FinalStatus::Served));
    late.clients.iter_mut().for_each(|r| {
        if let ClientObservation::Sent { deadline, .. } = &mut r.what {
            *deadline = 9 * S;
        }
    });
    assert_breach(&late, 2, "keyed, repeated after its window");
}

#[test]
fn attempt_numbers_are_present_and_distinct() {
    let mut e = first_attempt_delayed(Effect::Idempotent);
    if let ObservationKind::Call { attempt, .. } =
        &mut record(&mut e, "w1", |s| matches!(s, ObservationKind::Call { .. })).kind
    {
        *attempt = Some(0);
    }
    assert_breach(&e, 2, "with number 0 again");
    if let ObservationKind::Call { attempt, .. } =
        &mut record(&mut e, "w1", |s| matches!(s, ObservationKind::Call { .. })).kind
    {
        *attempt = None;
    }
    assert_breach(&e, 2, "with no number");
}

#[test]
fn cuts_are_derived_from_worker_records() {
    let mut e = empty();
    let link = |address_index, conn, cut| ObservationKind::Link { address_index, conn, cut };
    worker(&mut e, S, "w1", link(1, None, true));
    worker(&mut e, S + 1, "w1", link(0, Some(7), true));
    worker(&mut e, S + 2, "w1", link(0, Some(7), false));
    worker(&mut e, 2 * S, "w1", link(1, None, false));
    worker(&mut e, 3 * S, "w2", link(0, None, true));
    let zones = ["a".to_owned(), "b".to_owned()];
    let cut = |worker: &str, zone: &str, from, to| {
        let interval = Interval { from, to };
        Cut { worker: worker.to_owned(), zone: zone.to_owned(), interval }
    };
    assert_eq!(
        cuts(&e.workers, &zones),
        [cut("w1", "a", S + 1, S + 2), cut("w1", "b", S, 2 * S), cut("w2", "a", 3 * S, u64::MAX)]
    );
}

#[test]
fn rule_3_new_attempt_after_the_drain_grace() {
    let drained = |at: u64| {
        let mut e = served(Effect::Idempotent);
        e.list_changes.push(ListChange {
            at,
            written: at,
            worker: "w1".into(),
            state: WorkerState::Draining,
        });
        e
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
    let mut e = empty();
    worker(&mut e, S, "w1", ObservationKind::Up { cold: true });
    assert_eq!(breaches(&e), vec![]);
    worker(&mut e, 2 * S, "w1", ObservationKind::Overloaded);
    assert_breach(&e, 4, "w1 was pushed over while cold");
}

#[test]
fn rule_5_load_orders_beyond_the_limit() {
    let orders = |times: &[u64], calls: u64| {
        let mut e = empty();
        for n in 0..calls {
            sent(&mut e, S + n, &format!("c{n}"), Effect::Idempotent);
            client(&mut e, S + n + 1, &format!("c{n}"), ClientObservation::Final(FinalStatus::Served));
        }
        for at in times {
            let load_order =
                ObservationKind::Order { controller: "0".into(), model: "echo".into(), replicas: 1 };
            worker(&mut e, *at, "w1", load_order);
        }
        e
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
