//! A controller's lease: until when it may act on the snapshot that it last received, and what it does afterwards.
//!
//! The holder counts the span from the moment at which it sent its *request*, by its own clock, and shortens it by
//! what two clocks may differ; the leader counts the same span from its *response*, and lengthens it by as much (see
//! [`crate::membership`]). So a lease is over for its holder before the leader takes it for over, however long the
//! response was on its way and whatever stalled in between: nothing has to be sent to a holder to end its lease.
//!
//! Requests, and what a stage means for a call, are left to the caller.

use crate::Millis;

/// What a clock may gain or lose, in thousandths of a span: five in a thousand is fifty times a bad crystal.
pub const CLOCK_ERROR_PER_MILLE: Millis = 5;
/// Longest span of a lease, milliseconds. A leader that does not know what an earlier one granted assumes this.
pub const MAX_SPAN: Millis = 60_000;
/// Shortest span of a lease, milliseconds: below it, the exchange itself would take a good part of it.
pub const MIN_SPAN: Millis = 200;
/// Heartbeats that a follower sends in one span, so that one lost exchange costs no lease.
pub const HEARTBEATS_PER_SPAN: Millis = 4;

/// The most that two clocks of a fleet may differ over a span.
pub fn max_clock_difference(span: Millis) -> Millis {
    // Two clocks, each off its own way; rounded up, so that it is never too small.
    (span * 2 * CLOCK_ERROR_PER_MILLE).div_ceil(1000)
}

/// When a lease of this span ends by the holder's clock, which read `sent` when the request was sent.
pub fn expires_at(sent: Millis, span: Millis) -> Millis {
    let span = span.min(MAX_SPAN);
    sent + span.saturating_sub(max_clock_difference(span))
}

/// What a controller does while it has no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePolicy {
    /// It rejects calls. Else it continues with what it last received, and nothing bounds how old that is.
    pub rejects: bool,
    /// It reports that it is not ready after so long without a lease, so that load balancers take it out.
    pub not_ready_after: Option<Millis>,
}

/// What a controller may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It has a lease, or its leader grants none.
    Current,
    /// It has no lease, and continues with what it last received.
    Unleased,
    /// It accepts no new calls, and tells clients when to retry.
    Rejecting,
    /// The same, and it is not ready.
    NotReady,
    /// It was fenced: this incarnation accepts no calls any more.
    Fenced,
}

impl Stage {
    /// Its name in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unleased => "goes-on",
            Self::Rejecting => "refuses",
            Self::NotReady => "leaves",
            Self::Fenced => "fenced",
        }
    }

    /// Are new calls accepted?
    pub fn accepts_calls(self) -> bool {
        matches!(self, Self::Current | Self::Unleased)
    }

    /// Is it to be reported as ready?
    pub fn is_ready(self) -> bool {
        !matches!(self, Self::NotReady | Self::Fenced)
    }
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Leases received, renewals included.
    pub leases: u64,
    /// Leases that ended before they were renewed.
    pub expiries: u64,
    /// Calls rejected for want of a lease.
    pub rejected: u64,
    /// Actions that began within a lease and finished after its end, as the process stood still in between.
    pub doubtful: u64,
}

/// A controller that holds leases.
#[derive(Clone, Debug)]
pub struct Holder {
    policy: LeasePolicy,
    /// Since when it has no lease: its start, or the end of its last lease, which may lie in the future.
    since: Millis,
    until: Option<Millis>,
    fenced: bool,
    /// The end of the last lease that was counted as expired.
    counted_expiry: Option<Millis>,
    counters: Counters,
}

impl Holder {
    /// A controller that starts, and has received nothing yet.
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

    /// It has received a lease until then, by its own clock: see [`expires_at`]. Never shortens the one that it has.
    pub fn renewed(&mut self, until: Millis) {
        self.counters.leases += 1;
        if self.until.is_none_or(|current| current < until) {
            self.until = Some(until);
            self.since = until;
        }
    }

    /// It is fenced for good: only another incarnation may act again.
    pub fn fence(&mut self) {
        self.fenced = true;
    }

    /// What it may do at this time.
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

    /// The stage at which a new call is judged. Counts a rejected call, and a lease that has expired.
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

    /// An action that was judged at `from` has finished now. True: the lease ended meanwhile, so that others may have
    /// taken it for over already.
    pub fn action_finished(&mut self, from: Millis, now: Millis) -> bool {
        let doubtful = self.stage(from) == Stage::Current && self.stage(now) != Stage::Current;
        self.counters.doubtful += u64::from(doubtful);
        doubtful
    }

    /// What remains of the lease; `None`: it has none.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        Some(self.until?.saturating_sub(now)).filter(|remaining| *remaining > 0)
    }

    /// When its stage changes next if no lease is received; `None`: it does not.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let not_ready = self.policy.not_ready_after.map(|after| self.since + after);
        [self.until, not_ready].into_iter().flatten().filter(|at| *at > now).min()
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

#[cfg(test)]
mod tests;
