//! The tenant snapshot that all followers of the process share. Each follower is at a revision of it and reports the
//! checksum that a real follower computes from its own copy.

use std::collections::BTreeMap;

use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::{Revision, TenantSnapshot};

use super::answer::{self, Snapshot};

/// Number of revisions whose checksums are retained. A follower that is further behind requests the snapshot.
const MAX_CHECKSUMS: usize = 4_096;

/// The tenants at the newest revision that any follower of the process has received, and the checksums of recent
/// revisions.
#[derive(Debug, Default)]
pub struct SharedSnapshot {
    store: String,
    epoch: u64,
    tenants: TenantSnapshot,
    checksums: BTreeMap<Revision, u32>,
}

impl SharedSnapshot {
    /// Returns the version of a revision; `None` if its checksum is not retained or the store or epoch differs.
    pub fn version(&self, store: &str, epoch: u64, revision: Revision) -> Option<SnapshotVersion> {
        let checksum = *self.checksums.get(&revision).filter(|_| self.is_same_history(store, epoch))?;
        Some(SnapshotVersion { store: store.to_owned(), epoch, revision, checksum })
    }

    /// Returns whether the shared snapshot has this store and epoch.
    fn is_same_history(&self, store: &str, epoch: u64) -> bool {
        self.store == store && self.epoch == epoch
    }

    /// Records a received snapshot. Its tenants are parsed only if it is newer than the shared one or has another store
    /// or epoch. Returns false if they can't be parsed.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, answer: &Answer) -> bool {
        let revision = snapshot.tenants.revision;
        let same_history = self.is_same_history(&snapshot.store, snapshot.epoch);
        if !same_history || self.checksums.is_empty() || revision > self.tenants.revision() {
            let Some(tenants) = answer::tenant_snapshot(answer) else { return false };
            if !same_history {
                self.checksums.clear();
            }
            (self.store, self.epoch) = (snapshot.store.clone(), snapshot.epoch);
            self.tenants = tenants;
        }
        self.add_checksum(revision, snapshot.checksum);
        true
    }

    /// Records a received page of changes up to revision `last`. Its entries are parsed only if one of them is new.
    /// Returns false if they can't be parsed or can't be applied to the shared snapshot.
    pub fn apply_page(&mut self, last: Revision, answer: &Answer) -> bool {
        if last <= self.tenants.revision() {
            return true;
        }
        let Some(entries) = answer::entries(answer) else { return false };
        for entry in entries {
            if entry.revision <= self.tenants.revision() {
                continue;
            }
            if self.tenants.apply(&entry).is_err() {
                return false;
            }
            self.add_checksum(entry.revision, self.tenants.checksum());
        }
        true
    }

    fn add_checksum(&mut self, revision: Revision, checksum: u32) {
        self.checksums.insert(revision, checksum);
        while self.checksums.len() > MAX_CHECKSUMS {
            self.checksums.pop_first();
        }
    }
}
