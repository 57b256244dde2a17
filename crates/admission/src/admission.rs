//! Admission decisions over all tenants of a controller. A call is checked against the limits of its tenant, then
//! against those of its class within the tenant.
//!
//! Limits on the number of calls are checked before rates, and rates are charged only when all other limits admit the
//! call. A rejected call therefore costs its tenant nothing.
//!
//! Fairness: calls that wait for a worker share a queue of bounded capacity. While the queue is full, a
//! tenant may have as many calls waiting as its weighted share of the queue among the tenants with waiting
//! calls, and at least one. Tenants with few waiting calls are thus admitted, while a tenant that fills the
//! queue is rejected even if its burst of calls stays within its rate. Since a tenant's first waiting call is
//! admitted to a full queue, with many tenants more calls can wait than the queue's capacity. A tenant's
//! share of the running calls is enforced only while another tenant has calls waiting.

use std::collections::BTreeMap;

use crate::Micros;
use crate::account::{Account, SharedLimits};
pub use crate::account::{CallRequest, Counters, MODEL_IDLE_TIMEOUT};
use crate::policy::Policy;
use crate::verdict::{RejectReason, Rejection, Verdict};

/// The tenants of a controller, their open calls and the shared queue of waiting calls.
#[derive(Clone, Debug)]
pub struct Admission {
    accounts: BTreeMap<usize, Account>,
    /// Number of waiting calls, over all tenants, from which on the queue counts as full and weights apply.
    queue_capacity: u32,
    held: u32,
    running: u32,
    /// Weights of the tenants that have calls waiting, kept so that a verdict need not iterate over all tenants.
    waiting_weights: BTreeMap<usize, f64>,
    now: Micros,
}

impl Admission {
    /// Creates an instance without tenants. `queue_capacity` is the number of waiting calls from which on the
    /// queue counts as full; 0 counts as 1.
    pub fn new(queue_capacity: u32) -> Self {
        Self {
            accounts: BTreeMap::new(),
            queue_capacity: queue_capacity.max(1),
            held: 0,
            running: 0,
            waiting_weights: BTreeMap::new(),
            now: 0,
        }
    }

    /// Sets a tenant's policy, and adds the tenant if it is new. Open calls stay open even if they exceed a lowered
    /// limit.
    pub fn set_policy(&mut self, tenant: usize, policy: Policy) {
        self.accounts.entry(tenant).or_default().set_policy(policy);
        self.update_waiting_weight(tenant);
    }

    /// Uses up the bursts of a tenant's rate limits. For use after a restart, when it is not known which calls the
    /// earlier incarnation admitted.
    pub fn exhaust_rates(&mut self, now: Micros, tenant: usize) {
        if let Some(account) = self.accounts.get_mut(&tenant) {
            account.exhaust_rates(now);
        }
    }

    /// Updates the tenant's entry in `waiting_weights`. Must follow each change of its held calls or its weight.
    fn update_waiting_weight(&mut self, tenant: usize) {
        match self.accounts.get(&tenant).filter(|account| account.held() > 0) {
            Some(account) => _ = self.waiting_weights.insert(tenant, account.policy().weight),
            None => _ = self.waiting_weights.remove(&tenant),
        }
    }

    /// Removes a tenant. All its calls must have ended before.
    pub fn remove(&mut self, tenant: usize) {
        if let Some(account) = self.accounts.remove(&tenant) {
            self.held -= account.held();
            self.running -= account.counters.running;
        }
        self.update_waiting_weight(tenant);
    }

    /// A tenant's counters; `None` if the tenant is unknown.
    pub fn counters(&self, tenant: usize) -> Option<Counters> {
        self.accounts.get(&tenant).map(|account| account.counters)
    }

    /// The number of a tenant's open calls in each class; empty if the tenant is unknown.
    pub fn open_by_class(&self, tenant: usize) -> impl Iterator<Item = (usize, u32)> + '_ {
        self.accounts.get(&tenant).into_iter().flat_map(Account::open_by_class)
    }

    /// Number of held calls, which wait for a worker, over all tenants.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Decides whether a call is admitted. An admitted call counts as open and waiting.
    pub fn admit(&mut self, now: Micros, request: CallRequest) -> Verdict {
        self.now = self.now.max(now);
        let now = self.now;
        let shared = SharedLimits {
            within_queue_share: self.within_queue_share(request.tenant),
            within_fleet_share: self.within_fleet_share(request.tenant),
        };
        let Some(account) = self.accounts.get_mut(&request.tenant) else {
            return Verdict::Reject(Rejection::new(RejectReason::UnknownTenant));
        };
        account.expire_idle_models(now);
        match account.check(&request, now, shared) {
            Ok(()) => {
                account.open(&request, now);
                self.held += 1;
                self.update_waiting_weight(request.tenant);
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
        if self.held < self.queue_capacity {
            return true;
        }
        let Some(account) = self.accounts.get(&tenant) else { return true };
        if account.held() == 0 {
            return true;
        }
        let total_weight: f64 = self.waiting_weights.values().sum();
        let share = f64::from(self.queue_capacity) * account.policy().weight / total_weight;
        f64::from(account.held()) + 1.0 <= share.max(1.0)
    }

    /// Whether the tenant is within its share of the running calls, or no other tenant has calls waiting.
    fn within_fleet_share(&self, tenant: usize) -> bool {
        let Some(account) = self.accounts.get(&tenant) else { return true };
        let Some(share) = account.policy().share else { return true };
        let others_wait = self.held > account.held();
        let allowed = share * f64::from(self.running.max(1));
        !others_wait || f64::from(account.counters.running) < allowed.max(1.0)
    }

    /// Records that a waiting call of this tenant was sent to a worker.
    pub fn call_started(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.held() > 0) else {
            return;
        };
        account.counters.running += 1;
        self.held -= 1;
        self.running += 1;
        self.update_waiting_weight(tenant);
    }

    /// Records that an attempt of a running call of this tenant ended without a final answer. The call waits again.
    pub fn call_returned(&mut self, tenant: usize) {
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.counters.running > 0)
        else {
            return;
        };
        account.counters.running -= 1;
        self.held += 1;
        self.running -= 1;
        self.update_waiting_weight(tenant);
    }

    /// Records the end of a waiting call. For a running call, [`Admission::call_returned`] must be called first.
    pub fn call_ended(&mut self, now: Micros, tenant: usize, class: usize, model: u64) {
        self.now = self.now.max(now);
        let Some(account) = self.accounts.get_mut(&tenant).filter(|account| account.held() > 0) else {
            return;
        };
        account.close(self.now, class, model);
        self.held -= 1;
        self.update_waiting_weight(tenant);
    }
}
