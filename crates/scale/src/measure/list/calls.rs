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
const LONGEST: u64 = 60_000_000;
/// Bytes of tensor that a call carries.
const CALL_BYTES: usize = 256;
/// The thread looks so often whether it is to end.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Calls of a stretch of time.
pub struct Stretch {
    /// Time of each call that was served, in microseconds.
    pub latency: Histogram<u64>,
    /// Calls that were not served.
    pub failed: u64,
    /// Calls that did not begin because too many were open.
    pub skipped: u64,
}

impl Stretch {
    fn new() -> io::Result<Self> {
        let latency = Histogram::new_with_bounds(1, LONGEST, 3)
            .map_err(|error| io::Error::other(format!("a histogram: {error}")))?;
        Ok(Self { latency, failed: 0, skipped: 0 })
    }
}

/// Calls under way until this is dropped.
pub struct Calls {
    stretch: Arc<Mutex<Stretch>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Calls {
    /// Begins calls of `model`, so many a second.
    pub fn start(to: SocketAddr, model: &str, rate: f64) -> io::Result<Self> {
        let stretch = Arc::new(Mutex::new(Stretch::new()?));
        let stop = Arc::new(AtomicBool::new(false));
        let mut request = climb_request(model, "1", &[], 1);
        request.raw_input_contents = vec![vec![7; CALL_BYTES].into()];
        let ask = ClientRequest {
            method: "ModelInfer",
            messages: vec![request.encode_to_vec().into()],
            ..ClientRequest::default()
        };
        let every = Duration::from_secs_f64(1.0 / rate);
        let (told, stopped) = (Arc::clone(&stretch), Arc::clone(&stop));
        let work = move || {
            let ended = Caller::new(to, ask, every, told).and_then(|mut caller| caller.run(&stopped));
            if let Err(error) = ended {
                // ObservationKind by whoever takes the stretch: no call of it was served.
                eprintln!("calls of the scale run ended: {error}");
            }
        };
        let thread = thread::Builder::new().name("calls".to_owned()).spawn(work)?;
        Ok(Self { stretch, stop, thread: Some(thread) })
    }

    /// The calls that ended since the last time.
    pub fn take(&self) -> io::Result<Stretch> {
        let mut stretch = self.stretch.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(std::mem::replace(&mut stretch, Stretch::new()?))
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
    ask: ClientRequest,
    every: Duration,
    begun: HashMap<u64, Instant>,
    heard: Vec<ClientEvent>,
    stretch: Arc<Mutex<Stretch>>,
}

impl Caller {
    fn new(
        to: SocketAddr,
        ask: ClientRequest,
        every: Duration,
        stretch: Arc<Mutex<Stretch>>,
    ) -> io::Result<Self> {
        let client = Client::new(1, NetLimits::default())?;
        Ok(Self { client, to, ask, every, begun: HashMap::new(), heard: Vec::new(), stretch })
    }

    fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut next = Instant::now();
        while !stop.load(Ordering::Relaxed) {
            let now = Instant::now();
            if now >= next {
                next = (next + self.every).max(now);
                self.begin(now)?;
            }
            let wait = next.saturating_duration_since(Instant::now()).min(LOOK_EVERY);
            self.client.poll(Some(wait), &mut self.heard)?;
            self.ended();
        }
        Ok(())
    }

    fn begin(&mut self, now: Instant) -> io::Result<()> {
        if self.begun.len() >= MOST_OPEN {
            self.stretch.lock().unwrap_or_else(PoisonError::into_inner).skipped += 1;
            return Ok(());
        }
        let rpc = self.client.call(self.to, self.ask.clone())?;
        self.begun.insert(rpc, now);
        Ok(())
    }

    fn ended(&mut self) {
        let now = Instant::now();
        let mut stretch = self.stretch.lock().unwrap_or_else(PoisonError::into_inner);
        for heard in self.heard.drain(..) {
            let ClientEvent::End { rpc, status, .. } = heard else { continue };
            let Some(began) = self.begun.remove(&rpc) else { continue };
            if status.is_ok_and(|status| status.code == Code::Ok) {
                stretch.latency.saturating_record((now - began).as_micros() as u64);
            } else {
                stretch.failed += 1;
            }
        }
    }
}
