//! Instant and range selectors: the series and samples that they match at a given time.

use promql_parser::parser::{Expr, Offset, VectorSelector};

use super::store::{LOOKBACK, Labels, Sample, Store, is_stale};
use super::value::UnsupportedExpression;
use crate::rules::Millis;

/// A series that a selector matches.
struct SelectedSeries<'a> {
    labels: &'a Labels,
    samples: &'a [Sample],
}

fn select<'a>(
    selector: &VectorSelector,
    store: &'a Store,
) -> Result<Vec<SelectedSeries<'a>>, UnsupportedExpression> {
    if selector.at.is_some() {
        return Err(UnsupportedExpression("the @ modifier".to_owned()));
    }
    if !selector.matchers.or_matchers.is_empty() {
        return Err(UnsupportedExpression("or between label matchers".to_owned()));
    }
    let empty = String::new();
    let matches = |labels: &Labels| {
        selector.name.as_ref().is_none_or(|name| labels.get("__name__") == Some(name))
            && selector.matchers.matchers.iter().all(|m| m.is_match(labels.get(&m.name).unwrap_or(&empty)))
    };
    let selected = store.series.iter().filter(|(labels, _)| matches(labels));
    Ok(selected.map(|(labels, samples)| SelectedSeries { labels, samples }).collect())
}

/// Applies the `offset` modifier of a selector to an evaluation time.
fn with_offset(at: Millis, offset: Option<&Offset>) -> Millis {
    match offset {
        None => at,
        Some(Offset::Pos(span)) => at - span.as_millis() as Millis,
        Some(Offset::Neg(span)) => at + span.as_millis() as Millis,
    }
}

/// Evaluates an instant selector: the newest sample of each matching series, unless it is older than [`LOOKBACK`] or a
/// staleness marker.
pub(super) fn instant(
    selector: &VectorSelector,
    store: &Store,
    at: Millis,
) -> Result<Vec<(Labels, f64)>, UnsupportedExpression> {
    let at = with_offset(at, selector.offset.as_ref());
    let mut all = Vec::new();
    for SelectedSeries { labels, samples } in select(selector, store)? {
        let end = samples.partition_point(|sample| sample.at <= at);
        let Some(newest) = samples[..end].last() else { continue };
        if newest.at > at - LOOKBACK && !is_stale(newest.value) {
            all.push((labels.clone(), newest.value));
        }
    }
    Ok(all)
}

/// A series with its samples in the range of a range selector, without staleness markers.
pub(super) struct SeriesRange {
    pub(super) labels: Labels,
    pub(super) samples: Vec<Sample>,
}

/// The result of a range selector: the matching series with at least one sample in the range.
pub(super) struct RangeVector {
    pub(super) series: Vec<SeriesRange>,
    /// Start of the range, exclusive as in Prometheus 3.
    pub(super) from: Millis,
    /// End of the range, inclusive.
    pub(super) to: Millis,
}

/// Evaluates a function argument that must be a range selector.
pub(super) fn range(
    arg: Option<&Expr>,
    store: &Store,
    at: Millis,
) -> Result<RangeVector, UnsupportedExpression> {
    let Some(Expr::MatrixSelector(ms)) = arg else {
        return Err(UnsupportedExpression("a range vector other than a selector".to_owned()));
    };
    let to = with_offset(at, ms.vs.offset.as_ref());
    let from = to - ms.range.as_millis() as Millis;
    let mut series = Vec::new();
    for SelectedSeries { labels, samples } in select(&ms.vs, store)? {
        let first = samples.partition_point(|sample| sample.at <= from);
        let end = samples.partition_point(|sample| sample.at <= to);
        let samples: Vec<Sample> =
            samples[first..end].iter().copied().filter(|sample| !is_stale(sample.value)).collect();
        if !samples.is_empty() {
            series.push(SeriesRange { labels: labels.clone(), samples });
        }
    }
    Ok(RangeVector { series, from, to })
}
