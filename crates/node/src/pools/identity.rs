//! Who listens at an invoker's address after all connections to it have ended. A new process may have come up there
//! before any list names it. It is asked for replicas of a function that the old process has served: one that has none is
//! taken for another process, and gets nothing until a list that is new enough names it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use nettleferry_net::tcp::TcpKey;

/// Tag of the question, which no other command has.
pub(super) const QUESTION_TAG: &str = "who";
/// An invoker that has not answered the question by then is used without an answer.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(250);
/// A list that the directory has sent this long after an event tells of it.
const LIST_DELAY: Duration = Duration::from_millis(1_500);
/// A directory that is silent is not waited for any longer.
const MAX_LIST_DELAY: Duration = Duration::from_millis(4_500);

/// What is known of the process at an invoker's address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// It is the process that the list names.
    Known,
    /// All connections have ended since, and nothing was asked yet.
    Unknown,
    /// The question was sent on this connection at this time.
    Asked(TcpKey, Instant),
    /// Another process has answered. The time at which it was noticed.
    Replaced(Instant),
}

/// What is known of the process at an invoker's address, and of a function that it has loaded.
#[derive(Debug)]
pub(super) struct Identity {
    state: State,
    /// The function that was last served, and the time until which its replica stays loaded.
    served: Option<(Arc<str>, Instant)>,
}

impl Default for Identity {
    fn default() -> Self {
        Self { state: State::Known, served: None }
    }
}

impl Identity {
    /// Records that the process has served a function, whose replica stays loaded for `keep_alive`.
    pub(super) fn served(&mut self, function: &Arc<str>, now: Instant, keep_alive: Duration) {
        self.served = Some((Arc::clone(function), now + keep_alive));
    }

    /// Records that the last connection has ended by its peer. Without a function that must be loaded there is
    /// nothing to ask for.
    pub(super) fn connections_ended(&mut self, now: Instant) {
        let is_loaded = self.served.as_ref().is_some_and(|(_, until)| now < *until);
        if is_loaded && !matches!(self.state, State::Replaced(_)) {
            self.state = State::Unknown;
        }
    }

    /// The function to ask for on a connection that is established, if it must be asked now.
    pub(super) fn question(&mut self, connection: TcpKey, now: Instant) -> Option<Arc<str>> {
        if self.state != State::Unknown {
            return None;
        }
        let Some((function, _)) = self.served.as_ref().filter(|(_, until)| now < *until) else {
            // The replica may have been unloaded since: nothing can be asked.
            self.state = State::Known;
            return None;
        };
        self.state = State::Asked(connection, now);
        Some(Arc::clone(function))
    }

    /// Whether commands may be written to the process. A question that was not answered in time is given up.
    pub(super) fn may_write(&mut self, now: Instant) -> bool {
        if matches!(self.state, State::Asked(_, asked_at) if now >= asked_at + QUESTION_TIMEOUT) {
            self.state = State::Known;
        }
        self.state == State::Known
    }

    /// Whether the question was sent on this connection and has no answer.
    pub(super) fn is_asked_on(&self, connection: TcpKey) -> bool {
        matches!(self.state, State::Asked(asked, _) if asked == connection)
    }

    /// Records the answer, the number of replicas. Returns whether it is the same process.
    pub(super) fn answered(&mut self, replicas: u32, now: Instant) -> bool {
        let is_same = replicas > 0;
        self.state = if is_same { State::Known } else { State::Replaced(now) };
        is_same
    }

    /// Whether another process is at the address, as far as is known at `now`. `confirmed`: when the directory last
    /// confirmed or changed the list.
    pub(super) fn is_replaced(&mut self, now: Instant, confirmed: Option<Instant>) -> bool {
        let State::Replaced(since) = self.state else { return false };
        let is_told = confirmed.is_some_and(|confirmed| confirmed >= since + LIST_DELAY);
        if is_told || now >= since + MAX_LIST_DELAY {
            *self = Self::default();
            return false;
        }
        true
    }
}
