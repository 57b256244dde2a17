//! The worker list, watched by a thread of its own: the thread that answers calls waits for no disk. Another source of
//! workers would give [`ListUpdate`]s as well.
//!
//! * [`mod@file`]: the list's file, and the persisted list of the incarnation before.

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

/// A new worker list.
#[derive(Debug)]
pub(crate) struct ListUpdate {
    /// Where it is from, and whether it is complete; without workers where the list can't be read.
    pub form: ListForm,
    /// The workers.
    pub workers: Vec<Worker>,
}

/// Where the worker list is, and how often it is checked.
#[derive(Debug)]
pub(crate) struct ListSource {
    /// The list's file.
    pub path: PathBuf,
    /// Where the list is persisted for the next start.
    pub persisted: Option<PathBuf>,
    /// How often the file is checked for changes.
    pub check_interval: Micros,
}

/// Updates that wait for the controller; the watcher blocks while there are more.
const PENDING_UPDATES: usize = 4;
/// How long a start waits for the first read of the list, before it goes on without it.
const FIRST_READ_TIMEOUT: Duration = Duration::from_secs(1);

enum WatchEvent {
    Update(ListUpdate),
    /// The file was read for the first time, or could not be.
    FirstRead,
}

/// Watches the worker list. Its thread ends when this is dropped.
pub(crate) struct ListWatcher {
    events: Receiver<WatchEvent>,
    requests: Sender<()>,
    rejected: Arc<AtomicU64>,
}

impl ListWatcher {
    /// Starts the thread, which calls `wake` after each update.
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

    /// Updates since the last call, in order.
    pub(crate) fn updates(&self) -> Vec<ListUpdate> {
        let update = |event| match event {
            WatchEvent::Update(update) => Some(update),
            WatchEvent::FirstRead => None,
        };
        self.events.try_iter().filter_map(update).collect()
    }

    /// Waits for the first read of the list, up to a timeout, and returns the updates until then.
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
        // A watcher that has ended can't be asked: the last list stays in force.
        let _ = self.requests.send(());
    }

    /// How many versions of the file were rejected.
    pub(crate) fn rejected(&self) -> u64 {
        self.rejected.load(Ordering::Relaxed)
    }
}

/// Reads the file at each interval and request, until nobody receives its events any more.
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

/// The list as the engine has it. A worker that is listed twice is in it once, as its last line says.
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
