//! The part of the Prometheus rule-file format that alerting rules use. Unknown keys are errors, because an alert whose
//! `for` is misspelt would fire without a delay.

use std::collections::BTreeMap;

use promql_parser::parser::{self, Expr};
use serde::Deserialize;

/// A time or a duration in milliseconds. Times are counted from an origin that the caller chooses.
pub type Millis = i64;

/// An error in a rule file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleError {
    /// The file does not have the format of a rule file.
    #[error("{file}: {message}")]
    Format {
        /// Name of the rule file, as passed to [`read`].
        file: String,
        /// Message of the YAML parser, with line and column.
        message: String,
    },
    /// The file contains rule unit tests instead of rules.
    #[error("{file}: this is a file of rule unit tests: run it with nettleferry alerts test {file}")]
    UnitTestFile {
        /// Name of the rule file, as passed to [`read`].
        file: String,
    },
    /// The PromQL parser rejected the expression of an alert.
    #[error("{file}: alert {alert}: {message}")]
    Expression {
        /// Name of the rule file, as passed to [`read`].
        file: String,
        /// Name of the alert.
        alert: String,
        /// Message of the PromQL parser.
        message: String,
    },
    /// A duration is malformed: `for` or `keep_firing_for` of an alert, or `interval` of a group.
    #[error("{file}: {owner}: {text:?} is not a duration such as 30s, 5m or 1h30m")]
    Duration {
        /// Name of the rule file, as passed to [`read`].
        file: String,
        /// The alert or the group that sets the duration, such as `alert X` or `group Y`.
        owner: String,
        /// The malformed duration, as written.
        text: String,
    },
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    groups: Vec<Group>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Group {
    name: String,
    #[serde(default)]
    interval: Option<String>,
    rules: Vec<Entry>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    alert: String,
    expr: String,
    #[serde(rename = "for", default)]
    pending_for: Option<String>,
    #[serde(default)]
    keep_firing_for: Option<String>,
    #[serde(default)]
    labels: BTreeMap<String, String>,
    #[serde(default)]
    annotations: BTreeMap<String, String>,
}

/// An alerting rule, with its expression and durations parsed.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Name of the group that contains the rule.
    pub group: String,
    /// Name of the alert.
    pub alert: String,
    /// PromQL expression; each series in its result is an active alert.
    pub expr: Expr,
    /// Time for which the expression must be true before the alert fires (`for`).
    pub pending_for: Millis,
    /// Time for which the alert keeps firing after the expression was last true.
    pub keep_firing_for: Millis,
    /// Labels that are added to each alert of the rule.
    pub labels: BTreeMap<String, String>,
    /// Annotations as written in the file, without template expansion.
    pub annotations: BTreeMap<String, String>,
    /// Evaluation interval of the group; `None` if the group does not set one.
    pub interval: Option<Millis>,
}

/// Parses a Prometheus duration such as `1h30m`, `90s`, `500ms` or `0`. Returns `None` if it is malformed or does not
/// fit into [`Millis`].
pub fn duration(text: &str) -> Option<Millis> {
    if text == "0" {
        return Some(0);
    }
    let units =
        [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000), ("d", 86_400_000), ("w", 604_800_000)];
    let (mut rest, mut sum) = (text, 0i64);
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit()).filter(|n| *n > 0)?;
        let number: i64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let letters = rest.find(|c: char| c.is_ascii_digit()).unwrap_or(rest.len());
        let (_, factor) = units.iter().find(|(name, _)| *name == &rest[..letters])?;
        sum = sum.checked_add(number.checked_mul(*factor)?)?;
        rest = &rest[letters..];
    }
    (!text.is_empty()).then_some(sum)
}

/// Parses a rule file. `file` is its name, which errors quote.
///
/// # Errors
/// If the text is not a rule file, or if an expression or a duration in it is malformed.
pub fn read(file: &str, text: &str) -> Result<Vec<Rule>, RuleError> {
    let format =
        |e: serde_yaml_ng::Error| RuleError::Format { file: file.to_owned(), message: e.to_string() };
    // A unit test file is detected first: the error of the strict parser would only name an unknown field.
    let is_test_file =
        |value: &serde_yaml_ng::Value| value.get("rule_files").is_some() && value.get("groups").is_none();
    if serde_yaml_ng::from_str::<serde_yaml_ng::Value>(text).is_ok_and(|value| is_test_file(&value)) {
        return Err(RuleError::UnitTestFile { file: file.to_owned() });
    }
    let file_content: File = serde_yaml_ng::from_str(text).map_err(format)?;
    let mut rules = Vec::new();
    for group in file_content.groups {
        let parse_duration = |owner: String, text: Option<&String>| match text {
            None => Ok(None),
            Some(text) => duration(text).map(Some).ok_or_else(|| RuleError::Duration {
                file: file.to_owned(),
                owner,
                text: text.clone(),
            }),
        };
        let interval = parse_duration(format!("group {}", group.name), group.interval.as_ref())?;
        for entry in group.rules {
            let expr = parser::parse(&entry.expr).map_err(|message| RuleError::Expression {
                file: file.to_owned(),
                alert: entry.alert.clone(),
                message,
            })?;
            let owner = || format!("alert {}", entry.alert);
            let pending_for = parse_duration(owner(), entry.pending_for.as_ref())?.unwrap_or(0);
            let keep_firing_for = parse_duration(owner(), entry.keep_firing_for.as_ref())?.unwrap_or(0);
            rules.push(Rule {
                pending_for,
                keep_firing_for,
                group: group.name.clone(),
                alert: entry.alert,
                expr,
                labels: entry.labels,
                annotations: entry.annotations,
                interval,
            });
        }
    }
    Ok(rules)
}

#[cfg(test)]
mod tests;
