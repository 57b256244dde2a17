//! Commands to invokers and their answers, encoded as RESP arrays of bulk strings (`*N\r\n$LEN\r\n...\r\n`).

use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};

/// Number of parts of an answer: id, kind, fields and body.
pub const ANSWER_PARTS: usize = 4;
/// Maximum size of an answer's body in bytes. A longer body is an error.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum size of an answer's id, kind or fields in bytes.
pub const MAX_TEXT_BYTES: usize = 1 << 10;
/// Maximum number of digits of a count or a length.
const MAX_DIGITS: usize = 12;

/// Why the input is not a valid answer. The start of the next answer is then unknown, so the connection can't be used
/// any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A line with a count or a length has the wrong prefix or is not a number.
    #[error("line of a count or a length is malformed")]
    MalformedLine,
    /// The array does not have [`ANSWER_PARTS`] elements.
    #[error("answer has {0} parts instead of 4")]
    PartCount(u32),
    /// A part is longer than its limit.
    #[error("part of {0} bytes exceeds its limit")]
    PartTooLong(u64),
    /// A part is not followed by a terminator at its stated length.
    #[error("part is not terminated at its stated length")]
    MissingTerminator,
    /// An id, a kind or the fields are not UTF-8.
    #[error("id, kind or fields are not UTF-8")]
    InvalidUtf8,
}

/// An answer of an invoker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The id or the tag of the command that the invoker answers.
    pub id: String,
    /// Keyword of the answer's kind; see [`crate::answer::AnswerKind::parse`].
    pub kind: String,
    /// The answer's fields, or `-` if there are none; see [`crate::answer::AnswerFields::parse`].
    pub fields: String,
    /// The answer's body.
    pub body: Bytes,
}

/// Removes the next answer from the front of `input` and returns it. `Ok(None)` means that it is incomplete. The size
/// of `input` is then bounded by the limits on the parts of an answer.
///
/// # Errors
/// Fails if the input is not a valid answer.
pub fn next(input: &mut BytesMut) -> Result<Option<Answer>, RespError> {
    let Some(Line { value: count, end: mut position }) = line(input, 0, b'*')? else { return Ok(None) };
    if count != ANSWER_PARTS as u64 {
        return Err(RespError::PartCount(count.min(u64::from(u32::MAX)) as u32));
    }
    let mut parts = [const { 0..0 }; ANSWER_PARTS];
    for (number, part) in parts.iter_mut().enumerate() {
        let Some(Line { value: length, end: from }) = line(input, position, b'$')? else { return Ok(None) };
        let max = if number + 1 == ANSWER_PARTS { MAX_BODY_BYTES } else { MAX_TEXT_BYTES };
        if length > max as u64 {
            return Err(RespError::PartTooLong(length));
        }
        let to = from + length as usize;
        for (offset, expected) in [(to, b'\r'), (to + 1, b'\n')] {
            if input.get(offset).is_some_and(|byte| *byte != expected) {
                return Err(RespError::MissingTerminator);
            }
        }
        if input.len() < to + 2 {
            return Ok(None);
        }
        *part = from..to;
        position = to + 2;
    }
    let text = |part: Range<usize>| {
        std::str::from_utf8(&input[part]).map(str::to_owned).map_err(|_| RespError::InvalidUtf8)
    };
    let [id, kind, fields, body] = parts;
    let body = Bytes::copy_from_slice(&input[body]);
    let answer = Answer { id: text(id)?, kind: text(kind)?, fields: text(fields)?, body };
    input.advance(position);
    Ok(Some(answer))
}

/// A parsed line with a count or a length.
struct Line {
    value: u64,
    /// Offset of the first byte after the line's terminator.
    end: usize,
}

/// Parses the line at offset `from`. Returns `Ok(None)` if it is incomplete.
fn line(input: &BytesMut, from: usize, prefix: u8) -> Result<Option<Line>, RespError> {
    let Some(rest) = input.get(from..) else { return Ok(None) };
    let Some((first, rest)) = rest.split_first() else { return Ok(None) };
    if *first != prefix {
        return Err(RespError::MalformedLine);
    }
    let digits = rest.iter().take(MAX_DIGITS).take_while(|byte| byte.is_ascii_digit()).count();
    let terminator = rest.get(digits..).unwrap_or(&[]);
    match terminator {
        [b'\r', b'\n', ..] if digits > 0 => {
            let value = rest[..digits].iter().fold(0, |n: u64, b| n * 10 + u64::from(b - b'0'));
            Ok(Some(Line { value, end: from + 1 + digits + 2 }))
        }
        [] if digits < MAX_DIGITS => Ok(None),
        [b'\r'] if digits > 0 => Ok(None),
        _ => Err(RespError::MalformedLine),
    }
}

/// Appends a command or an answer as an array of bulk strings.
pub fn command(out: &mut Vec<u8>, parts: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", parts.len()).as_bytes());
    for part in parts {
        out.extend_from_slice(format!("${}\r\n", part.len()).as_bytes());
        out.extend_from_slice(part);
        out.extend_from_slice(b"\r\n");
    }
}

/// Appends `CALL ID FIELDS BODY`, which sends a request to an invoker. The protocol names the class `sort`, the
/// function `asset` and the timeout `patience`. `key` is the idempotency key, by which the invoker drops repeats.
pub fn call(
    out: &mut Vec<u8>,
    id: &str,
    class: &str,
    function: &str,
    key: Option<&str>,
    timeout_ms: u64,
    body: &[u8],
) {
    let mut fields = format!("sort={class},asset={function},patience={timeout_ms}");
    if let Some(key) = key {
        fields.push_str(",op=");
        fields.push_str(key);
    }
    command(out, &[b"CALL", id.as_bytes(), fields.as_bytes(), body]);
}

/// Appends `CANCEL ID`, which cancels a request.
pub fn cancel(out: &mut Vec<u8>, id: &str) {
    command(out, &[b"CANCEL", id.as_bytes()]);
}

/// Appends a health check: `PING TAG`, or `STATS TAG` if the answer is to contain a load report.
pub fn probe(out: &mut Vec<u8>, tag: &str, report: bool) {
    command(out, &[if report { b"STATS" } else { b"PING" }, tag.as_bytes()]);
}

/// Appends `LOAD TAG asset=...,instances=...`, an order to load this number of replicas of a function.
pub fn load(out: &mut Vec<u8>, tag: &str, function: &str, replicas: u32) {
    let fields = format!("asset={function},instances={replicas}");
    command(out, &[b"LOAD", tag.as_bytes(), fields.as_bytes()]);
}

/// Appends `UNLOAD ASSET`, an order to unload the idle replicas of a function.
pub fn unload(out: &mut Vec<u8>, function: &str) {
    command(out, &[b"UNLOAD", function.as_bytes()]);
}
