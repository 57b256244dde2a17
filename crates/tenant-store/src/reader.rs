//! Read operations on the store, each in one transaction.

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use redb::{Database, ReadableDatabase, ReadableTable};

use crate::checksummed;
use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;
use crate::schema::{
    AUDIT, META, META_EPOCH, META_FIRST_REVISION, META_REVISION, META_STORE, RESPONSES, TENANTS,
};

const READ_FAILED: &str = "the tenant store can't be read";
const READ_AUDIT_FAILED: &str = "the audit trail can't be read";

/// The epoch of a store that was never restored from a snapshot.
const FIRST_EPOCH: u64 = 1;

/// Reads the identity of the store.
pub(crate) fn origin(database: &Database) -> Result<Origin, StoreError> {
    let read = database.begin_read().context(READ_FAILED)?;
    let meta = read.open_table(META).context(READ_FAILED)?;
    let store = meta.get(META_STORE).context(READ_FAILED)?.map_or(0, |value| value.value());
    let epoch = meta.get(META_EPOCH).context(READ_FAILED)?.map_or(FIRST_EPOCH, |value| value.value());
    Ok(Origin { store: format!("{store:016x}"), epoch })
}

/// Reads all tenants. Fails if a tenant does not match its key or is newer than the store's revision, or if the audit
/// trail does not end at that revision.
pub(crate) fn tenants(database: &Database) -> Result<TenantSnapshot, StoreError> {
    let read = database.begin_read().context(READ_FAILED)?;
    let meta = read.open_table(META).context(READ_FAILED)?;
    let revision = meta.get(META_REVISION).context(READ_FAILED)?.map_or(0, |value| value.value());
    let mut tenants: Vec<Tenant> = Vec::new();
    for row in read.open_table(TENANTS).context(READ_FAILED)?.iter().context(READ_FAILED)? {
        let (name, value) = row.context(READ_FAILED)?;
        let tenant: Tenant = checksummed::decode("tenants", name.value(), value.value())?;
        if tenant.name != name.value() || tenant.revision > revision {
            let reason = format!(
                "key {}: tenant {} at revision {}, the store is at revision {revision}",
                name.value(),
                tenant.name,
                tenant.revision
            );
            return Err(StoreError::Inconsistent(reason));
        }
        tenants.push(tenant);
    }
    let audit = read.open_table(AUDIT).context(READ_FAILED)?;
    // A store that was filled from a snapshot without an audit trail has no entries up to that snapshot's revision.
    let first = meta.get(META_FIRST_REVISION).context(READ_FAILED)?.map_or(0, |value| value.value());
    let last = audit.last().context(READ_FAILED)?.map_or(first, |(revision, _)| revision.value());
    if last != revision {
        let reason = format!("the audit trail ends at revision {last}, the store is at revision {revision}");
        return Err(StoreError::Inconsistent(reason));
    }
    Ok(TenantSnapshot::from_tenants(revision, tenants))
}

/// Reads the response that is stored under an idempotency key; `None` if there is none.
pub(crate) fn response(database: &Database, key: &str) -> Result<Option<IdempotentResponse>, StoreError> {
    let read = database.begin_read().context(READ_FAILED)?;
    let responses = read.open_table(RESPONSES).context(READ_FAILED)?;
    let value = responses.get(key).context(READ_FAILED)?;
    value.map(|bytes| Ok(checksummed::decode("once", key, bytes.value())?)).transpose()
}

/// Reads at most `limit` entries of the audit trail after a revision, in order, optionally of one tenant only.
pub(crate) fn entries(
    database: &Database,
    after: Revision,
    limit: usize,
    tenant: Option<&str>,
) -> Result<Vec<Entry>, StoreError> {
    let read = database.begin_read().context(READ_AUDIT_FAILED)?;
    let audit = read.open_table(AUDIT).context(READ_AUDIT_FAILED)?;
    let mut entries = Vec::new();
    for row in audit.range(after.saturating_add(1)..).context(READ_AUDIT_FAILED)? {
        if entries.len() >= limit {
            break;
        }
        let (revision, value) = row.context(READ_AUDIT_FAILED)?;
        let entry: Entry = checksummed::decode("audit", &revision.value().to_string(), value.value())?;
        if tenant.is_none_or(|name| entry.tenant == name) {
            entries.push(entry);
        }
    }
    Ok(entries)
}
