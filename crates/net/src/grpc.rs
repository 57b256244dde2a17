//! Encoding of gRPC headers and trailers: status codes, `grpc-timeout`, percent-encoded `grpc-message` and
//! `-bin` values, as specified in "gRPC over HTTP2" and in the gRPC documentation of status codes.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use http::{HeaderMap, HeaderValue};
use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

/// gRPC status codes with their standard numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Code {
    /// The call succeeded.
    Ok = 0,
    /// The call was cancelled, usually by the caller.
    Cancelled = 1,
    /// An error without a more specific or known code.
    Unknown = 2,
    /// The request is invalid, whatever the state of the system.
    InvalidArgument = 3,
    /// The deadline expired before the call was completed.
    DeadlineExceeded = 4,
    /// The requested entity does not exist.
    NotFound = 5,
    /// The entity to be created exists already.
    AlreadyExists = 6,
    /// The caller is not permitted to perform the call.
    PermissionDenied = 7,
    /// A quota or another resource is exhausted.
    ResourceExhausted = 8,
    /// The state of the system does not allow the call.
    FailedPrecondition = 9,
    /// The call was aborted, for instance by a concurrency conflict.
    Aborted = 10,
    /// An argument is outside the valid range.
    OutOfRange = 11,
    /// The method is not implemented or not supported.
    Unimplemented = 12,
    /// An internal error of the server.
    Internal = 13,
    /// The service is unavailable; a retry may help.
    Unavailable = 14,
    /// Data was lost or corrupted unrecoverably.
    DataLoss = 15,
    /// The caller has no valid credentials.
    Unauthenticated = 16,
}

impl Code {
    /// The code with this number; an unassigned number is [`Code::Unknown`], as the specification requires.
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

    /// The name in the gRPC documentation, such as `NOT_FOUND`.
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

/// The status of a call, as sent in trailers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Value of `grpc-status`: one of the standard codes.
    pub code: Code,
    /// Value of `grpc-message`, percent-decoded.
    pub message: String,
}

impl Status {
    /// A status with a message, which may be empty.
    pub fn new(code: Code, message: impl Into<String>) -> Self {
        Self { code, message: message.into() }
    }

    /// Reads the status from trailers, or from the headers of a Trailers-Only response. `None` if there is no
    /// `grpc-status`; one that is not a number is [`Code::Unknown`].
    pub fn read(trailers: &HeaderMap) -> Option<Self> {
        let number = trailers.get("grpc-status")?.to_str().ok()?.trim().parse::<i64>().unwrap_or(-1);
        let message = trailers.get("grpc-message").and_then(|v| v.to_str().ok()).unwrap_or("");
        let message = percent_decode_str(message).decode_utf8_lossy().into_owned();
        Some(Self { code: Code::from_number(number), message })
    }

    /// The trailers of this status; an empty message is omitted.
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

/// Characters to percent-encode in `grpc-message`: control characters and the percent sign; non-ASCII is
/// always encoded.
const MESSAGE: &AsciiSet = &CONTROLS.add(b'%');

/// Maximum size of a sent `grpc-message` in bytes before encoding, because peers limit the size of header
/// lists.
pub const MAX_MESSAGE_BYTES: usize = 1024;

/// Percent-encodes a `grpc-message`, truncated at a character boundary to at most [`MAX_MESSAGE_BYTES`]
/// bytes.
pub fn encode_message(message: &str) -> String {
    let mut end = message.len().min(MAX_MESSAGE_BYTES);
    while !message.is_char_boundary(end) {
        end -= 1;
    }
    utf8_percent_encode(&message[..end], MESSAGE).to_string()
}

/// Parses a `grpc-timeout`: one to eight digits and a unit (H M S m u n). `None` if it is malformed.
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

/// Formats a `grpc-timeout`, rounded down, in the finest of microseconds, milliseconds, seconds and hours
/// that fits into eight digits.
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

/// Encodes a `-bin` header value as unpadded base64. `None` only if that is not a valid header value.
pub fn write_binary(bytes: &[u8]) -> Option<HeaderValue> {
    HeaderValue::from_str(&STANDARD_NO_PAD.encode(bytes)).ok()
}

/// Decodes a `-bin` header value with or without padding. `None` if it is not valid base64.
pub fn read_binary(value: &HeaderValue) -> Option<Vec<u8>> {
    let text = value.to_str().ok()?;
    STANDARD_NO_PAD.decode(text).or_else(|_| STANDARD.decode(text)).ok()
}

#[cfg(test)]
mod tests;
