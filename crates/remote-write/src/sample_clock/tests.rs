//! Tests of the sample clock with steps and drift of the wall clock.

use super::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
const START: Micros = 1_764_590_000 * SECOND;

/// Reads the clock once a second for `seconds` seconds. The wall clock shows [`START`] plus the monotonic time plus
/// `offset` microseconds.
fn run(clock: &mut SampleClock, from: Micros, seconds: u64, offset: i64) -> Vec<Micros> {
    let at = |n| from + n * SECOND;
    (1..=seconds).map(|n| clock.now(at(n), (START + at(n)).saturating_add_signed(offset))).collect()
}

#[test]
fn step_back_of_the_wall_clock_is_slewed() {
    let mut clock = SampleClock::new(0, START, 0);
    run(&mut clock, 0, 100, 0);
    let times = run(&mut clock, 100 * SECOND, 2 * 3_600 + 1, -(HOUR as i64));
    assert!(times.windows(2).all(|w| w[1] - w[0] >= SECOND / 2), "the clock runs at half speed or more");
    assert_eq!(
        (clock.offset(), clock.steps_forward()),
        (0, 0),
        "the clock agrees with the wall clock after two hours"
    );
}

#[test]
fn step_forward_is_followed_after_its_confirmation() {
    let mut clock = SampleClock::new(0, START, 0);
    run(&mut clock, 0, 10, 0);
    let times = run(&mut clock, 10 * SECOND, 60, 24 * HOUR as i64);
    assert!(times.windows(2).all(|w| w[1] - w[0] <= SECOND + SECOND / 20), "the step is not confirmed yet");
    run(&mut clock, 70 * SECOND, 2, 24 * HOUR as i64);
    assert_eq!((clock.offset(), clock.steps_forward()), (0, 1));
    // A wall clock that steps forward and back again within the confirmation time is not followed.
    let mut clock = SampleClock::new(0, START, 0);
    run(&mut clock, 0, 59, HOUR as i64);
    run(&mut clock, 59 * SECOND, 200, 0);
    run(&mut clock, 259 * SECOND, 59, HOUR as i64);
    assert_eq!(clock.steps_forward(), 0);
}

#[test]
fn drift_over_weeks_stays_small() {
    // The monotonic clock loses 100 microseconds per second, which without slewing would be 8.6 s per day.
    let mut clock = SampleClock::new(0, START, 0);
    for n in 1..=14 * 24 * 60 {
        clock.now(n * 60 * SECOND, START + n * 60 * (SECOND + 100));
        assert!(clock.offset().unsigned_abs() <= 6_000, "{}", clock.offset());
    }
}

#[test]
fn clock_starts_after_the_last_sample_of_an_earlier_incarnation() {
    let mut clock = SampleClock::new(0, START, START + HOUR);
    assert!(clock.now(SECOND, START + SECOND) >= START + HOUR);
    assert!(run(&mut clock, SECOND, 100, 0).windows(2).all(|w| w[0] < w[1]));
}

proptest! {
    #[test]
    fn clock_never_goes_back(steps in prop::collection::vec((0u64..100_000_000, any::<u64>()), 1..200)) {
        let mut clock = SampleClock::new(0, START, 0);
        let (mut monotonic, mut last) = (0, START);
        for (elapsed, wall) in steps {
            monotonic += elapsed;
            let now = clock.now(monotonic, wall % (4 * START));
            prop_assert!(now >= last + elapsed / 2);
            last = now;
        }
    }
}
