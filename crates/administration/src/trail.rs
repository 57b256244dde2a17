//! The record of what this controller acted on: written by a thread of its own to a bounded, crash-safe log, and held
//! in memory for those who gather it. What stands in it is decided by `nettleferry_audit_log`; the thread that answers
//! calls counts, and hands lines on by a bounded queue.

use std::collections::VecDeque;
use std::io;
use std::path::PathBuf;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use nettleferry_audit_log::chain::{self, CheckedLog};
use nettleferry_audit_log::recorder::{Recorder, Tail};
use nettleferry_wal::{DirectoryStorage, Limits, WalError, WriteAheadLog};
use tracing::{info, warn};

/// Batches of lines that wait for the disk; what does not fit waits in the recorder.
const WAITING: usize = 16;
/// Lines of a batch at the most.
const BATCH: usize = 512;
/// Bytes of the newest lines that are held in memory for those who gather them.
const MOST_HELD: usize = 4 << 20;
/// A start waits so long for the log of before.
const OPEN_WAIT: Duration = Duration::from_secs(2);
/// A segment of the log: the bound lets go of whole ones.
const SEGMENT: u64 = 1 << 20;

/// The newest lines, by number.
#[derive(Default)]
pub struct Held {
    lines: VecDeque<(u64, String)>,
    bytes: usize,
}

/// Shared with those who deliver and gather.
pub type Shared = Arc<Mutex<Held>>;

impl Held {
    fn push(&mut self, n: u64, text: String) {
        self.bytes += text.len();
        self.lines.push_back((n, text));
        while self.bytes > MOST_HELD
            && let Some((_, oldest)) = self.lines.pop_front()
        {
            self.bytes -= oldest.len();
        }
    }

    /// Lines behind this one, in order, of so many bytes at the most, and one at the least.
    pub fn after(&self, n: u64, most_bytes: usize) -> Vec<(u64, String)> {
        let from = self.lines.partition_point(|(number, _)| *number <= n);
        let mut bytes = 0;
        let fits = |(_, text): &&(u64, String)| {
            let first = bytes == 0;
            bytes += text.len();
            first || bytes <= most_bytes
        };
        self.lines.range(from..).take_while(fits).cloned().collect()
    }

    /// The number of the last line.
    #[cfg(test)]
    fn last(&self) -> u64 {
        self.lines.back().map_or(0, |(n, _)| *n)
    }
}

/// Never held over a disk.
pub fn lock(held: &Shared) -> MutexGuard<'_, Held> {
    held.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The log of records; its thread ends when this is dropped.
pub struct Log {
    to: SyncSender<Vec<String>>,
    held: Shared,
}

/// A log opened for reading by hand, whole.
pub fn read(folder: PathBuf) -> Result<CheckedLog, WalError> {
    let (_, found) =
        WriteAheadLog::open(DirectoryStorage::open(folder).map_err(WalError::from)?, Limits::default())?;
    let texts: Vec<String> =
        found.records.into_iter().filter_map(|record| String::from_utf8(record.payload).ok()).collect();
    Ok(chain::check(texts.iter().map(String::as_str)))
}

impl Log {
    /// Starts the thread, which opens the folder. The tail of what it held, where it was read in time; else the
    /// record begins anew, and the log says so.
    pub fn start(folder: PathBuf, bytes: u64) -> io::Result<(Self, Option<Tail>)> {
        let (to, lines) = sync_channel::<Vec<String>>(WAITING);
        let (telling, told) = sync_channel(1);
        let held = Shared::default();
        let ours = Arc::clone(&held);
        let work = move || match open(folder, bytes, &ours) {
            Ok((spool, tail)) => {
                if telling.send(tail).is_ok() {
                    write(spool, &lines, &ours);
                }
            }
            Err(error) => warn!(%error, "the record of acts can't be kept: it is held in memory alone"),
        };
        std::thread::Builder::new().name("trail".to_owned()).spawn(work)?;
        let tail = told.recv_timeout(OPEN_WAIT).unwrap_or_else(|_| {
            warn!("the record of before can't be read in time: this life's begins anew");
            None
        });
        Ok((Self { to, held }, tail))
    }

    /// What is held in memory.
    pub fn held(&self) -> Shared {
        Arc::clone(&self.held)
    }

    /// Hands on what the recorder has, as far as there is room. Never waits.
    pub fn hand_on(&self, recorder: &mut Recorder) {
        while recorder.waiting() > 0 {
            // What can't be handed on stays where it is: it is taken out only for a place that is free.
            let batch: Vec<String> = recorder.take(BATCH).collect();
            match self.to.try_send(batch) {
                Ok(()) => {}
                Err(TrySendError::Full(batch)) => return recorder.put_back(batch),
                Err(TrySendError::Disconnected(batch)) => {
                    // No disk at all: those who gather have it from memory.
                    hold(&self.held, batch);
                }
            }
        }
    }
}

fn hold(held: &Shared, batch: Vec<String>) {
    let mut held = lock(held);
    for text in batch {
        if let Ok(line) = nettleferry_audit_log::Entry::from_json(&text) {
            held.push(line.number, text);
        }
    }
}

fn open(
    folder: PathBuf,
    bytes: u64,
    held: &Shared,
) -> Result<(WriteAheadLog<DirectoryStorage>, Option<Tail>), WalError> {
    let limits = Limits { bytes, segment_bytes: SEGMENT.min(bytes / 4).max(1) };
    let (spool, found) =
        WriteAheadLog::open(DirectoryStorage::open(folder).map_err(WalError::from)?, limits)?;
    let texts: Vec<String> =
        found.records.into_iter().filter_map(|record| String::from_utf8(record.payload).ok()).collect();
    let checked = chain::check(texts.iter().map(String::as_str));
    for fault in &checked.errors {
        warn!(%fault, "the record of before is not whole");
    }
    info!(lines = checked.entries.len(), faults = checked.errors.len(), "the record of acts");
    hold(held, texts);
    Ok((spool, checked.tail))
}

/// Writes until nobody hands on any more.
fn write(mut spool: WriteAheadLog<DirectoryStorage>, lines: &Receiver<Vec<String>>, held: &Shared) {
    let mut failing = false;
    while let Ok(mut batch) = lines.recv() {
        while let Ok(more) = lines.try_recv() {
            batch.extend(more);
        }
        let wrote = batch.iter().try_for_each(|text| spool.append(text.as_bytes()).map(|_| ()));
        let wrote = wrote.and_then(|()| spool.sync());
        match &wrote {
            Err(error) if !failing => {
                warn!(%error, "lines of the record can't be kept: the next life finds that they are missing");
            }
            Ok(()) if failing => info!("the record of acts is kept again"),
            _ => {}
        }
        failing = wrote.is_err();
        hold(held, batch);
    }
}

#[cfg(test)]
mod tests;
