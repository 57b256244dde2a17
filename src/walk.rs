//! Walks along a function's rendezvous order, as far as the caller looks.

use std::collections::BTreeMap;

use crate::interface::{FunctionId, Micros, WorkerId};
use crate::state::{Controller, Function};

impl Controller {
    /// Brings the function's homes up to date: the first workers of its rendezvous order, the same at every
    /// controller that holds the same list.
    pub(crate) fn order(&mut self, id: FunctionId) {
        if let Some(function) = self.functions.get_mut(&id) {
            function.homes.update(id, &mut self.fleet);
        }
    }

    /// The function's order, or of it at least those workers that hold one of these copies. Beyond its homes
    /// and the next few, workers are left out that are not open to the class: no walk takes one of these.
    pub(crate) fn along<'a>(
        &'a self,
        id: FunctionId,
        function: &'a Function,
        class: usize,
        only: Option<&'a BTreeMap<WorkerId, Micros>>,
    ) -> impl Iterator<Item = WorkerId> + 'a {
        let homes = &function.homes;
        let few = only.filter(|_| !homes.whole()).map(|only| self.fleet.ranked(id, only.keys().copied()));
        let all = few.is_none();
        let further = (0..).map_while(move |part| {
            let open = &self.open[class];
            let open = if part == 0 { open.get() } else { Some(open.get_or_init(|| self.open(class))) };
            self.fleet.further(id, homes, part, open)
        });
        let order = homes.workers().iter().copied().chain(further.flatten());
        few.into_iter().flatten().chain(all.then_some(order).into_iter().flatten())
    }

    /// Which workers are open may have changed: it is asked anew. Called as an event begins; what opens a
    /// worker in an event does so before calls are placed or released, and placing calls opens none.
    pub(crate) fn forget_open(&mut self) {
        for open in &mut self.open {
            open.take();
        }
    }
}
