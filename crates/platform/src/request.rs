//! A client's request: its fields, read and checked. What is not sound is the client's fault, and says why.

use crate::frames::{Fields, FieldsError, MOST_BODY};

/// A request as the platform words it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request<'a> {
    /// The class.
    pub op: &'a str,
    /// Its id: 16 hex digits.
    pub call: &'a str,
    /// How long the client waits, milliseconds.
    pub ttl_ms: f64,
    /// The function: 16 hex digits.
    pub row: &'a str,
    /// The tenant, where there are tenants.
    pub org: Option<&'a str>,
    /// The key by which invokers drop repeats, of a keyed class: passed on as it is.
    pub dedupe: Option<&'a str>,
    /// The client marks it as a repeat.
    pub repeat: bool,
    /// The work that it is thought to need, milliseconds.
    pub work_ms: Option<f64>,
    /// Memory of one copy, MB.
    pub memory_mb: Option<f64>,
    /// Requests that one copy runs at once.
    pub lanes: Option<u32>,
    /// The usual time of a load, milliseconds.
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
    NotId(&'static str),
    /// A figure is no number, or out of its range.
    #[error("the figure {0} is not a number in its range")]
    Figure(&'static str),
    /// The body is over [`MOST_BODY`].
    #[error("the body is longer than 16384 bytes")]
    Body,
}

/// The longest that a client may say it waits or a load takes, milliseconds: a day.
const MOST_MS: f64 = 86_400_000.0;
/// The greatest memory of a copy, MB: a tebibyte.
const MOST_MB: f64 = 1_048_576.0;
/// The most lanes of a copy.
const MOST_LANES: u32 = 4_096;

impl<'a> Request<'a> {
    /// Reads a request's payload.
    pub fn read(payload: &'a [u8]) -> Result<Self, RequestError> {
        let (fields, body) = Fields::read(payload)?;
        if body.len() > MOST_BODY {
            return Err(RequestError::Body);
        }
        let want = |name| fields.get(name).ok_or(RequestError::Missing(name));
        let id = |name| {
            Some(want(name)).transpose().and_then(|value| match value {
                Some(value) if is_id(value) => Ok(value),
                _ => Err(RequestError::NotId(name)),
            })
        };
        let ttl_ms = figure("ttl", want("ttl")?, MOST_MS)?;
        let mut request = Self {
            op: want("op")?,
            call: id("call")?,
            ttl_ms,
            row: id("row")?,
            org: fields.get("org"),
            dedupe: fields.get("dedupe"),
            repeat: fields.get("rep").is_some_and(|value| value != "0" && value != "false"),
            work_ms: fields.get("work").map(|value| figure("work", value, MOST_MS)).transpose()?,
            memory_mb: None,
            lanes: None,
            load_ms: None,
            body,
        };
        for part in fields.get("tags").unwrap_or("").split(';').filter(|part| !part.is_empty()) {
            let (name, value) = part.split_once(':').ok_or(RequestError::Figure("tags"))?;
            match name {
                "memory_mb" => request.memory_mb = Some(figure("memory_mb", value, MOST_MB)?),
                "load_ms" => request.load_ms = Some(figure("load_ms", value, MOST_MS)?),
                "lanes" => {
                    let lanes = value.parse().ok().filter(|n| (1..=MOST_LANES).contains(n));
                    request.lanes = Some(lanes.ok_or(RequestError::Figure("lanes"))?);
                }
                // Figures of other services: nothing here uses them.
                _ => {}
            }
        }
        Ok(request)
    }
}

/// 16 hex digits?
fn is_id(text: &str) -> bool {
    text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
}

/// A figure above 0 and at most `most`, in plain decimal digits.
fn figure(name: &'static str, text: &str, most: f64) -> Result<f64, RequestError> {
    let plain = text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let value = if plain { text.parse::<f64>().ok() } else { None };
    value.filter(|v| *v > 0.0 && *v <= most).ok_or(RequestError::Figure(name))
}
