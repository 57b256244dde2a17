//! Timers of the engine, by the time at which they fire.

use std::collections::BTreeSet;

use nettleferry::Micros;

use crate::ids::{AttemptId, CallId, ControlRequestId};

/// What a timer is for. Timers of one time fire in this order: the decision module first, the backstop last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// A timer of the decision module, with its tag.
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

/// Timers that have not fired. The same timer at the same time is held once.
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

    /// When the next timer fires.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.entries.first().map(|entry| entry.at)
    }

    /// Removes the next timer, if it is due.
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
