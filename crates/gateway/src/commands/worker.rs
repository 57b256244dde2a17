//! `worker`: one stand-in worker.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use clap::Args;
use nettleferry_test_servers::{Options, Store, spawn, spec};

use super::{CommandError, announce, read};

/// Run one stand-in worker.
#[derive(Args)]
pub struct WorkerCommand {
    /// Its description; see the operators' page
    file: PathBuf,
    /// Its name
    #[arg(long, default_value = "worker")]
    name: String,
}

impl WorkerCommand {
    pub fn run(self) -> Result<u8, CommandError> {
        let text = read(&self.file)?;
        let read = spec::read_file(&self.file.display().to_string(), &text);
        let (listen, spec) = read.map_err(CommandError::Unsound)?;
        let signals = signal_hook::iterator::Signals::new([2, 15]);
        let mut signals = signals.map_err(CommandError::system("signals"))?;
        let worker = spawn(Options {
            name: self.name,
            doors: vec![listen],
            cold: spec.cold > 0,
            spec,
            store: Arc::new(Mutex::new(Store::default())),
            epoch: Instant::now(),
            records: None,
            seed: 1,
        })
        .map_err(CommandError::system(format!("can't listen on {listen}")))?;
        announce(&format!("listening grpc {}", worker.doors[0]))?;
        let _ = signals.forever().next();
        worker.stop();
        Ok(0)
    }
}
