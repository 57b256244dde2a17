//! The tenants of the administration at this controller: assigns their ids in the engine, applies changes from the
//! administration, and admits or rejects their calls. `nettleferry-admission` judges the limits.
//!
//! * `local_tenant`: one tenant, and the demand for its limits. `policy`: this controller's share of its limits.
//! * `borrowed`: loans of limits. `rejection`: why a call was rejected, for the response to the client.

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

/// Minimum time between two measurements of demands, microseconds.
const DEMAND_INTERVAL: Micros = 400_000;
/// Demands up to this amount are only reported where the limit has a loan.
const MIN_DEMAND: f64 = 0.01;

/// A call that is to be admitted or rejected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TenantCall<'a> {
    /// The number by which the front identifies the call.
    pub(crate) call_number: u64,
    /// Name of the tenant; `None` where the client sent none.
    pub(crate) tenant: Option<&'a str>,
    /// Id of the call's class.
    pub(crate) class: usize,
    /// Name of the model.
    pub(crate) model: &'a str,
    /// Memory that the model needs, in bytes; `None` where it is not known.
    pub(crate) memory_bytes: Option<u64>,
}

/// An open call of a tenant.
struct OpenCall {
    /// Slot of the tenant in [`Tenants::tenants`].
    slot: usize,
    class: usize,
    model_hash: u64,
}

/// The ids and names of the classes.
struct Classes {
    numbers: HashMap<String, usize>,
    names: Vec<String>,
}

/// The tenants of this controller, and their open calls.
pub(crate) struct Tenants {
    /// The id of the tenant in slot 0. Lower ids belong to tenants of the settings file.
    first_id: usize,
    classes: Classes,
    /// Whether calls that name no tenant are admitted.
    allow_anonymous: bool,
    borrowed: BorrowedLimits,
    demands_measured_at: Micros,
    tenants: Slab<LocalTenant>,
    slots_by_name: HashMap<Arc<str>, usize>,
    admission: Admission,
    /// Open calls by the front's number.
    open_calls: HashMap<u64, OpenCall>,
    /// Slots of tenants whose usage has changed since it was last published.
    usage_changed: BTreeSet<usize>,
    /// Uids of tenants that were removed since usage was last published.
    removed_uids: Vec<Revision>,
    revision: Revision,
    /// No snapshot has been loaded yet, so it is not known which tenants exist.
    without_snapshot: bool,
    /// The snapshot is known to lack changes that other controllers have applied.
    snapshot_behind: bool,
    /// Totals of rejected calls, in the order of [`RejectReason::ALL`].
    rejections: [u64; RejectReason::ALL.len()],
}

impl Tenants {
    /// Creates an empty set of tenants, whose ids start at `first_id`. `classes`: the names of the classes, by id.
    /// `queue_length`: maximum number of calls that wait for a worker.
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
            usage_changed: BTreeSet::new(),
            removed_uids: Vec::new(),
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

    /// The name of a tenant, also of a removed one until [`Tenants::forget`].
    pub(crate) fn name(&self, tenant: TenantId) -> Option<&Arc<str>> {
        self.slot(tenant).map(|slot| &self.tenants[slot].name)
    }

    /// The revision of the tenant snapshot in force.
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    /// Marks the snapshot as missing. Until one is loaded, calls of unknown tenants are rejected with advice to retry,
    /// instead of being denied.
    pub(crate) fn set_without_snapshot(&mut self) {
        self.without_snapshot = true;
    }

    /// Sets whether the snapshot is known to lack changes that other controllers have applied, such as a suspension.
    /// While it does, calls of all tenants are rejected with advice to retry, instead of being judged by it.
    pub(crate) fn set_snapshot_behind(&mut self, is_behind: bool) {
        self.snapshot_behind = is_behind;
    }

    /// Uses up the bursts of all rate limits. Called for a snapshot that an earlier incarnation persisted: how much of
    /// the bursts that incarnation used is not known, and no tenant may get a second burst.
    pub(crate) fn exhaust_rates(&mut self, now: Micros) {
        for (slot, _) in &self.tenants {
            self.admission.exhaust_rates(now, slot);
        }
    }

    /// Sets all tenants of a snapshot, and its revision. Tenants that are not in it are kept; see [`Tenants::replace`].
    pub(crate) fn load(&mut self, snapshot: &TenantSnapshot) {
        for tenant in snapshot.tenants() {
            self.set(tenant);
        }
        self.revision = snapshot.revision();
        self.without_snapshot = false;
    }

    /// Applies a change. Returns the tenant if the change removed it: its calls must be ended before
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

    /// Replaces all tenants by those of a snapshot. Returns the removed ones, which are not in the snapshot or have
    /// another uid there. Their calls must be ended before [`Tenants::forget`].
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

    /// Deletes a removed tenant whose calls have ended. Its id may be assigned to another tenant afterwards.
    pub(crate) fn forget(&mut self, tenant: TenantId) {
        let Some(slot) = self.slot(tenant) else { return };
        self.admission.remove(slot);
        self.usage_changed.remove(&slot);
        self.removed_uids.push(self.tenants.remove(slot).uid);
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

    /// Whether a part of each tenant's limits is lent to the controllers that need it, instead of being divided
    /// equally.
    pub(crate) fn uses_loans(&self) -> bool {
        self.borrowed.is_enabled()
    }

    /// Applies granted loans, which may be used in addition to the reserves until `until`.
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

    /// Updates the policies of these tenants, whose loans have changed.
    fn update_policies(&mut self, uids: &BTreeSet<Revision>) {
        let affected = self.tenants.iter().filter(|(_, tenant)| uids.contains(&tenant.uid));
        let slots: Vec<usize> = affected.map(|(slot, _)| slot).collect();
        for slot in slots {
            self.update_policy(slot);
        }
    }

    /// Measures how much of each limit calls could use, for limits with a demand or a loan. At most [`MAX_DEMANDS`] are
    /// returned; `None` if less than [`DEMAND_INTERVAL`] has passed since the last measurement.
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

    /// Admits a call, which then counts as open until its end. Returns the id of its tenant, or `None` for an anonymous
    /// call, to which no limit of a tenant applies.
    ///
    /// # Errors
    /// Where the tenant is missing or not known, the snapshot is missing or outdated, the tenant has no right to call
    /// the model, or one of its limits is reached.
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
            // `RejectReason` has no variant for a missing right to a model, so the call is counted as one of an
            // inactive tenant.
            self.count_rejection(RejectReason::InactiveTenant);
            return Err(CallRejection::model_denied(name, call.model));
        }
        self.expire_loans(now);
        self.usage_changed.insert(slot);
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
        let (class, model_hash) = (call.class, model_hash(call.model));
        let memory = call.memory_bytes.unwrap_or(0);
        match self.admission.admit(now, CallRequest { tenant: slot, class, model: model_hash, memory }) {
            Verdict::Admit => {
                self.open_calls.insert(call.call_number, OpenCall { slot, class, model_hash });
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

    /// Applies a step of a call. The steps of a call must be passed in order; those of unknown calls are ignored.
    pub(crate) fn record_step(&mut self, now: Micros, phase: Phase) {
        let Some(call) = self.open_calls.get(&phase.front_token) else { return };
        let slot = call.slot;
        self.usage_changed.insert(slot);
        match phase.step {
            Step::AttemptStarted => self.admission.call_started(slot),
            Step::AttemptEnded => self.admission.call_returned(slot),
            Step::CallEnded(outcome) => {
                self.admission.call_ended(now, slot, call.class, call.model_hash);
                if let Some(tenant) = self.tenants.get_mut(slot) {
                    tenant.call_ended(outcome);
                }
                self.open_calls.remove(&phase.front_token);
            }
        }
    }

    /// The totals of rejected calls, in the order of [`RejectReason::ALL`].
    pub(crate) fn rejections(&self) -> &[u64] {
        &self.rejections
    }

    /// Updates the published usage. Only tenants whose calls have changed are visited, so idle tenants add no cost.
    pub(crate) fn publish_usage(&mut self, usage: &mut HashMap<Revision, Usage>) {
        for uid in self.removed_uids.drain(..) {
            usage.remove(&uid);
        }
        for slot in std::mem::take(&mut self.usage_changed) {
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

/// Hashes the name of a model, for admission control, which tells models apart by number.
pub(crate) fn model_hash(name: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    hasher.finish()
}
