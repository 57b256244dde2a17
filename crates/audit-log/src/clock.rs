//! Converts times on a controller's clock into bounds on the leader's clock.
//!
//! Each exchange bounds the difference between the two clocks: the leader read its clock between the controller's
//! request and the response, so the uncertainty is the round-trip time. For a time that is not within an exchange, the
//! bounds widen by the possible drift of the clocks in between.

use crate::Millis;

/// The assumed drift between two clocks, in thousandths of the elapsed time. Leases assume the same drift.
pub const DRIFT_PER_MILLE: Millis = 10;
/// The number of exchanges that are stored for one incarnation. When it is reached, only every second exchange is kept
/// and added, then every fourth, and so on.
pub const MAX_EXCHANGES: usize = 8_192;

/// Bounds of a moment on the leader's clock, milliseconds, both inclusive. Values are negative before the leader's
/// start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// The earliest possible time.
    pub earliest: i64,
    /// The latest possible time.
    pub latest: i64,
}

impl TimeBounds {
    /// The bounds of a moment whose time on the leader's clock is known exactly.
    pub fn at(moment: Millis) -> Self {
        let moment = signed(moment);
        Self { earliest: moment, latest: moment }
    }

    /// Whether this moment is certainly after the other.
    pub fn is_after(self, other: Self) -> bool {
        self.earliest > other.latest
    }

    /// Whether this moment is certainly before or equal to the other.
    pub fn is_not_after(self, other: Self) -> bool {
        self.latest <= other.earliest
    }
}

/// The times of a request to the leader and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockExchange {
    /// The time at which the request was sent, on the controller's clock.
    pub sent: Millis,
    /// The time at which the response was received, on the controller's clock.
    pub received: Millis,
    /// A reading of the leader's clock between the two.
    pub leader_time: Millis,
}

/// Relates the clock of one incarnation of a controller to the leader's clock.
#[derive(Clone, Debug, Default)]
pub struct ClockBounds {
    exchanges: Vec<ClockExchange>,
    /// One in this many exchanges is stored; 0 means 1.
    stride: usize,
    /// The number of exchanges since the last stored one.
    skipped: usize,
}

impl ClockBounds {
    /// Adds an exchange. Exchanges are added in the order in which they happened.
    pub fn add_exchange(&mut self, exchange: ClockExchange) {
        self.skipped += 1;
        if self.skipped < self.stride.max(1) {
            return;
        }
        self.skipped = 0;
        if self.exchanges.len() >= MAX_EXCHANGES {
            self.halve();
        }
        let received = exchange.received.max(exchange.sent);
        self.exchanges.push(ClockExchange { received, ..exchange });
    }

    /// Drops every second exchange and doubles the stride, so that the stored exchanges stay evenly spread over the
    /// incarnation.
    fn halve(&mut self) {
        self.stride = self.stride.max(1) * 2;
        let mut keep = false;
        self.exchanges.retain(|_| {
            keep = !keep;
            keep
        });
    }

    /// Converts a time on the controller's clock into bounds on the leader's clock. `None` without any exchange, and if
    /// the exchanges contradict each other.
    pub fn bounds_of(&self, moment: Millis) -> Option<TimeBounds> {
        let moment = i64::try_from(moment).ok()?;
        let bounds = self.exchanges.iter().map(|exchange| bounds_by(exchange, moment));
        let all = bounds.reduce(|one, other| TimeBounds {
            earliest: one.earliest.max(other.earliest),
            latest: one.latest.min(other.latest),
        })?;
        // If the bounds are empty, a clock drifted by more than DRIFT_PER_MILLE, so no bound can be trusted.
        (all.earliest <= all.latest).then_some(all)
    }
}

/// The bounds that one exchange implies for a time on the controller's clock.
fn bounds_by(exchange: &ClockExchange, moment: i64) -> TimeBounds {
    let (sent, received) = (signed(exchange.sent), signed(exchange.received));
    let leader_time = signed(exchange.leader_time);
    // The longest possible time between the leader's reading and `moment`, on the controller's clock.
    let distance = (moment - sent).abs().max((moment - received).abs());
    let drift = (distance * DRIFT_PER_MILLE as i64 + 999) / 1_000;
    TimeBounds {
        earliest: leader_time + (moment - received) - drift,
        latest: leader_time + (moment - sent) + drift,
    }
}

/// Converts a time to a signed number, so that differences can be negative.
fn signed(moment: Millis) -> i64 {
    i64::try_from(moment).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
