//! The history of a request's attempts: whether one is in flight, whether one may have run, and until when a
//! retry of a request with an idempotency key may be written. Invokers drop duplicates only for a limited
//! time after the first attempt that may have run, and an attempt may wait for its connection long after it
//! was started.

use std::time::{Duration, Instant};

/// The attempts of one request so far, which follow one another.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptHistory {
    /// Start of the first attempt that may have run; `None` until an attempt follows it.
    first: Option<Instant>,
    /// Start of the latest attempt; `None` before the first one, and if it is proven that the latest one
    /// never ran.
    newest: Option<Instant>,
    /// The latest attempt has not ended.
    in_flight: bool,
}

impl AttemptHistory {
    /// Records the start of an attempt. `window`: how long invokers drop duplicates, if they do. Returns
    /// until when the attempt may be written; `None`, without a limit, if no earlier attempt may have run or
    /// duplicates are not dropped.
    pub fn start(&mut self, now: Instant, window: Option<Duration>) -> Option<Instant> {
        self.first = self.first.or(self.newest);
        self.newest = Some(now);
        self.in_flight = true;
        self.first.zip(window).map(|(first, window)| first + window)
    }

    /// Records the end of the latest attempt. `never_ran`: the end proves that it did not run.
    pub fn ended(&mut self, never_ran: bool) {
        self.in_flight = false;
        if never_ran {
            self.newest = None;
        }
    }

    /// Whether the latest attempt has not ended.
    pub fn is_pending(&self) -> bool {
        self.in_flight
    }

    /// Whether any attempt may have run.
    pub fn may_have_run(&self) -> bool {
        self.first.or(self.newest).is_some()
    }
}
