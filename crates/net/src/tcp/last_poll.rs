//! Estimates the earliest arrival time of data that a poll reports. A process that is delayed, stopped or
//! interrupted reads late, while timeouts of the senders are running.

use std::time::{Duration, Instant};

/// A poll that returns earlier than this is assumed not to have slept.
const MIN_SLEEP: Duration = Duration::from_millis(1);
/// A poll that exceeds its timeout by more than this indicates that the process was not running. The
/// tolerance is needed because timeouts are rounded up to whole milliseconds.
const OVERSLEEP_TOLERANCE: Duration = Duration::from_millis(3);

/// The times and the outcome of one poll.
#[derive(Clone, Copy, Debug)]
pub(super) struct PollResult {
    /// Time at which the poll was called.
    pub(super) began: Instant,
    /// Time at which the poll returned, as read by the process, which may be late if the process was stopped
    /// in between.
    pub(super) returned: Instant,
    /// Timeout of the poll.
    pub(super) timeout: Option<Duration>,
    /// The poll was interrupted and reported nothing.
    pub(super) interrupted: bool,
}

impl PollResult {
    /// Whether the poll slept longer than its timeout, which means that the process was not running for some
    /// time.
    fn overslept(&self) -> bool {
        let slept = self.returned.saturating_duration_since(self.began);
        self.timeout.is_some_and(|timeout| slept > timeout + OVERSLEEP_TOLERANCE)
    }

    /// Whether events that have occurred by now may be missing: the poll was interrupted, or the process was
    /// stopped after the kernel had collected the events. A timer that fires now might miss, for instance,
    /// that a client has disconnected.
    pub(super) fn is_outdated(&self) -> bool {
        self.interrupted || self.overslept()
    }
}

/// The time of the last poll of the sockets, which reported everything that had arrived by then.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastPoll(Instant);

impl LastPoll {
    /// Starts at `now`, before which nothing can have arrived.
    pub(super) fn new(now: Instant) -> Self {
        Self(now)
    }

    /// Records a poll and returns the earliest time at which the reported data may have arrived. That is the
    /// return of this poll if it slept and was woken in time. It is the poll before if this one did not
    /// sleep, as the data may have been there already, or if this one overslept, as the process was not
    /// running.
    pub(super) fn record(&mut self, poll: PollResult) -> Instant {
        let previous = self.0;
        if poll.interrupted {
            // An interrupted poll reports nothing. A process that was stopped during a poll finds it
            // interrupted, and the next poll reports the data that arrived meanwhile.
            return previous;
        }
        let slept = poll.returned.saturating_duration_since(poll.began);
        let has_not_slept = slept < MIN_SLEEP || poll.timeout == Some(Duration::ZERO);
        let overslept = poll.overslept();
        // A poll that overslept may have collected its events at its start, before the process was stopped.
        self.0 = if overslept { poll.began } else { poll.returned };
        if has_not_slept || overslept { previous } else { poll.returned }
    }
}

#[cfg(test)]
mod tests;
