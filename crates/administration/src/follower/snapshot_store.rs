//! The follower's snapshot file, and the copy of the snapshot that is served to peers.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use nettleferry_fleet::membership::Version;
use nettleferry_fleet::recovery_policy::PersistedState;
use nettleferry_net::clock;
use nettleferry_tenancy::TenantSnapshot;
use tracing::warn;

use crate::persisted_file::PersistedFile;
use crate::snapshot_document::{SharedSnapshot, SnapshotDocument};

/// Maximum time that a start waits for the snapshot file to be read.
const DISK_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of tracked writes that are not durable yet; when it is reached, a new write replaces the newest one.
const MAX_PENDING_WRITES: usize = 64;
const MICROS_PER_MILLI: u64 = 1_000;

/// A write that is not known to be durable yet.
struct PendingWrite {
    number: u64,
    version: Version,
}

/// The snapshot's file and the copy that is shared with the snapshot listener.
pub(super) struct SnapshotStore {
    file: PersistedFile,
    shared: SharedSnapshot,
    pending: VecDeque<PendingWrite>,
    persisted: Version,
}

impl SnapshotStore {
    /// Opens the file, and reads, shares and returns the snapshot that it holds, if there is one. `written` is called
    /// on the writer's thread after each write.
    pub(super) fn open(
        file: PathBuf,
        shared: SharedSnapshot,
        written: impl Fn() + Send + 'static,
    ) -> (Self, Option<SnapshotDocument>) {
        let mut file = PersistedFile::open_with_callback(file, "tenant snapshot", DISK_TIMEOUT, written);
        let document = read(&mut file);
        *shared.lock().unwrap_or_else(PoisonError::into_inner) = document.clone().map(Arc::new);
        let persisted = document.as_ref().map(version).unwrap_or_default();
        (Self { file, shared, pending: VecDeque::new(), persisted }, document)
    }

    /// The version of the last snapshot that is durable on disk.
    pub(super) fn persisted(&mut self) -> Version {
        let durable = self.file.durable();
        while let Some(write) = self.pending.front()
            && write.number <= durable
        {
            self.persisted = write.version;
            self.pending.pop_front();
        }
        self.persisted
    }

    /// Shares and persists a snapshot, unless it has the store, epoch and revision of the one that is shared already.
    pub(super) fn publish(&mut self, store: &str, epoch: u64, snapshot: &TenantSnapshot) {
        let mut shared = self.shared.lock().unwrap_or_else(PoisonError::into_inner);
        let is_same = |document: &Arc<SnapshotDocument>| {
            document.epoch == epoch
                && document.store == store
                && document.snapshot.revision() == snapshot.revision()
        };
        if shared.as_ref().is_some_and(is_same) {
            return;
        }
        let snapshot = snapshot.clone();
        let document = SnapshotDocument { controller: None, store: store.to_owned(), epoch, snapshot };
        let document = Arc::new(document);
        *shared = Some(Arc::clone(&document));
        drop(shared);
        self.persist(&document);
    }

    fn persist(&mut self, document: &SnapshotDocument) {
        match serde_json::to_vec(document) {
            Ok(text) => {
                // Without a file nothing becomes durable, and the leader must not count this follower's copy.
                let Some(number) = self.file.write(text) else { return };
                // While the disk does not respond, only the newest write needs to be tracked.
                if self.pending.len() >= MAX_PENDING_WRITES {
                    self.pending.pop_back();
                }
                self.pending.push_back(PendingWrite { number, version: version(document) });
            }
            Err(error) => warn!(%error, "tenant snapshot can't be encoded and is not persisted"),
        }
    }
}

fn version(document: &SnapshotDocument) -> Version {
    Version { epoch: document.epoch, revision: document.snapshot.revision() }
}

fn read(file: &mut PersistedFile) -> Option<SnapshotDocument> {
    let now_ms = clock::wall() / MICROS_PER_MILLI;
    let payload = file.read_trusted(PersistedState::Snapshot, now_ms, |_| None)?;
    serde_json::from_slice(&payload).inspect_err(|error| file.log_invalid(error)).ok()
}

#[cfg(test)]
mod tests;
