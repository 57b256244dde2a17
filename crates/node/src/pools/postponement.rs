//! Writes wait where the last read of the sockets is outdated: a process that stood still since does not know which clients
//! have left, nor what the list says by now.

use std::time::Instant;

use crate::limits::OUTDATED_READ;

/// Which iterations write. At most every second one postpones, so that a slow process goes on writing.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Postponement {
    /// When the poll had returned whose iteration does not write any more.
    postponed: Option<Instant>,
    /// When the poll had returned whose iteration writes in any case: it follows one that was postponed.
    permitted: Option<Instant>,
}

impl Postponement {
    /// The iteration that has read the sockets at `read_at` is about to write: one that was postponed is over.
    pub(super) fn begin(&mut self, read_at: Instant) {
        if self.postponed.is_some_and(|postponed| postponed != read_at) {
            self.postponed = None;
            self.permitted = Some(read_at);
        }
    }

    /// Whether a command may be written now, in the iteration that has read the sockets at `read_at`.
    pub(super) fn may_write(&mut self, read_at: Instant, now: Instant) -> bool {
        if self.postponed.is_some() {
            return false;
        }
        let outdated = now.saturating_duration_since(read_at) > OUTDATED_READ;
        if outdated && self.permitted != Some(read_at) {
            self.postponed = Some(read_at);
            return false;
        }
        true
    }

    /// Whether writes wait for the next read.
    pub(super) fn is_waiting(&self) -> bool {
        self.postponed.is_some()
    }
}
