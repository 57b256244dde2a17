//! The process clock in microseconds since 1970. It is initialized from the wall clock, so that its times can
//! be compared with those of other processes, and is monotonic afterwards, so that steps of the wall clock
//! affect no decision.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at the wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// Wall-clock time at the start, in microseconds since 1970.
    base: u64,
    start: Instant,
}

impl Clock {
    /// Reads the wall clock once and counts monotonically from there.
    pub fn start() -> Self {
        Self { base: wall(), start: Instant::now() }
    }

    /// The clock time of `moment` in microseconds since 1970; moments before the start are clamped to the
    /// start.
    pub fn at(&self, moment: Instant) -> u64 {
        self.base + moment.saturating_duration_since(self.start).as_micros() as u64
    }

    /// The current time in microseconds since 1970.
    pub fn now(&self) -> u64 {
        self.base + self.start.elapsed().as_micros() as u64
    }

    /// The current time in whole milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.now() / 1000
    }
}

/// The wall-clock time in microseconds since 1970. It may jump in either direction.
pub fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as u64
}

/// The shorter of the timeout `wait` and the time from `now` to the earliest of `next`; `None` means no
/// timeout.
pub(crate) fn shorter_timeout(
    wait: Option<Duration>,
    now: Instant,
    next: &[Option<Instant>],
) -> Option<Duration> {
    let next = next.iter().flatten().min().map(|at| at.saturating_duration_since(now));
    match (wait, next) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}
