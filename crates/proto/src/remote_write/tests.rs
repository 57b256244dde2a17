//! Unit tests of `remote_write`.

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
        natives: Vec::new(),
        kind: Kind::Counter,
        created_ms: Some(1_764_589_000_000),
    }
}

#[test]
fn both_versions_give_back_what_was_written() {
    let all: Vec<Series> = (0..50).map(series).collect();
    let body = write(Version::Two, &all).expect("encodes");
    assert_eq!(read(Version::Two, &body, 1 << 20), Ok(all.clone()));
    let body = write(Version::One, &all).expect("encodes");
    let back = read(Version::One, &body, 1 << 20).expect("sound");
    assert!(back.iter().zip(&all).all(|(a, b)| a.labels == b.labels && a.samples == b.samples));
}

#[test]
fn a_staleness_marker_keeps_its_bits_and_is_no_other_nan() {
    let mut one = series(0);
    one.samples = vec![(1, stale()), (2, f64::NAN)];
    for version in [Version::One, Version::Two] {
        let back = read(version, &write(version, &[one.clone()]).expect("encodes"), 1000).expect("sound");
        assert!(is_stale(back[0].samples[0].1) && !is_stale(back[0].samples[1].1));
    }
}

#[test]
fn bombs_and_bad_symbols_are_refused() {
    let body = write(Version::Two, &(0..100).map(series).collect::<Vec<_>>()).expect("encodes");
    assert!(matches!(read(Version::Two, &body, 100), Err(BodyError::TooLarge { most: 100, .. })));
    let mut request = write_two(&[series(0)]);
    request.timeseries[0].labels_refs[1] = 99;
    let body = snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("packs");
    assert_eq!(read(Version::Two, &body, 1000), Err(BodyError::Symbol { series: 0 }));
    request.timeseries[0].labels_refs.pop();
    let body = snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("packs");
    assert_eq!(read(Version::Two, &body, 1000), Err(BodyError::Symbol { series: 0 }));
}

#[test]
fn native_histograms_keep_their_buckets_and_unsound_ones_are_refused() {
    let mut one = series(0);
    let buckets = vec![(-30, 4), (-29, 1), (-20, 7), (0, 1), (1, 2)];
    let native = Native { schema: 3, count: 15, sum: 3.25, buckets };
    one.natives = vec![(7, native.clone()), (8, Native { buckets: vec![], count: 0, ..native.clone() })];
    let body = write(Version::Two, &[one.clone()]).expect("encodes");
    assert_eq!(read(Version::Two, &body, 1000), Ok(vec![one.clone()]));
    // A message that does not add up, and one whose spans promise what does not come.
    let spans = native.write(0).positive_spans;
    assert_eq!(spans[0], v2::BucketSpan { offset: -30, length: 2 });
    for spoil in [
        |h: &mut v2::Histogram| h.positive_deltas[0] += 1,
        |h: &mut v2::Histogram| {
            h.positive_spans[0].length = u32::MAX;
        },
    ] {
        let mut request = write_two(&[one.clone()]);
        spoil(&mut request.timeseries[0].histograms[0]);
        let body = snap::raw::Encoder::new().compress_vec(&request.encode_to_vec()).expect("packs");
        assert_eq!(read(Version::Two, &body, 10_000), Err(BodyError::Histogram { series: 0 }));
    }
    let body = write(Version::One, &[Series { samples: Vec::new(), ..one }]).expect("encodes");
    assert_eq!(read(Version::One, &body, 1000), Ok(Vec::new()), "1.0 does not carry them");
}

proptest! {
    #[test]
    fn noise_never_panics(noise in prop::collection::vec(any::<u8>(), 0..200), two in any::<bool>()) {
        let version = if two { Version::Two } else { Version::One };
        let _ = read(version, &noise, 10_000);
        // Also behind sound snappy.
        if let Ok(packed) = snap::raw::Encoder::new().compress_vec(&noise) {
            let _ = read(version, &packed, 10_000);
        }
    }
}
