//! A thread that makes calls through a gateway at a constant rate and records their latency.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use nettleferry_net::NetLimits;
use nettleferry_net::grpc::Code;
use nettleferry_scenario::client::{Client, ClientEvent, ClientRequest};
use nettleferry_test_servers::models::climb_request;
use prost::Message;

/// Maximum number of open calls; calls beyond it are skipped.
const MAX_OPEN_CALLS: usize = 2_000;
/// Upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Size of the input tensor of a call, in bytes.
const CALL_TENSOR_BYTES: usize = 256;
/// Maximum interval at which the thread checks whether it must stop.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Results of the calls that ended in an interval.
pub struct CallStats {
    /// Latency of the calls that were served, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of calls that failed.
    pub failed: u64,
    /// Number of calls that were not made because too many were open.
    pub skipped: u64,
}

impl CallStats {
    fn new() -> io::Result<Self> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
            .map_err(|error| io::Error::other(format!("can't create a histogram: {error}")))?;
        Ok(Self { latency, failed: 0, skipped: 0 })
    }
}

/// Handle of the calling thread; dropping it stops the calls.
pub struct Calls {
    stats: Arc<Mutex<CallStats>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Calls {
    /// Starts calls of `model` through the gateway at this address, `rate` per second.
    pub fn start(gateway: SocketAddr, model: &str, rate: f64) -> io::Result<Self> {
        let stats = Arc::new(Mutex::new(CallStats::new()?));
        let stop = Arc::new(AtomicBool::new(false));
        let mut infer_request = climb_request(model, "1", &[], 1);
        infer_request.raw_input_contents = vec![vec![7; CALL_TENSOR_BYTES].into()];
        let request = ClientRequest {
            method: "ModelInfer",
            messages: vec![infer_request.encode_to_vec().into()],
            ..ClientRequest::default()
        };
        let interval = Duration::from_secs_f64(1.0 / rate);
        let (thread_stats, stopped) = (Arc::clone(&stats), Arc::clone(&stop));
        let run = move || {
            let result = Caller::new(gateway, request, interval, thread_stats)
                .and_then(|mut caller| caller.run(&stopped));
            if let Err(error) = result {
                // The measure fails because an interval has no served call.
                eprintln!("the calls of the scale run ended early: {error}");
            }
        };
        let thread = thread::Builder::new().name("calls".to_owned()).spawn(run)?;
        Ok(Self { stats, stop, thread: Some(thread) })
    }

    /// Returns the results since the last call of this function.
    pub fn take(&self) -> io::Result<CallStats> {
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(std::mem::replace(&mut stats, CallStats::new()?))
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The state of the calling thread.
struct Caller {
    client: Client,
    gateway: SocketAddr,
    request: ClientRequest,
    interval: Duration,
    /// Start times of the open calls, by the number of the RPC.
    open: HashMap<u64, Instant>,
    events: Vec<ClientEvent>,
    stats: Arc<Mutex<CallStats>>,
}

impl Caller {
    fn new(
        gateway: SocketAddr,
        request: ClientRequest,
        interval: Duration,
        stats: Arc<Mutex<CallStats>>,
    ) -> io::Result<Self> {
        let client = Client::new(1, NetLimits::default())?;
        Ok(Self { client, gateway, request, interval, open: HashMap::new(), events: Vec::new(), stats })
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut next_call = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now >= next_call {
                next_call = (next_call + self.interval).max(now);
                self.begin_call(now)?;
            }
            let wait = next_call.saturating_duration_since(Instant::now()).min(POLL_INTERVAL);
            self.client.poll(Some(wait), &mut self.events)?;
            self.record_ended_calls();
        }
        Ok(())
    }

    fn begin_call(&mut self, now: Instant) -> io::Result<()> {
        if self.open.len() >= MAX_OPEN_CALLS {
            self.stats.lock().unwrap_or_else(PoisonError::into_inner).skipped += 1;
            return Ok(());
        }
        let rpc = self.client.call(self.gateway, self.request.clone())?;
        self.open.insert(rpc, now);
        Ok(())
    }

    fn record_ended_calls(&mut self) {
        let now = Instant::now();
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        for event in self.events.drain(..) {
            let ClientEvent::End { rpc, status, .. } = event else { continue };
            let Some(started) = self.open.remove(&rpc) else { continue };
            if status.is_ok_and(|status| status.code == Code::Ok) {
                stats.latency.saturating_record((now - started).as_micros() as u64);
            } else {
                stats.failed += 1;
            }
        }
    }
}
