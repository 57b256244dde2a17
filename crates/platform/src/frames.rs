//! Client frames: `length:4 type:1 stream:4 payload`, all big-endian.

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// The least and the greatest length that the protocol knows: of all that follows the length itself.
pub const LENGTHS: std::ops::RangeInclusive<u32> = 5..=262_144;
/// Bytes of a request's body.
pub const MOST_BODY: usize = 16 << 10;
/// Bytes of a frame's payload that are kept; a longer one is skipped as it comes. A request's fields take some
/// hundred bytes beside its body.
pub const MOST_PAYLOAD: usize = MOST_BODY + (8 << 10);
/// Bytes before the payload.
const HEAD: usize = 9;

/// Frame types.
pub mod kind {
    /// A request.
    pub const REQUEST: u8 = 7;
    /// The answer to a request; on stream 0 an error that belongs to none.
    pub const ANSWER: u8 = 8;
    /// The client waits no longer.
    pub const CANCEL: u8 = 9;
    /// Is the controller ready?
    pub const READY: u8 = 1;
    /// Its answer.
    pub const READY_ANSWER: u8 = 2;
    /// No new request on this connection.
    pub const GO_AWAY: u8 = 3;
}

/// Codes of answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// Served; ready.
    Served,
    /// Refused: a new try does no harm.
    Refused,
    /// Failed: nothing is promised.
    Failed,
}

impl Code {
    /// As it stands on the wire.
    pub fn byte(self) -> u8 {
        match self {
            Self::Served => 79,
            Self::Refused => 66,
            Self::Failed => 69,
        }
    }
}

/// A frame as it came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Frame {
    /// A whole frame.
    Whole {
        /// Its type; may be unknown.
        kind: u8,
        /// Its stream.
        stream: u32,
        /// Its payload.
        payload: Bytes,
    },
    /// A frame over [`MOST_PAYLOAD`]: its payload is skipped.
    TooLong {
        /// Its type.
        kind: u8,
        /// Its stream.
        stream: u32,
    },
}

/// What makes a connection unreadable: where the next frame begins is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// A length outside [`LENGTHS`].
    #[error("a frame's length of {0} is outside 5 to 262144")]
    Length(u32),
}

/// Takes frames off a connection's input.
#[derive(Debug, Default)]
pub struct Reader {
    skip: usize,
}

impl Reader {
    /// The next frame. `Ok(None)`: more must come; at most [`MOST_PAYLOAD`] and the head stand in `input` then.
    pub fn next(&mut self, input: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        if self.skip > 0 {
            let gone = self.skip.min(input.len());
            input.advance(gone);
            self.skip -= gone;
        }
        if self.skip > 0 || input.len() < 4 {
            return Ok(None);
        }
        let length = u32::from_be_bytes([input[0], input[1], input[2], input[3]]);
        if !LENGTHS.contains(&length) {
            return Err(FrameError::Length(length));
        }
        if input.len() < HEAD {
            return Ok(None);
        }
        let (kind, stream) = (input[4], u32::from_be_bytes([input[5], input[6], input[7], input[8]]));
        let payload = length as usize - (HEAD - 4);
        if payload > MOST_PAYLOAD {
            input.advance(HEAD);
            self.skip = payload;
            return Ok(Some(Frame::TooLong { kind, stream }));
        }
        if input.len() < HEAD + payload {
            return Ok(None);
        }
        input.advance(HEAD);
        // A copy of its own: a slice would keep alive all that was read with it.
        let whole = Bytes::copy_from_slice(&input[..payload]);
        input.advance(payload);
        Ok(Some(Frame::Whole { kind, stream, payload: whole }))
    }

    /// Has a frame begun that has not come whole?
    pub fn within(&self, input: &BytesMut) -> bool {
        self.skip > 0 || !input.is_empty()
    }
}

/// Why fields can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldsError {
    /// They end before their count or their sizes say.
    #[error("the fields are cut short")]
    Short,
    /// A name or a value is no text.
    #[error("a field is not UTF-8")]
    NotText,
    /// A name stands twice.
    #[error("a field stands twice")]
    Twice,
}

/// Fields: `count:1`, then for each `size:1 name size:2 value`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Fields<'a>(Vec<(&'a str, &'a str)>);

impl<'a> Fields<'a> {
    /// Reads them off the front of a payload; what is left is the body.
    pub fn read(payload: &'a [u8]) -> Result<(Self, &'a [u8]), FieldsError> {
        let (&count, mut rest) = payload.split_first().ok_or(FieldsError::Short)?;
        let mut fields: Vec<(&str, &str)> = Vec::new();
        for _ in 0..count {
            let (&size, after) = rest.split_first().ok_or(FieldsError::Short)?;
            let (name, after) = after.split_at_checked(usize::from(size)).ok_or(FieldsError::Short)?;
            let (size, after) = after.split_first_chunk::<2>().ok_or(FieldsError::Short)?;
            let size = usize::from(u16::from_be_bytes(*size));
            let (value, after) = after.split_at_checked(size).ok_or(FieldsError::Short)?;
            let text = |bytes| std::str::from_utf8(bytes).map_err(|_| FieldsError::NotText);
            let name = text(name)?;
            if fields.iter().any(|(known, _)| *known == name) {
                return Err(FieldsError::Twice);
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
    head(out, kind::ANSWER, stream, 2 + body.len());
    out.put_u8(code.byte());
    out.put_u8(0);
    out.put_slice(body);
}

/// Appends the answer on whether the controller is ready.
pub fn ready(out: &mut Vec<u8>, stream: u32, yes: bool) {
    head(out, kind::READY_ANSWER, stream, 2);
    out.put_u8(if yes { Code::Served } else { Code::Refused }.byte());
    out.put_u8(0);
}

/// Appends word that no new request is taken on this connection.
pub fn go_away(out: &mut Vec<u8>) {
    head(out, kind::GO_AWAY, 0, 0);
}

/// Appends a request: for stand-in clients.
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
    head(out, kind::REQUEST, stream, payload.len());
    out.put_slice(&payload);
}

/// Appends a frame without a payload: for stand-in clients.
pub fn bare(out: &mut Vec<u8>, kind: u8, stream: u32) {
    head(out, kind, stream, 0);
}

fn head(out: &mut Vec<u8>, kind: u8, stream: u32, payload: usize) {
    out.put_u32((HEAD - 4 + payload) as u32);
    out.put_u8(kind);
    out.put_u32(stream);
}
