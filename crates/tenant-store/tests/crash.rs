//! Crash safety of the store. The disk fails at every operation of a change in turn. After reopening, the change must
//! be either complete or absent, and an acknowledged change must always be present.

use std::io;
use std::sync::{Arc, Mutex};

use nettleferry_tenancy::{Change, Condition, Entry, IdempotentResponse, TenantSnapshot};
use nettleferry_tenant_store::{Snapshot, Store};
use redb::StorageBackend;
use serde_json::json;

/// A disk in memory that fails from a given operation on. Tests reopen the store both from all bytes written and from
/// the bytes at the last sync, since unsynced writes may or may not survive a crash.
#[derive(Clone, Debug, Default)]
struct FailingDisk(Arc<Mutex<DiskState>>);

#[derive(Debug, Default)]
struct DiskState {
    /// All bytes written.
    written: Vec<u8>,
    /// The bytes at the last sync.
    synced: Vec<u8>,
    /// Number of write operations so far.
    operations: u64,
    /// Number of operations after which further ones fail.
    fails_at: Option<u64>,
    /// Number of operations after which further ones succeed again.
    works_at: Option<u64>,
}

impl FailingDisk {
    fn with_content(bytes: Vec<u8>, fails_at: Option<u64>) -> Self {
        let state =
            DiskState { written: bytes.clone(), synced: bytes, operations: 0, fails_at, works_at: None };
        Self(Arc::new(Mutex::new(state)))
    }

    fn state(&self) -> std::sync::MutexGuard<'_, DiskState> {
        self.0.lock().expect("the mutex is not poisoned")
    }

    /// Counts a write operation, and fails it if the disk is failing.
    fn begin_operation(&self) -> io::Result<std::sync::MutexGuard<'_, DiskState>> {
        let mut state = self.state();
        state.operations += 1;
        let works_again = state.works_at.is_some_and(|at| state.operations > at);
        if state.fails_at.is_some_and(|at| state.operations > at) && !works_again {
            return Err(io::Error::other("simulated disk failure"));
        }
        Ok(state)
    }
}

impl StorageBackend for FailingDisk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.state().written.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let state = self.state();
        let at = offset as usize;
        out.copy_from_slice(state.written.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.begin_operation()?.written.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        state.synced = state.written.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut state = self.begin_operation()?;
        let at = offset as usize;
        state.written[at..at + data.len()].copy_from_slice(data);
        Ok(())
    }
}

fn evaluate(snapshot: &TenantSnapshot, change: &Change) -> Entry {
    snapshot
        .evaluate(change, Condition::Any, "ada", 1_000)
        .expect("the change is valid")
        .entry
        .expect("the change has an effect")
}

fn create(snapshot: &TenantSnapshot, name: &str) -> Entry {
    evaluate(snapshot, &Change::Create { name: name.to_owned(), spec: json!({"limits": {"open_calls": 5}}) })
}

fn stored_response(revision: u64) -> IdempotentResponse {
    IdempotentResponse { fingerprint: 7, status: 201, revision, body: "{}".to_owned(), at_ms: 1 }
}

#[test]
fn change_is_complete_or_absent_wherever_the_disk_fails() {
    let disk = FailingDisk::default();
    let (mut store, mut snapshot) = Store::open_backend(disk.clone()).expect("the store opens");
    for name in ["a", "b", "c"] {
        let entry = create(&snapshot, name);
        store.commit(&entry, None).expect("the commit succeeds");
        snapshot.apply(&entry).expect("the entry has the next revision");
    }
    drop(store);
    let base = disk.state().written.clone();
    let changes = [
        Change::Create { name: "d".to_owned(), spec: json!({"note": "x".repeat(900)}) },
        Change::Patch { name: "a".to_owned(), patch: json!({"weight": 2}) },
        Change::Suspend { name: "b".to_owned() },
        Change::Remove { name: "c".to_owned(), grace_ms: 5 },
    ];
    let (mut failure_points, mut complete, mut absent) = (0, 0, 0);
    for change in changes {
        let next = evaluate(&snapshot, &change);
        let mut after = snapshot.clone();
        after.apply(&next).expect("the entry has the next revision");
        for fails_at in 0.. {
            let disk = FailingDisk::with_content(base.clone(), None);
            let Ok((mut store, _)) = Store::open_backend(disk.clone()) else { panic!("the store opens") };
            let operations_before = disk.state().operations;
            disk.state().fails_at = Some(operations_before + fails_at);
            let committed = store.commit(&next, Some(("k", &stored_response(next.revision))));
            // A killed process writes nothing, so dropping the store must not either.
            disk.state().fails_at = Some(0);
            drop(store);
            failure_points += 1;
            let contents = {
                let state = disk.state();
                [state.written.clone(), state.synced.clone()]
            };
            for content in contents {
                let reopened = Store::open_backend(FailingDisk::with_content(content, None));
                let (store, found) = reopened.expect("the store opens again");
                let response = store.idempotent_response("k").expect("the responses can be read");
                if found == after {
                    complete += 1;
                    assert_eq!(response, Some(stored_response(next.revision)), "its response is stored");
                    assert_eq!(
                        store.audit(3, 9, None).expect("audit trail read"),
                        std::slice::from_ref(&next)
                    );
                } else {
                    absent += 1;
                    assert_eq!((&found, &response), (&snapshot, &None), "failed at {fails_at}");
                    assert!(committed.is_err(), "an acknowledged change is lost: failed at {fails_at}");
                }
            }
            if committed.is_ok() {
                break;
            }
        }
    }
    println!("{failure_points} failure points: change complete {complete} times, absent {absent} times");
    assert!(
        failure_points > 20 && complete > 0 && absent > 0,
        "{failure_points} failure points, {complete} complete, {absent} absent"
    );
}

#[test]
fn interrupted_creation_leaves_an_empty_store_or_an_error() {
    for fails_at in 0.. {
        let disk = FailingDisk::default();
        disk.state().fails_at = Some(fails_at);
        let created = Store::open_backend(disk.clone()).is_ok();
        disk.state().fails_at = Some(0);
        let durable = disk.state().synced.clone();
        if created {
            break;
        }
        // If nothing was synced, the file is empty and a new store is created in it.
        if !durable.is_empty()
            && let Ok((_, snapshot)) = Store::open_backend(FailingDisk::with_content(durable, None))
        {
            assert_eq!(snapshot, TenantSnapshot::default());
        }
    }
}

#[test]
fn flipped_byte_is_an_error_or_changes_nothing_and_never_panics() {
    let dir = tempfile::tempdir().expect("temporary directory created");
    let path = dir.path().join("tenants.redb");
    let (mut store, mut snapshot) = Store::open(&path).expect("the store opens");
    for n in 0..40 {
        let entry = create(&snapshot, &format!("tenant-{n}"));
        store.commit(&entry, None).expect("the commit succeeds");
        snapshot.apply(&entry).expect("the entry has the next revision");
    }
    drop(store);
    let bytes = std::fs::read(&path).expect("the file can be read");
    let (mut detected, mut harmless) = (0, 0);
    for at in (0..bytes.len()).step_by(bytes.len() / 150) {
        let mut damaged = bytes.clone();
        damaged[at] ^= 0x20;
        std::fs::write(&path, &damaged).expect("damaged file written");
        match Store::open(&path) {
            Err(_) => detected += 1,
            Ok((_, found)) => {
                harmless += 1;
                assert_eq!(found, snapshot, "byte {at}: a wrong snapshot was read without an error");
            }
        }
    }
    assert!(detected > 0 && harmless > 0, "{detected} detected, {harmless} harmless");
}

#[test]
fn snapshot_restores_the_store_and_a_damaged_one_names_its_line() {
    let dir = tempfile::tempdir().expect("temporary directory created");
    let (mut store, mut snapshot) = Store::open(&dir.path().join("a.redb")).expect("the store opens");
    for name in ["a", "b"] {
        let entry = create(&snapshot, name);
        store.commit(&entry, None).expect("the commit succeeds");
        snapshot.apply(&entry).expect("the entry has the next revision");
    }
    let file = dir.path().join("s.snapshot");
    store.snapshot().expect("the store can be read").write(&file).expect("snapshot written");
    let read = Snapshot::read(&file).expect("the snapshot is valid");
    let (mut other, empty) = Store::open(&dir.path().join("b.redb")).expect("the store opens");
    assert_eq!(empty, TenantSnapshot::default());
    other.restore(&read, 5).expect("the commit succeeds");
    let restored = other.snapshot().expect("the store can be read");
    let before = read.origin.clone().expect("the snapshot has an origin");
    let after = restored.origin.clone().expect("the snapshot has an origin");
    assert_eq!((after.store, after.epoch), (before.store, 5), "the same store at a higher epoch");
    assert_eq!(Snapshot { origin: read.origin.clone(), ..restored }, read);
    assert!(other.restore(&read, 5).is_err(), "a store that is not empty is not overwritten");
    drop(other);
    assert_eq!(Store::open(&dir.path().join("b.redb")).expect("the store opens").1, snapshot);
    let text = std::fs::read_to_string(&file).expect("the snapshot is text");
    std::fs::write(&file, text.replace("\"open_calls\":5", "\"open_calls\":6"))
        .expect("changed snapshot written");
    let error = Snapshot::read(&file).expect_err("the checksum does not match").to_string();
    assert!(error.contains("line 6") && error.contains("checksum"), "{error}");
    std::fs::write(&file, &text[..text.len() / 2]).expect("truncated snapshot written");
    assert!(Snapshot::read(&file).expect_err("the footer is missing").to_string().contains("cut off"));
}

#[test]
fn store_of_the_first_format_is_migrated_and_a_later_one_is_rejected() {
    use redb::{Database, TableDefinition};
    const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
    const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
    const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
    let dir = tempfile::tempdir().expect("temporary directory created");
    let path = dir.path().join("old.redb");
    let entry = create(&TenantSnapshot::default(), "a");
    let write_store = |format: u64| {
        let database = Database::create(&path).expect("database created");
        let write = database.begin_write().expect("transaction begun");
        {
            let mut meta = write.open_table(META).expect("table opened");
            meta.insert("format", format).expect("row inserted");
            meta.insert("revision", 1).expect("row inserted");
            let tenant = serde_json::to_vec(&entry.after).expect("serialized as JSON");
            write
                .open_table(TENANTS)
                .expect("table opened")
                .insert("a", tenant.as_slice())
                .expect("row inserted");
            let json = serde_json::to_vec(&entry).expect("serialized as JSON");
            write.open_table(AUDIT).expect("table opened").insert(1, json.as_slice()).expect("row inserted");
        }
        write.commit().expect("the commit succeeds");
    };
    write_store(1);
    let (store, snapshot) = Store::open(&path).expect("the store is migrated");
    assert_eq!(snapshot.get("a"), entry.after.as_ref());
    assert_eq!(store.audit(0, 9, Some("a")).expect("audit trail read"), std::slice::from_ref(&entry));
    drop(store);
    assert_eq!(Store::open(&path).expect("opens without another migration").1, snapshot);
    write_store(99);
    let error = Store::open(&path).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(error.contains("format 99; this program reads up to 2"), "{error}");
}

#[test]
fn failed_change_is_undone_once_the_disk_works_again() {
    let (mut committed, mut failed) = (0, 0);
    for failing_operations in [1, 3, 12] {
        for fails_at in 0..40 {
            let disk = FailingDisk::default();
            let (mut store, mut snapshot) = Store::open_backend(disk.clone()).expect("the store opens");
            let first = create(&snapshot, "a");
            store.commit(&first, None).expect("the commit succeeds");
            snapshot.apply(&first).expect("the entry has the next revision");
            {
                let mut state = disk.state();
                let from = state.operations + fails_at;
                (state.fails_at, state.works_at) = (Some(from), Some(from + failing_operations));
            }
            let in_doubt = create(&snapshot, "b");
            match store.commit(&in_doubt, Some(("k", &stored_response(in_doubt.revision)))) {
                Ok(()) => {
                    committed += 1;
                    snapshot.apply(&in_doubt).expect("the entry has the next revision");
                }
                Err(_) => failed += 1,
            }
            // The disk works again.
            (disk.state().fails_at, disk.state().works_at) = (None, None);
            let later = create(&snapshot, "c");
            store
                .commit(&later, None)
                .unwrap_or_else(|e| panic!("{failing_operations} operations fail from {fails_at} on: {e}"));
            snapshot.apply(&later).expect("the entry has the next revision");
            let has_response = store.idempotent_response("k").expect("the responses can be read").is_some();
            drop(store);
            let (store, found) = Store::open_backend(disk.clone()).expect("the store opens again");
            assert_eq!(found, snapshot, "{failing_operations} operations fail from {fails_at} on");
            assert_eq!(
                has_response,
                snapshot.tenants().len() == 3,
                "a response is stored only with its change"
            );
            assert_eq!(store.audit(0, 9, None).expect("audit trail read").len(), snapshot.tenants().len());
        }
    }
    assert!(committed > 0 && failed > 0, "{committed} committed, {failed} failed");
}
