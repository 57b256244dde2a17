//! Rule unit tests as files, as `promtool test rules` has them: series in its notation, and which alerts fire when.

use std::collections::{BTreeMap, BTreeSet};

use promql_parser::parser::{Expr, parse};
use serde::Deserialize;

use crate::eval::{Labels, Store, stale};
use crate::rules::{Millis, Rule, duration};
use crate::state::Alerts;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    /// Rule files, beside this one.
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

/// A parsed test file.
pub struct UnitTests {
    /// The rule files that it names.
    pub rule_files: Vec<String>,
    interval: Millis,
    tests: Vec<Test>,
}

/// Most samples of one series of a test.
const MAX_SAMPLES: usize = 100_000;

/// Why a test file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {message}")]
pub struct UnitTestError {
    /// The file.
    pub file: String,
    /// What is wrong.
    pub message: String,
}

/// Parses a test file. `file`: its name, for errors.
///
/// # Errors
/// Where it is no test file.
pub fn read(file: &str, text: &str) -> Result<UnitTests, UnitTestError> {
    let error = |message: String| UnitTestError { file: file.to_owned(), message };
    let content: File = serde_yaml_ng::from_str(text).map_err(|e| error(e.to_string()))?;
    let interval = content.evaluation_interval.as_deref().unwrap_or("1m");
    let interval = duration(interval)
        .filter(|ms| *ms > 0)
        .ok_or_else(|| error(format!("evaluation_interval {interval:?}")))?;
    Ok(UnitTests { rule_files: content.rule_files, interval, tests: content.tests })
}

impl UnitTests {
    /// Runs the tests with these rules. Returns the expectations that were not met.
    pub fn run(&self, rules: &[Rule]) -> Vec<String> {
        let mut unmet = Vec::new();
        for (n, test) in self.tests.iter().enumerate() {
            let name = if test.name.is_empty() { format!("test {}", n + 1) } else { test.name.clone() };
            if let Err(what) = self.run_test(test, rules, &name, &mut unmet) {
                unmet.push(format!("{name}: {what}"));
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
        let interval =
            duration(&test.interval).filter(|ms| *ms > 0).ok_or(format!("interval {:?}", test.interval))?;
        let mut store = Store::default();
        for input in &test.input_series {
            let labels = series(&input.series)?;
            for (at, value) in values(&input.values)?.into_iter().enumerate() {
                if let Some(value) = value {
                    store.add(&labels, at as Millis * interval, value);
                }
            }
        }
        let mut expected: BTreeMap<Millis, Vec<&Expected>> = BTreeMap::new();
        for e in &test.alert_rule_test {
            let at = duration(&e.eval_time).ok_or(format!("eval_time {:?}", e.eval_time))?;
            if !rules.iter().any(|r| r.alert == e.alertname) {
                return Err(format!("there is no alert {}", e.alertname));
            }
            expected.entry(at).or_default().push(e);
        }
        let Some(last) = expected.keys().last().copied() else { return Err("it expects nothing".to_owned()) };
        let mut alerts: Vec<Alerts> = rules.iter().cloned().map(Alerts::new).collect();
        let mut at = 0;
        while at <= last {
            for a in &mut alerts {
                a.evaluate(&store, at).map_err(|e| format!("alert {}: {e}", a.rule().alert))?;
            }
            // Expectations between two evaluations see the earlier one.
            for (when, all) in expected.range(at..at + self.interval) {
                for e in all {
                    let want: BTreeSet<Labels> =
                        e.exp_alerts.iter().map(|a| expected_labels(&a.exp_labels, &e.alertname)).collect();
                    let ours = alerts.iter().filter(|a| a.rule().alert == e.alertname);
                    let got: BTreeSet<Labels> = ours.flat_map(|a| a.firing()).cloned().collect();
                    if want != got {
                        unmet.push(format!(
                            "{name}: {} at {} s: expected {want:?}, got {got:?}",
                            e.alertname,
                            when / 1000
                        ));
                    }
                }
            }
            at += self.interval;
        }
        Ok(())
    }
}

/// The labels of an expected alert.
fn expected_labels(labels: &BTreeMap<String, String>, alert: &str) -> Labels {
    let mut all = labels.clone();
    all.insert("alertname".to_owned(), alert.to_owned());
    all
}

/// A series in PromQL's notation.
fn series(text: &str) -> Result<Labels, String> {
    let Ok(Expr::VectorSelector(vs)) = parse(text) else { return Err(format!("{text:?} is no series")) };
    let mut labels: Labels = vs.matchers.matchers.iter().map(|m| (m.name.clone(), m.value.clone())).collect();
    if let Some(name) = vs.name {
        labels.insert("__name__".to_owned(), name);
    }
    Ok(labels)
}

/// Values in promtool's notation: `1`, `_`, `stale`, `0+10x5` (six values), `7x3`, `_x4`.
fn values(text: &str) -> Result<Vec<Option<f64>>, String> {
    let mut all = Vec::new();
    for word in text.split_whitespace() {
        let bad = || format!("{word:?} is no value: write 1, _, stale, 0+10x5 or _x4");
        let (head, times) = match word.rsplit_once('x') {
            Some((head, times)) => (head, Some(times.parse::<usize>().map_err(|_| bad())?)),
            None => (word, None),
        };
        let count = times.unwrap_or(0);
        if all.len() + count >= MAX_SAMPLES {
            return Err(format!("more than {MAX_SAMPLES} values"));
        }
        if head == "_" {
            all.extend(std::iter::repeat_n(None, times.unwrap_or(1)));
        } else if head == "stale" && times.is_none() {
            all.push(Some(stale()));
        } else {
            // A sign after the first character parts the start from the step.
            let cut = head.char_indices().skip(1).find(|(_, c)| matches!(c, '+' | '-')).map(|(at, _)| at);
            let (start, step) = head.split_at(cut.unwrap_or(head.len()));
            let start: f64 = start.parse().map_err(|_| bad())?;
            let step: f64 = if step.is_empty() { 0.0 } else { step.parse().map_err(|_| bad())? };
            all.extend((0..=count).map(|n| Some(start + step * n as f64)));
        }
    }
    Ok(all)
}

#[cfg(test)]
mod tests;
