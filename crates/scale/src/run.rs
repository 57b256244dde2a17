//! A run: each measure at each of its sizes, until the end, the deadline or an interrupt.

use std::path::PathBuf;
use std::time::Instant;

use serde::Serialize;

use crate::children::Children;
use crate::context::{Context, Ends, Progress};
use crate::fit::Fit;
use crate::interrupt::Interrupt;
use crate::measure::{Measure, MeasureError, Unit};
use crate::rig::{RigBound, RigWatch};
use crate::room::Room;
use crate::settings::Settings;
use crate::verdict::{AtTarget, FigureOf, Outcome, Verdict, points};

/// A figure that was observed.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Observed {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    pub figure: &'static str,
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

impl Observed {
    /// Is it this figure?
    pub fn is(&self, of: &FigureOf) -> bool {
        self.measure == of.measure && self.figure == of.figure.name
    }
}

/// A fit of one figure.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Fitted {
    /// The measure.
    pub measure: &'static str,
    /// The figure.
    pub figure: &'static str,
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
    pub observed: Vec<Observed>,
    /// Fits of all figures that were observed at enough sizes.
    pub fitted: Vec<Fitted>,
    /// Figures at the target size.
    pub targets: Vec<AtTarget>,
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
pub struct Surroundings<'a> {
    /// The program that children are.
    pub program: PathBuf,
    /// What the run may use.
    pub room: Room,
    /// Ends the run.
    pub interrupt: Interrupt,
    /// Is told how far it is.
    pub progress: &'a dyn Progress,
    /// Is told of each figure when it is known, so that a run that is cut has said what it had.
    pub observed: &'a mut dyn FnMut(&Observed),
}

/// Runs all measures. All children have ended when it returns.
pub fn run(settings: &mut Settings, surroundings: Surroundings<'_>) -> Report {
    let deadline = Instant::now() + settings.deadline;
    let ends = Ends { deadline, interrupt: surroundings.interrupt.clone(), memory: surroundings.room.memory };
    let mut runner = Runner { seed: settings.seed, ends, surroundings, observed: Vec::new() };
    let end = runner.all(&mut settings.measures);
    let observed = runner.observed;
    let fitted = settings.measures.iter().flat_map(|measure| fits(&**measure, &observed)).collect();
    let targets = settings.budgets.iter().map(|budget| budget.carry(&observed)).collect();
    let verdicts = settings.bounds.iter().map(|bound| bound.judge(&observed)).collect();
    Report { observed, fitted, targets, verdicts, end }
}

struct Runner<'a> {
    seed: u64,
    ends: Ends,
    surroundings: Surroundings<'a>,
    observed: Vec<Observed>,
}

impl Runner<'_> {
    fn all(&mut self, measures: &mut [Box<dyn Measure>]) -> End {
        for measure in measures {
            let name = measure.name();
            for size in measure.sizes().values.clone() {
                match self.one(&mut **measure, size) {
                    Ok(()) => self.surroundings.progress.done(),
                    Err(MeasureError::Interrupted) => return End::Interrupted,
                    Err(error) => return End::Failed { measure: name, size, error },
                }
            }
        }
        End::Done
    }

    fn one(&mut self, measure: &mut dyn Measure, size: u64) -> Result<(), MeasureError> {
        let (name, of) = (measure.name(), measure.sizes().of);
        self.surroundings.progress.doing(&format!("{name} {size}"));
        let folder = tempfile::tempdir().map_err(MeasureError::system("a folder for files"))?;
        let mut children = Children::new(self.surroundings.program.clone(), self.surroundings.room.processes);
        let seed = seed_of(self.seed, name, size);
        let mut context =
            Context::new(&mut children, self.surroundings.progress, folder.path(), &self.ends, seed);
        context.check()?;
        let watch = RigWatch::begin().map_err(MeasureError::system("the rig's own use"))?;
        let got = measure.run_at(size, &mut context)?;
        let rig = watch.end(got.in_process).map_err(MeasureError::system("the rig's own use"))?;
        children.stop_all();
        for (figure, value) in got.values {
            let one = Observed {
                measure: name,
                figure: figure.name,
                of,
                size,
                value,
                unit: figure.unit,
                rig: rig.bound,
                rig_cores: rig.own_cores,
                idle: rig.idle,
            };
            (self.surroundings.observed)(&one);
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

fn fits(measure: &dyn Measure, observed: &[Observed]) -> Vec<Fitted> {
    let (name, sizes) = (measure.name(), measure.sizes());
    let mut all = Vec::new();
    for figure in measure.figures() {
        let of = FigureOf { measure: name, figure };
        let Some(fit) = Fit::of(&points(observed, &of)) else { continue };
        let rig_bound = observed.iter().any(|one| one.is(&of) && one.rig != RigBound::None);
        all.push(Fitted {
            measure: name,
            figure: figure.name,
            of: sizes.of,
            unit: figure.unit,
            fit,
            rig_bound,
        });
    }
    all
}
