//! The platform's rules as invariants, checked at run time where each could be broken: when a request is
//! sent, retried or answered, when a client connection is closed, and when the process ends.
//!
//! The checks make no decisions; they only fail if a decision made elsewhere is wrong. An action that would
//! break an invariant is not taken; it is counted by its kind and logged with the id of the request or
//! connection. There are two exceptions: a refusal is sent as a failure instead, and the end of the process
//! is only reported.

use std::fmt;
use std::time::{Duration, Instant};

use nettleferry::Effect;
use tracing::error;

/// An action that was about to break an invariant.
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
    /// A request with an idempotency key was about to be retried after the span in which duplicates are
    /// dropped.
    RetryAfterWindow,
    /// A request that may have run, and must not run twice, was about to be refused, which states that a
    /// retry is harmless.
    RefusedAfterEffect,
    /// An answer was about to be given to a request that is not open.
    AnswerWithoutRequest,
    /// A connection was about to be closed with an unanswered request open.
    CloseUnderRequest,
    /// A connection was about to be closed before all answers queued on it were written to the socket.
    CloseBeforeAnswer,
    /// The process was about to end with unanswered requests.
    EndWithRequests,
}

impl Violation {
    /// All kinds, in the order of the counters in [`Violations`].
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

/// Counters of violations by kind.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
pub struct Violations([u64; Violation::ALL.len()]);

impl Violations {
    /// Counts and logs a violation. `subject`: the id of the request or the connection.
    pub fn report(&mut self, violation: Violation, subject: &dyn fmt::Debug) {
        self.0[violation as usize] += 1;
        error!(?violation, ?subject, "invariant broken, action not taken");
    }

    /// Number of violations of one kind.
    pub fn of(&self, violation: Violation) -> u64 {
        self.0[violation as usize]
    }

    /// Number of violations of all kinds.
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

/// The state of a request for which an attempt is about to start.
#[derive(Clone, Copy, Debug)]
pub struct AttemptCheck {
    /// An attempt of the request is in flight.
    pub in_flight: bool,
    /// An attempt of the request may have run.
    pub may_have_run: bool,
    /// Whether the request may run more than once.
    pub effect: Effect,
    /// The time until the client's deadline when the engine decided on the attempt.
    pub time_left: Duration,
}

impl AttemptCheck {
    /// Checks that an attempt may start.
    ///
    /// # Errors
    ///
    /// Returns the violation that the attempt would be.
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

/// The state of an attempt when it is about to be written to a connection.
#[derive(Clone, Copy, Debug)]
pub struct WriteCheck {
    /// The client still waits for an answer.
    pub awaited: bool,
    /// The worker is in service.
    pub in_service: bool,
    /// Deadline of the request, at which its client stops waiting.
    pub deadline: Instant,
    /// For a retry of a request that may have run: until when invokers drop duplicates, if they do so for a
    /// limited time.
    pub send_by: Option<Instant>,
}

impl WriteCheck {
    /// Checks that the attempt may be written.
    ///
    /// # Errors
    ///
    /// Returns the violation that writing the attempt would be.
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
/// Returns a violation if the request may have run and a second run is not harmless.
pub fn may_refuse(may_have_run: bool, effect: Effect) -> Result<(), Violation> {
    let harmless = matches!(
        effect,
        Effect::Idempotent | Effect::IdempotencyKey { scope: nettleferry::KeyScope::All, .. }
    );
    if may_have_run && !harmless { Err(Violation::RefusedAfterEffect) } else { Ok(()) }
}

/// Checks that a client connection may be closed. `open`: requests open on it; `unsent`: bytes queued but not
/// yet written to the socket.
///
/// # Errors
///
/// Returns a violation if an answer would be lost.
pub fn may_close(open: usize, unsent: usize) -> Result<(), Violation> {
    if open > 0 {
        return Err(Violation::CloseUnderRequest);
    }
    if unsent > 0 {
        return Err(Violation::CloseBeforeAnswer);
    }
    Ok(())
}
