//! The subset of PromQL that the shipped rules use. Semantics as documented by Prometheus: five minutes of lookback,
//! staleness markers, extrapolating `rate` and `increase`. An expression outside the subset is an error that names it.
//!
//! * [`store`]: series. [`value`]: results. [`selector`]: which samples an expression selects.
//! * [`functions`], [`aggregation`], [`binary`]: what is computed of them; each evaluates its operands by [`eval`].

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
pub use self::store::{LOOKBACK, Labels, Sample, Store, stale};
use self::value::nameless;
pub use self::value::{UnsupportedExpression, Value};
use crate::rules::Millis;

/// Evaluates an expression at a time.
///
/// # Errors
/// Where it is outside the subset.
pub fn eval(expr: &Expr, store: &Store, at: Millis) -> Result<Value, UnsupportedExpression> {
    match expr {
        Expr::NumberLiteral(n) => Ok(Value::Scalar(n.val)),
        Expr::Paren(p) => eval(&p.expr, store, at),
        Expr::Unary(u) => Ok(match eval(&u.expr, store, at)? {
            Value::Scalar(x) => Value::Scalar(-x),
            Value::Vector(all) => Value::Vector(all.into_iter().map(|(l, x)| (nameless(l), -x)).collect()),
        }),
        Expr::VectorSelector(vs) => Ok(Value::Vector(instant(vs, store, at)?)),
        Expr::Aggregate(a) => aggregate(a, store, at),
        Expr::Binary(b) => binary(b, store, at),
        Expr::Call(c) => call(c, store, at),
        Expr::MatrixSelector(_) => Err(UnsupportedExpression("a bare range".to_owned())),
        Expr::Subquery(_) => Err(UnsupportedExpression("a subquery".to_owned())),
        _ => Err(UnsupportedExpression(expr.to_string())),
    }
}

#[cfg(test)]
mod tests;
