//! Sends the metrics by Prometheus remote write, in a separate thread, so that it cannot delay calls.
//! `nettleferry-remote-write` decides what is queued, sent, dropped and retried, and `nettleferry-wal` stores samples
//! so that they survive a crash. This module connects them to the clock, the disk and the network.
//!
//! In each round the registry is sampled. The samples are written to the write-ahead log, as one record or several, and
//! then offered to the queue. A record is acknowledged when the last of its samples has left the queue.
//!
//! At startup, samples of unacknowledged records are offered again with their original times and values. The series of
//! the previous incarnation, which are in the roster of the log (records without samples), get a staleness marker. New
//! rounds then begin with a new created timestamp. No samples are written for the time in between. A graceful shutdown
//! writes a last round and the staleness markers, and tries to send them until a timeout.
//!
//! * [`write_loop`]: the loop of the thread. [`log`]: the write-ahead log. [`series`]: the known series.
//! * [`sample`]: samples and their values. [`response`]: interprets responses of the receiver.

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

/// Handle of the remote-write thread. Dropping it flushes the last samples and waits for the thread to end;
/// [`RemoteWriter::abandon`] ends it without a flush.
pub(crate) struct RemoteWriter {
    stop: Arc<AtomicBool>,
    /// Set where the thread is to end without a flush.
    abandoned: Arc<AtomicBool>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl RemoteWriter {
    /// Starts the thread.
    ///
    /// # Errors
    /// Where the write-ahead log cannot be opened, as samples would not survive a crash then, or where the thread or
    /// its HTTP client cannot be started.
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

    /// Ends the thread without a flush. The next incarnation sends the unacknowledged samples and writes the staleness
    /// markers.
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
