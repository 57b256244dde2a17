//! Set of excluded series. A series is excluded for a period after the receiver rejected it while it accepted other
//! series of the same batch. Samples of an excluded series are not queued.

use std::collections::BTreeMap;

use crate::Micros;
use crate::limits::Limits;

/// The excluded series. Entries whose exclusion has ended remain until [`ExcludedSeries::contains`] is called for them.
#[derive(Debug, Default)]
pub(crate) struct ExcludedSeries {
    /// Time at which the exclusion of each series ends.
    until: BTreeMap<u64, Micros>,
}

impl ExcludedSeries {
    pub(crate) fn len(&self) -> usize {
        self.until.len()
    }

    /// Excludes a series for [`Limits::exclusion_period`], unless [`Limits::max_excluded_series`] is reached.
    pub(crate) fn insert(&mut self, now: Micros, series: u64, limits: &Limits) {
        if self.until.len() < limits.max_excluded_series {
            self.until.insert(series, now + limits.exclusion_period);
        }
    }

    /// Returns whether a series is excluded at `now`, and removes the entry if its exclusion has ended.
    pub(crate) fn contains(&mut self, now: Micros, series: u64) -> bool {
        let until = self.until.get(&series).copied();
        if until.is_some_and(|until| until <= now) {
            self.until.remove(&series);
        }
        until.is_some_and(|until| until > now)
    }
}
