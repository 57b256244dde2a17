//! The queue between a controller's figures and a remote-write receiver.
//!
//! Samples go to a shard by their series, so that a series leaves in order; a shard has one batch out at a
//! time. A batch is sent when it is large or old enough. Answers are of three kinds: taken, refused for good
//! (4xx but 429: dropped, counted, never sent again), or not now (5xx, 429, no answer: the same batch again
//! after a wait that doubles, with jitter, or as long as Retry-After says).
//!
//! What is full drops the oldest samples first, of all shards: the newest tell most of now. What is too old
//! goes as well, except for a batch that is out: it may have been taken.
//!
//! How fast a backlog drains: shards that may have a batch out at once are a window that halves with each
//! "not now" and grows by one with each batch taken, so that a receiver that comes back is met by one batch,
//! then two, then three. Shards take their turns in a ring, so that one with a long backlog does not starve
//! the fresh samples of the others; within a series nothing may overtake.

use std::collections::{BTreeMap, VecDeque};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Microseconds.
pub type Micros = u64;

/// Bounds and waits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Shards: batches out at once at the most.
    pub shards: usize,
    /// Samples of a batch at the most; as many make a batch at once.
    pub batch_samples: usize,
    /// A sample waits so long at the most for its batch to fill.
    pub batch_age: Micros,
    /// Bytes kept at the most, over all shards; the oldest go first.
    pub bytes: usize,
    /// Samples older than this are dropped.
    pub age: Micros,
    /// First wait before a batch is tried again.
    pub wait_first: Micros,
    /// Longest wait.
    pub wait_most: Micros,
    /// Longest Retry-After that is heeded.
    pub retry_after_most: Micros,
    /// Series whose last time is remembered, to keep them in order; the rest are dropped.
    pub series: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            shards: 4,
            batch_samples: 2_000,
            batch_age: 5_000_000,
            bytes: 32 << 20,
            age: 7_200_000_000,
            wait_first: 30_000,
            wait_most: 5_000_000,
            retry_after_most: 300_000_000,
            series: 200_000,
        }
    }
}

/// A sample of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// The series, by the owner's number.
    pub series: u64,
    /// Its time, milliseconds since 1970.
    pub at_ms: i64,
    /// Its value.
    pub value: f64,
}

/// Bytes that a sample takes here: its bound in memory.
pub const SAMPLE_BYTES: usize = std::mem::size_of::<Kept>();

#[derive(Clone, Copy, Debug)]
struct Kept {
    sample: Sample,
    came: Micros,
    /// Order of arrival over all shards.
    sequence: u64,
}

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// From this shard: one of it is out at a time.
    pub shard: usize,
    /// Unique; a batch that is tried again keeps its number and its samples.
    pub number: u64,
    /// How often it was sent before.
    pub tries: u32,
    /// Its samples, each series in order.
    pub samples: Vec<Sample>,
}

/// What a receiver said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 2xx.
    Taken,
    /// 4xx, but 429: never again.
    Refused,
    /// 5xx, 429, or none.
    NotNow {
        /// Retry-After, where told.
        retry_after: Option<Micros>,
    },
}

/// What became of samples. Each that was offered is in one of them, or still kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Offered.
    pub offered: u64,
    /// Taken by the receiver.
    pub taken: u64,
    /// In batches refused for good.
    pub refused: u64,
    /// Dropped because the queue was full.
    pub dropped_full: u64,
    /// Dropped because they were too old.
    pub dropped_old: u64,
    /// Dropped because their series had a later one already: a clock that stepped back.
    pub dropped_order: u64,
    /// Dropped because too many series are remembered.
    pub dropped_series: u64,
    /// Batches sent, also again.
    pub batches: u64,
    /// Batches sent again.
    pub retries: u64,
}

struct Shard {
    waiting: VecDeque<Kept>,
    /// The batch that is out, or waits to be tried again.
    batch: Option<(u64, u32, Vec<Kept>)>,
    out: bool,
    /// Not before.
    at: Micros,
}

/// The queue.
pub struct Queue {
    limits: Limits,
    shards: Vec<Shard>,
    last: BTreeMap<u64, i64>,
    random: ChaCha8Rng,
    kept: usize,
    sequence: u64,
    number: u64,
    window: usize,
    turn: usize,
    /// The receiver wants nothing before.
    pause: Micros,
    counters: Counters,
    gone: Vec<Sample>,
}

impl Queue {
    /// An empty queue.
    pub fn new(limits: Limits, seed: u64) -> Self {
        let shard = || Shard { waiting: VecDeque::new(), batch: None, out: false, at: 0 };
        let shards = (0..limits.shards.max(1)).map(|_| shard()).collect();
        Self {
            limits,
            shards,
            last: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            kept: 0,
            sequence: 0,
            number: 0,
            window: 1,
            turn: 0,
            pause: 0,
            counters: Counters::default(),
            gone: Vec::new(),
        }
    }

    /// What became of samples.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Samples that have gone since the last time, however: for whoever keeps them elsewhere as well. To be
    /// drained after each event.
    pub fn gone(&mut self) -> std::vec::Drain<'_, Sample> {
        self.gone.drain(..)
    }

    /// Samples kept, those that are out included.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.kept * SAMPLE_BYTES
    }

    /// Age of the oldest sample that waits.
    pub fn oldest(&self, now: Micros) -> Micros {
        let waiting = self.shards.iter().filter_map(|s| s.waiting.front());
        let out = self.shards.iter().filter_map(|s| s.batch.as_ref()?.2.first());
        waiting.chain(out).map(|k| now.saturating_sub(k.came)).max().unwrap_or(0)
    }

    /// Takes a sample in.
    pub fn offer(&mut self, now: Micros, sample: Sample) {
        self.counters.offered += 1;
        let last = self.last.get(&sample.series).copied();
        if last.is_some_and(|last| last >= sample.at_ms) {
            self.counters.dropped_order += 1;
            self.gone.push(sample);
            return;
        }
        if last.is_none() && self.last.len() >= self.limits.series {
            self.counters.dropped_series += 1;
            self.gone.push(sample);
            return;
        }
        self.last.insert(sample.series, sample.at_ms);
        while self.bytes() + SAMPLE_BYTES > self.limits.bytes {
            if !self.drop_oldest() {
                // All that is kept is out: the newest has no room.
                self.counters.dropped_full += 1;
                self.gone.push(sample);
                return;
            }
        }
        self.sequence += 1;
        self.kept += 1;
        let at = (mix(sample.series) % self.shards.len() as u64) as usize;
        self.shards[at].waiting.push_back(Kept { sample, came: now, sequence: self.sequence });
    }

    fn drop_oldest(&mut self) -> bool {
        let fronts =
            self.shards.iter().enumerate().filter_map(|(n, s)| Some((s.waiting.front()?.sequence, n)));
        let Some((_, at)) = fronts.min() else { return false };
        self.gone.extend(self.shards[at].waiting.pop_front().map(|k| k.sample));
        self.kept -= 1;
        self.counters.dropped_full += 1;
        true
    }

    fn drop_old(&mut self, now: Micros) {
        for shard in &mut self.shards {
            while shard.waiting.front().is_some_and(|k| k.came + self.limits.age < now) {
                self.gone.extend(shard.waiting.pop_front().map(|k| k.sample));
                self.kept -= 1;
                self.counters.dropped_old += 1;
            }
            // One that waits to be tried again ages too; one that is out may have been taken.
            if !shard.out
                && let Some((_, _, samples)) = &mut shard.batch
            {
                let before = samples.len();
                let old = samples.iter().filter(|k| k.came + self.limits.age < now);
                self.gone.extend(old.map(|k| k.sample));
                samples.retain(|k| k.came + self.limits.age >= now);
                self.kept -= before - samples.len();
                self.counters.dropped_old += (before - samples.len()) as u64;
                if samples.is_empty() {
                    shard.batch = None;
                }
            }
        }
    }

    /// What is to be sent now, appended to `send`; each is answered by [`Queue::answered`] once.
    pub fn due(&mut self, now: Micros, send: &mut Vec<Batch>) {
        self.drop_old(now);
        if now < self.pause {
            return;
        }
        let count = self.shards.len();
        for step in 0..count {
            if self.shards.iter().filter(|s| s.out).count() >= self.window {
                return;
            }
            let at = (self.turn + step) % count;
            if self.ready(at, now)
                && let Some(batch) = self.take(at)
            {
                send.push(batch);
                // The next turn begins after the last that had one.
                self.turn = at;
            }
        }
        self.turn = (self.turn + 1) % count;
    }

    fn ready(&self, at: usize, now: Micros) -> bool {
        let shard = &self.shards[at];
        if shard.out || now < shard.at {
            return false;
        }
        shard.batch.is_some()
            || shard.waiting.len() >= self.limits.batch_samples
            || shard.waiting.front().is_some_and(|k| k.came + self.limits.batch_age <= now)
    }

    fn take(&mut self, at: usize) -> Option<Batch> {
        let most = self.limits.batch_samples.max(1);
        let shard = &mut self.shards[at];
        if shard.batch.is_none() {
            let samples: Vec<Kept> = shard.waiting.drain(..most.min(shard.waiting.len())).collect();
            self.number += 1;
            shard.batch = Some((self.number, 0, samples));
        }
        let (number, tries, samples) = shard.batch.as_mut()?;
        shard.out = true;
        self.counters.batches += 1;
        self.counters.retries += u64::from(*tries > 0);
        let batch = Batch {
            shard: at,
            number: *number,
            tries: *tries,
            samples: samples.iter().map(|k| k.sample).collect(),
        };
        *tries += 1;
        Some(batch)
    }

    /// A batch was answered. An answer to a batch that is not out is nothing.
    pub fn answered(&mut self, now: Micros, shard: usize, number: u64, answer: Answer) {
        let Some(s) = self.shards.get_mut(shard).filter(|s| s.out) else { return };
        let Some((_, tries, samples)) = s.batch.as_ref().filter(|(n, _, _)| *n == number) else { return };
        let (tries, count) = (*tries, samples.len());
        s.out = false;
        match answer {
            Answer::Taken | Answer::Refused => {
                let samples = s.batch.take().map(|b| b.2).unwrap_or_default();
                self.gone.extend(samples.iter().map(|k| k.sample));
                self.kept -= count;
                if answer == Answer::Taken {
                    self.counters.taken += count as u64;
                    self.window = (self.window + 1).min(self.shards.len());
                } else {
                    self.counters.refused += count as u64;
                }
            }
            Answer::NotNow { retry_after } => {
                self.window = (self.window / 2).max(1);
                let doubled = self.limits.wait_first.saturating_mul(1 << (tries - 1).min(20));
                let most = doubled.min(self.limits.wait_most).max(1);
                // Half of it at the least, so that shards that failed together part.
                let wait = most / 2 + self.random.random_range(0..=most / 2);
                s.at = now + wait;
                if let Some(after) = retry_after {
                    self.pause = self.pause.max(now + after.min(self.limits.retry_after_most));
                }
            }
        }
    }

    /// When [`Queue::due`] may have something next; none: not before something is offered or answered.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if self.shards.iter().filter(|s| s.out).count() >= self.window {
            return None;
        }
        let idle = self.shards.iter().filter(|s| !s.out);
        let each = idle.filter_map(|s| {
            if s.batch.is_some() || s.waiting.len() >= self.limits.batch_samples {
                return Some(s.at);
            }
            s.waiting.front().map(|k| s.at.max(k.came + self.limits.batch_age))
        });
        each.min().map(|at| at.max(self.pause).max(now))
    }
}

/// Spreads series over shards, whatever their numbers.
fn mix(mut x: u64) -> u64 {
    // SplitMix64's finalizer.
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
