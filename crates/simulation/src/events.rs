//! The event queue of a simulation. Events are processed in order of time; events with equal times keep the order in
//! which they were added.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use crate::Micros;

/// An event with its time and its sequence number. The order is reversed, since [`BinaryHeap`] returns the largest
/// element first.
struct Scheduled<E>(Reverse<(Micros, u64)>, E);

impl<E> PartialEq for Scheduled<E> {
    fn eq(&self, other: &Self) -> bool {
        self.0 == other.0
    }
}

impl<E> Eq for Scheduled<E> {}

impl<E> PartialOrd for Scheduled<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Scheduled<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.cmp(&other.0)
    }
}

/// The scheduled events and the current virtual time.
pub struct Events<E> {
    heap: BinaryHeap<Scheduled<E>>,
    sequence: u64,
    now: Micros,
}

impl<E> Default for Events<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), sequence: 0, now: 0 }
    }
}

impl<E> Events<E> {
    /// Schedules an event. An event in the past is scheduled for the current time.
    pub fn schedule(&mut self, when: Micros, event: E) {
        self.sequence += 1;
        self.heap.push(Scheduled(Reverse((when.max(self.now), self.sequence)), event));
    }

    /// Removes and returns the next event with its time, to which the current time advances.
    pub fn pop(&mut self) -> Option<(Micros, E)> {
        let Scheduled(Reverse((when, _)), event) = self.heap.pop()?;
        self.now = when;
        Some((when, event))
    }
}
