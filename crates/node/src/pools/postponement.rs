//! Postpones writes when too much time has passed since the sockets were read. If the process was suspended
//! meanwhile, it does not know which clients have disconnected, nor whether the list has changed.

use std::time::Instant;

use crate::limits::OUTDATED_READ;

/// Decides which iterations write. An iteration after a postponed one always writes, so that a slow process
/// makes progress.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Postponement {
    /// The read time of the iteration that was postponed, until the next iteration begins to write.
    postponed: Option<Instant>,
    /// The read time of the iteration that follows a postponed one and writes in any case.
    permitted: Option<Instant>,
}

impl Postponement {
    /// Called before the iteration that read the sockets at `read_at` writes. Ends a postponement by an
    /// earlier iteration.
    pub(super) fn begin(&mut self, read_at: Instant) {
        if self.postponed.is_some_and(|postponed| postponed != read_at) {
            self.postponed = None;
            self.permitted = Some(read_at);
        }
    }

    /// Whether a command may be written now, in the iteration that read the sockets at `read_at`. Begins a
    /// postponement if that read is outdated.
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

    /// Whether writes wait until the sockets have been read again.
    pub(super) fn is_waiting(&self) -> bool {
        self.postponed.is_some()
    }
}
