//! Which store a snapshot is of: shared by the store and its snapshot files.

use serde::{Deserialize, Serialize};

/// Which store it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The store's own name: 16 hex digits.
    pub store: String,
    /// Raised by each restore: what an earlier epoch has beyond it was given up.
    pub epoch: u64,
}
