//! A client of the Open Inference Protocol over gRPC. It sends calls and records every message and every end.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use http::Request;
use nettleferry_net::grpc::{Status, write_timeout};
use nettleferry_net::{Hub, NetEvent, NetLimits, StreamKey};
use nettleferry_proto::inference::*;
use nettleferry_proto::metadata;
use prost::Message;

use crate::{Options, record};

/// Sends calls, each on an RPC of its own, and waits for their ends. Options: `to`, `name`, `count`, `models` (they take
/// turns, `echo-0` and so on), `streamed` (yes or no), `timeout` (milliseconds), `gap` (milliseconds between two calls),
/// `tenant` (its name; none if empty), `ids` (no: the requests have no id, which the protocol leaves to the client),
/// `first` (the number of the first model) and `wait` (milliseconds after the last call; calls without an end by then
/// are recorded).
pub fn run(options: &Options) {
    let mut hub =
        Hub::new(NetLimits { idle: Duration::from_secs(300), ..NetLimits::default() }).expect("a poll");
    let to = options.text("to").parse().expect("an address");
    let name = options.text("name").to_owned();
    let (count, models) = (options.number("count", 1), options.number("models", 1).max(1));
    let first = options.number("first", 0);
    let streamed = options.text_or("streamed", "no") == "yes";
    let timeout = Duration::from_millis(options.number("timeout", 4_000));
    let gap = Duration::from_millis(options.number("gap", 0));
    let with_ids = options.text_or("ids", "yes") == "yes";
    let tenant = options.text_or("tenant", "").to_owned();
    let connection = hub.connect(to).expect("a socket");
    let method = if streamed { "ModelStreamInfer" } else { "ModelInfer" };
    let (mut sent, mut next) = (0, Instant::now());
    let mut open: HashMap<StreamKey, String> = HashMap::new();
    let mut events = Vec::new();
    let mut give_up = None;
    loop {
        while sent < count && Instant::now() >= next {
            let id = format!("{name}-{sent}");
            let mut head = Request::post(format!("http://{to}{SERVICE}{method}"))
                .header("content-type", "application/grpc")
                .header("te", "trailers")
                .header("grpc-timeout", write_timeout(timeout));
            if !tenant.is_empty() {
                head = head.header(metadata::TENANT, &tenant);
            }
            let head = head.body(()).expect("a valid head");
            let stream = hub.open(connection, head).expect("a connection");
            let request = ModelInferRequest {
                model_name: format!("echo-{}", (first + sent) % models),
                id: if with_ids { id.clone() } else { String::new() },
                raw_input_contents: vec![id.clone().into()],
                ..Default::default()
            };
            hub.send(stream, request.encode_to_vec().into());
            hub.finish(stream, None);
            record(&format!("client sends id={id} timeout={}", timeout.as_millis()));
            open.insert(stream, id);
            sent += 1;
            next += gap;
        }
        if sent == count {
            let at = *give_up
                .get_or_insert_with(|| Instant::now() + Duration::from_millis(options.number("wait", 6_000)));
            if open.is_empty() || Instant::now() >= at {
                break;
            }
        }
        let wait = if sent < count {
            next.saturating_duration_since(Instant::now())
        } else {
            Duration::from_millis(50)
        };
        hub.poll(Some(wait), &mut events).expect("a poll");
        for event in events.drain(..) {
            handle(&mut open, streamed, event);
        }
    }
    for id in open.into_values() {
        record(&format!("client has-no-end id={id}"));
    }
}

fn handle(open: &mut HashMap<StreamKey, String>, streamed: bool, event: NetEvent) {
    match event {
        NetEvent::Message { stream, payload } => {
            let Some(id) = open.get(&stream) else { return };
            let response = if streamed {
                ModelStreamInferResponse::decode(payload).ok().and_then(|message| message.infer_response)
            } else {
                ModelInferResponse::decode(payload).ok()
            };
            let Some(response) = response else {
                return record(&format!("client gets id={id} unreadable=yes"));
            };
            let is_final =
                response.parameters.get(FINAL).and_then(InferParameter::boolean).unwrap_or(!streamed);
            let body =
                response.raw_output_contents.first().map(|b| String::from_utf8_lossy(b).replace(' ', "_"));
            record(&format!(
                "client gets id={id} answer-id={} final={is_final} body={}",
                response.id,
                body.unwrap_or_default()
            ));
        }
        NetEvent::Trailers { stream, trailers } => {
            if let Some(id) = open.remove(&stream) {
                let code =
                    Status::read(&trailers).map_or("none".to_owned(), |status| status.code.name().to_owned());
                record(&format!("client ends id={id} status={code}"));
            }
        }
        NetEvent::Failed { stream, why } => {
            if let Some(id) = open.remove(&stream) {
                record(&format!(
                    "client ends id={id} status=broken why={}",
                    why.to_string().replace(' ', "_")
                ));
            }
        }
        _ => {}
    }
}

/// A front layer's connection: one user asks for a long profile and stops to read it, another asks for a short answer
/// that takes long to compute. Options: `to`, `timeout` and `wait` as above.
pub fn run_pair(options: &Options) {
    let limits =
        NetLimits { idle: Duration::from_secs(300), stream_window: 64 << 10, ..NetLimits::default() };
    let mut hub = Hub::new(limits).expect("a poll");
    let to = options.text("to").parse().expect("an address");
    let timeout = Duration::from_millis(options.number("timeout", 20_000));
    let connection = hub.connect(to).expect("a socket");
    let mut open: HashMap<StreamKey, String> = HashMap::new();
    let mut send = |hub: &mut Hub, method: &str, model: &str, id: &str| {
        let head = Request::post(format!("http://{to}{SERVICE}{method}"))
            .header("content-type", "application/grpc")
            .header("te", "trailers")
            .header("grpc-timeout", write_timeout(timeout))
            .body(())
            .expect("a valid head");
        let stream = hub.open(connection, head).expect("a connection");
        let request =
            ModelInferRequest { model_name: model.to_owned(), id: id.to_owned(), ..Default::default() };
        hub.send(stream, request.encode_to_vec().into());
        hub.finish(stream, None);
        record(&format!("client sends id={id} timeout={}", timeout.as_millis()));
        open.insert(stream, id.to_owned());
        stream
    };
    let slow = send(&mut hub, "ModelStreamInfer", "echo-0", "profile-of-the-slow-reader");
    hub.pause(slow);
    send(&mut hub, "ModelInfer", "echo-1", "call-of-another-user");
    let until = Instant::now() + Duration::from_millis(options.number("wait", 25_000));
    let mut events = Vec::new();
    while Instant::now() < until && open.values().any(|id| id.starts_with("call")) {
        hub.poll(Some(Duration::from_millis(50)), &mut events).expect("a poll");
        for event in events.drain(..) {
            let streamed = matches!(&event, NetEvent::Message { stream, .. } if *stream == slow);
            handle(&mut open, streamed, event);
        }
    }
    for id in open.into_values() {
        record(&format!("client has-no-end id={id}"));
    }
}
