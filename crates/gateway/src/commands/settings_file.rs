//! Reading a controller's settings file.

use std::path::Path;

use nettleferry_config::settings::Desk;
use nettleferry_config::{Config, settings};

use super::console::read_file;
use super::error::CommandError;

/// Reads a settings file. Relative paths in it start from the folder that it is in.
pub(super) fn read(path: &Path) -> Result<Config, CommandError> {
    let text = read_file(path)?;
    let mut config = settings::read(&path.display().to_string(), &text).map_err(CommandError::InvalidFile)?;
    resolve_paths(&mut config, path.parent().unwrap_or(Path::new("")));
    Ok(config)
}

fn resolve_paths(config: &mut Config, folder: &Path) {
    config.workers = folder.join(&config.workers);
    config.workers_kept = config.workers_kept.take().map(|kept| folder.join(kept));
    if let Some(push) = &mut config.figures.push {
        push.spool = folder.join(&push.spool);
    }
    let Some(admin) = &mut config.admin else { return };
    if let Some(trail) = &mut admin.trail {
        trail.folder = folder.join(&trail.folder);
    }
    match &mut admin.desk {
        Desk::Own { store, peer_key, .. } => {
            *store = folder.join(&*store);
            *peer_key = peer_key.take().map(|file| folder.join(file));
        }
        Desk::Follow { key_file, kept, .. } => {
            (*key_file, *kept) = (folder.join(&*key_file), folder.join(&*kept));
        }
    }
}
