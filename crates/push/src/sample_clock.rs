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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const S: Micros = 1_000_000;
    const HOUR: Micros = 3_600 * S;
    const START: Micros = 1_764_590_000 * S;

    /// Asked each second for so long, with a wall that is off by so much.
    fn run(clock: &mut SampleClock, from: Micros, seconds: u64, off: i64) -> Vec<Micros> {
        let at = |n| from + n * S;
        (1..=seconds).map(|n| clock.now(at(n), (START + at(n)).saturating_add_signed(off))).collect()
    }

    #[test]
    fn a_wall_that_steps_back_an_hour_is_met_without_going_back() {
        let mut clock = SampleClock::new(0, START, 0);
        run(&mut clock, 0, 100, 0);
        let times = run(&mut clock, 100 * S, 2 * 3_600 + 1, -(HOUR as i64));
        assert!(times.windows(2).all(|w| w[1] - w[0] >= S / 2), "half speed at the least");
        assert_eq!((clock.ahead(), clock.steps()), (0, 0), "together again after two hours");
    }

    #[test]
    fn a_wall_that_steps_forward_a_day_is_believed_after_a_minute_and_no_sooner() {
        let mut clock = SampleClock::new(0, START, 0);
        run(&mut clock, 0, 10, 0);
        let times = run(&mut clock, 10 * S, 60, 24 * HOUR as i64);
        assert!(times.windows(2).all(|w| w[1] - w[0] <= S + S / 20), "not yet");
        run(&mut clock, 70 * S, 2, 24 * HOUR as i64);
        assert_eq!((clock.ahead(), clock.steps()), (0, 1));
        // One that jumps and returns is not followed.
        let mut jumps = SampleClock::new(0, START, 0);
        run(&mut jumps, 0, 59, HOUR as i64);
        run(&mut jumps, 59 * S, 200, 0);
        run(&mut jumps, 259 * S, 59, HOUR as i64);
        assert_eq!(jumps.steps(), 0);
    }

    #[test]
    fn drift_over_weeks_stays_small() {
        // The steady clock loses 100 microseconds a second: 8.6 s a day, unless drawn.
        let mut clock = SampleClock::new(0, START, 0);
        for n in 1..=14 * 24 * 60 {
            clock.now(n * 60 * S, START + n * 60 * (S + 100));
            assert!(clock.ahead().unsigned_abs() <= 6_000, "{}", clock.ahead());
        }
    }

    #[test]
    fn a_life_begins_after_the_last_word_of_the_one_before() {
        let mut clock = SampleClock::new(0, START, START + HOUR);
        assert!(clock.now(S, START + S) >= START + HOUR);
        assert!(run(&mut clock, S, 100, 0).windows(2).all(|w| w[0] < w[1]));
    }

    proptest! {
        #[test]
        fn it_never_goes_back(steps in prop::collection::vec((0u64..100_000_000, any::<u64>()), 1..200)) {
            let mut clock = SampleClock::new(0, START, 0);
            let (mut steady, mut last) = (0, START);
            for (passed, told) in steps {
                steady += passed;
                let now = clock.now(steady, told % (4 * START));
                prop_assert!(now >= last + passed / 2);
                last = now;
            }
        }
    }
}
