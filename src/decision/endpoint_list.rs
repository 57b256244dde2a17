//! Decides which workers are in service, by the worker list, and when the list is polled.
//!
//! Leaves a worker's health to `outlier_ejection`. Guards: draining workers and those missing from a
//! complete list take nothing new (drains, removals); a restart empties a worker and begins its slow start;
//! with no worker in service calls are answered at once (silence); a list that fails is polled after a
//! growing wait (a list under load).

use std::collections::BTreeSet;

use super::outlier_ejection::EJECTION_FIRST;
use crate::controller::Controller;
use crate::hash::splitmix64;
use crate::interface::*;
use crate::rendezvous::Candidates;
use crate::state::{Timer, TimerKind, Worker};

/// First wait before a list that failed is polled again, doubled up to a share of `must_poll_within`.
pub(super) const POLL_BACKOFF_FIRST: Micros = 200_000;
/// The longest wait is `must_poll_within` divided by this.
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
        self.release_held(None);
        if self.no_worker_in_service() {
            for id in self.hold_queue.values().copied().collect::<Vec<_>>() {
                self.send_final_answer(id);
            }
        }
    }

    /// The list is polled again after a wait that grows, never so long that the controller is deemed
    /// notified.
    fn schedule_poll(&mut self) {
        self.rng_state = splitmix64(self.rng_state);
        let half = self.poll_backoff / 2;
        let at = self.now + (half + self.rng_state % half.max(1));
        self.timers.insert(Timer { at, kind: TimerKind::PollList });
        let longest = (self.settings.rules.must_poll_within / POLL_BACKOFF_SHARE).max(POLL_BACKOFF_FIRST);
        self.poll_backoff = (self.poll_backoff * 2).min(longest);
    }

    /// Workers that a complete list does not name are gone.
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
        // It is empty and cold. What an earlier incarnation of ours sent it is not known: an overload span
        // passes first.
        let before_us = self.started_at.filter(|s| worker.entry.started_at < Some(*s));
        let budget_from = before_us.map(|s| s + self.settings.rules.overload_span);
        worker.restart(worker.entry.started_at, budget_from);
        worker.reset_failures();
        if known {
            self.remove_replicas(id);
        }
    }

    /// Workers that are gone hold no replicas, and are forgotten once nothing is in flight there. One that
    /// warms up may be back, as cold as it was.
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

    /// No worker is in service: waiting would be silence, so that calls are answered at once. Harm: where a
    /// replacement leaves none in service for a moment, calls are refused that might have waited.
    pub(super) fn no_worker_in_service(&self) -> bool {
        self.fleet.is_empty()
    }

    /// Workers that calls of this class may go to, or be ordered at, as far as it depends on no function.
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

/// A worker's weight in the rendezvous orders; 1 where weights are no sizes.
fn weight(settings: &Settings, entry: &WorkerEntry) -> f64 {
    let sized = matches!(settings.weights, Weights::Nominal | Weights::Rough);
    if sized && entry.weight > 0.0 { entry.weight } else { 1.0 }
}
