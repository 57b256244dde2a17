//! Logs by tracing: text or JSON lines, to standard error. Standard output belongs to what a command prints.

use clap::{Args, ValueEnum};
use tracing_subscriber::EnvFilter;

/// How logs look.
#[derive(Clone, Copy, Debug, ValueEnum)]
pub enum Format {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged, and how.
#[derive(Args, Clone, Debug)]
pub struct Logs {
    /// What is logged: a level (error, warn, info, debug, trace) or tracing's filter directives
    #[arg(long, global = true, default_value = "info", value_name = "FILTER", env = "RUST_LOG")]
    pub log: String,
    /// How log lines look
    #[arg(long, global = true, default_value = "text", value_name = "FORMAT")]
    log_format: Format,
}

/// Starts logging. Directives that can't be read are told, and `info` is used.
pub fn start(logs: &Logs) {
    let filter = EnvFilter::try_new(&logs.log).unwrap_or_else(|error| {
        eprintln!("nettleferry: --log {:?}: {error}; info is used", logs.log);
        EnvFilter::new("info")
    });
    use std::io::IsTerminal;
    let ansi = std::io::stderr().is_terminal();
    let base = tracing_subscriber::fmt().with_ansi(ansi).with_env_filter(filter).with_writer(std::io::stderr);
    // A second start in one process changes nothing: the first stands.
    let _ = match logs.log_format {
        Format::Text => base.with_target(false).try_init(),
        Format::Json => base.json().flatten_event(true).try_init(),
    };
}
