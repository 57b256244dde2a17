//! Headers of the gRPC wire: status codes, `grpc-timeout`, percent-encoded `grpc-message`, `-bin` values.
//! Source: "gRPC over HTTP2" and the status code page of gRPC.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use http::{HeaderMap, HeaderValue};
use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

/// gRPC status codes, by their published numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// Success.
    Ok = 0,
    /// Cancelled, usually by the caller.
    Cancelled = 1,
    /// An error without a known code.
    Unknown = 2,
    /// The request itself is wrong.
    InvalidArgument = 3,
    /// The deadline has passed.
    DeadlineExceeded = 4,
    /// There is no such thing.
    NotFound = 5,
    /// It is there already.
    AlreadyExists = 6,
    /// The caller has no right to it.
    PermissionDenied = 7,
    /// A quota or another resource is used up.
    ResourceExhausted = 8,
    /// The state of the system does not allow it.
    FailedPrecondition = 9,
    /// Aborted, as by a conflict.
    Aborted = 10,
    /// Beyond the valid range.
    OutOfRange = 11,
    /// There is no such method.
    Unimplemented = 12,
    /// An error of the server.
    Internal = 13,
    /// The service is unavailable; a retry may help.
    Unavailable = 14,
    /// Data is lost or corrupt.
    DataLoss = 15,
    /// The caller has no valid credentials.
    Unauthenticated = 16,
}

impl Code {
    /// The code of a number; what is none is `Unknown`, as the specification asks.
    pub fn from_number(number: i64) -> Self {
        use Code::*;
        match number {
            0 => Ok,
            1 => Cancelled,
            3 => InvalidArgument,
            4 => DeadlineExceeded,
            5 => NotFound,
            6 => AlreadyExists,
            7 => PermissionDenied,
            8 => ResourceExhausted,
            9 => FailedPrecondition,
            10 => Aborted,
            11 => OutOfRange,
            12 => Unimplemented,
            13 => Internal,
            14 => Unavailable,
            15 => DataLoss,
            16 => Unauthenticated,
            _ => Unknown,
        }
    }

    /// The name as published.
    pub fn name(self) -> &'static str {
        use Code::*;
        match self {
            Ok => "OK",
            Cancelled => "CANCELLED",
            Unknown => "UNKNOWN",
            InvalidArgument => "INVALID_ARGUMENT",
            DeadlineExceeded => "DEADLINE_EXCEEDED",
            NotFound => "NOT_FOUND",
            AlreadyExists => "ALREADY_EXISTS",
            PermissionDenied => "PERMISSION_DENIED",
            ResourceExhausted => "RESOURCE_EXHAUSTED",
            FailedPrecondition => "FAILED_PRECONDITION",
            Aborted => "ABORTED",
            OutOfRange => "OUT_OF_RANGE",
            Unimplemented => "UNIMPLEMENTED",
            Internal => "INTERNAL",
            Unavailable => "UNAVAILABLE",
            DataLoss => "DATA_LOSS",
            Unauthenticated => "UNAUTHENTICATED",
        }
    }
}

/// A status as it stands in trailers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// `grpc-status`.
    pub code: Code,
    /// `grpc-message`, decoded.
    pub message: String,
}

impl Status {
    /// A status with a message.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// Reads the status of trailers, or of a trailers-only answer. None: there is no `grpc-status`.
    pub fn read(trailers: &HeaderMap) -> Option<Self> {
        let number = trailers.get("grpc-status")?.to_str().ok()?.trim().parse::<i64>().unwrap_or(-1);
        let message = trailers.get("grpc-message").and_then(|v| v.to_str().ok()).unwrap_or("");
        let message = percent_decode_str(message).decode_utf8_lossy().into_owned();
        Some(Self { code: Code::from_number(number), message })
    }

    /// As trailers.
    pub fn trailers(&self) -> HeaderMap {
        let mut map = HeaderMap::with_capacity(4);
        map.insert("grpc-status", HeaderValue::from(self.code as u16));
        if !self.message.is_empty()
            && let Ok(value) = HeaderValue::from_str(&encode_message(&self.message))
        {
            map.insert("grpc-message", value);
        }
        map
    }
}

/// All but printable ASCII, and the percent sign.
const MESSAGE: &AsciiSet = &CONTROLS.add(b'%');

/// Longest `grpc-message` sent, in bytes before encoding: header lists are bounded at the other side too.
pub const MAX_MESSAGE_BYTES: usize = 1024;

/// Percent-encodes a `grpc-message`, cut at a character to [`MAX_MESSAGE_BYTES`] bytes.
pub fn encode_message(message: &str) -> String {
    let mut end = message.len().min(MAX_MESSAGE_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    utf8_percent_encode(&message[..end], MESSAGE).to_string()
}

/// Reads a `grpc-timeout`: up to eight digits and a unit (H M S m u n).
pub fn read_timeout(value: &str) -> Option<Duration> {
    let (digits, unit) = value.split_at_checked(value.len().checked_sub(1)?)?;
    if digits.is_empty() || digits.len() > 8 || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let n: u64 = digits.parse().ok()?;
    Some(match unit {
        "H" => Duration::from_secs(n * 3600),
        "M" => Duration::from_secs(n * 60),
        "S" => Duration::from_secs(n),
        "m" => Duration::from_millis(n),
        "u" => Duration::from_micros(n),
        "n" => Duration::from_nanos(n),
        _ => return None,
    })
}

/// Writes a `grpc-timeout` in the finest unit that eight digits hold, rounded down.
pub fn write_timeout(span: Duration) -> String {
    const MAX: u128 = 99_999_999;
    for (unit, value) in [("u", span.as_micros()), ("m", span.as_millis()), ("S", u128::from(span.as_secs()))]
    {
        if value <= MAX {
            return format!("{value}{unit}");
        }
    }
    format!("{}H", (u128::from(span.as_secs()) / 3600).min(MAX))
}

/// A `-bin` header value.
pub fn write_binary(bytes: &[u8]) -> Option<HeaderValue> {
    HeaderValue::from_str(&STANDARD_NO_PAD.encode(bytes)).ok()
}

/// Reads a `-bin` header value, padded or not.
pub fn read_binary(value: &HeaderValue) -> Option<Vec<u8>> {
    let text = value.to_str().ok()?;
    STANDARD_NO_PAD.decode(text).or_else(|_| STANDARD.decode(text)).ok()
}

#[cfg(test)]
mod tests;
