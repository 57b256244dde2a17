//! The lease of a controller: until when it may act on the snapshot that it last received, and what it does
//! afterwards.
//!
//! The holder measures the span by its own clock from the time at which it sent its *request*, and shortens
//! the span by the maximum difference of two clocks. The leader measures the same span from the time of its
//! *response*, and lengthens it by the same difference (see [`crate::membership`]). A lease therefore expires
//! for its holder before it expires for the leader, no matter how long the response was delayed or which
//! process stalled. A lease ends without any message to its holder.
//!
//! The caller sends the requests and decides what a [`Stage`] means for a call.

use crate::Millis;

/// Maximum drift of a clock, in thousandths of the elapsed time. This is fifty times the drift of a poor
/// crystal oscillator.
pub const CLOCK_ERROR_PER_MILLE: Millis = 5;
/// Maximum span of a lease in milliseconds. A leader that does not know the span of earlier leases assumes
/// this one.
pub const MAX_SPAN: Millis = 60_000;
/// Minimum span of a lease in milliseconds. The exchange of a heartbeat would take a large part of a shorter
/// one.
pub const MIN_SPAN: Millis = 200;
/// Number of heartbeats that a follower sends within one span, so that it keeps its lease if one of them is
/// lost.
pub const HEARTBEATS_PER_SPAN: Millis = 4;

/// Returns the maximum difference in milliseconds between the readings of two clocks after a span.
pub fn max_clock_difference(span: Millis) -> Millis {
    // The two clocks may drift in opposite directions. Rounded up, so that the bound is never too small.
    (span * 2 * CLOCK_ERROR_PER_MILLE).div_ceil(1000)
}

/// Returns when a lease of this span expires by the holder's clock, which read `sent` when the request was
/// sent.
pub fn expires_at(sent: Millis, span: Millis) -> Millis {
    let span = span.min(MAX_SPAN);
    sent + span.saturating_sub(max_clock_difference(span))
}

/// The behaviour of a controller while it has no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePolicy {
    /// Whether the controller rejects calls. If not, it continues with the snapshot that it last received,
    /// whose age is then unbounded.
    pub rejects: bool,
    /// Time without a lease after which the controller reports that it is not ready, so that load balancers
    /// stop sending calls to it; `None` for never.
    pub not_ready_after: Option<Millis>,
}

/// The actions that a controller may take at a given time, by its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// The controller has a lease, or its leader grants no leases.
    Current,
    /// The controller has no lease and continues with the snapshot that it last received.
    Unleased,
    /// The controller has no lease and rejects new calls with a retry delay.
    Rejecting,
    /// The controller rejects new calls and reports that it is not ready.
    NotReady,
    /// The controller was fenced: this incarnation never accepts a call again.
    Fenced,
}

impl Stage {
    /// Returns the name used in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unleased => "goes-on",
            Self::Rejecting => "refuses",
            Self::NotReady => "leaves",
            Self::Fenced => "fenced",
        }
    }

    /// Returns whether new calls are accepted.
    pub fn accepts_calls(self) -> bool {
        matches!(self, Self::Current | Self::Unleased)
    }

    /// Returns whether the controller reports that it is ready.
    pub fn is_ready(self) -> bool {
        !matches!(self, Self::NotReady | Self::Fenced)
    }
}

/// Totals of a lease holder since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Leases received, including renewals.
    pub leases: u64,
    /// Leases that expired before they were renewed, or were running when the controller was fenced, counted
    /// at the next call.
    pub expiries: u64,
    /// Calls rejected because the controller had no lease or was fenced.
    pub rejected: u64,
    /// Actions that began within a lease and finished after it had expired, because the process stalled in
    /// between.
    pub doubtful: u64,
}

/// The lease state of a controller.
#[derive(Clone, Debug)]
pub struct Holder {
    policy: LeasePolicy,
    /// The start of the controller or the end of its last lease, which may be in the future. The time without
    /// a lease is measured from here.
    since: Millis,
    /// Expiry of the last lease by the holder's clock; `None` before the first lease.
    until: Option<Millis>,
    fenced: bool,
    /// Expiry time of the last lease that was counted as expired.
    counted_expiry: Option<Millis>,
    counters: Counters,
}

impl Holder {
    /// Creates the state of a controller that starts at `now` without a lease.
    pub fn new(now: Millis, policy: LeasePolicy) -> Self {
        Self {
            policy,
            since: now,
            until: None,
            fenced: false,
            counted_expiry: None,
            counters: Counters::default(),
        }
    }

    /// Records a lease that expires at `until` by the holder's clock, as returned by [`expires_at`]. A lease
    /// that expires earlier than the current one has no effect.
    pub fn renewed(&mut self, until: Millis) {
        self.counters.leases += 1;
        if self.until.is_none_or(|current| current < until) {
            self.until = Some(until);
            self.since = until;
        }
    }

    /// Fences this incarnation permanently. Only another incarnation of the controller may act again.
    pub fn fence(&mut self) {
        self.fenced = true;
    }

    /// Returns what the controller may do at `now`.
    pub fn stage(&self, now: Millis) -> Stage {
        if self.fenced {
            return Stage::Fenced;
        }
        if self.until.is_some_and(|until| now < until) {
            return Stage::Current;
        }
        let without = now.saturating_sub(self.since);
        if self.policy.not_ready_after.is_some_and(|after| without >= after) {
            return Stage::NotReady;
        }
        if self.policy.rejects { Stage::Rejecting } else { Stage::Unleased }
    }

    /// Returns the stage that applies to a new call, and counts the call if it is rejected and the lease if
    /// it has expired.
    pub fn check_call(&mut self, now: Millis) -> Stage {
        let stage = self.stage(now);
        if !stage.accepts_calls() {
            self.counters.rejected += 1;
        }
        if stage != Stage::Current && self.counted_expiry != self.until {
            self.counted_expiry = self.until;
            self.counters.expiries += 1;
        }
        stage
    }

    /// Checks an action that was allowed at `from` and has finished at `now`. Returns true and counts the
    /// action if the lease expired in between, so that other controllers may already have relied on its
    /// expiry.
    pub fn action_finished(&mut self, from: Millis, now: Millis) -> bool {
        let doubtful = self.stage(from) == Stage::Current && self.stage(now) != Stage::Current;
        self.counters.doubtful += u64::from(doubtful);
        doubtful
    }

    /// Returns the remaining time of the lease; `None` if there is no lease.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        Some(self.until?.saturating_sub(now)).filter(|remaining| *remaining > 0)
    }

    /// Returns when the stage changes next unless a lease is received; `None` if it does not change. Fencing
    /// is not considered.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let not_ready = self.policy.not_ready_after.map(|after| self.since + after);
        [self.until, not_ready].into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Returns the totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

#[cfg(test)]
mod tests;
