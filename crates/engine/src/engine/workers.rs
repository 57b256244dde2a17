//! Updates of the worker list, and the cleanup of worker names that are no longer used.

use std::collections::BTreeSet;

use nettleferry::{Event as ModuleEvent, ListForm, WorkerEntry, WorkerId, WorkerState};

use super::Engine;
use crate::events::Member;

impl Engine {
    /// Applies an update of the worker list and passes it to the decision module.
    pub(super) fn update_workers(&mut self, form: ListForm, members: &[Member]) {
        let entries: Vec<_> = members.iter().map(|member| self.names.entry(member)).collect();
        if matches!(form, ListForm::Complete | ListForm::Restored) {
            self.workers.clear();
        }
        for entry in &entries {
            if entry.state == WorkerState::Gone {
                self.workers.remove(&entry.worker);
            } else {
                self.workers.insert(entry.worker, entry.state);
            }
        }
        self.forget_unused_names(&entries);
        self.module_events.push_back(ModuleEvent::Workers { form, entries });
    }

    /// Drops the names of workers that are not listed and have no attempt or control request in flight. Names in
    /// `entries`, the current update, are kept as well.
    fn forget_unused_names(&mut self, entries: &[WorkerEntry]) {
        let used: BTreeSet<WorkerId> = self
            .attempts
            .values()
            .map(|attempt| attempt.worker)
            .chain(self.control_requests.values().map(|request| request.worker))
            .chain(self.workers.keys().copied())
            .chain(entries.iter().map(|entry| entry.worker))
            .collect();
        self.names.retain_workers(|id| used.contains(&id));
    }
}
