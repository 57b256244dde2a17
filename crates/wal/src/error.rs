//! Errors of the log.

use std::io;

/// Longest payload of a record, bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Why a record was not appended, or the log could not be opened.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The record is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("a record of {bytes} bytes; at most {} are kept", MAX_PAYLOAD_BYTES)]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The storage failed.
    #[error("the storage of the write-ahead log: {0}")]
    Io(#[from] io::Error),
}
