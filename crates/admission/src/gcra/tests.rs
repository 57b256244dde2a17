//! Unit tests of the rate limiter.

use super::*;
use proptest::prelude::*;

fn limiter(per_second: f64, burst: u32) -> Gcra {
    Gcra::new(RateLimit { per_second, burst })
}

/// Counts a call if it conforms, and returns whether it does.
fn admit(gcra: &mut Gcra, now: Micros) -> bool {
    let conforms = gcra.check(now).is_ok();
    if conforms {
        gcra.record();
    }
    conforms
}

#[test]
fn exhausted_burst_leaves_the_rate() {
    let mut gcra = limiter(10.0, 20);
    gcra.exhaust(1_000_000);
    assert!(!admit(&mut gcra, 1_000_000), "no second burst");
    // After that only the rate applies: one call per tenth of a second.
    let admitted = (1_000_000..3_000_000).step_by(1_000).filter(|now| admit(&mut gcra, *now)).count();
    assert!((19..=20).contains(&admitted), "{admitted} in two seconds");
}

#[test]
fn burst_passes_then_the_rate_and_retry_after_is_exact() {
    let mut gcra = limiter(10.0, 3);
    assert_eq!((0..5).filter(|_| admit(&mut gcra, 0)).count(), 3);
    assert_eq!(gcra.check(0), Err(RateExceeded { retry_after: Some(100_000) }));
    assert!(!admit(&mut gcra, 99_999) && admit(&mut gcra, 100_000) && !admit(&mut gcra, 100_001));
    assert_eq!(
        (0..9).filter(|_| admit(&mut gcra, 10_000_000)).count(),
        3,
        "unused time accumulates to the burst at most"
    );
}

#[test]
fn rate_of_zero_rejects_all_and_clock_never_goes_back() {
    let mut gcra = limiter(0.0, 100);
    assert_eq!(gcra.check(5), Err(RateExceeded { retry_after: None }));
    let mut gcra = limiter(1.0, 1);
    assert!(admit(&mut gcra, 9_000_000) && !admit(&mut gcra, 1));
    assert_eq!(gcra.check(2), Err(RateExceeded { retry_after: Some(1_000_000) }));
}

#[test]
fn changed_limit_keeps_the_debt_in_calls() {
    let mut gcra = limiter(10.0, 10);
    assert_eq!((0..10).filter(|_| admit(&mut gcra, 0)).count(), 10);
    gcra.set_limit(RateLimit { per_second: 100.0, burst: 10 });
    assert_eq!(
        gcra.check(0),
        Err(RateExceeded { retry_after: Some(10_000) }),
        "no second burst; the wait is that of the new rate"
    );
    gcra.set_limit(RateLimit { per_second: 0.0, burst: 10 });
    gcra.set_limit(RateLimit { per_second: 10.0, burst: 10 });
    assert!(gcra.check(0).is_err(), "no second burst after a rate of zero either");
}

proptest! {
    #[test]
    fn no_interval_admits_more_than_burst_and_rate(
        rate in 1.0f64..5_000.0, burst in 1u32..50, gaps in prop::collection::vec(0u64..20_000, 1..400),
    ) {
        let mut gcra = limiter(rate, burst);
        let (mut now, mut admitted) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            if admit(&mut gcra, now) {
                admitted.push(now);
            }
        }
        for (i, from) in admitted.iter().enumerate() {
            for (j, to) in admitted.iter().enumerate().skip(i) {
                let max_calls = f64::from(burst) + (to - from) as f64 / 1e6 * rate * (1.0 + 1e-6) + 1e-3;
                prop_assert!((j - i + 1) as f64 <= max_calls, "{} in {} us", j - i + 1, to - from);
            }
        }
    }
}
