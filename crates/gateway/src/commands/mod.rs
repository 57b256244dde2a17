//! The command line. Exit codes: 0 done; 1 a rule broke (`scenario`, `soak`), a bound broke (`scale`), the call was not served
//! (`call`), or alert rules have findings (`alerts`); 2 the
//! command line is wrong; 3 a file can't be read or is not sound; 4 the system refused something (an address,
//! a thread, a process); 130 stopped at once by a second signal or with calls still open.

pub mod admin;
mod alerts;
mod audit;
mod call;

mod demo;
mod fleet;
mod hollow;
mod load;
mod node;
mod scale;
mod scenario;
mod serve;
mod simulate;
mod soak;
mod top;
mod worker;

use std::path::{Path, PathBuf};

use clap::{Parser, Subcommand};

use crate::controller::ControllerError;
use crate::logs::Logs;

/// A gateway that sends inference calls to workers which load models on demand.
#[derive(Parser)]
#[command(
    name = "nettleferry",
    version,
    propagate_version = true,
    after_help = "Exit codes: 0 done; 1 a rule broke (scenario), a bound broke (scale), the call was not served (call) alert rules have findings (alerts) or the administration refused (admin); 2 wrong command line; 3 a \
                  file can't be read or is not sound; 4 the system refused something; 130 stopped at once with calls open."
)]
pub struct Arguments {
    #[command(flatten)]
    pub logs: Logs,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Subcommand)]
pub enum Command {
    /// Start a controller with six stand-in workers, to try it
    Demo(demo::Demo),
    /// Run a controller
    Serve(serve::Serve),
    /// Run a controller on the platform
    Node(node::NodeCommand),
    /// Check a settings file and say all that is wrong with it
    Check(serve::Check),
    /// Make one inference call
    Call(call::Call),
    /// Measure: closed-loop load, through a gateway and straight to a worker side by side
    Load(load::Load),
    /// Run a scripted scenario of faults against controller processes and audit the five rules
    #[command(alias = "day")]
    Scenario(scenario::Scenario),
    /// Check alert rules against the registry, or run rule unit tests
    Alerts(alerts::Alerts),
    /// Administer tenants, limits, workers and the audit trail of a running controller
    Admin(admin::Admin),
    /// See which book of tenants each controller holds, and decide which one stands after a loss
    Fleet(fleet::Fleet),
    /// Show tenants, classes, workers and held calls, live; q ends it
    Top(top::Top),
    /// Measure how cost grows with the size of the fleet, and judge it by the bounds of a file
    Scale(scale::Scale),
    /// Play controllers on the platform under overlapping troubles, and judge them by invariants
    Soak(soak::Soak),
    /// Run one stand-in worker
    Worker(worker::WorkerCommand),
    #[command(hide = true)]
    Hollow(hollow::Hollow),
}

/// Why a command ended without success.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// A file can't be read.
    #[error("can't read {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// A file is not sound.
    #[error("{0}")]
    Unsound(nettleferry_config::Errors),
    /// The controller failed.
    #[error("{0}")]
    Controller(#[from] ControllerError),
    /// The controller on the platform failed.
    #[error("{0}")]
    Node(#[from] nettleferry_node::NodeError),
    /// A file is not what it should be.
    #[error("{0}")]
    File(String),
    /// A day could not be played.
    #[error("{0}")]
    Day(nettleferry_scenario::run::DayError),
    /// The system refused something.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// Why.
        source: std::io::Error,
    },
    /// The administration refused, or could not be asked.
    #[error("the administration: {0}")]
    Api(String),
    /// A scale run could not go on.
    #[error("{measure} {size}: {error}")]
    Scale {
        /// What was measured.
        measure: &'static str,
        /// At which size.
        size: u64,
        /// Why it ended.
        error: nettleferry_scale::measure::MeasureError,
    },
    /// A soak run could not be played.
    #[error("{0}")]
    Soak(String),
    /// Words that clap can't judge.
    #[error("{0}")]
    Usage(String),
}

impl CommandError {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::Read { .. } | Self::Unsound(_) | Self::File(_) => 3,
            Self::Controller(ControllerError::Settings(_)) => 3,
            Self::Controller(_) | Self::System { .. } | Self::Day(_) | Self::Scale { .. } | Self::Soak(_) => {
                4
            }
            Self::Node(error) => node::code(error),
            Self::Api(_) => 1,
        }
    }

    fn system(what: impl Into<String>) -> impl FnOnce(std::io::Error) -> Self {
        let what = what.into();
        move |source| Self::System { what, source }
    }
}

/// Runs a command and gives its exit code.
pub fn run(arguments: Arguments) -> Result<u8, CommandError> {
    match arguments.command {
        Command::Demo(demo) => demo.run(),
        Command::Serve(serve) => serve.run(),
        Command::Node(node) => node.run(),
        Command::Check(check) => check.run(),
        Command::Call(call) => call.run(),
        Command::Load(load) => load.run(),
        Command::Scenario(scenario) => scenario.run(&arguments.logs.log),
        Command::Admin(admin) => admin.run(),
        Command::Fleet(fleet) => fleet.run(),
        Command::Top(top) => top.run(),
        Command::Alerts(alerts) => alerts.run(),
        Command::Scale(scale) => scale.run(),
        Command::Soak(soak) => soak.run(),
        Command::Worker(worker) => worker.run(),
        Command::Hollow(hollow) => hollow.run(),
    }
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|source| CommandError::Read { path: path.to_owned(), source })
}

/// Prints a line that others wait for: written out at once.
fn announce(line: &str) -> Result<(), CommandError> {
    use std::io::Write;
    let mut out = std::io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).map_err(CommandError::system("standard output"))
}
