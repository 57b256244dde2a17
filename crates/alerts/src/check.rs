//! Checks that each metric and label in a rule exists in the registry. An alert on a series that does not exist would
//! never fire.

use std::collections::{BTreeMap, BTreeSet};

use promql_parser::label::MatchOp;
use promql_parser::parser::{Expr, LabelModifier, VectorSelector};

use crate::rules::Rule;

/// The known metrics, with the label names of their series and the values of each label.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    metrics: BTreeMap<String, BTreeMap<String, BTreeSet<String>>>,
    /// Labels that the receiver of the metrics adds to each series, such as `instance` and `job`. Any value is valid.
    external_labels: BTreeSet<String>,
}

impl Catalog {
    /// Creates an empty catalog. The external labels are those that the receiver of the metrics adds to each series.
    pub fn new(external_labels: &[&str]) -> Self {
        let external_labels = external_labels.iter().map(|l| (*l).to_owned()).collect();
        Self { metrics: BTreeMap::new(), external_labels }
    }

    /// Adds a series, given by its labels. A series without `__name__` is ignored.
    pub fn add(&mut self, labels: &[(String, String)]) {
        let Some((_, name)) = labels.iter().find(|(n, _)| n == "__name__") else { return };
        let metric = self.metrics.entry(name.clone()).or_default();
        for (label, value) in labels.iter().filter(|(n, _)| n != "__name__") {
            metric.entry(label.clone()).or_default().insert(value.clone());
        }
    }
}

/// Returns a message for each metric, label or label value in a rule that the catalog does not have, sorted and without
/// duplicates. Label values are checked where a matcher requires one (`=`, `=~`).
pub fn check(rule: &Rule, catalog: &Catalog) -> Vec<String> {
    let mut problems = Vec::new();
    let mut metrics = BTreeSet::new();
    walk(&rule.expr, &mut |expr| {
        let selector = match expr {
            Expr::VectorSelector(vs) => Some(vs),
            Expr::MatrixSelector(ms) => Some(&ms.vs),
            _ => None,
        };
        if let Some(vs) = selector {
            metrics.extend(vs.name.clone());
            check_selector(vs, catalog, &mut problems);
        }
    });
    if metrics.is_empty() {
        problems.push("the expression names no metric".to_owned());
    }
    // A label in `by`, `without`, `on` or `ignoring` must belong to a metric of the rule.
    let known = |label: &str| {
        catalog.external_labels.contains(label)
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
            problems.push(format!("no metric of the rule has the label {label}"));
        }
    });
    problems.sort();
    problems.dedup();
    problems
}

fn check_selector(selector: &VectorSelector, catalog: &Catalog, problems: &mut Vec<String>) {
    let Some(name) = &selector.name else {
        problems.push("a selector has no metric name".to_owned());
        return;
    };
    let Some(metric) = catalog.metrics.get(name) else {
        problems.push(format!("there is no metric {name}"));
        return;
    };
    for matcher in &selector.matchers.matchers {
        if catalog.external_labels.contains(&matcher.name) {
            continue;
        }
        let Some(values) = metric.get(&matcher.name) else {
            problems.push(format!("{name} has no label {}", matcher.name));
            continue;
        };
        let requires_value = matches!(matcher.op, MatchOp::Equal | MatchOp::Re(_));
        if requires_value && !values.iter().any(|v| matcher.is_match(v)) {
            problems.push(format!("{name}: no series has {}={:?}", matcher.name, matcher.value));
        }
    }
}

/// Calls `visit` for an expression and all its subexpressions, outer expressions first.
fn walk<'a>(expr: &'a Expr, visit: &mut impl FnMut(&'a Expr)) {
    visit(expr);
    match expr {
        Expr::Aggregate(a) => {
            walk(&a.expr, visit);
            if let Some(param) = &a.param {
                walk(param, visit);
            }
        }
        Expr::Unary(u) => walk(&u.expr, visit),
        Expr::Binary(b) => {
            walk(&b.lhs, visit);
            walk(&b.rhs, visit);
        }
        Expr::Paren(p) => walk(&p.expr, visit),
        Expr::Subquery(s) => walk(&s.expr, visit),
        Expr::Call(c) => c.args.args.iter().for_each(|arg| walk(arg, visit)),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
