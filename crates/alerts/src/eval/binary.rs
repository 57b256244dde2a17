//! Binary operators between scalars, between instant vectors, and between a scalar and a vector.

use promql_parser::parser::{BinaryExpr, LabelModifier, VectorMatchCardinality};

use super::eval;
use super::store::{Labels, Store};
use super::value::{UnsupportedExpression, Value, without_metric_name};
use crate::rules::Millis;

type Vector = Vec<(Labels, f64)>;

/// Applies an arithmetic operator. Returns `None` for any other operator.
fn arithmetic(op: &str, a: f64, b: f64) -> Option<f64> {
    Some(match op {
        "+" => a + b,
        "-" => a - b,
        "*" => a * b,
        "/" => a / b,
        "%" => a % b,
        "^" => a.powf(b),
        _ => return None,
    })
}

/// Applies a comparison operator. Returns `None` for any other operator.
fn compare(op: &str, a: f64, b: f64) -> Option<bool> {
    Some(match op {
        "==" => a == b,
        "!=" => a != b,
        ">" => a > b,
        "<" => a < b,
        ">=" => a >= b,
        "<=" => a <= b,
        _ => return None,
    })
}

/// Returns the labels by which a series is matched with one on the other side, according to `on` or `ignoring`.
fn matching_labels(expr: &BinaryExpr, labels: &Labels) -> Labels {
    let mut remaining = without_metric_name(labels.clone());
    match expr.modifier.as_ref().and_then(|modifier| modifier.matching.as_ref()) {
        Some(LabelModifier::Include(on)) => remaining.retain(|l, _| on.labels.contains(l)),
        Some(LabelModifier::Exclude(ignoring)) => remaining.retain(|l, _| !ignoring.labels.contains(l)),
        None => {}
    }
    remaining
}

/// Evaluates both operands, and applies the operator to them.
pub(super) fn binary(expr: &BinaryExpr, store: &Store, at: Millis) -> Result<Value, UnsupportedExpression> {
    let (lhs, rhs) = (eval(&expr.lhs, store, at)?, eval(&expr.rhs, store, at)?);
    let operation = Operation::new(expr);
    match (lhs, rhs) {
        (Value::Scalar(x), Value::Scalar(y)) => operation.scalars(x, y).map(Value::Scalar),
        (Value::Vector(left), Value::Scalar(y)) => {
            let mut out = Vector::new();
            for (labels, x) in left {
                out.extend(operation.pair(x, y, x)?.map(|value| (operation.result_labels(labels), value)));
            }
            Ok(Value::Vector(out))
        }
        (Value::Scalar(x), Value::Vector(right)) => {
            let mut out = Vector::new();
            for (labels, y) in right {
                out.extend(operation.pair(x, y, y)?.map(|value| (operation.result_labels(labels), value)));
            }
            Ok(Value::Vector(out))
        }
        (Value::Vector(left), Value::Vector(right)) => operation.vectors(left, right).map(Value::Vector),
    }
}

/// A binary operator with its modifiers.
struct Operation<'a> {
    expr: &'a BinaryExpr,
    operator: String,
    /// Has the modifier `bool`: a comparison returns 0 or 1 instead of filtering.
    as_bool: bool,
    /// Is a comparison without `bool`: it filters series and keeps all their labels. Other results lose the metric
    /// name.
    filters: bool,
}

impl<'a> Operation<'a> {
    fn new(expr: &'a BinaryExpr) -> Self {
        let operator = expr.op.to_string();
        let as_bool = expr.modifier.as_ref().is_some_and(|modifier| modifier.return_bool);
        let filters = compare(&operator, 0.0, 0.0).is_some() && !as_bool;
        Self { expr, operator, as_bool, filters }
    }

    fn compare(&self, x: f64, y: f64) -> Result<bool, UnsupportedExpression> {
        compare(&self.operator, x, y).ok_or_else(|| {
            UnsupportedExpression(format!("the operator {} with these operands", self.operator))
        })
    }

    fn scalars(&self, x: f64, y: f64) -> Result<f64, UnsupportedExpression> {
        match arithmetic(&self.operator, x, y) {
            Some(value) => Ok(value),
            None => Ok(f64::from(u8::from(self.compare(x, y)?))),
        }
    }

    /// Computes the result for a pair of values, or `None` if a comparison filters it out. `passed` is the result of a
    /// filtering comparison that is true.
    fn pair(&self, x: f64, y: f64, passed: f64) -> Result<Option<f64>, UnsupportedExpression> {
        if let Some(value) = arithmetic(&self.operator, x, y) {
            return Ok(Some(value));
        }
        let holds = self.compare(x, y)?;
        Ok(if self.as_bool { Some(f64::from(u8::from(holds))) } else { holds.then_some(passed) })
    }

    fn result_labels(&self, labels: Labels) -> Labels {
        if self.filters { labels } else { without_metric_name(labels) }
    }

    fn vectors(&self, left: Vector, right: Vector) -> Result<Vector, UnsupportedExpression> {
        match self.operator.as_str() {
            "and" => Ok(self.filter_by_match(left, &right, true)),
            "unless" => Ok(self.filter_by_match(left, &right, false)),
            "or" => Ok(self.union(left, right)),
            _ => self.match_vectors(left, &right),
        }
    }

    /// Returns the series on the left that have a match on the right; if `matched` is false, those that have none.
    fn filter_by_match(&self, left: Vector, right: &Vector, matched: bool) -> Vector {
        let keys: Vec<Labels> = right.iter().map(|(labels, _)| matching_labels(self.expr, labels)).collect();
        left.into_iter()
            .filter(|(labels, _)| keys.contains(&matching_labels(self.expr, labels)) == matched)
            .collect()
    }

    /// Returns all series on the left, and the series on the right that have no match on the left.
    fn union(&self, left: Vector, right: Vector) -> Vector {
        let keys: Vec<Labels> = left.iter().map(|(labels, _)| matching_labels(self.expr, labels)).collect();
        let mut all = left;
        all.extend(
            right.into_iter().filter(|(labels, _)| !keys.contains(&matching_labels(self.expr, labels))),
        );
        all
    }

    /// Whether several series on the left may match the same series on the right (`group_left`).
    fn is_many_to_one(&self) -> Result<bool, UnsupportedExpression> {
        match self.expr.modifier.as_ref().map(|modifier| &modifier.card) {
            None | Some(VectorMatchCardinality::OneToOne) => Ok(false),
            Some(VectorMatchCardinality::ManyToOne(extra)) if extra.labels.is_empty() => Ok(true),
            Some(_) => Err(UnsupportedExpression("group_right, or group_left with labels".to_owned())),
        }
    }

    /// Applies the operator to each pair of series with equal matching labels. Series without a match are dropped.
    fn match_vectors(&self, left: Vector, right: &Vector) -> Result<Vector, UnsupportedExpression> {
        let operator = &self.operator;
        let keys: Vec<Labels> = right.iter().map(|(labels, _)| matching_labels(self.expr, labels)).collect();
        let many_to_one = self.is_many_to_one()?;
        let mut out = Vector::new();
        for (labels, x) in left {
            let key = matching_labels(self.expr, &labels);
            let mut matches = right.iter().zip(&keys).filter(|(_, k)| **k == key).map(|((_, y), _)| *y);
            let Some(y) = matches.next() else { continue };
            if matches.next().is_some() {
                let unsupported =
                    format!("the operator {operator} where several series on the right match {labels:?}");
                return Err(UnsupportedExpression(unsupported));
            }
            let result = if many_to_one || self.filters { self.result_labels(labels) } else { key };
            if !many_to_one && out.iter().any(|(labels, _)| *labels == result) {
                return Err(UnsupportedExpression(format!(
                    "the operator {operator} where several series on the left have the result labels {result:?}"
                )));
            }
            out.extend(self.pair(x, y, x)?.map(|value| (result, value)));
        }
        Ok(out)
    }
}
