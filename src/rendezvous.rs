//! The rendezvous order of a function over the workers in service, found only as far as it is needed.
//!
//! Every worker has a score for every function, by a hash of both and the worker's weight; a function's
//! order is its workers by rising score, equal scores by id. [`Fleet`] is the list of workers in service,
//! one for all functions, with a bounded log of its latest changes. [`Homes`] is what one function keeps:
//! the first workers of its order, repaired from that log when the function is next used, and computed
//! again by one pass over the list where the log does not reach back. The rest of an order is computed on
//! demand, and not kept.
//!
//! Nothing here decides anything, and how much is kept never changes an order.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

use crate::hash::splitmix64;
use crate::interface::{FunctionId, WorkerId};

/// Each function keeps the complete order of a list of at most this many workers.
const COMPLETE_LIST: usize = 64;
/// Homes that a function keeps of a longer list.
const HOMES: usize = 24;
/// Homes that a pass over a longer list looks for: a few more than are kept, as their number is random.
const TARGET_HOMES: f64 = 36.0;
/// With fewer homes than this left, they are computed again.
const MIN_HOMES: usize = 8;
/// Changes of the list that are remembered.
const CHANGE_LOG: usize = 1_024;
/// A function that missed more than the list's length divided by this computes its homes again: that is
/// cheaper.
const REPAIR_RATIO: usize = 16;
/// Each pass that goes further looks for scores up to this many times as high.
const SCORE_STEP: f64 = 16.0;
/// After so many passes that found too few, the whole list is sorted: weights are far apart.
const MAX_PASSES: u32 = 8;
/// Relative error of a score that is provided for; it is a few units of the last place, near 1e-15.
const ROUNDING: f64 = 1e-9;

/// A position in an order: by score, equal scores by the worker's id.
#[derive(Clone, Copy)]
pub(crate) struct Position {
    /// The worker's score for the function, lowest first.
    pub(crate) score: f64,
    worker: WorkerId,
}

impl Position {
    /// Before every worker.
    const START: Self = Self::from_score(f64::NEG_INFINITY);

    /// Before every worker of this score.
    const fn from_score(score: f64) -> Self {
        Self { score, worker: WorkerId(0) }
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(self.worker.cmp(&other.worker))
    }
}

/// The part of a score's hash that depends on the worker alone.
fn worker_hash(worker: WorkerId) -> u64 {
    splitmix64(worker.0.wrapping_mul(0x2545_f491_4f6c_dd1d))
}

fn score(function_hash: u64, worker_hash: u64, weight: f64) -> f64 {
    let hash = splitmix64(function_hash ^ worker_hash);
    let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.min(0.999_999_999).ln() / weight
}

/// Some workers with what their scores are made from, side by side in memory.
#[derive(Default)]
pub(crate) struct Candidates {
    workers: Vec<WorkerId>,
    hashes: Vec<u64>,
    weights: Vec<f64>,
}

impl Candidates {
    pub(crate) fn push(&mut self, worker: WorkerId, weight: f64) {
        self.workers.push(worker);
        self.hashes.push(worker_hash(worker));
        self.weights.push(weight);
    }

    fn swap_remove(&mut self, index: usize) {
        self.workers.swap_remove(index);
        self.hashes.swap_remove(index);
        self.weights.swap_remove(index);
    }

    /// The candidates from position `from` on with a score below `below`, or all from there on where that is
    /// infinite, in the function's order.
    ///
    /// The logarithm is computed only where it may matter: with `unit` in (0, 1], `-ln(unit) >= 1 - unit`,
    /// and `1 - unit` is the complement of the hash's upper bits over 2^53, exactly. A worker whose
    /// complement is beyond `below * weight` (and a margin for rounding) has a score beyond `below`, and is
    /// left out.
    fn between(&self, function_hash: u64, from: Position, below: f64) -> Vec<Position> {
        let max_complement = below * (1u64 << 53) as f64 * (1.0 + ROUNDING);
        let mut found = Vec::new();
        for (index, (worker_hash, weight)) in self.hashes.iter().zip(&self.weights).enumerate() {
            let complement = !splitmix64(function_hash ^ worker_hash) >> 11;
            if complement as f64 > max_complement * weight {
                continue;
            }
            let score = score(function_hash, *worker_hash, *weight);
            let position = Position { score, worker: self.workers[index] };
            let beyond = score >= below && below < f64::INFINITY;
            if !beyond && position.compare(&from).is_ge() {
                found.push(position);
            }
        }
        found.sort_unstable_by(Position::compare);
        found
    }
}

/// The workers in service, and the log of changes to them.
#[derive(Default)]
pub(crate) struct Fleet {
    all: Candidates,
    index: BTreeMap<WorkerId, usize>,
    changed: VecDeque<WorkerId>,
    /// Changes so far, the forgotten ones as well.
    changes: u64,
    /// The score below which a pass looks for homes; 0: to be worked out. It sets the cost, not the result.
    score_limit: f64,
    hashes: Cell<u64>,
}

impl Fleet {
    pub(crate) fn is_empty(&self) -> bool {
        self.all.workers.is_empty()
    }

    /// Puts a worker in service with this weight (positive, as the scores divide by it), or out of service.
    pub(crate) fn set(&mut self, worker: WorkerId, weight: Option<f64>) {
        match (self.index.get(&worker).copied(), weight) {
            (None, None) => return,
            (Some(index), Some(weight)) if self.all.weights[index].to_bits() == weight.to_bits() => return,
            (Some(index), Some(weight)) => self.all.weights[index] = weight,
            (None, Some(weight)) => {
                self.index.insert(worker, self.all.workers.len());
                self.all.push(worker, weight);
            }
            (Some(index), None) => {
                self.index.remove(&worker);
                self.all.swap_remove(index);
                if let Some(moved) = self.all.workers.get(index) {
                    self.index.insert(*moved, index);
                }
            }
        }
        self.changes += 1;
        self.score_limit = 0.0;
        self.changed.push_back(worker);
        if self.changed.len() > CHANGE_LOG {
            self.changed.pop_front();
        }
    }

    /// Hashes of a function with a worker computed so far: the work that a long list costs.
    pub(crate) fn hashes_computed(&self) -> u64 {
        self.hashes.get()
    }

    fn count_hashes(&self, hashes: usize) {
        self.hashes.set(self.hashes.get() + hashes as u64);
    }

    /// A worker's position in a function's order, where it is in service.
    pub(crate) fn position(&self, function: FunctionId, worker: WorkerId) -> Option<Position> {
        let index = *self.index.get(&worker)?;
        self.count_hashes(1);
        let score = score(splitmix64(function.0), self.all.hashes[index], self.all.weights[index]);
        Some(Position { score, worker })
    }

    /// Those of some workers that are in service, in the function's order.
    pub(crate) fn ranked(
        &self,
        function: FunctionId,
        workers: impl Iterator<Item = WorkerId>,
    ) -> Vec<WorkerId> {
        let mut positions: Vec<Position> = workers.filter_map(|w| self.position(function, w)).collect();
        positions.sort_unstable_by(Position::compare);
        positions.into_iter().map(|position| position.worker).collect()
    }

    /// A part of a function's order beyond its homes, of all workers or of those in `among` alone: the parts
    /// from 0 on, until `None`, give each worker once, in order.
    pub(crate) fn beyond_homes(
        &self,
        function: FunctionId,
        homes: &Homes,
        part: u32,
        among: Option<&Candidates>,
    ) -> Option<Vec<WorkerId>> {
        let end = homes.end?;
        let first = end.score.max(f64::MIN_POSITIVE);
        let limit = |part: u32| match part {
            0 => first * SCORE_STEP,
            1 => first * SCORE_STEP * SCORE_STEP,
            _ => f64::INFINITY,
        };
        let from = match part {
            0 => end,
            1 | 2 => Position::from_score(limit(part - 1)),
            _ => return None,
        };
        if from.score == f64::INFINITY && part > 0 {
            return None;
        }
        let among = among.unwrap_or(&self.all);
        self.count_hashes(among.workers.len());
        let positions = among.between(splitmix64(function.0), from, limit(part));
        Some(positions.into_iter().map(|position| position.worker).collect())
    }

    /// A score below which about `TARGET_HOMES` workers lie, where weights are alike.
    fn estimate_score_limit(&self) -> f64 {
        let sum: f64 = self.all.weights.iter().filter(|w| w.is_finite()).sum();
        let limit = if sum > 0.0 { TARGET_HOMES / sum } else { 1.0 };
        limit.clamp(f64::MIN_POSITIVE, f64::MAX)
    }
}

/// The first workers of a function's order.
#[derive(Default)]
pub(crate) struct Homes {
    workers: Vec<WorkerId>,
    /// All workers before this position are kept, and no other; `None`: the order ends with them.
    end: Option<Position>,
    /// Changes of the list taken in, and one; 0: nothing was computed yet.
    changes_applied: u64,
}

impl Homes {
    pub(crate) fn workers(&self) -> &[WorkerId] {
        &self.workers
    }

    /// The order ends with the homes.
    pub(crate) fn covers_all(&self) -> bool {
        self.end.is_none()
    }

    /// Takes in what changed in the list since this was last called.
    pub(crate) fn update(&mut self, function: FunctionId, fleet: &mut Fleet) {
        let now = fleet.changes + 1;
        if self.changes_applied == now {
            return;
        }
        let missed = (now - self.changes_applied) as usize;
        let repairable = missed <= fleet.changed.len() && missed <= fleet.all.workers.len() / REPAIR_RATIO;
        if self.changes_applied == 0 || !repairable || !self.repair(function, fleet, missed) {
            self.compute(function, fleet);
        }
        self.changes_applied = now;
    }

    /// Takes in the latest changes one by one. False: too few homes are left.
    fn repair(&mut self, function: FunctionId, fleet: &Fleet, missed: usize) -> bool {
        let changed = || fleet.changed.range(fleet.changed.len() - missed..);
        for worker in changed() {
            self.workers.retain(|home| home != worker);
        }
        for worker in changed() {
            let Some(position) = fleet.position(function, *worker) else { continue };
            if self.end.is_some_and(|end| position.compare(&end).is_ge()) || self.workers.contains(worker) {
                continue;
            }
            let before = |home: &WorkerId| {
                fleet.position(function, *home).is_some_and(|other| other.compare(&position).is_lt())
            };
            let at = self.workers.partition_point(before);
            self.workers.insert(at, *worker);
        }
        let max_homes = if self.covers_all() { COMPLETE_LIST } else { 2 * HOMES };
        if self.workers.len() > max_homes {
            self.end = fleet.position(function, self.workers[HOMES]);
            self.workers.truncate(HOMES);
        }
        self.covers_all() || self.workers.len() >= MIN_HOMES
    }

    fn compute(&mut self, function: FunctionId, fleet: &mut Fleet) {
        let (all, hash) = (fleet.all.workers.len(), splitmix64(function.0));
        if fleet.score_limit == 0.0 {
            fleet.score_limit = fleet.estimate_score_limit();
        }
        let (mut below, mut pass) = (fleet.score_limit, 1);
        let positions = loop {
            if all <= COMPLETE_LIST || pass > MAX_PASSES {
                below = f64::INFINITY;
            }
            fleet.count_hashes(all);
            let positions = fleet.all.between(hash, Position::START, below);
            if positions.len() >= MIN_HOMES || below == f64::INFINITY {
                break positions;
            }
            (below, pass) = (below * SCORE_STEP, pass + 1);
        };
        if below < f64::INFINITY {
            fleet.score_limit = if positions.len() as f64 > TARGET_HOMES * SCORE_STEP {
                below / SCORE_STEP.sqrt()
            } else {
                below
            };
        }
        let kept = if all <= COMPLETE_LIST { all } else { positions.len().min(HOMES) };
        let limit = Some(Position::from_score(below)).filter(|_| below < f64::INFINITY);
        self.end = positions.get(kept).copied().or(limit);
        self.workers = positions[..kept].iter().map(|position| position.worker).collect();
    }
}
