//! Which record of the spool holds which samples: a record is done when the last of its samples is gone.

use std::collections::BTreeMap;

/// Records with samples that are not gone. `P` names a record.
#[derive(Debug)]
pub struct RecordTracker<P> {
    /// By the time of their samples: a round has one time and, as a rule, one record.
    open: BTreeMap<i64, (Vec<P>, usize)>,
}

impl<P> Default for RecordTracker<P> {
    fn default() -> Self {
        Self { open: BTreeMap::new() }
    }
}

impl<P> RecordTracker<P> {
    /// A record holds so many samples of this time.
    pub fn began(&mut self, at_ms: i64, record: P, samples: usize) {
        let (records, left) = self.open.entry(at_ms).or_default();
        records.push(record);
        *left += samples;
    }

    /// A sample of this time is gone: taken, refused or dropped. The records that are done with it.
    pub fn gone(&mut self, at_ms: i64) -> Vec<P> {
        let Some((_, left)) = self.open.get_mut(&at_ms) else { return Vec::new() };
        *left = left.saturating_sub(1);
        if *left > 0 {
            return Vec::new();
        }
        self.open.remove(&at_ms).map(|(records, _)| records).unwrap_or_default()
    }

    /// Rounds with samples that are not gone.
    pub fn rounds(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests;
