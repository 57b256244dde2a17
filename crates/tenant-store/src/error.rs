//! Errors of the store, and the conversion of database errors into them.

use std::io;
use std::path::PathBuf;

use crate::checksummed::DamagedValue;
use crate::format::FORMAT;

/// Why the store can't be opened, read or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// An operation of the database failed, or the database detected that its file is damaged.
    #[error("{context}: {source}")]
    Database {
        /// What failed, as a message such as "the audit trail can't be read".
        context: &'static str,
        /// The error of the database.
        source: Box<redb::Error>,
    },
    /// The database panicked while it opened the file, so the file must be damaged. Contains the panic message.
    #[error("the tenant store is damaged: {0}")]
    Unreadable(String),
    /// A stored value does not match its checksum or can't be parsed.
    #[error("the tenant store is damaged: {0}")]
    Damaged(#[from] DamagedValue),
    /// The tables contradict each other, or a change or snapshot does not fit the store's content.
    #[error("the tenant store is damaged: {0}")]
    Inconsistent(String),
    /// The store was written by a later version of the program, in a format that this one can't read.
    #[error("the tenant store has format {found}; this program reads up to {FORMAT}")]
    NewerFormat {
        /// The store's format version.
        found: u64,
    },
    /// An operation failed with an I/O error, and the file could not be reopened since.
    #[error("the tenant store is unavailable: its file could not be reopened after an I/O error")]
    Unavailable,
    /// A value can't be serialized as JSON, or the JSON of a value of format 1 can't be parsed in a
    /// migration.
    #[error("a value can't be converted to or from JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// The directory of the file can't be created.
    #[error("the directory of the tenant store {path} can't be created: {source}")]
    File {
        /// The path of the store's file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
}

impl StoreError {
    /// Returns whether a retry may succeed: an I/O operation failed, or the file could not be reopened after
    /// one. Other errors are treated as permanent.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Database { source, .. } => matches!(**source, redb::Error::Io(_) | redb::Error::PreviousIo),
            Self::File { .. } | Self::Unavailable => true,
            _ => false,
        }
    }
}

/// Adds a message to the errors of database operations.
pub(crate) trait DatabaseResult<T> {
    /// Converts an error into a [`StoreError::Database`] with the message `context`.
    fn context(self, context: &'static str) -> Result<T, StoreError>;
}

impl<T, E: Into<redb::Error>> DatabaseResult<T> for Result<T, E> {
    fn context(self, context: &'static str) -> Result<T, StoreError> {
        self.map_err(|error| StoreError::Database { context, source: Box::new(error.into()) })
    }
}
