//! Each rule of the judge is seen to fire on a record that breaks it, and on no other.

use std::collections::BTreeMap;
use std::time::Duration;

use nettleferry_soak::Rule;
use nettleferry_soak::audit::{Attempt, Call, Class, End, Listed, Record};
use nettleferry_soak::judge::judge;

const ID: u64 = 7;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn attempt(came: u64, over: u64) -> Attempt {
    Attempt { worker: 0, connection: 0, came: ms(came), patience: 1_000, over: Some(ms(over)), ran: true }
}

/// A call that was sent at one second and served.
fn sound(class: Class) -> Call {
    Call {
        class,
        controller: 0,
        sent: (ms(1_000), ms(1_000)),
        ttl: ms(2_000),
        left: None,
        end: Some((End::Served, ms(1_200))),
        answers: 1,
        attempts: vec![attempt(1_010, 1_100)],
    }
}

fn record(call: Call) -> Record {
    Record {
        calls: BTreeMap::from([(ID, call)]),
        strangers: Vec::new(),
        events: Vec::new(),
        told: Vec::new(),
        starts: Vec::new(),
        arrivals: Vec::new(),
        lag: Vec::new(),
    }
}

fn broken(record: &Record) -> Vec<Rule> {
    judge(record).into_iter().map(|finding| finding.rule).collect()
}

fn broken_by(class: Class, change: impl FnOnce(&mut Call)) -> Vec<Rule> {
    let mut call = sound(class);
    change(&mut call);
    broken(&record(call))
}

#[test]
fn a_sound_call_breaks_nothing() {
    assert!(broken_by(Class::Safe, |_| ()).is_empty());
    // A safe one may run again, once the attempt before is over.
    assert!(broken_by(Class::Safe, |call| call.attempts.push(attempt(1_110, 1_150))).is_empty());
    // One that the test killed is owed by nobody.
    assert!(broken_by(Class::Safe, |call| call.end = Some((End::Killed, ms(1_200)))).is_empty());
}

#[test]
fn a_call_without_one_whole_answer_is_found() {
    for end in [End::Lost, End::Unanswered, End::Altered] {
        assert_eq!(
            broken_by(Class::Safe, |call| call.end = Some((end, ms(1_200)))),
            [Rule::OneAnswer],
            "{end:?}"
        );
    }
    assert_eq!(broken_by(Class::Safe, |call| call.answers = 2), [Rule::OneAnswer]);
}

#[test]
fn what_may_run_once_and_ran_twice_or_was_refused_is_found() {
    let again = |call: &mut Call| call.attempts.push(attempt(1_110, 1_150));
    assert_eq!(broken_by(Class::Once, again), [Rule::EffectOnce]);
    let refused = |call: &mut Call| call.end = Some((End::Refused, ms(1_200)));
    assert_eq!(broken_by(Class::Once, refused), [Rule::EffectOnce]);
}

#[test]
fn attempts_that_overlap_are_found() {
    assert_eq!(broken_by(Class::Safe, |call| call.attempts.push(attempt(1_020, 1_150))), [Rule::NoOverlap]);
}

#[test]
fn an_attempt_after_its_client_left_is_found() {
    assert_eq!(broken_by(Class::Safe, |call| call.left = Some(ms(900))), [Rule::ClientGone]);
    assert!(broken_by(Class::Safe, |call| call.left = Some(ms(950))).is_empty(), "within 0.1 s");
}

#[test]
fn a_worker_that_is_told_too_much_time_is_found() {
    assert_eq!(broken_by(Class::Safe, |call| call.attempts[0].patience = 2_200), [Rule::Deadline]);
    assert!(broken_by(Class::Safe, |call| call.attempts[0].patience = 2_100).is_empty(), "within 0.15 s");
}

#[test]
fn an_attempt_at_a_draining_worker_is_found_and_one_before_the_controller_was_told_is_not() {
    let drained = |told: u64| {
        let mut call = sound(Class::Safe);
        call.attempts = vec![attempt(3_000, 3_100)];
        (call.ttl, call.end) = (ms(9_000), Some((End::Served, ms(3_200))));
        let mut record = record(call);
        record.events = vec![Listed { serial: 2, worker: 0, in_service: false }];
        record.told = vec![(0, 2, ms(told)), (1, 2, ms(10))];
        broken(&record)
    };
    assert_eq!(drained(1_500), [Rule::Drain]);
    assert!(drained(2_500).is_empty(), "within its grace");
    assert!(drained(3_500).is_empty(), "it was not told");
}

#[test]
fn a_cold_worker_that_is_pushed_over_is_found() {
    let calls = |count: u64| {
        let mut record = record(sound(Class::Safe));
        record.starts = vec![(0, ms(1_000))];
        record.arrivals = (0..count).map(|n| (0, ms(1_100 + n))).collect();
        broken(&record)
    };
    assert_eq!(calls(80), [Rule::SlowStart]);
    assert!(calls(40).is_empty());
}

#[test]
fn what_no_client_sent_is_found() {
    let mut record = record(sound(Class::Safe));
    record.strangers = vec![(9, 0)];
    assert_eq!(broken(&record), [Rule::Stranger]);
}
