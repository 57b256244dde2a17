//! A record on disk: length (u32, little-endian), CRC-32 of kind and payload (u32), kind (u8), payload.

pub use crate::error::MAX_PAYLOAD_BYTES;
use crate::error::WalError;

/// Bytes before the payload.
pub const HEADER_BYTES: usize = 9;

const DATA_CODE: u8 = 1;
const ACK_CODE: u8 = 2;

/// The kind of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// A payload of the owner.
    Data,
    /// The acknowledgement of a record: its segment (u64) and offset (u64).
    Ack,
}

impl RecordKind {
    fn code(self) -> u8 {
        match self {
            Self::Data => DATA_CODE,
            Self::Ack => ACK_CODE,
        }
    }
}

/// What was read at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<'a> {
    /// A valid record.
    Valid {
        /// Its kind.
        kind: RecordKind,
        /// Its payload.
        payload: &'a [u8],
        /// Where the next begins.
        next: usize,
    },
    /// A record with a wrong checksum or kind.
    Damaged {
        /// Where the next one begins by its length.
        next: usize,
    },
    /// A record that is cut off, or has an impossible length: nothing after it can be found.
    Torn,
    /// The end of the segment.
    End,
}

/// Encodes a record.
///
/// # Errors
/// Where the payload is too long.
pub fn encode(kind: RecordKind, payload: &[u8]) -> Result<Vec<u8>, WalError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(WalError::TooLong { bytes: payload.len() });
    }
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&checksum(kind.code(), payload).to_le_bytes());
    out.push(kind.code());
    out.extend_from_slice(payload);
    Ok(out)
}

/// CRC-32 of kind and payload.
fn checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Reads the record at an offset.
pub fn decode(bytes: &[u8], offset: usize) -> ReadOutcome<'_> {
    let Some(rest) = bytes.get(offset..) else { return ReadOutcome::End };
    if rest.is_empty() {
        return ReadOutcome::End;
    }
    let number = |from: usize| Some(u32::from_le_bytes(rest.get(from..from + 4)?.try_into().ok()?));
    let (Some(length), Some(expected), Some(&kind)) = (number(0), number(4), rest.get(8)) else {
        return ReadOutcome::Torn;
    };
    let length = length as usize;
    if length > MAX_PAYLOAD_BYTES {
        return ReadOutcome::Torn;
    }
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return ReadOutcome::Torn };
    let next = offset + HEADER_BYTES + length;
    if checksum(kind, payload) != expected {
        return ReadOutcome::Damaged { next };
    }
    match kind {
        DATA_CODE => ReadOutcome::Valid { kind: RecordKind::Data, payload, next },
        ACK_CODE => ReadOutcome::Valid { kind: RecordKind::Ack, payload, next },
        _ => ReadOutcome::Damaged { next },
    }
}
