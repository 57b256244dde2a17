//! `soak`: runs controller processes on loopback under overlapping faults, and checks invariants on the traffic at
//! their sockets.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use clap::builder::TypedValueParser;
use nettleferry_soak::{Extras, Plan, Report, Rule, Size, execute};

use super::error::CommandError;
use super::exit_code;

/// Run controllers on the platform under overlapping faults, and check invariants.
#[derive(Args)]
pub(crate) struct Soak {
    /// First seed
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of consecutive seeds, run one after another
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Number of controllers, each in a process of its own
    #[arg(long, default_value_t = Size::USUAL.controllers, value_parser = clap::value_parser!(u16).range(1..=100).map(usize::from))]
    controllers: usize,
    /// Number of workers
    #[arg(long, default_value_t = Size::USUAL.workers, value_parser = clap::value_parser!(u16).range(1..=50).map(usize::from))]
    workers: usize,
    /// Number of clients of each controller
    #[arg(long, default_value_t = Size::USUAL.clients, value_parser = clap::value_parser!(u16).range(1..=16).map(usize::from))]
    clients: usize,
    /// How long clients send calls, in seconds
    #[arg(long, default_value_t = Size::USUAL.span.as_secs(), value_parser = clap::value_parser!(u64).range(4..=600))]
    seconds: u64,
    /// Make system calls of controllers fail in the ways that Linux documents; needs a C compiler
    #[arg(long)]
    faults: bool,
    /// Add harder shutdowns: clients use their connections until the process is gone, SIGKILL follows SIGTERM as early
    /// as the platform allows, and signals are sent in series
    #[arg(long)]
    shutdowns: bool,
    /// Add idle clients up to the descriptor limit, and short-lived connections, while the directory is unresponsive
    #[arg(long)]
    crowd: bool,
    /// Print the plan of each seed: its disturbances with their times, and the faults of controllers
    #[arg(long)]
    plan: bool,
    /// Folder in which configurations and logs are kept; by default they are deleted
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Executable of the controllers; by default this program
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Maximum number of findings that are printed for a seed; further ones are only counted.
const MAX_PRINTED_FINDINGS: usize = 40;

impl Soak {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let size = Size {
            controllers: self.controllers,
            workers: self.workers,
            clients: self.clients,
            span: Duration::from_secs(self.seconds),
        };
        let program = match &self.program {
            Some(program) => program.clone(),
            None => std::env::current_exe()
                .map_err(CommandError::system("can't determine the path of this program"))?,
        };
        let mut totals = Totals::default();
        for seed in self.seed..self.seed.saturating_add(self.seeds) {
            let report = self.run_seed(seed, size, &program)?;
            print_report(&report);
            totals.add(&report);
        }
        println!("{totals}");
        Ok(exit_code::of_check(totals.broken_seeds == 0))
    }

    fn run_seed(&self, seed: u64, size: Size, program: &Path) -> Result<Report, CommandError> {
        let temporary_folder =
            tempfile::tempdir().map_err(CommandError::system("can't create a temporary folder"))?;
        let folder = match &self.keep {
            Some(keep) => keep.join(seed.to_string()),
            None => temporary_folder.path().to_owned(),
        };
        std::fs::create_dir_all(&folder)
            .map_err(CommandError::system("can't create the folder of the run"))?;
        let extras = Extras { shutdowns: self.shutdowns, crowd: self.crowd };
        let plan = Plan::draw_with(seed, size, self.faults, extras);
        if self.plan || self.keep.is_some() {
            print!("{plan}");
        }
        Ok(execute(plan, program, &folder)?)
    }
}

/// Totals over the runs of all seeds.
#[derive(Default)]
struct Totals {
    seeds: usize,
    /// Number of seeds with findings.
    broken_seeds: usize,
    attempts: usize,
    /// Number of findings of each rule.
    findings: BTreeMap<Rule, usize>,
    undecided: usize,
    /// Longest delay of the test's own threads.
    lag: Duration,
}

impl Totals {
    fn add(&mut self, report: &Report) {
        self.seeds += 1;
        self.broken_seeds += usize::from(!report.findings.is_empty());
        self.attempts += report.attempts;
        self.undecided += report.undecided.len();
        self.lag = self.lag.max(report.lag);
        for finding in &report.findings {
            *self.findings.entry(finding.rule).or_default() += 1;
        }
    }
}

impl fmt::Display for Totals {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { seeds, broken_seeds, attempts, findings, undecided, lag } = self;
        write!(out, "{seeds} seeds, {broken_seeds} with a broken invariant; {attempts} attempts; ")?;
        write!(out, "{undecided} undecided; the test ran late by {lag:?} at the most")?;
        findings.iter().try_for_each(|(rule, count)| write!(out, "; {rule:?} {count}"))
    }
}

fn print_report(report: &Report) {
    let ends: Vec<String> = report.ends.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    println!(
        "seed {}: {} broken, {} undecided; {} disturbances, {} attempts ({} timestamped); {}; the test ran late by {:?} at \
         the most; sendings of lists lie in spans of {:?} (median) to {:?}; clocks apart by {:?}",
        report.seed,
        report.findings.len(),
        report.undecided.len(),
        report.disturbances,
        report.attempts,
        report.timestamped,
        ends.join(", "),
        report.lag,
        report.list_spans.median,
        report.list_spans.longest,
        report.drift,
    );
    for finding in report.findings.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  {finding}");
        for line in report.timeline(finding) {
            println!("    {line}");
        }
    }
    for finding in report.undecided.iter().take(MAX_PRINTED_FINDINGS) {
        println!("  undecided: {finding}");
    }
}
