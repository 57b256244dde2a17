//! Unit tests of `unit`.

use super::*;
use crate::rules;

#[test]
fn values_follow_the_notation_of_promtool() {
    let some = |all: &[f64]| all.iter().map(|x| Some(*x)).collect::<Vec<_>>();
    assert_eq!(parse_values("0+10x2 5").expect("valid values"), some(&[0.0, 10.0, 20.0, 5.0]));
    assert_eq!(parse_values("-2-3x1").expect("valid values"), some(&[-2.0, -5.0]));
    assert_eq!(parse_values("1 _x2 3").expect("valid values"), [Some(1.0), None, None, Some(3.0)]);
    assert!(parse_values("1 two").is_err() && parse_values("1x999999999").is_err());
}

#[test]
fn unmet_expectation_is_reported() {
    let rules = rules::read("r", "groups: [{name: g, rules: [{alert: A, expr: x > 5, for: 1m}]}]")
        .expect("valid rule file");
    let unmet = |time: &str, fires: &str| {
        let text = format!(
            "rule_files: [r]\ntests:\n- interval: 1m\n  input_series:\n  - {{series: 'x{{c=\"q\"}}', values: '0+2x9'}}\n  \
                 alert_rule_test:\n  - {{eval_time: {time}, alertname: A, exp_alerts: [{fires}]}}\n"
        );
        read("t", &text).expect("valid test file").run(&rules)
    };
    assert!(unmet("2m", "").is_empty());
    assert!(unmet("4m", "{exp_labels: {c: q}}").is_empty());
    assert_eq!(unmet("4m", "").len(), 1);
    assert_eq!(unmet("2m", "{exp_labels: {c: q}}").len(), 1);
    assert_eq!(unmet("4m", "{exp_labels: {c: other}}").len(), 1);
}
