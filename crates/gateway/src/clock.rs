//! The program's clock: microseconds since 1970 at the start, monotonic from there on, so that list times and
//! our own can be compared and no step of the wall clock reaches a decision.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nettleferry::Micros;

/// The clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Micros,
    start: Instant,
}

impl Clock {
    /// Starts it.
    pub fn start() -> Self {
        Self { base: wall(), start: Instant::now() }
    }

    /// Now.
    pub fn now(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

/// The wall clock as it stands: it may step.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO).as_micros() as Micros
}
