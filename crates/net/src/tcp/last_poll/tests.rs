//! Unit tests of `last_poll`.

use std::time::{Duration, Instant};

use super::{LastPoll, PollResult};

const WAIT: Duration = Duration::from_millis(50);

fn poll_result(began: Instant, slept: u64, interrupted: bool) -> PollResult {
    PollResult { began, returned: began + Duration::from_millis(slept), wait: Some(WAIT), interrupted }
}

#[test]
fn what_a_poll_reports_in_time_arrived_as_it_returned() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    assert_eq!(last.record(poll_result(start, 20, false)), start + Duration::from_millis(20));
}

#[test]
fn an_interrupted_poll_reports_nothing() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    assert_eq!(last.record(poll_result(start, 400, true)), start);
    let next = start + Duration::from_millis(400);
    assert_eq!(last.record(poll_result(next, 0, false)), start, "it may have come in all that time");
}

#[test]
fn after_a_stop_within_a_poll_the_next_one_may_report_late() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    let began = start + Duration::from_millis(10);
    // It told of something that had come, and the process was stopped before it read the time.
    assert_eq!(last.record(poll_result(began, 250, false)), start);
    // What the next one finds at once may have come while it was stopped.
    let next = began + Duration::from_millis(251);
    assert_eq!(last.record(poll_result(next, 0, false)), began);
}

/// Seen by the soak (seed 324, --shutdowns): a process was stopped for 266 ms between two polls, and told a worker the whole
/// time of a request that had come meanwhile. The next poll finds it at once; but a thread that is delayed on its way back
/// from the system reads a time at which the poll seems to have slept.
#[test]
fn after_a_stop_between_polls_the_next_one_looks_without_sleeping() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    let began = start + Duration::from_millis(266);
    let wait = last.timeout(began, Some(WAIT));
    let returned = began + Duration::from_millis(2);
    assert_eq!(last.record(PollResult { began, returned, wait, interrupted: false }), start);
    // One that comes back in time may sleep.
    let next = returned + Duration::from_millis(1);
    assert_eq!(last.timeout(next, Some(WAIT)), Some(WAIT));
}
