//! Persistent storage of tenants and their audit trail in a redb database. Each change is one durable transaction.
//!
//! This crate stores the changes that `nettleferry-tenancy` evaluates: a change is stored completely or not
//! at all. It must not depend on HTTP, on calls, or on who requests a change.
//!
//! * [`store`]: opens the store, commits changes, and recovers from I/O failures. [`schema`]: the tables.
//!   `migration`, `reader` and `writer`: the operations on the tables.
//! * [`checksummed`]: the encoding of values with a checksum. [`origin`]: the identity of a store.
//! * [`snapshot`]: the whole store as a text file, which replaces the previous one atomically. [`error`]: the errors.
//!
//! A change is durable once [`Store::commit`] has returned. If the process dies before that, the change is stored
//! either completely or not at all.

#![forbid(unsafe_code)]

pub mod checksummed;
pub mod error;
pub mod format;
mod migration;
pub mod origin;
mod reader;
pub mod schema;
pub mod snapshot;
pub mod store;
mod writer;

pub use error::StoreError;
pub use origin::Origin;
pub use snapshot::{Snapshot, SnapshotError};
pub use store::Store;
