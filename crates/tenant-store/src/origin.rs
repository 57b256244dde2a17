//! The identity of a store, which is also written to the snapshots made of it.

use serde::{Deserialize, Serialize};

/// Identifies a store and the last restore of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The store's name: a random number, as 16 hexadecimal digits.
    pub store: String,
    /// Increased by each restore. A snapshot of a higher epoch supersedes those of lower epochs, so changes
    /// made after the restored snapshot are discarded.
    pub epoch: u64,
}
