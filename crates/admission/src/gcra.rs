//! The generic cell rate algorithm (ITU-T I.371): a rate with a burst in one number, the theoretical arrival
//! time. No timer, no refill, exact at any rate.

use crate::Micros;

/// Nanoseconds: at ten million calls a second an interval still has three digits.
type Nanos = u128;

/// A rate with a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Gcra {
    /// Between two calls at the full rate; none: nothing passes.
    interval: Option<Nanos>,
    /// How much too early a call may be.
    tolerance: Nanos,
    /// When the next call would come at the full rate, by the interval that `scale` says: the last one there was.
    next: Nanos,
    scale: Option<Nanos>,
    now: Nanos,
}

impl Gcra {
    /// So many calls a second, and so many at once beyond; a rate of nought lets nothing through.
    pub fn new(per_second: f64, burst: u32) -> Self {
        let mut new = Self { interval: None, tolerance: 0, next: 0, scale: None, now: 0 };
        new.set(per_second, burst);
        new
    }

    /// Changes the rate. What was taken before stays taken: a burst used up is not given back.
    pub fn set(&mut self, per_second: f64, burst: u32) {
        self.interval =
            (per_second.is_finite() && per_second > 0.0).then(|| ((1e9 / per_second) as Nanos).max(1));
        let interval = self.interval.unwrap_or(0);
        self.tolerance = interval * Nanos::from(burst.max(1) - 1);
        // What is owed is a number of calls: at another rate it is another span.
        if let (Some(scale), Some(interval)) = (self.scale, self.interval)
            && self.next > self.now
        {
            let owed = (self.next - self.now).saturating_mul(interval) / scale;
            self.next = self.now + owed.min(self.tolerance + interval);
        }
        self.scale = self.interval.or(self.scale);
    }

    /// Would a call pass? The wait until it would where not; none: never at this rate.
    pub fn wait(&mut self, now: Micros) -> Result<(), Option<Micros>> {
        self.now = self.now.max(Nanos::from(now) * 1_000);
        if self.interval.is_none() {
            return Err(None);
        }
        let early = self.next.saturating_sub(self.now);
        if early <= self.tolerance {
            return Ok(());
        }
        let wait = (early - self.tolerance).div_ceil(1_000);
        Err(Some(Micros::try_from(wait).unwrap_or(Micros::MAX)))
    }

    /// What was taken before is not known, and is taken to be all: the burst is used up.
    pub fn spend(&mut self, now: Micros) {
        self.now = self.now.max(Nanos::from(now) * 1_000);
        self.next = self.next.max(self.now + self.tolerance + self.interval.unwrap_or(0));
    }

    /// A call passes: to be said only after [`Gcra::wait`] was asked at the same time and let it.
    pub fn take(&mut self) {
        self.next = self.next.max(self.now) + self.interval.unwrap_or(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn pass(gcra: &mut Gcra, now: Micros) -> bool {
        let passes = gcra.wait(now).is_ok();
        if passes {
            gcra.take();
        }
        passes
    }

    #[test]
    fn what_is_not_known_is_taken_to_be_spent_and_the_rate_goes_on() {
        let mut gcra = Gcra::new(10.0, 20);
        gcra.spend(1_000_000);
        assert!(!pass(&mut gcra, 1_000_000), "no second burst");
        // A tenth of a second a call, and no more.
        let passed = (1_000_000..3_000_000).step_by(1_000).filter(|now| pass(&mut gcra, *now)).count();
        assert!((19..=20).contains(&passed), "{passed} in two seconds");
    }

    #[test]
    fn a_burst_passes_then_the_rate_and_the_wait_told_is_right() {
        let mut gcra = Gcra::new(10.0, 3);
        assert_eq!((0..5).filter(|_| pass(&mut gcra, 0)).count(), 3);
        assert_eq!(gcra.wait(0), Err(Some(100_000)));
        assert!(!pass(&mut gcra, 99_999) && pass(&mut gcra, 100_000) && !pass(&mut gcra, 100_001));
        assert_eq!(
            (0..9).filter(|_| pass(&mut gcra, 10_000_000)).count(),
            3,
            "no more than the burst saves up"
        );
    }

    #[test]
    fn nought_lets_nothing_through_and_a_clock_that_steps_back_stands_still() {
        let mut gcra = Gcra::new(0.0, 100);
        assert_eq!(gcra.wait(5), Err(None));
        let mut gcra = Gcra::new(1.0, 1);
        assert!(pass(&mut gcra, 9_000_000) && !pass(&mut gcra, 1));
        assert_eq!(gcra.wait(2), Err(Some(1_000_000)));
    }

    #[test]
    fn a_change_keeps_what_is_owed_in_calls() {
        let mut gcra = Gcra::new(10.0, 10);
        assert_eq!((0..10).filter(|_| pass(&mut gcra, 0)).count(), 10);
        gcra.set(100.0, 10);
        assert_eq!(gcra.wait(0), Err(Some(10_000)), "no second burst, but the wait of the new rate");
        gcra.set(0.0, 10);
        gcra.set(10.0, 10);
        assert!(gcra.wait(0).is_err(), "nor by way of nought");
    }

    proptest! {
        #[test]
        fn no_span_lets_more_through_than_burst_and_rate(
            rate in 1.0f64..5_000.0, burst in 1u32..50, gaps in prop::collection::vec(0u64..20_000, 1..400),
        ) {
            let mut gcra = Gcra::new(rate, burst);
            let (mut now, mut passed) = (0, Vec::new());
            for gap in gaps {
                now += gap;
                if pass(&mut gcra, now) {
                    passed.push(now);
                }
            }
            for (i, from) in passed.iter().enumerate() {
                for (j, to) in passed.iter().enumerate().skip(i) {
                    let most = f64::from(burst) + (to - from) as f64 / 1e6 * rate * (1.0 + 1e-6) + 1e-3;
                    prop_assert!((j - i + 1) as f64 <= most, "{} in {} us", j - i + 1, to - from);
                }
            }
        }
    }
}
