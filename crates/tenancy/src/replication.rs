//! Replication of the tenant snapshot of another controller: which request is sent next and when, and how a response
//! changes the replica. Entries are applied in order, each completely or not at all. If an entry does not follow the
//! replica's revision, the complete snapshot is requested. The caller sends the requests.

use crate::audit::Entry;
use crate::snapshot::TenantSnapshot;
use crate::{Millis, Revision};

/// Upper bound of the delay after the first failure, in milliseconds. The bound doubles with each further
/// failure.
pub const INITIAL_BACKOFF: Millis = 100;
/// Maximum delay after a failure, in milliseconds.
pub const MAX_BACKOFF: Millis = 10_000;

/// A request to the other controller, whose snapshot is replicated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReplicationRequest {
    /// Requests the complete snapshot.
    Snapshot,
    /// Requests the entries after a revision. The other controller may delay the response until there are
    /// any.
    Watch {
        /// Name of the store that the revision belongs to. Revisions of different stores can't be compared,
        /// and a store that is created anew gets another name.
        store: String,
        /// Revision of the replica.
        after: Revision,
    },
}

/// The result of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicationResponse {
    /// The complete snapshot.
    Snapshot {
        /// Name of the store that the snapshot belongs to.
        store: String,
        /// All tenants.
        snapshot: TenantSnapshot,
    },
    /// The entries after the requested revision, in order. An empty list means that nothing has changed.
    Entries(Vec<Entry>),
    /// The other controller can't send the entries: it has another store, no longer has them, or is at an
    /// earlier revision.
    Diverged,
    /// No response was received, or an invalid one.
    Failed,
}

/// A change of the replica. The caller applies the changes to its own state in the same order.
#[derive(Clone, Debug, PartialEq)]
pub enum Update {
    /// One tenant changed.
    Changed(Box<Entry>),
    /// All tenants were replaced. Tenants that are not in the snapshot are removed.
    Replaced(TenantSnapshot),
}

/// Exponential backoff: the bound of the delay doubles with each consecutive failure, and half of a delay is random.
#[derive(Clone, Debug)]
pub struct Backoff {
    failures: u32,
    /// State of the random number generator; never 0.
    random_state: u64,
}

impl Backoff {
    /// Creates a backoff without failures. `seed` determines the jitter.
    pub fn new(seed: u64) -> Self {
        Self { failures: 0, random_state: seed | 1 }
    }

    /// Returns the number of consecutive failures.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Counts a failure and returns the delay before the next attempt, in milliseconds.
    pub fn next_delay(&mut self) -> Millis {
        self.failures = self.failures.saturating_add(1);
        let bound = INITIAL_BACKOFF.saturating_mul(1 << (self.failures - 1).min(16)).min(MAX_BACKOFF);
        bound / 2 + self.next_random() % (bound / 2 + 1)
    }

    /// Xorshift generator. The jitter spreads the retries of followers that lost the same peer.
    fn next_random(&mut self) -> u64 {
        self.random_state ^= self.random_state << 13;
        self.random_state ^= self.random_state >> 7;
        self.random_state ^= self.random_state << 17;
        self.random_state
    }

    /// Resets the number of consecutive failures.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}

/// A replica of the tenant snapshot of another controller.
#[derive(Clone, Debug)]
pub struct Follower {
    snapshot: TenantSnapshot,
    store: String,
    /// Whether the next request is for the complete snapshot.
    needs_snapshot: bool,
    backoff: Backoff,
    /// Earliest time of the next request.
    not_before: Millis,
}

impl Follower {
    /// Creates a replica from a persisted snapshot and the name of its store, or an empty one. `seed` determines the
    /// jitter of the backoff.
    pub fn new(persisted: Option<(String, TenantSnapshot)>, seed: u64) -> Self {
        let needs_snapshot = persisted.is_none();
        let (store, snapshot) = persisted.unwrap_or_default();
        Self { snapshot, store, needs_snapshot, backoff: Backoff::new(seed), not_before: 0 }
    }

    /// Returns the replica with all entries received so far applied.
    pub fn snapshot(&self) -> &TenantSnapshot {
        &self.snapshot
    }

    /// Returns the name of the store that is replicated; empty before the first snapshot.
    pub fn store(&self) -> &str {
        &self.store
    }

    /// Returns the next request and the earliest time at which to send it.
    pub fn next(&self) -> (ReplicationRequest, Millis) {
        if self.needs_snapshot {
            return (ReplicationRequest::Snapshot, self.not_before);
        }
        let request =
            ReplicationRequest::Watch { store: self.store.clone(), after: self.snapshot.revision() };
        (request, self.not_before)
    }

    /// Returns the number of consecutive requests that failed or showed that the replica has diverged.
    pub fn failures(&self) -> u32 {
        self.backoff.failures()
    }

    /// Applies a response to the replica and appends the resulting changes to `updates`.
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
                self.backoff.reset();
                if snapshot != self.snapshot {
                    self.snapshot = snapshot.clone();
                    updates.push(Update::Replaced(snapshot));
                }
            }
            ReplicationResponse::Entries(entries) => {
                self.backoff.reset();
                self.apply(entries, updates);
            }
            ReplicationResponse::Diverged => {
                self.needs_snapshot = true;
                self.back_off(now);
            }
            ReplicationResponse::Failed => self.back_off(now),
        }
    }

    /// Applies entries up to the first that does not follow the replica's revision.
    fn apply(&mut self, entries: Vec<Entry>, updates: &mut Vec<Update>) {
        for entry in entries {
            // A repeated or late response contains entries that were applied before.
            if entry.revision <= self.snapshot.revision() {
                continue;
            }
            // A tenant that differs from the entry's `before` shows that the replica has diverged.
            let follows = entry.before.as_ref() == self.snapshot.get(&entry.tenant);
            if !follows || self.snapshot.apply(&entry).is_err() {
                self.needs_snapshot = true;
                return;
            }
            updates.push(Update::Changed(Box::new(entry)));
        }
    }

    fn back_off(&mut self, now: Millis) {
        self.not_before = now.saturating_add(self.backoff.next_delay());
    }
}
