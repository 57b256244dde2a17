//! `scale`: how cost grows with the size of the fleet, measured, fitted and judged by the bounds of a file.

use std::path::PathBuf;

use clap::Args;
use indicatif::{ProgressBar, ProgressStyle};
use nettleferry_scale::context::Progress;
use nettleferry_scale::interrupt::Interrupt;
use nettleferry_scale::report::{lines, plots, table};
use nettleferry_scale::room::Room;
use nettleferry_scale::run::{self, End, Report, Surroundings};
use nettleferry_scale::settings;
use signal_hook::consts::{SIGINT, SIGTERM};

use super::{CommandError, announce, read};

/// Exit codes of a run that was cut by a signal, and of one that broke a bound.
const INTERRUPTED: u8 = 130;
const BOUND_BROKEN: u8 = 1;

/// Measure how cost grows with the size of the fleet, and judge it by the bounds of a file
#[derive(Args)]
pub struct Scale {
    /// What is measured; docs/scale.md has the keys
    file: PathBuf,
    /// The commit that is measured, for the lines of JSON
    #[arg(long)]
    commit: Option<String>,
    /// Write plots (SVG) into this folder
    #[arg(long, value_name = "FOLDER")]
    plots: Option<PathBuf>,
}

/// A bar on standard error.
struct Bar(ProgressBar);

impl Bar {
    fn new(sizes: usize) -> Self {
        let bar = ProgressBar::new(sizes as u64);
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} sizes, {elapsed}: {msg}") {
            bar.set_style(style);
        }
        Self(bar)
    }
}

impl Progress for Bar {
    fn doing(&self, what: &str) {
        self.0.set_message(what.to_owned());
    }

    fn done(&self) {
        self.0.inc(1);
    }
}

impl Scale {
    pub fn run(self) -> Result<u8, CommandError> {
        let text = read(&self.file)?;
        let room = Room::of_machine();
        let file = self.file.display().to_string();
        let mut settings = settings::read(&file, &text, &room).map_err(CommandError::Unsound)?;
        let interrupt = Interrupt::default();
        for signal in [SIGINT, SIGTERM] {
            signal_hook::flag::register(signal, interrupt.flag()).map_err(CommandError::system("signals"))?;
        }
        let program = std::env::current_exe().map_err(CommandError::system("this program's own file"))?;
        let origin = lines::Origin { commit: self.commit, seed: settings.seed };
        let bar = Bar::new(settings.measures.iter().map(|measure| measure.sizes().values.len()).sum());
        let mut said = Ok(());
        let mut observed = |one: &run::Observed| {
            if said.is_ok() {
                said = announce(&lines::observation(one, &origin));
            }
        };
        let surroundings = Surroundings { program, room, interrupt, progress: &bar, observed: &mut observed };
        let report = run::run(&mut settings, surroundings);
        bar.0.finish_and_clear();
        said?;
        announce(&lines::conclusion(&report, &origin).join("\n"))?;
        eprintln!("{}", table::render(&report));
        if let Some(folder) = &self.plots {
            plots::write(&report, folder).map_err(CommandError::system("plots"))?;
        }
        code(report)
    }
}

fn code(report: Report) -> Result<u8, CommandError> {
    let kept = report.all_kept();
    match report.end {
        End::Done if kept => Ok(0),
        End::Done => Ok(BOUND_BROKEN),
        End::Interrupted => Ok(INTERRUPTED),
        End::Failed { measure, size, error } => Err(CommandError::Scale { measure, size, error }),
    }
}
