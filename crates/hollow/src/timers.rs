//! A timer queue with one timer per peer. Setting a peer's timer replaces the one set before.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Timers, addressed by the index of their peer.
#[derive(Debug)]
pub struct Timers {
    /// Due time, peer and generation. Replaced timers stay here until they are due.
    queue: BinaryHeap<Reverse<(Instant, usize, u64)>>,
    /// Generation of each peer's current timer; an entry of another generation was replaced.
    generations: Vec<u64>,
}

impl Timers {
    /// Creates a queue for this number of peers, with no timer set.
    pub fn new(peers: usize) -> Self {
        Self { queue: BinaryHeap::new(), generations: vec![0; peers] }
    }

    /// Sets a peer's timer to `at` and cancels its previous one.
    pub fn set(&mut self, peer: usize, at: Instant) {
        self.generations[peer] += 1;
        self.queue.push(Reverse((at, peer, self.generations[peer])));
    }

    /// Due time of the earliest entry. The entry may be a replaced timer, so a wakeup at this time can find none due.
    pub fn next_due(&self) -> Option<Instant> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// Removes the next timer that is due at `now`. Returns its peer and its due time, or `None` if none is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<(usize, Instant)> {
        while let Some(Reverse((at, peer, generation))) = self.queue.peek().copied()
            && at <= now
        {
            self.queue.pop();
            if self.generations[peer] == generation {
                return Some((peer, at));
            }
        }
        None
    }
}
