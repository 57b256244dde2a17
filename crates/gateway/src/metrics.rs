//! Updates the metrics from the engine and the controller, and serves them for scraping. Scrapes are answered in a
//! separate thread, so that they cannot delay calls.

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
use nettleferry_metrics::{
    AttemptCause, CallEnd, CallRecord, FleetState, LeaseStage, LeaseState, LoadOrderEnd, Metrics, ProbeEnd,
    RecoveryState, RecoveryStep, ReplicaNote, SeriesLayout, WorkerHealth,
};
use nettleferry_net::NetCounters;
use nettleferry_net::http1::{Reply, Request};

use crate::front::FrontCounters;

/// Label values of the limits whose hits are counted, in the order of [`limit_hits`].
const LIMITS: [&str; 12] = [
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
    "undelivered_responses",
];

/// Translates measurements and states of this process into metrics.
pub(crate) struct MetricsRecorder {
    metrics: Arc<Metrics>,
    /// Latency objective of each class, by class id.
    objectives: Vec<Micros>,
    /// Whether the settings ask for the metrics of calls, attempts, load orders and probes.
    count_calls: bool,
}

impl MetricsRecorder {
    /// Registers all series, with the value zero.
    pub(crate) fn new(config: &Config) -> Self {
        let mut tenants: Vec<(&String, usize)> =
            config.tenants.iter().map(|(name, id)| (name, id.0)).collect();
        tenants.sort_by_key(|(_, number)| *number);
        let tenants: Vec<String> = tenants.into_iter().map(|(name, _)| name.clone()).collect();
        let classes = config.classes.clone();
        let layout = SeriesLayout::new(classes, &tenants, config.models.groups(), config.metrics.max_series);
        // The reject reasons of admission control are counted as limits too, after the fixed ones.
        let reject_reasons = RejectReason::ALL.into_iter().map(RejectReason::label);
        let limits: Vec<&str> = LIMITS.into_iter().chain(reject_reasons).collect();
        let metrics = Arc::new(Metrics::new(layout, &limits));
        let objectives = config.settings.classes.iter().map(|class| class.latency_objective).collect();
        Self { metrics, objectives, count_calls: config.metrics.count_calls }
    }

    /// The registry, for scraping and remote write.
    pub(crate) fn metrics(&self) -> Arc<Metrics> {
        Arc::clone(&self.metrics)
    }

    /// Counts the measurements that the engine recorded since the last call, if the settings ask for them, and sets the
    /// numbers of open and waiting calls.
    pub(crate) fn record_measurements(&self, engine: &mut Engine) {
        if self.count_calls {
            for measurement in engine.drain_measurements() {
                self.record(measurement);
            }
        }
        self.metrics.set_calls(engine.open_calls(), engine.waiting_calls());
    }

    fn record(&self, measurement: Measurement) {
        match measurement {
            Measurement::CallEnded { class, tenant, group, outcome, latency } => {
                let objective = self.objectives.get(class.0).copied().unwrap_or(Micros::MAX);
                self.metrics.record_call(&CallRecord {
                    class: class.0,
                    end: call_end(outcome, latency <= objective),
                    tenant: tenant.map(|tenant| tenant.0),
                    group: group as usize,
                    latency_micros: latency,
                });
            }
            Measurement::AttemptStarted { after } => self.metrics.record_attempt(attempt_cause(after)),
            Measurement::LoadNote(note) => self.metrics.record_replica_note(replica_note(note)),
            Measurement::LoadSent => self.metrics.record_load_order_sent(),
            Measurement::LoadEnded(outcome) => self.metrics.record_load_order_end(load_order_end(outcome)),
            Measurement::ProbeEnded { answered } => {
                self.metrics.record_probe_end(if answered { ProbeEnd::Answered } else { ProbeEnd::Failed });
            }
        }
    }

    /// Updates the metrics that take longer to collect: worker health, limit hits and the engine's backstop counter.
    /// `connections_exhausted`: number of RPCs that were not sent because all allowed connections to a worker were
    /// full.
    pub(crate) fn update_workers_and_limits(
        &self,
        engine: &Engine,
        net: &NetCounters,
        front: &FrontCounters,
        connections_exhausted: u64,
    ) {
        let mut workers = [0; WorkerHealth::COUNT];
        for health in engine.health() {
            let health = match (health.state, health.down, health.ejected) {
                (WorkerState::Draining, _, _) => WorkerHealth::Draining,
                (_, true, _) => WorkerHealth::Down,
                (_, _, true) => WorkerHealth::Ejected,
                _ => WorkerHealth::Serving,
            };
            workers[health as usize] += 1;
        }
        self.metrics.set_workers(workers);
        let counters = engine.counters();
        self.metrics.set_backstop_ends(counters.backstop);
        for (limit, total) in
            limit_hits(counters.over_open, net, front, connections_exhausted).into_iter().enumerate()
        {
            self.metrics.set_limit_hits(limit, total);
        }
    }

    /// Sets the progress of the recovery after a restart. `gate`: the restart limiter while it is active; afterwards
    /// its last counters are passed as `final_counters`. `without_lease`: calls rejected for want of a lease.
    pub(crate) fn set_recovery(&self, gate: Option<&Gate>, final_counters: GateCounters, without_lease: u64) {
        let step = gate.map_or(RecoveryStep::None, |gate| match gate.step().0 {
            Step::NoList => RecoveryStep::NoList,
            Step::Partial => RecoveryStep::Partial,
            Step::Complete => RecoveryStep::Complete,
        });
        let counters = gate.map_or(final_counters, Gate::counters);
        let rejections = [counters.no_list, counters.crowded, counters.unproven, without_lease];
        self.metrics.set_recovery(&RecoveryState { step, rejections });
    }

    /// Sets the lease state of a follower. `None`, for a controller that needs no lease, is reported as a current
    /// lease.
    pub(crate) fn set_lease(&self, lease: Option<(Stage, LeaseCounters)>) {
        let (stage, counters) = lease.unwrap_or((Stage::Current, LeaseCounters::default()));
        let stage = match stage {
            Stage::Current => LeaseStage::Current,
            Stage::Unleased => LeaseStage::Unleased,
            Stage::Rejecting => LeaseStage::Rejecting,
            Stage::NotReady => LeaseStage::NotReady,
            Stage::Fenced => LeaseStage::Fenced,
        };
        let (expiries, doubtful_actions) = (counters.expiries, counters.doubtful);
        self.metrics.set_lease(&LeaseState { stage, expiries, doubtful_actions });
    }

    /// Sets the state of the fleet as the leader sees it: outdated and fenced incarnations, and whether the fleet has
    /// yet to agree on a tenant snapshot.
    pub(crate) fn set_fleet(&self, state: &FleetState) {
        self.metrics.set_fleet(state);
    }

    /// Sets the totals of calls that admission control rejected, in the order of [`RejectReason::ALL`].
    pub(crate) fn set_rejections(&self, totals: &[u64]) {
        for (reason, total) in totals.iter().enumerate() {
            self.metrics.set_limit_hits(LIMITS.len() + reason, *total);
        }
    }
}

/// The total number of hits of each limit, in the order of [`LIMITS`].
fn limit_hits(
    over_open: u64,
    net: &NetCounters,
    front: &FrontCounters,
    connections_exhausted: u64,
) -> [u64; LIMITS.len()] {
    [
        over_open,
        front.over_calls_per_stream,
        net.bad_messages,
        front.slow_clients,
        net.over_connections,
        net.over_handles,
        net.handshake_timeouts,
        net.idle_closed,
        net.connect_failures,
        net.protocol_errors,
        connections_exhausted,
        net.undelivered,
    ]
}

fn call_end(outcome: CallOutcome, in_time: bool) -> CallEnd {
    match outcome {
        CallOutcome::Served if in_time => CallEnd::ServedInTime,
        CallOutcome::Served => CallEnd::ServedLate,
        CallOutcome::Refused => CallEnd::Refused,
        CallOutcome::Failed => CallEnd::Failed,
        CallOutcome::Rejected => CallEnd::Rejected,
        CallOutcome::ClientGone => CallEnd::Cancelled,
    }
}

fn replica_note(note: LoadNote) -> ReplicaNote {
    match note {
        LoadNote::Warm => ReplicaNote::Warm,
        LoadNote::Began => ReplicaNote::LoadBegan,
        LoadNote::Waited => ReplicaNote::LoadWaited,
        LoadNote::Failed => ReplicaNote::LoadFailed,
    }
}

fn load_order_end(outcome: Outcome) -> LoadOrderEnd {
    match outcome {
        Outcome::Ok => LoadOrderEnd::Loaded,
        Outcome::Rejected => LoadOrderEnd::Full,
        Outcome::Timeout => LoadOrderEnd::Timeout,
        _ => LoadOrderEnd::Failed,
    }
}

fn attempt_cause(after: Option<Outcome>) -> AttemptCause {
    match after {
        None | Some(Outcome::Ok) => AttemptCause::First,
        Some(Outcome::Error) => AttemptCause::Error,
        Some(Outcome::Rejected) => AttemptCause::Full,
        Some(Outcome::Timeout) => AttemptCause::Timeout,
        Some(Outcome::ConnectFailed | Outcome::PartlySent) => AttemptCause::ConnectFailed,
        Some(Outcome::Reset) => AttemptCause::Reset,
        Some(Outcome::Cancelled) => AttemptCause::Cancelled,
        Some(Outcome::NeverSent) => AttemptCause::NeverSent,
        Some(Outcome::NotLoaded) => AttemptCause::NotLoaded,
    }
}

/// Starts an HTTP endpoint that serves the metrics at `/metrics`.
pub(crate) fn serve(address: SocketAddr, metrics: Arc<Metrics>) -> io::Result<Endpoint> {
    Endpoint::start(address, 0, "scrape", move |request| respond(request, &metrics))
}

/// Content type of the OpenMetrics text format 1.0.0.
const OPENMETRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

fn respond(request: &Request<'_>, metrics: &Metrics) -> Reply {
    let path = request.target.split('?').next().unwrap_or("");
    if path != "/metrics" {
        return Reply::text(404, "figures are at /metrics\n");
    }
    if request.method != "GET" {
        let allow = vec![("Allow", "GET".to_owned())];
        return Reply { headers: allow, ..Reply::text(405, "GET alone is answered here\n") };
    }
    match metrics.text() {
        Ok(text) => Reply { content_type: OPENMETRICS_CONTENT_TYPE, ..Reply::text(200, text) },
        Err(_) => Reply::text(500, "the figures could not be written\n"),
    }
}
