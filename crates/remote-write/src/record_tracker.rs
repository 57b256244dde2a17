//! Tracks which records of the write-ahead log still have samples in the queue. A record may be acknowledged once the
//! last of its samples has left the queue.

use std::collections::BTreeMap;

/// Records with the same sample timestamp, and the number of their samples that are still queued.
#[derive(Debug)]
struct OpenRound<P> {
    records: Vec<P>,
    samples_left: usize,
}

/// Records with samples that are still queued. `P` identifies a record, such as its position in the log.
#[derive(Debug)]
pub struct RecordTracker<P> {
    /// Rounds by the timestamp of their samples. A round usually has one record.
    open: BTreeMap<i64, OpenRound<P>>,
}

impl<P> Default for RecordTracker<P> {
    fn default() -> Self {
        Self { open: BTreeMap::new() }
    }
}

impl<P> RecordTracker<P> {
    /// Adds a record with this number of samples, all with the timestamp `at_ms`.
    pub fn add(&mut self, at_ms: i64, record: P, samples: usize) {
        let empty = || OpenRound { records: Vec::new(), samples_left: 0 };
        let round = self.open.entry(at_ms).or_insert_with(empty);
        round.records.push(record);
        round.samples_left += samples;
    }

    /// Handles a sample with the timestamp `at_ms` that has left the queue. If it was the last queued sample with this
    /// timestamp, returns the records with the timestamp. Otherwise the result is empty.
    pub fn complete_sample(&mut self, at_ms: i64) -> Vec<P> {
        let Some(round) = self.open.get_mut(&at_ms) else { return Vec::new() };
        round.samples_left = round.samples_left.saturating_sub(1);
        if round.samples_left > 0 {
            return Vec::new();
        }
        self.open.remove(&at_ms).map(|round| round.records).unwrap_or_default()
    }

    /// Returns the number of timestamps of which samples are still queued.
    pub fn open_rounds(&self) -> usize {
        self.open.len()
    }
}

#[cfg(test)]
mod tests;
