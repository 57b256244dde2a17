//! Tenants and their audit trail on disk, in redb: one durable transaction a change.
//!
//! May know: books, entries, one file. Must not know: HTTP, who asks, calls. What a change does is decided by
//! `nettleferry-tenancy`; here it is kept whole or not at all.
//!
//! * [`store`]: the tables, a change's transaction, what is read at the start.
//! * [`cell`]: a value with its checksum: a flipped byte is found, not believed. [`origin`]: which store a book is of.
//! * [`snapshot`]: all of it as one text file, written beside and renamed.
//!
//! Durable at which step: a change is when [`Store::commit`] has returned. One that did not return is there whole
//! or not at all after a restart.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod cell;
pub mod origin;
pub mod snapshot;
pub mod store;

pub use origin::Origin;
pub use snapshot::{Snapshot, SnapshotError};
pub use store::{Store, StoreError};
