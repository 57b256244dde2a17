//! Unit tests of `lease`.

use super::*;

const REFUSES: Terms = Terms { refuses: true, leaves_after: Some(500) };

#[test]
fn a_life_begins_without_one_and_narrows_as_it_is_told_to() {
    let mut holder = Holder::new(100, REFUSES);
    assert_eq!(holder.ask(100), Stage::Refuses);
    holder.leased(ends(120, 1_000));
    assert_eq!(holder.left(120), Some(990));
    assert_eq!((holder.ask(1_109), holder.ask(1_110)), (Stage::Current, Stage::Refuses));
    assert_eq!((holder.ask(1_609), holder.ask(1_610)), (Stage::Refuses, Stage::Leaves));
    assert_eq!(holder.next(1_200), Some(1_610));
    let counted = holder.counters();
    assert_eq!((counted.leases, counted.lapses, counted.refused), (1, 1, 4));
    holder.leased(ends(1_700, 1_000));
    assert!(holder.ask(1_700).takes(), "heard again, it is back");
    holder.fence();
    assert_eq!(holder.ask(1_701), Stage::Fenced);
    let mut lax = Holder::new(0, Terms { refuses: false, leaves_after: None });
    assert_eq!((lax.ask(9_999_999), lax.stage(9_999_999).ready()), (Stage::GoesOn, true));
}

#[test]
fn an_answer_that_came_late_or_twice_lengthens_nothing() {
    let mut holder = Holder::new(0, REFUSES);
    holder.leased(ends(5_000, 1_000));
    holder.leased(ends(1_000, 1_000));
    assert_eq!(holder.left(5_000), Some(990), "an older ask's answer takes nothing away");
    assert_eq!(Holder::new(0, REFUSES).left(0), None);
    // An answer five seconds late brings a lease that is over.
    let mut late = Holder::new(0, REFUSES);
    late.leased(ends(0, 1_000));
    assert_eq!(late.ask(5_000), Stage::Leaves);
}

#[test]
fn an_act_across_the_end_is_told_as_doubtful() {
    let mut holder = Holder::new(0, REFUSES);
    holder.leased(ends(0, 1_000));
    assert!(!holder.done(980, 989));
    assert!(holder.done(989, 4_000));
    assert!(!holder.done(4_000, 4_001), "it had none at all");
    assert_eq!(holder.counters().doubtful, 1);
}

#[test]
fn the_error_of_two_clocks_is_never_rounded_away() {
    assert_eq!((error_of(1), error_of(1_000), error_of(60_000)), (1, 10, 600));
    assert_eq!(ends(7, MOST_SPAN * 9), 7 + MOST_SPAN - error_of(MOST_SPAN));
}
