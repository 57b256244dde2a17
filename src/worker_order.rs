//! Walks along a function's rendezvous order, as far as the caller looks.
//!
//! Which worker of the order takes a call is decided by [`crate::decision`]; how an order is found is with
//! [`crate::rendezvous`].

use std::collections::BTreeMap;

use crate::controller::Controller;
use crate::interface::{FunctionId, Micros, WorkerId};
use crate::state::Function;

impl Controller {
    /// Brings the function's homes up to date: the first workers of its rendezvous order, the same at every
    /// controller that holds the same list.
    pub(crate) fn update_homes(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            function.homes.update(id, &mut self.fleet);
        }
    }

    /// The function's order, or of it at least those workers that hold one of these replicas. Beyond its
    /// homes and the next few, workers are left out that are not open to the class: no walk takes one of
    /// these.
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

    /// Which workers are open may have changed: it is worked out again. Called as an event begins; what
    /// opens a worker in an event does so before calls are placed or released, and placing calls opens
    /// none.
    pub(crate) fn clear_candidates(&mut self) {
        for candidates in &mut self.candidates {
            candidates.take();
        }
    }
}
