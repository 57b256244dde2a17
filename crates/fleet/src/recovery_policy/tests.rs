//! Unit tests of `trust`.

use super::*;

const ALL: [Thing; 8] = [
    Thing::Book,
    Thing::WorkerList,
    Thing::Settings,
    Thing::OrdersGiven,
    Thing::WorkerStarts,
    Thing::KeyedWindows,
    Thing::RatesUsed,
    Thing::LeasesGiven,
];

#[test]
fn each_thing_has_one_row_and_what_a_life_cannot_know_is_never_believed() {
    for thing in ALL {
        assert_eq!(TABLE.iter().filter(|row| row.thing == thing).count(), 1, "{thing:?}");
        assert_eq!(row(thing).thing, thing);
    }
    let held = Held { sound: true, at_ms: Some(5) };
    for thing in [Thing::OrdersGiven, Thing::WorkerStarts, Thing::KeyedWindows, Thing::RatesUsed] {
        assert!(matches!(judge(thing, &held, 5), Verdict::Not(_)), "{thing:?}");
    }
}

#[test]
fn ages_are_judged_by_a_clock_that_may_have_stepped() {
    let list = |sound, at_ms, now| judge(Thing::WorkerList, &Held { sound, at_ms }, now);
    let (at, most) = (10 * HOUR, HOUR);
    assert_eq!(list(true, Some(at), at + most), Verdict::Use(Belief::UntilNewer));
    assert_eq!(list(true, Some(at), at), Verdict::Use(Belief::UntilNewer));
    assert!(matches!(list(true, Some(at), at + most + 1), Verdict::Not(_)));
    assert!(matches!(list(true, Some(at), at - CLOCK_SLACK - 1), Verdict::Not(_)));
    assert!(matches!(list(true, None, at), Verdict::Not(_)));
    assert!(matches!(list(false, Some(at), at), Verdict::Not(_)));
}
