//! Tracks which snapshot version the controller's thread has applied. The administration thread sends a checkpoint
//! after each batch of changes; the controller acknowledges a checkpoint once it has applied all events before it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nettleferry_fleet::membership::Version;

/// The number of the last checkpoint that the controller's thread has acknowledged; 0 if there is none.
pub(crate) type AcknowledgedCheckpoint = Arc<AtomicU64>;

/// Maximum number of unacknowledged checkpoints; when it is reached, a new checkpoint replaces the newest one.
const MAX_PENDING: usize = 1_024;

/// An unacknowledged checkpoint, and the version that is in force once it is acknowledged.
struct PendingCheckpoint {
    number: u64,
    version: Version,
}

/// The checkpoints that one administration thread has sent, and the version in force as far as they are acknowledged.
pub(crate) struct AppliedVersions {
    acknowledged: AcknowledgedCheckpoint,
    last_number: u64,
    pending: VecDeque<PendingCheckpoint>,
    in_force: Version,
}

impl AppliedVersions {
    /// Starts without checkpoints. `in_force` is the version that the controller starts with.
    pub(crate) fn new(in_force: Version) -> Self {
        let acknowledged = AcknowledgedCheckpoint::default();
        Self { acknowledged, last_number: 0, pending: VecDeque::new(), in_force }
    }

    /// The counter that the controller's thread sets when it acknowledges a checkpoint.
    pub(crate) fn acknowledged(&self) -> AcknowledgedCheckpoint {
        Arc::clone(&self.acknowledged)
    }

    /// Records that changes up to this version were sent. Returns the number of the checkpoint to send after them.
    pub(crate) fn record_sent(&mut self, version: Version) -> u64 {
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_back();
        }
        self.pending.push_back(PendingCheckpoint { number: self.last_number, version });
        self.last_number
    }

    /// The version that was sent last, whether it is acknowledged or not.
    pub(crate) fn last_sent(&self) -> Version {
        self.pending.back().map_or(self.in_force, |checkpoint| checkpoint.version)
    }

    /// The version that the controller has applied, by its latest acknowledgement.
    pub(crate) fn in_force(&mut self) -> Version {
        let acknowledged = self.acknowledged.load(Ordering::Acquire);
        while let Some(checkpoint) = self.pending.front()
            && checkpoint.number <= acknowledged
        {
            self.in_force = checkpoint.version;
            self.pending.pop_front();
        }
        self.in_force
    }
}

#[cfg(test)]
mod tests;
