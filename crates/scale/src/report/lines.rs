//! The JSON lines of a run: one for each observation, fit, estimate at the target size and verdict, and one for the
//! end of the run.

use serde::Serialize;

use crate::run::{End, FittedMetric, Observation, Report};
use crate::verdict::{TargetEstimate, Verdict};

/// Fields that are part of every line.
#[derive(Clone, Debug, Serialize)]
pub struct Origin {
    /// The measured commit, if the caller named one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub commit: Option<String>,
    /// Random seed of the run.
    pub seed: u64,
}

/// Content of a line, tagged by its kind.
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
    // Serialization can't fail for these types: numbers that are not finite are written as null.
    serde_json::to_string(&WithOrigin { line, origin }).unwrap_or_default()
}

/// Formats the line of an observation, which is written as soon as the value is known.
pub fn observation(observed: &Observation, origin: &Origin) -> String {
    write(Line::Observation(observed), origin)
}

/// Formats the lines that follow the observations: fits, estimates at the target size, verdicts and the end.
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
