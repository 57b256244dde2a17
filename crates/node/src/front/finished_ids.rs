//! Ids of requests that have ended and may have run, of classes that must not run twice.

use std::collections::{HashSet, VecDeque};

/// The latest ids of requests that may have run. An id is new with every request, also with a client's retry, so one
/// that comes again would run twice.
#[derive(Default)]
pub(super) struct FinishedIds {
    ids: HashSet<u64>,
    /// The ids, the oldest first.
    order: VecDeque<u64>,
}

impl FinishedIds {
    /// Whether a request with this id may have run.
    pub(super) fn contains(&self, id: u64) -> bool {
        self.ids.contains(&id)
    }

    /// Remembers an id, and forgets the oldest one from `max` ids on.
    pub(super) fn insert(&mut self, id: u64, max: usize) {
        if max == 0 || !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > max
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }
}
