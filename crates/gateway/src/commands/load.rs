//! `load`: closed-loop load with latencies, through a gateway and straight to a worker in one run, and what the
//! gateway answers by itself, to tell whose bound the figure shows.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_proto::inference::ModelInferRequest;
use nettleferry_scenario::client::{Ask, Client, Heard};
use prost::Message;

use super::{CommandError, announce};

/// Measure: closed-loop load, through a gateway and straight to a worker side by side.
#[derive(Args)]
pub struct Load {
    /// The gateway
    address: SocketAddr,
    /// A worker: the same load goes straight to it, in turn with the gateway's
    #[arg(long, value_name = "ADDR:PORT")]
    against: Option<SocketAddr>,
    /// The model
    #[arg(long, default_value = "echo")]
    model: String,
    /// Calls open at once
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=50_000))]
    open: u32,
    /// Connections
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=1024))]
    connections: u32,
    /// Length of a round
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Rounds for each side
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    rounds: u32,
    /// Bytes of tensor a call carries
    #[arg(long, default_value_t = 256)]
    bytes: usize,
    /// By ModelStreamInfer
    #[arg(long)]
    stream: bool,
}

/// A call through the gateway costs it some times an answer of its own; below this part of them something
/// else bounds.
const WORKERS_BOUND: f64 = 0.15;

/// What one round gave.
struct Round {
    calls: u64,
    bad: u64,
    span: Duration,
    latency: Histogram<u64>,
}

impl Load {
    pub fn run(self) -> Result<u8, CommandError> {
        if !(self.seconds > 0.0 && self.seconds <= 3600.0) {
            return Err(CommandError::Usage("--seconds: more than 0, at most 3600".to_owned()));
        }
        let mut sides = vec![("through", self.address)];
        sides.extend(self.against.map(|address| ("direct", address)));
        let mut rates = vec![Vec::new(); sides.len()];
        let ask = self.ask();
        for round in 1..=self.rounds {
            for (side, (name, address)) in sides.iter().enumerate() {
                let got = self.round(*address, &ask)?;
                let rate = got.calls as f64 / got.span.as_secs_f64();
                rates[side].push(rate);
                let at = |q| got.latency.value_at_quantile(q) as f64 / 1e3;
                announce(&format!(
                    "round {round} {name}: {rate:.0} calls/s, {} not served, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
                    got.bad,
                    at(0.5),
                    at(0.99),
                    at(0.999)
                ))?;
            }
        }
        let through = median(&mut rates[0]);
        let live = Ask { method: "ServerLive", messages: vec![Bytes::new()], ..Ask::default() };
        let got = self.round(self.address, &live)?;
        let front = got.calls as f64 / got.span.as_secs_f64();
        announce(&format!("the gateway's own answers (ServerLive): {front:.0} a second at the same load"))?;
        if through < front * WORKERS_BOUND {
            announce(&format!(
                "calls come to {:.1}% of that: lanes, cores and work of the workers bound this figure, not the gateway",
                100.0 * through / front.max(1e-9)
            ))?;
        }
        if let [through, direct] = &mut rates[..] {
            let ratio = median(through) / median(direct).max(1e-9);
            announce(&format!(
                "through/direct: {ratio:.3} of the throughput (medians of {} rounds)",
                self.rounds
            ))?;
        }
        Ok(0)
    }

    fn ask(&self) -> Ask {
        let mut request = nettleferry_test_servers::models::climb_request(&self.model, "1", &[], 1);
        request.raw_input_contents = vec![vec![7; self.bytes].into()];
        if self.model.starts_with("climb") {
            let heights = [1.0; 65];
            request = nettleferry_test_servers::models::climb_request(&self.model, "1", &heights, 4);
        }
        let body = ModelInferRequest::encode_to_vec(&request);
        let method = if self.stream { "ModelStreamInfer" } else { "ModelInfer" };
        Ask { method, messages: vec![body.into()], ..Ask::default() }
    }

    fn round(&self, address: SocketAddr, ask: &Ask) -> Result<Round, CommandError> {
        let failed = || CommandError::system("the client failed");
        let limits = NetLimits { connect_timeout: Duration::from_secs(5), ..NetLimits::default() };
        let mut client = Client::new(self.connections as usize, limits).map_err(failed())?;
        let mut begun = std::collections::HashMap::new();
        let mut round = Round {
            calls: 0,
            bad: 0,
            span: Duration::ZERO,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3)
                .map_err(|e| CommandError::Usage(format!("histogram: {e}")))?,
        };
        let start = Instant::now();
        let until = start + Duration::from_secs_f64(self.seconds);
        for _ in 0..self.open {
            begun.insert(client.call(address, ask.clone()).map_err(failed())?, Instant::now());
        }
        let mut heard = Vec::new();
        while !begun.is_empty() {
            client.turn(Some(Duration::from_secs(1)), &mut heard).map_err(failed())?;
            let now = Instant::now();
            for what in heard.drain(..) {
                let Heard::End { rpc, status, .. } = what else { continue };
                let Some(since) = begun.remove(&rpc) else { continue };
                if status.is_ok_and(|s| s.code == Code::Ok) {
                    round.calls += 1;
                    round.latency.saturating_record((now - since).as_micros() as u64);
                } else {
                    round.bad += 1;
                }
                if now < until {
                    begun.insert(client.call(address, ask.clone()).map_err(failed())?, now);
                }
            }
            if now > until + Duration::from_secs(30) {
                round.bad += begun.len() as u64;
                break;
            }
        }
        round.span = start.elapsed();
        Ok(round)
    }
}

fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
