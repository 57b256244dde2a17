//! `scale`: measures how cost grows with the size of the fleet, fits the growth, and checks it against the bounds in a
//! file.

use std::path::PathBuf;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use nettleferry_scale::capacity::Capacity;
use nettleferry_scale::context::Progress;
use nettleferry_scale::interrupt::Interrupt;
use nettleferry_scale::report::{lines, plots, table};
use nettleferry_scale::run::{self, End, Report, RunEnvironment};
use nettleferry_scale::settings;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::console::{announce, read_file};
use super::error::CommandError;
use super::exit_code;

/// Measure how cost grows with the size of the fleet, and check it against the bounds in a file
#[derive(Args)]
pub(crate) struct Scale {
    /// Scale file with the measures and bounds; docs/scale.md describes its keys
    file: PathBuf,
    /// Commit under measurement, written to the JSON lines
    #[arg(long)]
    commit: Option<String>,
    /// Write SVG plots into this folder
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
}

/// A progress bar on standard error that counts the sizes that were measured.
struct SizesProgress(ProgressBar);

impl SizesProgress {
    fn new(sizes: usize) -> Self {
        let bar = ProgressBar::new(sizes as u64);
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} sizes, {elapsed}: {msg}") {
            bar.set_style(style);
        }
        Self(bar)
    }
}

impl Progress for SizesProgress {
    fn begin_step(&self, description: &str) {
        self.0.set_message(description.to_owned());
    }

    fn finish_size(&self) {
        self.0.inc(1);
    }
}

impl Scale {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let text = read_file(&self.file)?;
        let capacity = Capacity::of_machine();
        let file = self.file.display().to_string();
        let mut settings = settings::read(&file, &text, &capacity).map_err(CommandError::InvalidFile)?;
        let interrupt = Interrupt::default();
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, interrupt.flag())
                .map_err(CommandError::system("can't register a signal handler"))?;
        }
        let program = std::env::current_exe()
            .map_err(CommandError::system("can't determine the path of this program"))?;
        let origin = lines::Origin { commit: self.commit, seed: settings.seed };
        let bar =
            SizesProgress::new(settings.measures.iter().map(|measure| measure.sizes().values.len()).sum());
        let mut print_result = Ok(());
        let mut print_observation = |observation: &run::Observation| {
            if print_result.is_ok() {
                print_result = announce(&lines::observation(observation, &origin));
            }
        };
        let environment = RunEnvironment {
            program,
            capacity,
            interrupt,
            progress: &bar,
            on_observation: &mut print_observation,
        };
        let report = run::run(&mut settings, environment);
        bar.0.finish_and_clear();
        print_result?;
        announce(&lines::conclusion(&report, &origin).join("\n"))?;
        eprintln!("{}", table::render(&report));
        if let Some(folder) = &self.plots {
            plots::write(&report, folder).map_err(CommandError::system("can't write the plots"))?;
        }
        exit_code_of(report)
    }
}

fn exit_code_of(report: Report) -> Result<u8, CommandError> {
    let bounds_kept = report.all_kept();
    match report.end {
        End::Done => Ok(exit_code::of_check(bounds_kept)),
        End::Interrupted => Ok(exit_code::INTERRUPTED),
        End::Failed { measure, size, error } => Err(CommandError::Scale { measure, size, error }),
    }
}
