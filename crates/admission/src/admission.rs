//! All tenants of a controller: one verdict a call, by the limits of its tenant and then of its class there.
//!
//! The limits that count calls are checked first, then the rates, which are charged only when all else has admitted
//! the call. So a rejected call costs its tenant nothing.
//!
//! Fairness: calls that wait for a worker share a queue of bounded length. While it is full a tenant may have as many
//! calls there as its weight's part of it among the tenants that have any waiting, and at least one: a tenant with few
//! waiting calls is admitted, one that fills the queue is not. This answers a surge that stays within its rate. A
//! tenant's share of the running calls is enforced only while another tenant has calls waiting. Cost: the first call of
//! a tenant into a full queue is admitted beyond its length, so that with many tenants more calls wait than it has
//! places.

use std::collections::BTreeMap;

use crate::Micros;
use crate::account::{Account, SharedLimits};
pub use crate::account::{CallRequest, Counters, MODEL_IDLE_TIMEOUT};
use crate::policy::Policy;
use crate::verdict::{RejectReason, Rejection, Verdict};

/// All tenants of a controller.
#[derive(Clone, Debug)]
pub struct Admission {
    accounts: BTreeMap<usize, Account>,
    /// Length of the queue of calls that wait; weights count only while it is full.
    queue_length: u32,
    held: u32,
    running: u32,
    /// Weights of the tenants that have calls waiting, so that a verdict need not look at all tenants.
    waiting: BTreeMap<usize, f64>,
    now: Micros,
}

impl Admission {
    /// No tenants, and a queue of this length for calls that wait.
    pub fn new(queue_length: u32) -> Self {
        Self {
            accounts: BTreeMap::new(),
            queue_length: queue_length.max(1),
            held: 0,
            running: 0,
            waiting: BTreeMap::new(),
            now: 0,
        }
    }

    /// Sets a tenant's policy. Open calls stay open, also beyond a lower limit.
    pub fn set_policy(&mut self, tenant: usize, policy: Policy) {
        self.accounts.entry(tenant).or_default().set_policy(policy);
        self.update_waiting(tenant);
    }

    /// Uses up the bursts of a tenant's rates: what an earlier incarnation let through is not known.
    pub fn exhaust_rates(&mut self, now: Micros, tenant: usize) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.exhaust_rates(now);
        }
    }

    /// Notes whether a tenant has calls waiting, after any change to that.
    fn update_waiting(&mut self, tenant: usize) {
        match self.accounts.get(&tenant).filter(|account| account.held() > 0) {
            Some(account) => _ = self.waiting.insert(tenant, account.policy().weight),
            None => _ = self.waiting.remove(&tenant),
        }
    }

    /// Removes a tenant. Its calls must have ended.
    pub fn remove(&mut self, tenant: usize) {
        if let Some(account) = self.accounts.remove(&tenant) {
            self.held -= account.held();
            self.running -= account.counters.running;
        }
        self.update_waiting(tenant);
    }

    /// A tenant's counters.
    pub fn counters(&self, tenant: usize) -> Option<Counters> {
        self.accounts.get(&tenant).map(|account| account.counters)
    }

    /// A tenant's open calls by class.
    pub fn open_by_class(&self, tenant: usize) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.accounts.get(&tenant).into_iter().flat_map(Account::open_by_class)
    }

    /// Calls that wait for a worker, over all tenants.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Judges a call, and counts it where it is admitted.
    pub fn admit(&mut self, now: Micros, request: CallRequest) -> Verdict {
        self.now = self.now.max(now);
        let now = self.now;
        let shared = SharedLimits {
            queue: self.within_queue_share(request.tenant),
            fleet: self.within_fleet_share(request.tenant),
        };
        let Some(account) = self.accounts.get_mut(&request.tenant) else {
            return Verdict::Reject(Rejection::new(RejectReason::UnknownTenant));
        };
        account.expire_idle_models(now);
        match account.check(&request, now, shared) {
            Ok(()) => {
                account.open(&request, now);
                self.held += 1;
                self.update_waiting(request.tenant);
                Verdict::Admit
            }
            Err(rejection) => {
                account.counters.rejected += 1;
                Verdict::Reject(rejection)
            }
        }
    }

    /// Whether the tenant may have one more call waiting.
    fn within_queue_share(&self, tenant: usize) -> bool {
        if self.held < self.queue_length {
            return true;
        }
        let Some(account) = self.accounts.get(&tenant) else { return true };
        if account.held() == 0 {
            return true;
        }
        let total_weight: f64 = self.waiting.values().sum();
        let share = f64::from(self.queue_length) * account.policy().weight / total_weight;
        f64::from(account.held()) + 1.0 <= share.max(1.0)
    }

    /// Whether the tenant is within its part of the running calls, or nobody else waits.
    fn within_fleet_share(&self, tenant: usize) -> bool {
        let Some(account) = self.accounts.get(&tenant) else { return true };
        let Some(share) = account.policy().share else { return true };
        let others_wait = self.held > account.held();
        let allowed = share * f64::from(self.running.max(1));
        !others_wait || f64::from(account.counters.running) < allowed.max(1.0)
    }

    /// A worker has taken a waiting call of this tenant.
    pub fn call_started(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.held() > 0) else {
            return;
        };
        account.counters.running += 1;
        self.held -= 1;
        self.running += 1;
        self.update_waiting(tenant);
    }

    /// A running call of this tenant came back without a final answer: it waits again.
    pub fn call_returned(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.counters.running > 0)
        else {
            return;
        };
        account.counters.running -= 1;
        self.held += 1;
        self.running -= 1;
        self.update_waiting(tenant);
    }

    /// A waiting call has ended; a running one must have returned before ([`Admission::call_returned`]).
    pub fn call_ended(&mut self, now: Micros, tenant: usize, class: usize, model: u64) {
        self.now = self.now.max(now);
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.held() > 0) else {
            return;
        };
        account.close(self.now, class, model);
        self.held -= 1;
        self.update_waiting(tenant);
    }
}
