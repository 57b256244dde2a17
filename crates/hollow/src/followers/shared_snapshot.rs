//! The one book of a process: each follower holds a revision of it, and tells the checksum that a real follower
//! makes from its own copy.

use std::collections::BTreeMap;

use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_net::http1_client::Answer;
use nettleferry_tenancy::{Revision, TenantSnapshot};

use super::answer::{self, Snapshot};

/// Checksums of so many revisions are kept; a follower further behind takes the snapshot.
const MOST_SUMS: usize = 4_096;

/// The newest book that any follower of the process was given.
#[derive(Debug, Default)]
pub struct SharedSnapshot {
    store: String,
    epoch: u64,
    book: TenantSnapshot,
    sums: BTreeMap<Revision, u32>,
}

impl SharedSnapshot {
    /// The stamp of a revision; `None`: it is not known here any more.
    pub fn version(&self, store: &str, epoch: u64, revision: Revision) -> Option<SnapshotVersion> {
        let sum = *self.sums.get(&revision).filter(|_| self.is(store, epoch))?;
        Some(SnapshotVersion { store: store.to_owned(), epoch, revision, checksum: sum })
    }

    fn is(&self, store: &str, epoch: u64) -> bool {
        self.store == store && self.epoch == epoch
    }

    /// A snapshot came. Only one that is newer is read whole. False: it can't be read.
    pub fn apply_snapshot(&mut self, snapshot: &Snapshot, answer: &Answer) -> bool {
        let revision = snapshot.tenants.revision;
        let same = self.is(&snapshot.store, snapshot.epoch);
        if !same || self.sums.is_empty() || revision > self.book.revision() {
            let Some(book) = answer::tenant_snapshot(answer) else { return false };
            if !same {
                self.sums.clear();
            }
            (self.store, self.epoch) = (snapshot.store.clone(), snapshot.epoch);
            self.book = book;
        }
        self.keep(revision, snapshot.checksum);
        true
    }

    /// A page of changes came, up to this revision. Only one with a new change is read whole. False: it does not
    /// follow on the book.
    pub fn apply_page(&mut self, last: Revision, answer: &Answer) -> bool {
        if last <= self.book.revision() {
            return true;
        }
        let Some(entries) = answer::entries(answer) else { return false };
        for entry in entries {
            if entry.revision <= self.book.revision() {
                continue;
            }
            if self.book.apply(&entry).is_err() {
                return false;
            }
            self.keep(entry.revision, self.book.checksum());
        }
        true
    }

    fn keep(&mut self, revision: Revision, sum: u32) {
        self.sums.insert(revision, sum);
        while self.sums.len() > MOST_SUMS {
            self.sums.pop_first();
        }
    }
}
