//! Reads what a gateway needs of a message and leaves the tensors alone: it goes over the top-level fields of the
//! protobuf encoding, without copies.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint};

use crate::inference::{FINAL, InferParameter};

/// Why the head of a message can't be read.
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
    /// A name, version or id is too long.
    #[error("field {field} has {length} bytes; at most {MAX_NAME_BYTES} are taken")]
    TooLong {
        /// Its number.
        field: u32,
        /// Its length.
        length: usize,
    },
    /// More parameters than are accepted.
    #[error("more than {MAX_PARAMETERS} parameters")]
    TooManyParameters,
}

/// Longest model name, version or id, in bytes.
pub const MAX_NAME_BYTES: usize = 1024;
/// Most request parameters.
pub const MAX_PARAMETERS: usize = 256;

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
    pub is_final: bool,
    /// Whether there is an `infer_response`.
    pub has_response: bool,
}

/// The content of a field, where it is length-delimited.
enum FieldValue {
    Bytes(Bytes),
    Other,
}

/// A field of a message.
struct Field {
    number: u32,
    value: FieldValue,
}

/// Reads the top-level fields of a message, in order.
struct FieldReader {
    remaining: Bytes,
    message_bytes: usize,
}

impl FieldReader {
    fn new(message: &Bytes) -> Self {
        Self { remaining: message.clone(), message_bytes: message.len() }
    }

    fn malformed(&self) -> PeekError {
        PeekError::Malformed(self.message_bytes - self.remaining.len())
    }

    fn skip(&mut self, n: usize) -> Result<Bytes, PeekError> {
        if self.remaining.len() < n {
            return Err(self.malformed());
        }
        Ok(self.remaining.split_to(n))
    }

    fn next(&mut self) -> Result<Option<Field>, PeekError> {
        if !self.remaining.has_remaining() {
            return Ok(None);
        }
        let (number, wire) = decode_key(&mut self.remaining).map_err(|_| self.malformed())?;
        let value = match wire {
            WireType::Varint => {
                decode_varint(&mut self.remaining).map_err(|_| self.malformed())?;
                FieldValue::Other
            }
            WireType::SixtyFourBit => self.skip(8).map(|_| FieldValue::Other)?,
            WireType::ThirtyTwoBit => self.skip(4).map(|_| FieldValue::Other)?,
            WireType::LengthDelimited => {
                let length = decode_varint(&mut self.remaining).map_err(|_| self.malformed())?;
                let length = usize::try_from(length).map_err(|_| self.malformed())?;
                FieldValue::Bytes(self.skip(length)?)
            }
            WireType::StartGroup | WireType::EndGroup => return Err(self.malformed()),
        };
        Ok(Some(Field { number, value }))
    }
}

fn text(field: u32, bytes: &Bytes) -> Result<String, PeekError> {
    if bytes.len() > MAX_NAME_BYTES {
        return Err(PeekError::TooLong { field, length: bytes.len() });
    }
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| PeekError::NotText(field))
}

fn parameter(entry: &Bytes) -> Result<(String, InferParameter), PeekError> {
    let mut fields = FieldReader::new(entry);
    let (mut key, mut value) = (String::new(), InferParameter::default());
    while let Some(Field { number, value: content }) = fields.next()? {
        match (number, content) {
            (1, FieldValue::Bytes(bytes)) => key = text(4, &bytes)?,
            (2, FieldValue::Bytes(bytes)) => {
                value = prost::Message::decode(bytes).map_err(|_| PeekError::Parameter)?
            }
            _ => {}
        }
    }
    Ok((key, value))
}

/// Reads the head of a `ModelInferRequest` (fields 1 to 4); tensors are skipped, not decoded.
///
/// # Errors
/// Where the message is malformed or its head too long.
pub fn infer_request(message: &Bytes) -> Result<InferHead, PeekError> {
    let mut head = InferHead::default();
    let mut fields = FieldReader::new(message);
    while let Some(Field { number, value }) = fields.next()? {
        match (number, value) {
            (1, FieldValue::Bytes(bytes)) => head.model = text(1, &bytes)?,
            (2, FieldValue::Bytes(bytes)) => head.version = text(2, &bytes)?,
            (3, FieldValue::Bytes(bytes)) => head.id = text(3, &bytes)?,
            (4, FieldValue::Bytes(bytes)) => {
                if head.parameters.len() == MAX_PARAMETERS {
                    return Err(PeekError::TooManyParameters);
                }
                head.parameters.push(parameter(&bytes)?);
            }
            _ => {}
        }
    }
    Ok(head)
}

/// Reads the head of a `ModelStreamInferResponse`.
///
/// # Errors
/// Where the message is malformed.
pub fn stream_response(message: &Bytes) -> Result<ResponseHead, PeekError> {
    let mut head = ResponseHead::default();
    let mut fields = FieldReader::new(message);
    while let Some(Field { number, value }) = fields.next()? {
        match (number, value) {
            (1, FieldValue::Bytes(bytes)) => {
                // The text of an error is truncated, not rejected: it is for people.
                let length = bytes.len().min(MAX_NAME_BYTES);
                head.error = String::from_utf8_lossy(&bytes[..length]).into_owned();
            }
            (2, FieldValue::Bytes(bytes)) => {
                head.has_response = true;
                let mut response_fields = FieldReader::new(&bytes);
                while let Some(Field { number, value }) = response_fields.next()? {
                    if let (4, FieldValue::Bytes(entry)) = (number, value) {
                        let (key, value) = parameter(&entry)?;
                        if key == FINAL {
                            head.is_final = value.boolean() == Some(true);
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
pub fn final_marker() -> Bytes {
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
pub fn with_final_marker(message: &Bytes) -> Bytes {
    let marker = final_marker();
    let mut out = BytesMut::with_capacity(message.len() + marker.len());
    out.put_slice(message);
    out.put_slice(&marker);
    out.freeze()
}

#[cfg(test)]
mod tests;
