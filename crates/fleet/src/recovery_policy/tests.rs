//! Unit tests of the recovery policy.

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
fn each_kind_of_state_has_one_rule_and_unknowable_state_is_never_used() {
    for state in ALL {
        assert_eq!(RULES.iter().filter(|rule| rule.state == state).count(), 1, "{state:?}");
        assert_eq!(rule(state).state, state);
    }
    let found = StoredState { readable: true, saved_at_ms: Some(5) };
    for state in [
        PersistedState::LoadOrders,
        PersistedState::WorkerStarts,
        PersistedState::KeyedWindows,
        PersistedState::RatesUsed,
    ] {
        assert!(matches!(judge(state, &found, 5), Verdict::Discard(_)), "{state:?}");
    }
}

#[test]
fn ages_are_judged_by_a_clock_that_may_have_stepped() {
    let judge_list = |readable, saved_at_ms, now| {
        judge(PersistedState::WorkerList, &StoredState { readable, saved_at_ms }, now)
    };
    let (at, most) = (10 * HOUR, HOUR);
    assert_eq!(judge_list(true, Some(at), at + most), Verdict::Use(Trust::UntilNewer));
    assert_eq!(judge_list(true, Some(at), at), Verdict::Use(Trust::UntilNewer));
    assert!(matches!(judge_list(true, Some(at), at + most + 1), Verdict::Discard(_)));
    assert!(matches!(judge_list(true, Some(at), at - CLOCK_SLACK - 1), Verdict::Discard(_)));
    assert!(matches!(judge_list(true, None, at), Verdict::Discard(_)));
    assert!(matches!(judge_list(false, Some(at), at), Verdict::Discard(_)));
}
