//! The clients of a run: open-loop traffic over sockets, and what the clients saw.

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
    FINAL, InferParameter, ModelStreamInferResponse, infer_parameter::ParameterChoice,
};
use nettleferry_test_servers::models::climb_request;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::client::{Client, ClientEvent, ClientRequest};
use crate::evidence::{ClientObservation, ClientRecord, FinalStatus};
use crate::script::Traffic;

/// Where controllers listen; `None`: clients send it no calls.
pub type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// Commands to the running clients.
pub enum ClientCommand {
    /// Further calls, each for a model of its own.
    OneOff {
        /// Calls a second.
        rate: f64,
        /// When they end.
        until: Micros,
    },
}

/// How clients start.
pub struct Plan {
    /// The traffic.
    pub traffic: Vec<Traffic>,
    /// Classes and deadlines of models.
    pub config: Config,
    /// Controllers.
    pub addresses: Addresses,
    /// Zero of the records' clock.
    pub epoch: Instant,
    /// When the last call is sent.
    pub until: Micros,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Commands while they run.
    pub commands: Receiver<ClientCommand>,
}

/// How long after its deadline the answer of a call is still awaited.
const ANSWER_GRACE: Micros = 1_000_000;
/// How long a slow reader reads nothing.
const SLOW_READER_PAUSE: Micros = 300_000;
/// The longest wait for an event.
const MAX_WAIT: Micros = 50_000;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes of a call for a model that is wanted once.
const ONE_OFF_BYTES: usize = 64;
/// The trailer by which a server says when a retry is welcome (gRFC A6); a negative number: none is.
const PUSHBACK_TRAILER: &str = "grpc-retry-pushback-ms";

struct OpenCall {
    rpc: u64,
    answered: bool,
}

/// A controller that is up.
#[derive(Clone, Copy)]
struct Target {
    controller: usize,
    address: SocketAddr,
}

/// A stream of calls.
struct Source {
    traffic: Traffic,
    next: Micros,
    until: Micros,
    count: u64,
    /// Each call has a model of its own.
    one_off: bool,
}

struct Clients {
    plan: Plan,
    client: Client,
    random: ChaCha8Rng,
    records: Vec<ClientRecord>,
    sources: Vec<Source>,
    open: HashMap<String, OpenCall>,
    /// Calls of an RPC: one, or those that share a stream.
    rpcs: HashMap<u64, BTreeSet<String>>,
    unary: BTreeSet<u64>,
    shared: BTreeMap<(usize, usize), u64>,
    timers: BTreeSet<(Micros, Timer)>,
    /// Counts calls: the next controller in turn.
    next_controller: usize,
}

/// What is done later, of a call by its id or of an RPC by its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Cancel(String),
    ReadOn(u64),
    GiveUp(String),
}

/// Runs the clients until the traffic is over and every call has ended or is given up.
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

    fn record(&mut self, id: &str, what: ClientObservation) {
        self.records.push(ClientRecord { at: self.now(), id: id.to_owned(), what });
    }

    fn run(&mut self) -> io::Result<()> {
        let mut events = Vec::new();
        let mut finished = false;
        loop {
            let now = self.now();
            while let Ok(ClientCommand::OneOff { rate, until }) = self.plan.commands.try_recv() {
                let traffic = one_off_traffic(rate);
                self.sources.push(Source { traffic, next: now, until, count: 0, one_off: true });
            }
            self.send_due(now)?;
            self.fire_timers(now);
            if now >= self.plan.until {
                if !finished {
                    finished = true;
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

    /// How long there is nothing to do but to wait for events.
    fn wait(&self, now: Micros) -> Duration {
        let calls = self.sources.iter().filter(|source| source.next < source.until).map(|source| source.next);
        let timer = self.timers.first().map(|(at, _)| *at);
        let next = calls.chain(timer).min().unwrap_or(now + MAX_WAIT).min(now + MAX_WAIT);
        Duration::from_micros(next.saturating_sub(self.now()))
    }

    fn send_due(&mut self, now: Micros) -> io::Result<()> {
        for index in 0..self.sources.len() {
            while self.sources[index].next <= now.min(self.sources[index].until.saturating_sub(1)) {
                let source = &mut self.sources[index];
                // Poisson arrivals.
                let unit: f64 = self.random.random::<f64>().max(1e-12);
                source.next += (-unit.ln() * 1e6 / source.traffic.rate.max(1e-3)).max(1.0) as Micros;
                source.count += 1;
                self.send(index)?;
            }
        }
        Ok(())
    }

    /// Sends the next call of a source, unless no controller is up or the model has no class.
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
        let span = traffic.deadline.map_or(settings.deadline, |deadline| deadline.min(settings.deadline));
        let message = request(&traffic, &model, &id);
        let now = self.now();
        let deadline = now + span;
        let sent = ClientObservation::Sent {
            controller: target.controller,
            model,
            deadline,
            effect: settings.effect,
            class: self.plan.config.classes[class].clone(),
            latency_objective: settings.latency_objective,
            slow,
        };
        self.record(&id, sent);
        let rpc = self.open_rpc(index, target, &traffic, span, message)?;
        self.rpcs.entry(rpc).or_default().insert(id.clone());
        self.open.insert(id.clone(), OpenCall { rpc, answered: false });
        if cancel {
            let at = now + self.random.random_range(0..span.max(2) / 2);
            self.timers.insert((at, Timer::Cancel(id.clone())));
        }
        if slow {
            self.client.set_reading(rpc, false);
            self.timers.insert((now + SLOW_READER_PAUSE, Timer::ReadOn(rpc)));
        }
        self.timers.insert((deadline + ANSWER_GRACE, Timer::GiveUp(id)));
        Ok(())
    }

    /// The next controller in turn of those that are up.
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

    /// Sends a call's message on an RPC of its own, or on the stream that calls of this source share.
    fn open_rpc(
        &mut self,
        source: usize,
        target: Target,
        traffic: &Traffic,
        span: Micros,
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
                    timeout: (!traffic.shared).then(|| Duration::from_micros(span)),
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
                Timer::ReadOn(rpc) => self.client.set_reading(rpc, true),
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
                    // Its records have no final answer.
                    if let Some(open) = self.open.remove(&id)
                        && let Some(calls) = self.rpcs.get_mut(&open.rpc)
                    {
                        calls.remove(&id);
                    }
                }
            }
        }
    }

    fn end(&mut self, id: &str, end: FinalStatus) {
        // Every final answer is recorded, also a second one: the audit counts them.
        self.record(id, ClientObservation::Final(end));
        if let Some(open) = self.open.get_mut(id) {
            open.answered = true;
        }
    }

    fn handle(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Message { rpc, payload } => {
                if !self.unary.contains(&rpc) {
                    self.message(payload);
                }
            }
            ClientEvent::End { rpc, status, trailers } => {
                let unary = self.unary.remove(&rpc);
                for id in self.rpcs.remove(&rpc).unwrap_or_default() {
                    let answered = self.open.remove(&id).is_some_and(|open| open.answered);
                    match &status {
                        Err(_) if !answered => self.record(&id, ClientObservation::Lost),
                        Ok(status) if unary => {
                            let end = by_status(status, trailers.get(PUSHBACK_TRAILER));
                            self.record(&id, ClientObservation::Final(end));
                        }
                        // On a stream OK ends the RPC; each call had its end before, or has none.
                        Ok(status) if !answered && status.code != Code::Ok => {
                            let end = by_status(status, trailers.get(PUSHBACK_TRAILER));
                            self.record(&id, ClientObservation::Final(end));
                        }
                        _ => {}
                    }
                }
            }
        }
    }

    fn message(&mut self, payload: Bytes) {
        let Ok(read) = ModelStreamInferResponse::decode(payload) else { return };
        let response = read.infer_response.unwrap_or_default();
        let id = response.id;
        if !read.error_message.is_empty() {
            let refused = response.parameters.get("grpc_status").is_some_and(
                |p| matches!(&p.parameter_choice, Some(ParameterChoice::StringParam(s)) if s == "UNAVAILABLE"),
            );
            self.end(&id, if refused { FinalStatus::Refused } else { FinalStatus::Failed });
        } else if response.parameters.get(FINAL).and_then(InferParameter::boolean) == Some(true) {
            self.end(&id, FinalStatus::Served);
        } else {
            self.record(&id, ClientObservation::Part);
        }
    }
}

/// Traffic for models that are wanted once.
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
    }
}

fn by_status(status: &Status, pushback: Option<&http::HeaderValue>) -> FinalStatus {
    let harmless = pushback.and_then(|v| v.to_str().ok()).is_some_and(|ms| !ms.starts_with('-'));
    match status.code {
        Code::Ok => FinalStatus::Served,
        Code::Unavailable if harmless => FinalStatus::Refused,
        _ => FinalStatus::Failed,
    }
}

fn request(traffic: &Traffic, model: &str, id: &str) -> Bytes {
    let request = if model.starts_with("climb") {
        let heights: Vec<f32> = (0..=traffic.segments * 4).map(|n| ((n * 37) % 11) as f32).collect();
        climb_request(model, id, &heights, traffic.segments)
    } else {
        let mut request = climb_request(model, id, &[], 1);
        request.raw_input_contents = vec![Bytes::from(vec![7; traffic.bytes])];
        request
    };
    request.encode_to_vec().into()
}
