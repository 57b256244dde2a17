//! Reads the file of the worker list. Each version of the file is applied completely or rejected, and the last one that
//! was applied is persisted for the next start.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use nettleferry::ListForm;
use nettleferry_administration::persisted_file::PersistedFile;
use nettleferry_config::{Worker, workers};
use nettleferry_fleet::recovery_policy::PersistedState;
use nettleferry_net::clock;
use tracing::{info, warn};

use super::ListUpdate;

/// Maximum time to wait for the persisted list at startup; after that the list file itself is read.
const RESTORE_TIMEOUT: Duration = Duration::from_millis(400);
/// Prefix of the first line of a persisted list. The time at which the list was saved follows, in milliseconds of the
/// wall clock.
const SAVED_AT_PREFIX: &str = ";at ";

/// The list file, and the copy that is persisted of its last valid version.
pub(super) struct ListFile {
    path: PathBuf,
    persisted: Option<PersistedFile>,
    /// The text that was read last; empty where the file was not readable, `None` before the first read. A requested
    /// update resets it, so that the list is returned even if unchanged.
    last_text: Option<String>,
    rejected: Arc<AtomicU64>,
}

impl ListFile {
    /// Creates a reader that has not read the file yet. `rejected` counts how many times a version was invalid or the
    /// file was not readable.
    pub(super) fn new(path: PathBuf, persisted: Option<PathBuf>, rejected: Arc<AtomicU64>) -> Self {
        let persisted = persisted.map(|file| PersistedFile::open(file, "worker list", RESTORE_TIMEOUT));
        Self { path, persisted, last_text: None, rejected }
    }

    /// Returns the list that the previous incarnation persisted, if there is one that is valid and recent enough.
    /// `now_ms` is the time of the wall clock.
    pub(super) fn restore(&mut self, now_ms: u64) -> Option<ListUpdate> {
        let persisted = self.persisted.as_mut()?;
        let payload = persisted.read_trusted(PersistedState::WorkerList, now_ms, saved_at)?;
        match workers::read("persisted worker list", &String::from_utf8_lossy(&payload)) {
            Ok(workers) => Some(ListUpdate { form: ListForm::Restored, workers }),
            Err(errors) => {
                persisted.log_invalid(&errors);
                None
            }
        }
    }

    /// Reads the file. Returns its list where the text has changed and is valid. With `requested` an unchanged list is
    /// returned too, and [`ListForm::Failed`] where there is no valid one.
    pub(super) fn read(&mut self, requested: bool) -> Option<ListUpdate> {
        if requested {
            self.last_text = None;
        }
        let failed = || requested.then_some(ListUpdate { form: ListForm::Failed, workers: Vec::new() });
        let Some(text) = self.read_text() else { return failed() };
        if self.last_text.as_deref() == Some(text.as_str()) {
            return None;
        }
        let parsed = workers::read(&self.path.display().to_string(), &text);
        self.last_text = Some(text);
        match parsed {
            Ok(workers) => {
                info!(workers = workers.len(), "worker list applied");
                self.persist(&workers);
                Some(ListUpdate { form: ListForm::Complete, workers })
            }
            Err(errors) => {
                self.rejected.fetch_add(1, Ordering::Relaxed);
                warn!(%errors, "worker list rejected, the last one stays in force");
                failed()
            }
        }
    }

    fn read_text(&mut self) -> Option<String> {
        match std::fs::read_to_string(&self.path) {
            Ok(text) => Some(text),
            Err(error) => {
                // The empty text records the failure, so that it is logged and counted once, and again only after a
                // successful read or a requested update.
                if self.last_text.as_deref() != Some("") {
                    let file = self.path.display();
                    warn!(%file, %error, "worker list not readable, the last one stays in force");
                    self.last_text = Some(String::new());
                    self.rejected.fetch_add(1, Ordering::Relaxed);
                }
                None
            }
        }
    }

    fn persist(&self, workers: &[Worker]) {
        let Some(persisted) = &self.persisted else { return };
        let text = format!("{SAVED_AT_PREFIX}{}\n{}", clock::wall() / 1000, workers::write(workers));
        persisted.write(text.into_bytes());
    }
}

/// Reads from a persisted list when it was saved, in milliseconds of the wall clock.
fn saved_at(payload: &[u8]) -> Option<u64> {
    let line = payload.split(|&b| b == b'\n').next()?;
    std::str::from_utf8(line).ok()?.strip_prefix(SAVED_AT_PREFIX)?.trim().parse().ok()
}

#[cfg(test)]
mod tests;
