//! The follower's snapshot on its disk, and as it is shown to peers.

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

/// A start waits at most this long for the file's disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(1);
/// Writes that wait to be durable; only the newest of many matters.
const MAX_PENDING_WRITES: usize = 64;
const MICROS_PER_MILLI: u64 = 1_000;

/// A write that is not known to be durable yet.
struct PendingWrite {
    number: u64,
    version: Version,
}

/// The snapshot's file and its shared copy.
pub(super) struct SnapshotStore {
    file: PersistedFile,
    shared: SharedSnapshot,
    pending: VecDeque<PendingWrite>,
    persisted: Version,
}

impl SnapshotStore {
    /// Opens the file, and reads and shares the snapshot that it holds; `written` is called after each write, on the
    /// writer's thread.
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

    /// The version that is durable.
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

    /// Shares and persists a snapshot, unless it was already: a new epoch alone makes it another.
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
                // Without a file nothing is ever durable: the leader must not count it as a copy.
                let Some(number) = self.file.write(text) else { return };
                // Where the disk stands still only the newest matters.
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
