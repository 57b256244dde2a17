//! The subset of PromQL that the shipped rules use, over series in hand. Semantics as documented by Prometheus:
//! five minutes of lookback, staleness markers, extrapolating `rate` and `increase`. What is outside the subset
//! is an error that names it.

use std::collections::BTreeMap;

use promql_parser::parser::{
    AggregateExpr, BinaryExpr, Call, Expr, LabelModifier, Offset, VectorMatchCardinality, VectorSelector,
};

use crate::rules::Millis;

/// Labels, `__name__` among them where there is one.
pub type Labels = BTreeMap<String, String>;

/// How far an instant looks back.
pub const LOOKBACK: Millis = 300_000;
/// The bits of a staleness marker.
const STALE: u64 = 0x7ff0_0000_0000_0002;

/// A staleness marker.
pub fn stale() -> f64 {
    f64::from_bits(STALE)
}

/// Series in hand.
#[derive(Clone, Debug, Default)]
pub struct Store {
    series: BTreeMap<Labels, Vec<(Millis, f64)>>,
}

impl Store {
    /// Adds a sample; times of a series grow.
    pub fn add(&mut self, labels: &Labels, at: Millis, value: f64) {
        match self.series.get_mut(labels) {
            Some(samples) => samples.push((at, value)),
            None => _ = self.series.insert(labels.clone(), vec![(at, value)]),
        }
    }
}

/// What is outside the subset.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is not in the subset of PromQL that is evaluated here")]
pub struct Outside(pub String);

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number.
    Scalar(f64),
    /// Series with one value each.
    Vector(Vec<(Labels, f64)>),
}

type Samples = [(Millis, f64)];
type Ranges = Vec<(Labels, Vec<(Millis, f64)>)>;
type Selected<'a> = Vec<(&'a Labels, &'a Samples)>;
type OverTime = dyn Fn(&Samples, Millis, Millis) -> Option<f64>;

/// Evaluates an expression at a time.
pub fn eval(expr: &Expr, store: &Store, at: Millis) -> Result<Value, Outside> {
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
        Expr::MatrixSelector(_) => Err(Outside("a bare range".to_owned())),
        Expr::Subquery(_) => Err(Outside("a subquery".to_owned())),
        _ => Err(Outside(expr.to_string())),
    }
}

fn nameless(mut labels: Labels) -> Labels {
    labels.remove("__name__");
    labels
}

fn selected<'a>(vs: &VectorSelector, store: &'a Store) -> Result<Selected<'a>, Outside> {
    if vs.at.is_some() {
        return Err(Outside("the @ modifier".to_owned()));
    }
    if !vs.matchers.or_matchers.is_empty() {
        return Err(Outside("or between matchers".to_owned()));
    }
    let empty = String::new();
    let fits = |labels: &Labels| {
        vs.name.as_ref().is_none_or(|name| labels.get("__name__") == Some(name))
            && vs.matchers.matchers.iter().all(|m| m.is_match(labels.get(&m.name).unwrap_or(&empty)))
    };
    Ok(store.series.iter().filter(|(l, _)| fits(l)).map(|(l, s)| (l, s.as_slice())).collect())
}

fn shifted(at: Millis, offset: Option<&Offset>) -> Millis {
    match offset {
        None => at,
        Some(Offset::Pos(span)) => at - span.as_millis() as Millis,
        Some(Offset::Neg(span)) => at + span.as_millis() as Millis,
    }
}

fn instant(vs: &VectorSelector, store: &Store, at: Millis) -> Result<Vec<(Labels, f64)>, Outside> {
    let at = shifted(at, vs.offset.as_ref());
    let mut all = Vec::new();
    for (labels, samples) in selected(vs, store)? {
        let end = samples.partition_point(|(t, _)| *t <= at);
        let Some((t, value)) = samples[..end].last() else { continue };
        if *t > at - LOOKBACK && value.to_bits() != STALE {
            all.push((labels.clone(), *value));
        }
    }
    Ok(all)
}

/// A range's series, and its first and last moment. The first is outside, as in Prometheus 3.
fn ranged(arg: Option<&Expr>, store: &Store, at: Millis) -> Result<(Ranges, Millis, Millis), Outside> {
    let Some(Expr::MatrixSelector(ms)) = arg else {
        return Err(Outside("a range other than of a selector".to_owned()));
    };
    let to = shifted(at, ms.vs.offset.as_ref());
    let from = to - ms.range.as_millis() as Millis;
    let mut all = Vec::new();
    for (labels, samples) in selected(&ms.vs, store)? {
        let (a, b) =
            (samples.partition_point(|(t, _)| *t <= from), samples.partition_point(|(t, _)| *t <= to));
        let within: Vec<_> = samples[a..b].iter().copied().filter(|(_, v)| v.to_bits() != STALE).collect();
        if !within.is_empty() {
            all.push((labels.clone(), within));
        }
    }
    Ok((all, from, to))
}

/// `increase` as Prometheus extrapolates it: to the range's edges, unless a series begins or ends well within
/// it, and never below zero.
fn increase(samples: &[(Millis, f64)], from: Millis, to: Millis) -> Option<f64> {
    let ((first_at, first), (last_at, last)) = (samples.first().copied()?, samples.last().copied()?);
    if samples.len() < 2 {
        return None;
    }
    let mut sum = last - first;
    for pair in samples.windows(2) {
        if pair[1].1 < pair[0].1 {
            sum += pair[0].1;
        }
    }
    let span = (last_at - first_at) as f64;
    let between = span / (samples.len() - 1) as f64;
    let (mut before, mut after) = ((first_at - from) as f64, (to - last_at) as f64);
    if sum > 0.0 && first >= 0.0 {
        // A counter was not below zero.
        before = before.min(span * first / sum);
    }
    if before > between * 1.1 {
        before = between / 2.0;
    }
    if after > between * 1.1 {
        after = between / 2.0;
    }
    Some(sum * (span + before + after) / span)
}

fn call(c: &Call, store: &Store, at: Millis) -> Result<Value, Outside> {
    let arg = |n: usize| c.args.args.get(n).map(|a| &**a);
    let over = |work: &OverTime| -> Result<Value, Outside> {
        let (all, from, to) = ranged(arg(0), store, at)?;
        let values = all.into_iter().filter_map(|(l, s)| Some((nameless(l), work(&s, from, to)?)));
        Ok(Value::Vector(values.collect()))
    };
    let each = |work: &dyn Fn(f64) -> f64| -> Result<Value, Outside> {
        let Some(inner) = arg(0) else { return Err(Outside(c.to_string())) };
        Ok(match eval(inner, store, at)? {
            Value::Scalar(x) => Value::Scalar(work(x)),
            Value::Vector(all) => {
                Value::Vector(all.into_iter().map(|(l, x)| (nameless(l), work(x))).collect())
            }
        })
    };
    let number = |n: usize| match arg(n).map(|a| eval(a, store, at)) {
        Some(Ok(Value::Scalar(x))) => Ok(x),
        _ => Err(Outside(c.to_string())),
    };
    match c.func.name {
        "rate" => over(&|s, from, to| Some(increase(s, from, to)? / ((to - from) as f64 / 1000.0))),
        "increase" => over(&increase),
        "max_over_time" => over(&|s, _, _| s.iter().map(|x| x.1).reduce(f64::max)),
        "min_over_time" => over(&|s, _, _| s.iter().map(|x| x.1).reduce(f64::min)),
        "avg_over_time" => over(&|s, _, _| Some(s.iter().map(|x| x.1).sum::<f64>() / s.len() as f64)),
        "count_over_time" => over(&|s, _, _| Some(s.len() as f64)),
        "absent_over_time" => {
            let (all, _, _) = ranged(arg(0), store, at)?;
            Ok(Value::Vector(if all.is_empty() { vec![(Labels::new(), 1.0)] } else { Vec::new() }))
        }
        "absent" => match arg(0).map(|a| eval(a, store, at)).transpose()? {
            Some(Value::Vector(all)) if all.is_empty() => Ok(Value::Vector(vec![(Labels::new(), 1.0)])),
            _ => Ok(Value::Vector(Vec::new())),
        },
        "clamp_min" => {
            let least = number(1)?;
            each(&|x| x.max(least))
        }
        "clamp_max" => {
            let most = number(1)?;
            each(&|x| x.min(most))
        }
        "abs" => each(&f64::abs),
        "time" => Ok(Value::Scalar(at as f64 / 1000.0)),
        "vector" => Ok(Value::Vector(vec![(Labels::new(), number(0)?)])),
        other => Err(Outside(format!("the function {other}"))),
    }
}

fn aggregate(a: &AggregateExpr, store: &Store, at: Millis) -> Result<Value, Outside> {
    let Value::Vector(all) = eval(&a.expr, store, at)? else { return Err(Outside(a.to_string())) };
    let key = |labels: &Labels| -> Labels {
        match &a.modifier {
            None => Labels::new(),
            Some(LabelModifier::Include(by)) => {
                by.labels.iter().filter_map(|l| Some((l.clone(), labels.get(l)?.clone()))).collect()
            }
            Some(LabelModifier::Exclude(without)) => {
                let mut kept = nameless(labels.clone());
                kept.retain(|l, _| !without.labels.contains(l));
                kept
            }
        }
    };
    let mut groups: BTreeMap<Labels, Vec<f64>> = BTreeMap::new();
    for (labels, value) in all {
        groups.entry(key(&labels)).or_default().push(value);
    }
    let work: fn(&[f64]) -> f64 = match a.op.to_string().as_str() {
        "sum" => |v| v.iter().sum(),
        "max" => |v| v.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        "min" => |v| v.iter().copied().fold(f64::INFINITY, f64::min),
        "avg" => |v| v.iter().sum::<f64>() / v.len() as f64,
        "count" => |v| v.len() as f64,
        other => return Err(Outside(format!("the aggregation {other}"))),
    };
    Ok(Value::Vector(groups.into_iter().map(|(l, v)| (l, work(&v))).collect()))
}

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

/// The labels by which two sides are matched.
fn matching(b: &BinaryExpr, labels: &Labels) -> Labels {
    let mut kept = nameless(labels.clone());
    match b.modifier.as_ref().and_then(|m| m.matching.as_ref()) {
        Some(LabelModifier::Include(on)) => kept.retain(|l, _| on.labels.contains(l)),
        Some(LabelModifier::Exclude(ignoring)) => kept.retain(|l, _| !ignoring.labels.contains(l)),
        None => {}
    }
    kept
}

fn binary(b: &BinaryExpr, store: &Store, at: Millis) -> Result<Value, Outside> {
    let op = b.op.to_string();
    let (lhs, rhs) = (eval(&b.lhs, store, at)?, eval(&b.rhs, store, at)?);
    let as_bool = b.modifier.as_ref().is_some_and(|m| m.return_bool);
    let outside = || Outside(format!("{op} between these sides"));
    // One pair: a value, or none where a comparison filters it out. `kept` is what a filter keeps.
    let pair = |x: f64, y: f64, kept: f64| -> Result<Option<f64>, Outside> {
        if let Some(value) = arithmetic(&op, x, y) {
            return Ok(Some(value));
        }
        let holds = compare(&op, x, y).ok_or_else(outside)?;
        Ok(if as_bool { Some(f64::from(u8::from(holds))) } else { holds.then_some(kept) })
    };
    // A filter keeps its labels as they are; arithmetic makes something new, which has no name.
    let filters = compare(&op, 0.0, 0.0).is_some() && !as_bool;
    let named = |l: Labels| if filters { l } else { nameless(l) };
    match (lhs, rhs) {
        (Value::Scalar(x), Value::Scalar(y)) => match arithmetic(&op, x, y) {
            Some(value) => Ok(Value::Scalar(value)),
            None => Ok(Value::Scalar(f64::from(u8::from(compare(&op, x, y).ok_or_else(outside)?)))),
        },
        (Value::Vector(all), Value::Scalar(y)) => {
            let mut out = Vec::new();
            for (labels, x) in all {
                out.extend(pair(x, y, x)?.map(|v| (named(labels), v)));
            }
            Ok(Value::Vector(out))
        }
        (Value::Scalar(x), Value::Vector(all)) => {
            let mut out = Vec::new();
            for (labels, y) in all {
                out.extend(pair(x, y, y)?.map(|v| (named(labels), v)));
            }
            Ok(Value::Vector(out))
        }
        (Value::Vector(left), Value::Vector(right)) => {
            let keys: Vec<Labels> = right.iter().map(|(l, _)| matching(b, l)).collect();
            match op.as_str() {
                "and" | "unless" => {
                    let wanted = op == "and";
                    let kept = left.into_iter().filter(|(l, _)| keys.contains(&matching(b, l)) == wanted);
                    return Ok(Value::Vector(kept.collect()));
                }
                "or" => {
                    let taken: Vec<Labels> = left.iter().map(|(l, _)| matching(b, l)).collect();
                    let mut all = left;
                    let more = right.into_iter().zip(keys).filter(|(_, key)| !taken.contains(key));
                    all.extend(more.map(|(pair, _)| pair));
                    return Ok(Value::Vector(all));
                }
                _ => {}
            }
            let many = match b.modifier.as_ref().map(|m| &m.card) {
                None | Some(VectorMatchCardinality::OneToOne) => false,
                Some(VectorMatchCardinality::ManyToOne(extra)) if extra.labels.is_empty() => true,
                Some(_) => return Err(Outside("group_right, or group_left with labels".to_owned())),
            };
            let mut out: Vec<(Labels, f64)> = Vec::new();
            for (labels, x) in left {
                let key = matching(b, &labels);
                let mut partners = right.iter().zip(&keys).filter(|(_, k)| **k == key).map(|((_, y), _)| *y);
                let Some(y) = partners.next() else { continue };
                if partners.next().is_some() {
                    return Err(Outside(format!("{op}: several partners on the right for {labels:?}")));
                }
                let result = if many || filters { named(labels) } else { key };
                if !many && out.iter().any(|(l, _)| *l == result) {
                    return Err(Outside(format!("{op}: several on the left for {result:?}")));
                }
                out.extend(pair(x, y, x)?.map(|v| (result, v)));
            }
            Ok(Value::Vector(out))
        }
    }
}

#[cfg(test)]
mod tests;
