//! A test worker that serves the public gRPC protocol. It runs the worker model in a thread of its own, injects faults
//! and records observations.
//!
//! * [`fault`]: the faults and how they are injected. [`observation`]: the types of observations.
//! * [`request`]: handling of incoming streams and messages. [`response`]: responses, trailers and load reports.

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

/// Maximum number of past loads that are kept for stale load reports.
const MAX_HISTORY: usize = 4096;

/// The options of a test worker.
pub struct Options {
    /// Name of the worker, which observations carry.
    pub name: String,
    /// Addresses on which the worker listens. Port 0 selects a free port. If there are several, the link at each can be
    /// cut separately.
    pub addresses: Vec<SocketAddr>,
    /// The description of the worker.
    pub spec: Spec,
    /// The model store, shared with other workers.
    pub store: Arc<Mutex<Store>>,
    /// The time from which the times of observations are counted.
    pub epoch: Instant,
    /// Channel to which observations are sent. `None` if they are not recorded.
    pub observations: Option<Sender<Observation>>,
    /// Whether the worker starts cold and warms up.
    pub cold: bool,
    /// Seed of the random numbers by which [`Fault::FailFast`] selects calls.
    pub seed: u64,
}

/// A handle to a running test worker. Dropping it stops the worker.
pub struct Handle {
    /// Name of the worker.
    pub name: String,
    /// Addresses on which the worker listens, with the actual ports.
    pub addresses: Vec<SocketAddr>,
    faults: Sender<Fault>,
    waker: Arc<mio::Waker>,
    thread: Option<JoinHandle<()>>,
}

impl Handle {
    /// Injects a fault. The worker applies it asynchronously.
    pub fn inject(&self, fault: Fault) {
        // The send fails only if the thread has ended. The fault then has no effect.
        let _ = self.faults.send(fault);
        let _ = self.waker.wake();
    }

    /// Stops the worker and waits for its thread to end.
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

/// Starts a test worker in a thread of its own. The worker listens when this returns.
///
/// # Errors
/// If the worker cannot listen on an address, or the thread cannot be created.
pub fn spawn(options: Options) -> io::Result<Handle> {
    let (faults, fault_receiver) = channel();
    let (ready, started) = channel();
    let name = options.name.clone();
    // Connections must stay in the thread that polls them, so the hub is created in the new thread.
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
            eprintln!("test worker {} failed: {error}", server.options.name);
        }
    })?;
    let (addresses, waker) = started
        .recv()
        .map_err(|_| io::Error::other("the test worker's thread ended before it listened"))??;
    Ok(Handle { name, addresses, faults, waker, thread: Some(thread) })
}

/// An accepted connection that is not read until the end of a delay.
struct DelayedConnection {
    until: Micros,
    conn: ConnKey,
    address_index: usize,
}

/// The load of the worker at an earlier time, for stale load reports.
struct PastLoad {
    at: Micros,
    load: LoadReport,
}

/// An open gRPC stream.
struct Rpc {
    conn: ConnKey,
    method: String,
    controller: String,
    /// When the stream opened, a request of a later incarnation of the controller had already arrived.
    fenced: bool,
    attempt: Option<u32>,
    /// The response headers have been sent.
    answered: bool,
    /// The client has closed its side of the stream.
    half_closed: bool,
    /// Number of calls on the stream whose response is incomplete.
    pending: u32,
    /// Number of response messages sent.
    sent: u32,
}

/// A call that the worker model has accepted.
struct Call {
    stream: StreamKey,
    answer: Answer,
    streamed: bool,
    /// Number of complete parts.
    ready: usize,
    /// Number of parts sent.
    sent: usize,
}

/// The state of a test worker, owned by its thread.
struct Server {
    options: Options,
    hub: Hub,
    addresses: Vec<SocketAddr>,
    listeners: Vec<ListenerKey>,
    faults: Receiver<Fault>,
    /// The worker model. `None` while the worker is dead.
    worker: Option<Worker>,
    random: ChaCha8Rng,
    rpcs: BTreeMap<StreamKey, Rpc>,
    /// The highest fencing token received from each controller.
    fences: BTreeMap<String, u64>,
    calls: BTreeMap<CallNumber, Call>,
    orders: BTreeMap<OrderNumber, StreamKey>,
    /// The last number given to a call or a load order.
    last_number: u64,
    /// Past loads, oldest first. Filled while load reports are delayed.
    history: VecDeque<PastLoad>,
    delayed: VecDeque<DelayedConnection>,
    unresponsive: bool,
    refuse: bool,
    fail_fast: f64,
    hang: Option<String>,
    slow: f64,
    /// Age of load reports. 0 if they are current.
    report_delay: Micros,
    cut_after: Option<u32>,
    half_frame: bool,
    slow_handshake: Micros,
    /// A link was restored since the last poll. Its data has not been read yet.
    link_restored: bool,
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
            last_number: 0,
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
            link_restored: false,
            options,
        };
        let cold = server.options.cold;
        server.restart(cold)?;
        Ok(server)
    }

    /// Returns the time since the epoch of the observations.
    fn now(&self) -> Micros {
        self.options.epoch.elapsed().as_micros() as Micros
    }

    /// Sends an observation to the channel in the options, if there is one.
    fn observe(&self, kind: ObservationKind) {
        if let Some(observations) = &self.options.observations {
            let _ =
                observations.send(Observation { at: self.now(), worker: self.options.name.clone(), kind });
        }
    }

    /// Starts to listen, with a new worker model.
    fn restart(&mut self, cold: bool) -> io::Result<()> {
        self.listeners.clear();
        for address in &mut self.addresses {
            let (key, local) = self.hub.listen(*address)?;
            *address = local;
            self.listeners.push(key);
        }
        self.worker = Some(Worker::new(self.options.spec.clone(), self.now(), cold));
        self.observe(ObservationKind::Up { cold });
        Ok(())
    }

    /// Closes all sockets and drops all calls, orders and replicas, as when a process dies.
    fn die(&mut self, kind: ObservationKind) {
        self.observe(kind);
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

    /// Handles network events, faults and the worker model until [`Fault::Stop`].
    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let now = self.now();
            let worker_event =
                self.worker.as_ref().filter(|_| !self.unresponsive).and_then(Worker::next_event);
            let resume = self.delayed.front().map(|delayed| delayed.until);
            let next_event = if self.link_restored {
                Some(now)
            } else {
                [worker_event, resume].into_iter().flatten().min()
            };
            let wait = next_event.map(|at| Duration::from_micros(at.saturating_sub(now)));
            self.hub.poll(wait, &mut events)?;
            while let Ok(fault) = self.faults.try_recv() {
                if fault == Fault::Stop {
                    return Ok(());
                }
                self.inject(fault)?;
            }
            for event in events.drain(..) {
                self.handle_net_event(event);
            }
            self.resume_delayed_connections();
            // After a link is restored, its data is read before the worker model advances, so that requests are
            // handled in the order in which they were sent.
            if !std::mem::take(&mut self.link_restored) {
                self.advance_worker();
            }
        }
    }

    /// Advances the worker model to the current time. An unresponsive worker does not advance.
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

    /// Resumes reading from connections whose delay has passed.
    fn resume_delayed_connections(&mut self) {
        let now = self.now();
        while let Some(delayed) = self.delayed.pop_front_if(|delayed| delayed.until <= now) {
            let DelayedConnection { conn, address_index, .. } = delayed;
            self.hub.freeze(conn, false);
            self.observe(ObservationKind::Link { address_index, conn: Some(conn.number()), cut: false });
            self.link_restored = true;
        }
    }
}

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    // A poisoned lock is safe to use: the store is consistent after every statement of its methods.
    store.lock().unwrap_or_else(PoisonError::into_inner)
}
