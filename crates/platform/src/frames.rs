//! Frames between clients and controllers: `length:4 type:1 stream:4 payload`, where the numbers are sizes in bytes and
//! integers are big-endian. The length counts the bytes that follow it.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The range of lengths that the protocol allows, in bytes after the length itself.
pub const FRAME_LENGTHS: std::ops::RangeInclusive<u32> = 5..=262_144;
/// Maximum size of a request's body in bytes.
pub const MAX_BODY_BYTES: usize = 16 << 10;
/// Maximum size of a frame's payload in bytes. A longer payload is skipped as it arrives. Apart from its body, a
/// request contains some hundred bytes of fields.
pub const MAX_PAYLOAD_BYTES: usize = MAX_BODY_BYTES + (8 << 10);
/// Size of the header in bytes: length, type and stream.
const HEADER_BYTES: usize = 9;

/// Values of a frame's type byte.
pub mod kind {
    /// A request of a client, which the controller answers on the same stream.
    pub const REQUEST: u8 = 7;
    /// The answer to a request. On stream 0 it is an error that belongs to no request.
    pub const ANSWER: u8 = 8;
    /// The client has cancelled the request.
    pub const CANCEL: u8 = 9;
    /// A readiness query: is the controller ready?
    pub const READY: u8 = 1;
    /// The answer to a readiness query.
    pub const READY_ANSWER: u8 = 2;
    /// The controller accepts no new requests on this connection.
    pub const GO_AWAY: u8 = 3;
}

/// Result codes of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The request was served. In the answer to a readiness query: the controller is ready.
    Served,
    /// The request was refused, and a retry is safe. In the answer to a readiness query: the controller is not ready.
    Refused,
    /// The request failed and may have run.
    Failed,
}

impl Code {
    /// Returns the code's byte on the wire.
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
        /// The frame's type byte, one of [`kind`] or unknown.
        kind: u8,
        /// Number of the stream that the frame belongs to.
        stream: u32,
        /// The bytes after the frame's header.
        payload: Bytes,
    },
    /// A frame whose payload exceeds [`MAX_PAYLOAD_BYTES`] and is skipped.
    TooLong {
        /// The frame's type byte, one of [`kind`] or unknown.
        kind: u8,
        /// Number of the stream that the frame belongs to.
        stream: u32,
    },
}

/// A framing error. The start of the next frame is then unknown, so the connection can't be read any further. The
/// client receives the error's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The frame's length is outside [`FRAME_LENGTHS`].
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(u32),
}

/// Decodes frames from the input of a connection.
#[derive(Debug, Default)]
pub struct Reader {
    /// Number of bytes still to be skipped of a payload that is too long.
    skip: usize,
}

impl Reader {
    /// Removes the next frame from the front of `input` and returns it. `Ok(None)` means that it is incomplete; `input`
    /// then contains at most a header and [`MAX_PAYLOAD_BYTES`].
    ///
    /// # Errors
    /// Fails if the frame's length is not allowed by the protocol.
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
        let payload_bytes = length as usize - (HEADER_BYTES - 4);
        if payload_bytes > MAX_PAYLOAD_BYTES {
            input.advance(HEADER_BYTES);
            self.skip = payload_bytes;
            return Ok(Some(Frame::TooLong { kind, stream }));
        }
        if input.len() < HEADER_BYTES + payload_bytes {
            return Ok(None);
        }
        input.advance(HEADER_BYTES);
        // Copied, because a slice would keep the whole read buffer alive.
        let payload = Bytes::copy_from_slice(&input[..payload_bytes]);
        input.advance(payload_bytes);
        Ok(Some(Frame::Complete { kind, stream, payload }))
    }

    /// Returns whether `input` ends in an incomplete frame, or the payload of a frame is still being skipped.
    pub fn is_mid_frame(&self, input: &BytesMut) -> bool {
        self.skip > 0 || !input.is_empty()
    }
}

/// Why the fields of a request can't be parsed. The client receives the error's text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldsError {
    /// The payload is shorter than the count and the sizes of its fields require.
    #[error("the fields are cut short")]
    Truncated,
    /// A field's name or value is not UTF-8.
    #[error("a field is not UTF-8")]
    InvalidUtf8,
    /// Two fields have the same name.
    #[error("a field stands twice")]
    Duplicate,
}

/// The fields of a request. On the wire: `count:1`, then `size:1 name size:2 value` for each field.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Parses the fields at the front of a payload, and returns them and the rest of the payload, which is the body.
    ///
    /// # Errors
    /// Fails if the fields are truncated, are not UTF-8 or contain a duplicate name.
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

    /// Returns the value of a field, or `None` if it is absent.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        self.0.iter().find(|(known, _)| *known == name).map(|(_, value)| *value)
    }
}

/// Appends an answer that has a body but no fields.
pub fn answer(out: &mut Vec<u8>, stream: u32, code: Code, body: &[u8]) {
    header(out, kind::ANSWER, stream, 2 + body.len());
    out.put_u8(code.byte());
    out.put_u8(0);
    out.put_slice(body);
}

/// Appends the answer to a readiness query.
pub fn ready(out: &mut Vec<u8>, stream: u32, is_ready: bool) {
    header(out, kind::READY_ANSWER, stream, 2);
    out.put_u8(if is_ready { Code::Served } else { Code::Refused }.byte());
    out.put_u8(0);
}

/// Appends a frame that tells the client to send no new requests on this connection.
pub fn go_away(out: &mut Vec<u8>) {
    header(out, kind::GO_AWAY, 0, 0);
}

/// Appends a request, for test clients. Fields beyond 255 are dropped, and names and values that are too long for the
/// format are truncated.
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

/// Appends a frame of any type that has no payload, for test clients.
pub fn bare(out: &mut Vec<u8>, kind: u8, stream: u32) {
    header(out, kind, stream, 0);
}

/// Appends the header of a frame with a payload of this size.
fn header(out: &mut Vec<u8>, kind: u8, stream: u32, payload_bytes: usize) {
    out.put_u32((HEADER_BYTES - 4 + payload_bytes) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}
