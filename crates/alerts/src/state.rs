//! The states of the alerts of a rule. An alert is pending until its expression has been true for `for`, then fires,
//! and keeps firing until `keep_firing_for` after the expression was last true.

use std::collections::BTreeMap;

use crate::eval::{Labels, Store, UnsupportedExpression, Value, eval};
use crate::rules::{Millis, Rule};

#[derive(Clone, Copy, Debug)]
struct ActiveAlert {
    /// Time from which the alert has been pending.
    since: Millis,
    /// Whether the alert is firing; if not, it is pending.
    firing: bool,
    /// Time of the last evaluation at which the expression was true.
    last_true: Millis,
}

/// The pending and firing alerts of one rule.
#[derive(Clone, Debug)]
pub struct Alerts {
    rule: Rule,
    active: BTreeMap<Labels, ActiveAlert>,
}

impl Alerts {
    /// Creates the state of a rule without active alerts.
    pub fn new(rule: Rule) -> Self {
        Self { rule, active: BTreeMap::new() }
    }

    /// Returns the rule that is evaluated.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Evaluates the rule at the time `at`, which must be later than that of the previous evaluation.
    ///
    /// # Errors
    /// If the expression is outside the supported subset of PromQL, or its result is a scalar. The alerts then stay as
    /// they were.
    pub fn evaluate(&mut self, store: &Store, at: Millis) -> Result<(), UnsupportedExpression> {
        let result = match eval(&self.rule.expr, store, at)? {
            Value::Vector(series) => series,
            Value::Scalar(_) => {
                return Err(UnsupportedExpression("a rule whose result is a scalar".to_owned()));
            }
        };
        for (mut labels, _) in result {
            labels.remove("__name__");
            labels.extend(self.rule.labels.clone());
            labels.insert("alertname".to_owned(), self.rule.alert.clone());
            let alert =
                self.active.entry(labels).or_insert(ActiveAlert { since: at, firing: false, last_true: at });
            alert.last_true = at;
            alert.firing |= at - alert.since >= self.rule.pending_for;
        }
        let keep_firing_for = self.rule.keep_firing_for;
        self.active.retain(|_, alert| {
            alert.last_true == at || alert.firing && at - alert.last_true < keep_firing_for
        });
        Ok(())
    }

    /// Returns the labels of each firing alert, with `alertname` and the labels of the rule.
    pub fn firing(&self) -> Vec<&Labels> {
        self.active.iter().filter(|(_, alert)| alert.firing).map(|(labels, _)| labels).collect()
    }
}

#[cfg(test)]
mod tests;
