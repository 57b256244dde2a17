//! A record as bytes: one line of head, `;nettleferry-keep FORMAT VERSION LENGTH CRC32`, and the payload. The
//! head is a comment to S-expressions, so that a kept list stays a file that people can read.

/// Longest payload, bytes. A longer one is not written, and a head that tells of one is not believed.
pub const MAX_BYTES: usize = 64 << 20;

const MAGIC: &str = ";nettleferry-keep";
const FORMAT: u32 = 1;
/// Longest head: the magic, four numbers and what stands between.
const MAX_HEADER: usize = 96;

/// A sound record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Counted up by each write of its place.
    pub version: u64,
    /// What was kept.
    pub payload: Vec<u8>,
}

/// Why bytes are no record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// There is no head: another program wrote it, or an earlier version of this one.
    #[error("it has no seal")]
    Unframed,
    /// Nothing is in it.
    #[error("it is empty")]
    Empty,
    /// The head can't be read.
    #[error("its head can't be read")]
    Header,
    /// A format that this version does not know.
    #[error("its format is {0}, and {FORMAT} is the newest that is known here")]
    Format(u32),
    /// It is longer or shorter than its head tells.
    #[error("it holds {found} bytes, and its head tells of {expected}")]
    Length {
        /// Bytes that are there.
        found: usize,
        /// Bytes that the head tells of.
        expected: usize,
    },
    /// The checksum is another.
    #[error("its checksum is another: it was damaged or changed")]
    Checksum,
}

fn sum(version: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// The bytes of a record.
pub fn encode(version: u64, payload: &[u8]) -> Vec<u8> {
    let head = format!("{MAGIC} {FORMAT} {version} {} {:08x}\n", payload.len(), sum(version, payload));
    let mut out = Vec::with_capacity(head.len() + payload.len());
    out.extend_from_slice(head.as_bytes());
    out.extend_from_slice(payload);
    out
}

/// Reads a record.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
    if bytes.is_empty() {
        return Err(RecordError::Empty);
    }
    let seen = bytes.len().min(MAGIC.len());
    if bytes[..seen] != MAGIC.as_bytes()[..seen] {
        return Err(RecordError::Unframed);
    }
    let end = bytes.iter().take(MAX_HEADER).position(|&b| b == b'\n').ok_or(RecordError::Header)?;
    let head = std::str::from_utf8(&bytes[MAGIC.len().min(end)..end]).map_err(|_| RecordError::Header)?;
    let mut words = head.split_ascii_whitespace();
    let mut word = || words.next().ok_or(RecordError::Header);
    let format: u32 = word()?.parse().map_err(|_| RecordError::Header)?;
    if format != FORMAT {
        return Err(RecordError::Format(format));
    }
    let version: u64 = word()?.parse().map_err(|_| RecordError::Header)?;
    let told: usize = word()?.parse().map_err(|_| RecordError::Header)?;
    let crc = u32::from_str_radix(word()?, 16).map_err(|_| RecordError::Header)?;
    let payload = &bytes[end + 1..];
    if payload.len() != told || told > MAX_BYTES {
        return Err(RecordError::Length { found: payload.len(), expected: told });
    }
    if sum(version, payload) != crc {
        return Err(RecordError::Checksum);
    }
    Ok(Record { version, payload: payload.to_vec() })
}

#[cfg(test)]
mod tests;
