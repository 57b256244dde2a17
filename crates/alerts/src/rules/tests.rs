//! Unit tests of `rules`.

use super::*;

#[test]
fn durations_follow_prometheus() {
    assert_eq!(duration("1h30m"), Some(5_400_000));
    assert_eq!(duration("500ms"), Some(500));
    for bad in ["", "5", "m", "5x", "-1s", "1.5s", "99999999999999999999s", "9223372036854775807w"] {
        assert_eq!(duration(bad), None, "{bad:?}");
    }
}

#[test]
fn errors_name_the_unknown_key_or_the_alert() {
    let read_rule = |body: &str| read("a.yml", &format!("groups:\n- name: g\n  rules:\n  - {body}"));
    let error = |body: &str| read_rule(body).expect_err("invalid rule file").to_string();
    assert!(error("{alert: A, expr: up, fro: 5m}").contains("fro"));
    assert!(error("{alert: A, expr: 'sum by (', for: 5m}").contains("alert A"));
    assert!(
        error("{alert: A, expr: up, for: 5 minutes}").contains("alert A: \"5 minutes\" is not a duration")
    );
    let interval =
        read("a.yml", "groups: [{name: g, interval: soon, rules: []}]").expect_err("invalid rule file");
    assert!(interval.to_string().contains("group g: \"soon\" is not a duration"));
    assert_eq!(read_rule("{alert: A, expr: up, for: 5m}").expect("valid rule file")[0].pending_for, 300_000);
}
