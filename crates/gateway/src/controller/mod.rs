//! The running controller: one thread, one event loop. Network events come in, the engine and the decision module
//! decide, and their commands go out. Nothing is decided here.
//!
//! * [`startup`]: the constructor, step by step.
//! * [`commands`]: execution of the engine's commands.
//! * [`administration`]: events of the administration: tenants, leases, loans, drained workers.
//! * [`worker_list`]: a new worker list.
//! * [`status`]: metrics, and the state that the administration publishes.
//! * [`audit`]: what goes into the audit log.
//! * [`shutdown`]: signals, drain and end.

mod administration;
mod audit;
mod commands;
mod shutdown;
mod startup;
mod status;
mod worker_list;

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use nettleferry::Micros;
use nettleferry_administration::AdminServer;
use nettleferry_administration::audit_log_writer::AuditLogWriter;
use nettleferry_administration::endpoint::Endpoint;
use nettleferry_audit_log::Recorder;
use nettleferry_config::{Config, Worker};
use nettleferry_engine::{Command, Engine, Event};
use nettleferry_fleet::gate::{self, Gate};
use nettleferry_fleet::lease::{Holder, Stage};
use nettleferry_net::clock::Clock;
use nettleferry_net::{Hub, NetEvent};
use signal_hook_mio::v1_0::Signals;

use crate::front::Front;
use crate::metrics::MetricsRecorder;
use crate::remote_write::RemoteWriter;
use crate::tenants::Tenants;
use crate::worker_links::WorkerLinks;
use crate::worker_list::ListWatcher;

/// Why a controller could not start or go on.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControllerError {
    /// The decision module rejects the settings.
    #[error("the settings can't work: {0}")]
    Settings(#[from] nettleferry::SettingsError),
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}{}", address_hint(source))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The administration could not start.
    #[error("the administration: {source}; is its address taken, or its key file missing?")]
    Admin {
        /// The system's error.
        source: io::Error,
    },
    /// The reactor failed.
    #[error("the reactor failed: {0}")]
    Io(#[from] io::Error),
}

/// Advice for an address that is in use.
fn address_hint(error: &io::Error) -> &'static str {
    if error.kind() == io::ErrorKind::AddrInUse { "; is another process there?" } else { "" }
}

/// How a controller ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// All open calls had their answers.
    Graceful,
    /// A second signal came, or the drain timed out with calls open.
    Forced,
}

/// Store and epoch of the tenant snapshot in force.
#[derive(Clone, Debug, Default)]
struct SnapshotSource {
    /// Empty: there is no snapshot.
    store: String,
    epoch: u64,
}

/// Admission after a restart, and what was reported of it.
#[derive(Default)]
struct RestartAdmission {
    /// `None`: all calls are accepted.
    limiter: Option<Gate>,
    logged_step: Option<gate::Step>,
    /// The counters of the limiter when it was removed.
    final_counters: gate::Counters,
}

/// The recorder of entries of the audit log, and their writer.
struct AuditLog {
    recorder: Recorder,
    writer: AuditLogWriter,
}

/// A controller of the gateway.
pub(crate) struct Controller {
    config: Arc<Config>,
    clock: Clock,
    hub: Hub,
    engine: Engine,
    front: Front,
    worker_links: WorkerLinks,
    list_watcher: ListWatcher,
    signals: Option<Signals>,
    metrics: MetricsRecorder,
    metrics_endpoint: Option<Endpoint>,
    /// Remote write; dropping it sends the last samples.
    remote_writer: Option<RemoteWriter>,
    restart_admission: RestartAdmission,
    /// The lease of a controller that follows another's administration.
    lease: Option<Holder>,
    logged_lease_stage: Option<Stage>,
    audit_log: Option<AuditLog>,
    snapshot_source: SnapshotSource,
    /// How many worker lists were applied.
    list_version: u64,
    tenants: Option<Tenants>,
    admin_server: Option<AdminServer>,
    /// Names of the workers that are drained through the administration.
    drained_workers: BTreeSet<String>,
    /// The newest worker list, as its source gave it.
    listed_workers: Vec<Worker>,
    /// The administration has not been shown the newest worker list yet.
    list_publish_pending: bool,
    next_refresh: Micros,
    commands: Vec<Command>,
    grpc_address: SocketAddr,
    /// Set by the first signal: when open calls must have ended.
    drain_deadline: Option<Micros>,
}

/// Number of the signals' event source.
const SIGNAL_SOURCE: usize = 0;

impl Controller {
    /// The address of the gRPC listener.
    pub(crate) fn grpc_address(&self) -> SocketAddr {
        self.grpc_address
    }

    /// The address at which metrics can be scraped.
    pub(crate) fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_endpoint.as_ref().map(|endpoint| endpoint.local)
    }

    /// The address of the administration's listener.
    pub(crate) fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_server.as_ref().and_then(|server| server.local)
    }

    /// Runs until a signal stops it. Each iteration fires due timers, polls the network until the next of them,
    /// dispatches what came with the commands that follow from it, and updates metrics.
    pub(crate) fn run(&mut self) -> Result<Shutdown, ControllerError> {
        let mut events = Vec::new();
        loop {
            self.fire_timers();
            if let Some(shutdown) = self.shutdown_due() {
                return Ok(self.finish(shutdown));
            }
            let timeout = self.time_to_next_timer();
            self.hub.poll(Some(timeout), &mut events)?;
            for event in events.drain(..) {
                if let ControlFlow::Break(shutdown) = self.dispatch(event) {
                    return Ok(self.finish(shutdown));
                }
            }
            self.update_metrics();
        }
    }

    /// Lets the engine handle its due timers.
    fn fire_timers(&mut self) {
        let now = self.clock.now();
        if self.engine.next_timer().is_some_and(|at| at <= now) {
            self.engine.handle(now, Event::Tick, &mut self.commands);
            self.execute_commands();
        }
    }

    fn time_to_next_timer(&self) -> Duration {
        let engine_timer = self.engine.next_timer().unwrap_or(Micros::MAX);
        let next_timer = engine_timer.min(self.next_drain_check());
        Duration::from_micros(next_timer.saturating_sub(self.clock.now()))
    }

    /// Handles one event. `Break`: the controller stops at once.
    fn dispatch(&mut self, event: NetEvent) -> ControlFlow<Shutdown> {
        match event {
            NetEvent::Source(SIGNAL_SOURCE) => return self.handle_signals(),
            NetEvent::Woken => {
                for update in self.list_watcher.updates() {
                    self.apply_list(update);
                }
                self.handle_admin_events();
            }
            event => self.handle_connection_event(event),
        }
        ControlFlow::Continue(())
    }

    /// An event of a connection: of a worker's, or else of a client's.
    fn handle_connection_event(&mut self, event: NetEvent) {
        match event {
            NetEvent::Closed { conn, .. } => self.worker_links.connection_closed(conn),
            NetEvent::Head { stream, .. }
            | NetEvent::Message { stream, .. }
            | NetEvent::Trailers { stream, .. }
            | NetEvent::Failed { stream, .. }
                if self.worker_links.owns(stream) =>
            {
                if let Some(event) = self.worker_links.event(&mut self.hub, event) {
                    self.notify_engine(event);
                }
            }
            event => self.with_front(|front, context| front.event(context, event)),
        }
        self.execute_commands();
    }
}
