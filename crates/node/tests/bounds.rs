//! What follows from what the machine gives, and from the platform's terms.

use std::time::{Duration, Instant};

use nettleferry::Effect;
use nettleferry_node::guard::{AttemptCheck, Violation};
use nettleferry_node::limits::*;
use nettleferry_platform::config::Limits;

#[test]
fn late_request_during_shutdown_is_answered_before_the_kill() {
    let since = Instant::now();
    let (short, long) = (Duration::from_millis(400), Duration::from_secs(12));
    let micros = |span: Duration| span.as_micros() as u64;
    for longest in [short, long] {
        // The earliest that the platform's page allows: a longest deadline over 3 s counts as 3 s.
        let kill = since + longest.min(Duration::from_secs(3)) + KILL_GRACE;
        // Within the time in which the platform still sends requests, all of the client's time is left, but for
        // the answer's way.
        let now = since + KILL_GRACE - ANSWER_TRANSIT;
        assert_eq!(time_before_kill(since, now, longest, micros(longest)), micros(longest));
        for late in [KILL_GRACE, Duration::from_secs(2), longest + KILL_GRACE, Duration::from_secs(60)] {
            let now = since + late;
            let left = Duration::from_micros(time_before_kill(since, now, longest, micros(longest)));
            assert!(left.is_zero() || now + left + ANSWER_TRANSIT <= kill, "{late:?}");
        }
    }
}

#[test]
fn clients_and_pools_leave_the_reserved_descriptors() {
    for sockets in (0..300).chain([512, 1_024, 65_536]) {
        let bounds = Bounds::of(&Limits { sockets, ..Limits::default() }, None);
        // The least that a node is made for is 64.
        let all = (sockets as usize).max(64);
        assert!(
            bounds.clients + bounds.pool_connections + RESERVED_DESCRIPTORS <= all,
            "{sockets}: {bounds:?}"
        );
        assert!(
            bounds.clients >= all.div_ceil(3),
            "what clients may hold at the most, {sockets}: {bounds:?}"
        );
        let coming = all / 3 - bounds.idle_clients;
        assert!(coming >= all / 13, "room for those that come, {sockets}: {bounds:?}");
        assert!(bounds.pool_connections >= 8, "{sockets}: {bounds:?}");
    }
}

#[test]
fn attempt_decided_on_without_time_breaks_an_invariant() {
    let check = |time_left| {
        let effect = Effect::Idempotent;
        AttemptCheck { in_flight: false, may_have_run: false, effect, time_left }.run()
    };
    assert_eq!(check(Duration::ZERO), Err(Violation::SendAfterDeadline));
    assert_eq!(check(Duration::from_micros(1)), Ok(()));
}
