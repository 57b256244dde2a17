//! The state of one controller, and what an owner may read of it for metrics.
//!
//! Events come in by [`Controller::handle`], which is with the decisions in [`crate::decision`]; the records
//! that the state is made of are in [`crate::state`].

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

use crate::interface::*;
use crate::rendezvous::{Candidates, Fleet};
use crate::state::*;

/// One controller's decisions.
#[derive(Default)]
pub struct Controller {
    pub(crate) settings: Settings,
    /// State of the random generator.
    pub(crate) rng_state: u64,
    /// The time of the event in hand.
    pub(crate) now: Micros,
    /// What has been decided on the event in hand so far.
    pub(crate) actions: Vec<Action>,
    /// When the first event came.
    pub(crate) started_at: Option<Micros>,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    /// The workers in service, as the rendezvous orders need them.
    pub(crate) fleet: Fleet,
    /// Workers that are gone from the list and still known.
    pub(crate) gone_workers: BTreeSet<WorkerId>,
    /// Per class, the workers that are open to its calls, where this event needed them.
    pub(crate) candidates: Vec<OnceCell<Candidates>>,
    pub(crate) functions: BTreeMap<FunctionId, Function>,
    /// The replicas and pending loads of all functions, by worker.
    pub(crate) replicas: BTreeSet<ReplicaKey>,
    /// The functions with loads under way.
    pub(crate) loading_functions: BTreeSet<FunctionId>,
    /// When each function is looked at next by a sweep, in spans of `IDLE_BUCKET`.
    pub(crate) idle_functions: BTreeMap<Micros, Vec<FunctionId>>,
    pub(crate) calls: BTreeMap<RequestId, Call>,
    pub(crate) hold_queue: BTreeMap<Priority, RequestId>,
    /// The attempts in flight.
    pub(crate) attempts: BTreeMap<AttemptId, Attempt>,
    pub(crate) timers: BTreeSet<Timer>,
    /// When the timer that the embedding program has set comes due.
    pub(crate) armed_for: Option<Micros>,
    /// A timer to look at held calls is set.
    pub(crate) release_timer_set: bool,
    /// Calls that arrived so far.
    pub(crate) sequence: u64,
    /// Mean latency per class at workers where we had nothing else in flight: near the core time itself.
    pub(crate) class_cpu_time: Vec<Option<f64>>,
    /// Mean time of the loads seen, of all functions.
    pub(crate) mean_load_time: Option<f64>,
    /// Load orders within the ration's window.
    pub(crate) recent_orders: VecDeque<Micros>,
    /// Requests within the ration's window.
    pub(crate) recent_requests: VecDeque<Micros>,
    /// Each tenant's requests within the last second.
    pub(crate) tenant_requests: BTreeMap<TenantId, VecDeque<Micros>>,
    /// The wait before the worker list is polled again after a failure.
    pub(crate) poll_backoff: Micros,
    /// The time of the last sweep.
    pub(crate) swept_at: Micros,
}

impl Controller {
    /// Health of the listed workers, as the events so far show it: for metrics.
    pub fn health(&self) -> impl Iterator<Item = Health> + '_ {
        self.workers.iter().filter(|(_, w)| w.entry.state != WorkerState::Gone).map(|(id, w)| Health {
            worker: *id,
            state: w.entry.state,
            ejected: w.ejected,
            down: w.down,
        })
    }

    /// Rendezvous hashes computed so far: the cost that grows with the number of workers, for metrics.
    pub fn hashes_computed(&self) -> u64 {
        self.fleet.hashes_computed()
    }

    /// Things remembered in all, so that an owner can show that they stay bounded.
    pub fn state_entries(&self) -> usize {
        let functions: usize = self.functions.values().map(entries_of_function).sum();
        let workers: usize = self.workers.values().map(|w| 1 + w.lost_orders.len()).sum();
        let calls = self.calls.len() + self.hold_queue.len() + self.attempts.len() + self.timers.len();
        let tenants: usize = self.tenant_requests.values().map(VecDeque::len).sum();
        let idle: usize = self.idle_functions.values().map(Vec::len).sum();
        let replicas = self.replicas.len() + self.loading_functions.len() + self.gone_workers.len();
        let ration = self.recent_orders.len() + self.recent_requests.len();
        functions + workers + calls + tenants + idle + replicas + ration
    }

    /// The number of a call's newest attempt that is in flight, as counted here.
    pub fn last_attempt(&self, request: RequestId) -> Option<u32> {
        let first = AttemptId { request, number: 0 };
        let last = AttemptId { request, number: u32::MAX };
        self.attempts.range(first..=last).next_back().map(|(id, _)| id.number)
    }
}

/// Things remembered of one function.
fn entries_of_function(function: &Function) -> usize {
    let by_worker = function.warm_replicas.len()
        + function.pending_loads.len()
        + function.avoided.len()
        + function.in_flight.len()
        + function.reported_pressure.len();
    1 + by_worker + function.arrivals.len() + function.latencies.len() + function.homes.workers().len()
}
