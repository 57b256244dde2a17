//! Unit tests of `gcra`.

use super::*;
use proptest::prelude::*;

fn pass(gcra: &mut Gcra, now: Micros) -> bool {
    let passes = gcra.wait(now).is_ok();
    if passes {
        gcra.take();
    }
    passes
}

#[test]
fn what_is_not_known_is_taken_to_be_spent_and_the_rate_goes_on() {
    let mut gcra = Gcra::new(10.0, 20);
    gcra.spend(1_000_000);
    assert!(!pass(&mut gcra, 1_000_000), "no second burst");
    // A tenth of a second a call, and no more.
    let passed = (1_000_000..3_000_000).step_by(1_000).filter(|now| pass(&mut gcra, *now)).count();
    assert!((19..=20).contains(&passed), "{passed} in two seconds");
}

#[test]
fn a_burst_passes_then_the_rate_and_the_wait_told_is_right() {
    let mut gcra = Gcra::new(10.0, 3);
    assert_eq!((0..5).filter(|_| pass(&mut gcra, 0)).count(), 3);
    assert_eq!(gcra.wait(0), Err(Some(100_000)));
    assert!(!pass(&mut gcra, 99_999) && pass(&mut gcra, 100_000) && !pass(&mut gcra, 100_001));
    assert_eq!((0..9).filter(|_| pass(&mut gcra, 10_000_000)).count(), 3, "no more than the burst saves up");
}

#[test]
fn nought_lets_nothing_through_and_a_clock_that_steps_back_stands_still() {
    let mut gcra = Gcra::new(0.0, 100);
    assert_eq!(gcra.wait(5), Err(None));
    let mut gcra = Gcra::new(1.0, 1);
    assert!(pass(&mut gcra, 9_000_000) && !pass(&mut gcra, 1));
    assert_eq!(gcra.wait(2), Err(Some(1_000_000)));
}

#[test]
fn a_change_keeps_what_is_owed_in_calls() {
    let mut gcra = Gcra::new(10.0, 10);
    assert_eq!((0..10).filter(|_| pass(&mut gcra, 0)).count(), 10);
    gcra.set(100.0, 10);
    assert_eq!(gcra.wait(0), Err(Some(10_000)), "no second burst, but the wait of the new rate");
    gcra.set(0.0, 10);
    gcra.set(10.0, 10);
    assert!(gcra.wait(0).is_err(), "nor by way of nought");
}

proptest! {
    #[test]
    fn no_span_lets_more_through_than_burst_and_rate(
        rate in 1.0f64..5_000.0, burst in 1u32..50, gaps in prop::collection::vec(0u64..20_000, 1..400),
    ) {
        let mut gcra = Gcra::new(rate, burst);
        let (mut now, mut passed) = (0, Vec::new());
        for gap in gaps {
            now += gap;
            if pass(&mut gcra, now) {
                passed.push(now);
            }
        }
        for (i, from) in passed.iter().enumerate() {
            for (j, to) in passed.iter().enumerate().skip(i) {
                let most = f64::from(burst) + (to - from) as f64 / 1e6 * rate * (1.0 + 1e-6) + 1e-3;
                prop_assert!((j - i + 1) as f64 <= most, "{} in {} us", j - i + 1, to - from);
            }
        }
    }
}
