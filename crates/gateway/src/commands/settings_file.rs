//! Reads a controller's settings file and resolves the paths in it.

use std::path::Path;

use nettleferry_config::settings::Administration;
use nettleferry_config::{Config, settings};

use super::console::read_file;
use super::error::CommandError;

/// Reads a settings file. Relative paths in it are resolved against the folder of the file.
pub(super) fn read(path: &Path) -> Result<Config, CommandError> {
    let text = read_file(path)?;
    let mut config = settings::read(&path.display().to_string(), &text).map_err(CommandError::InvalidFile)?;
    resolve_paths(&mut config, path.parent().unwrap_or(Path::new("")));
    Ok(config)
}

fn resolve_paths(config: &mut Config, folder: &Path) {
    config.workers_file = folder.join(&config.workers_file);
    config.persisted_workers_file = config.persisted_workers_file.take().map(|file| folder.join(file));
    if let Some(remote_write) = &mut config.metrics.remote_write {
        remote_write.wal_folder = folder.join(&remote_write.wal_folder);
    }
    let Some(admin) = &mut config.admin else { return };
    if let Some(audit_log) = &mut admin.audit_log {
        audit_log.folder = folder.join(&audit_log.folder);
    }
    match &mut admin.administration {
        Administration::Leader(leader) => {
            leader.store = folder.join(&leader.store);
            leader.peer_key = leader.peer_key.take().map(|file| folder.join(file));
        }
        Administration::Follower(follower) => {
            follower.key_file = folder.join(&follower.key_file);
            follower.snapshot_file = folder.join(&follower.snapshot_file);
        }
    }
}
