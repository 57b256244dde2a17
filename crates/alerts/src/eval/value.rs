//! Values of expressions.

use super::store::Labels;

/// An expression outside the subset.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not in the subset of PromQL that is evaluated here")]
pub struct UnsupportedExpression(pub String);

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number.
    Scalar(f64),
    /// Series with one value each.
    Vector(Vec<(Labels, f64)>),
}

/// Labels without the metric's name.
pub(super) fn nameless(mut labels: Labels) -> Labels {
    labels.remove("__name__");
    labels
}
