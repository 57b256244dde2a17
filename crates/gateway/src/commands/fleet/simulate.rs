//! `fleet simulate`: simulates fleets of up to a thousand controllers in virtual time, with the decision code of real
//! controllers. Prints a JSON line for each run and draws plots; the same file always produces the same output.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use nettleferry_simulation::{follow, power};
use serde_json::{Value, json};

use super::super::console::{announce, read_file};
use super::super::error::CommandError;
use super::super::exit_code;
use super::plans::{self, Run};
use super::plots;

/// Maximum number of threads.
const MAX_THREADS: usize = 64;

/// Simulate fleets in virtual time: how changes reach followers, and how a fleet restarts after a power failure
#[derive(Args)]
pub(super) struct Simulate {
    /// Simulation file; docs/recovery.md describes its keys
    file: PathBuf,
    /// Write SVG plots into this folder
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
    /// Number of runs at once; by default one for each core
    #[arg(long)]
    threads: Option<usize>,
}

impl Simulate {
    pub(super) fn run(self) -> Result<u8, CommandError> {
        let text = read_file(&self.file)?;
        let runs = plans::read(&self.file.display().to_string(), &text).map_err(CommandError::InvalidFile)?;
        let available = || std::thread::available_parallelism().map_or(1, usize::from);
        let outcomes = simulate_all(&runs, self.threads.unwrap_or_else(available));
        let lines: Vec<String> = outcomes.iter().map(Value::to_string).collect();
        announce(&lines.join("\n"))?;
        if let Some(folder) = &self.plots {
            draw(&outcomes, folder)?;
        }
        Ok(exit_code::SUCCESS)
    }
}

fn draw(outcomes: &[Value], folder: &Path) -> Result<(), CommandError> {
    std::fs::create_dir_all(folder).map_err(CommandError::system("can't create the folder for the plots"))?;
    plots::PLOTS.iter().try_for_each(|plot| plot.draw(outcomes, folder))
}

/// Simulates the runs on several threads and returns the outcomes in the order of the runs.
fn simulate_all(runs: &[Run], threads: usize) -> Vec<Value> {
    let progress = ProgressBar::new(runs.len() as u64);
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {elapsed} of about {duration}");
    if let Ok(style) = style {
        progress.set_style(style);
    }
    let next = AtomicUsize::new(0);
    let outcomes = Mutex::new(BTreeMap::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.clamp(1, MAX_THREADS) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(run) = runs.get(index) else { break };
                    let outcome = simulate(run);
                    outcomes.lock().unwrap_or_else(PoisonError::into_inner).insert(index, outcome);
                    progress.inc(1);
                }
            });
        }
    });
    progress.finish_and_clear();
    outcomes.into_inner().unwrap_or_else(PoisonError::into_inner).into_values().collect()
}

fn simulate(run: &Run) -> Value {
    let (kind, outcome) = match run {
        Run::Follow(plan) => ("follow", serde_json::to_value(follow::simulate(*plan))),
        Run::Power(plan) => ("power", serde_json::to_value(power::simulate(*plan))),
    };
    json!({ "play": kind, "outcome": outcome.unwrap_or_default() })
}
