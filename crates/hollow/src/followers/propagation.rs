//! How long changes take to come to each follower and to the last of them.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use nettleferry_tenancy::Revision;

use super::report::Change;
use crate::report::histogram;

/// Changes on their way to the followers at the most; beyond them the oldest counts as incomplete.
const MOST_OPEN: usize = 256;

/// Changes on their way.
#[derive(Debug)]
pub struct Propagation {
    followers: usize,
    /// By revision: how long each follower waited that has it, milliseconds.
    open: BTreeMap<Revision, Vec<u32>>,
    /// The newest change that was given up as incomplete.
    given_up: Option<Revision>,
    /// From a change until a follower had it, microseconds.
    pub to_each: Histogram<u64>,
    /// From a change until the last one had it, microseconds.
    pub to_last: Histogram<u64>,
    /// Changes that did not come to all.
    pub incomplete: u64,
}

impl Propagation {
    /// To so many followers.
    pub fn new(followers: usize) -> Self {
        let (to_each, to_last) = (histogram(), histogram());
        Self { followers, open: BTreeMap::new(), given_up: None, to_each, to_last, incomplete: 0 }
    }

    /// A follower has a change, so long after it was made. `Some`: it was the last one.
    pub fn record(&mut self, revision: Revision, after_ms: u64) -> Option<Change> {
        self.to_each.saturating_record(after_ms * 1_000);
        if self.given_up.is_some_and(|given_up| revision <= given_up) {
            return None;
        }
        let waits = self.open.entry(revision).or_default();
        waits.push(u32::try_from(after_ms).unwrap_or(u32::MAX));
        if waits.len() < self.followers {
            if self.open.len() > MOST_OPEN {
                self.given_up = self.open.pop_first().map(|(revision, _)| revision);
                self.incomplete += 1;
            }
            return None;
        }
        let mut waits = self.open.remove(&revision)?;
        waits.sort_unstable();
        let max_ms = waits.last().copied().unwrap_or(0);
        self.to_last.saturating_record(u64::from(max_ms) * 1_000);
        let followers = waits.len() as u64;
        Some(Change { revision, followers, p50_ms: part(&waits, 50), p99_ms: part(&waits, 99), max_ms })
    }

    /// What was measured has been told: it is measured anew. Changes on their way stay on it.
    pub fn reset(&mut self) {
        self.to_each.reset();
        self.to_last.reset();
        self.incomplete = 0;
    }

    /// The run is over: what is on its way does not come to all.
    pub fn finish(&mut self) {
        self.incomplete += self.open.len() as u64;
        self.open.clear();
    }
}

/// What so many of a hundred sorted values are at most.
fn part(sorted: &[u32], percent: usize) -> u32 {
    let at = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(at).copied().unwrap_or(0)
}
