//! Records of other controllers, as they delivered them: bounded, kept beside the store so that what a controller
//! delivered before it was lost outlives this process too. Written on the administration's own thread.

use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;

use nettleferry_audit_log::Entry;
use nettleferry_wal::{DirectoryStorage, Limits, RecoveredRecord, WalError, WriteAheadLog};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tracing::{info, warn};

/// Controllers whose records are held at the most.
pub const MOST_RECORDS: usize = 1_024;
/// Lines that are held of one of them; the oldest go first.
pub const MOST_LINES: usize = 20_000;
/// Bytes of all that is kept on disk.
const MOST_BYTES: u64 = 64 << 20;
const SEGMENT: u64 = 4 << 20;

/// The administration's own record, of changes and acknowledgements.
pub const OWN: &str = "administration";

#[derive(Serialize, Deserialize)]
struct Kept {
    of: String,
    text: String,
}

#[derive(Default)]
struct Record {
    lines: VecDeque<String>,
    last: u64,
}

/// All of them.
pub struct Records {
    spool: Option<WriteAheadLog<DirectoryStorage>>,
    records: BTreeMap<String, Record>,
    /// Lines that found no room on the disk.
    pub unkept: u64,
}

impl Records {
    /// What was delivered before, from this folder.
    pub fn open(folder: PathBuf) -> Self {
        let limits = Limits { bytes: MOST_BYTES, segment_bytes: SEGMENT };
        let opened = DirectoryStorage::open(folder)
            .map_err(WalError::from)
            .and_then(|disk| WriteAheadLog::open(disk, limits));
        let mut all = Self { spool: None, records: BTreeMap::new(), unkept: 0 };
        match opened {
            Ok((spool, found)) => {
                for RecoveredRecord { payload: bytes, .. } in found.records {
                    if let Ok(kept) = serde_json::from_slice::<Kept>(&bytes) {
                        all.hold(&kept.of, kept.text);
                    }
                }
                info!(records = all.records.len(), "records as they were delivered");
                all.spool = Some(spool);
            }
            Err(error) => warn!(%error, "delivered records can't be kept: they are held in memory alone"),
        }
        all
    }

    fn hold(&mut self, of: &str, text: String) -> bool {
        let Ok(line) = Entry::from_json(&text) else { return false };
        if !self.records.contains_key(of) && self.records.len() >= MOST_RECORDS {
            return false;
        }
        let record = self.records.entry(of.to_owned()).or_default();
        // One that was delivered before, or a record that began anew on an empty disk.
        if line.number <= record.last && line.number > 1 {
            return false;
        }
        record.last = line.number;
        record.lines.push_back(text);
        while record.lines.len() > MOST_LINES {
            record.lines.pop_front();
        }
        true
    }

    /// Lines of a controller came. The number of the last one that is held.
    pub fn take(&mut self, of: &str, texts: Vec<String>) -> u64 {
        let mut any = false;
        for text in texts {
            let kept = Kept { of: of.to_owned(), text: text.clone() };
            if self.hold(of, text) {
                any = true;
                let written = serde_json::to_vec(&kept).ok().zip(self.spool.as_mut());
                let written = written.map(|(bytes, spool)| spool.append(&bytes));
                self.unkept += u64::from(!matches!(written, Some(Ok(_))));
            }
        }
        // Told as delivered only once it is durable.
        if any
            && let Some(spool) = &mut self.spool
            && let Err(error) = spool.sync()
        {
            warn!(%error, "delivered records can't be kept");
        }
        self.records.get(of).map_or(0, |record| record.last)
    }

    /// The last line held of a controller.
    pub fn last(&self, of: &str) -> u64 {
        self.records.get(of).map_or(0, |record| record.last)
    }

    /// Whose records there are, with their lengths.
    pub fn all(&self) -> Value {
        let rows =
            self.records.iter().map(|(of, r)| json!({ "of": of, "lines": r.lines.len(), "last": r.last }));
        json!(rows.collect::<Vec<_>>())
    }

    /// Lines of one of them, from this place on, so many at the most.
    pub fn page(&self, of: &str, from: usize, most: usize) -> Option<(Vec<&str>, Option<usize>)> {
        let lines = &self.records.get(of)?.lines;
        let page: Vec<&str> = lines.iter().skip(from).take(most).map(String::as_str).collect();
        let next = (from + page.len() < lines.len()).then_some(from + page.len());
        Some((page, next))
    }
}

#[cfg(test)]
mod tests;
