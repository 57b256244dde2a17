//! The subcommands of the program, one module each. A subcommand reads its input files, calls the package that does the
//! work and prints the result; the logic belongs to those packages.
//!
//! [`exit_code`] lists the exit codes, and [`error`] maps errors to them.

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

/// A gateway that routes inference calls to workers, which load models on demand.
#[derive(Parser)]
#[command(
    name = "nettleferry",
    version,
    propagate_version = true,
    after_help = "Exit codes: 0 success; 1 a rule was broken (scenario, soak), a bound was exceeded (scale), the call was \
                  not served (call), alert rules have findings (alerts), an audit log is incomplete (fleet verify) or the \
                  administration refused a request (admin, fleet); 2 wrong command line or unusable configuration (node); 3 a \
                  file can't be read or is invalid; 4 the operating system refused a resource, or a run failed; \
                  130 a signal ended the command with calls open or measurements outstanding."
)]
pub(crate) struct Arguments {
    #[command(flatten)]
    pub(crate) logs: LogOptions,
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Subcommand)]
pub(crate) enum Command {
    /// Start a demonstration: a controller and test workers in one process
    Demo(demo::Demo),
    /// Run a controller
    Serve(serve::Serve),
    /// Run a controller on the platform
    Node(node::NodeCommand),
    /// Check a settings file and report all errors in it
    Check(serve::Check),
    /// Make one inference call
    Call(call::Call),
    /// Measure throughput and latency under closed-loop load, through a gateway and directly at a worker
    Load(load::Load),
    /// Run a scripted scenario of faults against controller processes and audit the five rules
    #[command(alias = "day")]
    Scenario(scenario::Scenario),
    /// Check alert rules against the metrics registry, or run unit tests of rules
    Alerts(alerts::Alerts),
    /// Administer tenants, limits and workers of a running controller, and read its audit trail
    Admin(admin::Admin),
    /// Show which tenant snapshot each controller has, and select the one to use after a data loss
    Fleet(fleet::Fleet),
    /// Show tenants, classes, workers and held calls, refreshed periodically; press q to quit
    Top(top::Top),
    /// Measure how cost grows with the size of the fleet, and check it against the bounds in a file
    Scale(scale::Scale),
    /// Run controllers on the platform under overlapping faults, and check invariants
    Soak(soak::Soak),
    /// Run one test worker
    Worker(worker::WorkerCommand),
    #[command(hide = true)]
    Hollow(hollow::Hollow),
}

/// Runs a command and returns the exit code of the process.
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
