//! What happens next: events in the order of their times, and of their coming where times are equal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Micros;

struct Next<E>(Reverse<(Micros, u64)>, E);

impl<E> PartialEq for Next<E> {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl<E> Eq for Next<E> {}

impl<E> PartialOrd for Next<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Next<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// Events to come.
pub struct Events<E> {
    heap: BinaryHeap<Next<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0, now: 0 }
    }
}

impl<E> Events<E> {
    /// This one at that time; one of the past happens now.
    pub fn at(&mut self, when: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Next(Reverse((when.max(self.now), self.sequence)), event));
    }

    /// The next one, and its time, which is the present from then on.
    pub fn take(&mut self) -> Option<(Micros, E)> {
        let Next(Reverse((when, _)), event) = self.heap.pop()?;
        self.now = when;
        Some((when, event))
    }
}
