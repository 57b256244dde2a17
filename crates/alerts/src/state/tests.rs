//! Unit tests of `state`.

use super::*;
use crate::rules;

#[test]
fn alert_is_pending_then_firing_then_kept_firing() {
    let text = "groups: [{name: g, rules: [{alert: A, expr: x > 0, for: 2m, keep_firing_for: 3m}]}]";
    let rule = rules::read("a", text).expect("valid rule file").remove(0);
    let labels: Labels = [("__name__".to_owned(), "x".to_owned())].into();
    let mut store = Store::default();
    // The expression is true at minute 1 and at minutes 3 to 6.
    for (minute, value) in [0, 1, 0, 1, 1, 1, 1, 0, 0, 0, 0, 0].into_iter().enumerate() {
        store.add(&labels, minute as i64 * 60_000, f64::from(value));
    }
    let mut alerts = Alerts::new(rule);
    let mut firing = Vec::new();
    for minute in 0..12 {
        alerts.evaluate(&store, minute * 60_000).expect("supported expression");
        if !alerts.firing().is_empty() {
            firing.push(minute);
        }
    }
    assert_eq!(
        firing,
        [5, 6, 7, 8],
        "fires 2 minutes after minute 3, and less than 3 minutes after it was last true at minute 6"
    );
}
