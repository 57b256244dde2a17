//! Tests of the bucket bounds and of the native histogram.

use super::*;
use proptest::prelude::*;

#[test]
fn classic_buckets_include_their_bounds() {
    let latency = LatencyHistogram::default();
    for micros in [1, 5_000, 5_001, 30_000_000, 30_000_001, u64::MAX] {
        latency.observe(micros);
    }
    let observations = latency.lock();
    assert_eq!(
        (observations.classic_buckets[0], observations.classic_buckets[1], observations.classic_buckets[13]),
        (2, 1, 1)
    );
    assert_eq!((observations.histogram.len(), observations.classic_buckets.iter().sum::<u64>()), (6, 4));
}

#[test]
fn native_index_follows_the_specification() {
    // The upper bound of bucket i is 2^(i/8) seconds, so bucket 0 ends at one second.
    assert_eq!(
        (native_index(1_000_000), native_index(1_000_001), native_index(2_000_000), native_index(500_000)),
        (0, 1, 8, -8)
    );
}

proptest! {
    #[test]
    fn native_buckets_hold_every_observation_and_only_grow(
        latencies in prop::collection::vec(1u64..600_000_000, 1..200),
    ) {
        let latency = LatencyHistogram::default();
        let mut previous = latency.native();
        for micros in &latencies {
            latency.observe(*micros);
            let current = latency.native();
            prop_assert_eq!(current.count, current.buckets.iter().map(|b| b.1).sum::<u64>());
            prop_assert!(current.buckets.windows(2).all(|w| w[0].0 < w[1].0));
            for (index, count) in &previous.buckets {
                prop_assert!(current.buckets.iter().any(|(i, c)| i == index && c >= count));
            }
            // The HdrHistogram is within 1 %, so a value may move up by at most one native bucket.
            let expected = native_index(*micros);
            prop_assert!(current.buckets.iter().any(|(i, _)| *i == expected || *i == expected + 1));
            previous = current;
        }
        let sum: u64 = latencies.iter().sum();
        prop_assert!((previous.sum - sum as f64 / 1e6).abs() < 1e-6);
    }
}
