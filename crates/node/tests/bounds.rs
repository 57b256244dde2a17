//! Limits that are derived from the resources of the machine and from the platform's rules.

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
        // The earliest time at which the platform may kill the process: a longest deadline over 3 s counts as 3 s.
        let kill = since + longest.min(Duration::from_secs(3)) + KILL_GRACE;
        // A request that arrives within the kill grace, less the transit time of its answer, keeps all of its client's
        // time.
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
        // A node assumes at least 64 descriptors.
        let all = (sockets as usize).max(64);
        assert!(
            bounds.clients + bounds.pool_connections + RESERVED_DESCRIPTORS <= all,
            "{sockets}: {bounds:?}"
        );
        assert!(
            bounds.clients >= all.div_ceil(3),
            "clients may hold a third of the descriptors, {sockets}: {bounds:?}"
        );
        let headroom = all / 3 - bounds.idle_clients;
        assert!(headroom >= all / 13, "room for new connections, {sockets}: {bounds:?}");
        assert!(bounds.pool_connections >= 8, "{sockets}: {bounds:?}");
    }
}

#[test]
fn attempt_without_time_left_violates_an_invariant() {
    let check = |time_left| {
        let effect = Effect::Idempotent;
        AttemptCheck { in_flight: false, may_have_run: false, effect, time_left }.run()
    };
    assert_eq!(check(Duration::ZERO), Err(Violation::SendAfterDeadline));
    assert_eq!(check(Duration::from_micros(1)), Ok(()));
}
