//! A stand-in worker on sockets: the published service around the worker model, in a thread of its own. Faults
//! are told to it; what its sockets see is recorded.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response};
use nettleferry_net::grpc::{Code, Status, write_binary};
use nettleferry_net::{ConnKey, Hub, ListenerKey, NetEvent, NetLimits, StreamKey};
use nettleferry_proto::inference::*;
use nettleferry_proto::{marks, orca};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::models::{self, Answer};
use crate::spec::Spec;
use crate::store::{Micros, Store};
use crate::worker::{Asked, Away, CallNo, Done, Load, Worker};

/// What a worker is told to suffer.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// Its process dies: sockets close, all is lost.
    Die,
    /// It comes back, empty and cold, at the same addresses.
    Rise,
    /// It reads and answers nothing.
    Silent(bool),
    /// It refuses every stream unseen.
    Refuse(bool),
    /// It runs this share of its calls and fails them at once.
    FailFast(f64),
    /// Calls of models that begin so are never answered; `None`: none hang.
    Hang(Option<String>),
    /// Calls take this many times their work.
    Slow(f64),
    /// Its load reports are this old.
    LateReports(Micros),
    /// It breaks the connection after so many messages of an answer.
    CutAfter(Option<u32>),
    /// It breaks the next answer off inside a frame.
    HalfFrame,
    /// It sends GOAWAY in the middle of things: streams not yet seen never run, the rest break.
    GoAway,
    /// A door neither accepts, reads nor writes: a cut link.
    Cut {
        /// Which of its addresses.
        door: usize,
        /// Cut or mended.
        cut: bool,
    },
    /// New connections say nothing for so long.
    SlowHandshake(Micros),
    /// Copies of models that begin so go void.
    Void(String),
    /// The thread ends.
    Stop,
}

/// What was seen, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Since the epoch given.
    pub at: Micros,
    /// By whom.
    pub worker: String,
    /// What.
    pub seen: Seen,
}

/// What a worker's sockets see.
#[derive(Clone, Debug, PartialEq)]
pub enum Seen {
    /// It listens.
    Up {
        /// With a part of its capacity.
        cold: bool,
    },
    /// Its process died.
    Down,
    /// It fell over: too much while cold.
    Fell,
    /// The request of a call has come whole.
    Call {
        /// The stream, unique at this worker.
        stream: u64,
        /// The call's id, as the client gave it.
        id: String,
        /// Its model.
        model: String,
        /// The controller's number, as its header says.
        controller: String,
        /// The attempt's number, as its header says; `None`: none that can be read.
        attempt: Option<u32>,
        /// Its work.
        work: Micros,
    },
    /// A door, or one connection at it, was cut off or mended: what was sent meanwhile is read from then on.
    Link {
        /// Which of its addresses.
        door: usize,
        /// The connection; `None`: all of the door.
        conn: Option<u64>,
        /// Cut or mended.
        cut: bool,
    },
    /// A call has begun to run: its effect.
    Runs {
        /// The stream.
        stream: u64,
    },
    /// The caller withdrew it, or the connection broke.
    Gone {
        /// The stream.
        stream: u64,
    },
    /// The answer's end was sent.
    Answered {
        /// The stream.
        stream: u64,
        /// With OK.
        served: bool,
        /// With the mark that it never ran.
        never_ran: bool,
    },
    /// An order to load (more than zero copies).
    Order {
        /// The controller's number.
        controller: String,
        /// The model.
        model: String,
        /// Copies.
        copies: u32,
    },
    /// A probe.
    Probe,
}

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

/// Most past loads kept for late reports.
const MOST_HISTORY: usize = 4096;

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

    fn now(&self) -> Micros {
        self.options.epoch.elapsed().as_micros() as Micros
    }

    fn see(&self, seen: Seen) {
        if let Some(records) = &self.options.records {
            let _ = records.send(Record { at: self.now(), worker: self.options.name.clone(), seen });
        }
    }

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

    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        loop {
            let now = self.now();
            let next = self.worker.as_ref().filter(|_| !self.silent).and_then(Worker::next);
            let thaw = self.thaw.front().map(|(at, ..)| *at);
            let next = if self.mended { Some(now) } else { [next, thaw].into_iter().flatten().min() };
            let wait = next.map(|at| Duration::from_micros(at.saturating_sub(now)));
            self.hub.turn(wait, &mut events)?;
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

    fn thaw_due(&mut self) {
        let now = self.now();
        while let Some((_, conn, door)) = self.thaw.front().copied().filter(|(at, ..)| *at <= now) {
            self.thaw.pop_front();
            self.hub.freeze(conn, false);
            self.see(Seen::Link { door, conn: Some(conn.number()), cut: false });
            self.mended = true;
        }
    }

    fn suffer(&mut self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Die => self.die(Seen::Down),
            Fault::Rise if self.worker.is_none() => self.rise(true)?,
            Fault::Rise | Fault::Stop => {}
            Fault::Silent(on) => self.silent = on,
            Fault::Refuse(on) => self.refuse = on,
            Fault::FailFast(share) => self.fail_fast = share,
            Fault::Hang(models) => self.hang = models,
            Fault::Slow(factor) => self.slow = factor,
            Fault::LateReports(late) => self.late = late,
            Fault::CutAfter(n) => self.cut_after = n,
            Fault::HalfFrame => self.half_frame = true,
            Fault::SlowHandshake(span) => self.slow_handshake = span,
            Fault::Void(prefix) => {
                if let Some(worker) = &mut self.worker {
                    worker.void(&prefix);
                }
            }
            Fault::GoAway => {
                for listener in self.listeners.clone() {
                    for conn in self.hub.accepted_at(listener) {
                        self.hub.go_away_abruptly(conn, h2::Reason::NO_ERROR);
                    }
                }
            }
            Fault::Cut { door, cut } => {
                if let Some(listener) = self.listeners.get(door).copied() {
                    self.hub.freeze_listener(listener, cut);
                    for conn in self.hub.accepted_at(listener) {
                        self.hub.freeze(conn, cut);
                    }
                    self.see(Seen::Link { door, conn: None, cut });
                    self.mended |= !cut;
                }
            }
        }
        Ok(())
    }

    fn event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, listener, .. } if self.slow_handshake > 0 => {
                self.hub.freeze(conn, true);
                self.thaw.push_back((self.now() + self.slow_handshake, conn, listener.0));
                self.see(Seen::Link { door: listener.0, conn: Some(conn.number()), cut: true });
            }
            NetEvent::Request { conn, stream, head } => {
                if self.refuse {
                    self.hub.reset(stream, h2::Reason::REFUSED_STREAM);
                    return;
                }
                let method = head.uri.path().strip_prefix(SERVICE).unwrap_or("").to_owned();
                let header =
                    |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
                if header("grpc-encoding") == "gzip" {
                    self.hub.allow_gzip(stream);
                }
                let (controller, attempt) = (header(marks::CONTROLLER), header(marks::ATTEMPT).parse().ok());
                let (answered, half_closed) = (false, false);
                let fenced = self.is_fenced(&controller, header(marks::FENCE).parse().ok());
                let rpc = Rpc {
                    conn,
                    method,
                    controller,
                    fenced,
                    attempt,
                    answered,
                    half_closed,
                    pending: 0,
                    sent: 0,
                };
                self.rpcs.insert(stream, rpc);
            }
            NetEvent::Message { stream, payload } => self.message(stream, payload),
            NetEvent::HalfClosed { stream } => {
                let silent = self.silent;
                if let Some(rpc) = self.rpcs.get_mut(&stream) {
                    rpc.half_closed = true;
                    if rpc.method == "ModelStreamInfer" && rpc.pending == 0 && !silent {
                        self.finish(stream, Status::new(Code::Ok, ""), HeaderMap::new());
                    }
                }
            }
            NetEvent::Malformed { stream, error } => {
                self.finish(
                    stream,
                    Status::new(Code::ResourceExhausted, error.to_string()),
                    HeaderMap::new(),
                );
            }
            NetEvent::Failed { stream, .. } if self.rpcs.remove(&stream).is_some() => {
                self.see(Seen::Gone { stream: stream.number() });
                self.withdraw(stream);
            }
            NetEvent::Sent { stream } => {
                self.rpcs.remove(&stream);
            }
            NetEvent::Drained { stream } => {
                let waiting: Vec<CallNo> =
                    self.calls.iter().filter(|(_, c)| c.stream == stream).map(|(no, _)| *no).collect();
                for no in waiting {
                    self.send_parts(no);
                }
            }
            _ => {}
        }
    }

    fn withdraw(&mut self, stream: StreamKey) {
        let gone: Vec<CallNo> =
            self.calls.iter().filter(|(_, c)| c.stream == stream).map(|(no, _)| *no).collect();
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        for no in gone {
            self.calls.remove(&no);
            if let Some(worker) = self.worker.as_mut().filter(|_| !self.silent) {
                let mut done = Vec::new();
                worker.cancel(now, no, &mut lock(&store), &mut done);
                self.done(done);
            }
        }
    }

    /// Has a later life of this controller been seen? What tells no life is heeded as it is.
    fn is_fenced(&mut self, controller: &str, life: Option<u64>) -> bool {
        let Some(life) = life else { return false };
        let seen = self.fences.entry(controller.to_owned()).or_default();
        *seen = (*seen).max(life);
        life < *seen
    }

    fn message(&mut self, stream: StreamKey, payload: Bytes) {
        let Some((method, fenced)) = self.rpcs.get(&stream).map(|rpc| (rpc.method.clone(), rpc.fenced))
        else {
            return;
        };
        if fenced && matches!(method.as_str(), "ModelInfer" | "ModelStreamInfer" | "RepositoryModelLoad") {
            let mut trailers = HeaderMap::new();
            trailers.insert(marks::NEVER_RAN, HeaderValue::from_static(marks::FENCED));
            let words = "a later life of this controller was seen";
            return self.finish(stream, Status::new(Code::Unavailable, words), trailers);
        }
        match method.as_str() {
            "ModelInfer" => self.infer(stream, payload, false),
            "ModelStreamInfer" => self.infer(stream, payload, true),
            _ if self.silent => {}
            "ServerReady" => {
                self.see(Seen::Probe);
                self.reply(stream, &ServerReadyResponse { ready: true });
            }
            "ServerLive" => self.reply(stream, &ServerLiveResponse { live: true }),
            "ServerMetadata" => self.reply(
                stream,
                &ServerMetadataResponse {
                    name: self.options.name.clone(),
                    version: env!("CARGO_PKG_VERSION").to_owned(),
                    extensions: vec!["model_repository".to_owned()],
                },
            ),
            "ModelReady" => {
                let name = ModelReadyRequest::decode(payload).map(|r| r.name).unwrap_or_default();
                self.reply(stream, &ModelReadyResponse { ready: models::exists(&name) });
            }
            "RepositoryModelLoad" => self.load(stream, payload),
            "RepositoryModelUnload" => {
                if let (Ok(request), Some(worker)) =
                    (RepositoryModelUnloadRequest::decode(payload), &mut self.worker)
                {
                    worker.unload(&request.model_name);
                }
                self.reply(stream, &RepositoryModelUnloadResponse {});
            }
            _ => {
                let status = Status::new(Code::Unimplemented, format!("no method {method}"));
                self.finish(stream, status, HeaderMap::new());
            }
        }
    }

    /// A request's message; a malformed one is answered.
    fn decoded<M: Message + Default>(&mut self, stream: StreamKey, payload: Bytes) -> Option<M> {
        let read = M::decode(payload);
        if let Err(error) = &read {
            self.finish(stream, Status::new(Code::InvalidArgument, error.to_string()), HeaderMap::new());
        }
        read.ok()
    }

    fn infer(&mut self, stream: StreamKey, payload: Bytes, streamed: bool) {
        let Some(request) = self.decoded::<ModelInferRequest>(stream, payload) else { return };
        let model = request.model_name.clone();
        let work = (self.options.spec.model(&model).work as f64 * self.slow) as Micros;
        let rpc = self.rpcs.get(&stream).map(|rpc| (rpc.controller.clone(), rpc.attempt));
        let (controller, attempt) = rpc.unwrap_or_default();
        let number = stream.number();
        self.see(Seen::Call {
            stream: number,
            id: request.id.clone(),
            model: model.clone(),
            controller,
            attempt,
            work,
        });
        if self.silent || self.hang.as_ref().is_some_and(|prefix| model.starts_with(prefix)) {
            // It is owed for ever: the end of the client's side must not end the stream.
            if let Some(rpc) = self.rpcs.get_mut(&stream) {
                rpc.pending += 1;
            }
            return;
        }
        let answer = match models::answer(&request) {
            Ok(answer) => answer,
            Err(error) => return self.mistake(stream, &request.id, streamed, error.to_string()),
        };
        if self.fail_fast > 0.0 && self.random.random::<f64>() < self.fail_fast {
            self.see(Seen::Runs { stream: number });
            return self.finish(stream, Status::new(Code::Internal, "failing fast"), HeaderMap::new());
        }
        self.next += 1;
        let no = self.next;
        let steps = if streamed { answer.parts() as u32 } else { 1 };
        if let Some(rpc) = self.rpcs.get_mut(&stream) {
            rpc.pending += 1;
        }
        self.calls.insert(no, Call { stream, answer, streamed, ready: 0, sent: 0 });
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        let Some(worker) = &mut self.worker else { return };
        let mut done = Vec::new();
        let asked = Asked { no, model: &model, work, steps };
        worker.call(now, asked, &mut lock(&store), &mut done);
        self.done(done);
    }

    /// The caller's mistake. On a stream with other calls it ends that call alone.
    fn mistake(&mut self, stream: StreamKey, id: &str, streamed: bool, message: String) {
        let alone = self.rpcs.get(&stream).is_none_or(|rpc| rpc.pending == 0 && rpc.sent == 0);
        if streamed && !alone {
            let response = ModelInferResponse { id: id.to_owned(), ..Default::default() };
            let whole = ModelStreamInferResponse { error_message: message, infer_response: Some(response) };
            self.hub.send(stream, whole.encode_to_vec().into());
        } else {
            self.finish(stream, Status::new(Code::InvalidArgument, message), HeaderMap::new());
        }
    }

    fn load(&mut self, stream: StreamKey, payload: Bytes) {
        let Some(request) = self.decoded::<RepositoryModelLoadRequest>(stream, payload) else { return };
        let copies = request.parameters.get(COPIES).and_then(|p| match p.parameter_choice {
            Some(model_repository_parameter::ParameterChoice::Int64Param(n)) => u32::try_from(n).ok(),
            _ => None,
        });
        let copies = copies.unwrap_or(1);
        let controller = self.rpcs.get(&stream).map(|rpc| rpc.controller.clone()).unwrap_or_default();
        let model = request.model_name;
        if copies > 0 {
            self.see(Seen::Order { controller, model: model.clone(), copies });
        }
        self.next += 1;
        let no = self.next;
        self.orders.insert(no, stream);
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        let Some(worker) = &mut self.worker else { return };
        let mut done = Vec::new();
        worker.order(now, no, &model, copies, &mut lock(&store), &mut done);
        self.done(done);
    }

    fn done(&mut self, done: Vec<Done>) {
        for what in done {
            match what {
                Done::Runs(no) => {
                    if let Some(call) = self.calls.get(&no) {
                        self.see(Seen::Runs { stream: call.stream.number() });
                    }
                }
                Done::Step(no, step) => {
                    if let Some(call) = self.calls.get_mut(&no) {
                        call.ready = step as usize + 1;
                        self.send_parts(no);
                    }
                }
                Done::Away(no, why) => self.away(no, why),
                Done::Order(no, copies, stand) => self.ordered(no, copies, stand),
                Done::Fell => self.die(Seen::Fell),
            }
        }
    }

    fn away(&mut self, no: CallNo, why: Away) {
        let Some(call) = self.calls.remove(&no) else { return };
        let note = self.worker.as_mut().and_then(|w| w.note(no));
        let (mark, words) = match why {
            Away::Full => (marks::FULL, "no room"),
            Away::Miss => (marks::MISS, "the model is not loaded"),
            Away::LoadFailed => (marks::LOAD_FAILED, "the load failed"),
        };
        let mut trailers = HeaderMap::new();
        trailers.insert(marks::NEVER_RAN, HeaderValue::from_static(mark));
        let mut report = self.report();
        if let Some((_, crowd)) = note {
            report.named_metrics.insert(orca::CROWD.to_owned(), f64::from(crowd));
        }
        if why == Away::LoadFailed {
            report.named_metrics.insert(orca::NOTE.to_owned(), 4.0);
        }
        put(&mut trailers, &report);
        self.finish(call.stream, Status::new(Code::Unavailable, words), trailers);
    }

    fn ordered(&mut self, no: u64, copies: u32, stand: bool) {
        let Some(stream) = self.orders.remove(&no) else { return };
        let mut report = self.report();
        report.named_metrics.insert(orca::STANDING.to_owned(), f64::from(copies));
        let mut trailers = HeaderMap::new();
        put(&mut trailers, &report);
        if stand {
            self.hub.respond(stream, grpc_head());
            self.hub.send(stream, Bytes::new());
            let status = Status::new(Code::Ok, "").trailers();
            self.hub.finish(stream, Some(merged(status, trailers)));
        } else {
            trailers.insert(marks::NEVER_RAN, HeaderValue::from_static(marks::FULL));
            self.finish(stream, Status::new(Code::Unavailable, "no room, or the load failed"), trailers);
        }
    }

    /// Sends what is worked out, as far as the caller takes it.
    fn send_parts(&mut self, no: CallNo) {
        loop {
            let Some(call) = self.calls.get_mut(&no) else { return };
            let parts = if call.streamed { call.answer.parts() } else { 1 };
            if call.sent == call.ready || self.hub.is_full(call.stream) {
                return;
            }
            let (stream, n) = (call.stream, call.sent);
            call.sent += 1;
            let last = call.sent == parts;
            let payload = if call.streamed {
                let response = Some(call.answer.part(n));
                ModelStreamInferResponse { error_message: String::new(), infer_response: response }
                    .encode_to_vec()
            } else {
                call.answer.whole().encode_to_vec()
            };
            self.answer_part(stream, payload.into());
            if last {
                self.calls.remove(&no);
                self.answered(no, stream);
            }
        }
    }

    fn answer_part(&mut self, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if !rpc.answered {
            rpc.answered = true;
            self.hub.respond(stream, grpc_head());
        }
        rpc.sent += 1;
        let (conn, sent) = (rpc.conn, rpc.sent);
        if std::mem::take(&mut self.half_frame) {
            // The prefix promises more than comes; the connection breaks inside the frame.
            let mut raw = vec![0, 0, 0, 0xff, 0xff];
            raw.extend_from_slice(&payload);
            self.hub.send_raw(stream, raw.into());
            self.hub.cut_after(conn, 16);
            return;
        }
        self.hub.send(stream, payload);
        if self.cut_after.is_some_and(|n| sent >= n) {
            // What stands in the queue still leaves; then the peer finds the connection closed.
            self.cut_after = None;
            self.hub.cut_after(conn, self.hub.queued(stream) as u64 + 9 + CUT_SLACK);
            self.hub.send_raw(stream, vec![0, 0, 0, 0xff, 0xff].into());
            self.hub.send_raw(stream, Bytes::from(vec![0; 4096]));
        }
    }

    /// A call's last part is sent: its note and the load go with the trailers.
    fn answered(&mut self, no: CallNo, stream: StreamKey) {
        let note = self.worker.as_mut().and_then(|w| w.note(no));
        let mut report = self.report();
        if let Some((note, crowd)) = note {
            report.named_metrics.insert(orca::NOTE.to_owned(), f64::from(note as u8));
            report.named_metrics.insert(orca::CROWD.to_owned(), f64::from(crowd));
        }
        let mut trailers = HeaderMap::new();
        put(&mut trailers, &report);
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.pending = rpc.pending.saturating_sub(1);
        if rpc.method == "ModelInfer" || rpc.half_closed && rpc.pending == 0 {
            self.finish(stream, Status::new(Code::Ok, ""), trailers);
        }
    }

    fn reply(&mut self, stream: StreamKey, message: &impl Message) {
        let mut trailers = Status::new(Code::Ok, "").trailers();
        put(&mut trailers, &self.report());
        self.hub.respond(stream, grpc_head());
        self.hub.send(stream, message.encode_to_vec().into());
        self.hub.finish(stream, Some(trailers));
    }

    fn finish(&mut self, stream: StreamKey, status: Status, more: HeaderMap) {
        let Some(rpc) = self.rpcs.get(&stream) else { return };
        if rpc.method.ends_with("Infer") {
            let served = status.code == Code::Ok;
            let never_ran = more.contains_key(marks::NEVER_RAN);
            self.see(Seen::Answered { stream: stream.number(), served, never_ran });
        }
        let trailers = merged(status.trailers(), more);
        if rpc.answered {
            self.hub.finish(stream, Some(trailers));
        } else {
            let mut head = grpc_head();
            head.headers_mut().extend(trailers);
            self.hub.respond_only(stream, head);
        }
    }

    fn report(&self) -> orca::OrcaLoadReport {
        let now = self.now();
        let past = self.history.iter().rev().find(|(at, _)| at + self.late <= now).map(|(_, load)| *load);
        let load = match (self.late > 0, past) {
            (true, Some(past)) => past,
            _ => self.worker.as_ref().map(Worker::load).unwrap_or_default(),
        };
        let named = [
            (orca::INFLIGHT, load.inflight as f64),
            (orca::QUEUE, load.queue as f64),
            (orca::LOADS, load.loads as f64),
        ];
        orca::OrcaLoadReport {
            cpu_utilization: load.util,
            mem_utilization: load.memory_held,
            named_metrics: named.into_iter().map(|(k, v)| (k.to_owned(), v)).collect(),
            ..Default::default()
        }
    }
}

/// Room for frame heads of what is queued when a connection is to be cut after it.
const CUT_SLACK: u64 = 64;

fn lock(store: &Mutex<Store>) -> MutexGuard<'_, Store> {
    // A store is whole between any two statements of its methods.
    store.lock().unwrap_or_else(PoisonError::into_inner)
}

fn grpc_head() -> Response<()> {
    let mut head = Response::new(());
    head.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    head
}

fn merged(mut status: HeaderMap, more: HeaderMap) -> HeaderMap {
    status.extend(more);
    status
}

fn put(trailers: &mut HeaderMap, report: &orca::OrcaLoadReport) {
    if let Some(value) = write_binary(&report.encode_to_vec()) {
        trailers.insert(orca::TRAILER, value);
    }
}
