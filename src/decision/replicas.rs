//! Index of warm and loading replicas, by function and by worker.
//!
//! Makes no decisions: `attempts`, `replica_loading` and `endpoint_list` report replicas that were found,
//! ordered or lost. With the index by worker, the cost of removing a worker depends on the number of its
//! replicas, not on the number of functions.

use crate::controller::Controller;
use crate::interface::{FunctionId, Micros, WorkerId};
use crate::state::ReplicaKey;

impl Controller {
    /// Records a warm replica at the worker.
    pub(super) fn replica_found(&mut self, replica: ReplicaKey) {
        let now = self.now;
        if let Some(function) = self.functions.get_mut(&replica.function)
            && function.warm_replicas.insert(replica.worker, now).is_none()
        {
            self.replicas.insert(replica);
        }
    }

    /// Records the start of a load by this controller.
    pub(super) fn load_started(&mut self, replica: ReplicaKey) {
        let now = self.now;
        let Some(function) = self.functions.get_mut(&replica.function) else { return };
        function.pending_loads.insert(replica.worker, now);
        self.replicas.insert(replica);
        self.loading_functions.insert(replica.function);
        if let Some(worker) = self.workers.get_mut(&replica.worker) {
            worker.pending_loads += 1;
        }
    }

    /// Removes a pending load, whatever its result.
    pub(super) fn load_finished(&mut self, replica: ReplicaKey) {
        let Some(function) = self.functions.get_mut(&replica.function) else { return };
        if function.pending_loads.remove(&replica.worker).is_none() {
            return;
        }
        if function.pending_loads.is_empty() {
            self.loading_functions.remove(&replica.function);
        }
        if !function.warm_replicas.contains_key(&replica.worker) {
            self.replicas.remove(&replica);
        }
        if let Some(worker) = self.workers.get_mut(&replica.worker) {
            worker.pending_loads = worker.pending_loads.saturating_sub(1);
        }
    }

    /// Removes the replica, and all other replicas of the function that were last found at or before `since`.
    pub(super) fn replica_missing(&mut self, replica: ReplicaKey, since: Option<Micros>) {
        let Some(function) = self.functions.get_mut(&replica.function) else { return };
        let loading = &function.pending_loads;
        function.warm_replicas.retain(|worker, found| {
            let kept = *worker != replica.worker && since.is_none_or(|since| *found > since);
            if !kept && !loading.contains_key(worker) {
                self.replicas.remove(&ReplicaKey { worker: *worker, ..replica });
            }
            kept
        });
    }

    /// Removes all replicas and pending loads of a worker.
    pub(super) fn remove_replicas(&mut self, worker: WorkerId) {
        let first = ReplicaKey { worker, function: FunctionId(0) };
        let last = ReplicaKey { worker, function: FunctionId(u64::MAX) };
        for replica in self.replicas.range(first..=last).copied().collect::<Vec<_>>() {
            self.replicas.remove(&replica);
            let Some(function) = self.functions.get_mut(&replica.function) else { continue };
            function.warm_replicas.remove(&worker);
            if function.pending_loads.remove(&worker).is_some() && function.pending_loads.is_empty() {
                self.loading_functions.remove(&replica.function);
            }
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.pending_loads = 0;
            worker.lost_orders.clear();
        }
    }
}
