//! Unit tests of `clock`.

use super::*;

#[test]
fn exchanges_bound_the_difference_and_the_bound_widens_away_from_them() {
    let mut clock = ClockBounds::default();
    assert_eq!(clock.place(5), None);
    clock.heard(1_000, 1_010, 50_000);
    assert_eq!(clock.place(1_005), Some(TimeBounds { lo: 49_994, hi: 50_006 }));
    let later = clock.place(11_000).expect("known");
    assert_eq!((later.lo, later.hi), (59_890, 60_100));
    // A slow exchange says less, and takes nothing away.
    clock.heard(10_000, 15_000, 60_500);
    let now = clock.place(11_000).expect("known");
    assert!(now.lo >= 59_890 && now.hi <= 60_100, "{now:?}");
}

#[test]
fn a_clock_that_did_what_no_clock_may_places_nothing() {
    let mut clock = ClockBounds::default();
    clock.heard(0, 1, 1_000);
    clock.heard(2, 3, 90_000);
    assert_eq!(clock.place(2), None);
}

#[test]
fn many_exchanges_take_bounded_room() {
    let mut clock = ClockBounds::default();
    for n in 0..100_000 {
        clock.heard(n * 10, n * 10 + 2, n * 10 + 70_001);
    }
    assert!(clock.exchanges.len() <= MOST_EXCHANGES);
    let span = clock.place(500_000).expect("known");
    assert!(span.lo <= 570_000 && span.hi >= 570_000 && span.hi - span.lo < 20, "{span:?}");
}
