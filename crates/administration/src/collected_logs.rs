//! The audit logs that all controllers have delivered to the leader. They are bounded, and persisted beside the tenant
//! store, so that the entries of a controller that was lost also survive a restart of the leader. The administration
//! thread itself does the writes.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;

use nettleferry_audit_log::Entry;
use nettleferry_wal::{DirectoryStorage, Limits, RecoveredRecord, WalError, WriteAheadLog};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tracing::{info, warn};

/// Maximum number of logs.
pub(crate) const MAX_LOGS: usize = 1_024;
/// Maximum number of entries kept of one log; the oldest are dropped first.
pub(crate) const MAX_ENTRIES: usize = 20_000;
/// Maximum size of all logs on disk, in bytes.
const MAX_BYTES: u64 = 64 << 20;
/// Maximum size of a segment on disk, in bytes.
const SEGMENT_BYTES: u64 = 4 << 20;

/// The owner name of the administration's own log, which records accepted changes and their acknowledgements.
pub const ADMINISTRATION_LOG: &str = "administration";

/// The form in which an entry is persisted.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    /// The owner of the log: a controller's number, or [`ADMINISTRATION_LOG`].
    #[serde(rename = "of")]
    owner: String,
    text: String,
}

/// The newest entries of one log.
#[derive(Default)]
struct CollectedLog {
    entries: VecDeque<String>,
    last_number: u64,
}

/// A page of consecutive entries of one log.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct LogPage<'a> {
    /// The entries' texts, in order.
    pub(crate) entries: Vec<&'a str>,
    /// The index of the next page's first entry; `None` on the last page.
    pub(crate) next: Option<usize>,
}

/// All collected logs, by owner.
pub(crate) struct CollectedLogs {
    wal: Option<WriteAheadLog<DirectoryStorage>>,
    logs: BTreeMap<String, CollectedLog>,
    unpersisted: u64,
}

impl CollectedLogs {
    /// Opens the logs in this folder. If that fails, the error is logged and the logs are kept in memory only.
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

    /// Adds an entry in memory. Returns `false` for an invalid entry, for one that is already stored, and for a new log
    /// beyond [`MAX_LOGS`].
    fn insert(&mut self, owner: &str, text: String) -> bool {
        let Ok(entry) = Entry::from_json(&text) else { return false };
        if !self.logs.contains_key(owner) && self.logs.len() >= MAX_LOGS {
            return false;
        }
        let log = self.logs.entry(owner.to_owned()).or_default();
        // Entry 1 is accepted after later entries: the controller has lost its disk and started a new log.
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

    /// Stores entries of a log, and syncs them to disk before it returns; a failed sync is logged. Returns the number
    /// of the last stored entry of this log.
    pub(crate) fn append(&mut self, owner: &str, texts: Vec<String>) -> u64 {
        let mut any_inserted = false;
        for text in texts {
            let stored = StoredEntry { owner: owner.to_owned(), text: text.clone() };
            if self.insert(owner, text) {
                any_inserted = true;
                let bytes = serde_json::to_vec(&stored).ok();
                let written = bytes.zip(self.wal.as_mut()).map(|(bytes, wal)| wal.append(&bytes));
                self.unpersisted += u64::from(!matches!(written, Some(Ok(_))));
            }
        }
        // The caller acknowledges the delivery after this, so the entries must be durable first.
        if any_inserted
            && let Some(wal) = &mut self.wal
            && let Err(error) = wal.sync()
        {
            warn!(%error, "collected audit logs can't be written");
        }
        self.last_number(owner)
    }

    /// The number of a log's last entry; 0 if there is none.
    pub(crate) fn last_number(&self, owner: &str) -> u64 {
        self.logs.get(owner).map_or(0, |log| log.last_number)
    }

    /// The number of entries that could not be appended to the log on disk since the start.
    pub(crate) fn unpersisted(&self) -> u64 {
        self.unpersisted
    }

    /// The owner, the number of stored entries and the last entry's number of each log, as JSON for the API.
    pub(crate) fn summary(&self) -> Value {
        let row = |(owner, log): (&String, &CollectedLog)| json!({ "of": owner, "lines": log.entries.len(), "last": log.last_number });
        json!(self.logs.iter().map(row).collect::<Vec<_>>())
    }

    /// Up to `limit` entries of a log, starting at index `from`, where 0 is the oldest stored entry. `None` if there is
    /// no log of this owner.
    pub(crate) fn page(&self, owner: &str, from: usize, limit: usize) -> Option<LogPage<'_>> {
        let all = &self.logs.get(owner)?.entries;
        let entries: Vec<&str> = all.iter().skip(from).take(limit).map(String::as_str).collect();
        let end = from + entries.len();
        Some(LogPage { entries, next: (end < all.len()).then_some(end) })
    }
}

#[cfg(test)]
mod tests;
