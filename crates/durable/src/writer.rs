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

/// Totals of submitted payloads by outcome, since the writer was started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Payloads passed to [`RecordWriter::submit`].
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
    /// The payload to be written next.
    queued: Option<Vec<u8>>,
    /// Whether the thread is writing a payload.
    write_in_progress: bool,
    /// Whether the thread is to stop once nothing is queued.
    stopping: bool,
    counters: Counters,
    /// Number of the submission that is being written or was written last, as returned by
    /// [`RecordWriter::submit`].
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
    initial_contents: Receiver<io::Result<FileContents>>,
    thread: Option<JoinHandle<()>>,
}

impl RecordWriter {
    /// Starts the thread, which opens the file. `on_write` is called on that thread with the result of each
    /// write: the version that was written, or the error.
    ///
    /// # Errors
    /// Returns an error if the thread can't be started.
    pub fn start<F: Storage + 'static>(
        mut files: F,
        path: &Path,
        on_write: impl Fn(io::Result<u64>) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let (thread_shared, path) = (Arc::clone(&shared), path.to_owned());
        let (contents_sender, initial_contents) = channel();
        let work = move || {
            // Sending fails if the handle was dropped. The contents are not needed then.
            let mut file = match RecordFile::open(&files, &path) {
                Ok((file, contents)) => {
                    let _ = contents_sender.send(Ok(contents));
                    Some(file)
                }
                Err(error) => {
                    let _ = contents_sender.send(Err(error));
                    None
                }
            };
            while let Some(payload) = next_payload(&thread_shared) {
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
                on_write(result);
            }
        };
        let thread = std::thread::Builder::new().name(THREAD_NAME.to_owned()).spawn(work)?;
        Ok(Self { shared, initial_contents, thread: Some(thread) })
    }

    /// Returns the contents of the file when the thread opened it, or `None` if it was not opened within
    /// `timeout`. The contents are returned only once: a second call waits for `timeout` and returns `None`.
    ///
    /// # Errors
    /// Returns an error if the file can't be opened.
    pub fn initial_contents(&self, timeout: Duration) -> io::Result<Option<FileContents>> {
        match self.initial_contents.recv_timeout(timeout) {
            Ok(contents) => contents.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Queues a payload to be written, without blocking on the disk. Returns the number of the submission, to be
    /// compared with [`RecordWriter::durable`].
    pub fn submit(&self, payload: Vec<u8>) -> u64 {
        let mut queue = self.shared.lock();
        queue.counters.submitted += 1;
        let number = queue.counters.submitted;
        if queue.queued.replace(payload).is_some() {
            queue.counters.superseded += 1;
        }
        drop(queue);
        self.shared.wake.notify_one();
        number
    }

    /// Returns the number of the last submission that is durable, or 0 if none is. It supersedes all
    /// submissions with lower numbers, of which some may never have been written.
    pub fn durable(&self) -> u64 {
        self.shared.lock().durable
    }

    /// Returns the totals of submitted payloads by outcome.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Blocks until nothing is queued or being written. Returns false if `timeout` elapsed first.
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut queue = self.shared.lock();
        while queue.write_in_progress || queue.queued.is_some() {
            let remaining = deadline.saturating_duration_since(Instant::now());
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

/// Maximum time for which dropping a writer waits for the disk. After that the thread is abandoned.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

impl Drop for RecordWriter {
    fn drop(&mut self) {
        let flushed = self.flush(SHUTDOWN_TIMEOUT);
        self.shared.lock().stopping = true;
        self.shared.wake.notify_one();
        if let Some(thread) = self.thread.take().filter(|_| flushed) {
            let _ = thread.join();
        }
    }
}

/// Waits for the next payload to write. Returns `None` if the thread is to stop.
fn next_payload(shared: &Shared) -> Option<Vec<u8>> {
    let mut queue = shared.lock();
    queue.write_in_progress = false;
    loop {
        if let Some(payload) = queue.queued.take() {
            queue.write_in_progress = true;
            queue.writing = queue.counters.submitted;
            return Some(payload);
        }
        shared.idle.notify_all();
        if queue.stopping {
            return None;
        }
        queue = shared.wake.wait(queue).unwrap_or_else(PoisonError::into_inner);
    }
}
