//! The asks of a follower: what it tells its administration with each, how long a watch may wait there for a change,
//! and how long its answer may take.

use std::fmt;
use std::time::Duration;

use crate::lease::HEARTBEATS_PER_SPAN;
use crate::snapshot_version::SnapshotVersion;

/// How long a watch may wait for a change where no leases are given.
const WAIT_WITHOUT_LEASES: Duration = Duration::from_secs(20);
/// How long the answer to such a watch may take.
const TIMEOUT_WITHOUT_LEASES: Duration = Duration::from_secs(30);
/// Where leases are given, a watch waits for a part of one, and its answer may take as long again, but not less than
/// this: a silent link is found well within a lease.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(250);
/// While what was taken is not yet in force and on the disk, the administration is asked again after so long.
const WAIT_WHILE_BEHIND: Duration = Duration::from_millis(50);
/// A snapshot is there at once or not at all.
pub const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(2);
/// A follower that ends in order tries so long to say that it takes no calls any more.
pub const DEREGISTRATION_TIMEOUT: Duration = Duration::from_millis(300);
/// Entries of a page that a follower asks for.
const PAGE_ENTRIES: u32 = 1_000;

/// What a follower knows of its administration's leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LeaseSpan {
    /// Nothing yet: the first answer is to tell.
    #[default]
    Unknown,
    /// None are given.
    NoLeases,
    /// They are given for this span.
    Granted(Duration),
}

/// How a watch is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The administration may hold it for so long.
    pub wait: Duration,
    /// Its answer may take so long.
    pub timeout: Duration,
}

impl LeaseSpan {
    /// How the next watch is asked. `behind`: what was taken is not yet in force and on the disk.
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

/// What a follower tells with each ask; written as the query of its request.
#[derive(Clone, Copy, Debug)]
pub struct Heartbeat<'a> {
    /// The controller's number.
    pub controller: u32,
    /// Its life.
    pub incarnation: u64,
    /// The revision that its calls act on.
    pub in_force: u64,
    /// The revision that is synced to its disk.
    pub persisted: u64,
    /// It takes no call without a lease.
    pub requires_lease: bool,
    /// It has heard that it is shut out.
    pub fenced: bool,
    /// The book that it holds.
    pub snapshot: Option<&'a SnapshotVersion>,
}

impl fmt::Display for Heartbeat<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { controller, incarnation: life, in_force, persisted: kept, .. } = self;
        let (ends, ended) = (u8::from(self.requires_lease), u8::from(self.fenced));
        write!(out, "controller={controller}&life={life}&in_force={in_force}&kept={kept}")?;
        write!(out, "&ends={ends}&ended={ended}")?;
        match self.snapshot {
            Some(SnapshotVersion { store, epoch, revision, checksum: sum }) => {
                write!(out, "&store={store}&epoch={epoch}&after={revision}&sum={sum}")
            }
            None => Ok(()),
        }
    }
}

impl Heartbeat<'_> {
    /// The target of a request for the whole book.
    pub fn snapshot_target(&self) -> String {
        format!("/v1/snapshot?{self}")
    }

    /// The target of a request for changes, which may wait so long for one.
    pub fn watch_target(&self, wait: Duration) -> String {
        format!("/v1/watch?{self}&limit={PAGE_ENTRIES}&wait_ms={}", wait.as_millis())
    }
}

/// The target of the last request of a follower that ends in order.
pub fn deregistration_target(controller: u32, life: u64) -> String {
    format!("/v1/watch?controller={controller}&life={life}&ended=1&wait_ms=0")
}

#[cfg(test)]
mod tests;
