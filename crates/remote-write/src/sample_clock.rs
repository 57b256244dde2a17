//! The time of samples: near the wall clock, and never back, whatever the wall clock does.
//!
//! It runs with the monotonic clock and is slewed towards the wall clock: slowed to half speed at most while it is ahead
//! (the wall clock stepped back), quickened by a twentieth at most while it is behind. A wall clock that is far ahead for
//! [`STEP_CONFIRMATION`] is followed at once: a step forward leaves a gap, which is true, and no back-dated sample. Over
//! weeks the receiver's clock and this one stay together as far as both follow the same wall clock.

use crate::Micros;

/// A wall clock that is ahead by more than this has stepped, and not drifted.
pub const STEP_THRESHOLD: Micros = 5_000_000;
/// A step forward is followed after it has lasted this long: a wall clock that jumps and returns is not followed.
pub const STEP_CONFIRMATION: Micros = 60_000_000;
/// The clock gains at most 1 microsecond in this many.
const MAX_GAIN_DIVISOR: Micros = 20;
/// The clock loses at most 1 microsecond in this many.
const MAX_LOSS_DIVISOR: Micros = 2;

/// The clock of samples. Times are microseconds: `monotonic` on any clock that never goes back, `wall` since 1970.
#[derive(Clone, Debug)]
pub struct SampleClock {
    monotonic: Micros,
    time: Micros,
    /// Since when the wall clock has been ahead by a step.
    ahead_since: Option<Micros>,
    /// How far the wall clock was ahead at the last reading.
    offset: i64,
    steps_forward: u64,
}

impl SampleClock {
    /// Starts at the wall clock's time, but not before `last`, the time of the last sample of an earlier incarnation.
    pub fn new(monotonic: Micros, wall: Micros, last: Micros) -> Self {
        Self { monotonic, time: wall.max(last), ahead_since: None, offset: 0, steps_forward: 0 }
    }

    /// The time now. It is later than at the last reading, unless no time has passed on the monotonic clock.
    pub fn now(&mut self, monotonic: Micros, wall: Micros) -> Micros {
        let passed = monotonic.saturating_sub(self.monotonic);
        self.monotonic = self.monotonic.max(monotonic);
        let free = self.time.saturating_add(passed);
        let ahead = wall.saturating_sub(free);
        if ahead > STEP_THRESHOLD {
            let since = *self.ahead_since.get_or_insert(monotonic);
            if monotonic.saturating_sub(since) >= STEP_CONFIRMATION {
                self.ahead_since = None;
                self.steps_forward += 1;
                self.time = wall;
                self.offset = 0;
                return self.time;
            }
        } else {
            self.ahead_since = None;
        }
        let behind = free.saturating_sub(wall);
        self.time = free + ahead.min(passed / MAX_GAIN_DIVISOR) - behind.min(passed / MAX_LOSS_DIVISOR);
        self.offset = signed(wall) - signed(self.time);
        self.time
    }

    /// How far the wall clock was ahead at the last reading, microseconds; negative: behind.
    pub fn offset(&self) -> i64 {
        self.offset
    }

    /// How many steps forward were followed.
    pub fn steps_forward(&self) -> u64 {
        self.steps_forward
    }
}

fn signed(time: Micros) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
