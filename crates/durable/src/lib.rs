//! Small records that survive a loss of power: each whole under a version and a checksum, the good one before
//! held beside, and read back as sound, older, unsealed, damaged or absent. What is in them is the owner's.
//!
//! [`RecordFile`] writes and waits for the disk; [`RecordWriter`] is the thread that does so for those who may not wait.

mod memory;
mod record;
mod record_file;
mod storage;
mod writer;

pub use memory::{Loss, MemoryStorage};
pub use record::{MAX_BYTES, Record, RecordError, decode, encode};
pub use record_file::{Found, RecordFile};
pub use storage::{FileSystem, Storage};
pub use writer::{Counters, RecordWriter};
