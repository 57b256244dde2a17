//! The thread that keeps for those who may not wait for a disk. Only the newest version matters: what is put while
//! an older one waits takes its place, so that one record waits at the most.

use std::io;
use std::path::Path;
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::record_file::{Found, RecordFile};
use crate::storage::Storage;

/// What came of what was put.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Records put.
    pub submitted: u64,
    /// Written and durable.
    pub written: u64,
    /// Never written, as a newer one came first.
    pub superseded: u64,
    /// The disk refused them.
    pub failed: u64,
}

#[derive(Default)]
struct Queue {
    waiting: Option<Vec<u8>>,
    busy: bool,
    ended: bool,
    counters: Counters,
    /// Which put is being written, and the last one that is durable, as [`Counters::put`] counts them.
    writing: u64,
    durable: u64,
}

#[derive(Default)]
struct Shared {
    queue: Mutex<Queue>,
    /// Something was put, or the end is wanted.
    bell: Condvar,
    /// Nothing waits and nothing is being written.
    rest: Condvar,
}

impl Shared {
    // Held for a few moves of memory, never over a disk: to wait for it is not to wait for a disk.
    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The thread.
pub struct RecordWriter {
    shared: Arc<Shared>,
    found: Receiver<io::Result<Found>>,
    thread: Option<JoinHandle<()>>,
}

impl RecordWriter {
    /// Starts the thread, which opens the place. `told` hears, on the keeper's thread, what became of each write.
    pub fn start<F: Storage + 'static>(
        mut files: F,
        path: &Path,
        told: impl Fn(io::Result<u64>) + Send + 'static,
    ) -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let (ours, path) = (Arc::clone(&shared), path.to_owned());
        let (finding, found) = channel();
        let work = move || {
            // Whoever did not wait for what was found wants it no more.
            let mut keep = match RecordFile::open(&files, &path) {
                Ok((keep, held)) => {
                    let _ = finding.send(Ok(held));
                    Some(keep)
                }
                Err(error) => {
                    let _ = finding.send(Err(error));
                    None
                }
            };
            while let Some(payload) = next(&ours) {
                let result = match &mut keep {
                    Some(keep) => keep.write(&mut files, &payload),
                    None => Err(io::Error::other("the place could not be opened")),
                };
                {
                    let mut queue = ours.lock();
                    match &result {
                        Ok(_) => {
                            queue.counters.written += 1;
                            queue.durable = queue.writing;
                        }
                        Err(_) => queue.counters.failed += 1,
                    }
                }
                told(result);
            }
        };
        let thread = std::thread::Builder::new().name("keeper".to_owned()).spawn(work)?;
        Ok(Self { shared, found, thread: Some(thread) })
    }

    /// What the place held at the start. Waits so long for the disk: `Ok(None)`.
    pub fn found(&self, most: Duration) -> io::Result<Option<Found>> {
        match self.found.recv_timeout(most) {
            Ok(found) => found.map(Some),
            Err(_) => Ok(None),
        }
    }

    /// Keeps these bytes, in time. Never waits for a disk. Which put this is, for [`RecordWriter::durable`].
    pub fn submit(&self, payload: Vec<u8>) -> u64 {
        let mut queue = self.shared.lock();
        queue.counters.submitted += 1;
        let put = queue.counters.submitted;
        if queue.waiting.replace(payload).is_some() {
            queue.counters.superseded += 1;
        }
        drop(queue);
        self.shared.bell.notify_one();
        put
    }

    /// The last put that is durable: it, or a newer one in its place. 0: none.
    pub fn durable(&self) -> u64 {
        self.shared.lock().durable
    }

    /// What came of what was put.
    pub fn counters(&self) -> Counters {
        self.shared.lock().counters
    }

    /// Waits until all that was put is durable, or the span is over: false.
    pub fn flush(&self, most: Duration) -> bool {
        let until = Instant::now() + most;
        let mut queue = self.shared.lock();
        while queue.busy || queue.waiting.is_some() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            queue = self.shared.rest.wait_timeout(queue, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        true
    }
}

/// An ordered end waits so long for a disk, and then leaves the thread to it.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

impl Drop for RecordWriter {
    fn drop(&mut self) {
        let settled = self.flush(SHUTDOWN_TIMEOUT);
        self.shared.lock().ended = true;
        self.shared.bell.notify_one();
        if let Some(thread) = self.thread.take().filter(|_| settled) {
            let _ = thread.join();
        }
    }
}

/// What is to be written next; `None`: the end.
fn next(shared: &Shared) -> Option<Vec<u8>> {
    let mut queue = shared.lock();
    queue.busy = false;
    loop {
        if let Some(newest) = queue.waiting.take() {
            queue.busy = true;
            queue.writing = queue.counters.submitted;
            return Some(newest);
        }
        shared.rest.notify_all();
        if queue.ended {
            return None;
        }
        queue = shared.bell.wait(queue).unwrap_or_else(PoisonError::into_inner);
    }
}
