//! The attempts of one request, one after another: whether one is out, whether one may have run, and until when a repeat
//! of a keyed request may leave. Repeats are dropped for so long after the first attempt that may have run, and an
//! attempt that waits for its connection may leave long after it was begun.

use std::time::{Duration, Instant};

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// When the first attempt was begun that may have run.
    first: Option<Instant>,
    /// When the newest attempt was begun, unless it is proven that it never ran.
    newest: Option<Instant>,
    /// The newest attempt has not ended.
    out: bool,
}

impl AttemptHistory {
    /// An attempt is begun. Until when it may leave, where repeats are dropped for `window`; `None`: no attempt before
    /// it may have run, or repeats are not dropped.
    pub fn begin(&mut self, now: Instant, window: Option<Duration>) -> Option<Instant> {
        self.first = self.first.or(self.newest);
        self.newest = Some(now);
        self.out = true;
        self.first.zip(window).map(|(first, window)| first + window)
    }

    /// The newest attempt has ended; `never_ran`: its end proves that it never ran.
    pub fn ended(&mut self, never_ran: bool) {
        self.out = false;
        if never_ran {
            self.newest = None;
        }
    }

    /// The newest attempt has not ended.
    pub fn is_out(&self) -> bool {
        self.out
    }

    /// An attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.first.or(self.newest).is_some()
    }
}
