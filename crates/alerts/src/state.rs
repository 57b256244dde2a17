//! Alerts over time: pending until `for` is over, firing, and for `keep_firing_for` after it held last.

use std::collections::BTreeMap;

use crate::eval::{Labels, Outside, Store, Value, eval};
use crate::rules::{Millis, Rule};

#[derive(Clone, Copy, Debug)]
struct Active {
    since: Millis,
    fired: bool,
    held: Millis,
}

/// The alerts of one rule.
#[derive(Clone, Debug)]
pub struct Alerts {
    rule: Rule,
    active: BTreeMap<Labels, Active>,
}

impl Alerts {
    /// None is active.
    pub fn new(rule: Rule) -> Self {
        Self { rule, active: BTreeMap::new() }
    }

    /// The rule.
    pub fn rule(&self) -> &Rule {
        &self.rule
    }

    /// Evaluates the rule at a time; times grow.
    pub fn step(&mut self, store: &Store, at: Millis) -> Result<(), Outside> {
        let found = match eval(&self.rule.expr, store, at)? {
            Value::Vector(all) => all,
            Value::Scalar(_) => return Err(Outside("a rule that is a number".to_owned())),
        };
        for (mut labels, _) in found {
            labels.remove("__name__");
            labels.extend(self.rule.labels.clone());
            labels.insert("alertname".to_owned(), self.rule.alert.clone());
            let alert = self.active.entry(labels).or_insert(Active { since: at, fired: false, held: at });
            alert.held = at;
            alert.fired |= at - alert.since >= self.rule.wait;
        }
        let keep = self.rule.keep;
        self.active.retain(|_, alert| alert.held == at || alert.fired && at - alert.held < keep);
        Ok(())
    }

    /// Labels of those that fire now.
    pub fn firing(&self) -> Vec<&Labels> {
        self.active.iter().filter(|(_, a)| a.fired).map(|(l, _)| l).collect()
    }
}

#[cfg(test)]
mod tests;
