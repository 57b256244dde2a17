//! Unit tests of `snapshot_writer`.

use super::*;

fn identity() -> StoreIdentity {
    StoreIdentity { name: "store".to_owned(), epoch: 1 }
}

#[test]
fn snapshot_is_written_once_for_a_revision_and_again_when_it_is_replaced() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = snapshot_file(&dir.path().join("tenants.redb"));
    let snapshot = TenantSnapshot::default();
    let mut writer = SnapshotWriter::new(path.clone(), snapshot.revision());
    assert!(!writer.is_due() && writer.time_left().is_none());
    writer.schedule();
    assert!(!writer.is_due() && writer.time_left().is_some_and(|left| left <= MAX_DELAY));
    writer.write(&snapshot, &identity(), true);
    assert!(!path.exists(), "the store had this revision from the start");
    writer.schedule_now();
    assert!(writer.is_due());
    writer.write(&snapshot, &identity(), true);
    assert!(path.exists() && !writer.is_due());
    assert_eq!(Snapshot::read(&path).expect("valid").tenant_snapshot(), snapshot);
}

#[test]
fn snapshot_that_is_not_the_stores_own_is_not_written() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = snapshot_file(&dir.path().join("tenants.redb"));
    let mut writer = SnapshotWriter::new(path.clone(), 0);
    writer.schedule_now();
    writer.write(&TenantSnapshot::default(), &identity(), false);
    assert!(!path.exists() && !writer.is_due());
}
