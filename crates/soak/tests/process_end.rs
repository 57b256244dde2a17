//! Which connections the exit of a controller's process may have ended.

use std::time::{Duration, Instant};

use nettleferry_soak::controller::ProcessEnd;

/// Guards against requests that crossed the close of an idle connection and are taken for lost, because the process is
/// killed a moment later.
#[test]
fn connection_that_ended_while_the_process_ran_did_not_end_by_its_exit() {
    let (seen_running, span) = (Instant::now(), Duration::from_millis(5));
    let end =
        ProcessEnd { earliest: seen_running, latest: seen_running + span, killed: true, stopped_since: None };
    assert!(!end.may_have_closed(seen_running.checked_sub(span).expect("the clock began earlier")));
    for after in [Duration::ZERO, span, 10 * span] {
        assert!(end.may_have_closed(seen_running + after), "{after:?}");
    }
}
