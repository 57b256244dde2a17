//! Why the store can't be used or a change not be committed.

use std::io;
use std::path::PathBuf;

use crate::checksummed::DamagedValue;
use crate::format::FORMAT;

/// Why the store can't be used or a change not be committed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The database failed, or found itself damaged.
    #[error("{context}: {source}")]
    Database {
        /// What was tried.
        context: &'static str,
        /// Why it failed.
        source: Box<redb::Error>,
    },
    /// The database panicked over what it found: the file is damaged.
    #[error("the tenant store is damaged: {0}")]
    Unreadable(String),
    /// A value is not what was written.
    #[error("the tenant store is damaged: {0}")]
    Damaged(#[from] DamagedValue),
    /// Its tables do not fit each other.
    #[error("the tenant store is damaged: {0}")]
    Inconsistent(String),
    /// A later program wrote it.
    #[error("the tenant store has format {found}; this program reads up to {FORMAT}")]
    NewerFormat {
        /// Its format.
        found: u64,
    },
    /// Its file has failed, and could not be reopened yet.
    #[error("the tenant store can't be used just now: its file has failed")]
    Unavailable,
    /// A value can't be encoded.
    #[error("a value can't be written: {0}")]
    Encode(#[from] serde_json::Error),
    /// The file can't be opened or created.
    #[error("the tenant store {path}: {source}")]
    File {
        /// The file.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
}

impl StoreError {
    /// May a retry succeed, as the file could not be read or written just now? Else its content is wrong.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Database { source, .. } => matches!(**source, redb::Error::Io(_) | redb::Error::PreviousIo),
            Self::File { .. } | Self::Unavailable => true,
            _ => false,
        }
    }
}

/// Adds to an error of the database what was tried.
pub(crate) trait DatabaseResult<T> {
    /// Says of an error what was tried.
    fn context(self, context: &'static str) -> Result<T, StoreError>;
}

impl<T, E: Into<redb::Error>> DatabaseResult<T> for Result<T, E> {
    fn context(self, context: &'static str) -> Result<T, StoreError> {
        self.map_err(|error| StoreError::Database { context, source: Box::new(error.into()) })
    }
}
