//! `admin snapshot` and `admin restore`: copy a tenant store to a snapshot file and back. No controller may have the
//! store open.

use std::path::Path;

use nettleferry_net::clock;
use nettleferry_tenant_store::{Snapshot, Store};

use super::super::console::announce;
use super::super::error::CommandError;

/// Writes the whole content of a store to a snapshot file.
pub(super) fn snapshot(store: &Path, file: &Path) -> Result<(), CommandError> {
    let (store, tenants) = Store::open(store)?;
    store.snapshot()?.write(file)?;
    announce(&format!("{} tenants at revision {}", tenants.tenants().len(), tenants.revision()))
}

/// Creates a store from a snapshot file. Fails with [`CommandError::StoreExists`] if the store exists.
pub(super) fn restore(file: &Path, store: &Path) -> Result<(), CommandError> {
    let snapshot = Snapshot::read(file)?;
    if store.exists() {
        return Err(CommandError::StoreExists(store.to_owned()));
    }
    let (mut store, _) = Store::open(store)?;
    let now_ms = clock::wall() / 1000;
    store.restore(&snapshot, now_ms)?;
    announce(&format!("{} tenants at revision {}", snapshot.tenants.len(), snapshot.revision))
}
