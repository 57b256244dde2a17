//! A timer queue with one timer per peer. Setting a peer's timer replaces the one set before.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// An entry of the queue. Entries are ordered by `due_at` first, then by `peer` and `generation`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Timer {
    due_at: Instant,
    /// Index of the peer.
    peer: usize,
    /// Number of timers that were set for the peer up to this one.
    generation: u64,
}

/// Timers, addressed by the index of their peer.
#[derive(Debug)]
pub struct Timers {
    /// The earliest timer comes first. Replaced timers stay here until they are due.
    queue: BinaryHeap<Reverse<Timer>>,
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
        let timer = Timer { due_at: at, peer, generation: self.generations[peer] };
        self.queue.push(Reverse(timer));
    }

    /// Due time of the earliest entry. The entry may be a replaced timer, so a wakeup at this time can find none due.
    pub fn next_due(&self) -> Option<Instant> {
        self.queue.peek().map(|Reverse(timer)| timer.due_at)
    }

    /// Removes the next timer that is due at `now`. Returns its peer and its due time, or `None` if none is due.
    pub fn pop_due(&mut self, now: Instant) -> Option<(usize, Instant)> {
        while let Some(Reverse(timer)) = self.queue.peek().copied()
            && timer.due_at <= now
        {
            self.queue.pop();
            if self.generations[timer.peer] == timer.generation {
                return Some((timer.peer, timer.due_at));
            }
        }
        None
    }
}
