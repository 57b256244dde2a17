//! A shard of the queue: the samples of a subset of the series. At most one batch of a shard is in flight.

use std::collections::{BTreeSet, VecDeque};

use crate::Micros;
use crate::limits::Limits;
use crate::response::Response;
use crate::sample::QueuedSample;

/// A batch, or a part of a batch that was halved, that is in flight or has to be sent.
pub(crate) struct PendingBatch<V> {
    pub(crate) number: u64,
    pub(crate) attempts: u32,
    pub(crate) samples: Vec<QueuedSample<V>>,
}

/// The waiting samples of a shard, and the state of its current batch.
pub(crate) struct Shard<V> {
    /// Samples that are not part of a batch yet, in order of arrival.
    pub(crate) waiting: VecDeque<QueuedSample<V>>,
    /// Parts of the current batch, in the order in which they are sent. Only the first can be in flight.
    pub(crate) parts: VecDeque<PendingBatch<V>>,
    pub(crate) in_flight: bool,
    /// Time before which nothing is sent, because of the backoff.
    pub(crate) not_before: Micros,
    /// Number of times that the current batch or one of its parts was halved.
    splits: u32,
    /// Series of the current batch that were rejected in a part with no other series.
    rejected_series: Vec<u64>,
    /// Whether a part of the current batch was accepted. If none was, the rejections are attributed to the receiver
    /// and no series is excluded.
    partly_accepted: bool,
}

impl<V> Shard<V> {
    pub(crate) fn new() -> Self {
        Self {
            waiting: VecDeque::new(),
            parts: VecDeque::new(),
            in_flight: false,
            not_before: 0,
            splits: 0,
            rejected_series: Vec::new(),
            partly_accepted: false,
        }
    }

    /// Returns whether there is a batch that need not wait for further samples or for [`Limits::batch_age`].
    pub(crate) fn has_batch(&self, limits: &Limits, flushing: bool) -> bool {
        !self.parts.is_empty()
            || self.waiting.len() >= limits.batch_samples
            || flushing && !self.waiting.is_empty()
    }

    /// Returns whether a batch may be sent at `now`.
    pub(crate) fn is_ready(&self, now: Micros, limits: &Limits, flushing: bool) -> bool {
        if self.in_flight || now < self.not_before {
            return false;
        }
        self.has_batch(limits, flushing)
            || self.waiting.front().is_some_and(|first| first.arrived + limits.batch_age <= now)
    }

    /// Returns the time from which a batch may be sent, or `None` if the shard has no samples. Only valid while no
    /// batch is in flight.
    pub(crate) fn next_due(&self, limits: &Limits, flushing: bool) -> Option<Micros> {
        if self.has_batch(limits, flushing) {
            return Some(self.not_before);
        }
        self.waiting.front().map(|first| self.not_before.max(first.arrived + limits.batch_age))
    }

    /// Starts a new batch with up to `max_samples` waiting samples.
    pub(crate) fn begin_batch(&mut self, number: u64, max_samples: usize) {
        let samples = self.waiting.drain(..max_samples.min(self.waiting.len())).collect();
        (self.splits, self.partly_accepted) = (0, false);
        self.rejected_series.clear();
        self.parts.push_back(PendingBatch { number, attempts: 0, samples });
    }

    /// Moves samples that arrived before `since` to `removed`. Samples in flight are kept, since the receiver may
    /// have accepted them.
    pub(crate) fn remove_older(&mut self, since: Micros, removed: &mut Vec<QueuedSample<V>>) {
        while self.waiting.front().is_some_and(|first| first.arrived < since) {
            removed.extend(self.waiting.pop_front());
        }
        let in_flight = usize::from(self.in_flight);
        for part in self.parts.iter_mut().skip(in_flight) {
            let expired = part.samples.partition_point(|queued| queued.arrived < since);
            removed.extend(part.samples.drain(..expired));
        }
        let mut position = 0;
        self.parts.retain(|part| {
            position += 1;
            position <= in_flight || !part.samples.is_empty()
        });
    }

    /// Returns whether a part that was rejected as invalid may be halved.
    pub(crate) fn may_split(&self, part: &PendingBatch<V>, limits: &Limits) -> bool {
        part.samples.len() > 1 && self.splits < limits.max_splits
    }

    /// Halves a part and puts the halves before the other parts, so that the samples of a series stay in order.
    /// `numbers` are the batch numbers of the halves.
    pub(crate) fn split(&mut self, part: PendingBatch<V>, numbers: [u64; 2]) {
        self.splits += 1;
        let [first, second] = halves(part.samples);
        self.parts.push_front(PendingBatch { number: numbers[1], attempts: 0, samples: second });
        self.parts.push_front(PendingBatch { number: numbers[0], attempts: 0, samples: first });
    }

    /// Records the final response to a part. Once all parts of the batch have ended and at least one was accepted,
    /// returns the series to exclude; otherwise the result is empty.
    pub(crate) fn end_part(&mut self, part: &PendingBatch<V>, response: Response) -> Vec<u64> {
        if response == Response::Invalid
            && let Some(series) = part.samples.first().map(|queued| queued.sample.series)
            && part.samples.iter().all(|queued| queued.sample.series == series)
        {
            self.rejected_series.push(series);
        }
        self.partly_accepted |= response == Response::Accepted;
        if self.parts.is_empty() && self.partly_accepted {
            return std::mem::take(&mut self.rejected_series);
        }
        Vec::new()
    }
}

/// Halves samples by series if there are several series, otherwise by time. The samples of a series stay in order.
fn halves<V>(samples: Vec<QueuedSample<V>>) -> [Vec<QueuedSample<V>>; 2] {
    let series: BTreeSet<u64> = samples.iter().map(|queued| queued.sample.series).collect();
    match series.iter().nth(series.len() / 2).copied() {
        Some(middle) if series.len() > 1 => {
            let (first, second) = samples.into_iter().partition(|queued| queued.sample.series < middle);
            [first, second]
        }
        _ => {
            let mut first = samples;
            let second = first.split_off(first.len() / 2);
            [first, second]
        }
    }
}
