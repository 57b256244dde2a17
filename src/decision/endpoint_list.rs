//! Applies the worker list: which workers are in service, and when the list is polled.
//!
//! Worker health is evaluated in `outlier_ejection`. Guards:
//!
//! * workers that are draining or missing from a complete list get no new calls or orders (drains, removals);
//! * a restarted worker has no replicas and begins its slow start;
//! * without any worker in service, calls are answered at once (calls without an answer);
//! * a list that fails is polled with exponential backoff (overload of the list's server).

use std::collections::BTreeSet;

use super::outlier_ejection::EJECTION_FIRST;
use crate::controller::Controller;
use crate::hash::splitmix64;
use crate::interface::*;
use crate::rendezvous::Candidates;
use crate::state::{Timer, TimerKind, Worker};

/// First delay before a failed list is polled again; doubles up to a fraction of `must_poll_within`.
pub(super) const POLL_BACKOFF_FIRST: Micros = 200_000;
/// Divisor of `must_poll_within` that gives the longest delay.
const POLL_BACKOFF_SHARE: Micros = 4;

impl Controller {
    pub(super) fn update_endpoints(&mut self, form: ListForm, entries: Vec<WorkerEntry>) {
        if form == ListForm::Failed {
            if self.settings.discovery == Discovery::Poll {
                self.schedule_poll();
            }
            return;
        }
        if form != ListForm::Restored {
            self.poll_backoff = POLL_BACKOFF_FIRST;
        }
        if form != ListForm::Changes {
            self.remove_unlisted(&entries);
        }
        for entry in entries {
            self.update_worker(entry);
        }
        self.remove_gone_workers();
        self.release_held(None, None);
        if self.no_worker_in_service() {
            for id in self.hold_queue.values().copied().collect::<Vec<_>>() {
                self.send_final_answer(id);
            }
        }
    }

    /// Schedules the next poll with exponential backoff and jitter. The longest delay is well below
    /// `must_poll_within`, after which the controller would be assumed to know of all changes.
    fn schedule_poll(&mut self) {
        self.rng_state = splitmix64(self.rng_state);
        let half = self.poll_backoff / 2;
        let at = self.now + (half + self.rng_state % half.max(1));
        self.timers.insert(Timer { at, kind: TimerKind::PollList });
        let longest = (self.settings.rules.must_poll_within / POLL_BACKOFF_SHARE).max(POLL_BACKOFF_FIRST);
        self.poll_backoff = (self.poll_backoff * 2).min(longest);
    }

    /// Marks the workers that are missing from a complete list as gone.
    fn remove_unlisted(&mut self, entries: &[WorkerEntry]) {
        let listed: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
        for (id, worker) in self.workers.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            worker.entry.state = WorkerState::Gone;
            self.fleet.set(*id, None);
            self.gone_workers.insert(*id);
        }
    }

    fn update_worker(&mut self, entry: WorkerEntry) {
        let id = entry.worker;
        let new = || Worker { next_ejection: EJECTION_FIRST, last_response: self.now, ..Worker::default() };
        let known = self.workers.contains_key(&id);
        let worker = self.workers.entry(id).or_insert_with(new);
        let restarted = entry.started_at.is_some() && entry.started_at != worker.entry.started_at;
        self.fleet.set(id, (entry.state == WorkerState::On).then(|| weight(&self.settings, &entry)));
        if entry.state == WorkerState::Gone {
            self.gone_workers.insert(id);
        } else {
            self.gone_workers.remove(&id);
        }
        worker.entry = entry;
        if !restarted {
            return;
        }
        // The worker is empty and cold. If it started before this controller, an earlier incarnation may have
        // sent it an unknown number of calls; one overload span must pass first.
        let later_controller_start = self.started_at.filter(|s| worker.entry.started_at < Some(*s));
        let budget_from = later_controller_start.map(|s| s + self.settings.rules.overload_span);
        worker.restart(worker.entry.started_at, budget_from);
        worker.reset_failures();
        if known {
            self.remove_replicas(id);
        }
    }

    /// Removes the replicas of workers that are gone, and the workers themselves once they have no attempts
    /// in flight. A worker in slow start is kept: if it comes back, it is still warming up.
    fn remove_gone_workers(&mut self) {
        for id in self.gone_workers.clone() {
            self.remove_replicas(id);
            let worker = &self.workers[&id];
            if worker.in_flight == 0 && !self.is_warming_up(worker) {
                self.workers.remove(&id);
                self.gone_workers.remove(&id);
            }
        }
    }

    /// Whether no worker is in service. Calls are then answered at once, because held calls might never get
    /// an answer. Drawback: if a rolling replacement leaves no worker for a moment, calls are refused that
    /// could have waited.
    pub(super) fn no_worker_in_service(&self) -> bool {
        self.fleet.is_empty()
    }

    /// Workers that calls of this class may be sent to, or replicas ordered at, before any check that depends
    /// on the function.
    pub(crate) fn open_to_class(&self, class: usize) -> Candidates {
        let mut open = Candidates::default();
        for (id, worker) in &self.workers {
            let on = worker.entry.state == WorkerState::On;
            if on && !self.ejection_active(worker) && self.slow_start_permits(worker, class) {
                open.push(*id, weight(&self.settings, &worker.entry));
            }
        }
        open
    }
}

/// The worker's weight for rendezvous hashing; 1 if the weights in the list don't express capacity, or this
/// one is not positive.
fn weight(settings: &Settings, entry: &WorkerEntry) -> f64 {
    let is_capacity = matches!(settings.weights, Weights::Nominal | Weights::Rough);
    if is_capacity && entry.weight > 0.0 { entry.weight } else { 1.0 }
}
