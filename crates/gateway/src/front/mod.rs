//! The gRPC front: serves the Open Inference Protocol to clients. It knows calls and clients, but no workers. Requests
//! and responses are forwarded unchanged, so tensors are never decoded.
//!
//! * [`context`]: the parts of the controller that the front uses. [`headers`]: reads the headers of requests.
//! * [`accept`]: accepts or rejects calls. [`respond`]: sends answers and ends RPCs.
//! * [`failure`]: maps final answers to gRPC statuses. [`response`]: builds the headers of responses.
//! * [`info_methods`]: methods that need no worker: liveness, readiness, metadata.

mod accept;
mod context;
mod failure;
mod headers;
mod info_methods;
mod respond;
mod response;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, request};
use nettleferry::Micros;
use nettleferry_config::Config;
use nettleferry_engine::{CallId, Event};
use nettleferry_fleet::lease::Stage;
use nettleferry_net::framing::FrameError;
use nettleferry_net::grpc::{Code, Status};
use nettleferry_net::{NetEvent, StreamKey};
use nettleferry_proto::inference::SERVICE;

pub(crate) use context::FrontContext;
use failure::Failure;
use headers::RequestHeaders;
use info_methods::InfoMethod;
use response::{grpc_head, respond_only};

/// The method of an RPC.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Method {
    /// `ModelInfer`: one request, which is one call.
    Infer,
    /// `ModelStreamInfer`: each message of the client is a call.
    Stream,
    /// A method that is answered without a worker.
    Info(InfoMethod),
}

/// An RPC of a client that has not ended.
struct Rpc {
    method: Method,
    headers: RequestHeaders,
    /// Open calls of this RPC, with their numbers in the front.
    calls: BTreeMap<CallId, u64>,
    /// The headers of the response were sent.
    responded: bool,
    /// The client has ended its side of the stream.
    half_closed: bool,
    /// At least one message was received.
    has_request: bool,
    /// The send queue of the stream is full, as the client reads its answers too slowly.
    send_queue_full: bool,
    /// Reading is paused, because the stream has the maximum number of open calls.
    paused: bool,
}

impl Rpc {
    fn new(method: Method, headers: RequestHeaders) -> Self {
        Self {
            method,
            headers,
            calls: BTreeMap::new(),
            responded: false,
            half_closed: false,
            has_request: false,
            send_queue_full: false,
            paused: false,
        }
    }
}

/// What the front keeps of an open call, to send its answers.
struct OpenCall {
    stream: StreamKey,
    /// The `id` of the client's request.
    id: Arc<str>,
    model: Arc<str>,
    body_bytes: usize,
}

/// Totals of the front since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct FrontCounters {
    /// RPCs that clients have started, including rejected ones.
    pub rpcs: u64,
    /// RPCs and calls rejected because of an invalid HTTP method, content type, encoding, timeout or message, or
    /// because of a wrong number of messages.
    pub malformed: u64,
    /// Calls of models, or versions of models, that the settings do not contain.
    pub unknown_model: u64,
    /// Calls rejected because of their tenant: its limits or rights, or a missing or outdated snapshot of the tenants.
    pub not_admitted: u64,
    /// Accepted calls of keyed classes whose requests have no id, so that workers can't recognise their repeats.
    pub keyed_without_id: u64,
    /// Calls rejected by the restart limiter.
    pub rejected_after_restart: u64,
    /// Calls rejected because this controller had no lease, or was fenced.
    pub without_lease: u64,
    /// Calls rejected because the requests of all open calls take too much memory together.
    pub over_bodies: u64,
    /// Number of times that reading of a stream was paused because of the limit `calls-per-stream`.
    pub over_calls_per_stream: u64,
    /// Number of times that the send queue of a stream filled because the client read too slowly. The workers of its
    /// calls are then paused.
    pub slow_clients: u64,
}

/// The gRPC front: the RPCs of all clients, and their open calls.
pub(crate) struct Front {
    config: Arc<Config>,
    rpcs: HashMap<StreamKey, Rpc>,
    /// Open calls by number. The engine passes the number back as its `front_token`.
    calls: HashMap<u64, OpenCall>,
    /// The number of the newest call. A call that is then rejected by its tenant's limits has used a number too.
    last_call_number: u64,
    /// Total size of the requests of the open calls, bytes.
    body_bytes: usize,
    draining: bool,
    /// Whether a worker is in service. ServerReady and ModelReady report it, unless a drain or the state of the lease
    /// makes this controller not ready.
    pub ready: bool,
    /// Number of calls opened since the start.
    pub opened_calls: u64,
    counters: FrontCounters,
}

impl Front {
    /// Creates a front without RPCs.
    pub(crate) fn new(config: Arc<Config>) -> Self {
        Self {
            config,
            rpcs: HashMap::new(),
            calls: HashMap::new(),
            last_call_number: 0,
            body_bytes: 0,
            draining: false,
            ready: false,
            opened_calls: 0,
            counters: FrontCounters::default(),
        }
    }

    /// The totals since the start.
    pub(crate) fn counters(&self) -> FrontCounters {
        self.counters
    }

    /// The default delay after which clients are to retry.
    fn pushback(&self) -> Duration {
        Duration::from_micros(self.config.edge.pushback)
    }

    /// Stops accepting calls, and ends the RPCs that have received a message and have no open calls.
    pub(crate) fn drain(&mut self, context: &mut FrontContext) {
        self.draining = true;
        let is_idle = |rpc: &Rpc| rpc.calls.is_empty() && rpc.has_request;
        let idle: Vec<StreamKey> =
            self.rpcs.iter().filter(|(_, rpc)| is_idle(rpc)).map(|(stream, _)| *stream).collect();
        for stream in idle {
            self.end_rpc(context, stream, &self.draining_failure());
        }
    }

    fn remove_call(&mut self, number: u64) -> Option<OpenCall> {
        let call = self.calls.remove(&number)?;
        self.body_bytes -= call.body_bytes;
        Some(call)
    }

    fn draining_failure(&self) -> Failure {
        Failure::refused("this controller is going away", self.pushback())
    }

    /// Handles an event on a stream that a client opened.
    pub(crate) fn event(&mut self, context: &mut FrontContext, event: NetEvent) {
        match event {
            NetEvent::Request { stream, head, .. } => self.request(context, stream, &head),
            NetEvent::Message { stream, payload } => self.message(context, stream, payload),
            NetEvent::HalfClosed { stream } => self.half_closed(context, stream),
            NetEvent::Malformed { stream, error } => {
                self.counters.malformed += 1;
                let failure = Failure::new(code_of(&error), error.to_string());
                self.end_rpc(context, stream, &failure);
            }
            NetEvent::Failed { stream, .. } => self.client_disconnected(context, stream),
            NetEvent::Sent { stream } => {
                self.rpcs.remove(&stream);
            }
            NetEvent::Drained { stream } => self.set_send_queue_full(context, stream, false),
            _ => {}
        }
    }

    /// Starts an RPC, or ends it with an error where its headers are invalid, its method is unknown, or this controller
    /// is draining.
    fn request(&mut self, context: &mut FrontContext, stream: StreamKey, head: &request::Parts) {
        self.counters.rpcs += 1;
        if let Err(status) = headers::check_grpc(head) {
            self.counters.malformed += 1;
            let mut response = Response::new(());
            *response.status_mut() = status;
            context.hub.respond_only(stream, response);
            return;
        }
        let headers = match headers::read(head, context.now) {
            Ok(headers) => headers,
            Err(failure) => {
                self.counters.malformed += 1;
                return respond_only(context.hub, stream, &failure);
            }
        };
        let Some(method) = method_of(head.uri.path()) else {
            let message = format!("there is no method {} here", head.uri.path());
            return respond_only(context.hub, stream, &Failure::new(Code::Unimplemented, message));
        };
        if self.draining {
            return respond_only(context.hub, stream, &self.draining_failure());
        }
        if headers.gzip {
            context.hub.allow_gzip(stream);
        }
        self.rpcs.insert(stream, Rpc::new(method, headers));
    }

    fn message(&mut self, context: &mut FrontContext, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        let is_first = !std::mem::replace(&mut rpc.has_request, true);
        match rpc.method {
            Method::Info(method) if is_first => self.answer_info(context, stream, method, payload),
            Method::Infer if !is_first => {
                self.counters.malformed += 1;
                let message = "ModelInfer takes one message; for more use ModelStreamInfer";
                self.end_rpc(context, stream, &Failure::new(Code::InvalidArgument, message));
            }
            Method::Infer | Method::Stream => self.open_call(context, stream, payload),
            Method::Info(_) => {}
        }
    }

    fn answer_info(
        &mut self,
        context: &mut FrontContext,
        stream: StreamKey,
        method: InfoMethod,
        payload: Bytes,
    ) {
        let now = context.now_ms();
        let lease_stage = context.lease.as_ref().map_or(Stage::Current, |lease| lease.stage(now));
        let ready = self.ready && !self.draining && lease_stage.is_ready();
        match info_methods::answer(method, payload, &self.config, ready) {
            Ok(message) => {
                context.hub.respond(stream, grpc_head());
                context.hub.send(stream, message);
                context.hub.finish(stream, Some(Status::new(Code::Ok, "").trailers()));
            }
            Err(failure) => self.end_rpc(context, stream, &failure),
        }
    }

    fn half_closed(&mut self, context: &mut FrontContext, stream: StreamKey) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.half_closed = true;
        if !rpc.has_request && rpc.method != Method::Stream {
            self.counters.malformed += 1;
            let failure = Failure::new(Code::InvalidArgument, "the request holds no message");
            self.end_rpc(context, stream, &failure);
        } else {
            self.finish_if_done(context, stream);
        }
    }

    fn client_disconnected(&mut self, context: &mut FrontContext, stream: StreamKey) {
        let Some(rpc) = self.rpcs.remove(&stream) else { return };
        self.abandon_calls(context, rpc.calls);
    }

    /// Reports to the engine that the client of these calls has disconnected.
    fn abandon_calls(&mut self, context: &mut FrontContext, calls: BTreeMap<CallId, u64>) {
        for (call, number) in calls {
            self.remove_call(number);
            context.engine.handle(context.now, Event::ClientDisconnected { call }, context.commands);
        }
    }

    /// Sets whether the send queue of a stream is full. The engine then pauses or resumes the workers of its calls;
    /// other calls are not affected.
    fn set_send_queue_full(&mut self, context: &mut FrontContext, stream: StreamKey, full: bool) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.send_queue_full = full;
        self.counters.slow_clients += u64::from(full);
        for call in rpc.calls.keys().copied() {
            let event = if full { Event::ClientSlow { call } } else { Event::ClientReady { call } };
            context.engine.handle(context.now, event, context.commands);
        }
    }

    /// The time that a new call has: the class's `deadline`, or less where the client's own deadline is earlier.
    fn time_left(&self, rpc: &Rpc, deadline: Micros, now: Micros) -> Micros {
        rpc.headers.deadline.map_or(deadline, |client| client.saturating_sub(now).min(deadline))
    }
}

fn code_of(error: &FrameError) -> Code {
    match error {
        FrameError::TooLarge { .. } | FrameError::NoRoom => Code::ResourceExhausted,
        FrameError::Truncated(_) | FrameError::BadFlag(_) => Code::Internal,
        FrameError::NoEncoding | FrameError::BadGzip => Code::InvalidArgument,
    }
}

/// The method for the path of a request; `None` if there is no such method.
fn method_of(path: &str) -> Option<Method> {
    match path.strip_prefix(SERVICE)? {
        "ModelInfer" => Some(Method::Infer),
        "ModelStreamInfer" => Some(Method::Stream),
        name => InfoMethod::from_name(name).map(Method::Info),
    }
}
