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
    /// The wire format has no event with the name that was read.
    #[error("{0}: no such event")]
    UnknownEvent(String),
    /// The event that starts a controller has no settings object.
    #[error("ENLIST: info is missing or not an object")]
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
        /// Name of the event, or `entry` for an entry of the worker list.
        event: String,
        /// Name of the field in the wire format.
        field: &'static str,
        /// The reason why the field is invalid; completes a sentence that begins with the field's name.
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
    /// The text is not a keyword that the wire format permits here.
    #[error("is not a known keyword: {0:?}")]
    UnknownKeyword(String),
    /// The number is not a code that the wire format permits here.
    #[error("is not a known code: {0}")]
    UnknownCode(u64),
    /// The controller's settings have no request class with the given name.
    #[error("is not a class of the settings: {0:?}")]
    UnknownClass(String),
    /// An entry of the worker list is not an array.
    #[error("hold an entry that is not an array")]
    EntryNotAnArray,
    /// An entry of the worker list is malformed.
    #[error("{0}")]
    Entry(Box<EventError>),
}
