//! Reads the metadata of inference messages that a gateway needs, by iterating over the top-level fields of the
//! protobuf encoding. Tensors are neither decoded nor copied.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use prost::encoding::{WireType, decode_key, decode_varint, encode_key, encode_varint};

use crate::inference::{FINAL, InferParameter};

/// Why the metadata of a message can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PeekError {
    /// The message ends inside a field, or a key or length is malformed, at this byte offset.
    #[error("the message is cut short or malformed at byte {0}")]
    Malformed(usize),
    /// The field with this number is not valid UTF-8.
    #[error("field {0} is not UTF-8")]
    NotUtf8(u32),
    /// A parameter can't be decoded.
    #[error("a parameter is malformed")]
    Parameter,
    /// A model name, version, id or parameter name exceeds [`MAX_NAME_BYTES`].
    #[error("field {field} has {length} bytes; at most {MAX_NAME_BYTES} are taken")]
    TooLong {
        /// Number of the field in the message.
        field: u32,
        /// Length of the value in bytes.
        length: usize,
    },
    /// The request has more than [`MAX_PARAMETERS`] parameters.
    #[error("more than {MAX_PARAMETERS} parameters")]
    TooManyParameters,
}

/// Maximum length of a model name, version, id or parameter name in bytes.
pub const MAX_NAME_BYTES: usize = 1024;
/// Maximum number of parameters of a request.
pub const MAX_PARAMETERS: usize = 256;

/// The metadata of a `ModelInferRequest`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InferHead {
    /// Name of the model (`model_name`).
    pub model: String,
    /// Version of the model (`model_version`). If empty, the worker chooses one.
    pub version: String,
    /// Identifier of the request (`id`), chosen by the client.
    pub id: String,
    /// Names and values of the `parameters`, in the order in which they were sent.
    pub parameters: Vec<(String, InferParameter)>,
}

/// The metadata of a `ModelStreamInferResponse`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Error message (`error_message`), truncated to [`MAX_NAME_BYTES`]. Empty if there was no error.
    pub error: String,
    /// Whether `infer_response.parameters["triton_final_response"]` is true.
    pub is_final: bool,
    /// Whether the message contains an `infer_response`.
    pub has_response: bool,
}

/// The value of a field. Only length-delimited values are kept.
enum FieldValue {
    Bytes(Bytes),
    Other,
}

/// A field of an encoded message.
struct Field {
    number: u32,
    value: FieldValue,
}

/// Iterates over the top-level fields of an encoded message.
struct FieldReader {
    remaining: Bytes,
    message_bytes: usize,
}

impl FieldReader {
    fn new(message: &Bytes) -> Self {
        Self { remaining: message.clone(), message_bytes: message.len() }
    }

    /// Returns the error for malformed content at the current offset.
    fn malformed(&self) -> PeekError {
        PeekError::Malformed(self.message_bytes - self.remaining.len())
    }

    fn split_bytes(&mut self, length: usize) -> Result<Bytes, PeekError> {
        if self.remaining.len() < length {
            return Err(self.malformed());
        }
        Ok(self.remaining.split_to(length))
    }

    /// Reads the next field. Returns `None` at the end of the message.
    fn next(&mut self) -> Result<Option<Field>, PeekError> {
        if !self.remaining.has_remaining() {
            return Ok(None);
        }
        let (number, wire_type) = decode_key(&mut self.remaining).map_err(|_| self.malformed())?;
        let value = match wire_type {
            WireType::Varint => {
                decode_varint(&mut self.remaining).map_err(|_| self.malformed())?;
                FieldValue::Other
            }
            WireType::SixtyFourBit => self.split_bytes(8).map(|_| FieldValue::Other)?,
            WireType::ThirtyTwoBit => self.split_bytes(4).map(|_| FieldValue::Other)?,
            WireType::LengthDelimited => {
                let length = decode_varint(&mut self.remaining).map_err(|_| self.malformed())?;
                let length = usize::try_from(length).map_err(|_| self.malformed())?;
                FieldValue::Bytes(self.split_bytes(length)?)
            }
            WireType::StartGroup | WireType::EndGroup => return Err(self.malformed()),
        };
        Ok(Some(Field { number, value }))
    }
}

/// Decodes a name of at most [`MAX_NAME_BYTES`]. `field` is the field number that an error reports.
fn decode_name(field: u32, bytes: &Bytes) -> Result<String, PeekError> {
    if bytes.len() > MAX_NAME_BYTES {
        return Err(PeekError::TooLong { field, length: bytes.len() });
    }
    std::str::from_utf8(bytes).map(str::to_owned).map_err(|_| PeekError::NotUtf8(field))
}

/// Decodes a map entry, which contains the name and the value of a parameter.
fn decode_parameter(entry: &Bytes) -> Result<(String, InferParameter), PeekError> {
    let mut fields = FieldReader::new(entry);
    let (mut key, mut value) = (String::new(), InferParameter::default());
    while let Some(field) = fields.next()? {
        match (field.number, field.value) {
            (1, FieldValue::Bytes(bytes)) => key = decode_name(4, &bytes)?,
            (2, FieldValue::Bytes(bytes)) => {
                value = prost::Message::decode(bytes).map_err(|_| PeekError::Parameter)?
            }
            _ => {}
        }
    }
    Ok((key, value))
}

/// Reads the metadata of a `ModelInferRequest` (fields 1 to 4). Tensors are skipped without decoding.
///
/// # Errors
/// Returns an error if the message is malformed, or a name or the number of parameters exceeds its limit.
pub fn infer_request(message: &Bytes) -> Result<InferHead, PeekError> {
    let mut head = InferHead::default();
    let mut fields = FieldReader::new(message);
    while let Some(Field { number, value }) = fields.next()? {
        match (number, value) {
            (1, FieldValue::Bytes(bytes)) => head.model = decode_name(1, &bytes)?,
            (2, FieldValue::Bytes(bytes)) => head.version = decode_name(2, &bytes)?,
            (3, FieldValue::Bytes(bytes)) => head.id = decode_name(3, &bytes)?,
            (4, FieldValue::Bytes(bytes)) => {
                if head.parameters.len() == MAX_PARAMETERS {
                    return Err(PeekError::TooManyParameters);
                }
                head.parameters.push(decode_parameter(&bytes)?);
            }
            _ => {}
        }
    }
    Ok(head)
}

/// Reads the metadata of a `ModelStreamInferResponse`. Tensors are skipped without decoding.
///
/// # Errors
/// Returns an error if the message is malformed or the name of a parameter exceeds [`MAX_NAME_BYTES`].
pub fn stream_response(message: &Bytes) -> Result<ResponseHead, PeekError> {
    let mut head = ResponseHead::default();
    let mut fields = FieldReader::new(message);
    while let Some(Field { number, value }) = fields.next()? {
        match (number, value) {
            (1, FieldValue::Bytes(bytes)) => {
                // A long error text is truncated rather than rejected, as it is only meant for humans.
                let length = bytes.len().min(MAX_NAME_BYTES);
                head.error = String::from_utf8_lossy(&bytes[..length]).into_owned();
            }
            (2, FieldValue::Bytes(bytes)) => {
                head.has_response = true;
                let mut response_fields = FieldReader::new(&bytes);
                while let Some(Field { number, value }) = response_fields.next()? {
                    if let (4, FieldValue::Bytes(entry)) = (number, value) {
                        let (key, value) = decode_parameter(&entry)?;
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

fn encode_delimited(field: u32, content: &[u8], out: &mut BytesMut) {
    encode_key(field, WireType::LengthDelimited, out);
    encode_varint(content.len() as u64, out);
    out.put_slice(content);
}

/// Returns the encoding of `infer_response { parameters { triton_final_response: true } }`. Appending it to
/// an encoded `ModelStreamInferResponse` marks that as the last one of its call. As protobuf merges repeated
/// occurrences of an embedded message ("Last One Wins" in the documentation of the encoding), the tensors
/// before it are unchanged.
pub fn final_marker() -> Bytes {
    let mut value = BytesMut::new();
    encode_key(1, WireType::Varint, &mut value);
    encode_varint(1, &mut value);
    let mut entry = BytesMut::new();
    encode_delimited(1, FINAL.as_bytes(), &mut entry);
    encode_delimited(2, &value, &mut entry);
    let mut response = BytesMut::new();
    encode_delimited(4, &entry, &mut response);
    let mut out = BytesMut::new();
    encode_delimited(2, &response, &mut out);
    out.freeze()
}

/// Returns an encoded `ModelStreamInferResponse` that is marked as the last one of its call (see
/// [`final_marker`]).
pub fn with_final_marker(message: &Bytes) -> Bytes {
    let marker = final_marker();
    let mut out = BytesMut::with_capacity(message.len() + marker.len());
    out.put_slice(message);
    out.put_slice(&marker);
    out.freeze()
}

#[cfg(test)]
mod tests;
