//! A stand-in worker on sockets: the published service around the worker model, in a thread of its own. Faults
//! are told to it; what its sockets see is recorded.
//!
//! * [`fault`]: faults and what they do. [`observation`]: what is recorded. [`request`]: what comes in.
//!   [`response`]: what goes out.

mod fault;
mod observation;
mod request;
mod response;

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nettleferry_net::{ConnKey, Hub, ListenerKey, NetLimits, StreamKey};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::models::Answer;
use crate::spec::Spec;
use crate::store::{Micros, Store};
use crate::worker::{CallNo, Load, Worker};
pub use fault::Fault;
pub use observation::{Record, Seen};

/// Most past loads kept for late reports.
const MOST_HISTORY: usize = 4096;

/// How a stand-in starts.
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where it listens; more than one door lets links be cut.
    pub doors: Vec<SocketAddr>,
    /// What it is.
    pub spec: Spec,
    /// The store it shares.
    pub store: Arc<Mutex<Store>>,
    /// Zero of the records' clock.
    pub epoch: Instant,
    /// Where records go.
    pub records: Option<Sender<Record>>,
    /// It starts cold.
    pub cold: bool,
    /// For its chance.
    pub seed: u64,
}

/// A running stand-in.
pub struct Handle {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub doors: Vec<SocketAddr>,
    faults: Sender<Fault>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Tells it a fault.
    pub fn tell(&self, fault: Fault) {
        // A thread that has ended suffers nothing more.
        let _ = self.faults.send(fault);
        let _ = self.waker.wake();
    }

    /// Ends its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.tell(Fault::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end();
    }
}

/// Starts a stand-in in a thread of its own; it listens when this returns.
pub fn spawn(options: Options) -> io::Result<Handle> {
    let (faults, told) = channel();
    let (ready, answer) = channel();
    let name = options.name.clone();
    // Connections live where they are polled: the hub is made in its thread.
    let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
        let mut server = match Server::new(options, told) {
            Ok(server) => server,
            Err(error) => {
                let _ = ready.send(Err(error));
                return;
            }
        };
        let _ = ready.send(Ok((server.addresses.clone(), server.hub.waker())));
        if let Err(error) = server.run() {
            eprintln!("stand-in {}: {error}", server.options.name);
        }
    })?;
    let (doors, waker) = answer.recv().map_err(|_| io::Error::other("the stand-in's thread ended"))??;
    Ok(Handle { name, doors, faults, waker, thread: Some(thread) })
}

struct Rpc {
    conn: ConnKey,
    method: String,
    controller: String,
    /// A later life of its controller was seen before it came.
    fenced: bool,
    attempt: Option<u32>,
    answered: bool,
    half_closed: bool,
    pending: u32,
    sent: u32,
}

struct Call {
    stream: StreamKey,
    answer: Answer,
    streamed: bool,
    /// Parts that are worked out, and parts that are sent.
    ready: usize,
    sent: usize,
}

struct Server {
    options: Options,
    hub: Hub,
    addresses: Vec<SocketAddr>,
    listeners: Vec<ListenerKey>,
    told: Receiver<Fault>,
    worker: Option<Worker>,
    random: ChaCha8Rng,
    rpcs: BTreeMap<StreamKey, Rpc>,
    /// The latest life seen of each controller.
    fences: BTreeMap<String, u64>,
    calls: BTreeMap<CallNo, Call>,
    orders: BTreeMap<u64, StreamKey>,
    next: u64,
    history: VecDeque<(Micros, Load)>,
    thaw: VecDeque<(Micros, ConnKey, usize)>,
    silent: bool,
    refuse: bool,
    fail_fast: f64,
    hang: Option<String>,
    slow: f64,
    late: Micros,
    cut_after: Option<u32>,
    half_frame: bool,
    slow_handshake: Micros,
    mended: bool,
}

impl Server {
    fn new(options: Options, told: Receiver<Fault>) -> io::Result<Self> {
        let limits = NetLimits { idle: Duration::from_secs(300), ..NetLimits::default() };
        let mut server = Self {
            hub: Hub::new(limits)?,
            addresses: options.doors.clone(),
            listeners: Vec::new(),
            told,
            worker: None,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            rpcs: BTreeMap::new(),
            fences: BTreeMap::new(),
            calls: BTreeMap::new(),
            orders: BTreeMap::new(),
            next: 0,
            history: VecDeque::new(),
            thaw: VecDeque::new(),
            silent: false,
            refuse: false,
            fail_fast: 0.0,
            hang: None,
            slow: 1.0,
            late: 0,
            cut_after: None,
            half_frame: false,
            slow_handshake: 0,
            mended: false,
            options,
        };
        let cold = server.options.cold;
        server.rise(cold)?;
        Ok(server)
    }

    /// Microseconds since the epoch of the observations.
    fn now(&self) -> Micros {
        self.options.epoch.elapsed().as_micros() as Micros
    }

    /// Records an observation.
    fn see(&self, seen: Seen) {
        if let Some(records) = &self.options.records {
            let _ = records.send(Record { at: self.now(), worker: self.options.name.clone(), seen });
        }
    }

    /// Starts listening, with an empty worker model.
    fn rise(&mut self, cold: bool) -> io::Result<()> {
        self.listeners.clear();
        for address in &mut self.addresses {
            let (key, local) = self.hub.listen(*address)?;
            *address = local;
            self.listeners.push(key);
        }
        self.worker = Some(Worker::new(self.options.spec.clone(), self.now(), cold));
        self.see(Seen::Up { cold });
        Ok(())
    }

    /// Closes all sockets and loses all state, as a process that dies.
    fn die(&mut self, seen: Seen) {
        self.see(seen);
        let store = Arc::clone(&self.options.store);
        if let Some(mut worker) = self.worker.take() {
            worker.let_go(&mut lock(&store));
        }
        for listener in std::mem::take(&mut self.listeners) {
            for conn in self.hub.accepted_at(listener) {
                self.hub.close(conn);
            }
        }
        self.hub.stop_listening();
        self.calls.clear();
        self.orders.clear();
        self.history.clear();
        self.silent = false;
    }

    /// Handles events and faults until it is told to stop.
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let now = self.now();
            let next = self.worker.as_ref().filter(|_| !self.silent).and_then(Worker::next);
            let thaw = self.thaw.front().map(|(at, ..)| *at);
            let next = if self.mended { Some(now) } else { [next, thaw].into_iter().flatten().min() };
            let wait = next.map(|at| Duration::from_micros(at.saturating_sub(now)));
            self.hub.poll(wait, &mut events)?;
            while let Ok(fault) = self.told.try_recv() {
                if fault == Fault::Stop {
                    return Ok(());
                }
                self.suffer(fault)?;
            }
            for event in events.drain(..) {
                self.event(event);
            }
            self.thaw_due();
            // What a link that was mended holds is read before anything more is worked out or answered: the
            // order at the socket is the order sent.
            if !std::mem::take(&mut self.mended) {
                self.pass();
            }
        }
    }

    /// Lets the worker model go on to the present.
    fn pass(&mut self) {
        let now = self.now();
        let store = Arc::clone(&self.options.store);
        let Some(worker) = self.worker.as_mut().filter(|_| !self.silent) else { return };
        let mut done = Vec::new();
        worker.pass(now, &mut lock(&store), &mut done);
        if self.late > 0 {
            self.history.push_back((now, worker.load()));
            if self.history.len() > MOST_HISTORY {
                self.history.pop_front();
            }
        }
        self.done(done);
    }

    /// Reads again from connections whose handshake was delayed for long enough.
    fn thaw_due(&mut self) {
        let now = self.now();
        while let Some((_, conn, door)) = self.thaw.front().copied().filter(|(at, ..)| *at <= now) {
            self.thaw.pop_front();
            self.hub.freeze(conn, false);
            self.see(Seen::Link { door, conn: Some(conn.number()), cut: false });
            self.mended = true;
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    // A store is whole between any two statements of its methods.
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
