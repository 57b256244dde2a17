//! Rendezvous hashing of functions over the workers in service, computed lazily.
//!
//! Each pair of function and worker has a score, derived from a hash of both ids and the weight of the
//! worker. The order of a function is its workers by ascending score, ties broken by id. [`Fleet`] is the
//! list of workers in service, shared by all functions, with a bounded log of recent changes. [`Homes`] holds
//! the first workers of one function's order. They are repaired from the change log when the function is next
//! used, or computed again in a pass over the list if the log does not reach back far enough. The rest of an
//! order is computed on demand and not stored.
//!
//! How much of an order is stored does not affect the order itself.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};

use crate::hash::splitmix64;
use crate::interface::{FunctionId, WorkerId};

/// Up to this many workers, each function stores its complete order.
const COMPLETE_ORDER_MAX: usize = 64;
/// Number of homes stored per function for longer lists.
const HOMES: usize = 24;
/// Expected number of workers found by the first pass over a longer list: more than `HOMES`, as the actual
/// number is random.
const TARGET_HOMES: f64 = 36.0;
/// The homes are computed again if fewer than this remain.
const MIN_HOMES: usize = 8;
/// Maximum length of the change log.
const CHANGE_LOG_MAX: usize = 1_024;
/// If a function missed more changes than the length of the list divided by this, computing its homes again
/// is cheaper than repairing them.
const REPAIR_RATIO: usize = 16;
/// Factor by which the score limit grows from one pass to the next.
const SCORE_STEP: f64 = 16.0;
/// After this many passes that found too few workers, the whole list is sorted: the weights differ too much.
const MAX_PASSES: u32 = 8;
/// Margin for the relative error of a score, which is a few units in the last place (about 1e-15).
const ROUNDING: f64 = 1e-9;

/// A position in an order: by score, ties broken by worker id.
#[derive(Clone, Copy)]
pub(crate) struct Position {
    /// The worker's score for the function; the lowest comes first.
    pub(crate) score: f64,
    worker: WorkerId,
}

impl Position {
    /// The position before every worker.
    const START: Self = Self::from_score(f64::NEG_INFINITY);

    /// The position before every worker with this score.
    const fn from_score(score: f64) -> Self {
        Self { score, worker: WorkerId(0) }
    }

    fn compare(&self, other: &Self) -> Ordering {
        self.score.total_cmp(&other.score).then(self.worker.cmp(&other.worker))
    }
}

/// The part of the score hash that depends only on the worker.
fn worker_hash(worker: WorkerId) -> u64 {
    splitmix64(worker.0.wrapping_mul(0x2545_f491_4f6c_dd1d))
}

/// Hashes the pair to a uniform value in (0, 1] and returns its negative logarithm divided by the weight, so
/// that a worker comes first for a share of the functions that is proportional to its weight.
fn score(function_hash: u64, worker_hash: u64, weight: f64) -> f64 {
    let hash = splitmix64(function_hash ^ worker_hash);
    let unit = ((hash >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    -unit.min(0.999_999_999).ln() / weight
}

/// A set of workers with the inputs of their scores, in parallel arrays for fast iteration.
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

    /// Returns the candidates from position `from` on with a score below `below`, in the function's order. An
    /// infinite `below` means no limit.
    ///
    /// The logarithm is computed only for scores that may be below the limit: with `unit` in (0, 1],
    /// `-ln(unit) >= 1 - unit`, and `1 - unit` is exactly the complement of the hash's upper bits divided by
    /// 2^53. A worker whose complement exceeds `below * weight`, plus a margin for rounding, has a score
    /// above the limit and is skipped.
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

/// The workers in service, with a log of changes.
#[derive(Default)]
pub(crate) struct Fleet {
    all: Candidates,
    /// Position of each worker in `all`.
    index: BTreeMap<WorkerId, usize>,
    /// Workers that were added, removed or weighted anew, the latest last.
    change_log: VecDeque<WorkerId>,
    /// Total number of changes, including those no longer in the log.
    change_count: u64,
    /// Score limit of the first pass that computes homes; 0 if it has to be estimated. Affects only the cost,
    /// not the result.
    score_limit: f64,
    /// Number of hashes computed so far.
    hash_count: Cell<u64>,
}

impl Fleet {
    pub(crate) fn is_empty(&self) -> bool {
        self.all.workers.is_empty()
    }

    /// Adds a worker with the given weight or changes its weight, which must be positive because scores are
    /// divided by it. Without a weight, removes the worker.
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
        self.change_count += 1;
        self.score_limit = 0.0;
        self.change_log.push_back(worker);
        if self.change_log.len() > CHANGE_LOG_MAX {
            self.change_log.pop_front();
        }
    }

    /// Number of function and worker hashes computed so far, a measure of the cost of long lists.
    pub(crate) fn hashes_computed(&self) -> u64 {
        self.hash_count.get()
    }

    fn count_hashes(&self, hashes: usize) {
        self.hash_count.set(self.hash_count.get() + hashes as u64);
    }

    /// Returns the worker's position in the function's order, or `None` if it is not in service.
    pub(crate) fn position(&self, function: FunctionId, worker: WorkerId) -> Option<Position> {
        let index = *self.index.get(&worker)?;
        self.count_hashes(1);
        let score = score(splitmix64(function.0), self.all.hashes[index], self.all.weights[index]);
        Some(Position { score, worker })
    }

    /// Returns those of the given workers that are in service, in the function's order.
    pub(crate) fn ranked(
        &self,
        function: FunctionId,
        workers: impl Iterator<Item = WorkerId>,
    ) -> Vec<WorkerId> {
        let mut positions: Vec<Position> = workers.filter_map(|w| self.position(function, w)).collect();
        positions.sort_unstable_by(Position::compare);
        positions.into_iter().map(|position| position.worker).collect()
    }

    /// Returns one part of the function's order beyond its homes, limited to the workers in `among` if given.
    /// The parts, numbered from 0 until `None` is returned, contain each worker once, in order.
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

    /// Estimates a score limit that about `TARGET_HOMES` workers are below, assuming similar weights.
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
    /// The homes are exactly the workers before this position; `None` if they are the complete order.
    end: Option<Position>,
    /// Value of `Fleet::change_count` at the last update plus 1, or 0 before the first update.
    changes_applied: u64,
}

impl Homes {
    pub(crate) fn workers(&self) -> &[WorkerId] {
        &self.workers
    }

    /// Whether the homes are the complete order.
    pub(crate) fn covers_all(&self) -> bool {
        self.end.is_none()
    }

    /// Applies the changes of the list since the last update.
    pub(crate) fn update(&mut self, function: FunctionId, fleet: &mut Fleet) {
        let current = fleet.change_count + 1;
        if self.changes_applied == current {
            return;
        }
        let missed = (current - self.changes_applied) as usize;
        let repairable = missed <= fleet.change_log.len() && missed <= fleet.all.workers.len() / REPAIR_RATIO;
        if self.changes_applied == 0 || !repairable || !self.repair(function, fleet, missed) {
            self.compute(function, fleet);
        }
        self.changes_applied = current;
    }

    /// Applies the last `missed` changes: removes the changed workers from the homes and inserts those that
    /// now belong there. Returns false if too few homes remain.
    fn repair(&mut self, function: FunctionId, fleet: &Fleet, missed: usize) -> bool {
        let changed = || fleet.change_log.range(fleet.change_log.len() - missed..);
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
        let max_homes = if self.covers_all() { COMPLETE_ORDER_MAX } else { 2 * HOMES };
        if self.workers.len() > max_homes {
            self.end = fleet.position(function, self.workers[HOMES]);
            self.workers.truncate(HOMES);
        }
        self.covers_all() || self.workers.len() >= MIN_HOMES
    }

    /// Computes the homes in one or more passes over the list, each with a higher score limit.
    fn compute(&mut self, function: FunctionId, fleet: &mut Fleet) {
        let (all, hash) = (fleet.all.workers.len(), splitmix64(function.0));
        if fleet.score_limit == 0.0 {
            fleet.score_limit = fleet.estimate_score_limit();
        }
        let (mut below, mut pass) = (fleet.score_limit, 1);
        let positions = loop {
            if all <= COMPLETE_ORDER_MAX || pass > MAX_PASSES {
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
        let kept = if all <= COMPLETE_ORDER_MAX { all } else { positions.len().min(HOMES) };
        let limit = Some(Position::from_score(below)).filter(|_| below < f64::INFINITY);
        self.end = positions.get(kept).copied().or(limit);
        self.workers = positions[..kept].iter().map(|position| position.worker).collect();
    }
}
