//! Since when what a poll tells of may have come: a process that is held up, stopped or interrupted reads late, and the
//! sender's time has run since.

use std::time::{Duration, Instant};

/// A poll that returns within this span has not slept.
const AT_ONCE: Duration = Duration::from_millis(1);
/// A poll that sleeps this much longer than asked was not run: waits are rounded up to whole milliseconds.
const OVERSLEPT: Duration = Duration::from_millis(3);

/// One poll, as it returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct Polled {
    /// When it was begun.
    pub(super) began: Instant,
    /// When it had returned, by the process's own reading: a process that is stopped reads it late.
    pub(super) returned: Instant,
    /// How long it was to wait at the most.
    pub(super) wait: Option<Duration>,
    /// It was interrupted, and has told of nothing.
    pub(super) interrupted: bool,
}

/// The moment of the last look at the sockets: what had come by then was told.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastLook(Instant);

impl LastLook {
    /// Nothing can have come before `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// Takes in a poll, and gives since when what it told of may have come: since the look before where that may have been
    /// there when it began, and where it slept beyond what it was asked for, as the process did not run then; and its
    /// return where it was woken in time.
    pub(super) fn polled(&mut self, poll: Polled) -> Instant {
        let before = self.0;
        if poll.interrupted {
            // It has looked at nothing: a process that was stopped in its wait and goes on finds it interrupted, and what
            // came meanwhile is told by the next.
            return before;
        }
        let slept = poll.returned.saturating_duration_since(poll.began);
        let at_once = slept < AT_ONCE || poll.wait == Some(Duration::ZERO);
        let overslept = poll.wait.is_some_and(|wait| slept > wait + OVERSLEPT);
        // One that overslept may have looked as it began, and been stopped on its way back: what came since is not told.
        self.0 = if overslept { poll.began } else { poll.returned };
        if at_once || overslept { before } else { poll.returned }
    }
}

#[cfg(test)]
mod tests;
