//! Limits the calls sent to a worker in slow start to a budget of core time, granted in slots to the
//! controllers in turn.
//!
//! A slot is the core time of one call; in each round, every controller has one slot. Each controller knows
//! the start time of the worker, its own number and the number of controllers, so that it can compute its
//! slots without communication. `docs/design.md` has the bound on the sum over all
//! controllers and its proof. The worker is chosen in `placement`. Guards against overload of a worker in
//! slow start: bursts right after its start, late worker lists, a restart of this controller, and lists that
//! lose the worker for a moment.

use crate::controller::Controller;
use crate::hash::splitmix64;
use crate::interface::*;
use crate::state::Worker;

/// Share of the budget that is granted as time passes; the rest covers slots that are used late.
const BUDGET_GRANTED: f64 = 0.7;
/// Tolerance for rounding errors in the used budget, as a share of a round.
const ROUNDING: f64 = 1e-6;

/// A slot of one controller in the slow start of a worker.
pub(super) struct SlowStartSlot {
    /// The budget of the slot has been granted: a call may be sent now.
    due: bool,
    /// Value of `Worker::budget_used` once this slot is used: the budget of all rounds up to and including
    /// that of this slot.
    pub(super) used_after: f64,
}

/// Slow-start budget of a worker at one time, in microseconds of core time, shared by all controllers.
struct SlowStartBudget {
    /// Budget granted since the start of the worker.
    granted: f64,
    /// Core time that the worker tolerates within one overload span.
    per_overload_span: f64,
}

impl Controller {
    /// Whether the worker is still in slow start.
    pub(super) fn is_warming_up(&self, worker: &Worker) -> bool {
        worker.started_at.is_some_and(|started| self.now < started + self.settings.rules.warm_up)
    }

    /// Whether the slow start of the worker permits a call of the class now.
    pub(super) fn slow_start_permits(&self, worker: &Worker, class: usize) -> bool {
        !self.is_warming_up(worker)
            || self.settings.rules.overload_span == 0
            || self.slow_start_slot(worker, class).due
    }

    /// Computes this controller's next slot at a worker in slow start.
    pub(super) fn slow_start_slot(&self, worker: &Worker, class: usize) -> SlowStartSlot {
        let (cost, controllers) = (self.cpu_time(class).max(1.0), u64::from(self.settings.controllers));
        // The order of controllers starts at a different one for each worker.
        let slot = (u64::from(self.settings.controller_index)
            + splitmix64(worker.entry.worker.0) % controllers)
            % controllers;
        let (first_slot, round) = (cost * (slot + 1) as f64, cost * controllers as f64);
        let SlowStartBudget { granted, per_overload_span } = self.slow_start_budget(worker, self.now);
        // Unused slots expire; otherwise all controllers could use their saved budget at the same time. At
        // most this much budget may be outstanding.
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

    /// Computes the budget granted by time `by`. It is based on the worker's capacity one overload span
    /// earlier: the capacity grows during the span, but no window may exceed what the worker tolerates at its
    /// start.
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
