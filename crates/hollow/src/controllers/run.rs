//! The run: all controllers on one hub, each with its connection, a timer and its own draws.

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

/// Calls and probes of one controller that may be open at once.
const MOST_OPEN: usize = 64;
const A_SECOND: Duration = Duration::from_secs(1);

/// What is asked of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asked {
    Call,
    Probe,
}

/// A call or a probe that is open.
struct Open {
    asked: Asked,
    begun: Instant,
}

struct Controller {
    number: u32,
    connection: Option<ConnKey>,
    begun: bool,
    random: ChaCha8Rng,
}

/// A run of hollow controllers.
pub struct Controllers {
    settings: Settings,
    hub: Hub,
    controllers: Vec<Controller>,
    timers: Timers,
    open: HashMap<StreamKey, Open>,
    call_body: Bytes,
    counts: Counts,
    call_time: Histogram<u64>,
    probe_time: Histogram<u64>,
    timer_delay: Histogram<u64>,
    second: Since,
    interval: Since,
    latest: Duration,
    begun: Instant,
}

/// What stood when a second or an interval began.
struct Since {
    at: Instant,
    counts: Counts,
    processor: Duration,
}

impl Since {
    fn now(at: Instant, counts: Counts) -> Self {
        Self { at, counts, processor: process::processor_time() }
    }

    fn processor_us(&self) -> u64 {
        process::processor_time().saturating_sub(self.processor).as_micros() as u64
    }
}

impl Controllers {
    /// Makes them; they open their connections within the span that the settings say. The settings were checked.
    pub fn new(settings: Settings) -> io::Result<Self> {
        let (begun, count) = (Instant::now(), settings.count as usize);
        let mut timers = Timers::new(count);
        let controllers = (0..settings.count).map(|n| {
            let number = settings.first_number + n;
            let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
            random.set_stream(u64::from(number));
            timers.set(n as usize, begun + settings.begin_within.mul_f64(random.random::<f64>()));
            Controller { number, connection: None, begun: false, random }
        });
        let controllers = controllers.collect();
        let request = ModelInferRequest { model_name: settings.model.clone(), ..Default::default() };
        Ok(Self {
            hub: Hub::new(NetLimits { connections: 0, ..NetLimits::default() })?,
            controllers,
            timers,
            open: HashMap::new(),
            call_body: request.encode_to_vec().into(),
            counts: Counts::default(),
            call_time: histogram(),
            probe_time: histogram(),
            timer_delay: histogram(),
            second: Since::now(begun, Counts::default()),
            interval: Since::now(begun, Counts::default()),
            latest: Duration::ZERO,
            begun,
            settings,
        })
    }

    /// Runs until `input` closes or the time of the settings is over, and writes its lines to `out`. A line of `input`
    /// asks for a summary.
    pub fn run(mut self, input: impl Read + Send + 'static, out: impl Write) -> io::Result<Summary> {
        let until = self.settings.duration.map(|duration| self.begun + duration);
        let mut control = Control::listen(input, self.hub.waker(), until)?;
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
                lines.write(&Line::ControllersSummary(Box::new(self.summary(now))))?;
            }
            if now >= self.second.at + A_SECOND {
                lines.write(&Line::ControllersSecond(self.end_second(now)))?;
            }
            self.due(now);
            let wakes = [Some(self.second.at + A_SECOND), self.timers.next(), control.deadline()];
            let wait = wakes.into_iter().flatten().min();
            let wait = wait.map(|at| at.saturating_duration_since(Instant::now()));
            self.hub.poll(wait, &mut events)?;
            events.drain(..).for_each(|event| self.event(event));
        }
        let summary = self.summary(Instant::now());
        lines.write(&Line::ControllersSummary(Box::new(summary.clone())))?;
        Ok(summary)
    }

    /// Timers that are due: a controller's first opens its connection, the others make a call or a probe.
    fn due(&mut self, now: Instant) {
        while let Some((n, at)) = self.timers.due(now) {
            let late = now.saturating_duration_since(at);
            self.timer_delay.saturating_record(late.as_micros() as u64);
            self.latest = self.latest.max(late);
            if self.controllers[n].begun {
                self.ask(n, now);
            } else {
                self.controllers[n].begun = true;
                self.connection(n);
            }
            if let Some(gap) = self.gap(n) {
                // From when it was due: what is late makes the rate no lower.
                self.timers.set(n, at + gap);
            }
        }
    }

    /// Until a controller asks next: calls and probes come by chance, each independent of the others.
    fn gap(&mut self, n: usize) -> Option<Duration> {
        let rate = self.settings.calls_per_second + self.settings.probes_per_second;
        if rate <= 0.0 {
            return None;
        }
        let mean = f64::from(self.settings.count) / rate;
        let drawn: f64 = self.controllers[n].random.random();
        Some(Duration::from_secs_f64(-mean * (1.0 - drawn).ln()))
    }

    /// Its connection, which is made where none stands.
    fn connection(&mut self, n: usize) -> Option<ConnKey> {
        let controller = &mut self.controllers[n];
        if let Some(connection) = controller.connection.filter(|key| !self.hub.is_going_away(*key)) {
            return Some(connection);
        }
        controller.connection = self.hub.connect(self.settings.worker).ok();
        if controller.connection.is_none() {
            self.counts.not_connected += 1;
        }
        controller.connection
    }

    /// A controller makes a call or a probe.
    fn ask(&mut self, n: usize, now: Instant) {
        let Settings { calls_per_second, probes_per_second, deadline, .. } = self.settings;
        let random = &mut self.controllers[n].random;
        let is_probe = random.random::<f64>() * (calls_per_second + probes_per_second) >= calls_per_second;
        let asked = if is_probe { Asked::Probe } else { Asked::Call };
        let Some(connection) = self.connection(n) else {
            self.counts.broken += u64::from(asked == Asked::Call);
            return;
        };
        if self.hub.streams_on(connection) >= MOST_OPEN {
            self.counts.not_begun += 1;
            return;
        }
        let (method, body) = match asked {
            Asked::Call => ("ModelInfer", self.call_body.clone()),
            Asked::Probe => ("ServerReady", ServerReadyRequest {}.encode_to_vec().into()),
        };
        let Some(request) = request(method, self.controllers[n].number, asked, deadline) else { return };
        let Some(stream) = self.hub.open(connection, request) else { return };
        self.hub.send(stream, body);
        self.hub.finish(stream, None);
        self.open.insert(stream, Open { asked, begun: now });
        match asked {
            Asked::Call => self.counts.calls += 1,
            Asked::Probe => self.counts.probes += 1,
        }
    }

    fn event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Connected { .. } => self.counts.connected += 1,
            NetEvent::Closed { why: CloseReason::NotConnected, .. } => self.counts.not_connected += 1,
            NetEvent::Closed { why: CloseReason::Idle, .. } => self.counts.idle += 1,
            NetEvent::Closed { .. } => self.counts.closed += 1,
            NetEvent::Trailers { stream, trailers } => self.answered(stream, &trailers),
            NetEvent::Failed { stream, .. } => {
                let call = self.open.remove(&stream).is_some_and(|open| open.asked == Asked::Call);
                self.counts.broken += u64::from(call);
            }
            _ => {}
        }
    }

    fn answered(&mut self, stream: StreamKey, trailers: &HeaderMap) {
        let Some(Open { asked, begun }) = self.open.remove(&stream) else { return };
        let took = begun.elapsed().as_micros() as u64;
        let served = Status::read(trailers).is_some_and(|status| status.code == Code::Ok);
        match (asked, served) {
            (Asked::Call, true) => {
                self.counts.served += 1;
                self.call_time.saturating_record(took);
            }
            (Asked::Call, false) => self.counts.not_served += 1,
            (Asked::Probe, true) => {
                self.counts.probes_served += 1;
                self.probe_time.saturating_record(took);
            }
            (Asked::Probe, false) => {}
        }
    }

    fn end_second(&mut self, now: Instant) -> Second {
        let second = Second {
            at_ms: (now - self.begun).as_millis() as u64,
            controllers: self.controllers.len() as u64,
            connections: self.hub.open_connections() as u64,
            counts: self.counts.since(&self.second.counts),
            processor_us: self.second.processor_us(),
            timer_delay_us: self.latest.as_micros() as u64,
        };
        self.second = Since::now(now, self.counts);
        self.latest = Duration::ZERO;
        second
    }

    /// The interval since the last summary, and another begins.
    fn summary(&mut self, now: Instant) -> Summary {
        let summary = Summary {
            controllers: self.controllers.len() as u64,
            connections: self.hub.open_connections() as u64,
            ran_ms: (now - self.interval.at).as_millis() as u64,
            counts: self.counts.since(&self.interval.counts),
            call_time: Percentiles::from(&self.call_time),
            probe_time: Percentiles::from(&self.probe_time),
            processor_us: self.interval.processor_us(),
            resident_kib: process::resident_kib(),
            timer_delay: Percentiles::from(&self.timer_delay),
        };
        self.interval = Since::now(now, self.counts);
        self.call_time.reset();
        self.probe_time.reset();
        self.timer_delay.reset();
        summary
    }
}

/// A request as a controller's link makes it.
fn request(method: &str, controller: u32, asked: Asked, deadline: Duration) -> Option<Request<()>> {
    let mut request = Request::post(format!("http://worker{SERVICE}{method}"))
        .header("content-type", "application/grpc")
        .header("te", "trailers")
        .header("user-agent", concat!("nettleferry/", env!("CARGO_PKG_VERSION")))
        .header(metadata::CONTROLLER, controller);
    if asked == Asked::Call {
        request = request.header(metadata::ATTEMPT, 1).header("grpc-timeout", write_timeout(deadline));
    }
    request.body(()).ok()
}
