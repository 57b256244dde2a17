//! Which moments of the administration a moment of a controller may be. Each exchange bounds the difference of the
//! two clocks by its own round trip: what the administration read lies between the ask and the answer. Away from an
//! exchange the bound widens by what two clocks may drift.

use crate::Millis;

/// What two clocks may drift apart, in thousandths of the time that passes: as leases have it.
pub const DRIFT_PER_MILLE: Millis = 10;
/// Exchanges that are remembered of one life; the ones between are passed over.
pub const MAX_EXCHANGES: usize = 8_192;

/// Moments from the first to the last that one may be; the administration's may be before its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// The earliest.
    pub earliest: i64,
    /// The latest.
    pub latest: i64,
}

impl TimeBounds {
    /// One moment, known.
    pub fn at(moment: Millis) -> Self {
        let moment = i64::try_from(moment).unwrap_or(i64::MAX);
        Self { earliest: moment, latest: moment }
    }

    /// Is it surely after the other?
    pub fn is_after(self, other: Self) -> bool {
        self.earliest > other.latest
    }

    /// Is it surely before the other, or the same moment?
    pub fn is_not_after(self, other: Self) -> bool {
        self.latest <= other.earliest
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
    pub fn add_exchange(&mut self, asked: Millis, answered: Millis, at: Millis) {
        self.passed += 1;
        if self.passed < self.stride.max(1) {
            return;
        }
        self.passed = 0;
        if self.exchanges.len() >= MAX_EXCHANGES {
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
    pub fn bounds_of(&self, moment: Millis) -> Option<TimeBounds> {
        let moment = i64::try_from(moment).ok()?;
        let signed = |t: Millis| i64::try_from(t).unwrap_or(i64::MAX);
        let spans = self.exchanges.iter().map(|e| {
            let (asked, answered, at) = (signed(e.asked), signed(e.answered), signed(e.at));
            // The farthest that the exchange's reading may lie from this moment, by the controller's clock.
            let away = (moment - asked).abs().max((moment - answered).abs());
            let drift = (away * DRIFT_PER_MILLE as i64 + 999) / 1_000;
            TimeBounds { earliest: at + (moment - answered) - drift, latest: at + (moment - asked) + drift }
        });
        let all = spans.reduce(|a, b| TimeBounds {
            earliest: a.earliest.max(b.earliest),
            latest: a.latest.min(b.latest),
        })?;
        // Exchanges that contradict each other: a clock did what no clock may. Nothing is known then.
        (all.earliest <= all.latest).then_some(all)
    }
}

#[cfg(test)]
mod tests;
