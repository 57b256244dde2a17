//! The values of one event, by their index in the array.

use nettleferry::{Micros, Outcome, Report, RequestId};
use serde_json::Value;

use super::error::{EventError, FieldError};
use super::micros;

/// Hexadecimal digits of a request's id.
const TICKET_DIGITS: usize = 16;

/// The values of one event, or of one entry of the worker list.
pub(crate) struct Fields<'a> {
    /// Its name.
    pub(crate) name: &'a str,
    /// The complete array.
    pub(crate) parts: &'a [Value],
}

impl Fields<'_> {
    /// What is wrong with a field of this event.
    pub(super) fn error(&self, field: &'static str, error: FieldError) -> EventError {
        EventError::Field { event: self.name.to_string(), field, error }
    }

    pub(super) fn get(&self, index: usize, field: &'static str) -> Result<&Value, EventError> {
        self.parts.get(index).ok_or_else(|| self.error(field, FieldError::Missing))
    }

    /// A whole number of at least 0.
    pub(crate) fn integer(&self, index: usize, field: &'static str) -> Result<u64, EventError> {
        let value = self.get(index, field)?;
        value.as_u64().ok_or_else(|| self.error(field, FieldError::NotA("a whole number")))
    }

    /// A whole number of at least 0, or null.
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
        self.get(index, field)?.as_str().ok_or_else(|| self.error(field, FieldError::NotA("a text")))
    }

    pub(super) fn boolean(&self, index: usize, field: &'static str) -> Result<bool, EventError> {
        self.get(index, field)?.as_bool().ok_or_else(|| self.error(field, FieldError::NotA("true or false")))
    }

    /// A time or span, on the wire in milliseconds.
    pub(super) fn time(&self, index: usize, field: &'static str) -> Result<Micros, EventError> {
        micros(self.get(index, field)?).ok_or_else(|| self.error(field, FieldError::NotA("a time")))
    }

    /// A time or span, or null.
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

    /// The request's id, the third field of all events of a request.
    pub(super) fn ticket(&self) -> Result<RequestId, EventError> {
        let text = self.text(2, "ticket")?;
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        let valid = text.len() == TICKET_DIGITS && text.bytes().all(digit);
        let id = if valid { u64::from_str_radix(text, 16).ok() } else { None };
        id.map(RequestId).ok_or_else(|| self.error("ticket", FieldError::NotA("16 hex digits")))
    }

    /// A load report, or null.
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

    /// How an attempt, a probe or an order ended.
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
            other => return Err(self.error("verdict", FieldError::UnknownNumber(other))),
        })
    }
}
