//! A write-ahead log: records that survive a crash until they are acknowledged, in segments of bounded total size.
//!
//! May know: bytes. Must not know: what they mean, sockets, clocks. Files are reached through [`SegmentStorage`] alone, so
//! that a full, read-only or lying disk can be simulated in tests.
//!
//! * [`record`]: the encoding of a record, and the reader, which checks all that it reads.
//! * [`storage`]: the file operations; [`DirectoryStorage`] for a directory, [`MemoryStorage`] for tests.
//! * [`wal`]: segments, acknowledgements, recovery, the bound.
//!
//! Durability: a record is durable when [`WriteAheadLog::append`] has returned and [`WriteAheadLog::sync`] after it; an
//! acknowledgement likewise. One that was not synced may be lost in a crash: its record is recovered once more then, with
//! the same bytes.

#![forbid(unsafe_code)]

pub mod error;
pub mod record;
pub mod storage;
pub mod wal;

pub use error::WalError;
pub use storage::{DirectoryStorage, MemoryStorage, SegmentStorage};
pub use wal::{Counters, Limits, Position, Recovered, RecoveredRecord, WriteAheadLog};
