//! The administration's tenants at this controller: their numbers for the engine, admission of their calls, and the
//! changes that the administration sends. Decides nothing: limits are judged by `nettleferry-admission`.
//!
//! * `local_tenant`: one tenant. `policy`: this controller's share of its limits. `borrowed`: loans of limits.
//! * `rejection`: why a call is rejected, as a front says it.

mod borrowed;
mod local_tenant;
mod policy;
mod rejection;

use std::collections::{BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

use nettleferry::{Micros, TenantId};
use nettleferry_admin::api::Usage;
use nettleferry_administration::{LimitDemand, LoanGrant, MAX_DEMANDS};
use nettleferry_admission::{Admission, CallRequest, RejectReason, Verdict};
use nettleferry_engine::{Phase, Step};
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_tenancy::{Entry, Revision, Tenant, TenantSnapshot};
use slab::Slab;

use borrowed::BorrowedLimits;
use local_tenant::LocalTenant;
pub(crate) use rejection::CallRejection;

/// Demands are measured at most this often.
const DEMAND_INTERVAL: Micros = 400_000;
/// A smaller demand, without a loan, is not reported.
const MIN_DEMAND: f64 = 0.01;

/// A call that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantCall<'a> {
    /// The front's number of the call.
    pub(crate) call_number: u64,
    /// The tenant that it names.
    pub(crate) tenant: Option<&'a str>,
    /// The number of its class.
    pub(crate) class: usize,
    /// The model that it calls.
    pub(crate) model: &'a str,
    /// Bytes that the model needs, where they are known.
    pub(crate) memory_bytes: Option<u64>,
}

/// An open call of a tenant.
struct OpenCall {
    slot: usize,
    class: usize,
    model: u64,
}

/// The classes of calls.
struct Classes {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

/// The tenants.
pub(crate) struct Tenants {
    /// The number of the first tenant: those of the settings come before.
    first_id: usize,
    classes: Classes,
    /// Calls that name no tenant are admitted.
    allow_anonymous: bool,
    borrowed: BorrowedLimits,
    demands_measured_at: Micros,
    tenants: Slab<LocalTenant>,
    slots_by_name: HashMap<Arc<str>, usize>,
    admission: Admission,
    open_calls: HashMap<u64, OpenCall>,
    /// Slots whose usage has changed since it was published, and uids of tenants that were removed since.
    changed: BTreeSet<usize>,
    removed: Vec<Revision>,
    revision: Revision,
    /// There is no snapshot yet: which tenants there are is not known.
    without_snapshot: bool,
    /// The snapshot is known to lack changes that other controllers have or had.
    snapshot_behind: bool,
    /// Rejected calls, by reason in the order of [`RejectReason::ALL`].
    rejections: [u64; RejectReason::ALL.len()],
}

impl Tenants {
    /// No tenants yet. `classes`: the names of classes, by number; `queue_length`: calls that wait at most.
    pub(crate) fn new(
        first_id: usize,
        classes: &[String],
        allow_anonymous: bool,
        queue_length: u32,
        loans: LoanConfig,
    ) -> Self {
        let numbers = classes.iter().cloned().enumerate().map(|(number, name)| (name, number)).collect();
        Self {
            first_id,
            classes: Classes { numbers, names: classes.to_vec() },
            allow_anonymous,
            borrowed: BorrowedLimits::new(loans),
            demands_measured_at: 0,
            tenants: Slab::new(),
            slots_by_name: HashMap::new(),
            admission: Admission::new(queue_length),
            open_calls: HashMap::new(),
            changed: BTreeSet::new(),
            removed: Vec::new(),
            revision: 0,
            without_snapshot: false,
            snapshot_behind: false,
            rejections: Default::default(),
        }
    }

    fn id(&self, slot: usize) -> TenantId {
        TenantId(self.first_id + slot)
    }

    fn slot(&self, tenant: TenantId) -> Option<usize> {
        tenant.0.checked_sub(self.first_id).filter(|slot| self.tenants.contains(*slot))
    }

    /// A tenant's name, until it is forgotten.
    pub(crate) fn name(&self, tenant: TenantId) -> Option<&Arc<str>> {
        self.slot(tenant).map(|slot| &self.tenants[slot].name)
    }

    /// The revision in force.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// There is no snapshot: until there is one, calls are rejected, and not denied.
    pub(crate) fn set_without_snapshot(&mut self) {
        self.without_snapshot = true;
    }

    /// Whether the snapshot is known to lack changes that other controllers have or had, such as a suspension: until
    /// that is decided, calls of tenants are rejected, and not denied.
    pub(crate) fn set_snapshot_behind(&mut self, is_behind: bool) {
        self.snapshot_behind = is_behind;
    }

    /// The snapshot is of an earlier incarnation, whose use of rates is not known: no tenant gets a second burst.
    pub(crate) fn exhaust_rates(&mut self, now: Micros) {
        for (slot, _) in &self.tenants {
            self.admission.exhaust_rates(now, slot);
        }
    }

    /// Puts the first snapshot in force.
    pub(crate) fn load(&mut self, snapshot: &TenantSnapshot) {
        for tenant in snapshot.tenants() {
            self.set(tenant);
        }
        self.revision = snapshot.revision();
        self.without_snapshot = false;
    }

    /// Puts a change in force. Returns the tenant that it removed: its calls are to be ended before
    /// [`Tenants::forget`].
    pub(crate) fn apply(&mut self, change: &Entry) -> Option<TenantId> {
        self.revision = change.revision;
        match &change.after {
            Some(tenant) => {
                self.set(tenant);
                None
            }
            None => self.slots_by_name.remove(change.tenant.as_str()).map(|slot| self.id(slot)),
        }
    }

    /// Puts a whole snapshot in force. Returns the tenants that are not in it, or are others of the same name; see
    /// [`Tenants::apply`].
    pub(crate) fn replace(&mut self, snapshot: &TenantSnapshot) -> Vec<TenantId> {
        let stays = |name: &str, uid| snapshot.get(name).is_some_and(|tenant| tenant.uid == uid);
        let is_removed = |(name, slot): &(&Arc<str>, &usize)| !stays(name, self.tenants[**slot].uid);
        let removed: Vec<(Arc<str>, usize)> = self
            .slots_by_name
            .iter()
            .filter(is_removed)
            .map(|(name, slot)| (Arc::clone(name), *slot))
            .collect();
        for (name, _) in &removed {
            self.slots_by_name.remove(name);
        }
        self.load(snapshot);
        let mut removed: Vec<TenantId> = removed.into_iter().map(|(_, slot)| self.id(slot)).collect();
        removed.sort_by_key(|id| id.0);
        removed
    }

    /// Forgets a removed tenant whose calls have ended: its number may become another's.
    pub(crate) fn forget(&mut self, tenant: TenantId) {
        let Some(slot) = self.slot(tenant) else { return };
        self.admission.remove(slot);
        self.changed.remove(&slot);
        self.removed.push(self.tenants.remove(slot).uid);
    }

    fn set(&mut self, tenant: &Tenant) {
        let slot = self.slots_by_name.get(tenant.name.as_str()).copied().unwrap_or_else(|| {
            let local = LocalTenant::new(tenant);
            let name = Arc::clone(&local.name);
            let slot = self.tenants.insert(local);
            self.slots_by_name.insert(name, slot);
            slot
        });
        self.tenants[slot].spec = tenant.spec.clone();
        self.tenants[slot].state = tenant.state;
        self.update_policy(slot);
    }

    fn update_policy(&mut self, slot: usize) {
        let LocalTenant { uid, spec, state, .. } = &self.tenants[slot];
        let policy = policy::policy(*uid, spec, *state, &self.borrowed, &self.classes.numbers);
        self.admission.set_policy(slot, policy);
    }

    /// Whether limits are divided by loans.
    pub(crate) fn uses_loans(&self) -> bool {
        self.borrowed.is_enabled()
    }

    /// What may be used of limits beyond the reserves, until `until`.
    pub(crate) fn grant_loans(&mut self, now: Micros, until: Micros, loans: Vec<LoanGrant>) {
        let tenants = self.borrowed.grant(until, loans);
        self.update_policies(&tenants);
        self.expire_loans(now);
    }

    fn expire_loans(&mut self, now: Micros) {
        if let Some(tenants) = self.borrowed.expire(now) {
            self.update_policies(&tenants);
        }
    }

    /// Updates the policies of tenants whose loans have changed.
    fn update_policies(&mut self, uids: &BTreeSet<Revision>) {
        let concerned = self.tenants.iter().filter(|(_, tenant)| uids.contains(&tenant.uid));
        let slots: Vec<usize> = concerned.map(|(slot, _)| slot).collect();
        for slot in slots {
            self.update_policy(slot);
        }
    }

    /// What calls could use of limits: of tenants with recent calls or a loan. `None`: it was measured just now.
    pub(crate) fn measure_demands(&mut self, now: Micros) -> Option<Vec<LimitDemand>> {
        let elapsed = now.saturating_sub(self.demands_measured_at);
        if elapsed < DEMAND_INTERVAL {
            return None;
        }
        self.demands_measured_at = now;
        let mut all = Vec::new();
        for (slot, tenant) in &mut self.tenants {
            let counters = self.admission.counters(slot).unwrap_or_default();
            for row in tenant.measure_demand(&counters, elapsed).into_iter().flatten() {
                let loan = self.borrowed.applied(tenant.uid, row.kind);
                if (row.demand > MIN_DEMAND || loan.number > 0) && all.len() < MAX_DEMANDS {
                    all.push(LimitDemand {
                        tenant: tenant.name.to_string(),
                        uid: tenant.uid,
                        kind: row.kind,
                        demand: row.demand,
                        in_use: row.in_use,
                        applied_loan: loan.number,
                        leader_incarnation: loan.leader_incarnation,
                    });
                }
            }
        }
        Some(all)
    }

    /// Admits a call, which then counts as open; `Ok(None)`: it names no tenant, and needs none.
    pub(crate) fn admit(
        &mut self,
        now: Micros,
        call: &TenantCall,
    ) -> Result<Option<TenantId>, CallRejection> {
        let Some(name) = call.tenant else {
            if self.allow_anonymous {
                return Ok(None);
            }
            self.count_rejection(RejectReason::UnknownTenant);
            return Err(CallRejection::no_tenant());
        };
        if self.snapshot_behind {
            return Err(CallRejection::snapshot_behind());
        }
        let Some(slot) = self.slots_by_name.get(name).copied() else {
            if self.without_snapshot {
                return Err(CallRejection::without_snapshot());
            }
            self.count_rejection(RejectReason::UnknownTenant);
            return Err(CallRejection::unknown_tenant(name));
        };
        if !self.tenants[slot].spec.may_call(call.model) {
            // A tenant without the right is counted with those that may not call at all.
            self.count_rejection(RejectReason::InactiveTenant);
            return Err(CallRejection::model_denied(name, call.model));
        }
        self.expire_loans(now);
        self.changed.insert(slot);
        self.tenants[slot].call_arrived();
        self.admit_at(now, slot, name, call)
    }

    fn admit_at(
        &mut self,
        now: Micros,
        slot: usize,
        name: &str,
        call: &TenantCall,
    ) -> Result<Option<TenantId>, CallRejection> {
        let (class, model) = (call.class, model_hash(call.model));
        let memory = call.memory_bytes.unwrap_or(0);
        match self.admission.admit(now, CallRequest { tenant: slot, class, model, memory }) {
            Verdict::Admit => {
                self.open_calls.insert(call.call_number, OpenCall { slot, class, model });
                Ok(Some(self.id(slot)))
            }
            Verdict::Reject(rejection) => {
                self.tenants[slot].call_rejected(rejection.reason, memory);
                self.count_rejection(rejection.reason);
                Err(CallRejection::by_admission(&rejection, name))
            }
        }
    }

    fn count_rejection(&mut self, reason: RejectReason) {
        self.rejections[reason as usize] += 1;
    }

    /// A step of a call; steps come in order.
    pub(crate) fn record_step(&mut self, now: Micros, phase: Phase) {
        let Some(call) = self.open_calls.get(&phase.front) else { return };
        let slot = call.slot;
        self.changed.insert(slot);
        match phase.step {
            Step::AttemptStarted => self.admission.call_started(slot),
            Step::AttemptEnded => self.admission.call_returned(slot),
            Step::CallEnded(outcome) => {
                self.admission.call_ended(now, slot, call.class, call.model);
                if let Some(tenant) = self.tenants.get_mut(slot) {
                    tenant.call_ended(outcome);
                }
                self.open_calls.remove(&phase.front);
            }
        }
    }

    /// Rejected calls, by reason in the order of [`RejectReason::ALL`].
    pub(crate) fn rejections(&self) -> &[u64] {
        &self.rejections
    }

    /// Brings the published usage up to date: only of tenants whose calls have changed, so that many idle ones cost
    /// nothing.
    pub(crate) fn publish_usage(&mut self, usage: &mut HashMap<Revision, Usage>) {
        for uid in self.removed.drain(..) {
            usage.remove(&uid);
        }
        for slot in std::mem::take(&mut self.changed) {
            if let Some(tenant) = self.tenants.get(slot) {
                usage.insert(tenant.uid, self.usage(slot, tenant));
            }
        }
    }

    fn usage(&self, slot: usize, tenant: &LocalTenant) -> Usage {
        let open_by_class = self.admission.open_by_class(slot).filter(|(_, open)| *open > 0);
        let class_name = |class: usize| self.classes.names.get(class).cloned().unwrap_or_default();
        let counters = self.admission.counters(slot).unwrap_or_default();
        Usage {
            open_by_class: open_by_class.map(|(class, open)| (class_name(class), open)).collect(),
            tenant: tenant.name.to_string(),
            uid: tenant.uid,
            open_calls: counters.open,
            held_calls: counters.open - counters.running,
            loaded_memory_bytes: counters.memory,
            admitted: counters.admitted,
            refused: counters.rejected,
            ends: tenant.outcomes().collect(),
        }
    }
}

/// A number for a model, by its name.
pub(crate) fn model_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
