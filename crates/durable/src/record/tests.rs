//! Unit tests of `record`.

use super::*;

#[test]
fn every_flipped_bit_and_every_cut_is_found() {
    let sealed = encode(7, b"(worker w1)");
    assert_eq!(decode(&sealed), Ok(Record { version: 7, payload: b"(worker w1)".to_vec() }));
    for at in 0..sealed.len() {
        for bit in 0..8 {
            let mut bad = sealed.clone();
            bad[at] ^= 1 << bit;
            // A checksum's letters may be read in either case: no other change passes.
            let same = decode(&bad).is_ok_and(|r| r.version == 7 && r.payload == b"(worker w1)");
            assert!(decode(&bad).is_err() || same, "byte {at}, bit {bit}");
        }
        assert!(decode(&sealed[..at]).is_err(), "cut at {at}");
    }
    assert_eq!(decode(b"(worker w1)"), Err(RecordError::Unframed));
    assert_eq!(decode(b";nettleferry-keep 9 1 0 00000000\n"), Err(RecordError::Format(9)));
}
