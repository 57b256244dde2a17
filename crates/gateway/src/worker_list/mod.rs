//! Watches the worker list in a separate thread, so that the thread that answers calls never waits for a disk. Any
//! other source of workers would have to produce [`ListUpdate`]s too.
//!
//! * [`mod@file`]: reads the list file, and persists the last valid list for the next incarnation.

mod file;

use std::collections::BTreeMap;
use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, Instant};

use nettleferry::{ListForm, Micros, WorkerState};
use nettleferry_config::Worker;
use nettleferry_engine::Member;
use nettleferry_net::clock;
use tracing::warn;

use file::ListFile;

/// A worker list that was read, or the failure to read one.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// Whether the list was read now, restored from the previous incarnation, or could not be read.
    pub form: ListForm,
    /// The listed workers; empty where the list could not be read.
    pub workers: Vec<Worker>,
}

/// Location of the worker list, and how often it is checked.
#[derive(Debug)]
pub(crate) struct ListSource {
    /// Path of the list file.
    pub path: PathBuf,
    /// Path of the file that persists the list for the next start; `None`: it is not persisted.
    pub persisted: Option<PathBuf>,
    /// Time between two checks of the file, microseconds.
    pub check_interval: Micros,
}

/// Maximum number of events that wait for the controller. The watcher blocks when it has one more.
const PENDING_UPDATES: usize = 4;
/// Maximum time that startup waits for the first read of the list; after that it continues without one.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);

enum WatchEvent {
    Update(ListUpdate),
    /// The first attempt to read the file is over, whether or not it succeeded.
    FirstRead,
}

/// Handle of the thread that watches the worker list. Dropping it ends the thread.
pub(crate) struct ListWatcher {
    events: Receiver<WatchEvent>,
    requests: Sender<()>,
    rejected: Arc<AtomicU64>,
}

impl ListWatcher {
    /// Starts the thread. It calls `wake` after each event, so that the controller reads it. Fails where the system
    /// cannot start a thread.
    pub(crate) fn start(source: ListSource, wake: impl Fn() + Send + 'static) -> io::Result<Self> {
        let (event_sender, events) = sync_channel(PENDING_UPDATES);
        let (requests, request_receiver) = channel();
        let rejected = Arc::new(AtomicU64::new(0));
        let rejected_by_file = Arc::clone(&rejected);
        let check_interval = Duration::from_micros(source.check_interval);
        let watch = move || {
            let mut file = ListFile::new(source.path, source.persisted, rejected_by_file);
            watch(&mut file, check_interval, &event_sender, &request_receiver, wake);
        };
        std::thread::Builder::new().name("list".to_owned()).spawn(watch)?;
        Ok(Self { events, requests, rejected })
    }

    /// Returns the updates that arrived since the last call, in order.
    pub(crate) fn updates(&self) -> Vec<ListUpdate> {
        let update = |event| match event {
            WatchEvent::Update(update) => Some(update),
            WatchEvent::FirstRead => None,
        };
        self.events.try_iter().filter_map(update).collect()
    }

    /// Waits until the list was read for the first time, or for [`FIRST_READ_TIMEOUT`]. Returns the updates until then.
    pub(crate) fn initial_updates(&self) -> Vec<ListUpdate> {
        let deadline = Instant::now() + FIRST_READ_TIMEOUT;
        let mut updates = Vec::new();
        loop {
            match self.events.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(WatchEvent::Update(update)) => updates.push(update),
                Ok(WatchEvent::FirstRead) | Err(RecvTimeoutError::Disconnected) => return updates,
                Err(RecvTimeoutError::Timeout) => {
                    warn!("worker list not read in time, starting without it");
                    return updates;
                }
            }
        }
    }

    /// Requests an update with the complete list, changed or not, or with [`ListForm::Failed`].
    pub(crate) fn request_update(&self) {
        // Fails only where the watcher has ended; the last list then stays in force.
        let _ = self.requests.send(());
    }

    /// Number of times since the start that the list file was found invalid or unreadable.
    pub(crate) fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// Restores the persisted list, then reads the file at each interval and request. Returns once the [`ListWatcher`] is
/// dropped.
fn watch(
    file: &mut ListFile,
    check_interval: Duration,
    events: &SyncSender<WatchEvent>,
    requests: &Receiver<()>,
    wake: impl Fn(),
) {
    let send = |event| {
        let received = events.send(event).is_ok();
        wake();
        received
    };
    if let Some(update) = file.restore(clock::wall() / 1000)
        && !send(WatchEvent::Update(update))
    {
        return;
    }
    let (mut is_first, mut requested) = (true, false);
    loop {
        if let Some(update) = file.read(requested)
            && !send(WatchEvent::Update(update))
        {
            return;
        }
        if std::mem::take(&mut is_first) && !send(WatchEvent::FirstRead) {
            return;
        }
        requested = match requests.recv_timeout(check_interval) {
            Ok(()) => true,
            Err(RecvTimeoutError::Timeout) => false,
            Err(RecvTimeoutError::Disconnected) => return,
        };
    }
}

/// Converts the list for the engine, without workers that are marked as gone. Where a name is listed twice, the last
/// entry counts.
pub(crate) fn members(workers: &[Worker]) -> Vec<Member> {
    let by_name: BTreeMap<&str, &Worker> =
        workers.iter().map(|worker| (worker.name.as_str(), worker)).collect();
    by_name.into_values().filter(|worker| worker.state != WorkerState::Gone).map(member).collect()
}

fn member(worker: &Worker) -> Member {
    Member {
        name: worker.name.clone(),
        zone: worker.zone.clone(),
        kind: worker.kind.clone(),
        weight: worker.weight,
        cell: worker.cell.clone(),
        state: worker.state,
        started_at: worker.started_at,
    }
}
