//! Clients: each asks one controller, over connections of its own, and behaves well or badly.

use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use nettleferry_platform::frames::{self, kind};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::audit::{Audit, Class, End};
use crate::controller::{Controller, DEADLINE, Phase, ProcessEnd};
use crate::plan::Extras;
use crate::wire::FrameReader;

/// Functions that clients ask for.
const FUNCTIONS: u64 = 12;
/// A client waits so much longer than its time before it says that no answer arrived.
const BEYOND: Duration = Duration::from_millis(500);
/// A request that crosses the close of a resting connection within this span is sent again, once.
const CROSSING: Duration = Duration::from_millis(50);
/// A process that has closed a client's connection at its end is gone within this span, or has not ended.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// The codes of answers.
const SERVED: u8 = 79;
const REFUSED: u8 = 66;

/// What a client does next.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// Some requests at once; waits for all.
    Plain(u32),
    /// One request, byte by byte or in pieces.
    Pieces,
    /// One request that it withdraws.
    Cancels,
    /// One request, and its connection ends before the answer.
    Leaves,
    /// One request with very little time.
    Hasty,
    /// Half a request, and its connection ends.
    Half,
    /// What can't be read.
    Garbage,
    /// Nothing for so long that its connection rests, then a request.
    Rests,
}

/// One client.
pub struct Client {
    controller: Arc<Controller>,
    audit: Arc<Audit>,
    random: ChaCha8Rng,
    ids: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    connection: Option<Connection>,
    /// What the run holds besides its disturbances.
    extras: Extras,
}

struct Connection {
    socket: TcpStream,
    reader: FrameReader,
    last: u32,
    /// Requests open there, by stream.
    open: BTreeMap<u32, OpenRequest>,
    /// It was asked for no new requests.
    closing: bool,
    /// It has carried a request before.
    rested: bool,
    opened: Instant,
    kills: u64,
}

/// A request without an answer.
struct OpenRequest {
    id: u64,
    body: Vec<u8>,
    /// When it had been sent.
    sent: Instant,
}

/// What became of a request whose connection ended with its controller's process.
fn end_at_shutdown(request: &OpenRequest, end: ProcessEnd) -> End {
    // A process that the test had stopped answers nothing until it is killed.
    let last_served = end.stopped_since.filter(|_| end.killed).unwrap_or(end.earliest);
    let crossed = request.sent + CROSSING >= last_served;
    match (end.killed, crossed) {
        (true, true) => End::CrossedKill,
        (false, true) => End::CrossedEnd,
        (_, false) => End::Lost,
    }
}

impl Client {
    /// A client of this controller. With extra shutdowns it uses its connection until the controller's process is gone.
    pub fn new(
        controller: Arc<Controller>,
        audit: Arc<Audit>,
        seed: u64,
        ids: Arc<AtomicU64>,
        stop: Arc<AtomicBool>,
        extras: Extras,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { controller, audit, random, ids, stop, connection: None, extras }
    }

    /// Asks until it is stopped.
    pub fn run(mut self) {
        while !self.stop.load(Ordering::Acquire) {
            let phase = self.controller.phase();
            if phase == Phase::Ending && self.extras.shutdowns && self.connection.is_some() {
                self.send_on_open_connection();
                continue;
            }
            if phase != Phase::Serving {
                self.connection = None;
                std::thread::sleep(Duration::from_millis(20));
                continue;
            }
            let manner = self.manner();
            self.act(manner);
            let pause = self.random.random_range(0..40);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// One request after another on the connection that there is, so that one of them crosses the end of the process.
    fn send_on_open_connection(&mut self) {
        self.send_request(DEADLINE, false);
        self.wait_for_all();
    }

    fn manner(&mut self) -> Manner {
        match self.random.random_range(0..100) {
            0..60 => Manner::Plain(self.random.random_range(1..5)),
            60..70 => Manner::Pieces,
            70..78 => Manner::Cancels,
            78..86 => Manner::Leaves,
            86..90 => Manner::Hasty,
            90..93 => Manner::Half,
            93..95 => Manner::Garbage,
            _ => Manner::Rests,
        }
    }

    fn act(&mut self, manner: Manner) {
        match manner {
            Manner::Plain(count) => {
                for _ in 0..count {
                    self.send_request(DEADLINE, false);
                }
                self.wait_for_all();
            }
            Manner::Pieces => {
                self.send_request(DEADLINE, true);
                self.wait_for_all();
            }
            Manner::Hasty => {
                let ttl = self.random.random_range(5..60);
                self.send_request(Duration::from_millis(ttl), false);
                self.wait_for_all();
            }
            Manner::Cancels => self.cancels(),
            Manner::Leaves => self.leaves(),
            Manner::Half => self.half(),
            Manner::Garbage => self.garbage(),
            Manner::Rests => {
                let span = self.random.random_range(300..1_500);
                std::thread::sleep(Duration::from_millis(span));
                self.send_request(DEADLINE, false);
                self.wait_for_all();
            }
        }
    }

    /// A connection that takes requests, a new one where there is none.
    fn connected(&mut self) -> Option<&mut Connection> {
        // After it was asked for no new requests, a client that persists goes on until the connection ends.
        let goes_on = self.extras.shutdowns && self.controller.phase() == Phase::Ending;
        if !goes_on && self.connection.as_ref().is_some_and(|connection| connection.closing) {
            self.connection = None;
        }
        if self.connection.is_none() {
            let kills = self.controller.kills.load(Ordering::Acquire);
            let socket = TcpStream::connect_timeout(&self.controller.address, DEADLINE).ok()?;
            socket.set_nodelay(true).ok()?;
            socket.set_read_timeout(Some(Duration::from_millis(10))).ok()?;
            self.connection = Some(Connection {
                socket,
                reader: FrameReader::default(),
                last: 0,
                open: BTreeMap::new(),
                closing: false,
                rested: false,
                opened: Instant::now(),
                kills,
            });
        }
        self.connection.as_mut()
    }

    /// Sends one request; its id, where a connection took it.
    fn send_request(&mut self, ttl: Duration, pieces: bool) -> Option<u64> {
        let id = self.ids.fetch_add(1, Ordering::AcqRel);
        let class = if self.random.random_ratio(1, 3) { Class::Once } else { Class::Safe };
        let function = self.random.random_range(0..FUNCTIONS);
        let body: Vec<u8> = (0..self.random.random_range(0..600)).map(|_| self.random.random()).collect();
        let steps: Vec<usize> = (0..4).map(|_| self.random.random_range(1..90)).collect();
        let (audit, controller) = (Arc::clone(&self.audit), self.controller.number);
        let connection = self.connected()?;
        connection.last += 1;
        let (stream, mut bytes) = (connection.last, Vec::new());
        let (call, row) = (format!("{id:016x}"), format!("{function:016x}"));
        let ttl_ms = ttl.as_millis().to_string();
        let fields = [
            ("op", class.name()),
            ("call", &call),
            ("ttl", &ttl_ms),
            ("row", &row),
            ("tags", "memory_mb:9;lanes:4;load_ms:60"),
        ];
        frames::request(&mut bytes, stream, &fields, &body);
        let mut from = 0;
        if pieces {
            for step in steps {
                let to = (from + step).min(bytes.len() - 1);
                // Its time counts from its last byte: what fails before is no request.
                connection.socket.write_all(&bytes[from..to]).ok()?;
                from = to;
                std::thread::sleep(Duration::from_millis(3));
            }
        }
        audit.request_started(id, class, controller, ttl);
        let sent = connection.socket.write_all(&bytes[from..]).is_ok();
        audit.request_sent(id);
        connection.open.insert(stream, OpenRequest { id, body, sent: Instant::now() });
        if !sent {
            self.broken();
            return None;
        }
        Some(id)
    }

    /// Takes what has come; false: the connection has ended.
    fn read(&mut self) -> bool {
        let Some(connection) = &mut self.connection else { return false };
        let mut buffer = [0; 4096];
        match connection.socket.read(&mut buffer) {
            Ok(0) => return false,
            Ok(length) => connection.reader.push(&buffer[..length]),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => return true,
            Err(_) => return false,
        }
        while let Some(frame) = connection.reader.next_frame() {
            match frame.kind {
                kind::GO_AWAY => connection.closing = true,
                kind::ANSWER if frame.stream > 0 => {
                    let Some(OpenRequest { id, body, .. }) = connection.open.remove(&frame.stream) else {
                        continue;
                    };
                    connection.rested = true;
                    let end = match frame.payload.first() {
                        Some(&SERVED) if frame.payload.get(2..) == Some(body.as_slice()) => End::Served,
                        Some(&SERVED) => End::Altered,
                        Some(&REFUSED) => End::Refused,
                        _ => End::Failed,
                    };
                    self.audit.call_ended(id, end);
                }
                _ => {}
            }
        }
        true
    }

    /// Waits until each open request has its answer, or its time is long over.
    fn wait_for_all(&mut self) {
        let began = Instant::now();
        while self.connection.as_ref().is_some_and(|connection| !connection.open.is_empty()) {
            if !self.read() {
                return self.broken_since(began);
            }
            if began.elapsed() > DEADLINE + BEYOND {
                let Some(connection) = self.connection.take() else { return };
                for request in connection.open.into_values() {
                    self.audit.call_ended(request.id, End::Unanswered);
                }
            }
        }
    }

    fn broken(&mut self) {
        self.broken_since(Instant::now());
    }

    /// The connection ended: what is open there has no answer, and why that may be.
    fn broken_since(&mut self, asked: Instant) {
        let Some(connection) = self.connection.take() else { return };
        let killed = self.controller.kills.load(Ordering::Acquire) != connection.kills;
        let crossed = connection.rested && asked.elapsed() < CROSSING;
        let process_end = self.process_end(connection.opened);
        let is_new = self.extras.crowd && !connection.rested;
        for request in connection.open.into_values() {
            let end = match (killed, crossed) {
                (true, _) => End::Killed,
                (false, crossed) => match process_end {
                    Some(end) => end_at_shutdown(&request, end),
                    None if crossed => End::Crossed,
                    None if is_new && request.sent.elapsed() < CROSSING => End::CrossedNew,
                    None => End::Lost,
                },
            };
            self.audit.call_ended(request.id, end);
        }
    }

    /// How the process ended, asked to end, to which a connection of this moment led; `None`: it has not.
    fn process_end(&self, opened: Instant) -> Option<ProcessEnd> {
        if !self.extras.shutdowns {
            return None;
        }
        // The connection is heard to end before the process is.
        let until = Instant::now() + END_TIMEOUT;
        while self.controller.phase() == Phase::Ending && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.controller.last_end().filter(|end| end.latest >= opened)
    }

    fn cancels(&mut self) {
        let wait = self.random.random_range(0..60);
        let Some(id) = self.send_request(DEADLINE, false) else { return };
        std::thread::sleep(Duration::from_millis(wait));
        let Some(connection) = &mut self.connection else { return };
        let Some((&stream, _)) = connection.open.iter().find(|(_, open)| open.id == id) else { return };
        let mut out = Vec::new();
        frames::bare(&mut out, kind::CANCEL, stream);
        let before = self.audit.now();
        if connection.socket.write_all(&out).is_ok() {
            connection.open.remove(&stream);
            self.audit.client_left(id, before);
        }
        self.wait_for_all();
    }

    fn leaves(&mut self) {
        let wait = self.random.random_range(0..60);
        let Some(id) = self.send_request(DEADLINE, false) else { return };
        std::thread::sleep(Duration::from_millis(wait));
        let before = self.audit.now();
        let others = self.connection.take().map(|connection| connection.open).unwrap_or_default();
        for other in others.into_values() {
            self.audit.client_left(other.id, before);
        }
        self.audit.client_left(id, before);
    }

    fn half(&mut self) {
        let Some(connection) = self.connected() else { return };
        let mut bytes = Vec::new();
        frames::request(&mut bytes, connection.last + 1, &[("op", "safe")], b"half");
        let _ = connection.socket.write_all(&bytes[..bytes.len() / 2]);
        self.connection = None;
    }

    fn garbage(&mut self) {
        self.connection = None;
        let bytes: Vec<u8> = (0..64).map(|_| self.random.random()).collect();
        let Some(connection) = self.connected() else { return };
        let _ = connection.socket.write_all(&bytes);
        self.connection = None;
    }
}
