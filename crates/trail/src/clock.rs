//! Which moments of the administration a moment of a controller may be. Each exchange bounds the difference of the
//! two clocks by its own round trip: what the administration read lies between the ask and the answer. Away from an
//! exchange the bound widens by what two clocks may drift.

use crate::Millis;

/// What two clocks may drift apart, in thousandths of the time that passes: as leases have it.
pub const DRIFT_PER_MILLE: Millis = 10;
/// Exchanges that are remembered of one life; the ones between are passed over.
pub const MOST_EXCHANGES: usize = 8_192;

/// Moments from the first to the last that one may be; the administration's may be before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// The earliest.
    pub lo: i64,
    /// The latest.
    pub hi: i64,
}

impl TimeBounds {
    /// One moment, known.
    pub fn at(moment: Millis) -> Self {
        let moment = i64::try_from(moment).unwrap_or(i64::MAX);
        Self { lo: moment, hi: moment }
    }

    /// Is it surely after the other?
    pub fn is_after(self, other: Self) -> bool {
        self.lo > other.hi
    }

    /// Is it surely before the other, or the same moment?
    pub fn is_not_after(self, other: Self) -> bool {
        self.hi <= other.lo
    }
}

#[derive(Clone, Copy, Debug)]
struct Exchange {
    asked: Millis,
    answered: Millis,
    at: Millis,
}

/// A controller's clock against the administration's.
#[derive(Clone, Debug, Default)]
pub struct ClockBounds {
    exchanges: Vec<Exchange>,
    /// One of so many exchanges is remembered, and how many were passed over since the last one.
    stride: usize,
    passed: usize,
}

impl ClockBounds {
    /// Between these two moments of its own, the administration's clock read `at`.
    pub fn heard(&mut self, asked: Millis, answered: Millis, at: Millis) {
        self.passed += 1;
        if self.passed < self.stride.max(1) {
            return;
        }
        self.passed = 0;
        if self.exchanges.len() >= MOST_EXCHANGES {
            // Every second one goes, and only as many come: what is left spans the life evenly.
            self.stride = self.stride.max(1) * 2;
            let mut place = 0;
            self.exchanges.retain(|_| {
                place += 1;
                place % 2 == 1
            });
        }
        self.exchanges.push(Exchange { asked, answered: answered.max(asked), at });
    }

    /// Which moments of the administration this moment of the controller may be; `None`: nothing is known.
    pub fn place(&self, moment: Millis) -> Option<TimeBounds> {
        let moment = i64::try_from(moment).ok()?;
        let signed = |t: Millis| i64::try_from(t).unwrap_or(i64::MAX);
        let spans = self.exchanges.iter().map(|e| {
            let (asked, answered, at) = (signed(e.asked), signed(e.answered), signed(e.at));
            // The farthest that the exchange's reading may lie from this moment, by the controller's clock.
            let away = (moment - asked).abs().max((moment - answered).abs());
            let drift = (away * DRIFT_PER_MILLE as i64 + 999) / 1_000;
            TimeBounds { lo: at + (moment - answered) - drift, hi: at + (moment - asked) + drift }
        });
        let all = spans.reduce(|a, b| TimeBounds { lo: a.lo.max(b.lo), hi: a.hi.min(b.hi) })?;
        // Exchanges that contradict each other: a clock did what no clock may. Nothing is known then.
        (all.lo <= all.hi).then_some(all)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn exchanges_bound_the_difference_and_the_bound_widens_away_from_them() {
        let mut clock = ClockBounds::default();
        assert_eq!(clock.place(5), None);
        clock.heard(1_000, 1_010, 50_000);
        assert_eq!(clock.place(1_005), Some(TimeBounds { lo: 49_994, hi: 50_006 }));
        let later = clock.place(11_000).expect("known");
        assert_eq!((later.lo, later.hi), (59_890, 60_100));
        // A slow exchange says less, and takes nothing away.
        clock.heard(10_000, 15_000, 60_500);
        let now = clock.place(11_000).expect("known");
        assert!(now.lo >= 59_890 && now.hi <= 60_100, "{now:?}");
    }

    #[test]
    fn a_clock_that_did_what_no_clock_may_places_nothing() {
        let mut clock = ClockBounds::default();
        clock.heard(0, 1, 1_000);
        clock.heard(2, 3, 90_000);
        assert_eq!(clock.place(2), None);
    }

    #[test]
    fn many_exchanges_take_bounded_room() {
        let mut clock = ClockBounds::default();
        for n in 0..100_000 {
            clock.heard(n * 10, n * 10 + 2, n * 10 + 70_001);
        }
        assert!(clock.exchanges.len() <= MOST_EXCHANGES);
        let span = clock.place(500_000).expect("known");
        assert!(span.lo <= 570_000 && span.hi >= 570_000 && span.hi - span.lo < 20, "{span:?}");
    }
}
