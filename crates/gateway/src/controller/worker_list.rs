//! Applies a new worker list to the worker links, the restart limiter, the front and the engine.

use std::collections::HashMap;

use nettleferry::{ListForm, Micros, WorkerState};
use nettleferry_config::Worker;
use nettleferry_engine::{Event, Member};

use super::Controller;
use crate::worker_list::{ListUpdate, members};

impl Controller {
    /// Applies an update of the worker list. A failed one is reported to the engine and changes nothing else, so the
    /// last list stays in force.
    pub(super) fn apply_list(&mut self, mut update: ListUpdate) {
        let now = self.clock.now();
        if update.form == ListForm::Failed {
            return self.notify_engine_of_list(now, update.form, Vec::new());
        }
        self.listed_workers.clone_from(&update.workers);
        self.list_publish_pending = true;
        self.list_version += 1;
        self.apply_drain(&mut update.workers);
        let addresses: HashMap<_, _> = update
            .workers
            .iter()
            .filter(|worker| worker.state != WorkerState::Gone)
            .map(|worker| (self.engine.worker_id(&worker.name), worker.address))
            .collect();
        self.worker_links.update_workers(&addresses);
        let in_service = update.workers.iter().filter(|worker| worker.state == WorkerState::On).count();
        if let Some(limiter) = &mut self.restart_admission.limiter {
            limiter.list_applied(now / 1000, in_service as u32, update.form != ListForm::Restored);
        }
        self.front.ready = in_service > 0;
        self.record_view();
        self.notify_engine_of_list(now, update.form, members(&update.workers));
    }

    /// Marks workers that are drained through the administration as draining, as if the list did so.
    fn apply_drain(&self, workers: &mut [Worker]) {
        for worker in workers.iter_mut().filter(|worker| worker.state == WorkerState::On) {
            if self.drained_workers.contains(&worker.name) {
                worker.state = WorkerState::Draining;
            }
        }
    }

    fn notify_engine_of_list(&mut self, now: Micros, form: ListForm, members: Vec<Member>) {
        self.engine.handle(now, Event::Workers { form, members }, &mut self.commands);
        self.execute_commands();
    }
}
