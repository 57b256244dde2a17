//! `serve` and `check`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use clap::Args;
use nettleferry_config::settings::Administration;
use nettleferry_config::{Config, settings};

use super::{CommandError, announce, read};
use crate::controller::{Controller, Shutdown};

/// Run a controller.
#[derive(Args)]
pub struct Serve {
    /// Settings file; examples/nettleferry.sexp shows every key
    file: PathBuf,
    /// Listen here instead of where the settings say
    #[arg(long, value_name = "ADDR:PORT")]
    listen: Option<SocketAddr>,
}

/// Check a settings file and say all that is wrong with it.
#[derive(Args)]
pub struct Check {
    /// Settings file
    file: PathBuf,
}

/// Reads settings; files they name are beside them.
pub fn settings(path: &Path) -> Result<Config, CommandError> {
    let text = read(path)?;
    let mut config = settings::read(&path.display().to_string(), &text).map_err(CommandError::Unsound)?;
    let beside = path.parent().unwrap_or(Path::new(""));
    config.workers_file = beside.join(&config.workers_file);
    config.persisted_workers_file = config.persisted_workers_file.map(|file| beside.join(file));
    if let Some(remote_write) = &mut config.metrics.remote_write {
        remote_write.wal_folder = beside.join(&remote_write.wal_folder);
    }
    if let Some(admin) = &mut config.admin {
        if let Some(audit_log) = &mut admin.audit_log {
            audit_log.folder = beside.join(&audit_log.folder);
        }
        match &mut admin.administration {
            Administration::Leader(leader) => {
                leader.store = beside.join(&leader.store);
                leader.peer_key = leader.peer_key.take().map(|file| beside.join(file));
            }
            Administration::Follower(follower) => {
                follower.key_file = beside.join(&follower.key_file);
                follower.snapshot_file = beside.join(&follower.snapshot_file);
            }
        }
    }
    Ok(config)
}

impl Serve {
    pub fn run(self) -> Result<u8, CommandError> {
        let mut config = settings(&self.file)?;
        if let Some(listen) = self.listen {
            config.grpc = listen;
        }
        run(config)
    }
}

/// Runs a controller until a signal stops it.
pub fn run(config: Config) -> Result<u8, CommandError> {
    let mut controller = Controller::new(config, true)?;
    announce(&format!("listening grpc {}", controller.grpc_address()))?;
    if let Some(scrape) = controller.metrics_address() {
        announce(&format!("listening scrape {scrape}"))?;
    }
    if let Some(admin) = controller.admin_address() {
        announce(&format!("listening admin {admin}"))?;
    }
    Ok(match controller.run()? {
        Shutdown::Graceful => 0,
        Shutdown::Forced => 130,
    })
}

impl Check {
    pub fn run(self) -> Result<u8, CommandError> {
        let config = settings(&self.file)?;
        announce(&format!("{}: sound; {} classes", self.file.display(), config.classes.len()))?;
        Ok(0)
    }
}
