//! Clock for the timestamps of samples. It stays close to the wall clock but never goes back.
//!
//! The sample clock advances with the monotonic clock and is slewed towards the wall clock. While it is ahead,
//! because the wall clock stepped back, it is slowed down to no less than half speed. While it is behind, it is
//! accelerated by at most one twentieth. If the wall clock stays ahead by more than [`STEP_THRESHOLD`] for
//! [`STEP_CONFIRMATION`], the sample clock steps forward to it. Such a step leaves a gap between samples, which
//! reflects the actual time, and causes no back-dated sample. In the long term the sample clock agrees with the
//! receiver's clock as far as both follow the same wall clock.

use crate::Micros;

/// Offset above which a wall clock that is ahead is assumed to have stepped rather than drifted, in microseconds.
pub const STEP_THRESHOLD: Micros = 5_000_000;
/// Time in microseconds for which the wall clock must stay ahead before the sample clock steps. A wall clock that
/// steps forward and soon back again is not followed.
pub const STEP_CONFIRMATION: Micros = 60_000_000;
/// Slewing gains at most 1 microsecond in this many.
const MAX_GAIN_DIVISOR: Micros = 20;
/// Slewing loses at most 1 microsecond in this many.
const MAX_LOSS_DIVISOR: Micros = 2;

/// Clock for the timestamps of samples. All times are in microseconds: `monotonic` is the time of any monotonic
/// clock, `wall` is the wall-clock time since the Unix epoch.
#[derive(Clone, Debug)]
pub struct SampleClock {
    monotonic: Micros,
    time: Micros,
    /// Monotonic time since which the wall clock has been ahead by more than [`STEP_THRESHOLD`].
    ahead_since: Option<Micros>,
    /// How far the wall clock was ahead at the last reading, in microseconds.
    offset: i64,
    steps_forward: u64,
}

impl SampleClock {
    /// Creates a clock that starts at the wall-clock time, or at `last` if that is later. `last` is the time of the
    /// last sample of an earlier incarnation.
    pub fn new(monotonic: Micros, wall: Micros, last: Micros) -> Self {
        Self { monotonic, time: wall.max(last), ahead_since: None, offset: 0, steps_forward: 0 }
    }

    /// Reads the clock. The result is later than the previous one, unless the monotonic clock has not advanced.
    pub fn now(&mut self, monotonic: Micros, wall: Micros) -> Micros {
        let elapsed = monotonic.saturating_sub(self.monotonic);
        self.monotonic = self.monotonic.max(monotonic);
        let unslewed = self.time.saturating_add(elapsed);
        let ahead = wall.saturating_sub(unslewed);
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
        let behind = unslewed.saturating_sub(wall);
        self.time = unslewed + ahead.min(elapsed / MAX_GAIN_DIVISOR) - behind.min(elapsed / MAX_LOSS_DIVISOR);
        self.offset = signed(wall) - signed(self.time);
        self.time
    }

    /// Returns how far the wall clock was ahead at the last reading, in microseconds; negative if it was behind.
    pub fn offset(&self) -> i64 {
        self.offset
    }

    /// Returns how often the clock has stepped forward to the wall clock.
    pub fn steps_forward(&self) -> u64 {
        self.steps_forward
    }
}

fn signed(time: Micros) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
