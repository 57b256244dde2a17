//! The requests of a follower to its leader: what each reports, how long the leader may delay the response to
//! a watch until there is a change, and the timeouts. The caller sends the requests.

use std::fmt;
use std::time::Duration;

use crate::lease::HEARTBEATS_PER_SPAN;
use crate::snapshot_version::SnapshotVersion;

/// Time for which the leader may delay the response to a watch if no leases are granted.
pub const WAIT_WITHOUT_LEASES: Duration = Duration::from_secs(20);
/// Timeout of a watch if no leases are granted.
const TIMEOUT_WITHOUT_LEASES: Duration = Duration::from_secs(30);
/// Minimum timeout of a watch if leases are granted. The timeout is otherwise twice the interval between
/// heartbeats, so that a dead link is detected well before a lease expires.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum time for which the leader may delay the response to a watch while changes that the follower has
/// received are not yet in force and persisted there.
const WAIT_WHILE_BEHIND: Duration = Duration::from_millis(50);
/// Timeout of a request for the snapshot. A leader sends the snapshot at once or not at all.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of the last request of a follower, by which it notifies the leader that it accepts no calls any
/// more.
pub const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of changes that a follower requests with one watch.
const PAGE_ENTRIES: u32 = 1_000;

/// The leases that a leader grants, as far as its follower knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseSpan {
    /// No response of the leader was received yet.
    #[default]
    Unknown,
    /// The leader grants no leases.
    NoLeases,
    /// The leader grants leases of this span.
    Granted(Duration),
}

/// The wait and the timeout of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Maximum time for which the leader may delay the response until there is a change.
    pub wait: Duration,
    /// Time after which the follower gives up the request.
    pub timeout: Duration,
}

impl LeaseSpan {
    /// Returns the timing of the next watch. `behind` means that changes that were received are not yet in
    /// force and persisted, so that the follower has something to report soon.
    pub fn timing(self, behind: bool) -> Timing {
        match self {
            Self::Unknown => Timing { wait: Duration::ZERO, timeout: SNAPSHOT_TIMEOUT },
            Self::NoLeases => {
                let wait = if behind { WAIT_WHILE_BEHIND } else { WAIT_WITHOUT_LEASES };
                Timing { wait, timeout: TIMEOUT_WITHOUT_LEASES }
            }
            Self::Granted(span) => {
                let part = span / HEARTBEATS_PER_SPAN as u32;
                let wait = if behind { part.min(WAIT_WHILE_BEHIND) } else { part };
                Timing { wait, timeout: (part * 2).max(MIN_WATCH_TIMEOUT) }
            }
        }
    }
}

/// The state that a follower reports with each request. `Display` formats it as the query of the request.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// Number of the controller.
    pub controller: u32,
    /// Incarnation of the controller.
    pub incarnation: u64,
    /// Revision that is applied to the follower's calls.
    pub in_force: u64,
    /// Revision that is synced to the follower's disk.
    pub persisted: u64,
    /// Whether the follower rejects calls while it has no lease.
    pub requires_lease: bool,
    /// Whether the follower was notified that it is fenced.
    pub fenced: bool,
    /// Version of the follower's snapshot; `None` if it has no snapshot.
    pub snapshot: Option<&'a SnapshotVersion>,
}

impl fmt::Display for Heartbeat<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { controller, incarnation, in_force, persisted, .. } = self;
        let (ends, ended) = (u8::from(self.requires_lease), u8::from(self.fenced));
        write!(out, "controller={controller}&life={incarnation}&in_force={in_force}&kept={persisted}")?;
        write!(out, "&ends={ends}&ended={ended}")?;
        match self.snapshot {
            Some(SnapshotVersion { store, epoch, revision, checksum }) => {
                write!(out, "&store={store}&epoch={epoch}&after={revision}&sum={checksum}")
            }
            None => Ok(()),
        }
    }
}

impl Heartbeat<'_> {
    /// Returns the path and query of a request for the complete snapshot.
    pub fn snapshot_target(&self) -> String {
        format!("/v1/snapshot?{self}")
    }

    /// Returns the path and query of a request for changes that the leader may delay by `wait`.
    pub fn watch_target(&self, wait: Duration) -> String {
        format!("/v1/watch?{self}&limit={PAGE_ENTRIES}&wait_ms={}", wait.as_millis())
    }
}

/// Returns the path and query of the last request of a follower that shuts down.
pub fn deregistration_target(controller: u32, incarnation: u64) -> String {
    format!("/v1/watch?controller={controller}&life={incarnation}&ended=1&wait_ms=0")
}

#[cfg(test)]
mod tests;
