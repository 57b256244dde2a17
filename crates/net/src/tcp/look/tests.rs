use std::time::{Duration, Instant};

use super::{LastLook, Polled};

const WAIT: Duration = Duration::from_millis(50);

fn polled(began: Instant, slept: u64, interrupted: bool) -> Polled {
    Polled { began, returned: began + Duration::from_millis(slept), wait: Some(WAIT), interrupted }
}

#[test]
fn what_a_poll_that_slept_in_time_tells_of_came_as_it_returned() {
    let start = Instant::now();
    let mut last = LastLook::new(start);
    assert_eq!(last.polled(polled(start, 20, false)), start + Duration::from_millis(20));
}

#[test]
fn an_interrupted_poll_has_looked_at_nothing() {
    let start = Instant::now();
    let mut last = LastLook::new(start);
    assert_eq!(last.polled(polled(start, 400, true)), start);
    let next = start + Duration::from_millis(400);
    assert_eq!(last.polled(polled(next, 0, false)), start, "it may have come in all that time");
}

#[test]
fn a_process_that_was_stopped_on_its_way_back_from_a_poll_reads_the_next_as_late() {
    let start = Instant::now();
    let mut last = LastLook::new(start);
    let began = start + Duration::from_millis(10);
    // It told of something that had come, and the process was stopped before it read the time.
    assert_eq!(last.polled(polled(began, 250, false)), start);
    // What the next one finds at once may have come while it was stopped.
    let next = began + Duration::from_millis(251);
    assert_eq!(last.polled(polled(next, 0, false)), began);
}
