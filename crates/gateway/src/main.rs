//! The nettleferry program: a gateway that sends inference calls to workers which load models on demand.
//!
//! May know: everything below it. Must not know: decisions; they are the module's, and come through the
//! engine.
//!
//! * [`controller`]: the loop. [`front`]: towards clients. [`links`]: towards workers. [`list`]: who they are.
//! * [`tenants`]: admission in a front's words. [`audit_log`]: names for its numbers.
//! * [`commands`]: one file a subcommand. [`observe`]: figures. [`push`]: remote write. [`logs`].

#![forbid(unsafe_code)]

mod audit_log;
mod commands;
mod controller;
mod front;
mod links;
mod list;
mod logs;
mod observe;
mod push;
mod tenants;

use std::process::ExitCode;

use clap::Parser;

fn main() -> ExitCode {
    let arguments = commands::Arguments::parse();
    // On the platform one thread runs at a time, and its log is read as it comes.
    let aside = matches!(arguments.command, commands::Command::Serve(_));
    let _writing = logs::start(&arguments.logs, aside);
    match commands::run(arguments) {
        Ok(code) => ExitCode::from(code),
        Err(error) => {
            logs::say(format_args!("nettleferry: {error}"));
            ExitCode::from(error.code())
        }
    }
}
