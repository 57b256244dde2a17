//! Measures the time from a change until each follower receives it, and until all have received it.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use nettleferry_tenancy::Revision;

use super::report::ChangePropagation;
use crate::report::histogram;

/// Maximum number of pending changes. If there are more, the oldest counts as incomplete.
const MAX_PENDING: usize = 256;

/// Propagation times of changes, and the changes that have not reached all followers yet.
#[derive(Debug)]
pub struct Propagation {
    followers: usize,
    /// Changes that have not reached all followers. Each has its propagation times so far, in milliseconds, one per
    /// follower reached.
    pending: BTreeMap<Revision, Vec<u32>>,
    /// Newest change that was abandoned as incomplete. It and all older ones are no longer tracked.
    abandoned: Option<Revision>,
    /// Time from a change until a follower received it, in microseconds.
    pub to_each: Histogram<u64>,
    /// Time from a change until the last follower received it, in microseconds.
    pub to_last: Histogram<u64>,
    /// Number of changes that did not reach all followers.
    pub incomplete: u64,
}

impl Propagation {
    /// Creates an empty measurement for this number of followers.
    pub fn new(followers: usize) -> Self {
        let (to_each, to_last) = (histogram(), histogram());
        Self { followers, pending: BTreeMap::new(), abandoned: None, to_each, to_last, incomplete: 0 }
    }

    /// Records that a follower received a change `after_ms` milliseconds after it was made. Returns the change with its
    /// propagation times if this was the last follower.
    pub fn record(&mut self, revision: Revision, after_ms: u64) -> Option<ChangePropagation> {
        self.to_each.saturating_record(after_ms * 1_000);
        if self.abandoned.is_some_and(|abandoned| revision <= abandoned) {
            return None;
        }
        let times = self.pending.entry(revision).or_default();
        times.push(u32::try_from(after_ms).unwrap_or(u32::MAX));
        if times.len() < self.followers {
            if self.pending.len() > MAX_PENDING {
                self.abandoned = self.pending.pop_first().map(|(revision, _)| revision);
                self.incomplete += 1;
            }
            return None;
        }
        let mut times = self.pending.remove(&revision)?;
        times.sort_unstable();
        let max_ms = times.last().copied().unwrap_or(0);
        self.to_last.saturating_record(u64::from(max_ms) * 1_000);
        let followers = times.len() as u64;
        Some(ChangePropagation {
            revision,
            followers,
            p50_ms: percentile(&times, 50),
            p99_ms: percentile(&times, 99),
            max_ms,
        })
    }

    /// Clears the measurements after they were reported. Pending changes stay pending.
    pub fn reset(&mut self) {
        self.to_each.reset();
        self.to_last.reset();
        self.incomplete = 0;
    }

    /// Ends the measurement. Changes that are still pending count as incomplete.
    pub fn finish(&mut self) {
        self.incomplete += self.pending.len() as u64;
        self.pending.clear();
    }
}

/// Returns the percentile of sorted values by the nearest-rank method; 0 if there are none.
fn percentile(sorted: &[u32], percent: usize) -> u32 {
    let index = (sorted.len() * percent).div_ceil(100).saturating_sub(1);
    sorted.get(index).copied().unwrap_or(0)
}
