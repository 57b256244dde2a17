//! The five rules at their edges.

mod common;
use common::*;
use nettleferry::*;

const SAFE: usize = 0;
const UNSAFE: usize = 1;
const KEYED: usize = 2;

#[test]
fn every_held_call_is_answered_in_time_without_workers() {
    let mut stand = Stand::new(settings(), 0);
    let mut actions = stand.ask(1, SAFE, 9, 2);
    actions.extend(stand.ask(2, UNSAFE, 9, 2));
    assert!(refused(&actions, 1) && refused(&actions, 2), "nothing was ever sent: a further try is harmless");
    // With one worker whose only lane is taken they are held, and answered in time all the same.
    let mut stand = Stand::new(settings(), 1);
    stand.warm(3, 9, 1);
    stand.ask(4, SAFE, 9, 1);
    stand.ask(5, UNSAFE, 9, 1);
    let actions = stand.pass(4 * S);
    assert!(refused(&actions, 5), "it was never sent");
}

#[test]
fn a_deadline_with_an_attempt_out_is_answered_by_timer() {
    let mut stand = Stand::new(settings(), 1);
    stand.ask(1, UNSAFE, 9, 2);
    let actions = stand.pass(4 * S);
    assert!(failed(&actions, 1) && !refused(&actions, 1), "it may have run");
    // Its outcome comes late and changes nothing.
    let late = stand.end(1, 0, 1, Outcome::Error, None);
    assert!(!failed(&late, 1) && !refused(&late, 1) && sends(&late).is_empty());
}

#[test]
fn an_unsafe_call_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::Timeout, Outcome::Reset, Outcome::Cancelled] {
        let mut stand = Stand::new(settings(), 4);
        let at = sent(&stand.ask(1, UNSAFE, 9, 2)).unwrap();
        let after = stand.end(1, 0, at, outcome, None);
        assert!(failed(&after, 1), "{outcome:?}");
        assert!(!refused(&after, 1) && sends(&after).is_empty(), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_call_proven_not_run_is_sent_again() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
        let mut stand = Stand::new(settings(), 4);
        let at = sent(&stand.ask(1, UNSAFE, 9, 2)).unwrap();
        let mut after = stand.end(1, 0, at, outcome, None);
        after.extend(stand.pass(S));
        assert!(sent(&after).is_some() && !failed(&after, 1), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_call_never_sent_again_after_moot_is_refused() {
    let mut stand = Stand::new(settings(), 4);
    let at = sent(&stand.ask(1, UNSAFE, 9, 2)).unwrap();
    let after = stand.end(1, 0, at, Outcome::NeverSent, None);
    assert!(refused(&after, 1));
}

#[test]
fn a_keyed_call_is_repeated_only_in_its_zone_and_window() {
    let mut stand = Stand::new(settings(), 8);
    let at = sent(&stand.ask(1, KEYED, 9, 2)).unwrap();
    let again = sent(&stand.end(1, 0, at, Outcome::Error, None)).expect("inside the window it is repeated");
    assert_eq!(again % 2, at % 2, "workers of one zone have numbers of one parity");
    stand.pass(2 * S);
    let after = stand.end(1, 1, again, Outcome::Error, None);
    assert!(failed(&after, 1), "past the window it can only fail");
    assert!(sends(&after).is_empty() && !refused(&after, 1));
}

#[test]
fn a_keyed_call_held_past_its_window_is_not_sent() {
    let mut stand = Stand::new(settings(), 2);
    let at = sent(&stand.ask(1, KEYED, 9, 1)).unwrap();
    stand.change(at, WorkerState::Draining, None);
    assert!(sends(&stand.end(1, 0, at, Outcome::Error, None)).is_empty(), "no worker of its zone is left");
    stand.pass(2 * S);
    assert!(sends(&stand.change(at, WorkerState::On, None)).is_empty());
    let end = stand.pass(2 * S);
    assert!(failed(&end, 1));
}

#[test]
fn nothing_new_goes_to_a_draining_or_gone_worker() {
    for state in [WorkerState::Draining, WorkerState::Gone] {
        let mut settings = settings();
        settings.loading.when_absent = WhenAbsent::Miss;
        let mut stand = Stand::new(settings, 2);
        let home = stand.warm(1, 9, 1);
        assert_eq!(sent(&stand.ask(2, SAFE, 9, 1)), Some(home));
        stand.change(home, state, None);
        let after = stand.end(2, 0, home, Outcome::NotLoaded, None);
        assert_eq!(loads(&after), 0);
        assert!(sends(&after).iter().all(|(_, w)| *w != home));
        assert!(sends(&stand.ask(3, SAFE, 9, 1)).iter().all(|(_, w)| *w != home));
    }
}

#[test]
fn a_worker_missing_from_a_complete_list_is_gone() {
    let mut stand = Stand::new(settings(), 2);
    let home = stand.warm(1, 9, 1);
    let left = vec![entry(3 - home)];
    stand.feed(Event::Workers { form: ListForm::Complete, entries: left });
    assert_eq!(sent(&stand.ask(2, SAFE, 9, 1)), Some(3 - home));
}

#[test]
fn a_burst_at_a_cold_worker_stays_within_the_allowance() {
    // A fifth of one core, twice over, for 2 s, over three controllers: about 0.19 s of work at 50 ms a call.
    let mut stand = Stand::new(settings(), 1);
    for id in 0..40 {
        stand.ask(id, SAFE, 9, 8);
        stand.end(id, 0, 1, Outcome::Ok, Some(LoadNote::Warm));
    }
    stand.pass(2 * MS);
    let born = Some(stand.now);
    stand.change(1, WorkerState::On, born);
    let mut count = 0;
    for id in 100..200 {
        let mut queue = sends(&stand.ask(id, SAFE, 9, 8));
        while let Some((request, at)) = queue.pop() {
            count += 1;
            queue.extend(sends(&stand.end(request, 0, at, Outcome::Ok, Some(LoadNote::Warm))));
        }
    }
    assert!((1..=6).contains(&count), "{count} sent at once");
    let later = sends(&stand.pass(500 * MS)).len();
    assert!(later <= 3, "{later} more in half a second");
}

#[test]
fn who_called_a_worker_before_its_restart_waits_its_turn_like_the_others() {
    // So many that a share of a fall span is far less than a call: each begins in its turn.
    let mut first_after_start = Vec::new();
    for me in [0, 60, 120, 180] {
        let mut stand = Stand::new(Settings { controllers: 200, me, ..settings() }, 1);
        stand.warm(1, 9, 8);
        stand.pass(10 * S);
        let born = stand.now;
        stand.change(1, WorkerState::On, Some(born));
        let mut at = sent(&stand.ask(2, SAFE, 9, 8)).map(|_| 0);
        while at.is_none() && stand.now < born + 3 * S {
            at = sent(&stand.pass(10 * MS)).map(|_| stand.now - born);
        }
        first_after_start.push(at.unwrap_or(3 * S));
    }
    let at_once = first_after_start.iter().filter(|at| **at < 500 * MS).count();
    assert!(at_once <= 1, "times of the first call after the start: {first_after_start:?}");
}

#[test]
fn our_own_restart_does_not_forget_what_may_just_have_been_sent() {
    let controller = Controller::new(settings(), 3).unwrap();
    let mut stand = Stand { controller, now: 100 * S, workers: vec![] };
    let cold = WorkerEntry { started_at: Some(99 * S), ..entry(1) };
    stand.feed(Event::Workers { form: ListForm::Restored, entries: vec![cold] });
    assert!(sends(&stand.ask(1, SAFE, 9, 2)).is_empty());
    assert!(sends(&stand.pass(1900 * MS)).is_empty());
    assert_eq!(sends(&stand.pass(S)).len(), 1, "after a fall span it takes calls again");
}

#[test]
fn orders_to_load_keep_their_ration() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    settings.loading.ration_window = S;
    settings.loading.ration_floor = 2.0;
    let mut stand = Stand::new(settings, 8);
    let mut orders = Vec::new();
    let mut id = 0;
    for _ in 0..600 {
        id += 1;
        let mut queue: Vec<(u64, u64)> = sends(&stand.ask(id, SAFE, id, 2));
        while let Some((request, at)) = queue.pop() {
            let attempt = 0;
            let after = stand.end(request, attempt, at, Outcome::NotLoaded, None);
            orders.extend(std::iter::repeat_n(stand.now, loads(&after)));
        }
        stand.now += 5 * MS;
    }
    assert!(orders.len() > 2, "{}", orders.len());
    for (n, at) in orders.iter().enumerate() {
        let before = orders[..=n].iter().filter(|t| **t + S >= *at).count();
        assert!(before <= 2, "{before} orders within a window");
    }
}

#[test]
fn an_earlier_life_s_orders_count_as_given() {
    for (spent, least) in [(false, 2), (true, 0)] {
        let mut settings = settings();
        settings.loading.when_absent = WhenAbsent::Miss;
        settings.loading.ration_window = S;
        settings.loading.ration_floor = 2.0;
        settings.loading.unknown_prior_orders = spent;
        let mut stand = Stand::new(settings, 8);
        let mut given = 0;
        for id in 1..=20 {
            for (request, at) in sends(&stand.ask(id, SAFE, id, 2)) {
                given += loads(&stand.end(request, 0, at, Outcome::NotLoaded, None));
            }
        }
        assert_eq!(given, least, "spent: {spent}");
        stand.now += S + 100 * MS;
        for id in 21..=40 {
            for (request, at) in sends(&stand.ask(id, SAFE, id, 2)) {
                given += loads(&stand.end(request, 0, at, Outcome::NotLoaded, None));
            }
        }
        assert_eq!(given, least + 2, "a window after the start the ration is whole");
    }
}

#[test]
fn attempts_are_not_exceeded() {
    let mut stand = Stand::new(settings(), 8);
    let mut queue = sends(&stand.ask(1, SAFE, 9, 2));
    let mut count = 0;
    let mut over = false;
    while let Some((_, at)) = queue.pop() {
        let after = stand.end(1, count, at, Outcome::Error, None);
        count += 1;
        over |= refused(&after, 1);
        queue.extend(sends(&after));
    }
    assert_eq!(count, 3);
    assert!(over);
}

#[test]
fn late_duplicate_and_unknown_events_are_ignored() {
    let mut stand = Stand::new(settings(), 2);
    let at = sent(&stand.ask(1, SAFE, 9, 2)).unwrap();
    stand.end(1, 0, at, Outcome::Ok, Some(LoadNote::Warm));
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
            copies: 1,
            elapsed: 1,
        },
    ] {
        assert!(sends(&stand.feed(event)).is_empty());
    }
    let again = stand.end(1, 0, at, Outcome::Error, None);
    assert!(sends(&again).is_empty() && !failed(&again, 1) && !refused(&again, 1));
}

#[test]
fn a_started_stream_has_no_deadline() {
    let mut settings = settings();
    settings.classes[0].stream = true;
    let mut stand = Stand::new(settings, 1);
    stand.ask(1, SAFE, 9, 2);
    stand.feed(Event::Started { request: RequestId(1), attempt: 0 });
    let actions = stand.pass(6 * S);
    assert!(!refused(&actions, 1) && !failed(&actions, 1) && !cancels(&actions, 1));
}

#[test]
fn a_keyed_call_of_a_cell_stays_in_its_cell() {
    let mut settings = settings();
    settings.classes[KEYED].effect = Effect::IdempotencyKey { scope: KeyScope::Cell, window: 2 * S };
    let mut stand = Stand::new(settings, 8);
    let at = sent(&stand.ask(1, KEYED, 9, 2)).unwrap();
    let again = sent(&stand.end(1, 0, at, Outcome::Reset, None)).expect("its cell has another worker");
    assert_eq!(again % 4, at % 4, "workers of one cell have numbers alike modulo four");
}

#[test]
fn an_unsafe_call_that_missed_is_sent_again_once_its_copy_stands() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    let mut stand = Stand::new(settings, 2);
    let at = sent(&stand.ask(1, UNSAFE, 9, 2)).unwrap();
    let after = stand.end(1, 0, at, Outcome::NotLoaded, None);
    assert!(loads(&after) == 1 && !failed(&after, 1) && !refused(&after, 1));
    let stands = Event::Loaded {
        worker: WorkerId(at),
        function: FunctionId(9),
        outcome: Outcome::Ok,
        copies: 1,
        elapsed: S,
    };
    assert_eq!(sends(&stand.feed(stands)), vec![(1, at)]);
}
