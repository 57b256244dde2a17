//! The queue between a controller's metrics and a remote-write receiver.
//!
//! All samples of a series go to the same shard, and a shard has at most one batch in flight, so the samples of a
//! series are sent in order. A batch is sent when it is large or old enough. There are four kinds of responses
//! ([`Response`]):
//!
//! * Accepted.
//! * Rejected: the batch is dropped and counted, and never sent again.
//! * Invalid: some samples of the batch were rejected because of their contents. The batch is halved, by series and
//!   then by time, until the invalid samples are isolated and dropped. The number of times that a batch is halved is
//!   bounded. A series that was rejected by itself while others of its batch were accepted is excluded for a while.
//! * Unavailable: the batch is sent again after an exponential backoff with jitter, and no earlier than a Retry-After
//!   allows.
//!
//! A full queue drops the oldest samples of all shards first, because the newest are the most valuable. Samples that
//! exceed the maximum age are dropped as well. A batch in flight is kept, since the receiver may have accepted it.
//!
//! A window limits the number of shards with a batch in flight, and thereby the rate at which a backlog is sent. It
//! is halved with each "unavailable" response and grows by one with each accepted batch, so that a receiver that
//! becomes available again gets one batch at first, then two, then four. Shards are served round robin, so that a
//! shard with a long backlog does not delay the fresh samples of the others.

use std::collections::BTreeMap;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Micros;
use crate::excluded::ExcludedSeries;
use crate::limits::Limits;
use crate::response::{Counters, Response};
use crate::sample::{Batch, HeapSize, QueuedSample, Sample};
use crate::shard::{PendingBatch, Shard};

/// Maximum exponent of the backoff, to avoid an overflow. With the default limits the maximum backoff is reached
/// earlier.
const MAX_DOUBLINGS: u32 = 20;

/// Queue of samples for a remote-write receiver. `V` is the type of the values.
pub struct Queue<V = f64> {
    limits: Limits,
    shards: Vec<Shard<V>>,
    /// Latest timestamp that was offered for each series, in milliseconds since the Unix epoch.
    last_times: BTreeMap<u64, i64>,
    excluded: ExcludedSeries,
    random: ChaCha8Rng,
    /// Number of samples in the queue.
    samples: usize,
    /// Memory of the samples in the queue, in bytes.
    bytes: usize,
    /// Sequence number of the last queued sample.
    sequence: u64,
    /// Number of the last batch or part of a batch.
    batch_number: u64,
    /// Maximum number of shards with a batch in flight.
    window: usize,
    /// Index of the shard from which [`Queue::due`] counts the shards.
    next_shard: usize,
    /// Time before which no shard sends, because of a Retry-After.
    paused_until: Micros,
    counters: Counters,
    /// Whether batches are sent without waiting for further samples.
    flushing: bool,
    /// Timestamps of the samples that have left the queue since the last call of [`Queue::drain_completed`].
    completed: Vec<i64>,
}

impl<V: Clone + HeapSize> Queue<V> {
    /// Creates an empty queue. `seed` is the seed of the jitter.
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

    /// Returns the totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Removes and returns the timestamps of the samples that have left the queue, whether sent, rejected or dropped.
    /// An owner that also stores the samples elsewhere, such as in a write-ahead log, calls this after each event.
    pub fn drain_completed(&mut self) -> std::vec::Drain<'_, i64> {
        self.completed.drain(..)
    }

    /// Makes the queue send batches without waiting for further samples from now on. Called before the sender shuts
    /// down.
    pub fn flush(&mut self) {
        self.flushing = true;
    }

    /// Returns the number of samples in the queue, including those in flight.
    pub fn len(&self) -> usize {
        self.samples
    }

    /// Returns whether the queue has no samples, not even in flight.
    pub fn is_empty(&self) -> bool {
        self.samples == 0
    }

    /// Returns the memory of the samples in the queue, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of series that are excluded, including those whose exclusion has ended but that have had no
    /// sample since.
    pub fn excluded_series(&self) -> usize {
        self.excluded.len()
    }

    /// Returns the time since the oldest sample in the queue was offered, or 0 if the queue is empty.
    pub fn oldest_age(&self, now: Micros) -> Micros {
        let waiting = self.shards.iter().filter_map(|shard| shard.waiting.front());
        let parts =
            self.shards.iter().flat_map(|shard| shard.parts.iter().filter_map(|part| part.samples.first()));
        waiting.chain(parts).map(|queued| now.saturating_sub(queued.arrived)).max().unwrap_or(0)
    }

    /// Adds a sample to the queue. If it can't be queued, it is dropped and counted by reason.
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
        let shard = (hash_series(sample.series) % self.shards.len() as u64) as usize;
        let queued = QueuedSample { sample, arrived: now, sequence: self.sequence };
        let size = queued.size();
        while self.bytes + size > self.limits.max_bytes {
            if !self.drop_oldest() {
                // All queued samples are part of a batch that was started, so the new sample is dropped.
                self.counters.dropped_full += 1;
                self.completed.push(queued.sample.at_ms);
                return;
            }
        }
        self.samples += 1;
        self.bytes += size;
        self.shards[shard].waiting.push_back(queued);
    }

    /// Updates the totals for samples that have left the queue.
    fn complete(&mut self, samples: &[QueuedSample<V>]) {
        self.samples -= samples.len();
        self.bytes -= samples.iter().map(QueuedSample::size).sum::<usize>();
        self.completed.extend(samples.iter().map(|queued| queued.sample.at_ms));
    }

    /// Drops the oldest sample that is not part of a batch. Returns false if all samples are part of a batch.
    fn drop_oldest(&mut self) -> bool {
        let shards = self.shards.iter_mut().filter(|shard| !shard.waiting.is_empty());
        let oldest = shards.min_by_key(|shard| shard.waiting.front().map(|first| first.sequence));
        let Some(oldest) = oldest.and_then(|shard| shard.waiting.pop_front()) else { return false };
        self.complete(&[oldest]);
        self.counters.dropped_full += 1;
        true
    }

    fn drop_expired(&mut self, now: Micros) {
        let arrived_since = now.saturating_sub(self.limits.max_age);
        let mut expired = Vec::new();
        for shard in &mut self.shards {
            shard.remove_older(arrived_since, &mut expired);
        }
        self.complete(&expired);
        self.counters.dropped_old += expired.len() as u64;
    }

    /// Appends batches to be sent at `now` to `send`. For each of them the caller must call
    /// [`Queue::handle_response`], also if no response arrives. One call may leave out a shard that is ready, so while
    /// [`Queue::next_due`] returns `now`, the caller must call this method again.
    pub fn due(&mut self, now: Micros, send: &mut Vec<Batch<V>>) {
        self.drop_expired(now);
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
                && let Some(batch) = self.start_attempt(shard)
            {
                send.push(batch);
                // Both the rest of this pass and the next one count from the last shard that sent a batch.
                self.next_shard = shard;
            }
        }
        self.next_shard = (self.next_shard + 1) % count;
    }

    /// Returns the number of shards with a batch in flight.
    fn busy_shards(&self) -> usize {
        self.shards.iter().filter(|shard| shard.in_flight).count()
    }

    /// Marks the first part of the shard's batch as in flight, and returns it. If the shard has no batch, a new one
    /// is started with its waiting samples. The shard must be ready ([`Shard::is_ready`]).
    fn start_attempt(&mut self, index: usize) -> Option<Batch<V>> {
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

    /// Handles the response to a batch. A response to a batch that is not in flight is ignored.
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

    /// Counts the samples of a part that was accepted or rejected, and widens the window if it was accepted.
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

    /// Handles an unavailable receiver: halves the window and starts the shard's backoff. With a Retry-After, all
    /// shards pause.
    fn back_off(&mut self, now: Micros, shard: usize, attempts: u32, retry_after: Option<Micros>) {
        self.window = (self.window / 2).max(1);
        let doubled = self.limits.first_backoff.saturating_mul(1 << (attempts - 1).min(MAX_DOUBLINGS));
        let backoff = doubled.min(self.limits.max_backoff).max(1);
        // The jitter, up to half of the backoff, keeps shards that failed together from retrying together.
        let wait = backoff / 2 + self.random.random_range(0..=backoff / 2);
        self.shards[shard].not_before = now + wait;
        if let Some(after) = retry_after {
            self.paused_until = self.paused_until.max(now + after.min(self.limits.max_retry_after));
        }
    }

    /// Returns the next time at which [`Queue::due`] may return a batch, or `None` if it returns none until a sample
    /// is offered or a response is handled.
    pub fn next_due(&self, now: Micros) -> Option<Micros> {
        if self.busy_shards() >= self.window {
            return None;
        }
        let idle = self.shards.iter().filter(|shard| !shard.in_flight);
        let next = idle.filter_map(|shard| shard.next_due(&self.limits, self.flushing)).min();
        next.map(|at| at.max(self.paused_until).max(now))
    }
}

/// Hashes a series number with the finalizer of SplitMix64, so that series are distributed evenly over the shards.
fn hash_series(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
