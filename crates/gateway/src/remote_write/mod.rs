//! Sends the metrics by Prometheus remote write, in a thread that can't block calls. What is queued, sent, dropped and
//! retried is decided by `nettleferry-remote-write`; what survives a crash, by `nettleferry-wal`. Here they are wired to
//! the clock, the disk and the socket.
//!
//! A round: the registry is read, written to the write-ahead log as one record (or several, where it is long), and
//! offered to the queue. A record is acknowledged when the last of its samples has left the queue. At the start, what was
//! not acknowledged is offered again with its old times and values; the series of the last incarnation, which the log
//! keeps as a roster, a record without samples, get a staleness marker; then new rounds begin with a new created
//! timestamp. Nothing is written for the time in between. An incarnation that shuts down gracefully writes a last round
//! and the markers itself, and tries to send them for a while.
//!
//! * [`write_loop`]: the thread's loop. [`log`]: the write-ahead log. [`series`]: the known series. [`sample`]: values.
//! * [`response`]: what a receiver's response means.

mod log;
mod response;
mod sample;
mod series;
mod write_loop;

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;

use nettleferry_config::settings::RemoteWriteSettings;
use nettleferry_metrics::Metrics;
use tracing::warn;

use self::write_loop::WriteLoop;

/// The thread of remote write. Dropped, it shuts down gracefully; see [`RemoteWriter::abandon`].
pub(crate) struct RemoteWriter {
    stop: Arc<AtomicBool>,
    /// Nothing is flushed at the end.
    abandoned: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl RemoteWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the write-ahead log can't be opened: the settings ask for samples to survive a crash.
    pub(crate) fn start(settings: RemoteWriteSettings, metrics: Arc<Metrics>) -> io::Result<Self> {
        let mut write_loop = WriteLoop::new(settings, metrics)?;
        let (stop, abandoned) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let waker = write_loop.waker();
        let (stop_flag, abandoned_flag) = (Arc::clone(&stop), Arc::clone(&abandoned));
        let thread = std::thread::Builder::new().name("push".to_owned()).spawn(move || {
            if let Err(error) = write_loop.run(&stop_flag).and_then(|()| write_loop.flush(&abandoned_flag)) {
                warn!(%error, "remote write has ended");
            }
        })?;
        Ok(Self { stop, abandoned, waker, thread: Some(thread) })
    }

    /// Ends without a flush: the next incarnation sends what is not acknowledged, and closes the series.
    pub(crate) fn abandon(self) {
        self.abandoned.store(true, Ordering::Release);
    }
}

impl Drop for RemoteWriter {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Release);
        let _ = self.waker.wake();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
