//! What the API needs of its surroundings: a store for changes and the running controller, with the values that pass
//! between them.

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::problem::Problem;

/// What is kept of changes; errors are for people.
pub trait Keep {
    /// Keeps a change; durable when it returns.
    fn commit(&mut self, entry: &Entry, once: Option<(&str, &IdempotentResponse)>) -> Result<(), String>;
    /// The answer kept under a key.
    fn once(&self, key: &str) -> Result<Option<IdempotentResponse>, String>;
    /// Entries after a revision.
    fn audit(&self, after: Revision, most: usize, of: Option<&str>) -> Result<Vec<Entry>, String>;
}

/// What a tenant has in hand and what became of its calls, at one controller since its start.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Usage {
    /// Its name.
    pub tenant: String,
    /// Which tenant of that name.
    pub uid: Revision,
    /// Calls without a final answer.
    pub open_calls: u32,
    /// Of them, those that no worker has.
    pub held_calls: u32,
    /// Bytes of the models in use.
    pub loaded_memory_bytes: u64,
    /// Calls taken.
    pub admitted: u64,
    /// Calls turned away by admission.
    pub refused: u64,
    /// Open calls by class.
    pub open_by_class: std::collections::BTreeMap<String, u32>,
    /// Calls by their one final answer.
    pub ends: std::collections::BTreeMap<String, u64>,
}

/// A worker.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Worker {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// What the list says: on, draining, gone.
    pub listed: String,
    /// Drained by hand.
    pub drained: bool,
}

/// A controller and the revision it runs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// Its number.
    pub controller: u32,
    /// The revision that is in force there.
    pub revision: Revision,
    /// How long ago it said so.
    pub seen_ms_ago: u64,
}

/// The running controller, as far as it is known here.
pub trait Live {
    /// A tenant's calls.
    fn usage(&self, tenant: &Tenant) -> Usage;
    /// Workers by name.
    fn workers(&self) -> Vec<Worker>;
    /// Drains a worker by hand, or lets the list decide again. False: there is none of that name.
    fn drain(&mut self, worker: &str, drained: bool) -> bool;
    /// Controllers.
    fn controllers(&self) -> Vec<Running>;
    /// A controller that follows has told which book it holds. Error: it was shut out.
    fn follows(&mut self, controller: u32, holds: Holds) -> Result<(), Problem>;
    /// It is answered now with all that holds: how long it may act on that, in milliseconds, and its place among the
    /// lives of the fleet; `None`: no lease.
    fn lease(&mut self, controller: u32, life: u64) -> Option<(u64, u64)>;
    /// Shuts out the lives of a controller that are known, or lets them in again.
    fn fence(&mut self, controller: u32, out: bool) -> Value;
    /// Our clock: whose life it is of, and what it reads, in milliseconds.
    fn clock(&self) -> (u64, u64);
    /// What a controller could use of limits, as it reports; what it may use.
    fn loans(
        &mut self,
        book: &TenantSnapshot,
        controller: u32,
        life: u64,
        report: Value,
    ) -> Result<Value, Problem>;
    /// Lines of a controller's record, as it delivers them; what is held of it now.
    fn deliver(&mut self, controller: u32, lines: Vec<String>) -> Result<u64, Problem>;
    /// Records that were delivered: whose there are, or a page of one.
    fn records(&self, of: Option<&str>, from: u64, most: usize) -> Result<Value, Problem>;
    /// How far a change is: who holds it, who may still act without it.
    fn progress(&self, revision: Revision) -> Value;
    /// May the book be given and changed? Else why not, for people.
    fn serving(&self) -> Result<(), String>;
    /// What the fleet is known to run and hold.
    fn fleet(&self) -> Value;
    /// An operator's word on which book is to stand: `own`, this one, or a controller's number.
    fn recover(&mut self, own: &TenantSnapshot, take: &str, dry_run: bool) -> Result<Value, Problem>;
}

/// Which book a controller holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holds {
    /// The store; empty: it holds none.
    pub store: String,
    /// The store's epoch.
    pub epoch: u64,
    /// The revision.
    pub revision: Revision,
    /// The book's checksum.
    pub sum: u32,
    /// The controller's life: chosen by chance at its start; 0: an earlier version, which tells none.
    pub life: u64,
    /// Of that store and epoch: the revision that the thread of its calls acts on.
    pub in_force: Revision,
    /// The revision that is synced to its disk.
    pub kept: Revision,
    /// It takes no call without a lease.
    pub ends: bool,
    /// It has heard that it is shut out, and takes no call any more.
    pub ended: bool,
}
