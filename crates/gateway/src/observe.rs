//! Counts what the engine notes, and serves the figures for scraping in a thread that can't hold up calls.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use nettleferry::{LoadNote, Micros, Outcome, WorkerState};
use nettleferry_administration::endpoint::Endpoint;
use nettleferry_admission::RejectReason;
use nettleferry_config::Config;
use nettleferry_engine::{CallOutcome, Engine, Measurement};
use nettleferry_fleet::gate::{Counters as GateCounters, Gate, Step};
use nettleferry_fleet::lease::{Counters as LeaseCounters, Stage};
use nettleferry_metrics::{End, Figures, Slots};
use nettleferry_net::NetCounters;
use nettleferry_net::http1::{Reply, Request};

use crate::front::FrontCounters;

/// Names of limits whose hits are counted, in the order in which [`Observer::limits`] gives them.
const LIMITS: [&str; 11] = [
    "open_calls",
    "calls_per_stream",
    "message_size",
    "send_queue",
    "connections",
    "file_handles",
    "handshake_timeout",
    "idle",
    "connect_timeout",
    "protocol",
    "worker_connections",
];

/// Counts.
pub struct Observer {
    figures: Arc<Figures>,
    aims: Vec<Micros>,
    counts: bool,
}

impl Observer {
    /// All series at zero.
    pub fn new(config: &Config) -> Self {
        let mut tenants: Vec<(&String, usize)> =
            config.tenants.iter().map(|(name, id)| (name, id.0)).collect();
        tenants.sort_by_key(|t| t.1);
        let tenants: Vec<String> = tenants.into_iter().map(|t| t.0.clone()).collect();
        let slots =
            Slots::new(config.classes.clone(), &tenants, config.models.groups(), config.metrics.max_series);
        // Reasons of admission stand behind the other limits.
        let admission = RejectReason::ALL.into_iter().map(RejectReason::label);
        let limits: Vec<&str> = LIMITS.into_iter().chain(admission).collect();
        let figures = Arc::new(Figures::new(slots, &limits));
        let aims = config.settings.classes.iter().map(|c| c.latency_objective).collect();
        Self { figures, aims, counts: config.metrics.count_calls }
    }

    /// The figures, for whoever serves them.
    pub fn figures(&self) -> Arc<Figures> {
        Arc::clone(&self.figures)
    }

    /// Counts what was noted.
    pub fn count(&self, engine: &mut Engine) {
        if self.counts {
            for note in engine.drain_measurements() {
                self.note(note);
            }
        }
        self.figures.in_hand(engine.open_calls(), engine.waiting_calls());
    }

    fn note(&self, note: Measurement) {
        match note {
            Measurement::CallEnded { class, tenant, group, outcome, latency } => {
                let aim = self.aims.get(class.0).copied().unwrap_or(Micros::MAX);
                let end = match outcome {
                    CallOutcome::Served if latency <= aim => End::InTime,
                    CallOutcome::Served => End::Late,
                    CallOutcome::Refused => End::Refused,
                    CallOutcome::Failed => End::Failed,
                    CallOutcome::Rejected => End::Rejected,
                    CallOutcome::ClientGone => End::Cancelled,
                };
                self.figures.call(class.0, end, tenant.map(|t| t.0), group as usize, latency);
            }
            Measurement::AttemptStarted { after } => self.figures.attempt(reason(after)),
            Measurement::LoadNote(note) => self.figures.note(match note {
                LoadNote::Warm => 0,
                LoadNote::Began => 1,
                LoadNote::Waited => 2,
                LoadNote::Failed => 3,
            }),
            Measurement::LoadSent => self.figures.order_sent(),
            Measurement::LoadEnded(outcome) => self.figures.order(match outcome {
                Outcome::Ok => 0,
                Outcome::Rejected => 1,
                Outcome::Timeout => 3,
                _ => 2,
            }),
            Measurement::ProbeEnded { answered } => self.figures.probe(answered),
        }
    }

    /// Brings slower figures up to date: workers, limits.
    pub fn refresh(&self, engine: &Engine, net: &NetCounters, front: &FrontCounters, no_room: u64) {
        let mut workers = [0; 4];
        for health in engine.health() {
            let at = match (health.state, health.down, health.ejected) {
                (WorkerState::Draining, _, _) => 1,
                (_, true, _) => 3,
                (_, _, true) => 2,
                _ => 0,
            };
            workers[at] += 1;
        }
        self.figures.workers(workers);
        let counters = engine.counters();
        self.figures.backstop(counters.backstop);
        let hits = [
            counters.over_open,
            front.over_calls_per_stream,
            net.bad_messages,
            front.slow_clients,
            net.over_connections,
            net.over_handles,
            net.handshake_timeouts,
            net.idle_closed,
            net.connect_failures,
            net.protocol_errors,
            no_room,
        ];
        for (at, total) in hits.into_iter().enumerate() {
            self.figures.limit(at, total);
        }
    }
}

impl Observer {
    /// What a controller that came back, or stands behind, does about it.
    pub fn fleet(
        &self,
        gate: Option<&Gate>,
        before: GateCounters,
        without_lease: u64,
        lease: Option<(Stage, LeaseCounters)>,
    ) {
        let step = gate.map_or(0, |gate| match gate.step().0 {
            Step::NoList => 1,
            Step::Partial => 2,
            Step::Complete => 3,
        });
        let at_gate = gate.map_or(before, Gate::counters);
        self.figures.recovery(step, [at_gate.no_list, at_gate.crowded, at_gate.unproven, without_lease]);
        let (stage, counted) = lease.unwrap_or((Stage::Current, LeaseCounters::default()));
        let stage = nettleferry_metrics::STAGES.iter().position(|s| *s == stage.as_str()).unwrap_or(0);
        self.figures.lease(stage, counted.expiries, counted.doubtful);
    }

    /// What the administration knows of others.
    pub fn lives(&self, behind: usize, fenced: usize, waits: bool) {
        self.figures.fleet(behind, fenced, waits);
    }

    /// Calls that admission turned away, by reason.
    pub fn turned(&self, by_reason: &[u64]) {
        for (at, total) in by_reason.iter().enumerate() {
            self.figures.limit(LIMITS.len() + at, *total);
        }
    }
}

/// The place of a reason among [`nettleferry_metrics::REASONS`].
fn reason(after: Option<Outcome>) -> usize {
    match after {
        None | Some(Outcome::Ok) => 0,
        Some(Outcome::Error) => 1,
        Some(Outcome::Rejected) => 2,
        Some(Outcome::Timeout) => 3,
        Some(Outcome::ConnectFailed | Outcome::PartlySent) => 4,
        Some(Outcome::Reset) => 5,
        Some(Outcome::Cancelled) => 6,
        Some(Outcome::NeverSent) => 7,
        Some(Outcome::NotLoaded) => 8,
    }
}

/// Serves figures at `/metrics`.
pub fn scrape(address: SocketAddr, figures: Arc<Figures>) -> io::Result<Endpoint> {
    Endpoint::start(address, 0, "scrape", move |request| reply(request, &figures))
}

/// Content type of the OpenMetrics text format, version 1.0.0.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

fn reply(request: &Request<'_>, figures: &Figures) -> Reply {
    let path = request.target.split('?').next().unwrap_or("");
    if path != "/metrics" {
        return Reply::text(404, "figures are at /metrics\n");
    }
    if request.method != "GET" {
        let allow = vec![("Allow", "GET".to_owned())];
        return Reply { headers: allow, ..Reply::text(405, "GET alone is answered here\n") };
    }
    match figures.text() {
        Ok(text) => Reply { kind: OPENMETRICS, ..Reply::text(200, text) },
        Err(_) => Reply::text(500, "the figures could not be written\n"),
    }
}
