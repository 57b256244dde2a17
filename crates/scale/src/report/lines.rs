//! Lines of JSON: one an observation, a fit, a figure at the target size, a verdict, and one for the end.

use serde::Serialize;

use crate::run::{End, FittedMetric, Observation, Report};
use crate::verdict::{TargetEstimate, Verdict};

/// What stands in each line beside its own content.
#[derive(Clone, Debug, Serialize)]
pub struct Origin {
    /// The commit that was measured, where it was told.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub commit: Option<String>,
    /// The seed.
    pub seed: u64,
}

/// A line.
#[derive(Serialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum Line<'a> {
    Observation(&'a Observation),
    Fit(&'a FittedMetric),
    Target(&'a TargetEstimate),
    Verdict(&'a Verdict),
    End {
        how: &'static str,
        #[serde(skip_serializing_if = "Option::is_none")]
        error: Option<String>,
        observations: usize,
        all_kept: bool,
    },
}

#[derive(Serialize)]
struct WithOrigin<'a> {
    #[serde(flatten)]
    line: Line<'a>,
    #[serde(flatten)]
    origin: &'a Origin,
}

fn write(line: Line<'_>, origin: &Origin) -> String {
    // These types hold nothing that JSON can't: numbers that are not finite become null.
    serde_json::to_string(&WithOrigin { line, origin }).unwrap_or_default()
}

/// The line of an observation.
pub fn observation(observed: &Observation, origin: &Origin) -> String {
    write(Line::Observation(observed), origin)
}

/// The lines that follow the observations: fits, targets, verdicts, the end.
pub fn conclusion(report: &Report, origin: &Origin) -> Vec<String> {
    let (how, error) = match &report.end {
        End::Done => ("done", None),
        End::Interrupted => ("interrupted", None),
        End::Failed { measure, size, error } => ("failed", Some(format!("{measure} {size}: {error}"))),
    };
    let end = Line::End { how, error, observations: report.observed.len(), all_kept: report.all_kept() };
    let fits = report.fitted.iter().map(Line::Fit);
    let targets = report.targets.iter().map(Line::Target);
    let verdicts = report.verdicts.iter().map(Line::Verdict);
    fits.chain(targets).chain(verdicts).chain([end]).map(|line| write(line, origin)).collect()
}
