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
mod tests;
