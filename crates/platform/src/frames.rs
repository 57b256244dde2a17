//! Client frames: `length:4 type:1 stream:4 payload`, all big-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Lengths that the protocol allows: of all that follows the length itself.
pub const FRAME_LENGTHS: std::ops::RangeInclusive<u32> = 5..=262_144;
/// Most bytes of a request's body.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Most bytes of a frame's payload; a longer one is skipped as it arrives. A request's fields take some hundred bytes
/// besides its body.
pub const MAX_PAYLOAD_BYTES: usize = MAX_BODY_BYTES + (8 << 10);
/// Bytes before the payload: length, type and stream.
const HEADER_BYTES: usize = 9;

/// Frame types.
pub mod kind {
    /// A request.
    pub const REQUEST: u8 = 7;
    /// The answer to a request; on stream 0 an error that belongs to none.
    pub const ANSWER: u8 = 8;
    /// The client has cancelled the request.
    pub const CANCEL: u8 = 9;
    /// Asks whether the controller is ready.
    pub const READY: u8 = 1;
    /// The answer to that.
    pub const READY_ANSWER: u8 = 2;
    /// No new request is accepted on this connection.
    pub const GO_AWAY: u8 = 3;
}

/// Codes of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Served; ready.
    Served,
    /// Rejected: a retry does no harm.
    Refused,
    /// Failed: the request may have run.
    Failed,
}

impl Code {
    /// Its byte on the wire.
    pub fn byte(self) -> u8 {
        match self {
            Self::Served => 79,
            Self::Refused => 66,
            Self::Failed => 69,
        }
    }
}

/// A received frame.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A frame with its payload.
    Complete {
        /// Its type; may be unknown.
        kind: u8,
        /// Its stream.
        stream: u32,
        /// Its payload.
        payload: Bytes,
    },
    /// A frame over [`MAX_PAYLOAD_BYTES`]: its payload is skipped.
    TooLong {
        /// Its type.
        kind: u8,
        /// Its stream.
        stream: u32,
    },
}

/// Why a connection can't be read any more: the start of the next frame is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A length outside [`FRAME_LENGTHS`].
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(u32),
}

/// Takes frames from a connection's input.
#[derive(Debug, Default)]
pub struct Reader {
    /// Bytes that are left of a payload that is skipped.
    skip: usize,
}

impl Reader {
    /// The next frame. `Ok(None)`: it is not complete; `input` holds at most [`MAX_PAYLOAD_BYTES`] and the header then.
    ///
    /// # Errors
    /// A length that the protocol does not allow.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if self.skip > 0 {
            let skipped = self.skip.min(input.len());
            input.advance(skipped);
            self.skip -= skipped;
        }
        if self.skip > 0 || input.len() < 4 {
            return Ok(None);
        }
        let length = u32::from_be_bytes([input[0], input[1], input[2], input[3]]);
        if !FRAME_LENGTHS.contains(&length) {
            return Err(FrameError::Length(length));
        }
        if input.len() < HEADER_BYTES {
            return Ok(None);
        }
        let (kind, stream) = (input[4], u32::from_be_bytes([input[5], input[6], input[7], input[8]]));
        let payload = length as usize - (HEADER_BYTES - 4);
        if payload > MAX_PAYLOAD_BYTES {
            input.advance(HEADER_BYTES);
            self.skip = payload;
            return Ok(Some(Frame::TooLong { kind, stream }));
        }
        if input.len() < HEADER_BYTES + payload {
            return Ok(None);
        }
        input.advance(HEADER_BYTES);
        // A copy: a slice would keep the whole read buffer alive.
        let content = Bytes::copy_from_slice(&input[..payload]);
        input.advance(payload);
        Ok(Some(Frame::Complete { kind, stream, payload: content }))
    }

    /// Whether a frame has begun that is not complete.
    pub fn is_mid_frame(&self, input: &BytesMut) -> bool {
        self.skip > 0 || !input.is_empty()
    }
}

/// Why fields can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldsError {
    /// They end before their count or their sizes say.
    #[error("the fields are cut short")]
    Truncated,
    /// A name or a value is no text.
    #[error("a field is not UTF-8")]
    InvalidUtf8,
    /// A name occurs twice.
    #[error("a field stands twice")]
    Duplicate,
}

/// Fields: `count:1`, then for each `size:1 name size:2 value`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses them from the front of a payload; what is left is the body.
    ///
    /// # Errors
    /// Where they are cut short, no text, or occur twice.
    pub fn read(payload: &'a [u8]) -> Result<(Self, &'a [u8]), FieldsError> {
        let (&count, mut rest) = payload.split_first().ok_or(FieldsError::Truncated)?;
        let mut fields: Vec<(&str, &str)> = Vec::new();
        for _ in 0..count {
            let (&size, after) = rest.split_first().ok_or(FieldsError::Truncated)?;
            let (name, after) = after.split_at_checked(usize::from(size)).ok_or(FieldsError::Truncated)?;
            let (size, after) = after.split_first_chunk::<2>().ok_or(FieldsError::Truncated)?;
            let size = usize::from(u16::from_be_bytes(*size));
            let (value, after) = after.split_at_checked(size).ok_or(FieldsError::Truncated)?;
            let text = |bytes| std::str::from_utf8(bytes).map_err(|_| FieldsError::InvalidUtf8);
            let name = text(name)?;
            if fields.iter().any(|(known, _)| *known == name) {
                return Err(FieldsError::Duplicate);
            }
            fields.push((name, text(value)?));
            rest = after;
        }
        Ok((Self(fields), rest))
    }

    /// A field's value.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }
}

/// Appends an answer without fields.
pub fn answer(out: &mut Vec<u8>, stream: u32, code: Code, body: &[u8]) {
    header(out, kind::ANSWER, stream, 2 + body.len());
    out.put_u8(code.byte());
    out.put_u8(0);
    out.put_slice(body);
}

/// Appends the answer to a readiness query.
pub fn ready(out: &mut Vec<u8>, stream: u32, yes: bool) {
    header(out, kind::READY_ANSWER, stream, 2);
    out.put_u8(if yes { Code::Served } else { Code::Refused }.byte());
    out.put_u8(0);
}

/// Appends the notice that no new request is accepted on this connection.
pub fn go_away(out: &mut Vec<u8>) {
    header(out, kind::GO_AWAY, 0, 0);
}

/// Appends a request, for test clients.
pub fn request(out: &mut Vec<u8>, stream: u32, fields: &[(&str, &str)], body: &[u8]) {
    let mut payload = vec![fields.len().min(255) as u8];
    for (name, value) in fields.iter().take(255) {
        payload.put_u8(name.len().min(255) as u8);
        payload.put_slice(&name.as_bytes()[..name.len().min(255)]);
        let size = value.len().min(usize::from(u16::MAX));
        payload.put_u16(size as u16);
        payload.put_slice(&value.as_bytes()[..size]);
    }
    payload.put_slice(body);
    header(out, kind::REQUEST, stream, payload.len());
    out.put_slice(&payload);
}

/// Appends a frame without a payload, for test clients.
pub fn bare(out: &mut Vec<u8>, kind: u8, stream: u32) {
    header(out, kind, stream, 0);
}

/// Appends the header of a frame.
fn header(out: &mut Vec<u8>, kind: u8, stream: u32, payload: usize) {
    out.put_u32((HEADER_BYTES - 4 + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}
