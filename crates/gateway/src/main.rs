//! The nettleferry program: a gateway that sends inference calls to workers which load models on demand.
//!
//! It may use every other package of the workspace. It makes no scheduling decisions itself: the decision module makes
//! them, and the engine passes them on as commands. `docs/ARCHITECTURE.md` shows how the parts work together.
//!
//! * [`controller`]: the event loop. [`front`]: gRPC connections from clients. [`worker_links`]: gRPC connections to
//!   workers. [`worker_list`]: reads the worker list and watches it for changes. [`call_steps`]: passes the progress of
//!   open calls on to admission control.
//! * [`tenants`]: admission control of tenants' calls. [`audit_log`]: resolves the ids in the audit log to names.
//! * [`commands`]: one module for each subcommand. [`metrics`]: updates metrics and serves them for scraping.
//!   [`remote_write`]: sends metrics by Prometheus remote write. [`logs`]: sets up logging.

#![forbid(unsafe_code)]

mod audit_log;
mod call_steps;
mod commands;
mod controller;
mod front;
mod logs;
mod metrics;
mod remote_write;
mod tenants;
mod worker_links;
mod worker_list;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let arguments = commands::Arguments::parse();
    // Only `serve` writes its log in a background thread. A `node` must not start one: its platform runs one thread
    // at a time.
    let background = matches!(arguments.command, commands::Command::Serve(_));
    let _log_writer = logs::start(&arguments.logs, background);
    match commands::run(arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            logs::write_line(format_args!("nettleferry: {error}"));
            ExitCode::from(error.exit_code())
        }
    }
}
