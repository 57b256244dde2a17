//! Until when a further attempt of a keyed request may leave: repeats are dropped for so long after the first attempt
//! that may have run, and an attempt that waits for its connection may leave long after it was begun.

use std::time::{Duration, Instant};

/// The attempts of one request, one after another.
#[derive(Clone, Copy, Debug, Default)]
pub struct RepeatWindow {
    /// When the first attempt was begun that may have run.
    first: Option<Instant>,
    /// When the newest attempt was begun, unless it is proven that it never ran.
    newest: Option<Instant>,
}

impl RepeatWindow {
    /// An attempt is begun. Until when it may leave, where repeats are dropped for `window`; `None`: no attempt before
    /// it may have run.
    pub fn begin(&mut self, now: Instant, window: Duration) -> Option<Instant> {
        self.first = self.first.or(self.newest);
        self.newest = Some(now);
        self.first.map(|first| first + window)
    }

    /// The newest attempt has ended, and its end proves that it never ran.
    pub fn never_ran(&mut self) {
        self.newest = None;
    }
}
