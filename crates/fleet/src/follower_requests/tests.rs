//! Unit tests of the timing and the queries of a follower's requests.

use super::*;

#[test]
fn four_heartbeats_fit_into_a_span_and_their_responses_into_half_of_one() {
    let timing = LeaseSpan::Granted(Duration::from_secs(6)).timing(false);
    assert_eq!(timing.wait, Duration::from_millis(1_500));
    assert_eq!(timing.timeout, Duration::from_secs(3));
    let timing = LeaseSpan::Granted(Duration::from_millis(200)).timing(true);
    assert_eq!((timing.wait, timing.timeout), (WAIT_WHILE_BEHIND, MIN_WATCH_TIMEOUT));
    assert_eq!(LeaseSpan::Unknown.timing(false).wait, Duration::ZERO);
    assert_eq!(LeaseSpan::NoLeases.timing(false).wait, WAIT_WITHOUT_LEASES);
    assert_eq!(LeaseSpan::NoLeases.timing(true).wait, WAIT_WHILE_BEHIND);
}

#[test]
fn heartbeat_reports_what_is_persisted_and_in_force() {
    let snapshot = SnapshotVersion { store: "s".to_owned(), epoch: 3, revision: 9, checksum: 5 };
    let report = Heartbeat {
        controller: 1,
        incarnation: 7,
        in_force: 8,
        persisted: 6,
        requires_lease: true,
        fenced: false,
        snapshot: Some(&snapshot),
    };
    assert_eq!(
        report.watch_target(Duration::from_millis(1_500)),
        "/v1/watch?controller=1&life=7&in_force=8&kept=6&ends=1&ended=0\
             &store=s&epoch=3&after=9&sum=5&limit=1000&wait_ms=1500"
    );
    assert_eq!(
        Heartbeat { snapshot: None, ..report }.snapshot_target(),
        "/v1/snapshot?controller=1&life=7&in_force=8&kept=6&ends=1&ended=0"
    );
}
