//! The generic cell rate algorithm (ITU-T I.371): a rate with a burst in one number, the theoretical arrival time. No
//! timer, no refill, exact at any rate.

use crate::Micros;
use crate::policy::RateLimit;

/// Nanoseconds: fine enough for ten million calls a second, whose interval is 100.
type Nanos = u128;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MICRO: Nanos = 1_000;

/// A call does not conform to a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateExceeded {
    /// After how many microseconds a call conforms; `None`: never at this rate.
    pub retry_after: Option<Micros>,
}

/// A rate with a burst.
#[derive(Clone, Debug, PartialEq)]
pub struct Gcra {
    /// Between two calls at the full rate; `None`: no call conforms.
    interval: Option<Nanos>,
    /// How early a call may come.
    tolerance: Nanos,
    /// The theoretical arrival time: when the next call would come at the full rate.
    next: Nanos,
    /// The interval by which `next` was computed: the last one that there was.
    scale: Option<Nanos>,
    now: Nanos,
}

impl Gcra {
    /// A limiter that has let nothing through yet.
    pub fn new(limit: RateLimit) -> Self {
        let mut new = Self { interval: None, tolerance: 0, next: 0, scale: None, now: 0 };
        new.set_limit(limit);
        new
    }

    /// Changes the limit. What was let through still counts: a used burst is not given back.
    pub fn set_limit(&mut self, limit: RateLimit) {
        let RateLimit { per_second, burst } = limit;
        self.interval = (per_second.is_finite() && per_second > 0.0)
            .then(|| ((NANOS_PER_SECOND / per_second) as Nanos).max(1));
        let interval = self.interval.unwrap_or(0);
        self.tolerance = interval * Nanos::from(burst.max(1) - 1);
        // What was let through ahead of time is a number of calls: at another rate it takes another time.
        if let (Some(scale), Some(interval)) = (self.scale, self.interval)
            && self.next > self.now
        {
            let debt = (self.next - self.now).saturating_mul(interval) / scale;
            self.next = self.now + debt.min(self.tolerance + interval);
        }
        self.scale = self.interval.or(self.scale);
    }

    /// Checks whether a call conforms now, without counting it.
    ///
    /// # Errors
    /// Where it does not: when one will.
    pub fn check(&mut self, now: Micros) -> Result<(), RateExceeded> {
        self.now = self.now.max(Nanos::from(now) * NANOS_PER_MICRO);
        if self.interval.is_none() {
            return Err(RateExceeded { retry_after: None });
        }
        let early = self.next.saturating_sub(self.now);
        if early <= self.tolerance {
            return Ok(());
        }
        let wait = (early - self.tolerance).div_ceil(NANOS_PER_MICRO);
        Err(RateExceeded { retry_after: Some(Micros::try_from(wait).unwrap_or(Micros::MAX)) })
    }

    /// Uses up the burst: what was let through before is not known.
    pub fn exhaust(&mut self, now: Micros) {
        self.now = self.now.max(Nanos::from(now) * NANOS_PER_MICRO);
        self.next = self.next.max(self.now + self.tolerance + self.interval.unwrap_or(0));
    }

    /// Counts a call, which [`Gcra::check`] has found to conform at the same time.
    pub fn record(&mut self) {
        self.next = self.next.max(self.now) + self.interval.unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
