//! One timer for each of many peers, the newest alone counting.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Instant;

/// Timers by peer.
#[derive(Debug)]
pub struct Timers {
    queue: BinaryHeap<Reverse<(Instant, usize, u64)>>,
    /// How often each peer's timer was set.
    settings: Vec<u64>,
}

impl Timers {
    /// For so many peers, none set.
    pub fn new(peers: usize) -> Self {
        Self { queue: BinaryHeap::new(), settings: vec![0; peers] }
    }

    /// Sets a peer's timer, in place of the one before.
    pub fn set(&mut self, peer: usize, at: Instant) {
        self.settings[peer] += 1;
        self.queue.push(Reverse((at, peer, self.settings[peer])));
    }

    /// When the next one is due. One that was replaced since may be among them.
    pub fn next(&self) -> Option<Instant> {
        self.queue.peek().map(|Reverse((at, ..))| *at)
    }

    /// A peer whose timer is due, and when it was to be.
    pub fn due(&mut self, now: Instant) -> Option<(usize, Instant)> {
        while let Some(Reverse((at, peer, setting))) = self.queue.peek().copied()
            && at <= now
        {
            self.queue.pop();
            if self.settings[peer] == setting {
                return Some((peer, at));
            }
        }
        None
    }
}
