//! Errors in the simulator's input.

use nettleferry::SettingsError;
use nettleferry_platform_settings::FieldError as SettingsFieldError;

/// Why a line can't be answered.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// Standard input or output failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The line is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A field of the batch is missing or invalid.
    #[error("{0}")]
    Batch(&'static str),
    /// An event of the batch is malformed.
    #[error("event {number}: {error}")]
    Event {
        /// The event's number within the batch, from 1.
        number: usize,
        /// The error in the event.
        error: EventError,
    },
}

/// Why an event is malformed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EventError {
    /// The event is not an array.
    #[error("not an array")]
    NotAnArray,
    /// The first value of the array is not a string.
    #[error("name is missing or not a string")]
    NoName,
    /// There is no event of this name.
    #[error("{0}: no such event")]
    UnknownEvent(String),
    /// The event that starts a controller has no settings object.
    #[error("ENLIST: no object in info")]
    NoInfo,
    /// The settings of a controller can't be parsed.
    #[error("ENLIST: {0}")]
    Settings(#[from] SettingsFieldError),
    /// The settings of a controller are invalid.
    #[error("ENLIST: {0}")]
    Controller(#[from] SettingsError),
    /// A field is missing or invalid.
    #[error("{event}: {field} {error}")]
    Field {
        /// The event's name.
        event: String,
        /// The field's name.
        field: &'static str,
        /// The error in the field.
        error: FieldError,
    },
}

/// Why a field is invalid.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FieldError {
    /// The array ends before the field.
    #[error("is missing (the array is too short)")]
    Missing,
    /// The value does not have the expected type, which is given here.
    #[error("is not {0}")]
    NotA(&'static str),
    /// The value is not a keyword of the wire format.
    #[error("is unknown")]
    UnknownKeyword,
    /// The value is not a number of the wire format.
    #[error("{0} is unknown")]
    UnknownNumber(u64),
    /// The settings have no request class of this name.
    #[error("is not a known class")]
    UnknownClass,
    /// An entry of the worker list is not an array.
    #[error("hold an entry that is not an array")]
    EntryNotAnArray,
    /// An entry of the worker list is malformed.
    #[error("{0}")]
    Entry(Box<EventError>),
}
