//! Clients that abuse a node, and a sound client beside them whose answers are timed.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use nettleferry_platform::frames::{self, kind};

use super::common::{Invoker, Reaction, ReceivedCommand};

/// First function of the abusive clients. Invokers never have those from here on loaded.
pub(crate) const ABUSED: u64 = 1 << 63;
/// The function of the sound client.
const SOUND_FUNCTION: u64 = 0x50;
/// Interval between the requests of the sound client.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
/// Time that the sound client waits for each answer.
pub(crate) const SOUND_TTL: Duration = Duration::from_millis(3_000);
/// A request may cross the close of its idle connection for this long.
const CROSSING: Duration = Duration::from_millis(50);
/// Requests that a connection may have open. A client that waits for so many sends no more.
const MAX_OPEN: usize = 32;
/// Requests of one burst: one fewer than a connection may have open.
pub(crate) const BURST: u32 = 31;

/// An invoker that serves the sound client's function at once, and has none of the others loaded.
pub(crate) fn invoker() -> Invoker {
    Invoker::start(|command: &ReceivedCommand| match command.keyword() {
        "CALL" if is_abused(command) => Reaction::Answer("not_here", "-", vec![]),
        "CALL" => Reaction::Answer("served", "n=w", command.parts[3].clone()),
        "LOAD" if is_abused(command) => Reaction::Answer("overload", "instances=0", vec![]),
        "LOAD" => Reaction::Answer("served", "instances=1", vec![]),
        "PING" | "STATS" => Reaction::Answer("green", "-", vec![]),
        _ => Reaction::Ignore,
    })
}

fn is_abused(command: &ReceivedCommand) -> bool {
    let fields = std::str::from_utf8(&command.parts[2]).unwrap_or("");
    let function = fields.split(',').find_map(|field| field.strip_prefix("asset="));
    function.and_then(|function| u64::from_str_radix(function, 16).ok()).is_some_and(|f| f >= ABUSED)
}

/// A request as bytes, with additional fields.
pub(crate) fn request(
    stream: u32,
    op: &str,
    id: u64,
    function: u64,
    more: &[(&str, &str)],
    body: &[u8],
) -> Vec<u8> {
    let (id, function) = (format!("{id:016x}"), format!("{function:016x}"));
    let mut fields = vec![("op", op), ("call", &id), ("ttl", "3000"), ("row", &function)];
    fields.extend_from_slice(more);
    let mut out = Vec::new();
    frames::request(&mut out, stream, &fields, body);
    out
}

/// A request with 240 fields of a few bytes each.
pub(crate) fn many_fields(stream: u32, id: u64) -> Vec<u8> {
    let names: Vec<String> = (0..236).map(|number| format!("f{number}")).collect();
    let fields: Vec<_> = names.iter().map(|name| (name.as_str(), "1")).collect();
    request(stream, "safe", id, ABUSED, &fields, b"")
}

/// Reads the next frame: type, stream and payload. `None` if the connection has ended.
pub(crate) fn read_frame(socket: &mut impl Read) -> Option<(u8, u32, Vec<u8>)> {
    let mut head = [0; 9];
    socket.read_exact(&mut head).ok()?;
    let length = u32::from_be_bytes([head[0], head[1], head[2], head[3]]) as usize;
    let mut payload = vec![0; length.checked_sub(5)?];
    socket.read_exact(&mut payload).ok()?;
    Some((head[4], u32::from_be_bytes([head[5], head[6], head[7], head[8]]), payload))
}

/// What the sound client has seen.
#[derive(Clone, Default)]
pub(crate) struct Seen {
    pub(crate) sent: usize,
    /// Time from the request to its answer, of the served requests.
    pub(crate) latencies: Vec<Duration>,
    /// Requests answered otherwise.
    pub(crate) unserved: usize,
    /// Requests whose connection ended under them, longer than [`CROSSING`] after they were sent.
    pub(crate) lost: usize,
}

impl fmt::Debug for Seen {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        let (in_time, sent, p99) = (self.in_time(), self.sent, self.p99());
        write!(out, "{in_time} of {sent} p99 {p99:?}, unserved {}, lost {}", self.unserved, self.lost)
    }
}

impl Seen {
    /// Requests that were served before the client stopped waiting.
    pub(crate) fn in_time(&self) -> usize {
        self.latencies.iter().filter(|latency| **latency < SOUND_TTL).count()
    }

    /// The latency that 99 of 100 served requests do not exceed.
    pub(crate) fn p99(&self) -> Duration {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        sorted.get(sorted.len() * 99 / 100).copied().unwrap_or(Duration::MAX)
    }
}

/// A request of the sound client that has no answer yet.
struct Unanswered {
    id: u64,
    sent_at: Instant,
    /// It crossed the end of an idle connection and was sent once more.
    sent_again: bool,
}

/// A client that sends a request every [`SOUND_INTERVAL`], whether or not the earlier ones are answered. It connects
/// again when its connection ends, and then sends what crossed the end once more, as the platform's clients do.
pub(crate) struct SoundClient {
    stop: Arc<AtomicBool>,
    thread: JoinHandle<Seen>,
}

impl SoundClient {
    /// Connects and begins to send. `first_id` must be far from the ids of other clients.
    pub(crate) fn start(address: SocketAddr, first_id: u64) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = Arc::clone(&stop);
        let thread = std::thread::spawn(move || SoundConnection::run(address, first_id, &stopped));
        Self { stop, thread }
    }

    /// Stops sending, waits for the answers and returns what the client has seen.
    pub(crate) fn finish(self) -> Seen {
        self.stop.store(true, Ordering::Release);
        self.thread.join().expect("no panic")
    }
}

/// The state of the sound client.
struct SoundConnection {
    address: SocketAddr,
    socket: Option<TcpStream>,
    input: Vec<u8>,
    stream: u32,
    unanswered: BTreeMap<u32, Unanswered>,
    seen: Seen,
}

impl SoundConnection {
    fn run(address: SocketAddr, first_id: u64, stop: &AtomicBool) -> Seen {
        let (unanswered, seen) = (BTreeMap::new(), Seen::default());
        let mut client = Self { address, socket: None, input: Vec::new(), stream: 0, unanswered, seen };
        let began = Instant::now();
        let mut stopped_at = None;
        while stopped_at.is_none_or(|at: Instant| at.elapsed() < SOUND_TTL && !client.unanswered.is_empty()) {
            if stopped_at.is_none() && began.elapsed() >= SOUND_INTERVAL * client.seen.sent as u32 {
                client.seen.sent += 1;
                if client.unanswered.len() < MAX_OPEN {
                    client.send(first_id + client.seen.sent as u64, Instant::now(), false);
                }
            }
            if stopped_at.is_none() && stop.load(Ordering::Acquire) {
                stopped_at = Some(Instant::now());
            }
            client.receive();
        }
        client.seen
    }

    fn send(&mut self, id: u64, sent_at: Instant, sent_again: bool) {
        if self.socket.is_none() {
            let Ok(socket) = TcpStream::connect(self.address) else { return };
            socket.set_nodelay(true).expect("socket option set");
            socket.set_read_timeout(Some(Duration::from_millis(1))).expect("socket option set");
            (self.socket, self.stream) = (Some(socket), 0);
            self.input.clear();
        }
        self.stream += 1;
        let bytes = request(self.stream, "safe", id, SOUND_FUNCTION, &[], b"sound");
        self.unanswered.insert(self.stream, Unanswered { id, sent_at, sent_again });
        let written = self.socket.as_mut().map(|socket| socket.write_all(&bytes));
        if !matches!(written, Some(Ok(()))) {
            self.disconnected();
        }
    }

    /// Reads for a millisecond at most.
    fn receive(&mut self) {
        let mut buffer = [0; 16 << 10];
        let Some(socket) = &mut self.socket else { return std::thread::sleep(Duration::from_millis(1)) };
        match socket.read(&mut buffer) {
            Ok(0) => return self.disconnected(),
            Ok(n) => self.input.extend_from_slice(&buffer[..n]),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return self.disconnected(),
        }
        let mut rest = self.input.as_slice();
        let mut frames = Vec::new();
        while let Some(frame) = read_frame(&mut rest) {
            frames.push(frame);
            let left = rest.len();
            self.input.drain(..self.input.len() - left);
            rest = self.input.as_slice();
        }
        for (frame_kind, stream, payload) in frames {
            let request = self.unanswered.remove(&stream).filter(|_| frame_kind == kind::ANSWER);
            match request {
                Some(request) if payload[0] == frames::Code::Served.byte() => {
                    self.seen.latencies.push(request.sent_at.elapsed());
                }
                Some(_) => self.seen.unserved += 1,
                None => {}
            }
        }
    }

    fn disconnected(&mut self) {
        self.socket = None;
        for (_, request) in std::mem::take(&mut self.unanswered) {
            if request.sent_again || request.sent_at.elapsed() > CROSSING {
                self.seen.lost += 1;
            } else {
                self.send(request.id, request.sent_at, true);
            }
        }
    }
}

/// Abusive clients that run in threads until they are stopped.
pub(crate) struct Abuse {
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    /// Work done so far, in units of the kind of abuse.
    pub(crate) done: Arc<AtomicU64>,
}

impl Abuse {
    /// Runs `round` again and again in each of `threads` threads. It gets the thread's number and the number of the
    /// round, and returns how much it has done.
    pub(crate) fn start(threads: u64, round: impl Fn(u64, u64) -> u64 + Send + Sync + 'static) -> Self {
        let (stop, done) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let round = Arc::new(round);
        let threads = (0..threads).map(|thread| {
            let (stop, done, round) = (Arc::clone(&stop), Arc::clone(&done), Arc::clone(&round));
            std::thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Acquire) {
                        return;
                    }
                    done.fetch_add(round(thread, number), Ordering::AcqRel);
                }
            })
        });
        let threads = threads.collect();
        Self { stop, threads, done }
    }

    /// Waits until this much was done.
    pub(crate) fn wait_until_done(&self, amount: u64, timeout: Duration) {
        let end = Instant::now() + timeout;
        while self.done.load(Ordering::Acquire) < amount && Instant::now() < end {
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    /// Stops the clients, and returns how much they have done.
    pub(crate) fn finish(self) -> u64 {
        self.stop.store(true, Ordering::Release);
        for thread in self.threads {
            thread.join().expect("no panic");
        }
        self.done.load(Ordering::Acquire)
    }
}

/// Opens a connection of an abusive client, on which no wait is longer than that of the sound client.
pub(crate) fn connect(address: SocketAddr) -> Option<TcpStream> {
    let socket = TcpStream::connect(address).ok()?;
    socket.set_read_timeout(Some(SOUND_TTL)).ok()?;
    socket.set_write_timeout(Some(SOUND_TTL)).ok()?;
    Some(socket)
}

/// Sends one burst of requests, whose bytes `build` returns by their number, and reads their answers. Returns the
/// number of answers.
pub(crate) fn burst(
    socket: &mut TcpStream,
    first_stream: u32,
    build: impl Fn(u32) -> Vec<u8>,
) -> Option<u64> {
    let bytes: Vec<u8> = (0..BURST).flat_map(|number| build(first_stream + number)).collect();
    socket.write_all(&bytes).ok()?;
    let mut answers = 0;
    while answers < u64::from(BURST) {
        let (frame_kind, stream, _) = read_frame(socket)?;
        answers += u64::from(frame_kind == kind::ANSWER && stream > 0);
    }
    Some(answers)
}

/// A round of a client that sends bursts of requests of ever new functions on one connection, for as long as the
/// node answers them.
pub(crate) fn new_names(address: SocketAddr, thread: u64, round: u64) -> u64 {
    let Some(mut socket) = connect(address) else { return 0 };
    let first = ABUSED | thread << 52 | round << 24;
    let mut done = 0;
    for number in 0..20 {
        let build = |stream: u32| {
            let name = first + u64::from(stream);
            request(stream, "safe", name, name, &[], b"")
        };
        match burst(&mut socket, 1 + number * BURST, build) {
            Some(answers) => done += answers,
            None => return done,
        }
    }
    done
}
