//! Since when what a poll reports may have been there: a process that is delayed, stopped or interrupted reads late, while
//! its senders' time runs.

use std::time::{Duration, Instant};

/// A poll that returns within this span has not slept.
const AT_ONCE: Duration = Duration::from_millis(1);
/// A process whose poll sleeps this much longer than its timeout was not running: timeouts are rounded up to whole
/// milliseconds.
const OVERSLEPT: Duration = Duration::from_millis(3);

/// One poll, as it returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollResult {
    /// When it was begun.
    pub(super) began: Instant,
    /// When it had returned, as the process has read it: a process that was stopped reads it late.
    pub(super) returned: Instant,
    /// Its timeout.
    pub(super) wait: Option<Duration>,
    /// It was interrupted, and has reported nothing.
    pub(super) interrupted: bool,
}

impl PollResult {
    /// It slept longer than its timeout: the process was not running for a part of it.
    fn overslept(&self) -> bool {
        let slept = self.returned.saturating_duration_since(self.began);
        self.wait.is_some_and(|wait| slept > wait + OVERSLEPT)
    }

    /// What has come by now may not be reported yet: the poll was interrupted, or looked before the process stood still.
    /// Timers that act on it would not know that a client has left meanwhile.
    pub(super) fn is_outdated(&self) -> bool {
        self.interrupted || self.overslept()
    }
}

/// When the sockets were last polled: what had arrived by then was reported.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastPoll(Instant);

impl LastPoll {
    /// Nothing can have arrived before `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// Records a poll, and returns since when what it reported may have been there: since the poll before where it may have
    /// been there when this one began, and where this one overslept, as the process was not running; and its own return
    /// where it was woken in time.
    pub(super) fn record(&mut self, poll: PollResult) -> Instant {
        let before = self.0;
        if poll.interrupted {
            // It has looked at nothing: a process that was stopped while it slept finds it interrupted, and what arrived
            // meanwhile is reported by the next.
            return before;
        }
        let slept = poll.returned.saturating_duration_since(poll.began);
        let at_once = slept < AT_ONCE || poll.wait == Some(Duration::ZERO);
        let overslept = poll.overslept();
        // One that overslept may have looked when it began, and been stopped on its way back.
        self.0 = if overslept { poll.began } else { poll.returned };
        if at_once || overslept { before } else { poll.returned }
    }
}

#[cfg(test)]
mod tests;
