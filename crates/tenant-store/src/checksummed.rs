//! Encoding of stored values: the CRC-32 of the value's JSON (`u32`, little-endian), followed by the JSON.
//! The encoding does not contain the table or the key.

use serde::Serialize;
use serde::de::DeserializeOwned;

const CHECKSUM_BYTES: usize = 4;

/// A stored value that does not match its checksum or can't be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("table {table}, key {key}: the value is damaged: {reason}")]
pub struct DamagedValue {
    /// The table that the value is stored in.
    pub table: &'static str,
    /// The value's key in that table, as text for the error message.
    pub key: String,
    /// Why the value is damaged: its length, its checksum or its JSON is wrong.
    pub reason: String,
}

/// Encodes a value as its checksum and its JSON.
///
/// # Errors
/// Returns an error if the value can't be serialized as JSON.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    let json = serde_json::to_vec(value)?;
    let mut encoded = Vec::with_capacity(CHECKSUM_BYTES + json.len());
    encoded.extend_from_slice(&crc32fast::hash(&json).to_le_bytes());
    encoded.extend_from_slice(&json);
    Ok(encoded)
}

/// Decodes a stored value after checking its checksum. `table` and `key` identify the value in the error.
///
/// # Errors
/// Returns an error if the bytes are too short, do not match their checksum, or are not the JSON of a `T`.
pub fn decode<T: DeserializeOwned>(table: &'static str, key: &str, bytes: &[u8]) -> Result<T, DamagedValue> {
    let damaged = |reason: String| DamagedValue { table, key: key.to_owned(), reason };
    let Some((checksum, json)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(damaged(format!(
            "it has {} bytes, the checksum alone has {CHECKSUM_BYTES}",
            bytes.len()
        )));
    };
    if crc32fast::hash(json) != u32::from_le_bytes(*checksum) {
        return Err(damaged("its checksum does not match".to_owned()));
    }
    serde_json::from_slice(json).map_err(|e| damaged(e.to_string()))
}
