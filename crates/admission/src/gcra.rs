//! The generic cell rate algorithm (ITU-T I.371): a rate limiter with bursts. Its state is one number, the
//! theoretical arrival time of the next call, so it needs no timer and no refill step. The interval between
//! calls is rounded down to whole nanoseconds.

use crate::Micros;
use crate::policy::RateLimit;

/// A time or a duration in nanoseconds. Microseconds would be too coarse: at ten million calls per second the
/// interval between calls is 100 ns.
type Nanos = u128;

const NANOS_PER_SECOND: f64 = 1e9;
const NANOS_PER_MICRO: Nanos = 1_000;

/// The error for a call that does not conform to a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RateExceeded {
    /// Microseconds until a call conforms. `None` if the rate admits no calls.
    pub retry_after: Option<Micros>,
}

/// A rate limiter with bursts.
#[derive(Clone, Debug, PartialEq)]
pub struct Gcra {
    /// Time between two calls at the full rate. `None` if the rate is not a positive, finite number, so that
    /// no call conforms.
    interval: Option<Nanos>,
    /// Maximum time by which a call may arrive before its theoretical arrival time.
    tolerance: Nanos,
    /// Time at which the next call would arrive at the full rate.
    theoretical_arrival: Nanos,
    /// The interval from which `theoretical_arrival` was computed: the last one that was not `None`.
    last_interval: Option<Nanos>,
    now: Nanos,
}

impl Gcra {
    /// Creates a limiter with its full burst available.
    pub fn new(limit: RateLimit) -> Self {
        let mut limiter =
            Self { interval: None, tolerance: 0, theoretical_arrival: 0, last_interval: None, now: 0 };
        limiter.set_limit(limit);
        limiter
    }

    /// Changes the limit. Calls admitted before still count, so that a used burst is not available again.
    pub fn set_limit(&mut self, limit: RateLimit) {
        let RateLimit { per_second, burst } = limit;
        self.interval = (per_second.is_finite() && per_second > 0.0)
            .then(|| ((NANOS_PER_SECOND / per_second) as Nanos).max(1));
        let interval = self.interval.unwrap_or(0);
        self.tolerance = interval * Nanos::from(burst.max(1) - 1);
        // The debt is a number of calls admitted ahead of time. At the new rate the same number of calls takes a
        // different time.
        if let (Some(last_interval), Some(interval)) = (self.last_interval, self.interval)
            && self.theoretical_arrival > self.now
        {
            let debt = (self.theoretical_arrival - self.now).saturating_mul(interval) / last_interval;
            self.theoretical_arrival = self.now + debt.min(self.tolerance + interval);
        }
        self.last_interval = self.interval.or(self.last_interval);
    }

    /// Checks whether a call conforms at `now`, without counting it.
    ///
    /// # Errors
    /// Returns the time until a call conforms if this one does not.
    pub fn check(&mut self, now: Micros) -> Result<(), RateExceeded> {
        self.now = self.now.max(Nanos::from(now) * NANOS_PER_MICRO);
        if self.interval.is_none() {
            return Err(RateExceeded { retry_after: None });
        }
        let early = self.theoretical_arrival.saturating_sub(self.now);
        if early <= self.tolerance {
            return Ok(());
        }
        let wait = (early - self.tolerance).div_ceil(NANOS_PER_MICRO);
        Err(RateExceeded { retry_after: Some(Micros::try_from(wait).unwrap_or(Micros::MAX)) })
    }

    /// Uses up the burst, for use when it is not known which calls were admitted before.
    pub fn exhaust(&mut self, now: Micros) {
        self.now = self.now.max(Nanos::from(now) * NANOS_PER_MICRO);
        self.theoretical_arrival =
            self.theoretical_arrival.max(self.now + self.tolerance + self.interval.unwrap_or(0));
    }

    /// Counts a call that [`Gcra::check`] has just found to conform.
    pub fn record(&mut self) {
        self.theoretical_arrival = self.theoretical_arrival.max(self.now) + self.interval.unwrap_or(0);
    }
}

#[cfg(test)]
mod tests;
