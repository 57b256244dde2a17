//! Bounds and budgets of a plan file, and their comparison with the results of a run.

use serde::Serialize;

use crate::fit::Fit;
use crate::measure::{Metric, Unit};
use crate::rig::RigBound;
use crate::run::Observation;

/// Identifies a metric of a measure.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MetricId {
    /// Name of the measure.
    pub measure: &'static str,
    /// Metric among those of the measure.
    pub metric: &'static Metric,
}

/// The quantity that a bound limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Subject {
    /// A metric at one size.
    At {
        /// The bounded metric.
        id: MetricId,
        /// Size at which the metric is bounded.
        size: u64,
    },
    /// The ratio of a metric between two sizes.
    Ratio {
        /// The metric of both values.
        id: MetricId,
        /// Size of the numerator.
        size: u64,
        /// Size of the denominator.
        base_size: u64,
    },
    /// The exponent of the power law by which a metric grows with the size.
    Exponent {
        /// The metric whose growth is bounded.
        id: MetricId,
    },
}

impl Subject {
    /// Describes the quantity in reports, such as `ratio module call-p50 20000:100`.
    pub fn label(&self) -> String {
        let label = |id: &MetricId| format!("{} {}", id.measure, id.metric.name);
        match self {
            Self::At { id, size } => format!("{} {size}", label(id)),
            Self::Ratio { id, size, base_size } => format!("ratio {} {size}:{base_size}", label(id)),
            Self::Exponent { id } => format!("exponent {}", label(id)),
        }
    }

    /// Unit of the quantity; none for a ratio or an exponent.
    pub fn unit(&self) -> Option<Unit> {
        match self {
            Self::At { id, .. } => Some(id.metric.unit),
            Self::Ratio { .. } | Self::Exponent { .. } => None,
        }
    }

    fn id(&self) -> &MetricId {
        match self {
            Self::At { id, .. } | Self::Ratio { id, .. } | Self::Exponent { id } => id,
        }
    }

    fn involves_size(&self, at: u64) -> bool {
        match self {
            Self::At { size, .. } => *size == at,
            Self::Ratio { size, base_size, .. } => *size == at || *base_size == at,
            Self::Exponent { .. } => true,
        }
    }

    /// Computes the quantity. None if a value that it needs was not observed, or if it is not defined, as is a ratio to
    /// 0 or the exponent of values that are not above zero.
    fn value(&self, observed: &[Observation]) -> Option<f64> {
        let value_at = |size: u64| {
            observed
                .iter()
                .find(|observation| observation.belongs_to(self.id()) && observation.size == size)
                .map(|observation| observation.value)
        };
        match self {
            Self::At { size, .. } => value_at(*size),
            Self::Ratio { size, base_size, .. } => {
                let base = value_at(*base_size)?;
                (base > 0.0).then_some(value_at(*size)? / base)
            }
            Self::Exponent { id } => Some(Fit::from_points(&points(observed, id))?.exponent?.power),
        }
    }
}

/// The pairs of size and value that were observed for a metric.
pub fn points(observed: &[Observation], id: &MetricId) -> Vec<(f64, f64)> {
    observed.iter().filter(|one| one.belongs_to(id)).map(|one| (one.size as f64, one.value)).collect()
}

/// An upper bound of a quantity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The bounded quantity.
    pub subject: Subject,
    /// Maximum, inclusive, in the unit of the subject.
    pub max: f64,
}

/// Whether a bound was kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The value is within the bound.
    Kept,
    /// The value exceeds the bound.
    Broken,
    /// The value could not be computed: the metric was not observed at the sizes that it needs, or the ratio or the
    /// exponent is not defined for the observed values.
    NotMeasured,
}

/// The result of a check of a bound.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Verdict {
    /// Description of the bounded quantity.
    pub bound: String,
    /// Maximum that the bound allows, inclusive.
    #[serde(rename = "most")]
    pub max: f64,
    /// Value of the bounded quantity, if it could be computed.
    pub value: Option<f64>,
    /// Unit of the maximum and the value; none for ratios and exponents.
    pub unit: Option<Unit>,
    /// Whether the bound was kept.
    pub outcome: Outcome,
    /// Whether the rig or the machine limited a metric on which the value depends.
    pub rig_bound: bool,
}

impl Bound {
    /// Checks the bound against the observed values.
    pub fn check(&self, observed: &[Observation]) -> Verdict {
        let value = self.subject.value(observed);
        let outcome = match value {
            Some(value) if value <= self.max => Outcome::Kept,
            Some(_) => Outcome::Broken,
            None => Outcome::NotMeasured,
        };
        let rig_bound = observed
            .iter()
            .filter(|observation| observation.belongs_to(self.subject.id()))
            .filter(|observation| self.subject.involves_size(observation.size))
            .any(|observation| observation.rig != RigBound::None);
        let (bound, unit) = (self.subject.label(), self.subject.unit());
        Verdict { bound, max: self.max, value, unit, outcome, rig_bound }
    }
}

/// The budget of a metric at the target size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    /// Metric that the budget limits.
    pub id: MetricId,
    /// Target size of the measure.
    pub size: u64,
    /// Budget in the unit of the metric; above zero.
    pub max: f64,
}

/// The value of a metric at the target size, observed or extrapolated, compared with its budget.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetEstimate {
    /// Name of the measure.
    pub measure: &'static str,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// The target size.
    pub size: u64,
    /// Value at the target size: observed, or else extrapolated by the linear fit. None if neither is possible.
    pub value: Option<f64>,
    /// Unit of the value, the error and the budget.
    pub unit: Unit,
    /// Whether the value was observed at the target size rather than extrapolated.
    pub observed: bool,
    /// Standard error of the slope times the size, for an extrapolated value.
    pub error: Option<f64>,
    /// Budget of the metric.
    pub budget: f64,
    /// The value divided by the budget; the budget is exceeded above 1.
    pub factor: Option<f64>,
}

impl Budget {
    /// Returns the value at the target size, extrapolated by the linear fit if that size was not observed.
    pub fn estimate(&self, observed: &[Observation]) -> TargetEstimate {
        let at_target = observed
            .iter()
            .find(|observation| observation.belongs_to(&self.id) && observation.size == self.size);
        let line = Fit::from_points(&points(observed, &self.id)).map(|fit| fit.line);
        let extrapolated = line.map(|line| line.at(self.size as f64));
        let value = at_target.map(|observation| observation.value).or(extrapolated);
        let error = line.filter(|_| at_target.is_none()).map(|line| line.slope_error * self.size as f64);
        TargetEstimate {
            measure: self.id.measure,
            metric: self.id.metric.name,
            size: self.size,
            value,
            unit: self.id.metric.unit,
            observed: at_target.is_some(),
            error,
            budget: self.max,
            factor: value.map(|value| value / self.max),
        }
    }
}
