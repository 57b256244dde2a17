//! The time of samples: near the wall's, never back, whatever the wall does.
//!
//! It runs with the monotonic clock and is drawn towards the wall: slowed to half speed at the most while it is
//! ahead (the wall stepped back), quickened by a twentieth at the most while it is behind. A wall that is far
//! ahead for [`SETTLE`] is believed at once: a step forward leaves a gap, which is true, and no back-dated
//! sample. Over weeks the receiver's clock and ours stay together as far as both follow the same wall.

use crate::queue::Micros;

/// Ahead of us by more than this is a step, not drift.
pub const STEP: Micros = 5_000_000;
/// A step forward has to last so long: a wall that jumps and returns is not followed.
pub const SETTLE: Micros = 60_000_000;
/// Part of the time that passes by which we quicken at the most: 1 in this.
const QUICKEN: Micros = 20;
/// The same for slowing.
const SLOW: Micros = 2;

/// The clock of samples. Times are microseconds: `steady` on any clock that never goes back, `wall` since 1970.
#[derive(Clone, Debug)]
pub struct SampleClock {
    steady: Micros,
    time: Micros,
    /// The wall has been ahead by a step since then.
    ahead_since: Option<Micros>,
    /// How far the wall was ahead of us when last asked.
    ahead: i64,
    steps: u64,
}

impl SampleClock {
    /// Starts at the wall's time, but after `last`: what was told before must stay before.
    pub fn new(steady: Micros, wall: Micros, last: Micros) -> Self {
        Self { steady, time: wall.max(last), ahead_since: None, ahead: 0, steps: 0 }
    }

    /// The time now. It is later than the last one, unless no steady time has passed.
    pub fn now(&mut self, steady: Micros, wall: Micros) -> Micros {
        let passed = steady.saturating_sub(self.steady);
        self.steady = self.steady.max(steady);
        let free = self.time.saturating_add(passed);
        let ahead = wall.saturating_sub(free);
        if ahead > STEP {
            let since = *self.ahead_since.get_or_insert(steady);
            if steady.saturating_sub(since) >= SETTLE {
                self.ahead_since = None;
                self.steps += 1;
                self.time = wall;
                self.ahead = 0;
                return self.time;
            }
        } else {
            self.ahead_since = None;
        }
        let behind = free.saturating_sub(wall);
        self.time = free + ahead.min(passed / QUICKEN) - behind.min(passed / SLOW);
        self.ahead = signed(wall) - signed(self.time);
        self.time
    }

    /// How far the wall was ahead when last asked, microseconds; below zero: behind.
    pub fn ahead(&self) -> i64 {
        self.ahead
    }

    /// Steps forward that were taken.
    pub fn steps(&self) -> u64 {
        self.steps
    }
}

fn signed(time: Micros) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
