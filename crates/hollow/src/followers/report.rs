//! Counters and report lines of hollow followers.

use nettleferry_tenancy::Revision;
use serde::{Deserialize, Serialize};

use super::follower::{Outcome, OutcomeKind};
use crate::report::Percentiles;

/// Counters since the start of the run, or of one second or interval.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests sent.
    #[serde(rename = "asks")]
    pub requests: u64,
    /// Responses with a page of changes, which may be empty.
    pub pages: u64,
    /// Responses with a snapshot.
    pub snapshots: u64,
    /// Responses after which the follower has to request a snapshot.
    #[serde(rename = "elsewhere")]
    pub snapshot_required: u64,
    /// Responses that report that the incarnation is fenced.
    pub fenced: u64,
    /// Responses with another status, and snapshots that could not be applied.
    pub refused: u64,
    /// Responses that can't be parsed.
    pub malformed: u64,
    /// Requests without a response before their timeout.
    #[serde(rename = "late")]
    pub timed_out: u64,
    /// Requests whose connection was refused or failed.
    pub broken: u64,
    /// Pages and snapshots without a lease, because the administration grants none or its membership is full.
    pub without_lease: u64,
    /// Changes applied, summed over all followers.
    pub changes: u64,
    /// Bytes received in responses.
    pub bytes_in: u64,
    /// Part of `bytes_in` that belongs to snapshots.
    pub snapshot_bytes_in: u64,
    /// Bytes sent in requests.
    pub bytes_out: u64,
}

impl Counts {
    /// Counts the outcome of an exchange in which `bytes_in` bytes were received.
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

    /// Returns the increase of each counter since `before`, an earlier copy of the same counters.
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

/// Activity during one second.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// End of this second, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Number of followers.
    pub followers: u64,
    /// Followers with a valid lease at the end of this second.
    pub leased: u64,
    /// Lowest revision of any follower; 0 if one has no snapshot.
    #[serde(rename = "least_revision")]
    pub oldest_revision: Revision,
    /// Highest revision of any follower; 0 if none has a snapshot.
    pub newest_revision: Revision,
    /// Counters of this second.
    #[serde(flatten)]
    pub counts: Counts,
    /// Processor time of the main thread, which runs all peers, during this second, in microseconds.
    pub processor_us: u64,
    /// Maximum delay of a timer during this second, in microseconds. A long delay means that this process, not the
    /// administration, limits the load.
    #[serde(rename = "timer_late_us")]
    pub timer_delay_us: u64,
}

/// Propagation times of a change that has reached all followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangePropagation {
    /// Revision that the change created.
    pub revision: Revision,
    /// Number of followers that received it.
    pub followers: u64,
    /// Time from the change until half of the followers had received it, in milliseconds of this machine's wall clock.
    pub p50_ms: u32,
    /// Time from the change until 99 percent had received it, in milliseconds.
    pub p99_ms: u32,
    /// Time from the change until all had received it, in milliseconds.
    pub max_ms: u32,
}

/// Totals of an interval: since the previous summary, or since the start of the run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of followers.
    pub followers: u64,
    /// Length of the interval in milliseconds.
    pub ran_ms: u64,
    /// Counters of the interval.
    #[serde(flatten)]
    pub counts: Counts,
    /// Followers that have had no lease since the start of the run.
    pub never_leased: u64,
    /// Followers with a valid lease at the end of the interval.
    pub leased: u64,
    /// Leases that expired before they were renewed, counted at their renewal.
    pub lapses: u64,
    /// Fraction of the interval with a valid lease, over all followers, counted from each one's first request.
    pub coverage: f64,
    /// Fraction of the interval with a valid lease, over all followers, counted from each one's first lease.
    pub coverage_since_first: f64,
    /// Requests sent per second and follower.
    #[serde(rename = "asks_per_follower_second")]
    pub requests_per_follower_second: f64,
    /// Bytes received per second and follower, without snapshots.
    pub bytes_in_per_follower_second: f64,
    /// Bytes sent per second and follower.
    pub bytes_out_per_follower_second: f64,
    /// Time from a change until a follower received it, in microseconds, over all changes and followers.
    pub change_to_each: Percentiles,
    /// Time from a change until the last follower received it, in microseconds, over the changes that reached all.
    pub change_to_last: Percentiles,
    /// Changes that did not reach all followers before the end of the run, or before too many newer ones were pending.
    pub changes_incomplete: u64,
    /// Processor time of the main thread, which runs all peers, during the interval, in microseconds.
    pub processor_us: u64,
    /// Resident memory of this process at the end of the interval, in KiB.
    pub resident_kib: u64,
    /// Time from the due time of a timer until it is handled, in microseconds.
    #[serde(rename = "timer_late")]
    pub timer_delay: Percentiles,
}
