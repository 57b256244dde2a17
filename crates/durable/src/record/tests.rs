//! Unit tests of the record encoding.

use super::*;

#[test]
fn every_bit_flip_and_truncation_is_detected() {
    let encoded = encode(7, b"(worker w1)");
    assert_eq!(decode(&encoded), Ok(Record { version: 7, payload: b"(worker w1)".to_vec() }));
    for at in 0..encoded.len() {
        for bit in 0..8 {
            let mut corrupted = encoded.clone();
            corrupted[at] ^= 1 << bit;
            // Hex digits of the checksum decode in either case, so a flipped case bit yields the same record.
            let same = decode(&corrupted).is_ok_and(|r| r.version == 7 && r.payload == b"(worker w1)");
            assert!(decode(&corrupted).is_err() || same, "byte {at}, bit {bit}");
        }
        assert!(decode(&encoded[..at]).is_err(), "truncated at {at}");
    }
    assert_eq!(decode(b"(worker w1)"), Err(RecordError::Unframed));
    assert_eq!(decode(b";nettleferry-keep 9 1 0 00000000\n"), Err(RecordError::Format(9)));
}
