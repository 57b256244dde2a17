//! Applies a list of invokers from the directory to the connection pools and the engine.

use std::collections::{BTreeMap, BTreeSet};

use nettleferry::{ListForm, WorkerState};
use nettleferry_engine::{Event, Member};
use nettleferry_platform::directory::{List, State};

use super::Node;
use crate::pools::Endpoint;

impl Node {
    pub(super) fn apply_list(&mut self, form: ListForm, list: &List) {
        let now = self.clock.now();
        let previous_list = self.discovery.previous_list().map(|at| self.clock.at(at));
        let names: BTreeSet<&str> = list.invokers.iter().map(|invoker| invoker.id.as_str()).collect();
        self.start_times.retain(|name| names.contains(name));
        let mut listed = BTreeMap::new();
        let mut members = Vec::with_capacity(list.invokers.len());
        for invoker in &list.invokers {
            let state = worker_state(invoker.state);
            let reported = Some(invoker.started_ms).filter(|reported| *reported > 0);
            let started =
                reported.map(|reported| self.start_times.resolve(&invoker.id, reported, now, previous_list));
            if let Some(address) = invoker.address.filter(|_| state != WorkerState::Gone) {
                let in_service = state == WorkerState::On;
                let endpoint = Endpoint { address, started, in_service };
                listed.insert(self.engine.worker_id(&invoker.id), endpoint);
            }
            members.push(Member {
                name: invoker.id.clone(),
                zone: invoker.zone.clone(),
                kind: invoker.kind.clone(),
                weight: invoker.weight,
                cell: invoker.cell.clone(),
                state,
                started_at: started,
            });
        }
        let mut returned = Vec::new();
        self.pools.update_endpoints(&mut self.tcp, &listed, &mut returned);
        // The engine gets the new list before the returned requests, so that it places them by the new list.
        self.send_to_engine(Event::Workers { form, members });
        self.engine_events.append(&mut returned);
    }
}

fn worker_state(state: State) -> WorkerState {
    match state {
        State::Up => WorkerState::On,
        State::Draining => WorkerState::Draining,
        State::Removed => WorkerState::Gone,
    }
}
