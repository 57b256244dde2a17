//! Unit tests of `applied_versions`.

use super::*;

#[test]
fn version_is_in_force_once_its_checkpoint_is_acknowledged() {
    let version = |revision| Version { epoch: 1, revision };
    let mut versions = AppliedVersions::new(version(3));
    let acknowledged = versions.acknowledged();
    let (four, nine) = (versions.record_sent(version(4)), versions.record_sent(version(9)));
    assert_eq!(versions.in_force(), version(3));
    acknowledged.store(four, Ordering::Release);
    assert_eq!(versions.in_force(), version(4));
    acknowledged.store(nine, Ordering::Release);
    assert_eq!((versions.in_force(), versions.pending.len()), (version(9), 0));
    // A controller thread that acknowledges nothing for a long time costs a bounded amount of memory.
    for revision in 10..5_000 {
        versions.record_sent(version(revision));
    }
    assert_eq!((versions.in_force(), versions.pending.len()), (version(9), MAX_PENDING));
    acknowledged.store(versions.last_number, Ordering::Release);
    assert_eq!(versions.in_force(), version(4_999));
}
