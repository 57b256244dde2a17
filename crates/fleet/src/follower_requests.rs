//! A follower's requests to its leader: what it reports with each, how long a watch may wait there for a change, and
//! how long its response may take. Sending them is left to the caller.

use std::fmt;
use std::time::Duration;

use crate::lease::HEARTBEATS_PER_SPAN;
use crate::snapshot_version::SnapshotVersion;

/// How long a watch may wait for a change where no leases are granted.
pub const WAIT_WITHOUT_LEASES: Duration = Duration::from_secs(20);
/// How long the response to such a watch may take.
const TIMEOUT_WITHOUT_LEASES: Duration = Duration::from_secs(30);
/// Where leases are granted, a watch waits for a part of a span, and its response may take as long again, but not
/// less than this: a dead link is found well within a lease.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// Wait of a watch while what was received is not yet in force and persisted.
const WAIT_WHILE_BEHIND: Duration = Duration::from_millis(50);
/// How long the response with a snapshot may take: a leader sends it at once or not at all.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a follower that shuts down tries to notify its leader that it accepts no calls any more.
pub const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Entries of a page that a follower asks for.
const PAGE_ENTRIES: u32 = 1_000;

/// What a follower knows of its leader's leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseSpan {
    /// Nothing yet: the first response will tell.
    #[default]
    Unknown,
    /// None are granted.
    NoLeases,
    /// They are granted for this span.
    Granted(Duration),
}

/// The times of a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The leader may hold it for so long.
    pub wait: Duration,
    /// Its response may take so long.
    pub timeout: Duration,
}

impl LeaseSpan {
    /// The times of the next watch. `behind`: what was received is not yet in force and persisted.
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

/// What a follower reports with each request, written as the request's query.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// The controller's number.
    pub controller: u32,
    /// Its incarnation.
    pub incarnation: u64,
    /// The revision that its calls act on.
    pub in_force: u64,
    /// The revision that is synced to its disk.
    pub persisted: u64,
    /// It accepts no call without a lease.
    pub requires_lease: bool,
    /// It was notified that it is fenced.
    pub fenced: bool,
    /// The snapshot that it has.
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
    /// The target of a request for the complete snapshot.
    pub fn snapshot_target(&self) -> String {
        format!("/v1/snapshot?{self}")
    }

    /// The target of a request for changes, which may wait so long for one.
    pub fn watch_target(&self, wait: Duration) -> String {
        format!("/v1/watch?{self}&limit={PAGE_ENTRIES}&wait_ms={}", wait.as_millis())
    }
}

/// The target of the last request of a follower that shuts down.
pub fn deregistration_target(controller: u32, incarnation: u64) -> String {
    format!("/v1/watch?controller={controller}&life={incarnation}&ended=1&wait_ms=0")
}

#[cfg(test)]
mod tests;
