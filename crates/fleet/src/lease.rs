//! A controller's lease: until when it may act on what it last heard, and what it does afterwards.
//!
//! The span is counted from the moment at which it *asked*, by its own clock and shortened by what two clocks may
//! differ; the administration counts the same span from its *answer*, lengthened by as much (see [`crate::membership`]).
//! So a holder's lease is over before the administration takes it for over, however long the answer was on its way,
//! and whatever stalled in between: nothing is sent to a holder to end its lease.

use crate::Millis;

/// What a clock may gain or lose, in thousandths of a span: five in a thousand is fifty times a bad crystal.
pub const CLOCK_ERROR_PER_MILLE: Millis = 5;
/// Longest span of a lease; a new administration that does not know what an earlier one gave takes it for given.
pub const MAX_SPAN: Millis = 60_000;
/// Shortest: below it, the exchange itself would take a good part of it.
pub const MIN_SPAN: Millis = 200;
/// A follower asks again after this part of a span, so that one lost exchange costs no lease.
pub const HEARTBEATS_PER_SPAN: Millis = 4;

/// What a clock of this fleet may have made of a span, at the most.
pub fn error_of(span: Millis) -> Millis {
    // Two clocks, each off its own way; rounded up, so that it is never too small.
    (span * 2 * CLOCK_ERROR_PER_MILLE).div_ceil(1000)
}

/// When a lease of this span ends by the holder's clock, which read `asked` when the ask left.
pub fn ends(asked: Millis, span: Millis) -> Millis {
    let span = span.min(MAX_SPAN);
    asked + span.saturating_sub(error_of(span))
}

/// What a controller does while it has no lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeasePolicy {
    /// It refuses calls; else it goes on with what it last heard, and no bound is promised of it.
    pub rejects: bool,
    /// It says that it is not ready once it had none for so long, so that front ends take it out.
    pub not_ready_after: Option<Millis>,
}

/// What it may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// It knows what holds, or its administration gives no leases.
    Current,
    /// It knows no more, and goes on with what it last heard.
    Unleased,
    /// It takes no new calls, and says when to come back.
    Rejecting,
    /// The same, and it is not ready.
    NotReady,
    /// It was shut out: this life takes no calls any more.
    Fenced,
}

impl Stage {
    /// A word for logs, figures and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unleased => "goes-on",
            Self::Rejecting => "refuses",
            Self::NotReady => "leaves",
            Self::Fenced => "fenced",
        }
    }

    /// Are new calls taken?
    pub fn accepts_calls(self) -> bool {
        matches!(self, Self::Current | Self::Unleased)
    }

    /// Is it to be called by front ends?
    pub fn is_ready(self) -> bool {
        !matches!(self, Self::NotReady | Self::Fenced)
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Leases had, renewals among them.
    pub leases: u64,
    /// Leases that ran out before the next one came.
    pub expiries: u64,
    /// Calls refused for want of one.
    pub rejected: u64,
    /// Acts that were begun within a lease and done after its end: the process stood still in between.
    pub doubtful: u64,
}

/// A holder.
#[derive(Clone, Debug)]
pub struct Holder {
    policy: LeasePolicy,
    /// Since when it has none, where it has none: its own start, at first.
    since: Millis,
    until: Option<Millis>,
    fenced: bool,
    /// The end of a lease that was counted as run out.
    counted_expiry: Option<Millis>,
    counters: Counters,
}

impl Holder {
    /// One that starts, and has heard nothing yet.
    pub fn new(now: Millis, policy: LeasePolicy) -> Self {
        let counters = Counters::default();
        Self { policy, since: now, until: None, fenced: false, counted_expiry: None, counters }
    }

    /// It is told that it may act until then, by its own clock: see [`ends`]. Never shortens what it has.
    pub fn renewed(&mut self, until: Millis) {
        self.counters.leases += 1;
        if self.until.is_none_or(|had| had < until) {
            self.until = Some(until);
            self.since = until;
        }
    }

    /// It is shut out for good: only another life is let in again.
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

    /// May a new call be taken? What is not is counted, and so is a lease that has run out.
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

    /// An act that was judged at `from` is done now. True: the lease ran out meanwhile, so that others may have
    /// taken it for over already.
    pub fn action_finished(&mut self, from: Millis, now: Millis) -> bool {
        let doubtful = self.stage(from) == Stage::Current && self.stage(now) != Stage::Current;
        self.counters.doubtful += u64::from(doubtful);
        doubtful
    }

    /// What is left of the lease.
    pub fn remaining(&self, now: Millis) -> Option<Millis> {
        Some(self.until?.saturating_sub(now)).filter(|left| *left > 0)
    }

    /// When its stage changes by itself next, where it does.
    pub fn next_change(&self, now: Millis) -> Option<Millis> {
        let leaves = self.policy.not_ready_after.map(|after| self.since + after);
        [self.until, leaves].into_iter().flatten().filter(|at| *at > now).min()
    }

    /// What was counted.
    pub fn counters(&self) -> Counters {
        self.counters
    }
}

#[cfg(test)]
mod tests;
