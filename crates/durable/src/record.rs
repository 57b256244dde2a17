//! A record as bytes: one line of header, `;nettleferry-keep FORMAT VERSION LENGTH CRC32`, and the payload. The header
//! is a comment to S-expressions, so that a persisted worker list stays a file that people can read. Where the bytes
//! are stored is left to [`crate::RecordFile`].

/// Longest payload, bytes. A longer one is not written, and a header that states one is invalid.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

const MAGIC: &str = ";nettleferry-keep";
const FORMAT: u32 = 1;
/// Longest header, bytes: the magic, four numbers and the spaces between.
const MAX_HEADER_BYTES: usize = 96;

/// An intact record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// One more with each write of its file.
    pub version: u64,
    /// Its content.
    pub payload: Vec<u8>,
}

/// Why bytes are no record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// There is no header: another program wrote it, or an early version of this one.
    #[error("it has no header")]
    Unframed,
    /// There are no bytes.
    #[error("it is empty")]
    Empty,
    /// The header can't be read.
    #[error("its header can't be read")]
    Header,
    /// A format that this version does not know.
    #[error("its format is {0}, and {FORMAT} is the newest that is known here")]
    Format(u32),
    /// It is longer or shorter than its header states.
    #[error("it has {found} bytes, and its header states {expected}")]
    Length {
        /// Bytes that are there.
        found: usize,
        /// Bytes that the header states.
        expected: usize,
    },
    /// The checksum is another.
    #[error("its checksum does not match: it was damaged or changed")]
    Checksum,
}

fn checksum(version: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// A record's bytes.
pub fn encode(version: u64, payload: &[u8]) -> Vec<u8> {
    let header = format!("{MAGIC} {FORMAT} {version} {} {:08x}\n", payload.len(), checksum(version, payload));
    let mut out = Vec::with_capacity(header.len() + payload.len());
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(payload);
    out
}

/// Reads a record.
///
/// # Errors
/// Why the bytes are no intact record.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
    if bytes.is_empty() {
        return Err(RecordError::Empty);
    }
    let seen = bytes.len().min(MAGIC.len());
    if bytes[..seen] != MAGIC.as_bytes()[..seen] {
        return Err(RecordError::Unframed);
    }
    let end = bytes.iter().take(MAX_HEADER_BYTES).position(|&b| b == b'\n').ok_or(RecordError::Header)?;
    let header = std::str::from_utf8(&bytes[MAGIC.len().min(end)..end]).map_err(|_| RecordError::Header)?;
    let mut fields = header.split_ascii_whitespace();
    let mut field = || fields.next().ok_or(RecordError::Header);
    let format: u32 = field()?.parse().map_err(|_| RecordError::Header)?;
    if format != FORMAT {
        return Err(RecordError::Format(format));
    }
    let version: u64 = field()?.parse().map_err(|_| RecordError::Header)?;
    let expected: usize = field()?.parse().map_err(|_| RecordError::Header)?;
    let crc = u32::from_str_radix(field()?, 16).map_err(|_| RecordError::Header)?;
    let payload = &bytes[end + 1..];
    if payload.len() != expected || expected > MAX_PAYLOAD_BYTES {
        return Err(RecordError::Length { found: payload.len(), expected });
    }
    if checksum(version, payload) != crc {
        return Err(RecordError::Checksum);
    }
    Ok(Record { version, payload: payload.to_vec() })
}

#[cfg(test)]
mod tests;
