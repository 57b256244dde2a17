//! `serve`: runs a controller. `check`: validates its settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;
use nettleferry_config::Config;

use super::console::announce;
use super::error::CommandError;
use super::{exit_code, settings_file};
use crate::controller::{Controller, Shutdown};

/// Run a controller.
#[derive(Args)]
pub(crate) struct Serve {
    /// Settings file; examples/nettleferry.sexp shows every key
    file: PathBuf,
    /// Address on which to listen instead of the one in the settings
    #[arg(long, value_name = "ADDR:PORT")]
    listen: Option<SocketAddr>,
}

/// Check a settings file and report all errors in it.
#[derive(Args)]
pub(crate) struct Check {
    /// Settings file
    file: PathBuf,
}

impl Serve {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let mut config = settings_file::read(&self.file)?;
        if let Some(listen) = self.listen {
            config.grpc = listen;
        }
        run_controller(config)
    }
}

/// Runs a controller until a signal stops it, and returns the exit code. Prints the listening addresses.
pub(super) fn run_controller(config: Config) -> Result<u8, CommandError> {
    let mut controller = Controller::new(config, true)?;
    announce(&format!("listening grpc {}", controller.grpc_address()))?;
    if let Some(scrape) = controller.metrics_address() {
        announce(&format!("listening scrape {scrape}"))?;
    }
    if let Some(admin) = controller.admin_address() {
        announce(&format!("listening admin {admin}"))?;
    }
    Ok(match controller.run()? {
        Shutdown::Graceful => exit_code::SUCCESS,
        Shutdown::Forced => exit_code::INTERRUPTED,
    })
}

impl Check {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        let config = settings_file::read(&self.file)?;
        announce(&format!("{}: sound; {} classes", self.file.display(), config.classes.len()))?;
        Ok(exit_code::SUCCESS)
    }
}
