//! Crash-safe storage of small records, one per file. Each write stores a version number and a checksum with
//! the payload and keeps the previous intact version in a second file. Opening a file reports whether its
//! record is intact, recovered from the previous version, without a header, damaged or absent. The payload is
//! opaque to this crate.
//!
//! [`RecordFile`] writes synchronously. [`RecordWriter`] writes on a background thread, for callers that must not
//! block on the disk.

#![forbid(unsafe_code)]

mod memory;
mod record;
mod record_file;
mod storage;
mod writer;

pub use memory::{Loss, MemoryStorage};
pub use record::{MAX_PAYLOAD_BYTES, Record, RecordError, decode, encode};
pub use record_file::{FileContents, RecordFile};
pub use storage::{FileSystem, Storage};
pub use writer::{Counters, RecordWriter};
