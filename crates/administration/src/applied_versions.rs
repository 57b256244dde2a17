//! Which versions the controller's thread has applied, as the thread that sends them knows it: checkpoints are sent behind
//! the changes, in order, and acknowledged once all that was sent before them is in force.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use nettleferry_fleet::membership::Version;

/// The last checkpoint that the controller's thread has acknowledged.
pub(crate) type AcknowledgedCheckpoint = Arc<AtomicU64>;

/// Checkpoints that wait for their acknowledgement; beyond them a newer one replaces the last one.
const MAX_PENDING: usize = 1_024;

/// A checkpoint, and the version that is in force with it.
struct PendingCheckpoint {
    number: u64,
    version: Version,
}

/// The checkpoints of one sender.
pub(crate) struct AppliedVersions {
    acknowledged: AcknowledgedCheckpoint,
    last_number: u64,
    pending: VecDeque<PendingCheckpoint>,
    in_force: Version,
}

impl AppliedVersions {
    /// Starts with the version that is in force from the start.
    pub(crate) fn new(in_force: Version) -> Self {
        let acknowledged = AcknowledgedCheckpoint::default();
        Self { acknowledged, last_number: 0, pending: VecDeque::new(), in_force }
    }

    /// The acknowledgement, for the controller's thread.
    pub(crate) fn acknowledged(&self) -> AcknowledgedCheckpoint {
        Arc::clone(&self.acknowledged)
    }

    /// Changes up to this version were sent. Returns the number of the checkpoint to send behind them.
    pub(crate) fn sent(&mut self, version: Version) -> u64 {
        self.last_number += 1;
        if self.pending.len() >= MAX_PENDING {
            self.pending.pop_back();
        }
        self.pending.push_back(PendingCheckpoint { number: self.last_number, version });
        self.last_number
    }

    /// The version that was sent last.
    pub(crate) fn last_sent(&self) -> Version {
        self.pending.back().map_or(self.in_force, |checkpoint| checkpoint.version)
    }

    /// The version that is in force by now.
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
