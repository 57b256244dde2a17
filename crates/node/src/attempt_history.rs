//! The attempts of one request, one after another: whether one is in flight, whether one may have run, and until when a
//! retry of a request with an idempotency key may be written. Duplicates are dropped for a span after the first attempt
//! that may have run, and an attempt that waits for its connection may be written long after it was started.

use std::time::{Duration, Instant};

/// The attempts of one request so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// When the first attempt that may have run was started.
    first: Option<Instant>,
    /// When the newest attempt was started, unless it is proven that it never ran.
    newest: Option<Instant>,
    /// The newest attempt has not ended.
    in_flight: bool,
}

impl AttemptHistory {
    /// Starts an attempt. Returns until when it may be written, where duplicates are dropped for `window`; `None`: no
    /// attempt before it may have run, or duplicates are not dropped.
    pub fn start(&mut self, now: Instant, window: Option<Duration>) -> Option<Instant> {
        self.first = self.first.or(self.newest);
        self.newest = Some(now);
        self.in_flight = true;
        self.first.zip(window).map(|(first, window)| first + window)
    }

    /// The newest attempt has ended; `never_ran`: its end proves that it never ran.
    pub fn ended(&mut self, never_ran: bool) {
        self.in_flight = false;
        if never_ran {
            self.newest = None;
        }
    }

    /// The newest attempt has not ended.
    pub fn is_pending(&self) -> bool {
        self.in_flight
    }

    /// An attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.first.or(self.newest).is_some()
    }
}
