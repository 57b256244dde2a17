//! Unit tests of `script`.

use super::*;

const DAY: &str = "(day x (length 5s)) (controllers 2) (workers 3 (zones a b) (cores 2))
        (settings (class c (effect safe) (aim 1s) (deadline 2s)) ; kept as text
                  (model * (class c)))
        (traffic echo (rate 10))";

#[test]
fn a_day_is_read_and_its_settings_are_kept_as_text() {
    let text = format!(
        "{DAY} (at 2s (crash (workers w1 w3) (for 1s)) (stall (for 1s))) (at 1s (roll (each 500ms)))"
    );
    let day = read("d.sexp", &text).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((day.workers.0, day.workers.1.len(), day.spec.cores), (3, 2, 2.0));
    assert!(day.settings.contains("(model * (class c))"));
    assert_eq!(day.troubles[0].1.kind, Kind::Roll(500_000));
    assert_eq!(day.troubles[1].1.workers, ["w1", "w3"]);
}

#[test]
fn what_is_not_there_is_told() {
    let text = format!(
        "{DAY} (at 1s (crash (workers w9) (for 1s)) (cut (zone a)) (crush (for 1s))) (traffic zebra (rate 1))"
    );
    let errors = read("d.sexp", &text).expect_err("wrong").to_string();
    for part in [
        "there is no worker w9: they are w1 to w3",
        "cut lacks (for ...)",
        "there is no trouble crush: did you mean crash?",
        "traffic zebra",
    ] {
        assert!(errors.contains(part), "{part} in {errors}");
    }
}
