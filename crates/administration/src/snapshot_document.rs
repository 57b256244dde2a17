//! A snapshot of all tenants with its version: what leaders and followers send to each other and persist.

use std::sync::{Arc, Mutex};

use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_tenancy::TenantSnapshot;
use serde::{Deserialize, Serialize};

/// A snapshot with its version: the body of a snapshot response, and what a follower persists.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotDocument {
    /// The controller that sent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<u32>,
    /// The name of the store that it is of.
    pub store: String,
    /// The store's epoch. Documents of earlier versions of the program have none, and are of the first.
    #[serde(default = "first_epoch")]
    pub epoch: u64,
    /// The tenants.
    #[serde(rename = "book")]
    pub snapshot: TenantSnapshot,
}

fn first_epoch() -> u64 {
    1
}

impl SnapshotDocument {
    /// Its version; the checksum is computed from the tenants.
    pub fn version(&self) -> SnapshotVersion {
        version_of(&self.store, self.epoch, &self.snapshot)
    }
}

/// The version of a snapshot of this store and epoch.
pub fn version_of(store: &str, epoch: u64, snapshot: &TenantSnapshot) -> SnapshotVersion {
    SnapshotVersion {
        store: store.to_owned(),
        epoch,
        revision: snapshot.revision(),
        checksum: snapshot.checksum(),
    }
}

/// A follower's snapshot, shared with the thread that serves it to others; `None`: it has none yet.
pub type SharedSnapshot = Arc<Mutex<Option<Arc<SnapshotDocument>>>>;
