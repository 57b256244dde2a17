//! Aggregation operators: `sum`, `max`, `min`, `avg` and `count`, with `by` and `without`.

use std::collections::BTreeMap;

use promql_parser::parser::{AggregateExpr, LabelModifier};

use super::eval;
use super::store::{Labels, Store};
use super::value::{UnsupportedExpression, Value, without_metric_name};
use crate::rules::Millis;

/// Evaluates an aggregation operator over the vector that its operand returns, with one result for each group.
pub(super) fn aggregate(
    aggregation: &AggregateExpr,
    store: &Store,
    at: Millis,
) -> Result<Value, UnsupportedExpression> {
    let Value::Vector(all) = eval(&aggregation.expr, store, at)? else {
        return Err(UnsupportedExpression(aggregation.to_string()));
    };
    let group_labels = |labels: &Labels| -> Labels {
        match &aggregation.modifier {
            None => Labels::new(),
            Some(LabelModifier::Include(by)) => {
                by.labels.iter().filter_map(|l| Some((l.clone(), labels.get(l)?.clone()))).collect()
            }
            Some(LabelModifier::Exclude(without)) => {
                let mut remaining = without_metric_name(labels.clone());
                remaining.retain(|l, _| !without.labels.contains(l));
                remaining
            }
        }
    };
    let mut groups: BTreeMap<Labels, Vec<f64>> = BTreeMap::new();
    for (labels, value) in all {
        groups.entry(group_labels(&labels)).or_default().push(value);
    }
    let combine: fn(&[f64]) -> f64 = match aggregation.op.to_string().as_str() {
        "sum" => |v| v.iter().sum(),
        "max" => |v| v.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        "min" => |v| v.iter().copied().fold(f64::INFINITY, f64::min),
        "avg" => |v| v.iter().sum::<f64>() / v.len() as f64,
        "count" => |v| v.len() as f64,
        other => return Err(UnsupportedExpression(format!("the aggregation {other}"))),
    };
    Ok(Value::Vector(groups.into_iter().map(|(l, v)| (l, combine(&v))).collect()))
}
