//! Writes the snapshot beside the tenant store, which serves where the store is damaged: a while after each change, and
//! at the end.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry_admin::api::StoreIdentity;
use nettleferry_tenancy::{Revision, TenantSnapshot};
use nettleferry_tenant_store::{Origin, Snapshot};
use tracing::warn;

/// The snapshot is written at most this long after a change.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// The writer.
pub(super) struct SnapshotWriter {
    path: PathBuf,
    /// The revision of the snapshot that was written last; `None`: it is of another store.
    written: Option<Revision>,
    due: Option<Instant>,
}

impl SnapshotWriter {
    /// Writes to this path; the store is at this revision now, which needs no snapshot.
    pub(super) fn new(path: PathBuf, revision: Revision) -> Self {
        Self { path, written: Some(revision), due: None }
    }

    /// There was a change.
    pub(super) fn schedule(&mut self) {
        self.due.get_or_insert_with(|| Instant::now() + MAX_DELAY);
    }

    /// The snapshot was replaced: it is due at once, whatever its revision.
    pub(super) fn schedule_now(&mut self) {
        self.written = None;
        self.due = Some(Instant::now());
    }

    /// How long until the snapshot is due; `None`: there is nothing to write.
    pub(super) fn time_left(&self) -> Option<Duration> {
        self.due.map(|due| due.saturating_duration_since(Instant::now()))
    }

    /// Whether the snapshot is due.
    pub(super) fn is_due(&self) -> bool {
        self.due.is_some_and(|due| due <= Instant::now())
    }

    /// Writes the snapshot, unless it was written already. `owns_store`: the snapshot is the store's own. Any other would
    /// replace the last good one.
    pub(super) fn write(&mut self, snapshot: &TenantSnapshot, identity: &StoreIdentity, owns_store: bool) {
        self.due = None;
        let revision = Some(snapshot.revision());
        if revision == self.written || !owns_store {
            return;
        }
        let origin = Origin { store: identity.name.clone(), epoch: identity.epoch };
        match Snapshot::from_tenants(snapshot, Some(origin)).write(&self.path) {
            Ok(()) => self.written = revision,
            Err(error) => warn!(%error, "snapshot beside the tenant store can't be written"),
        }
    }
}

/// The snapshot beside a store.
pub(super) fn snapshot_file(store: &Path) -> PathBuf {
    store.with_extension("snapshot")
}

#[cfg(test)]
mod tests;
