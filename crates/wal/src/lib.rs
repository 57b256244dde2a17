//! Records that survive a crash until they are acknowledged: a segmented log with a bound on disk.
//!
//! May know: bytes. Must not know: what they mean, sockets, clocks. Files are reached through [`SegmentStorage`] alone, so
//! that a full, read-only or lying disk can be played in tests.
//!
//! * [`record`]: the encoding of a record, and the reader that never believes one.
//! * [`storage`]: what is wanted of files; [`DirectoryStorage`] for a folder, [`MemoryStorage`] for tests.
//! * [`wal`]: segments, acknowledgements, recovery, the bound.
//!
//! Durable at which step: a record is when [`WriteAheadLog::append`] has returned and [`WriteAheadLog::sync`] after it; an
//! acknowledgement likewise. One that was not synced may come back after a crash: its record is then given
//! again, with the same bytes.

#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod error;
pub mod record;
pub mod storage;
pub mod wal;

pub use error::WalError;
pub use storage::{DirectoryStorage, MemoryStorage, SegmentStorage};
pub use wal::{Counters, Limits, Position, Recovered, WriteAheadLog};
