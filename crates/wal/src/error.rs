//! Why a record is not kept.

use std::io;

/// Longest payload of a record, bytes.
pub const MOST_PAYLOAD: usize = 1 << 20;

/// Why a record was not kept.
#[derive(Debug, thiserror::Error)]
pub enum WalError {
    /// It is longer than any may be.
    #[error("a record of {bytes} bytes; at most {} are kept", MOST_PAYLOAD)]
    TooLong {
        /// Its length.
        bytes: usize,
    },
    /// The disk refused.
    #[error("the spool's disk: {0}")]
    Io(#[from] io::Error),
}
