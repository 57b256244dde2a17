//! Decides what a worker that warms up may be sent: a budget of core time, granted slot by slot to one
//! controller after another.
//!
//! All controllers know when the worker started, their own number and how many they are, so each knows
//! whose slot it is without hearing of the others. The bound on the sum over all controllers, and its
//! proof, are in `docs/design.md`. Leaves the choice among workers to `placement`. Guards against the
//! fourth rule's overload: bursts at a worker that has just started, late lists, an own restart, lists that
//! lose a worker for a moment.

use crate::controller::Controller;
use crate::hash::splitmix64;
use crate::interface::*;
use crate::state::Worker;

/// Share of the budget that is granted as time passes; the rest covers what is used late.
const BUDGET_GRANTED: f64 = 0.7;
/// A slot counts as used from this share of a round on: rounding of the sums.
const ROUNDING: f64 = 1e-6;

/// One controller's slot in a worker's slow start.
pub(super) struct SlowStartSlot {
    /// A call may be sent now.
    due: bool,
    /// Budget that will have been granted when this controller's next slot comes, should this one be used.
    pub(super) used_after: f64,
}

/// The slow-start budget of a worker at a time, in microseconds of core time, over all controllers.
struct SlowStartBudget {
    /// Granted since the start.
    granted: f64,
    /// What the worker bears within one overload span.
    per_overload_span: f64,
}

impl Controller {
    /// Did it start no longer ago than it takes to warm up?
    pub(super) fn is_warming_up(&self, worker: &Worker) -> bool {
        worker.started_at.is_some_and(|started| self.now < started + self.settings.rules.warm_up)
    }

    /// May a call of the class be sent there now, as far as its slow start goes?
    pub(super) fn slow_start_permits(&self, worker: &Worker, class: usize) -> bool {
        !self.is_warming_up(worker)
            || self.settings.rules.overload_span == 0
            || self.slow_start_slot(worker, class).due
    }

    /// This controller's next slot at a worker that warms up.
    pub(super) fn slow_start_slot(&self, worker: &Worker, class: usize) -> SlowStartSlot {
        let (cost, controllers) = (self.cpu_time(class).max(1.0), u64::from(self.settings.controllers));
        // Each worker begins with another controller.
        let slot = (u64::from(self.settings.controller_index)
            + splitmix64(worker.entry.worker.0) % controllers)
            % controllers;
        let (first_slot, round) = (cost * (slot + 1) as f64, cost * controllers as f64);
        let SlowStartBudget { granted, per_overload_span } = self.slow_start_budget(worker, self.now);
        // What is not used expires, or all that had waited would send together: so much may be pending at
        // once.
        let max_pending =
            (1.0 - BUDGET_GRANTED) * per_overload_span + 2.0 * (per_overload_span * cost).sqrt();
        let granted_before =
            worker.budget_from.map_or(0.0, |from| self.slow_start_budget(worker, from).granted);
        let expired_rounds = ((granted - max_pending).max(granted_before) - first_slot) / round;
        let next_round = (worker.budget_used / round - ROUNDING).ceil().max(expired_rounds.floor() + 1.0);
        SlowStartSlot {
            due: next_round * round + first_slot <= granted,
            used_after: (next_round + 1.0) * round,
        }
    }

    /// The budget by a time: as of the overload span before, as it grows and no window may hold more than
    /// what the worker bore at its beginning.
    fn slow_start_budget(&self, worker: &Worker, by: Micros) -> SlowStartBudget {
        let rules = &self.settings.rules;
        let age = by.saturating_sub(worker.started_at.unwrap_or(by));
        let span = rules.overload_span as f64;
        let after_first_span = age.saturating_sub(rules.overload_span) as f64;
        let capacity_growth = after_first_span * (1.0 - rules.start_capacity) / rules.warm_up as f64;
        let tolerated_load =
            |part: f64| rules.overload_factor * (rules.start_capacity + capacity_growth * part);
        let granted =
            tolerated_load(0.0) * age as f64 + (tolerated_load(0.5) - tolerated_load(0.0)) * after_first_span;
        SlowStartBudget {
            granted: BUDGET_GRANTED * granted + (1.0 - BUDGET_GRANTED) * tolerated_load(0.0) * span,
            per_overload_span: tolerated_load(1.0) * span,
        }
    }
}
