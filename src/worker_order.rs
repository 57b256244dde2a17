//! Iterates lazily over the rendezvous order of a function.
//!
//! [`crate::decision`] chooses a worker from the order; [`crate::rendezvous`] computes it.

use std::collections::BTreeMap;

use crate::controller::Controller;
use crate::interface::{FunctionId, Micros, WorkerId};
use crate::state::Function;

impl Controller {
    /// Updates the function's homes, the first workers in its rendezvous order. Controllers with the same
    /// worker list compute the same homes.
    pub(crate) fn update_homes(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            function.homes.update(id, &mut self.fleet);
        }
    }

    /// Returns the rendezvous order of the function. If `only` is given, the result may be limited to the
    /// workers in it. Beyond the homes and the first few workers after them, workers that are not open to the
    /// class are skipped, as they could not be selected anyway.
    pub(crate) fn walk_order<'a>(
        &'a self,
        id: FunctionId,
        function: &'a Function,
        class: usize,
        only: Option<&'a BTreeMap<WorkerId, Micros>>,
    ) -> impl Iterator<Item = WorkerId> + 'a {
        let homes = &function.homes;
        let ranked =
            only.filter(|_| !homes.covers_all()).map(|only| self.fleet.ranked(id, only.keys().copied()));
        let use_full_order = ranked.is_none();
        let beyond_homes = (0..).map_while(move |part| {
            let candidates = &self.candidates[class];
            let candidates = if part == 0 {
                candidates.get()
            } else {
                Some(candidates.get_or_init(|| self.open_to_class(class)))
            };
            self.fleet.beyond_homes(id, homes, part, candidates)
        });
        let order = homes.workers().iter().copied().chain(beyond_homes.flatten());
        ranked.into_iter().flatten().chain(use_full_order.then_some(order).into_iter().flatten())
    }

    /// Discards the cached candidates of all classes. Called at the start of each event, because events
    /// change which workers are open. Within one event the cache stays valid: workers become open only before
    /// calls are placed or released, and placing a call opens no worker.
    pub(crate) fn clear_candidates(&mut self) {
        for candidates in &mut self.candidates {
            candidates.take();
        }
    }
}
