//! Audit logs of all controllers, as they delivered them: bounded, and persisted beside the tenant store, so that what
//! a controller delivered before it was lost outlives the administration's process too. Written on the administration's
//! own thread.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;

use nettleferry_audit_log::Entry;
use nettleferry_wal::{DirectoryStorage, Limits, RecoveredRecord, WalError, WriteAheadLog};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tracing::{info, warn};

/// Logs at most.
pub(crate) const MAX_LOGS: usize = 1_024;
/// Entries that are kept of one log; the oldest are dropped first.
pub(crate) const MAX_ENTRIES: usize = 20_000;
/// Bytes of all logs on the disk.
const MAX_BYTES: u64 = 64 << 20;
/// Bytes of a segment on the disk.
const SEGMENT_BYTES: u64 = 4 << 20;

/// The name of the administration's own log, of changes and acknowledgements.
pub const ADMINISTRATION_LOG: &str = "administration";

/// An entry on the disk.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    /// Whose log it is of: a controller's number, or [`ADMINISTRATION_LOG`].
    #[serde(rename = "of")]
    owner: String,
    text: String,
}

/// One log's newest entries.
#[derive(Default)]
struct CollectedLog {
    entries: VecDeque<String>,
    last_number: u64,
}

/// Some entries of one log.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LogPage<'a> {
    /// The entries' texts, in order.
    pub(crate) entries: Vec<&'a str>,
    /// The position of the next page; `None`: this is the last one.
    pub(crate) next: Option<usize>,
}

/// All logs, by their owner.
pub(crate) struct CollectedLogs {
    wal: Option<WriteAheadLog<DirectoryStorage>>,
    logs: BTreeMap<String, CollectedLog>,
    unpersisted: u64,
}

impl CollectedLogs {
    /// Opens the logs in this folder. If that fails, which is logged, they are kept in memory only.
    pub(crate) fn open(folder: PathBuf) -> Self {
        let limits = Limits { bytes: MAX_BYTES, segment_bytes: SEGMENT_BYTES };
        let opened = DirectoryStorage::open(folder)
            .map_err(WalError::from)
            .and_then(|storage| WriteAheadLog::open(storage, limits));
        let mut collected = Self { wal: None, logs: BTreeMap::new(), unpersisted: 0 };
        match opened {
            Ok((wal, found)) => {
                for RecoveredRecord { payload: bytes, .. } in found.records {
                    if let Ok(stored) = serde_json::from_slice::<StoredEntry>(&bytes) {
                        collected.insert(&stored.owner, stored.text);
                    }
                }
                info!(logs = collected.logs.len(), "collected audit logs opened");
                collected.wal = Some(wal);
            }
            Err(error) => warn!(%error, "collected audit logs can't be opened, they are kept in memory only"),
        }
        collected
    }

    /// Takes an entry into memory; `false`: it is invalid, is there already, or there is no room for a further log.
    fn insert(&mut self, owner: &str, text: String) -> bool {
        let Ok(entry) = Entry::from_json(&text) else { return false };
        if !self.logs.contains_key(owner) && self.logs.len() >= MAX_LOGS {
            return false;
        }
        let log = self.logs.entry(owner.to_owned()).or_default();
        // A first entry after later ones: the log started again on an empty disk.
        if entry.number <= log.last_number && entry.number > 1 {
            return false;
        }
        log.last_number = entry.number;
        log.entries.push_back(text);
        while log.entries.len() > MAX_ENTRIES {
            log.entries.pop_front();
        }
        true
    }

    /// Takes entries of a log in, durable when this returns as far as the disk allows. Returns the number of the last
    /// entry that is held.
    pub(crate) fn append(&mut self, owner: &str, texts: Vec<String>) -> u64 {
        let mut any = false;
        for text in texts {
            let stored = StoredEntry { owner: owner.to_owned(), text: text.clone() };
            if self.insert(owner, text) {
                any = true;
                let bytes = serde_json::to_vec(&stored).ok();
                let written = bytes.zip(self.wal.as_mut()).map(|(bytes, wal)| wal.append(&bytes));
                self.unpersisted += u64::from(!matches!(written, Some(Ok(_))));
            }
        }
        // Acknowledged as delivered only once it is durable.
        if any
            && let Some(wal) = &mut self.wal
            && let Err(error) = wal.sync()
        {
            warn!(%error, "collected audit logs can't be written");
        }
        self.last_number(owner)
    }

    /// The number of a log's last entry; 0: there is none.
    pub(crate) fn last_number(&self, owner: &str) -> u64 {
        self.logs.get(owner).map_or(0, |log| log.last_number)
    }

    /// Entries that found no room on the disk.
    pub(crate) fn unpersisted(&self) -> u64 {
        self.unpersisted
    }

    /// The logs with their lengths, for the API.
    pub(crate) fn summary(&self) -> Value {
        let row = |(owner, log): (&String, &CollectedLog)| json!({ "of": owner, "lines": log.entries.len(), "last": log.last_number });
        json!(self.logs.iter().map(row).collect::<Vec<_>>())
    }

    /// At most so many entries of a log, from this position on. `None`: there is no such log.
    pub(crate) fn page(&self, owner: &str, from: usize, limit: usize) -> Option<LogPage<'_>> {
        let all = &self.logs.get(owner)?.entries;
        let entries: Vec<&str> = all.iter().skip(from).take(limit).map(String::as_str).collect();
        let end = from + entries.len();
        Some(LogPage { entries, next: (end < all.len()).then_some(end) })
    }
}

#[cfg(test)]
mod tests;
