//! The leader's tenant store, which may be damaged, and its implementation of the API's [`ChangeStore`].

use std::io;
use std::path::Path;
use std::time::Duration;

use nettleferry_admin::api::{ChangeStore, ChangeStoreError, StoreIdentity};
use nettleferry_net::clock;
use nettleferry_net::retry::RetryPolicy;
use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, TenantSnapshot};
use nettleferry_tenant_store::{Origin, Store, StoreError};
use tracing::warn;

const MICROS_PER_MILLI: u64 = 1_000;

/// The retries of a start while the store's file fails with a transient error.
const OPEN_RETRIES: RetryPolicy =
    RetryPolicy { timeout: Duration::from_secs(5), pause: Duration::from_millis(100) };

/// The wall-clock time in milliseconds.
pub(super) fn wall_ms() -> u64 {
    clock::wall() / MICROS_PER_MILLI
}

/// Opens the store. Transient errors of its file are retried, so that they are not mistaken for damage.
pub(super) fn open_with_retry(path: &Path) -> Result<(Store, TenantSnapshot), StoreError> {
    let log_failure = |error: &StoreError| warn!(%error, "tenant store can't be opened, retrying");
    OPEN_RETRIES.run(|| Store::open(path), StoreError::is_transient, log_failure)
}

/// The identity under which the API shows a store.
pub(super) fn identity(origin: &Origin) -> StoreIdentity {
    StoreIdentity { name: origin.store.clone(), epoch: origin.epoch }
}

/// An error while a snapshot is installed in the store.
#[derive(Debug, thiserror::Error)]
pub(super) enum InstallError {
    /// The file of the damaged store could not be renamed.
    #[error(transparent)]
    MoveDamaged(#[from] io::Error),
    /// The store could not be opened or written.
    #[error(transparent)]
    Store(#[from] StoreError),
}

/// The tenant store, or no store if it is damaged.
pub(super) struct StoreHandle(Option<Store>);

impl StoreHandle {
    /// Wraps an opened store; `None` stands for a damaged one.
    pub(super) fn new(store: Option<Store>) -> Self {
        Self(store)
    }

    /// The name and epoch of the store; `None` if it cannot be read.
    pub(super) fn origin(&self) -> Option<Origin> {
        self.0.as_ref().and_then(|store| store.origin().ok())
    }

    /// Reopens the store's file after a failure, so that reads work again without waiting for the next change.
    pub(super) fn reopen_if_failed(&mut self) -> Result<(), StoreError> {
        self.0.as_mut().map_or(Ok(()), Store::reopen)
    }

    /// Replaces the content, which is durable when this returns. The file of a damaged store is renamed, and a new
    /// store is created.
    pub(super) fn install(
        &mut self,
        path: &Path,
        snapshot: &TenantSnapshot,
        origin: &Origin,
    ) -> Result<(), InstallError> {
        let mut store = match self.0.take() {
            Some(store) => store,
            None => replace_damaged(path)?,
        };
        let installed = store.install(snapshot, origin);
        self.0 = Some(store);
        Ok(installed?)
    }

    /// Moves the store out of this handle, which then has none.
    pub(super) fn take(&mut self) -> Self {
        Self(self.0.take())
    }

    fn usable(&self) -> Result<&Store, ChangeStoreError> {
        self.0.as_ref().ok_or(ChangeStoreError::Unavailable)
    }
}

fn replace_damaged(path: &Path) -> Result<Store, InstallError> {
    let aside = path.with_extension(format!("damaged-{}", wall_ms()));
    if path.exists() {
        std::fs::rename(path, &aside)?;
        warn!(file = %aside.display(), "damaged tenant store was moved aside");
    }
    Ok(Store::open(path)?.0)
}

fn failed(error: StoreError) -> ChangeStoreError {
    ChangeStoreError::Failed(error.into())
}

impl ChangeStore for StoreHandle {
    fn commit(
        &mut self,
        entry: &Entry,
        idempotent: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), ChangeStoreError> {
        let store = self.0.as_mut().ok_or(ChangeStoreError::Unavailable)?;
        store.commit(entry, idempotent).map_err(failed)
    }

    fn stored_response(&self, key: &str) -> Result<Option<IdempotentResponse>, ChangeStoreError> {
        let Some(store) = &self.0 else { return Ok(None) };
        store.idempotent_response(key).map_err(failed)
    }

    fn entries(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, ChangeStoreError> {
        self.usable()?.audit(after, limit, tenant).map_err(failed)
    }
}
