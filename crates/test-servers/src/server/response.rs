//! Responses of a test worker: messages, trailers and load reports.

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Response};
use nettleferry_net::StreamKey;
use nettleferry_net::grpc::{Code, Status, write_binary};
use nettleferry_proto::inference::*;
use nettleferry_proto::{metadata, orca};
use prost::Message;

use super::{ObservationKind, Server};
use crate::worker::{CallNumber, OrderNumber, Rejection, Worker, WorkerEvent};

/// Value of the load note of a call whose load failed. The other values are those of [`crate::worker::ReplicaNote`].
const LOAD_FAILED_NOTE: f64 = 4.0;
/// Bytes that are sent in addition to queued data before a connection is cut: allows for the data's frame headers.
const CUT_SLACK_BYTES: u64 = 64;
/// Length of an HTTP/2 frame header in bytes.
const FRAME_HEADER_BYTES: u64 = 9;
/// Length prefix of a gRPC message of 65,535 bytes. The connection breaks before as many bytes are sent.
const INCOMPLETE_MESSAGE_PREFIX: [u8; 5] = [0, 0, 0, 0xff, 0xff];

impl Server {
    /// Handles events of the worker model: records them and sends responses.
    pub(super) fn handle_worker_events(&mut self, events: Vec<WorkerEvent>) {
        for event in events {
            match event {
                WorkerEvent::Runs(call) => {
                    if let Some(call) = self.calls.get(&call) {
                        self.observe(ObservationKind::Runs { stream: call.stream.number() });
                    }
                }
                WorkerEvent::PartComplete { call: number, part } => {
                    if let Some(call) = self.calls.get_mut(&number) {
                        call.ready = part as usize + 1;
                        self.send_parts(number);
                    }
                }
                WorkerEvent::Rejected { call, reason } => self.reject(call, reason),
                WorkerEvent::OrderAnswered { order, loaded, complete } => {
                    self.answer_order(order, loaded, complete);
                }
                WorkerEvent::Overloaded => self.die(ObservationKind::Overloaded),
            }
        }
    }

    /// Rejects a call that did not run, with a trailer that says so.
    fn reject(&mut self, number: CallNumber, reason: Rejection) {
        let Some(call) = self.calls.remove(&number) else { return };
        let note = self.worker.as_mut().and_then(|worker| worker.take_note(number));
        let (trailer_value, message) = match reason {
            Rejection::Full => (metadata::FULL, "the queue is full, or there is no memory for a replica"),
            Rejection::Miss => (metadata::MISS, "the model is not loaded"),
            Rejection::LoadFailed => (metadata::LOAD_FAILED, "the load of the model failed"),
        };
        let mut trailers = HeaderMap::new();
        trailers.insert(metadata::NEVER_RAN, HeaderValue::from_static(trailer_value));
        let mut report = self.report();
        if let Some(note) = note {
            report.named_metrics.insert(orca::SAME_MODEL_CALLS.to_owned(), f64::from(note.same_model_calls));
        }
        if reason == Rejection::LoadFailed {
            report.named_metrics.insert(orca::LOAD_NOTE.to_owned(), LOAD_FAILED_NOTE);
        }
        insert_report(&mut trailers, &report);
        self.finish(call.stream, Status::new(Code::Unavailable, message), trailers);
    }

    /// Sends the response to a load order.
    fn answer_order(&mut self, order: OrderNumber, loaded: u32, complete: bool) {
        let Some(stream) = self.orders.remove(&order) else { return };
        let mut report = self.report();
        report.named_metrics.insert(orca::LOADED_REPLICAS.to_owned(), f64::from(loaded));
        let mut trailers = HeaderMap::new();
        insert_report(&mut trailers, &report);
        if complete {
            self.hub.respond(stream, grpc_head());
            self.hub.send(stream, Bytes::new());
            let status = Status::new(Code::Ok, "").trailers();
            self.hub.finish(stream, Some(merged(status, trailers)));
        } else {
            trailers.insert(metadata::NEVER_RAN, HeaderValue::from_static(metadata::FULL));
            self.finish(
                stream,
                Status::new(Code::Unavailable, "there is no memory for the replicas, or their load failed"),
                trailers,
            );
        }
    }

    /// Sends the complete parts of a call until the send queue of its stream is full.
    pub(super) fn send_parts(&mut self, number: CallNumber) {
        loop {
            let Some(call) = self.calls.get_mut(&number) else { return };
            let parts = if call.streamed { call.answer.parts() } else { 1 };
            if call.sent == call.ready || self.hub.is_full(call.stream) {
                return;
            }
            let (stream, part) = (call.stream, call.sent);
            call.sent += 1;
            let last = call.sent == parts;
            let payload = if call.streamed {
                let response = Some(call.answer.part(part));
                ModelStreamInferResponse { error_message: String::new(), infer_response: response }
                    .encode_to_vec()
            } else {
                call.answer.complete().encode_to_vec()
            };
            self.send_response_message(stream, payload.into());
            if last {
                self.calls.remove(&number);
                self.end_response(number, stream);
            }
        }
    }

    /// Sends one response message, and breaks the connection if a fault requires it.
    fn send_response_message(&mut self, stream: StreamKey, payload: Bytes) {
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        if !rpc.answered {
            rpc.answered = true;
            self.hub.respond(stream, grpc_head());
        }
        rpc.sent += 1;
        let (conn, sent) = (rpc.conn, rpc.sent);
        if std::mem::take(&mut self.half_frame) {
            // The length prefix announces more bytes than follow, so that the connection breaks within a message.
            let mut raw = INCOMPLETE_MESSAGE_PREFIX.to_vec();
            raw.extend_from_slice(&payload);
            self.hub.send_raw(stream, raw.into());
            self.hub.cut_after(conn, 16);
            return;
        }
        self.hub.send(stream, payload);
        if self.cut_after.is_some_and(|n| sent >= n) {
            // Queued data is still sent before the connection closes.
            self.cut_after = None;
            self.hub.cut_after(conn, self.hub.queued(stream) as u64 + FRAME_HEADER_BYTES + CUT_SLACK_BYTES);
            self.hub.send_raw(stream, Bytes::from_static(&INCOMPLETE_MESSAGE_PREFIX));
            self.hub.send_raw(stream, Bytes::from(vec![0; 4096]));
        }
    }

    /// Handles the end of the response to a call. If the stream ends with it, sends the trailers with the load note of
    /// the call and the load report.
    fn end_response(&mut self, number: CallNumber, stream: StreamKey) {
        let note = self.worker.as_mut().and_then(|worker| worker.take_note(number));
        let mut report = self.report();
        if let Some(note) = note {
            report.named_metrics.insert(orca::LOAD_NOTE.to_owned(), f64::from(note.replica as u8));
            report.named_metrics.insert(orca::SAME_MODEL_CALLS.to_owned(), f64::from(note.same_model_calls));
        }
        let mut trailers = HeaderMap::new();
        insert_report(&mut trailers, &report);
        let Some(rpc) = self.rpcs.get_mut(&stream) else { return };
        rpc.pending = rpc.pending.saturating_sub(1);
        if rpc.method == "ModelInfer" || rpc.half_closed && rpc.pending == 0 {
            self.finish(stream, Status::new(Code::Ok, ""), trailers);
        }
    }

    /// Sends the response to a request other than a call or a load order: one message and the load report.
    pub(super) fn reply(&mut self, stream: StreamKey, message: &impl Message) {
        let mut trailers = Status::new(Code::Ok, "").trailers();
        insert_report(&mut trailers, &self.report());
        self.hub.respond(stream, grpc_head());
        self.hub.send(stream, message.encode_to_vec().into());
        self.hub.finish(stream, Some(trailers));
    }

    /// Ends a stream with a status and further trailers.
    pub(super) fn finish(&mut self, stream: StreamKey, status: Status, more: HeaderMap) {
        let Some(rpc) = self.rpcs.get(&stream) else { return };
        if rpc.method.ends_with("Infer") {
            let served = status.code == Code::Ok;
            let never_ran = more.contains_key(metadata::NEVER_RAN);
            self.observe(ObservationKind::Answered { stream: stream.number(), served, never_ran });
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

    /// Returns the load report. Under [`super::Fault::StaleReports`], it is that of an earlier time, or the current one
    /// if no report is old enough.
    fn report(&self) -> orca::OrcaLoadReport {
        let now = self.now();
        let past =
            self.history.iter().rev().find(|past| past.at + self.report_delay <= now).map(|past| past.load);
        let load = match (self.report_delay > 0, past) {
            (true, Some(past)) => past,
            _ => self.worker.as_ref().map(Worker::load_report).unwrap_or_default(),
        };
        let named = [
            (orca::INFLIGHT, load.inflight as f64),
            (orca::QUEUE, load.queue as f64),
            (orca::LOADS, load.loads as f64),
        ];
        orca::OrcaLoadReport {
            cpu_utilization: load.utilization,
            mem_utilization: load.memory_held,
            named_metrics: named.into_iter().map(|(k, v)| (k.to_owned(), v)).collect(),
            ..Default::default()
        }
    }
}

/// Returns the headers of a gRPC response.
fn grpc_head() -> Response<()> {
    let mut head = Response::new(());
    head.headers_mut().insert("content-type", HeaderValue::from_static("application/grpc"));
    head
}

fn merged(mut status: HeaderMap, more: HeaderMap) -> HeaderMap {
    status.extend(more);
    status
}

/// Adds a load report to trailers.
fn insert_report(trailers: &mut HeaderMap, report: &orca::OrcaLoadReport) {
    if let Some(value) = write_binary(&report.encode_to_vec()) {
        trailers.insert(orca::TRAILER, value);
    }
}
