//! Unit tests of the scenario file parser.

use super::*;

const SCENARIO: &str = "(day x (length 5s)) (controllers 2) (workers 3 (zones a b) (cores 2))
        (settings (class c (effect safe) (latency_objective 1s) (deadline 2s)) ; kept as text
                  (model * (class c)))
        (traffic echo (rate 10))";

#[test]
fn scenario_is_parsed_and_its_settings_stay_text() {
    let text = format!(
        "{SCENARIO} (at 2s (crash (workers w1 w3) (for 1s)) (stall (for 1s))) (at 1s (roll (each 500ms)))"
    );
    let scenario = read("d.sexp", &text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((scenario.workers.count, scenario.workers.zones.len(), scenario.spec.cores), (3, 2, 2.0));
    assert!(scenario.settings.contains("(model * (class c))"));
    assert_eq!(scenario.faults[0].kind, FaultKind::RollingRestart(500_000));
    assert_eq!(scenario.faults[1].workers, ["w1", "w3"]);
}

#[test]
fn unknown_names_are_reported() {
    let text = format!(
        "{SCENARIO} (at 1s (crash (workers w9) (for 1s)) (cut (zone a)) (crush (for 1s))) (traffic zebra (rate 1))"
    );
    let errors = read("d.sexp", &text).expect_err("the scenario contains unknown names").to_string();
    for part in [
        "there is no worker w9: the workers are w1 to w3",
        "cut lacks (for ...)",
        "there is no fault crush: did you mean crash?",
        "traffic zebra",
    ] {
        assert!(errors.contains(part), "no error contains {part:?}: {errors}");
    }
}

// Guards against traffic whose answers the client can't assign to its calls.
#[test]
fn shared_streams_need_ids() {
    let traffic = "(traffic climb-s (rate 1) (streamed yes) (shared yes) (without-id 0.5))";
    let errors =
        read("d.sexp", &format!("{SCENARIO} {traffic}")).expect_err("contradictory traffic").to_string();
    assert!(errors.contains("(shared yes) excludes (without-id ...)"), "{errors}");
}
