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

/// The parts. Two views that differ in one of them are two; a controller numbers its own in the order in which it
/// came to them.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct View {
    /// The store of the tenants' book; empty: none is held.
    pub store: String,
    /// The store's epoch.
    pub epoch: u64,
    /// The book's last change.
    pub revision: u64,
    /// Which version of the worker list of this life, from 1; 0: none.
    pub list: u64,
    /// A checksum of the settings.
    pub settings: u64,
    /// The program's version.
    pub program: String,
}

impl View {
    /// Which book it is, for comparing: epoch, then revision.
    pub fn version(&self) -> Version {
        Version { epoch: self.epoch, revision: self.revision }
    }
}
