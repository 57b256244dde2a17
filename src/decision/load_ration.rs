//! Limits the rate of load orders to the ration of the site.
//!
//! The replica is chosen in `replica_loading`. Guards against exceeding the ration at the edges of its window
//! and after a restart, when orders of an earlier incarnation may still count.

use crate::controller::Controller;

impl Controller {
    /// Returns whether one more load order is permitted now, and if so counts it.
    pub(super) fn ration_permits_order(&mut self) -> bool {
        let loading = &self.settings.loading;
        if loading.ration_window == 0 {
            return true;
        }
        // Orders count one event interval longer and requests one shorter than the window, so that imprecise
        // timestamps never exceed the ration.
        let step = self.settings.event_interval;
        while self.recent_orders.front().is_some_and(|&t| t + loading.ration_window + step < self.now) {
            self.recent_orders.pop_front();
        }
        while self.recent_requests.front().is_some_and(|&t| t + loading.ration_window < self.now + step) {
            self.recent_requests.pop_front();
        }
        // Orders of an earlier incarnation within the window are unknown; assume that it used the whole
        // floor.
        let just_started = self.started_at.is_some_and(|s| self.now < s + loading.ration_window + step);
        let floor = if loading.unknown_prior_orders && just_started { 0.0 } else { loading.ration_floor };
        let limit = floor + loading.ration_share * self.recent_requests.len() as f64;
        if (self.recent_orders.len() + 1) as f64 > limit {
            return false;
        }
        self.recent_orders.push_back(self.now);
        true
    }
}
