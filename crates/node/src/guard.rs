//! The platform's rules as invariants, checked at run time where each could be broken: where a request is sent or sent
//! again, where it is answered, where a client's connection is closed, and where the process ends.
//!
//! The checks repeat nothing that decides: a decision that keeps its rules never meets them. What would break a rule is
//! not done; it is counted by its kind and logged with its ids.

use std::fmt;
use std::time::Instant;

use nettleferry::Effect;
use tracing::error;

/// An invariant that something was about to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request whose client has left was about to be sent.
    SendAfterClientLeft,
    /// A request whose time is over was about to be sent.
    SendAfterDeadline,
    /// A request was about to be sent to a worker that takes nothing new.
    SendOutOfService,
    /// A request was about to be sent while an attempt of it was out.
    OverlappingAttempt,
    /// A request that may have run, and may run once, was about to be sent again.
    RepeatAfterEffect,
    /// A keyed request was about to be sent again after repeats are no longer dropped.
    RepeatAfterWindow,
    /// A request that may have run, and may run once, was about to be refused: as if a new try did no harm.
    RefusedAfterEffect,
    /// An answer came for a request that has none to get.
    AnswerForNobody,
    /// A connection was about to be closed under a request without an answer.
    CloseUnderRequest,
    /// A connection was about to be closed before the system had taken its answers.
    CloseBeforeAnswer,
    /// The process was about to end with requests without an answer.
    EndWithRequests,
}

impl Violation {
    /// All kinds, in the order of [`Violations`].
    pub const ALL: [Self; 11] = [
        Self::SendAfterClientLeft,
        Self::SendAfterDeadline,
        Self::SendOutOfService,
        Self::OverlappingAttempt,
        Self::RepeatAfterEffect,
        Self::RepeatAfterWindow,
        Self::RefusedAfterEffect,
        Self::AnswerForNobody,
        Self::CloseUnderRequest,
        Self::CloseBeforeAnswer,
        Self::EndWithRequests,
    ];
}

/// How often each invariant was about to be broken.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations([u64; Violation::ALL.len()]);

impl Violations {
    /// Counts one and logs it. `subject`: the request's id or the connection.
    pub fn report(&mut self, violation: Violation, subject: &dyn fmt::Debug) {
        self.0[violation as usize] += 1;
        error!(?violation, ?subject, "invariant broken: it is not done");
    }

    /// Of one kind.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Of all kinds.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

impl fmt::Debug for Violations {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let seen = Violation::ALL.iter().filter(|kind| self.of(**kind) > 0);
        out.debug_map().entries(seen.map(|kind| (kind, self.of(*kind)))).finish()
    }
}

/// What is known of a request that is about to be sent.
#[derive(Clone, Copy, Debug)]
pub struct Sending {
    /// An attempt of it is out.
    pub out: bool,
    /// An attempt of it may have run.
    pub may_have_run: bool,
    /// What a repeat does.
    pub effect: Effect,
}

impl Sending {
    /// The invariant that sending it would break.
    pub fn check(&self) -> Result<(), Violation> {
        if self.out {
            return Err(Violation::OverlappingAttempt);
        }
        if self.may_have_run && self.effect == Effect::NonIdempotent {
            return Err(Violation::RepeatAfterEffect);
        }
        Ok(())
    }
}

/// What is known of a command in the moment in which its bytes are handed on.
#[derive(Clone, Copy, Debug)]
pub struct Leaving {
    /// Its client still waits.
    pub awaited: bool,
    /// Its worker takes something new.
    pub in_service: bool,
    /// Until when its client waits.
    pub until: Instant,
    /// Until when a repeat of it is dropped, where that matters.
    pub leave_by: Option<Instant>,
}

impl Leaving {
    /// The invariant that handing it on would break.
    pub fn check(&self, now: Instant) -> Result<(), Violation> {
        if !self.awaited {
            return Err(Violation::SendAfterClientLeft);
        }
        if !self.in_service {
            return Err(Violation::SendOutOfService);
        }
        if self.until <= now {
            return Err(Violation::SendAfterDeadline);
        }
        if self.leave_by.is_some_and(|by| by <= now) {
            return Err(Violation::RepeatAfterWindow);
        }
        Ok(())
    }
}

/// May a request that may have run be refused, as if a new try did no harm?
pub fn may_refuse(may_have_run: bool, effect: Effect) -> Result<(), Violation> {
    let harmless = matches!(
        effect,
        Effect::Idempotent | Effect::IdempotencyKey { scope: nettleferry::KeyScope::All, .. }
    );
    if may_have_run && !harmless { Err(Violation::RefusedAfterEffect) } else { Ok(()) }
}

/// May a client's connection be closed, with so many requests open and so many bytes that the system has not taken?
pub fn may_close(open: usize, unsent: usize) -> Result<(), Violation> {
    if open > 0 {
        return Err(Violation::CloseUnderRequest);
    }
    if unsent > 0 {
        return Err(Violation::CloseBeforeAnswer);
    }
    Ok(())
}
