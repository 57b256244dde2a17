//! `worker`: runs one test worker until SIGINT or SIGTERM.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use clap::Args;
use nettleferry_test_servers::{Options, Store, spawn, spec};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::console::{announce, read_file};
use super::error::CommandError;
use super::exit_code;

/// Run one test worker.
#[derive(Args)]
pub(crate) struct WorkerCommand {
    /// Description file of the worker; see the operators' page
    file: PathBuf,
    /// Name of the worker
    #[arg(long, default_value = "worker")]
    name: String,
}

impl WorkerCommand {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let text = read_file(&self.file)?;
        let (listen, spec) =
            spec::read_file(&self.file.display().to_string(), &text).map_err(CommandError::InvalidFile)?;
        let mut signals = Signals::new([SIGINT, SIGTERM])
            .map_err(CommandError::system("can't register signal handlers"))?;
        let worker = spawn(Options {
            name: self.name,
            addresses: vec![listen],
            cold: spec.warm_up > 0,
            spec,
            store: Arc::new(Mutex::new(Store::default())),
            epoch: Instant::now(),
            observations: None,
            seed: 1,
        })
        .map_err(CommandError::system(format!("can't listen on {listen}")))?;
        announce(&format!("listening grpc {}", worker.addresses[0]))?;
        let _ = signals.forever().next();
        worker.stop();
        Ok(exit_code::SUCCESS)
    }
}
