//! What the API needs of its surroundings: a store for changes and the running controller, with the values that pass
//! between them.

use std::collections::BTreeMap;
use std::error::Error;

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::problem::Problem;

/// Why a [`ChangeStore`] could not do what it was asked for.
#[derive(Debug, thiserror::Error)]
pub enum ChangeStoreError {
    /// The store is damaged, or of a later version: nothing can be read or written.
    #[error("the tenant store can't be used")]
    Unavailable,
    /// An operation on the store failed.
    #[error(transparent)]
    Failed(#[from] Box<dyn Error + Send + Sync>),
}

/// Where changes of tenants are committed, and read again.
pub trait ChangeStore {
    /// Writes a change, with the response to repeat for an idempotency key; durable when it returns.
    fn commit(
        &mut self,
        entry: &Entry,
        idempotent: Option<(&str, &IdempotentResponse)>,
    ) -> Result<(), ChangeStoreError>;
    /// The response that was stored under an idempotency key.
    fn stored_response(&self, key: &str) -> Result<Option<IdempotentResponse>, ChangeStoreError>;
    /// At most `limit` changes after a revision, in order; of one tenant, where one is named.
    fn entries(
        &self,
        after: Revision,
        limit: usize,
        tenant: Option<&str>,
    ) -> Result<Vec<Entry>, ChangeStoreError>;
}

/// Which tenant store it is: its name, which its restores keep, and its epoch, which each restore raises.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreIdentity {
    /// The store's own name.
    pub name: String,
    /// The store's epoch.
    pub epoch: u64,
}

/// A tenant's open calls, and the outcomes of its calls, at one controller since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// The tenant's name.
    pub tenant: String,
    /// Which tenant of that name.
    pub uid: Revision,
    /// Calls without a final answer.
    pub open_calls: u32,
    /// Of them, those that no worker has.
    pub held_calls: u32,
    /// Bytes of the models in use.
    pub loaded_memory_bytes: u64,
    /// Calls admitted.
    pub admitted: u64,
    /// Calls rejected by admission control.
    pub refused: u64,
    /// Open calls by class.
    pub open_by_class: BTreeMap<String, u32>,
    /// Calls by their one final answer.
    pub ends: BTreeMap<String, u64>,
}

/// A worker, as the API shows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// The address that the controller connects to.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Its state in the worker list: on, draining or gone.
    pub listed: String,
    /// Whether an operator has drained it by hand.
    pub drained: bool,
}

/// A controller and the revision that it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControllerRevision {
    /// Its number.
    pub controller: u32,
    /// The revision that is in force there.
    pub revision: Revision,
    /// Milliseconds since it reported this.
    pub seen_ms_ago: u64,
}

/// Which snapshot a controller has, as it reports with each request for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ControllerState {
    /// The store that the snapshot is of; empty: it has none.
    pub store: String,
    /// The store's epoch.
    pub epoch: u64,
    /// The snapshot's revision.
    pub revision: Revision,
    /// The snapshot's CRC-32.
    pub checksum: u32,
    /// The controller's incarnation, a random number chosen at its start; 0: an earlier version, which reports none.
    pub incarnation: u64,
    /// The revision that its call thread acts on, of that store and epoch.
    pub in_force: Revision,
    /// The revision that is synced to its disk.
    pub persisted: Revision,
    /// Whether it accepts no calls without a lease.
    pub requires_lease: bool,
    /// Whether it knows that it is fenced, and accepts no calls any more.
    pub stopped: bool,
}

/// A lease on the snapshot that the response brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// How long the controller may act on the snapshot, in milliseconds.
    pub duration_ms: u64,
    /// Its incarnation's fencing token.
    pub fencing_token: u64,
}

/// A reading of the administration's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The administration's incarnation, whose clock it is.
    pub incarnation: u64,
    /// Milliseconds on that clock.
    pub at_ms: u64,
}

/// Why no snapshot may be given or changed: the fleet has not agreed yet on the one that counts.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the fleet has not agreed on a snapshot yet ({cause}; {responded} controllers have responded, {expected} are expected): see GET /v1/fleet"
)]
pub struct RecoveryPending {
    /// A word for the cause: damaged, empty, behind or disagreed.
    pub cause: &'static str,
    /// Controllers whose snapshot is known.
    pub responded: usize,
    /// Controllers whose snapshot must be known.
    pub expected: usize,
}

/// What the API asks the running controller and its administration.
pub trait Runtime {
    /// A tenant's usage.
    fn usage(&self, tenant: &Tenant) -> Usage;
    /// Workers by name.
    fn workers(&self) -> Vec<Worker>;
    /// Drains a worker by hand, or lets the worker list decide again. False: there is none of that name.
    fn set_drained(&mut self, worker: &str, drained: bool) -> bool;
    /// Controllers by number.
    fn controllers(&self) -> Vec<ControllerRevision>;
    /// A follower's request has come, with its state: to be called once for each request.
    ///
    /// # Errors
    /// A problem where the state is impossible, or as for [`Runtime::check_member`].
    fn record_state(&mut self, controller: u32, state: ControllerState) -> Result<(), Problem>;
    /// Whether a follower's request, whose state was recorded, may still be answered.
    ///
    /// # Errors
    /// A problem where its incarnation is fenced, or has ended.
    fn check_member(&self, controller: u32, incarnation: u64) -> Result<(), Problem>;
    /// Grants a lease to a follower that gets the newest snapshot with this response; `None`: it gets no lease.
    fn grant_lease(&mut self, controller: u32, incarnation: u64) -> Option<LeaseGrant>;
    /// Fences the known incarnations of a controller, or admits them again.
    fn set_fenced(&mut self, controller: u32, fenced: bool) -> Value;
    /// The administration's clock, now.
    fn read_clock(&self) -> ClockReading;
    /// Lends shares of limits to a controller by the demand that it reports.
    ///
    /// # Errors
    /// A problem where loans are off, the report is malformed, or the incarnation has no lease.
    fn grant_loans(
        &mut self,
        snapshot: &TenantSnapshot,
        controller: u32,
        incarnation: u64,
        report: Value,
    ) -> Result<Value, Problem>;
    /// Appends entries of a controller's audit log; the number of the last one that is stored.
    ///
    /// # Errors
    /// A problem where audit logs are not collected here.
    fn append_audit_entries(&mut self, controller: u32, entries: Vec<String>) -> Result<u64, Problem>;
    /// The collected audit logs: whose there are, or at most `limit` entries of one.
    ///
    /// # Errors
    /// A problem where there is none of that controller.
    fn audit_logs(&self, of: Option<&str>, from: u64, limit: usize) -> Result<Value, Problem>;
    /// How far a change has come: who has it, and who may still act without it.
    fn change_progress(&self, revision: Revision) -> Value;
    /// Whether the snapshot may be given and changed.
    ///
    /// # Errors
    /// Why not.
    fn check_serving(&self) -> Result<(), RecoveryPending>;
    /// The state of the fleet, as far as it is known.
    fn fleet_status(&self) -> Value;
    /// An operator decides which snapshot counts: `own`, which is this one, or that of a controller's number.
    ///
    /// # Errors
    /// A problem where there is no such snapshot.
    fn recover(&mut self, own: &TenantSnapshot, take: &str, dry_run: bool) -> Result<Value, Problem>;
}
