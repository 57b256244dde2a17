//! Final answers of calls: which answer each client gets, and that it gets exactly one.

mod common;

use bytes::Bytes;
use common::{EngineHarness, MS, answer, attempt_ended, member, part, settings, started};
use nettleferry::{ListForm, Settings, WhenAbsent, WorkerState};
use nettleferry_engine::*;

#[test]
fn answer_is_held_back_until_its_status_is_certain() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = harness.open(0, false);
    let attempt = started(&first).expect("a worker is free");
    assert_eq!(harness.handle(part(attempt, false)), vec![], "the status has not arrived");
    let done = harness.handle(attempt_ended(attempt, AttemptEnd::Served));
    assert_eq!(answer(&done), Some(FinalAnswer::Served { last: Some(Bytes::from_static(b"part")) }));
    assert_eq!(harness.handle(attempt_ended(attempt, AttemptEnd::Broken)), vec![], "the call has ended");
}

#[test]
fn ok_without_a_message_is_a_worker_error() {
    let mut harness = EngineHarness::new(&["w1"], EngineLimits::default());
    let (_, first) = harness.open(1, false);
    let done = harness.handle(attempt_ended(started(&first).expect("sent"), AttemptEnd::Served));
    assert!(matches!(answer(&done), Some(FinalAnswer::Failed { cause: Cause::Internal, .. })), "{done:?}");
}

#[test]
fn broken_stream_after_its_first_part_is_not_retried() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = harness.open(0, true);
    let attempt = started(&first).expect("sent");
    for _ in 0..3 {
        assert!(matches!(
            harness.handle(part(attempt, false))[..],
            [Command::ResponsePart { front_token: 77, .. }]
        ));
    }
    let broken = harness.handle(attempt_ended(attempt, AttemptEnd::Broken));
    assert!(matches!(answer(&broken), Some(FinalAnswer::Failed { cause: Cause::Aborted, .. })), "{broken:?}");
    assert_eq!(started(&broken), None);
    assert!(
        harness
            .advance(10_000 * MS)
            .iter()
            .all(|c| !matches!(c, Command::Start { .. } | Command::Answer { .. }))
    );
}

#[test]
fn broken_stream_before_its_first_part_is_retried() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = harness.open(0, true);
    let one = started(&first).expect("sent");
    let again = harness.handle(attempt_ended(one, AttemptEnd::Broken));
    let two = started(&again).expect("idempotent calls are retried");
    assert_eq!((one.call, one.number + 1), (two.call, two.number));
    // The only part is marked as the last. It is held back, so that a retry is still possible if the connection
    // breaks before the status arrives.
    assert_eq!(harness.handle(part(two, true)), vec![]);
    let served = harness.handle(attempt_ended(two, AttemptEnd::Served));
    assert!(matches!(answer(&served), Some(FinalAnswer::Served { last: Some(_) })));
}

#[test]
fn unsafe_call_is_retried_only_after_proof_that_it_never_ran() {
    for (end, retried) in [
        (AttemptEnd::NotWritten, true),
        (AttemptEnd::RefusedStream, true),
        (AttemptEnd::GoneAway, true),
        (AttemptEnd::MarkedFull, true),
        (AttemptEnd::Broken, false),
        (AttemptEnd::Reset, false),
        (AttemptEnd::Status { message: "UNAVAILABLE".into() }, false),
        (AttemptEnd::TimedOut, false),
    ] {
        let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
        let (_, first) = harness.open(1, false);
        let then = harness.handle(attempt_ended(started(&first).expect("sent"), end.clone()));
        assert_eq!(started(&then).is_some(), retried, "{end:?}");
        assert_eq!(matches!(answer(&then), Some(FinalAnswer::Failed { .. })), !retried, "{end:?}");
    }
}

#[test]
fn unanswered_attempt_fails_before_the_deadline_and_its_late_answer_is_dropped() {
    let mut harness = EngineHarness::new(&["w1"], EngineLimits::default());
    let (_, first) = harness.open(1, false);
    let attempt = started(&first).expect("sent");
    let started_at = harness.now;
    let mut seen = Vec::new();
    while answer(&seen).is_none() {
        let at = harness.engine.next_timer().expect("a timer is set while a call is open");
        harness.now = harness.now.max(at);
        seen.extend(harness.handle(Event::Tick));
    }
    assert!(harness.now < started_at + 4_000 * MS);
    assert!(matches!(answer(&seen), Some(FinalAnswer::Failed { cause: Cause::Deadline, .. })));
    assert!(seen.contains(&Command::Cancel { attempt }));
    assert_eq!(
        harness.handle(attempt_ended(attempt, AttemptEnd::Served)),
        vec![],
        "the answer races with the deadline"
    );
    assert_eq!(harness.engine.counters().backstop, 0, "the module ended the call itself");
}

#[test]
fn started_stream_ends_at_its_deadline() {
    let mut harness = EngineHarness::new(&["w1"], EngineLimits::default());
    let (_, first) = harness.open(0, true);
    let attempt = started(&first).expect("sent");
    harness.handle(part(attempt, false));
    let late = harness.advance(4_000 * MS);
    assert!(matches!(answer(&late), Some(FinalAnswer::Failed { cause: Cause::Deadline, .. })), "{late:?}");
    assert!(late.contains(&Command::Cancel { attempt }));
}

#[test]
fn client_disconnect_cancels_its_attempt() {
    let mut harness = EngineHarness::new(&["w1"], EngineLimits::default());
    let (call, first) = harness.open(0, true);
    let attempt = started(&first).expect("sent");
    harness.handle(part(attempt, false));
    let gone = harness.handle(Event::ClientDisconnected { call });
    assert_eq!(gone, vec![Command::Cancel { attempt }]);
    assert_eq!(harness.handle(part(attempt, false)), vec![]);
    assert_eq!(
        harness.handle(attempt_ended(attempt, AttemptEnd::Served)),
        vec![],
        "the answer races with the disconnect"
    );
    assert_eq!(harness.engine.open_calls(), 0);
}

/// One worker whose replica has two lanes, with two calls running in them and two calls waiting. Returns the ids of the
/// four calls and of the two attempts in flight.
fn two_running_and_two_waiting(settings: Settings) -> (EngineHarness, Vec<CallId>, Vec<AttemptId>) {
    let mut harness = EngineHarness::with(settings, &["w1"], EngineLimits::default());
    // A first call is served, so that the engine knows of the worker's replica.
    let (_, first) = harness.open(0, false);
    let first = started(&first).expect("a worker is free");
    harness.handle(part(first, true));
    harness.handle(attempt_ended(first, AttemptEnd::Served));
    let opened: Vec<_> = (0..4).map(|_| harness.open(0, false)).collect();
    let attempts: Vec<AttemptId> = opened.iter().filter_map(|(_, commands)| started(commands)).collect();
    assert_eq!(attempts.len(), 2, "two lanes");
    (harness, opened.iter().map(|(call, _)| *call).collect(), attempts)
}

fn disconnect(calls: &[CallId]) -> Event {
    Event::ClientsDisconnected {
        clients: calls.iter().map(|call| ClientDisconnect { call: *call, expects_answer: false }).collect(),
    }
}

#[test]
fn clients_that_disconnect_together_are_not_granted_each_others_lanes() {
    let (mut harness, calls, _) = two_running_and_two_waiting(settings());
    let done = harness.handle(disconnect(&calls));
    assert_eq!(started(&done), None, "{done:?}");
    assert_eq!(done.iter().filter(|c| matches!(c, Command::Cancel { .. })).count(), 2);
    assert_eq!(harness.engine.open_calls(), 0);
    // The decision module counts none of these calls any more, so that new calls get both lanes.
    for _ in 0..2 {
        let (_, commands) = harness.open(0, false);
        assert!(started(&commands).is_some(), "a lane is free");
    }
}

#[test]
fn half_closed_client_gets_its_final_answer_at_once() {
    let (mut harness, calls, attempts) = two_running_and_two_waiting(settings());
    let all = calls.iter().map(|call| ClientDisconnect { call: *call, expects_answer: true }).collect();
    let done = harness.handle(Event::ClientsDisconnected { clients: all });
    for call in calls {
        let answers: Vec<&FinalAnswer> = done
            .iter()
            .filter_map(|c| match c {
                Command::Answer { call: answered, answer, .. } if *answered == call => Some(answer),
                _ => None,
            })
            .collect();
        let was_sent = attempts.iter().any(|attempt| attempt.call == call);
        match answers[..] {
            [FinalAnswer::Failed { cause: Cause::Aborted, .. }] => assert!(was_sent, "it was not sent"),
            [FinalAnswer::Refused { reason: Refusal::ClientDisconnected, .. }] => {
                assert!(!was_sent, "it may have run")
            }
            _ => panic!("one answer per call: {answers:?}"),
        }
    }
}

#[test]
fn attempt_that_cannot_be_cancelled_occupies_its_lane_until_its_end() {
    let mut settings = settings();
    settings.limits.cancel = false;
    let (mut harness, calls, attempts) = two_running_and_two_waiting(settings);
    let running: Vec<CallId> = attempts.iter().map(|attempt| attempt.call).collect();
    let done = harness.handle(disconnect(&running));
    assert!(!done.iter().any(|c| matches!(c, Command::Cancel { .. })), "{done:?}");
    assert_eq!(started(&done), None, "the worker is still busy with them");
    assert_eq!((harness.engine.open_calls(), harness.engine.waiting_calls()), (2, 2));
    // The first attempt is answered. Its lane becomes free, and the answer is dropped.
    harness.handle(part(attempts[0], true));
    let freed = harness.handle(attempt_ended(attempts[0], AttemptEnd::Served));
    let next = started(&freed).expect("a waiting call starts");
    assert!(calls.contains(&next.call) && answer(&freed).is_none());
    // The second attempt is never answered. After the deadline that was sent to its worker it is abandoned without a
    // cancellation.
    let passed = harness.advance(5_000 * MS);
    assert!(passed.contains(&Command::Abandon { attempt: attempts[1] }), "{passed:?}");
    assert!(!passed.contains(&Command::Cancel { attempt: attempts[1] }));
}

#[test]
fn slow_client_pauses_only_its_own_attempt() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let (call, first) = harness.open(0, true);
    harness.open(0, true);
    let attempt = started(&first).expect("sent");
    assert_eq!(harness.handle(Event::ClientSlow { call }), vec![Command::Pause { attempt }]);
    assert_eq!(harness.handle(Event::ClientSlow { call }), vec![]);
    assert_eq!(harness.handle(Event::ClientReady { call }), vec![Command::Resume { attempt }]);
}

#[test]
fn late_answer_of_a_cancelled_attempt_does_not_affect_the_retry() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let (_, first) = harness.open(0, false);
    let one = started(&first).expect("sent");
    let silent_worker = first.iter().find_map(|c| match c {
        Command::Start { worker, .. } => Some(*worker),
        _ => None,
    });
    // The worker does not answer for long, and its health check times out: the module cancels the attempt and retries
    // at the other worker.
    let mut seen = Vec::new();
    for _ in 0..1_000 {
        if started(&seen).is_some() {
            break;
        }
        harness.now = harness.now.max(harness.engine.next_timer().expect("a timer is set"));
        harness.engine.handle(harness.now, Event::Tick, &mut harness.commands);
        while !harness.commands.is_empty() {
            for command in std::mem::take(&mut harness.commands) {
                let Command::Probe { request_id, worker } = command else {
                    seen.push(command);
                    continue;
                };
                let end =
                    if Some(worker) == silent_worker { AttemptEnd::TimedOut } else { AttemptEnd::Served };
                let event = Event::ProbeEnded { request_id, end, load_report: None };
                harness.engine.handle(harness.now, event, &mut harness.commands);
            }
        }
    }
    let two = started(&seen).expect("the call was retried");
    assert!(seen.contains(&Command::Cancel { attempt: one }));
    assert_eq!(harness.handle(part(one, false)), vec![]);
    assert_eq!(
        harness.handle(attempt_ended(one, AttemptEnd::Served)),
        vec![],
        "the answer of a cancelled attempt is dropped"
    );
    harness.handle(part(two, false));
    assert!(matches!(
        answer(&harness.handle(attempt_ended(two, AttemptEnd::Served))),
        Some(FinalAnswer::Served { last: Some(_) })
    ));
}

#[test]
fn calls_over_the_bound_and_without_workers_are_refused() {
    let mut harness = EngineHarness::new(&["w1"], EngineLimits { open_calls: 1, ..EngineLimits::default() });
    harness.open(0, false);
    let (_, over) = harness.open(0, false);
    assert!(matches!(answer(&over), Some(FinalAnswer::Refused { reason: Refusal::TooManyOpen, .. })));
    let mut harness = EngineHarness::new(&[], EngineLimits::default());
    let (_, at_once) = harness.open(1, false);
    assert!(
        matches!(answer(&at_once), Some(FinalAnswer::Refused { reason: Refusal::NoWorker, .. })),
        "{at_once:?}"
    );
}

#[test]
fn call_without_time_left_is_not_sent() {
    let mut harness =
        EngineHarness::new(&["w1"], EngineLimits { answer_margin: 5_000 * MS, ..EngineLimits::default() });
    let (_, out) = harness.open(1, false);
    assert!(
        matches!(
            out[..],
            [Command::Answer { answer: FinalAnswer::Failed { cause: Cause::Deadline, .. }, .. }]
        ),
        "{out:?}"
    );
}

#[test]
fn miss_orders_a_replica_and_the_order_ends_once() {
    let mut settings = settings();
    settings.loading.when_absent = WhenAbsent::Miss;
    let mut engine = Engine::new(settings, None, EngineLimits::default(), 7).expect("valid settings");
    let mut out = Vec::new();
    engine.handle(
        0,
        Event::Workers { form: ListForm::Complete, members: vec![member("w1", WorkerState::On)] },
        &mut out,
    );
    let mut harness = EngineHarness { engine, now: MS, commands: Vec::new() };
    let (_, first) = harness.open(0, false);
    let missed = harness.handle(attempt_ended(started(&first).expect("sent"), AttemptEnd::MarkedMiss));
    let request_id = missed.iter().find_map(|c| match c {
        Command::Load { request_id, model, replicas: 1, .. } if &**model == "echo" => Some(*request_id),
        _ => None,
    });
    let request_id = request_id.expect("one replica is ordered");
    harness.now += 700 * MS;
    let sent = harness.handle(Event::LoadEnded { request_id, end: AttemptEnd::Served, replicas: 1 });
    assert!(started(&sent).is_some());
    assert_eq!(harness.handle(Event::LoadEnded { request_id, end: AttemptEnd::Served, replicas: 1 }), vec![]);
}

#[test]
fn draining_worker_gets_no_calls() {
    let mut harness = EngineHarness::new(&["w1", "w2"], EngineLimits::default());
    let members = vec![member("w1", WorkerState::Draining), member("w2", WorkerState::On)];
    harness.handle(Event::Workers { form: ListForm::Complete, members });
    let two = harness.engine.worker_id("w2");
    for _ in 0..20 {
        for command in harness.open(0, false).1 {
            if let Command::Start { worker, .. } = command {
                assert_eq!(worker, two);
            }
        }
    }
}
