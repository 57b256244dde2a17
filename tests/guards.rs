//! Tests of the guards; each reproduces the failure that the guard prevents.

mod common;
use common::*;
use nettleferry::*;

#[test]
fn fast_failure_does_not_attract_load() {
    let mut harness = Harness::new(settings(), 4);
    let home = harness.serve_warm(1, 9, 4);
    let (mut calls_at_home, mut attempt_numbers) = (0, std::collections::BTreeMap::new());
    for id in 10..40 {
        let mut queue = sends(&harness.call(id, 0, 9, 4));
        while let Some((request, worker)) = queue.pop() {
            calls_at_home += usize::from(worker == home);
            let number = attempt_numbers.entry(request).and_modify(|n| *n += 1).or_insert(0);
            let outcome = if worker == home { Outcome::Error } else { Outcome::Ok };
            queue.extend(sends(&harness.end_attempt(
                request,
                *number,
                worker,
                outcome,
                Some(LoadNote::Warm),
            )));
        }
        harness.now += 5 * MS;
    }
    assert!(calls_at_home <= 4, "{calls_at_home} calls went to the failing worker");
}

#[test]
fn the_trial_of_an_ejected_worker_is_never_a_non_idempotent_call() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    for id in 10..13 {
        if sent(&harness.call(id, 1, 9, 4)) == Some(home) {
            harness.end_attempt(id, 0, home, Outcome::Error, None);
        }
    }
    harness.advance(600 * MS);
    assert_ne!(sent(&harness.call(20, 1, 9, 4)), Some(home), "no non-idempotent call is a trial");
    harness.end_attempt(20, 0, 3 - home, Outcome::Ok, Some(LoadNote::Warm));
    harness.update_worker(3 - home, WorkerState::Draining, None);
    assert_eq!(sent(&harness.call(21, 0, 9, 4)), Some(home));
}

#[test]
fn an_ejected_home_is_tried_again_where_only_orders_load() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    let mut harness = Harness::new(settings, 2);
    let home = harness.serve_warm(1, 9, 4);
    for id in 10..13 {
        if sent(&harness.call(id, 1, 9, 4)) == Some(home) {
            harness.end_attempt(id, 0, home, Outcome::Error, None);
        }
    }
    harness.advance(20 * S);
    assert_eq!(
        sent(&harness.call(20, 0, 9, 4)),
        Some(home),
        "its replica is no longer known and its ejection time has passed"
    );
    assert_ne!(sent(&harness.call(21, 0, 8, 4)), Some(home), "one trial at a time");
}

#[test]
fn a_call_waits_for_a_full_home_only_while_our_own_loads_fill_it() {
    for own_loads in [true, false] {
        let mut settings = settings();
        settings.loading.when_absent = WhenAbsent::Miss;
        let mut harness = Harness::new(settings, 2);
        let home = sent(&harness.call(99, 0, 9, 4)).expect("the first call is sent");
        harness.end_attempt(99, 0, home, Outcome::Ok, Some(LoadNote::Warm));
        // Another function with the same home. A pending load of it fills the home in the first case.
        let other = (10..40).find(|f| {
            let worker = sent(&harness.call(100 + f, 0, *f, 4)).expect("the first call is sent");
            harness.end_attempt(100 + f, 0, worker, Outcome::Ok, Some(LoadNote::Warm));
            worker == home
        });
        let other = other.expect("one of thirty functions has this home");
        // Wait until all replicas have passed their keep-alive time.
        harness.advance(11 * S);
        assert_eq!(sent(&harness.call(1, 0, 9, 4)), Some(home));
        if own_loads {
            harness.call(2, 0, other, 4);
            assert_eq!(loads(&harness.end_attempt(2, 0, home, Outcome::NotLoaded, None)), 1);
        }
        assert_eq!(loads(&harness.end_attempt(1, 0, home, Outcome::NotLoaded, None)), 1);
        let rejected = Event::Loaded {
            worker: WorkerId(home),
            function: FunctionId(9),
            outcome: Outcome::Rejected,
            replicas: 0,
            elapsed: MS,
        };
        let resent = sends(&harness.handle(rejected)).into_iter().find(|(id, _)| *id == 1);
        assert_eq!(resent, (!own_loads).then_some((1, 3 - home)), "own loads fill the home: {own_loads}");
    }
}

#[test]
fn calls_are_sent_although_all_workers_are_ejected() {
    let mut harness = Harness::new(settings(), 2);
    for round in 0..6 {
        for function in 0..8 {
            let id = 100 + round * 10 + function;
            for (request, worker) in sends(&harness.call(id, 1, function, 2)) {
                harness.end_attempt(request, 0, worker, Outcome::Error, None);
            }
        }
    }
    let actions = harness.call(900, 0, 3, 2);
    assert!(sent(&actions).is_some(), "the call is sent to the worker with the lowest failure rate");
}

#[test]
fn an_unresponsive_worker_is_probed_then_ejected_and_its_idempotent_calls_are_retried_elsewhere() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 0, 9, 4);
    let timeout_actions = harness.advance(700 * MS);
    assert_eq!(probes(&timeout_actions), 1);
    assert!(!cancels(&timeout_actions, 2));
    let probe_timeout = Event::Probed { worker: WorkerId(home), outcome: Outcome::Timeout, report: None };
    let actions = harness.handle(probe_timeout.clone());
    assert!(probes(&actions) == 1 && !cancels(&actions, 2), "only the connection may have failed");
    let actions = harness.handle(probe_timeout);
    assert!(cancels(&actions, 2));
    let retry_actions = harness.end_attempt(2, 0, home, Outcome::Cancelled, None);
    assert_eq!(sent(&retry_actions), Some(3 - home));
}

#[test]
fn an_attempt_lost_while_others_are_answered_is_retried_elsewhere() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    assert_eq!(sent(&harness.call(2, 0, 9, 4)), Some(home));
    assert_eq!(sent(&harness.call(3, 1, 9, 4)), Some(home));
    assert_eq!(sent(&harness.call(4, 0, 9, 4)), Some(home));
    harness.advance(100 * MS);
    harness.end_attempt(4, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    let timeout_actions = harness.advance(300 * MS);
    assert!(
        cancels(&timeout_actions, 2) && !cancels(&timeout_actions, 3),
        "only the idempotent call is cancelled: {timeout_actions:?}"
    );
    assert_eq!(probes(&timeout_actions), 1, "the worker is probed because of the other call");
    harness.end_attempt(2, 0, home, Outcome::Cancelled, None);
    assert!(!timeout_actions.iter().any(|a| matches!(a, Action::Log(_))), "no worker is ejected");
}

#[test]
fn a_slow_worker_that_answers_its_probe_is_not_ejected() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 0, 9, 4);
    harness.advance(700 * MS);
    let actions =
        harness.handle(Event::Probed { worker: WorkerId(home), outcome: Outcome::Ok, report: None });
    assert!(!cancels(&actions, 2));
    assert_eq!(sent(&harness.call(3, 0, 9, 4)), Some(home));
}

#[test]
fn a_full_worker_gets_no_calls_for_a_while() {
    let mut harness = Harness::new(settings(), 1);
    harness.serve_warm(1, 9, 8);
    harness.call(10, 0, 9, 8);
    assert!(sends(&harness.end_attempt(10, 0, 1, Outcome::Rejected, None)).is_empty());
    assert!(
        sends(&harness.advance(200 * MS)).is_empty(),
        "a call sent now would wait too long in the queue of the worker"
    );
    assert_eq!(
        sends(&harness.advance(200 * MS)),
        vec![(10, 1)],
        "the worker is tried again once its pressure has decayed"
    );
}

/// Ends the call as served, with a report of this many concurrent calls of its function at the worker.
fn served_with_concurrency(
    harness: &mut Harness,
    id: u64,
    worker: u64,
    concurrent_calls: u32,
) -> Vec<Action> {
    harness.handle(Event::Outcome {
        request: RequestId(id),
        attempt: 0,
        worker: WorkerId(worker),
        outcome: Outcome::Ok,
        finished: true,
        elapsed: 50 * MS,
        note: Some(LoadNote::Warm),
        concurrent_calls: Some(concurrent_calls),
        report: None,
    })
}

#[test]
fn calls_of_other_controllers_count_and_a_replica_is_ordered_at_the_next_worker() {
    let mut harness = Harness::new(settings(), 4);
    let home = sent(&harness.call(1, 0, 9, 2)).unwrap();
    served_with_concurrency(&mut harness, 1, home, 6);
    let actions = harness.call(2, 0, 9, 2);
    assert_eq!(loads(&actions), 1, "all replicas are under pressure: {actions:?}");
    let ordered_at =
        actions.iter().find_map(|a| if let Action::Load { worker, .. } = a { Some(*worker) } else { None });
    assert_ne!(ordered_at, Some(WorkerId(home)));
    harness.handle(Event::Loaded {
        worker: ordered_at.unwrap(),
        function: FunctionId(9),
        outcome: Outcome::Ok,
        replicas: 1,
        elapsed: 4 * MS,
    });
    harness.advance(100 * MS);
    assert_eq!(
        sent(&harness.call(3, 0, 9, 2)).map(WorkerId),
        ordered_at,
        "the call is sent to the replica that was ordered"
    );
    served_with_concurrency(&mut harness, 3, ordered_at.unwrap().0, 0);
    harness.advance(3 * S);
    assert_eq!(loads(&harness.call(4, 0, 9, 2)), 0, "the pressure has decayed");
}

#[test]
fn a_worker_that_is_down_gets_probes_and_no_calls() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 0, 9, 4);
    let actions = harness.end_attempt(2, 0, home, Outcome::Reset, None);
    assert_eq!(probes(&actions), 1, "a probe distinguishes a dead process from a broken connection");
    let worker = WorkerId(home);
    harness.handle(Event::Probed { worker, outcome: Outcome::ConnectFailed, report: None });
    let mut calls_at_home = 0;
    let mut probe_count = 0;
    for id in 10..60 {
        let mut actions = harness.call(id, 0, 9, 4);
        actions.extend(harness.advance(50 * MS));
        probe_count += probes(&actions);
        for (request, sent_to) in sends(&actions) {
            calls_at_home += usize::from(sent_to == home);
            harness.end_attempt(request, 0, sent_to, Outcome::Ok, Some(LoadNote::Warm));
        }
        if probes(&actions) > 0 {
            let worker = WorkerId(home);
            harness.handle(Event::Probed { worker, outcome: Outcome::ConnectFailed, report: None });
        }
    }
    assert_eq!(calls_at_home, 0, "no call goes to a worker that is down");
    assert!(probe_count >= 2, "the worker is probed repeatedly");
}

#[test]
fn a_single_broken_connection_does_not_eject_the_worker() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    for id in 2..5 {
        assert_eq!(sent(&harness.call(id, 1, 9, 4)), Some(home));
    }
    let probe_count: usize =
        (2..5).map(|id| probes(&harness.end_attempt(id, 0, home, Outcome::Reset, None))).sum();
    assert_eq!(probe_count, 1, "connections that break together cause one probe");
    assert_ne!(sent(&harness.call(6, 0, 9, 4)), Some(home), "the worker gets no calls until its probe ends");
    harness.handle(Event::Probed { worker: WorkerId(home), outcome: Outcome::Ok, report: None });
    assert_eq!(
        sent(&harness.call(7, 0, 9, 4)),
        Some(home),
        "neither ejected nor in slow start, and its replica is kept"
    );
}

#[test]
fn probes_that_break_are_not_repeated_in_a_loop() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 1, 9, 4);
    let broken_probe = Event::Probed { worker: WorkerId(home), outcome: Outcome::Reset, report: None };
    let mut probe_count = probes(&harness.end_attempt(2, 0, home, Outcome::Reset, None));
    for _ in 0..10 {
        probe_count += probes(&harness.handle(broken_probe.clone()));
    }
    assert_eq!(probe_count, 1);
}

#[test]
fn errors_of_functions_that_no_worker_ever_served_eject_no_worker() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    for id in 10..30 {
        let worker = sent(&harness.call(id, 1, 1000 + id, 1)).expect("a worker takes the call");
        harness.end_attempt(id, 0, worker, Outcome::Error, None);
    }
    assert_eq!(sent(&harness.call(40, 0, 9, 4)), Some(home));
}

#[test]
fn a_worker_of_unknown_load_is_probed_and_a_loaded_one_passed_over() {
    let mut settings = settings();
    settings.reports = Reports::Probe;
    let mut harness = Harness::new(settings, 3);
    let first_actions = harness.call(1, 0, 9, 2);
    let probed_worker = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Probe { worker } = a { Some(*worker) } else { None })
    };
    let worker = probed_worker(&first_actions).expect("a worker is probed first");
    assert!(sends(&first_actions).is_empty());
    let report = Some(Report { inflight: Some(60.0), ..Report::default() });
    let second_actions = harness.handle(Event::Probed { worker, outcome: Outcome::Ok, report });
    let other = probed_worker(&second_actions).expect("the next worker is probed");
    let report = Some(Report { inflight: Some(0.0), ..Report::default() });
    let last_actions = harness.handle(Event::Probed { worker: other, outcome: Outcome::Ok, report });
    assert_eq!(sends(&last_actions), vec![(1, other.0)]);
}

#[test]
fn a_worker_without_a_known_replica_is_not_probed_first_where_only_orders_load() {
    let mut settings = settings();
    (settings.reports, settings.loading.when_absent) = (Reports::Probe, WhenAbsent::Miss);
    let mut harness = Harness::new(settings, 3);
    let first_actions = harness.call(1, 0, 9, 2);
    let home = sent(&first_actions).expect("sent without a probe, as a miss is answered at once");
    assert_eq!(probes(&first_actions), 0);
    harness.end_attempt(1, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    harness.advance(S);
    let second_actions = harness.call(2, 0, 9, 2);
    assert!(
        probes(&second_actions) == 1 && sends(&second_actions).is_empty(),
        "the load of the worker with its replica is probed"
    );
    // When the home drains, an additional replica may be loaded elsewhere, and that worker is probed first.
    let drain_actions = harness.update_worker(home, WorkerState::Draining, None);
    assert!(
        probes(&drain_actions) == 1 && sends(&drain_actions).is_empty(),
        "a replica of the function is known, at another worker"
    );
}

#[test]
fn a_worker_with_idle_cores_takes_a_call_over_the_lanes_bound() {
    let mut settings = settings();
    settings.reports = Reports::Probe;
    let mut harness = Harness::new(settings, 1);
    let report = |harness: &mut Harness, util| {
        let report = Some(Report { inflight: Some(8.0), util: Some(util), ..Report::default() });
        harness.handle(Event::Probed { worker: WorkerId(1), outcome: Outcome::Ok, report })
    };
    for (id, function, lanes) in [(1, 8, 8), (2, 9, 4)] {
        harness.call(id, 0, function, lanes);
        report(&mut harness, 0.1);
        harness.end_attempt(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm));
    }
    for id in 10..16 {
        assert_eq!(sent(&harness.call(id, 0, 8, 8)), Some(1));
    }
    let mut actions = harness.advance(700 * MS);
    actions.extend(harness.call(20, 0, 9, 4));
    assert_eq!(
        (sent(&actions), probes(&actions)),
        (None, 1),
        "six attempts in flight exceed the four lanes: {actions:?}"
    );
    assert_eq!(sent(&report(&mut harness, 0.95)), None, "no idle cores");
    harness.advance(700 * MS);
    harness.call(21, 0, 9, 4);
    assert!(sends(&report(&mut harness, 0.2)).contains(&(20, 1)), "idle cores");
}

#[test]
fn held_calls_start_no_loads_at_other_workers() {
    let mut harness = Harness::new(settings(), 8);
    // Thirty functions with all lanes of their homes in use: held calls must wait for their warm replicas.
    let homes: Vec<u64> = (0..30).map(|function| harness.serve_warm(function, function, 1)).collect();
    let mut sent_elsewhere = 0;
    for round in 0..4 {
        for (function, home) in homes.iter().enumerate() {
            let id = 1000 + round * 100 + function as u64;
            sent_elsewhere += sends(&harness.call(id, 0, function as u64, 1))
                .iter()
                .filter(|(_, worker)| worker != home)
                .count();
        }
    }
    assert_eq!(sent_elsewhere, 0);
}

#[test]
fn a_hot_function_gets_an_additional_replica() {
    let mut harness = Harness::new(settings(), 4);
    let home = harness.serve_warm(1, 9, 1);
    let mut sent_elsewhere = 0;
    for id in 10..200 {
        let mut queue = sends(&harness.call(id, 0, 9, 1));
        sent_elsewhere += queue.iter().filter(|(_, worker)| *worker != home).count();
        harness.now += 30 * MS;
        // The home answers one call per 60 ms.
        if id % 2 == 0 {
            queue.truncate(1);
            let ended_call = id - 1;
            harness.end_attempt_after(ended_call, 0, home, Outcome::Ok, Some(LoadNote::Warm), 60 * MS);
        }
    }
    assert!(sent_elsewhere >= 1);
}

#[test]
fn a_call_past_its_objective_waits_behind_one_that_can_meet_it() {
    let mut harness = Harness::new(settings(), 1);
    // Function 9 is cheaper than function 8, so that its late call would be released first by priority alone.
    for (id, function, elapsed) in [(1, 9, 50 * MS), (2, 8, 100 * MS)] {
        harness.call(id, 0, function, 1);
        harness.end_attempt_after(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm), elapsed);
    }
    harness.call(3, 0, 9, 1);
    harness.call(4, 0, 8, 1);
    harness.call(5, 0, 9, 1);
    harness.advance(480 * MS);
    harness.handle(Event::Probed { worker: WorkerId(1), outcome: Outcome::Ok, report: None });
    harness.call(6, 0, 8, 1);
    harness.end_attempt(4, 0, 1, Outcome::Rejected, None);
    harness.call(7, 0, 9, 1);
    let released = sends(&harness.end_attempt(3, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
    assert_eq!(released.first().map(|send| send.0).filter(|id| *id == 5), None, "{released:?}");
}

#[test]
fn a_restarted_worker_has_lost_its_replicas() {
    let mut harness = Harness::new(settings(), 4);
    let home = harness.serve_warm(1, 9, 2);
    let first_worker = sent(&harness.call(2, 0, 9, 2));
    assert_eq!(first_worker, Some(home));
    harness.end_attempt(2, 0, home, Outcome::Reset, None);
    let next_sends = sends(&harness.call(3, 0, 9, 4));
    assert!(
        next_sends.iter().all(|(_, worker)| *worker != home),
        "the worker may be dead, or restarted without replicas"
    );
}

#[test]
fn a_failed_list_is_polled_again_with_backoff() {
    let mut settings = settings();
    settings.discovery = Discovery::Poll;
    let mut controller = Controller::new(settings, 5).unwrap();
    let mut first_actions = Vec::new();
    controller.handle(S, Event::Workers { form: ListForm::Restored, entries: vec![] }, &mut first_actions);
    assert!(first_actions.contains(&Action::Watch));
    let mut harness = Harness { controller, now: S, workers: vec![] };
    let mut delays = Vec::new();
    for _ in 0..8 {
        harness.handle(Event::Workers { form: ListForm::Failed, entries: vec![] });
        let failed_at = harness.now;
        while !harness.advance(2 * MS).contains(&Action::Watch) {
            assert!(
                harness.now < failed_at + 10 * S,
                "polled again before the controller is assumed to know all changes"
            );
        }
        delays.push(harness.now - failed_at);
    }
    assert!(delays[7] > delays[0]);
}

#[test]
fn a_tenant_over_its_quota_waits_behind_the_others() {
    let mut settings = settings();
    settings.tenants = vec![Tenant { quota_per_s: Some(3.0) }, Tenant { quota_per_s: Some(300.0) }];
    let mut harness = Harness::new(settings, 1);
    harness.serve_warm(1, 9, 1);
    harness.call(2, 0, 9, 1);
    let request_of = |id: u64, tenant: usize| {
        Event::Request(Request { tenant: Some(TenantId(tenant)), ..request(id, 0, 9, 1) })
    };
    for id in 10..14 {
        harness.handle(request_of(id, 0));
    }
    harness.handle(request_of(20, 1));
    harness.handle(request_of(21, 1));
    let release_order: Vec<u64> = (0..3)
        .scan(2, |last, _| {
            let sends = sends(&harness.end_attempt(*last, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
            *last = sends.first()?.0;
            Some(*last)
        })
        .collect();
    assert!(release_order.contains(&20) && release_order.contains(&21), "{release_order:?}");
}

#[test]
fn a_worker_without_memory_for_one_function_still_gets_calls_of_others() {
    let mut harness = Harness::new(settings(), 1);
    harness.serve_warm(1, 8, 4);
    harness.call(2, 0, 9, 4);
    harness.end_attempt(2, 0, 1, Outcome::Rejected, None);
    for id in 10..14 {
        assert_eq!(sent(&harness.call(id, 0, 8, 4)), Some(1), "call {id}");
    }
}

#[test]
fn slow_responses_keep_calls_away_from_a_loaded_worker() {
    let mut harness = Harness::new(settings(), 1);
    for id in 1..9 {
        harness.serve_warm(id, 9, 8);
    }
    for id in 10..14 {
        assert_eq!(sent(&harness.call(id, 0, 9, 8)), Some(1));
    }
    // A latency of one second against the usual 50 ms puts the worker under pressure; three calls are in
    // flight.
    harness.end_attempt_after(10, 0, 1, Outcome::Ok, Some(LoadNote::Warm), S);
    assert_eq!(sent(&harness.call(20, 0, 9, 8)), None);
}

#[test]
fn with_no_worker_in_service_calls_are_refused_at_once() {
    let mut harness = Harness::new(settings(), 1);
    let home = harness.serve_warm(1, 9, 1);
    assert!(sent(&harness.call(2, 1, 9, 1)).is_some());
    assert!(!refused(&harness.call(3, 0, 9, 1), 3), "the call is held until a lane is free");
    let actions = harness.update_worker(home, WorkerState::Draining, None);
    assert!(refused(&actions, 3), "nothing new may go to the only worker");
    assert!(refused(&harness.call(4, 1, 9, 1), 4));
    // The call in flight at the draining worker continues.
    assert!(!failed(&actions, 2) && !refused(&actions, 2));
    harness.end_attempt(2, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    harness.update_worker(home, WorkerState::On, None);
    assert!(sent(&harness.call(5, 0, 9, 1)).is_some());
}

#[test]
fn a_started_stream_proves_that_its_replica_is_loaded() {
    let mut harness = Harness::new(settings(), 2);
    let home = sent(&harness.call(1, 0, 9, 2)).expect("a first call is sent");
    assert!(sent(&harness.call(2, 0, 9, 2)).is_none(), "the replica is still loading");
    harness.now += 300 * MS;
    let started_actions = harness.handle(Event::Started { request: RequestId(1), attempt: 0 });
    assert_eq!(
        sends(&started_actions),
        [(2, home)],
        "the second lane is free while the first stream goes on"
    );
    assert!(sent(&harness.call(3, 0, 9, 2)).is_none(), "both lanes are taken");
    // The end of the stream frees its lane exactly once.
    harness.now += S;
    let end_actions = harness.end_attempt_after(1, 0, home, Outcome::Ok, Some(LoadNote::Began), 1_300 * MS);
    assert_eq!(sends(&end_actions), [(3, home)]);
    assert!(sent(&harness.call(4, 0, 9, 2)).is_none(), "calls 2 and 3 fill both lanes");
    assert_eq!(sends(&harness.end_attempt(2, 0, home, Outcome::Ok, Some(LoadNote::Warm))), [(4, home)]);
}

/// After the deployment of a new version, replicas of the function are presumed warm at three workers, but
/// none of them is valid any more.
#[test]
fn a_new_version_is_ordered_once_and_costs_a_call_at_most_one_retry() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    settings.loading.orders = true;
    settings.limits.max_attempts = 3;
    let mut harness = Harness::new(settings, 3);
    let mut presumed_warm = Vec::new();
    for id in 1..=3 {
        // The call is either sent directly, or sent after a replica was ordered and loaded.
        let mut actions = harness.call(id, 0, 9, 4);
        let ordered = actions.iter().find_map(|action| match action {
            Action::Load { worker, .. } => Some(*worker),
            _ => None,
        });
        if let Some(worker) = ordered {
            let (function, outcome) = (FunctionId(9), Outcome::Ok);
            actions = harness.handle(Event::Loaded { worker, function, outcome, replicas: 1, elapsed: MS });
        }
        let warm_worker = sent(&actions).expect("the call is sent to a replica");
        harness.end_attempt(id, 0, warm_worker, Outcome::Ok, Some(LoadNote::Warm));
        presumed_warm.push(warm_worker);
        harness.update_worker(warm_worker, WorkerState::Draining, None);
        harness.now += MS;
    }
    for warm_worker in &presumed_warm {
        harness.update_worker(*warm_worker, WorkerState::On, None);
    }
    let (first, second) = (harness.call(11, 0, 9, 4), harness.call(12, 0, 9, 4));
    let warm_worker = sent(&first).expect("sent to a replica that is presumed warm");
    assert_eq!(sent(&second), Some(warm_worker));
    harness.now += MS;
    let mut missed = harness.end_attempt(11, 0, warm_worker, Outcome::NotLoaded, None);
    assert_eq!(loads(&missed), 1, "the first miss orders a replica");
    let mut attempts = 1;
    while let Some((_, next)) = sends(&missed).into_iter().find(|(id, _)| *id == 11) {
        harness.now += MS;
        missed = harness.end_attempt(11, attempts, next, Outcome::NotLoaded, None);
        assert_eq!(loads(&missed), 0, "only one replica is ordered");
        attempts += 1;
    }
    assert!(
        attempts <= 2 && !refused(&missed, 11),
        "its last attempt is not sent to another missing replica"
    );
    harness.now += MS;
    let missed = harness.end_attempt(12, 0, warm_worker, Outcome::NotLoaded, None);
    assert_eq!(loads(&missed), 0, "no second replica is ordered while the order is pending");
    assert_eq!(sent(&missed), None, "both calls wait for the ordered replica");
    harness.now += 100 * MS;
    let (worker, function) = (WorkerId(warm_worker), FunctionId(9));
    let loaded = Event::Loaded { worker, function, outcome: Outcome::Ok, replicas: 1, elapsed: 100 * MS };
    let loaded = harness.handle(loaded);
    assert!(sends(&loaded).contains(&(11, warm_worker)), "call 11 is sent to the loaded replica: {loaded:?}");
}

#[test]
fn a_replica_ordered_after_a_miss_is_kept_though_its_call_has_no_attempt_left() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    settings.limits.max_attempts = 1;
    settings.limits.cancel = false;
    let mut harness = Harness::new(settings, 3);
    let worker = sent(&harness.call(1, 0, 9, 4)).expect("the first call is sent");
    let missed = harness.end_attempt(1, 0, worker, Outcome::NotLoaded, None);
    assert!(refused(&missed, 1), "the call has no attempt left");
    assert_eq!(loads(&missed), 1, "a replica is ordered for later calls");
    let cancels_load = |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::CancelLoad { .. }));
    assert!(!cancels_load(&missed), "the order is not cancelled in the same event: {missed:?}");
    // The order is cancelled if the client of the only waiting call disconnects.
    assert_eq!(sent(&harness.call(2, 0, 9, 4)), None, "the call waits for the replica");
    assert!(cancels_load(&harness.handle(Event::ClientGone { request: RequestId(2) })));
}

/// The log lines among the actions.
fn logged(actions: &[Action]) -> Vec<&str> {
    actions
        .iter()
        .filter_map(|a| if let Action::Log(line) = a { Some(line.as_str()) } else { None })
        .collect()
}

#[test]
fn ejection_and_return_are_logged_with_their_reason() {
    let mut harness = Harness::new(settings(), 1);
    for id in 0..3 {
        harness.serve_warm(id, 9, 4);
    }
    for id in 10..13 {
        assert_eq!(sent(&harness.call(id, 1, 9, 4)), Some(1));
    }
    assert!(logged(&harness.end_attempt(10, 0, 1, Outcome::Error, None)).is_empty());
    let ejected = harness.end_attempt(11, 0, 1, Outcome::Error, None);
    assert_eq!(logged(&ejected), ["worker 1 ejected: too many failures"]);
    let mut returned = Vec::new();
    for id in 20..40 {
        harness.advance(5 * S);
        if sent(&harness.call(id, 0, 9, 4)).is_some() {
            returned.extend(harness.end_attempt(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm)));
        }
    }
    assert_eq!(logged(&returned), ["worker 1 returned to service"]);
}

#[test]
fn the_ejection_of_a_worker_that_is_down_is_logged() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 1, 9, 4);
    harness.end_attempt(2, 0, home, Outcome::Reset, None);
    let refused_probe =
        Event::Probed { worker: WorkerId(home), outcome: Outcome::ConnectFailed, report: None };
    let expected = format!("worker {home} ejected: process down");
    assert_eq!(logged(&harness.handle(refused_probe)), [expected.as_str()]);
}

#[test]
fn the_ejection_of_an_unresponsive_worker_is_logged() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 4);
    harness.call(2, 0, 9, 4);
    harness.advance(700 * MS);
    let probe_timeout = Event::Probed { worker: WorkerId(home), outcome: Outcome::Timeout, report: None };
    harness.handle(probe_timeout.clone());
    let expected = format!("worker {home} ejected: unresponsive");
    assert_eq!(logged(&harness.handle(probe_timeout)), [expected.as_str()]);
}

#[test]
fn calls_of_functions_that_nobody_serves_do_not_keep_a_held_call_from_its_warm_worker() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 1);
    assert_eq!(sent(&harness.call(2, 0, 9, 1)), Some(home));
    assert_eq!(sent(&harness.call(3, 0, 9, 1)), None, "the only lane is in use");
    for id in 100..900 {
        harness.call(id, 0, id, 1);
    }
    harness.now += 5 * MS;
    let actions = harness.end_attempt(2, 0, home, Outcome::Ok, Some(LoadNote::Warm));
    assert!(sends(&actions).contains(&(3, home)), "{actions:?}");
}
