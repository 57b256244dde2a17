//! A stand-in worker: holds functions that were loaded, runs calls, and misbehaves when told.

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
use crate::proxy::SMALL_STACK;
use crate::wire::{CommandParts, CommandReader, answer, field};

/// Time of a load.
const LOAD: Duration = Duration::from_millis(60);
/// Time of a call, milliseconds.
const CALL_TIME_MS: std::ops::Range<u64> = 3..30;
/// A call with less time than this, milliseconds, may be dropped without a word.
const LITTLE_TIME_MS: u64 = 40;
/// While a worker fails, one of so many calls is answered as crashed.
const FAILING_OF: u32 = 3;

/// The disturbances of one worker.
#[derive(Debug, Default)]
pub struct WorkerDisturbances {
    /// Nothing is looked at: the process hangs.
    pub hangs: AtomicBool,
    /// Some calls fail after they have run.
    pub fails: AtomicBool,
}

/// A worker.
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its disturbances.
    pub disturbances: Arc<WorkerDisturbances>,
    jobs: Sender<Job>,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
}

enum Job {
    Command { connection: u64, parts: CommandParts, to: Arc<Mutex<TcpStream>> },
    Ended { connection: u64 },
    Restart,
}

impl Worker {
    /// Starts one.
    pub fn start(number: usize, seed: u64, audit: Arc<Audit>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (sender, receiver) = channel();
        let disturbances = Arc::new(WorkerDisturbances::default());
        let core = Core {
            number,
            audit,
            disturbances: Arc::clone(&disturbances),
            random: ChaCha8Rng::seed_from_u64(seed),
            held: BTreeSet::new(),
            due: BinaryHeap::new(),
            pending: BTreeMap::new(),
            next: 0,
        };
        std::thread::spawn(move || core.run(&receiver));
        let sockets = Arc::new(Mutex::new(Vec::new()));
        let (jobs, open_sockets) = (sender.clone(), Arc::clone(&sockets));
        std::thread::spawn(move || {
            for (connection, socket) in (0..).zip(listener.incoming().flatten()) {
                let _ = serve(connection, socket, &jobs, &open_sockets);
            }
        });
        Ok(Self { address, disturbances, jobs: sender, sockets })
    }

    /// Its process dies and another one starts: it holds nothing.
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
        let _ = jobs.send(Job::Ended { connection });
    };
    std::thread::Builder::new().stack_size(SMALL_STACK).spawn(read)?;
    Ok(())
}

/// An answer that is due.
struct Due {
    at: Instant,
    number: u64,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        // The heap gives the greatest first, and the earliest is wanted.
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

struct Pending {
    connection: u64,
    id: Vec<u8>,
    /// A call's number, or none for an order.
    call: Option<u64>,
    loads: Option<String>,
    bytes: Vec<u8>,
    to: Arc<Mutex<TcpStream>>,
}

struct Core {
    number: usize,
    audit: Arc<Audit>,
    disturbances: Arc<WorkerDisturbances>,
    random: ChaCha8Rng,
    held: BTreeSet<String>,
    due: BinaryHeap<Due>,
    pending: BTreeMap<u64, Pending>,
    next: u64,
}

/// How often a hanging worker looks whether it still hangs.
const HANG_LOOK: Duration = Duration::from_millis(20);

impl Core {
    fn run(mut self, jobs: &Receiver<Job>) {
        loop {
            if self.disturbances.hangs.load(Ordering::Acquire) {
                std::thread::sleep(HANG_LOOK);
                continue;
            }
            let wait = self.due.peek().map(|due| due.at.saturating_duration_since(Instant::now()));
            match jobs.recv_timeout(wait.unwrap_or(HANG_LOOK).min(HANG_LOOK)) {
                Ok(job) => self.take(job),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
            self.answer_due();
        }
    }

    fn take(&mut self, job: Job) {
        match job {
            Job::Restart => {
                self.held.clear();
                self.pending.clear();
                self.due.clear();
            }
            Job::Ended { connection } => self.pending.retain(|_, pending| pending.connection != connection),
            Job::Command { connection, parts, to } => self.command(connection, &parts, to),
        }
    }

    fn command(&mut self, connection: u64, parts: &[Vec<u8>], to: Arc<Mutex<TcpStream>>) {
        let (Some(word), Some(id)) = (parts.first(), parts.get(1)) else { return };
        let fields = parts.get(2).map(Vec::as_slice).unwrap_or_default();
        match word.as_slice() {
            b"PING" | b"STATS" => send(&to, &answer(id, "green", "-", b"")),
            b"CANCEL" => {
                self.pending.retain(|_, pending| pending.connection != connection || pending.id != *id)
            }
            b"UNLOAD" => {
                self.held.remove(String::from_utf8_lossy(id).as_ref());
            }
            b"LOAD" => {
                let Some(asset) = field(fields, "asset") else { return };
                let bytes = answer(id, "served", "instances=1", b"");
                let loads = Some(asset.to_owned());
                let pending = Pending { connection, id: id.clone(), call: None, loads, bytes, to };
                self.later(LOAD, pending);
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
        if !self.held.contains(asset) {
            self.audit.attempt_answered(number, self.number);
            return send(&to, &answer(id, "not_here", "-", b""));
        }
        let patience = field(fields, "patience").and_then(|text| text.parse().ok()).unwrap_or(0);
        if patience < LITTLE_TIME_MS && self.random.random_bool(0.5) {
            return;
        }
        self.audit.attempt_ran(number, self.number);
        let fails =
            self.disturbances.fails.load(Ordering::Acquire) && self.random.random_ratio(1, FAILING_OF);
        let bytes = if fails {
            answer(id, "crashed", "-", b"")
        } else {
            answer(id, "served", "n=w", body.map(Vec::as_slice).unwrap_or_default())
        };
        let work = Duration::from_millis(self.random.random_range(CALL_TIME_MS));
        let pending = Pending { connection, id: id.to_vec(), call: Some(number), loads: None, bytes, to };
        self.later(work, pending);
    }

    fn later(&mut self, span: Duration, pending: Pending) {
        self.next += 1;
        self.due.push(Due { at: Instant::now() + span, number: self.next });
        self.pending.insert(self.next, pending);
    }

    fn answer_due(&mut self) {
        while self.due.peek().is_some_and(|due| due.at <= Instant::now()) {
            let Some(due) = self.due.pop() else { return };
            let Some(pending) = self.pending.remove(&due.number) else { continue };
            if let Some(asset) = pending.loads {
                self.held.insert(asset);
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
