//! The tables of the store. Table and key names are part of the file format, so those of earlier versions are kept.

use redb::TableDefinition;

use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;

/// Properties of the store as a whole, under the `META_` keys below.
pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// The tenants, by name.
pub(crate) const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
/// The entries of the audit trail, by revision.
pub(crate) const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Stored responses, by idempotency key.
pub(crate) const RESPONSES: TableDefinition<&str, &[u8]> = TableDefinition::new("once");
/// Idempotency keys by the revision of their change, so that the oldest response can be found and deleted.
pub(crate) const RESPONSE_ORDER: TableDefinition<u64, &str> = TableDefinition::new("once_order");

/// The table [`META`] within a write transaction.
pub(crate) type MetaTable<'txn> = redb::Table<'txn, &'static str, u64>;

/// The format version of the store.
pub(crate) const META_FORMAT: &str = "format";
/// The revision of the last change.
pub(crate) const META_REVISION: &str = "revision";
/// The revision of the snapshot that the store was filled from, if that snapshot had no audit trail.
pub(crate) const META_FIRST_REVISION: &str = "began";
/// The store's name, as a number (see [`Origin::store`]).
pub(crate) const META_STORE: &str = "store";
/// The store's epoch (see [`Origin::epoch`]).
pub(crate) const META_EPOCH: &str = "epoch";

/// Writes the identity of the store. Fails if the name is not a hexadecimal number of at most 64 bits.
pub(crate) fn write_origin(meta: &mut MetaTable<'_>, origin: &Origin) -> Result<(), StoreError> {
    let write_failed = "the store's name can't be written";
    let invalid_name = |_| {
        StoreError::Inconsistent(format!(
            "the store name {:?} is not a hexadecimal number of at most 64 bits",
            origin.store
        ))
    };
    let store = u64::from_str_radix(&origin.store, 16).map_err(invalid_name)?;
    meta.insert(META_STORE, store).context(write_failed)?;
    meta.insert(META_EPOCH, origin.epoch).context(write_failed)?;
    Ok(())
}
