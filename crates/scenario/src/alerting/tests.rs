//! Unit tests of `alerting`.

use super::*;
use crate::script::Fires;

#[test]
fn what_is_late_missing_or_too_much_is_told() {
    let s = 1_000_000;
    let fires = vec![Fires { alert: "A".into(), after: 10 * s, within: 5 * s, clear_by: 40 * s }];
    let watch = Watch { rules: String::new(), every: s, speed: 1, fires };
    let fired = |alert: &str, from, to| Fired { alert: alert.into(), labels: String::new(), from, to };
    let seen = |alerts| Seen { alerts, faults: vec![], samples: 1 };
    assert!(judge(&watch, &seen(vec![fired("A", 12 * s, Some(30 * s))])).is_empty());
    for (alerts, told) in [
        (vec![], "A did not fire"),
        (vec![fired("A", 9 * s, Some(30 * s))], "fired at 9.0 s"),
        (vec![fired("A", 16 * s, Some(30 * s))], "fired at 16.0 s"),
        (vec![fired("A", 12 * s, None)], "was not clear"),
        (vec![fired("A", 12 * s, Some(20 * s)), fired("B", 1, None)], "B fired"),
    ] {
        let wrong = judge(&watch, &seen(alerts));
        assert!(wrong.len() == 1 && wrong[0].contains(told), "{wrong:?}");
    }
    assert_eq!(judge(&watch, &Seen::default()).len(), 2);
}
