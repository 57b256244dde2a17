//! The thread that writes for threads that must not wait for a disk. Only the newest version matters: what is submitted
//! while an older one waits takes its place, so that one record waits at the most.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::record_file::{FileContents, RecordFile};
use crate::storage::Storage;

/// What became of submitted records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records submitted.
    pub submitted: u64,
    /// Written and durable.
    pub written: u64,
    /// Never written, as a newer one was there first.
    pub superseded: u64,
    /// Writing them failed.
    pub failed: u64,
}

#[derive(Default)]
struct Queue {
    waiting: Option<Vec<u8>>,
    busy: bool,
    ended: bool,
    counters: Counters,
    /// The submission that is being written, as [`Counters::submitted`] counts them.
    writing: u64,
    /// The last submission that is durable.
    durable: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    /// Something was submitted, or the thread is to end.
    wake: Condvar,
    /// Nothing waits and nothing is being written.
    idle: Condvar,
}

impl Shared {
    /// Held for a few moves of memory, never over I/O: waiting for it is not waiting for a disk.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The writing thread of one record's file.
pub struct RecordWriter {
    shared: Arc<Shared>,
    found: Receiver<io::Result<FileContents>>,
    thread: Option<JoinHandle<()>>,
}

impl RecordWriter {
    /// Starts the thread, which opens the file. `written` is called on that thread with the result of each write.
    ///
    /// # Errors
    /// Where the thread can't be started.
    pub fn start<F: Storage + 'static>(
        mut files: F,
        path: &Path,
        written: impl Fn(io::Result<u64>) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let (thread_shared, path) = (Arc::clone(&shared), path.to_owned());
        let (found_sender, found) = channel();
        let work = move || {
            // The receiver is gone where nobody waited for what was found.
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

    /// What the file contained at the start; `None`: the disk has not answered within `timeout`. To be called once.
    ///
    /// # Errors
    /// Where the file can't be read.
    pub fn initial_contents(&self, timeout: Duration) -> io::Result<Option<FileContents>> {
        match self.found.recv_timeout(timeout) {
            Ok(found) => found.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Submits a payload to be written. Never waits for a disk. The number of the submission, for
    /// [`RecordWriter::durable`].
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

    /// The last submission that is durable, itself or by a newer one in its place; 0: none.
    pub fn durable(&self) -> u64 {
        self.shared.lock().durable
    }

    /// What became of submitted records.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Waits until nothing is to be written any more. False: `timeout` was over first.
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

/// The name by which the operating system shows the thread.
const THREAD_NAME: &str = "keeper";

/// How long a shutdown waits for the disk before it abandons the thread.
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

/// Waits for what is to be written next; `None`: the thread is to end.
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
