//! The program's clock: microseconds since 1970 at the start, monotonic from there on, so that times of other processes can
//! be compared with ours, and no step of the wall clock reaches a decision.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A clock that began with the wall clock and is monotonic since.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: u64,
    start: Instant,
}

impl Clock {
    /// Starts it.
    pub fn start() -> Self {
        Self { base: wall(), start: Instant::now() }
    }

    /// A moment, in microseconds.
    pub fn at(&self, moment: Instant) -> u64 {
        self.base + moment.saturating_duration_since(self.start).as_micros() as u64
    }

    /// Now, in microseconds.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_micros() as u64
    }

    /// Now, in whole milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now() / 1000
    }
}

/// The wall clock in microseconds since 1970: it may step.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as u64
}

/// The shorter of a timeout and of the time until the first of these moments; `None`: without end.
pub(crate) fn shorter(wait: Option<Duration>, now: Instant, next: &[Option<Instant>]) -> Option<Duration> {
    let next = next.iter().flatten().min().map(|at| at.saturating_duration_since(now));
    match (wait, next) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
