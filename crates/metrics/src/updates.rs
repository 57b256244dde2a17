//! Values that are recorded or set together.

use crate::labels::{CallEnd, LeaseStage, RecoveryRejection, RecoveryStep, SampleEnd};

/// A call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallRecord {
    /// The number of its class.
    pub class: usize,
    /// How it ended.
    pub end: CallEnd,
    /// The number of its tenant, where it named one.
    pub tenant: Option<usize>,
    /// The number of its model group.
    pub group: usize,
    /// From its arrival to its answer, microseconds; counts for served calls.
    pub latency_micros: u64,
}

/// A controller's return from a restart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryState {
    /// The step that it is in.
    pub step: RecoveryStep,
    /// Totals of rejected calls, in the order of [`RecoveryRejection::ALL`].
    pub rejections: [u64; RecoveryRejection::COUNT],
}

/// A follower's lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseState {
    /// The stage that it is in.
    pub stage: LeaseStage,
    /// Total of leases that expired before they were renewed.
    pub expiries: u64,
    /// Total of times that calls were accepted while the lease expired.
    pub doubtful_actions: u64,
}

/// What the leader knows of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetState {
    /// Incarnations that hold a lease and act on an older revision.
    pub stale_incarnations: usize,
    /// Fenced incarnations that have sent a heartbeat lately.
    pub fenced_incarnations: usize,
    /// Whether the fleet has not agreed yet on the snapshot that counts.
    pub recovery_pending: bool,
}

/// Remote write: its queue and its receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RemoteWriteState {
    /// Totals of samples, in the order of [`SampleEnd::ALL`].
    pub samples: [u64; SampleEnd::COUNT],
    /// Total of batches that were sent again.
    pub retries: u64,
    /// Samples that wait to be sent.
    pub waiting_samples: usize,
    /// Age of the oldest of them, seconds.
    pub oldest_age_seconds: u64,
    /// Total of changes between protocol versions.
    pub version_changes: u64,
    /// Total of rejected batches that were halved.
    pub splits: u64,
    /// Total of batches of which the receiver wrote less than it accepted.
    pub short_writes: u64,
    /// How far the wall clock is ahead of the time of samples, seconds.
    pub clock_offset_seconds: f64,
}

/// The write-ahead log of remote write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WalState {
    /// Its size, bytes.
    pub bytes: u64,
    /// Its greatest size, bytes.
    pub limit_bytes: u64,
    /// Total of failed operations on its storage.
    pub failures: u64,
}
