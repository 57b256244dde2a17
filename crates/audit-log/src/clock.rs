//! Which moments on the leader's clock a moment of a controller may be. Each exchange bounds the difference of the
//! two clocks by its own round trip: what the leader's clock read lies between request and response. Away from an
//! exchange the bounds widen by what two clocks may drift.

use crate::Millis;

/// What two clocks may drift apart, in thousandths of the time that passes: the same as for leases.
pub const DRIFT_PER_MILLE: Millis = 10;
/// Exchanges of one incarnation that are remembered; beyond them only every second one, then every fourth, and so on.
pub const MAX_EXCHANGES: usize = 8_192;

/// The earliest and the latest moment that one may be, in milliseconds of the leader's clock; negative before the
/// leader's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// The earliest.
    pub earliest: i64,
    /// The latest.
    pub latest: i64,
}

impl TimeBounds {
    /// The bounds of a known moment.
    pub fn at(moment: Millis) -> Self {
        let moment = signed(moment);
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

/// A request to the leader and its response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockExchange {
    /// When the request was sent, by the controller's clock.
    pub sent: Millis,
    /// When the response had come, by the controller's clock.
    pub received: Millis,
    /// What the leader's clock read in between.
    pub leader_time: Millis,
}

/// A controller's clock against the leader's.
#[derive(Clone, Debug, Default)]
pub struct ClockBounds {
    exchanges: Vec<ClockExchange>,
    /// One of so many exchanges is remembered; 0 as 1.
    stride: usize,
    /// Exchanges since the last one that was remembered.
    skipped: usize,
}

impl ClockBounds {
    /// Takes in an exchange.
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

    /// Forgets every second exchange, and remembers only as many from now on: they span the incarnation evenly.
    fn halve(&mut self) {
        self.stride = self.stride.max(1) * 2;
        let mut keep = false;
        self.exchanges.retain(|_| {
            keep = !keep;
            keep
        });
    }

    /// Which moments on the leader's clock this moment of the controller may be; `None`: nothing is known.
    pub fn bounds_of(&self, moment: Millis) -> Option<TimeBounds> {
        let moment = i64::try_from(moment).ok()?;
        let bounds = self.exchanges.iter().map(|exchange| bounds_by(exchange, moment));
        let all = bounds.reduce(|one, other| TimeBounds {
            earliest: one.earliest.max(other.earliest),
            latest: one.latest.min(other.latest),
        })?;
        // Exchanges that contradict each other: a clock drifted more than any may. Nothing is known then.
        (all.earliest <= all.latest).then_some(all)
    }
}

/// What one exchange says of a moment of the controller.
fn bounds_by(exchange: &ClockExchange, moment: i64) -> TimeBounds {
    let (sent, received) = (signed(exchange.sent), signed(exchange.received));
    let leader_time = signed(exchange.leader_time);
    // The farthest that the reading may lie from this moment, by the controller's clock.
    let distance = (moment - sent).abs().max((moment - received).abs());
    let drift = (distance * DRIFT_PER_MILLE as i64 + 999) / 1_000;
    TimeBounds {
        earliest: leader_time + (moment - received) - drift,
        latest: leader_time + (moment - sent) + drift,
    }
}

fn signed(moment: Millis) -> i64 {
    i64::try_from(moment).unwrap_or(i64::MAX)
}

#[cfg(test)]
mod tests;
