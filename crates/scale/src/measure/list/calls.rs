//! Calls at a steady rate through a gateway, on a thread of their own, with the time that each took.

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

/// Calls that are open at once; while so many are, no further one begins.
const MOST_OPEN: usize = 2_000;
/// Longest time that the histogram tells apart, in microseconds.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Bytes of tensor that a call carries.
const CALL_TENSOR_BYTES: usize = 256;
/// The thread looks so often whether it is to end.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Calls of a stretch of time.
pub struct CallStats {
    /// Time of each call that was served, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls that were not served.
    pub failed: u64,
    /// Calls that did not begin because too many were open.
    pub skipped: u64,
}

impl CallStats {
    fn new() -> io::Result<Self> {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
            .map_err(|error| io::Error::other(format!("a histogram: {error}")))?;
        Ok(Self { latency, failed: 0, skipped: 0 })
    }
}

/// Calls under way until this is dropped.
pub struct Calls {
    stats: Arc<Mutex<CallStats>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Calls {
    /// Begins calls of `model`, so many a second.
    pub fn start(to: SocketAddr, model: &str, rate: f64) -> io::Result<Self> {
        let stats = Arc::new(Mutex::new(CallStats::new()?));
        let stop = Arc::new(AtomicBool::new(false));
        let mut infer_request = climb_request(model, "1", &[], 1);
        infer_request.raw_input_contents = vec![vec![7; CALL_TENSOR_BYTES].into()];
        let request = ClientRequest {
            method: "ModelInfer",
            messages: vec![infer_request.encode_to_vec().into()],
            ..ClientRequest::default()
        };
        let every = Duration::from_secs_f64(1.0 / rate);
        let (recorded, stopped) = (Arc::clone(&stats), Arc::clone(&stop));
        let work = move || {
            let record_ended =
                Caller::new(to, request, every, recorded).and_then(|mut caller| caller.run(&stopped));
            if let Err(error) = record_ended {
                // ObservationKind by whoever takes the stretch: no call of it was served.
                eprintln!("calls of the scale run ended: {error}");
            }
        };
        let thread = thread::Builder::new().name("calls".to_owned()).spawn(work)?;
        Ok(Self { stats, stop, thread: Some(thread) })
    }

    /// The calls that ended since the last time.
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

struct Caller {
    client: Client,
    to: SocketAddr,
    request: ClientRequest,
    every: Duration,
    open: HashMap<u64, Instant>,
    events: Vec<ClientEvent>,
    stats: Arc<Mutex<CallStats>>,
}

impl Caller {
    fn new(
        to: SocketAddr,
        request: ClientRequest,
        every: Duration,
        stats: Arc<Mutex<CallStats>>,
    ) -> io::Result<Self> {
        let client = Client::new(1, NetLimits::default())?;
        Ok(Self { client, to, request, every, open: HashMap::new(), events: Vec::new(), stats })
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now >= next {
                next = (next + self.every).max(now);
                self.begin(now)?;
            }
            let wait = next.saturating_duration_since(Instant::now()).min(POLL_INTERVAL);
            self.client.poll(Some(wait), &mut self.events)?;
            self.record_ended();
        }
        Ok(())
    }

    fn begin(&mut self, now: Instant) -> io::Result<()> {
        if self.open.len() >= MOST_OPEN {
            self.stats.lock().unwrap_or_else(PoisonError::into_inner).skipped += 1;
            return Ok(());
        }
        let rpc = self.client.call(self.to, self.request.clone())?;
        self.open.insert(rpc, now);
        Ok(())
    }

    fn record_ended(&mut self) {
        let now = Instant::now();
        let mut stats = self.stats.lock().unwrap_or_else(PoisonError::into_inner);
        for events in self.events.drain(..) {
            let ClientEvent::End { rpc, status, .. } = events else { continue };
            let Some(began) = self.open.remove(&rpc) else { continue };
            if status.is_ok_and(|status| status.code == Code::Ok) {
                stats.latency.saturating_record((now - began).as_micros() as u64);
            } else {
                stats.failed += 1;
            }
        }
    }
}
