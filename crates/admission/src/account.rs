//! One tenant: its policy, its open calls by class and by model, and whether its limits admit one more.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::gcra::Gcra;
use crate::policy::{Policy, RateLimit};
use crate::verdict::{RejectReason, Rejection};

/// A model without an open call counts as loaded for its tenant until so long after its last one, microseconds.
pub const MODEL_IDLE_TIMEOUT: Micros = 60_000_000;

/// A call that asks for admission.
#[derive(Clone, Copy, Debug)]
pub struct CallRequest {
    /// Its tenant.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// Its model.
    pub model: u64,
    /// Bytes of a replica of the model; 0 where not known.
    pub memory: u64,
}

/// A tenant's open calls, and what became of those that came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Calls admitted.
    pub admitted: u64,
    /// Calls rejected.
    pub rejected: u64,
    /// Open calls.
    pub open: u32,
    /// Open calls that run at a worker.
    pub running: u32,
    /// Bytes of models in use.
    pub memory: u64,
}

/// Whether a tenant is within its parts of what it shares with the other tenants.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SharedLimits {
    /// One more call is within its part of the queue.
    pub(crate) queue: bool,
    /// It is within its part of the running calls, or nobody else waits.
    pub(crate) fleet: bool,
}

#[derive(Clone, Debug, Default)]
struct ClassAccount {
    rate: Option<Gcra>,
    open_limit: Option<u32>,
    open: u32,
}

/// A model that counts as loaded.
#[derive(Clone, Copy, Debug)]
struct ModelUse {
    memory: u64,
    open: u32,
    last_used: Micros,
}

/// One tenant of a controller.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account {
    policy: Policy,
    rate: Option<Gcra>,
    classes: BTreeMap<usize, ClassAccount>,
    models: BTreeMap<u64, ModelUse>,
    /// Models without an open call, by when they were last used.
    idle: BTreeSet<(Micros, u64)>,
    pub(crate) counters: Counters,
}

/// The limiter of a rate; one that was there keeps what it has let through.
fn limiter(current: Option<Gcra>, limit: Option<RateLimit>) -> Option<Gcra> {
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
        self.rate = limiter(self.rate.take(), policy.limits.rate);
        for class in self.classes.values_mut() {
            (class.open_limit, class.rate) = (None, None);
        }
        for (class, limits) in &policy.classes {
            let account = self.classes.entry(*class).or_default();
            account.open_limit = limits.open;
            account.rate = limiter(account.rate.take(), limits.rate);
        }
        self.policy = policy;
    }

    pub(crate) fn policy(&self) -> &Policy {
        &self.policy
    }

    /// Uses up the bursts of all rates.
    pub(crate) fn exhaust_rates(&mut self, now: Micros) {
        let classes = self.classes.values_mut().filter_map(|class| class.rate.as_mut());
        for rate in self.rate.iter_mut().chain(classes) {
            rate.exhaust(now);
        }
    }

    /// Calls that wait for a worker.
    pub(crate) fn held(&self) -> u32 {
        self.counters.open - self.counters.running
    }

    /// Open calls by class.
    pub(crate) fn open_by_class(&self) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.classes.iter().map(|(class, account)| (*class, account.open))
    }

    /// Counts out models whose last call ended too long ago.
    pub(crate) fn expire_idle_models(&mut self, now: Micros) {
        while let Some(&(last_used, model)) = self.idle.first()
            && last_used + MODEL_IDLE_TIMEOUT <= now
        {
            self.idle.pop_first();
            if let Some(expired) = self.models.remove(&model) {
                self.counters.memory -= expired.memory;
            }
        }
    }

    /// Judges a call; its rates are charged when all limits admit it.
    ///
    /// The class's rate is charged before the tenant's, which was checked before: a rejected call costs nothing.
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

    /// Limits of the tenant that count its calls.
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
        if !shared.fleet {
            return Err(RejectReason::FleetShare);
        }
        if !shared.queue {
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
        let oldest = self.idle.first();
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

    /// Counts an admitted call.
    pub(crate) fn open(&mut self, request: &CallRequest, now: Micros) {
        let model = self.models.entry(request.model).or_insert_with(|| {
            self.counters.memory += request.memory;
            ModelUse { memory: request.memory, open: 0, last_used: now }
        });
        if model.open == 0 {
            self.idle.remove(&(model.last_used, request.model));
        }
        model.open += 1;
        self.classes.entry(request.class).or_default().open += 1;
        self.counters.open += 1;
        self.counters.admitted += 1;
    }

    /// Counts the end of a call.
    pub(crate) fn close(&mut self, now: Micros, class: usize, model: u64) {
        self.counters.open -= 1;
        if let Some(class) = self.classes.get_mut(&class) {
            class.open = class.open.saturating_sub(1);
        }
        if let Some(used) = self.models.get_mut(&model) {
            used.open = used.open.saturating_sub(1);
            used.last_used = now;
            if used.open == 0 {
                self.idle.insert((now, model));
            }
        }
    }
}
