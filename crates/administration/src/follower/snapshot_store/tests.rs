//! Unit tests of `snapshot_store`.

use std::time::Instant;

use super::*;

/// How long a test waits for the writer's thread.
const WRITE_TIMEOUT: Duration = Duration::from_secs(20);

fn store(file: PathBuf) -> SnapshotStore {
    SnapshotStore::open(file, SharedSnapshot::default(), || ()).0
}

#[test]
fn snapshot_without_a_file_is_never_reported_as_persisted() {
    let folder = tempfile::tempdir().expect("a folder");
    // The path of the snapshot's folder is a regular file, so the snapshot's file cannot be opened.
    let blocked = folder.path().join("blocked");
    std::fs::write(&blocked, "").expect("written");
    let mut store = store(blocked.join("kept.json"));
    store.publish("s", 3, &TenantSnapshot::default());
    assert_eq!(store.persisted(), Version::default(), "the leader would count a copy that is on no disk");
}

#[test]
fn snapshot_is_persisted_once_it_is_durable() {
    let folder = tempfile::tempdir().expect("a folder");
    let mut store = store(folder.path().join("kept.json"));
    store.publish("s", 3, &TenantSnapshot::default());
    let until = Instant::now() + WRITE_TIMEOUT;
    while store.persisted() != (Version { epoch: 3, revision: 0 }) {
        assert!(Instant::now() < until, "never");
        std::thread::yield_now();
    }
}
