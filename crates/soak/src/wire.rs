//! The other parties' side of the protocol: commands as a worker reads them, frames as a client reads them.

use nettleferry_platform::resp;

/// A command of a controller: its word, its id or tag, and what follows.
pub type CommandParts = Vec<Vec<u8>>;

/// Takes RESP commands off a stream of bytes that comes in any pieces.
#[derive(Debug, Default)]
pub struct CommandReader {
    buffer: Vec<u8>,
}

impl CommandReader {
    /// Adds what was read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole command, if it has come.
    pub fn next_command(&mut self) -> Option<CommandParts> {
        let (count, mut at) = figure(&self.buffer, 0, b'*')?;
        let mut parts = Vec::with_capacity(count);
        for _ in 0..count {
            let (length, from) = figure(&self.buffer, at, b'$')?;
            let part = self.buffer.get(from..from + length)?;
            self.buffer.get(from + length..from + length + 2)?;
            parts.push(part.to_vec());
            at = from + length + 2;
        }
        self.buffer.drain(..at);
        Some(parts)
    }
}

/// A count or a length that begins at `from`, and where what follows begins.
fn figure(buffer: &[u8], from: usize, mark: u8) -> Option<(usize, usize)> {
    let rest = buffer.get(from..)?;
    let end = rest.windows(2).position(|two| two == b"\r\n")?;
    let text = rest.get(..end)?.strip_prefix(&[mark])?;
    Some((std::str::from_utf8(text).ok()?.parse().ok()?, from + end + 2))
}

/// The value of `name` in `name=value,name=value`.
pub fn field<'a>(fields: &'a [u8], name: &str) -> Option<&'a str> {
    let text = std::str::from_utf8(fields).ok()?;
    text.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='))
}

/// Bytes of an answer of a worker.
pub fn answer(id: &[u8], word: &str, fields: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    resp::command(&mut out, &[id, word.as_bytes(), fields.as_bytes(), body]);
    out
}

/// A frame of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    /// Its type.
    pub kind: u8,
    /// Its stream.
    pub stream: u32,
    /// What follows.
    pub payload: Vec<u8>,
}

/// Bytes before a frame's payload.
const FRAME_HEAD: usize = 9;

/// Takes frames off a stream of bytes that comes in any pieces.
#[derive(Debug, Default)]
pub struct FrameReader {
    buffer: Vec<u8>,
}

impl FrameReader {
    /// Adds what was read.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole frame, if it has come.
    pub fn next_frame(&mut self) -> Option<Frame> {
        let head: [u8; FRAME_HEAD] = self.buffer.get(..FRAME_HEAD)?.try_into().ok()?;
        let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
        let end = length + 4;
        let payload = self.buffer.get(FRAME_HEAD..end)?.to_vec();
        let stream = u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        self.buffer.drain(..end);
        Some(Frame { kind: head[4], stream, payload })
    }
}
