//! One test for each guard: the failure it was written for.

mod common;
use common::*;
use nettleferry::*;

#[test]
fn fast_failure_does_not_attract_load() {
    let mut stand = Stand::new(settings(), 4);
    let home = stand.warm(1, 9, 4);
    let (mut there, mut attempts) = (0, std::collections::BTreeMap::new());
    for id in 10..40 {
        let mut queue = sends(&stand.ask(id, 0, 9, 4));
        while let Some((request, at)) = queue.pop() {
            there += usize::from(at == home);
            let number = attempts.entry(request).and_modify(|n| *n += 1).or_insert(0);
            let outcome = if at == home { Outcome::Error } else { Outcome::Ok };
            queue.extend(sends(&stand.end(request, *number, at, outcome, Some(LoadNote::Warm))));
        }
        stand.now += 5 * MS;
    }
    assert!(there <= 4, "{there} calls went to the failing worker");
}

#[test]
fn a_barred_worker_comes_back_by_a_trial_that_is_not_unsafe() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    for id in 10..13 {
        if sent(&stand.ask(id, 1, 9, 4)) == Some(home) {
            stand.end(id, 0, home, Outcome::Error, None);
        }
    }
    stand.pass(600 * MS);
    assert_ne!(sent(&stand.ask(20, 1, 9, 4)), Some(home), "no unsafe call is a trial");
    stand.end(20, 0, 3 - home, Outcome::Ok, Some(LoadNote::Warm));
    stand.change(3 - home, WorkerState::Draining, None);
    assert_eq!(sent(&stand.ask(21, 0, 9, 4)), Some(home));
}

#[test]
fn a_barred_home_is_tried_again_where_only_orders_load() {
    let mut set = settings();
    set.loading.when_absent = WhenAbsent::Miss;
    let mut stand = Stand::new(set, 2);
    let home = stand.warm(1, 9, 4);
    for id in 10..13 {
        if sent(&stand.ask(id, 1, 9, 4)) == Some(home) {
            stand.end(id, 0, home, Outcome::Error, None);
        }
    }
    stand.pass(20 * S);
    assert_eq!(sent(&stand.ask(20, 0, 9, 4)), Some(home), "its copy is forgotten and its bar is over");
    assert_ne!(sent(&stand.ask(21, 0, 8, 4)), Some(home), "one trial at a time");
}

#[test]
fn a_full_home_is_waited_for_while_our_own_loads_fill_it_and_not_for_others() {
    for ours in [true, false] {
        let mut set = settings();
        set.loading.when_absent = WhenAbsent::Miss;
        let mut stand = Stand::new(set, 2);
        let home = sent(&stand.ask(99, 0, 9, 4)).expect("sent");
        stand.end(99, 0, home, Outcome::Ok, Some(LoadNote::Warm));
        // A function of the same home, whose load is under way there, where it is ours that fills it.
        let other = (10..40).find(|f| {
            let at = sent(&stand.ask(100 + f, 0, *f, 4)).expect("sent");
            stand.end(100 + f, 0, at, Outcome::Ok, Some(LoadNote::Warm));
            at == home
        });
        let other = other.expect("one of thirty has this home");
        // All copies have been idle for too long.
        stand.pass(11 * S);
        assert_eq!(sent(&stand.ask(1, 0, 9, 4)), Some(home));
        if ours {
            stand.ask(2, 0, other, 4);
            assert_eq!(loads(&stand.end(2, 0, home, Outcome::NotLoaded, None)), 1);
        }
        assert_eq!(loads(&stand.end(1, 0, home, Outcome::NotLoaded, None)), 1);
        let turned = Event::Loaded {
            worker: WorkerId(home),
            function: FunctionId(9),
            outcome: Outcome::Rejected,
            copies: 0,
            elapsed: MS,
        };
        let went = sends(&stand.feed(turned)).into_iter().find(|(id, _)| *id == 1);
        assert_eq!(went, (!ours).then_some((1, 3 - home)), "ours fill it: {ours}");
    }
}

#[test]
fn all_suspects_at_once_still_serve() {
    let mut stand = Stand::new(settings(), 2);
    for round in 0..6 {
        for function in 0..8 {
            let id = 100 + round * 10 + function;
            for (request, at) in sends(&stand.ask(id, 1, function, 2)) {
                stand.end(request, 0, at, Outcome::Error, None);
            }
        }
    }
    let now = stand.ask(900, 0, 3, 2);
    assert!(sent(&now).is_some(), "the least bad takes it");
}

#[test]
fn a_silent_worker_is_probed_then_barred_and_its_safe_calls_go_elsewhere() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    stand.ask(2, 0, 9, 4);
    let waited = stand.pass(700 * MS);
    assert_eq!(probes(&waited), 1);
    assert!(!cancels(&waited, 2));
    let silent = Event::Probed { worker: WorkerId(home), outcome: Outcome::Timeout, report: None };
    let told = stand.feed(silent.clone());
    assert!(probes(&told) == 1 && !cancels(&told, 2), "its connection may have failed alone");
    let told = stand.feed(silent);
    assert!(cancels(&told, 2));
    let moved = stand.end(2, 0, home, Outcome::Cancelled, None);
    assert_eq!(sent(&moved), Some(3 - home));
}

#[test]
fn a_call_that_was_lost_among_answered_ones_goes_elsewhere() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    assert_eq!(sent(&stand.ask(2, 0, 9, 4)), Some(home));
    assert_eq!(sent(&stand.ask(3, 1, 9, 4)), Some(home));
    assert_eq!(sent(&stand.ask(4, 0, 9, 4)), Some(home));
    stand.pass(100 * MS);
    stand.end(4, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    let waited = stand.pass(300 * MS);
    assert!(cancels(&waited, 2) && !cancels(&waited, 3), "the safe one alone: {waited:?}");
    assert_eq!(probes(&waited), 1, "and the worker is asked about the other");
    stand.end(2, 0, home, Outcome::Cancelled, None);
    assert!(!waited.iter().any(|a| matches!(a, Action::Log(_))), "nobody is barred");
}

#[test]
fn a_slow_worker_that_answers_its_probe_is_not_barred() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    stand.ask(2, 0, 9, 4);
    stand.pass(700 * MS);
    let told = stand.feed(Event::Probed { worker: WorkerId(home), outcome: Outcome::Ok, report: None });
    assert!(!cancels(&told, 2));
    assert_eq!(sent(&stand.ask(3, 0, 9, 4)), Some(home));
}

#[test]
fn a_full_worker_is_left_alone_for_a_while() {
    let mut stand = Stand::new(settings(), 1);
    stand.warm(1, 9, 8);
    stand.ask(10, 0, 9, 8);
    assert!(sends(&stand.end(10, 0, 1, Outcome::Rejected, None)).is_empty());
    assert!(
        sends(&stand.pass(200 * MS)).is_empty(),
        "its queue is longer than any answer in time would wait"
    );
    assert_eq!(sends(&stand.pass(200 * MS)), vec![(10, 1)], "and then it is tried again");
}

/// Serves one call of function 9 and tells how many of its calls the worker held.
fn crowded(stand: &mut Stand, id: u64, at: u64, crowd: u32) -> Vec<Action> {
    stand.feed(Event::Outcome {
        request: RequestId(id),
        attempt: 0,
        worker: WorkerId(at),
        outcome: Outcome::Ok,
        finished: true,
        elapsed: 50 * MS,
        note: Some(LoadNote::Warm),
        concurrent_calls: Some(crowd),
        report: None,
    })
}

#[test]
fn others_calls_count_in_the_bound_and_a_copy_is_ordered_at_the_next_worker() {
    let mut stand = Stand::new(settings(), 4);
    let home = sent(&stand.ask(1, 0, 9, 2)).unwrap();
    crowded(&mut stand, 1, home, 6);
    let next = stand.ask(2, 0, 9, 2);
    assert_eq!(loads(&next), 1, "all that stand are strained: {next:?}");
    let at = next.iter().find_map(|a| if let Action::Load { worker, .. } = a { Some(*worker) } else { None });
    assert_ne!(at, Some(WorkerId(home)));
    stand.feed(Event::Loaded {
        worker: at.unwrap(),
        function: FunctionId(9),
        outcome: Outcome::Ok,
        copies: 1,
        elapsed: 4 * MS,
    });
    stand.pass(100 * MS);
    assert_eq!(sent(&stand.ask(3, 0, 9, 2)).map(WorkerId), at, "the copy found there is used");
    crowded(&mut stand, 3, at.unwrap().0, 0);
    stand.pass(3 * S);
    assert_eq!(loads(&stand.ask(4, 0, 9, 2)), 0, "strain fades");
}

#[test]
fn a_worker_that_is_down_is_tried_by_probes_and_comes_back_cold() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    stand.ask(2, 0, 9, 4);
    let told = stand.end(2, 0, home, Outcome::Reset, None);
    assert_eq!(probes(&told), 1, "a probe tells a process that died from a connection that broke");
    let worker = WorkerId(home);
    stand.feed(Event::Probed { worker, outcome: Outcome::ConnectFailed, report: None });
    let mut there = 0;
    let mut asked = 0;
    for id in 10..60 {
        let mut seen = stand.ask(id, 0, 9, 4);
        seen.extend(stand.pass(50 * MS));
        asked += probes(&seen);
        for (request, at) in sends(&seen) {
            there += usize::from(at == home);
            stand.end(request, 0, at, Outcome::Ok, Some(LoadNote::Warm));
        }
        if probes(&seen) > 0 {
            let worker = WorkerId(home);
            stand.feed(Event::Probed { worker, outcome: Outcome::ConnectFailed, report: None });
        }
    }
    assert_eq!(there, 0, "no call goes to a worker that is down");
    assert!(asked >= 2, "probes try it");
}

#[test]
fn a_connection_that_broke_alone_costs_the_worker_nothing() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    for id in 2..5 {
        assert_eq!(sent(&stand.ask(id, 1, 9, 4)), Some(home));
    }
    let told: usize = (2..5).map(|id| probes(&stand.end(id, 0, home, Outcome::Reset, None))).sum();
    assert_eq!(told, 1, "what breaks together is asked about once");
    assert_ne!(sent(&stand.ask(6, 0, 9, 4)), Some(home), "nothing goes there before it is known");
    stand.feed(Event::Probed { worker: WorkerId(home), outcome: Outcome::Ok, report: None });
    assert_eq!(sent(&stand.ask(7, 0, 9, 4)), Some(home), "neither barred nor cold, and its copy stands");
}

#[test]
fn probes_that_break_as_well_end_in_a_bar_and_not_in_a_loop() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    stand.ask(2, 1, 9, 4);
    let broke = Event::Probed { worker: WorkerId(home), outcome: Outcome::Reset, report: None };
    let mut asked = probes(&stand.end(2, 0, home, Outcome::Reset, None));
    for _ in 0..10 {
        asked += probes(&stand.feed(broke.clone()));
    }
    assert_eq!(asked, 1);
}

#[test]
fn errors_of_what_no_worker_ever_served_bar_nobody() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 4);
    for id in 10..30 {
        let at = sent(&stand.ask(id, 1, 1000 + id, 1)).expect("there is room");
        stand.end(id, 0, at, Outcome::Error, None);
    }
    assert_eq!(sent(&stand.ask(40, 0, 9, 4)), Some(home));
}

#[test]
fn a_worker_not_heard_of_is_probed_and_a_crowded_one_passed_over() {
    let mut set = settings();
    set.reports = Reports::Probe;
    let mut stand = Stand::new(set, 3);
    let first = stand.ask(1, 0, 9, 2);
    let asked = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Probe { worker } = a { Some(*worker) } else { None })
    };
    let worker = asked(&first).expect("a probe goes first");
    assert!(sends(&first).is_empty());
    let report = Some(Report { inflight: Some(60.0), ..Report::default() });
    let then = stand.feed(Event::Probed { worker, outcome: Outcome::Ok, report });
    let other = asked(&then).expect("the next is probed");
    let report = Some(Report { inflight: Some(0.0), ..Report::default() });
    let last = stand.feed(Event::Probed { worker: other, outcome: Outcome::Ok, report });
    assert_eq!(sends(&last), vec![(1, other.0)]);
}

#[test]
fn a_worker_without_a_known_copy_is_not_probed_first_where_only_orders_load() {
    let mut set = settings();
    (set.reports, set.loading.when_absent) = (Reports::Probe, WhenAbsent::Miss);
    let mut stand = Stand::new(set, 3);
    let first = stand.ask(1, 0, 9, 2);
    let home = sent(&first).expect("it goes at once: a miss tells as much");
    assert_eq!(probes(&first), 0);
    stand.end(1, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    stand.pass(S);
    let known = stand.ask(2, 0, 9, 2);
    assert!(probes(&known) == 1 && sends(&known).is_empty(), "where its copy stands, news are asked for");
    // Its home drains: a further copy is a choice, and the next worker is asked before it is made.
    let next = stand.change(home, WorkerState::Draining, None);
    assert!(probes(&next) == 1 && sends(&next).is_empty(), "a copy is known elsewhere");
}

#[test]
fn idle_cores_take_a_call_whose_bound_others_fill() {
    let mut set = settings();
    set.reports = Reports::Probe;
    let mut stand = Stand::new(set, 1);
    let report = |stand: &mut Stand, util| {
        let report = Some(Report { inflight: Some(8.0), util: Some(util), ..Report::default() });
        stand.feed(Event::Probed { worker: WorkerId(1), outcome: Outcome::Ok, report })
    };
    for (id, function, lanes) in [(1, 8, 8), (2, 9, 4)] {
        stand.ask(id, 0, function, lanes);
        report(&mut stand, 0.1);
        stand.end(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm));
    }
    for id in 10..16 {
        assert_eq!(sent(&stand.ask(id, 0, 8, 8)), Some(1));
    }
    let mut asked = stand.pass(700 * MS);
    asked.extend(stand.ask(20, 0, 9, 4));
    assert_eq!((sent(&asked), probes(&asked)), (None, 1), "six are out, over its four lanes: {asked:?}");
    assert_eq!(sent(&report(&mut stand, 0.95)), None, "crowded");
    stand.pass(700 * MS);
    stand.ask(21, 0, 9, 4);
    assert!(sends(&report(&mut stand, 0.2)).contains(&(20, 1)), "idle cores");
}

#[test]
fn held_calls_do_not_begin_copies_everywhere() {
    let mut stand = Stand::new(settings(), 8);
    // Thirty functions with one home each, every lane taken: what is held waits for its warm copy.
    let homes: Vec<u64> = (0..30).map(|f| stand.warm(f, f, 1)).collect();
    let mut strangers = 0;
    for round in 0..4 {
        for (f, home) in homes.iter().enumerate() {
            let id = 1000 + round * 100 + f as u64;
            strangers += sends(&stand.ask(id, 0, f as u64, 1)).iter().filter(|(_, w)| w != home).count();
        }
    }
    assert_eq!(strangers, 0);
}

#[test]
fn a_hot_function_gets_a_further_copy() {
    let mut stand = Stand::new(settings(), 4);
    let home = stand.warm(1, 9, 1);
    let mut elsewhere = 0;
    for id in 10..200 {
        let mut queue = sends(&stand.ask(id, 0, 9, 1));
        elsewhere += queue.iter().filter(|(_, w)| *w != home).count();
        stand.now += 30 * MS;
        // The home worker answers one call in 60 ms.
        if id % 2 == 0 {
            queue.truncate(1);
            let done = id - 1;
            stand.ended(done, 0, home, Outcome::Ok, Some(LoadNote::Warm), 60 * MS);
        }
    }
    assert!(elsewhere >= 1);
}

#[test]
fn a_call_past_hope_waits_behind_one_that_can_be_in_time() {
    let mut stand = Stand::new(settings(), 1);
    // Function 9 costs less than function 8, so its late call would leave first by priority alone.
    for (id, function, elapsed) in [(1, 9, 50 * MS), (2, 8, 100 * MS)] {
        stand.ask(id, 0, function, 1);
        stand.ended(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm), elapsed);
    }
    stand.ask(3, 0, 9, 1);
    stand.ask(4, 0, 8, 1);
    stand.ask(5, 0, 9, 1);
    stand.pass(480 * MS);
    stand.feed(Event::Probed { worker: WorkerId(1), outcome: Outcome::Ok, report: None });
    stand.ask(6, 0, 8, 1);
    stand.end(4, 0, 1, Outcome::Rejected, None);
    stand.ask(7, 0, 9, 1);
    let freed = sends(&stand.end(3, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
    assert_eq!(freed.first().map(|s| s.0).filter(|id| *id == 5), None, "{freed:?}");
}

#[test]
fn a_restarted_worker_has_lost_its_copies() {
    let mut stand = Stand::new(settings(), 4);
    let home = stand.warm(1, 9, 2);
    let at = sent(&stand.ask(2, 0, 9, 2));
    assert_eq!(at, Some(home));
    stand.end(2, 0, home, Outcome::Reset, None);
    let next = sends(&stand.ask(3, 0, 9, 4));
    assert!(next.iter().all(|(_, w)| *w != home), "it may be dead, or cold and empty");
}

#[test]
fn discovery_by_asking_is_asked_again_after_a_growing_wait() {
    let mut asking = settings();
    asking.discovery = Discovery::Poll;
    let mut controller = Controller::new(asking, 5).unwrap();
    let mut first = Vec::new();
    controller.handle(S, Event::Workers { form: ListForm::Restored, entries: vec![] }, &mut first);
    assert!(first.contains(&Action::Watch));
    let mut stand = Stand { controller, now: S, workers: vec![] };
    let mut gaps = Vec::new();
    for _ in 0..8 {
        stand.feed(Event::Workers { form: ListForm::Failed, entries: vec![] });
        let asked = stand.now;
        while !stand.pass(2 * MS).contains(&Action::Watch) {
            assert!(stand.now < asked + 10 * S, "asked again before it is deemed told");
        }
        gaps.push(stand.now - asked);
    }
    assert!(gaps[7] > gaps[0]);
}

#[test]
fn a_tenant_over_its_quota_waits_behind_the_others() {
    let mut shared = settings();
    shared.tenants = vec![Tenant { quota_per_s: Some(3.0) }, Tenant { quota_per_s: Some(300.0) }];
    let mut stand = Stand::new(shared, 1);
    stand.warm(1, 9, 1);
    stand.ask(2, 0, 9, 1);
    let of = |id: u64, tenant: usize| {
        Event::Request(Request { tenant: Some(TenantId(tenant)), ..request(id, 0, 9, 1) })
    };
    for id in 10..14 {
        stand.feed(of(id, 0));
    }
    stand.feed(of(20, 1));
    stand.feed(of(21, 1));
    let order: Vec<u64> = (0..3)
        .scan(2, |last, _| {
            let next = sends(&stand.end(*last, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
            *last = next.first()?.0;
            Some(*last)
        })
        .collect();
    assert!(order.contains(&20) && order.contains(&21), "{order:?}");
}

#[test]
fn no_room_for_a_copy_does_not_narrow_the_worker_for_others() {
    let mut stand = Stand::new(settings(), 1);
    stand.warm(1, 8, 4);
    stand.ask(2, 0, 9, 4);
    stand.end(2, 0, 1, Outcome::Rejected, None);
    for id in 10..14 {
        assert_eq!(sent(&stand.ask(id, 0, 8, 4)), Some(1), "call {id}");
    }
}

#[test]
fn slow_answers_narrow_a_worker_that_others_crowd() {
    let mut stand = Stand::new(settings(), 1);
    for id in 1..9 {
        stand.warm(id, 9, 8);
    }
    for id in 10..14 {
        assert_eq!(sent(&stand.ask(id, 0, 9, 8)), Some(1));
    }
    // 50 ms of work came back after a second: of the four that were out, the window keeps fewer than three.
    stand.ended(10, 0, 1, Outcome::Ok, Some(LoadNote::Warm), S);
    assert_eq!(sent(&stand.ask(20, 0, 9, 8)), None);
}

#[test]
fn with_no_worker_in_service_calls_are_refused_at_once() {
    let mut stand = Stand::new(settings(), 1);
    let home = stand.warm(1, 9, 1);
    assert!(sent(&stand.ask(2, 1, 9, 1)).is_some());
    assert!(!refused(&stand.ask(3, 0, 9, 1), 3), "it waits for room");
    let told = stand.change(home, WorkerState::Draining, None);
    assert!(refused(&told, 3), "nothing new may go to the only worker");
    assert!(refused(&stand.ask(4, 1, 9, 1), 4));
    // The one that runs there is not touched.
    assert!(!failed(&told, 2) && !refused(&told, 2));
    stand.end(2, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    stand.change(home, WorkerState::On, None);
    assert!(sent(&stand.ask(5, 0, 9, 1)).is_some());
}

#[test]
fn a_stream_that_has_begun_shows_its_copy() {
    let mut stand = Stand::new(settings(), 2);
    let home = sent(&stand.ask(1, 0, 9, 2)).expect("a first call is sent");
    assert!(sent(&stand.ask(2, 0, 9, 2)).is_none(), "the copy is still loading");
    stand.now += 300 * MS;
    let begun = stand.feed(Event::Started { request: RequestId(1), attempt: 0 });
    assert_eq!(sends(&begun), [(2, home)], "the second lane is free while the first stream goes on");
    assert!(sent(&stand.ask(3, 0, 9, 2)).is_none(), "both lanes are taken");
    // Its end frees its lane, once.
    stand.now += S;
    let ended = stand.ended(1, 0, home, Outcome::Ok, Some(LoadNote::Began), 1_300 * MS);
    assert_eq!(sends(&ended), [(3, home)]);
    assert!(sent(&stand.ask(4, 0, 9, 2)).is_none(), "calls 2 and 3 fill both lanes");
    assert_eq!(sends(&stand.end(2, 0, home, Outcome::Ok, Some(LoadNote::Warm))), [(4, home)]);
}

/// New versions of what is loaded: a copy is believed warm at three workers, and all three are void at once.
#[test]
fn a_new_version_is_ordered_once_and_costs_a_call_no_more_than_one_further_try() {
    let mut set = settings();
    set.loading.when_absent = WhenAbsent::Miss;
    set.loading.orders = true;
    set.limits.max_attempts = 3;
    let mut stand = Stand::new(set, 3);
    let mut believed = Vec::new();
    for id in 1..=3 {
        // Sent where it is, or ordered first and sent when it stands.
        let mut actions = stand.ask(id, 0, 9, 4);
        let ordered = actions.iter().find_map(|action| match action {
            Action::Load { worker, .. } => Some(*worker),
            _ => None,
        });
        if let Some(worker) = ordered {
            let (function, outcome) = (FunctionId(9), Outcome::Ok);
            actions = stand.feed(Event::Loaded { worker, function, outcome, copies: 1, elapsed: MS });
        }
        let at = sent(&actions).expect("sent to a copy");
        stand.end(id, 0, at, Outcome::Ok, Some(LoadNote::Warm));
        believed.push(at);
        stand.change(at, WorkerState::Draining, None);
        stand.now += MS;
    }
    for at in &believed {
        stand.change(*at, WorkerState::On, None);
    }
    let (first, second) = (stand.ask(11, 0, 9, 4), stand.ask(12, 0, 9, 4));
    let at = sent(&first).expect("sent to a copy that is believed");
    assert_eq!(sent(&second), Some(at));
    stand.now += MS;
    let mut missed = stand.end(11, 0, at, Outcome::NotLoaded, None);
    assert_eq!(loads(&missed), 1, "the first miss orders a copy");
    let mut tries = 1;
    while let Some((_, next)) = sends(&missed).into_iter().find(|(id, _)| *id == 11) {
        stand.now += MS;
        missed = stand.end(11, tries, next, Outcome::NotLoaded, None);
        assert_eq!(loads(&missed), 0, "not every copy that was known is ordered");
        tries += 1;
    }
    assert!(tries <= 2 && !refused(&missed, 11), "its last try is not spent on what is void as well");
    stand.now += MS;
    let missed = stand.end(12, 0, at, Outcome::NotLoaded, None);
    assert_eq!(loads(&missed), 0, "the order is under way, whoever misses there");
    assert_eq!(sent(&missed), None, "both wait for it");
    stand.now += 100 * MS;
    let (worker, function) = (WorkerId(at), FunctionId(9));
    let loaded = Event::Loaded { worker, function, outcome: Outcome::Ok, copies: 1, elapsed: 100 * MS };
    let loaded = stand.feed(loaded);
    assert!(sends(&loaded).contains(&(11, at)), "it goes to the copy that stands: {loaded:?}");
}

#[test]
fn a_copy_ordered_after_a_miss_is_wanted_though_its_call_has_no_try_left() {
    let mut set = settings();
    set.loading.when_absent = WhenAbsent::Miss;
    set.limits.max_attempts = 1;
    set.limits.cancel = false;
    let mut stand = Stand::new(set, 3);
    let at = sent(&stand.ask(1, 0, 9, 4)).expect("sent");
    let missed = stand.end(1, 0, at, Outcome::NotLoaded, None);
    assert!(refused(&missed, 1), "it has no try left");
    assert_eq!(loads(&missed), 1, "a copy is ordered for the calls to come");
    let unwanted = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CancelLoad { .. }));
    assert!(!unwanted(&missed), "and its order is not taken back in the same event: {missed:?}");
    // A client that leaves while its call alone waits for the copy is another matter.
    assert_eq!(sent(&stand.ask(2, 0, 9, 4)), None, "it waits for the copy");
    assert!(unwanted(&stand.feed(Event::ClientGone { request: RequestId(2) })));
}
