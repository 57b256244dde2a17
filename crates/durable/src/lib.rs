//! Small records that survive a loss of power: each is written completely, with a version and a checksum, beside the
//! intact one before it, and read back as intact, older, unframed, damaged or absent. What a record contains is left
//! to its owner.
//!
//! [`RecordFile`] writes and waits for the disk; [`RecordWriter`] is the thread that does so for threads that must not
//! wait.

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
