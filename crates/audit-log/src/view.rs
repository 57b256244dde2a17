//! What a controller acts on, as one number with its parts.

use serde::{Deserialize, Serialize};

/// Which changes of the tenants a controller has applied; ordered by epoch, then revision. Written as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Version {
    /// The epoch of the tenant store.
    pub epoch: u64,
    /// The number of the last change.
    pub revision: u64,
}

impl From<(u64, u64)> for Version {
    fn from((epoch, revision): (u64, u64)) -> Self {
        Self { epoch, revision }
    }
}

impl From<Version> for (u64, u64) {
    fn from(version: Version) -> Self {
        (version.epoch, version.revision)
    }
}

/// All that a controller's decisions depend on. Two views that differ in one part are different; a controller numbers
/// its own in the order in which it came to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The store of the tenants' snapshot; empty: there is no snapshot.
    pub store: String,
    /// The store's epoch.
    pub epoch: u64,
    /// The number of the snapshot's last change.
    pub revision: u64,
    /// Which version of the worker list this incarnation has, from 1; 0: none.
    pub list: u64,
    /// A checksum of the settings.
    pub settings: u64,
    /// The program's version.
    pub program: String,
}

impl View {
    /// The version of its snapshot.
    pub fn version(&self) -> Version {
        Version { epoch: self.epoch, revision: self.revision }
    }
}
