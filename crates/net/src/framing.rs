//! Length-prefixed gRPC messages ("gRPC over HTTP2", Length-Prefixed-Message): one byte that tells of
//! compression, four of length, big-endian, then the message.

use std::io::Read;

use bytes::{Buf, BufMut, Bytes, BytesMut};

/// A message that can't be taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Over the limit, as told by its prefix or found while decompressing.
    #[error("a message of {got} bytes or more; at most {most} are taken")]
    TooLarge {
        /// Bytes told, or seen so far.
        got: u64,
        /// The limit.
        most: usize,
    },
    /// The first byte is neither 0 nor 1.
    #[error("compressed flag {0} is neither 0 nor 1")]
    BadFlag(u8),
    /// Marked compressed, but no `grpc-encoding` was told.
    #[error("a message is marked compressed, but grpc-encoding names no compression")]
    NoEncoding,
    /// The gzip data is damaged.
    #[error("a message is not sound gzip")]
    BadGzip,
    /// The stream ended inside a message.
    #[error("the stream ended inside a message: {0} bytes of it had come")]
    CutShort(usize),
}

const PREFIX: usize = 5;

/// Collects bytes and gives messages.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    most: usize,
    gzip: bool,
}

impl Decoder {
    /// A decoder that takes messages of at most `most` bytes, and compressed ones where `gzip`.
    pub fn new(most: usize, gzip: bool) -> Self {
        Self { buffer: BytesMut::new(), most, gzip }
    }

    /// Adds what came. A chunk that begins a message is kept without a copy when it is whole.
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

    /// Takes compressed messages from now on.
    pub fn allow_gzip(&mut self) {
        self.gzip = true;
    }

    /// The next whole message. A length over the limit is an error as soon as the prefix is there.
    pub fn next_message(&mut self) -> Result<Option<Bytes>, FrameError> {
        if self.buffer.len() < PREFIX {
            return Ok(None);
        }
        let flag = self.buffer[0];
        let length =
            u32::from_be_bytes([self.buffer[1], self.buffer[2], self.buffer[3], self.buffer[4]]) as usize;
        if flag > 1 {
            return Err(FrameError::BadFlag(flag));
        }
        if length > self.most {
            return Err(FrameError::TooLarge { got: length as u64, most: self.most });
        }
        if self.buffer.len() < PREFIX + length {
            self.buffer.reserve(PREFIX + length - self.buffer.len());
            return Ok(None);
        }
        self.buffer.advance(PREFIX);
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
        // One byte more than allowed is read, so that a bomb is seen before it is unpacked.
        let mut out = Vec::new();
        let mut reader = flate2::read::GzDecoder::new(&message[..]).take(self.most as u64 + 1);
        reader.read_to_end(&mut out).map_err(|_| FrameError::BadGzip)?;
        if out.len() > self.most {
            return Err(FrameError::TooLarge { got: out.len() as u64, most: self.most });
        }
        Ok(out.into())
    }

    /// The stream has ended: nothing may be left.
    pub fn end(&self) -> Result<(), FrameError> {
        if self.buffer.is_empty() { Ok(()) } else { Err(FrameError::CutShort(self.buffer.len())) }
    }
}

/// The prefix of an uncompressed message; the message itself is sent as it is.
pub fn prefix(message: &Bytes) -> Bytes {
    let mut out = BytesMut::with_capacity(PREFIX);
    out.put_u8(0);
    out.put_u32(message.len() as u32);
    out.freeze()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::io::Write;

    fn framed(messages: &[Vec<u8>]) -> Vec<u8> {
        let mut all = Vec::new();
        for message in messages {
            let bytes = Bytes::from(message.clone());
            all.extend_from_slice(&prefix(&bytes));
            all.extend_from_slice(&bytes);
        }
        all
    }

    proptest! {
        #[test]
        fn any_cut_gives_the_same_messages(
            messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8),
            cut in 1usize..64,
        ) {
            let mut decoder = Decoder::new(200, false);
            let mut got = Vec::new();
            for part in framed(&messages).chunks(cut) {
                decoder.push(Bytes::copy_from_slice(part));
                while let Some(message) = decoder.next_message().expect("sound") {
                    got.push(message.to_vec());
                }
            }
            prop_assert_eq!(decoder.end(), Ok(()));
            prop_assert_eq!(got, messages);
        }

        #[test]
        fn noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..300)) {
            let mut decoder = Decoder::new(64, true);
            decoder.push(noise.into());
            while let Ok(Some(_)) = decoder.next_message() {}
        }
    }

    #[test]
    fn a_gigabyte_is_refused_by_its_prefix_alone() {
        let mut decoder = Decoder::new(1 << 20, false);
        decoder.push(Bytes::from_static(&[0, 0x40, 0, 0, 0]));
        assert_eq!(decoder.next_message(), Err(FrameError::TooLarge { got: 1 << 30, most: 1 << 20 }));
    }

    #[test]
    fn gzip_is_unpacked_and_a_bomb_is_not() {
        let pack = |content: &[u8]| {
            let mut packer = flate2::write::GzEncoder::new(Vec::new(), flate2::Compression::best());
            packer.write_all(content).expect("memory");
            let packed = packer.finish().expect("memory");
            let mut all = vec![1];
            all.extend_from_slice(&(packed.len() as u32).to_be_bytes());
            all.extend_from_slice(&packed);
            Bytes::from(all)
        };
        let mut decoder = Decoder::new(4096, true);
        decoder.push(pack(b"tensor"));
        assert_eq!(decoder.next_message(), Ok(Some(Bytes::from_static(b"tensor"))));
        decoder.push(pack(&vec![0; 1 << 20]));
        assert_eq!(decoder.next_message(), Err(FrameError::TooLarge { got: 4097, most: 4096 }));
        let mut strict = Decoder::new(4096, false);
        strict.push(pack(b"x"));
        assert_eq!(strict.next_message(), Err(FrameError::NoEncoding));
    }

    #[test]
    fn a_stream_that_ends_inside_a_message_says_so() {
        let mut decoder = Decoder::new(100, false);
        decoder.push(Bytes::from_static(&[0, 0, 0, 0, 9, 1, 2]));
        assert_eq!(decoder.next_message(), Ok(None));
        assert_eq!(decoder.end(), Err(FrameError::CutShort(7)));
    }
}
