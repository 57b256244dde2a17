//! The field names and keywords of the platform's JSON settings. An invalid value of each field must be rejected with
//! the field's path, which guards against fields that are silently ignored.

use nettleferry_platform_settings::read;
use serde_json::{Value, json};

/// Returns settings with every field that the parser knows.
fn complete() -> Value {
    json!({
        "me": 1, "n_instances": 3, "zone": "a", "over_share_worth": 0.5, "discovery": "ask", "weights": "rough",
        "classes": [{
            "name": "a", "deadline_ms": 4000, "goal_time_ms": 600, "effect": "guarded", "key_scope": "zone",
            "repeat_window_ms": 5000, "points": 2, "late_share": 0.3, "stream": true,
        }],
        "accounts": [{ "name": "ada", "quota_per_s": 5.5 }],
        "stats": { "how": "probe" },
        "limits": {
            "max_streams": 4, "conn_idle_ms": 900, "max_open": 70, "retry_after": true, "max_retry_after_ms": 2000,
            "max_attempts": 3, "parallel_tries": true, "probes": true, "cancel": true, "connect_timeout_ms": 250,
        },
        "family_info": {
            "when_absent": "miss", "linger_idle_ms": 8000, "orders": true, "order_timeout_ms": 10000, "warm_notes": true,
            "counts_alike": true, "load_period_ms": 9000, "load_floor": 3, "load_share": 0.1, "memory_price": 2,
        },
        "obligations": {
            "grace_to_answer_ms": 500, "stop_sending_within_ms": 400, "must_ask_in_ms": 300, "start_capacity": 0.2,
            "cold_ms": 17000, "overload_factor": 2, "fall_ms": 2000,
        },
    })
}

/// Collects each leaf of a value, as a JSON pointer and as the path that an error names.
fn leaves(pointer: &str, path: &str, value: &Value, collected: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                leaves(&format!("{pointer}/{name}"), &path, value, collected);
            }
        }
        Value::Array(values) => {
            for (index, value) in values.iter().enumerate() {
                leaves(&format!("{pointer}/{index}"), &format!("{path}[{index}]"), value, collected);
            }
        }
        _ => collected.push((pointer.to_owned(), path.to_owned())),
    }
}

#[test]
fn every_field_is_read() {
    assert!(read(&complete()).is_ok());
    let mut fields = Vec::new();
    leaves("", "", &complete(), &mut fields);
    assert_eq!(fields.len(), 45);
    for (pointer, path) in fields {
        let mut settings = complete();
        *settings.pointer_mut(&pointer).expect("the field exists") = json!({ "wrong": [] });
        let error = read(&settings).expect_err(&path);
        assert_eq!(error.path, path);
    }
}

#[test]
fn every_keyword_is_accepted() {
    for (pointer, keywords) in [
        ("/discovery", &["push", "ask"][..]),
        ("/weights", &["none", "nominal", "rough", "live"]),
        ("/stats/how", &["none", "answers", "probe"]),
        ("/classes/0/effect", &["free", "guarded", "single_shot"]),
        ("/classes/0/key_scope", &["all", "zone", "cell"]),
        ("/family_info/when_absent", &["load", "miss"]),
    ] {
        for keyword in keywords {
            let mut settings = complete();
            *settings.pointer_mut(pointer).expect("the field exists") = json!(keyword);
            assert!(read(&settings).is_ok(), "{pointer} {keyword}");
        }
    }
}
