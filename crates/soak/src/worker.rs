//! A simulated worker: loads functions, runs calls, and misbehaves while a disturbance is active.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::Audit;
use crate::proxy::CONNECTION_STACK_BYTES;
use crate::wire::{CommandParts, CommandReader, answer, field};

/// Duration of a load.
const LOAD_TIME: Duration = Duration::from_millis(60);
/// Range of the duration of a call, in milliseconds.
const CALL_TIME_MS: std::ops::Range<u64> = 3..30;
/// Time limit, in milliseconds, below which half of the calls are dropped without an answer.
const SHORT_PATIENCE_MS: u64 = 40;
/// During the disturbance `fails`, one in this many calls is answered as crashed.
const CRASHED_ANSWER_RATIO: u32 = 3;

/// Interval at which a worker checks [`WorkerDisturbances::hangs`].
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The disturbances of one worker's process.
#[derive(Debug, Default)]
pub struct WorkerDisturbances {
    /// While true, the process handles no commands and sends no answers.
    pub hangs: AtomicBool,
    /// While true, some calls are answered as crashed after they have run.
    pub fails: AtomicBool,
}

/// Handle to a running worker.
pub struct Worker {
    /// The address that the worker listens on.
    pub address: SocketAddr,
    /// The worker's disturbances, which may be changed at any time.
    pub disturbances: Arc<WorkerDisturbances>,
    jobs: Sender<Job>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

/// A message to the thread that handles a worker's jobs.
enum Job {
    /// A command arrived. The answer is written to `to`.
    Command { connection: u64, parts: CommandParts, to: Arc<Mutex<TcpStream>> },
    /// A connection ended. Its pending answers are dropped.
    ConnectionEnded { connection: u64 },
    /// The worker crashed and restarted.
    Restart,
}

impl Worker {
    /// Starts a worker on a free port. `seed` determines its random decisions.
    pub fn start(number: usize, seed: u64, audit: Arc<Audit>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, receiver) = channel();
        let disturbances = Arc::new(WorkerDisturbances::default());
        let executor = Executor {
            number,
            audit,
            disturbances: Arc::clone(&disturbances),
            random: ChaCha8Rng::seed_from_u64(seed),
            loaded: BTreeSet::new(),
            due: BinaryHeap::new(),
            pending: BTreeMap::new(),
            last_number: 0,
        };
        std::thread::spawn(move || executor.run(&receiver));
        let sockets = Arc::new(Mutex::new(Vec::new()));
        let (jobs, open_sockets) = (sender.clone(), Arc::clone(&sockets));
        std::thread::spawn(move || {
            for (connection, socket) in (0..).zip(listener.incoming().flatten()) {
                let _ = serve(connection, socket, &jobs, &open_sockets);
            }
        });
        Ok(Self { address, disturbances, jobs: sender, sockets })
    }

    /// Simulates a crash and a restart: closes all connections, and forgets loaded functions and pending answers.
    pub fn restart(&self) {
        let _ = self.jobs.send(Job::Restart);
        for socket in self.sockets.lock().unwrap_or_else(PoisonError::into_inner).drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }
}

fn serve(
    connection: u64,
    mut socket: TcpStream,
    jobs: &Sender<Job>,
    open_sockets: &Mutex<Vec<TcpStream>>,
) -> io::Result<()> {
    let to = Arc::new(Mutex::new(socket.try_clone()?));
    open_sockets.lock().unwrap_or_else(PoisonError::into_inner).push(socket.try_clone()?);
    let jobs = jobs.clone();
    let read = move || {
        let (mut buffer, mut reader) = (vec![0; 16 << 10], CommandReader::default());
        while let Ok(length @ 1..) = socket.read(&mut buffer) {
            reader.push(&buffer[..length]);
            while let Some(parts) = reader.next_command() {
                let _ = jobs.send(Job::Command { connection, parts, to: Arc::clone(&to) });
            }
        }
        let _ = jobs.send(Job::ConnectionEnded { connection });
    };
    std::thread::Builder::new().stack_size(CONNECTION_STACK_BYTES).spawn(read)?;
    Ok(())
}

/// The time at which the pending answer with this number is sent.
struct DueAnswer {
    at: Instant,
    number: u64,
}

impl PartialEq for DueAnswer {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for DueAnswer {}

impl PartialOrd for DueAnswer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for DueAnswer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The order is reversed, so that the heap pops the earliest time first.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// An answer that is sent when its load or call has taken its time.
struct PendingAnswer {
    connection: u64,
    id: Vec<u8>,
    /// The id of the call. `None` for a load.
    call: Option<u64>,
    /// The function that is loaded when the answer is sent. `None` for a call.
    loads: Option<String>,
    /// The encoded answer.
    bytes: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
}

/// The state of a worker, owned by the thread that handles its jobs.
struct Executor {
    number: usize,
    audit: Arc<Audit>,
    disturbances: Arc<WorkerDisturbances>,
    random: ChaCha8Rng,
    loaded: BTreeSet<String>,
    due: BinaryHeap<DueAnswer>,
    pending: BTreeMap<u64, PendingAnswer>,
    /// The number of the newest pending answer.
    last_number: u64,
}

impl Executor {
    fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            if self.disturbances.hangs.load(Ordering::Acquire) {
                std::thread::sleep(HANG_CHECK_INTERVAL);
                continue;
            }
            let wait = self.due.peek().map(|due| due.at.saturating_duration_since(Instant::now()));
            match jobs.recv_timeout(wait.unwrap_or(HANG_CHECK_INTERVAL).min(HANG_CHECK_INTERVAL)) {
                Ok(job) => self.handle(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.answer_due();
        }
    }

    fn handle(&mut self, job: Job) {
        match job {
            Job::Restart => {
                self.loaded.clear();
                self.pending.clear();
                self.due.clear();
            }
            Job::ConnectionEnded { connection } => {
                self.pending.retain(|_, pending| pending.connection != connection)
            }
            Job::Command { connection, parts, to } => self.command(connection, &parts, to),
        }
    }

    fn command(&mut self, connection: u64, parts: &[Vec<u8>], to: Arc<Mutex<TcpStream>>) {
        let (Some(name), Some(id)) = (parts.first(), parts.get(1)) else { return };
        let fields = parts.get(2).map(Vec::as_slice).unwrap_or_default();
        match name.as_slice() {
            b"PING" | b"STATS" => send(&to, &answer(id, "green", "-", b"")),
            b"CANCEL" => {
                self.pending.retain(|_, pending| pending.connection != connection || pending.id != *id)
            }
            b"UNLOAD" => {
                self.loaded.remove(String::from_utf8_lossy(id).as_ref());
            }
            b"LOAD" => {
                let Some(asset) = field(fields, "asset") else { return };
                let bytes = answer(id, "served", "instances=1", b"");
                let loads = Some(asset.to_owned());
                let pending = PendingAnswer { connection, id: id.clone(), call: None, loads, bytes, to };
                self.schedule(LOAD_TIME, pending);
            }
            b"CALL" => self.call(connection, id, fields, parts.get(3), to),
            _ => {}
        }
    }

    fn call(
        &mut self,
        connection: u64,
        id: &[u8],
        fields: &[u8],
        body: Option<&Vec<u8>>,
        to: Arc<Mutex<TcpStream>>,
    ) {
        let number = std::str::from_utf8(id).ok().and_then(|id| u64::from_str_radix(id, 16).ok());
        let (Some(number), Some(asset)) = (number, field(fields, "asset")) else { return };
        if !self.loaded.contains(asset) {
            self.audit.attempt_answered(number, self.number);
            return send(&to, &answer(id, "not_here", "-", b""));
        }
        let patience = field(fields, "patience").and_then(|text| text.parse().ok()).unwrap_or(0);
        if patience < SHORT_PATIENCE_MS && self.random.random_bool(0.5) {
            return;
        }
        self.audit.attempt_ran(number, self.number);
        let fails = self.disturbances.fails.load(Ordering::Acquire)
            && self.random.random_ratio(1, CRASHED_ANSWER_RATIO);
        let bytes = if fails {
            answer(id, "crashed", "-", b"")
        } else {
            answer(id, "served", "n=w", body.map(Vec::as_slice).unwrap_or_default())
        };
        let call_time = Duration::from_millis(self.random.random_range(CALL_TIME_MS));
        let pending =
            PendingAnswer { connection, id: id.to_vec(), call: Some(number), loads: None, bytes, to };
        self.schedule(call_time, pending);
    }

    fn schedule(&mut self, delay: Duration, pending: PendingAnswer) {
        self.last_number += 1;
        self.due.push(DueAnswer { at: Instant::now() + delay, number: self.last_number });
        self.pending.insert(self.last_number, pending);
    }

    fn answer_due(&mut self) {
        while self.due.peek().is_some_and(|due| due.at <= Instant::now()) {
            let Some(due) = self.due.pop() else { return };
            let Some(pending) = self.pending.remove(&due.number) else { continue };
            if let Some(asset) = pending.loads {
                self.loaded.insert(asset);
            }
            if let Some(call) = pending.call {
                self.audit.attempt_answered(call, self.number);
            }
            send(&pending.to, &pending.bytes);
        }
    }
}

fn send(to: &Mutex<TcpStream>, bytes: &[u8]) {
    let _ = to.lock().unwrap_or_else(PoisonError::into_inner).write_all(bytes);
}
