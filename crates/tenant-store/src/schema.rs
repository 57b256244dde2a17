//! The tables of the store, with the names that earlier versions gave them.

use redb::TableDefinition;

use crate::error::{DatabaseResult, StoreError};
use crate::origin::Origin;

/// Single numbers, by the keys below.
pub(crate) const META: TableDefinition<&str, u64> = TableDefinition::new("meta");
/// Tenants by name.
pub(crate) const TENANTS: TableDefinition<&str, &[u8]> = TableDefinition::new("tenants");
/// The audit trail, by revision.
pub(crate) const AUDIT: TableDefinition<u64, &[u8]> = TableDefinition::new("audit");
/// Responses by idempotency key.
pub(crate) const RESPONSES: TableDefinition<&str, &[u8]> = TableDefinition::new("once");
/// Idempotency keys in the order in which they came, by revision.
pub(crate) const RESPONSE_ORDER: TableDefinition<u64, &str> = TableDefinition::new("once_order");

/// The table [`META`], opened for writing.
pub(crate) type MetaTable<'txn> = redb::Table<'txn, &'static str, u64>;

/// The format of the store.
pub(crate) const META_FORMAT: &str = "format";
/// The last revision.
pub(crate) const META_REVISION: &str = "revision";
/// The revision of the snapshot that the store began with, where it has no audit trail of what came before.
pub(crate) const META_FIRST_REVISION: &str = "began";
/// The store's name, as a number.
pub(crate) const META_STORE: &str = "store";
/// The store's epoch.
pub(crate) const META_EPOCH: &str = "epoch";

/// Writes which store it is.
pub(crate) fn write_origin(meta: &mut MetaTable<'_>, origin: &Origin) -> Result<(), StoreError> {
    let what = "the store's name can't be written";
    let not_a_name = |_| StoreError::Inconsistent(format!("{:?} is no store's name", origin.store));
    let store = u64::from_str_radix(&origin.store, 16).map_err(not_a_name)?;
    meta.insert(META_STORE, store).context(what)?;
    meta.insert(META_EPOCH, origin.epoch).context(what)?;
    Ok(())
}
