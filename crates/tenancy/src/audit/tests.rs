//! Unit tests of `audit`.

use super::*;
use serde_json::{Value, json};

fn tenant(spec: Value, state: State) -> Tenant {
    let spec = serde_json::from_value(spec).expect("sound");
    let (name, uid, revision) = ("a".to_owned(), 1, 1);
    Tenant { name, uid, revision, state, gone_at_ms: None, created_ms: 0, spec }
}

fn binds(before: Option<Tenant>, after: Option<Tenant>) -> bool {
    let (who, action, tenant) = (String::new(), Action::Change, "a".to_owned());
    Entry { revision: 2, at_ms: 0, actor: who, action, tenant, before, after }.restricts()
}

#[test]
fn what_takes_something_away_binds() {
    let of = |before: Value, after: Value| {
        binds(Some(tenant(before, State::Active)), Some(tenant(after, State::Active)))
    };
    for (before, after) in [
        (json!({}), json!({"limits": {"open_calls": 5}})),
        (json!({"limits": {"rate_per_second": 5.0}}), json!({"limits": {"rate_per_second": 4.5}})),
        (json!({}), json!({"models": ["a*"]})),
        (json!({"models": ["a*"]}), json!({"models": ["ab*"]})),
        (json!({"models": ["a", "b"]}), json!({"models": ["b"]})),
        (json!({}), json!({"classes": {"quick": {"open_calls": 1}}})),
    ] {
        assert!(of(before.clone(), after.clone()), "{before} {after}");
        assert!(!of(after.clone(), before.clone()), "{after} {before}: the other way round gives more");
    }
    assert!(!of(json!({"note": "x"}), json!({"weight": 3.0})));
    assert!(!of(json!({"models": ["ab*", "c"]}), json!({"models": ["a*", "c"]})));
}

#[test]
fn states_bind_one_way() {
    let at = |state| Some(tenant(json!({}), state));
    assert!(
        binds(at(State::Active), at(State::Suspended)) && !binds(at(State::Suspended), at(State::Active))
    );
    assert!(binds(at(State::Suspended), at(State::Removing)) && binds(at(State::Removing), None));
    assert!(!binds(None, at(State::Active)));
}
