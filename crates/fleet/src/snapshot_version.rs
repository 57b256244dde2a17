//! Which book it is: the store it came from, how often that store was restored, its revision and its checksum.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A book's stamp.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SnapshotVersion {
    /// The store, by the name that it got when it was made and that its restores keep.
    pub store: String,
    /// Raised by each restore: what an earlier epoch holds beyond it was given up by an operator.
    #[serde(default)]
    pub epoch: u64,
    /// The last change.
    pub revision: u64,
    /// The book's checksum (CRC-32 of its JSON): two books of one revision are equal, or one of them is broken.
    #[serde(default, rename = "sum")]
    pub checksum: u32,
}

/// How one book stands to another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionOrder {
    /// The same.
    Same,
    /// It holds all of the other, and more; or a restore has put it in the other's place.
    Ahead,
    /// The other way round.
    Behind,
    /// One epoch and revision, and not the same: one of them is broken or forged.
    Forked,
    /// Another store's.
    Foreign,
}

impl VersionOrder {
    /// A word for logs, figures and the API.
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
    /// How this one stands to another.
    pub fn compare(&self, other: &Self) -> VersionOrder {
        if self.store != other.store {
            return VersionOrder::Foreign;
        }
        match (self.epoch, self.revision).cmp(&(other.epoch, other.revision)) {
            std::cmp::Ordering::Less => VersionOrder::Behind,
            std::cmp::Ordering::Greater => VersionOrder::Ahead,
            std::cmp::Ordering::Equal if self.checksum == other.checksum => VersionOrder::Same,
            std::cmp::Ordering::Equal => VersionOrder::Forked,
        }
    }
}

impl fmt::Display for SnapshotVersion {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}.{}@{}#{:08x}", self.store, self.epoch, self.revision, self.checksum)
    }
}
