//! What the thread that answers calls acts on, as the thread that tells it knows: marks are sent behind the news, in
//! order, and given back once what was before them is in force.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nettleferry_fleet::membership::Version;

/// The last mark that the calls' thread has come to.
pub type Applied = Arc<AtomicU64>;

/// Marks that are out at the most; beyond them a newer one takes the last one's place.
const MOST_OUT: usize = 1_024;

/// Marks of one who tells.
pub struct Marks {
    applied: Applied,
    next: u64,
    out: VecDeque<(u64, Version)>,
    in_force: Version,
}

impl Marks {
    /// Begins with what is in force from the start.
    pub fn new(in_force: Version) -> Self {
        Self { applied: Applied::default(), next: 0, out: VecDeque::new(), in_force }
    }

    /// For the thread that answers calls.
    pub fn applied(&self) -> Applied {
        Arc::clone(&self.applied)
    }

    /// News up to this one have been told: the mark to send behind them.
    pub fn told(&mut self, at: Version) -> u64 {
        self.next += 1;
        if self.out.len() >= MOST_OUT {
            self.out.pop_back();
        }
        self.out.push_back((self.next, at));
        self.next
    }

    /// What was told last.
    pub fn last(&self) -> Version {
        self.out.back().map_or(self.in_force, |(_, at)| *at)
    }

    /// What is in force by now.
    pub fn in_force(&mut self) -> Version {
        let applied = self.applied.load(Ordering::Acquire);
        while let Some((mark, at)) = self.out.front()
            && *mark <= applied
        {
            self.in_force = *at;
            self.out.pop_front();
        }
        self.in_force
    }
}

#[cfg(test)]
mod tests;
