//! A test worker on sockets: the published service around the worker model, in a thread of its own. Faults are injected
//! into it; what its sockets see is recorded.
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
use crate::worker::{CallNumber, LoadReport, OrderNumber, Worker};
pub use fault::Fault;
pub use observation::{Observation, ObservationKind};

/// Past loads that are remembered for stale reports, at the most.
const MAX_HISTORY: usize = 4096;

/// How a test worker starts.
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where it listens; several addresses allow links to be cut one by one.
    pub addresses: Vec<SocketAddr>,
    /// What it is.
    pub spec: Spec,
    /// The model store that it shares with others.
    pub store: Arc<Mutex<Store>>,
    /// Zero of the records' clock.
    pub epoch: Instant,
    /// Where records go.
    pub records: Option<Sender<Observation>>,
    /// It warms up after the start.
    pub cold: bool,
    /// Seed of its random numbers.
    pub seed: u64,
}

/// A running test worker; it ends when this is dropped.
pub struct Handle {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub addresses: Vec<SocketAddr>,
    faults: Sender<Fault>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Injects a fault.
    pub fn inject(&self, fault: Fault) {
        // A thread that has ended needs no fault.
        let _ = self.faults.send(fault);
        let _ = self.waker.wake();
    }

    /// Ends its thread.
    pub fn stop(mut self) {
        self.end();
    }

    fn end(&mut self) {
        self.inject(Fault::Stop);
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

/// Starts a test worker in a thread of its own; it listens when this returns.
///
/// # Errors
/// An address can't be listened on, or the system refuses a thread.
pub fn spawn(options: Options) -> io::Result<Handle> {
    let (faults, fault_receiver) = channel();
    let (ready, started) = channel();
    let name = options.name.clone();
    // Connections live where they are polled: the hub is made in its thread.
    let thread = std::thread::Builder::new().name(name.clone()).spawn(move || {
        let mut server = match Server::new(options, fault_receiver) {
            Ok(server) => server,
            Err(error) => {
                let _ = ready.send(Err(error));
                return;
            }
        };
        let _ = ready.send(Ok((server.addresses.clone(), server.hub.waker())));
        if let Err(error) = server.run() {
            eprintln!("test worker {}: {error}", server.options.name);
        }
    })?;
    let (addresses, waker) =
        started.recv().map_err(|_| io::Error::other("the test worker's thread ended"))??;
    Ok(Handle { name, addresses, faults, waker, thread: Some(thread) })
}

/// A connection from which nothing is read yet.
struct DelayedConnection {
    until: Micros,
    conn: ConnKey,
    address_index: usize,
}

/// The load at a past time.
struct PastLoad {
    at: Micros,
    load: LoadReport,
}

struct Rpc {
    conn: ConnKey,
    method: String,
    controller: String,
    /// A later incarnation of its controller was seen before it arrived.
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
    /// Parts that are complete, and parts that are sent.
    ready: usize,
    sent: usize,
}

struct Server {
    options: Options,
    hub: Hub,
    addresses: Vec<SocketAddr>,
    listeners: Vec<ListenerKey>,
    faults: Receiver<Fault>,
    worker: Option<Worker>,
    random: ChaCha8Rng,
    rpcs: BTreeMap<StreamKey, Rpc>,
    /// The newest fencing token seen of each controller.
    fences: BTreeMap<String, u64>,
    calls: BTreeMap<CallNumber, Call>,
    orders: BTreeMap<OrderNumber, StreamKey>,
    next: u64,
    history: VecDeque<PastLoad>,
    delayed: VecDeque<DelayedConnection>,
    unresponsive: bool,
    refuse: bool,
    fail_fast: f64,
    hang: Option<String>,
    slow: f64,
    /// How old load reports are.
    report_delay: Micros,
    cut_after: Option<u32>,
    half_frame: bool,
    slow_handshake: Micros,
    mended: bool,
}

impl Server {
    fn new(options: Options, faults: Receiver<Fault>) -> io::Result<Self> {
        let limits = NetLimits { idle: Duration::from_secs(300), ..NetLimits::default() };
        let mut server = Self {
            hub: Hub::new(limits)?,
            addresses: options.addresses.clone(),
            listeners: Vec::new(),
            faults,
            worker: None,
            random: ChaCha8Rng::seed_from_u64(options.seed),
            rpcs: BTreeMap::new(),
            fences: BTreeMap::new(),
            calls: BTreeMap::new(),
            orders: BTreeMap::new(),
            next: 0,
            history: VecDeque::new(),
            delayed: VecDeque::new(),
            unresponsive: false,
            refuse: false,
            fail_fast: 0.0,
            hang: None,
            slow: 1.0,
            report_delay: 0,
            cut_after: None,
            half_frame: false,
            slow_handshake: 0,
            mended: false,
            options,
        };
        let cold = server.options.cold;
        server.restart(cold)?;
        Ok(server)
    }

    /// Microseconds since the epoch of the observations.
    fn now(&self) -> Micros {
        self.options.epoch.elapsed().as_micros() as Micros
    }

    /// Records an observation.
    fn see(&self, seen: ObservationKind) {
        if let Some(records) = &self.options.records {
            let _ = records.send(Observation { at: self.now(), worker: self.options.name.clone(), seen });
        }
    }

    /// Starts listening, with an empty worker model.
    fn restart(&mut self, cold: bool) -> io::Result<()> {
        self.listeners.clear();
        for address in &mut self.addresses {
            let (key, local) = self.hub.listen(*address)?;
            *address = local;
            self.listeners.push(key);
        }
        self.worker = Some(Worker::new(self.options.spec.clone(), self.now(), cold));
        self.see(ObservationKind::Up { cold });
        Ok(())
    }

    /// Closes all sockets and loses all state, as a process that dies.
    fn die(&mut self, seen: ObservationKind) {
        self.see(seen);
        let store = Arc::clone(&self.options.store);
        if let Some(mut worker) = self.worker.take() {
            worker.release_store(&mut lock(&store));
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
        self.unresponsive = false;
    }

    /// Handles events and faults until it is stopped.
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let now = self.now();
            let next = self.worker.as_ref().filter(|_| !self.unresponsive).and_then(Worker::next_event);
            let thaw = self.delayed.front().map(|delayed| delayed.until);
            let next = if self.mended { Some(now) } else { [next, thaw].into_iter().flatten().min() };
            let wait = next.map(|at| Duration::from_micros(at.saturating_sub(now)));
            self.hub.poll(wait, &mut events)?;
            while let Ok(fault) = self.faults.try_recv() {
                if fault == Fault::Stop {
                    return Ok(());
                }
                self.inject(fault)?;
            }
            for event in events.drain(..) {
                self.event(event);
            }
            self.thaw_delayed();
            // What a mended link holds is read before anything more is computed or answered: the order at the
            // socket is the order in which it was sent.
            if !std::mem::take(&mut self.mended) {
                self.advance_worker();
            }
        }
    }

    /// Lets the worker model go on to the present.
    fn advance_worker(&mut self) {
        let now = self.now();
        let store = Arc::clone(&self.options.store);
        let Some(worker) = self.worker.as_mut().filter(|_| !self.unresponsive) else { return };
        let mut events = Vec::new();
        worker.advance_to(now, &mut lock(&store), &mut events);
        if self.report_delay > 0 {
            self.history.push_back(PastLoad { at: now, load: worker.load_report() });
            if self.history.len() > MAX_HISTORY {
                self.history.pop_front();
            }
        }
        self.handle_worker_events(events);
    }

    /// Reads again from connections whose handshake was delayed for long enough.
    fn thaw_delayed(&mut self) {
        let now = self.now();
        while let Some(delayed) = self.delayed.pop_front_if(|delayed| delayed.until <= now) {
            let DelayedConnection { conn, address_index, .. } = delayed;
            self.hub.freeze(conn, false);
            self.see(ObservationKind::Link { address_index, conn: Some(conn.number()), cut: false });
            self.mended = true;
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    // A store is consistent between any two statements of its methods.
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
