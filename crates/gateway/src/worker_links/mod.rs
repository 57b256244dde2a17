//! gRPC client side towards the workers: one RPC for each attempt, load order, unload and probe, on pooled connections.
//! The end of an RPC is reported to the engine as an event; clients are unknown here.
//!
//! * [`pool`]: the connections to one worker. [`requests`]: encodes requests of the model repository extension.
//! * [`trailers`]: interprets the trailers of responses, and stream errors.

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

/// What an RPC to a worker is for; determines the event that the engine receives at its end.
#[derive(Clone, Copy)]
enum Purpose {
    Attempt { attempt: AttemptId, streamed: bool },
    Load(ControlRequestId),
    Probe(ControlRequestId),
    Unload,
}

/// An RPC to a worker that has not ended.
struct Rpc {
    purpose: Purpose,
    /// The HTTP status of the response; 200 until its headers arrive.
    http_status: StatusCode,
}

/// A request to be sent on a new stream.
struct RpcRequest {
    method: &'static str,
    /// Additional headers of an attempt; `None` for control requests.
    attempt: Option<AttemptHeaders>,
    body: Bytes,
}

struct AttemptHeaders {
    /// The number of the attempt within its call.
    number: u32,
    /// End of the time that the call has left: sent as `grpc-timeout`, and an attempt that cannot be written by then is
    /// not sent.
    deadline: Instant,
}

/// The connections to all workers, and the RPCs in flight on them.
pub(crate) struct WorkerLinks {
    limits: PoolLimits,
    /// Number of this controller, sent with every request.
    controller: HeaderValue,
    /// The fencing token of this incarnation; `None` until the leader has issued one.
    fencing_token: Option<HeaderValue>,
    pools: HashMap<WorkerId, ConnectionPool>,
    rpcs: HashMap<StreamKey, Rpc>,
    attempts: HashMap<AttemptId, StreamKey>,
    control_requests: HashMap<ControlRequestId, StreamKey>,
    /// Number of RPCs that were not sent because the worker had its maximum number of connections, all of them full.
    pub connections_exhausted: u64,
}

impl WorkerLinks {
    /// Creates links to no workers. `controller` is this controller's number, which is sent with every request.
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

    /// Sets the fencing token that all further requests carry. Workers that have seen a higher one reject them.
    pub(crate) fn set_fencing_token(&mut self, token: u64) {
        self.fencing_token = Some(HeaderValue::from(token));
    }

    /// Applies a new worker list. Pools of workers that were removed or have another address are dropped; RPCs in
    /// flight on their connections continue.
    pub(crate) fn update_workers(&mut self, workers: &HashMap<WorkerId, SocketAddr>) {
        self.pools.retain(|id, pool| workers.get(id) == Some(&pool.address));
        for (id, address) in workers {
            self.pools.entry(*id).or_insert_with(|| ConnectionPool::new(*address));
        }
    }

    /// Starts an attempt, which has `time_left` microseconds. Returns the event of its end where it could not be sent.
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

    /// Sends a load order. Returns the event of its end where it could not be sent.
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
            Err(end) => Some(Event::LoadEnded { request_id, end, replicas: 0 }),
        }
    }

    /// Sends an order to unload the idle replicas of a model. No event follows, neither at its end nor where it could
    /// not be sent.
    pub(crate) fn unload(&mut self, hub: &mut Hub, worker: WorkerId, model: &str) {
        let request =
            RpcRequest { method: "RepositoryModelUnload", attempt: None, body: requests::unload(model) };
        let _ = self.start_rpc(hub, worker, request, Purpose::Unload);
    }

    /// Sends a health probe. Returns the event of its end where it could not be sent.
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
        if matches!(connection, Err(AttemptEnd::ConnectionsExhausted)) {
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

    /// Cancels an attempt by RST_STREAM with CANCEL. No event follows.
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

    /// Stops reading an attempt's response until [`WorkerLinks::resume`].
    pub(crate) fn pause(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.get(&attempt) {
            hub.pause(*stream);
        }
    }

    /// Continues to read an attempt's response.
    pub(crate) fn resume(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.get(&attempt) {
            hub.resume(*stream);
        }
    }

    /// Whether a stream belongs to an RPC to a worker.
    pub(crate) fn owns(&self, stream: StreamKey) -> bool {
        self.rpcs.contains_key(&stream)
    }

    /// Removes a closed connection from its pool. Connections of clients are ignored.
    pub(crate) fn connection_closed(&mut self, closed: ConnKey) {
        for pool in self.pools.values_mut() {
            pool.remove(closed);
        }
    }

    /// Handles an event on a stream to a worker. Returns the event for the engine, where one follows from it.
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
            // An error message inside the stream does not show whether the call ran, so it counts as one that ran.
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
                Event::LoadEnded { request_id, end, replicas: trailers::loaded_replicas(trailers) }
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
