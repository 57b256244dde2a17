//! The queue between a controller's figures and a remote-write receiver.
//!
//! Samples go to a shard by their series, so that a series leaves in order; a shard has one batch out at a
//! time. A batch is sent when it is large or old enough. Answers are of four kinds: taken; refused for good
//! (dropped, counted, never sent again); bad, which is refused for what is in it: the batch is halved, by series
//! and then by time, until the culprits stand alone and are dropped, with a bound on how often, and a series
//! that was refused alone while others of its batch were taken is left out for a while; or not now
//! (the same batch again after a wait that doubles, with jitter, or as long as Retry-After says).
//!
//! What is full drops the oldest samples first, of all shards: the newest tell most of now. What is too old
//! goes as well, except for a batch that is out: it may have been taken.
//!
//! How fast a backlog drains: shards that may have a batch out at once are a window that halves with each
//! "not now" and grows by one with each batch taken, so that a receiver that comes back is met by one batch,
//! then two, then three. Shards take their turns in a ring, so that one with a long backlog does not starve
//! the fresh samples of the others; within a series nothing may overtake.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

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
    /// How often a batch and its parts are halved at the most before what is refused is dropped whole.
    pub splits: u32,
    /// A series that was refused alone is left out for so long; then it is tried again.
    pub bar: Micros,
    /// Series left out at once at the most; more are tried again each time.
    pub barred: usize,
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
            splits: 32,
            bar: 600_000_000,
            barred: 1_000,
            series: 200_000,
        }
    }
}

/// What a value takes beside its own size.
pub trait HeapSize {
    /// Bytes on the heap, at the most.
    fn heap_size(&self) -> usize;
}

impl HeapSize for f64 {
    fn heap_size(&self) -> usize {
        0
    }
}

/// A sample of a series.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample<V = f64> {
    /// The series, by the owner's number.
    pub series: u64,
    /// Its time, milliseconds since 1970.
    pub at_ms: i64,
    /// Its value.
    pub value: V,
}

/// Bytes that a sample of a number takes here: its bound in memory.
pub const SAMPLE_BYTES: usize = std::mem::size_of::<QueuedSample<f64>>();

#[derive(Clone, Copy, Debug)]
struct QueuedSample<V> {
    sample: Sample<V>,
    came: Micros,
    /// Order of arrival over all shards.
    sequence: u64,
}

/// What is to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch<V = f64> {
    /// From this shard: one of it is out at a time.
    pub shard: usize,
    /// Unique; a batch that is tried again keeps its number and its samples.
    pub number: u64,
    /// How often it was sent before.
    pub tries: u32,
    /// Its samples, each series in order.
    pub samples: Vec<Sample<V>>,
}

/// What a receiver said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// 2xx.
    Taken,
    /// Refused whatever is in it: never again.
    Refused,
    /// Refused for what is in it: its halves may do.
    Bad,
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
    /// Refused for good.
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
    /// Batches halved.
    pub splits: u64,
}

/// A batch, or what is left of one that was halved.
struct PendingBatch<V> {
    number: u64,
    tries: u32,
    samples: Vec<QueuedSample<V>>,
}

struct Shard<V> {
    waiting: VecDeque<QueuedSample<V>>,
    /// The first is out, or waits to be tried again; the others are further parts of the same batch.
    parts: VecDeque<PendingBatch<V>>,
    /// How often this batch was halved.
    splits: u32,
    /// Series of it that were refused alone, and whether anything of it was taken: else it is the receiver.
    culprits: Vec<u64>,
    took: bool,
    out: bool,
    /// Not before.
    at: Micros,
}

/// The queue.
pub struct Queue<V = f64> {
    limits: Limits,
    shards: Vec<Shard<V>>,
    last: BTreeMap<u64, i64>,
    barred: BTreeMap<u64, Micros>,
    random: ChaCha8Rng,
    kept: usize,
    bytes: usize,
    sequence: u64,
    number: u64,
    window: usize,
    turn: usize,
    /// The receiver wants nothing before.
    pause: Micros,
    counters: Counters,
    /// Nothing waits for its batch to fill any more.
    flushing: bool,
    gone: Vec<i64>,
}

impl<V: Clone + HeapSize> Queue<V> {
    /// An empty queue.
    pub fn new(limits: Limits, seed: u64) -> Self {
        let shard = || Shard {
            waiting: VecDeque::new(),
            parts: VecDeque::new(),
            splits: 0,
            culprits: Vec::new(),
            took: false,
            out: false,
            at: 0,
        };
        let shards = (0..limits.shards.max(1)).map(|_| shard()).collect();
        Self {
            limits,
            shards,
            last: BTreeMap::new(),
            barred: BTreeMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            kept: 0,
            bytes: 0,
            sequence: 0,
            number: 0,
            window: 1,
            turn: 0,
            pause: 0,
            counters: Counters::default(),
            flushing: false,
            gone: Vec::new(),
        }
    }

    /// What became of samples.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Times of samples that have gone since the last time, however: for whoever keeps them elsewhere as well.
    /// To be drained after each event.
    pub fn gone(&mut self) -> std::vec::Drain<'_, i64> {
        self.gone.drain(..)
    }

    /// From now on nothing waits for its batch to fill: the sender is about to end.
    pub fn flush(&mut self) {
        self.flushing = true;
    }

    /// Samples kept, those that are out included.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Age of the oldest sample that waits.
    pub fn oldest(&self, now: Micros) -> Micros {
        let waiting = self.shards.iter().filter_map(|s| s.waiting.front());
        let out = self.shards.iter().flat_map(|s| s.parts.iter().filter_map(|p| p.samples.first()));
        waiting.chain(out).map(|k| now.saturating_sub(k.came)).max().unwrap_or(0)
    }

    /// Takes a sample in.
    pub fn offer(&mut self, now: Micros, sample: Sample<V>) {
        self.counters.offered += 1;
        let last = self.last.get(&sample.series).copied();
        if last.is_some_and(|last| last >= sample.at_ms) {
            self.counters.dropped_order += 1;
            self.gone.push(sample.at_ms);
            return;
        }
        if last.is_none() && self.last.len() >= self.limits.series {
            self.counters.dropped_series += 1;
            self.gone.push(sample.at_ms);
            return;
        }
        self.last.insert(sample.series, sample.at_ms);
        if self.is_barred(now, sample.series) {
            self.counters.refused += 1;
            self.gone.push(sample.at_ms);
            return;
        }
        self.sequence += 1;
        let at = (mix(sample.series) % self.shards.len() as u64) as usize;
        let kept = QueuedSample { sample, came: now, sequence: self.sequence };
        let bytes = weight(&kept);
        while self.bytes + bytes > self.limits.bytes {
            if !self.drop_oldest() {
                // All that is kept is out: the newest has no room.
                self.counters.dropped_full += 1;
                self.gone.push(kept.sample.at_ms);
                return;
            }
        }
        self.kept += 1;
        self.bytes += bytes;
        self.shards[at].waiting.push_back(kept);
    }

    fn is_barred(&mut self, now: Micros, series: u64) -> bool {
        let barred = self.barred.get(&series).copied();
        if barred.is_some_and(|until| until <= now) {
            self.barred.remove(&series);
        }
        barred.is_some_and(|until| until > now)
    }

    /// Series left out for now: they were refused alone.
    pub fn left_out(&self) -> usize {
        self.barred.len()
    }

    /// Samples that are no longer kept.
    fn let_go(&mut self, samples: &[QueuedSample<V>]) {
        self.kept -= samples.len();
        self.bytes -= samples.iter().map(weight).sum::<usize>();
        self.gone.extend(samples.iter().map(|k| k.sample.at_ms));
    }

    fn drop_oldest(&mut self) -> bool {
        let fronts =
            self.shards.iter().enumerate().filter_map(|(n, s)| Some((s.waiting.front()?.sequence, n)));
        let Some((_, at)) = fronts.min() else { return false };
        let oldest: Vec<QueuedSample<V>> = self.shards[at].waiting.pop_front().into_iter().collect();
        self.let_go(&oldest);
        self.counters.dropped_full += 1;
        true
    }

    fn drop_old(&mut self, now: Micros) {
        let since = now.saturating_sub(self.limits.age);
        let mut old = Vec::new();
        for shard in &mut self.shards {
            while shard.waiting.front().is_some_and(|k| k.came < since) {
                old.extend(shard.waiting.pop_front());
            }
            // One that waits to be tried again ages too; one that is out may have been taken.
            let out = usize::from(shard.out);
            for part in shard.parts.iter_mut().skip(out) {
                let fresh = part.samples.partition_point(|k| k.came < since);
                old.extend(part.samples.drain(..fresh));
            }
            let mut place = 0;
            shard.parts.retain(|part| {
                place += 1;
                place <= out || !part.samples.is_empty()
            });
        }
        self.let_go(&old);
        self.counters.dropped_old += old.len() as u64;
    }

    /// What is to be sent now, appended to `send`; each is answered by [`Queue::answered`] once.
    pub fn due(&mut self, now: Micros, send: &mut Vec<Batch<V>>) {
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
        !shard.parts.is_empty()
            || shard.waiting.len() >= self.limits.batch_samples
            || self.flushing && !shard.waiting.is_empty()
            || shard.waiting.front().is_some_and(|k| k.came + self.limits.batch_age <= now)
    }

    fn take(&mut self, at: usize) -> Option<Batch<V>> {
        let most = self.limits.batch_samples.max(1);
        let shard = &mut self.shards[at];
        if shard.parts.is_empty() {
            let samples = shard.waiting.drain(..most.min(shard.waiting.len())).collect();
            self.number += 1;
            (shard.splits, shard.took) = (0, false);
            shard.culprits.clear();
            shard.parts.push_back(PendingBatch { number: self.number, tries: 0, samples });
        }
        let part = shard.parts.front_mut()?;
        shard.out = true;
        self.counters.batches += 1;
        self.counters.retries += u64::from(part.tries > 0);
        let samples = part.samples.iter().map(|k| k.sample.clone()).collect();
        let batch = Batch { shard: at, number: part.number, tries: part.tries, samples };
        part.tries += 1;
        Some(batch)
    }

    /// A batch was answered. An answer to a batch that is not out is nothing.
    pub fn answered(&mut self, now: Micros, shard: usize, number: u64, answer: Answer) {
        let Some(s) = self.shards.get_mut(shard).filter(|s| s.out) else { return };
        let Some(tries) = s.parts.front().filter(|p| p.number == number).map(|p| p.tries) else { return };
        s.out = false;
        if let Answer::NotNow { retry_after } = answer {
            self.window = (self.window / 2).max(1);
            let doubled = self.limits.wait_first.saturating_mul(1 << (tries - 1).min(20));
            let most = doubled.min(self.limits.wait_most).max(1);
            // Half of it at the least, so that shards that failed together part.
            let wait = most / 2 + self.random.random_range(0..=most / 2);
            s.at = now + wait;
            if let Some(after) = retry_after {
                self.pause = self.pause.max(now + after.min(self.limits.retry_after_most));
            }
            return;
        }
        let Some(part) = s.parts.pop_front() else { return };
        if answer == Answer::Bad && part.samples.len() > 1 && s.splits < self.limits.splits {
            s.splits += 1;
            let (first, second) = halves(part.samples);
            self.number += 2;
            // What is left of the batch goes before what waits: a series stays in order.
            s.parts.push_front(PendingBatch { number: self.number, tries: 0, samples: second });
            s.parts.push_front(PendingBatch { number: self.number - 1, tries: 0, samples: first });
            self.counters.splits += 1;
            return;
        }
        let count = part.samples.len() as u64;
        if answer == Answer::Bad
            && let Some(series) = part.samples.first().map(|k| k.sample.series)
            && part.samples.iter().all(|k| k.sample.series == series)
        {
            s.culprits.push(series);
        }
        s.took |= answer == Answer::Taken;
        if s.parts.is_empty() && s.took {
            for series in s.culprits.drain(..) {
                if self.barred.len() < self.limits.barred {
                    self.barred.insert(series, now + self.limits.bar);
                }
            }
        }
        self.let_go(&part.samples);
        if answer == Answer::Taken {
            self.counters.taken += count;
            self.window = (self.window + 1).min(self.shards.len());
        } else {
            self.counters.refused += count;
        }
    }

    /// When [`Queue::due`] may have something next; none: not before something is offered or answered.
    pub fn next(&self, now: Micros) -> Option<Micros> {
        if self.shards.iter().filter(|s| s.out).count() >= self.window {
            return None;
        }
        let idle = self.shards.iter().filter(|s| !s.out);
        let each = idle.filter_map(|s| {
            let full = s.waiting.len() >= self.limits.batch_samples;
            if !s.parts.is_empty() || full || self.flushing && !s.waiting.is_empty() {
                return Some(s.at);
            }
            s.waiting.front().map(|k| s.at.max(k.came + self.limits.batch_age))
        });
        each.min().map(|at| at.max(self.pause).max(now))
    }
}

/// Bytes that a sample takes.
fn weight<V: HeapSize>(kept: &QueuedSample<V>) -> usize {
    std::mem::size_of::<QueuedSample<V>>() + kept.sample.value.heap_size()
}

/// Halves by series where there are several, else by time; each series stays in order.
fn halves<V>(samples: Vec<QueuedSample<V>>) -> (Vec<QueuedSample<V>>, Vec<QueuedSample<V>>) {
    let series: BTreeSet<u64> = samples.iter().map(|k| k.sample.series).collect();
    match series.iter().nth(series.len() / 2).copied() {
        Some(middle) if series.len() > 1 => samples.into_iter().partition(|k| k.sample.series < middle),
        _ => {
            let mut first = samples;
            let second = first.split_off(first.len() / 2);
            (first, second)
        }
    }
}

/// Spreads series over shards, whatever their numbers.
fn mix(mut x: u64) -> u64 {
    // SplitMix64's finalizer.
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
