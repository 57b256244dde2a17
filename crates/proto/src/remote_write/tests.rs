//! Unit tests of the remote write encoding.

use super::*;
use proptest::prelude::*;

fn series(n: usize) -> Series {
    let label = |a: &str, b: String| (a.to_owned(), b);
    Series {
        labels: vec![
            label("__name__", "nettleferry_calls_total".to_owned()),
            label("class", format!("c{}", n % 3)),
            label("tenant", format!("t{}", n % 10)),
        ],
        samples: vec![
            (1_764_590_000_000 + n as i64, n as f64),
            (1_764_590_015_000 + n as i64, n as f64 + 1.0),
        ],
        native_histograms: Vec::new(),
        kind: SeriesKind::Counter,
        created_ms: Some(1_764_589_000_000),
    }
}

#[test]
fn both_versions_decode_what_was_encoded() {
    let all: Vec<Series> = (0..50).map(series).collect();
    let body = encode(Version::Two, &all).expect("series encoded");
    assert_eq!(decode(Version::Two, &body, 1 << 20), Ok(all.clone()));
    let body = encode(Version::One, &all).expect("series encoded");
    let decoded = decode(Version::One, &body, 1 << 20).expect("the body is valid");
    assert!(decoded.iter().zip(&all).all(|(a, b)| a.labels == b.labels && a.samples == b.samples));
}

#[test]
fn staleness_marker_keeps_its_bits() {
    let mut one = series(0);
    one.samples = vec![(1, stale()), (2, f64::NAN)];
    for version in [Version::One, Version::Two] {
        let decoded = decode(version, &encode(version, &[one.clone()]).expect("series encoded"), 1000)
            .expect("the body is valid");
        assert!(is_stale(decoded[0].samples[0].1) && !is_stale(decoded[0].samples[1].1));
    }
}

#[test]
fn oversized_bodies_and_bad_symbols_are_rejected() {
    let body = encode(Version::Two, &(0..100).map(series).collect::<Vec<_>>()).expect("series encoded");
    assert!(matches!(decode(Version::Two, &body, 100), Err(BodyError::TooLarge { max_size: 100, .. })));
    let mut request = encode_v2(&[series(0)]);
    request.timeseries[0].labels_refs[1] = 99;
    let body = snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("message compressed");
    assert_eq!(decode(Version::Two, &body, 1000), Err(BodyError::Symbol { series: 0 }));
    request.timeseries[0].labels_refs.pop();
    let body = snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("message compressed");
    assert_eq!(decode(Version::Two, &body, 1000), Err(BodyError::Symbol { series: 0 }));
}

#[test]
fn native_histograms_keep_their_buckets_and_invalid_ones_are_rejected() {
    let mut one = series(0);
    let buckets = vec![(-30, 4), (-29, 1), (-20, 7), (0, 1), (1, 2)];
    let native = NativeHistogram { schema: 3, count: 15, sum: 3.25, buckets };
    one.native_histograms =
        vec![(7, native.clone()), (8, NativeHistogram { buckets: vec![], count: 0, ..native.clone() })];
    let body = encode(Version::Two, &[one.clone()]).expect("series encoded");
    assert_eq!(decode(Version::Two, &body, 1000), Ok(vec![one.clone()]));
    // A message whose bucket counts do not add up to its count, and one whose spans have more buckets than
    // deltas.
    let spans = native.encode(0).positive_spans;
    assert_eq!(spans[0], v2::BucketSpan { offset: -30, length: 2 });
    for corrupt in [
        |h: &mut v2::Histogram| h.positive_deltas[0] += 1,
        |h: &mut v2::Histogram| {
            h.positive_spans[0].length = u32::MAX;
        },
    ] {
        let mut request = encode_v2(&[one.clone()]);
        corrupt(&mut request.timeseries[0].histograms[0]);
        let body =
            snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("message compressed");
        assert_eq!(decode(Version::Two, &body, 10_000), Err(BodyError::Histogram { series: 0 }));
    }
    let body = encode(Version::One, &[Series { samples: Vec::new(), ..one }]).expect("series encoded");
    assert_eq!(decode(Version::One, &body, 1000), Ok(Vec::new()), "version 1.0 has no native histograms");
}

proptest! {
    #[test]
    fn random_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), two in any::<bool>()) {
        let version = if two { Version::Two } else { Version::One };
        let _ = decode(version, &bytes, 10_000);
        // Also as the content of a valid snappy block.
        if let Ok(compressed) = snap::raw::Encoder::new().compress_vec(&bytes) {
            let _ = decode(version, &compressed, 10_000);
        }
    }
}
