//! Writes a snapshot file beside the tenant store, which is used if the store turns out to be damaged. It is written
//! shortly after each change, and when the leader ends.

use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use nettleferry_admin::api::StoreIdentity;
use nettleferry_tenancy::{Revision, TenantSnapshot};
use nettleferry_tenant_store::{Origin, Snapshot};
use tracing::warn;

/// Delay from a change until the snapshot is written, so that several changes share one write.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Writes the snapshot file, and tracks when it is due.
pub(super) struct SnapshotWriter {
    path: PathBuf,
    /// The revision of the snapshot that was written last; `None` if the snapshot was replaced since.
    written: Option<Revision>,
    due: Option<Instant>,
}

impl SnapshotWriter {
    /// Creates a writer for this path. `revision` is the store's revision at the start, which is not written.
    pub(super) fn new(path: PathBuf, revision: Revision) -> Self {
        Self { path, written: Some(revision), due: None }
    }

    /// Schedules a write after a change, unless one is scheduled already.
    pub(super) fn schedule(&mut self) {
        self.due.get_or_insert_with(|| Instant::now() + MAX_DELAY);
    }

    /// Schedules an immediate write after the snapshot was replaced, even if the revision is the same.
    pub(super) fn schedule_now(&mut self) {
        self.written = None;
        self.due = Some(Instant::now());
    }

    /// The time until the scheduled write; `None` if none is scheduled.
    pub(super) fn time_left(&self) -> Option<Duration> {
        self.due.map(|due| due.saturating_duration_since(Instant::now()))
    }

    /// Whether a scheduled write is due.
    pub(super) fn is_due(&self) -> bool {
        self.due.is_some_and(|due| due <= Instant::now())
    }

    /// Writes the snapshot, unless this revision was written already. `owns_store`: whether the snapshot is the store's
    /// own; any other is not written, because it would replace the last good one.
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

/// The path of the snapshot file beside a store.
pub(super) fn snapshot_file(store: &Path) -> PathBuf {
    store.with_extension("snapshot")
}

#[cfg(test)]
mod tests;
