//! A client's request: its fields, parsed and checked.

use crate::frames::{Fields, FieldsError, MAX_BODY_BYTES};

/// A request, with the fields of the platform's protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The class.
    pub class: &'a str,
    /// Its id: 16 hex digits.
    pub id: &'a str,
    /// How long the client waits, milliseconds.
    pub timeout_ms: f64,
    /// The function: 16 hex digits.
    pub function: &'a str,
    /// The tenant, where there are tenants.
    pub tenant: Option<&'a str>,
    /// The idempotency key of a keyed class, by which invokers drop repeats: forwarded as it is.
    pub idempotency_key: Option<&'a str>,
    /// Whether the client marks it as a repeat.
    pub repeat: bool,
    /// Its expected service time, milliseconds.
    pub service_time_ms: Option<f64>,
    /// Memory of one replica, MB.
    pub memory_mb: Option<f64>,
    /// Requests that one replica runs at once.
    pub lanes: Option<u32>,
    /// The typical time of a load, milliseconds.
    pub load_ms: Option<f64>,
    /// The body.
    pub body: &'a [u8],
}

/// Why a request can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// Its fields can't be read.
    #[error("{0}")]
    Fields(#[from] FieldsError),
    /// A field is missing.
    #[error("the field {0} is missing")]
    Missing(&'static str),
    /// A field is not 16 hex digits.
    #[error("the field {0} is not 16 hex digits")]
    InvalidId(&'static str),
    /// A number can't be parsed, or is out of its range.
    #[error("the figure {0} is not a number in its range")]
    InvalidNumber(&'static str),
    /// The body is over [`MAX_BODY_BYTES`].
    #[error("the body is longer than 16384 bytes")]
    BodyTooLong,
}

/// Longest wait of a client and longest load, milliseconds: a day.
const MAX_MS: f64 = 86_400_000.0;
/// Greatest memory of a replica, MB: a tebibyte.
const MAX_MB: f64 = 1_048_576.0;
/// Most lanes of a replica.
const MAX_LANES: u32 = 4_096;

impl<'a> Request<'a> {
    /// Parses a request's payload.
    ///
    /// # Errors
    /// The first field that is missing or wrong.
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
            repeat: fields.get("rep").is_some_and(|value| value != "0" && value != "false"),
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
                // Values for other services.
                _ => {}
            }
        }
        Ok(request)
    }
}

/// Whether it is 16 hex digits in lower case.
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// A number above 0 and at most `max`, in plain decimal digits.
fn number(name: &'static str, text: &str, max: f64) -> Result<f64, RequestError> {
    let plain = text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = if plain { text.parse::<f64>().ok() } else { None };
    value.filter(|v| *v > 0.0 && *v <= max).ok_or(RequestError::InvalidNumber(name))
}
