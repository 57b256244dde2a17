//! Bounds of a file, and whether a run kept them.

use serde::Serialize;

use crate::fit::Fit;
use crate::measure::{Metric, Unit};
use crate::rig::RigBound;
use crate::run::Observation;

/// A figure of a measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MetricId {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    pub metric: &'static Metric,
}

/// What a bound is set to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Subject {
    /// A figure at a size.
    At {
        /// The figure.
        of: MetricId,
        /// The size.
        size: u64,
    },
    /// A figure at one size over the same figure at another.
    Ratio {
        /// The figure.
        of: MetricId,
        /// The size above the line.
        size: u64,
        /// The size below the line.
        base_size: u64,
    },
    /// The power of the size with which a figure grows.
    Exponent {
        /// The figure.
        of: MetricId,
    },
}

impl Subject {
    /// Its words, as the file has them.
    pub fn label(&self) -> String {
        let label = |of: &MetricId| format!("{} {}", of.measure, of.metric.name);
        match self {
            Self::At { of, size } => format!("{} {size}", label(of)),
            Self::Ratio { of, size, base_size: over } => format!("ratio {} {size}:{over}", label(of)),
            Self::Exponent { of } => format!("exponent {}", label(of)),
        }
    }

    /// Its unit; none for a ratio or an exponent.
    pub fn unit(&self) -> Option<Unit> {
        match self {
            Self::At { of, .. } => Some(of.metric.unit),
            Self::Ratio { .. } | Self::Exponent { .. } => None,
        }
    }

    fn of(&self) -> &MetricId {
        match self {
            Self::At { of, .. } | Self::Ratio { of, .. } | Self::Exponent { of } => of,
        }
    }

    fn involves_size(&self, at: u64) -> bool {
        match self {
            Self::At { size, .. } => *size == at,
            Self::Ratio { size, base_size, .. } => *size == at || *base_size == at,
            Self::Exponent { .. } => true,
        }
    }

    fn value(&self, observed: &[Observation]) -> Option<f64> {
        let value = |wanted: u64| {
            let found = observed.iter().find(|one| one.is(self.of()) && one.size == wanted);
            found.map(|one| one.value)
        };
        match self {
            Self::At { size, .. } => value(*size),
            Self::Ratio { size, base_size, .. } => {
                let below = value(*base_size)?;
                (below > 0.0).then_some(value(*size)? / below)
            }
            Self::Exponent { of } => Some(Fit::of(&points(observed, of))?.exponent?.power),
        }
    }
}

/// Sizes and values of a figure.
pub fn points(observed: &[Observation], of: &MetricId) -> Vec<(f64, f64)> {
    observed.iter().filter(|one| one.is(of)).map(|one| (one.size as f64, one.value)).collect()
}

/// At most so much.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Of what.
    pub subject: Subject,
    /// How much.
    pub max: f64,
}

/// Was a bound kept?
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It was kept.
    Kept,
    /// It was not.
    Broken,
    /// Nothing shows either: the figure was not observed.
    NotMeasured,
}

/// A bound, judged.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// The bound's words.
    pub bound: String,
    /// What it allows.
    #[serde(rename = "most")]
    pub max: f64,
    /// What was observed.
    pub value: Option<f64>,
    /// The unit of both; none for ratios and exponents.
    pub unit: Option<Unit>,
    /// Kept or not.
    pub outcome: Outcome,
    /// The rig bounded a figure that this is about.
    pub rig_bound: bool,
}

impl Bound {
    /// Judges what was observed.
    pub fn judge(&self, observed: &[Observation]) -> Verdict {
        let value = self.subject.value(observed);
        let outcome = match value {
            Some(value) if value <= self.max => Outcome::Kept,
            Some(_) => Outcome::Broken,
            None => Outcome::NotMeasured,
        };
        let rig_bound = observed
            .iter()
            .filter(|one| one.is(self.subject.of()) && self.subject.involves_size(one.size))
            .any(|one| one.rig != RigBound::None);
        let (bound, unit) = (self.subject.label(), self.subject.unit());
        Verdict { bound, max: self.max, value, unit, outcome, rig_bound }
    }
}

/// What a figure may cost at the target size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// The figure.
    pub of: MetricId,
    /// The target size of the measure.
    pub size: u64,
    /// What it may cost there.
    pub max: f64,
}

/// A figure carried on to the target size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// The target size.
    pub size: u64,
    /// The figure there: observed, or else by the line.
    pub value: Option<f64>,
    /// Its unit.
    pub unit: Unit,
    /// It was observed at this size, not carried on.
    pub observed: bool,
    /// The standard error that the slope's own brings at this size; none where observed.
    pub error: Option<f64>,
    /// What it may cost.
    pub budget: f64,
    /// The value over the budget: above 1 it falls short.
    pub factor: Option<f64>,
}

impl Budget {
    /// Carries the figure on to the target size.
    pub fn estimate(&self, observed: &[Observation]) -> TargetEstimate {
        let at_target = observed.iter().find(|one| one.is(&self.of) && one.size == self.size);
        let line = Fit::of(&points(observed, &self.of)).map(|fit| fit.line);
        let extrapolated = line.map(|line| line.at(self.size as f64));
        let value = at_target.map(|one| one.value).or(extrapolated);
        let error = line.filter(|_| at_target.is_none()).map(|line| line.slope_error * self.size as f64);
        TargetEstimate {
            measure: self.of.measure,
            metric: self.of.metric.name,
            size: self.size,
            value,
            unit: self.of.metric.unit,
            observed: at_target.is_some(),
            error,
            budget: self.max,
            factor: value.map(|value| value / self.max),
        }
    }
}
