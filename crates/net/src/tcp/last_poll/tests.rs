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

/// Seen by the soak (ClientGone): a stop interrupted the wait, its timers came due, and a call was retried 13 us later; the
/// end of its client, which had come during the stop, was read 150 us after that.
#[test]
fn what_an_interrupted_or_overslept_poll_reports_is_outdated() {
    let start = Instant::now();
    assert!(poll_result(start, 20, true).is_outdated(), "it has looked at nothing");
    assert!(poll_result(start, 250, false).is_outdated(), "it may have looked before the stop");
    assert!(!poll_result(start, 20, false).is_outdated());
    assert!(!poll_result(start, 51, false).is_outdated(), "timeouts are rounded up");
}
