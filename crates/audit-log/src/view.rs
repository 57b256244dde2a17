//! The view of a controller: the versions of everything that its decisions depend on.

use serde::{Deserialize, Serialize};

/// The version of the tenants that a controller has applied; ordered by epoch, then revision. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct Version {
    /// The epoch of the tenant store.
    pub epoch: u64,
    /// The number of the last applied change.
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

/// The versions of all inputs of a controller's decisions. A controller numbers its views in the order in which it
/// applied them, and starts a new one when any field changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The name of the store from which the tenants' snapshot was taken; empty without a snapshot.
    pub store: String,
    /// The epoch of that store.
    pub epoch: u64,
    /// The number of the last change in the snapshot.
    pub revision: u64,
    /// The version of the worker list, numbered from 1 in each incarnation; 0 if none was loaded.
    #[serde(rename = "list")]
    pub worker_list: u64,
    /// The checksum of the settings file.
    #[serde(rename = "settings")]
    pub settings_checksum: u64,
    /// The version of the program that the controller runs.
    pub program: String,
}

impl View {
    /// The version of the tenants' snapshot.
    pub fn version(&self) -> Version {
        Version { epoch: self.epoch, revision: self.revision }
    }
}
