//! Reads from the store, each in one transaction.

use nettleferry_tenancy::{Entry, IdempotentResponse, Revision, Tenant, TenantSnapshot};
use redb::{Database, ReadableDatabase, ReadableTable};

use crate::cell;
use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;
use crate::schema::{
    AUDIT, META, META_EPOCH, META_FIRST_REVISION, META_REVISION, META_STORE, RESPONSES, TENANTS,
};

const READING: &str = "the tenant store can't be read";
const READING_AUDIT: &str = "the audit trail can't be read";

/// The epoch of a store that was never restored.
const FIRST_EPOCH: u64 = 1;

/// Which store it is.
pub(crate) fn origin(database: &Database) -> Result<Origin, StoreError> {
    let read = database.begin_read().during(READING)?;
    let meta = read.open_table(META).during(READING)?;
    let store = meta.get(META_STORE).during(READING)?.map_or(0, |value| value.value());
    let epoch = meta.get(META_EPOCH).during(READING)?.map_or(FIRST_EPOCH, |value| value.value());
    Ok(Origin { store: format!("{store:016x}"), epoch })
}

/// All tenants, checked against the revision and the audit trail.
pub(crate) fn tenants(database: &Database) -> Result<TenantSnapshot, StoreError> {
    let read = database.begin_read().during(READING)?;
    let meta = read.open_table(META).during(READING)?;
    let revision = meta.get(META_REVISION).during(READING)?.map_or(0, |value| value.value());
    let mut all: Vec<Tenant> = Vec::new();
    for row in read.open_table(TENANTS).during(READING)?.iter().during(READING)? {
        let (name, value) = row.during(READING)?;
        let tenant: Tenant = cell::decode("tenants", name.value(), value.value())?;
        if tenant.name != name.value() || tenant.revision > revision {
            let what = format!("tenant {} at revision {} of {revision}", tenant.name, tenant.revision);
            return Err(StoreError::Inconsistent(what));
        }
        all.push(tenant);
    }
    let audit = read.open_table(AUDIT).during(READING)?;
    // A store that began with a snapshot of elsewhere has no audit trail of what came before.
    let first = meta.get(META_FIRST_REVISION).during(READING)?.map_or(0, |value| value.value());
    let last = audit.last().during(READING)?.map_or(first, |(revision, _)| revision.value());
    if last != revision {
        let what = format!("the audit trail ends at {last}, the tenants at {revision}");
        return Err(StoreError::Inconsistent(what));
    }
    Ok(TenantSnapshot::from_tenants(revision, all))
}

/// The response stored under an idempotency key.
pub(crate) fn response(database: &Database, key: &str) -> Result<Option<IdempotentResponse>, StoreError> {
    let read = database.begin_read().during(READING)?;
    let responses = read.open_table(RESPONSES).during(READING)?;
    let found = responses.get(key).during(READING)?;
    found.map(|bytes| Ok(cell::decode("once", key, bytes.value())?)).transpose()
}

/// At most `most` entries of the audit trail after a revision, in order; of one tenant, where given.
pub(crate) fn entries(
    database: &Database,
    after: Revision,
    most: usize,
    tenant: Option<&str>,
) -> Result<Vec<Entry>, StoreError> {
    let read = database.begin_read().during(READING_AUDIT)?;
    let audit = read.open_table(AUDIT).during(READING_AUDIT)?;
    let mut all = Vec::new();
    for row in audit.range(after.saturating_add(1)..).during(READING_AUDIT)? {
        if all.len() >= most {
            break;
        }
        let (revision, value) = row.during(READING_AUDIT)?;
        let entry: Entry = cell::decode("audit", &revision.value().to_string(), value.value())?;
        if tenant.is_none_or(|name| entry.tenant == name) {
            all.push(entry);
        }
    }
    Ok(all)
}
