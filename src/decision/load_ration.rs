//! Decides whether the ration permits one more load order now.
//!
//! Leaves the choice of the replica to `replica_loading`. Guards against breaking the site's ration at its
//! edges and after a restart, when orders of an earlier incarnation may still count.

use crate::controller::Controller;

impl Controller {
    /// May one more order be given? If so, it is counted.
    pub(super) fn ration_permits_order(&mut self) -> bool {
        let loading = &self.settings.loading;
        if loading.ration_window == 0 {
            return true;
        }
        // Orders count a step longer and requests a step shorter than notified: edges fall our way.
        let step = self.settings.event_interval;
        while self.recent_orders.front().is_some_and(|&t| t + loading.ration_window + step < self.now) {
            self.recent_orders.pop_front();
        }
        while self.recent_requests.front().is_some_and(|&t| t + loading.ration_window < self.now + step) {
            self.recent_requests.pop_front();
        }
        // What an earlier incarnation ordered within the window is not known: at its worst, all of the floor.
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
