//! A record on disk: length (u32, little-endian), CRC-32 of kind and payload (u32), kind (u8), payload.

pub use crate::error::MOST_PAYLOAD;
use crate::error::WalError;

/// Bytes before the payload.
pub const HEADER_BYTES: usize = 9;

/// What a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Something to keep.
    Data,
    /// Word that a record was acknowledged: its segment (u64) and offset (u64).
    Ack,
}

impl Kind {
    fn code(self) -> u8 {
        match self {
            Self::Data => 1,
            Self::Ack => 2,
        }
    }
}

/// What stands at an offset.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found<'a> {
    /// A sound record; the next begins at `next`.
    Sound {
        /// What it is.
        kind: Kind,
        /// Its payload.
        payload: &'a [u8],
        /// Where the next begins.
        next: usize,
    },
    /// One whose content is damaged; by its length the next begins at `next`.
    Damaged {
        /// Where the next would begin.
        next: usize,
    },
    /// The bytes end inside it, or its length can't be: nothing after it can be found.
    Torn,
    /// The end.
    End,
}

/// Encodes a record.
pub fn write(kind: Kind, payload: &[u8]) -> Result<Vec<u8>, WalError> {
    if payload.len() > MOST_PAYLOAD {
        return Err(WalError::TooLong { bytes: payload.len() });
    }
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    out.extend_from_slice(&(payload.len() as u32).to_le_bytes());
    out.extend_from_slice(&sum(kind.code(), payload).to_le_bytes());
    out.push(kind.code());
    out.extend_from_slice(payload);
    Ok(out)
}

fn sum(kind: u8, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&[kind]);
    hasher.update(payload);
    hasher.finalize()
}

/// Reads what stands at `at`.
pub fn read(bytes: &[u8], at: usize) -> Found<'_> {
    let Some(rest) = bytes.get(at..) else { return Found::End };
    if rest.is_empty() {
        return Found::End;
    }
    let word = |from: usize| Some(u32::from_le_bytes(rest.get(from..from + 4)?.try_into().ok()?));
    let (Some(length), Some(told), Some(&kind)) = (word(0), word(4), rest.get(8)) else { return Found::Torn };
    let length = length as usize;
    if length > MOST_PAYLOAD {
        return Found::Torn;
    }
    let Some(payload) = rest.get(HEADER_BYTES..HEADER_BYTES + length) else { return Found::Torn };
    let next = at + HEADER_BYTES + length;
    if sum(kind, payload) != told {
        return Found::Damaged { next };
    }
    match kind {
        1 => Found::Sound { kind: Kind::Data, payload, next },
        2 => Found::Sound { kind: Kind::Ack, payload, next },
        _ => Found::Damaged { next },
    }
}
