//! Models, workers, zones and kinds as the decision module's numbers, and back.
//!
//! Models and workers are numbered by a hash of their names (XXH3, 64 bits): the decision module's order of workers for
//! a function is then the same at every controller, although they share no state. Of two names with one hash the later
//! one gets the next free number, at the price of another order.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use nettleferry::{CellId, FunctionId, KindId, WorkerEntry, WorkerId, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Member;

/// A model as clients name it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Model {
    /// Its name.
    pub name: Arc<str>,
    /// Its version; empty: the worker's choice.
    pub version: Arc<str>,
}

impl Model {
    fn hash(&self) -> u64 {
        let mut text = Vec::with_capacity(self.name.len() + 1 + self.version.len());
        text.extend_from_slice(self.name.as_bytes());
        // No name holds a zero byte and a version after it.
        text.push(0);
        text.extend_from_slice(self.version.as_bytes());
        xxh3_64(&text)
    }
}

struct RegisteredModel {
    id: FunctionId,
    open: u32,
    used: u64,
}

/// Models and workers by name and number.
#[derive(Default)]
pub struct Names {
    models: HashMap<Model, RegisteredModel>,
    by_id: BTreeMap<FunctionId, Model>,
    /// Models without open calls, longest unused first.
    unused: BTreeSet<(u64, FunctionId)>,
    clock: u64,
    workers: BTreeMap<WorkerId, Arc<str>>,
    worker_ids: HashMap<Arc<str>, WorkerId>,
    zones: BTreeMap<String, u32>,
    kinds: BTreeMap<String, u32>,
    cells: BTreeMap<String, u32>,
    /// Models forgotten because [`crate::EngineLimits::models`] were remembered.
    pub forgotten: u64,
}

/// The first number from `hash` on that is not taken.
fn free_number(hash: u64, is_taken: impl Fn(u64) -> bool) -> u64 {
    let mut number = hash;
    while is_taken(number) {
        number = number.wrapping_add(1);
    }
    number
}

/// The number of a name, the next one for a new name.
fn number(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    if let Some(&known) = map.get(name) {
        return known;
    }
    let next = map.len() as u32;
    map.insert(name.to_owned(), next);
    next
}

impl Names {
    /// The number of a model for which a call is opened. `None`: `most` models have open calls, so that none can be
    /// forgotten.
    pub fn open(&mut self, model: Model, most: usize) -> Option<FunctionId> {
        self.clock += 1;
        if let Some(known) = self.models.get_mut(&model) {
            if known.open == 0 {
                self.unused.remove(&(known.used, known.id));
            }
            known.open += 1;
            return Some(known.id);
        }
        while self.models.len() >= most {
            let (_, oldest) = self.unused.pop_first()?;
            if let Some(gone) = self.by_id.remove(&oldest) {
                self.models.remove(&gone);
                self.forgotten += 1;
            }
        }
        let id = FunctionId(free_number(model.hash(), |number| self.by_id.contains_key(&FunctionId(number))));
        self.by_id.insert(id, model.clone());
        self.models.insert(model, RegisteredModel { id, open: 1, used: 0 });
        Some(id)
    }

    /// A call of the model has ended.
    pub fn close(&mut self, id: FunctionId) {
        self.clock += 1;
        let Some(known) = self.by_id.get(&id).and_then(|model| self.models.get_mut(model)) else { return };
        known.open = known.open.saturating_sub(1);
        if known.open == 0 {
            known.used = self.clock;
            self.unused.insert((known.used, id));
        }
    }

    /// The model of a number.
    pub fn model(&self, id: FunctionId) -> Option<&Model> {
        self.by_id.get(&id)
    }

    /// Models remembered.
    pub fn models(&self) -> usize {
        self.models.len()
    }

    /// The number of a worker.
    pub fn worker(&mut self, name: &str) -> WorkerId {
        if let Some(&known) = self.worker_ids.get(name) {
            return known;
        }
        let hash = xxh3_64(name.as_bytes());
        let id = WorkerId(free_number(hash, |number| self.workers.contains_key(&WorkerId(number))));
        let name: Arc<str> = name.into();
        self.workers.insert(id, Arc::clone(&name));
        self.worker_ids.insert(name, id);
        id
    }

    /// A worker's name, or a placeholder for one that is not listed.
    pub fn worker_name(&self, id: WorkerId) -> Arc<str> {
        self.workers.get(&id).cloned().unwrap_or_else(|| "unlisted".into())
    }

    /// Forgets the names of workers for which `keep` is false, so that a fleet that is replaced over and over
    /// does not fill the maps.
    pub fn retain_workers(&mut self, mut keep: impl FnMut(WorkerId) -> bool) {
        self.workers.retain(|id, _| keep(*id));
        let workers = &self.workers;
        self.worker_ids.retain(|_, id| workers.contains_key(id));
    }

    /// A worker of the list in numbers.
    pub fn entry(&mut self, member: &Member) -> WorkerEntry {
        WorkerEntry {
            worker: self.worker(&member.name),
            zone: self.zone(&member.zone),
            kind: KindId(number(&mut self.kinds, &member.kind)),
            weight: member.weight,
            cell: CellId(u64::from(number(&mut self.cells, &member.cell))),
            state: member.state,
            started_at: member.started_at,
        }
    }

    /// The number of a zone.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number(&mut self.zones, name))
    }
}

#[cfg(test)]
mod tests;
