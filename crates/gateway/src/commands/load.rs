//! `load`: closed-loop load with latencies, through a gateway and straight to a worker in one run, and what the
//! gateway answers by itself, to tell whose bound the figure shows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use nettleferry_test_servers::models::climb_request;
use prost::Message;

use super::console::announce;
use super::error::{CommandError, UsageError};
use super::exit_code;

/// Measure: closed-loop load, through a gateway and straight to a worker side by side.
#[derive(Args)]
pub(crate) struct Load {
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

/// A call through the gateway costs it several times as much as an answer of its own. Below this part of the rate of
/// its own answers, something else is the bound.
const GATEWAY_BOUND_MIN_RATIO: f64 = 0.15;

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a round's last calls are waited for after its end.
const LAST_CALLS_GRACE: Duration = Duration::from_secs(30);
/// The longest wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// A round's length at the most, in seconds.
const MAX_ROUND_SECONDS: f64 = 3600.0;
/// Calls a second that a ratio divides by at the least.
const MIN_RATE: f64 = 1e-9;
/// Latencies above this are counted as this.
const MAX_LATENCY_US: u64 = 60_000_000;
/// The request to a climbing model: its heights, and the segments of its answer.
const CLIMB_HEIGHTS: usize = 65;
const CLIMB_SEGMENTS: i64 = 4;

/// What one round gave.
struct Round {
    served: u64,
    not_served: u64,
    span: Duration,
    latency_us: Histogram<u64>,
}

impl Round {
    fn new() -> Result<Self, UsageError> {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
        Ok(Self { served: 0, not_served: 0, span: Duration::ZERO, latency_us })
    }
}

impl Round {
    fn calls_per_second(&self) -> f64 {
        self.served as f64 / self.span.as_secs_f64()
    }

    fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// One end of the comparison, with the calls a second of each round.
struct Target {
    name: &'static str,
    address: SocketAddr,
    rates: Vec<f64>,
}

impl Load {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        if !(self.seconds > 0.0 && self.seconds <= MAX_ROUND_SECONDS) {
            return Err(UsageError::RoundLength.into());
        }
        let mut targets = vec![Target { name: "through", address: self.address, rates: Vec::new() }];
        targets.extend(self.against.map(|address| Target { name: "direct", address, rates: Vec::new() }));
        let request = self.request();
        for number in 1..=self.rounds {
            for target in &mut targets {
                let round = self.round(target.address, &request)?;
                target.rates.push(round.calls_per_second());
                announce(&format!(
                    "round {number} {}: {:.0} calls/s, {} not served, p50 {:.2} ms, p99 {:.2} ms, p99.9 {:.2} ms",
                    target.name,
                    round.calls_per_second(),
                    round.not_served,
                    round.latency_ms(0.5),
                    round.latency_ms(0.99),
                    round.latency_ms(0.999)
                ))?;
            }
        }
        let medians: Vec<f64> = targets.into_iter().map(|target| median(target.rates)).collect();
        self.compare_with_server_live_rate(medians[0])?;
        if let [through, direct] = medians[..] {
            let ratio = through / direct.max(MIN_RATE);
            announce(&format!(
                "through/direct: {ratio:.3} of the throughput (medians of {} rounds)",
                self.rounds
            ))?;
        }
        Ok(exit_code::SUCCESS)
    }

    /// Says whether the workers bound the rate through the gateway: one round of calls that it answers by itself.
    fn compare_with_server_live_rate(&self, through: f64) -> Result<(), CommandError> {
        let live =
            ClientRequest { method: "ServerLive", messages: vec![Bytes::new()], ..ClientRequest::default() };
        let own = self.round(self.address, &live)?.calls_per_second();
        announce(&format!("the gateway's own answers (ServerLive): {own:.0} a second at the same load"))?;
        if through < own * GATEWAY_BOUND_MIN_RATIO {
            announce(&format!(
                "calls come to {:.1}% of that: lanes, cores and work of the workers bound this figure, not the gateway",
                100.0 * through / own.max(MIN_RATE)
            ))?;
        }
        Ok(())
    }

    fn request(&self) -> ClientRequest {
        let body = if self.model.starts_with("climb") {
            climb_request(&self.model, "1", &[1.0; CLIMB_HEIGHTS], CLIMB_SEGMENTS)
        } else {
            let mut body = climb_request(&self.model, "1", &[], 1);
            body.raw_input_contents = vec![vec![7; self.bytes].into()];
            body
        };
        let method = if self.stream { "ModelStreamInfer" } else { "ModelInfer" };
        ClientRequest { method, messages: vec![body.encode_to_vec().into()], ..ClientRequest::default() }
    }

    /// Keeps `open` calls open until the round's end, and waits for the last ones.
    fn round(&self, address: SocketAddr, request: &ClientRequest) -> Result<Round, CommandError> {
        let failed = || CommandError::system("the client failed");
        let limits = NetLimits { connect_timeout: CONNECT_TIMEOUT, ..NetLimits::default() };
        let mut client = Client::new(self.connections as usize, limits).map_err(failed())?;
        let mut open = HashMap::new();
        let mut round = Round::new()?;
        let start = Instant::now();
        let until = start + Duration::from_secs_f64(self.seconds);
        for _ in 0..self.open {
            open.insert(client.call(address, request.clone()).map_err(failed())?, Instant::now());
        }
        let mut events = Vec::new();
        while !open.is_empty() {
            client.poll(Some(MAX_WAIT), &mut events).map_err(failed())?;
            let now = Instant::now();
            for event in events.drain(..) {
                let ClientEvent::End { rpc, status, .. } = event else { continue };
                let Some(since) = open.remove(&rpc) else { continue };
                if status.is_ok_and(|status| status.code == Code::Ok) {
                    round.served += 1;
                    round.latency_us.saturating_record((now - since).as_micros() as u64);
                } else {
                    round.not_served += 1;
                }
                if now < until {
                    open.insert(client.call(address, request.clone()).map_err(failed())?, now);
                }
            }
            if now > until + LAST_CALLS_GRACE {
                round.not_served += open.len() as u64;
                break;
            }
        }
        round.span = start.elapsed();
        Ok(round)
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
