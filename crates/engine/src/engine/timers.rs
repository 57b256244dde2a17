//! The engine's timers, ordered by the time at which they fire.

use std::collections::BTreeSet;

use nettleferry::Micros;

use crate::ids::{AttemptId, CallId, ControlRequestId};

/// The purpose of a timer. Timers due at the same time fire in the order of the variants, so that the decision module
/// acts before timeouts apply, and the backstop is last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer that the decision module set, with its tag.
    Module(u64),
    /// An attempt times out.
    Attempt(AttemptId),
    /// A control request times out.
    ControlRequest(ControlRequestId),
    /// The final answer of a call is due.
    Deadline(CallId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Entry {
    at: Micros,
    timer: Timer,
}

/// Pending timers. A timer inserted twice for the same time fires once.
#[derive(Default)]
pub(super) struct TimerQueue {
    entries: BTreeSet<Entry>,
}

impl TimerQueue {
    pub(super) fn insert(&mut self, at: Micros, timer: Timer) {
        self.entries.insert(Entry { at, timer });
    }

    pub(super) fn remove(&mut self, at: Micros, timer: Timer) {
        self.entries.remove(&Entry { at, timer });
    }

    /// Time at which the next timer fires; `None` if no timer is pending.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.entries.first().map(|entry| entry.at)
    }

    /// Removes and returns the next timer if it is due at `now`.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<Timer> {
        let next = self.entries.first()?;
        if next.at > now {
            return None;
        }
        self.entries.pop_first().map(|entry| entry.timer)
    }

    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }
}
