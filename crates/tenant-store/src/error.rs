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
        /// The operation that failed, as a message.
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
    /// The file has failed and could not be reopened since.
    #[error("the tenant store can't be used just now: its file has failed")]
    Unavailable,
    /// A value can't be serialized as JSON.
    #[error("a value can't be written: {0}")]
    Json(#[from] serde_json::Error),
    /// The directory of the file can't be created.
    #[error("the tenant store {path}: {source}")]
    File {
        /// The path of the store's file.
        path: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
}

impl StoreError {
    /// Whether a retry may succeed: the file could not be read or written for the moment. For all other errors the
    /// content of the file, or the change itself, is wrong.
    pub fn is_transient(&self) -> bool {
        match self {
            Self::Database { source, .. } => matches!(**source, redb::Error::Io(_) | redb::Error::PreviousIo),
            Self::File { .. } | Self::Unavailable => true,
            _ => false,
        }
    }
}

/// Converts results of the database.
pub(crate) trait DatabaseResult<T> {
    /// Converts an error into a [`StoreError`] with a message of the operation that failed.
    fn context(self, context: &'static str) -> Result<T, StoreError>;
}

impl<T, E: Into<redb::Error>> DatabaseResult<T> for Result<T, E> {
    fn context(self, context: &'static str) -> Result<T, StoreError> {
        self.map_err(|error| StoreError::Database { context, source: Box::new(error.into()) })
    }
}
