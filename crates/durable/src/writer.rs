//! Writes a record on a background thread, for callers that must not block on the disk. Only the newest version
//! matters: a submitted payload replaces one that is still queued, so the queue holds at most one payload.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::record_file::{FileContents, RecordFile};
use crate::storage::Storage;

/// Totals of submitted payloads by outcome, since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Payloads submitted.
    pub submitted: u64,
    /// Payloads that were written and are durable.
    pub written: u64,
    /// Payloads that were replaced in the queue by a newer one and never written.
    pub superseded: u64,
    /// Payloads whose write failed.
    pub failed: u64,
}

#[derive(Default)]
struct Queue {
    waiting: Option<Vec<u8>>,
    busy: bool,
    ended: bool,
    counters: Counters,
    /// Number of the submission that is being written, counted by [`Counters::submitted`].
    writing: u64,
    /// Number of the last submission that is durable.
    durable: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    /// Notified when a payload is submitted or the thread is to stop.
    wake: Condvar,
    /// Notified when nothing is queued or being written.
    idle: Condvar,
}

impl Shared {
    /// Locks the queue. The lock is never held during I/O, so callers do not block on the disk.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handle of the background thread that writes the file of one record. Dropping it flushes the queue and stops the
/// thread, or abandons the thread if the disk does not respond in time.
pub struct RecordWriter {
    shared: Arc<Shared>,
    found: Receiver<io::Result<FileContents>>,
    thread: Option<JoinHandle<()>>,
}

impl RecordWriter {
    /// Starts the thread, which opens the file. `written` is called on that thread with the result of each write: the
    /// version that was written, or the error.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start<F: Storage + 'static>(
        mut files: F,
        path: &Path,
        written: impl Fn(io::Result<u64>) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let (thread_shared, path) = (Arc::clone(&shared), path.to_owned());
        let (found_sender, found) = channel();
        let work = move || {
            // Sending fails if the handle was dropped meanwhile; nobody needs the contents then.
            let mut file = match RecordFile::open(&files, &path) {
                Ok((file, contents)) => {
                    let _ = found_sender.send(Ok(contents));
                    Some(file)
                }
                Err(error) => {
                    let _ = found_sender.send(Err(error));
                    None
                }
            };
            while let Some(payload) = next(&thread_shared) {
                let result = match &mut file {
                    Some(file) => file.write(&mut files, &payload),
                    None => Err(io::Error::other("the file could not be opened")),
                };
                {
                    let mut queue = thread_shared.lock();
                    match &result {
                        Ok(_) => {
                            queue.counters.written += 1;
                            queue.durable = queue.writing;
                        }
                        Err(_) => queue.counters.failed += 1,
                    }
                }
                written(result);
            }
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(work)?;
        Ok(Self { shared, found, thread: Some(thread) })
    }

    /// Returns what the file contained at the start, or `None` if it could not be read within `timeout`. The contents
    /// are returned once: a second call returns `None`.
    ///
    /// # Errors
    /// Returns an error if the file can't be read.
    pub fn initial_contents(&self, timeout: Duration) -> io::Result<Option<FileContents>> {
        match self.found.recv_timeout(timeout) {
            Ok(found) => found.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Queues a payload to be written, without blocking on the disk. Returns the number of the submission, to be
    /// compared with [`RecordWriter::durable`].
    pub fn submit(&self, payload: Vec<u8>) -> u64 {
        let mut queue = self.shared.lock();
        queue.counters.submitted += 1;
        let number = queue.counters.submitted;
        if queue.waiting.replace(payload).is_some() {
            queue.counters.superseded += 1;
        }
        drop(queue);
        self.shared.wake.notify_one();
        number
    }

    /// Returns the number of the last submission that is durable, 0 if there is none. Submissions of lower numbers are
    /// durable or replaced by it.
    pub fn durable(&self) -> u64 {
        self.shared.lock().durable
    }

    /// Returns the totals of submitted payloads by outcome.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Blocks until nothing is queued or being written. Returns false if `timeout` elapsed first.
    pub fn flush(&self, timeout: Duration) -> bool {
        let until = Instant::now() + timeout;
        let mut queue = self.shared.lock();
        while queue.busy || queue.waiting.is_some() {
            let remaining = until.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            queue = self.shared.idle.wait_timeout(queue, remaining).unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

/// The thread's name, as the operating system shows it.
const THREAD_NAME: &str = "keeper";

/// How long dropping a writer waits for the disk before it abandons the thread.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

impl Drop for RecordWriter {
    fn drop(&mut self) {
        let flushed = self.flush(SHUTDOWN_TIMEOUT);
        self.shared.lock().ended = true;
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take().filter(|_| flushed) {
            let _ = thread.join();
        }
    }
}

/// Waits for the next payload to write; returns `None` if the thread is to stop.
fn next(shared: &Shared) -> Option<Vec<u8>> {
    let mut queue = shared.lock();
    queue.busy = false;
    loop {
        if let Some(newest) = queue.waiting.take() {
            queue.busy = true;
            queue.writing = queue.counters.submitted;
            return Some(newest);
        }
        shared.idle.notify_all();
        if queue.ended {
            return None;
        }
        queue = shared.wake.wait(queue).unwrap_or_else(PoisonError::into_inner);
    }
}
