//! Tenants and their audit trail on disk, in redb: one durable transaction for each change.
//!
//! May know: snapshots, entries, one file. Must not know: HTTP, who requests a change, calls. What a change does is
//! decided by `nettleferry-tenancy`; here it is stored completely or not at all.
//!
//! * [`store`]: opening, commits, recovery from a failed file. [`schema`]: the tables. `migration`, `reader` and
//!   `writer`: what is done with them.
//! * [`checksummed`]: a value with its checksum: a flipped byte is found. [`origin`]: which store a snapshot is of.
//! * [`snapshot`]: all of it as one text file, written beside the old one and renamed. [`error`]: what can fail.
//!
//! A change is durable when [`Store::commit`] has returned. One that did not return is there completely or not at all
//! after a restart.

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
