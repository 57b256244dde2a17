//! The controller's handle to its administration thread, which runs as the leader that owns the tenants or as a
//! follower that replicates them. The thread starts and ends with the controller and sends events to it.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, MutexGuard};
use std::thread::JoinHandle;

use nettleferry_config::settings::{
    AdminSettings, Administration, FollowerSettings, LeaderSettings, SnapshotServer,
};
use nettleferry_fleet::loans::LoanConfig;
use nettleferry_net::http1::Stop;
use tracing::warn;

use crate::applied_versions::AcknowledgedCheckpoint;
use crate::controller_context::ControllerContext;
use crate::controller_link::{ControllerLink, SharedStatus, lock};
use crate::endpoint::Endpoint;
use crate::follower::{Follower, FollowerConfig};
use crate::leader::{self, LeaderConfig};
use crate::messages::{AdminEvent, ControllerStatus};
use crate::snapshot_document::{SharedSnapshot, SnapshotDocument};
use crate::snapshot_listener;

/// A running administration thread. Dropping this stops and joins the thread: a leader writes its last snapshot first,
/// and a follower with a lease deregisters from the leader.
pub struct AdminServer {
    /// The local address of the listener; `None` for a follower that serves no snapshots.
    pub local: Option<SocketAddr>,
    /// The snapshot that was read from disk at the start; `None` if no tenants are known yet.
    pub snapshot: Option<SnapshotDocument>,
    events: Receiver<AdminEvent>,
    status: SharedStatus,
    acknowledged: AcknowledgedCheckpoint,
    stopper: Stopper,
    thread: Option<JoinHandle<()>>,
    _snapshot_listener: Option<Endpoint>,
}

/// Wakes or stops the administration thread from the controller's thread.
enum Stopper {
    Leader(Stop),
    Follower { stopped: Arc<AtomicBool>, waker: Arc<mio::Waker> },
}

impl Stopper {
    fn wake(&self) {
        match self {
            Self::Leader(stop) => stop.wake(),
            Self::Follower { waker, .. } => _ = waker.wake(),
        }
    }

    fn stop(&self) {
        match self {
            Self::Leader(stop) => stop.stop(),
            Self::Follower { stopped, waker } => {
                stopped.store(true, Ordering::Release);
                let _ = waker.wake();
            }
        }
    }
}

impl AdminServer {
    /// Starts a leader or a follower, depending on the settings.
    ///
    /// # Errors
    /// A listener cannot be bound, a required file cannot be opened, or the thread cannot be started.
    pub fn start(admin: &AdminSettings, controller: ControllerContext) -> io::Result<Self> {
        match &admin.administration {
            Administration::Leader(leader) => {
                let LeaderSettings { listen, store, keys, peers, peer_key, lease, required_replicas } =
                    leader;
                Self::start_leader(LeaderConfig {
                    listen: *listen,
                    store,
                    keys,
                    peers,
                    peer_key: peer_key.as_deref(),
                    lease_ms: lease.map(|span| span / 1000),
                    required_copies: *required_replicas,
                    loans: LoanConfig { controllers: controller.controllers, reserve: admin.reserve },
                    controller,
                })
            }
            Administration::Follower(follower) => {
                let FollowerSettings {
                    leader,
                    key_file,
                    snapshot_file,
                    snapshot_server,
                    peers,
                    without_lease,
                } = follower;
                let config = FollowerConfig {
                    leader: *leader,
                    key_file,
                    snapshot_file,
                    peers,
                    requires_lease: without_lease.rejects,
                    uses_loans: admin.reserve < 1.0,
                    controller,
                };
                Self::start_follower(config, snapshot_server.as_ref())
            }
        }
    }

    fn start_leader(config: LeaderConfig) -> io::Result<Self> {
        let (sender, events) = channel();
        let status = SharedStatus::default();
        let link = ControllerLink::new(Arc::clone(&status), sender, Arc::clone(&config.controller.waker));
        let started = leader::start(config, link)?;
        Ok(Self {
            local: Some(started.local),
            snapshot: started.snapshot,
            events,
            status,
            acknowledged: started.acknowledged,
            stopper: Stopper::Leader(started.stop),
            thread: Some(started.thread),
            _snapshot_listener: None,
        })
    }

    fn start_follower(config: FollowerConfig, snapshot_server: Option<&SnapshotServer>) -> io::Result<Self> {
        let (sender, events) = channel();
        let status = SharedStatus::default();
        let link = ControllerLink::new(Arc::clone(&status), sender, Arc::clone(&config.controller.waker));
        let number = config.controller.number;
        let shared = SharedSnapshot::default();
        let mut follower = Follower::new(&config, Arc::clone(&shared), link)?;
        let listener = snapshot_server
            .map(|SnapshotServer { listen, keys }| snapshot_listener::start(*listen, keys, number, shared))
            .transpose()?;
        let (snapshot, local) = (follower.document(), listener.as_ref().map(|listener| listener.local));
        let stopper = Stopper::Follower { stopped: follower.stopped(), waker: follower.waker() };
        let acknowledged = follower.acknowledged();
        let thread = std::thread::Builder::new().name("follow".to_owned()).spawn(move || {
            if let Err(error) = follower.run() {
                warn!(%error, "replication failed, tenants stay as they are until a restart");
            }
        })?;
        Ok(Self {
            local,
            snapshot,
            events,
            status,
            acknowledged,
            stopper,
            thread: Some(thread),
            _snapshot_listener: listener,
        })
    }

    /// The events that the administration thread has sent since the previous call, in order.
    pub fn events(&self) -> impl Iterator<Item = AdminEvent> + '_ {
        self.events.try_iter()
    }

    /// Reports that the controller has applied all events that precede this checkpoint.
    pub fn acknowledge(&self, checkpoint: u64) {
        self.acknowledged.store(checkpoint, Ordering::Release);
        self.stopper.wake();
    }

    /// Locks the controller's status, which the controller updates and the administration thread reads.
    pub fn status(&self) -> MutexGuard<'_, ControllerStatus> {
        lock(&self.status)
    }
}

impl Drop for AdminServer {
    fn drop(&mut self) {
        self.stopper.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
