//! The identity of a store, which is also written to the snapshots made of it.

use serde::{Deserialize, Serialize};

/// The identity of a store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The store's name: a random number, as 16 hexadecimal digits.
    pub store: String,
    /// Increased by each restore. Changes of an earlier epoch that the restored snapshot lacks are discarded.
    pub epoch: u64,
}
