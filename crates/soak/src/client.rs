//! Simulated clients. Each sends requests to one controller over connections of its own, and at random cancels,
//! disconnects, or sends incomplete or invalid data.

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
use crate::wire::{FrameReader, REFUSED, SERVED};

/// Number of functions that clients request.
const FUNCTIONS: u64 = 12;
/// Time that a client waits after [`DEADLINE`] before it records that no answer arrived.
const ANSWER_GRACE: Duration = Duration::from_millis(500);
/// A request sent within this span before the connection ends may have crossed its close.
const CROSSING_SPAN: Duration = Duration::from_millis(50);
/// Time that a client waits, after a connection closed during a shutdown, for the exit of the controller's process.
const EXIT_TIMEOUT: Duration = Duration::from_millis(500);

/// The next action of a client.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Send this many requests without waiting in between, then wait for all answers.
    Batch(u32),
    /// Send one request in several small writes.
    Fragmented,
    /// Send one request and cancel it.
    Cancel,
    /// Send one request and close the connection shortly after.
    Disconnect,
    /// Send one request with a very short time to live.
    ShortDeadline,
    /// Send half a request and close the connection.
    PartialRequest,
    /// Send random bytes on a new connection and close it.
    Garbage,
    /// Leave the connection idle, then send a request on it.
    IdleThenRequest,
}

/// A simulated client of one controller.
pub struct Client {
    controller: Arc<Controller>,
    audit: Arc<Audit>,
    random: ChaCha8Rng,
    ids: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    connection: Option<Connection>,
    /// The optional disturbances of the run.
    extras: Extras,
}

struct Connection {
    socket: TcpStream,
    reader: FrameReader,
    last_stream: u32,
    /// Unanswered requests, by stream.
    open: BTreeMap<u32, OpenRequest>,
    /// The controller sent GO_AWAY: it accepts no new requests on the connection.
    closing: bool,
    /// At least one request on the connection was answered.
    has_answered: bool,
    opened: Instant,
    /// The controller's count of kills when the connection was opened.
    kills: u64,
}

/// A request that has no answer yet.
struct OpenRequest {
    id: u64,
    body: Vec<u8>,
    /// The time after the last byte was sent.
    sent: Instant,
}

/// Returns the outcome of a request whose connection ended because the controller's process exited.
fn end_at_shutdown(request: &OpenRequest, end: ProcessEnd) -> End {
    // A process that the test had suspended with SIGSTOP answers nothing until it is killed.
    let last_served = end.stopped_since.filter(|_| end.killed).unwrap_or(end.earliest);
    let crossed = request.sent + CROSSING_SPAN >= last_served;
    match (end.killed, crossed) {
        (true, true) => End::CrossedKill,
        (false, true) => End::CrossedEnd,
        (_, false) => End::Lost,
    }
}

impl Client {
    /// Creates a client of `controller` that takes call ids from `ids` and runs until `stop` is set. With
    /// `extras.shutdowns`, it uses its connection until the controller's process has exited.
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

    /// Sends requests until the client is stopped.
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
            let action = self.next_action();
            self.perform(action);
            let pause = self.random.random_range(0..40);
            std::thread::sleep(Duration::from_millis(pause));
        }
    }

    /// Sends a request on the existing connection and waits for the answer. During a shutdown this is repeated, so that
    /// one request crosses the exit of the process.
    fn send_on_open_connection(&mut self) {
        self.send_request(DEADLINE, false);
        self.wait_for_all();
    }

    fn next_action(&mut self) -> Action {
        match self.random.random_range(0..100) {
            0..60 => Action::Batch(self.random.random_range(1..5)),
            60..70 => Action::Fragmented,
            70..78 => Action::Cancel,
            78..86 => Action::Disconnect,
            86..90 => Action::ShortDeadline,
            90..93 => Action::PartialRequest,
            93..95 => Action::Garbage,
            _ => Action::IdleThenRequest,
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Batch(count) => {
                for _ in 0..count {
                    self.send_request(DEADLINE, false);
                }
                self.wait_for_all();
            }
            Action::Fragmented => {
                self.send_request(DEADLINE, true);
                self.wait_for_all();
            }
            Action::ShortDeadline => {
                let ttl = self.random.random_range(5..60);
                self.send_request(Duration::from_millis(ttl), false);
                self.wait_for_all();
            }
            Action::Cancel => self.send_and_cancel(),
            Action::Disconnect => self.send_and_disconnect(),
            Action::PartialRequest => self.send_partial_request(),
            Action::Garbage => self.send_garbage(),
            Action::IdleThenRequest => {
                let span = self.random.random_range(300..1_500);
                std::thread::sleep(Duration::from_millis(span));
                self.send_request(DEADLINE, false);
                self.wait_for_all();
            }
        }
    }

    /// Returns the current connection, or a new one if the current one takes no requests. Returns `None` if no
    /// connection can be opened.
    fn connected(&mut self) -> Option<&mut Connection> {
        // With extra shutdowns, clients use a connection until it ends, even after GO_AWAY.
        let ignores_go_away = self.extras.shutdowns && self.controller.phase() == Phase::Ending;
        if !ignores_go_away && self.connection.as_ref().is_some_and(|connection| connection.closing) {
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
                last_stream: 0,
                open: BTreeMap::new(),
                closing: false,
                has_answered: false,
                opened: Instant::now(),
                kills,
            });
        }
        self.connection.as_mut()
    }

    /// Sends one request, in several writes if `fragmented`. Returns its id, or `None` if it could not be sent.
    fn send_request(&mut self, ttl: Duration, fragmented: bool) -> Option<u64> {
        let id = self.ids.fetch_add(1, Ordering::AcqRel);
        let class = if self.random.random_ratio(1, 3) { Class::Once } else { Class::Safe };
        let function = self.random.random_range(0..FUNCTIONS);
        let body: Vec<u8> = (0..self.random.random_range(0..600)).map(|_| self.random.random()).collect();
        let fragment_lengths: Vec<usize> = (0..4).map(|_| self.random.random_range(1..90)).collect();
        let (audit, controller) = (Arc::clone(&self.audit), self.controller.number);
        let connection = self.connected()?;
        connection.last_stream += 1;
        let (stream, mut bytes) = (connection.last_stream, Vec::new());
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
        if fragmented {
            for length in fragment_lengths {
                let to = (from + length).min(bytes.len() - 1);
                // The time to live counts from the last byte. If an earlier write fails, the controller got no complete
                // request, and no call is recorded.
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
            self.connection_lost(Instant::now());
            return None;
        }
        Some(id)
    }

    /// Reads and handles the frames that have arrived. Returns false if the connection has ended.
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
                    connection.has_answered = true;
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

    /// Waits until each open request is answered, the connection ends, or [`ANSWER_GRACE`] has passed after the
    /// deadline.
    fn wait_for_all(&mut self) {
        let waiting_since = Instant::now();
        while self.connection.as_ref().is_some_and(|connection| !connection.open.is_empty()) {
            if !self.read() {
                return self.connection_lost(waiting_since);
            }
            if waiting_since.elapsed() > DEADLINE + ANSWER_GRACE {
                let Some(connection) = self.connection.take() else { return };
                for request in connection.open.into_values() {
                    self.audit.call_ended(request.id, End::Unanswered);
                }
            }
        }
    }

    /// Handles the end of the connection: records for each open request why it may have no answer. `waiting_since` is
    /// when the client began to wait for answers.
    fn connection_lost(&mut self, waiting_since: Instant) {
        let ended = Instant::now();
        let Some(connection) = self.connection.take() else { return };
        let killed = self.controller.kills.load(Ordering::Acquire) != connection.kills;
        let crossed = connection.has_answered && waiting_since.elapsed() < CROSSING_SPAN;
        let process_end = self.process_end(connection.opened);
        let is_new = self.extras.crowd && !connection.has_answered;
        for request in connection.open.into_values() {
            let end = match (killed, crossed) {
                (true, _) => End::Killed,
                (false, crossed) => match process_end {
                    // The process closed the idle connection itself, and was seen running after that.
                    Some(end) if crossed && !end.may_have_closed(ended) => End::Crossed,
                    Some(end) => end_at_shutdown(&request, end),
                    None if crossed => End::Crossed,
                    None if is_new && request.sent.elapsed() < CROSSING_SPAN => End::CrossedNew,
                    None => End::Lost,
                },
            };
            self.audit.call_ended(request.id, end);
        }
    }

    /// Returns the exit of the controller's process, if it was asked to exit and exited after the time `opened`.
    /// Returns `None` in runs without extra shutdowns.
    fn process_end(&self, opened: Instant) -> Option<ProcessEnd> {
        if !self.extras.shutdowns {
            return None;
        }
        // The kernel closes the connection before the test observes the exit of the process.
        let until = Instant::now() + EXIT_TIMEOUT;
        while self.controller.phase() == Phase::Ending && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.controller.last_end().filter(|end| end.latest >= opened)
    }

    fn send_and_cancel(&mut self) {
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

    fn send_and_disconnect(&mut self) {
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

    fn send_partial_request(&mut self) {
        let Some(connection) = self.connected() else { return };
        let mut bytes = Vec::new();
        frames::request(&mut bytes, connection.last_stream + 1, &[("op", "safe")], b"half");
        let _ = connection.socket.write_all(&bytes[..bytes.len() / 2]);
        self.connection = None;
    }

    fn send_garbage(&mut self) {
        self.connection = None;
        let bytes: Vec<u8> = (0..64).map(|_| self.random.random()).collect();
        let Some(connection) = self.connected() else { return };
        let _ = connection.socket.write_all(&bytes);
        self.connection = None;
    }
}
