//! The gRPC front: the Open Inference Protocol towards clients. Knows calls and clients, no workers. Tensors
//! go through untouched: a request's bytes are handed on as they came, an answer's as the worker sent them.

pub mod ends;
mod head;
mod metadata;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::audit_log::{Known, NOBODY};
use crate::tenants::{Tenants, Turned, model_number};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use nettleferry::{Micros, TenantId};
use nettleferry_audit_log::Recorder;
use nettleferry_config::Config;
use nettleferry_engine::{CallId, Command, Engine, Event, FinalAnswer, NewCall, Phase, Step};
use nettleferry_fleet::gate::{CallInfo, Gate, Verdict};
use nettleferry_fleet::lease::{Holder, Stage};
use nettleferry_net::framing::FrameError;
use nettleferry_net::grpc::{Code, Status};
use nettleferry_net::{Hub, NetEvent, StreamKey};
use nettleferry_proto::inference::SERVICE;
use nettleferry_proto::peek;

use ends::Failure;

/// Clients of a controller that takes no calls come back within this span beyond the usual advice.
const STRAGGLER_SPREAD_MS: u64 = 1_000;

/// What the front needs of its surroundings for one event.
pub struct Around<'a> {
    /// The reactor.
    pub hub: &'a mut Hub,
    /// The engine.
    pub engine: &'a mut Engine,
    /// What the engine commands meanwhile.
    pub commands: &'a mut Vec<Command>,
    /// Tenants of the administration, where there is one.
    pub tenants: Option<&'a mut Tenants>,
    /// How many calls are taken after a restart, while that is judged.
    pub gate: Option<&'a mut Gate>,
    /// Until when it may act on what it last heard, where it follows another's administration.
    pub lease: Option<&'a mut Holder>,
    /// The record of what is acted on, where one is kept.
    pub trail: Option<&'a mut Recorder>,
    /// The time.
    pub now: Micros,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    Infer,
    Stream,
    Small(metadata::Small),
}

struct Rpc {
    method: Method,
    /// When the client gives up, where it told.
    due: Option<Micros>,
    /// The tenant it names.
    tenant: Option<String>,
    repeat: bool,
    /// The stream's first failing call ends it with its status.
    grpc_error: bool,
    /// Its open calls, and their marks.
    calls: BTreeMap<CallId, u64>,
    answered: bool,
    half_closed: bool,
    /// A message has come.
    asked: bool,
    full: bool,
    paused: bool,
}

struct Call {
    stream: StreamKey,
    id: Arc<str>,
    model: Arc<str>,
}

/// What the front counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FrontCounters {
    /// RPCs that came.
    pub rpcs: u64,
    /// RPCs and calls turned away as malformed: content type, encoding, time-out, message.
    pub malformed: u64,
    /// Calls of models that no setting matches.
    pub unknown_model: u64,
    /// Calls that admission turned away.
    pub turned_away: u64,
    /// Calls refused at once after a restart, as too many would have waited.
    pub at_gate: u64,
    /// Calls refused as it is not known whether the tenants' book still holds.
    pub without_lease: u64,
    /// Streams made to wait because of `calls-per-stream`.
    pub over_calls_per_stream: u64,
    /// Streams whose client did not take its answers, so that their workers were made to wait.
    pub slow_clients: u64,
}

/// The front.
pub struct Front {
    config: Arc<Config>,
    rpcs: HashMap<StreamKey, Rpc>,
    calls: HashMap<u64, Call>,
    next: u64,
    draining: bool,
    /// Some worker is in service: for ServerReady.
    pub ready: bool,
    /// Calls opened so far.
    pub opened: u64,
    counters: FrontCounters,
}

impl Front {
    /// A front without clients.
    pub fn new(config: Arc<Config>) -> Self {
        Self {
            config,
            rpcs: HashMap::new(),
            calls: HashMap::new(),
            next: 0,
            draining: false,
            ready: false,
            opened: 0,
            counters: FrontCounters::default(),
        }
    }

    /// What it counts.
    pub fn counters(&self) -> FrontCounters {
        self.counters
    }

    fn pushback(&self) -> Duration {
        Duration::from_micros(self.config.edge.pushback)
    }

    /// No new calls from now on; streams without open calls end.
    pub fn drain(&mut self, around: &mut Around) {
        self.draining = true;
        let idle: Vec<StreamKey> =
            self.rpcs.iter().filter(|(_, rpc)| rpc.calls.is_empty() && rpc.asked).map(|(s, _)| *s).collect();
        for stream in idle {
            self.end_rpc(around, stream, &self.leaving());
        }
    }

    fn leaving(&self) -> Failure {
        Failure::refused("this controller is going away", self.pushback())
    }

    /// An event on a stream that a client opened.
    pub fn event(&mut self, around: &mut Around, event: NetEvent) {
        match event {
            NetEvent::Request { stream, head, .. } => self.request(around, stream, &head),
            NetEvent::Message { stream, payload } => self.message(around, stream, payload),
            NetEvent::HalfClosed { stream } => self.half_closed(around, stream),
            NetEvent::Malformed { stream, error } => {
                self.counters.malformed += 1;
                let code = match error {
                    FrameError::TooLarge { .. } => Code::ResourceExhausted,
                    FrameError::CutShort(_) | FrameError::BadFlag(_) => Code::Internal,
                    FrameError::NoEncoding | FrameError::BadGzip => Code::InvalidArgument,
                };
                self.end_rpc(around, stream, &Failure::of(code, error.to_string()));
            }
            NetEvent::Failed { stream, .. } => self.client_gone(around, stream),
            NetEvent::Sent { stream } => {
                self.rpcs.remove(&stream);
            }
            NetEvent::Drained { stream } => self.slow(around, stream, false),
            _ => {}
        }
    }

    // ---- requests ----

    fn request(&mut self, around: &mut Around, stream: StreamKey, head: &http::request::Parts) {
        self.counters.rpcs += 1;
        if let Err(status) = head::acceptable(head) {
            self.counters.malformed += 1;
            let mut answer = Response::new(());
            *answer.status_mut() = status;
            around.hub.respond_only(stream, answer);
            return;
        }
        let read = match head::read(head, around.now) {
            Ok(read) => read,
            Err(failure) => {
                self.counters.malformed += 1;
                return respond_only(around.hub, stream, &failure);
            }
        };
        let method = match head.uri.path().strip_prefix(SERVICE) {
            Some("ModelInfer") => Method::Infer,
            Some("ModelStreamInfer") => Method::Stream,
            Some(name) if let Some(small) = metadata::Small::named(name) => Method::Small(small),
            _ => {
                let what = format!("there is no method {} here", head.uri.path());
                return respond_only(around.hub, stream, &Failure::of(Code::Unimplemented, what));
            }
        };
        if self.draining {
            return respond_only(around.hub, stream, &self.leaving());
        }
        if read.gzip {
            around.hub.allow_gzip(stream);
        }
        self.rpcs.insert(
            stream,
            Rpc {
                method,
                due: read.due,
                tenant: read.tenant,
                repeat: read.repeat,
                grpc_error: read.grpc_error,
                calls: BTreeMap::new(),
                answered: false,
                half_closed: false,
                asked: false,
                full: false,
                paused: false,
            },
        );
    }

    fn message(&mut self, around: &mut Around, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        let first = !std::mem::replace(&mut rpc.asked, true);
        match rpc.method {
            Method::Small(small) if first => {
                let stage = around.lease.as_ref().map_or(Stage::Current, |l| l.stage(around.now / 1000));
                let ready = self.ready && !self.draining && stage.is_ready();
                match metadata::answer(small, payload, &self.config, ready) {
                    Ok(message) => {
                        around.hub.respond(stream, grpc_head());
                        around.hub.send(stream, message);
                        around.hub.finish(stream, Some(Status::new(Code::Ok, "").trailers()));
                    }
                    Err(failure) => self.end_rpc(around, stream, &failure),
                }
            }
            Method::Infer if !first => {
                self.counters.malformed += 1;
                let what = "ModelInfer takes one message; for more use ModelStreamInfer";
                self.end_rpc(around, stream, &Failure::of(Code::InvalidArgument, what));
            }
            Method::Infer | Method::Stream => self.open(around, stream, payload),
            Method::Small(_) => {}
        }
    }

    /// Opens the call that a message asks for, or answers it at once.
    fn open(&mut self, around: &mut Around, stream: StreamKey, payload: Bytes) {
        let read = peek::infer_request(&payload);
        let head = match read {
            Ok(head) => head,
            Err(error) => {
                self.counters.malformed += 1;
                let what = format!("no ModelInferRequest: {error}");
                return self.fail_call(around, stream, "", &Failure::of(Code::InvalidArgument, what));
            }
        };
        if self.draining {
            let leaving = self.leaving();
            return self.fail_call(around, stream, &head.id, &leaving);
        }
        let Some(model) = self.config.models.served(&head.model, &head.version) else {
            self.counters.unknown_model += 1;
            let version =
                if head.version.is_empty() { String::new() } else { format!(" version {}", head.version) };
            let what = format!("no model {:?}{version} is served here", head.model);
            return self.fail_call(around, stream, &head.id, &Failure::of(Code::NotFound, what));
        };
        // Of use to the gate alone, which is there for moments.
        let number = if around.gate.is_some() { model_number(&head.model) } else { 0 };
        if let Some(wait) = self.at_gate(around, stream, model.class.0, number) {
            self.counters.at_gate += 1;
            let what = "this controller has just come back: more would wait than can be answered in time";
            return self.fail_call(around, stream, &head.id, &Failure::refused(what, wait));
        }
        if let Some(failure) = self.without_lease(around) {
            self.counters.without_lease += 1;
            return self.fail_call(around, stream, &head.id, &failure);
        }
        let Some(rpc) = self.rpcs.get(&stream) else { return };
        let most = self.config.settings.classes[model.class.0].deadline;
        let left = rpc.due.map_or(most, |due| due.saturating_sub(around.now).min(most));
        self.next += 1;
        let front = self.next;
        let tenant = match &mut around.tenants {
            None => Ok(rpc.tenant.as_ref().and_then(|name| self.config.tenants.get(name).copied())),
            Some(tenants) => {
                // What is in hand is to be as the engine has it by now.
                for phase in around.engine.drain_phases() {
                    if let Some(gate) = &mut around.gate {
                        gate_step(gate, around.now, &phase);
                    }
                    tenants.step(around.now, phase);
                }
                let asked = (head.model.as_str(), model.memory);
                tenants.ask(around.now, front, rpc.tenant.as_deref(), model.class.0, asked)
            }
        };
        let tenant: Option<TenantId> = match tenant {
            Ok(tenant) => tenant,
            Err(turned) => {
                self.counters.turned_away += 1;
                let failure = self.turned(&turned);
                return self.fail_call(around, stream, &head.id, &failure);
            }
        };
        let (id, name): (Arc<str>, Arc<str>) = (head.id.into(), head.model.into());
        self.calls.insert(front, Call { stream, id, model: Arc::clone(&name) });
        let open = NewCall {
            front,
            class: model.class,
            tenant,
            model: name,
            version: head.version.into(),
            time_left: left,
            cost_hint: model.service_time,
            lanes: model.lanes,
            load_time: model.load_time,
            repeat: rpc.repeat,
            group: model.group,
            streamed: rpc.method == Method::Stream,
            body: payload,
        };
        self.opened += 1;
        if let Some(trail) = &mut around.trail {
            trail.call(around.now / 1000, tenant.map_or(NOBODY, |t| t.0 as u64));
        }
        if let Some(gate) = &mut around.gate {
            gate.waiting(around.now / 1000, front, number);
        }
        let before = around.commands.len();
        let call = around.engine.open(around.now, open, around.commands);
        let ended = around.commands[before..]
            .iter()
            .any(|c| matches!(c, Command::Answer { call: c, .. } if *c == call));
        let Some(rpc) = self.rpcs.get_mut(&stream).filter(|_| !ended) else { return };
        rpc.calls.insert(call, front);
        if rpc.full {
            around.engine.handle(around.now, Event::ClientSlow { call }, around.commands);
        }
        if rpc.calls.len() >= self.config.edge.calls_per_stream && !rpc.paused {
            rpc.paused = true;
            self.counters.over_calls_per_stream += 1;
            around.hub.pause(stream);
        }
    }

    /// After a restart: is a call refused at once, and until when?
    fn at_gate(&self, around: &mut Around, stream: StreamKey, class: usize, model: u64) -> Option<Duration> {
        let gate = around.gate.as_mut()?;
        let classes = &self.config.settings.classes;
        let class = classes.get(class)?;
        let due = self.rpcs.get(&stream).and_then(|rpc| rpc.due);
        let left = due.map_or(class.deadline, |due| due.saturating_sub(around.now).min(class.deadline));
        let dearest = classes.iter().map(|c| c.worth).fold(f64::MIN_POSITIVE, f64::max);
        let careful = class.effect != nettleferry::Effect::Safe;
        let (left, aim) = (left / 1000, class.aim / 1000);
        let asked = CallInfo {
            remaining: left,
            latency_objective: aim,
            priority_weight: class.worth / dearest,
            non_idempotent: careful,
            model,
        };
        match gate.admit(around.now / 1000, &asked, rand::random()) {
            Verdict::Admit => None,
            Verdict::Reject(wait) => Some(Duration::from_millis(wait)),
        }
    }

    /// One that can't know whether its book still holds takes no call, where it is told not to: another controller
    /// may, and so may this one when it has heard.
    fn without_lease(&self, around: &mut Around) -> Option<Failure> {
        let stage = around.lease.as_mut()?.check_call(around.now / 1000);
        if let Some(trail) = &mut around.trail {
            let known = Known { tenants: around.tenants.as_deref(), engine: around.engine };
            trail.stage(around.now / 1000, stage.as_str(), &known);
            if !stage.accepts_calls() {
                trail.refused(around.now / 1000);
            }
        }
        if stage.accepts_calls() {
            return None;
        }
        let what = match stage {
            Stage::Fenced => "this controller was shut out",
            _ => "this controller does not know whether its book of tenants still holds",
        };
        // Clients come back apart.
        let spread = Duration::from_millis(rand::random_range(0..=STRAGGLER_SPREAD_MS));
        Some(Failure::refused(what, self.pushback() + spread))
    }

    /// Over a limit: another try is harmless, after a while. Without a right: none will do.
    fn turned(&self, turned: &Turned) -> Failure {
        if turned.denied {
            return Failure::of(Code::PermissionDenied, turned.message.clone());
        }
        let wait = turned.wait.map_or(self.pushback(), Duration::from_micros);
        let refused = Failure::refused(turned.message.clone(), wait.max(Duration::from_millis(1)));
        Failure { status: Status::new(Code::ResourceExhausted, turned.message.clone()), ..refused }
    }

    fn half_closed(&mut self, around: &mut Around, stream: StreamKey) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.half_closed = true;
        if !rpc.asked && rpc.method != Method::Stream {
            self.counters.malformed += 1;
            self.end_rpc(around, stream, &Failure::of(Code::InvalidArgument, "the request holds no message"));
        } else {
            self.finish_if_done(around, stream);
        }
    }

    fn client_gone(&mut self, around: &mut Around, stream: StreamKey) {
        let Some(rpc) = self.rpcs.remove(&stream) else { return };
        self.abandon(around, rpc.calls);
    }

    /// Calls that have lost their client.
    fn abandon(&mut self, around: &mut Around, calls: BTreeMap<CallId, u64>) {
        for (call, front) in calls {
            self.calls.remove(&front);
            around.engine.handle(around.now, Event::ClientDisconnected { call }, around.commands);
        }
    }

    // ---- answers ----

    /// A part of an answer: to its stream as it came.
    pub fn part(&mut self, around: &mut Around, front: u64, payload: Bytes) {
        let Some(stream) = self.calls.get(&front).map(|call| call.stream) else { return };
        self.send(around, stream, payload);
    }

    /// A call's final answer.
    pub fn end(&mut self, around: &mut Around, id: CallId, front: u64, end: FinalAnswer) {
        let Some(call) = self.calls.remove(&front) else { return };
        let pushback = self.pushback();
        let Some(rpc) = self.rpcs.get_mut(&call.stream) else { return };
        rpc.calls.remove(&id);
        if rpc.paused && rpc.calls.len() < self.config.edge.calls_per_stream {
            rpc.paused = false;
            around.hub.resume(call.stream);
        }
        match (ends::failure(&end, pushback), end) {
            (Some(failure), _) => self.fail_call(around, call.stream, &call.id, &failure),
            (None, FinalAnswer::Served { last }) => {
                let streamed = rpc.method == Method::Stream;
                let last = last.or_else(|| streamed.then(|| ends::empty_final(&call.id, &call.model)));
                if let Some(payload) = last {
                    self.send(around, call.stream, payload);
                }
                if !streamed {
                    around.hub.finish(call.stream, Some(Status::new(Code::Ok, "").trailers()));
                }
            }
            (None, _) => {}
        }
        self.finish_if_done(around, call.stream);
    }

    fn send(&mut self, around: &mut Around, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if !rpc.answered {
            rpc.answered = true;
            around.hub.respond(stream, grpc_head());
        }
        around.hub.send(stream, payload);
        if !rpc.full && around.hub.is_full(stream) {
            self.slow(around, stream, true);
        }
    }

    /// The client of a stream does not take its answers, or does again: its workers wait, nobody else's.
    fn slow(&mut self, around: &mut Around, stream: StreamKey, full: bool) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.full = full;
        self.counters.slow_clients += u64::from(full);
        for call in rpc.calls.keys().copied() {
            let event = if full { Event::ClientSlow { call } } else { Event::ClientReady { call } };
            around.engine.handle(around.now, event, around.commands);
        }
    }

    /// One call without success: a message on a stream, the whole RPC otherwise.
    fn fail_call(&mut self, around: &mut Around, stream: StreamKey, id: &str, failure: &Failure) {
        let Some(rpc) = self.rpcs.get(&stream) else { return };
        if rpc.method == Method::Stream && !rpc.grpc_error {
            self.send(around, stream, failure.message(id));
        } else {
            self.end_rpc(around, stream, failure);
        }
    }

    /// Ends an RPC with a status; its open calls lose their client.
    fn end_rpc(&mut self, around: &mut Around, stream: StreamKey, failure: &Failure) {
        let Some(rpc) = self.rpcs.remove(&stream) else { return };
        if rpc.answered {
            around.hub.finish(stream, Some(failure.trailers()));
        } else {
            respond_only(around.hub, stream, failure);
        }
        self.abandon(around, rpc.calls);
    }

    /// A stream whose client sends no more and whose calls have all ended.
    fn finish_if_done(&mut self, around: &mut Around, stream: StreamKey) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if rpc.method != Method::Stream || !rpc.calls.is_empty() {
            return;
        }
        if rpc.half_closed {
            if !rpc.answered {
                rpc.answered = true;
                around.hub.respond(stream, grpc_head());
            }
            around.hub.finish(stream, Some(Status::new(Code::Ok, "").trailers()));
        } else if self.draining {
            let leaving = self.leaving();
            self.end_rpc(around, stream, &leaving);
        }
    }
}

/// What became of a call, for the gate: does it wait for a worker?
pub fn gate_step(gate: &mut Gate, now: Micros, phase: &Phase) {
    match phase.step {
        // Its model stays known while a worker has it: one that is given back waits anew.
        Step::AttemptStarted => gate.has_worker(phase.front),
        Step::AttemptEnded => gate.returned_by_worker(now / 1000, phase.front),
        Step::CallEnded(_) => gate.ended(phase.front),
    }
}

fn grpc_head() -> Response<()> {
    let mut head = Response::new(());
    head.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    head.headers_mut().insert("grpc-accept-encoding", HeaderValue::from_static("identity,gzip"));
    head
}

fn respond_only(hub: &mut Hub, stream: StreamKey, failure: &Failure) {
    let mut head = grpc_head();
    let trailers: HeaderMap = failure.trailers();
    head.headers_mut().extend(trailers);
    *head.status_mut() = StatusCode::OK;
    hub.respond_only(stream, head);
}
