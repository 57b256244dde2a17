//! The clients of a run, which generate open-loop load and record what they observe.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use nettleferry::Micros;
use nettleferry_config::Config;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::{Code, Status};
use nettleferry_proto::inference::{
    FINAL, InferParameter, ModelInferRequest, ModelStreamInferResponse, infer_parameter::ParameterChoice,
};
use nettleferry_test_servers::models::{climb_request, remove_id};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::client::{Client, ClientEvent, ClientRequest};
use crate::evidence::{ClientObservation, ClientRecord, FinalStatus};
use crate::script::Traffic;

/// The addresses of the controllers by number. A controller gets no calls while its address is `None`.
pub type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// A command to the running clients.
pub enum ClientCommand {
    /// Sends additional calls, each for a different model.
    OneOff {
        /// Calls per second.
        rate: f64,
        /// Time of the run at which these calls end.
        until: Micros,
    },
}

/// The parameters of the clients of a run, and the channel through which the run controls them.
pub struct Plan {
    /// Streams of calls to send.
    pub traffic: Vec<Traffic>,
    /// Settings of the controllers, which give the class and deadline of each model.
    pub config: Config,
    /// Addresses of the controllers; the run changes them while the clients are running.
    pub addresses: Addresses,
    /// Start of the run, from which recorded times count.
    pub epoch: Instant,
    /// Time at which the scripted traffic ends.
    pub until: Micros,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Commands that arrive while the clients are running.
    pub commands: Receiver<ClientCommand>,
}

/// Time after the deadline of a call during which a late answer is still recorded.
const ANSWER_GRACE: Micros = 1_000_000;
/// Time for which a slow reader pauses before it reads.
const SLOW_READER_PAUSE: Micros = 300_000;
/// Maximum time of one wait for events, after which commands are checked.
const MAX_WAIT: Micros = 50_000;
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of the input of a call for a model that is used only once.
const ONE_OFF_BYTES: usize = 64;
/// The trailer by which a server states the delay before a retry (gRFC A6). A negative number forbids a retry.
const PUSHBACK_TRAILER: &str = "grpc-retry-pushback-ms";

struct OpenCall {
    rpc: u64,
    answered: bool,
}

/// A controller to which calls can be sent.
#[derive(Clone, Copy)]
struct Target {
    controller: usize,
    address: SocketAddr,
}

/// A stream of calls and its progress.
struct Source {
    traffic: Traffic,
    /// Time at which the next call is due.
    next: Micros,
    /// Time from which no more calls are sent.
    until: Micros,
    /// Number of calls due so far.
    count: u64,
    /// Whether each call is for a different model.
    one_off: bool,
}

struct Clients {
    plan: Plan,
    client: Client,
    random: ChaCha8Rng,
    records: Vec<ClientRecord>,
    sources: Vec<Source>,
    open: HashMap<String, OpenCall>,
    /// Ids of the calls of each open RPC: a single call, or those that share a stream.
    rpcs: HashMap<u64, BTreeSet<String>>,
    /// Open RPCs of the method ModelInfer.
    unary: BTreeSet<u64>,
    /// Shared streams by the index of the source and the number of the controller.
    shared: BTreeMap<(usize, usize), u64>,
    timers: BTreeSet<(Micros, Timer)>,
    /// Number of calls sent; modulo the number of controllers that are up, it selects the controller.
    next_controller: usize,
}

/// A delayed action, with the id of its call or the number of its RPC.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Cancel(String),
    ResumeReading(u64),
    GiveUp(String),
}

/// Runs the clients until the traffic has ended and every call has ended or timed out. Returns the recorded events.
///
/// # Errors
/// A socket can't be created, or a system call that waits for events fails.
pub fn run(plan: Plan) -> io::Result<Vec<ClientRecord>> {
    let limits = NetLimits { connect_timeout: CONNECT_TIMEOUT, ..NetLimits::default() };
    let client = Client::new(1, limits)?;
    let random = ChaCha8Rng::seed_from_u64(plan.seed);
    let until = plan.until;
    let mut clients = Clients {
        client,
        random,
        records: Vec::new(),
        sources: Vec::new(),
        open: HashMap::new(),
        rpcs: HashMap::new(),
        unary: BTreeSet::new(),
        shared: BTreeMap::new(),
        timers: BTreeSet::new(),
        next_controller: 0,
        plan,
    };
    for traffic in clients.plan.traffic.clone() {
        let next = clients.now();
        clients.sources.push(Source { traffic, next, until, count: 0, one_off: false });
    }
    clients.run()?;
    Ok(clients.records)
}

impl Clients {
    fn now(&self) -> Micros {
        self.plan.epoch.elapsed().as_micros() as Micros
    }

    fn record(&mut self, id: &str, observation: ClientObservation) {
        self.records.push(ClientRecord { at: self.now(), id: id.to_owned(), observation });
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        let mut shared_streams_closed = false;
        loop {
            let now = self.now();
            while let Ok(ClientCommand::OneOff { rate, until }) = self.plan.commands.try_recv() {
                let traffic = one_off_traffic(rate);
                self.sources.push(Source { traffic, next: now, until, count: 0, one_off: true });
            }
            self.send_due(now)?;
            self.fire_timers(now);
            if now >= self.plan.until {
                if !shared_streams_closed {
                    shared_streams_closed = true;
                    for rpc in self.shared.values() {
                        self.client.finish(*rpc);
                    }
                }
                if self.open.is_empty() {
                    return Ok(());
                }
            }
            self.client.poll(Some(self.wait(now)), &mut events)?;
            for event in events.drain(..) {
                self.handle(event);
            }
        }
    }

    /// The time until the next call or timer is due, at most `MAX_WAIT`.
    fn wait(&self, now: Micros) -> Duration {
        let calls = self.sources.iter().filter(|source| source.next < source.until).map(|source| source.next);
        let timer = self.timers.first().map(|(at, _)| *at);
        let next = calls.chain(timer).min().unwrap_or(now + MAX_WAIT).min(now + MAX_WAIT);
        Duration::from_micros(next.saturating_sub(self.now()))
    }

    /// Sends the calls that are due, and schedules the next one of each source.
    fn send_due(&mut self, now: Micros) -> io::Result<()> {
        for index in 0..self.sources.len() {
            while self.sources[index].next <= now.min(self.sources[index].until.saturating_sub(1)) {
                let source = &mut self.sources[index];
                // Exponential gaps between calls give Poisson arrivals; the lower bound avoids ln(0).
                let uniform: f64 = self.random.random::<f64>().max(1e-12);
                source.next += (-uniform.ln() * 1e6 / source.traffic.rate.max(1e-3)).max(1.0) as Micros;
                source.count += 1;
                self.send(index)?;
            }
        }
        Ok(())
    }

    /// Sends the next call of a source. Does nothing if no controller is up, or if the settings lack the model.
    fn send(&mut self, index: usize) -> io::Result<()> {
        let Some(target) = self.next_target() else { return Ok(()) };
        let source = &self.sources[index];
        let (traffic, count) = (source.traffic.clone(), source.count);
        let model = if source.one_off {
            format!("{}-{count}", traffic.name)
        } else {
            format!("{}-{}", traffic.name, self.random.random_range(0..traffic.models))
        };
        let Some(model_config) = self.plan.config.models.find(&model) else { return Ok(()) };
        let class = model_config.class.0;
        let settings = self.plan.config.settings.classes[class].clone();
        let id = format!("{index}.{count}");
        let slow = traffic.streamed && !traffic.shared && self.random.random::<f64>() < traffic.slow;
        let cancel = !traffic.shared && self.random.random::<f64>() < traffic.cancel;
        let timeout = traffic.deadline.map_or(settings.deadline, |deadline| deadline.min(settings.deadline));
        let has_id = traffic.without_id == 0.0 || self.random.random::<f64>() >= traffic.without_id;
        let mut request = build_request(&traffic, &model, &id);
        if !has_id {
            remove_id(&mut request);
        }
        let message = request.encode_to_vec().into();
        let now = self.now();
        let deadline = now + timeout;
        let sent = ClientObservation::Sent {
            controller: target.controller,
            model,
            deadline,
            effect: settings.effect,
            class: self.plan.config.classes[class].clone(),
            latency_objective: settings.latency_objective,
            has_id,
            slow,
        };
        self.record(&id, sent);
        let rpc = self.open_rpc(index, target, &traffic, timeout, message)?;
        self.rpcs.entry(rpc).or_default().insert(id.clone());
        self.open.insert(id.clone(), OpenCall { rpc, answered: false });
        if cancel {
            let at = now + self.random.random_range(0..timeout.max(2) / 2);
            self.timers.insert((at, Timer::Cancel(id.clone())));
        }
        if slow {
            self.client.set_reading(rpc, false);
            self.timers.insert((now + SLOW_READER_PAUSE, Timer::ResumeReading(rpc)));
        }
        self.timers.insert((deadline + ANSWER_GRACE, Timer::GiveUp(id)));
        Ok(())
    }

    /// The next controller in turn among those that are up.
    fn next_target(&mut self) -> Option<Target> {
        let addresses = self.plan.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let up: Vec<Target> = addresses
            .iter()
            .enumerate()
            .filter_map(|(controller, address)| Some(Target { controller, address: (*address)? }))
            .collect();
        if up.is_empty() {
            return None;
        }
        self.next_controller += 1;
        Some(up[self.next_controller % up.len()])
    }

    /// Sends the message of a call on a new RPC, or on the stream that the calls of its source share. Returns the
    /// number of the RPC.
    fn open_rpc(
        &mut self,
        source: usize,
        target: Target,
        traffic: &Traffic,
        timeout: Micros,
        message: Bytes,
    ) -> io::Result<u64> {
        let key = (source, target.controller);
        let shared = self.shared.get(&key).copied().filter(|rpc| self.rpcs.contains_key(rpc));
        let rpc = match shared.filter(|_| traffic.shared) {
            Some(rpc) => {
                self.client.send(rpc, message);
                rpc
            }
            None => {
                let request = ClientRequest {
                    method: if traffic.streamed { "ModelStreamInfer" } else { "ModelInfer" },
                    messages: vec![message],
                    keep_open: traffic.shared,
                    timeout: (!traffic.shared).then(|| Duration::from_micros(timeout)),
                    headers: Vec::new(),
                };
                self.client.call(target.address, request)?
            }
        };
        if traffic.shared {
            self.shared.insert(key, rpc);
        } else if !traffic.streamed {
            self.unary.insert(rpc);
        }
        Ok(rpc)
    }

    fn fire_timers(&mut self, now: Micros) {
        while let Some((at, _)) = self.timers.first() {
            if *at > now {
                return;
            }
            let Some((_, timer)) = self.timers.pop_first() else { return };
            match timer {
                Timer::ResumeReading(rpc) => self.client.set_reading(rpc, true),
                Timer::Cancel(id) => {
                    if let Some(open) = self.open.get(&id).filter(|open| !open.answered) {
                        let rpc = open.rpc;
                        self.client.cancel(rpc);
                        self.record(&id, ClientObservation::Cancelled);
                        self.open.remove(&id);
                        self.rpcs.remove(&rpc);
                        self.unary.remove(&rpc);
                    }
                }
                Timer::GiveUp(id) => {
                    // Nothing is recorded, so that the audit finds a call without a final answer.
                    if let Some(open) = self.open.remove(&id)
                        && let Some(calls) = self.rpcs.get_mut(&open.rpc)
                    {
                        calls.remove(&id);
                    }
                }
            }
        }
    }

    /// Records the final answer of a call on a stream.
    fn record_final(&mut self, id: &str, end: FinalStatus) {
        // A second final answer is recorded as well, since the audit counts final answers.
        self.record(id, ClientObservation::Final(end));
        if let Some(open) = self.open.get_mut(id) {
            open.answered = true;
        }
    }

    fn handle(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Message { rpc, payload } => {
                if !self.unary.contains(&rpc) {
                    self.handle_message(rpc, payload);
                }
            }
            ClientEvent::End { rpc, status, trailers } => {
                let unary = self.unary.remove(&rpc);
                for id in self.rpcs.remove(&rpc).unwrap_or_default() {
                    let answered = self.open.remove(&id).is_some_and(|open| open.answered);
                    match &status {
                        Err(_) if !answered => self.record(&id, ClientObservation::Lost),
                        Ok(status) if unary => {
                            let end = final_status(status, trailers.get(PUSHBACK_TRAILER));
                            self.record(&id, ClientObservation::Final(end));
                        }
                        // On a stream, the status OK ends the RPC only. The final answers of its calls are messages.
                        Ok(status) if !answered && status.code != Code::Ok => {
                            let end = final_status(status, trailers.get(PUSHBACK_TRAILER));
                            self.record(&id, ClientObservation::Final(end));
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    /// The id of the call that a response belongs to. A response without an id answers the only call of its RPC; `None`
    /// if that call has ended.
    fn answered_call(&self, rpc: u64, response_id: String) -> Option<String> {
        if response_id.is_empty() { self.rpcs.get(&rpc)?.first().cloned() } else { Some(response_id) }
    }

    /// Records a response message of a streaming RPC. Messages that can't be decoded are ignored.
    fn handle_message(&mut self, rpc: u64, payload: Bytes) {
        let Ok(message) = ModelStreamInferResponse::decode(payload) else { return };
        let response = message.infer_response.unwrap_or_default();
        let Some(id) = self.answered_call(rpc, response.id) else { return };
        if !message.error_message.is_empty() {
            let refused = response.parameters.get("grpc_status").is_some_and(
                |p| matches!(&p.parameter_choice, Some(ParameterChoice::StringParam(s)) if s == "UNAVAILABLE"),
            );
            self.record_final(&id, if refused { FinalStatus::Refused } else { FinalStatus::Failed });
        } else if response.parameters.get(FINAL).and_then(InferParameter::boolean) == Some(true) {
            self.record_final(&id, FinalStatus::Served);
        } else {
            self.record(&id, ClientObservation::Part);
        }
    }
}

/// Traffic in which each call is for a model that is used only once.
fn one_off_traffic(rate: f64) -> Traffic {
    Traffic {
        name: "echo-once".to_owned(),
        models: 1,
        rate,
        streamed: false,
        shared: false,
        segments: 1,
        bytes: ONE_OFF_BYTES,
        deadline: None,
        cancel: 0.0,
        slow: 0.0,
        without_id: 0.0,
    }
}

/// The outcome of a call that ended with a gRPC status. UNAVAILABLE is a refusal only if the server permits a retry.
fn final_status(status: &Status, pushback: Option<&http::HeaderValue>) -> FinalStatus {
    let may_retry = pushback.and_then(|v| v.to_str().ok()).is_some_and(|ms| !ms.starts_with('-'));
    match status.code {
        Code::Ok => FinalStatus::Served,
        Code::Unavailable if may_retry => FinalStatus::Refused,
        _ => FinalStatus::Failed,
    }
}

/// Builds a request: a generated height profile for a `climb` model, or `traffic.bytes` bytes for an `echo` model.
fn build_request(traffic: &Traffic, model: &str, id: &str) -> ModelInferRequest {
    if model.starts_with("climb") {
        let heights: Vec<f32> = (0..=traffic.segments * 4).map(|n| ((n * 37) % 11) as f32).collect();
        climb_request(model, id, &heights, traffic.segments)
    } else {
        let mut request = climb_request(model, id, &[], 1);
        request.raw_input_contents = vec![Bytes::from(vec![7; traffic.bytes])];
        request
    }
}
