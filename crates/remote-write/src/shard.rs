//! A shard: the samples of some series, of which one batch is in flight at a time.

use std::collections::{BTreeSet, VecDeque};

use crate::Micros;
use crate::limits::Limits;
use crate::response::Response;
use crate::sample::QueuedSample;

/// A batch, or what is left of one that was halved.
pub(crate) struct PendingBatch<V> {
    pub(crate) number: u64,
    pub(crate) attempts: u32,
    pub(crate) samples: Vec<QueuedSample<V>>,
}

pub(crate) struct Shard<V> {
    pub(crate) waiting: VecDeque<QueuedSample<V>>,
    /// The first is in flight, or waits to be sent again; the others are further parts of the same batch.
    pub(crate) parts: VecDeque<PendingBatch<V>>,
    pub(crate) in_flight: bool,
    /// Nothing is sent before.
    pub(crate) not_before: Micros,
    /// How often the batch was halved.
    splits: u32,
    /// Series of the batch that were rejected alone.
    rejected_series: Vec<u64>,
    /// Whether anything of the batch was accepted: else the fault is the receiver's.
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

    /// Whether it has a batch to send without waiting for more samples or time.
    pub(crate) fn has_batch(&self, limits: &Limits, flushing: bool) -> bool {
        !self.parts.is_empty()
            || self.waiting.len() >= limits.batch_samples
            || flushing && !self.waiting.is_empty()
    }

    /// Whether it may send a batch now.
    pub(crate) fn is_ready(&self, now: Micros, limits: &Limits, flushing: bool) -> bool {
        if self.in_flight || now < self.not_before {
            return false;
        }
        self.has_batch(limits, flushing)
            || self.waiting.front().is_some_and(|first| first.arrived + limits.batch_age <= now)
    }

    /// When it may have a batch to send; `None`: not before a sample is offered.
    pub(crate) fn next_due(&self, limits: &Limits, flushing: bool) -> Option<Micros> {
        if self.has_batch(limits, flushing) {
            return Some(self.not_before);
        }
        self.waiting.front().map(|first| self.not_before.max(first.arrived + limits.batch_age))
    }

    /// Makes a new batch of waiting samples.
    pub(crate) fn begin_batch(&mut self, number: u64, max_samples: usize) {
        let samples = self.waiting.drain(..max_samples.min(self.waiting.len())).collect();
        (self.splits, self.partly_accepted) = (0, false);
        self.rejected_series.clear();
        self.parts.push_back(PendingBatch { number, attempts: 0, samples });
    }

    /// Takes out samples that arrived before a time, apart from those in flight: they may have been accepted.
    pub(crate) fn remove_older(&mut self, since: Micros, removed: &mut Vec<QueuedSample<V>>) {
        while self.waiting.front().is_some_and(|first| first.arrived < since) {
            removed.extend(self.waiting.pop_front());
        }
        let in_flight = usize::from(self.in_flight);
        for part in self.parts.iter_mut().skip(in_flight) {
            let fresh = part.samples.partition_point(|queued| queued.arrived < since);
            removed.extend(part.samples.drain(..fresh));
        }
        let mut position = 0;
        self.parts.retain(|part| {
            position += 1;
            position <= in_flight || !part.samples.is_empty()
        });
    }

    /// Whether an invalid part may be halved.
    pub(crate) fn may_split(&self, part: &PendingBatch<V>, limits: &Limits) -> bool {
        part.samples.len() > 1 && self.splits < limits.max_splits
    }

    /// Puts the halves of a part, with these numbers, before the other parts: a series stays in order.
    pub(crate) fn split(&mut self, part: PendingBatch<V>, numbers: [u64; 2]) {
        self.splits += 1;
        let [first, second] = halves(part.samples);
        self.parts.push_front(PendingBatch { number: numbers[1], attempts: 0, samples: second });
        self.parts.push_front(PendingBatch { number: numbers[0], attempts: 0, samples: first });
    }

    /// Notes the end of a part. Returns the series to exclude, once all parts of the batch have ended.
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

/// Halves by series where there are several, else by time; each series stays in order.
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
