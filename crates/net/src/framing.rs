//! Length-prefixed gRPC messages ("gRPC over HTTP2", Length-Prefixed-Message): a compressed flag of one byte,
//! the length as a big-endian 32-bit integer, and the message.

use std::io::Read;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// Why a message can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The message exceeds the limit, by its prefix or once decompressed.
    #[error("a message of {got} bytes or more; at most {most} are taken")]
    TooLarge {
        /// Length in the prefix, or bytes decompressed so far.
        got: u64,
        /// Maximum size of a message in bytes.
        most: usize,
    },
    /// The compressed flag is neither 0 nor 1.
    #[error("compressed flag {0} is neither 0 nor 1")]
    BadFlag(u8),
    /// The message is marked as compressed, but `grpc-encoding` names no compression.
    #[error("a message is marked compressed, but grpc-encoding names no compression")]
    NoEncoding,
    /// The gzip data is corrupt.
    #[error("a message is not sound gzip")]
    BadGzip,
    /// The incomplete messages of all clients together exceeded the limit, and this one held the most.
    #[error("the messages that are being received take too much memory together")]
    NoRoom,
    /// The stream ended inside a message; this many bytes of it were received.
    #[error("the stream ended inside a message: {0} bytes of it had come")]
    Truncated(usize),
}

/// Bytes of the prefix: the flag and the length.
const PREFIX_BYTES: usize = 5;

/// Buffers received bytes and splits them into messages.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    max_bytes: usize,
    gzip: bool,
}

impl Decoder {
    /// A decoder for messages of at most `max_bytes`; `gzip` allows compressed ones.
    pub fn new(max_bytes: usize, gzip: bool) -> Self {
        Self { buffer: BytesMut::new(), max_bytes, gzip }
    }

    /// Bytes received of messages that are not complete.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Adds received bytes. A chunk that starts a message is not copied if it is not shared.
    pub fn push(&mut self, chunk: Bytes) {
        if self.buffer.is_empty() {
            match chunk.try_into_mut() {
                Ok(own) => self.buffer = own,
                Err(shared) => self.buffer.extend_from_slice(&shared),
            }
        } else {
            self.buffer.extend_from_slice(&chunk);
        }
    }

    /// Accepts compressed messages from now on.
    pub fn allow_gzip(&mut self) {
        self.gzip = true;
    }

    /// The next complete message; `None` if it is not complete yet. A length over the limit is an error as
    /// soon as the prefix is received.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        if self.buffer.len() < PREFIX_BYTES {
            return Ok(None);
        }
        let flag = self.buffer[0];
        let length =
            u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]) as usize;
        if flag > 1 {
            return Err(FrameError::BadFlag(flag));
        }
        if length > self.max_bytes {
            return Err(FrameError::TooLarge { got: length as u64, most: self.max_bytes });
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            self.buffer.reserve(PREFIX_BYTES + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let message = self.buffer.split_to(length).freeze();
        if flag == 0 {
            return Ok(Some(message));
        }
        if !self.gzip {
            return Err(FrameError::NoEncoding);
        }
        self.inflate(&message).map(Some)
    }

    fn inflate(&self, message: &Bytes) -> Result<Bytes, FrameError> {
        // Reads at most one byte over the limit, so that a decompression bomb is detected without unpacking
        // it.
        let mut out = Vec::new();
        let mut reader = flate2::read::GzDecoder::new(&message[..]).take(self.max_bytes as u64 + 1);
        reader.read_to_end(&mut out).map_err(|_| FrameError::BadGzip)?;
        if out.len() > self.max_bytes {
            return Err(FrameError::TooLarge { got: out.len() as u64, most: self.max_bytes });
        }
        Ok(out.into())
    }

    /// Checks at the end of a stream that no incomplete message remains.
    pub fn end(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::Truncated(self.buffer.len())) }
    }
}

/// The prefix of an uncompressed message.
pub fn prefix(message: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(PREFIX_BYTES);
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.freeze()
}

#[cfg(test)]
mod tests;
