//! The document in which leaders and followers exchange and persist a snapshot of all tenants.

use std::sync::{Arc, Mutex};

use nettleferry_fleet::snapshot_version::SnapshotVersion;
use nettleferry_tenancy::TenantSnapshot;
use serde::{Deserialize, Serialize};

/// A snapshot of all tenants with the store and epoch that identify its version. It is the body of a snapshot response,
/// and the content of a follower's snapshot file.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SnapshotDocument {
    /// The number of the controller that sent it; `None` in a persisted document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub controller: Option<u32>,
    /// The name of the tenant store that the snapshot belongs to.
    pub store: String,
    /// The store's epoch. Documents of earlier versions of the program lack it and belong to epoch 1.
    #[serde(default = "first_epoch")]
    pub epoch: u64,
    /// The tenants and their revision.
    #[serde(rename = "book")]
    pub snapshot: TenantSnapshot,
}

fn first_epoch() -> u64 {
    1
}

impl SnapshotDocument {
    /// The version of the snapshot, with a checksum that is computed from the tenants on each call.
    pub fn version(&self) -> SnapshotVersion {
        version_of(&self.store, self.epoch, &self.snapshot)
    }
}

/// The version of a snapshot that belongs to this store and epoch, with a newly computed checksum.
pub fn version_of(store: &str, epoch: u64, snapshot: &TenantSnapshot) -> SnapshotVersion {
    SnapshotVersion {
        store: store.to_owned(),
        epoch,
        revision: snapshot.revision(),
        checksum: snapshot.checksum(),
    }
}

/// A follower's snapshot, shared with the thread that serves it to other controllers; `None` until there is one.
pub type SharedSnapshot = Arc<Mutex<Option<Arc<SnapshotDocument>>>>;
