//! Which snapshot of the tenants it is: the store that it came from, how often that store was restored, its revision
//! and its checksum. What follows from a comparison is left to [`crate::authority`] and [`crate::bootstrap`].

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

/// Identifies a snapshot. The derived order is that of [`SnapshotVersion::compare`] within one store.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotVersion {
    /// The store's name: chosen when the store was created, and kept by its restores.
    pub store: String,
    /// Raised by each restore: an operator gave up what an earlier epoch has beyond it.
    #[serde(default)]
    pub epoch: u64,
    /// The number of the last change.
    pub revision: u64,
    /// CRC-32 of the snapshot's JSON: two snapshots of one revision are equal, or one of them is broken.
    #[serde(default, rename = "sum")]
    pub checksum: u32,
}

/// How one snapshot compares to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// It is the same.
    Same,
    /// It has all changes of the other and more, or a restore has superseded the other.
    Ahead,
    /// The other is ahead.
    Behind,
    /// Epoch and revision are equal, and the content is not: one of them is broken or forged.
    Forked,
    /// The other is of another store.
    Foreign,
}

impl VersionOrder {
    /// Its name in logs, metrics and the API.
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
    /// How this snapshot compares to another.
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
