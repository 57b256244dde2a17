//! Encoding of records. A record is the length of the payload (`u32`), the CRC-32 of kind and payload (`u32`), the kind
//! (`u8`) and the payload. Integers are little-endian.

pub use crate::error::MAX_PAYLOAD_BYTES;
use crate::error::WalError;

/// Length of the header that precedes the payload, in bytes.
pub const HEADER_BYTES: usize = 9;

const DATA_CODE: u8 = 1;
const ACK_CODE: u8 = 2;

/// The kind of a record, which determines what its payload contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Data of the log's owner.
    Data,
    /// The acknowledgement of a data record. The payload is that record's segment and offset, a `u64` each.
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

/// The result of decoding a segment at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadOutcome<'a> {
    /// A record with a valid checksum.
    Valid {
        /// The kind of the record.
        kind: RecordKind,
        /// The payload of the record.
        payload: &'a [u8],
        /// The offset of the next record.
        next: usize,
    },
    /// A record with a wrong checksum or an unknown kind.
    Damaged {
        /// The offset of the next record, according to the length of this one.
        next: usize,
    },
    /// A record that is truncated, or whose length exceeds [`MAX_PAYLOAD_BYTES`]. Records after it can't be
    /// located.
    Torn,
    /// The end of the segment.
    End,
}

/// Encodes a record.
///
/// # Errors
/// Returns an error if the payload is longer than [`MAX_PAYLOAD_BYTES`].
pub fn encode(kind: RecordKind, payload: &[u8]) -> Result<Vec<u8>, WalError> {
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(WalError::TooLong { bytes: payload.len() });
    }
    let mut encoded = Vec::with_capacity(HEADER_BYTES + payload.len());
    encoded.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    encoded.extend_from_slice(&checksum(kind.code(), payload).to_le_bytes());
    encoded.push(kind.code());
    encoded.extend_from_slice(payload);
    Ok(encoded)
}

/// The CRC-32 of a record's kind and payload.
fn checksum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Decodes the record at an offset of a segment.
pub fn decode(bytes: &[u8], offset: usize) -> ReadOutcome<'_> {
    let Some(rest) = bytes.get(offset..) else { return ReadOutcome::End };
    if rest.is_empty() {
        return ReadOutcome::End;
    }
    let u32_at = |from: usize| Some(u32::from_le_bytes(rest.get(from..from + 4)?.try_into().ok()?));
    let (Some(length), Some(expected), Some(&kind)) = (u32_at(0), u32_at(4), rest.get(8)) else {
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
