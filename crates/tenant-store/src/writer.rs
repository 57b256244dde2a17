//! Write operations on the store, each in one durable transaction.

use nettleferry_tenancy::{Entry, IdempotentResponse, TenantSnapshot};
use redb::{Database, ReadableTable, ReadableTableMetadata, WriteTransaction};

use crate::checksummed;
use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;
use crate::schema::{
    AUDIT, META, META_FIRST_REVISION, META_REVISION, RESPONSE_ORDER, RESPONSES, TENANTS, write_origin,
};
use crate::snapshot::Snapshot;

/// Maximum number of responses stored under idempotency keys. When it is exceeded, the oldest one is deleted.
pub(crate) const MAX_IDEMPOTENT_RESPONSES: u64 = 10_000;

const COMMIT_FAILED: &str = "the change can't be committed";
const UNDO_FAILED: &str = "the change whose commit failed can't be undone";
const INSTALL_FAILED: &str = "the snapshot can't be installed";
const RESTORE_FAILED: &str = "the snapshot can't be restored";

/// An idempotency key, and the response that is stored under it.
pub(crate) type KeyedResponse<'a> = (&'a str, &'a IdempotentResponse);

/// Commits a change together with its response, if that is to be stored under an idempotency key.
pub(crate) fn commit(
    database: &Database,
    entry: &Entry,
    response: Option<KeyedResponse<'_>>,
) -> Result<(), StoreError> {
    let write = database.begin_write().context(COMMIT_FAILED)?;
    put_change(&write, entry)?;
    if let Some(response) = response {
        put_response(&write, entry, response)?;
    }
    write.commit().context(COMMIT_FAILED)
}

fn put_change(write: &WriteTransaction, entry: &Entry) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).context(COMMIT_FAILED)?;
    let before = meta.get(META_REVISION).context(COMMIT_FAILED)?.map_or(0, |value| value.value());
    if entry.revision != before + 1 {
        let reason = format!("revision {} does not follow revision {before}", entry.revision);
        return Err(StoreError::Inconsistent(reason));
    }
    meta.insert(META_REVISION, entry.revision).context(COMMIT_FAILED)?;
    let mut tenants = write.open_table(TENANTS).context(COMMIT_FAILED)?;
    match &entry.after {
        Some(tenant) => {
            let value = checksummed::encode(tenant)?;
            tenants.insert(entry.tenant.as_str(), value.as_slice()).context(COMMIT_FAILED)?;
        }
        None => _ = tenants.remove(entry.tenant.as_str()).context(COMMIT_FAILED)?,
    }
    let mut audit = write.open_table(AUDIT).context(COMMIT_FAILED)?;
    audit.insert(entry.revision, checksummed::encode(entry)?.as_slice()).context(COMMIT_FAILED)?;
    Ok(())
}

fn put_response(
    write: &WriteTransaction,
    entry: &Entry,
    (key, response): KeyedResponse<'_>,
) -> Result<(), StoreError> {
    let mut responses = write.open_table(RESPONSES).context(COMMIT_FAILED)?;
    let mut order = write.open_table(RESPONSE_ORDER).context(COMMIT_FAILED)?;
    responses.insert(key, checksummed::encode(response)?.as_slice()).context(COMMIT_FAILED)?;
    order.insert(entry.revision, key).context(COMMIT_FAILED)?;
    if order.len().context(COMMIT_FAILED)? > MAX_IDEMPOTENT_RESPONSES {
        let oldest = order.pop_first().context(COMMIT_FAILED)?.map(|(_, key)| key.value().to_owned());
        if let Some(oldest) = oldest {
            responses.remove(oldest.as_str()).context(COMMIT_FAILED)?;
        }
    }
    Ok(())
}

/// Undoes `entry` if its revision is that of the store. `key` is the idempotency key of its response, if it
/// has one.
pub(crate) fn undo(database: &Database, entry: &Entry, key: Option<&str>) -> Result<(), StoreError> {
    let write = database.begin_write().context(UNDO_FAILED)?;
    if !undo_if_last(&write, entry, key)? {
        return Ok(());
    }
    write.commit().context(UNDO_FAILED)
}

/// Undoes a change within a transaction. Returns false without writing anything if the store has another
/// revision.
fn undo_if_last(write: &WriteTransaction, entry: &Entry, key: Option<&str>) -> Result<bool, StoreError> {
    let mut meta = write.open_table(META).context(UNDO_FAILED)?;
    let last = meta.get(META_REVISION).context(UNDO_FAILED)?.map_or(0, |value| value.value());
    if last != entry.revision {
        return Ok(false);
    }
    meta.insert(META_REVISION, entry.revision - 1).context(UNDO_FAILED)?;
    write.open_table(AUDIT).context(UNDO_FAILED)?.remove(entry.revision).context(UNDO_FAILED)?;
    let mut tenants = write.open_table(TENANTS).context(UNDO_FAILED)?;
    match &entry.before {
        Some(tenant) => {
            let value = checksummed::encode(tenant)?;
            tenants.insert(entry.tenant.as_str(), value.as_slice()).context(UNDO_FAILED)?;
        }
        None => _ = tenants.remove(entry.tenant.as_str()).context(UNDO_FAILED)?,
    }
    if let Some(key) = key {
        write.open_table(RESPONSES).context(UNDO_FAILED)?.remove(key).context(UNDO_FAILED)?;
        write.open_table(RESPONSE_ORDER).context(UNDO_FAILED)?.remove(entry.revision).context(UNDO_FAILED)?;
    }
    Ok(true)
}

/// Replaces the tenants by a snapshot of another controller, and deletes the audit trail and the stored responses.
pub(crate) fn install(
    database: &Database,
    snapshot: &TenantSnapshot,
    origin: &Origin,
) -> Result<(), StoreError> {
    let write = database.begin_write().context(INSTALL_FAILED)?;
    replace_all(&write, snapshot, origin)?;
    write.commit().context(INSTALL_FAILED)
}

fn replace_all(
    write: &WriteTransaction,
    snapshot: &TenantSnapshot,
    origin: &Origin,
) -> Result<(), StoreError> {
    let mut tenants = write.open_table(TENANTS).context(INSTALL_FAILED)?;
    tenants.retain(|_, _| false).context(INSTALL_FAILED)?;
    write.open_table(AUDIT).context(INSTALL_FAILED)?.retain(|_, _| false).context(INSTALL_FAILED)?;
    write.open_table(RESPONSES).context(INSTALL_FAILED)?.retain(|_, _| false).context(INSTALL_FAILED)?;
    write.open_table(RESPONSE_ORDER).context(INSTALL_FAILED)?.retain(|_, _| false).context(INSTALL_FAILED)?;
    for tenant in snapshot.tenants() {
        tenants
            .insert(tenant.name.as_str(), checksummed::encode(tenant)?.as_slice())
            .context(INSTALL_FAILED)?;
    }
    let mut meta = write.open_table(META).context(INSTALL_FAILED)?;
    meta.insert(META_REVISION, snapshot.revision()).context(INSTALL_FAILED)?;
    meta.insert(META_FIRST_REVISION, snapshot.revision()).context(INSTALL_FAILED)?;
    write_origin(&mut meta, origin)
}

/// Fills an empty store with the content of a snapshot. The store's epoch becomes at least `now_ms`.
pub(crate) fn restore(database: &Database, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
    let write = database.begin_write().context(RESTORE_FAILED)?;
    fill(&write, snapshot, now_ms)?;
    write.commit().context(RESTORE_FAILED)
}

fn fill(write: &WriteTransaction, snapshot: &Snapshot, now_ms: u64) -> Result<(), StoreError> {
    let mut meta = write.open_table(META).context(RESTORE_FAILED)?;
    if meta.get(META_REVISION).context(RESTORE_FAILED)?.is_some() {
        let reason = "a snapshot can be restored only into an empty store";
        return Err(StoreError::Inconsistent(reason.to_owned()));
    }
    meta.insert(META_REVISION, snapshot.revision).context(RESTORE_FAILED)?;
    if snapshot.audit.is_empty() {
        meta.insert(META_FIRST_REVISION, snapshot.revision).context(RESTORE_FAILED)?;
    }
    if let Some(origin) = &snapshot.origin {
        let epoch = now_ms.max(origin.epoch.saturating_add(1));
        write_origin(&mut meta, &Origin { store: origin.store.clone(), epoch })?;
    }
    let mut tenants = write.open_table(TENANTS).context(RESTORE_FAILED)?;
    for tenant in &snapshot.tenants {
        tenants
            .insert(tenant.name.as_str(), checksummed::encode(tenant)?.as_slice())
            .context(RESTORE_FAILED)?;
    }
    let mut audit = write.open_table(AUDIT).context(RESTORE_FAILED)?;
    for entry in &snapshot.audit {
        audit.insert(entry.revision, checksummed::encode(entry)?.as_slice()).context(RESTORE_FAILED)?;
    }
    Ok(())
}
