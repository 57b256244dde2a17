//! Mapping from names of models, workers, zones, machine kinds and cells to the decision module's numeric ids, and back
//! for models and workers.
//!
//! The id of a model or worker is a hash of its name (XXH3, 64 bits). The decision module's order of workers for a
//! function thus is the same at every controller without any shared state. If two names have the same hash, the one
//! registered later gets the next free id, and its order may differ between controllers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use nettleferry::{CellId, FunctionId, KindId, WorkerEntry, WorkerId, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

use crate::events::Member;

/// Name and version of a model, as clients state them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Model {
    /// The model's name.
    pub name: Arc<str>,
    /// The model's version; an empty version leaves the choice to the worker.
    pub version: Arc<str>,
}

impl Model {
    fn hash(&self) -> u64 {
        let mut text = Vec::with_capacity(self.name.len() + 1 + self.version.len());
        text.extend_from_slice(self.name.as_bytes());
        // The zero byte separates name and version, since names contain none.
        text.push(0);
        text.extend_from_slice(self.version.as_bytes());
        xxh3_64(&text)
    }
}

struct RegisteredModel {
    id: FunctionId,
    open_calls: u32,
    /// Value of [`Names::clock`] when the last open call ended.
    last_used: u64,
}

/// Registry of models, workers, zones, machine kinds and cells. Models without open calls are evicted in least recently
/// used order once the limit on models is reached.
#[derive(Default)]
pub struct Names {
    models: HashMap<Model, RegisteredModel>,
    by_id: BTreeMap<FunctionId, Model>,
    /// Models without open calls, least recently used first.
    unused: BTreeSet<(u64, FunctionId)>,
    /// Counts opened and closed calls; orders models by last use.
    clock: u64,
    workers: BTreeMap<WorkerId, Arc<str>>,
    worker_ids: HashMap<Arc<str>, WorkerId>,
    zones: BTreeMap<String, u32>,
    kinds: BTreeMap<String, u32>,
    cells: BTreeMap<String, u32>,
    /// Number of models evicted because of [`crate::EngineLimits::models`].
    pub forgotten: u64,
}

/// The first id from `hash` upwards that is not taken.
fn free_number(hash: u64, is_taken: impl Fn(u64) -> bool) -> u64 {
    let mut number = hash;
    while is_taken(number) {
        number = number.wrapping_add(1);
    }
    number
}

/// The id of a name. A new name is assigned the next id.
fn number(map: &mut BTreeMap<String, u32>, name: &str) -> u32 {
    if let Some(&known) = map.get(name) {
        return known;
    }
    let next = map.len() as u32;
    map.insert(name.to_owned(), next);
    next
}

impl Names {
    /// Counts an opened call of a model and returns the model's id. At most `max_models` models are kept. Returns
    /// `None` if all of them have open calls, so that none can be evicted.
    pub fn open(&mut self, model: Model, max_models: usize) -> Option<FunctionId> {
        self.clock += 1;
        if let Some(known) = self.models.get_mut(&model) {
            if known.open_calls == 0 {
                self.unused.remove(&(known.last_used, known.id));
            }
            known.open_calls += 1;
            return Some(known.id);
        }
        while self.models.len() >= max_models {
            let (_, oldest) = self.unused.pop_first()?;
            if let Some(evicted) = self.by_id.remove(&oldest) {
                self.models.remove(&evicted);
                self.forgotten += 1;
            }
        }
        let id = FunctionId(free_number(model.hash(), |number| self.by_id.contains_key(&FunctionId(number))));
        self.by_id.insert(id, model.clone());
        self.models.insert(model, RegisteredModel { id, open_calls: 1, last_used: 0 });
        Some(id)
    }

    /// Counts the end of a call of a model.
    pub fn close(&mut self, id: FunctionId) {
        self.clock += 1;
        let Some(known) = self.by_id.get(&id).and_then(|model| self.models.get_mut(model)) else { return };
        known.open_calls = known.open_calls.saturating_sub(1);
        if known.open_calls == 0 {
            known.last_used = self.clock;
            self.unused.insert((known.last_used, id));
        }
    }

    /// The model with this id; `None` if it is not registered.
    pub fn model(&self, id: FunctionId) -> Option<&Model> {
        self.by_id.get(&id)
    }

    /// Number of registered models.
    pub fn models(&self) -> usize {
        self.models.len()
    }

    /// The id of a worker. A new name is assigned an id.
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

    /// The name of a worker, or the placeholder `unlisted` for an unknown id.
    pub fn worker_name(&self, id: WorkerId) -> Arc<str> {
        self.workers.get(&id).cloned().unwrap_or_else(|| "unlisted".into())
    }

    /// Drops the names of workers for which `keep` is false. Without this the maps would grow with every worker that is
    /// replaced under a new name.
    pub fn retain_workers(&mut self, mut keep: impl FnMut(WorkerId) -> bool) {
        self.workers.retain(|id, _| keep(*id));
        let workers = &self.workers;
        self.worker_ids.retain(|_, id| workers.contains_key(id));
    }

    /// Converts an entry of the worker list to the decision module's type, with ids in place of names.
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

    /// The id of a zone. A new name is assigned an id.
    pub fn zone(&mut self, name: &str) -> ZoneId {
        ZoneId(number(&mut self.zones, name))
    }
}

#[cfg(test)]
mod tests;
