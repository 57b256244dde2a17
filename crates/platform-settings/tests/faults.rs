//! Invalid settings are rejected with the path of the field. Absent values and values at their bounds are accepted.

use nettleferry::{Effect, KeyScope, Weights};
use nettleferry_platform_settings::read;
use serde_json::{Value, json};

/// Returns settings that are valid, with some fields absent and some at their bounds.
fn valid() -> Value {
    json!({
        "classes": [
            {"name": "a", "deadline_ms": 4000.0, "effect": "free"},
            {"name": "b", "deadline_ms": 1, "effect": "guarded", "key_scope": "cell", "repeat_window_ms": 0},
        ],
        "accounts": [{"name": "ada", "quota_per_s": null}],
        "me": 0, "n_instances": 3.0, "weights": "live", "stats": {"how": "none", "fields": []},
        "limits": {"max_attempts": 3.0, "max_open": 4294967296u64, "max_streams": 4294967296u64, "cancel": null},
        "obligations": {"cold_ms": 0, "start_capacity": 0},
        "family_info": {"load_share": 0.25, "more": {}}, "more": [1],
    })
}

/// Returns the valid settings with a new value for one field, given by its JSON pointer.
fn with(pointer: &str, value: Value) -> Value {
    let mut settings = valid();
    *settings.pointer_mut(pointer).unwrap_or_else(|| panic!("no field at {pointer}")) = value;
    settings
}

#[test]
fn absent_and_extreme_values_are_accepted() {
    let parsed = read(&valid()).expect("valid settings");
    assert_eq!(
        (parsed.settings.controllers, parsed.settings.limits.max_attempts),
        (3, 3),
        "3.0 is accepted as an integer"
    );
    assert_eq!((parsed.streams, parsed.open_calls), (u32::MAX, Some(1 << 32)), "the largest value that fits");
    assert_eq!(parsed.settings.weights, Weights::Live);
    let keyed = Effect::IdempotencyKey { scope: KeyScope::Cell, window: 0 };
    assert_eq!(
        (parsed.settings.classes[0].effect, parsed.settings.classes[1].effect),
        (Effect::Idempotent, keyed)
    );
    assert_eq!(parsed.settings.tenants[0].quota_per_s, None);
    assert!(!parsed.settings.limits.cancel, "null counts as absent");
}

#[test]
fn invalid_field_is_named() {
    let invalid = [
        ("/classes", json!({}), "classes"),
        ("/classes/1", json!(7), "classes[1]"),
        ("/classes/1/name", json!("a"), "classes[1].name"),
        ("/classes/1/name", json!(null), "classes[1].name"),
        ("/classes/0/deadline_ms", json!("4000"), "classes[0].deadline_ms"),
        ("/classes/0/deadline_ms", json!(-1), "classes[0].deadline_ms"),
        ("/classes/0/deadline_ms", json!(0), "classes[0].deadline_ms"),
        ("/classes/0/deadline_ms", json!(1e15), "classes[0].deadline_ms"),
        ("/classes/0/effect", json!("harmless"), "classes[0].effect"),
        ("/classes/1/key_scope", json!("everywhere"), "classes[1].key_scope"),
        ("/classes/1/repeat_window_ms", json!([5]), "classes[1].repeat_window_ms"),
        ("/accounts/0/name", json!(5), "accounts[0].name"),
        ("/accounts/0/quota_per_s", json!("much"), "accounts[0].quota_per_s"),
        ("/n_instances", json!(2.5), "n_instances"),
        ("/me", json!(-1), "me"),
        ("/weights", json!("heavy"), "weights"),
        ("/stats", json!("none"), "stats"),
        ("/stats/how", json!(true), "stats.how"),
        ("/limits", json!([]), "limits"),
        ("/limits/max_attempts", json!("3"), "limits.max_attempts"),
        ("/limits/max_attempts", json!(-3), "limits.max_attempts"),
        ("/limits/cancel", json!("no"), "limits.cancel"),
        ("/obligations/cold_ms", json!({}), "obligations.cold_ms"),
        ("/obligations/start_capacity", json!(-0.1), "obligations.start_capacity"),
        ("/family_info/load_share", json!("a quarter"), "family_info.load_share"),
    ];
    for (pointer, value, path) in invalid {
        let error = read(&with(pointer, value.clone())).expect_err(pointer);
        assert_eq!(error.path, path, "{value}");
        assert!(error.to_string().contains(path), "{error}");
    }
    for value in [json!(null), json!([]), json!("settings")] {
        assert_eq!(read(&value).expect_err("settings that are not an object").path, "settings");
    }
}
