//! The interfaces that the API needs, a store of changes and the running controller, with the types that they use.

use std::collections::BTreeMap;
use std::error::Error;

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::problem::Problem;

/// Why an operation of a [`ChangeStore`] failed.
#[derive(Debug, thiserror::Error)]
pub enum ChangeStoreError {
    /// The store is damaged or has a newer format, so that nothing can be read or written.
    #[error("the tenant store can't be used")]
    Unavailable,
    /// An operation on the store failed.
    #[error(transparent)]
    Failed(#[from] Box<dyn Error + Send + Sync>),
}

/// The durable store of tenant changes.
pub trait ChangeStore {
    /// Commits a change together with the response to store under an idempotency key, if there is one. Both are durable
    /// once this has returned.
    fn commit(
        &mut self,
        entry: &Entry,
        idempotent: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), ChangeStoreError>;
    /// The response that is stored under an idempotency key; `None` for an unknown key.
    fn stored_response(&self, key: &str) -> Result<Option<IdempotentResponse>, ChangeStoreError>;
    /// At most `limit` changes after a revision, in order, optionally of one tenant only.
    fn entries(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, ChangeStoreError>;
}

/// The identity of a tenant store. A restore keeps the name and increases the epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    /// The store's name, a random identifier.
    pub name: String,
    /// The number of the store's epoch, which a restore increases.
    pub epoch: u64,
}

/// A tenant's use of one controller: open calls now, and counts of calls since the controller's start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The name of the tenant.
    pub tenant: String,
    /// The tenant's uid, which distinguishes tenants of the same name.
    pub uid: Revision,
    /// Calls without a final answer.
    pub open_calls: u32,
    /// Open calls that are not assigned to a worker.
    pub held_calls: u32,
    /// Memory of the models in use, in bytes.
    pub loaded_memory_bytes: u64,
    /// Calls admitted since the controller's start.
    pub admitted: u64,
    /// Calls rejected by admission control since the controller's start.
    pub refused: u64,
    /// Open calls by class.
    pub open_by_class: BTreeMap<String, u32>,
    /// Calls ended since the controller's start, by final answer.
    pub ends: BTreeMap<String, u64>,
}

/// A worker that the controller knows.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// The worker's name.
    pub name: String,
    /// The address that the controller connects to.
    pub address: String,
    /// The worker's zone.
    pub zone: String,
    /// The worker's state in the worker list: `on`, `draining` or `gone`.
    pub listed: String,
    /// Whether an operator has drained the worker by hand.
    pub drained: bool,
}

/// A controller and the revision that is in force at it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRevision {
    /// The controller's number.
    pub controller: u32,
    /// The revision that is in force at the controller.
    pub revision: Revision,
    /// Milliseconds since the controller reported the revision.
    pub seen_ms_ago: u64,
}

/// The state that a controller reports with each of its requests for the snapshot or for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerState {
    /// The name of the store that the controller's snapshot is of; empty if the controller has no snapshot.
    pub store: String,
    /// The epoch of that store.
    pub epoch: u64,
    /// The revision of the controller's snapshot.
    pub revision: Revision,
    /// The CRC-32 of the controller's snapshot.
    pub checksum: u32,
    /// The controller's incarnation, a random number chosen at its start; 0 for earlier versions, which report none.
    pub incarnation: u64,
    /// The revision that the controller's call thread acts on, of the same store and epoch.
    pub in_force: Revision,
    /// The revision that is synced to the controller's disk.
    pub persisted: Revision,
    /// Whether the controller rejects calls while it has no lease.
    pub requires_lease: bool,
    /// Whether the controller knows that it is fenced and has stopped accepting calls.
    pub stopped: bool,
}

/// A lease on the snapshot that the follower has after this response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The time for which the follower may act on the snapshot, in milliseconds.
    pub duration_ms: u64,
    /// The fencing token of the follower's incarnation; later incarnations have higher ones.
    pub fencing_token: u64,
}

/// A reading of the administration's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The incarnation of the administration whose clock this is. Each incarnation has a clock of its own.
    pub incarnation: u64,
    /// The reading of that clock, in milliseconds.
    pub at_ms: u64,
}

/// The error while the fleet has not agreed on the authoritative snapshot: none may be returned or changed until then.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the fleet has not agreed on a snapshot yet ({cause}; {responded} controllers have responded, {expected} are expected): see GET /v1/fleet"
)]
pub struct RecoveryPending {
    /// The cause: `damaged`, `empty`, `behind` or `disagreed`.
    pub cause: &'static str,
    /// Number of controllers whose snapshot is known.
    pub responded: usize,
    /// Number of controllers whose snapshot must be known.
    pub expected: usize,
}

/// The running controller and its administration, as the API uses them. JSON values are response bodies.
pub trait Runtime {
    /// A tenant's usage of this controller.
    fn usage(&self, tenant: &Tenant) -> Usage;
    /// All workers that the controller knows, by name.
    fn workers(&self) -> Vec<Worker>;
    /// Drains a worker by hand, or ends such a drain so that the worker list determines its state again. Returns false
    /// if no worker has this name.
    fn set_drained(&mut self, worker: &str, drained: bool) -> bool;
    /// All known controllers, by number.
    fn controllers(&self) -> Vec<ControllerRevision>;
    /// Records the state that a follower reports with a request. To be called once for each request.
    ///
    /// # Errors
    /// Returns a problem if the state is impossible, and for the reasons of [`Runtime::check_member`].
    fn record_state(&mut self, controller: u32, state: ControllerState) -> Result<(), Problem>;
    /// Checks that an incarnation of a follower may still get changes and leases.
    ///
    /// # Errors
    /// Returns a problem if the incarnation is fenced or has ended.
    fn check_member(&self, controller: u32, incarnation: u64) -> Result<(), Problem>;
    /// Grants a lease to a follower that has the newest snapshot after this response; `None` if it gets no lease.
    fn grant_lease(&mut self, controller: u32, incarnation: u64) -> Option<LeaseGrant>;
    /// Fences the known incarnations of a controller, or admits fenced ones again.
    fn set_fenced(&mut self, controller: u32, fenced: bool) -> Value;
    /// The current reading of the administration's clock.
    fn read_clock(&self) -> ClockReading;
    /// Lends shares of limits to a controller, according to the demand that it reports.
    ///
    /// # Errors
    /// Returns a problem if loans are disabled, the report is malformed, or the incarnation has no lease.
    fn grant_loans(
        &mut self,
        snapshot: &TenantSnapshot,
        controller: u32,
        incarnation: u64,
        report: Value,
    ) -> Result<Value, Problem>;
    /// Appends entries to the collected audit log of a controller. Returns the number of the last entry that is stored.
    ///
    /// # Errors
    /// Returns a problem if audit logs are not collected here.
    fn append_audit_entries(&mut self, controller: u32, entries: Vec<String>) -> Result<u64, Problem>;
    /// Without an owner, a list of the collected audit logs. With one, at most `limit` entries of the owner's log from
    /// the index `from` on.
    ///
    /// # Errors
    /// Returns a problem if no log of this owner was collected.
    fn audit_logs(&self, owner: Option<&str>, from: u64, limit: usize) -> Result<Value, Problem>;
    /// The progress of a change: how many controllers have persisted it, and which ones may still act without it.
    fn change_progress(&self, revision: Revision) -> Value;
    /// Checks that the snapshot may be returned and changed.
    ///
    /// # Errors
    /// Returns an error while the fleet has not agreed on a snapshot.
    fn check_serving(&self) -> Result<(), RecoveryPending>;
    /// The state of the fleet, as far as this controller knows it.
    fn fleet_status(&self) -> Value;
    /// Makes the snapshot that an operator chose the authoritative one. `choice` is `own` for this controller's
    /// snapshot, or the number of another controller. A dry run only returns the differences.
    ///
    /// # Errors
    /// Returns a problem if the choice is invalid or there is no such snapshot.
    fn recover(&mut self, own: &TenantSnapshot, choice: &str, dry_run: bool) -> Result<Value, Problem>;
}
