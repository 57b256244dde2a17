//! The state of one controller, and accessors for metrics.
//!
//! Events are handled by [`Controller::handle`] in [`crate::decision`]; the records in the state are defined
//! in [`crate::state`].

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::rendezvous::{Candidates, Fleet};
use crate::state::*;

/// A sans-I/O controller: it receives events and returns the actions to execute.
#[derive(Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    /// State of the random number generator.
    pub(crate) rng_state: u64,
    /// Timestamp of the event being handled.
    pub(crate) now: Micros,
    /// Actions decided so far for the event being handled.
    pub(crate) actions: Vec<Action>,
    /// Timestamp of the first event.
    pub(crate) started_at: Option<Micros>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// The workers in service, with the data that rendezvous hashing needs.
    pub(crate) fleet: Fleet,
    /// Workers removed from the list whose state is still kept.
    pub(crate) gone_workers: BTreeSet<WorkerId>,
    /// Workers open to each class, computed lazily during the handling of one event.
    pub(crate) candidates: Vec<OnceCell<Candidates>>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    /// Number of functions from which on idle ones are evicted; `None` without a limit.
    pub(crate) max_functions: Option<usize>,
    /// Known and pending replicas of all functions, ordered by worker.
    pub(crate) replicas: BTreeSet<ReplicaKey>,
    /// Functions with pending loads.
    pub(crate) loading_functions: BTreeSet<FunctionId>,
    /// Functions by the time bucket in which they are next swept. The key is that time divided by
    /// `IDLE_BUCKET`, rounded up. An entry is stale if the function's `idle_bucket` differs from its key.
    pub(crate) idle_functions: BTreeMap<Micros, BTreeSet<FunctionId>>,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) hold_queue: BTreeMap<Priority, RequestId>,
    /// Attempts in flight, including those of calls that have ended.
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) timers: BTreeSet<Timer>,
    /// Expiry time of the last timer requested from the embedding program; `None` once it has passed.
    pub(crate) armed_for: Option<Micros>,
    /// A `ReleaseHeld` timer is scheduled.
    pub(crate) release_timer_set: bool,
    /// Number of calls accepted so far.
    pub(crate) sequence: u64,
    /// Mean latency per class, in microseconds, at workers with no other attempt of this controller in
    /// flight: an estimate of the core time of a call.
    pub(crate) class_cpu_time: Vec<Option<f64>>,
    /// Mean time of the observed loads of all functions, in microseconds.
    pub(crate) mean_load_time: Option<f64>,
    /// Times of the load orders within the ration window.
    pub(crate) recent_orders: VecDeque<Micros>,
    /// Times of the requests within the ration window.
    pub(crate) recent_requests: VecDeque<Micros>,
    /// Times of each tenant's requests within the last second.
    pub(crate) tenant_requests: BTreeMap<TenantId, VecDeque<Micros>>,
    /// Delay before the worker list is polled again after a failure.
    pub(crate) poll_backoff: Micros,
    /// Time of the last sweep, which removes the state of functions that are no longer called.
    pub(crate) swept_at: Micros,
}

impl Controller {
    /// Health of the listed workers as derived from the events so far, for metrics.
    pub fn health(&self) -> impl Iterator<Item = Health> + '_ {
        self.workers.iter().filter(|(_, w)| w.entry.state != WorkerState::Gone).map(|(id, w)| Health {
            worker: *id,
            state: w.entry.state,
            ejected: w.ejected,
            down: w.down,
        })
    }

    /// Number of rendezvous hashes computed so far, for metrics: the part of the cost that grows with the
    /// number of workers.
    pub fn hashes_computed(&self) -> u64 {
        self.fleet.hashes_computed()
    }

    /// Total number of entries in the controller's state, so that the embedding program can verify that the
    /// state stays bounded.
    pub fn state_entries(&self) -> usize {
        let functions: usize = self.functions.values().map(entries_of_function).sum();
        let workers: usize = self.workers.values().map(|w| 1 + w.lost_orders.len()).sum();
        let calls = self.calls.len() + self.hold_queue.len() + self.attempts.len() + self.timers.len();
        let tenants: usize = self.tenant_requests.values().map(VecDeque::len).sum();
        let idle: usize = self.idle_functions.values().map(BTreeSet::len).sum();
        let replicas = self.replicas.len() + self.loading_functions.len() + self.gone_workers.len();
        let ration = self.recent_orders.len() + self.recent_requests.len();
        functions + workers + calls + tenants + idle + replicas + ration
    }

    /// Limits the number of functions whose state is kept. Functions with open calls, attempts in flight or
    /// pending loads are kept in any case. Without a call of this method there is no limit.
    pub fn limit_functions(&mut self, max_functions: usize) {
        self.max_functions = Some(max_functions);
    }

    /// Number of functions whose state is kept.
    pub fn functions(&self) -> usize {
        self.functions.len()
    }

    /// Number of the newest attempt in flight for a call, counted from 0; `None` if there is none.
    pub fn last_attempt(&self, request: RequestId) -> Option<u32> {
        let first = AttemptId { request, number: 0 };
        let last = AttemptId { request, number: u32::MAX };
        self.attempts.range(first..=last).next_back().map(|(id, _)| id.number)
    }
}

/// Number of state entries that belong to one function.
fn entries_of_function(function: &Function) -> usize {
    let by_worker = function.warm_replicas.len()
        + function.pending_loads.len()
        + function.avoided.len()
        + function.in_flight.len()
        + function.reported_pressure.len();
    1 + by_worker + function.arrivals.len() + function.latencies.len() + function.homes.workers().len()
}
