//! The links to the workers: one RPC for each attempt, load order or probe, on pooled connections. Knows no client: how
//! an RPC ends is an event for the engine.
//!
//! * [`pool`]: the connections to one worker. [`requests`]: requests of the model repository.
//! * [`trailers`]: what a worker's answer means.

mod pool;
mod requests;
mod trailers;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, StatusCode};
use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, ControlRequestId, Event};
use nettleferry_net::{ConnKey, Hub, NetEvent, StreamKey};
use nettleferry_proto::inference::SERVICE;
use nettleferry_proto::{metadata, peek};

use pool::ConnectionPool;
pub(crate) use pool::PoolLimits;
pub(crate) use requests::LoadOrder;

/// What an RPC is for.
#[derive(Clone, Copy)]
enum Purpose {
    Attempt { attempt: AttemptId, streamed: bool },
    Load(ControlRequestId),
    Probe(ControlRequestId),
    Unload,
}

/// An RPC that has not ended.
struct Rpc {
    purpose: Purpose,
    /// The HTTP status of the response.
    http_status: StatusCode,
}

/// A request of an RPC.
struct RpcRequest {
    method: &'static str,
    /// Headers of an attempt.
    attempt: Option<AttemptHeaders>,
    body: Bytes,
}

struct AttemptHeaders {
    number: u32,
    /// When its client gives up.
    deadline: Instant,
}

/// The links to all workers.
pub(crate) struct WorkerLinks {
    limits: PoolLimits,
    controller: HeaderValue,
    /// The fencing token of this incarnation, once the leader has given one.
    fencing_token: Option<HeaderValue>,
    pools: HashMap<WorkerId, ConnectionPool>,
    rpcs: HashMap<StreamKey, Rpc>,
    attempts: HashMap<AttemptId, StreamKey>,
    control_requests: HashMap<ControlRequestId, StreamKey>,
    /// Attempts, orders and probes that found all connections in use.
    pub connections_exhausted: u64,
}

impl WorkerLinks {
    /// No links yet. `controller`: the controller's number, which workers are told.
    pub(crate) fn new(limits: PoolLimits, controller: u32) -> Self {
        Self {
            limits,
            controller: HeaderValue::from(controller),
            fencing_token: None,
            pools: HashMap::new(),
            rpcs: HashMap::new(),
            attempts: HashMap::new(),
            control_requests: HashMap::new(),
            connections_exhausted: 0,
        }
    }

    /// Requests carry this token from now on: workers that have seen a higher one reject them.
    pub(crate) fn set_fencing_token(&mut self, token: u64) {
        self.fencing_token = Some(HeaderValue::from(token));
    }

    /// Takes a new worker list. Workers that are not in it are forgotten; RPCs that run there go on.
    pub(crate) fn update_workers(&mut self, workers: &HashMap<WorkerId, SocketAddr>) {
        self.pools.retain(|id, pool| workers.get(id) == Some(&pool.address));
        for (id, address) in workers {
            self.pools.entry(*id).or_insert_with(|| ConnectionPool::new(*address));
        }
    }

    /// Starts an attempt. `Some`: it has ended at once.
    pub(crate) fn start_attempt(
        &mut self,
        hub: &mut Hub,
        attempt: AttemptId,
        worker: WorkerId,
        streamed: bool,
        time_left: Micros,
        body: Bytes,
    ) -> Option<Event> {
        let method = if streamed { "ModelStreamInfer" } else { "ModelInfer" };
        let deadline = Instant::now() + Duration::from_micros(time_left);
        let headers = AttemptHeaders { number: attempt.number, deadline };
        let request = RpcRequest { method, attempt: Some(headers), body };
        match self.start_rpc(hub, worker, request, Purpose::Attempt { attempt, streamed }) {
            Ok(stream) => {
                self.attempts.insert(attempt, stream);
                None
            }
            Err(end) => Some(Event::AttemptEnded { attempt, end, report: AttemptReport::default() }),
        }
    }

    /// Orders replicas of a model. `Some`: the order has ended at once.
    pub(crate) fn load(
        &mut self,
        hub: &mut Hub,
        request_id: ControlRequestId,
        worker: WorkerId,
        order: &LoadOrder,
    ) -> Option<Event> {
        let request =
            RpcRequest { method: "RepositoryModelLoad", attempt: None, body: requests::load(order) };
        match self.start_rpc(hub, worker, request, Purpose::Load(request_id)) {
            Ok(stream) => {
                self.control_requests.insert(request_id, stream);
                None
            }
            Err(end) => Some(Event::LoadEnded { request_id, end, copies: 0 }),
        }
    }

    /// Unloads idle replicas; nothing waits for the answer.
    pub(crate) fn unload(&mut self, hub: &mut Hub, worker: WorkerId, model: &str) {
        let request =
            RpcRequest { method: "RepositoryModelUnload", attempt: None, body: requests::unload(model) };
        let _ = self.start_rpc(hub, worker, request, Purpose::Unload);
    }

    /// Probes a worker. `Some`: the probe has ended at once.
    pub(crate) fn probe(
        &mut self,
        hub: &mut Hub,
        request_id: ControlRequestId,
        worker: WorkerId,
    ) -> Option<Event> {
        let request = RpcRequest { method: "ServerReady", attempt: None, body: requests::probe() };
        match self.start_rpc(hub, worker, request, Purpose::Probe(request_id)) {
            Ok(stream) => {
                self.control_requests.insert(request_id, stream);
                None
            }
            Err(end) => Some(Event::ProbeEnded { request_id, end, load_report: None }),
        }
    }

    fn start_rpc(
        &mut self,
        hub: &mut Hub,
        worker: WorkerId,
        request: RpcRequest,
        purpose: Purpose,
    ) -> Result<StreamKey, AttemptEnd> {
        let connection = self.connection(hub, worker)?;
        let head = self.request_head(&request)?;
        let stream = match &request.attempt {
            Some(attempt) => hub.open_until(connection, head, attempt.deadline),
            None => hub.open(connection, head),
        };
        let stream = stream.ok_or(AttemptEnd::NotConnected)?;
        hub.send(stream, request.body);
        hub.finish(stream, None);
        self.rpcs.insert(stream, Rpc { purpose, http_status: StatusCode::OK });
        Ok(stream)
    }

    fn connection(&mut self, hub: &mut Hub, worker: WorkerId) -> Result<ConnKey, AttemptEnd> {
        let pool = self.pools.get_mut(&worker).ok_or(AttemptEnd::NotConnected)?;
        let connection = pool.connection(hub, self.limits);
        if matches!(connection, Err(AttemptEnd::NoRoom)) {
            self.connections_exhausted += 1;
        }
        connection
    }

    fn request_head(&self, request: &RpcRequest) -> Result<Request<()>, AttemptEnd> {
        let mut head = Request::post(format!("http://worker{SERVICE}{}", request.method))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("user-agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION")))
            .header(metadata::CONTROLLER, self.controller.clone());
        if let Some(token) = &self.fencing_token {
            head = head.header(metadata::FENCE, token.clone());
        }
        if let Some(attempt) = &request.attempt {
            head = head.header(metadata::ATTEMPT, attempt.number);
        }
        head.body(()).map_err(|_| AttemptEnd::NotWritten)
    }

    /// Cancels an attempt: RST_STREAM with CANCEL. No event follows.
    pub(crate) fn cancel(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.remove(&attempt) {
            self.rpcs.remove(&stream);
            hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Cancels a load order or a probe. No event follows.
    pub(crate) fn cancel_control_request(&mut self, hub: &mut Hub, request_id: ControlRequestId) {
        if let Some(stream) = self.control_requests.remove(&request_id) {
            self.rpcs.remove(&stream);
            hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Takes no more of an attempt's answer for now.
    pub(crate) fn pause(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.get(&attempt) {
            hub.pause(*stream);
        }
    }

    /// Takes an attempt's answer again.
    pub(crate) fn resume(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.get(&attempt) {
            hub.resume(*stream);
        }
    }

    /// Whether a stream is an RPC to a worker.
    pub(crate) fn owns(&self, stream: StreamKey) -> bool {
        self.rpcs.contains_key(&stream)
    }

    /// A connection is closed; it may be a client's.
    pub(crate) fn connection_closed(&mut self, closed: ConnKey) {
        for pool in self.pools.values_mut() {
            pool.remove(closed);
        }
    }

    /// Handles an event on a stream to a worker. `Some`: what follows for the engine.
    pub(crate) fn event(&mut self, hub: &mut Hub, event: NetEvent) -> Option<Event> {
        match event {
            NetEvent::Head { stream, head } => {
                self.rpcs.get_mut(&stream)?.http_status = head.status;
                None
            }
            NetEvent::Message { stream, payload } => self.message(hub, stream, payload),
            NetEvent::Trailers { stream, trailers } => {
                let rpc = self.rpcs.remove(&stream)?;
                let end = trailers::attempt_end_from_trailers(rpc.http_status, &trailers);
                self.rpc_ended(rpc.purpose, end, &trailers)
            }
            NetEvent::Failed { stream, why } => {
                let rpc = self.rpcs.remove(&stream)?;
                self.rpc_ended(rpc.purpose, trailers::attempt_end_from_stream_error(&why), &HeaderMap::new())
            }
            _ => None,
        }
    }

    fn message(&mut self, hub: &mut Hub, stream: StreamKey, payload: Bytes) -> Option<Event> {
        let Purpose::Attempt { attempt, streamed } = self.rpcs.get(&stream)?.purpose else { return None };
        if !streamed {
            return Some(Event::ResponsePart { attempt, payload, last: false });
        }
        let message = match peek::stream_response(&payload) {
            Ok(head) if head.error.is_empty() => {
                return Some(Event::ResponsePart { attempt, payload, last: head.is_final });
            }
            // An error inside the stream: as far as is known the call ran.
            Ok(head) => head.error,
            Err(error) => format!("the worker's answer: {error}"),
        };
        self.cancel(hub, attempt);
        let end = AttemptEnd::Status { message };
        Some(Event::AttemptEnded { attempt, end, report: AttemptReport::default() })
    }

    fn rpc_ended(&mut self, purpose: Purpose, end: AttemptEnd, trailers: &HeaderMap) -> Option<Event> {
        Some(match purpose {
            Purpose::Attempt { attempt, .. } => {
                self.attempts.remove(&attempt);
                Event::AttemptEnded { attempt, end, report: trailers::attempt_report(trailers) }
            }
            Purpose::Load(request_id) => {
                self.control_requests.remove(&request_id);
                Event::LoadEnded { request_id, end, copies: trailers::loaded_replicas(trailers) }
            }
            Purpose::Probe(request_id) => {
                self.control_requests.remove(&request_id);
                let load_report = trailers::orca_report(trailers).as_ref().map(trailers::load_report);
                Event::ProbeEnded { request_id, end, load_report }
            }
            Purpose::Unload => return None,
        })
    }
}
