//! Creates a controller: the listeners, the first worker list, the engine and the administration. Steps that fail for a
//! transient reason are retried.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mio::Interest;
use nettleferry::{ListForm, Micros};
use nettleferry_administration::audit_log_writer::AuditLogWriter;
use nettleferry_administration::endpoint::Endpoint;
use nettleferry_administration::{AdminServer, ControllerContext};
use nettleferry_audit_log::Recorder;
use nettleferry_config::Config;
use nettleferry_config::settings::{self, AdminSettings, RestartAdmissionPolicy};
use nettleferry_engine::{Engine, EngineLimits};
use nettleferry_fleet::gate::{Gate, GateConfig};
use nettleferry_fleet::lease::{Holder, LeasePolicy};
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_net::clock::Clock;
use nettleferry_net::retry::{is_transient, retry_startup};
use nettleferry_net::{Hub, NetLimits};
use signal_hook_mio::v1_0::Signals;

use super::{AuditLog, Controller, ControllerError, RestartAdmission, SIGNAL_SOURCE, SnapshotSource};
use crate::front::Front;
use crate::metrics::{self, MetricsRecorder};
use crate::remote_write::RemoteWriter;
use crate::tenants::Tenants;
use crate::worker_links::{PoolLimits, WorkerLinks};
use crate::worker_list::{ListSource, ListWatcher};

impl Controller {
    /// Opens the listeners, starts the threads, and applies the first worker list. With `with_signals`, SIGTERM and
    /// SIGINT drain the controller.
    pub(crate) fn new(config: Config, with_signals: bool) -> Result<Self, ControllerError> {
        let mut hub = retry_startup("reactor", || Hub::new(net_limits(&config)), is_transient)?;
        let grpc_address = listen_grpc(&mut hub, config.grpc)?;
        let list_watcher = watch_worker_list(&config, &hub)?;
        let initial_lists = list_watcher.initial_updates();
        // A restored list means that there was an earlier incarnation. It may have sent load orders just before it
        // ended.
        let restarted = initial_lists.iter().any(|update| update.form == ListForm::Restored);
        let mut engine = create_engine(&config, restarted)?;
        let signals = with_signals.then(|| retry_startup("signals", || watch_signals(&hub), is_transient));
        let signals = signals.transpose()?;
        let metrics = MetricsRecorder::new(&config);
        let metrics_endpoint = start_metrics_endpoint(&config, &metrics)?;
        let remote_write = config.metrics.remote_write.clone();
        let remote_writer =
            remote_write.map(|settings| RemoteWriter::start(settings, metrics.metrics())).transpose()?;
        if config.metrics.count_calls {
            engine.record_measurements();
        }
        let clock = Clock::start();
        let mut administration = Administration::default();
        if let Some(admin) = &config.admin {
            administration = Administration::start(&config, admin, clock, &hub)
                .map_err(|source| ControllerError::Admin { source })?;
            engine.record_phases();
        }
        let config = Arc::new(config);
        let mut controller = Self {
            clock,
            hub,
            engine,
            front: Front::new(Arc::clone(&config)),
            worker_links: WorkerLinks::new(pool_limits(&config), config.settings.controller_index),
            list_watcher,
            signals,
            metrics,
            metrics_endpoint,
            remote_writer,
            restart_admission: RestartAdmission::default(),
            lease: administration.lease,
            logged_lease_stage: None,
            audit_log: administration.audit_log,
            snapshot_source: administration.snapshot_source,
            list_version: 0,
            tenants: administration.tenants,
            admin_server: administration.server,
            drained_workers: BTreeSet::new(),
            listed_workers: Vec::new(),
            list_publish_pending: false,
            next_refresh: 0,
            commands: Vec::new(),
            grpc_address,
            drain: None,
            config,
        };
        controller.start_restart_admission(restarted);
        initial_lists.into_iter().for_each(|update| controller.apply_list(update));
        Ok(controller)
    }

    /// Starts to limit how many calls are accepted after a restart, if the settings require that.
    fn start_restart_admission(&mut self, restarted: bool) {
        let limited = match self.config.recovery.restart_admission {
            RestartAdmissionPolicy::Never => false,
            RestartAdmissionPolicy::Restart => restarted,
            RestartAdmissionPolicy::Always => true,
        };
        if limited {
            self.restart_admission.limiter = Some(Gate::new(GateConfig::default(), self.clock.now_ms()));
            self.engine.record_phases();
        }
    }
}

fn net_limits(config: &Config) -> NetLimits {
    let edge = &config.edge;
    NetLimits {
        connections: edge.connections,
        streams_per_connection: edge.streams_per_connection,
        message_bytes: edge.message_bytes,
        // One message of the largest size can be received in any case.
        message_sum: NetLimits::default().message_sum.max(edge.message_bytes),
        header_bytes: edge.header_bytes,
        stream_window: edge.stream_window,
        send_queue_bytes: edge.send_queue,
        reset_streams: edge.reset_streams,
        connect_timeout: Duration::from_micros(config.settings.limits.connect_timeout),
        handshake_timeout: Duration::from_micros(edge.handshake_timeout),
        idle: Duration::from_micros(edge.idle_timeout),
        ..NetLimits::default()
    }
}

fn pool_limits(config: &Config) -> PoolLimits {
    PoolLimits { connections: config.edge.worker_connections, streams: config.edge.worker_streams }
}

fn listen_grpc(hub: &mut Hub, address: SocketAddr) -> Result<SocketAddr, ControllerError> {
    retry_startup("gRPC listener", || hub.listen(address), is_transient)
        .map(|(_, local)| local)
        .map_err(|source| ControllerError::Listen { address, source })
}

/// Starts the thread that watches the worker list. It wakes the hub after each update.
fn watch_worker_list(config: &Config, hub: &Hub) -> io::Result<ListWatcher> {
    let waker = hub.waker();
    let wake = move || _ = waker.wake();
    let source = ListSource {
        path: config.workers_file.clone(),
        persisted: config.persisted_workers_file.clone(),
        check_interval: config.workers_check_interval,
    };
    ListWatcher::start(source, wake)
}

fn create_engine(config: &Config, restarted: bool) -> Result<Engine, nettleferry::SettingsError> {
    let limits = EngineLimits {
        open_calls: config.edge.open_calls,
        models: config.edge.remembered_models,
        answer_margin: config.edge.answer_margin,
        probe_timeout: config.edge.probe_timeout,
    };
    let seed = config.seed.unwrap_or_else(rand::random);
    let mut settings = config.settings.clone();
    settings.loading.unknown_prior_orders = restarted;
    Engine::new(settings, config.zone.as_deref(), limits, seed)
}

/// Registers SIGTERM and SIGINT as an event source at the hub.
fn watch_signals(hub: &Hub) -> io::Result<Signals> {
    // The numbers that POSIX defines; two constants are not worth another dependency.
    const SIGINT: i32 = 2;
    const SIGTERM: i32 = 15;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    hub.registry().register(&mut signals, hub.source_token(SIGNAL_SOURCE), Interest::READABLE)?;
    Ok(signals)
}

fn start_metrics_endpoint(
    config: &Config,
    recorder: &MetricsRecorder,
) -> Result<Option<Endpoint>, ControllerError> {
    let Some(address) = config.metrics.scrape else { return Ok(None) };
    retry_startup("metrics listener", || metrics::serve(address, recorder.metrics()), is_transient)
        .map(Some)
        .map_err(|source| ControllerError::Listen { address, source })
}

/// The parts that the administration adds to a controller. All are empty where the settings configure none.
#[derive(Default)]
struct Administration {
    lease: Option<Holder>,
    audit_log: Option<AuditLog>,
    snapshot_source: SnapshotSource,
    tenants: Option<Tenants>,
    server: Option<AdminServer>,
}

impl Administration {
    fn start(config: &Config, admin: &AdminSettings, clock: Clock, hub: &Hub) -> io::Result<Self> {
        let audit_log = start_audit_log(config, admin, clock)?;
        let server = start_admin_server(config, admin, hub, audit_log.as_ref())?;
        let snapshot = server.snapshot.as_ref();
        let snapshot_source = snapshot.map_or_else(SnapshotSource::default, |snapshot| SnapshotSource {
            store: snapshot.store.clone(),
            epoch: snapshot.epoch,
        });
        let tenants = create_tenants(config, admin, clock, &server);
        let lease = create_lease(admin, clock.now());
        Ok(Self { lease, audit_log, snapshot_source, tenants: Some(tenants), server: Some(server) })
    }
}

fn start_audit_log(config: &Config, admin: &AdminSettings, clock: Clock) -> io::Result<Option<AuditLog>> {
    let Some(settings) = &admin.audit_log else { return Ok(None) };
    let (writer, tail) = AuditLogWriter::start(settings.folder.clone(), settings.max_bytes)?;
    // 0 is reserved for "no incarnation".
    let incarnation = rand::random::<u64>().max(1);
    let program = env!("CARGO_PKG_VERSION");
    let recorder =
        Recorder::new(clock.now_ms(), incarnation, config.settings.controller_index, program, tail);
    Ok(Some(AuditLog { recorder, writer }))
}

fn start_admin_server(
    config: &Config,
    admin: &AdminSettings,
    hub: &Hub,
    audit_log: Option<&AuditLog>,
) -> io::Result<AdminServer> {
    let deadlines_ms = config.settings.classes.iter().map(|class| class.deadline / 1000);
    let controller = ControllerContext {
        number: config.settings.controller_index,
        controllers: config.settings.controllers,
        max_deadline_ms: deadlines_ms.max().unwrap_or(0),
        waker: hub.waker(),
        audit_entries: audit_log.map(|audit_log| audit_log.writer.recent()),
    };
    AdminServer::start(admin, controller)
}

fn create_tenants(config: &Config, admin: &AdminSettings, clock: Clock, server: &AdminServer) -> Tenants {
    let loan_terms = LoanConfig { controllers: config.settings.controllers.max(1), reserve: admin.reserve };
    let first_id = config.tenants.len();
    let mut tenants =
        Tenants::new(first_id, &config.classes, admin.anonymous, admin.queue_length, loan_terms);
    match &server.snapshot {
        Some(snapshot) => {
            tenants.load(&snapshot.snapshot);
            tenants.exhaust_rates(clock.now());
        }
        None => tenants.set_without_snapshot(),
    }
    tenants
}

/// Creates the lease of a follower. A leader needs none.
fn create_lease(admin: &AdminSettings, now: Micros) -> Option<Holder> {
    let settings::Administration::Follower(follower) = &admin.administration else { return None };
    let policy = &follower.without_lease;
    let not_ready_after = policy.not_ready_after.map(|span| span / 1000);
    Some(Holder::new(now / 1000, LeasePolicy { rejects: policy.rejects, not_ready_after }))
}
