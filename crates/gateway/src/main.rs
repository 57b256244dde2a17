//! The nettleferry program: a gateway that sends inference calls to workers which load models on demand.
//!
//! It may use every other package. It decides nothing: decisions come from the decision module through the engine.
//! `docs/ARCHITECTURE.md` shows how the parts work together.
//!
//! * [`controller`]: the event loop. [`front`]: connections to clients. [`worker_links`]: connections to workers.
//!   [`worker_list`]: the worker list. [`call_steps`]: what has become of open calls.
//! * [`tenants`]: admission control for the front. [`audit_log`]: names in the audit log.
//! * [`commands`]: a module for each subcommand. [`metrics`]: metrics. [`remote_write`]: remote write. [`logs`]: logging.

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
    // `node` logs in the thread that logs: the platform runs one thread at a time.
    let background = matches!(arguments.command, commands::Command::Serve(_));
    let _log_writer = logs::start(&arguments.logs, background);
    match commands::run(arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            logs::write_line(format_args!("nettleferry: {error}"));
            ExitCode::from(error.code())
        }
    }
}
