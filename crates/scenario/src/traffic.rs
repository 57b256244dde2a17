//! The day's clients: open-loop traffic over sockets, and what they saw.

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

use crate::client::{Ask, Client, Heard};
use crate::evidence::{ClientRecord, ClientSaw, Final};
use crate::script::Traffic;

/// Where controllers listen now; none: it is down as far as clients are told.
pub type Addresses = Arc<Mutex<Vec<Option<SocketAddr>>>>;

/// What clients are told while they run.
pub enum Tell {
    /// Calls for models that are wanted once, so many a second, until then.
    OneOff {
        /// Calls a second.
        rate: f64,
        /// Until.
        until: Micros,
    },
}

/// How clients start.
pub struct Plan {
    /// The traffic.
    pub traffic: Vec<Traffic>,
    /// For classes and deadlines.
    pub config: Config,
    /// Controllers.
    pub addresses: Addresses,
    /// Zero of the records' clock.
    pub epoch: Instant,
    /// Nothing is sent from then on.
    pub until: Micros,
    /// For chance.
    pub seed: u64,
    /// Word of the day.
    pub told: Receiver<Tell>,
}

/// How long after its deadline a call is still listened for.
const LISTEN_ON: Micros = 1_000_000;
/// How long a slow reader reads nothing.
const SLOW_FOR: Micros = 300_000;

struct Open {
    rpc: u64,
    over: bool,
}

struct Source {
    traffic: Traffic,
    next: Micros,
    until: Micros,
    count: u64,
    /// Each call has a model of its own.
    once: bool,
}

struct Clients {
    plan: Plan,
    client: Client,
    random: ChaCha8Rng,
    records: Vec<ClientRecord>,
    sources: Vec<Source>,
    open: HashMap<String, Open>,
    /// Calls of an RPC: one, or those that share a stream.
    rpcs: HashMap<u64, BTreeSet<String>>,
    unary: BTreeSet<u64>,
    shared: BTreeMap<(usize, usize), u64>,
    later: BTreeSet<(Micros, Later)>,
    turn: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Later {
    Cancel(String),
    ReadOn(u64),
    GiveUp(String),
}

/// Runs the clients until the traffic is over and every call has ended or is given up.
pub fn run(plan: Plan) -> io::Result<Vec<ClientRecord>> {
    let limits = NetLimits { connect_timeout: Duration::from_secs(3), ..NetLimits::default() };
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
        later: BTreeSet::new(),
        turn: 0,
        plan,
    };
    for traffic in clients.plan.traffic.clone() {
        let next = clients.now();
        clients.sources.push(Source { traffic, next, until, count: 0, once: false });
    }
    clients.work()?;
    Ok(clients.records)
}

impl Clients {
    fn now(&self) -> Micros {
        self.plan.epoch.elapsed().as_micros() as Micros
    }

    fn see(&mut self, id: &str, what: ClientSaw) {
        self.records.push(ClientRecord { at: self.now(), id: id.to_owned(), what });
    }

    fn work(&mut self) -> io::Result<()> {
        let mut heard = Vec::new();
        let mut finished = false;
        loop {
            let now = self.now();
            while let Ok(Tell::OneOff { rate, until }) = self.plan.told.try_recv() {
                let traffic = Traffic {
                    name: "echo-once".to_owned(),
                    models: 1,
                    rate,
                    streamed: false,
                    shared: false,
                    segments: 1,
                    bytes: 64,
                    deadline: None,
                    cancel: 0.0,
                    slow: 0.0,
                };
                self.sources.push(Source { traffic, next: now, until, count: 0, once: true });
            }
            self.send_due(now)?;
            self.later_due(now);
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
            let next = self.sources.iter().filter(|s| s.next < s.until).map(|s| s.next);
            let later = self.later.first().map(|(at, _)| *at);
            let next = next.chain(later).min().unwrap_or(now + 50_000).min(now + 50_000);
            let wait = Duration::from_micros(next.saturating_sub(self.now()));
            self.client.poll(Some(wait), &mut heard)?;
            for what in heard.drain(..) {
                self.hear(what);
            }
        }
    }

    fn send_due(&mut self, now: Micros) -> io::Result<()> {
        for at in 0..self.sources.len() {
            while self.sources[at].next <= now.min(self.sources[at].until.saturating_sub(1)) {
                let source = &mut self.sources[at];
                // Poisson arrivals.
                let unit: f64 = self.random.random::<f64>().max(1e-12);
                source.next += (-unit.ln() * 1e6 / source.traffic.rate.max(1e-3)).max(1.0) as Micros;
                source.count += 1;
                self.send(at)?;
            }
        }
        Ok(())
    }

    fn send(&mut self, at: usize) -> io::Result<()> {
        let addresses = self.plan.addresses.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let up: Vec<(usize, SocketAddr)> =
            addresses.iter().enumerate().filter_map(|(n, a)| a.map(|a| (n, a))).collect();
        if up.is_empty() {
            return Ok(());
        }
        self.turn += 1;
        let (controller, address) = up[self.turn % up.len()];
        let source = &self.sources[at];
        let (traffic, count, once) = (source.traffic.clone(), source.count, source.once);
        let model = if once {
            format!("{}-{count}", traffic.name)
        } else {
            format!("{}-{}", traffic.name, self.random.random_range(0..traffic.models))
        };
        let Some(told) = self.plan.config.models.find(&model) else { return Ok(()) };
        let class = told.class.0;
        let settings = self.plan.config.settings.classes[class].clone();
        let id = format!("{at}.{count}");
        let slow = traffic.streamed && !traffic.shared && self.random.random::<f64>() < traffic.slow;
        let cancel = !traffic.shared && self.random.random::<f64>() < traffic.cancel;
        let span = traffic.deadline.map_or(settings.deadline, |d| d.min(settings.deadline));
        let message = request(&traffic, &model, &id);
        let timeout = (!traffic.shared).then(|| Duration::from_micros(span));
        let method = if traffic.streamed { "ModelStreamInfer" } else { "ModelInfer" };
        let now = self.now();
        let deadline = now + span;
        self.see(
            &id,
            ClientSaw::Sent {
                controller,
                model,
                deadline,
                effect: settings.effect,
                class: self.plan.config.classes[class].clone(),
                aim: settings.latency_objective,
                slow,
            },
        );
        let known = self.shared.get(&(at, controller)).copied().filter(|rpc| self.rpcs.contains_key(rpc));
        let rpc = match known.filter(|_| traffic.shared) {
            Some(rpc) => {
                self.client.more(rpc, message);
                rpc
            }
            None => {
                let ask = Ask {
                    method,
                    messages: vec![message],
                    keep_open: traffic.shared,
                    timeout,
                    headers: Vec::new(),
                };
                self.client.call(address, ask)?
            }
        };
        if traffic.shared {
            self.shared.insert((at, controller), rpc);
        } else if !traffic.streamed {
            self.unary.insert(rpc);
        }
        self.rpcs.entry(rpc).or_default().insert(id.clone());
        self.open.insert(id.clone(), Open { rpc, over: false });
        if cancel {
            let when = now + self.random.random_range(0..span.max(2) / 2);
            self.later.insert((when, Later::Cancel(id.clone())));
        }
        if slow {
            self.client.read(rpc, false);
            self.later.insert((now + SLOW_FOR, Later::ReadOn(rpc)));
        }
        self.later.insert((deadline + LISTEN_ON, Later::GiveUp(id)));
        Ok(())
    }

    fn later_due(&mut self, now: Micros) {
        while let Some((at, _)) = self.later.first() {
            if *at > now {
                return;
            }
            let Some((_, what)) = self.later.pop_first() else { return };
            match what {
                Later::ReadOn(rpc) => self.client.read(rpc, true),
                Later::Cancel(id) => {
                    if let Some(open) = self.open.get(&id).filter(|o| !o.over) {
                        let rpc = open.rpc;
                        self.client.cancel(rpc);
                        self.see(&id, ClientSaw::Cancelled);
                        self.open.remove(&id);
                        self.rpcs.remove(&rpc);
                        self.unary.remove(&rpc);
                    }
                }
                Later::GiveUp(id) => {
                    // Its silence stands in the records: no final answer.
                    if let Some(open) = self.open.remove(&id)
                        && let Some(calls) = self.rpcs.get_mut(&open.rpc)
                    {
                        calls.remove(&id);
                    }
                }
            }
        }
    }

    fn end(&mut self, id: &str, end: Final) {
        // Every final is recorded, also a second one: the audit counts.
        self.see(id, ClientSaw::Final(end));
        if let Some(open) = self.open.get_mut(id) {
            open.over = true;
        }
    }

    fn hear(&mut self, heard: Heard) {
        match heard {
            Heard::Message { rpc, payload } => {
                if !self.unary.contains(&rpc) {
                    self.message(payload);
                }
            }
            Heard::End { rpc, status, trailers } => {
                let unary = self.unary.remove(&rpc);
                for id in self.rpcs.remove(&rpc).unwrap_or_default() {
                    let over = self.open.remove(&id).is_some_and(|o| o.over);
                    match &status {
                        Err(_) if !over => self.see(&id, ClientSaw::Lost),
                        Ok(status) if unary => {
                            let end = by_status(status, trailers.get("grpc-retry-pushback-ms"));
                            self.see(&id, ClientSaw::Final(end));
                        }
                        // On a stream OK ends the RPC; each call had its end before, or has none.
                        Ok(status) if !over && status.code != Code::Ok => {
                            let end = by_status(status, trailers.get("grpc-retry-pushback-ms"));
                            self.see(&id, ClientSaw::Final(end));
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
            self.end(&id, if refused { Final::Refused } else { Final::Failed });
        } else if response.parameters.get(FINAL).and_then(InferParameter::truth) == Some(true) {
            self.end(&id, Final::Served);
        } else {
            self.see(&id, ClientSaw::Part);
        }
    }
}

fn by_status(status: &Status, pushback: Option<&http::HeaderValue>) -> Final {
    let harmless = pushback.and_then(|v| v.to_str().ok()).is_some_and(|ms| !ms.starts_with('-'));
    match status.code {
        Code::Ok => Final::Served,
        Code::Unavailable if harmless => Final::Refused,
        _ => Final::Failed,
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
