//! Incoming streams and messages of a test worker.

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, HeaderValue};
use nettleferry_net::grpc::{Code, Status};
use nettleferry_net::{ConnKey, ListenerKey, NetEvent, StreamKey};
use nettleferry_proto::inference::*;
use nettleferry_proto::metadata;
use prost::Message;
use rand::RngExt;
use std::sync::Arc;

use super::{Call, DelayedConnection, ObservationKind, Rpc, Server, lock};
use crate::models;
use crate::store::Micros;
use crate::worker::{CallNumber, IncomingCall};

impl Server {
    /// Handles a network event.
    pub(super) fn handle_net_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Accepted { conn, listener, .. } if self.slow_handshake > 0 => {
                self.delay_handshake(conn, listener);
            }
            NetEvent::Request { conn, stream, head } => self.open(conn, stream, &head),
            NetEvent::Message { stream, payload } => self.message(stream, payload),
            NetEvent::HalfClosed { stream } => self.half_closed(stream),
            NetEvent::Malformed { stream, error } => {
                self.finish(
                    stream,
                    Status::new(Code::ResourceExhausted, error.to_string()),
                    HeaderMap::new(),
                );
            }
            NetEvent::Failed { stream, .. } if self.rpcs.remove(&stream).is_some() => {
                self.observe(ObservationKind::Gone { stream: stream.number() });
                self.cancel_calls(stream);
            }
            NetEvent::Sent { stream } => {
                self.rpcs.remove(&stream);
            }
            NetEvent::Drained { stream } => {
                for call in self.calls_of(stream) {
                    self.send_parts(call);
                }
            }
            _ => {}
        }
    }

    /// Stops reading from a new connection for the time set by [`super::Fault::SlowHandshake`].
    fn delay_handshake(&mut self, conn: ConnKey, listener: ListenerKey) {
        self.hub.freeze(conn, true);
        self.delayed.push_back(DelayedConnection {
            until: self.now() + self.slow_handshake,
            conn,
            address_index: listener.0,
        });
        self.observe(ObservationKind::Link {
            address_index: listener.0,
            conn: Some(conn.number()),
            cut: true,
        });
    }

    /// Handles the headers of a new stream.
    fn open(&mut self, conn: ConnKey, stream: StreamKey, head: &Parts) {
        if self.refuse {
            self.hub.reset(stream, h2::Reason::REFUSED_STREAM);
            return;
        }
        let method = head.uri.path().strip_prefix(SERVICE).unwrap_or("").to_owned();
        let header = |name| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("").to_owned();
        if header("grpc-encoding") == "gzip" {
            self.hub.allow_gzip(stream);
        }
        let controller = header(metadata::CONTROLLER);
        let attempt = header(metadata::ATTEMPT).parse().ok();
        let fenced = self.record_fence(&controller, header(metadata::FENCE).parse().ok());
        let rpc = Rpc {
            conn,
            method,
            controller,
            fenced,
            attempt,
            answered: false,
            half_closed: false,
            pending: 0,
            sent: 0,
        };
        self.rpcs.insert(stream, rpc);
    }

    /// Handles the end of the client side of a stream.
    fn half_closed(&mut self, stream: StreamKey) {
        let unresponsive = self.unresponsive;
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.half_closed = true;
        if rpc.method == "ModelStreamInfer" && rpc.pending == 0 && !unresponsive {
            self.finish(stream, Status::new(Code::Ok, ""), HeaderMap::new());
        }
    }

    /// Returns the calls of a stream whose response is incomplete.
    fn calls_of(&self, stream: StreamKey) -> Vec<CallNumber> {
        self.calls.iter().filter(|(_, call)| call.stream == stream).map(|(number, _)| *number).collect()
    }

    /// Cancels the calls of a stream that was cancelled or broke.
    fn cancel_calls(&mut self, stream: StreamKey) {
        let calls = self.calls_of(stream);
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        for call in calls {
            self.calls.remove(&call);
            if let Some(worker) = self.worker.as_mut().filter(|_| !self.unresponsive) {
                let mut events = Vec::new();
                worker.cancel(now, call, &mut lock(&store), &mut events);
                self.handle_worker_events(events);
            }
        }
    }

    /// Records the fencing token of a request and returns whether the request is fenced: a request of a later
    /// incarnation of the controller has arrived before. A request without a token is never fenced.
    fn record_fence(&mut self, controller: &str, token: Option<u64>) -> bool {
        let Some(token) = token else { return false };
        let newest = self.fences.entry(controller.to_owned()).or_default();
        *newest = (*newest).max(token);
        token < *newest
    }

    /// Handles a complete message on a stream.
    fn message(&mut self, stream: StreamKey, payload: Bytes) {
        let Some((method, fenced)) = self.rpcs.get(&stream).map(|rpc| (rpc.method.clone(), rpc.fenced))
        else {
            return;
        };
        if fenced && matches!(method.as_str(), "ModelInfer" | "ModelStreamInfer" | "RepositoryModelLoad") {
            let mut trailers = HeaderMap::new();
            trailers.insert(metadata::NEVER_RAN, HeaderValue::from_static(metadata::FENCED));
            let message = "a request of a later incarnation of this controller has arrived";
            return self.finish(stream, Status::new(Code::Unavailable, message), trailers);
        }
        match method.as_str() {
            "ModelInfer" => self.infer(stream, payload, false),
            "ModelStreamInfer" => self.infer(stream, payload, true),
            _ if self.unresponsive => {}
            "ServerReady" => {
                self.observe(ObservationKind::Probe);
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
                let status = Status::new(Code::Unimplemented, format!("unknown method {method:?}"));
                self.finish(stream, status, HeaderMap::new());
            }
        }
    }

    /// Decodes a request message. If it is malformed, ends the stream with an error and returns `None`.
    fn decoded<M: Message + Default>(&mut self, stream: StreamKey, payload: Bytes) -> Option<M> {
        let message = M::decode(payload);
        if let Err(error) = &message {
            self.finish(stream, Status::new(Code::InvalidArgument, error.to_string()), HeaderMap::new());
        }
        message.ok()
    }

    /// Handles the request of a call.
    fn infer(&mut self, stream: StreamKey, payload: Bytes, streamed: bool) {
        let Some(request) = self.decoded::<ModelInferRequest>(stream, payload) else { return };
        let model = request.model_name.clone();
        let core_time = (self.options.spec.model(&model).core_time as f64 * self.slow) as Micros;
        let rpc = self.rpcs.get(&stream);
        let controller = rpc.map(|rpc| rpc.controller.clone()).unwrap_or_default();
        let attempt = rpc.and_then(|rpc| rpc.attempt);
        let number = stream.number();
        self.observe(ObservationKind::Call {
            stream: number,
            id: models::call_name(&request).to_owned(),
            model: model.clone(),
            controller,
            attempt,
            core_time,
        });
        if self.unresponsive || self.hang.as_ref().is_some_and(|prefix| model.starts_with(prefix)) {
            // The call is counted as pending and never ends, so that the stream stays open when the client closes its
            // side.
            if let Some(rpc) = self.rpcs.get_mut(&stream) {
                rpc.pending += 1;
            }
            return;
        }
        let answer = match models::answer(&request) {
            Ok(answer) => answer,
            Err(error) => return self.reject_invalid(stream, &request.id, streamed, error.to_string()),
        };
        if self.fail_fast > 0.0 && self.random.random::<f64>() < self.fail_fast {
            self.observe(ObservationKind::Runs { stream: number });
            return self.finish(
                stream,
                Status::new(Code::Internal, "injected fault: the call fails as soon as it runs"),
                HeaderMap::new(),
            );
        }
        self.last_number += 1;
        let call = self.last_number;
        let parts = if streamed { answer.parts() as u32 } else { 1 };
        if let Some(rpc) = self.rpcs.get_mut(&stream) {
            rpc.pending += 1;
        }
        self.calls.insert(call, Call { stream, answer, streamed, ready: 0, sent: 0 });
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        let Some(worker) = &mut self.worker else { return };
        let mut events = Vec::new();
        let call = IncomingCall { number: call, model: &model, core_time, parts };
        worker.call(now, call, &mut lock(&store), &mut events);
        self.handle_worker_events(events);
    }

    /// Rejects an invalid request. On a stream with other calls, only this call ends: an error message is sent, and the
    /// stream stays open.
    fn reject_invalid(&mut self, stream: StreamKey, id: &str, streamed: bool, message: String) {
        let only_call = self.rpcs.get(&stream).is_none_or(|rpc| rpc.pending == 0 && rpc.sent == 0);
        if streamed && !only_call {
            let response = ModelInferResponse { id: id.to_owned(), ..Default::default() };
            let message = ModelStreamInferResponse { error_message: message, infer_response: Some(response) };
            self.hub.send(stream, message.encode_to_vec().into());
        } else {
            self.finish(stream, Status::new(Code::InvalidArgument, message), HeaderMap::new());
        }
    }

    /// Handles a load order.
    fn load(&mut self, stream: StreamKey, payload: Bytes) {
        let Some(request) = self.decoded::<RepositoryModelLoadRequest>(stream, payload) else { return };
        let replicas = request.parameters.get(REPLICAS).and_then(|p| match p.parameter_choice {
            Some(model_repository_parameter::ParameterChoice::Int64Param(n)) => u32::try_from(n).ok(),
            _ => None,
        });
        let replicas = replicas.unwrap_or(1);
        let controller = self.rpcs.get(&stream).map(|rpc| rpc.controller.clone()).unwrap_or_default();
        let model = request.model_name;
        if replicas > 0 {
            self.observe(ObservationKind::Order { controller, model: model.clone(), replicas });
        }
        self.last_number += 1;
        let order = self.last_number;
        self.orders.insert(order, stream);
        let (now, store) = (self.now(), Arc::clone(&self.options.store));
        let Some(worker) = &mut self.worker else { return };
        let mut events = Vec::new();
        worker.order(now, order, &model, replicas, &mut lock(&store), &mut events);
        self.handle_worker_events(events);
    }
}
