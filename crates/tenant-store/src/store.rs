//! The store: opens its file, commits changes, and reopens the file after a failure. [`crate::schema`] defines its
//! tables.

use std::panic::UnwindSafe;
use std::path::Path;

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, TenantSnapshot};
use redb::{Database, StorageBackend};

use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;
use crate::snapshot::Snapshot;
use crate::writer::KeyedResponse;
use crate::{migration, reader, writer};

const OPEN_FAILED: &str = "the tenant store can't be opened";

/// Opens the database: at the start, and again after an I/O error.
type Opener = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// A change whose commit failed, so that it is unknown whether the change reached the file.
struct InDoubtChange {
    entry: Entry,
    /// The idempotency key that the change's response is stored under.
    key: Option<String>,
}

/// Tenants, their audit trail and the responses stored under idempotency keys, in one file.
pub struct Store {
    /// `None` while the file can't be reopened.
    database: Option<Database>,
    opener: Opener,
    /// Whether a commit has failed. After an I/O error the database rejects every operation until it is reopened.
    failed: bool,
    /// The change whose commit failed, until it is undone.
    in_doubt: Option<InDoubtChange>,
}

impl Store {
    /// Opens the store in a file, which is created if it does not exist, and reads the tenants.
    ///
    /// # Errors
    /// Returns an error if the file can't be opened or read, is damaged, or has a newer format. A damaged file is not
    /// removed or replaced.
    pub fn open(path: &Path) -> Result<(Self, TenantSnapshot), StoreError> {
        let file_error = |source| StoreError::File { path: path.to_owned(), source };
        if let Some(directory) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            std::fs::create_dir_all(directory).map_err(file_error)?;
        }
        let path = path.to_owned();
        let open = move || {
            let path = path.clone();
            catch_panic(move || check_integrity(Database::create(path).context(OPEN_FAILED)?))
        };
        catch_panic(move || Self::start(Box::new(open)))
    }

    /// Opens the store on a storage backend. Tests use it with storage that fails.
    ///
    /// # Errors
    /// Returns the same errors as [`Store::open`].
    pub fn open_backend(backend: impl StorageBackend + Clone) -> Result<(Self, TenantSnapshot), StoreError> {
        let open = move || {
            let opened = Database::builder().create_with_backend(backend.clone());
            check_integrity(opened.context(OPEN_FAILED)?)
        };
        Self::start(Box::new(open))
    }

    fn start(opener: Opener) -> Result<(Self, TenantSnapshot), StoreError> {
        let database = opener()?;
        migration::migrate(&database)?;
        let tenants = reader::tenants(&database)?;
        let store = Self { database: Some(database), opener, failed: false, in_doubt: None };
        Ok((store, tenants))
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_ref().ok_or(StoreError::Unavailable)
    }

    /// Reopens the database after an I/O error. A change whose commit failed was reported as not committed, so it is
    /// undone if it reached the file. Does nothing if there was no failure.
    ///
    /// # Errors
    /// Returns an error if the file still can't be opened or written. The call may be repeated.
    pub fn reopen(&mut self) -> Result<(), StoreError> {
        if !self.failed && self.database.is_some() {
            return Ok(());
        }
        // The old handle holds a lock on the file, which must be released before the file is opened again.
        drop(self.database.take());
        self.database = Some((self.opener)()?);
        if let Some(change) = &self.in_doubt {
            writer::undo(self.database()?, &change.entry, change.key.as_deref())?;
        }
        (self.failed, self.in_doubt) = (false, None);
        Ok(())
    }

    /// The identity of the store. A newly created store has a name of its own. A restored one has the name of
    /// the store that the snapshot was made of, and a higher epoch.
    ///
    /// # Errors
    /// Returns an error if the store can't be read.
    pub fn origin(&self) -> Result<Origin, StoreError> {
        reader::origin(self.database()?)
    }

    /// Replaces the whole content by a snapshot of another controller, in one transaction. The audit trail and the
    /// stored responses are deleted.
    ///
    /// # Errors
    /// Returns an error if the store can't be written or the name in `origin` is not a hexadecimal number.
    /// The content is unchanged then.
    pub fn install(&mut self, snapshot: &TenantSnapshot, origin: &Origin) -> Result<(), StoreError> {
        writer::install(self.database()?, snapshot, origin)
    }

    /// Commits a change together with its response, if that is to be stored under an idempotency key. The change is
    /// durable once this has returned. After a transient error the commit is retried once.
    ///
    /// # Errors
    /// Returns an error if the change could not be committed. If it may have reached the file
    /// nevertheless, it is undone before the next change is committed.
    pub fn commit(
        &mut self,
        entry: &Entry,
        response: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), StoreError> {
        self.reopen()?;
        match writer::commit(self.database()?, entry, response) {
            Err(error) if error.is_transient() => {}
            result => return result,
        }
        self.mark_in_doubt(entry, response);
        self.reopen()?;
        let committed = writer::commit(self.database()?, entry, response);
        if committed.as_ref().is_err_and(StoreError::is_transient) {
            self.mark_in_doubt(entry, response);
        }
        committed
    }

    /// Records a failed commit, which [`Store::reopen`] undoes.
    fn mark_in_doubt(&mut self, entry: &Entry, response: Option<KeyedResponse<'_>>) {
        let key = response.map(|(key, _)| key.to_owned());
        self.failed = true;
        self.in_doubt = Some(InDoubtChange { entry: entry.clone(), key });
    }

    /// The response that is stored under an idempotency key, if there is one.
    ///
    /// # Errors
    /// Returns an error if the store can't be read or the stored response is damaged.
    pub fn idempotent_response(&self, key: &str) -> Result<Option<IdempotentResponse>, StoreError> {
        reader::response(self.database()?, key)
    }

    /// At most `limit` entries of the audit trail after a revision, in order, optionally of one tenant only.
    ///
    /// # Errors
    /// Returns an error if the store can't be read or an entry is damaged.
    pub fn audit(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, StoreError> {
        reader::entries(self.database()?, after, limit, tenant)
    }

    /// The whole content apart from the stored responses, to be written to a snapshot file.
    ///
    /// # Errors
    /// Returns an error if the store can't be read or is damaged.
    pub fn snapshot(&self) -> Result<Snapshot, StoreError> {
        let tenants = reader::tenants(self.database()?)?;
        let audit = self.audit(0, usize::MAX, None)?;
        let origin = Some(self.origin()?);
        Ok(Snapshot {
            revision: tenants.revision(),
            tenants: tenants.tenants().cloned().collect(),
            audit,
            origin,
        })
    }

    /// Fills an empty store with the content of a snapshot, in one transaction. The store gets the name of
    /// the snapshot's store and a higher epoch. The epoch is at least `now_ms`, the wall clock, so that two
    /// restores of one snapshot have different epochs. If the snapshot has no origin, the store keeps its
    /// own.
    ///
    /// # Errors
    /// Returns an error if the store is not empty or can't be written.
    pub fn restore(&mut self, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
        writer::restore(self.database()?, snapshot, now_ms)
    }
}

/// Fails if the database does not match its checksums, even if redb could repair it: the check returns false
/// after a repair.
fn check_integrity(mut opened: Database) -> Result<Database, StoreError> {
    let intact = opened.check_integrity().context("the tenant store can't be checked")?;
    if !intact {
        return Err(StoreError::Inconsistent("its pages do not match their checksums".to_owned()));
    }
    Ok(opened)
}

/// Converts a panic into an error: the database may panic over damaged pages, which must not end the program.
fn catch_panic<T>(open: impl FnOnce() -> Result<T, StoreError> + UnwindSafe) -> Result<T, StoreError> {
    std::panic::catch_unwind(open).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = message.or_else(|| panic.downcast_ref::<String>().cloned());
        Err(StoreError::Unreadable(message.unwrap_or_else(|| "its pages can't be interpreted".to_owned())))
    })
}
