//! `load`: measures throughput and latency under closed-loop load, through a gateway and directly at a worker in the
//! same run. A round of `ServerLive` calls, which the gateway answers itself, shows whether the gateway or the workers
//! limit the throughput.

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

/// Measure throughput and latency under closed-loop load, through a gateway and directly at a worker.
#[derive(Args)]
pub(crate) struct Load {
    /// Address of the gateway
    address: SocketAddr,
    /// Address of a worker that gets the same load directly, in rounds that alternate with those through the gateway
    #[arg(long, value_name = "ADDR:PORT")]
    against: Option<SocketAddr>,
    /// Name of the model
    #[arg(long, default_value = "echo")]
    model: String,
    /// Number of calls that are kept open
    #[arg(long, default_value_t = 64, value_parser = clap::value_parser!(u32).range(1..=50_000))]
    open: u32,
    /// Number of connections
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u32).range(1..=1024))]
    connections: u32,
    /// Length of a round, in seconds
    #[arg(long, default_value_t = 3.0)]
    seconds: f64,
    /// Number of rounds for each address
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u32).range(1..=100))]
    rounds: u32,
    /// Size of a call's input tensor in bytes; a climb model has a fixed input
    #[arg(long, default_value_t = 256)]
    bytes: usize,
    /// Use ModelStreamInfer
    #[arg(long)]
    stream: bool,
}

/// Ratio of the call rate to the `ServerLive` rate below which the workers, not the gateway, are reported as the limit.
/// The gateway's cost of a forwarded call is several times that of a call that it answers itself.
const GATEWAY_BOUND_MIN_RATIO: f64 = 0.15;

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Additional wait for the calls that are open at the end of a round.
const LAST_CALLS_GRACE: Duration = Duration::from_secs(30);
/// Maximum time that a poll waits for events.
const MAX_WAIT: Duration = Duration::from_secs(1);
/// Maximum length of a round, in seconds.
const MAX_ROUND_SECONDS: f64 = 3600.0;
/// Smallest divisor of a ratio of rates, in calls per second; it prevents a division by zero.
const MIN_RATE: f64 = 1e-9;
/// Maximum recorded latency, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Number of heights in the input of a call of a climb model.
const CLIMB_HEIGHTS: usize = 65;
/// Number of segments for which a climb model returns the ascent and descent.
const CLIMB_SEGMENTS: i64 = 4;

/// Results of one round.
struct Round {
    served: u64,
    not_served: u64,
    /// Time from the first call to the end of the last one.
    span: Duration,
    latency_us: Histogram<u64>,
}

impl Round {
    fn new() -> Result<Self, UsageError> {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?;
        Ok(Self { served: 0, not_served: 0, span: Duration::ZERO, latency_us })
    }

    fn calls_per_second(&self) -> f64 {
        self.served as f64 / self.span.as_secs_f64()
    }

    fn latency_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1e3
    }
}

/// An address under load, with the call rate of each round in calls per second.
struct Target {
    name: &'static str,
    address: SocketAddr,
    rates: Vec<f64>,
}

impl Load {
    pub(crate) fn run(self) -> Result<u8, CommandError> {
        if !(self.seconds > 0.0 && self.seconds <= MAX_ROUND_SECONDS) {
            return Err(UsageError::RoundLength(self.seconds).into());
        }
        let mut targets = vec![Target { name: "through", address: self.address, rates: Vec::new() }];
        targets.extend(self.against.map(|address| Target { name: "direct", address, rates: Vec::new() }));
        let request = self.request();
        for number in 1..=self.rounds {
            for target in &mut targets {
                let round = self.run_round(target.address, &request)?;
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

    /// Measures one round of `ServerLive` calls, which the gateway answers itself, and prints whether the workers limit
    /// `through`, the call rate through the gateway.
    fn compare_with_server_live_rate(&self, through: f64) -> Result<(), CommandError> {
        let live =
            ClientRequest { method: "ServerLive", messages: vec![Bytes::new()], ..ClientRequest::default() };
        let server_live_rate = self.run_round(self.address, &live)?.calls_per_second();
        announce(&format!(
            "the gateway's own answers (ServerLive): {server_live_rate:.0} a second at the same load"
        ))?;
        if through < server_live_rate * GATEWAY_BOUND_MIN_RATIO {
            announce(&format!(
                "calls come to {:.1}% of that: lanes, cores and work of the workers bound this figure, not the gateway",
                100.0 * through / server_live_rate.max(MIN_RATE)
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

    /// Runs one round: keeps `open` calls open until its end, then awaits those for at most [`LAST_CALLS_GRACE`].
    fn run_round(&self, address: SocketAddr, request: &ClientRequest) -> Result<Round, CommandError> {
        let start_failed = || CommandError::system("can't start a call");
        let limits = NetLimits { connect_timeout: CONNECT_TIMEOUT, ..NetLimits::default() };
        let mut client = Client::new(self.connections as usize, limits)
            .map_err(CommandError::system("can't create the client"))?;
        let mut open = HashMap::new();
        let mut round = Round::new()?;
        let start = Instant::now();
        let round_end = start + Duration::from_secs_f64(self.seconds);
        for _ in 0..self.open {
            open.insert(client.call(address, request.clone()).map_err(start_failed())?, Instant::now());
        }
        let mut events = Vec::new();
        while !open.is_empty() {
            client
                .poll(Some(MAX_WAIT), &mut events)
                .map_err(CommandError::system("can't poll the connections"))?;
            let now = Instant::now();
            for event in events.drain(..) {
                let ClientEvent::End { rpc, status, .. } = event else { continue };
                let Some(sent_at) = open.remove(&rpc) else { continue };
                if status.is_ok_and(|status| status.code == Code::Ok) {
                    round.served += 1;
                    round.latency_us.saturating_record((now - sent_at).as_micros() as u64);
                } else {
                    round.not_served += 1;
                }
                if now < round_end {
                    open.insert(client.call(address, request.clone()).map_err(start_failed())?, now);
                }
            }
            if now > round_end + LAST_CALLS_GRACE {
                round.not_served += open.len() as u64;
                break;
            }
        }
        round.span = start.elapsed();
        Ok(round)
    }
}

/// Returns the median, of an even number of values the greater of the middle two; 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
