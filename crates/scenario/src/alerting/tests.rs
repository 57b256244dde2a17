//! Unit tests of the comparison of fired with expected alerts.

use super::*;
use crate::script::ExpectedAlert;

#[test]
fn late_missing_and_unexpected_alerts_are_reported() {
    let s = 1_000_000;
    let alerts = vec![ExpectedAlert { alert: "A".into(), after: 10 * s, within: 5 * s, clear_by: 40 * s }];
    let watch = Watch { rule_file: String::new(), push_interval: s, speed: 1, alerts };
    let fired = |alert: &str, from, to| FiredAlert { alert: alert.into(), labels: String::new(), from, to };
    let report = |alerts| ReceiverReport { alerts, faults: vec![], samples: 1 };
    assert!(unmet_expectations(&watch, &report(vec![fired("A", 12 * s, Some(30 * s))])).is_empty());
    for (alerts, expected) in [
        (vec![], "A did not fire"),
        (vec![fired("A", 9 * s, Some(30 * s))], "fired at 9.0 s"),
        (vec![fired("A", 16 * s, Some(30 * s))], "fired at 16.0 s"),
        (vec![fired("A", 12 * s, None)], "A had not cleared by 40.0 s"),
        (vec![fired("A", 12 * s, Some(20 * s)), fired("B", 1, None)], "B fired"),
    ] {
        let unmet = unmet_expectations(&watch, &report(alerts));
        assert!(unmet.len() == 1 && unmet[0].contains(expected), "{unmet:?}");
    }
    assert_eq!(unmet_expectations(&watch, &ReceiverReport::default()).len(), 2);
}
