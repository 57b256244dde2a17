//! A write-ahead log. Records survive a crash until they are acknowledged. The total size of the log is
//! bounded.
//!
//! This crate must not depend on the meaning of the records, on sockets or on clocks. It accesses files only through
//! [`SegmentStorage`], so that tests can simulate a disk that is full or read-only, or that damages data.
//!
//! * [`record`]: the encoding of records, and the decoder, which verifies checksums.
//! * [`storage`]: the file operations; [`DirectoryStorage`] for a directory, [`MemoryStorage`] for tests.
//! * [`wal`]: the log itself: segments, acknowledgements, recovery and the size limit.
//!
//! A record is durable once [`WriteAheadLog::sync`] has returned after its [`WriteAheadLog::append`],
//! provided that no new segment was started in between: only the newest segment is synced. The same holds for
//! acknowledgements. After a crash, a record whose acknowledgement was not synced may be recovered again,
//! with the same bytes.

#![forbid(unsafe_code)]

pub mod error;
pub mod record;
pub mod storage;
pub mod wal;

pub use error::WalError;
pub use storage::{DirectoryStorage, MemoryStorage, SegmentStorage};
pub use wal::{Counters, Limits, Position, Recovered, RecoveredRecord, WriteAheadLog};
