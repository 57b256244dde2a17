//! Evaluates the subset of PromQL that the shipped rules use. Semantics follow the Prometheus documentation: a lookback
//! of five minutes, staleness markers, and extrapolation in `rate` and `increase`. An expression outside the subset is
//! an error that names the unsupported construct.
//!
//! * [`store`]: series and samples. [`value`]: results. [`selector`]: the samples that a selector matches.
//! * [`functions`], [`aggregation`], [`binary`]: functions and operators, which evaluate their operands by [`eval`].

mod aggregation;
mod binary;
mod functions;
mod selector;
mod store;
mod value;

use promql_parser::parser::Expr;

use self::aggregation::aggregate;
use self::binary::binary;
use self::functions::call;
use self::selector::instant;
pub use self::store::{LOOKBACK, Labels, Sample, Store, staleness_marker};
use self::value::without_metric_name;
pub use self::value::{UnsupportedExpression, Value};
use crate::rules::Millis;

/// Evaluates an expression at the time `at`.
///
/// # Errors
/// If the expression is outside the supported subset.
pub fn eval(expr: &Expr, store: &Store, at: Millis) -> Result<Value, UnsupportedExpression> {
    match expr {
        Expr::NumberLiteral(n) => Ok(Value::Scalar(n.val)),
        Expr::Paren(p) => eval(&p.expr, store, at),
        Expr::Unary(u) => Ok(match eval(&u.expr, store, at)? {
            Value::Scalar(x) => Value::Scalar(-x),
            Value::Vector(all) => {
                Value::Vector(all.into_iter().map(|(l, x)| (without_metric_name(l), -x)).collect())
            }
        }),
        Expr::VectorSelector(vs) => Ok(Value::Vector(instant(vs, store, at)?)),
        Expr::Aggregate(a) => aggregate(a, store, at),
        Expr::Binary(b) => binary(b, store, at),
        Expr::Call(c) => call(c, store, at),
        Expr::MatrixSelector(_) => {
            Err(UnsupportedExpression("a range vector outside a function call".to_owned()))
        }
        Expr::Subquery(_) => Err(UnsupportedExpression("a subquery".to_owned())),
        _ => Err(UnsupportedExpression(expr.to_string())),
    }
}

#[cfg(test)]
mod tests;
