//! Series that the receiver rejected alone: their samples are not queued for a while.

use std::collections::BTreeMap;

use crate::Micros;
use crate::limits::Limits;

#[derive(Debug, Default)]
pub(crate) struct ExcludedSeries {
    /// Until when, by series.
    until: BTreeMap<u64, Micros>,
}

impl ExcludedSeries {
    pub(crate) fn len(&self) -> usize {
        self.until.len()
    }

    /// Excludes a series, where there is room.
    pub(crate) fn insert(&mut self, now: Micros, series: u64, limits: &Limits) {
        if self.until.len() < limits.max_excluded_series {
            self.until.insert(series, now + limits.exclusion_period);
        }
    }

    /// Whether a series is excluded now; one whose time is over is forgotten.
    pub(crate) fn contains(&mut self, now: Micros, series: u64) -> bool {
        let until = self.until.get(&series).copied();
        if until.is_some_and(|until| until <= now) {
            self.until.remove(&series);
        }
        until.is_some_and(|until| until > now)
    }
}
