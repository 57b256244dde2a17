//! Which record of the log holds which samples: a record may be acknowledged when its last sample has left the queue.

use std::collections::BTreeMap;

/// Records written at one time.
#[derive(Debug)]
struct OpenRound<P> {
    records: Vec<P>,
    samples_left: usize,
}

/// Records with samples that are still queued. `P` names a record.
#[derive(Debug)]
pub struct RecordTracker<P> {
    /// By the time of their samples: a round has one time and, as a rule, one record.
    open: BTreeMap<i64, OpenRound<P>>,
}

impl<P> Default for RecordTracker<P> {
    fn default() -> Self {
        Self { open: BTreeMap::new() }
    }
}

impl<P> RecordTracker<P> {
    /// Adds a record that holds so many samples of this time.
    pub fn add(&mut self, at_ms: i64, record: P, samples: usize) {
        let empty = || OpenRound { records: Vec::new(), samples_left: 0 };
        let round = self.open.entry(at_ms).or_insert_with(empty);
        round.records.push(record);
        round.samples_left += samples;
    }

    /// A sample of this time has left the queue. Returns the records that are complete with it.
    pub fn complete_sample(&mut self, at_ms: i64) -> Vec<P> {
        let Some(round) = self.open.get_mut(&at_ms) else { return Vec::new() };
        round.samples_left = round.samples_left.saturating_sub(1);
        if round.samples_left > 0 {
            return Vec::new();
        }
        self.open.remove(&at_ms).map(|round| round.records).unwrap_or_default()
    }

    /// Rounds with samples that are still queued.
    pub fn open_rounds(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests;
