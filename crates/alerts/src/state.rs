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
mod tests {
    use super::*;
    use crate::rules;

    #[test]
    fn it_waits_fires_and_is_kept() {
        let text = "groups: [{name: g, rules: [{alert: A, expr: x > 0, for: 2m, keep_firing_for: 3m}]}]";
        let rule = rules::read("a", text).expect("sound").remove(0);
        let labels: Labels = [("__name__".to_owned(), "x".to_owned())].into();
        let mut store = Store::default();
        // On at minutes 1, 3 to 6, then off.
        for (minute, value) in [0, 1, 0, 1, 1, 1, 1, 0, 0, 0, 0, 0].into_iter().enumerate() {
            store.add(&labels, minute as i64 * 60_000, f64::from(value));
        }
        let mut alerts = Alerts::new(rule);
        let mut firing = Vec::new();
        for minute in 0..12 {
            alerts.step(&store, minute * 60_000).expect("in the subset");
            if !alerts.firing().is_empty() {
                firing.push(minute);
            }
        }
        assert_eq!(firing, [5, 6, 7, 8], "two minutes after 3; held last at 6, kept for less than three");
    }
}
