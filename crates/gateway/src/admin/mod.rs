//! The administration's thread: the API on its own listener, the store, and word of changes to the controller.
//! What is answered is decided by `nettleferry-admin`; here it is wired to the socket, the disk and the clock.

mod follow;
mod keys;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nettleferry_admin::api::{Api, Keep, Live, MOST_BODY, Running, Usage, Worker};
use nettleferry_admin::{Answer, Request, Response};
use nettleferry_config::settings::{Admin, AdminKey, Desk as Whose};
use nettleferry_net::http1::{self, Http1, Http1Limits, Reply, Stop, Turn};
use nettleferry_tenancy::{Book, Entry, Once, Revision, Tenant};
use nettleferry_tenant_store::{Snapshot, Store};
use tracing::{error, info, warn};

pub use keys::make as make_key;

use nettleferry_net::clock;

/// What the controller is told.
#[derive(Debug)]
pub enum Told {
    /// A change, in order.
    Changed(Box<Entry>),
    /// Everything: what is not in it is gone.
    Began(Book),
    /// Workers drained by hand, all of them.
    Drained(BTreeSet<String>),
}

/// What the controller tells.
#[derive(Debug, Default)]
pub struct Shown {
    /// The revision in force.
    pub revision: Revision,
    /// Tenants' calls, by uid.
    pub usage: HashMap<Revision, Usage>,
    /// Workers.
    pub workers: Vec<Worker>,
}

/// Controllers that follow whose word is kept; more are not told of.
const MOST_FOLLOWERS: usize = 1_024;
/// A snapshot is written beside the store so long after a change at the latest.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1);

/// The thread; it ends when this is dropped.
pub struct Desk {
    /// Where it listens; `None`: it follows another.
    pub local: Option<SocketAddr>,
    /// What it begins with.
    pub book: Book,
    told: Receiver<Told>,
    shown: Arc<Mutex<Shown>>,
    ender: Ender,
    thread: Option<JoinHandle<()>>,
}

enum Ender {
    Own(Stop),
    Follow(Arc<std::sync::atomic::AtomicBool>, Arc<mio::Waker>),
}

impl Desk {
    /// Starts what the settings say.
    pub fn start(admin: &Admin, number: u32, waker: Arc<mio::Waker>) -> io::Result<Self> {
        match &admin.desk {
            Whose::Own { listen, store, keys } => Self::own(*listen, store, keys, number, waker),
            Whose::Follow { to, key_file, kept } => Self::follow(*to, key_file, kept, number, waker),
        }
    }

    fn follow(
        to: SocketAddr,
        key_file: &Path,
        kept: &Path,
        number: u32,
        waker: Arc<mio::Waker>,
    ) -> io::Result<Self> {
        let (telling, told) = channel();
        let tell = move |news| {
            let _ = telling.send(news);
            let _ = waker.wake();
        };
        let mut work = follow::Follow::new(to, key_file, kept, number, tell)?;
        let book = work.book().clone();
        let ender = Ender::Follow(work.ended(), work.waker());
        let thread = std::thread::Builder::new().name("follow".to_owned()).spawn(move || {
            if let Err(error) = work.run() {
                warn!(%error, "following the administration has ended: tenants stay as they are");
            }
        })?;
        Ok(Self { local: None, book, told, shown: Arc::default(), ender, thread: Some(thread) })
    }

    /// Opens the store and listens. A damaged store is told and left as it is: the last good snapshot
    /// serves, and nothing can be changed until an operator has restored it.
    fn own(
        listen: SocketAddr,
        store: &Path,
        keys: &[AdminKey],
        number: u32,
        waker: Arc<mio::Waker>,
    ) -> io::Result<Self> {
        let beside = snapshot_path(store);
        let (store, book, read_only) = match Store::open(store) {
            Ok((store, book)) => (Some(store), book, None),
            Err(why) => {
                error!(%why, "the tenant store can't be used: the last good snapshot serves, changes are refused");
                let book = match Snapshot::read(&beside) {
                    Ok(snapshot) => snapshot.book(),
                    Err(none) => {
                        error!(%none, "there is no good snapshot either: there are no tenants");
                        Book::default()
                    }
                };
                (None, book, Some(why.to_string()))
            }
        };
        let identity = store.as_ref().and_then(|s| s.identity().ok()).unwrap_or_else(|| "damaged".to_owned());
        info!(revision = book.revision(), tenants = book.tenants().len(), "tenants");
        let limits = Http1Limits { body_bytes: MOST_BODY, ..Http1Limits::default() };
        let mut server = Http1::bind(listen, limits)?;
        let (local, stop) = (server.local()?, server.stop());
        let (telling, told) = channel();
        let shown = Arc::new(Mutex::new(Shown::default()));
        let mut work = Work {
            api: Api::new(book.clone(), Kept(store), identity, read_only),
            keys: keys::Keys::new(keys),
            around: Around {
                number,
                shown: Arc::clone(&shown),
                telling,
                waker,
                drained: BTreeSet::new(),
                followers: HashMap::new(),
            },
            beside,
            written: book.revision(),
            write_at: None,
            told: book.revision(),
            wake: stop.clone(),
        };
        let thread = std::thread::Builder::new().name("admin".to_owned()).spawn(move || {
            let work = std::cell::RefCell::new(&mut work);
            let ended = server.run_waiting(
                |request, waited| work.borrow_mut().answer(request, waited),
                || work.borrow_mut().tick(),
            );
            work.borrow_mut().write_snapshot();
            if let Err(error) = ended {
                warn!(%error, "the administration has ended");
            }
        })?;
        Ok(Self { local: Some(local), book, told, shown, ender: Ender::Own(stop), thread: Some(thread) })
    }

    /// What was told since the last time, in order.
    pub fn told(&self) -> impl Iterator<Item = Told> + '_ {
        self.told.try_iter()
    }

    /// What is shown of the controller, to be brought up to date.
    pub fn shown(&self) -> MutexGuard<'_, Shown> {
        lock(&self.shown)
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        match &self.ender {
            Ender::Own(stop) => stop.stop(),
            Ender::Follow(ended, waker) => {
                ended.store(true, std::sync::atomic::Ordering::Release);
                let _ = waker.wake();
            }
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The snapshot beside a store.
pub fn snapshot_path(store: &Path) -> PathBuf {
    store.with_extension("snapshot")
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The store, or none where it is damaged.
struct Kept(Option<Store>);

impl Keep for Kept {
    fn commit(&mut self, entry: &Entry, once: Option<(&str, &Once)>) -> Result<(), String> {
        let store = self.0.as_mut().ok_or("the tenant store can't be used")?;
        store.commit(entry, once).map_err(|e| e.to_string())
    }

    fn once(&self, key: &str) -> Result<Option<Once>, String> {
        let Some(store) = &self.0 else { return Ok(None) };
        store.once(key).map_err(|e| e.to_string())
    }

    fn audit(&self, after: Revision, most: usize, of: Option<&str>) -> Result<Vec<Entry>, String> {
        let store = self.0.as_ref().ok_or("the tenant store can't be used: its audit trail can't be read")?;
        store.audit(after, most, of).map_err(|e| e.to_string())
    }
}

struct Around {
    number: u32,
    shown: Arc<Mutex<Shown>>,
    telling: Sender<Told>,
    waker: Arc<mio::Waker>,
    drained: BTreeSet<String>,
    followers: HashMap<u32, (Revision, Instant)>,
}

impl Around {
    fn tell(&self, told: Told) {
        // A controller that has ended wants to know nothing more.
        let _ = self.telling.send(told);
        let _ = self.waker.wake();
    }
}

impl Live for Around {
    fn usage(&self, tenant: &Tenant) -> Usage {
        let none = || Usage { tenant: tenant.name.clone(), uid: tenant.uid, ..Usage::default() };
        lock(&self.shown).usage.get(&tenant.uid).cloned().unwrap_or_else(none)
    }

    fn workers(&self) -> Vec<Worker> {
        let mut workers = lock(&self.shown).workers.clone();
        for worker in &mut workers {
            worker.drained = self.drained.contains(&worker.name);
        }
        workers
    }

    fn drain(&mut self, worker: &str, drained: bool) -> bool {
        if !lock(&self.shown).workers.iter().any(|w| w.name == worker) {
            return false;
        }
        let changed =
            if drained { self.drained.insert(worker.to_owned()) } else { self.drained.remove(worker) };
        if changed {
            self.tell(Told::Drained(self.drained.clone()));
        }
        true
    }

    fn controllers(&self) -> Vec<Running> {
        let ours = Running { controller: self.number, revision: lock(&self.shown).revision, seen_ms_ago: 0 };
        let others = self.followers.iter().map(|(number, (revision, seen))| Running {
            controller: *number,
            revision: *revision,
            seen_ms_ago: seen.elapsed().as_millis() as u64,
        });
        let mut all: Vec<Running> = others.chain([ours]).collect();
        all.sort_by_key(|r| r.controller);
        all
    }

    fn follows(&mut self, controller: u32, revision: Revision) {
        if self.followers.len() < MOST_FOLLOWERS || self.followers.contains_key(&controller) {
            self.followers.insert(controller, (revision, Instant::now()));
        }
    }
}

struct Work {
    api: Api<Kept>,
    keys: keys::Keys,
    around: Around,
    beside: PathBuf,
    /// The revision of the snapshot beside the store, and when the next one is due.
    written: Revision,
    write_at: Option<Instant>,
    /// The revision that the controller was told.
    told: Revision,
    wake: Stop,
}

impl Work {
    fn answer(&mut self, request: &http1::Request<'_>, waited: Duration) -> Turn {
        let caller = match self.keys.prove(request.header("authorization")) {
            Ok(caller) => caller,
            Err(problem) => return Turn::Reply(reply(problem.response())),
        };
        let kind = request.header("content-type").map(|k| k.split(';').next().unwrap_or("").trim());
        let asked = Request {
            method: request.method,
            target: request.target,
            kind,
            if_match: request.header("if-match"),
            once: request.header("idempotency-key"),
            body: request.body,
        };
        let now = clock::wall() / 1000;
        let answer = self.api.answer(&asked, &caller, &mut self.around, now, waited);
        self.spread();
        match answer {
            Answer::Now(response) => Turn::Reply(reply(response)),
            Answer::Later(span) => Turn::Wait(span),
        }
    }

    /// Tells the controller, and those who wait, what has changed.
    fn spread(&mut self) {
        if self.told == self.api.book().revision() {
            return;
        }
        match self.api.entries(self.told) {
            Ok(entries) => {
                for entry in entries {
                    info!(revision = entry.revision, who = %entry.who, action = ?entry.action, tenant = %entry.tenant, "tenants changed");
                    self.told = entry.revision;
                    self.around.tell(Told::Changed(Box::new(entry)));
                }
            }
            Err(why) => warn!(%why, "changes can't be read back"),
        }
        self.wake.wake();
        self.write_at.get_or_insert_with(|| Instant::now() + SNAPSHOT_EVERY);
    }

    /// What is due; when it wants to be asked again.
    fn tick(&mut self) -> Option<Duration> {
        let now = clock::wall() / 1000;
        self.api.sweep(now);
        self.spread();
        if self.write_at.is_some_and(|at| at <= Instant::now()) {
            self.write_snapshot();
        }
        let grace = self.api.book().next_due().map(|at| Duration::from_millis(at.saturating_sub(now).max(1)));
        let write = self.write_at.map(|at| at.saturating_duration_since(Instant::now()));
        [grace, write].into_iter().flatten().min()
    }

    fn write_snapshot(&mut self) {
        self.write_at = None;
        let book = self.api.book();
        if book.revision() == self.written {
            return;
        }
        match Snapshot::of(book).write(&self.beside) {
            Ok(()) => self.written = book.revision(),
            Err(error) => warn!(%error, "the snapshot beside the store can't be written"),
        }
    }
}

fn reply(response: Response) -> Reply {
    let Response { status, kind, headers, body } = response;
    Reply { status, kind, headers, body: body.into_bytes(), cut: None }
}
