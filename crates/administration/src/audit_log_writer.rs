//! Writes this controller's audit log. A dedicated thread appends entries to a bounded write-ahead log; the newest
//! entries also stay in memory, from where a follower delivers them and the leader collects its own. The content of an
//! entry and the checksum chain are defined by `nettleferry_audit_log`. The thread that serves calls passes entries
//! through a bounded queue and never waits for the disk.

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

/// Maximum number of batches queued for the disk; further entries wait in the recorder.
const MAX_QUEUED_BATCHES: usize = 16;
/// Maximum number of entries in one batch.
const MAX_BATCH_ENTRIES: usize = 512;
/// Maximum size of the newest entries that stay in memory, in bytes of text.
const MAX_RECENT_BYTES: usize = 4 << 20;
/// Maximum time that a start waits for the log of earlier incarnations to be read.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a segment in bytes. The log drops whole segments to stay within its size limit.
const MAX_SEGMENT_BYTES: u64 = 1 << 20;

/// An entry with its encoded text. The checksum chain covers this text, so it is passed on unchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedEntry {
    /// The entry's number in its log, from 1.
    pub number: u64,
    /// The entry as one line of JSON.
    pub text: String,
}

/// The newest entries of a log, in order, up to a limit in bytes.
#[derive(Default)]
pub struct RecentEntries {
    entries: VecDeque<EncodedEntry>,
    bytes: usize,
}

/// The newest entries, shared between the writer's thread and the administration thread.
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

    /// Entries with a number greater than `number`, in order. Returns at most `max_bytes` of text, but at least one
    /// entry if there is one.
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

    /// The number of the last entry; 0 if there is none.
    #[cfg(test)]
    fn last_number(&self) -> u64 {
        self.entries.back().map_or(0, |entry| entry.number)
    }
}

/// Locks the newest entries. Callers must not do I/O while they hold the lock.
pub fn lock(recent: &SharedEntries) -> MutexGuard<'_, RecentEntries> {
    recent.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The handle to the audit log's writer thread, which ends after this is dropped and the queue is written.
pub struct AuditLogWriter {
    queue: SyncSender<Vec<String>>,
    recent: SharedEntries,
}

/// Reads the audit log in this folder and verifies its checksum chain. Errors in the chain are part of the result.
///
/// # Errors
/// The folder cannot be read as a write-ahead log.
pub fn read(folder: PathBuf) -> Result<CheckedLog, WalError> {
    let (_, texts) = open_log(folder, Limits::default())?;
    Ok(chain::check(texts.iter().map(String::as_str)))
}

impl AuditLogWriter {
    /// Starts the thread, which opens the log in `folder` and keeps it within `max_bytes`. Also returns the tail of the
    /// log, to which the new incarnation chains its entries; `None` if the log is empty, cannot be opened or was not
    /// read in time. Both failures are logged, and after either of them the thread ends and entries stay in memory
    /// only.
    ///
    /// # Errors
    /// The thread cannot be started.
    pub fn start(folder: PathBuf, max_bytes: u64) -> io::Result<(Self, Option<Tail>)> {
        let (queue, batches) = sync_channel(MAX_QUEUED_BATCHES);
        let (tail_sender, tail_receiver) = sync_channel(1);
        let recent = SharedEntries::default();
        let entries = Arc::clone(&recent);
        let run = move || match open(folder, max_bytes, &entries) {
            Ok((wal, tail)) => {
                if tail_sender.send(tail).is_ok() {
                    write_batches(wal, &batches, &entries);
                }
            }
            Err(error) => warn!(%error, "audit log can't be opened, entries stay in memory only"),
        };
        std::thread::Builder::new().name("audit-log".to_owned()).spawn(run)?;
        let tail = tail_receiver.recv_timeout(OPEN_TIMEOUT).unwrap_or_else(|_| {
            warn!("audit log can't be read in time, this incarnation's entries start a new chain");
            None
        });
        Ok((Self { queue, recent }, tail))
    }

    /// The newest entries, shared with the writer's thread.
    pub fn recent(&self) -> SharedEntries {
        Arc::clone(&self.recent)
    }

    /// Moves the recorder's entries to the writer's queue. Entries that do not fit stay in the recorder. Never blocks.
    pub fn submit(&self, recorder: &mut Recorder) {
        while recorder.waiting() > 0 {
            let batch: Vec<String> = recorder.take(MAX_BATCH_ENTRIES).collect();
            match self.queue.try_send(batch) {
                Ok(()) => {}
                Err(TrySendError::Full(batch)) => return recorder.put_back(batch),
                // The log could not be opened or was not read in time: entries can still be collected from memory.
                Err(TrySendError::Disconnected(batch)) => push_recent(&self.recent, batch),
            }
        }
    }
}

fn push_recent(recent: &SharedEntries, batch: Vec<String>) {
    let mut recent = lock(recent);
    for text in batch {
        if let Ok(entry) = Entry::from_json(&text) {
            recent.push(EncodedEntry { number: entry.number, text });
        }
    }
}

type Wal = WriteAheadLog<DirectoryStorage>;

/// Opens the log in this folder. Also returns the texts of the entries that it holds.
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
    push_recent(recent, texts);
    Ok((wal, checked.tail))
}

/// Writes batches until the [`AuditLogWriter`] is dropped.
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
        push_recent(recent, batch);
    }
}

#[cfg(test)]
mod tests;
