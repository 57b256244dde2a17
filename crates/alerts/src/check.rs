//! Every metric and label that a rule names exists in the registry: an alert on a series that is never there
//! would be silent for ever.

use std::collections::{BTreeMap, BTreeSet};

use promql_parser::label::MatchOp;
use promql_parser::parser::{Expr, LabelModifier, VectorSelector};

use crate::rules::Rule;

/// Metrics with the labels that their series have, and the values of each.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    metrics: BTreeMap<String, BTreeMap<String, BTreeSet<String>>>,
    /// Labels that receivers add: `instance`, `job`.
    outer: BTreeSet<String>,
}

impl Catalog {
    /// A catalog whose series may have these labels besides their own.
    pub fn new(outer: &[&str]) -> Self {
        Self { metrics: BTreeMap::new(), outer: outer.iter().map(|l| (*l).to_owned()).collect() }
    }

    /// Adds a series by its labels, `__name__` among them.
    pub fn add(&mut self, labels: &[(String, String)]) {
        let Some((_, name)) = labels.iter().find(|(n, _)| n == "__name__") else { return };
        let metric = self.metrics.entry(name.clone()).or_default();
        for (label, value) in labels.iter().filter(|(n, _)| n != "__name__") {
            metric.entry(label.clone()).or_default().insert(value.clone());
        }
    }
}

/// What a rule names that is not there.
pub fn check(rule: &Rule, catalog: &Catalog) -> Vec<String> {
    let mut found = Vec::new();
    let mut metrics = BTreeSet::new();
    walk(&rule.expr, &mut |expr| {
        let selector = match expr {
            Expr::VectorSelector(vs) => Some(vs),
            Expr::MatrixSelector(ms) => Some(&ms.vs),
            _ => None,
        };
        if let Some(vs) = selector {
            metrics.extend(vs.name.clone());
            select(vs, catalog, &mut found);
        }
    });
    if metrics.is_empty() {
        found.push("it names no metric".to_owned());
    }
    // Labels that are grouped or matched by must be those of a metric of the rule.
    let known = |label: &str| {
        catalog.outer.contains(label)
            || metrics.iter().filter_map(|m| catalog.metrics.get(m)).any(|labels| labels.contains_key(label))
    };
    walk(&rule.expr, &mut |expr| {
        let modifier = match expr {
            Expr::Aggregate(a) => a.modifier.as_ref(),
            Expr::Binary(b) => b.modifier.as_ref().and_then(|m| m.matching.as_ref()),
            _ => None,
        };
        let Some(LabelModifier::Include(labels) | LabelModifier::Exclude(labels)) = modifier else { return };
        for label in labels.labels.iter().filter(|l| !known(l)) {
            found.push(format!("no metric of it has the label {label}"));
        }
    });
    found.sort();
    found.dedup();
    found
}

fn select(vs: &VectorSelector, catalog: &Catalog, found: &mut Vec<String>) {
    let Some(name) = &vs.name else {
        found.push("a selector without a metric's name".to_owned());
        return;
    };
    let Some(metric) = catalog.metrics.get(name) else {
        found.push(format!("there is no metric {name}"));
        return;
    };
    for matcher in &vs.matchers.matchers {
        if catalog.outer.contains(&matcher.name) {
            continue;
        }
        let Some(values) = metric.get(&matcher.name) else {
            found.push(format!("{name} has no label {}", matcher.name));
            continue;
        };
        let wants = matches!(matcher.op, MatchOp::Equal | MatchOp::Re(_));
        if wants && !values.iter().any(|v| matcher.is_match(v)) {
            found.push(format!("{name}: no series has {}={:?}", matcher.name, matcher.value));
        }
    }
}

/// Every expression of a tree, the outer ones first.
fn walk<'a>(expr: &'a Expr, see: &mut impl FnMut(&'a Expr)) {
    see(expr);
    match expr {
        Expr::Aggregate(a) => {
            walk(&a.expr, see);
            if let Some(param) = &a.param {
                walk(param, see);
            }
        }
        Expr::Unary(u) => walk(&u.expr, see),
        Expr::Binary(b) => {
            walk(&b.lhs, see);
            walk(&b.rhs, see);
        }
        Expr::Paren(p) => walk(&p.expr, see),
        Expr::Subquery(s) => walk(&s.expr, see),
        Expr::Call(c) => c.args.args.iter().for_each(|arg| walk(arg, see)),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
