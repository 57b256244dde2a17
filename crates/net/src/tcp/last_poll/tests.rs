//! Unit tests of `last_poll`.

use std::time::{Duration, Instant};

use super::{LastPoll, PollResult};

const TIMEOUT: Duration = Duration::from_millis(50);

fn poll_result(began: Instant, slept_ms: u64, interrupted: bool) -> PollResult {
    PollResult {
        began,
        returned: began + Duration::from_millis(slept_ms),
        timeout: Some(TIMEOUT),
        interrupted,
    }
}

#[test]
fn data_reported_within_the_timeout_arrived_when_the_poll_returned() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    assert_eq!(last.record(poll_result(start, 20, false)), start + Duration::from_millis(20));
}

#[test]
fn interrupted_poll_does_not_advance_the_last_poll() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    assert_eq!(last.record(poll_result(start, 400, true)), start);
    let next = start + Duration::from_millis(400);
    assert_eq!(last.record(poll_result(next, 0, false)), start, "the data may have arrived since the start");
}

#[test]
fn data_reported_after_a_stop_may_have_arrived_during_the_stop() {
    let start = Instant::now();
    let mut last = LastPoll::new(start);
    let began = start + Duration::from_millis(10);
    // The poll reports data, and the process is stopped before it reads the time.
    assert_eq!(last.record(poll_result(began, 250, false)), start);
    // Data that the next poll reports immediately may have arrived during the stop.
    let next = began + Duration::from_millis(251);
    assert_eq!(last.record(poll_result(next, 0, false)), began);
}

/// Guards against acting on outdated information after a stop, as seen in the soak (ClientGone): a stop
/// interrupted the poll, timers expired, and a call was retried 13 us later. The disconnect of its client,
/// which had arrived during the stop, was read only 150 us after that.
#[test]
fn interrupted_and_overslept_polls_are_outdated() {
    let start = Instant::now();
    assert!(poll_result(start, 20, true).is_outdated(), "it reported nothing");
    assert!(poll_result(start, 250, false).is_outdated(), "it may have collected its events before the stop");
    assert!(!poll_result(start, 20, false).is_outdated());
    assert!(!poll_result(start, 51, false).is_outdated(), "timeouts are rounded up");
}
