//! Errors of the write-ahead log.

use std::io;

/// Maximum length of a record's payload, in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 1 << 20;

/// Why the log could not be opened, or an operation on it failed.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// The payload of a record is longer than [`MAX_PAYLOAD_BYTES`].
    #[error("record of {bytes} bytes is too long: at most {} bytes are allowed", MAX_PAYLOAD_BYTES)]
    TooLong {
        /// The length of the payload, in bytes.
        bytes: usize,
    },
    /// An operation of the storage failed.
    #[error("write-ahead log storage failed: {0}")]
    Io(#[from] io::Error),
}
