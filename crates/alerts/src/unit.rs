//! Rule unit test files in the format of `promtool test rules`: input series in its notation, and the alerts that must
//! fire at given times.

use std::collections::{BTreeMap, BTreeSet};

use promql_parser::parser::{Expr, parse};
use serde::Deserialize;

use crate::eval::{Labels, Store, staleness_marker};
use crate::rules::{Millis, Rule, duration};
use crate::state::Alerts;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Paths of the rule files, relative to the directory of this file.
    rule_files: Vec<String>,
    #[serde(default)]
    evaluation_interval: Option<String>,
    tests: Vec<Test>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Test {
    #[serde(default)]
    name: String,
    interval: String,
    input_series: Vec<Input>,
    alert_rule_test: Vec<Expected>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Input {
    series: String,
    values: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expected {
    eval_time: String,
    alertname: String,
    #[serde(default)]
    exp_alerts: Vec<ExpectedAlert>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedAlert {
    #[serde(default)]
    exp_labels: BTreeMap<String, String>,
}

/// A parsed unit test file.
pub struct UnitTests {
    /// Paths of the rule files under test, relative to the directory of the test file.
    pub rule_files: Vec<String>,
    interval: Millis,
    tests: Vec<Test>,
}

/// Maximum number of samples of one input series.
const MAX_SAMPLES: usize = 100_000;

/// An error in a unit test file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {message}")]
pub struct UnitTestError {
    /// Name of the test file, as passed to [`read`].
    pub file: String,
    /// Description of the error.
    pub message: String,
}

/// Parses a unit test file. `file` is its name, which errors quote.
///
/// # Errors
/// If the text does not have the format of a test file, or its `evaluation_interval` is not a positive duration.
pub fn read(file: &str, text: &str) -> Result<UnitTests, UnitTestError> {
    let error = |message: String| UnitTestError { file: file.to_owned(), message };
    let content: File = serde_yaml_ng::from_str(text).map_err(|e| error(e.to_string()))?;
    let interval = content.evaluation_interval.as_deref().unwrap_or("1m");
    let interval = duration(interval)
        .filter(|ms| *ms > 0)
        .ok_or_else(|| error(format!("evaluation_interval is not a positive duration: {interval:?}")))?;
    Ok(UnitTests { rule_files: content.rule_files, interval, tests: content.tests })
}

impl UnitTests {
    /// Runs all tests against the given rules. Returns a message for each expectation that was not met and for each
    /// test that could not run.
    pub fn run(&self, rules: &[Rule]) -> Vec<String> {
        let mut unmet = Vec::new();
        for (index, test) in self.tests.iter().enumerate() {
            let name = if test.name.is_empty() { format!("test {}", index + 1) } else { test.name.clone() };
            if let Err(error) = self.run_test(test, rules, &name, &mut unmet) {
                unmet.push(format!("{name}: {error}"));
            }
        }
        unmet
    }

    fn run_test(
        &self,
        test: &Test,
        rules: &[Rule],
        name: &str,
        unmet: &mut Vec<String>,
    ) -> Result<(), String> {
        let interval = duration(&test.interval)
            .filter(|ms| *ms > 0)
            .ok_or(format!("interval is not a positive duration: {:?}", test.interval))?;
        let mut store = Store::default();
        for input in &test.input_series {
            let labels = parse_series(&input.series)?;
            for (index, value) in parse_values(&input.values)?.into_iter().enumerate() {
                if let Some(value) = value {
                    store.add(&labels, index as Millis * interval, value);
                }
            }
        }
        let mut expected: BTreeMap<Millis, Vec<&Expected>> = BTreeMap::new();
        for expectation in &test.alert_rule_test {
            let Expected { eval_time, alertname, .. } = expectation;
            let at = duration(eval_time).ok_or(format!("eval_time is not a duration: {eval_time:?}"))?;
            if !rules.iter().any(|rule| rule.alert == *alertname) {
                return Err(format!("no rule defines the alert {alertname}"));
            }
            expected.entry(at).or_default().push(expectation);
        }
        let Some(last) = expected.keys().last().copied() else {
            return Err("alert_rule_test has no entries".to_owned());
        };
        let mut alerts: Vec<Alerts> = rules.iter().cloned().map(Alerts::new).collect();
        let mut at = 0;
        while at <= last {
            for alert in &mut alerts {
                alert.evaluate(&store, at).map_err(|e| format!("alert {}: {e}", alert.rule().alert))?;
            }
            // An expectation between two evaluations is checked against the earlier evaluation.
            for (eval_time, expectations) in expected.range(at..at + self.interval) {
                for Expected { alertname, exp_alerts, .. } in expectations {
                    let expected_alerts: BTreeSet<Labels> = exp_alerts
                        .iter()
                        .map(|alert| expected_labels(&alert.exp_labels, alertname))
                        .collect();
                    let named = alerts.iter().filter(|alert| alert.rule().alert == *alertname);
                    let firing: BTreeSet<Labels> = named.flat_map(|alert| alert.firing()).cloned().collect();
                    if expected_alerts != firing {
                        unmet.push(format!(
                            "{name}: {alertname} at {} s: expected {expected_alerts:?}, got {firing:?}",
                            eval_time / 1000
                        ));
                    }
                }
            }
            at += self.interval;
        }
        Ok(())
    }
}

/// Returns the labels of an expected alert, including `alertname`.
fn expected_labels(labels: &BTreeMap<String, String>, alert: &str) -> Labels {
    let mut all = labels.clone();
    all.insert("alertname".to_owned(), alert.to_owned());
    all
}

/// Parses the labels of a series in PromQL notation, such as `up{job="x"}`.
fn parse_series(text: &str) -> Result<Labels, String> {
    let Ok(Expr::VectorSelector(vs)) = parse(text) else { return Err(format!("{text:?} is not a series")) };
    let mut labels: Labels = vs.matchers.matchers.iter().map(|m| (m.name.clone(), m.value.clone())).collect();
    if let Some(name) = vs.name {
        labels.insert("__name__".to_owned(), name);
    }
    Ok(labels)
}

/// Parses values in the notation of promtool: `1`, `_` (no sample), `stale` (staleness marker), `0+10x5` (start, step
/// and number of steps: six values), `7x3` (four values), `_x4` (no sample four times).
fn parse_values(text: &str) -> Result<Vec<Option<f64>>, String> {
    let mut all = Vec::new();
    for word in text.split_whitespace() {
        let malformed =
            || format!("{word:?} is not a value: expected a form such as 1, _, stale, 0+10x5 or _x4");
        let (head, times) = match word.rsplit_once('x') {
            Some((head, times)) => (head, Some(times.parse::<usize>().map_err(|_| malformed())?)),
            None => (word, None),
        };
        let count = times.unwrap_or(0);
        if all.len() + count >= MAX_SAMPLES {
            return Err(format!("more than {MAX_SAMPLES} values"));
        }
        if head == "_" {
            all.extend(std::iter::repeat_n(None, times.unwrap_or(1)));
        } else if head == "stale" && times.is_none() {
            all.push(Some(staleness_marker()));
        } else {
            // A sign after the first character separates the start value from the step.
            let separator =
                head.char_indices().skip(1).find(|(_, c)| matches!(c, '+' | '-')).map(|(index, _)| index);
            let (start, step) = head.split_at(separator.unwrap_or(head.len()));
            let start: f64 = start.parse().map_err(|_| malformed())?;
            let step: f64 = if step.is_empty() { 0.0 } else { step.parse().map_err(|_| malformed())? };
            all.extend((0..=count).map(|n| Some(start + step * n as f64)));
        }
    }
    Ok(all)
}

#[cfg(test)]
mod tests;
