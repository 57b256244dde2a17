//! A worker that serves the Open Inference Protocol over gRPC. It keeps a copy of every model loaded, runs every call
//! for a fixed time, and answers with a text that names the call.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Response};
use nettleferry_net::grpc::{Code, Status, write_binary};
use nettleferry_net::{ConnKey, Hub, NetEvent, NetLimits, StreamKey};
use nettleferry_proto::inference::*;
use nettleferry_proto::{metadata, orca};
use prost::Message;

use crate::{Options, record};

/// The longest time that a call runs whose id begins with `warm-up`.
const WARM_UP: Duration = Duration::from_millis(20);

/// The parts of a long answer, and their size.
const PARTS: usize = 16;
const PART_BYTES: usize = 64 << 10;

/// What an answer carries besides its own.
#[derive(Clone, Copy, PartialEq)]
enum Extra {
    None,
    /// A second copy of the answer.
    Copy,
    /// The preceding answer, under its own id.
    Preceding,
}

struct Rpc {
    conn: ConnKey,
    method: String,
    attempt: String,
}

struct Call {
    id: String,
    /// The content of the request, which names its call.
    input: String,
    /// It is a repeat of a call that has run: it is answered and does not run.
    is_repeat: bool,
    streamed: bool,
    due: Instant,
    response: ModelInferResponse,
}

struct Worker {
    hub: Hub,
    name: String,
    work: Duration,
    extra: Extra,
    /// One answer in so many carries the extra.
    every: u64,
    answers: u64,
    methods: HashMap<StreamKey, Rpc>,
    calls: BTreeMap<u64, (StreamKey, Call)>,
    next: u64,
    preceding: Option<ModelInferResponse>,
    drops: bool,
    /// The responses to the calls that have run, by id.
    seen: HashMap<String, ModelInferResponse>,
    resets: u64,
    runs: u64,
}

/// Runs a worker until it is killed. Options: `listen` (one address or several: the workers of a group, which share the
/// record of the ids that they have seen), `name`, `work` (milliseconds of each call), `streams` (of a connection at
/// once), `extra` (none, copy or preceding), `every` (one answer in so many carries the extra), `drops` (yes: a repeat of
/// an id is dropped, and answered as the first was) and `resets` (one call in so many ends with a reset of its
/// connection after it has run; 0: none).
pub fn run(options: &Options) {
    let limits = NetLimits {
        streams_per_connection: options.number("streams", 1_000) as u32,
        idle: Duration::from_secs(300),
        ..NetLimits::default()
    };
    let mut hub = Hub::new(limits).expect("a poll");
    for address in options.text("listen").split(',') {
        hub.listen(address.parse().expect("an address")).expect("a listener");
    }
    let extra = match options.text_or("extra", "none") {
        "copy" => Extra::Copy,
        "preceding" => Extra::Preceding,
        _ => Extra::None,
    };
    let mut worker = Worker {
        hub,
        name: options.text("name").to_owned(),
        work: Duration::from_millis(options.number("work", 20)),
        extra,
        every: options.number("every", 10),
        answers: 0,
        methods: HashMap::new(),
        calls: BTreeMap::new(),
        next: 0,
        preceding: None,
        drops: options.text_or("drops", "no") == "yes",
        seen: HashMap::new(),
        resets: options.number("resets", 0),
        runs: 0,
    };
    let mut events = Vec::new();
    loop {
        let due = worker.calls.values().map(|(_, call)| call.due).min();
        let wait = due.map(|due| due.saturating_duration_since(Instant::now()));
        worker.hub.poll(wait, &mut events).expect("a poll");
        for event in events.drain(..) {
            worker.event(event);
        }
        worker.finish_due();
    }
}

fn response_head() -> Response<()> {
    Response::builder().header("content-type", "application/grpc").body(()).expect("a valid head")
}

/// The trailers of a call that was served from a loaded copy.
fn trailers(copies: Option<f64>) -> HeaderMap {
    let mut report = orca::OrcaLoadReport { cpu_utilization: 0.1, ..Default::default() };
    report.named_metrics.insert(orca::LOAD_NOTE.to_owned(), 1.0);
    if let Some(copies) = copies {
        report.named_metrics.insert(orca::LOADED_REPLICAS.to_owned(), copies);
    }
    let mut trailers = Status::new(Code::Ok, "").trailers();
    if let Some(value) = write_binary(&report.encode_to_vec()) {
        trailers.insert(orca::TRAILER, value);
    }
    trailers
}

impl Worker {
    fn event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Request { conn, stream, head } => {
                let method = head.uri.path().strip_prefix(SERVICE).unwrap_or("").to_owned();
                let attempt = head.headers.get(metadata::ATTEMPT).and_then(|v| v.to_str().ok());
                let attempt = attempt.unwrap_or("-").to_owned();
                self.methods.insert(stream, Rpc { conn, method, attempt });
            }
            NetEvent::Message { stream, payload } => self.message(stream, payload),
            NetEvent::Failed { stream, .. } => {
                self.methods.remove(&stream);
                let gone: Vec<u64> = self
                    .calls
                    .iter()
                    .filter(|(_, (key, _))| *key == stream)
                    .map(|(number, _)| *number)
                    .collect();
                for number in gone {
                    if let Some((_, call)) = self.calls.remove(&number) {
                        record(&format!("{} given-up id={}", self.name, call.id));
                    }
                }
            }
            NetEvent::Sent { stream } => {
                self.methods.remove(&stream);
            }
            _ => {}
        }
    }

    fn message(&mut self, stream: StreamKey, payload: Bytes) {
        let Some(Rpc { method, attempt, .. }) = self.methods.get(&stream) else { return };
        let (method, attempt) = (method.clone(), attempt.clone());
        match method.as_str() {
            "ModelInfer" | "ModelStreamInfer" => {
                let request = ModelInferRequest::decode(payload).expect("a request");
                record(&format!(
                    "{} starts id={} model={} attempt={attempt}",
                    self.name, request.id, request.model_name
                ));
                let response = ModelInferResponse {
                    model_name: request.model_name.clone(),
                    id: request.id.clone(),
                    raw_output_contents: vec![Bytes::from(format!("answer to {}", request.id))],
                    ..Default::default()
                };
                let streamed = method == "ModelStreamInfer";
                // A long answer comes in parts, all at once.
                if streamed && request.id.starts_with("profile") {
                    self.send_parts(stream, &response);
                }
                let work = if request.id.starts_with("warm-up") { self.work.min(WARM_UP) } else { self.work };
                let due = Instant::now() + work;
                self.next += 1;
                let input =
                    request.raw_input_contents.first().map(|b| String::from_utf8_lossy(b).into_owned());
                let input = input.unwrap_or_default();
                let earlier = self.seen.get(&request.id).filter(|_| self.drops && !request.id.is_empty());
                let is_repeat = earlier.is_some();
                let response = earlier.cloned().unwrap_or(response);
                let call = Call { id: request.id, input, is_repeat, streamed, due, response };
                self.calls.insert(self.next, (stream, call));
            }
            "ServerReady" => self.reply(stream, &ServerReadyResponse { ready: true }, trailers(None)),
            "RepositoryModelLoad" => {
                let request = RepositoryModelLoadRequest::decode(payload).expect("an order");
                record(&format!("{} loads model={}", self.name, request.model_name));
                self.reply(stream, &RepositoryModelLoadResponse {}, trailers(Some(1.0)));
            }
            _ => self.reply(stream, &RepositoryModelUnloadResponse {}, trailers(None)),
        }
    }

    fn send_parts(&mut self, stream: StreamKey, response: &ModelInferResponse) {
        self.hub.respond(stream, response_head());
        for _ in 0..PARTS {
            let raw_output_contents = vec![Bytes::from(vec![b'p'; PART_BYTES])];
            let infer_response = Some(ModelInferResponse { raw_output_contents, ..response.clone() });
            let part = ModelStreamInferResponse { error_message: String::new(), infer_response };
            self.hub.send(stream, part.encode_to_vec().into());
        }
    }

    fn reply(&mut self, stream: StreamKey, message: &impl Message, trailers: HeaderMap) {
        self.hub.respond(stream, response_head());
        self.hub.send(stream, message.encode_to_vec().into());
        self.hub.finish(stream, Some(trailers));
    }

    fn finish_due(&mut self) {
        let now = Instant::now();
        let due: Vec<u64> =
            self.calls.iter().filter(|(_, (_, call))| call.due <= now).map(|(number, _)| *number).collect();
        for number in due {
            let Some((stream, call)) = self.calls.remove(&number) else { continue };
            if call.is_repeat {
                record(&format!("{} drops-a-repeat id={} input={}", self.name, call.id, call.input));
                self.answer(stream, call);
                continue;
            }
            self.runs += 1;
            record(&format!("{} has-run id={} input={}", self.name, call.id, call.input));
            self.seen.insert(call.id.clone(), call.response.clone());
            let conn = self.methods.get(&stream).map(|rpc| rpc.conn);
            if let Some(conn) = conn.filter(|_| self.resets > 0 && self.runs.is_multiple_of(self.resets)) {
                record(&format!("{} resets-the-connection input={}", self.name, call.input));
                self.hub.close(conn);
                continue;
            }
            self.answer(stream, call);
        }
    }

    fn answer(&mut self, stream: StreamKey, call: Call) {
        self.answers += 1;
        let is_extra = self.extra != Extra::None && self.answers.is_multiple_of(self.every);
        let mut responses = vec![call.response.clone()];
        if is_extra {
            let extra = match self.extra {
                Extra::Preceding => self.preceding.clone(),
                _ => Some(call.response.clone()),
            };
            responses.extend(extra);
        }
        let ids: Vec<String> = responses.iter().map(|response| response.id.clone()).collect();
        record(&format!("{} answers id={} with={}", self.name, call.id, ids.join("+")));
        if !call.id.starts_with("profile") {
            self.hub.respond(stream, response_head());
        }
        for mut response in responses {
            let message = if call.streamed {
                response.parameters.insert(FINAL.to_owned(), true.into());
                let infer_response = Some(response);
                ModelStreamInferResponse { error_message: String::new(), infer_response }.encode_to_vec()
            } else {
                response.encode_to_vec()
            };
            self.hub.send(stream, message.into());
        }
        self.hub.finish(stream, Some(trailers(None)));
        self.preceding = Some(call.response);
    }
}
