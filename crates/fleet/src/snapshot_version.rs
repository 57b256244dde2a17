//! The version of a tenant snapshot: its store, epoch, revision and checksum, and how two versions compare.
//! [`crate::authority`] and [`crate::bootstrap`] decide what follows from a comparison.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a snapshot. Within one store the derived order is that of [`SnapshotVersion::compare`], and
/// orders forked snapshots by their checksums.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotVersion {
    /// Name of the store. It is chosen when the store is created, and restores keep it.
    pub store: String,
    /// Increased by each restore. Changes that only a snapshot of an earlier epoch has are discarded, by the
    /// decision of an operator.
    #[serde(default)]
    pub epoch: u64,
    /// Revision of the last change.
    pub revision: u64,
    /// CRC-32 of the snapshot's JSON. If two snapshots of one epoch and revision differ in it, one of them is
    /// broken.
    #[serde(default, rename = "sum")]
    pub checksum: u32,
}

/// The result of comparing a snapshot with another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// Both are the same.
    Same,
    /// The snapshot has all changes of the other one and more, or a restore has superseded the other one.
    Ahead,
    /// The other one is ahead.
    Behind,
    /// Epoch and revision are equal, but the contents differ: one of the two is broken or forged.
    Forked,
    /// The snapshots are of different stores.
    Foreign,
}

impl VersionOrder {
    /// Returns the name used in logs, metrics and the API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Ahead => "ahead",
            Self::Behind => "behind",
            Self::Forked => "forked",
            Self::Foreign => "foreign",
        }
    }
}

impl SnapshotVersion {
    /// Compares this snapshot with another one.
    pub fn compare(&self, other: &Self) -> VersionOrder {
        if self.store != other.store {
            return VersionOrder::Foreign;
        }
        match (self.epoch, self.revision).cmp(&(other.epoch, other.revision)) {
            Ordering::Less => VersionOrder::Behind,
            Ordering::Greater => VersionOrder::Ahead,
            Ordering::Equal if self.checksum == other.checksum => VersionOrder::Same,
            Ordering::Equal => VersionOrder::Forked,
        }
    }
}

impl fmt::Display for SnapshotVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}@{}#{:08x}", self.store, self.epoch, self.revision, self.checksum)
    }
}
