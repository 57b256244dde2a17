//! Unit tests of `eval`.

use super::*;
use promql_parser::parser::parse;

/// Three counters that grow by 1, 2 and 0 every 15 s, and a gauge that ends with a staleness marker.
fn store() -> Store {
    let mut store = Store::default();
    for n in 0..=80i64 {
        for (class, step) in [("a", 1.0), ("b", 2.0), ("c", 0.0)] {
            let labels = [("__name__", "calls"), ("class", class)].map(|(k, v)| (k.to_owned(), v.to_owned()));
            store.add(&labels.into(), n * 15_000, n as f64 * step);
        }
    }
    let gauge: Labels = [("__name__".to_owned(), "held".to_owned())].into();
    store.add(&gauge, 1_000_000, 7.0);
    store.add(&gauge, 1_100_000, staleness_marker());
    store
}

fn value(expr: &str, at: Millis) -> Vec<(String, f64)> {
    match eval(&parse(expr).expect("valid PromQL"), &store(), at).expect("supported expression") {
        Value::Scalar(x) => vec![(String::new(), x)],
        Value::Vector(all) => {
            all.into_iter().map(|(l, x)| (l.get("class").cloned().unwrap_or_default(), x)).collect()
        }
    }
}

fn expected(all: &[(&str, f64)]) -> Vec<(String, f64)> {
    all.iter().map(|(l, x)| ((*l).to_owned(), *x)).collect()
}

#[test]
fn rates_are_extrapolated_and_zero_for_a_constant_counter() {
    let rates = value("rate(calls[5m])", 1_200_000);
    let is_close = |x: f64, y: f64| (x - y).abs() < 1e-9;
    assert!(
        is_close(rates[0].1, 1.0 / 15.0) && is_close(rates[1].1, 2.0 / 15.0) && rates[2].1 == 0.0,
        "{rates:?}"
    );
    assert!(value("rate(calls[20s])", 10_000).is_empty(), "one sample gives no rate");
}

#[test]
fn counter_reset_is_no_decrease() {
    let mut store = Store::default();
    let labels: Labels = [("__name__".to_owned(), "x".to_owned())].into();
    for (n, v) in [10.0, 20.0, 0.0, 10.0].into_iter().enumerate() {
        store.add(&labels, n as i64 * 60_000, v);
    }
    let increase = eval(&parse("increase(x[3m])").expect("valid PromQL"), &store, 180_000)
        .expect("supported expression");
    let Value::Vector(all) = increase else { panic!("the result is not a vector") };
    assert!(all[0].1 > 10.0 && all[0].1 < 35.0, "{all:?}");
}

#[test]
fn zero_divided_by_zero_is_no_alert() {
    assert_eq!(value("rate(calls{class=\"c\"}[5m]) / rate(calls{class=\"c\"}[5m]) > 0.1", 1_200_000), []);
}

#[test]
fn arithmetic_comparison_and_set_operators() {
    assert_eq!(value("calls > 50", 1_200_000), expected(&[("a", 80.0), ("b", 160.0)]));
    assert_eq!(
        value("sum by (class) (calls) * 2 > bool 200", 1_200_000),
        expected(&[("a", 0.0), ("b", 1.0), ("c", 0.0)])
    );
    assert_eq!(value("calls unless calls > 0", 1_200_000), expected(&[("c", 0.0)]));
    assert_eq!(value("calls > 100 and on (class) calls", 1_200_000), expected(&[("b", 160.0)]));
    assert_eq!(value("calls / on (class) calls > 0", 1_200_000), expected(&[("a", 1.0), ("b", 1.0)]));
    assert_eq!(
        value("calls / ignoring (class) group_left sum(calls) > 0.5", 1_200_000),
        expected(&[("b", 160.0 / 240.0)])
    );
    assert_eq!(value("-1 + 3 * 2 ^ 2", 0), expected(&[("", 11.0)]));
}

#[test]
fn staleness_and_lookback_end_a_series() {
    assert_eq!(value("held", 1_050_000), expected(&[("", 7.0)]));
    assert!(value("held", 1_150_000).is_empty(), "a staleness marker ends the series");
    assert_eq!(value("absent(held)", 1_150_000), expected(&[("", 1.0)]));
    assert!(value("calls", 1_200_000 + LOOKBACK).is_empty());
    assert_eq!(value("absent_over_time(held[1m])", 1_300_000), expected(&[("", 1.0)]));
}

#[test]
fn unsupported_expressions_are_named() {
    let error = |expr: &str| {
        eval(&parse(expr).expect("valid PromQL"), &store(), 0)
            .expect_err("unsupported expression")
            .to_string()
    };
    assert!(error("deriv(calls[5m])").contains("deriv"));
    assert!(error("topk(1, calls)").contains("topk"));
    assert!(error("max_over_time(rate(calls[5m])[1h:])").contains("range vector other than a selector"));
}
