//! Unit tests of `framing`.

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
    fn messages_do_not_depend_on_chunk_boundaries(
        messages in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..200), 0..8),
        chunk_bytes in 1usize..64,
    ) {
        let mut decoder = Decoder::new(200, false);
        let mut got = Vec::new();
        for part in framed(&messages).chunks(chunk_bytes) {
            decoder.push(Bytes::copy_from_slice(part));
            while let Some(message) = decoder.next_message().expect("valid") {
                got.push(message.to_vec());
            }
        }
        prop_assert_eq!(decoder.end(), Ok(()));
        prop_assert_eq!(got, messages);
    }

    #[test]
    fn random_bytes_never_panic(noise in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut decoder = Decoder::new(64, true);
        decoder.push(noise.into());
        while let Ok(Some(_)) = decoder.next_message() {}
    }
}

#[test]
fn too_large_message_is_rejected_by_its_prefix() {
    let mut decoder = Decoder::new(1 << 20, false);
    decoder.push(Bytes::from_static(&[0, 0x40, 0, 0, 0]));
    assert_eq!(decoder.next_message(), Err(FrameError::TooLarge { got: 1 << 30, most: 1 << 20 }));
}

#[test]
fn gzip_is_decompressed_up_to_the_limit() {
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
fn stream_end_inside_a_message_is_an_error() {
    let mut decoder = Decoder::new(100, false);
    decoder.push(Bytes::from_static(&[0, 0, 0, 0, 9, 1, 2]));
    assert_eq!(decoder.next_message(), Ok(None));
    assert_eq!(decoder.end(), Err(FrameError::Truncated(7)));
}
