//! Creates the tables of a new store, and brings one of an earlier format to the present one.

use std::collections::hash_map::RandomState;
use std::hash::BuildHasher;

use nettleferry_tenancy::{Entry, Tenant};
use redb::{Database, ReadableTable, Table, WriteTransaction};

use crate::cell;
use crate::error::{DatabaseResult, StoreError};
use crate::format::FORMAT;
use crate::schema::{AUDIT, META, META_FORMAT, META_STORE, RESPONSE_ORDER, RESPONSES, TENANTS};

const CREATING: &str = "the tenant store's tables can't be created";
const MIGRATING: &str = "the tenant store can't be migrated";

/// Creates what is missing, and migrates what is of an earlier format, in one transaction.
pub(crate) fn migrate(database: &Database) -> Result<(), StoreError> {
    let write = database.begin_write().during("the tenant store can't be written")?;
    migrate_tables(&write)?;
    write.commit().during(CREATING)
}

fn migrate_tables(write: &WriteTransaction) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).during(CREATING)?;
    let mut tenants = write.open_table(TENANTS).during(CREATING)?;
    let mut audit = write.open_table(AUDIT).during(CREATING)?;
    write.open_table(RESPONSES).during(CREATING)?;
    write.open_table(RESPONSE_ORDER).during(CREATING)?;
    let found = meta.get(META_FORMAT).during(MIGRATING)?.map(|value| value.value());
    match found {
        None | Some(FORMAT) => {}
        Some(found) if found > FORMAT => return Err(StoreError::Newer { found }),
        Some(_) => {
            add_tenant_checksums(&mut tenants)?;
            add_audit_checksums(&mut audit)?;
        }
    }
    if found != Some(FORMAT) {
        meta.insert(META_FORMAT, FORMAT).during(MIGRATING)?;
    }
    let is_named = meta.get(META_STORE).during(MIGRATING)?.is_some();
    if !is_named {
        // Random: a store that was created anew is another one, whatever its revisions are.
        meta.insert(META_STORE, RandomState::new().hash_one(FORMAT)).during(MIGRATING)?;
    }
    Ok(())
}

fn add_tenant_checksums(tenants: &mut Table<'_, &'static str, &'static [u8]>) -> Result<(), StoreError> {
    let mut old = Vec::new();
    for row in tenants.iter().during(MIGRATING)? {
        let (name, json) = row.during(MIGRATING)?;
        old.push((name.value().to_owned(), json.value().to_vec()));
    }
    for (name, json) in old {
        let tenant: Tenant = serde_json::from_slice(&json)?;
        tenants.insert(name.as_str(), cell::encode(&tenant)?.as_slice()).during(MIGRATING)?;
    }
    Ok(())
}

fn add_audit_checksums(audit: &mut Table<'_, u64, &'static [u8]>) -> Result<(), StoreError> {
    let mut old = Vec::new();
    for row in audit.iter().during(MIGRATING)? {
        let (revision, json) = row.during(MIGRATING)?;
        old.push((revision.value(), json.value().to_vec()));
    }
    for (revision, json) in old {
        let entry: Entry = serde_json::from_slice(&json)?;
        audit.insert(revision, cell::encode(&entry)?.as_slice()).during(MIGRATING)?;
    }
    Ok(())
}
