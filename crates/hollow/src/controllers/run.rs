//! The event loop of a run. All controllers share one hub. Each has a connection, a timer and a random generator.

use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{HeaderMap, Request};
use nettleferry_net::grpc::{Code, Status, write_timeout};
use nettleferry_net::{CloseReason, ConnKey, Hub, NetEvent, NetLimits, StreamKey};
use nettleferry_proto::inference::{ModelInferRequest, SERVICE, ServerReadyRequest};
use nettleferry_proto::metadata;
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Settings;
use super::report::{Counts, Second, Summary};
use crate::control::Control;
use crate::process;
use crate::report::{Line, LineWriter, Percentiles, Started, histogram};
use crate::timers::Timers;

/// Maximum outstanding calls and probes of one controller.
const MAX_OUTSTANDING: usize = 64;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Call,
    Probe,
}

/// A call or probe without a response yet.
struct OutstandingRequest {
    kind: RequestKind,
    sent_at: Instant,
}

struct Controller {
    number: u32,
    connection: Option<ConnKey>,
    /// Whether the first timer was handled, which opens the connection.
    started: bool,
    random: ChaCha8Rng,
}

/// A run of hollow controllers.
pub struct Controllers {
    settings: Settings,
    hub: Hub,
    controllers: Vec<Controller>,
    timers: Timers,
    outstanding: HashMap<StreamKey, OutstandingRequest>,
    call_body: Bytes,
    counts: Counts,
    call_time: Histogram<u64>,
    probe_time: Histogram<u64>,
    timer_delay: Histogram<u64>,
    second_start: Baseline,
    interval_start: Baseline,
    max_timer_delay: Duration,
    started_at: Instant,
}

/// Counters and usage at the start of a second or of a summary interval.
struct Baseline {
    at: Instant,
    counts: Counts,
    processor_time: Duration,
}

impl Baseline {
    fn now(at: Instant, counts: Counts) -> Self {
        Self { at, counts, processor_time: process::processor_time() }
    }

    fn processor_us(&self) -> u64 {
        process::processor_time().saturating_sub(self.processor_time).as_micros() as u64
    }
}

impl Controllers {
    /// Creates the controllers, each with a random start time within `begin_within`. The caller has checked the
    /// settings. Fails if the hub can't be created.
    pub fn new(settings: Settings) -> io::Result<Self> {
        let (started_at, count) = (Instant::now(), settings.count as usize);
        let mut timers = Timers::new(count);
        let controllers = (0..settings.count).map(|index| {
            let number = settings.first_number + index;
            let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
            random.set_stream(u64::from(number));
            timers.set(index as usize, started_at + settings.begin_within.mul_f64(random.random::<f64>()));
            Controller { number, connection: None, started: false, random }
        });
        let controllers = controllers.collect();
        let request = ModelInferRequest { model_name: settings.model.clone(), ..Default::default() };
        Ok(Self {
            hub: Hub::new(NetLimits { connections: 0, ..NetLimits::default() })?,
            controllers,
            timers,
            outstanding: HashMap::new(),
            call_body: request.encode_to_vec().into(),
            counts: Counts::default(),
            call_time: histogram(),
            probe_time: histogram(),
            timer_delay: histogram(),
            second_start: Baseline::now(started_at, Counts::default()),
            interval_start: Baseline::now(started_at, Counts::default()),
            max_timer_delay: Duration::ZERO,
            started_at,
            settings,
        })
    }

    /// Runs until `input` is closed or the configured duration is over, and writes report lines to `out`. Each line of
    /// `input` requests a summary. Returns the last summary; fails if the poll or `out` fails.
    pub fn run(mut self, input: impl Read + Send + 'static, out: impl Write) -> io::Result<Summary> {
        let deadline = self.settings.duration.map(|duration| self.started_at + duration);
        let mut control = Control::listen(input, self.hub.waker(), deadline)?;
        let mut lines = LineWriter::new(out);
        lines.write(&Line::Started(Started {
            role: "controllers".to_owned(),
            count: u64::from(self.settings.count),
            seed: self.settings.seed,
            process: std::process::id(),
        }))?;
        let mut events = Vec::new();
        loop {
            let now = Instant::now();
            if control.is_over(now) {
                break;
            }
            if control.take_summary_request() {
                lines.write(&Line::ControllersSummary(Box::new(self.end_interval(now))))?;
            }
            if now >= self.second_start.at + REPORT_INTERVAL {
                lines.write(&Line::ControllersSecond(self.end_second(now)))?;
            }
            self.run_due_timers(now);
            let wakeups =
                [Some(self.second_start.at + REPORT_INTERVAL), self.timers.next_due(), control.deadline()];
            let wait = wakeups.into_iter().flatten().min();
            let wait = wait.map(|at| at.saturating_duration_since(Instant::now()));
            self.hub.poll(wait, &mut events)?;
            events.drain(..).for_each(|event| self.handle_event(event));
        }
        let summary = self.end_interval(Instant::now());
        lines.write(&Line::ControllersSummary(Box::new(summary.clone())))?;
        Ok(summary)
    }

    /// Runs the timers that are due. The first timer of a controller opens its connection; each later one sends a call
    /// or a probe.
    fn run_due_timers(&mut self, now: Instant) {
        while let Some((index, at)) = self.timers.pop_due(now) {
            let delay = now.saturating_duration_since(at);
            self.timer_delay.saturating_record(delay.as_micros() as u64);
            self.max_timer_delay = self.max_timer_delay.max(delay);
            if self.controllers[index].started {
                self.send_request(index, now);
            } else {
                self.controllers[index].started = true;
                self.ensure_connection(index);
            }
            if let Some(interval) = self.random_interval(index) {
                // Counted from the due time, so that a late timer does not lower the rate.
                self.timers.set(index, at + interval);
            }
        }
    }

    /// Draws the time until the next request of a controller: exponentially distributed, so that the requests of each
    /// controller are a Poisson process. `None` if the rate is 0.
    fn random_interval(&mut self, index: usize) -> Option<Duration> {
        let rate = self.settings.calls_per_second + self.settings.probes_per_second;
        if rate <= 0.0 {
            return None;
        }
        let mean = f64::from(self.settings.count) / rate;
        let uniform: f64 = self.controllers[index].random.random();
        Some(Duration::from_secs_f64(-mean * (1.0 - uniform).ln()))
    }

    /// Returns the connection of a controller. Opens a new one if there is none or it accepts no new streams, for
    /// example because the worker sent GOAWAY. Returns `None` if no connection can be opened.
    fn ensure_connection(&mut self, index: usize) -> Option<ConnKey> {
        let controller = &mut self.controllers[index];
        if let Some(connection) = controller.connection.filter(|key| !self.hub.is_going_away(*key)) {
            return Some(connection);
        }
        controller.connection = self.hub.connect(self.settings.worker).ok();
        if controller.connection.is_none() {
            self.counts.not_connected += 1;
        }
        controller.connection
    }

    /// Sends a call or a probe of a controller, chosen at random in proportion to the two rates. Sends none if the
    /// connection can't be opened or already has [`MAX_OUTSTANDING`] open streams.
    fn send_request(&mut self, index: usize, now: Instant) {
        let Settings { calls_per_second, probes_per_second, deadline, .. } = self.settings;
        let random = &mut self.controllers[index].random;
        let is_probe = random.random::<f64>() * (calls_per_second + probes_per_second) >= calls_per_second;
        let kind = if is_probe { RequestKind::Probe } else { RequestKind::Call };
        let Some(connection) = self.ensure_connection(index) else {
            self.counts.broken += u64::from(kind == RequestKind::Call);
            return;
        };
        if self.hub.streams_on(connection) >= MAX_OUTSTANDING {
            self.counts.not_begun += 1;
            return;
        }
        let (method, body) = match kind {
            RequestKind::Call => ("ModelInfer", self.call_body.clone()),
            RequestKind::Probe => ("ServerReady", ServerReadyRequest {}.encode_to_vec().into()),
        };
        let Some(request) = build_request(method, self.controllers[index].number, kind, deadline) else {
            return;
        };
        let Some(stream) = self.hub.open(connection, request) else { return };
        self.hub.send(stream, body);
        self.hub.finish(stream, None);
        self.outstanding.insert(stream, OutstandingRequest { kind, sent_at: now });
        match kind {
            RequestKind::Call => self.counts.calls += 1,
            RequestKind::Probe => self.counts.probes += 1,
        }
    }

    fn handle_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Connected { .. } => self.counts.connected += 1,
            NetEvent::Closed { why: CloseReason::NotConnected, .. } => self.counts.not_connected += 1,
            NetEvent::Closed { why: CloseReason::Idle, .. } => self.counts.idle += 1,
            NetEvent::Closed { .. } => self.counts.closed += 1,
            NetEvent::Trailers { stream, trailers } => self.record_response(stream, &trailers),
            NetEvent::Failed { stream, .. } => {
                let is_call =
                    self.outstanding.remove(&stream).is_some_and(|request| request.kind == RequestKind::Call);
                self.counts.broken += u64::from(is_call);
            }
            _ => {}
        }
    }

    /// Counts the response of a call or a probe, and records the latency if it succeeded.
    fn record_response(&mut self, stream: StreamKey, trailers: &HeaderMap) {
        let Some(OutstandingRequest { kind, sent_at }) = self.outstanding.remove(&stream) else { return };
        let latency = sent_at.elapsed().as_micros() as u64;
        let served = Status::read(trailers).is_some_and(|status| status.code == Code::Ok);
        match (kind, served) {
            (RequestKind::Call, true) => {
                self.counts.served += 1;
                self.call_time.saturating_record(latency);
            }
            (RequestKind::Call, false) => self.counts.not_served += 1,
            (RequestKind::Probe, true) => {
                self.counts.probes_served += 1;
                self.probe_time.saturating_record(latency);
            }
            (RequestKind::Probe, false) => {}
        }
    }

    /// Returns the report of the current second and starts the next one.
    fn end_second(&mut self, now: Instant) -> Second {
        let second = Second {
            at_ms: (now - self.started_at).as_millis() as u64,
            controllers: self.controllers.len() as u64,
            connections: self.hub.open_connections() as u64,
            counts: self.counts.since(&self.second_start.counts),
            processor_us: self.second_start.processor_us(),
            timer_delay_us: self.max_timer_delay.as_micros() as u64,
        };
        self.second_start = Baseline::now(now, self.counts);
        self.max_timer_delay = Duration::ZERO;
        second
    }

    /// Returns the summary of the current interval and starts the next one.
    fn end_interval(&mut self, now: Instant) -> Summary {
        let summary = Summary {
            controllers: self.controllers.len() as u64,
            connections: self.hub.open_connections() as u64,
            ran_ms: (now - self.interval_start.at).as_millis() as u64,
            counts: self.counts.since(&self.interval_start.counts),
            call_time: Percentiles::from(&self.call_time),
            probe_time: Percentiles::from(&self.probe_time),
            processor_us: self.interval_start.processor_us(),
            resident_kib: process::resident_kib(),
            timer_delay: Percentiles::from(&self.timer_delay),
        };
        self.interval_start = Baseline::now(now, self.counts);
        self.call_time.reset();
        self.probe_time.reset();
        self.timer_delay.reset();
        summary
    }
}

/// Builds a request with the headers that a real controller sends.
fn build_request(
    method: &str,
    controller: u32,
    kind: RequestKind,
    deadline: Duration,
) -> Option<Request<()>> {
    let mut request = Request::post(format!("http://worker{SERVICE}{method}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .header("user-agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION")))
        .header(metadata::CONTROLLER, controller);
    if kind == RequestKind::Call {
        request = request.header(metadata::ATTEMPT, 1).header("grpc-timeout", write_timeout(deadline));
    }
    request.body(()).ok()
}
