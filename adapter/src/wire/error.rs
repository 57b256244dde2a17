//! What makes a line of the wire unusable.

use nettleferry::SettingsError;
use nettleferry_platform_settings::FieldError as SettingsFieldError;

/// Why a line has no reply.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The line is no JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The batch is incomplete.
    #[error("{0}")]
    Batch(&'static str),
    /// One of its events is malformed.
    #[error("event {number}: {error}")]
    Event {
        /// The event's number within the batch, from 1.
        number: usize,
        /// What is wrong with it.
        error: EventError,
    },
}

/// Why an event is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    /// It is no array.
    #[error("not an array")]
    NotAnArray,
    /// The array does not begin with a name.
    #[error("no name")]
    NoName,
    /// The name is unknown.
    #[error("{0}: no such event")]
    UnknownEvent(String),
    /// A controller starts without settings.
    #[error("ENLIST: no object in info")]
    NoInfo,
    /// A controller's settings can't be read.
    #[error("ENLIST: {0}")]
    Settings(#[from] SettingsFieldError),
    /// No controller can work with the settings.
    #[error("ENLIST: {0}")]
    Controller(#[from] SettingsError),
    /// A field is missing or is not what it must be.
    #[error("{event}: {field} {error}")]
    Field {
        /// The event's name.
        event: String,
        /// The field's name.
        field: &'static str,
        /// What is wrong with it.
        error: FieldError,
    },
}

/// Why a field can't be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    /// The array ends before it.
    #[error("is missing (the array is too short)")]
    Missing,
    /// It is of another kind than this.
    #[error("is not {0}")]
    NotA(&'static str),
    /// It is a keyword that the wire does not have.
    #[error("is unknown")]
    UnknownKeyword,
    /// It is a number that the wire does not have.
    #[error("{0} is unknown")]
    UnknownNumber(u64),
    /// It names a class that the settings do not have.
    #[error("names no class")]
    UnknownClass,
    /// An entry of the worker list is no array.
    #[error("hold an entry that is not an array")]
    EntryNotAnArray,
    /// An entry of the worker list is malformed.
    #[error("{0}")]
    Entry(Box<EventError>),
}
