//! Groups of values that [`crate::Metrics`] records or sets in one call.

use crate::labels::{CallEnd, LeaseStage, RecoveryRejection, RecoveryStep, SampleEnd};

/// A call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// Class number, an index into [`crate::SeriesLayout::classes`].
    pub class: usize,
    /// How the call ended.
    pub end: CallEnd,
    /// Tenant number; `None` for a call without a tenant.
    pub tenant: Option<usize>,
    /// Model group number. Numbers without a series of their own are counted under `other`.
    pub group: usize,
    /// Microseconds from arrival to final answer. Only the latency of served calls is recorded.
    pub latency_micros: u64,
}

/// State of a controller's return to service after a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryState {
    /// Phase that the controller is in.
    pub step: RecoveryStep,
    /// Total number of rejected calls by reason, in the order of [`RecoveryRejection::ALL`].
    pub rejections: [u64; RecoveryRejection::COUNT],
}

/// State of a follower's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseState {
    /// Stage that the lease is in.
    pub stage: LeaseStage,
    /// Total number of leases that expired before they were renewed, or were in force when the controller was fenced.
    pub expiries: u64,
    /// Total number of actions that began within a lease and finished after it had expired, because the process
    /// stalled in between.
    pub doubtful_actions: u64,
}

/// State of the fleet, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetState {
    /// Number of incarnations that hold a lease and have an earlier revision in force than the leader.
    pub stale_incarnations: usize,
    /// Number of fenced incarnations that have sent a heartbeat recently.
    pub fenced_incarnations: usize,
    /// Whether recovery has not yet decided which snapshot is authoritative.
    pub recovery_pending: bool,
}

/// State of the remote-write queue and of the exchange with the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteWriteState {
    /// Total number of samples that left the queue, in the order of [`SampleEnd::ALL`].
    pub samples: [u64; SampleEnd::COUNT],
    /// Total number of batches that were sent again.
    pub retries: u64,
    /// Number of samples in the queue, including those in flight.
    pub waiting_samples: usize,
    /// Age of the oldest sample in the queue, in seconds.
    pub oldest_age_seconds: u64,
    /// Total number of changes of the protocol version in use.
    pub version_changes: u64,
    /// Total number of rejected batches that were halved to isolate invalid samples.
    pub splits: u64,
    /// Total number of batches that the receiver accepted but reported as written only in part.
    pub short_writes: u64,
    /// How far the wall clock is ahead of the sample clock, in seconds. Negative if it is behind.
    pub clock_offset_seconds: f64,
}

/// State of the write-ahead log of remote write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalState {
    /// Current size of the log, in bytes.
    pub bytes: u64,
    /// Maximum size of the log, in bytes.
    pub limit_bytes: u64,
    /// Total number of failed operations on the log's storage.
    pub failures: u64,
}
