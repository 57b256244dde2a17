//! The Prometheus rule-file format, as far as alerts use it. Unknown keys are errors: with a misspelt `for` an alert
//! would fire at once.

use std::collections::BTreeMap;

use promql_parser::parser::{self, Expr};
use serde::Deserialize;

/// Milliseconds.
pub type Millis = i64;

/// Why a file can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RuleError {
    /// It is no rule file.
    #[error("{file}: {what}")]
    Format {
        /// The file.
        file: String,
        /// What is wrong, with line and column.
        what: String,
    },
    /// It is a file of rule unit tests.
    #[error("{file}: this is a file of rule unit tests: run it with nettleferry alerts test {file}")]
    Tests {
        /// The file.
        file: String,
    },
    /// An expression is not PromQL.
    #[error("{file}: alert {alert}: {what}")]
    Expression {
        /// The file.
        file: String,
        /// The alert.
        alert: String,
        /// What is wrong.
        what: String,
    },
    /// A duration is malformed.
    #[error("{file}: alert {alert}: {text:?} is no duration, such as 30s, 5m or 1h30m")]
    Duration {
        /// The file.
        file: String,
        /// The alert.
        alert: String,
        /// Its text.
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

/// An alert rule.
#[derive(Clone, Debug)]
pub struct Rule {
    /// Its group.
    pub group: String,
    /// Its name.
    pub alert: String,
    /// Its expression.
    pub expr: Expr,
    /// How long its expression must be true before it fires.
    pub pending_for: Millis,
    /// How long it fires after its expression was true last.
    pub keep_firing_for: Millis,
    /// Labels added.
    pub labels: BTreeMap<String, String>,
    /// Annotations, as written.
    pub annotations: BTreeMap<String, String>,
    /// How often its group is evaluated, where the group says so.
    pub interval: Option<Millis>,
}

/// Parses a Prometheus duration: `1h30m`, `90s`, `500ms`, `0`.
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

/// Parses a rule file. `file`: its name, for errors.
///
/// # Errors
/// Where it is no rule file, or an expression or a duration is malformed.
pub fn read(file: &str, text: &str) -> Result<Vec<Rule>, RuleError> {
    let format = |e: serde_yaml_ng::Error| RuleError::Format { file: file.to_owned(), what: e.to_string() };
    // Before the strict parsing, whose error would be about a field that no rule file has.
    let tests =
        |value: &serde_yaml_ng::Value| value.get("rule_files").is_some() && value.get("groups").is_none();
    if serde_yaml_ng::from_str::<serde_yaml_ng::Value>(text).is_ok_and(|value| tests(&value)) {
        return Err(RuleError::Tests { file: file.to_owned() });
    }
    let file_content: File = serde_yaml_ng::from_str(text).map_err(format)?;
    let mut rules = Vec::new();
    for group in file_content.groups {
        let span = |alert: &str, text: Option<&String>| match text {
            None => Ok(None),
            Some(text) => duration(text).map(Some).ok_or_else(|| RuleError::Duration {
                file: file.to_owned(),
                alert: alert.to_owned(),
                text: text.clone(),
            }),
        };
        let interval = span(&group.name, group.interval.as_ref())?;
        for entry in group.rules {
            let expr = parser::parse(&entry.expr).map_err(|what| RuleError::Expression {
                file: file.to_owned(),
                alert: entry.alert.clone(),
                what,
            })?;
            rules.push(Rule {
                pending_for: span(&entry.alert, entry.pending_for.as_ref())?.unwrap_or(0),
                keep_firing_for: span(&entry.alert, entry.keep_firing_for.as_ref())?.unwrap_or(0),
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
