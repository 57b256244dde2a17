//! The tables, a change's transaction, and what is read at the start.

use std::io;
use std::path::{Path, PathBuf};

use crate::cell::{self, Damaged};
use crate::origin::Origin;
use crate::snapshot::Snapshot;
use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use redb::{
    Database, ReadableDatabase, ReadableTable, ReadableTableMetadata, StorageBackend, TableDefinition,
};

/// The format that is written. 1 had values without checksums.
pub const FORMAT: u64 = 2;
/// Answers that are kept to be given again; the oldest go first.
pub const MAX_IDEMPOTENT_RESPONSES: u64 = 10_000;

const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Answers by idempotency key.
const ONCE: TableDefinition<&str, &[u8]> = TableDefinition::new("once");
/// Their keys in the order in which they came.
const ONCE_ORDER: TableDefinition<u64, &str> = TableDefinition::new("once_order");

/// Why the store can't be used or a change not be kept.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database refused, or found itself damaged.
    #[error("{what}: {source}")]
    Database {
        /// What was tried.
        what: &'static str,
        /// Why.
        source: Box<redb::Error>,
    },
    /// It panicked over what it found: a damaged file.
    #[error("the tenant store is damaged: {0}")]
    Unreadable(String),
    /// A value is not what was written.
    #[error("the tenant store is damaged: {0}")]
    Damaged(#[from] Damaged),
    /// Its tables do not fit each other.
    #[error("the tenant store is damaged: {0}")]
    Inconsistent(String),
    /// A later program wrote it.
    #[error("the tenant store has format {found}; this program reads up to {FORMAT}")]
    Newer {
        /// Its format.
        found: u64,
    },
    /// Its file has failed, and could not be opened again yet.
    #[error("the tenant store can't be used just now: its file has failed")]
    Unavailable,
    /// A value can't be encoded.
    #[error("a value can't be written: {0}")]
    Encode(#[from] serde_json::Error),
    /// The file can't be had.
    #[error("the tenant store {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl StoreError {
    /// May it pass, as the file could not be read or written just now? Else the file is not what it should be.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Database { source, .. } => matches!(**source, redb::Error::Io(_) | redb::Error::PreviousIo),
            Self::File { .. } | Self::Unavailable => true,
            _ => false,
        }
    }
}

fn database<E: Into<redb::Error>>(what: &'static str) -> impl FnOnce(E) -> StoreError {
    move |source| StoreError::Database { what, source: Box::new(source.into()) }
}

/// Opens the database, at the start and after a failure of its file.
type Opener = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// A change whose commit failed: whether it reached the file is not known.
struct Doubtful {
    entry: Entry,
    once: Option<String>,
}

/// The store.
pub struct Store {
    /// None while the file can't be opened again.
    database: Option<Database>,
    opener: Opener,
    /// A commit has failed: the database takes nothing until it is opened again.
    failed: bool,
    doubtful: Option<Doubtful>,
}

impl Store {
    /// Opens a file, or makes it, and reads what is there. A file that can't be trusted is an error, and is left
    /// as it is.
    pub fn open(path: &Path) -> Result<(Self, TenantSnapshot), StoreError> {
        let file = |source| StoreError::File { path: path.to_owned(), source };
        if let Some(folder) = path.parent().filter(|p| !p.as_os_str().is_empty()) {
            std::fs::create_dir_all(folder).map_err(file)?;
        }
        let path = path.to_owned();
        let open = move || {
            let path = path.clone();
            guarded(move || checked(Database::create(path).map_err(database(OPENING))?))
        };
        guarded(move || Self::start(Box::new(open)))
    }

    /// The same on any storage: for tests that fail it.
    pub fn on(backend: impl StorageBackend + Clone) -> Result<(Self, TenantSnapshot), StoreError> {
        let open = move || {
            let opened = Database::builder().create_with_backend(backend.clone());
            checked(opened.map_err(database(OPENING))?)
        };
        Self::start(Box::new(open))
    }

    fn start(opener: Opener) -> Result<(Self, TenantSnapshot), StoreError> {
        let database = Some(opener()?);
        let mut store = Self { database, opener, failed: false, doubtful: None };
        store.migrate()?;
        let book = store.book()?;
        Ok((store, book))
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_ref().ok_or(StoreError::Unavailable)
    }

    /// Opens the database again after a failure of its file, and takes back what the failed change may have left
    /// there: it was told as not kept. Does nothing where nothing has failed.
    pub fn reopen(&mut self) -> Result<(), StoreError> {
        if !self.failed && self.database.is_some() {
            return Ok(());
        }
        // Its lock on the file goes first.
        drop(self.database.take());
        self.database = Some((self.opener)()?);
        if let Some(doubtful) = &self.doubtful {
            self.undo(doubtful)?;
        }
        (self.failed, self.doubtful) = (false, None);
        Ok(())
    }

    fn undo(&self, doubtful: &Doubtful) -> Result<(), StoreError> {
        let Doubtful { entry, once } = doubtful;
        let fail = || database::<redb::TableError>("a change that failed can't be taken back");
        let storage = || database::<redb::StorageError>("a change that failed can't be taken back");
        let begun = self.database()?.begin_write();
        let write = begun.map_err(database("a change that failed can't be taken back"))?;
        {
            let mut meta = write.open_table(META).map_err(fail())?;
            let stands = meta.get("revision").map_err(storage())?.map_or(0, |v| v.value());
            if stands != entry.revision {
                return Ok(());
            }
            meta.insert("revision", entry.revision - 1).map_err(storage())?;
            write.open_table(AUDIT).map_err(fail())?.remove(entry.revision).map_err(storage())?;
            let mut tenants = write.open_table(TENANTS).map_err(fail())?;
            match &entry.before {
                Some(tenant) => {
                    let value = cell::encode(tenant)?;
                    tenants.insert(entry.tenant.as_str(), value.as_slice()).map_err(storage())?;
                }
                None => _ = tenants.remove(entry.tenant.as_str()).map_err(storage())?,
            }
            if let Some(key) = once {
                write.open_table(ONCE).map_err(fail())?.remove(key.as_str()).map_err(storage())?;
                write.open_table(ONCE_ORDER).map_err(fail())?.remove(entry.revision).map_err(storage())?;
            }
        }
        write.commit().map_err(database("a change that failed can't be taken back"))
    }

    fn migrate(&mut self) -> Result<(), StoreError> {
        let write = self.database()?.begin_write().map_err(database("the tenant store can't be written"))?;
        {
            let fail = || database("the tenant store's tables can't be made");
            let mut meta = write.open_table(META).map_err(fail())?;
            let (tenants, audit) = (write.open_table(TENANTS), write.open_table(AUDIT));
            let (mut tenants, mut audit) = (tenants.map_err(fail())?, audit.map_err(fail())?);
            write.open_table(ONCE).map_err(fail())?;
            write.open_table(ONCE_ORDER).map_err(fail())?;
            let storage = || database::<redb::StorageError>("the tenant store can't be migrated");
            let found = meta.get("format").map_err(storage())?.map(|v| v.value());
            match found {
                Some(FORMAT) => {}
                Some(found) if found > FORMAT => return Err(StoreError::Newer { found }),
                // Values of format 1 get their checksums.
                Some(_) => {
                    let old: Vec<(String, Vec<u8>)> = {
                        let all = tenants.iter().map_err(storage())?;
                        let one = |row: Result<(redb::AccessGuard<&str>, redb::AccessGuard<&[u8]>), _>| {
                            row.map(|(k, v)| (k.value().to_owned(), v.value().to_vec()))
                        };
                        all.map(one).collect::<Result<_, _>>().map_err(storage())?
                    };
                    for (key, json) in old {
                        let tenant: Tenant = serde_json::from_slice(&json)?;
                        tenants.insert(key.as_str(), cell::encode(&tenant)?.as_slice()).map_err(storage())?;
                    }
                    let old: Vec<(u64, Vec<u8>)> = {
                        let all = audit.iter().map_err(storage())?;
                        let one = |row: Result<(redb::AccessGuard<u64>, redb::AccessGuard<&[u8]>), _>| {
                            row.map(|(k, v)| (k.value(), v.value().to_vec()))
                        };
                        all.map(one).collect::<Result<_, _>>().map_err(storage())?
                    };
                    for (key, json) in old {
                        let entry: Entry = serde_json::from_slice(&json)?;
                        audit.insert(key, cell::encode(&entry)?.as_slice()).map_err(storage())?;
                    }
                }
                None => {}
            }
            if found != Some(FORMAT) {
                meta.insert("format", FORMAT).map_err(storage())?;
            }
            // Random: a store that was made anew is another, whatever its revisions say.
            let known = meta.get("store").map_err(storage())?.is_some();
            if !known {
                let hasher = std::collections::hash_map::RandomState::new();
                meta.insert("store", std::hash::BuildHasher::hash_one(&hasher, FORMAT)).map_err(storage())?;
            }
        }
        write.commit().map_err(database("the tenant store's tables can't be made"))
    }

    /// The store's own name and its epoch: one that was made anew has another name, one that was restored has the
    /// name of what it was restored from, and a higher epoch.
    pub fn origin(&self) -> Result<Origin, StoreError> {
        let read = self.database()?.begin_read().map_err(database("the tenant store can't be read"))?;
        let meta = read.open_table(META).map_err(database("the tenant store can't be read"))?;
        let get = |key| meta.get(key).map_err(database("the tenant store can't be read"));
        let store = format!("{:016x}", get("store")?.map_or(0, |v| v.value()));
        Ok(Origin { store, epoch: get("epoch")?.map_or(1, |v| v.value()) })
    }

    /// Puts a book in the place of all that is there, in one transaction: the audit trail and the answers that were
    /// kept go with it. For a book that was taken over from elsewhere.
    pub fn install(&mut self, book: &TenantSnapshot, origin: &Origin) -> Result<(), StoreError> {
        let fail = || database::<redb::TableError>("the book can't be kept");
        let storage = || database::<redb::StorageError>("the book can't be kept");
        let write = self.database()?.begin_write().map_err(database("the book can't be kept"))?;
        {
            let mut tenants = write.open_table(TENANTS).map_err(fail())?;
            tenants.retain(|_, _| false).map_err(storage())?;
            write.open_table(AUDIT).map_err(fail())?.retain(|_, _| false).map_err(storage())?;
            write.open_table(ONCE).map_err(fail())?.retain(|_, _| false).map_err(storage())?;
            write.open_table(ONCE_ORDER).map_err(fail())?.retain(|_, _| false).map_err(storage())?;
            for tenant in book.tenants() {
                tenants.insert(tenant.name.as_str(), cell::encode(tenant)?.as_slice()).map_err(storage())?;
            }
            let mut meta = write.open_table(META).map_err(fail())?;
            meta.insert("revision", book.revision()).map_err(storage())?;
            meta.insert("began", book.revision()).map_err(storage())?;
            put_origin(&mut meta, origin)?;
        }
        write.commit().map_err(database("the book can't be kept"))
    }

    fn book(&self) -> Result<TenantSnapshot, StoreError> {
        let read = self.database()?.begin_read().map_err(database("the tenant store can't be read"))?;
        let fail = || database::<redb::TableError>("the tenant store can't be read");
        let storage = || database::<redb::StorageError>("the tenant store can't be read");
        let meta = read.open_table(META).map_err(fail())?;
        let revision = meta.get("revision").map_err(storage())?.map_or(0, |v| v.value());
        let mut all: Vec<Tenant> = Vec::new();
        for row in read.open_table(TENANTS).map_err(fail())?.iter().map_err(storage())? {
            let (key, value) = row.map_err(storage())?;
            let tenant: Tenant = cell::decode("tenants", key.value(), value.value())?;
            if tenant.name != key.value() || tenant.revision > revision {
                let what = format!("tenant {} at revision {} of {revision}", tenant.name, tenant.revision);
                return Err(StoreError::Inconsistent(what));
            }
            all.push(tenant);
        }
        let audit = read.open_table(AUDIT).map_err(fail())?;
        // A store that began with a book of elsewhere has no trail of what came before.
        let began = meta.get("began").map_err(storage())?.map_or(0, |v| v.value());
        let last = audit.last().map_err(storage())?.map_or(began, |(k, _)| k.value());
        if last != revision {
            let what = format!("the audit trail ends at {last}, the tenants at {revision}");
            return Err(StoreError::Inconsistent(what));
        }
        Ok(TenantSnapshot::from_tenants(revision, all))
    }

    /// Keeps a change, and the answer under its key where it has one. Durable when this returns; on an error nothing of
    /// it is there, or it is taken back before anything else is kept. What fails for a moment is tried once more.
    pub fn commit(
        &mut self,
        entry: &Entry,
        once: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), StoreError> {
        self.reopen()?;
        match self.put(entry, once) {
            Err(why) if why.is_transient() => {}
            done => return done,
        }
        let key = once.map(|(key, _)| key.to_owned());
        (self.failed, self.doubtful) = (true, Some(Doubtful { entry: entry.clone(), once: key }));
        self.reopen()?;
        let kept = self.put(entry, once);
        if kept.as_ref().is_err_and(StoreError::is_transient) {
            let key = once.map(|(key, _)| key.to_owned());
            (self.failed, self.doubtful) = (true, Some(Doubtful { entry: entry.clone(), once: key }));
        }
        kept
    }

    fn put(&mut self, entry: &Entry, once: Option<(&str, &IdempotentResponse)>) -> Result<(), StoreError> {
        let fail = || database::<redb::TableError>("the change can't be kept");
        let storage = || database::<redb::StorageError>("the change can't be kept");
        let write = self.database()?.begin_write().map_err(database("the change can't be kept"))?;
        {
            let mut meta = write.open_table(META).map_err(fail())?;
            let before = meta.get("revision").map_err(storage())?.map_or(0, |v| v.value());
            if entry.revision != before + 1 {
                let what = format!("revision {} does not follow on {before}", entry.revision);
                return Err(StoreError::Inconsistent(what));
            }
            meta.insert("revision", entry.revision).map_err(storage())?;
            let mut tenants = write.open_table(TENANTS).map_err(fail())?;
            match &entry.after {
                Some(tenant) => {
                    tenants
                        .insert(entry.tenant.as_str(), cell::encode(tenant)?.as_slice())
                        .map_err(storage())?;
                }
                None => _ = tenants.remove(entry.tenant.as_str()).map_err(storage())?,
            }
            let mut audit = write.open_table(AUDIT).map_err(fail())?;
            audit.insert(entry.revision, cell::encode(entry)?.as_slice()).map_err(storage())?;
            if let Some((key, answer)) = once {
                let mut answers = write.open_table(ONCE).map_err(fail())?;
                let mut order = write.open_table(ONCE_ORDER).map_err(fail())?;
                answers.insert(key, cell::encode(answer)?.as_slice()).map_err(storage())?;
                order.insert(entry.revision, key).map_err(storage())?;
                if order.len().map_err(storage())? > MAX_IDEMPOTENT_RESPONSES {
                    let oldest = order.pop_first().map_err(storage())?.map(|(_, k)| k.value().to_owned());
                    if let Some(oldest) = oldest {
                        answers.remove(oldest.as_str()).map_err(storage())?;
                    }
                }
            }
        }
        write.commit().map_err(database("the change can't be kept"))
    }

    /// The answer kept under a key.
    pub fn idempotent_response(&self, key: &str) -> Result<Option<IdempotentResponse>, StoreError> {
        let read = self.database()?.begin_read().map_err(database("the tenant store can't be read"))?;
        let answers = read.open_table(ONCE).map_err(database("the tenant store can't be read"))?;
        let found = answers.get(key).map_err(database("the tenant store can't be read"))?;
        found.map(|bytes| Ok(cell::decode("once", key, bytes.value())?)).transpose()
    }

    /// At most `most` entries of the audit trail after a revision, in order; of one tenant, where told.
    pub fn audit(&self, after: Revision, most: usize, of: Option<&str>) -> Result<Vec<Entry>, StoreError> {
        let read = self.database()?.begin_read().map_err(database("the audit trail can't be read"))?;
        let audit = read.open_table(AUDIT).map_err(database("the audit trail can't be read"))?;
        let storage = || database::<redb::StorageError>("the audit trail can't be read");
        let mut all = Vec::new();
        for row in audit.range(after.saturating_add(1)..).map_err(storage())? {
            if all.len() >= most {
                break;
            }
            let (key, value) = row.map_err(storage())?;
            let entry: Entry = cell::decode("audit", &key.value().to_string(), value.value())?;
            if of.is_none_or(|name| entry.tenant == name) {
                all.push(entry);
            }
        }
        Ok(all)
    }

    /// All of it, as it stands.
    pub fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let book = self.book()?;
        let audit = self.audit(0, usize::MAX, None)?;
        let origin = Some(self.origin()?);
        Ok(Snapshot { revision: book.revision(), tenants: book.tenants().cloned().collect(), audit, origin })
    }

    /// Fills an empty store with a snapshot, in one transaction. It takes the snapshot's store's name, and an epoch
    /// above the snapshot's: `now_ms` at the least, so that two restores of one snapshot are told apart.
    pub fn restore(&mut self, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
        let fail = || database::<redb::TableError>("the snapshot can't be kept");
        let storage = || database::<redb::StorageError>("the snapshot can't be kept");
        let write = self.database()?.begin_write().map_err(database("the snapshot can't be kept"))?;
        {
            let mut meta = write.open_table(META).map_err(fail())?;
            if meta.get("revision").map_err(storage())?.is_some() {
                return Err(StoreError::Inconsistent(
                    "a snapshot is restored into an empty store alone".to_owned(),
                ));
            }
            meta.insert("revision", snapshot.revision).map_err(storage())?;
            if snapshot.audit.is_empty() {
                meta.insert("began", snapshot.revision).map_err(storage())?;
            }
            if let Some(origin) = &snapshot.origin {
                let epoch = now_ms.max(origin.epoch.saturating_add(1));
                put_origin(&mut meta, &Origin { store: origin.store.clone(), epoch })?;
            }
            let mut tenants = write.open_table(TENANTS).map_err(fail())?;
            for tenant in &snapshot.tenants {
                tenants.insert(tenant.name.as_str(), cell::encode(tenant)?.as_slice()).map_err(storage())?;
            }
            let mut audit = write.open_table(AUDIT).map_err(fail())?;
            for entry in &snapshot.audit {
                audit.insert(entry.revision, cell::encode(entry)?.as_slice()).map_err(storage())?;
            }
        }
        write.commit().map_err(database("the snapshot can't be kept"))
    }
}

const OPENING: &str = "the tenant store can't be opened";

/// A database whose pages are what their checksums say.
fn checked(mut opened: Database) -> Result<Database, StoreError> {
    let sound = opened.check_integrity();
    if !sound.map_err(database("the tenant store can't be checked"))? {
        return Err(StoreError::Inconsistent("its pages were not what their checksums say".to_owned()));
    }
    Ok(opened)
}

fn put_origin(meta: &mut redb::Table<'_, &str, u64>, origin: &Origin) -> Result<(), StoreError> {
    let unread = |_| StoreError::Inconsistent(format!("{:?} is no store's name", origin.store));
    let store = u64::from_str_radix(&origin.store, 16).map_err(unread)?;
    let storage = || database::<redb::StorageError>("the store's name can't be kept");
    meta.insert("store", store).map_err(storage())?;
    meta.insert("epoch", origin.epoch).map_err(storage())?;
    Ok(())
}

/// The database may panic over pages that make no sense: that is a damaged file, not the end of the program.
fn guarded<T>(
    work: impl FnOnce() -> Result<T, StoreError> + std::panic::UnwindSafe,
) -> Result<T, StoreError> {
    std::panic::catch_unwind(work).unwrap_or_else(|panic| {
        let what = panic.downcast_ref::<&str>().map(|s| (*s).to_owned());
        let what = what.or_else(|| panic.downcast_ref::<String>().cloned());
        Err(StoreError::Unreadable(what.unwrap_or_else(|| "its pages make no sense".to_owned())))
    })
}
