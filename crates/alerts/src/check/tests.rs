//! Unit tests of `check`.

use super::*;
use crate::rules;

fn problems(expr: &str) -> Vec<String> {
    let mut catalog = Catalog::new(&["instance"]);
    let label = |n: &str, v: &str| (n.to_owned(), v.to_owned());
    catalog.add(&[label("__name__", "calls_total"), label("class", "quick"), label("end", "refused")]);
    let text = format!("groups: [{{name: g, rules: [{{alert: A, expr: '{expr}'}}]}}]");
    check(&rules::read("a", &text).expect("valid rule file")[0], &catalog)
}

#[test]
fn unknown_metrics_and_labels_are_named() {
    assert!(problems("sum by (class, instance) (rate(calls_total{end=\"refused\"}[5m])) > 1").is_empty());
    assert_eq!(problems("sum(call_total) > 1"), ["there is no metric call_total"]);
    assert_eq!(problems("sum by (klass) (calls_total) > 1"), ["no metric of the rule has the label klass"]);
    assert_eq!(problems("calls_total{ent=\"x\"} > 1"), ["calls_total has no label ent"]);
    assert_eq!(
        problems("calls_total{end=\"refussed\"} > 1"),
        ["calls_total: no series has end=\"refussed\""]
    );
    assert_eq!(problems("vector(1) > 2"), ["the expression names no metric"]);
}
