//! Alerts over time: pending for `for`, then firing, until `keep_firing_for` after the expression was true last.

use std::collections::BTreeMap;

use crate::eval::{Labels, Store, UnsupportedExpression, Value, eval};
use crate::rules::{Millis, Rule};

#[derive(Clone, Copy, Debug)]
struct ActiveAlert {
    since: Millis,
    fired: bool,
    last_true: Millis,
}

/// The alerts of one rule.
#[derive(Clone, Debug)]
pub struct Alerts {
    rule: Rule,
    active: BTreeMap<Labels, ActiveAlert>,
}

impl Alerts {
    /// A rule of which no alert is active.
    pub fn new(rule: Rule) -> Self {
        Self { rule, active: BTreeMap::new() }
    }

    /// The rule.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Evaluates the rule at a time, later than the last one.
    ///
    /// # Errors
    /// Where the expression is not supported.
    pub fn evaluate(&mut self, store: &Store, at: Millis) -> Result<(), UnsupportedExpression> {
        let found = match eval(&self.rule.expr, store, at)? {
            Value::Vector(all) => all,
            Value::Scalar(_) => return Err(UnsupportedExpression("a rule that is a number".to_owned())),
        };
        for (mut labels, _) in found {
            labels.remove("__name__");
            labels.extend(self.rule.labels.clone());
            labels.insert("alertname".to_owned(), self.rule.alert.clone());
            let alert =
                self.active.entry(labels).or_insert(ActiveAlert { since: at, fired: false, last_true: at });
            alert.last_true = at;
            alert.fired |= at - alert.since >= self.rule.pending_for;
        }
        let keep_firing_for = self.rule.keep_firing_for;
        self.active.retain(|_, alert| {
            alert.last_true == at || alert.fired && at - alert.last_true < keep_firing_for
        });
        Ok(())
    }

    /// Labels of the alerts that are firing.
    pub fn firing(&self) -> Vec<&Labels> {
        self.active.iter().filter(|(_, a)| a.fired).map(|(l, _)| l).collect()
    }
}

#[cfg(test)]
mod tests;
