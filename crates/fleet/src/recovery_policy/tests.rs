//! Unit tests of `trust`.

use super::*;

const ALL: [PersistedState; 8] = [
    PersistedState::Snapshot,
    PersistedState::WorkerList,
    PersistedState::Settings,
    PersistedState::LoadOrders,
    PersistedState::WorkerStarts,
    PersistedState::KeyedWindows,
    PersistedState::RatesUsed,
    PersistedState::LongestLease,
];

#[test]
fn each_thing_has_one_row_and_what_a_life_cannot_know_is_never_believed() {
    for thing in ALL {
        assert_eq!(RULES.iter().filter(|row| row.state == thing).count(), 1, "{thing:?}");
        assert_eq!(rule(thing).state, thing);
    }
    let held = StoredState { readable: true, saved_at_ms: Some(5) };
    for thing in [
        PersistedState::LoadOrders,
        PersistedState::WorkerStarts,
        PersistedState::KeyedWindows,
        PersistedState::RatesUsed,
    ] {
        assert!(matches!(judge(thing, &held, 5), Verdict::Discard(_)), "{thing:?}");
    }
}

#[test]
fn ages_are_judged_by_a_clock_that_may_have_stepped() {
    let list = |sound, at_ms, now| {
        judge(PersistedState::WorkerList, &StoredState { readable: sound, saved_at_ms: at_ms }, now)
    };
    let (at, most) = (10 * HOUR, HOUR);
    assert_eq!(list(true, Some(at), at + most), Verdict::Use(Trust::UntilNewer));
    assert_eq!(list(true, Some(at), at), Verdict::Use(Trust::UntilNewer));
    assert!(matches!(list(true, Some(at), at + most + 1), Verdict::Discard(_)));
    assert!(matches!(list(true, Some(at), at - CLOCK_SLACK - 1), Verdict::Discard(_)));
    assert!(matches!(list(true, None, at), Verdict::Discard(_)));
    assert!(matches!(list(false, Some(at), at), Verdict::Discard(_)));
}
