//! Accepts arriving calls and computes their priority in the hold queue: the number of recent calls of the
//! function times its mean latency. This product does not change afterwards.
//!
//! The worker is chosen in `placement`. Guards:
//!
//! * calls of a tenant over this controller's part of its quota are held behind the others (load spike of one
//!   tenant);
//! * a call with an unknown class or a known id is ignored (late duplicates).

use crate::controller::Controller;
use crate::interface::*;
use crate::state::{Call, Priority, Timer, TimerKind};

/// Time over which the arrivals of a function count towards its priority, as specified in the design
/// document.
pub(super) const ARRIVAL_WINDOW: Micros = 10_000_000;
/// Time over which the calls of a tenant count towards its quota, which is given per second.
const QUOTA_WINDOW: Micros = 1_000_000;
/// Lower bound of the weight of calls over the quota. The number of recent calls times the mean latency is
/// divided by that weight.
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
            // A low weight moves the call behind those within their quota.
            recent_work = (recent_work + 1.0) / self.settings.over_quota_weight.max(OVER_QUOTA_WEIGHT_MIN);
        }
        self.sequence += 1;
        let answer_by = self.now + request.time_left.saturating_sub(self.settings.event_interval);
        let call = Call {
            class: request.class.0,
            effect: self.settings.classes[request.class.0].effect.of_request(request.has_idempotency_key),
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

    /// Records the arrival and returns the number of recent calls times the mean latency in microseconds.
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

    /// Records the tenant's call; returns whether its calls in the last second exceed this controller's part
    /// of the quota.
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
