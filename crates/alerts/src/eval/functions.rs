//! PromQL functions.

use promql_parser::parser::Call;

use super::eval;
use super::selector::{RangeVector, range};
use super::store::{Labels, Sample, Store};
use super::value::{UnsupportedExpression, Value, without_metric_name};
use crate::rules::Millis;

/// Largest gap, in mean sample intervals, between the edge of a range and the nearest sample over which `increase`
/// extrapolates in full.
const EXTRAPOLATION_THRESHOLD: f64 = 1.1;

/// Computes the increase of a counter as Prometheus does, with counter resets added. The result is extrapolated to both
/// edges of the range. Where the gap to an edge exceeds [`EXTRAPOLATION_THRESHOLD`], the series is assumed to begin or
/// end inside the range, and the result is extrapolated by half an interval. Extrapolation never takes the counter
/// below zero. Returns `None` for fewer than two samples.
fn increase(samples: &[Sample], from: Millis, to: Millis) -> Option<f64> {
    let (first, last) = (samples.first()?, samples.last()?);
    if samples.len() < 2 {
        return None;
    }
    let mut sum = last.value - first.value;
    for pair in samples.windows(2) {
        if pair[1].value < pair[0].value {
            sum += pair[0].value;
        }
    }
    let span = (last.at - first.at) as f64;
    let sample_interval = span / (samples.len() - 1) as f64;
    let (mut before, mut after) = ((first.at - from) as f64, (to - last.at) as f64);
    if sum > 0.0 && first.value >= 0.0 {
        // The start is not extrapolated past the time at which the counter would have been zero.
        before = before.min(span * first.value / sum);
    }
    if before > sample_interval * EXTRAPOLATION_THRESHOLD {
        before = sample_interval / 2.0;
    }
    if after > sample_interval * EXTRAPOLATION_THRESHOLD {
        after = sample_interval / 2.0;
    }
    Some(sum * (span + before + after) / span)
}

/// Computes a value from the samples of a range and its start and end times. `None` omits the series from the result.
type RangeFunction = dyn Fn(&[Sample], Millis, Millis) -> Option<f64>;

/// Evaluates a function call. Most functions apply to each sample range, or to each value, of their first argument.
pub(super) fn call(call: &Call, store: &Store, at: Millis) -> Result<Value, UnsupportedExpression> {
    let arg = |n: usize| call.args.args.get(n).map(|arg| &**arg);
    let over_range = |compute: &RangeFunction| -> Result<Value, UnsupportedExpression> {
        let RangeVector { series, from, to } = range(arg(0), store, at)?;
        let values = series.into_iter().filter_map(|series| {
            Some((without_metric_name(series.labels), compute(&series.samples, from, to)?))
        });
        Ok(Value::Vector(values.collect()))
    };
    let for_each_value = |compute: &dyn Fn(f64) -> f64| -> Result<Value, UnsupportedExpression> {
        let Some(inner) = arg(0) else { return Err(UnsupportedExpression(call.to_string())) };
        Ok(match eval(inner, store, at)? {
            Value::Scalar(x) => Value::Scalar(compute(x)),
            Value::Vector(all) => {
                Value::Vector(all.into_iter().map(|(l, x)| (without_metric_name(l), compute(x))).collect())
            }
        })
    };
    let scalar_argument = |n: usize| match arg(n).map(|a| eval(a, store, at)) {
        Some(Ok(Value::Scalar(x))) => Ok(x),
        _ => Err(UnsupportedExpression(call.to_string())),
    };
    match call.func.name {
        "rate" => over_range(&|s, from, to| Some(increase(s, from, to)? / ((to - from) as f64 / 1000.0))),
        "increase" => over_range(&increase),
        "max_over_time" => over_range(&|s, _, _| s.iter().map(|sample| sample.value).reduce(f64::max)),
        "min_over_time" => over_range(&|s, _, _| s.iter().map(|sample| sample.value).reduce(f64::min)),
        "avg_over_time" => {
            over_range(&|s, _, _| Some(s.iter().map(|sample| sample.value).sum::<f64>() / s.len() as f64))
        }
        "count_over_time" => over_range(&|s, _, _| Some(s.len() as f64)),
        "absent_over_time" => {
            let range = range(arg(0), store, at)?;
            Ok(Value::Vector(if range.series.is_empty() { vec![(Labels::new(), 1.0)] } else { Vec::new() }))
        }
        "absent" => match arg(0).map(|a| eval(a, store, at)).transpose()? {
            Some(Value::Vector(all)) if all.is_empty() => Ok(Value::Vector(vec![(Labels::new(), 1.0)])),
            _ => Ok(Value::Vector(Vec::new())),
        },
        "clamp_min" => {
            let min = scalar_argument(1)?;
            for_each_value(&|x| x.max(min))
        }
        "clamp_max" => {
            let max = scalar_argument(1)?;
            for_each_value(&|x| x.min(max))
        }
        "abs" => for_each_value(&f64::abs),
        "time" => Ok(Value::Scalar(at as f64 / 1000.0)),
        "vector" => Ok(Value::Vector(vec![(Labels::new(), scalar_argument(0)?)])),
        other => Err(UnsupportedExpression(format!("the function {other}"))),
    }
}
