//! What hollow followers count and tell.

use nettleferry_tenancy::Revision;
use serde::{Deserialize, Serialize};

use super::follower::{Outcome, OutcomeKind};
use crate::report::Percentiles;

/// Counts since the start, or of a second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests begun.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Answers with a page of changes, or with none.
    pub pages: u64,
    /// Answers with a book.
    pub snapshots: u64,
    /// Answers that led to a snapshot.
    #[serde(rename = "elsewhere")]
    pub snapshot_required: u64,
    /// Answers that this life was shut out.
    pub fenced: u64,
    /// Answers of another status.
    pub refused: u64,
    /// Answers that can't be read.
    pub malformed: u64,
    /// Requests without an answer in time.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// Connections that were refused or broke.
    pub broken: u64,
    /// Answers that told all that holds and gave no lease: none are given, or there is no room on the roll.
    pub without_lease: u64,
    /// Changes taken, over all followers.
    pub changes: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Of them, in answers with a book.
    pub snapshot_bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
}

impl Counts {
    /// An exchange has ended, with so many bytes of an answer.
    pub fn record(&mut self, outcome: &Outcome, bytes_in: u64) {
        self.bytes_in += bytes_in;
        self.changes += outcome.changes.len() as u64;
        self.without_lease += u64::from(outcome.without_lease);
        match outcome.kind {
            OutcomeKind::Page => self.pages += 1,
            OutcomeKind::Snapshot => {
                self.snapshots += 1;
                self.snapshot_bytes_in += bytes_in;
            }
            OutcomeKind::SnapshotRequired => self.snapshot_required += 1,
            OutcomeKind::Fenced => self.fenced += 1,
            OutcomeKind::Refused => self.refused += 1,
            OutcomeKind::Malformed => self.malformed += 1,
            OutcomeKind::TimedOut => self.timed_out += 1,
            OutcomeKind::Broken => self.broken += 1,
        }
    }

    /// What was counted since `before`.
    pub fn since(&self, before: &Self) -> Self {
        Self {
            requests: self.requests - before.requests,
            pages: self.pages - before.pages,
            snapshots: self.snapshots - before.snapshots,
            snapshot_required: self.snapshot_required - before.snapshot_required,
            fenced: self.fenced - before.fenced,
            refused: self.refused - before.refused,
            malformed: self.malformed - before.malformed,
            timed_out: self.timed_out - before.timed_out,
            broken: self.broken - before.broken,
            without_lease: self.without_lease - before.without_lease,
            changes: self.changes - before.changes,
            bytes_in: self.bytes_in - before.bytes_in,
            snapshot_bytes_in: self.snapshot_bytes_in - before.snapshot_bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
        }
    }
}

/// What happened in a second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Since the start, milliseconds.
    pub at_ms: u64,
    /// Followers.
    pub followers: u64,
    /// Of them, with a lease now.
    pub leased: u64,
    /// The least and the newest revision that any of them acts on; 0: one holds no book.
    #[serde(rename = "least_revision")]
    pub oldest_revision: Revision,
    /// See `oldest_revision`.
    pub newest_revision: Revision,
    /// What was counted in this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Processor time of this process in this second, microseconds.
    pub processor_us: u64,
    /// The longest that a timer was late in this second, microseconds: where that is long, this process is the bound.
    #[serde(rename = "timer_late_us")]
    pub timer_delay_us: u64,
}

/// How a change came to the followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Its revision.
    pub revision: Revision,
    /// Followers that it came to.
    pub followers: u64,
    /// From when it was made until half of them had it, milliseconds of this machine's wall clock.
    pub p50_ms: u32,
    /// Until 99 of 100 had it.
    pub p99_ms: u32,
    /// Until all had it.
    pub max_ms: u32,
}

/// An interval: the whole run, or since the last summary.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Followers.
    pub followers: u64,
    /// How long it was, milliseconds.
    pub ran_ms: u64,
    /// What was counted.
    #[serde(flatten)]
    pub counts: Counts,
    /// Followers that never had a lease.
    pub never_leased: u64,
    /// Followers with a lease at the end.
    pub leased: u64,
    /// Leases that ran out before the next one came.
    pub lapses: u64,
    /// The part of the followers' time, since each began to ask, for which they had a lease.
    pub coverage: f64,
    /// The same, since each one's first lease.
    pub coverage_since_first: f64,
    /// Asks a second of a follower.
    #[serde(rename = "asks_per_follower_second")]
    pub requests_per_follower_second: f64,
    /// Bytes a second to a follower, without snapshots.
    pub bytes_in_per_follower_second: f64,
    /// Bytes a second from a follower.
    pub bytes_out_per_follower_second: f64,
    /// From when a change was made until a follower had it, microseconds, over all changes and followers.
    pub change_to_each: Percentiles,
    /// Until the last of them had it, over all changes that came to all.
    pub change_to_last: Percentiles,
    /// Changes that did not come to all of them before the run's end, or before too many newer ones.
    pub changes_incomplete: u64,
    /// Processor time of this process, microseconds.
    pub processor_us: u64,
    /// Its resident memory, KiB.
    pub resident_kib: u64,
    /// How late timers were, microseconds.
    #[serde(rename = "timer_late")]
    pub timer_delay: Percentiles,
}
