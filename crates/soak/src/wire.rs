//! The peers' side of the controllers' protocols: RESP commands as a worker reads them, and frames as a client reads
//! them.

use nettleferry_platform::resp;

/// The parts of a controller's command: its name, the call id or tag, and further arguments.
pub type CommandParts = Vec<Vec<u8>>;

/// Parses RESP commands from a byte stream that arrives in chunks of any size.
#[derive(Debug, Default)]
pub struct CommandReader {
    buffer: Vec<u8>,
}

impl CommandReader {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete command, or `None` if more bytes are needed.
    pub fn next_command(&mut self) -> Option<CommandParts> {
        let (count, mut at) = parse_length(&self.buffer, 0, b'*')?;
        let mut parts = Vec::with_capacity(count);
        for _ in 0..count {
            let (length, from) = parse_length(&self.buffer, at, b'$')?;
            let part = self.buffer.get(from..from + length)?;
            self.buffer.get(from + length..from + length + 2)?;
            parts.push(part.to_vec());
            at = from + length + 2;
        }
        self.buffer.drain(..at);
        Some(parts)
    }
}

/// Parses the RESP count or length with this type byte at `from`. Returns it and the offset after its line, or `None`
/// if the line is incomplete or malformed.
fn parse_length(buffer: &[u8], from: usize, type_byte: u8) -> Option<(usize, usize)> {
    let rest = buffer.get(from..)?;
    let end = rest.windows(2).position(|two| two == b"\r\n")?;
    let digits = rest.get(..end)?.strip_prefix(&[type_byte])?;
    Some((std::str::from_utf8(digits).ok()?.parse().ok()?, from + end + 2))
}

/// Returns the value of the field `name` in a list such as `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let text = std::str::from_utf8(fields).ok()?;
    text.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// Encodes a worker's answer to the command with this id or tag. `result` is the word for the outcome, such as
/// `served`.
pub fn answer(id: &[u8], result: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::command(&mut out, &[id, result.as_bytes(), fields.as_bytes(), body]);
    out
}

/// Result code of the answer to a served request, and of the readiness answer of a controller that is ready.
pub(crate) const SERVED: u8 = 79;
/// Result code of the answer to a refused request.
pub(crate) const REFUSED: u8 = 66;

/// A frame from a controller to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Frame type, one of [`nettleferry_platform::frames::kind`] or unknown.
    pub kind: u8,
    /// Number of the stream. 0 stands for the connection as a whole.
    pub stream: u32,
    /// Bytes after the frame header.
    pub payload: Vec<u8>,
}

/// Length of a frame header in bytes: payload length, type and stream.
const FRAME_HEADER_BYTES: usize = 9;

/// Parses frames from a byte stream that arrives in chunks of any size.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Appends bytes that were read from the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete frame, or `None` if more bytes are needed.
    pub fn next_frame(&mut self) -> Option<Frame> {
        let header: [u8; FRAME_HEADER_BYTES] = self.buffer.get(..FRAME_HEADER_BYTES)?.try_into().ok()?;
        let length = u32::from_be_bytes([header[0], header[1], header[2], header[3]]) as usize;
        let end = length + 4;
        let payload = self.buffer.get(FRAME_HEADER_BYTES..end)?.to_vec();
        let stream = u32::from_be_bytes([header[5], header[6], header[7], header[8]]);
        self.buffer.drain(..end);
        Some(Frame { kind: header[4], stream, payload })
    }
}
