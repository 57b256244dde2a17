//! The account of one tenant: its policy, its open calls by class and by model, and the check of a further call against
//! its limits.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::gcra::Gcra;
use crate::policy::{Policy, RateLimit};
use crate::verdict::{RejectReason, Rejection};

/// Time in microseconds for which a model still counts toward its tenant's memory limit after its last open
/// call has ended.
pub const MODEL_IDLE_TIMEOUT: Micros = 60_000_000;

/// A call to be checked for admission.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest {
    /// The tenant that makes the call.
    pub tenant: usize,
    /// The class of the call.
    pub class: usize,
    /// The model that the call is for.
    pub model: u64,
    /// Memory of one replica of the model, in bytes; 0 if unknown.
    pub memory: u64,
}

/// Counters of one tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Total of admitted calls.
    pub admitted: u64,
    /// Total of rejected calls.
    pub rejected: u64,
    /// Calls that are open now.
    pub open: u32,
    /// Open calls that are running at a worker.
    pub running: u32,
    /// Memory of the models that count toward the tenant's limit, in bytes.
    pub memory: u64,
}

/// Whether the limits that depend on the other tenants admit one more call of a tenant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedLimits {
    /// Whether one more waiting call is within the tenant's share of the queue.
    pub(crate) within_queue_share: bool,
    /// Whether the tenant is within its share of the running calls, or no other tenant has calls waiting.
    pub(crate) within_fleet_share: bool,
}

#[derive(Clone, Debug, Default)]
struct ClassAccount {
    rate: Option<Gcra>,
    open_limit: Option<u32>,
    open: u32,
}

/// A model that counts toward the tenant's memory limit.
#[derive(Clone, Copy, Debug)]
struct ModelUse {
    memory: u64,
    open: u32,
    /// Time at which the last call ended, or at which the first one was admitted if none has ended.
    last_used: Micros,
}

/// The account of one tenant at a controller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    policy: Policy,
    rate: Option<Gcra>,
    classes: BTreeMap<usize, ClassAccount>,
    models: BTreeMap<u64, ModelUse>,
    /// Models without an open call, least recently used first.
    idle_models: BTreeSet<(Micros, u64)>,
    pub(crate) counters: Counters,
}

/// Returns the rate limiter for a new limit. An existing limiter is adapted, so that calls it has admitted
/// still count.
fn update_limiter(current: Option<Gcra>, limit: Option<RateLimit>) -> Option<Gcra> {
    let limit = limit?;
    Some(match current {
        Some(mut current) => {
            current.set_limit(limit);
            current
        }
        None => Gcra::new(limit),
    })
}

impl Account {
    pub(crate) fn set_policy(&mut self, policy: Policy) {
        self.rate = update_limiter(self.rate.take(), policy.limits.rate);
        for class in self.classes.values_mut() {
            (class.open_limit, class.rate) = (None, None);
        }
        for (class, limits) in &policy.classes {
            let account = self.classes.entry(*class).or_default();
            account.open_limit = limits.open;
            account.rate = update_limiter(account.rate.take(), limits.rate);
        }
        self.policy = policy;
    }

    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Uses up the bursts of the tenant's and the classes' rate limits.
    pub(crate) fn exhaust_rates(&mut self, now: Micros) {
        let classes = self.classes.values_mut().filter_map(|class| class.rate.as_mut());
        for rate in self.rate.iter_mut().chain(classes) {
            rate.exhaust(now);
        }
    }

    /// Number of held calls: open calls that wait for a worker.
    pub(crate) fn held(&self) -> u32 {
        self.counters.open - self.counters.running
    }

    /// Number of open calls of each class.
    pub(crate) fn open_by_class(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.classes.iter().map(|(class, account)| (*class, account.open))
    }

    /// Stops counting models that have been idle for [`MODEL_IDLE_TIMEOUT`] toward the tenant's memory limit.
    pub(crate) fn expire_idle_models(&mut self, now: Micros) {
        while let Some(&(last_used, model)) = self.idle_models.first()
            && last_used + MODEL_IDLE_TIMEOUT <= now
        {
            self.idle_models.pop_first();
            if let Some(expired) = self.models.remove(&model) {
                self.counters.memory -= expired.memory;
            }
        }
    }

    /// Checks a call against all limits, and charges the rates of its tenant and its class if all of them admit it.
    ///
    /// Both rates are checked before either is charged, so a rejected call costs nothing.
    pub(crate) fn check(
        &mut self,
        request: &CallRequest,
        now: Micros,
        shared: SharedLimits,
    ) -> Result<(), Rejection> {
        self.check_tenant(shared).map_err(Rejection::new)?;
        self.check_memory(request, now)?;
        self.check_class_and_rates(request.class, now)
    }

    /// Checks whether the tenant is active, and the limits on the number of its calls.
    fn check_tenant(&self, shared: SharedLimits) -> Result<(), RejectReason> {
        let policy = &self.policy;
        if !policy.active {
            return Err(RejectReason::InactiveTenant);
        }
        if policy.limits.open.is_some_and(|limit| self.counters.open >= limit) {
            return Err(RejectReason::TenantOpenCalls);
        }
        if policy.held.is_some_and(|limit| self.held() >= limit) {
            return Err(RejectReason::TenantHeldCalls);
        }
        if !shared.within_fleet_share {
            return Err(RejectReason::FleetShare);
        }
        if !shared.within_queue_share {
            return Err(RejectReason::FairShare);
        }
        Ok(())
    }

    fn check_memory(&self, request: &CallRequest, now: Micros) -> Result<(), Rejection> {
        let Some(limit) = self.policy.memory else { return Ok(()) };
        if self.models.contains_key(&request.model)
            || self.counters.memory.saturating_add(request.memory) <= limit
        {
            return Ok(());
        }
        let oldest = self.idle_models.first();
        let retry_after = oldest.map(|(last_used, _)| (last_used + MODEL_IDLE_TIMEOUT).saturating_sub(now));
        Err(Rejection { reason: RejectReason::TenantMemory, retry_after })
    }

    fn check_class_and_rates(&mut self, class: usize, now: Micros) -> Result<(), Rejection> {
        let class = self.classes.entry(class).or_default();
        if class.open_limit.is_some_and(|limit| class.open >= limit) {
            return Err(Rejection::new(RejectReason::ClassOpenCalls));
        }
        if let Some(rate) = &mut self.rate {
            rate.check(now).map_err(|exceeded| Rejection::rate(RejectReason::TenantRate, exceeded))?;
        }
        if let Some(rate) = &mut class.rate {
            rate.check(now).map_err(|exceeded| Rejection::rate(RejectReason::ClassRate, exceeded))?;
            rate.record();
        }
        if let Some(rate) = &mut self.rate {
            rate.record();
        }
        Ok(())
    }

    /// Records an admitted call.
    pub(crate) fn open(&mut self, request: &CallRequest, now: Micros) {
        let model = self.models.entry(request.model).or_insert_with(|| {
            self.counters.memory += request.memory;
            ModelUse { memory: request.memory, open: 0, last_used: now }
        });
        if model.open == 0 {
            self.idle_models.remove(&(model.last_used, request.model));
        }
        model.open += 1;
        self.classes.entry(request.class).or_default().open += 1;
        self.counters.open += 1;
        self.counters.admitted += 1;
    }

    /// Records the end of a call.
    pub(crate) fn close(&mut self, now: Micros, class: usize, model: u64) {
        self.counters.open -= 1;
        if let Some(class) = self.classes.get_mut(&class) {
            class.open = class.open.saturating_sub(1);
        }
        if let Some(used) = self.models.get_mut(&model) {
            used.open = used.open.saturating_sub(1);
            used.last_used = now;
            if used.open == 0 {
                self.idle_models.insert((now, model));
            }
        }
    }
}
