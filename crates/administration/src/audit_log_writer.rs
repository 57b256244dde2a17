//! Writes this controller's audit log. A thread of its own appends entries to a bounded, crash-safe log; the newest
//! entries also stay in memory for whoever delivers or collects them. What an entry holds, and that each is chained to
//! the one before, is decided by `nettleferry_audit_log`. The thread that answers calls hands entries over by a bounded
//! queue and never waits for the disk.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nettleferry_audit_log::Entry;
use nettleferry_audit_log::chain::{self, CheckedLog};
use nettleferry_audit_log::recorder::{Recorder, Tail};
use nettleferry_wal::{DirectoryStorage, Limits, WalError, WriteAheadLog};
use tracing::{info, warn};

/// Batches queued for the disk; entries beyond them wait in the recorder.
const MAX_QUEUED_BATCHES: usize = 16;
/// Entries of one batch.
const MAX_BATCH_ENTRIES: usize = 512;
/// Bytes of the newest entries that stay in memory.
const MAX_RECENT_BYTES: usize = 4 << 20;
/// A start waits at most this long for the log of the earlier incarnations.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Bytes of a segment at most. The log drops whole segments to stay within its bound.
const MAX_SEGMENT_BYTES: u64 = 1 << 20;

/// An entry as its text, which the chain's checksums cover.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The entry's number in its log, from 1.
    pub number: u64,
    /// The entry as one line of JSON.
    pub text: String,
}

/// The newest entries of a log, in order, within a bound of bytes.
#[derive(Default)]
pub struct RecentEntries {
    entries: VecDeque<EncodedEntry>,
    bytes: usize,
}

/// The newest entries, shared with those who deliver and collect them.
pub type SharedEntries = Arc<Mutex<RecentEntries>>;

impl RecentEntries {
    fn push(&mut self, entry: EncodedEntry) {
        self.bytes += entry.text.len();
        self.entries.push_back(entry);
        while self.bytes > MAX_RECENT_BYTES
            && let Some(oldest) = self.entries.pop_front()
        {
            self.bytes -= oldest.text.len();
        }
    }

    /// Entries with a greater number than this, in order: at most so many bytes of text, but at least one entry.
    pub fn after(&self, number: u64, max_bytes: usize) -> Vec<EncodedEntry> {
        let from = self.entries.partition_point(|entry| entry.number <= number);
        let mut bytes = 0;
        let fits = |entry: &&EncodedEntry| {
            let first = bytes == 0;
            bytes += entry.text.len();
            first || bytes <= max_bytes
        };
        self.entries.range(from..).take_while(fits).cloned().collect()
    }

    /// The number of the last entry; 0: there is none.
    #[cfg(test)]
    fn last_number(&self) -> u64 {
        self.entries.back().map_or(0, |entry| entry.number)
    }
}

/// Locks the newest entries. The lock is never held over I/O.
pub fn lock(recent: &SharedEntries) -> MutexGuard<'_, RecentEntries> {
    recent.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The audit log's writer. Its thread ends once this is dropped and the queue is written.
pub struct AuditLogWriter {
    queue: SyncSender<Vec<String>>,
    recent: SharedEntries,
}

/// Reads and checks a whole log in this folder.
///
/// # Errors
/// The folder cannot be read as a write-ahead log.
pub fn read(folder: PathBuf) -> Result<CheckedLog, WalError> {
    let (_, texts) = open_log(folder, Limits::default())?;
    Ok(chain::check(texts.iter().map(String::as_str)))
}

impl AuditLogWriter {
    /// Starts the thread, which opens the folder; the log keeps at most so many bytes. Also returns the last entry
    /// that the log holds, by which the new incarnation's entries are chained to it. `None`: the log is empty, or was
    /// not read in time, which is logged.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(folder: PathBuf, max_bytes: u64) -> io::Result<(Self, Option<Tail>)> {
        let (queue, batches) = sync_channel(MAX_QUEUED_BATCHES);
        let (opened, tail) = sync_channel(1);
        let recent = SharedEntries::default();
        let entries = Arc::clone(&recent);
        let run = move || match open(folder, max_bytes, &entries) {
            Ok((wal, tail)) => {
                if opened.send(tail).is_ok() {
                    write_batches(wal, &batches, &entries);
                }
            }
            Err(error) => warn!(%error, "audit log can't be opened, entries stay in memory only"),
        };
        std::thread::Builder::new().name("audit-log".to_owned()).spawn(run)?;
        let tail = tail.recv_timeout(OPEN_TIMEOUT).unwrap_or_else(|_| {
            warn!("audit log can't be read in time, this incarnation's entries start a new chain");
            None
        });
        Ok((Self { queue, recent }, tail))
    }

    /// The newest entries.
    pub fn recent(&self) -> SharedEntries {
        Arc::clone(&self.recent)
    }

    /// Takes over the recorder's entries as far as the queue has room. Never waits.
    pub fn submit(&self, recorder: &mut Recorder) {
        while recorder.waiting() > 0 {
            let batch: Vec<String> = recorder.take(MAX_BATCH_ENTRIES).collect();
            match self.queue.try_send(batch) {
                Ok(()) => {}
                Err(TrySendError::Full(batch)) => return recorder.put_back(batch),
                // The log could not be opened: its entries can still be collected from memory.
                Err(TrySendError::Disconnected(batch)) => remember(&self.recent, batch),
            }
        }
    }
}

fn remember(recent: &SharedEntries, batch: Vec<String>) {
    let mut recent = lock(recent);
    for text in batch {
        if let Ok(entry) = Entry::from_json(&text) {
            recent.push(EncodedEntry { number: entry.number, text });
        }
    }
}

type Wal = WriteAheadLog<DirectoryStorage>;

/// The log in this folder, and the texts that it holds.
fn open_log(folder: PathBuf, limits: Limits) -> Result<(Wal, Vec<String>), WalError> {
    let storage = DirectoryStorage::open(folder).map_err(WalError::from)?;
    let (wal, found) = WriteAheadLog::open(storage, limits)?;
    let texts =
        found.records.into_iter().filter_map(|record| String::from_utf8(record.payload).ok()).collect();
    Ok((wal, texts))
}

fn open(folder: PathBuf, max_bytes: u64, recent: &SharedEntries) -> Result<(Wal, Option<Tail>), WalError> {
    let limits = Limits { bytes: max_bytes, segment_bytes: MAX_SEGMENT_BYTES.min(max_bytes / 4).max(1) };
    let (wal, texts) = open_log(folder, limits)?;
    let checked = chain::check(texts.iter().map(String::as_str));
    for error in &checked.errors {
        warn!(%error, "audit log of earlier incarnations is incomplete");
    }
    info!(entries = checked.entries.len(), errors = checked.errors.len(), "audit log opened");
    remember(recent, texts);
    Ok((wal, checked.tail))
}

/// Writes until the queue's sender is gone.
fn write_batches(mut wal: Wal, batches: &Receiver<Vec<String>>, recent: &SharedEntries) {
    let mut failing = false;
    while let Ok(mut batch) = batches.recv() {
        while let Ok(more) = batches.try_recv() {
            batch.extend(more);
        }
        let appended = batch.iter().try_for_each(|text| wal.append(text.as_bytes()).map(|_| ()));
        let written = appended.and_then(|()| wal.sync());
        match &written {
            Err(error) if !failing => {
                warn!(%error, "audit log entries can't be written, later checks will report them as missing");
            }
            Ok(()) if failing => info!("audit log is written again"),
            _ => {}
        }
        failing = written.is_err();
        remember(recent, batch);
    }
}

#[cfg(test)]
mod tests;
