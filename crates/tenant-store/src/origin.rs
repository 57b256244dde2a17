//! Which store a book comes from: shared by the store and its snapshots.

use serde::{Deserialize, Serialize};

/// Where a book comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The store's own name: 16 hex digits.
    pub store: String,
    /// Raised by each restore.
    pub epoch: u64,
}
