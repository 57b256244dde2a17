//! The audit on altered records: a valid run has no breach, and each way to break a rule is found.

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

fn worker(e: &mut Evidence, at: u64, name: &str, seen: ObservationKind) {
    e.workers.push(Observation { at, worker: name.into(), seen });
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

/// The call's next attempt arrives: numbers are in the order of these lines.
fn arrive(e: &mut Evidence, at: u64, name: &str, stream: u64, id: &str) {
    let before = |r: &&Observation| matches!(&r.seen, ObservationKind::Call { id: other, .. } if other == id);
    let attempt = Some(e.workers.iter().filter(before).count() as u32);
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

/// A call of that effect that ran at w1 and was served.
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

fn findings(e: &Evidence) -> Vec<Breach> {
    audit(e, Slack::default())
}

#[track_caller]
fn breaks(e: &Evidence, rule: u8, words: &str) {
    let found = findings(e);
    assert!(found.iter().all(|b| b.rule == rule), "only rule {rule} is broken: {found:?}");
    assert!(found.iter().any(|b| b.what.contains(words)), "{words:?} in {found:?}");
}

const KEYED: Effect = Effect::IdempotencyKey { scope: KeyScope::Zone, window: 2 * S };

#[test]
fn valid_run_has_no_breach() {
    for effect in [Effect::Idempotent, Effect::NonIdempotent, KEYED] {
        assert_eq!(findings(&served(effect)), vec![]);
    }
}

#[test]
fn rule_1_call_without_answer() {
    let mut e = empty();
    sent(&mut e, S, "x", Effect::Idempotent);
    breaks(&e, 1, "no final answer");
    client(&mut e, S + 5, "x", ClientObservation::Lost);
    breaks(&e, 1, "its connection broke");
    // What a killed controller held is its client's to retry; what one that ends had taken is owed.
    e.controller_runs[0].to = Some(2 * S);
    assert_eq!(findings(&e), vec![]);
    (e.controller_runs[0].ending, e.controller_runs[0].to) = (Some(2 * S), Some(2 * S + 1));
    breaks(&e, 1, "no final answer");
}

#[test]
fn rule_1_second_answer_late_answer_and_part_after_it() {
    let mut twice = served(Effect::Idempotent);
    client(&mut twice, S + 30 * MS, "x", ClientObservation::Final(FinalStatus::Refused));
    breaks(&twice, 1, "2 final answers");
    let mut late = empty();
    sent(&mut late, S, "x", Effect::Idempotent);
    client(&mut late, 4 * S + 5 * MS, "x", ClientObservation::Final(FinalStatus::Failed));
    breaks(&late, 1, "5 ms after its deadline");
    late.stalls.push(Stall { controller: 0, interval: Interval { from: 2 * S, to: 4 * S } });
    assert_eq!(findings(&late), vec![], "it stood still");
    let mut part = served(Effect::Idempotent);
    client(&mut part, S + 40 * MS, "x", ClientObservation::Part);
    breaks(&part, 1, "a part after the final answer");
}

#[test]
fn rule_1_attempt_after_the_call_ended() {
    let mut e = served(Effect::Idempotent);
    arrive(&mut e, 2 * S, "w2", 1, "x");
    answered(&mut e, 2 * S + 1, "w2", 1, true);
    breaks(&e, 1, "reached w2 after the call had ended");
    let mut cancelled = empty();
    sent(&mut cancelled, S, "x", Effect::Idempotent);
    client(&mut cancelled, S + 1, "x", ClientObservation::Cancelled);
    assert_eq!(findings(&cancelled), vec![]);
    arrive(&mut cancelled, 2 * S, "w2", 1, "x");
    answered(&mut cancelled, 2 * S + 1, "w2", 1, true);
    breaks(&cancelled, 1, "reached w2 after the call had ended");
}

#[test]
fn rule_2_unsafe_call_runs_twice() {
    let mut e = served(Effect::NonIdempotent);
    arrive(&mut e, S + 20 * MS, "w2", 1, "x");
    answered(&mut e, S + 20 * MS, "w2", 1, true);
    assert_eq!(findings(&e), vec![], "sent twice, ran once");
    worker(&mut e, S + 20 * MS, "w2", ObservationKind::Runs { stream: 1 });
    // Records are judged by their times, whatever their order.
    let at = e.workers.len() - 2;
    e.workers.swap(at, at + 1);
    breaks(&e, 2, "unsafe, and ran at w1 and at w2");
}

#[test]
fn rule_2_refusal_of_a_call_that_ran() {
    let refused = |effect| {
        let mut e = served(effect);
        e.clients.pop();
        client(&mut e, S + 30 * MS, "x", ClientObservation::Final(FinalStatus::Refused));
        e
    };
    breaks(&refused(Effect::NonIdempotent), 2, "refused, and ran at w1");
    breaks(&refused(KEYED), 2, "refused, and ran at w1");
    assert_eq!(findings(&refused(Effect::Idempotent)), vec![]);
    assert_eq!(findings(&refused(Effect::IdempotencyKey { scope: KeyScope::All, window: S })), vec![]);
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
    assert_eq!(findings(&repeat("w1", 2 * S, false)), vec![]);
    assert_eq!(findings(&repeat("w2", 2 * S, true)), vec![], "proven not run: anywhere");
    breaks(&repeat("w2", 2 * S, false), 2, "outside the group");
    breaks(&repeat("w1", 3 * S + 900 * MS, false), 2, "after its window");
}

#[test]
fn rule_2_attempts_overlap() {
    let mut e = empty();
    sent(&mut e, S, "x", Effect::Idempotent);
    arrive(&mut e, S, "w1", 1, "x");
    arrive(&mut e, 2 * S, "w2", 1, "x");
    answered(&mut e, 2 * S + 1, "w2", 1, false);
    client(&mut e, 2 * S + 2, "x", ClientObservation::Final(FinalStatus::Served));
    breaks(&e, 2, "began while one at w1 was open");
    let mut left = e.clone();
    worker(&mut left, 2 * S - 1, "w1", ObservationKind::Gone { stream: 1 });
    assert_eq!(findings(&left), vec![]);
    let mut died = e.clone();
    worker(&mut died, 2 * S - 1, "w1", ObservationKind::Down);
    assert_eq!(findings(&died), vec![]);
    cut(&mut e, "w1", S + 1, 5 * S);
    breaks(&e, 2, "began while one at w1 was open");
    gone(&mut e, 5 * S + 1, "w1", 1);
    assert_eq!(findings(&e), vec![], "behind a cut link a worker can't see that it was left");
}

/// The first attempt goes to w2, whose link is cut, and is withdrawn there; the second runs at w1 meanwhile; the
/// link heals, and both the first and its withdrawal arrive.
fn overtaken(effect: Effect) -> Evidence {
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

/// The last record of a kind at a worker, to be altered.
fn record<'a>(e: &'a mut Evidence, name: &str, is: fn(&ObservationKind) -> bool) -> &'a mut Observation {
    e.workers.iter_mut().rev().find(|r| r.worker == name && is(&r.seen)).expect("there")
}

#[test]
fn attempt_delayed_by_a_cut_link_is_judged_by_number_and_link() {
    for effect in [Effect::Idempotent, KEYED] {
        let mut e = overtaken(effect);
        if effect == KEYED {
            e.locations.get_mut("w2").expect("there").zone = "a".into();
        }
        assert_eq!(findings(&e), vec![], "sound: {effect:?}");
    }
    // It ran on after the link had healed: it had not been withdrawn.
    let mut ran = overtaken(Effect::Idempotent);
    record(&mut ran, "w2", |s| matches!(s, ObservationKind::Gone { .. })).seen =
        ObservationKind::Answered { stream: 1, served: true, never_ran: false };
    assert_eq!(findings(&ran), vec![], "answered in the moment of reading");
    record(&mut ran, "w2", |s| matches!(s, ObservationKind::Answered { .. })).at = 3 * S + 300 * MS;
    let found = findings(&ran);
    assert!(
        found.iter().any(|b| b.rule == 2 && b.what.contains("began while one at w2 was open")),
        "{found:?}"
    );
    // Withdrawn long after the link had healed.
    let mut late = overtaken(Effect::Idempotent);
    record(&mut late, "w2", |s| matches!(s, ObservationKind::Gone { .. })).at = 4 * S;
    breaks(&late, 2, "began while one at w2 was open");
    // The link was whole: its coming late is a late sending, after the call's end.
    let mut whole = overtaken(Effect::Idempotent);
    whole.cuts.clear();
    let found = findings(&whole);
    assert!(found.iter().any(|b| b.rule == 1 && b.what.contains("reached w2 after the call had ended")));
    // A cut of another link excuses nothing.
    let mut other = overtaken(Effect::Idempotent);
    other.cuts[0].worker = "w3".into();
    assert_eq!(findings(&other), found);
}

#[test]
fn overlap_behind_a_cut_link_is_found() {
    // Open at w1 before its link is cut; the second begins at w2 in the meantime; no withdrawal comes with the
    // healing, and w1 works on.
    let overlap = |over: ObservationKind, at: u64| {
        let mut e = empty();
        sent(&mut e, S, "x", Effect::Idempotent);
        arrive(&mut e, S + 1, "w1", 1, "x");
        cut(&mut e, "w1", S + 100 * MS, 2 * S);
        arrive(&mut e, S + 500 * MS, "w2", 1, "x");
        answered(&mut e, S + 600 * MS, "w2", 1, false);
        client(&mut e, S + 601 * MS, "x", ClientObservation::Final(FinalStatus::Served));
        worker(&mut e, at, "w1", over);
        e
    };
    let withdrawn = || ObservationKind::Gone { stream: 1 };
    let told = || ObservationKind::Answered { stream: 1, served: true, never_ran: false };
    assert_eq!(findings(&overlap(withdrawn(), 2 * S + 5 * MS)), vec![], "withdrawn while it was cut");
    assert_eq!(findings(&overlap(told(), 2 * S - 5 * MS)), vec![], "answered while it was cut");
    breaks(&overlap(told(), 2 * S + 200 * MS), 2, "began while one at w1 was open");
    breaks(&overlap(withdrawn(), 3 * S), 2, "began while one at w1 was open");
    // A second cut hides the withdrawal again; a third that began too late does not.
    let mut again = overlap(withdrawn(), 3 * S);
    cut(&mut again, "w1", 2 * S + 10 * MS, 3 * S - 5 * MS);
    assert_eq!(findings(&again), vec![]);
    again.cuts[1].interval.from = 2 * S + 900 * MS;
    breaks(&again, 2, "began while one at w1 was open");
    // Not neighbours: the first and the third.
    let mut third = overlap(withdrawn(), 4 * S);
    arrive(&mut third, S + 550 * MS, "w3", 1, "x");
    answered(&mut third, S + 560 * MS, "w3", 1, false);
    let found = findings(&third);
    assert!(found.iter().filter(|b| b.what.contains("while one at w1 was open")).count() == 2, "{found:?}");
}

#[test]
fn unsafe_call_retried_behind_a_cut_link_is_found_when_it_runs() {
    let mut e = overtaken(Effect::NonIdempotent);
    assert_eq!(findings(&e), vec![], "it was withdrawn before it ran");
    worker(&mut e, 3 * S + 12 * MS + 500, "w2", ObservationKind::Runs { stream: 1 });
    breaks(&e, 2, "unsafe, and ran at w2 and at w1");
}

#[test]
fn keyed_call_is_bound_by_its_lowest_attempt_number() {
    // The first went to zone b and came last; what came first, by arrival, was the repeat in zone a.
    let e = overtaken(KEYED);
    breaks(&e, 2, "keyed, repeated at w1 outside the group of w2");
    // Its window began when it left, which was before the repeat came: not when it arrived itself.
    let mut late = overtaken(KEYED);
    late.locations.get_mut("w2").expect("there").zone = "a".into();
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
    breaks(&late, 2, "keyed, repeated after its window");
}

#[test]
fn attempt_numbers_are_present_and_distinct() {
    let mut e = overtaken(Effect::Idempotent);
    if let ObservationKind::Call { attempt, .. } =
        &mut record(&mut e, "w1", |s| matches!(s, ObservationKind::Call { .. })).seen
    {
        *attempt = Some(0);
    }
    breaks(&e, 2, "with number 0 again");
    if let ObservationKind::Call { attempt, .. } =
        &mut record(&mut e, "w1", |s| matches!(s, ObservationKind::Call { .. })).seen
    {
        *attempt = None;
    }
    breaks(&e, 2, "with no number");
}

#[test]
fn cuts_are_derived_from_worker_records() {
    let mut e = empty();
    let link = |door, conn, cut| ObservationKind::Link { door, conn, cut };
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
    let told = |at: u64| {
        let mut e = served(Effect::Idempotent);
        e.list_changes.push(ListChange {
            at,
            written: at,
            worker: "w1".into(),
            state: WorkerState::Draining,
        });
        e
    };
    assert_eq!(findings(&told(S)), vec![], "within the grace");
    breaks(&told(10 * MS), 3, "call x reached w1");
    let mut back = told(10 * MS);
    back.list_changes.push(ListChange {
        at: 20 * MS,
        written: 20 * MS,
        worker: "w1".into(),
        state: WorkerState::On,
    });
    assert_eq!(findings(&back), vec![], "it is on again");
    // The run's thread lost the core while it wrote the files: a controller may have read its own at the end alone.
    let mut slow = told(10 * MS);
    slow.list_changes[0].written = S;
    assert_eq!(findings(&slow), vec![], "the grace begins when every controller may know");
    let mut order = empty();
    order.list_changes.push(ListChange { at: S, written: S, worker: "w1".into(), state: WorkerState::Gone });
    sent(&mut order, 3 * S, "y", Effect::Idempotent);
    client(&mut order, 3 * S + 1, "y", ClientObservation::Final(FinalStatus::Refused));
    let seen = ObservationKind::Order { controller: "0".into(), model: "echo".into(), copies: 1 };
    worker(&mut order, 3 * S, "w1", seen);
    breaks(&order, 3, "an order to load echo reached w1");
}

#[test]
fn rule_4_warming_worker_is_overloaded() {
    let mut e = empty();
    worker(&mut e, S, "w1", ObservationKind::Up { cold: true });
    assert_eq!(findings(&e), vec![]);
    worker(&mut e, 2 * S, "w1", ObservationKind::Fell);
    breaks(&e, 4, "w1 was pushed over while cold");
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
            let seen = ObservationKind::Order { controller: "0".into(), model: "echo".into(), copies: 1 };
            worker(&mut e, *at, "w1", seen);
        }
        e
    };
    // One is free, and one more for each two calls.
    assert_eq!(findings(&orders(&[2 * S, 2 * S + 1], 2)), vec![]);
    breaks(&orders(&[2 * S, 2 * S + 1, 2 * S + 2], 2), 5, "3 load orders in the window, 2.0 permitted");
    assert_eq!(findings(&orders(&[2 * S, 5 * S, 8 * S], 0)), vec![], "a window each");
    let mut controller_runs = orders(&[2 * S, 2 * S + 10], 0);
    controller_runs.controller_runs[0].to = Some(2 * S + 5);
    controller_runs.controller_runs.push(ControllerRun {
        controller: 0,
        zone: "a".into(),
        from: 2 * S + 6,
        ending: None,
        to: None,
    });
    breaks(&controller_runs, 5, "2 load orders in the window");
    controller_runs.workers[1].at = 5 * S;
    assert_eq!(findings(&controller_runs), vec![], "a window after the other life's last one");
}
