//! The plan file of a scale run. It is validated completely before the run starts.

use std::time::Duration;

use nettleferry::Micros;
use nettleferry_config::Errors;
use nettleferry_config::form::{Bytes, Form, Source, TimeSpan, suggestion};
use nettleferry_config::syntax::Span;

use crate::capacity::Capacity;
use crate::fit::MIN_SIZES;
use crate::measure::{MEASURE_KINDS, Measure, Metric, Unit};
use crate::verdict::{Bound, Budget, MetricId, Subject};

/// Default of `deadline`.
const DEFAULT_DEADLINE: Micros = 180_000_000;
/// Minimum of `deadline`.
const MIN_DEADLINE: Micros = 1_000_000;
/// Maximum of `deadline`.
const MAX_DEADLINE: Micros = 1_800_000_000;

/// A validated plan of a run.
pub struct Settings {
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Maximum duration of the run.
    pub deadline: Duration,
    /// Measures, in the order in which they run.
    pub measures: Vec<Box<dyn Measure>>,
    /// Bounds that the results are checked against.
    pub bounds: Vec<Bound>,
    /// Budgets of metrics at the target size.
    pub budgets: Vec<Budget>,
}

/// Parses and validates the plan file whose content is `text`; `file` names it in errors. A size that does not fit into
/// `capacity` is an error that states the largest size that fits.
pub fn read(file: &str, text: &str, capacity: &Capacity) -> Result<Settings, Errors> {
    let (source, mut top) = Form::parse(file, text);
    let seed = top.value_or("seed", 1);
    let deadline = top.optional_list("deadline");
    let (span, deadline) = match deadline {
        Some(form) => (form.span(), read_deadline(form)),
        None => (top.span(), DEFAULT_DEADLINE),
    };
    let deadline = Duration::from_micros(deadline);
    let measures = read_measures(&mut top);
    check_sizes(&source, &measures, capacity);
    check_time(&source, &measures, (span, deadline));
    let bounds = top.optional_list("bounds").map_or_else(Vec::new, |form| read_bounds(form, &measures));
    let budgets = top.optional_list("target").map_or_else(Vec::new, |form| read_target(form, &measures));
    top.finish();
    source.into_result(Some(Settings { seed, deadline, measures, bounds, budgets }))
}

fn read_deadline(mut form: Form) -> Micros {
    let span = form.required_item::<TimeSpan>("its span").map_or(DEFAULT_DEADLINE, |span| span.0);
    if !(MIN_DEADLINE..=MAX_DEADLINE).contains(&span) {
        form.error("(deadline ...): write 1s to 30min");
    }
    form.finish();
    span
}

fn read_measures(top: &mut Form) -> Vec<Box<dyn Measure>> {
    let mut measures = Vec::new();
    let mut any_listed = false;
    for kind in MEASURE_KINDS {
        if let Some(mut form) = top.optional_list(kind.name) {
            any_listed = true;
            measures.extend((kind.read)(&mut form));
            form.finish();
        }
    }
    if !any_listed {
        let names: Vec<String> = MEASURE_KINDS.iter().map(|kind| format!("({} ...)", kind.name)).collect();
        top.error(format!("nothing is measured: write {}", names.join(" or ")));
    }
    measures
}

/// Checks that each size fits into the capacity. Sizes are checked one by one, because only one of them runs at a time.
fn check_sizes(source: &Source, measures: &[Box<dyn Measure>], capacity: &Capacity) {
    for measure in measures {
        let sizes = measure.sizes();
        for size in &sizes.values {
            let Some(shortage) = capacity.shortage(&measure.needs(*size)) else { continue };
            let fits = capacity.largest_fit(*size, |size| measure.needs(size));
            let message =
                format!("{} {size} can't fit: needs {shortage}; write at most {fits}", sizes.dimension);
            source.error(sizes.span, message);
            break;
        }
    }
}

/// Checks that the deadline suffices for the estimated time of all measures. `span` is the position for errors.
fn check_time(source: &Source, measures: &[Box<dyn Measure>], (span, deadline): (Span, Duration)) {
    let mut needed = Duration::ZERO;
    let mut parts = Vec::new();
    for measure in measures {
        let time: Duration = measure.sizes().values.iter().map(|size| measure.needs(*size).time).sum();
        parts.push(format!("{} {} s", measure.name(), time.as_secs_f64().ceil()));
        needed = needed.saturating_add(time);
    }
    if needed > deadline {
        let seconds = needed.as_secs_f64().ceil();
        let parts = parts.join(", ");
        source.error(
            span,
            format!("the run may take {seconds} s ({parts}): write (deadline {seconds}s), or smaller or fewer sizes"),
        );
    }
}

fn read_bounds(mut form: Form, measures: &[Box<dyn Measure>]) -> Vec<Bound> {
    let mut bounds = Vec::new();
    for mut at_most in form.lists("at-most") {
        bounds.extend(read_subject(&mut at_most, measures, SubjectKind::At));
        at_most.finish();
    }
    for mut ratio in form.lists("ratio") {
        bounds.extend(read_subject(&mut ratio, measures, SubjectKind::Ratio));
        ratio.finish();
    }
    for mut exponent in form.lists("exponent") {
        bounds.extend(read_subject(&mut exponent, measures, SubjectKind::Exponent));
        exponent.finish();
    }
    form.finish();
    bounds
}

/// The kinds of [`Subject`], whose forms are parsed differently.
#[derive(Clone, Copy)]
enum SubjectKind {
    At,
    Ratio,
    Exponent,
}

/// Parses the content of a bound, `(MEASURE FIGURE SIZE...) MOST`.
fn read_subject(form: &mut Form, measures: &[Box<dyn Measure>], kind: SubjectKind) -> Option<Bound> {
    let max = match kind {
        SubjectKind::At => None,
        SubjectKind::Ratio | SubjectKind::Exponent => Some(form.required_item::<f64>("the maximum")),
    };
    let Some((mut subject, measure, id)) = read_metric(form, measures) else {
        // Skips the maximum of an `at-most` bound, which can't be parsed without the unit of the metric.
        let _ = form.next_item::<String>();
        return None;
    };
    let bound = match kind {
        SubjectKind::At => {
            let size = read_size(&mut subject, measure);
            let max = read_amount(form, id.metric);
            size.zip(max).map(|(size, max)| Bound { subject: Subject::At { id, size }, max })
        }
        SubjectKind::Ratio => {
            let (size, base_size) = (read_size(&mut subject, measure), read_size(&mut subject, measure));
            let sizes = size.zip(base_size).zip(max.flatten());
            sizes.map(|((size, base_size), max)| Bound {
                subject: Subject::Ratio { id, size, base_size },
                max,
            })
        }
        SubjectKind::Exponent => {
            require_fit_sizes(&subject, measure, "an exponent");
            max.flatten().map(|max| Bound { subject: Subject::Exponent { id }, max })
        }
    };
    subject.finish();
    bound
}

/// Parses the list `(MEASURE FIGURE ...)` in a form, and returns it with the measure and the metric that it names. The
/// sizes that follow in the list are parsed by the caller. None if the list is missing or names no known metric.
fn read_metric<'m>(
    form: &mut Form,
    measures: &'m [Box<dyn Measure>],
) -> Option<(Form, &'m dyn Measure, MetricId)> {
    let mut lists = form.remaining_lists().into_iter();
    let Some(mut subject) = lists.next() else {
        form.error(format!("({} ...) lacks its figure: write (MEASURE FIGURE ...)", form.name()));
        return None;
    };
    for extra in lists {
        extra.error("one figure per bound: write another bound for this one");
    }
    let Some(measure) = measures.iter().find(|measure| measure.name() == subject.name()) else {
        let names = || measures.iter().map(|measure| measure.name());
        let hint = suggestion(subject.name(), names());
        let all = names().collect::<Vec<_>>().join(", ");
        subject.error(format!("this file measures {all}, not {}{hint}", subject.name()));
        return None;
    };
    let metrics: Vec<(&str, &'static Metric)> =
        measure.metrics().iter().map(|metric| (metric.name, *metric)).collect();
    let metric = subject.keyword("the figure", &metrics)?;
    Some((subject, &**measure, MetricId { measure: measure.name(), metric }))
}

fn read_size(subject: &mut Form, measure: &dyn Measure) -> Option<u64> {
    let size = subject.required_item::<u64>("a size")?;
    let sizes = measure.sizes();
    if !sizes.values.contains(&size) {
        let all: Vec<String> = sizes.values.iter().map(u64::to_string).collect();
        subject.error(format!("size {size} is not measured: write one of {}", all.join(", ")));
        return None;
    }
    Some(size)
}

/// Parses an amount in the unit of a metric.
fn read_amount(form: &mut Form, metric: &Metric) -> Option<f64> {
    let amount = match metric.unit {
        Unit::Microseconds => form.required_item::<TimeSpan>("the maximum")?.0 as f64,
        Unit::Bytes | Unit::BytesPerSecond => form.required_item::<Bytes>("the maximum")?.0 as f64,
        Unit::Count | Unit::Cores => form.required_item::<f64>("the maximum")?,
    };
    Some(amount)
}

/// Records an error if the measure has too few sizes for a fit; `what` names the part of the plan that needs the fit.
fn require_fit_sizes(subject: &Form, measure: &dyn Measure, what: &str) {
    let sizes = measure.sizes();
    if sizes.values.len() < MIN_SIZES {
        subject.error(format!(
            "{what} needs a fit over at least {MIN_SIZES} sizes; ({} ({} ...)) has {}",
            measure.name(),
            sizes.dimension,
            sizes.values.len()
        ));
    }
}

/// Parses `(target (SIZE-NAME N)... (budget (MEASURE FIGURE) MOST)...)`.
fn read_target(mut form: Form, measures: &[Box<dyn Measure>]) -> Vec<Budget> {
    let mut sizes: Vec<(&'static str, u64)> = Vec::new();
    for measure in measures {
        let dimension = measure.sizes().dimension;
        if !sizes.iter().any(|(known, _)| *known == dimension) {
            sizes.extend(form.optional::<u64>(dimension).map(|size| (dimension, size)));
        }
    }
    let mut budgets = Vec::new();
    for mut budget in form.lists("budget") {
        if let Some((subject, measure, id)) = read_metric(&mut budget, measures) {
            let target =
                sizes.iter().find(|(known, _)| *known == measure.sizes().dimension).map(|(_, size)| *size);
            if target.is_none() {
                subject.error(format!("the target lacks ({} SIZE)", measure.sizes().dimension));
            }
            require_fit_sizes(&subject, measure, "a target");
            let max = read_amount(&mut budget, id.metric).filter(|max| *max > 0.0);
            budgets.extend(target.zip(max).map(|(size, max)| Budget { id, size, max }));
            subject.finish();
        } else {
            // Skips the budget, which can't be parsed without the unit of the metric.
            let _ = budget.next_item::<String>();
        }
        budget.finish();
    }
    form.finish();
    budgets
}
