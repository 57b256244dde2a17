//! Results of expressions, and the error for unsupported ones.

use super::store::Labels;

/// An expression is outside the supported subset of PromQL; the field describes the unsupported part.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not in the subset of PromQL that is evaluated here")]
pub struct UnsupportedExpression(pub String);

/// The result of an expression.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A single number without labels.
    Scalar(f64),
    /// An instant vector: one value for each series.
    Vector(Vec<(Labels, f64)>),
}

/// Removes the metric name (`__name__`) from a label set, as Prometheus does for results of functions and arithmetic.
pub(super) fn without_metric_name(mut labels: Labels) -> Labels {
    labels.remove("__name__");
    labels
}
