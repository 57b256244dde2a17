//! A value on disk: CRC-32 of its JSON (u32, little-endian), then the JSON. Which table it is in is the caller's.

use serde::Serialize;
use serde::de::DeserializeOwned;

const CHECKSUM_BYTES: usize = 4;

/// A value is not what was written.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a value of table {table}, {key}, is damaged: {reason}")]
pub struct DamagedValue {
    /// Its table.
    pub table: &'static str,
    /// Its key, for people.
    pub key: String,
    /// What is wrong.
    pub reason: String,
}

/// Encodes a value.
///
/// # Errors
/// Where it can't be written as JSON.
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, serde_json::Error> {
    let json = serde_json::to_vec(value)?;
    let mut out = Vec::with_capacity(CHECKSUM_BYTES + json.len());
    out.extend_from_slice(&crc32fast::hash(&json).to_le_bytes());
    out.extend_from_slice(&json);
    Ok(out)
}

/// Decodes the value of a key in a table.
///
/// # Errors
/// Where the bytes are not what was written.
pub fn decode<T: DeserializeOwned>(table: &'static str, key: &str, bytes: &[u8]) -> Result<T, DamagedValue> {
    let damaged = |reason: String| DamagedValue { table, key: key.to_owned(), reason };
    let Some((checksum, json)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(damaged(format!("{} bytes", bytes.len())));
    };
    if crc32fast::hash(json) != u32::from_le_bytes(*checksum) {
        return Err(damaged("its checksum does not match".to_owned()));
    }
    serde_json::from_slice(json).map_err(|e| damaged(e.to_string()))
}
