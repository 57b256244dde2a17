//! A snapshot that follows another controller's: what is requested next and when, and what a response means. Entries
//! are applied in order, each completely or not at all; an entry that does not follow on the snapshot leads to a
//! request for all of it, never to a guess. Sending the requests is left to the caller.

use crate::audit::Entry;
use crate::snapshot::TenantSnapshot;
use crate::{Millis, Revision};

/// Upper bound of the first wait after a failure, milliseconds; doubled with each further one.
pub const MIN_BACKOFF: Millis = 100;
/// Longest wait, milliseconds.
pub const MAX_BACKOFF: Millis = 10_000;

/// What is to be requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationRequest {
    /// The complete snapshot.
    Snapshot,
    /// The entries after a revision; the response may wait for one.
    Watch {
        /// The store: one that was restored is another, and its revisions mean something else.
        store: String,
        /// The revision.
        after: Revision,
    },
}

/// What came of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationResponse {
    /// The complete snapshot.
    Snapshot {
        /// The store that it is of.
        store: String,
        /// All tenants.
        snapshot: TenantSnapshot,
    },
    /// The entries after the requested revision, in order; none: nothing has changed.
    Entries(Vec<Entry>),
    /// The other is another store, has deleted what comes after that revision, or has not come so far.
    Diverged,
    /// There was no response, or none that can be read.
    Failed,
}

/// What is to be put in force, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// One change.
    Changed(Box<Entry>),
    /// All tenants: those that are not in it are gone.
    Replaced(TenantSnapshot),
}

/// Waits after failures in a row: the bound doubles, and half of a wait is random.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    random: u64,
}

impl Backoff {
    /// Without a failure. `seed`: for the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, random: seed | 1 }
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts one more failure; how long to wait now.
    pub fn failed(&mut self) -> Millis {
        self.failures = self.failures.saturating_add(1);
        let bound = MIN_BACKOFF.saturating_mul(1 << (self.failures - 1).min(16)).min(MAX_BACKOFF);
        bound / 2 + self.next_random() % (bound / 2 + 1)
    }

    /// Xorshift: followers that lost the same peer retry at different times.
    fn next_random(&mut self) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random
    }

    /// Ends the row of failures.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }
}

/// A snapshot that follows another.
#[derive(Clone, Debug)]
pub struct Follower {
    snapshot: TenantSnapshot,
    store: String,
    /// The next request is for the complete snapshot.
    needs_snapshot: bool,
    backoff: Backoff,
    not_before: Millis,
}

impl Follower {
    /// Begins with the persisted snapshot of a store, where there is one. `seed`: for the jitter of waits.
    pub fn new(persisted: Option<(String, TenantSnapshot)>, seed: u64) -> Self {
        let needs_snapshot = persisted.is_none();
        let (store, snapshot) = persisted.unwrap_or_default();
        Self { snapshot, store, needs_snapshot, backoff: Backoff::new(seed), not_before: 0 }
    }

    /// The snapshot as far as it has followed.
    pub fn snapshot(&self) -> &TenantSnapshot {
        &self.snapshot
    }

    /// The store that it follows.
    pub fn store(&self) -> &str {
        &self.store
    }

    /// The next request, and the time before which it is not to be sent.
    pub fn next(&self) -> (ReplicationRequest, Millis) {
        if self.needs_snapshot {
            return (ReplicationRequest::Snapshot, self.not_before);
        }
        let request =
            ReplicationRequest::Watch { store: self.store.clone(), after: self.snapshot.revision() };
        (request, self.not_before)
    }

    /// Failures in a row.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Takes in a response; what is to be put in force is appended to `updates`.
    pub fn response_received(
        &mut self,
        now: Millis,
        response: ReplicationResponse,
        updates: &mut Vec<Update>,
    ) {
        match response {
            ReplicationResponse::Snapshot { store, snapshot } => {
                self.store = store;
                self.needs_snapshot = false;
                self.backoff.succeeded();
                if snapshot != self.snapshot {
                    self.snapshot = snapshot.clone();
                    updates.push(Update::Replaced(snapshot));
                }
            }
            ReplicationResponse::Entries(entries) => {
                self.backoff.succeeded();
                self.apply(entries, updates);
            }
            ReplicationResponse::Diverged => {
                self.needs_snapshot = true;
                self.wait(now);
            }
            ReplicationResponse::Failed => self.wait(now),
        }
    }

    /// Applies entries up to the first that does not follow on the snapshot.
    fn apply(&mut self, entries: Vec<Entry>, updates: &mut Vec<Update>) {
        for entry in entries {
            // One that was applied before brings nothing new.
            if entry.revision <= self.snapshot.revision() {
                continue;
            }
            // Equal snapshots have equal tenants: one that differs was changed by something else.
            let follows = entry.before.as_ref() == self.snapshot.get(&entry.tenant);
            if !follows || self.snapshot.apply(&entry).is_err() {
                self.needs_snapshot = true;
                return;
            }
            updates.push(Update::Changed(Box::new(entry)));
        }
    }

    fn wait(&mut self, now: Millis) {
        self.not_before = now.saturating_add(self.backoff.failed());
    }
}
