//! Typed access to the fields of an event by array index.

use nettleferry::{Micros, Outcome, Report, RequestId};
use serde_json::Value;

use super::error::{EventError, FieldError};
use super::micros;

/// Number of hexadecimal digits in a request id.
const REQUEST_ID_DIGITS: usize = 16;

/// The fields of an event, or of an entry of the worker list.
pub(crate) struct Fields<'a> {
    /// The name used in error messages.
    pub(crate) name: &'a str,
    /// The complete array, including the event's name.
    pub(crate) parts: &'a [Value],
}

impl Fields<'_> {
    /// Creates an error for a field of this event.
    pub(super) fn error(&self, field: &'static str, error: FieldError) -> EventError {
        EventError::Field { event: self.name.to_string(), field, error }
    }

    pub(super) fn get(&self, index: usize, field: &'static str) -> Result<&Value, EventError> {
        self.parts.get(index).ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// Returns a non-negative integer.
    pub(crate) fn integer(&self, index: usize, field: &'static str) -> Result<u64, EventError> {
        let value = self.get(index, field)?;
        value.as_u64().ok_or_else(|| self.error(field, FieldError::NotA("a non-negative whole number")))
    }

    /// Returns a non-negative integer, or `None` for null.
    pub(super) fn optional_integer(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<u64>, EventError> {
        match self.get(index, field)? {
            Value::Null => Ok(None),
            _ => self.integer(index, field).map(Some),
        }
    }

    pub(super) fn text(&self, index: usize, field: &'static str) -> Result<&str, EventError> {
        self.get(index, field)?.as_str().ok_or_else(|| self.error(field, FieldError::NotA("a string")))
    }

    pub(super) fn boolean(&self, index: usize, field: &'static str) -> Result<bool, EventError> {
        self.get(index, field)?.as_bool().ok_or_else(|| self.error(field, FieldError::NotA("true or false")))
    }

    /// Returns a time or duration, which the wire format has in milliseconds.
    pub(super) fn time(&self, index: usize, field: &'static str) -> Result<Micros, EventError> {
        micros(self.get(index, field)?).ok_or_else(|| self.error(field, FieldError::NotA("a time")))
    }

    /// Returns a time or duration, or `None` for null.
    pub(super) fn optional_time(
        &self,
        index: usize,
        field: &'static str,
    ) -> Result<Option<Micros>, EventError> {
        match self.get(index, field)? {
            Value::Null => Ok(None),
            _ => self.time(index, field).map(Some),
        }
    }

    /// Returns the request id, which is the third value of every event about a request.
    pub(super) fn request_id(&self) -> Result<RequestId, EventError> {
        let text = self.text(2, "ticket")?;
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let valid = text.len() == REQUEST_ID_DIGITS && text.bytes().all(digit);
        let id = if valid { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.error("ticket", FieldError::NotA("16 hex digits")))
    }

    /// Returns a load report, or `None` for null.
    pub(super) fn report(&self, index: usize) -> Result<Option<Report>, EventError> {
        let map = match self.get(index, "report")? {
            Value::Null => return Ok(None),
            Value::Object(map) => map,
            _ => return Err(self.error("report", FieldError::NotA("an object"))),
        };
        let value = |key: &str| map.get(key).and_then(Value::as_f64);
        Ok(Some(Report {
            inflight: value("rif"),
            queue: value("q"),
            util: value("busy"),
            memory_held: value("x0"),
            loads: value("x1"),
        }))
    }

    /// Returns the outcome of an attempt, a probe or a load order.
    pub(super) fn outcome(&self, index: usize) -> Result<Outcome, EventError> {
        Ok(match self.integer(index, "verdict")? {
            1 => Outcome::Ok,
            2 => Outcome::Error,
            3 => Outcome::Rejected,
            4 => Outcome::Timeout,
            5 => Outcome::ConnectFailed,
            6 => Outcome::Reset,
            7 => Outcome::Cancelled,
            8 => Outcome::NeverSent,
            9 => Outcome::NotLoaded,
            other => return Err(self.error("verdict", FieldError::UnknownCode(other))),
        })
    }
}
