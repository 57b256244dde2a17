//! A run: each measure at each of its sizes, until the end, the deadline or an interrupt.

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

/// A figure that was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Observation {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// What the size counts.
    pub of: &'static str,
    /// The size.
    pub size: u64,
    /// The value.
    pub value: f64,
    /// Its unit.
    pub unit: Unit,
    /// What the rig bounded in this interval.
    pub rig: RigBound,
    /// Cores that the rig's own process used.
    pub rig_cores: f64,
    /// Idle share of the machine's cores.
    pub idle: f64,
}

impl Observation {
    /// Is it this figure?
    pub fn is(&self, of: &MetricId) -> bool {
        self.measure == of.measure && self.metric == of.metric.name
    }
}

/// A fit of one figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct FittedMetric {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    #[serde(rename = "figure")]
    pub metric: &'static str,
    /// What the size counts.
    pub of: &'static str,
    /// The unit of the figure.
    pub unit: Unit,
    /// How it grows.
    #[serde(flatten)]
    pub fit: Fit,
    /// The rig bounded the figure at a size.
    pub rig_bound: bool,
}

/// How a run ended.
#[derive(Debug)]
pub enum End {
    /// All was measured.
    Done,
    /// It was interrupted.
    Interrupted,
    /// A measure failed.
    Failed {
        /// Which one.
        measure: &'static str,
        /// At which size.
        size: u64,
        /// Why.
        error: MeasureError,
    },
}

/// All that a run gave.
#[derive(Debug)]
pub struct Report {
    /// What was observed, in order.
    pub observed: Vec<Observation>,
    /// Fits of all figures that were observed at enough sizes.
    pub fitted: Vec<FittedMetric>,
    /// Figures at the target size.
    pub targets: Vec<TargetEstimate>,
    /// The bounds, judged.
    pub verdicts: Vec<Verdict>,
    /// How it ended.
    pub end: End,
}

impl Report {
    /// Were all bounds kept, in a run that was not cut?
    pub fn all_kept(&self) -> bool {
        matches!(self.end, End::Done) && self.verdicts.iter().all(|v| v.outcome == Outcome::Kept)
    }
}

/// What a run is given beside its settings.
pub struct RunEnvironment<'a> {
    /// The program that children are.
    pub program: PathBuf,
    /// What the run may use.
    pub capacity: Capacity,
    /// Ends the run.
    pub interrupt: Interrupt,
    /// Is told how far it is.
    pub progress: &'a dyn Progress,
    /// Is told of each figure when it is known, so that a run that is cut has said what it had.
    pub observed: &'a mut dyn FnMut(&Observation),
}

/// Runs all measures. All children have ended when it returns.
pub fn run(settings: &mut Settings, environment: RunEnvironment<'_>) -> Report {
    let deadline = Instant::now() + settings.deadline;
    let limits =
        RunLimits { deadline, interrupt: environment.interrupt.clone(), memory: environment.capacity.memory };
    let mut runner = Runner { seed: settings.seed, limits, environment, observed: Vec::new() };
    let end = runner.all(&mut settings.measures);
    let observed = runner.observed;
    let fitted = settings.measures.iter().flat_map(|measure| fits(&**measure, &observed)).collect();
    let targets = settings.budgets.iter().map(|budget| budget.estimate(&observed)).collect();
    let verdicts = settings.bounds.iter().map(|bound| bound.judge(&observed)).collect();
    Report { observed, fitted, targets, verdicts, end }
}

struct Runner<'a> {
    seed: u64,
    limits: RunLimits,
    environment: RunEnvironment<'a>,
    observed: Vec<Observation>,
}

impl Runner<'_> {
    fn all(&mut self, measures: &mut [Box<dyn Measure>]) -> End {
        for measure in measures {
            let name = measure.name();
            for size in measure.sizes().values.clone() {
                match self.one(&mut **measure, size) {
                    Ok(()) => self.environment.progress.done(),
                    Err(MeasureError::Interrupted) => return End::Interrupted,
                    Err(error) => return End::Failed { measure: name, size, error },
                }
            }
        }
        End::Done
    }

    fn one(&mut self, measure: &mut dyn Measure, size: u64) -> Result<(), MeasureError> {
        let (name, of) = (measure.name(), measure.sizes().of);
        self.environment.progress.doing(&format!("{name} {size}"));
        let folder = tempfile::tempdir().map_err(MeasureError::system("a folder for files"))?;
        let mut children =
            Children::new(self.environment.program.clone(), self.environment.capacity.processes);
        let seed = seed_of(self.seed, name, size);
        let mut context =
            Context::new(&mut children, self.environment.progress, folder.path(), &self.limits, seed);
        context.check()?;
        let watch = RigWatch::begin().map_err(MeasureError::system("the rig's own use"))?;
        let got = measure.run_at(size, &mut context)?;
        let rig = watch.end(got.in_process).map_err(MeasureError::system("the rig's own use"))?;
        children.stop_all();
        for (metric, value) in got.values {
            let one = Observation {
                measure: name,
                metric: metric.name,
                of,
                size,
                value,
                unit: metric.unit,
                rig: rig.bound,
                rig_cores: rig.own_cores,
                idle: rig.idle,
            };
            (self.environment.observed)(&one);
            self.observed.push(one);
        }
        Ok(())
    }
}

/// Chance of one measure at one size does not depend on what else the file asks for.
fn seed_of(seed: u64, measure: &str, size: u64) -> u64 {
    // FNV-1a.
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in measure.bytes().chain(size.to_le_bytes()).chain(seed.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

fn fits(measure: &dyn Measure, observed: &[Observation]) -> Vec<FittedMetric> {
    let (name, sizes) = (measure.name(), measure.sizes());
    let mut all = Vec::new();
    for metric in measure.metrics() {
        let of = MetricId { measure: name, metric };
        let Some(fit) = Fit::of(&points(observed, &of)) else { continue };
        let rig_bound = observed.iter().any(|one| one.is(&of) && one.rig != RigBound::None);
        all.push(FittedMetric {
            measure: name,
            metric: metric.name,
            of: sizes.of,
            unit: metric.unit,
            fit,
            rig_bound,
        });
    }
    all
}
