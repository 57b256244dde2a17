//! The store: opens its file, commits changes, and reopens the file after a failure. Its tables are those of
//! [`crate::schema`].

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

/// Opens the database, at the start and after a failure of its file.
type Opener = Box<dyn Fn() -> Result<Database, StoreError> + Send>;

/// A change whose commit failed: whether it reached the file is unknown.
struct DoubtfulChange {
    entry: Entry,
    /// The idempotency key of its response.
    key: Option<String>,
}

/// Tenants, their audit trail and idempotent responses in one file.
pub struct Store {
    /// None while the file can't be reopened.
    database: Option<Database>,
    opener: Opener,
    /// A commit has failed: the database accepts nothing until it is reopened.
    failed: bool,
    doubtful: Option<DoubtfulChange>,
}

impl Store {
    /// Opens a file, or creates it, and reads the tenants.
    ///
    /// # Errors
    /// Where the file can't be read or is damaged; it is left as it is.
    pub fn open(path: &Path) -> Result<(Self, TenantSnapshot), StoreError> {
        let file = |source| StoreError::File { path: path.to_owned(), source };
        if let Some(directory) = path.parent().filter(|parent| !parent.as_os_str().is_empty()) {
            std::fs::create_dir_all(directory).map_err(file)?;
        }
        let path = path.to_owned();
        let open = move || {
            let path = path.clone();
            catch_panic(move || checked(Database::create(path).context(OPEN_FAILED)?))
        };
        catch_panic(move || Self::start(Box::new(open)))
    }

    /// The same on any storage: for tests in which it fails.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn open_backend(backend: impl StorageBackend + Clone) -> Result<(Self, TenantSnapshot), StoreError> {
        let open = move || {
            let opened = Database::builder().create_with_backend(backend.clone());
            checked(opened.context(OPEN_FAILED)?)
        };
        Self::start(Box::new(open))
    }

    fn start(opener: Opener) -> Result<(Self, TenantSnapshot), StoreError> {
        let database = opener()?;
        migration::migrate(&database)?;
        let tenants = reader::tenants(&database)?;
        let store = Self { database: Some(database), opener, failed: false, doubtful: None };
        Ok((store, tenants))
    }

    fn database(&self) -> Result<&Database, StoreError> {
        self.database.as_ref().ok_or(StoreError::Unavailable)
    }

    /// Reopens the database after a failure of its file, and undoes what the failed change may have left there, which
    /// was reported as not committed. Does nothing where nothing has failed.
    ///
    /// # Errors
    /// Where the file still fails; it may be tried again.
    pub fn reopen(&mut self) -> Result<(), StoreError> {
        if !self.failed && self.database.is_some() {
            return Ok(());
        }
        // Its lock on the file is released first.
        drop(self.database.take());
        self.database = Some((self.opener)()?);
        if let Some(doubtful) = &self.doubtful {
            writer::undo(self.database()?, &doubtful.entry, doubtful.key.as_deref())?;
        }
        (self.failed, self.doubtful) = (false, None);
        Ok(())
    }

    /// Which store it is: one that was created anew has another name; one that was restored has the name of what it
    /// was restored from, and a higher epoch.
    ///
    /// # Errors
    /// Where it can't be read.
    pub fn origin(&self) -> Result<Origin, StoreError> {
        reader::origin(self.database()?)
    }

    /// Replaces all that is there by a snapshot that was installed from elsewhere, in one transaction. The audit trail
    /// and the stored responses are deleted.
    ///
    /// # Errors
    /// Where it can't be written: nothing was replaced.
    pub fn install(&mut self, snapshot: &TenantSnapshot, origin: &Origin) -> Result<(), StoreError> {
        writer::install(self.database()?, snapshot, origin)
    }

    /// Commits a change, and the response under its idempotency key where it has one. Durable when this returns. What
    /// fails for a moment is tried once more.
    ///
    /// # Errors
    /// Nothing of the change is there, or it is undone before anything else is committed.
    pub fn commit(
        &mut self,
        entry: &Entry,
        response: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), StoreError> {
        self.reopen()?;
        match writer::commit(self.database()?, entry, response) {
            Err(error) if error.is_transient() => {}
            done => return done,
        }
        self.remember_doubtful(entry, response);
        self.reopen()?;
        let committed = writer::commit(self.database()?, entry, response);
        if committed.as_ref().is_err_and(StoreError::is_transient) {
            self.remember_doubtful(entry, response);
        }
        committed
    }

    fn remember_doubtful(&mut self, entry: &Entry, response: Option<KeyedResponse<'_>>) {
        let key = response.map(|(key, _)| key.to_owned());
        self.failed = true;
        self.doubtful = Some(DoubtfulChange { entry: entry.clone(), key });
    }

    /// The response stored under an idempotency key.
    ///
    /// # Errors
    /// Where it can't be read.
    pub fn idempotent_response(&self, key: &str) -> Result<Option<IdempotentResponse>, StoreError> {
        reader::response(self.database()?, key)
    }

    /// At most `most` entries of the audit trail after a revision, in order; of one tenant, where given.
    ///
    /// # Errors
    /// Where they can't be read.
    pub fn audit(
        &self,
        after: Revision,
        most: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, StoreError> {
        reader::entries(self.database()?, after, most, tenant)
    }

    /// All of its content but the stored responses, for a snapshot file.
    ///
    /// # Errors
    /// Where it can't be read.
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

    /// Fills an empty store with a snapshot file's content, in one transaction. It takes the name of the snapshot's
    /// store, and an epoch above the snapshot's: `now_ms` at the least, so that two restores of one snapshot differ.
    ///
    /// # Errors
    /// Where the store is not empty or can't be written.
    pub fn restore(&mut self, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
        writer::restore(self.database()?, snapshot, now_ms)
    }
}

/// A database whose pages match their checksums.
fn checked(mut opened: Database) -> Result<Database, StoreError> {
    let intact = opened.check_integrity().context("the tenant store can't be checked")?;
    if !intact {
        return Err(StoreError::Inconsistent("its pages do not match their checksums".to_owned()));
    }
    Ok(opened)
}

/// The database may panic over damaged pages: that is an error of the file, not the end of the program.
fn catch_panic<T>(open: impl FnOnce() -> Result<T, StoreError> + UnwindSafe) -> Result<T, StoreError> {
    std::panic::catch_unwind(open).unwrap_or_else(|panic| {
        let message = panic.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let message = message.or_else(|| panic.downcast_ref::<String>().cloned());
        Err(StoreError::Unreadable(message.unwrap_or_else(|| "its pages can't be interpreted".to_owned())))
    })
}
