//! The controller: a single-threaded event loop. It passes network events on to the engine, which consults the decision
//! module, and executes the commands that the engine returns.
//!
//! * [`startup`]: creates the controller.
//! * [`commands`]: executes the commands of the engine.
//! * [`administration`]: applies events of the administration: tenants, leases, loans, drained workers.
//! * [`worker_list`]: applies a new worker list.
//! * [`status`]: updates metrics, and the state that the administration publishes.
//! * [`audit`]: records entries of the audit log.
//! * [`shutdown`]: handles signals, drains open calls, and stops.

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
use shutdown::Drain;

/// Why a controller could not start or continue.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ControllerError {
    /// The decision module rejects the settings.
    #[error("invalid settings: {0}")]
    Settings(#[from] nettleferry::SettingsError),
    /// The listener for gRPC or for metrics could not be opened.
    #[error("can't listen on {address}: {source}{}", address_hint(source))]
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the last attempt to open the listener.
        source: io::Error,
    },
    /// The administration could not start.
    #[error("the administration could not start: {source}; is its address in use, or its key file missing?")]
    Admin {
        /// The error of the audit log or of the administration's server.
        source: io::Error,
    },
    /// Waiting for network events failed, or a part of the startup that has no variant of its own.
    #[error("the reactor failed: {0}")]
    Io(#[from] io::Error),
}

/// A hint for the user where the address is in use; otherwise empty.
fn address_hint(error: &io::Error) -> &'static str {
    if error.kind() == io::ErrorKind::AddrInUse { "; is another process listening there?" } else { "" }
}

/// How a controller stopped; determines the exit code of `serve`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Shutdown {
    /// All open calls were answered, and the clients have their responses.
    Graceful,
    /// A second signal was received, the drain timed out, or a client was given up that took no more of its responses.
    Forced,
}

/// Identifies the tenant store from which the snapshot in force was taken.
#[derive(Clone, Debug, Default)]
struct SnapshotSource {
    /// Id of the store; empty where no snapshot has been loaded.
    store: String,
    /// Epoch of the store.
    epoch: u64,
}

/// Limits how many calls are accepted after a restart, and keeps what was last logged of it and its final counters.
#[derive(Default)]
struct RestartAdmission {
    /// `None` where the settings require no limiter, and once the recovery is complete.
    limiter: Option<Gate>,
    logged_step: Option<gate::Step>,
    /// Counters of the limiter at the time it was removed.
    final_counters: gate::Counters,
}

/// The audit log: the recorder of its entries, and the thread that writes them.
struct AuditLog {
    recorder: Recorder,
    writer: AuditLogWriter,
}

/// The controller: its parts, and the state of its event loop.
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
    /// Remote write. Dropping it sends the last samples.
    remote_writer: Option<RemoteWriter>,
    restart_admission: RestartAdmission,
    /// The lease of a follower; `None` at a leader and without an administration.
    lease: Option<Holder>,
    logged_lease_stage: Option<Stage>,
    audit_log: Option<AuditLog>,
    snapshot_source: SnapshotSource,
    /// Number of times since the start that a worker list, or a change of the drained workers, was applied.
    list_version: u64,
    tenants: Option<Tenants>,
    admin_server: Option<AdminServer>,
    /// Names of the workers that are drained through the administration.
    drained_workers: BTreeSet<String>,
    /// The newest worker list, without the drains of the administration.
    listed_workers: Vec<Worker>,
    /// The newest worker list or set of drained workers has yet to be published to the administration.
    list_publish_pending: bool,
    /// Earliest time of the next periodic update of the metrics of workers and limits, on the controller's clock.
    next_refresh: Micros,
    /// Commands of the engine that have yet to be executed.
    commands: Vec<Command>,
    grpc_address: SocketAddr,
    /// The drain that the first signal began.
    drain: Option<Drain>,
}

/// Number of the event source for signals at the hub.
const SIGNAL_SOURCE: usize = 0;

impl Controller {
    /// The local address of the gRPC listener.
    pub(crate) fn grpc_address(&self) -> SocketAddr {
        self.grpc_address
    }

    /// The local address of the metrics endpoint, if there is one.
    pub(crate) fn metrics_address(&self) -> Option<SocketAddr> {
        self.metrics_endpoint.as_ref().map(|endpoint| endpoint.local)
    }

    /// The local address of the administration's listener, if there is one.
    pub(crate) fn admin_address(&self) -> Option<SocketAddr> {
        self.admin_server.as_ref().and_then(|server| server.local)
    }

    /// Runs until a signal stops the controller. Each iteration fires due timers, polls the network until the next
    /// timer, dispatches the events with the commands that follow from them, and updates metrics.
    ///
    /// # Errors
    /// [`ControllerError::Io`] where waiting for network events fails.
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

    /// Sends a tick to the engine if one of its timers is due.
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

    /// Handles one event. Returns `Break` if the controller must stop without waiting for open calls.
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

    /// Handles an event of a connection to a worker or from a client.
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
