//! Tenants at this controller: its own administration ([`desk`]), or another's that it follows ([`follow`]).
//! Both run on threads of their own and tell the controller what has changed, in order.

#![forbid(unsafe_code)]

mod changes;
mod desk;
pub mod endpoint;
mod follow;
pub mod kept;
mod keys;
mod lending;
mod marks;
mod mirror;
mod peers;
mod records;
pub mod trail;

use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nettleferry_admin::Response;
use nettleferry_admin::api::{Usage, Worker};
use nettleferry_config::settings::{
    AdminKey, AdminSettings, Administration, FollowerSettings, LeaderSettings, SnapshotServer,
};
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_net::http1::{Reply, Stop};
use nettleferry_tenancy::{Entry, Revision};
use tracing::warn;

use crate::endpoint::Endpoint;
pub use lending::{Demand, Lent, MOST_ROWS as MOST_DEMANDS};
use marks::Applied;
pub use peers::Whole;
pub use records::OWN as ADMINISTRATION;

pub use keys::make as make_key;

/// What the controller is told.
#[derive(Debug)]
pub enum Told {
    /// A change, in order.
    Changed(Box<Entry>),
    /// Everything: what is not in it is gone.
    Began(Box<Whole>),
    /// Workers drained by hand, all of them.
    Drained(BTreeSet<String>),
    /// What was told before is to be in force when this mark is given back.
    Mark(u64),
    /// Between these two moments the clock of this life of the administration read so many milliseconds.
    Heard { asked: Instant, answered: Instant, by: u64, at: u64 },
    /// A lease: with all that was told before, it may act until then.
    Leased { until: Instant, place: u64 },
    /// It was shut out.
    Fenced,
    /// What it may use of limits beyond its reserves, until then.
    Lent { until: Instant, loans: Vec<Lent> },
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
    /// What the administration knows of lives on its roll: behind the book, shut out; and whether it is open which
    /// book stands.
    pub lives_behind: usize,
    /// See `lives_behind`.
    pub lives_fenced: usize,
    /// See `lives_behind`.
    pub book_waits: bool,
    /// What could be used of limits, where loans are given, and when that was measured.
    pub demands: Vec<Demand>,
    /// See `demands`.
    pub measured: Option<Instant>,
}

impl Shown {
    /// What could be used, as measured lately; what was measured long ago, by a controller without calls, is nothing.
    fn demands(&self) -> Vec<Demand> {
        let fresh = self.measured.is_some_and(|at| at.elapsed() < DEMAND_AGE);
        self.demands
            .iter()
            .map(|d| Demand { demand: if fresh { d.demand } else { 0.0 }, ..d.clone() })
            .collect()
    }
}

/// A demand that was measured longer ago is none.
const DEMAND_AGE: Duration = Duration::from_secs(2);

/// Controllers that follow whose word is kept; more are not told of.
const MOST_FOLLOWERS: usize = 1_024;
/// A snapshot is written beside the store so long after a change at the latest.
const SNAPSHOT_EVERY: Duration = Duration::from_secs(1);

/// The thread; it ends when this is dropped.
pub struct Desk {
    /// Where it listens; `None`: it follows another, and gives its book to nobody.
    pub local: Option<SocketAddr>,
    /// What it begins with; `None`: no book is held yet.
    pub book: Option<Whole>,
    told: Receiver<Told>,
    shown: Arc<Mutex<Shown>>,
    applied: Applied,
    ender: Ender,
    thread: Option<JoinHandle<()>>,
    _window: Option<Endpoint>,
}

enum Ender {
    Own(Stop),
    Follow(Arc<std::sync::atomic::AtomicBool>, Arc<mio::Waker>),
}

impl Desk {
    /// Starts what the settings say.
    pub fn start(
        admin: &AdminSettings,
        (number, of, longest): (u32, u32, u64),
        waker: Arc<mio::Waker>,
        held: Option<crate::trail::Shared>,
    ) -> io::Result<Self> {
        match &admin.administration {
            Administration::Leader(LeaderSettings {
                listen,
                store,
                keys,
                peers,
                peer_key,
                lease,
                required_replicas,
            }) => {
                let (peer_key, held_by) = (peer_key.as_deref(), *required_replicas);
                let lease = lease.map(|span| span / 1000);
                let records = held.is_some();
                let terms = LoanConfig { controllers: of, reserve: admin.reserve };
                let around = desk::Rest {
                    number,
                    waker,
                    peers,
                    peer_key,
                    lease,
                    held_by,
                    records,
                    held,
                    terms,
                    longest,
                };
                Self::own(*listen, store, keys, around)
            }
            Administration::Follower(FollowerSettings {
                leader,
                key_file,
                snapshot_file,
                snapshot_server,
                peers,
                without_lease,
            }) => {
                let ends = without_lease.rejects;
                let shown = Arc::default();
                let borrows = (admin.reserve < 1.0).then(|| Arc::clone(&shown));
                let whom =
                    follow::Whom { to: *leader, key_file, kept: snapshot_file, peers, ends, held, borrows };
                Self::follow(&whom, snapshot_server.as_ref(), number, waker, shown)
            }
        }
    }

    fn follow(
        whom: &follow::Whom,
        window: Option<&SnapshotServer>,
        number: u32,
        waker: Arc<mio::Waker>,
        shown: Arc<Mutex<Shown>>,
    ) -> io::Result<Self> {
        let (telling, told) = channel();
        let tell = move |news| {
            let _ = telling.send(news);
            let _ = waker.wake();
        };
        let mirror = peers::Mirror::default();
        let mut work = follow::Follow::new(whom, number, Arc::clone(&mirror), tell)?;
        let window = window
            .map(|SnapshotServer { listen, keys }| mirror::start(*listen, keys, number, mirror))
            .transpose()?;
        let (book, local) = (work.book(), window.as_ref().map(|window| window.local));
        let (ender, applied) = (Ender::Follow(work.ended(), work.waker()), work.applied());
        let thread = std::thread::Builder::new().name("follow".to_owned()).spawn(move || {
            if let Err(error) = work.run() {
                warn!(%error, "following the administration has ended: tenants stay as they are");
            }
        })?;
        Ok(Self { local, book, told, shown, applied, ender, thread: Some(thread), _window: window })
    }

    fn own(listen: SocketAddr, store: &Path, keys: &[AdminKey], rest: desk::Rest) -> io::Result<Self> {
        let (telling, told) = channel();
        let desk::Started { local, book, shown, applied, stop, thread } =
            desk::start(listen, store, keys, rest, telling)?;
        let ender = Ender::Own(stop);
        let (local, thread) = (Some(local), Some(thread));
        Ok(Self { local, book, told, shown, applied, ender, thread, _window: None })
    }

    /// What was told since the last time, in order.
    pub fn told(&self) -> impl Iterator<Item = Told> + '_ {
        self.told.try_iter()
    }

    /// All that was told before this mark is in force.
    pub fn applied(&self, mark: u64) {
        self.applied.store(mark, std::sync::atomic::Ordering::Release);
        match &self.ender {
            Ender::Own(stop) => stop.wake(),
            Ender::Follow(_, waker) => _ = waker.wake(),
        }
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

/// The span of leases, kept beside a store.
fn lease_path(store: &Path) -> PathBuf {
    store.with_extension("lease")
}

fn lock<T>(what: &Mutex<T>) -> MutexGuard<'_, T> {
    what.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The token of a key file.
fn token(file: &Path) -> io::Result<String> {
    Ok(std::fs::read_to_string(file)?.trim().to_owned())
}

fn reply(response: Response) -> Reply {
    let Response { status, content_type: kind, headers, body } = response;
    Reply { status, kind, headers, body: body.into_bytes(), cut: None }
}
