//! The platform's rules as invariants, checked at run time where each could be broken: where a request is sent or
//! retried, where it is answered, where a client's connection is closed, and where the process ends.
//!
//! The checks make no decision: one that keeps its rules never fails them. An action that would break a rule is not
//! taken; it is counted by its kind and logged with its ids.

use std::fmt;
use std::time::{Duration, Instant};

use nettleferry::Effect;
use tracing::error;

/// An invariant that an action was about to break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A request whose client has disconnected was about to be sent.
    SendAfterClientLeft,
    /// A request whose deadline has passed was about to be sent.
    SendAfterDeadline,
    /// A request was about to be sent to a worker that is not in service.
    SendOutOfService,
    /// A request was about to be sent while an attempt of it was in flight.
    OverlappingAttempt,
    /// A request that may have run, and must not run twice, was about to be retried.
    RetryAfterEffect,
    /// A request with an idempotency key was about to be retried after the span in which duplicates are dropped.
    RetryAfterWindow,
    /// A request that may have run, and must not run twice, was about to be refused, which states that a retry is harmless.
    RefusedAfterEffect,
    /// An answer was about to be given to a request that is not open.
    AnswerWithoutRequest,
    /// A connection was about to be closed with an unanswered request open.
    CloseUnderRequest,
    /// A connection was about to be closed before the system had taken its answers.
    CloseBeforeAnswer,
    /// The process was about to end with unanswered requests.
    EndWithRequests,
}

impl Violation {
    /// All kinds, in the order of [`Violations`].
    pub const ALL: [Self; 11] = [
        Self::SendAfterClientLeft,
        Self::SendAfterDeadline,
        Self::SendOutOfService,
        Self::OverlappingAttempt,
        Self::RetryAfterEffect,
        Self::RetryAfterWindow,
        Self::RefusedAfterEffect,
        Self::AnswerWithoutRequest,
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
        error!(?violation, ?subject, "invariant broken, action not taken");
    }

    /// Violations of one kind.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Violations of all kinds.
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

/// What is known of a request of which an attempt is about to start.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCheck {
    /// An attempt of it is in flight.
    pub in_flight: bool,
    /// An attempt of it may have run.
    pub may_have_run: bool,
    /// What a second run would do.
    pub effect: Effect,
    /// The time that its client had left when the attempt was decided on.
    pub time_left: Duration,
}

impl AttemptCheck {
    /// Checks that an attempt may start.
    ///
    /// # Errors
    ///
    /// The invariant that it would break.
    pub fn run(&self) -> Result<(), Violation> {
        if self.in_flight {
            return Err(Violation::OverlappingAttempt);
        }
        if self.may_have_run && self.effect == Effect::NonIdempotent {
            return Err(Violation::RetryAfterEffect);
        }
        if self.time_left.is_zero() {
            return Err(Violation::SendAfterDeadline);
        }
        Ok(())
    }
}

/// What is known of an attempt in the moment in which its bytes are written.
#[derive(Clone, Copy, Debug)]
pub struct WriteCheck {
    /// Its client still waits.
    pub awaited: bool,
    /// Its worker accepts new requests.
    pub in_service: bool,
    /// Until when its client waits.
    pub deadline: Instant,
    /// Until when a duplicate of it is dropped, where that matters.
    pub send_by: Option<Instant>,
}

impl WriteCheck {
    /// Checks that it may be written.
    ///
    /// # Errors
    ///
    /// The invariant that it would break.
    pub fn run(&self, now: Instant) -> Result<(), Violation> {
        if !self.awaited {
            return Err(Violation::SendAfterClientLeft);
        }
        if !self.in_service {
            return Err(Violation::SendOutOfService);
        }
        if self.deadline <= now {
            return Err(Violation::SendAfterDeadline);
        }
        if self.send_by.is_some_and(|send_by| send_by <= now) {
            return Err(Violation::RetryAfterWindow);
        }
        Ok(())
    }
}

/// Checks that a request may be refused, which states that a retry is harmless.
///
/// # Errors
///
/// It may have run, and a second run is not harmless.
pub fn may_refuse(may_have_run: bool, effect: Effect) -> Result<(), Violation> {
    let harmless = matches!(
        effect,
        Effect::Idempotent | Effect::IdempotencyKey { scope: nettleferry::KeyScope::All, .. }
    );
    if may_have_run && !harmless { Err(Violation::RefusedAfterEffect) } else { Ok(()) }
}

/// Checks that a client's connection may be closed, with so many requests open and so many bytes that the system has not
/// accepted yet.
///
/// # Errors
///
/// An answer would be lost.
pub fn may_close(open: usize, unsent: usize) -> Result<(), Violation> {
    if open > 0 {
        return Err(Violation::CloseUnderRequest);
    }
    if unsent > 0 {
        return Err(Violation::CloseBeforeAnswer);
    }
    Ok(())
}
