//! Tables of the results for people.

use std::collections::BTreeSet;

use comfy_table::{Table, presets};

use crate::measure::Unit;
use crate::rig::RigBound;
use crate::run::{End, Report};
use crate::verdict::Outcome;

/// Formats a value with a unit of suitable magnitude.
pub fn amount(value: f64, unit: Option<Unit>) -> String {
    match unit {
        Some(Unit::Microseconds) => scaled(value, &[(1e6, "s"), (1e3, "ms"), (1.0, "us"), (1e-3, "ns")]),
        Some(Unit::Bytes) => scaled(value, BYTE_UNITS),
        Some(Unit::BytesPerSecond) => format!("{}/s", scaled(value, BYTE_UNITS)),
        Some(Unit::Cores) => format!("{} cores", plain(value)),
        Some(Unit::Count) => plain(value),
        None => format!("{value:.3}"),
    }
}

/// Formats a number with three decimals, or in scientific notation if it is small, as most slopes are.
fn plain(value: f64) -> String {
    if value != 0.0 && value.abs() < 0.01 { format!("{value:.1e}") } else { format!("{value:.3}") }
}

/// Units of bytes and their factors, the largest first.
const BYTE_UNITS: &[(f64, &str)] = &[(1073741824.0, "GiB"), (1048576.0, "MiB"), (1024.0, "KiB"), (1.0, "B")];

/// Formats a value in the first unit whose factor it reaches, or else in the last. `units` has the largest unit first.
fn scaled(value: f64, units: &[(f64, &str)]) -> String {
    let unit = units.iter().find(|(factor, _)| value.abs() >= *factor).or(units.last());
    unit.map_or_else(String::new, |(factor, name)| format!("{:.2} {name}", value / factor))
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::UTF8_FULL_CONDENSED).set_header(header.to_vec());
    table
}

/// Formats all tables of a report, followed by the reason if the run ended early.
pub fn render(report: &Report) -> String {
    let mut parts = observations(report);
    if !report.fitted.is_empty() {
        parts.push(fits(report));
    }
    if !report.targets.is_empty() {
        parts.push(targets(report));
    }
    if !report.verdicts.is_empty() {
        parts.push(verdicts(report));
    }
    match &report.end {
        End::Done => {}
        End::Interrupted => parts.push("interrupted: the results are partial".to_owned()),
        End::Failed { measure, size, error } => parts.push(format!("{measure} {size} failed: {error}")),
    }
    parts.join("\n")
}

/// Formats a table for each measure, with a row for each metric and a column for each size.
fn observations(report: &Report) -> Vec<String> {
    let mut measures: Vec<&str> = report.observed.iter().map(|observed| observed.measure).collect();
    measures.dedup();
    let mut parts: Vec<String> =
        measures.into_iter().map(|measure| observations_of(report, measure)).collect();
    if report.observed.iter().any(|observed| observed.rig != RigBound::None) {
        parts.push("* bounded by the rig's own process or by the machine, not by the program".to_owned());
    }
    parts
}

fn observations_of(report: &Report, measure: &str) -> String {
    let of_measure = || report.observed.iter().filter(|observed| observed.measure == measure);
    let sizes: BTreeSet<u64> = of_measure().map(|observed| observed.size).collect();
    let mut metrics: Vec<&str> = Vec::new();
    for observed in of_measure() {
        if !metrics.contains(&observed.metric) {
            metrics.push(observed.metric);
        }
    }
    let dimension = of_measure().next().map_or("", |observed| observed.dimension);
    let columns = sizes.iter().map(|size| format!("{size} {dimension}"));
    let mut table = table(&[measure]);
    table.set_header([measure.to_owned()].into_iter().chain(columns));
    for metric in metrics {
        let cells = sizes.iter().map(|size| {
            let observed = of_measure().find(|observed| observed.metric == metric && observed.size == *size);
            observed.map_or_else(String::new, |observed| {
                let mark = if observed.rig == RigBound::None { "" } else { " *" };
                format!("{}{mark}", amount(observed.value, Some(observed.unit)))
            })
        });
        table.add_row([metric.to_owned()].into_iter().chain(cells));
    }
    table.to_string()
}

fn fits(report: &Report) -> String {
    let mut table = table(&["measure", "figure", "slope, each", "+-", "at 0", "exponent", "+-", "rig"]);
    for fitted in &report.fitted {
        let (line, exponent) = (fitted.fit.line, fitted.fit.exponent);
        let slope =
            format!("{} a {}", amount(line.slope, Some(fitted.unit)), fitted.dimension.trim_end_matches('s'));
        let power = exponent.map_or_else(String::new, |exponent| format!("{:.2}", exponent.power));
        let error = exponent.map_or_else(String::new, |exponent| format!("{:.2}", exponent.error));
        table.add_row([
            fitted.measure,
            fitted.metric,
            &slope,
            &amount(line.slope_error, Some(fitted.unit)),
            &amount(line.intercept, Some(fitted.unit)),
            &power,
            &error,
            if fitted.rig_bound { "bounds" } else { "" },
        ]);
    }
    table.to_string()
}

fn targets(report: &Report) -> String {
    let mut table = table(&["measure", "figure", "target", "value", "+-", "budget", "factor", "from"]);
    for target in &report.targets {
        let unit = Some(target.unit);
        let text = |value: Option<f64>| value.map_or_else(String::new, |value| amount(value, unit));
        let factor = target.factor.map_or_else(String::new, |factor| format!("{factor:.2}"));
        let from = match (target.observed, target.value) {
            (true, _) => "observed",
            (false, Some(_)) => "the line",
            (false, None) => "not measured",
        };
        table.add_row([
            target.measure,
            target.metric,
            &target.size.to_string(),
            &text(target.value),
            &text(target.error),
            &amount(target.budget, unit),
            &factor,
            from,
        ]);
    }
    table.to_string()
}

fn verdicts(report: &Report) -> String {
    let mut table = table(&["bound", "at most", "observed", "", "rig"]);
    for verdict in &report.verdicts {
        let outcome = match verdict.outcome {
            Outcome::Kept => "kept",
            Outcome::Broken => "BROKEN",
            Outcome::NotMeasured => "NOT MEASURED",
        };
        table.add_row([
            verdict.bound.as_str(),
            &amount(verdict.max, verdict.unit),
            &verdict.value.map_or_else(String::new, |value| amount(value, verdict.unit)),
            outcome,
            if verdict.rig_bound { "bounds" } else { "" },
        ]);
    }
    table.to_string()
}
