//! Records that survive a crash until they are acknowledged: a segmented log with a bound on disk.
//!
//! May know: bytes. Must not know: what they mean, sockets, clocks. Files are reached through [`Disk`] alone, so
//! that a full, read-only or lying disk can be played in tests.
//!
//! * [`record`]: the encoding of a record, and the reader that never believes one.
//! * [`disk`]: what is wanted of files; [`FolderDisk`] for a folder, [`MemoryDisk`] for tests.
//! * [`spool`]: segments, acknowledgements, recovery, the bound.
//!
//! Durable at which step: a record is when [`Spool::append`] has returned and [`Spool::sync`] after it; an
//! acknowledgement likewise. One that was not synced may come back after a crash: its record is then given
//! again, with the same bytes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod disk;
pub mod error;
pub mod record;
pub mod spool;

pub use disk::{Disk, FolderDisk, MemoryDisk};
pub use error::SpoolError;
pub use spool::{Counters, Limits, Position, Recovered, Spool};
