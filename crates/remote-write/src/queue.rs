//! The queue between a controller's metrics and a remote-write receiver.
//!
//! Samples go to a shard by their series, so that a series is sent in order; a shard has one batch in flight at a time. A
//! batch is sent when it is large or old enough. Responses are of four kinds: accepted; rejected for good (dropped,
//! counted, never sent again); invalid, which is rejected for what is in it: the batch is halved, by series and then by
//! time, until the invalid samples stand alone and are dropped, with a bound on how often, and a series that was rejected
//! alone while others of its batch were accepted is excluded for a while; or unavailable (the same batch again after a
//! backoff that doubles, with jitter, or after Retry-After).
//!
//! A full queue drops the oldest samples first, of all shards: the newest are worth most. Samples that are too old are
//! dropped as well, apart from a batch in flight: it may have been accepted.
//!
//! How fast a backlog drains: the shards that may have a batch in flight are a window that halves with each "unavailable"
//! and grows by one with each accepted batch, so that a receiver that returns gets one batch, then two, then three.
//! Shards are served round robin, so that one with a long backlog does not starve the fresh samples of the others; within
//! a series nothing may overtake.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use crate::excluded::ExcludedSeries;
use crate::limits::Limits;
use crate::response::{Counters, Response};
use crate::sample::{Batch, HeapSize, QueuedSample, Sample};
use crate::shard::{PendingBatch, Shard};

/// The exponent of the backoff is at most this: beyond it the longest backoff is reached.
const MAX_DOUBLINGS: u32 = 20;

/// The queue.
pub struct Queue<V = f64> {
    limits: Limits,
    shards: Vec<Shard<V>>,
    /// The time of the last sample of each series.
    last_times: BTreeMap<u64, i64>,
    excluded: ExcludedSeries,
    random: ChaCha8Rng,
    /// Samples and bytes in the queue.
    samples: usize,
    bytes: usize,
    /// The last numbers given to a sample and to a batch.
    sequence: u64,
    batch_number: u64,
    /// Shards that may have a batch in flight.
    window: usize,
    /// The shard that is served first.
    next_shard: usize,
    /// Nothing is sent before, as the receiver has asked.
    paused_until: Micros,
    counters: Counters,
    /// Nothing waits for its batch to fill any more.
    flushing: bool,
    /// Times of samples that have left the queue.
    completed: Vec<i64>,
}

impl<V: Clone + HeapSize> Queue<V> {
    /// An empty queue.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            shards: (0..limits.shards.max(1)).map(|_| Shard::new()).collect(),
            last_times: BTreeMap::new(),
            excluded: ExcludedSeries::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            samples: 0,
            bytes: 0,
            sequence: 0,
            batch_number: 0,
            window: 1,
            next_shard: 0,
            paused_until: 0,
            counters: Counters::default(),
            flushing: false,
            completed: Vec::new(),
        }
    }

    /// What became of samples.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Takes the times of samples that have left the queue in whatever way, for an owner that stores them elsewhere too.
    /// To be called after each event.
    pub fn drain_completed(&mut self) -> std::vec::Drain<'_, i64> {
        self.completed.drain(..)
    }

    /// From now on nothing waits for its batch to fill: the sender is about to end.
    pub fn flush(&mut self) {
        self.flushing = true;
    }

    /// Samples in the queue, those in flight included.
    pub fn len(&self) -> usize {
        self.samples
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.samples == 0
    }

    /// Bytes in the queue.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Series that are excluded, as they were rejected alone.
    pub fn excluded_series(&self) -> usize {
        self.excluded.len()
    }

    /// Age of the oldest sample in the queue.
    pub fn oldest_age(&self, now: Micros) -> Micros {
        let waiting = self.shards.iter().filter_map(|shard| shard.waiting.front());
        let parts =
            self.shards.iter().flat_map(|shard| shard.parts.iter().filter_map(|part| part.samples.first()));
        waiting.chain(parts).map(|queued| now.saturating_sub(queued.arrived)).max().unwrap_or(0)
    }

    /// Adds a sample, or counts why it is dropped.
    pub fn offer(&mut self, now: Micros, sample: Sample<V>) {
        self.counters.offered += 1;
        let last = self.last_times.get(&sample.series).copied();
        if last.is_some_and(|last| last >= sample.at_ms) {
            self.counters.dropped_order += 1;
            self.completed.push(sample.at_ms);
            return;
        }
        if last.is_none() && self.last_times.len() >= self.limits.max_series {
            self.counters.dropped_series += 1;
            self.completed.push(sample.at_ms);
            return;
        }
        self.last_times.insert(sample.series, sample.at_ms);
        if self.excluded.contains(now, sample.series) {
            self.counters.rejected += 1;
            self.completed.push(sample.at_ms);
            return;
        }
        self.enqueue(now, sample);
    }

    fn enqueue(&mut self, now: Micros, sample: Sample<V>) {
        self.sequence += 1;
        let shard = (mix(sample.series) % self.shards.len() as u64) as usize;
        let queued = QueuedSample { sample, arrived: now, sequence: self.sequence };
        let size = queued.size();
        while self.bytes + size > self.limits.max_bytes {
            if !self.drop_oldest() {
                // All samples in the queue are in flight: there is no room for the new one.
                self.counters.dropped_full += 1;
                self.completed.push(queued.sample.at_ms);
                return;
            }
        }
        self.samples += 1;
        self.bytes += size;
        self.shards[shard].waiting.push_back(queued);
    }

    /// Counts out samples that have left the queue.
    fn complete(&mut self, samples: &[QueuedSample<V>]) {
        self.samples -= samples.len();
        self.bytes -= samples.iter().map(QueuedSample::size).sum::<usize>();
        self.completed.extend(samples.iter().map(|queued| queued.sample.at_ms));
    }

    /// Drops the oldest sample that waits; false: none does.
    fn drop_oldest(&mut self) -> bool {
        let shards = self.shards.iter_mut().filter(|shard| !shard.waiting.is_empty());
        let oldest = shards.min_by_key(|shard| shard.waiting.front().map(|first| first.sequence));
        let Some(oldest) = oldest.and_then(|shard| shard.waiting.pop_front()) else { return false };
        self.complete(&[oldest]);
        self.counters.dropped_full += 1;
        true
    }

    fn drop_old(&mut self, now: Micros) {
        let since = now.saturating_sub(self.limits.max_age);
        let mut old = Vec::new();
        for shard in &mut self.shards {
            shard.remove_older(since, &mut old);
        }
        self.complete(&old);
        self.counters.dropped_old += old.len() as u64;
    }

    /// Appends what is to be sent now to `send`; for each batch one [`Queue::handle_response`] is to follow.
    pub fn due(&mut self, now: Micros, send: &mut Vec<Batch<V>>) {
        self.drop_old(now);
        if now < self.paused_until {
            return;
        }
        let count = self.shards.len();
        for step in 0..count {
            if self.busy_shards() >= self.window {
                return;
            }
            let shard = (self.next_shard + step) % count;
            if self.shards[shard].is_ready(now, &self.limits, self.flushing)
                && let Some(batch) = self.take_batch(shard)
            {
                send.push(batch);
                // The next round begins after the last shard that sent one.
                self.next_shard = shard;
            }
        }
        self.next_shard = (self.next_shard + 1) % count;
    }

    /// Shards with a batch in flight.
    fn busy_shards(&self) -> usize {
        self.shards.iter().filter(|shard| shard.in_flight).count()
    }

    fn take_batch(&mut self, index: usize) -> Option<Batch<V>> {
        let shard = &mut self.shards[index];
        if shard.parts.is_empty() {
            self.batch_number += 1;
            shard.begin_batch(self.batch_number, self.limits.batch_samples.max(1));
        }
        let part = shard.parts.front_mut()?;
        shard.in_flight = true;
        self.counters.batches += 1;
        self.counters.retries += u64::from(part.attempts > 0);
        let samples = part.samples.iter().map(|queued| queued.sample.clone()).collect();
        let batch = Batch { shard: index, number: part.number, attempts: part.attempts, samples };
        part.attempts += 1;
        Some(batch)
    }

    /// Handles the response to a batch; one to a batch that is not in flight is ignored.
    pub fn handle_response(&mut self, now: Micros, shard: usize, number: u64, response: Response) {
        let Some(state) = self.shards.get_mut(shard).filter(|state| state.in_flight) else { return };
        let Some(part) = state.parts.front().filter(|part| part.number == number) else { return };
        let attempts = part.attempts;
        state.in_flight = false;
        if let Response::Unavailable { retry_after } = response {
            return self.back_off(now, shard, attempts, retry_after);
        }
        let Some(part) = state.parts.pop_front() else { return };
        if response == Response::Invalid && state.may_split(&part, &self.limits) {
            self.batch_number += 2;
            state.split(part, [self.batch_number - 1, self.batch_number]);
            self.counters.splits += 1;
            return;
        }
        for series in state.end_part(&part, response) {
            self.excluded.insert(now, series, &self.limits);
        }
        self.end_part(&part, response);
    }

    /// Counts a part that was accepted or rejected.
    fn end_part(&mut self, part: &PendingBatch<V>, response: Response) {
        self.complete(&part.samples);
        let count = part.samples.len() as u64;
        if response == Response::Accepted {
            self.counters.accepted += count;
            self.window = (self.window + 1).min(self.shards.len());
        } else {
            self.counters.rejected += count;
        }
    }

    /// The receiver is unavailable: the shard waits, and all shards where Retry-After was given.
    fn back_off(&mut self, now: Micros, shard: usize, attempts: u32, retry_after: Option<Micros>) {
        self.window = (self.window / 2).max(1);
        let doubled = self.limits.first_backoff.saturating_mul(1 << (attempts - 1).min(MAX_DOUBLINGS));
        let backoff = doubled.min(self.limits.max_backoff).max(1);
        // At least half of it, with jitter, so that shards that failed together do not retry together.
        let wait = backoff / 2 + self.random.random_range(0..=backoff / 2);
        self.shards[shard].not_before = now + wait;
        if let Some(after) = retry_after {
            self.paused_until = self.paused_until.max(now + after.min(self.limits.max_retry_after));
        }
    }

    /// When [`Queue::due`] may return something next; `None`: not before a sample is offered or a response comes.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.busy_shards() >= self.window {
            return None;
        }
        let idle = self.shards.iter().filter(|shard| !shard.in_flight);
        let next = idle.filter_map(|shard| shard.next_due(&self.limits, self.flushing)).min();
        next.map(|at| at.max(self.paused_until).max(now))
    }
}

/// Spreads series over shards, whatever their numbers.
fn mix(mut x: u64) -> u64 {
    // SplitMix64's finalizer.
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
