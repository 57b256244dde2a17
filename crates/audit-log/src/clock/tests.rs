//! Unit tests of `clock`.

use super::*;

fn exchange(sent: Millis, received: Millis, leader_time: Millis) -> ClockExchange {
    ClockExchange { sent, received, leader_time }
}

#[test]
fn exchanges_bound_the_difference_and_the_bounds_widen_away_from_them() {
    let mut clock = ClockBounds::default();
    assert_eq!(clock.bounds_of(5), None);
    clock.add_exchange(exchange(1_000, 1_010, 50_000));
    assert_eq!(clock.bounds_of(1_005), Some(TimeBounds { earliest: 49_994, latest: 50_006 }));
    let later = clock.bounds_of(11_000).expect("one exchange bounds the time");
    assert_eq!((later.earliest, later.latest), (59_890, 60_100));
    // The bounds of a slow exchange are wider, and must not widen those of the first one.
    clock.add_exchange(exchange(10_000, 15_000, 60_500));
    let now = clock.bounds_of(11_000).expect("two exchanges bound the time");
    assert!(now.earliest >= 59_890 && now.latest <= 60_100, "{now:?}");
}

#[test]
fn contradicting_exchanges_bound_nothing() {
    let mut clock = ClockBounds::default();
    clock.add_exchange(exchange(0, 1, 1_000));
    clock.add_exchange(exchange(2, 3, 90_000));
    assert_eq!(clock.bounds_of(2), None);
}

#[test]
fn number_of_stored_exchanges_is_bounded() {
    let mut clock = ClockBounds::default();
    for n in 0..100_000 {
        clock.add_exchange(exchange(n * 10, n * 10 + 2, n * 10 + 70_001));
    }
    assert!(clock.exchanges.len() <= MAX_EXCHANGES);
    let bounds = clock.bounds_of(500_000).expect("the exchanges bound the time");
    assert!(
        bounds.earliest <= 570_000 && bounds.latest >= 570_000 && bounds.latest - bounds.earliest < 20,
        "{bounds:?}"
    );
}
