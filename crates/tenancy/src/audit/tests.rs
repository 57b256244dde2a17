//! Unit tests of [`Entry::restricts`].

use super::*;
use serde_json::{Value, json};

fn tenant(spec: Value, state: State) -> Tenant {
    let spec = serde_json::from_value(spec).expect("a valid spec");
    let (name, uid, revision) = ("a".to_owned(), 1, 1);
    Tenant { name, uid, revision, state, gone_at_ms: None, created_ms: 0, spec }
}

fn restricts(before: Option<Tenant>, after: Option<Tenant>) -> bool {
    let (actor, action, tenant) = (String::new(), Action::Change, "a".to_owned());
    Entry { revision: 2, at_ms: 0, actor, action, tenant, before, after }.restricts()
}

#[test]
fn lowered_limits_and_withdrawn_rights_restrict() {
    let change_restricts = |before: Value, after: Value| {
        restricts(Some(tenant(before, State::Active)), Some(tenant(after, State::Active)))
    };
    for (before, after) in [
        (json!({}), json!({"limits": {"open_calls": 5}})),
        (json!({"limits": {"rate_per_second": 5.0}}), json!({"limits": {"rate_per_second": 4.5}})),
        (json!({}), json!({"models": ["a*"]})),
        (json!({"models": ["a*"]}), json!({"models": ["ab*"]})),
        (json!({"models": ["a", "b"]}), json!({"models": ["b"]})),
        (json!({}), json!({"classes": {"quick": {"open_calls": 1}}})),
    ] {
        assert!(change_restricts(before.clone(), after.clone()), "{before} {after}");
        assert!(
            !change_restricts(after.clone(), before.clone()),
            "{after} {before}: the opposite change grants more"
        );
    }
    assert!(!change_restricts(json!({"note": "x"}), json!({"weight": 3.0})));
    assert!(!change_restricts(json!({"models": ["ab*", "c"]}), json!({"models": ["a*", "c"]})));
}

#[test]
fn suspension_and_removal_restrict_but_resumption_does_not() {
    let at = |state| Some(tenant(json!({}), state));
    assert!(
        restricts(at(State::Active), at(State::Suspended))
            && !restricts(at(State::Suspended), at(State::Active))
    );
    assert!(restricts(at(State::Suspended), at(State::Removing)) && restricts(at(State::Removing), None));
    assert!(!restricts(None, at(State::Active)));
}
