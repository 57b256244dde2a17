//! The follower's loop: heartbeats that ask for changes, and what follows from each response. The order matters: changes
//! are sent to the controller before the lease that covers them, and the next heartbeat reports what is in force and
//! durable by then.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

use nettleferry_fleet::Millis;
use nettleferry_fleet::bootstrap::should_replace;
use nettleferry_fleet::follower_requests::{Heartbeat, LeaseSpan};
use nettleferry_fleet::lease::{self, MAX_SPAN, MIN_SPAN};
use nettleferry_fleet::membership::Version;
use nettleferry_fleet::snapshot_version::{SnapshotVersion, VersionOrder};
use nettleferry_net::http1_client::{Answer, Http1Error};
use nettleferry_tenancy::replication::{
    Follower as Replication, ReplicationRequest, ReplicationResponse, Update,
};
use tracing::{info, warn};

use super::deliveries::{AuditDelivery, Borrowing};
use super::leader_client::LeaderClient;
use super::peer_bootstrap::{BootstrapStep, PeerBootstrap};
use super::responses::{self, Lease, Meaning};
use super::snapshot_store::SnapshotStore;
use crate::applied_versions::{AcknowledgedCheckpoint, AppliedVersions};
use crate::controller_context::ControllerContext;
use crate::controller_link::ControllerLink;
use crate::key_file::read_token;
use crate::messages::AdminEvent;
use crate::snapshot_document::{SharedSnapshot, SnapshotDocument, version_of};

/// What was received has this long to be in force and durable before the next heartbeat, which reports how far it is.
const APPLY_TIMEOUT: Duration = Duration::from_millis(100);

/// What the follower starts with.
pub(crate) struct FollowerConfig<'a> {
    /// The leader's address.
    pub(crate) leader: SocketAddr,
    /// The file with the token for the leader and the peers.
    pub(crate) key_file: &'a Path,
    /// Where the snapshot is persisted.
    pub(crate) snapshot_file: &'a Path,
    /// Controllers that are asked for a first snapshot where the leader does not respond.
    pub(crate) peers: &'a [SocketAddr],
    /// Whether the controller accepts no calls without a lease.
    pub(crate) requires_lease: bool,
    /// Whether limits are divided by loans.
    pub(crate) borrows: bool,
    /// The controller.
    pub(crate) controller: ControllerContext,
}

/// A snapshot that was rejected, and why.
#[derive(PartialEq, Eq)]
struct RejectedSnapshot {
    version: SnapshotVersion,
    order: VersionOrder,
}

/// The state of the follower's thread.
pub(crate) struct Follower {
    client: LeaderClient,
    bootstrap: PeerBootstrap,
    store: SnapshotStore,
    replication: Replication,
    /// The epoch of the snapshot; `None`: there is no snapshot yet.
    epoch: Option<u64>,
    /// The snapshot that was rejected last, which is logged once.
    rejected: Option<RejectedSnapshot>,
    link: ControllerLink,
    start: Instant,
    controller: u32,
    /// A random number, chosen at the start.
    incarnation: u64,
    requires_lease: bool,
    /// This incarnation is fenced, and the controller knows it.
    fenced: bool,
    /// Which versions the controller has in force.
    versions: AppliedVersions,
    audit: AuditDelivery,
    borrowing: Borrowing,
    /// The span of leases, as the leader said last.
    lease_span: LeaseSpan,
}

impl Follower {
    /// Starts with the snapshot that was persisted, where there is one.
    ///
    /// # Errors
    /// The key file cannot be read, or the system gives no poll for a connection.
    pub(crate) fn new(
        config: &FollowerConfig,
        shared: SharedSnapshot,
        link: ControllerLink,
    ) -> io::Result<Self> {
        let controller = config.controller.number;
        let token = read_token(config.key_file)?;
        let client = LeaderClient::new(config.leader, &token)?;
        let waker = client.waker();
        let written = move || _ = waker.wake();
        let (mut store, document) = SnapshotStore::open(config.snapshot_file.to_owned(), shared, written);
        let epoch = document.as_ref().map(|document| document.epoch);
        let persisted = document.map(|document| (document.store, document.snapshot));
        let replication = Replication::new(persisted, rand::random());
        let (revision, tenants) = (replication.snapshot().revision(), replication.snapshot().tenants().len());
        info!(revision, tenants, epoch, leader = %config.leader, "following the leader, starting with the persisted tenants");
        let bootstrap = PeerBootstrap::new(config.peers, &token, controller)?;
        // 0 means that an earlier version of the program reports no incarnation.
        let incarnation = rand::random::<u64>().max(1);
        // What was persisted is in force from the start.
        let versions = AppliedVersions::new(store.persisted());
        Ok(Self {
            client,
            bootstrap,
            store,
            replication,
            epoch,
            rejected: None,
            link,
            start: Instant::now(),
            controller,
            incarnation,
            requires_lease: config.requires_lease,
            fenced: false,
            versions,
            audit: AuditDelivery::new(controller, config.controller.audit_entries.clone()),
            borrowing: Borrowing::new(controller, incarnation, config.borrows),
            lease_span: LeaseSpan::default(),
        })
    }

    /// The snapshot, where there is one.
    pub(crate) fn document(&self) -> Option<SnapshotDocument> {
        let (store, snapshot) = (self.replication.store().to_owned(), self.replication.snapshot().clone());
        self.epoch.map(|epoch| SnapshotDocument { controller: None, store, epoch, snapshot })
    }

    /// Set by another thread to stop the follower, which it then has to wake.
    pub(crate) fn stopped(&self) -> Arc<AtomicBool> {
        self.client.stopped()
    }

    /// Wakes the follower.
    pub(crate) fn waker(&self) -> Arc<mio::Waker> {
        self.client.waker()
    }

    /// For the controller's thread.
    pub(crate) fn acknowledged(&self) -> AcknowledgedCheckpoint {
        self.versions.acknowledged()
    }

    /// Runs until it is stopped.
    ///
    /// # Errors
    /// The system's poll failed.
    pub(crate) fn run(&mut self) -> io::Result<()> {
        let mut updates = Vec::new();
        while !self.client.is_stopped() {
            let (request, at) = self.replication.next();
            let wait = at.saturating_sub(self.now());
            if wait > 0 {
                self.wait_or_bootstrap(wait, &mut updates)?;
            } else {
                self.exchange(&request, &mut updates)?;
            }
            self.apply(&mut updates);
        }
        self.deregister()
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_millis() as u64
    }

    /// The controller accepts no calls any more: its loans are free at once, and no change waits for it.
    fn deregister(&mut self) -> io::Result<()> {
        match self.lease_span {
            LeaseSpan::Granted(_) => self.client.deregister(self.controller, self.incarnation),
            LeaseSpan::Unknown | LeaseSpan::NoLeases => Ok(()),
        }
    }

    /// One request, and all that follows from its response.
    fn exchange(&mut self, request: &ReplicationRequest, updates: &mut Vec<Update>) -> io::Result<()> {
        // The lease is counted from before the request, however long the response is on its way.
        let asked = Instant::now();
        let Some(response) = self.send_heartbeat(request)? else { return Ok(()) };
        self.send_leader_clock(asked, &response);
        let lease = self.handle_response(request, &response, updates);
        self.apply(updates);
        self.renew_lease(asked, lease);
        self.wait_until_applied()?;
        if lease.is_some() {
            self.borrowing.borrow(&mut self.client, &self.link)?;
            self.audit.deliver(&mut self.client)?;
        }
        Ok(())
    }

    /// `None`: the follower was stopped first.
    fn send_heartbeat(
        &mut self,
        request: &ReplicationRequest,
    ) -> io::Result<Option<Result<Answer, Http1Error>>> {
        let snapshot = self.snapshot_version();
        let (in_force, persisted) = (self.versions.in_force(), self.store.persisted());
        let epoch = self.epoch.unwrap_or(0);
        // Of another epoch it has nothing.
        let revision_of = |version: Version| if version.epoch == epoch { version.revision } else { 0 };
        let heartbeat = Heartbeat {
            controller: self.controller,
            incarnation: self.incarnation,
            in_force: revision_of(in_force),
            persisted: revision_of(persisted),
            requires_lease: self.requires_lease,
            fenced: self.fenced,
            snapshot: snapshot.as_ref(),
        };
        let timing = self.lease_span.timing(self.is_behind());
        self.client.replicate(request, &heartbeat, timing)
    }

    fn snapshot_version(&self) -> Option<SnapshotVersion> {
        Some(version_of(self.replication.store(), self.epoch?, self.replication.snapshot()))
    }

    /// The version of the snapshot.
    fn version(&self) -> Version {
        Version { epoch: self.epoch.unwrap_or(0), revision: self.replication.snapshot().revision() }
    }

    /// Whether the snapshot is not yet in force and durable.
    fn is_behind(&mut self) -> bool {
        let version = self.version();
        self.versions.in_force() < version || self.store.persisted() < version
    }

    /// Waits briefly until the snapshot is in force and durable, so that the next heartbeat can report it.
    fn wait_until_applied(&mut self) -> io::Result<()> {
        let deadline = Instant::now() + APPLY_TIMEOUT;
        while self.is_behind() && !self.client.is_stopped() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            self.client.wait(left)?;
        }
        Ok(())
    }

    /// The leader is not to be asked before this span is over; a follower without a snapshot asks peers meanwhile.
    fn wait_or_bootstrap(&mut self, wait: Millis, updates: &mut Vec<Update>) -> io::Result<()> {
        let mut wait = wait;
        if self.epoch.is_none() {
            match self.bootstrap.step(self.now()) {
                BootstrapStep::WaitUntil(until) => wait = wait.min(until.saturating_sub(self.now())),
                BootstrapStep::Continue => return Ok(()),
                BootstrapStep::Install(document) => {
                    let SnapshotDocument { store, epoch, snapshot, .. } = document;
                    self.epoch = Some(epoch);
                    let response = ReplicationResponse::Snapshot { store, snapshot };
                    self.replication.response_received(self.now(), response, updates);
                    return Ok(());
                }
            }
        }
        self.client.wait(Duration::from_millis(wait.max(1)))
    }

    /// A reading of the leader's clock is sent to the controller, with the moments of ours between which it was made.
    fn send_leader_clock(&self, asked: Instant, response: &Result<Answer, Http1Error>) {
        let Some(clock) = response.as_ref().ok().and_then(responses::leader_clock) else { return };
        // The leader held the request for so long by its own clock, which may be a little fast.
        let held = Duration::from_millis(clock.held_ms.saturating_sub(lease::error_of(clock.held_ms)));
        let latest = Instant::now();
        let earliest = (asked + held).min(latest);
        let (incarnation, at_ms) = (clock.incarnation, clock.at_ms);
        self.link.send(AdminEvent::LeaderClock { earliest, latest, incarnation, at_ms });
    }

    /// Returns what the response said of a lease, if the follower has all that holds with it.
    fn handle_response(
        &mut self,
        request: &ReplicationRequest,
        response: &Result<Answer, Http1Error>,
        updates: &mut Vec<Update>,
    ) -> Option<Lease> {
        self.check_fenced(response);
        let meaning = match response {
            Ok(response) => responses::interpret(request, response),
            Err(_) => Meaning::Other(ReplicationResponse::Failed),
        };
        let (received, lease) = match meaning {
            Meaning::Other(received) => (received, None),
            Meaning::Changes(entries, lease) => (ReplicationResponse::Entries(entries), Some(lease)),
            Meaning::Snapshot(document, lease) => (self.check_snapshot(document), Some(lease)),
        };
        let is_data =
            matches!(received, ReplicationResponse::Entries(_) | ReplicationResponse::Snapshot { .. });
        let failures_before = self.replication.failures();
        self.replication.response_received(self.now(), received, updates);
        self.log_failures(failures_before, response);
        // Changes that do not continue the snapshot lead to a request for a whole one: they give no lease.
        let needs_snapshot = matches!(
            (request, self.replication.next().0),
            (ReplicationRequest::Watch { .. }, ReplicationRequest::Snapshot)
        );
        lease.filter(|_| is_data && !needs_snapshot)
    }

    fn check_fenced(&mut self, response: &Result<Answer, Http1Error>) {
        if response.as_ref().is_ok_and(responses::is_fenced) && !self.fenced {
            warn!("incarnation fenced: no calls are accepted until a restart");
            self.fenced = true;
            self.link.send(AdminEvent::Fenced);
        }
    }

    /// Logs the first of a row of failures, and the end of the row.
    fn log_failures(&self, before: u32, response: &Result<Answer, Http1Error>) {
        match (before, self.replication.failures()) {
            (0, 1) if self.rejected.is_none() => {
                let cause = match response {
                    Ok(response) => format!("status {}", response.status),
                    Err(error) => error.to_string(),
                };
                warn!(cause, "replication from the leader failed, tenants stay as they are");
            }
            (1.., 0) => info!("replication from the leader works again"),
            _ => {}
        }
    }

    /// The leader sent a whole snapshot: it is taken unless ours is newer, or of another history.
    fn check_snapshot(&mut self, document: SnapshotDocument) -> ReplicationResponse {
        let (offered, held) = (document.version(), self.snapshot_version());
        match should_replace(held.as_ref(), &offered) {
            Ok(_) => {
                self.rejected = None;
                self.epoch = Some(document.epoch);
                ReplicationResponse::Snapshot { store: document.store, snapshot: document.snapshot }
            }
            Err(order) => {
                self.log_rejected(RejectedSnapshot { version: offered, order }, held.as_ref());
                ReplicationResponse::Failed
            }
        }
    }

    fn log_rejected(&mut self, rejected: RejectedSnapshot, held: Option<&SnapshotVersion>) {
        if self.rejected.as_ref() == Some(&rejected) {
            return;
        }
        let held = held.map(|version| version.to_string()).unwrap_or_default();
        warn!(
            offered = %rejected.version, held, order = rejected.order.as_str(),
            "leader's snapshot rejected: ours stays until the leader has caught up or an operator has decided"
        );
        self.rejected = Some(rejected);
    }

    /// The controller may act on what was sent so far, for a span that is counted from before the request.
    fn renew_lease(&mut self, asked: Instant, lease: Option<Lease>) {
        let Some(Lease { span_ms, fencing_token }) = lease else { return };
        let granted = |ms: Millis| LeaseSpan::Granted(Duration::from_millis(ms.clamp(MIN_SPAN, MAX_SPAN)));
        let span = span_ms.map_or(LeaseSpan::NoLeases, granted);
        if self.lease_span != span {
            info!(span_ms, "span of the leader's leases changed");
            self.lease_span = span;
        }
        if let Some(span_ms) = span_ms {
            let until = asked + Duration::from_millis(lease::ends(0, span_ms));
            let fencing_token = fencing_token.unwrap_or(0);
            self.link.send(AdminEvent::LeaseRenewed { until, fencing_token });
        }
    }

    /// Sends updates to the controller, with a checkpoint behind them, and publishes the snapshot.
    fn apply(&mut self, updates: &mut Vec<Update>) {
        let any = !updates.is_empty();
        for update in updates.drain(..) {
            self.link.send(match update {
                Update::Changed(entry) => AdminEvent::TenantChanged(entry),
                Update::Replaced(snapshot) => {
                    let (store, epoch) = (self.replication.store().to_owned(), self.epoch.unwrap_or(0));
                    let document = SnapshotDocument { controller: None, store, epoch, snapshot };
                    AdminEvent::SnapshotReplaced(Box::new(document))
                }
            });
        }
        let version = self.version();
        if any || self.versions.last_sent() != version {
            let checkpoint = self.versions.sent(version);
            self.link.send(AdminEvent::Checkpoint(checkpoint));
        }
        if let Some(epoch) = self.epoch {
            self.store.publish(self.replication.store(), epoch, self.replication.snapshot());
        }
    }
}
