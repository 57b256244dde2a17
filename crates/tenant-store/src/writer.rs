//! Writes to the store, each in one durable transaction.

use nettleferry_tenancy::{Entry, IdempotentResponse, TenantSnapshot};
use redb::{Database, ReadableTable, ReadableTableMetadata, WriteTransaction};

use crate::cell;
use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;
use crate::schema::{
    AUDIT, META, META_FIRST_REVISION, META_REVISION, RESPONSE_ORDER, RESPONSES, TENANTS, write_origin,
};
use crate::snapshot::Snapshot;

/// Responses that are stored to be repeated; the oldest are deleted first.
pub(crate) const MAX_IDEMPOTENT_RESPONSES: u64 = 10_000;

const COMMITTING: &str = "the change can't be committed";
const UNDOING: &str = "a change that failed can't be undone";
const INSTALLING: &str = "the snapshot can't be installed";
const RESTORING: &str = "the snapshot can't be restored";

/// A response and the idempotency key that it is stored under.
pub(crate) type KeyedResponse<'a> = (&'a str, &'a IdempotentResponse);

/// Commits a change, and the response under its idempotency key where it has one.
pub(crate) fn commit(
    database: &Database,
    entry: &Entry,
    response: Option<KeyedResponse<'_>>,
) -> Result<(), StoreError> {
    let write = database.begin_write().during(COMMITTING)?;
    put_change(&write, entry)?;
    if let Some(response) = response {
        put_response(&write, entry, response)?;
    }
    write.commit().during(COMMITTING)
}

fn put_change(write: &WriteTransaction, entry: &Entry) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).during(COMMITTING)?;
    let before = meta.get(META_REVISION).during(COMMITTING)?.map_or(0, |value| value.value());
    if entry.revision != before + 1 {
        let what = format!("revision {} does not follow on {before}", entry.revision);
        return Err(StoreError::Inconsistent(what));
    }
    meta.insert(META_REVISION, entry.revision).during(COMMITTING)?;
    let mut tenants = write.open_table(TENANTS).during(COMMITTING)?;
    match &entry.after {
        Some(tenant) => {
            let value = cell::encode(tenant)?;
            tenants.insert(entry.tenant.as_str(), value.as_slice()).during(COMMITTING)?;
        }
        None => _ = tenants.remove(entry.tenant.as_str()).during(COMMITTING)?,
    }
    let mut audit = write.open_table(AUDIT).during(COMMITTING)?;
    audit.insert(entry.revision, cell::encode(entry)?.as_slice()).during(COMMITTING)?;
    Ok(())
}

fn put_response(
    write: &WriteTransaction,
    entry: &Entry,
    (key, response): KeyedResponse<'_>,
) -> Result<(), StoreError> {
    let mut responses = write.open_table(RESPONSES).during(COMMITTING)?;
    let mut order = write.open_table(RESPONSE_ORDER).during(COMMITTING)?;
    responses.insert(key, cell::encode(response)?.as_slice()).during(COMMITTING)?;
    order.insert(entry.revision, key).during(COMMITTING)?;
    if order.len().during(COMMITTING)? > MAX_IDEMPOTENT_RESPONSES {
        let oldest = order.pop_first().during(COMMITTING)?.map(|(_, key)| key.value().to_owned());
        if let Some(oldest) = oldest {
            responses.remove(oldest.as_str()).during(COMMITTING)?;
        }
    }
    Ok(())
}

/// Undoes the last change, where it is this one. `key`: the idempotency key of its response.
pub(crate) fn undo(database: &Database, entry: &Entry, key: Option<&str>) -> Result<(), StoreError> {
    let write = database.begin_write().during(UNDOING)?;
    if !remove_change(&write, entry, key)? {
        return Ok(());
    }
    write.commit().during(UNDOING)
}

/// False: it is not the last change, and nothing was removed.
fn remove_change(write: &WriteTransaction, entry: &Entry, key: Option<&str>) -> Result<bool, StoreError> {
    let mut meta = write.open_table(META).during(UNDOING)?;
    let last = meta.get(META_REVISION).during(UNDOING)?.map_or(0, |value| value.value());
    if last != entry.revision {
        return Ok(false);
    }
    meta.insert(META_REVISION, entry.revision - 1).during(UNDOING)?;
    write.open_table(AUDIT).during(UNDOING)?.remove(entry.revision).during(UNDOING)?;
    let mut tenants = write.open_table(TENANTS).during(UNDOING)?;
    match &entry.before {
        Some(tenant) => {
            let value = cell::encode(tenant)?;
            tenants.insert(entry.tenant.as_str(), value.as_slice()).during(UNDOING)?;
        }
        None => _ = tenants.remove(entry.tenant.as_str()).during(UNDOING)?,
    }
    if let Some(key) = key {
        write.open_table(RESPONSES).during(UNDOING)?.remove(key).during(UNDOING)?;
        write.open_table(RESPONSE_ORDER).during(UNDOING)?.remove(entry.revision).during(UNDOING)?;
    }
    Ok(true)
}

/// Replaces all that is there by a snapshot of elsewhere; audit trail and responses are deleted.
pub(crate) fn install(
    database: &Database,
    snapshot: &TenantSnapshot,
    origin: &Origin,
) -> Result<(), StoreError> {
    let write = database.begin_write().during(INSTALLING)?;
    replace_all(&write, snapshot, origin)?;
    write.commit().during(INSTALLING)
}

fn replace_all(
    write: &WriteTransaction,
    snapshot: &TenantSnapshot,
    origin: &Origin,
) -> Result<(), StoreError> {
    let mut tenants = write.open_table(TENANTS).during(INSTALLING)?;
    tenants.retain(|_, _| false).during(INSTALLING)?;
    write.open_table(AUDIT).during(INSTALLING)?.retain(|_, _| false).during(INSTALLING)?;
    write.open_table(RESPONSES).during(INSTALLING)?.retain(|_, _| false).during(INSTALLING)?;
    write.open_table(RESPONSE_ORDER).during(INSTALLING)?.retain(|_, _| false).during(INSTALLING)?;
    for tenant in snapshot.tenants() {
        tenants.insert(tenant.name.as_str(), cell::encode(tenant)?.as_slice()).during(INSTALLING)?;
    }
    let mut meta = write.open_table(META).during(INSTALLING)?;
    meta.insert(META_REVISION, snapshot.revision()).during(INSTALLING)?;
    meta.insert(META_FIRST_REVISION, snapshot.revision()).during(INSTALLING)?;
    write_origin(&mut meta, origin)
}

/// Fills an empty store with a snapshot file's content. `now_ms`: the least epoch that it gets.
pub(crate) fn restore(database: &Database, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
    let write = database.begin_write().during(RESTORING)?;
    fill(&write, snapshot, now_ms)?;
    write.commit().during(RESTORING)
}

fn fill(write: &WriteTransaction, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).during(RESTORING)?;
    if meta.get(META_REVISION).during(RESTORING)?.is_some() {
        let what = "a snapshot can be restored only into an empty store";
        return Err(StoreError::Inconsistent(what.to_owned()));
    }
    meta.insert(META_REVISION, snapshot.revision).during(RESTORING)?;
    if snapshot.audit.is_empty() {
        meta.insert(META_FIRST_REVISION, snapshot.revision).during(RESTORING)?;
    }
    if let Some(origin) = &snapshot.origin {
        let epoch = now_ms.max(origin.epoch.saturating_add(1));
        write_origin(&mut meta, &Origin { store: origin.store.clone(), epoch })?;
    }
    let mut tenants = write.open_table(TENANTS).during(RESTORING)?;
    for tenant in &snapshot.tenants {
        tenants.insert(tenant.name.as_str(), cell::encode(tenant)?.as_slice()).during(RESTORING)?;
    }
    let mut audit = write.open_table(AUDIT).during(RESTORING)?;
    for entry in &snapshot.audit {
        audit.insert(entry.revision, cell::encode(entry)?.as_slice()).during(RESTORING)?;
    }
    Ok(())
}
