//! Edge cases of the site's rules: answers in time, idempotency, drains, slow start, load order ration and
//! attempt limit.

mod common;
use common::*;
use nettleferry::*;

const IDEMPOTENT: usize = 0;
const NON_IDEMPOTENT: usize = 1;
const KEYED: usize = 2;

#[test]
fn every_held_call_is_answered_in_time_without_workers() {
    let mut harness = Harness::new(settings(), 0);
    let mut actions = harness.call(1, IDEMPOTENT, 9, 2);
    actions.extend(harness.call(2, NON_IDEMPOTENT, 9, 2));
    assert!(refused(&actions, 1) && refused(&actions, 2), "neither call was sent, so that a retry is safe");
    // The calls are held while the only lane of the only worker is in use, and must still be answered in time.
    let mut harness = Harness::new(settings(), 1);
    harness.serve_warm(3, 9, 1);
    harness.call(4, IDEMPOTENT, 9, 1);
    harness.call(5, NON_IDEMPOTENT, 9, 1);
    let actions = harness.advance(4 * S);
    assert!(refused(&actions, 5), "the call was never sent");
}

#[test]
fn a_held_call_whose_deadline_has_passed_is_answered_and_not_sent() {
    // After a pause of the process, the response that frees the lane is handled before the timer of the
    // deadline.
    let mut harness = Harness::new(settings(), 1);
    harness.serve_warm(3, 9, 1);
    let worker = sent(&harness.call(4, IDEMPOTENT, 9, 1)).unwrap();
    harness.call(5, IDEMPOTENT, 9, 1);
    harness.now += 4 * S;
    let mut actions = harness.end_attempt(4, 0, worker, Outcome::Ok, None);
    actions.extend(harness.advance(2 * MS));
    assert!(sends(&actions).is_empty(), "the client no longer waits for an answer: {actions:?}");
    assert!(refused(&actions, 5), "the call was never sent: {actions:?}");
}

#[test]
fn a_call_with_an_attempt_in_flight_is_answered_by_timer_at_its_deadline() {
    let mut harness = Harness::new(settings(), 1);
    harness.call(1, NON_IDEMPOTENT, 9, 2);
    let actions = harness.advance(4 * S);
    assert!(failed(&actions, 1) && !refused(&actions, 1), "the call may have executed");
    // The late outcome of the attempt must have no effect.
    let late = harness.end_attempt(1, 0, 1, Outcome::Error, None);
    assert!(!failed(&late, 1) && !refused(&late, 1) && sends(&late).is_empty());
}

#[test]
fn a_non_idempotent_call_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = Harness::new(settings(), 4);
        let worker = sent(&harness.call(1, NON_IDEMPOTENT, 9, 2)).unwrap();
        let after = harness.end_attempt(1, 0, worker, outcome, None);
        assert!(failed(&after, 1), "{outcome:?}");
        assert!(!refused(&after, 1) && sends(&after).is_empty(), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_call_proven_not_run_is_retried() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut harness = Harness::new(settings(), 4);
        let worker = sent(&harness.call(1, NON_IDEMPOTENT, 9, 2)).unwrap();
        let mut after = harness.end_attempt(1, 0, worker, outcome, None);
        after.extend(harness.advance(S));
        assert!(sent(&after).is_some() && !failed(&after, 1), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_call_that_was_never_sent_is_refused() {
    let mut harness = Harness::new(settings(), 4);
    let worker = sent(&harness.call(1, NON_IDEMPOTENT, 9, 2)).unwrap();
    let after = harness.end_attempt(1, 0, worker, Outcome::NeverSent, None);
    assert!(refused(&after, 1));
}

#[test]
fn a_keyed_call_is_repeated_only_in_its_zone_and_window() {
    let mut harness = Harness::new(settings(), 8);
    let first_worker = sent(&harness.call(1, KEYED, 9, 2)).unwrap();
    let second_worker = sent(&harness.end_attempt(1, 0, first_worker, Outcome::Error, None))
        .expect("the call is repeated within the window");
    assert_eq!(second_worker % 2, first_worker % 2, "workers of one zone have ids of the same parity");
    harness.advance(2 * S);
    let after = harness.end_attempt(1, 1, second_worker, Outcome::Error, None);
    assert!(failed(&after, 1), "the call fails once its window has passed");
    assert!(sends(&after).is_empty() && !refused(&after, 1));
}

#[test]
fn a_keyed_call_held_past_its_window_is_not_sent() {
    let mut harness = Harness::new(settings(), 2);
    let worker = sent(&harness.call(1, KEYED, 9, 1)).unwrap();
    harness.update_worker(worker, WorkerState::Draining, None);
    assert!(
        sends(&harness.end_attempt(1, 0, worker, Outcome::Error, None)).is_empty(),
        "no worker of its zone is left"
    );
    harness.advance(2 * S);
    assert!(sends(&harness.update_worker(worker, WorkerState::On, None)).is_empty());
    let actions = harness.advance(2 * S);
    assert!(failed(&actions, 1));
}

#[test]
fn nothing_new_goes_to_a_draining_or_gone_worker() {
    for state in [WorkerState::Draining, WorkerState::Gone] {
        let mut settings = settings();
        settings.loading.when_absent = WhenAbsent::Miss;
        let mut harness = Harness::new(settings, 2);
        let home = harness.serve_warm(1, 9, 1);
        assert_eq!(sent(&harness.call(2, IDEMPOTENT, 9, 1)), Some(home));
        harness.update_worker(home, state, None);
        let after = harness.end_attempt(2, 0, home, Outcome::NotLoaded, None);
        assert_eq!(loads(&after), 0);
        assert!(sends(&after).iter().all(|(_, worker)| *worker != home));
        assert!(sends(&harness.call(3, IDEMPOTENT, 9, 1)).iter().all(|(_, worker)| *worker != home));
    }
}

#[test]
fn a_worker_missing_from_a_complete_list_is_gone() {
    let mut harness = Harness::new(settings(), 2);
    let home = harness.serve_warm(1, 9, 1);
    let remaining = vec![entry(3 - home)];
    harness.handle(Event::Workers { form: ListForm::Complete, entries: remaining });
    assert_eq!(sent(&harness.call(2, IDEMPOTENT, 9, 1)), Some(3 - home));
}

#[test]
fn a_burst_at_a_worker_in_slow_start_stays_within_its_budget() {
    // The worker tolerates twice a fifth of a core for 2 s: 0.8 s of work, of which
    // 70 % are granted, about 0.19 s to each of three controllers; a call takes 50 ms.
    let mut harness = Harness::new(settings(), 1);
    for id in 0..40 {
        harness.call(id, IDEMPOTENT, 9, 8);
        harness.end_attempt(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm));
    }
    harness.advance(2 * MS);
    let started_at = Some(harness.now);
    harness.update_worker(1, WorkerState::On, started_at);
    let mut count = 0;
    for id in 100..200 {
        let mut queue = sends(&harness.call(id, IDEMPOTENT, 9, 8));
        while let Some((request, worker)) = queue.pop() {
            count += 1;
            queue.extend(sends(&harness.end_attempt(request, 0, worker, Outcome::Ok, Some(LoadNote::Warm))));
        }
    }
    assert!((1..=6).contains(&count), "{count} calls sent at once");
    let later = sends(&harness.advance(500 * MS)).len();
    assert!(later <= 3, "{later} more calls sent within half a second");
}

#[test]
fn a_controller_that_called_a_worker_before_its_restart_waits_for_its_slot() {
    // With this many controllers, one controller's share of an overload span is far less than a call, so that
    // each has to wait for its slot.
    let mut first_call_delays = Vec::new();
    for controller_index in [0, 60, 120, 180] {
        let mut harness = Harness::new(Settings { controllers: 200, controller_index, ..settings() }, 1);
        harness.serve_warm(1, 9, 8);
        harness.advance(10 * S);
        let started_at = harness.now;
        harness.update_worker(1, WorkerState::On, Some(started_at));
        let mut delay = sent(&harness.call(2, IDEMPOTENT, 9, 8)).map(|_| 0);
        while delay.is_none() && harness.now < started_at + 3 * S {
            delay = sent(&harness.advance(10 * MS)).map(|_| harness.now - started_at);
        }
        first_call_delays.push(delay.unwrap_or(3 * S));
    }
    let early_calls = first_call_delays.iter().filter(|delay| **delay < 500 * MS).count();
    assert!(early_calls <= 1, "delays of the first call after the start: {first_call_delays:?}");
}

#[test]
fn a_restarted_controller_counts_what_its_earlier_incarnation_may_have_sent() {
    let controller = Controller::new(settings(), 3).unwrap();
    let mut harness = Harness { controller, now: 100 * S, workers: vec![] };
    let warming = WorkerEntry { started_at: Some(99 * S), ..entry(1) };
    harness.handle(Event::Workers { form: ListForm::Restored, entries: vec![warming] });
    assert!(sends(&harness.call(1, IDEMPOTENT, 9, 2)).is_empty());
    assert!(sends(&harness.advance(1900 * MS)).is_empty());
    assert_eq!(sends(&harness.advance(S)).len(), 1, "the worker gets calls again after an overload span");
}

#[test]
fn load_orders_stay_within_the_ration() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    settings.loading.ration_window = S;
    settings.loading.ration_floor = 2.0;
    let mut harness = Harness::new(settings, 8);
    let mut orders = Vec::new();
    let mut id = 0;
    for _ in 0..600 {
        id += 1;
        let mut queue: Vec<(u64, u64)> = sends(&harness.call(id, IDEMPOTENT, id, 2));
        while let Some((request, worker)) = queue.pop() {
            let attempt = 0;
            let after = harness.end_attempt(request, attempt, worker, Outcome::NotLoaded, None);
            orders.extend(std::iter::repeat_n(harness.now, loads(&after)));
        }
        harness.now += 5 * MS;
    }
    assert!(orders.len() > 2, "{} orders", orders.len());
    for (index, ordered_at) in orders.iter().enumerate() {
        let orders_in_window = orders[..=index].iter().filter(|t| **t + S >= *ordered_at).count();
        assert!(orders_in_window <= 2, "{orders_in_window} orders within a window");
    }
}

#[test]
fn orders_of_an_earlier_incarnation_count_towards_the_ration() {
    for (unknown_prior_orders, expected) in [(false, 2), (true, 0)] {
        let mut settings = settings();
        settings.loading.when_absent = WhenAbsent::Miss;
        settings.loading.ration_window = S;
        settings.loading.ration_floor = 2.0;
        settings.loading.unknown_prior_orders = unknown_prior_orders;
        let mut harness = Harness::new(settings, 8);
        let mut order_count = 0;
        for id in 1..=20 {
            for (request, worker) in sends(&harness.call(id, IDEMPOTENT, id, 2)) {
                order_count += loads(&harness.end_attempt(request, 0, worker, Outcome::NotLoaded, None));
            }
        }
        assert_eq!(order_count, expected, "unknown_prior_orders: {unknown_prior_orders}");
        harness.now += S + 100 * MS;
        for id in 21..=40 {
            for (request, worker) in sends(&harness.call(id, IDEMPOTENT, id, 2)) {
                order_count += loads(&harness.end_attempt(request, 0, worker, Outcome::NotLoaded, None));
            }
        }
        assert_eq!(order_count, expected + 2, "the complete ration is available one window after the start");
    }
}

#[test]
fn the_attempt_limit_is_kept() {
    let mut harness = Harness::new(settings(), 8);
    let mut queue = sends(&harness.call(1, IDEMPOTENT, 9, 2));
    let mut attempts = 0;
    let mut was_refused = false;
    while let Some((_, worker)) = queue.pop() {
        let after = harness.end_attempt(1, attempts, worker, Outcome::Error, None);
        attempts += 1;
        was_refused |= refused(&after, 1);
        queue.extend(sends(&after));
    }
    assert_eq!(attempts, 3);
    assert!(was_refused);
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut harness = Harness::new(settings(), 2);
    let worker = sent(&harness.call(1, IDEMPOTENT, 9, 2)).unwrap();
    harness.end_attempt(1, 0, worker, Outcome::Ok, Some(LoadNote::Warm));
    for event in [
        Event::ClientGone { request: RequestId(1) },
        Event::ClientGone { request: RequestId(77) },
        Event::Timer { tag: 4711 },
        Event::Started { request: RequestId(1), attempt: 0 },
        Event::Probed { worker: WorkerId(99), outcome: Outcome::Ok, report: None },
        Event::Message { from: PeerId(2), bytes: vec![1, 2, 3] },
        Event::Workers { form: ListForm::Failed, entries: vec![] },
        Event::Loaded {
            worker: WorkerId(99),
            function: FunctionId(5),
            outcome: Outcome::Ok,
            replicas: 1,
            elapsed: 1,
        },
    ] {
        assert!(sends(&harness.handle(event)).is_empty());
    }
    let actions = harness.end_attempt(1, 0, worker, Outcome::Error, None);
    assert!(sends(&actions).is_empty() && !failed(&actions, 1) && !refused(&actions, 1));
}

#[test]
fn a_started_stream_has_no_deadline() {
    let mut settings = settings();
    settings.classes[0].stream = true;
    let mut harness = Harness::new(settings, 1);
    harness.call(1, IDEMPOTENT, 9, 2);
    harness.handle(Event::Started { request: RequestId(1), attempt: 0 });
    let actions = harness.advance(6 * S);
    assert!(!refused(&actions, 1) && !failed(&actions, 1) && !cancels(&actions, 1));
}

#[test]
fn a_keyed_call_of_a_cell_stays_in_its_cell() {
    let mut settings = settings();
    settings.classes[KEYED].effect = Effect::IdempotencyKey { scope: KeyScope::Cell, window: 2 * S };
    let mut harness = Harness::new(settings, 8);
    let first_worker = sent(&harness.call(1, KEYED, 9, 2)).unwrap();
    let second_worker = sent(&harness.end_attempt(1, 0, first_worker, Outcome::Reset, None))
        .expect("its cell has another worker");
    assert_eq!(
        second_worker % 4,
        first_worker % 4,
        "workers of one cell have ids that are equal modulo four"
    );
}

#[test]
fn a_non_idempotent_call_that_missed_is_retried_once_its_replica_is_loaded() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    let mut harness = Harness::new(settings, 2);
    let worker = sent(&harness.call(1, NON_IDEMPOTENT, 9, 2)).unwrap();
    let after = harness.end_attempt(1, 0, worker, Outcome::NotLoaded, None);
    assert!(loads(&after) == 1 && !failed(&after, 1) && !refused(&after, 1));
    let loaded = Event::Loaded {
        worker: WorkerId(worker),
        function: FunctionId(9),
        outcome: Outcome::Ok,
        replicas: 1,
        elapsed: S,
    };
    assert_eq!(sends(&harness.handle(loaded)), vec![(1, worker)]);
}

// Guards against a second run of a call that no worker can recognise as a repeat.
#[test]
fn a_keyed_call_without_a_key_that_may_have_run_fails() {
    for scope in [KeyScope::All, KeyScope::Zone, KeyScope::Cell] {
        for outcome in [Outcome::Error, Outcome::Reset, Outcome::Timeout, Outcome::Cancelled] {
            let mut settings = settings();
            settings.classes[KEYED].effect = Effect::IdempotencyKey { scope, window: 2 * S };
            let mut harness = Harness::new(settings, 8);
            let worker = sent(&harness.call_without_key(1, KEYED, 9)).unwrap();
            let mut actions = harness.end_attempt(1, 0, worker, outcome, None);
            actions.extend(harness.advance(5 * S));
            assert!(failed(&actions, 1) && !refused(&actions, 1), "{scope:?}, {outcome:?}");
            assert!(sends(&actions).is_empty(), "{scope:?}, {outcome:?}");
        }
    }
}

// Guards against losing sound calls: whatever proves that nothing ran still permits any other worker, and a refusal.
#[test]
fn a_keyed_call_without_a_key_that_never_ran_is_retried_and_refused() {
    for outcome in [Outcome::ConnectFailed, Outcome::PartlySent, Outcome::Rejected] {
        let mut harness = Harness::new(settings(), 8);
        let worker = sent(&harness.call_without_key(1, KEYED, 9)).unwrap();
        assert!(sent(&harness.end_attempt(1, 0, worker, outcome, None)).is_some(), "{outcome:?}");
    }
    let mut harness = Harness::new(settings(), 0);
    let mut actions = harness.call_without_key(1, KEYED, 9);
    actions.extend(harness.advance(5 * S));
    assert!(refused(&actions, 1) && !failed(&actions, 1));
}

/// Settings whose keyed class is recognised by all workers for `window`.
fn settings_keyed_everywhere(window: Micros) -> Settings {
    let mut settings = settings();
    settings.classes[KEYED].effect = Effect::IdempotencyKey { scope: KeyScope::All, window };
    settings
}

// Guards against a refusal, which states that a retry is harmless, when no worker remembers the key any more.
#[test]
fn a_keyed_call_is_refused_only_while_workers_remember_its_key() {
    for (ends_after, may_refuse) in [(S, true), (2 * S, false)] {
        let mut settings = settings_keyed_everywhere(2 * S);
        settings.limits.max_attempts = 2;
        let mut harness = Harness::new(settings, 8);
        let first_worker = sent(&harness.call(1, KEYED, 9, 2)).unwrap();
        let second_worker = sent(&harness.end_attempt(1, 0, first_worker, Outcome::Reset, None)).unwrap();
        harness.advance(ends_after);
        let actions = harness.end_attempt(1, 1, second_worker, Outcome::Reset, None);
        assert_eq!((refused(&actions, 1), failed(&actions, 1)), (may_refuse, !may_refuse), "{ends_after}");
    }
}

// Guards against a refusal whose client retries, as it is told to, after the workers have forgotten the key.
#[test]
fn a_keyed_call_is_refused_only_if_the_key_outlasts_the_retry_advice() {
    for (retry_after, may_refuse) in [(None, true), (Some(500 * MS), true), (Some(S), false)] {
        let mut settings = settings_keyed_everywhere(2 * S);
        settings.limits.max_attempts = 1;
        settings.limits.retry_after = retry_after;
        let mut harness = Harness::new(settings, 8);
        let worker = sent(&harness.call(1, KEYED, 9, 2)).unwrap();
        harness.advance(S);
        let actions = harness.end_attempt(1, 0, worker, Outcome::Reset, None);
        assert_eq!((refused(&actions, 1), failed(&actions, 1)), (may_refuse, !may_refuse), "{retry_after:?}");
    }
}

// Guards against counting the time that workers remember a key from the end of an attempt in place of its start.
#[test]
fn a_keyed_call_whose_attempt_outlasts_the_window_fails_at_its_deadline() {
    for (window, may_refuse) in [(2 * S, false), (10 * S, true)] {
        let mut harness = Harness::new(settings_keyed_everywhere(window), 1);
        harness.call(1, KEYED, 9, 2);
        let actions = harness.advance(5 * S);
        assert_eq!((refused(&actions, 1), failed(&actions, 1)), (may_refuse, !may_refuse), "window {window}");
    }
}
