//! Creates the tables of a new store, and migrates a store of an earlier format to the current one.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use nettleferry_tenancy::{Entry, Tenant};
use redb::{Database, ReadableTable, Table, WriteTransaction};

use crate::checksummed;
use crate::error::{DatabaseResult, StoreError};
use crate::format::FORMAT;
use crate::schema::{AUDIT, META, META_FORMAT, META_STORE, RESPONSE_ORDER, RESPONSES, TENANTS};

const CREATE_FAILED: &str = "the tenant store's tables can't be created";
const MIGRATE_FAILED: &str = "the tenant store can't be migrated";

/// Creates missing tables, migrates a store of an earlier format and names a new store, in one transaction.
/// Fails with [`StoreError::NewerFormat`] for a store that a later version of the program wrote.
pub(crate) fn migrate(database: &Database) -> Result<(), StoreError> {
    let write = database.begin_write().context("the tenant store can't be written")?;
    migrate_tables(&write)?;
    write.commit().context(CREATE_FAILED)
}

fn migrate_tables(write: &WriteTransaction) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).context(CREATE_FAILED)?;
    let mut tenants = write.open_table(TENANTS).context(CREATE_FAILED)?;
    let mut audit = write.open_table(AUDIT).context(CREATE_FAILED)?;
    write.open_table(RESPONSES).context(CREATE_FAILED)?;
    write.open_table(RESPONSE_ORDER).context(CREATE_FAILED)?;
    let found = meta.get(META_FORMAT).context(MIGRATE_FAILED)?.map(|value| value.value());
    match found {
        None | Some(FORMAT) => {}
        Some(found) if found > FORMAT => return Err(StoreError::NewerFormat { found }),
        Some(_) => {
            add_tenant_checksums(&mut tenants)?;
            add_audit_checksums(&mut audit)?;
        }
    }
    if found != Some(FORMAT) {
        meta.insert(META_FORMAT, FORMAT).context(MIGRATE_FAILED)?;
    }
    let has_store_name = meta.get(META_STORE).context(MIGRATE_FAILED)?.is_some();
    if !has_store_name {
        // The name is random, so that a newly created store is not mistaken for another one with the same
        // revisions.
        meta.insert(META_STORE, RandomState::new().hash_one(FORMAT)).context(MIGRATE_FAILED)?;
    }
    Ok(())
}

fn add_tenant_checksums(tenants: &mut Table<'_, &'static str, &'static [u8]>) -> Result<(), StoreError> {
    let mut format_1_rows = Vec::new();
    for row in tenants.iter().context(MIGRATE_FAILED)? {
        let (name, json) = row.context(MIGRATE_FAILED)?;
        format_1_rows.push((name.value().to_owned(), json.value().to_vec()));
    }
    for (name, json) in format_1_rows {
        let tenant: Tenant = serde_json::from_slice(&json)?;
        tenants.insert(name.as_str(), checksummed::encode(&tenant)?.as_slice()).context(MIGRATE_FAILED)?;
    }
    Ok(())
}

fn add_audit_checksums(audit: &mut Table<'_, u64, &'static [u8]>) -> Result<(), StoreError> {
    let mut format_1_rows = Vec::new();
    for row in audit.iter().context(MIGRATE_FAILED)? {
        let (revision, json) = row.context(MIGRATE_FAILED)?;
        format_1_rows.push((revision.value(), json.value().to_vec()));
    }
    for (revision, json) in format_1_rows {
        let entry: Entry = serde_json::from_slice(&json)?;
        audit.insert(revision, checksummed::encode(&entry)?.as_slice()).context(MIGRATE_FAILED)?;
    }
    Ok(())
}
