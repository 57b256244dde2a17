//! The disk fails at each operation of a change: what is read afterwards has all of the change or nothing of it, and
//! an acknowledged change is always there.

use std::io;
use std::sync::{Arc, Mutex};

use nettleferry_tenancy::{Change, Condition, Entry, IdempotentResponse, TenantSnapshot};
use nettleferry_tenant_store::{Snapshot, Store};
use redb::StorageBackend;
use serde_json::json;

/// A disk in memory that fails from an operation on. What was written since the last sync may or may not have
/// reached it.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    now: Vec<u8>,
    synced: Vec<u8>,
    operations: u64,
    fails_at: Option<u64>,
    /// It works again from this operation on.
    works_at: Option<u64>,
}

impl Disk {
    fn holding(bytes: Vec<u8>, fails_at: Option<u64>) -> Self {
        let inner = Inner { now: bytes.clone(), synced: bytes, operations: 0, fails_at, works_at: None };
        Self(Arc::new(Mutex::new(inner)))
    }

    fn inner(&self) -> std::sync::MutexGuard<'_, Inner> {
        self.0.lock().expect("not poisoned")
    }

    fn operate(&self) -> io::Result<std::sync::MutexGuard<'_, Inner>> {
        let mut inner = self.inner();
        inner.operations += 1;
        let well = inner.works_at.is_some_and(|at| inner.operations > at);
        if inner.fails_at.is_some_and(|at| inner.operations > at) && !well {
            return Err(io::Error::other("the disk is gone"));
        }
        Ok(inner)
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.inner().now.len() as u64)
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let inner = self.inner();
        let at = offset as usize;
        out.copy_from_slice(inner.now.get(at..at + out.len()).ok_or(io::ErrorKind::UnexpectedEof)?);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.operate()?.now.resize(len as usize, 0);
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        let mut inner = self.operate()?;
        inner.synced = inner.now.clone();
        Ok(())
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut inner = self.operate()?;
        let at = offset as usize;
        inner.now[at..at + data.len()].copy_from_slice(data);
        Ok(())
    }
}

fn entry(book: &TenantSnapshot, change: &Change) -> Entry {
    book.evaluate(change, Condition::Any, "ada", 1_000).expect("sound").entry.expect("a change")
}

fn create(book: &TenantSnapshot, name: &str) -> Entry {
    entry(book, &Change::Create { name: name.to_owned(), spec: json!({"limits": {"open_calls": 5}}) })
}

fn once(revision: u64) -> IdempotentResponse {
    IdempotentResponse { fingerprint: 7, status: 201, revision, body: "{}".to_owned(), at_ms: 1 }
}

#[test]
fn change_is_complete_or_absent_wherever_the_disk_fails() {
    let disk = Disk::default();
    let (mut store, mut book) = Store::open_backend(disk.clone()).expect("opens");
    for name in ["a", "b", "c"] {
        let entry = create(&book, name);
        store.commit(&entry, None).expect("kept");
        book.apply(&entry).expect("the next");
    }
    drop(store);
    let base = disk.inner().now.clone();
    let changes = [
        Change::Create { name: "d".to_owned(), spec: json!({"note": "x".repeat(900)}) },
        Change::Patch { name: "a".to_owned(), patch: json!({"weight": 2}) },
        Change::Suspend { name: "b".to_owned() },
        Change::Remove { name: "c".to_owned(), grace_ms: 5 },
    ];
    let (mut points, mut whole, mut none) = (0, 0, 0);
    for change in changes {
        let next = entry(&book, &change);
        let mut after = book.clone();
        after.apply(&next).expect("the next");
        for fails_at in 0.. {
            let disk = Disk::holding(base.clone(), None);
            let Ok((mut store, _)) = Store::open_backend(disk.clone()) else { panic!("it opens") };
            let begun = disk.inner().operations;
            disk.inner().fails_at = Some(begun + fails_at);
            let kept = store.commit(&next, Some(("k", &once(next.revision))));
            // Dropping it may write no more than a dead process.
            disk.inner().fails_at = Some(0);
            drop(store);
            points += 1;
            let left = {
                let inner = disk.inner();
                [inner.now.clone(), inner.synced.clone()]
            };
            for left in left {
                let (store, found) = Store::open_backend(Disk::holding(left, None)).expect("it opens again");
                let answer = store.idempotent_response("k").expect("readable");
                if found == after {
                    whole += 1;
                    assert_eq!(answer, Some(once(next.revision)), "its answer is there with it");
                    assert_eq!(store.audit(3, 9, None).expect("readable"), std::slice::from_ref(&next));
                } else {
                    none += 1;
                    assert_eq!((&found, &answer), (&book, &None), "died at {fails_at}");
                    assert!(kept.is_err(), "acknowledged, and gone: died at {fails_at}");
                }
            }
            if kept.is_ok() {
                break;
            }
        }
    }
    println!("{points} kill points: {whole} found the change whole, {none} not at all");
    assert!(points > 20 && whole > 0 && none > 0, "{points} points, {whole} whole, {none} none");
}

#[test]
fn store_that_fails_while_it_is_created_is_created_again() {
    for fails_at in 0.. {
        let disk = Disk::default();
        disk.inner().fails_at = Some(fails_at);
        let made = Store::open_backend(disk.clone()).is_ok();
        disk.inner().fails_at = Some(0);
        let left = disk.inner().synced.clone();
        if made {
            break;
        }
        // A file of which nothing is durable is an empty one.
        if !left.is_empty()
            && let Ok((_, book)) = Store::open_backend(Disk::holding(left, None))
        {
            assert_eq!(book, TenantSnapshot::default());
        }
    }
}

#[test]
fn flipped_byte_is_an_error_or_changes_nothing_and_never_panics() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("tenants.redb");
    let (mut store, mut book) = Store::open(&path).expect("opens");
    for n in 0..40 {
        let entry = create(&book, &format!("tenant-{n}"));
        store.commit(&entry, None).expect("kept");
        book.apply(&entry).expect("the next");
    }
    drop(store);
    let bytes = std::fs::read(&path).expect("readable");
    let (mut told, mut same) = (0, 0);
    for at in (0..bytes.len()).step_by(bytes.len() / 150) {
        let mut bad = bytes.clone();
        bad[at] ^= 0x20;
        std::fs::write(&path, &bad).expect("written");
        match Store::open(&path) {
            Err(_) => told += 1,
            Ok((_, found)) => {
                same += 1;
                assert_eq!(found, book, "byte {at}: a wrong book was believed");
            }
        }
    }
    assert!(told > 0 && same > 0, "{told} told, {same} harmless");
}

#[test]
fn snapshot_restores_the_store_and_a_damaged_one_names_its_line() {
    let dir = tempfile::tempdir().expect("a folder");
    let (mut store, mut book) = Store::open(&dir.path().join("a.redb")).expect("opens");
    for name in ["a", "b"] {
        let entry = create(&book, name);
        store.commit(&entry, None).expect("kept");
        book.apply(&entry).expect("the next");
    }
    let file = dir.path().join("s.snapshot");
    store.snapshot().expect("read").write(&file).expect("written");
    let back = Snapshot::read(&file).expect("sound");
    let (mut other, empty) = Store::open(&dir.path().join("b.redb")).expect("opens");
    assert_eq!(empty, TenantSnapshot::default());
    other.restore(&back, 5).expect("kept");
    let now = other.snapshot().expect("read");
    let (was, is) = (back.origin.clone().expect("told"), now.origin.clone().expect("told"));
    assert_eq!((is.store, is.epoch), (was.store, 5), "the same store at a higher epoch");
    assert_eq!(Snapshot { origin: back.origin.clone(), ..now }, back);
    assert!(other.restore(&back, 5).is_err(), "not over what is there");
    drop(other);
    assert_eq!(Store::open(&dir.path().join("b.redb")).expect("opens").1, book);
    let text = std::fs::read_to_string(&file).expect("text");
    std::fs::write(&file, text.replace("\"open_calls\":5", "\"open_calls\":6")).expect("written");
    let told = Snapshot::read(&file).expect_err("damaged").to_string();
    assert!(told.contains("line 6") && told.contains("checksum"), "{told}");
    std::fs::write(&file, &text[..text.len() / 2]).expect("written");
    assert!(Snapshot::read(&file).expect_err("cut off").to_string().contains("cut off"));
}

#[test]
fn store_of_the_first_format_is_migrated_and_a_later_one_is_rejected() {
    use redb::{Database, TableDefinition};
    const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
    const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
    const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("old.redb");
    let entry = create(&TenantSnapshot::default(), "a");
    let format = |number: u64| {
        let database = Database::create(&path).expect("made");
        let write = database.begin_write().expect("begins");
        {
            let mut meta = write.open_table(META).expect("a table");
            meta.insert("format", number).expect("kept");
            meta.insert("revision", 1).expect("kept");
            let tenant = serde_json::to_vec(&entry.after).expect("json");
            write.open_table(TENANTS).expect("a table").insert("a", tenant.as_slice()).expect("kept");
            let json = serde_json::to_vec(&entry).expect("json");
            write.open_table(AUDIT).expect("a table").insert(1, json.as_slice()).expect("kept");
        }
        write.commit().expect("kept");
    };
    format(1);
    let (store, book) = Store::open(&path).expect("migrated");
    assert_eq!(book.get("a"), entry.after.as_ref());
    assert_eq!(store.audit(0, 9, Some("a")).expect("readable"), std::slice::from_ref(&entry));
    drop(store);
    assert_eq!(Store::open(&path).expect("once").1, book);
    format(99);
    let told = Store::open(&path).err().map(|e| e.to_string()).unwrap_or_default();
    assert!(told.contains("format 99; this program reads up to 2"), "{told}");
}

#[test]
fn failed_change_is_undone_once_the_disk_works_again() {
    let (mut kept_at_once, mut refused) = (0, 0);
    for span in [1, 3, 12] {
        for fails_at in 0..40 {
            let disk = Disk::default();
            let (mut store, mut book) = Store::open_backend(disk.clone()).expect("opens");
            let first = create(&book, "a");
            store.commit(&first, None).expect("kept");
            book.apply(&first).expect("the next");
            {
                let mut inner = disk.inner();
                let from = inner.operations + fails_at;
                (inner.fails_at, inner.works_at) = (Some(from), Some(from + span));
            }
            let doubtful = create(&book, "b");
            match store.commit(&doubtful, Some(("k", &once(doubtful.revision)))) {
                Ok(()) => {
                    kept_at_once += 1;
                    book.apply(&doubtful).expect("the next");
                }
                Err(_) => refused += 1,
            }
            // The disk is well again.
            (disk.inner().fails_at, disk.inner().works_at) = (None, None);
            let later = create(&book, "c");
            store.commit(&later, None).unwrap_or_else(|e| panic!("span {span}, fails at {fails_at}: {e}"));
            book.apply(&later).expect("the next");
            let answered = store.idempotent_response("k").expect("readable").is_some();
            drop(store);
            let (store, found) = Store::open_backend(disk.clone()).expect("opens again");
            assert_eq!(found, book, "span {span}, fails at {fails_at}");
            assert_eq!(answered, book.tenants().len() == 3, "an answer is kept with its change alone");
            assert_eq!(store.audit(0, 9, None).expect("readable").len(), book.tenants().len());
        }
    }
    assert!(kept_at_once > 0 && refused > 0, "{kept_at_once} kept at once, {refused} refused");
}
