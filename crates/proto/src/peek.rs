//! Reads what a gateway needs of a message and leaves the tensors alone: a walk over the top-level fields of
//! the protobuf encoding, without copies.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint};

use crate::inference::{FINAL, InferParameter};

/// A message that is no protobuf, or whose head is not what the protocol says.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeekError {
    /// The bytes end inside a field, or a key or length is malformed.
    #[error("the message is cut short or malformed at byte {0}")]
    Malformed(usize),
    /// A name is not UTF-8.
    #[error("field {0} is not UTF-8")]
    NotText(u32),
    /// A parameter is malformed.
    #[error("a parameter is malformed")]
    Parameter,
    /// A head field is longer than any name may be.
    #[error("field {field} has {length} bytes; at most {MOST_NAME} are taken")]
    TooLong {
        /// Its number.
        field: u32,
        /// Its length.
        length: usize,
    },
    /// More parameters than are taken.
    #[error("more than {MOST_PARAMETERS} parameters")]
    TooMany,
}

/// Longest model name, version or id, in bytes.
pub const MOST_NAME: usize = 1024;
/// Most request parameters.
pub const MOST_PARAMETERS: usize = 256;

/// What the gateway reads of a `ModelInferRequest`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InferHead {
    /// `model_name`.
    pub model: String,
    /// `model_version`; empty: the worker's choice.
    pub version: String,
    /// `id`, as the client gave it.
    pub id: String,
    /// `parameters`, in the order sent.
    pub parameters: Vec<(String, InferParameter)>,
}

/// What the gateway reads of a `ModelStreamInferResponse`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// `error_message`; empty: no error.
    pub error: String,
    /// `infer_response.parameters["triton_final_response"]`.
    pub last: bool,
    /// There is an `infer_response`.
    pub answered: bool,
}

enum Value {
    Bytes(Bytes),
    Other,
}

/// The top-level fields of a message, in order.
struct Walk {
    rest: Bytes,
    whole: usize,
}

impl Walk {
    fn new(message: &Bytes) -> Self {
        Self { rest: message.clone(), whole: message.len() }
    }

    fn malformed(&self) -> PeekError {
        PeekError::Malformed(self.whole - self.rest.len())
    }

    fn skip(&mut self, n: usize) -> Result<Bytes, PeekError> {
        if self.rest.len() < n {
            return Err(self.malformed());
        }
        Ok(self.rest.split_to(n))
    }

    fn next(&mut self) -> Result<Option<(u32, Value)>, PeekError> {
        if !self.rest.has_remaining() {
            return Ok(None);
        }
        let (field, wire) = decode_key(&mut self.rest).map_err(|_| self.malformed())?;
        let value = match wire {
            WireType::Varint => {
                decode_varint(&mut self.rest).map_err(|_| self.malformed())?;
                Value::Other
            }
            WireType::SixtyFourBit => self.skip(8).map(|_| Value::Other)?,
            WireType::ThirtyTwoBit => self.skip(4).map(|_| Value::Other)?,
            WireType::LengthDelimited => {
                let length = decode_varint(&mut self.rest).map_err(|_| self.malformed())?;
                let length = usize::try_from(length).map_err(|_| self.malformed())?;
                Value::Bytes(self.skip(length)?)
            }
            WireType::StartGroup | WireType::EndGroup => return Err(self.malformed()),
        };
        Ok(Some((field, value)))
    }
}

fn text(field: u32, bytes: &Bytes) -> Result<String, PeekError> {
    if bytes.len() > MOST_NAME {
        return Err(PeekError::TooLong { field, length: bytes.len() });
    }
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| PeekError::NotText(field))
}

fn parameter(entry: &Bytes) -> Result<(String, InferParameter), PeekError> {
    let mut walk = Walk::new(entry);
    let (mut key, mut value) = (String::new(), InferParameter::default());
    while let Some((field, content)) = walk.next()? {
        match (field, content) {
            (1, Value::Bytes(bytes)) => key = text(4, &bytes)?,
            (2, Value::Bytes(bytes)) => {
                value = prost::Message::decode(bytes).map_err(|_| PeekError::Parameter)?
            }
            _ => {}
        }
    }
    Ok((key, value))
}

/// Reads the head of a `ModelInferRequest` (fields 1 to 4); tensors are skipped, not decoded.
pub fn infer_request(message: &Bytes) -> Result<InferHead, PeekError> {
    let mut head = InferHead::default();
    let mut walk = Walk::new(message);
    while let Some((field, value)) = walk.next()? {
        match (field, value) {
            (1, Value::Bytes(bytes)) => head.model = text(1, &bytes)?,
            (2, Value::Bytes(bytes)) => head.version = text(2, &bytes)?,
            (3, Value::Bytes(bytes)) => head.id = text(3, &bytes)?,
            (4, Value::Bytes(bytes)) => {
                if head.parameters.len() == MOST_PARAMETERS {
                    return Err(PeekError::TooMany);
                }
                head.parameters.push(parameter(&bytes)?);
            }
            _ => {}
        }
    }
    Ok(head)
}

/// Reads the head of a `ModelStreamInferResponse`.
pub fn stream_response(message: &Bytes) -> Result<ResponseHead, PeekError> {
    let mut head = ResponseHead::default();
    let mut walk = Walk::new(message);
    while let Some((field, value)) = walk.next()? {
        match (field, value) {
            (1, Value::Bytes(bytes)) => {
                // An error's text is cut, not refused: it is for people.
                let most = bytes.len().min(MOST_NAME);
                head.error = String::from_utf8_lossy(&bytes[..most]).into_owned();
            }
            (2, Value::Bytes(bytes)) => {
                head.answered = true;
                let mut inner = Walk::new(&bytes);
                while let Some((field, value)) = inner.next()? {
                    if let (4, Value::Bytes(entry)) = (field, value) {
                        let (key, value) = parameter(&entry)?;
                        if key == FINAL {
                            head.last = value.truth() == Some(true);
                        }
                    }
                }
            }
            _ => {}
        }
    }
    Ok(head)
}

fn delimited(field: u32, content: &[u8], out: &mut BytesMut) {
    encode_key(field, WireType::LengthDelimited, out);
    encode_varint(content.len() as u64, out);
    out.put_slice(content);
}

/// The bytes of `infer_response { parameters { triton_final_response: true } }`. Appended to an encoded
/// `ModelStreamInferResponse` they mark it as the last: protobuf merges an embedded message that comes twice
/// ("Last One Wins", protocol buffers encoding), so that the tensors before them stay as they are.
pub fn final_mark() -> Bytes {
    let mut value = BytesMut::new();
    encode_key(1, WireType::Varint, &mut value);
    encode_varint(1, &mut value);
    let mut entry = BytesMut::new();
    delimited(1, FINAL.as_bytes(), &mut entry);
    delimited(2, &value, &mut entry);
    let mut response = BytesMut::new();
    delimited(4, &entry, &mut response);
    let mut out = BytesMut::new();
    delimited(2, &response, &mut out);
    out.freeze()
}

/// Marks an encoded `ModelStreamInferResponse` as the last one of its call.
pub fn marked_final(message: &Bytes) -> Bytes {
    let mark = final_mark();
    let mut out = BytesMut::with_capacity(message.len() + mark.len());
    out.put_slice(message);
    out.put_slice(&mark);
    out.freeze()
}

#[cfg(test)]
mod tests;
