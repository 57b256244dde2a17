//! Unit tests of `sample_clock`.

use super::*;
use proptest::prelude::*;

const S: Micros = 1_000_000;
const HOUR: Micros = 3_600 * S;
const START: Micros = 1_764_590_000 * S;

/// Asked each second for so long, with a wall that is off by so much.
fn run(clock: &mut SampleClock, from: Micros, seconds: u64, off: i64) -> Vec<Micros> {
    let at = |n| from + n * S;
    (1..=seconds).map(|n| clock.now(at(n), (START + at(n)).saturating_add_signed(off))).collect()
}

#[test]
fn a_wall_that_steps_back_an_hour_is_met_without_going_back() {
    let mut clock = SampleClock::new(0, START, 0);
    run(&mut clock, 0, 100, 0);
    let times = run(&mut clock, 100 * S, 2 * 3_600 + 1, -(HOUR as i64));
    assert!(times.windows(2).all(|w| w[1] - w[0] >= S / 2), "half speed at the least");
    assert_eq!((clock.ahead(), clock.steps()), (0, 0), "together again after two hours");
}

#[test]
fn a_wall_that_steps_forward_a_day_is_believed_after_a_minute_and_no_sooner() {
    let mut clock = SampleClock::new(0, START, 0);
    run(&mut clock, 0, 10, 0);
    let times = run(&mut clock, 10 * S, 60, 24 * HOUR as i64);
    assert!(times.windows(2).all(|w| w[1] - w[0] <= S + S / 20), "not yet");
    run(&mut clock, 70 * S, 2, 24 * HOUR as i64);
    assert_eq!((clock.ahead(), clock.steps()), (0, 1));
    // One that jumps and returns is not followed.
    let mut jumps = SampleClock::new(0, START, 0);
    run(&mut jumps, 0, 59, HOUR as i64);
    run(&mut jumps, 59 * S, 200, 0);
    run(&mut jumps, 259 * S, 59, HOUR as i64);
    assert_eq!(jumps.steps(), 0);
}

#[test]
fn drift_over_weeks_stays_small() {
    // The steady clock loses 100 microseconds a second: 8.6 s a day, unless drawn.
    let mut clock = SampleClock::new(0, START, 0);
    for n in 1..=14 * 24 * 60 {
        clock.now(n * 60 * S, START + n * 60 * (S + 100));
        assert!(clock.ahead().unsigned_abs() <= 6_000, "{}", clock.ahead());
    }
}

#[test]
fn a_life_begins_after_the_last_word_of_the_one_before() {
    let mut clock = SampleClock::new(0, START, START + HOUR);
    assert!(clock.now(S, START + S) >= START + HOUR);
    assert!(run(&mut clock, S, 100, 0).windows(2).all(|w| w[0] < w[1]));
}

proptest! {
    #[test]
    fn it_never_goes_back(steps in prop::collection::vec((0u64..100_000_000, any::<u64>()), 1..200)) {
        let mut clock = SampleClock::new(0, START, 0);
        let (mut steady, mut last) = (0, START);
        for (passed, told) in steps {
            steady += passed;
            let now = clock.now(steady, told % (4 * START));
            prop_assert!(now >= last + passed / 2);
            last = now;
        }
    }
}
