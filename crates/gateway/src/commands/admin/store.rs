//! `admin snapshot` and `admin restore`: a tenant store that no controller has open, to a file and back.

use std::path::Path;

use nettleferry_net::clock;
use nettleferry_tenant_store::{Snapshot, Store};

use super::super::console::announce;
use super::super::error::CommandError;

/// Writes all of a store to a snapshot file.
pub(super) fn snapshot(store: &Path, file: &Path) -> Result<(), CommandError> {
    let (store, tenants) = Store::open(store)?;
    store.snapshot()?.write(file)?;
    announce(&format!("{} tenants at revision {}", tenants.tenants().len(), tenants.revision()))
}

/// Fills a new store from a snapshot file; a store that exists is left alone.
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
