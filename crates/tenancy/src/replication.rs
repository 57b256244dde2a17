//! A book that follows another: what is asked next and when, and what an answer means. Entries are taken in
//! order, all of one or nothing; what does not follow on the book leads to a snapshot, never to a guess.

use crate::audit::Entry;
use crate::snapshot::TenantSnapshot;
use crate::{Millis, Revision};

/// First wait after a failure, milliseconds; it doubles.
pub const MIN_BACKOFF: Millis = 100;
/// Longest wait.
pub const MAX_BACKOFF: Millis = 10_000;

/// What is to be asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationRequest {
    /// All of it.
    Snapshot,
    /// What comes after this revision of this store; the answer may wait for it.
    Watch {
        /// The store: one that was restored is another, and its revisions mean something else.
        store: String,
        /// The revision.
        after: Revision,
    },
}

/// What came of it.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationResponse {
    /// All of it, of this store.
    Snapshot {
        /// The store.
        store: String,
        /// Its book.
        snapshot: TenantSnapshot,
    },
    /// Entries after the revision asked for, in order; none: nothing has changed.
    Entries(Vec<Entry>),
    /// The other is another store, does not have what comes after that revision any more, or has not come so far.
    Diverged,
    /// No answer, or one that is none.
    Failed,
}

/// What is to be put in force, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// A change.
    Changed(Box<Entry>),
    /// Everything: what is not in it is gone.
    Replaced(TenantSnapshot),
}

/// Waits after failures in a row: each up to twice as long as the one before, half of it by chance.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    random: u64,
}

impl Backoff {
    /// One that has not failed. `seed`: for the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, random: seed | 1 }
    }

    /// How often in a row it failed.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// It failed once more; how long to wait now.
    pub fn failed(&mut self) -> Millis {
        self.failures = self.failures.saturating_add(1);
        let most = MIN_BACKOFF.saturating_mul(1 << (self.failures - 1).min(16)).min(MAX_BACKOFF);
        // Xorshift: followers that lost the same peer come back apart.
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        most / 2 + self.random % (most / 2 + 1)
    }

    /// It succeeded.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// A book that follows.
#[derive(Clone, Debug)]
pub struct Follower {
    snapshot: TenantSnapshot,
    store: String,
    needs_snapshot: bool,
    backoff: Backoff,
    not_before: Millis,
}

impl Follower {
    /// Begins with the book of a store that was kept, where there is one. `seed`: for the jitter of waits.
    pub fn new(kept: Option<(String, TenantSnapshot)>, seed: u64) -> Self {
        let whole = kept.is_none();
        let (store, book) = kept.unwrap_or_default();
        Self { snapshot: book, store, needs_snapshot: whole, backoff: Backoff::new(seed), not_before: 0 }
    }

    /// The book as it stands.
    pub fn snapshot(&self) -> &TenantSnapshot {
        &self.snapshot
    }

    /// The store that it follows.
    pub fn store(&self) -> &str {
        &self.store
    }

    /// What is to be asked, and not before which time.
    pub fn next(&self) -> (ReplicationRequest, Millis) {
        if self.needs_snapshot {
            return (ReplicationRequest::Snapshot, self.not_before);
        }
        (
            ReplicationRequest::Watch { store: self.store.clone(), after: self.snapshot.revision() },
            self.not_before,
        )
    }

    /// How often in a row no answer came.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Takes an answer in; what is to be put in force is appended to `news`.
    pub fn response_received(&mut self, now: Millis, heard: ReplicationResponse, news: &mut Vec<Update>) {
        match heard {
            ReplicationResponse::Snapshot { store, snapshot: book } => {
                self.store = store;
                self.needs_snapshot = false;
                self.backoff.succeeded();
                if book != self.snapshot {
                    self.snapshot = book.clone();
                    news.push(Update::Replaced(book));
                }
            }
            ReplicationResponse::Entries(entries) => {
                self.backoff.succeeded();
                for entry in entries {
                    // One that was taken before says nothing new.
                    if entry.revision <= self.snapshot.revision() {
                        continue;
                    }
                    // An equal book gives an equal tenant: one that differs was changed by nobody we know.
                    let follows = entry.before.as_ref() == self.snapshot.get(&entry.tenant);
                    if !follows || self.snapshot.apply(&entry).is_err() {
                        self.needs_snapshot = true;
                        return;
                    }
                    news.push(Update::Changed(Box::new(entry)));
                }
            }
            ReplicationResponse::Diverged => {
                self.needs_snapshot = true;
                self.wait(now);
            }
            ReplicationResponse::Failed => self.wait(now),
        }
    }

    fn wait(&mut self, now: Millis) {
        self.not_before = now.saturating_add(self.backoff.failed());
    }
}
