//! Parsing and validation of a client's request.

use crate::frames::{Fields, FieldsError, MAX_BODY_BYTES};

/// A valid request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// Name of the request's class.
    pub class: &'a str,
    /// The request's id, 16 lower-case hex digits.
    pub id: &'a str,
    /// Time that the client waits for the answer, in milliseconds.
    pub timeout_ms: f64,
    /// Id of the function, 16 lower-case hex digits.
    pub function: &'a str,
    /// Name of the tenant. `None` if the request names no tenant.
    pub tenant: Option<&'a str>,
    /// The idempotency key, by which invokers drop repeats of requests of a keyed class. It is forwarded unchanged.
    pub idempotency_key: Option<&'a str>,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The expected service time in milliseconds, if the client states one.
    pub service_time_ms: Option<f64>,
    /// Memory of one replica of the function, in MB.
    pub memory_mb: Option<f64>,
    /// Number of requests that one replica runs concurrently.
    pub lanes: Option<u32>,
    /// The typical duration of a load of the function, in milliseconds.
    pub load_ms: Option<f64>,
    /// The request's body, at most [`MAX_BODY_BYTES`] long.
    pub body: &'a [u8],
}

/// Why a request is invalid. The client receives the error's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The fields can't be parsed.
    #[error("{0}")]
    Fields(#[from] FieldsError),
    /// A required field is missing.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// A field is not an id of 16 lower-case hex digits.
    #[error("the field {0} is not 16 hex digits")]
    InvalidId(&'static str),
    /// A number can't be parsed or is out of its range, or a tag has no value.
    #[error("the figure {0} is not a number in its range")]
    InvalidNumber(&'static str),
    /// The body is longer than [`MAX_BODY_BYTES`].
    #[error("the body is longer than 16384 bytes")]
    BodyTooLong,
}

/// Upper bound of all durations in a request, in milliseconds: one day.
const MAX_MS: f64 = 86_400_000.0;
/// Upper bound of a replica's memory in MB: one tebibyte.
const MAX_MB: f64 = 1_048_576.0;
/// Upper bound of the lanes of a replica.
const MAX_LANES: u32 = 4_096;

impl<'a> Request<'a> {
    /// Parses and validates the payload of a request frame.
    ///
    /// # Errors
    /// Fails at the first field that is missing or invalid, or if the body is too long.
    pub fn parse(payload: &'a [u8]) -> Result<Self, RequestError> {
        let (fields, body) = Fields::read(payload)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(RequestError::BodyTooLong);
        }
        let required = |name| fields.get(name).ok_or(RequestError::Missing(name));
        let id = |name| {
            Some(required(name)).transpose().and_then(|value| match value {
                Some(value) if is_id(value) => Ok(value),
                _ => Err(RequestError::InvalidId(name)),
            })
        };
        let timeout_ms = number("ttl", required("ttl")?, MAX_MS)?;
        let mut request = Self {
            class: required("op")?,
            id: id("call")?,
            timeout_ms,
            function: id("row")?,
            tenant: fields.get("org"),
            idempotency_key: fields.get("dedupe"),
            is_retry: fields.get("rep").is_some_and(|value| value != "0" && value != "false"),
            service_time_ms: fields.get("work").map(|value| number("work", value, MAX_MS)).transpose()?,
            memory_mb: None,
            lanes: None,
            load_ms: None,
            body,
        };
        for part in fields.get("tags").unwrap_or("").split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(RequestError::InvalidNumber("tags"))?;
            match name {
                "memory_mb" => request.memory_mb = Some(number("memory_mb", value, MAX_MB)?),
                "load_ms" => request.load_ms = Some(number("load_ms", value, MAX_MS)?),
                "lanes" => {
                    let lanes = value.parse().ok().filter(|n| (1..=MAX_LANES).contains(n));
                    request.lanes = Some(lanes.ok_or(RequestError::InvalidNumber("lanes"))?);
                }
                // The tag is meant for another service.
                _ => {}
            }
        }
        Ok(request)
    }
}

/// Returns whether the text consists of 16 lower-case hex digits.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// Parses a number greater than 0 and at most `max`. Only decimal digits and a point are accepted, without a sign or an
/// exponent.
fn number(name: &'static str, text: &str, max: f64) -> Result<f64, RequestError> {
    let is_decimal = text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = if is_decimal { text.parse::<f64>().ok() } else { None };
    value.filter(|value| *value > 0.0 && *value <= max).ok_or(RequestError::InvalidNumber(name))
}
