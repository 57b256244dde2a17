//! One verdict a call, by the limits of its tenant and then of its class there.
//!
//! The order of questions: may it call at all; would the limits that count calls in hand let it; then the
//! rates, which are charged only when all else has passed, the class's before the tenant's is known to. So a call
//! that is turned away costs its tenant nothing.
//!
//! Fairness: calls that wait for a worker share a number of places. While they are all taken a tenant may have
//! as many as its weight's part of them among the tenants that have any waiting, and at least one: whoever
//! waits with little is let in, whoever fills the queue is not. Answers to a surge that stays within its rate. A
//! tenant's share of the running calls binds only while another tenant has calls waiting: an idle fleet is
//! nobody's to save. Harm: the first call of a tenant into a full queue is let in beyond the places, so that
//! with many tenants there are more waiting than places.

use std::collections::{BTreeMap, BTreeSet};

use crate::Micros;
use crate::gcra::Gcra;

/// A model without an open call counts as loaded for its tenant so long after its last one.
pub const LOADED_FOR: Micros = 60_000_000;

/// Limits of a tenant or of one class of it; what is not there is no limit.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Limits {
    /// Calls a second, and how many at once beyond.
    pub rate: Option<(f64, u32)>,
    /// Open calls.
    pub open: Option<u32>,
}

/// What a tenant may do at this controller.
#[derive(Clone, Debug, PartialEq)]
pub struct Policy {
    /// New calls are taken.
    pub active: bool,
    /// Over all classes.
    pub limits: Limits,
    /// By class.
    pub classes: BTreeMap<usize, Limits>,
    /// Calls waiting for a worker.
    pub held: Option<u32>,
    /// Bytes of models in use.
    pub memory: Option<u64>,
    /// Part of the running calls while others wait.
    pub share: Option<f64>,
    /// Against other tenants in a full queue.
    pub weight: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            active: true,
            limits: Limits::default(),
            classes: BTreeMap::new(),
            held: None,
            memory: None,
            share: None,
            weight: 1.0,
        }
    }
}

/// Why a call is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// There is no such tenant here.
    Unknown,
    /// It is suspended, or being removed.
    Inactive,
    /// Its rate.
    Rate,
    /// The class's rate.
    ClassRate,
    /// Its open calls.
    Open,
    /// The class's open calls.
    ClassOpen,
    /// Its calls that wait.
    Held,
    /// Memory of its models.
    Memory,
    /// Its part of the running calls, while others wait.
    Share,
    /// Its part of the places of a full queue.
    Fair,
}

/// All reasons, for those who count.
pub const WHY: [(Why, &str); 10] = [
    (Why::Unknown, "unknown_tenant"),
    (Why::Inactive, "inactive_tenant"),
    (Why::Rate, "tenant_rate"),
    (Why::ClassRate, "class_rate"),
    (Why::Open, "tenant_open_calls"),
    (Why::ClassOpen, "class_open_calls"),
    (Why::Held, "tenant_held_calls"),
    (Why::Memory, "tenant_memory"),
    (Why::Share, "fleet_share"),
    (Why::Fair, "fair_share"),
];

/// A verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It counts as open and waiting from now on, until [`Admission::ended`].
    Admit,
    /// It is turned away; a wait that is known to be needed.
    Refuse(Why, Option<Micros>),
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Asked {
    /// Its tenant.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// Its model.
    pub model: u64,
    /// Bytes of a copy of it; 0 where not known.
    pub memory: u64,
}

/// A tenant's calls in hand and what became of those that came.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Taken.
    pub admitted: u64,
    /// Turned away.
    pub refused: u64,
    /// Open now.
    pub open: u32,
    /// Of them running at a worker.
    pub running: u32,
    /// Bytes of models in use.
    pub memory: u64,
}

#[derive(Clone, Debug, Default)]
struct ClassAccount {
    rate: Option<Gcra>,
    limit: Option<u32>,
    open: u32,
}

#[derive(Clone, Copy, Debug)]
struct InUse {
    memory: u64,
    open: u32,
    last: Micros,
}

#[derive(Clone, Debug, Default)]
struct Account {
    policy: Policy,
    rate: Option<Gcra>,
    classes: BTreeMap<usize, ClassAccount>,
    models: BTreeMap<u64, InUse>,
    /// Models without an open call, by when they were used last.
    idle: BTreeSet<(Micros, u64)>,
    counters: Counters,
}

/// All tenants of a controller.
#[derive(Clone, Debug)]
pub struct Admission {
    accounts: BTreeMap<usize, Account>,
    /// Places for calls that wait, while which are free nobody's weight counts.
    places: u32,
    held: u32,
    running: u32,
    /// Weights of the tenants that have calls waiting: so that a verdict does not look at all of them.
    waiting: BTreeMap<usize, f64>,
    now: Micros,
}

fn gcra(old: Option<Gcra>, rate: Option<(f64, u32)>) -> Option<Gcra> {
    let (per_second, burst) = rate?;
    Some(match old {
        Some(mut old) => {
            old.set(per_second, burst);
            old
        }
        None => Gcra::new(per_second, burst),
    })
}

impl Account {
    fn set(&mut self, policy: Policy) {
        self.rate = gcra(self.rate.take(), policy.limits.rate);
        for class in self.classes.values_mut() {
            (class.limit, class.rate) = (None, None);
        }
        for (class, limits) in &policy.classes {
            let account = self.classes.entry(*class).or_default();
            account.limit = limits.open;
            account.rate = gcra(account.rate.take(), limits.rate);
        }
        self.policy = policy;
    }

    fn held(&self) -> u32 {
        self.counters.open - self.counters.running
    }

    /// Models that were not used for long count no more.
    fn let_go(&mut self, now: Micros) {
        while let Some(&(last, model)) = self.idle.first()
            && last + LOADED_FOR <= now
        {
            self.idle.pop_first();
            if let Some(gone) = self.models.remove(&model) {
                self.counters.memory -= gone.memory;
            }
        }
    }

    fn memory(&self, asked: &Asked, now: Micros) -> Result<(), Option<Micros>> {
        let Some(limit) = self.policy.memory else { return Ok(()) };
        if self.models.contains_key(&asked.model)
            || self.counters.memory.saturating_add(asked.memory) <= limit
        {
            return Ok(());
        }
        Err(self.idle.first().map(|(last, _)| (last + LOADED_FOR).saturating_sub(now)))
    }

    fn take(&mut self, asked: &Asked, now: Micros) {
        let used = self.models.entry(asked.model).or_insert_with(|| {
            self.counters.memory += asked.memory;
            InUse { memory: asked.memory, open: 0, last: now }
        });
        if used.open == 0 {
            self.idle.remove(&(used.last, asked.model));
        }
        used.open += 1;
        self.classes.entry(asked.class).or_default().open += 1;
        self.counters.open += 1;
        self.counters.admitted += 1;
    }
}

impl Admission {
    /// No tenants; so many places for calls that wait.
    pub fn new(places: u32) -> Self {
        Self {
            accounts: BTreeMap::new(),
            places: places.max(1),
            held: 0,
            running: 0,
            waiting: BTreeMap::new(),
            now: 0,
        }
    }

    /// A tenant's policy, from now on. What is open stays open, also beyond a lower limit.
    pub fn set(&mut self, tenant: usize, policy: Policy) {
        self.accounts.entry(tenant).or_default().set(policy);
        self.weigh(tenant);
    }

    /// What a life before took of a tenant's rates is not known: it is taken to be all of their bursts.
    pub fn spend(&mut self, now: Micros, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant) else { return };
        let classes = account.classes.values_mut().filter_map(|class| class.rate.as_mut());
        for rate in account.rate.iter_mut().chain(classes) {
            rate.spend(now);
        }
    }

    /// Notes whether a tenant has calls waiting, after any change to that.
    fn weigh(&mut self, tenant: usize) {
        match self.accounts.get(&tenant).filter(|a| a.held() > 0) {
            Some(account) => _ = self.waiting.insert(tenant, account.policy.weight),
            None => _ = self.waiting.remove(&tenant),
        }
    }

    /// A tenant is gone. Its calls must have ended.
    pub fn remove(&mut self, tenant: usize) {
        if let Some(account) = self.accounts.remove(&tenant) {
            self.held -= account.held();
            self.running -= account.counters.running;
        }
        self.weigh(tenant);
    }

    /// A tenant's figures.
    pub fn counters(&self, tenant: usize) -> Option<Counters> {
        self.accounts.get(&tenant).map(|a| a.counters)
    }

    /// Its open calls by class.
    pub fn open_by_class(&self, tenant: usize) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.accounts
            .get(&tenant)
            .into_iter()
            .flat_map(|a| a.classes.iter().map(|(class, c)| (*class, c.open)))
    }

    /// Calls that wait, over all tenants.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// The verdict on a call.
    pub fn ask(&mut self, now: Micros, asked: Asked) -> Verdict {
        self.now = self.now.max(now);
        let now = self.now;
        let fair = self.fair(asked.tenant);
        let shared = self.shared(asked.tenant);
        let Some(account) = self.accounts.get_mut(&asked.tenant) else {
            return Verdict::Refuse(Why::Unknown, None);
        };
        account.let_go(now);
        match judge(account, &asked, now, fair, shared) {
            Ok(()) => {
                account.take(&asked, now);
                self.held += 1;
                self.weigh(asked.tenant);
                Verdict::Admit
            }
            Err((why, wait)) => {
                account.counters.refused += 1;
                Verdict::Refuse(why, wait)
            }
        }
    }

    /// May this tenant have one more call waiting?
    fn fair(&self, tenant: usize) -> bool {
        if self.held < self.places {
            return true;
        }
        let Some(ours) = self.accounts.get(&tenant) else { return true };
        if ours.held() == 0 {
            return true;
        }
        let all: f64 = self.waiting.values().sum();
        f64::from(ours.held()) + 1.0 <= (f64::from(self.places) * ours.policy.weight / all).max(1.0)
    }

    /// Is it within its part of the running calls, or does nobody else wait?
    fn shared(&self, tenant: usize) -> bool {
        let Some(ours) = self.accounts.get(&tenant) else { return true };
        let Some(share) = ours.policy.share else { return true };
        let others_wait = self.held > ours.held();
        let part = share * f64::from(self.running.max(1));
        !others_wait || f64::from(ours.counters.running) < part.max(1.0)
    }

    /// A worker has a call of this tenant.
    pub fn began(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|a| a.held() > 0) else { return };
        account.counters.running += 1;
        self.held -= 1;
        self.running += 1;
        self.weigh(tenant);
    }

    /// A call of this tenant came back from a worker without an end: it waits again.
    pub fn back(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|a| a.counters.running > 0) else { return };
        account.counters.running -= 1;
        self.held += 1;
        self.running -= 1;
        self.weigh(tenant);
    }

    /// A call has had its end; it waited, or was [`Admission::back`] before.
    pub fn ended(&mut self, now: Micros, tenant: usize, class: usize, model: u64) {
        self.now = self.now.max(now);
        let Some(account) = self.accounts.get_mut(&tenant).filter(|a| a.held() > 0) else { return };
        account.counters.open -= 1;
        self.held -= 1;
        if let Some(class) = account.classes.get_mut(&class) {
            class.open = class.open.saturating_sub(1);
        }
        if let Some(used) = account.models.get_mut(&model) {
            used.open = used.open.saturating_sub(1);
            used.last = self.now;
            if used.open == 0 {
                account.idle.insert((self.now, model));
            }
        }
        self.weigh(tenant);
    }
}

fn judge(
    account: &mut Account,
    asked: &Asked,
    now: Micros,
    fair: bool,
    shared: bool,
) -> Result<(), (Why, Option<Micros>)> {
    let policy = &account.policy;
    if !policy.active {
        return Err((Why::Inactive, None));
    }
    if policy.limits.open.is_some_and(|most| account.counters.open >= most) {
        return Err((Why::Open, None));
    }
    if policy.held.is_some_and(|most| account.held() >= most) {
        return Err((Why::Held, None));
    }
    if !shared {
        return Err((Why::Share, None));
    }
    if !fair {
        return Err((Why::Fair, None));
    }
    account.memory(asked, now).map_err(|wait| (Why::Memory, wait))?;
    let class = account.classes.entry(asked.class).or_default();
    if class.limit.is_some_and(|most| class.open >= most) {
        return Err((Why::ClassOpen, None));
    }
    if let Some(rate) = &mut account.rate {
        rate.wait(now).map_err(|wait| (Why::Rate, wait))?;
    }
    if let Some(rate) = &mut class.rate {
        rate.wait(now).map_err(|wait| (Why::ClassRate, wait))?;
        rate.take();
    }
    if let Some(rate) = &mut account.rate {
        rate.take();
    }
    Ok(())
}
