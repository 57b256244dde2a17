//! Runs each measure at each of its sizes, until all are done, the deadline passes or the run is interrupted.

use std::path::PathBuf;
use std::time::Instant;

use serde::Serialize;

use crate::capacity::Capacity;
use crate::children::Children;
use crate::context::{Context, Progress, RunLimits};
use crate::fit::Fit;
use crate::interrupt::Interrupt;
use crate::measure::{Measure, MeasureError, Unit};
use crate::rig::{RigBound, RigWatch};
use crate::settings::Settings;
use crate::verdict::{MetricId, Outcome, TargetEstimate, Verdict, points};

/// The value of a metric at one size.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Observation {
    /// Name of the measure.
    pub measure: &'static str,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// Dimension of the size, such as `workers` or `followers`.
    #[serde(rename = "of")]
    pub dimension: &'static str,
    /// Size at which the value was observed.
    pub size: u64,
    /// Observed value, in `unit`.
    pub value: f64,
    /// Unit of the value.
    pub unit: Unit,
    /// Whether the rig or the machine limited the value.
    pub rig: RigBound,
    /// Number of cores that the rig's own process used.
    pub rig_cores: f64,
    /// Idle share of the machine's cores.
    pub idle: f64,
}

impl Observation {
    /// Whether the value belongs to this metric.
    pub fn belongs_to(&self, id: &MetricId) -> bool {
        self.measure == id.measure && self.metric == id.metric.name
    }
}

/// The fit of one metric over all sizes of its measure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FittedMetric {
    /// Name of the measure.
    pub measure: &'static str,
    /// Name of the metric.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// Dimension of the size, such as `workers` or `followers`.
    #[serde(rename = "of")]
    pub dimension: &'static str,
    /// Unit of the metric.
    pub unit: Unit,
    /// Growth of the metric with the size.
    #[serde(flatten)]
    pub fit: Fit,
    /// Whether the rig or the machine limited the metric at one of the sizes.
    pub rig_bound: bool,
}

/// The end of a run.
#[derive(Debug)]
pub enum End {
    /// All measures completed.
    Done,
    /// The run was interrupted.
    Interrupted,
    /// A measure failed, which ends the run.
    Failed {
        /// Name of the measure.
        measure: &'static str,
        /// Size at which it failed.
        size: u64,
        /// Cause of the failure.
        error: MeasureError,
    },
}

/// The results of a run, which are partial if it ended early.
#[derive(Debug)]
pub struct Report {
    /// Observed values, in the order of measurement.
    pub observed: Vec<Observation>,
    /// Fits of all metrics that were observed at enough sizes.
    pub fitted: Vec<FittedMetric>,
    /// Metrics at the target size, compared with their budgets.
    pub targets: Vec<TargetEstimate>,
    /// Verdicts on the bounds, in the order of the plan file.
    pub verdicts: Vec<Verdict>,
    /// Whether the run completed, was interrupted or failed.
    pub end: End,
}

impl Report {
    /// Whether the run completed and kept all bounds.
    pub fn all_kept(&self) -> bool {
        matches!(self.end, End::Done) && self.verdicts.iter().all(|verdict| verdict.outcome == Outcome::Kept)
    }
}

/// The environment of a run, in addition to its settings.
pub struct RunEnvironment<'a> {
    /// The program that is run in child processes.
    pub program: PathBuf,
    /// Resources that the run may use.
    pub capacity: Capacity,
    /// Ends the run when it is set.
    pub interrupt: Interrupt,
    /// Receives the progress of the run.
    pub progress: &'a dyn Progress,
    /// Receives each value when the measurement of its size has ended, so that the results up to then are reported even
    /// if the run ends early.
    pub on_observation: &'a mut dyn FnMut(&Observation),
}

/// Runs all measures, up to the first failure or interrupt. All child processes have ended when it returns.
pub fn run(settings: &mut Settings, environment: RunEnvironment<'_>) -> Report {
    let deadline = Instant::now() + settings.deadline;
    let limits =
        RunLimits { deadline, interrupt: environment.interrupt.clone(), memory: environment.capacity.memory };
    let mut runner = Runner { seed: settings.seed, limits, environment, observed: Vec::new() };
    let end = runner.run_all(&mut settings.measures);
    let observed = runner.observed;
    let fitted = settings.measures.iter().flat_map(|measure| fits(&**measure, &observed)).collect();
    let targets = settings.budgets.iter().map(|budget| budget.estimate(&observed)).collect();
    let verdicts = settings.bounds.iter().map(|bound| bound.check(&observed)).collect();
    Report { observed, fitted, targets, verdicts, end }
}

struct Runner<'a> {
    seed: u64,
    limits: RunLimits,
    environment: RunEnvironment<'a>,
    observed: Vec<Observation>,
}

impl Runner<'_> {
    fn run_all(&mut self, measures: &mut [Box<dyn Measure>]) -> End {
        for measure in measures {
            let name = measure.name();
            for size in measure.sizes().values.clone() {
                match self.run_at(&mut **measure, size) {
                    Ok(()) => self.environment.progress.finish_size(),
                    Err(MeasureError::Interrupted) => return End::Interrupted,
                    Err(error) => return End::Failed { measure: name, size, error },
                }
            }
        }
        End::Done
    }

    fn run_at(&mut self, measure: &mut dyn Measure, size: u64) -> Result<(), MeasureError> {
        let (name, dimension) = (measure.name(), measure.sizes().dimension);
        self.environment.progress.begin_step(&format!("{name} {size}"));
        let folder = tempfile::tempdir().map_err(MeasureError::system("can't create a temporary folder"))?;
        let mut children =
            Children::new(self.environment.program.clone(), self.environment.capacity.processes);
        let seed = seed_of(self.seed, name, size);
        let mut context =
            Context::new(&mut children, self.environment.progress, folder.path(), &self.limits, seed);
        context.check()?;
        let watch = RigWatch::begin().map_err(MeasureError::system("can't read the rig's own usage"))?;
        let observations = measure.run_at(size, &mut context)?;
        let rig = watch
            .end(observations.in_process)
            .map_err(MeasureError::system("can't read the rig's own usage"))?;
        children.stop_all();
        for (metric, value) in observations.values {
            let observation = Observation {
                measure: name,
                metric: metric.name,
                dimension,
                size,
                value,
                unit: metric.unit,
                rig: rig.bound,
                rig_cores: rig.own_cores,
                idle: rig.idle,
            };
            (self.environment.on_observation)(&observation);
            self.observed.push(observation);
        }
        Ok(())
    }
}

/// Derives the seed of a measure at a size as an FNV-1a hash, so that it does not depend on the other measures and
/// sizes of the plan file.
fn seed_of(seed: u64, measure: &str, size: u64) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in measure.bytes().chain(size.to_le_bytes()).chain(seed.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

/// Returns the fits of the metrics of a measure that were observed at enough sizes.
fn fits(measure: &dyn Measure, observed: &[Observation]) -> Vec<FittedMetric> {
    let (name, sizes) = (measure.name(), measure.sizes());
    let mut fits = Vec::new();
    for metric in measure.metrics() {
        let id = MetricId { measure: name, metric };
        let Some(fit) = Fit::from_points(&points(observed, &id)) else { continue };
        let rig_bound = observed
            .iter()
            .any(|observation| observation.belongs_to(&id) && observation.rig != RigBound::None);
        fits.push(FittedMetric {
            measure: name,
            metric: metric.name,
            dimension: sizes.dimension,
            unit: metric.unit,
            fit,
            rig_bound,
        });
    }
    fits
}
