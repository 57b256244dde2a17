//! Decides a call's priority in the hold queue as it arrives: recent calls of its function times their
//! mean latency, fixed from then on.
//!
//! Leaves its worker to `placement`. Guards: a tenant beyond this controller's part of its quota waits behind
//! the others (one tenant's surge); a call of an unknown class or a known id is ignored (late duplicates).

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Priority, Timer, TimerKind};

/// The span over which a function's arrivals count towards its priority: the design page's.
pub(super) const ARRIVAL_WINDOW: Micros = 10_000_000;
/// The span over which a tenant's calls count towards its quota, which is given by the second.
const QUOTA_WINDOW: Micros = 1_000_000;
/// The least weight of calls over their quota: their priority is divided by it.
const OVER_QUOTA_WEIGHT_MIN: f64 = 0.01;

impl Controller {
    pub(super) fn request_arrived(&mut self, request: Request) {
        if self.calls.contains_key(&request.id) || request.class.0 >= self.settings.classes.len() {
            return;
        }
        if self.settings.loading.ration_window > 0 {
            self.recent_requests.push_back(self.now);
        }
        let over_quota = self.over_quota(request.tenant);
        let mut recent_work = self.count_arrival(&request);
        if over_quota {
            // Behind the others, by the weight that its calls still have.
            recent_work = (recent_work + 1.0) / self.settings.over_quota_weight.max(OVER_QUOTA_WEIGHT_MIN);
        }
        self.sequence += 1;
        let answer_by = self.now + request.time_left.saturating_sub(self.settings.event_interval);
        let call = Call {
            class: request.class.0,
            function: request.function,
            arrived: self.now,
            answer_by,
            priority: Priority {
                objective_missed: false,
                recent_work: recent_work as u64,
                sequence: self.sequence,
            },
            ..Call::default()
        };
        self.calls.insert(request.id, call);
        self.timers.insert(Timer { at: answer_by, kind: TimerKind::AnswerDeadline(request.id) });
        self.dispatch(request.id);
    }

    /// Counts the call of its function: recent calls times mean latency, microseconds.
    fn count_arrival(&mut self, request: &Request) -> f64 {
        let now = self.now;
        let function = self.function_mut(request.function);
        function.lanes = request.lanes.max(1);
        function.last_call = now;
        function.load_time = request.load_time.map(|usual| usual as f64).or(function.load_time);
        function.arrivals.push_back(now);
        while function.arrivals.front().is_some_and(|&t| t + ARRIVAL_WINDOW < now) {
            function.arrivals.pop_front();
        }
        function.arrivals.len() as f64 * function.mean_latency()
    }

    /// Counts a tenant's calls in the last second against this controller's part of its quota.
    fn over_quota(&mut self, tenant: Option<TenantId>) -> bool {
        let Some(id) = tenant else { return false };
        let Some(quota) = self.settings.tenants.get(id.0).and_then(|t| t.quota_per_s) else { return false };
        let recent = self.tenant_requests.entry(id).or_default();
        recent.push_back(self.now);
        while recent.front().is_some_and(|&t| t + QUOTA_WINDOW < self.now) {
            recent.pop_front();
        }
        recent.len() as f64 > (quota / f64::from(self.settings.controllers)).max(1.0)
    }
}
