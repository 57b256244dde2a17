//! The encoding of a record: a header line, `;nettleferry-keep FORMAT VERSION LENGTH CRC32`, followed by the payload.
//! The header is a comment in S-expression syntax, so a persisted worker list remains a valid S-expression file that
//! people can read. [`crate::RecordFile`] stores the bytes.

/// Maximum length of a payload in bytes. A longer payload is not written, and a record whose header states a
/// greater length is rejected.
pub const MAX_PAYLOAD_BYTES: usize = 64 << 20;

const MAGIC: &str = ";nettleferry-keep";
const FORMAT: u32 = 1;
/// Upper bound of the header's length in bytes: the magic, four numbers and the separators.
const MAX_HEADER_BYTES: usize = 96;

/// A record that was decoded without errors.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Version number, incremented with each write to the record's file.
    pub version: u64,
    /// Content, as it was passed to the write.
    pub payload: Vec<u8>,
}

/// Why bytes could not be decoded as a record.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// The bytes do not begin with a header: another program wrote them, or a version of this program from before the
    /// header was introduced.
    #[error("the record has no header")]
    Unframed,
    /// The input has no bytes.
    #[error("the record is empty")]
    Empty,
    /// The header is malformed or truncated.
    #[error("the record header is malformed")]
    Header,
    /// The header states a format that this version of the program does not support.
    #[error("the record format is {0}, the newest supported format is {FORMAT}")]
    Format(u32),
    /// The payload's length differs from the one in the header, or exceeds [`MAX_PAYLOAD_BYTES`].
    #[error("the record payload has {found} bytes, its header states {expected}")]
    Length {
        /// Length of the payload in bytes.
        found: usize,
        /// Length stated in the header, in bytes.
        expected: usize,
    },
    /// The checksum in the header does not match the version and the payload.
    #[error("the record checksum does not match: the file was damaged or modified")]
    Checksum,
}

fn checksum(version: u64, payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&version.to_le_bytes());
    hasher.update(payload);
    hasher.finalize()
}

/// Encodes a record: the header line followed by the payload.
pub fn encode(version: u64, payload: &[u8]) -> Vec<u8> {
    let header = format!("{MAGIC} {FORMAT} {version} {} {:08x}\n", payload.len(), checksum(version, payload));
    let mut out = Vec::with_capacity(header.len() + payload.len());
    out.extend_from_slice(header.as_bytes());
    out.extend_from_slice(payload);
    out
}

/// Decodes a record and verifies its length and checksum.
///
/// # Errors
/// Returns the reason why the bytes are not an intact record.
pub fn decode(bytes: &[u8]) -> Result<Record, RecordError> {
    if bytes.is_empty() {
        return Err(RecordError::Empty);
    }
    let prefix_length = bytes.len().min(MAGIC.len());
    if bytes[..prefix_length] != MAGIC.as_bytes()[..prefix_length] {
        return Err(RecordError::Unframed);
    }
    let header_end =
        bytes.iter().take(MAX_HEADER_BYTES).position(|&b| b == b'\n').ok_or(RecordError::Header)?;
    let header = std::str::from_utf8(&bytes[MAGIC.len().min(header_end)..header_end])
        .map_err(|_| RecordError::Header)?;
    let mut fields = header.split_ascii_whitespace();
    let mut field = || fields.next().ok_or(RecordError::Header);
    let format: u32 = field()?.parse().map_err(|_| RecordError::Header)?;
    if format != FORMAT {
        return Err(RecordError::Format(format));
    }
    let version: u64 = field()?.parse().map_err(|_| RecordError::Header)?;
    let expected_length: usize = field()?.parse().map_err(|_| RecordError::Header)?;
    let expected_checksum = u32::from_str_radix(field()?, 16).map_err(|_| RecordError::Header)?;
    let payload = &bytes[header_end + 1..];
    if payload.len() != expected_length || expected_length > MAX_PAYLOAD_BYTES {
        return Err(RecordError::Length { found: payload.len(), expected: expected_length });
    }
    if checksum(version, payload) != expected_checksum {
        return Err(RecordError::Checksum);
    }
    Ok(Record { version, payload: payload.to_vec() })
}

#[cfg(test)]
mod tests;
