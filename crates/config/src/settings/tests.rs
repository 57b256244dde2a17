//! Unit tests of `settings`: the example file is valid, the longest prefix of a model name wins, and errors contain the
//! fix.

use nettleferry::{Effect, KeyScope};

use super::*;

/// Valid settings without a model.
const SETTINGS_WITHOUT_MODEL: &str = "(listen (grpc \"127.0.0.1:0\")) (workers (file \"w.sexp\"))
    (class c (effect safe) (aim 600ms) (deadline 4s))";

fn errors(text: &str) -> String {
    read("n.sexp", text).map(|_| ()).expect_err("invalid settings").to_string()
}

#[test]
fn example_file_is_valid() {
    let text = include_str!("../../../../examples/nettleferry.sexp");
    let config = read("examples/nettleferry.sexp", text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(config.classes, ["quick", "keyed", "once"]);
    assert_eq!(
        config.settings.classes[1].effect,
        Effect::IdempotencyKey { scope: KeyScope::Zone, window: 5_000_000 }
    );
    assert_eq!(config.settings.loading.ration_window, 10_000_000);
    assert_eq!(config.models.find("climb-windhoek").expect("by prefix").lanes, 4);
}

// Guards against refusals whose advice is longer than the decision module counts on.
#[test]
fn longest_retry_advice_covers_the_pushback() {
    let longest_advice = |limits: &str| {
        let text = format!("{SETTINGS_WITHOUT_MODEL} (model m (class c)) (limits {limits})");
        read("n", &text).expect("valid settings").settings.limits.retry_after
    };
    assert_eq!(longest_advice(""), Some(100_000), "the default pushback");
    assert_eq!(longest_advice("(pushback 3s) (retry-after 2s)"), Some(3_000_000));
    assert_eq!(longest_advice("(pushback 1s) (retry-after 2s)"), Some(2_000_000));
}

#[test]
fn longest_prefix_wins() {
    let text = format!(
        "{SETTINGS_WITHOUT_MODEL} (model \"*\" (class c)) (model \"echo-*\" (class c) (lanes 2))
         (model \"echo-big-*\" (class c) (lanes 3)) (model echo-big-1 (class c) (lanes 4))"
    );
    let models = read("n", &text).expect("valid settings").models;
    let lanes = |name| models.find(name).expect("all match").lanes;
    assert_eq!(
        ["echo-big-1", "echo-big-2", "echo-c", "echo-", "echo", "zebra"].map(lanes),
        [4, 3, 2, 2, 1, 1]
    );
}

#[test]
fn missing_lists_are_reported_with_the_fix() {
    let report = errors("");
    for part in ["lacks (listen ...)", "lacks (workers ...)", "no (class ...)", "no (model ...)"] {
        assert!(report.contains(part), "{part} in {report}");
    }
}

#[test]
fn unknown_class_gets_a_suggestion() {
    let report = errors(&format!(
        "{SETTINGS_WITHOUT_MODEL} (class credit (effect unsafe) (aim 1s) (deadline 2s)) (model m (class credti))"
    ));
    assert!(report.contains("there is no class credti: did you mean credit?"), "{report}");
}

#[test]
fn contradictory_settings_are_rejected() {
    let report = errors(&format!(
        "{SETTINGS_WITHOUT_MODEL} (model m (class c)) (class d (effect (keyed zone)) (aim 5s) (deadline 4s))
         (loading (when-absent miss) (orders no)) (controller (number 3) (of 3)) (limits (attempts 0) (idle 30))"
    ));
    for part in [
        "the aim is above zero and not longer",
        "no model would ever be loaded",
        "numbers go from 0 to 2",
        "(attempts 0): 1 at the least",
        "(idle ...): write a span with its unit",
    ] {
        assert!(report.contains(part), "{part} in {report}");
    }
}
