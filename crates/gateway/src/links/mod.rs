//! Links to the workers: connections kept, multiplexed, capped; one RPC an attempt, an order or a probe. Knows
//! no client: what comes of an attempt is told to the engine.

mod wire;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, StatusCode};
use nettleferry::{Micros, WorkerId};
use nettleferry_engine::{AttemptEnd, AttemptId, AttemptReport, ControlRequestId, Event};
use nettleferry_net::{ConnKey, Hub, NetEvent, StreamKey, grpc};
use nettleferry_proto::inference::*;
use nettleferry_proto::{marks, peek};
use prost::Message;

/// Bounds of links.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Connections to one worker.
    pub connections: usize,
    /// Streams on each.
    pub streams: usize,
}

struct Link {
    address: SocketAddr,
    conns: Vec<ConnKey>,
}

#[derive(Clone, Copy)]
enum Job {
    Attempt { attempt: AttemptId, streamed: bool },
    Load(ControlRequestId),
    Probe(ControlRequestId),
    Unload,
}

struct Rpc {
    job: Job,
    http: StatusCode,
}

/// All links.
pub struct Links {
    limits: LinkLimits,
    controller: HeaderValue,
    /// Which life of the controller this is, once the administration has told.
    fence: Option<HeaderValue>,
    links: HashMap<WorkerId, Link>,
    rpcs: HashMap<StreamKey, Rpc>,
    attempts: HashMap<AttemptId, StreamKey>,
    control_requests: HashMap<ControlRequestId, StreamKey>,
    /// Attempts, orders and probes that found all connections in use.
    pub no_room: u64,
}

impl Links {
    /// No links yet. `me` is told to workers.
    pub fn new(limits: LinkLimits, me: u32) -> Self {
        Self {
            limits,
            controller: HeaderValue::from(me),
            fence: None,
            links: HashMap::new(),
            rpcs: HashMap::new(),
            attempts: HashMap::new(),
            control_requests: HashMap::new(),
            no_room: 0,
        }
    }

    /// What is sent from now on is of this life: workers that have seen a later one turn it away.
    pub fn fence(&mut self, life: u64) {
        self.fence = Some(HeaderValue::from(life));
    }

    /// The list as it stands. Links that are not in it are forgotten; what runs on them goes on.
    pub fn listed(&mut self, workers: &HashMap<WorkerId, SocketAddr>) {
        self.links.retain(|id, link| workers.get(id) == Some(&link.address));
        for (id, address) in workers {
            self.links.entry(*id).or_insert_with(|| Link { address: *address, conns: Vec::new() });
        }
    }

    /// A connection with room, or a new one.
    fn connection(&mut self, hub: &mut Hub, worker: WorkerId) -> Result<ConnKey, AttemptEnd> {
        let Some(link) = self.links.get_mut(&worker) else { return Err(AttemptEnd::NotConnected) };
        let most = self.limits.streams;
        let open = link.conns.iter().copied().filter(|c| hub.can_open(*c) && hub.streams_on(*c) < most);
        let mut open: Vec<ConnKey> = open.collect();
        open.sort_by_key(|c| hub.streams_on(*c));
        if let Some(conn) = open.first() {
            return Ok(*conn);
        }
        // Connections that the worker has left do not count: their streams end, and they with them.
        if link.conns.iter().filter(|c| !hub.is_leaving(**c)).count() >= self.limits.connections {
            self.no_room += 1;
            return Err(AttemptEnd::NoRoom);
        }
        let conn = hub.connect(link.address).map_err(|_| AttemptEnd::NotConnected)?;
        link.conns.push(conn);
        Ok(conn)
    }

    fn call(
        &mut self,
        hub: &mut Hub,
        worker: WorkerId,
        method: &str,
        attempt: Option<(u32, Micros)>,
        body: Bytes,
        job: Job,
    ) -> Result<StreamKey, AttemptEnd> {
        let conn = self.connection(hub, worker)?;
        let mut request = Request::post(format!("http://worker{SERVICE}{method}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("user-agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION")))
            .header(marks::CONTROLLER, self.controller.clone());
        if let Some(fence) = &self.fence {
            request = request.header(marks::FENCE, fence.clone());
        }
        if let Some((number, left)) = attempt {
            request = request
                .header(marks::ATTEMPT, number)
                .header("grpc-timeout", grpc::write_timeout(Duration::from_micros(left)));
        }
        let request = request.body(()).map_err(|_| AttemptEnd::NotWritten)?;
        let stream = hub.open(conn, request).ok_or(AttemptEnd::NotConnected)?;
        hub.send(stream, body);
        hub.finish(stream, None);
        self.rpcs.insert(stream, Rpc { job, http: StatusCode::OK });
        Ok(stream)
    }

    /// Begins an attempt. `Some`: it ended at once.
    pub fn start(
        &mut self,
        hub: &mut Hub,
        attempt: AttemptId,
        worker: WorkerId,
        streamed: bool,
        left: Micros,
        body: Bytes,
    ) -> Option<Event> {
        let method = if streamed { "ModelStreamInfer" } else { "ModelInfer" };
        let job = Job::Attempt { attempt, streamed };
        match self.call(hub, worker, method, Some((attempt.number, left)), body, job) {
            Ok(stream) => {
                self.attempts.insert(attempt, stream);
                None
            }
            Err(how) => Some(Event::AttemptEnded { attempt, end: how, report: AttemptReport::default() }),
        }
    }

    /// Orders copies. `Some`: it ended at once.
    pub fn load(
        &mut self,
        hub: &mut Hub,
        request_id: ControlRequestId,
        worker: WorkerId,
        (model, version, memory): (&str, &str, Option<u64>),
        copies: u32,
    ) -> Option<Event> {
        use model_repository_parameter::ParameterChoice;
        let number =
            |n: i64| ModelRepositoryParameter { parameter_choice: Some(ParameterChoice::Int64Param(n)) };
        let mut request = RepositoryModelLoadRequest { model_name: model.to_owned(), ..Default::default() };
        request.parameters.insert(COPIES.to_owned(), number(i64::from(copies)));
        if let Some(bytes) = memory {
            request
                .parameters
                .insert(marks::MEMORY.to_owned(), number(i64::try_from(bytes).unwrap_or(i64::MAX)));
        }
        if !version.is_empty() {
            let text = ParameterChoice::StringParam(version.to_owned());
            let text = ModelRepositoryParameter { parameter_choice: Some(text) };
            request.parameters.insert("version".to_owned(), text);
        }
        let body = request.encode_to_vec().into();
        match self.call(hub, worker, "RepositoryModelLoad", None, body, Job::Load(request_id)) {
            Ok(stream) => {
                self.control_requests.insert(request_id, stream);
                None
            }
            Err(how) => Some(Event::LoadEnded { request_id, end: how, copies: 0 }),
        }
    }

    /// Unloads idle copies; nobody waits for the answer.
    pub fn unload(&mut self, hub: &mut Hub, worker: WorkerId, model: &str) {
        let request = RepositoryModelUnloadRequest { model_name: model.to_owned(), ..Default::default() };
        let body = request.encode_to_vec().into();
        let _ = self.call(hub, worker, "RepositoryModelUnload", None, body, Job::Unload);
    }

    /// Probes a worker. `Some`: it ended at once.
    pub fn probe(&mut self, hub: &mut Hub, request_id: ControlRequestId, worker: WorkerId) -> Option<Event> {
        let body = ServerReadyRequest {}.encode_to_vec().into();
        match self.call(hub, worker, "ServerReady", None, body, Job::Probe(request_id)) {
            Ok(stream) => {
                self.control_requests.insert(request_id, stream);
                None
            }
            Err(how) => Some(Event::ProbeEnded { request_id, end: how, load_report: None }),
        }
    }

    /// Stops an attempt: RST_STREAM with CANCEL.
    pub fn withdraw(&mut self, hub: &mut Hub, attempt: AttemptId) {
        if let Some(stream) = self.attempts.remove(&attempt) {
            self.rpcs.remove(&stream);
            hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Gives up an order or a probe.
    pub fn forget(&mut self, hub: &mut Hub, request_id: ControlRequestId) {
        if let Some(stream) = self.control_requests.remove(&request_id) {
            self.rpcs.remove(&stream);
            hub.reset(stream, h2::Reason::CANCEL);
        }
    }

    /// Takes no more, or more again, of an attempt's answer.
    pub fn flow(&mut self, hub: &mut Hub, attempt: AttemptId, pause: bool) {
        match self.attempts.get(&attempt) {
            Some(stream) if pause => hub.pause(*stream),
            Some(stream) => hub.resume(*stream),
            None => {}
        }
    }

    /// Is this stream one of ours?
    pub fn owns(&self, stream: StreamKey) -> bool {
        self.rpcs.contains_key(&stream)
    }

    /// A connection is gone.
    pub fn closed(&mut self, conn: ConnKey) {
        for link in self.links.values_mut() {
            link.conns.retain(|c| *c != conn);
        }
    }

    /// What an event on one of our streams means. `Some`: for the engine.
    pub fn event(&mut self, hub: &mut Hub, event: NetEvent) -> Option<Event> {
        match event {
            NetEvent::Head { stream, head } => {
                self.rpcs.get_mut(&stream)?.http = head.status;
                None
            }
            NetEvent::Message { stream, payload } => self.message(hub, stream, payload),
            NetEvent::Trailers { stream, trailers } => {
                let rpc = self.rpcs.remove(&stream)?;
                let how = wire::by_trailers(rpc.http, &trailers);
                self.over(rpc.job, how, &trailers)
            }
            NetEvent::Failed { stream, why } => {
                let rpc = self.rpcs.remove(&stream)?;
                self.over(rpc.job, wire::by_error(&why), &http::HeaderMap::new())
            }
            _ => None,
        }
    }

    fn message(&mut self, hub: &mut Hub, stream: StreamKey, payload: Bytes) -> Option<Event> {
        let Job::Attempt { attempt, streamed } = self.rpcs.get(&stream)?.job else { return None };
        if !streamed {
            return Some(Event::ResponsePart { attempt, payload, last: false });
        }
        let how = match peek::stream_response(&payload) {
            Ok(head) if head.error.is_empty() => {
                return Some(Event::ResponsePart { attempt, payload, last: head.last });
            }
            // A worker that tells an error inside the stream: as far as we know it ran.
            Ok(head) => AttemptEnd::Status { message: head.error },
            Err(error) => AttemptEnd::Status { message: format!("the worker's answer: {error}") },
        };
        self.withdraw(hub, attempt);
        Some(Event::AttemptEnded { attempt, end: how, report: AttemptReport::default() })
    }

    fn over(&mut self, job: Job, how: AttemptEnd, trailers: &http::HeaderMap) -> Option<Event> {
        Some(match job {
            Job::Attempt { attempt, .. } => {
                self.attempts.remove(&attempt);
                Event::AttemptEnded { attempt, end: how, report: wire::news(trailers) }
            }
            Job::Load(request_id) => {
                self.control_requests.remove(&request_id);
                Event::LoadEnded { request_id, end: how, copies: wire::copies(trailers) }
            }
            Job::Probe(request_id) => {
                self.control_requests.remove(&request_id);
                Event::ProbeEnded {
                    request_id,
                    end: how,
                    load_report: wire::report(trailers).as_ref().map(wire::load),
                }
            }
            Job::Unload => return None,
        })
    }
}
