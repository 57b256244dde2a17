//! Names and words of the platform's JSON settings: each is taken, and a wrong value of each is refused by its path,
//! so that none is passed over unread.

use nettleferry_platform_settings::read;
use serde_json::{Value, json};

/// Settings with every field.
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

/// Each leaf of a value, as a JSON pointer and as the path that a fault names.
fn leaves(pointer: &str, path: &str, value: &Value, found: &mut Vec<(String, String)>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                leaves(&format!("{pointer}/{name}"), &path, value, found);
            }
        }
        Value::Array(values) => {
            for (n, value) in values.iter().enumerate() {
                leaves(&format!("{pointer}/{n}"), &format!("{path}[{n}]"), value, found);
            }
        }
        _ => found.push((pointer.to_owned(), path.to_owned())),
    }
}

#[test]
fn every_field_is_read() {
    assert!(read(&complete()).is_ok());
    let mut found = Vec::new();
    leaves("", "", &complete(), &mut found);
    assert_eq!(found.len(), 45);
    for (pointer, path) in found {
        let mut settings = complete();
        *settings.pointer_mut(&pointer).expect("it is there") = json!({ "wrong": [] });
        let fault = read(&settings).expect_err(&path);
        assert_eq!(fault.path, path);
    }
}

#[test]
fn every_word_is_known() {
    for (pointer, words) in [
        ("/discovery", &["push", "ask"][..]),
        ("/weights", &["none", "nominal", "rough", "live"]),
        ("/stats/how", &["none", "answers", "probe"]),
        ("/classes/0/effect", &["free", "guarded", "single_shot"]),
        ("/classes/0/key_scope", &["all", "zone", "cell"]),
        ("/family_info/when_absent", &["load", "miss"]),
    ] {
        for word in words {
            let mut settings = complete();
            *settings.pointer_mut(pointer).expect("it is there") = json!(word);
            assert!(read(&settings).is_ok(), "{pointer} {word}");
        }
    }
}
