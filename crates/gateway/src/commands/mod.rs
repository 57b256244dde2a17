//! The command line: one module a subcommand. Each reads its files, calls the package that does the work and prints
//! the result; decisions belong to those packages.
//!
//! [`exit_code`] lists the exit codes, [`error`] maps errors to them.

mod admin;
mod alerts;
mod call;
mod console;
mod demo;
mod error;
mod exit_code;
mod fleet;
mod hollow;
mod load;
mod node;
mod scale;
mod scenario;
mod serve;
mod settings_file;
mod soak;
mod top;
mod worker;

use clap::{Parser, Subcommand};

pub(crate) use error::CommandError;

use crate::logs::LogOptions;

/// A gateway that sends inference calls to workers which load models on demand.
#[derive(Parser)]
#[command(
    name = "nettleferry",
    version,
    propagate_version = true,
    after_help = "Exit codes: 0 done; 1 a rule broke (scenario, soak), a bound broke (scale), the call was not served (call), \
                  alert rules have findings (alerts) or the administration refused (admin, fleet); 2 wrong command line; \
                  3 a file can't be read or is not valid; 4 the system refused something; 130 stopped at once with calls open."
)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) logs: LogOptions,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a controller with six test workers, to try it
    Demo(demo::Demo),
    /// Run a controller
    Serve(serve::Serve),
    /// Run a controller on the platform
    Node(node::NodeCommand),
    /// Check a settings file and report all errors in it
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
    /// See which tenant snapshot each controller has, and decide which one is used after a loss
    Fleet(fleet::Fleet),
    /// Show tenants, classes, workers and held calls, live; q ends it
    Top(top::Top),
    /// Measure how cost grows with the size of the fleet, and judge it by the bounds of a file
    Scale(scale::Scale),
    /// Run controllers on the platform under overlapping faults, and judge them by invariants
    Soak(soak::Soak),
    /// Run one test worker
    Worker(worker::WorkerCommand),
    #[command(hide = true)]
    Hollow(hollow::Hollow),
}

/// Runs a command and gives its exit code.
pub(crate) fn run(arguments: Arguments) -> Result<u8, CommandError> {
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
